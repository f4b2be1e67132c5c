import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";

/**
 * Minimum number of runners of each service that an entry links to. It links to
 * all runners of a service that has fewer, and to more than this number if the
 * last group exceeds it.
 */
export const MIN_SUBSCRIBED_RUNNERS = 128;

/** The host of an entry, with its data centre (`place`) and region. */
export interface Position {
  host: string;
  place: string;
  region: string;
}

/**
 * Chooses the runners that an entry links to and returns them by host name. For
 * each service it adds complete groups until it has `MIN_SUBSCRIBED_RUNNERS`;
 * groups are complete because routing places a request by the iteration times
 * of all ranks of a group. It prefers near groups, and orders equally near ones
 * by rendezvous hashing, so that entries spread evenly over groups and a change
 * of hosts moves few links. As an entry links to a subset only, the number of
 * links grows with the size of the subset and not with entries × runners.
 */
export function chooseRunners(parameters: {
  self: Position;
  hosts: backingServices.Host[];
}): Map<string, backingServices.Host> {
  const chosen = new Map<string, backingServices.Host>();
  const services = new Map<string, backingServices.Host[]>();
  for (const host of parameters.hosts) {
    const hosts = services.get(host.service) ?? [];
    hosts.push(host);
    services.set(host.service, hosts);
  }
  for (const hosts of services.values()) {
    let chosenCount = 0;
    for (const group of groupsInOrder(parameters.self, hosts)) {
      if (chosenCount >= MIN_SUBSCRIBED_RUNNERS) break;
      for (const host of group) chosen.set(host.name, host);
      chosenCount += group.length;
    }
  }
  return chosen;
}

/**
 * Groups of hosts in the order in which an entry prefers them. A host without a
 * group counts as a group of one.
 */
function groupsInOrder(
  self: Position,
  hosts: backingServices.Host[],
): backingServices.Host[][] {
  const groups = new Map<string, backingServices.Host[]>();
  for (const host of hosts) {
    const name = host.group || host.name;
    const group = groups.get(name) ?? [];
    group.push(host);
    groups.set(name, group);
  }
  return [...groups]
    .map(([name, group]) => ({
      group,
      distance: distanceClass(self, group[0]),
      score: common.hash32(`${self.host} ${name}`),
    }))
    .sort(
      (left, right) =>
        left.distance - right.distance || left.score - right.score,
    )
    .map(({ group }) => group);
}

/** 0 for the same data centre, 1 for the same region, 2 for another region. */
export function distanceClass(
  self: Position,
  host: { place: string; region: string },
): number {
  if (host.place === self.place) return 0;
  return host.region === self.region ? 1 : 2;
}
