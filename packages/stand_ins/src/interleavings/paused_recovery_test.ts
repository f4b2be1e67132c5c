import * as ava from "ava";
import * as pausedRecovery from "./paused_recovery.ts";

const test = ava.default;

/**
 * Engine calls after which the first leader dies: an iteration is held, and none,
 * one or two of three ranks are armed.
 */
const DEATHS = [8, 10, 12];
/** More engine calls than a process makes in its part of the run. */
const MAX_CALLS = 80;

const SUCCESSIONS = {
  "the next leader is a third process": { pausedRank: 1, nextRank: 2 },
  "the next leader is the first one, restarted": { pausedRank: 2, nextRank: 0 },
};

/**
 * Runs all combinations of a point at which a process is paused and a point of
 * the next leader at which it continues. Returns their number.
 */
async function runAllPoints(
  t: ava.ExecutionContext,
  run: Omit<pausedRecovery.PausedRecoveryRun, "pausedAfter" | "wokenAfter">,
): Promise<number> {
  let runs = 0;
  for (let pausedAfter = 1; pausedAfter < MAX_CALLS; pausedAfter++) {
    for (let wokenAfter = 1; wokenAfter < MAX_CALLS; wokenAfter++) {
      const points = { ...run, pausedAfter, wokenAfter };
      const result = await pausedRecovery.runPausedRecovery(points);
      const isGood =
        !result.mixed && result.freed && result.wasHeld === run.diesAfter > 0;
      if (!isGood) t.fail(JSON.stringify({ points, result }));
      if (!isGood || !result.wasPaused) return runs;
      runs++;
      if (!result.wasNextBusy) break;
    }
  }
  return runs;
}

for (const [name, ranks] of Object.entries(SUCCESSIONS)) {
  for (const counting of [true, false]) {
    for (const passesAtOnce of [true, false]) {
      const engines = counting ? "count orders" : "don't count orders";
      const passes = passesAtOnce ? "at once" : "late";
      const world = `${name}, engines ${engines}, passes begin ${passes}`;

      // Callers would get answers made with two maps. A leader dies in the middle of
      // its switch, its successor is paused in the middle of rolling it back, and
      // the next leader ends that and begins a switch of its own. The paused
      // process continues without having heard of it, and finds ranks armed and an
      // iteration held by a leader that it doesn't know. Engines check no fencing
      // token. It is paused after each of its engine calls, and continues after each
      // one of the next leader.
      test(`one map in every pass when a recovery is paused: ${world}`, async (t) => {
        let runs = 0;
        for (const diesAfter of DEATHS) {
          const dying = { diesAfter, pausedLeads: false };
          const run = { ...ranks, ...dying, counting, passesAtOnce };
          runs += await runAllPoints(t, run);
        }
        t.true(runs > 0);
        t.log(`${runs} runs`);
      });

      // Answers made with two maps, as above. Here the leader is paused in the middle
      // of its own switch, before or after it holds an iteration and arms ranks,
      // and continues in the middle of the switch of its successor.
      test(`one map in every pass when a switch is paused: ${world}`, async (t) => {
        const leading = { diesAfter: 0, pausedLeads: true };
        const run = { ...ranks, ...leading, counting, passesAtOnce };
        const runs = await runAllPoints(t, run);
        t.true(runs > 0);
        t.log(`${runs} runs`);
      });
    }
  }
}
