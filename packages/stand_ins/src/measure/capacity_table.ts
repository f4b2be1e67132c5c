import type * as capacityCredit from "./capacity_credit.ts";
import type * as capacityLinks from "./capacity_links.ts";
import type * as capacityMembers from "./capacity_members.ts";
import type * as capacityState from "./capacity_state.ts";
import type * as capacityUpstream from "./capacity_upstream.ts";
import * as statistics from "./statistics.ts";

/** The target of letter 1. */
const TARGET = {
  entries: 330,
  runners: 1_500,
  accounts: 12_000,
  changesPerDay: 2_000,
  groups: 24,
  ranks: 64,
  subscribedRunners: 128,
  restartsPerDay: 233,
  planSeconds: 30,
  switchSeconds: 300,
};
const SECONDS_PER_DAY = 86_400;
const BUDGET = {
  cpuShare: 0.024,
  memoryMegabytes: 32,
  bytesPerSecond: 21_000,
};
/** Reads of the configuration head that all entries may cause in a second. */
const HEAD_READS_PER_SECOND = 100;
/** Bytes of one host in the platform's list. */
const LISTED_HOST_BYTES = 150;
/** Changes of the list for each host that is restarted: it goes and comes. */
const LIST_CHANGES = 2;
/** Bytes of asking whether the list has changed, once a second. */
const UNCHANGED_LIST_BYTES = 250;

/** What the slopes come to at the target's size, against the budget. */
export function capacityTable(measured: {
  members: capacityMembers.MembersPoint[];
  upstream: capacityUpstream.UpstreamPoint[];
  state: capacityState.StateSlopes;
  credit: capacityCredit.CreditSlopes;
  links: capacityLinks.LinksPoint[];
  upstreamLinks: capacityLinks.LinksPoint[];
}): object {
  const { members, upstream, state, credit } = measured;
  const links = 2 * Math.ceil(Math.log2(TARGET.entries));
  const perLink = statistics.fitLine(
    members.map((point) => ({
      x: point.linksEach,
      y: point.bytesPerSecondEach,
    })),
  );
  const cpuPerLink = statistics.fitLine(
    measured.links.map((point) => ({ x: point.links, y: point.cpuShare })),
  );
  const upstreamCpu = statistics.fitLine(
    measured.upstreamLinks.map(({ links, cpuShare }) => ({
      x: links,
      y: cpuShare,
    })),
  );
  const { partnersEach, loansPerSecondEach } = credit.homes;
  const allLinks = links + TARGET.subscribedRunners + partnersEach;
  const perChange = statistics.fitLine(
    members.map((point) => ({
      x: point.linksEach,
      y: point.bytesPerChangeEach,
    })),
  );
  const changeBytes = perChange.intercept + perChange.slope * links;
  const changesPerSecond = TARGET.changesPerDay / SECONDS_PER_DAY;
  const restartsPerSecond = TARGET.restartsPerDay / SECONDS_PER_DAY;
  const runnerLink = upstream[upstream.length - 1];
  const listBytes = (TARGET.entries + TARGET.runners) * LISTED_HOST_BYTES;
  const hostListBytes =
    UNCHANGED_LIST_BYTES + restartsPerSecond * LIST_CHANGES * listBytes;
  const entryBytes = {
    peers: perLink.intercept + perLink.slope * links,
    configuration: changesPerSecond * (changeBytes + state.sectionBytesAt12000),
    hostList: hostListBytes,
    credit:
      partnersEach * perLink.slope +
      2 * loansPerSecondEach * credit.owner.bytesPerLoan,
    // Each restarted entry is a few records, and reads all members of its
    // neighbours once; shared by all entries.
    restarts:
      restartsPerSecond *
      (3 * links + 2 * links) *
      state.fullExchangeBytesPerMember,
    runnersIdle:
      TARGET.subscribedRunners * runnerLink.idleBytesPerSecondPerLink,
    runnersBusy:
      TARGET.subscribedRunners * runnerLink.busyBytesPerSecondPerLink,
  };
  const control =
    entryBytes.peers +
    entryBytes.configuration +
    entryBytes.hostList +
    entryBytes.credit +
    entryBytes.restarts;
  const entriesPerRunner =
    (TARGET.entries * TARGET.subscribedRunners) / TARGET.runners;
  const coordinatorBytes =
    (TARGET.ranks * state.inspectBytesPerRank) / TARGET.planSeconds +
    (TARGET.ranks * state.stageChangesBytesPerRank) / TARGET.switchSeconds;
  return {
    target: TARGET,
    budget: BUDGET,
    entry: {
      links: Math.round(allLinks),
      bytesPerSecond: roundAll(entryBytes),
      controlBytesPerSecond: Math.round(control),
      controlWithBusyRunners: Math.round(control + entryBytes.runnersBusy),
      cpuShareOfIdleLinks: statistics.round(
        Math.max(0, cpuPerLink.intercept + cpuPerLink.slope * allLinks),
      ),
      stateMegabytes: statistics.round(
        (TARGET.accounts * state.bytesPerAccount +
          TARGET.entries * state.bytesPerMember) /
          1e6,
      ),
    },
    upstream: {
      links: Math.round(entriesPerRunner),
      cpuShareOfIdleLinks: statistics.round(
        upstreamCpu.intercept + upstreamCpu.slope * entriesPerRunner,
      ),
      idleBytesPerSecond: Math.round(
        entriesPerRunner * runnerLink.idleBytesPerSecondPerLink,
      ),
      busyBytesPerSecond: Math.round(
        entriesPerRunner * runnerLink.busyBytesPerSecondPerLink,
      ),
    },
    coordinator: {
      bytesPerSecondMore: Math.round(coordinatorBytes),
      bytesPerSecondWithBusyRunners: Math.round(
        control + entryBytes.runnersBusy + coordinatorBytes,
      ),
    },
    platform: {
      tableReadsPerSecond: HEAD_READS_PER_SECOND,
      tableWritesPerSecond: statistics.round(
        TARGET.groups * 1.4 + changesPerSecond,
      ),
      hostListBytesPerSecond: Math.round(TARGET.entries * hostListBytes),
    },
    fits: {
      peerBytesPerLink: roundAll(perLink),
      cpuPerLink: roundAll(cpuPerLink),
      upstreamCpuPerLink: roundAll(upstreamCpu),
      bytesPerChange: roundAll(perChange),
    },
  };
}

function roundAll<T extends Record<string, number>>(values: T): T {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [
      name,
      statistics.round(value),
    ]),
  ) as T;
}
