/**
 * Callers read streams that come without a length and without chunks. One entry
 * freezes for four seconds. Meanwhile one of eight runners crashes, and is back
 * at its address, as a new incarnation, before the entry wakes. No stream may
 * end as complete before its last event. With TROUBLE=0 nothing freezes and
 * nothing crashes.
 */
import * as deploymentModule from "../../stand_ins_4/deployment.mjs";

const { ask, sleep } = deploymentModule;
const TROUBLE = process.env.TROUBLE !== "0";
const RUNNERS = 8;
const ENTRIES = 2;
const EVENTS = 60;
const GAP_MS = 90;
/** One stream each so long; some 54 run at any time, of 64 slots. */
const PAUSE_MS = 100;
const SENDING_MS = 9_000;
const FREEZE_AT_MS = 4_000;
const CRASH_AFTER_MS = 300;
const DOWN_MS = 2_000;
const FROZEN_MS = 4_000;

const RUNNER = {
  service: "asistente",
  answer: "stream",
  framed: false,
  events: EVENTS,
  gapMs: GAP_MS,
};

const deployment = new deploymentModule.Deployment(import.meta.dirname, {
  version: 1,
  routes: [
    {
      name: "confirma",
      host: "h.example",
      prefix: "/confirma/",
      kind: "stream",
      service: "asistente",
      maxAttempts: 2,
      timeoutMs: 8_000,
      targetLatencyMs: 401,
      targetGapMs: 120,
      priority: 1,
      public: false,
      resumable: true,
    },
  ],
  services: [{ name: "asistente" }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: "t1", apiKeys: ["key-1"] }],
});

const results = [];

async function call(number) {
  const entry = 1 + (number % ENTRIES);
  const id = `q${String(number).padStart(4, "0")}`;
  deployment.note(`client sends ${id}`);
  const answer = await ask({
    host: deployment.addressOf(entry),
    port: 8227,
    method: "POST",
    path: "/confirma/x",
    headers: {
      Host: "h.example",
      "Api-Key": "key-1",
      "Geraniumkeel-Request-Id": id,
      "Geraniumkeel-Deadline-Ms": "8022",
      "Content-Length": 4,
    },
    body: "text",
  });
  const numbers = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, text]) =>
    Number(text),
  );
  const inOrder = numbers.every((value, index) => value === index + 1);
  const last = numbers.at(-1) ?? 0;
  const { status, complete } = answer;
  const isBroken = status === 200 && (!inOrder || (complete && last < EVENTS));
  const verdict = isBroken ? " BROKEN: ORDER" : "";
  deployment.note(
    `client gets ${id} from entry ${entry}: status ${status}, events to ${last} of ${EVENTS}, ${complete ? "ends as complete" : "ends broken off"}${verdict}`,
  );
  results.push({ entry, status, complete, last, isBroken });
}

async function main() {
  await deployment.startEntries(ENTRIES);
  for (let number = 1; number <= RUNNERS; number++) {
    await deployment.startRunner({ ...RUNNER, name: `r${number}` });
  }
  await sleep(2_500);
  const calls = [];
  const work = TROUBLE ? disrupt() : undefined;
  for (let sent = 0; sent * PAUSE_MS < SENDING_MS; sent++) {
    calls.push(call(sent));
    await sleep(PAUSE_MS);
  }
  await Promise.all([...calls, work]);
  // Case 6 is about those that break at the other entry.
  const broken = results.filter(
    ({ entry, isBroken }) => entry === 1 && isBroken,
  ).length;
  const whole = results.filter(
    ({ status, complete, last }) =>
      status === 200 && complete && last === EVENTS,
  ).length;
  const summary = `${results.length} streams, ${whole} whole, ${broken} at the frozen entry end as complete before their last event`;
  deployment.note(summary);
  process.stdout.write(`${summary}\n`);
  if (whole < results.length / 2) return 2;
  return broken > 0 ? 1 : 0;
}

async function disrupt() {
  await sleep(FREEZE_AT_MS);
  deployment.signalEntry(1, "SIGSTOP");
  await sleep(CRASH_AFTER_MS);
  const { port } = deployment.runner("r1");
  await deployment.killRunner("r1");
  await sleep(DOWN_MS);
  await deployment.startRunner({ ...RUNNER, name: "r1", port });
  await sleep(FROZEN_MS - CRASH_AFTER_MS - DOWN_MS);
  deployment.signalEntry(1, "SIGCONT");
}

let code = 2;
try {
  code = await main();
} catch (cause) {
  deployment.note(`could not run: ${cause.stack}`);
  process.stderr.write(`${cause.stack}\n`);
} finally {
  await deployment.close();
}
process.exit(code);
