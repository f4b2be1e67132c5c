import * as perfHooks from "node:perf_hooks";
import * as configurationModule from "../stand_ins/configuration.mjs";
import * as deploymentModule from "../stand_ins/deployment.mjs";
import * as processes from "../stand_ins/processes.mjs";
import * as spellsModule from "../stand_ins/spells.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ENTRIES = 3;
const RUNNERS = 6;
/** Half of the runners spoil 5 in 100 of their answers, for 6 s at a time. */
const FAULTY = new Set(["i-1", "i-2", "i-3"]);
const SPOILED_SHARE = 0.05;
const CALLERS = 81;
const PAUSE_MS = 600;
const PLAY_MS = 56_000;
const TIMEOUT_MS = 2_000;
/** Clients wait for longer than the route's `timeoutMs`. */
const DEADLINE_MS = 8_000;
/** CONFIG: a final answer is due half a second after the route's `timeoutMs`. */
const SLACK_MS = 500;
/** CONFIG: eight or more requests, and over a quarter of those that last longer. */
const LEAST_UNANSWERED = 8;
const LARGEST_PART = 0.25;
const LEAST_REQUESTS = 1_500;

const spells = new spellsModule.Spells({ spellMs: 6_000, pauseMs: 4_000 });

/** Bytes that are no response to a request: its client asked for no upgrade. */
const NO_RESPONSE = [
  "HTTP/1.1 101 Switching Protocols",
  "Connection: Upgrade",
  "Upgrade: websocket",
  "",
  "",
].join("\r\n");

function spoils(id) {
  return spells.last && FAULTY.has(id) && Math.random() < SPOILED_SHARE;
}

function spoil(id) {
  return spoils(id) ? NO_RESPONSE : undefined;
}

async function play(deployment) {
  const { record, entries, seen } = deployment;
  await deployment.start({
    entryCount: ENTRIES,
    runnerCount: RUNNERS,
    routes: [
      configurationModule.route("stock", "unsafe", "desk", {
        timeoutMs: TIMEOUT_MS,
      }),
    ],
    more: { tenants: [{ name: "t", apiKeys: ["k"] }] },
    spoil,
  });
  await processes.sleep(deploymentModule.STABLE_MS);
  if (TROUBLE) spells.begin();
  const until = perfHooks.performance.now() + PLAY_MS;
  const headers = { "Api-Key": "k" };
  const request = { path: "/stock/a", headers, deadlineMs: DEADLINE_MS };
  const callers = Array.from({ length: CALLERS }, (_, number) => {
    const entry = number % ENTRIES;
    return deployment.call({ entry, until, pauseMs: PAUSE_MS, request });
  });
  await Promise.all(callers);
  const inTouch = seen.filter(({ entry, sentAt }) =>
    entries.inTouch(entry, sentAt, deploymentModule.STABLE_MS),
  );
  const lasted = ({ sentAt, endedAt }) => endedAt - sentAt;
  const longer = inTouch.filter((one) => lasted(one) > TIMEOUT_MS);
  const due = TIMEOUT_MS + SLACK_MS;
  const unanswered = longer.filter((one) => lasted(one) > due);
  const never = unanswered.filter(({ end }) => end === "deadline");
  record.tell(`requests: ${seen.length}`);
  record.tell(`longer than timeoutMs at machines in touch: ${longer.length}`);
  record.tell(`of these without an answer 0.5 s later: ${unanswered.length}`);
  record.tell(`of these without one at their deadline: ${never.length}`);
  if (seen.length < LEAST_REQUESTS) return 2;
  const broken =
    unanswered.length >= LEAST_UNANSWERED &&
    unanswered.length > longer.length * LARGEST_PART;
  return broken ? 1 : 0;
}

await deploymentModule.playCase(import.meta.dirname, play);
