import * as routeTable from "./route_table.ts";
import type * as trafficConfiguration from "./traffic_configuration.ts";
import * as urgencyOrder from "./urgency_order.ts";

/** A configuration with the tables that each request looks things up in. */
export class TrafficView {
  readonly #routes: routeTable.RouteTable;
  readonly #accountsByKey = new Map<string, trafficConfiguration.Account>();
  readonly #services = new Map<string, trafficConfiguration.Service>();
  readonly #urgencies: urgencyOrder.UrgencyOrder;

  constructor(
    readonly configuration: trafficConfiguration.TrafficConfiguration,
  ) {
    this.#routes = new routeTable.RouteTable(configuration.routes);
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) this.#accountsByKey.set(key, account);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    this.#urgencies = new urgencyOrder.UrgencyOrder(configuration);
  }

  /** The route of a host and a path without its query. */
  route(host: string, path: string): trafficConfiguration.Route | undefined {
    return this.#routes.find(host, path);
  }

  /** Whether requests of a route need a key. */
  needsKey(route: trafficConfiguration.Route): boolean {
    return this.configuration.accounts !== undefined && !route.open;
  }

  /** The account of a key. */
  account(key: string): trafficConfiguration.Account | undefined {
    return this.#accountsByKey.get(key);
  }

  /** Urgency of an account's requests on a route; 0 is most urgent. */
  urgency(
    route: trafficConfiguration.Route,
    account: trafficConfiguration.Account | undefined,
  ): number {
    return this.#urgencies.of(route, account);
  }

  /** The service of a name. */
  service(name: string): trafficConfiguration.Service | undefined {
    return this.#services.get(name);
  }
}
