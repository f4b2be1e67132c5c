import * as ava from "ava";
import * as fault from "./fault.ts";
import * as runCase from "./run_case.ts";
import * as schedule from "./schedule.ts";

const test = ava.default;
const { FaultKind } = fault;

/** Pairs that have met in practice, or that undermine each other's cure. */
const PAIRS: [fault.FaultKind, fault.FaultKind][] = [
  [FaultKind.KillEntry, FaultKind.LostStoreAnswers],
  [FaultKind.KillEntry, FaultKind.StoreDown],
  [FaultKind.KillUpstream, FaultKind.SilentUpstreamLinks],
  [FaultKind.KillUpstream, FaultKind.BreakPlainAnswers],
  [FaultKind.KillCoordinator, FaultKind.LateOrders],
  [FaultKind.KillCoordinator, FaultKind.LostOrderAnswers],
  [FaultKind.KillCoordinator, FaultKind.KillUpstream],
  [FaultKind.SilentUpstreamLinks, FaultKind.LateMessages],
  [FaultKind.StoreSilent, FaultKind.OperatorsRace],
  [FaultKind.LateStoreWrites, FaultKind.OperatorsRace],
  [FaultKind.StaleStoreReads, FaultKind.SwitchPreset],
  [FaultKind.HostListLag, FaultKind.DrainUpstream],
  [FaultKind.Maintenance, FaultKind.StallRank],
  [FaultKind.DrainEntry, FaultKind.DrainUpstream],
  [FaultKind.UnreachableUpstream, FaultKind.SlowRank],
  [FaultKind.CutUpstreamLinks, FaultKind.BreakStreams],
  [FaultKind.LostOrders, FaultKind.ReplaceUpstream],
  [FaultKind.LostOrders, FaultKind.DrainUpstream],
  [FaultKind.EndingRequest, FaultKind.KillEntry],
  [FaultKind.EndingRequest, FaultKind.SilentPeerLinks],
  [FaultKind.EndingRequest, FaultKind.BreakStreams],
  [FaultKind.StoreReturns, FaultKind.SwitchPreset],
  [FaultKind.StoreReturns, FaultKind.KillEntry],
  [FaultKind.StoreReturns, FaultKind.KillCoordinator],
  [FaultKind.StoreReturns, FaultKind.BreakPlainAnswers],
  [FaultKind.StoreReturns, FaultKind.StoreReturns],
  [FaultKind.RateLimit, FaultKind.KillEntry],
  [FaultKind.RateLimit, FaultKind.BreakStreams],
  [FaultKind.RateLimit, FaultKind.Rest],
  [FaultKind.Rest, FaultKind.SilentUpstreamLinks],
];

/** Cases of a part of the fault tests; parts run in processes of their own. */
function casesOf(
  part: number,
  parts: number,
): { title: string; one: fault.ExploreCase }[] {
  const singles = Object.values(FaultKind).map((kind) => ({
    title: `every promise holds under ${kind}`,
    one: schedule.singleCase(kind),
  }));
  const pairs = PAIRS.map(([first, second]) => ({
    title: `every promise holds under ${first} with ${second}`,
    one: schedule.pairCase(first, second),
  }));
  return [...singles, ...pairs].filter((_, index) => index % parts === part);
}

/**
 * Callers see answers, refusals and breaks while faults are on, a second one
 * striking while the first is; afterwards the history of callers, engines and
 * processes is checked against every promise.
 */
export function registerFaultTests(part: number, parts: number): void {
  for (const { title, one } of casesOf(part, parts)) {
    test(title, async (t) => {
      const result = await runCase.runCase(one);
      t.deepEqual(result.violations, []);
      t.true((result.outcomes.whole ?? 0) > 0);
    });
  }
}
