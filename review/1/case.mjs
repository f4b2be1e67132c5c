import * as perfHooks from "node:perf_hooks";
import * as configurationModule from "../stand_ins/configuration.mjs";
import * as deploymentModule from "../stand_ins/deployment.mjs";
import * as processes from "../stand_ins/processes.mjs";
import * as spellsModule from "../stand_ins/spells.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ENTRIES = 3;
const RUNNERS = 4;
/** Half of the runners spoil 5 in 100 of their answers, for 6 s at a time. */
const FAULTY = new Set(["i-1", "i-2"]);
const SPOILED_SHARE = 0.05;
const CALLERS = 54;
const PAUSE_MS = 600;
const PLAY_MS = 56_000;
/** LOST: more than three times. */
const MOST_LOST = 3;
const LEAST_REQUESTS = 1_500;

const spells = new spellsModule.Spells({ spellMs: 6_000, pauseMs: 4_000 });

function spoils(id) {
  return spells.last && FAULTY.has(id) && Math.random() < SPOILED_SHARE;
}

/** A sound answer with one bit of its status line flipped: 200 becomes 000. */
function spoil(id, sound) {
  if (!spoils(id)) return undefined;
  return sound.replace("HTTP/1.1 200", "HTTP/1.1 000");
}

/**
 * Requests from kept connections that an entry in touch passed on to a sound
 * runner, and whose connection ended without an answer. A process that ended by
 * itself counts as running all the while; its first seconds after the start are
 * left out nevertheless.
 */
function lost({ seen, runs, entries }) {
  return seen.filter(
    ({ id, entry, kept, status, end, sentAt }) =>
      entries.inTouch(entry, sentAt, deploymentModule.STABLE_MS) &&
      kept &&
      status === 0 &&
      end.startsWith("no answer") &&
      runs.has(id) &&
      !runs.get(id).some((runner) => FAULTY.has(runner)),
  );
}

async function play(deployment) {
  const { record, entries, seen } = deployment;
  await deployment.start({
    entryCount: ENTRIES,
    runnerCount: RUNNERS,
    routes: [configurationModule.route("stock", "unsafe", "desk")],
    more: { tenants: [{ name: "t", apiKeys: ["k"] }] },
    spoil,
  });
  await processes.sleep(deploymentModule.STABLE_MS);
  if (TROUBLE) spells.begin();
  const until = perfHooks.performance.now() + PLAY_MS;
  const headers = { "Api-Key": "k" };
  const request = { path: "/stock/a", headers, deadlineMs: 4_000 };
  const callers = Array.from({ length: CALLERS }, (_, number) => {
    const entry = number % ENTRIES;
    return deployment.call({ entry, until, pauseMs: PAUSE_MS, request });
  });
  await Promise.all(callers);
  const byEntry = Array.from(
    { length: ENTRIES },
    (_, entry) => lost(deployment).filter((one) => one.entry === entry).length,
  );
  record.tell(`requests: ${seen.length}`);
  record.tell(`entries that ended by themselves: ${entries.ownEnds.length}`);
  record.tell(`lost at each entry (LOST allows ${MOST_LOST}): ${byEntry}`);
  if (seen.length < LEAST_REQUESTS) return 2;
  return byEntry.some((count) => count > MOST_LOST) ? 1 : 0;
}

await deploymentModule.playCase(import.meta.dirname, play);
