import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as subscription from "./subscription.ts";

const test = ava.default;

// The place and the region of a group are numbered independently of each other,
// so here a place spans several regions.
function upstreams(groups: number, ranks: number): backingServices.Host[] {
  return Array.from({ length: groups * ranks }, (_, index) => {
    const group = Math.floor(index / ranks);
    return {
      name: `rank-${index}`,
      role: backingServices.HostRole.Upstream,
      place: `place-${group % 9}`,
      region: `region-${group % 4}`,
      state: backingServices.HostState.Live,
      linkUrl: "",
      callerUrl: "",
      service: "model",
      group: `group-${group}`,
    };
  });
}

function namesChosenBy(
  host: string,
  hosts: backingServices.Host[],
): Set<string> {
  const self = { host, place: "place-0", region: "region-0" };
  return new Set(subscription.chooseRunners({ self, hosts }).keys());
}

test("an entry chooses all runners of a service that has few", (t) => {
  t.is(namesChosenBy("entry-0", upstreams(1, 16)).size, 16);
});

test("an entry chooses complete groups until it has enough runners", (t) => {
  const hosts = upstreams(24, 64);
  const chosen = namesChosenBy("entry-0", hosts);
  // Two groups of 64 ranks make exactly the minimum of 128 runners.
  t.is(chosen.size, subscription.MIN_SUBSCRIBED_RUNNERS);
  const groups = new Set(
    hosts.filter(({ name }) => chosen.has(name)).map(({ group }) => group),
  );
  t.is(groups.size, subscription.MIN_SUBSCRIBED_RUNNERS / 64);
});

test("each group is chosen by at least two of 330 entries", (t) => {
  const hosts = upstreams(24, 64);
  // Chosen ranks of each group, summed over all entries: an entry that chooses
  // a group adds its 64 ranks.
  const counts = new Map<string, number>();
  for (let index = 0; index < 330; index++) {
    const self = {
      host: `entry-${index}`,
      place: `place-${index % 9}`,
      region: `region-${(index % 9) % 4}`,
    };
    const chosen = subscription.chooseRunners({ self, hosts });
    for (const { group } of chosen.values()) {
      counts.set(group, (counts.get(group) ?? 0) + 1);
    }
  }
  t.is(counts.size, 24);
  for (const count of counts.values()) t.true(count >= 64 * 2, `${count}`);
});
