import * as ava from "ava";
import * as checkAll from "./check_all.ts";
import * as checkAnswers from "./check_answers.ts";
import * as checkConfiguration from "./check_configuration.ts";
import * as checkExpertMap from "./check_expert_map.ts";
import * as checkLeaving from "./check_leaving.ts";
import * as checkPacing from "./check_pacing.ts";
import * as checkQuarantine from "./check_quarantine.ts";
import * as historyModule from "./history.ts";

const test = ava.default;

/** A history in which every promise was kept. */
function soundHistory(): historyModule.History {
  return {
    calls: [
      call({ work: "a", outcome: "whole" }),
      call({ work: "b", outcome: "not-run" }),
      call({ work: "c", outcome: "may-have-run", repeatable: false }),
    ],
    starts: new Map([
      ["a", 2],
      ["c", 1],
    ]),
    mapUses: [
      { rank: 0, step: 0, version: 1 },
      { rank: 1, step: 0, version: 1 },
      { rank: 0, step: 9, version: 2 },
      { rank: 1, step: 9, version: 2 },
    ],
    stepsTaken: 20,
    mixedSteps: 0,
    workStarts: [{ host: "up", at: 1_000 }],
    arrivals: [],
    endings: [
      { work: "d", starts: [1, 2, 3, 3_050], ends: [10, 20, 30, 3_060] },
    ],
    leavings: [{ host: "up", at: 500 }],
    inForce: [
      { process: "e1", revision: 1, at: 0 },
      { process: "e1", revision: 3, at: 5 },
      { process: "e2", revision: 3, at: 6 },
    ],
    accepted: [{ revision: 3, at: 4 }],
    final: [{ process: "e1", revision: 3 }],
  };
}

function call(
  change: Partial<historyModule.CallRecord>,
): historyModule.CallRecord {
  return {
    work: "x",
    repeatable: true,
    outcome: "whole",
    detail: "",
    duringPlannedStopOnly: false,
    ...change,
  };
}

test("a sound history has no violation", (t) => {
  t.deepEqual(checkAll.checkAll(soundHistory()), []);
});

test("an answer that is not the caller's own is found", (t) => {
  const history = soundHistory();
  history.calls.push(call({ work: "d", outcome: "wrong" }));
  t.is(checkAnswers.checkWholeAnswers(history).length, 1);
});

test("a request told not run that ran is found", (t) => {
  const history = soundHistory();
  history.starts.set("b", 1);
  t.is(checkAnswers.checkNotRun(history).length, 1);
});

test("a non-repeatable request that ran twice is found", (t) => {
  const history = soundHistory();
  history.starts.set("c", 2);
  t.is(checkAnswers.checkAtMostOnce(history).length, 1);
});

test("a request cut off by a planned stop is found", (t) => {
  const history = soundHistory();
  const duringPlannedStopOnly = true;
  history.calls.push(call({ outcome: "broken", duringPlannedStopOnly }));
  t.is(checkAnswers.checkPlannedStops(history).length, 1);
});

test("a step with two maps is found", (t) => {
  const history = soundHistory();
  history.mapUses[3].step = 10;
  const [violation] = checkExpertMap.checkOneMap(history);
  t.regex(violation.detail, /step 9/);
});

test("a map that changed in the middle of a step is found", (t) => {
  const history = { ...soundHistory(), mixedSteps: 1 };
  t.is(checkExpertMap.checkOneMap(history).length, 1);
});

test("work for a host long gone is found", (t) => {
  const history = soundHistory();
  history.workStarts.push({ host: "up", at: 9_000 });
  t.is(checkLeaving.checkLeaving(history).length, 1);
});

test("a process that goes back in revision is found", (t) => {
  const history = soundHistory();
  history.inForce.push({ process: "e1", revision: 2, at: 9 });
  t.is(checkConfiguration.checkNoRevert(history).length, 1);
});

test("a process that gets an accepted revision too late is found", (t) => {
  const limit = checkConfiguration.IN_FORCE_LIMIT_MILLISECONDS;
  const history = historyModule.emptyHistory();
  history.accepted.push({ revision: 2, at: 100 });
  const process = "e1";
  history.inForce.push({ process, revision: 1, at: 50 });
  history.inForce.push({ process, revision: 2, at: 100 + limit + 1 });
  t.is(checkConfiguration.checkInForceSoon(history).length, 1);
  history.inForce[1].at = 100 + limit;
  t.deepEqual(checkConfiguration.checkInForceSoon(history), []);
});

test("a process that never gets an accepted revision is found", (t) => {
  const history = soundHistory();
  history.final.push({ process: "e2", revision: 1 });
  t.is(checkConfiguration.checkInForceEverywhere(history).length, 1);
});

test("a request that goes on ending engines is found", (t) => {
  const history = soundHistory();
  const starts = [1, 2, 3, 3_100, 3_200, 3_300, 3_400];
  history.endings = [{ work: "d", starts, ends: [10, 20, 30] }];
  const [found] = checkQuarantine.checkEndings(history);
  t.regex(found.detail, /^d: 4 starts/);
  history.endings = [{ work: "d", starts, ends: [10, 20] }];
  t.deepEqual(checkQuarantine.checkEndings(history), []);
});

test("a request that is held without reason is found", (t) => {
  const history = soundHistory();
  history.calls.push(
    call({ work: "e", outcome: "not-run", detail: "503 quarantined" }),
  );
  t.is(checkQuarantine.checkInnocents(history).length, 1);
});

test("an engine that gets more than it takes, or no rest, is found", (t) => {
  const history = soundHistory();
  const arrivalOf = (at: number): historyModule.ArrivalRecord => ({
    host: "rank-0",
    at,
    perSecond: 1,
    restMilliseconds: undefined,
  });
  history.arrivals = [0, 200, 1_000, 2_000].map(arrivalOf);
  t.deepEqual(checkPacing.checkRateLimits(history), []);
  history.arrivals = Array.from({ length: 20 }, (_, at) => arrivalOf(at * 100));
  t.is(checkPacing.checkRateLimits(history).length, 1);
  history.arrivals = history.arrivals.map((one) => ({
    ...one,
    perSecond: undefined,
    restMilliseconds: one.at === 0 ? 600 : undefined,
  }));
  t.is(checkPacing.checkRests(history).length, 1);
  history.arrivals = history.arrivals.filter(({ at }) => at === 0 || at > 600);
  t.deepEqual(checkPacing.checkRests(history), []);
});
