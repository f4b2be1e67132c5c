import type * as trafficConfiguration from "./traffic_configuration.ts";

/** Finds the route of a request: its host's longest prefix of the path. */
export class RouteTable {
  readonly #byHost = new Map<string, trafficConfiguration.Route[]>();

  constructor(routes: trafficConfiguration.Route[]) {
    for (const route of routes) {
      const ofHost = this.#byHost.get(route.host) ?? [];
      ofHost.push(route);
      this.#byHost.set(route.host, ofHost);
    }
    for (const ofHost of this.#byHost.values()) {
      ofHost.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /** The route of a host and a path without its query. */
  find(host: string, path: string): trafficConfiguration.Route | undefined {
    return this.#byHost
      .get(host)
      ?.find((route) => path.startsWith(route.prefix));
  }
}
