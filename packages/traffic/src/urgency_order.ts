import type * as trafficConfiguration from "./traffic_configuration.ts";

/**
 * Order of the requests by urgency: first by the account's urgency, then by the
 * route's. An account without one has that of the route. If the account's were
 * used alone, the routes of accounts with the same urgency would all be equal.
 */
export class UrgencyOrder {
  /** Rank of each pair of account's and route's urgency in the configuration. */
  readonly #ranks: ReadonlyMap<string, number>;

  constructor({
    routes,
    accounts,
  }: Pick<trafficConfiguration.TrafficConfiguration, "routes" | "accounts">) {
    const pairs = new Map<string, [number, number]>();
    const holders = new Set(accounts?.map(({ urgency }) => urgency));
    for (const route of routes) {
      for (const urgency of [...holders, undefined]) {
        const pair = pairOf(route, urgency);
        pairs.set(pair.join(), pair);
      }
    }
    const sorted = [...pairs].sort(
      ([, left], [, right]) => left[0] - right[0] || left[1] - right[1],
    );
    this.#ranks = new Map(sorted.map(([key], rank) => [key, rank]));
  }

  /** Rank of an account's requests on a route; 0 is most urgent. */
  of(
    route: trafficConfiguration.Route,
    account: trafficConfiguration.Account | undefined,
  ): number {
    return this.#ranks.get(pairOf(route, account?.urgency).join()) ?? 0;
  }
}

function pairOf(
  { urgency }: trafficConfiguration.Route,
  accountUrgency: number | undefined,
): [number, number] {
  return [accountUrgency ?? urgency, urgency];
}
