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
/** Bytes of the host list that an entry reads in a second, at most. */
const HOST_LIST_BYTES_PER_SECOND = 6_000;

/** What the slopes come to at the target's size, against the budget. */
export function capacityTable(measured: {
  members: capacityMembers.MembersPoint[];
  upstream: capacityUpstream.UpstreamPoint[];
  state: capacityState.StateSlopes;
}): object {
  const { members, upstream, state } = measured;
  const links = 2 * Math.ceil(Math.log2(TARGET.entries));
  const perLink = statistics.fitLine(
    members.map((point) => ({
      x: point.linksEach,
      y: point.bytesPerSecondEach,
    })),
  );
  const cpuPerLink = statistics.fitLine(
    members.map((point) => ({ x: point.linksEach, y: point.cpuShareEach })),
  );
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
  const entryBytes = {
    peers: perLink.intercept + perLink.slope * links,
    configuration: changesPerSecond * (changeBytes + state.sectionBytesAt12000),
    fullExchange: (state.fullExchangeBytesPerMember * TARGET.entries) / 30,
    hostList: HOST_LIST_BYTES_PER_SECOND,
    restarts: restartsPerSecond * 3 * links * state.fullExchangeBytesPerMember,
    runnersIdle:
      TARGET.subscribedRunners * runnerLink.idleBytesPerSecondPerLink,
    runnersBusy:
      TARGET.subscribedRunners * runnerLink.busyBytesPerSecondPerLink,
  };
  const control =
    entryBytes.peers +
    entryBytes.configuration +
    entryBytes.fullExchange +
    entryBytes.hostList +
    entryBytes.restarts;
  const entriesPerRunner =
    (TARGET.entries * TARGET.subscribedRunners) / TARGET.runners;
  const coordinatorBytes =
    (TARGET.ranks * state.inspectBytesPerRank) / TARGET.planSeconds +
    (TARGET.ranks * state.stageBytesPerRank) / TARGET.switchSeconds;
  return {
    target: TARGET,
    budget: BUDGET,
    entry: {
      links: links + TARGET.subscribedRunners,
      bytesPerSecond: roundAll(entryBytes),
      controlBytesPerSecond: Math.round(control),
      controlWithBusyRunners: Math.round(control + entryBytes.runnersBusy),
      cpuShareOfPeers: statistics.round(
        Math.max(0, cpuPerLink.intercept + cpuPerLink.slope * links),
      ),
      stateMegabytes: statistics.round(
        (TARGET.accounts * state.bytesPerAccount +
          TARGET.entries * state.bytesPerMember) /
          1e6,
      ),
    },
    upstream: {
      links: Math.round(entriesPerRunner),
      idleBytesPerSecond: Math.round(
        entriesPerRunner * runnerLink.idleBytesPerSecondPerLink,
      ),
      busyBytesPerSecond: Math.round(
        entriesPerRunner * runnerLink.busyBytesPerSecondPerLink,
      ),
    },
    coordinator: { bytesPerSecond: Math.round(coordinatorBytes) },
    platform: {
      tableReadsPerSecond: HEAD_READS_PER_SECOND + TARGET.groups,
      tableWritesPerSecond: statistics.round(
        TARGET.groups * 1.4 + changesPerSecond,
      ),
      hostListBytesPerSecond: TARGET.entries * HOST_LIST_BYTES_PER_SECOND,
    },
    fits: {
      peerBytesPerLink: roundAll(perLink),
      cpuPerLink: roundAll(cpuPerLink),
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
