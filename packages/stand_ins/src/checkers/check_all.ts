import * as checkAnswers from "./check_answers.ts";
import * as checkConfiguration from "./check_configuration.ts";
import * as checkExpertMap from "./check_expert_map.ts";
import * as checkLeaving from "./check_leaving.ts";
import * as checkPacing from "./check_pacing.ts";
import * as checkQuarantine from "./check_quarantine.ts";
import type * as historyModule from "./history.ts";

/** One checker per promise. */
export const CHECKERS: ((
  history: historyModule.History,
) => historyModule.Violation[])[] = [
  checkAnswers.checkWholeAnswers,
  checkAnswers.checkNotRun,
  checkAnswers.checkAtMostOnce,
  checkAnswers.checkPlannedStops,
  checkExpertMap.checkOneMap,
  checkLeaving.checkLeaving,
  checkConfiguration.checkNoRevert,
  checkConfiguration.checkInForceEverywhere,
  checkConfiguration.checkInForceSoon,
  checkQuarantine.checkEndings,
  checkQuarantine.checkInnocents,
  checkPacing.checkRateLimits,
  checkPacing.checkRests,
];

/** All violations in a history. */
export function checkAll(
  history: historyModule.History,
): historyModule.Violation[] {
  return CHECKERS.flatMap((check) => check(history));
}
