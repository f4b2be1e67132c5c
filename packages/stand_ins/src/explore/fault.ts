/** Faults by name. */
export enum FaultKind {
  StallRank = "stall-rank",
  SlowRank = "slow-rank",
  BreakStreams = "break-streams",
  RefuseCalls = "refuse-calls",
  DropCacheEvents = "drop-cache-events",
  BreakPlainAnswers = "break-plain-answers",
  DropPlainCalls = "drop-plain-calls",
  SlowPlain = "slow-plain",
  KillUpstream = "kill-upstream",
  KillEntry = "kill-entry",
  KillCoordinator = "kill-coordinator",
  SilentUpstreamLinks = "silent-upstream-links",
  SilentPeerLinks = "silent-peer-links",
  CutUpstreamLinks = "cut-upstream-links",
  UnreachableUpstream = "unreachable-upstream",
  LateMessages = "late-messages",
  StoreDown = "store-down",
  StoreSilent = "store-silent",
  StoreSlow = "store-slow",
  LostStoreAnswers = "lost-store-answers",
  LateStoreWrites = "late-store-writes",
  StaleStoreReads = "stale-store-reads",
  HostListLag = "host-list-lag",
  LostOrderAnswers = "lost-order-answers",
  LateOrders = "late-orders",
  OperatorsRace = "operators-race",
  SwitchPreset = "switch-preset",
  Maintenance = "maintenance",
  DrainUpstream = "drain-upstream",
  DrainEntry = "drain-entry",
  ReplaceUpstream = "replace-upstream",
  LostOrders = "lost-orders",
  EndingRequest = "ending-request",
  StoreReturns = "store-returns",
  RateLimit = "rate-limit",
  Rest = "rest",
}

/** Faults that are no faults but planned stops: they cut off nothing. */
export const PLANNED = new Set([
  FaultKind.SwitchPreset,
  FaultKind.Maintenance,
  FaultKind.DrainUpstream,
  FaultKind.DrainEntry,
  FaultKind.OperatorsRace,
]);

/** A fault with its time in the run and its length. */
export interface TimedFault {
  kind: FaultKind;
  atMilliseconds: number;
  lengthMilliseconds: number;
}

/** A run that can be replayed. */
export interface ExploreCase {
  seed: number;
  milliseconds: number;
  faults: TimedFault[];
}
