import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as callersModule from "../../stand_ins_2/callers.mjs";
import * as entriesModule from "../../stand_ins_2/entries.mjs";
import * as runnerModule from "../../stand_ins_2/runner.mjs";
import * as storeModule from "../../stand_ins_2/store.mjs";

/** Bounds of the small deployments. */
const DRAIN_MILLISECONDS = 2_000;
const RECOVERY_MILLISECONDS = 12_000;

const REQUESTS_PER_SECOND = 20;
const DOWN_MILLISECONDS = 700;
/** From the return of the machines to the requests that expect a version. */
const EXPECTING_AT_MILLISECONDS = 6_000;
/** How many such requests each entry gets, one a second. */
const EXPECTING = 3;
/** How long traffic goes on after the time for the recovery. */
const JUDGED_MILLISECONDS = 20_000;

const TROUBLE = process.env.TROUBLE !== "0";
const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const ZONES = ["heredia", "alajuela", "cartago"];
const SERVICE = "asistente";
const OLD_WEIGHTS = 1;
const NEW_WEIGHTS = 2;
const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: "confirma",
      host: "h.example",
      prefix: "/confirma/",
      kind: "stream",
      resumable: true,
      service: SERVICE,
      maxAttempts: 2,
      timeoutMs: 8_000,
      targetLatencyMs: 401,
      targetGapMs: 120,
      priority: 1,
      public: true,
    },
  ],
  services: [{ name: SERVICE, healthPath: "/healthz", maxConnections: 248 }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

const events = [];
const startedAt = Date.now();

function note(event, facts = {}) {
  events.push({ at: Date.now() - startedAt, event, ...facts });
}

/** A caller that goes on with the version of the weights that it began with. */
async function sendExpecting(entries, host, version) {
  const request = crypto.randomBytes(8).toString("hex");
  const { status } = await entriesModule.ask({
    host: entries.addressOf(host),
    port: 8227,
    method: "POST",
    path: "/confirma/1",
    headers: {
      Host: "h.example",
      "Geraniumkeel-Request-Id": request,
      "Geraniumkeel-Deadline-Ms": "8000",
      "Geraniumkeel-Expect-Version": String(version),
      "Content-Length": "2",
    },
    body: "{}",
    timeoutMilliseconds: 8_000,
  });
  note("a request that expects a version", { host, version, request, status });
}

/** Replaces the runners one after the other; the new ones have other weights. */
async function release({ runners, newRunner }) {
  for (const leaver of runners.slice()) {
    await newRunner(leaver.parameters.zone, NEW_WEIGHTS);
    await entriesModule.sleep(1_000);
    leaver.unregister();
    note("a runner is replaced", { runner: leaver.id });
    void entriesModule.sleep(2 * DRAIN_MILLISECONDS).then(() => leaver.stop());
  }
  await entriesModule.sleep(2 * DRAIN_MILLISECONDS + 500);
}

async function play({ store, entries, runners, newRunner }) {
  await entriesModule.sleep(4_000);
  await release({ runners, newRunner });
  store.put("op", "config", { ...CONFIGURATION, version: 8 });
  const faultAt = Date.now();
  for (const host of entries.hosts) entries.signal(host, "SIGKILL");
  note("the final fault: all processes are killed");
  await entriesModule.sleep(DOWN_MILLISECONDS);
  for (const host of entries.hosts) entries.spawn(host);
  const backAt = Date.now();
  note("the machines are back");
  await entriesModule.sleep(EXPECTING_AT_MILLISECONDS);
  const expected = TROUBLE ? OLD_WEIGHTS : NEW_WEIGHTS;
  for (let count = 0; count < EXPECTING; count++) {
    for (const host of entries.hosts)
      await sendExpecting(entries, host, expected);
    await entriesModule.sleep(1_000);
  }
  const end = backAt + RECOVERY_MILLISECONDS + JUDGED_MILLISECONDS;
  await entriesModule.sleep(end - Date.now());
  return { faultAt, backAt };
}

/** Share of the requests of a span that were served, from 0 to 1. */
function servedShare(sent, from, to) {
  const lines = sent.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  const served = lines.filter(({ status }) => status === 200).length;
  return { sent: lines.length, served };
}

function writeRecord({ callers, runners, before, after }) {
  const lines = [
    `TROUBLE=${TROUBLE ? 1 : 0}`,
    "",
    "events (milliseconds from the start)",
    ...events.map((event) => JSON.stringify(event)),
    "",
    "requests: sent (milliseconds from the start), to, status, milliseconds",
    ...callers.sent.map(
      ({ request, sentAt, to, status, milliseconds, error = "" }) =>
        `${request} ${sentAt - startedAt} ${to} ${status} ${milliseconds} ${error}`,
    ),
    "",
    "runs by runner: at (milliseconds from the start), request",
    ...runners.flatMap(({ id, runs, turnedAway }) => [
      `runner ${id}, turned away for their version: ${turnedAway.length}`,
      ...runs.map(({ at, request }) => `${at - startedAt} ${request}`),
    ]),
    "",
    `before the final fault: ${JSON.stringify(before)}`,
    `later than ${RECOVERY_MILLISECONDS} ms after the return: ${JSON.stringify(after)}`,
    "",
  ];
  fs.writeFileSync(path.join(HERE, "record.txt"), lines.join("\n"));
}

async function main() {
  const network = await callersModule.freeNetwork([
    7340, 8220, 8224, 8227, 8229, 9464,
  ]);
  const store = new storeModule.Store();
  store.put("op", "config", CONFIGURATION);
  const runners = [];
  const newRunner = async (zone, weights) => {
    const address = `${network}.${100 + runners.length}`;
    const runner = new runnerModule.Runner({
      store,
      service: SERVICE,
      address,
      zone,
      slots: 8,
      weights,
      events: 20,
    });
    runners.push(runner);
    await runner.start();
  };
  const entries = new entriesModule.Entries({ store, network, zones: ZONES });
  const callers = new callersModule.Callers({
    entries,
    method: "POST",
    path: "/confirma/1",
    deadlineMilliseconds: 8_000,
  });
  const end = () => {
    entries.close();
    for (const runner of runners) runner.stop();
    store.close();
  };
  process.once("SIGTERM", () => {
    end();
    process.exit(2);
  });
  try {
    for (const zone of [...ZONES, ZONES[0]]) await newRunner(zone, OLD_WEIGHTS);
    await entries.start();
    note("all entries are ready");
    const trafficFrom = Date.now();
    await callers.start(REQUESTS_PER_SECOND);
    const { faultAt, backAt } = await play({
      store,
      entries,
      runners,
      newRunner,
    });
    await callers.stop();
    const recovered = backAt + RECOVERY_MILLISECONDS;
    const before = servedShare(callers.sent, trafficFrom, faultAt);
    const after = servedShare(callers.sent, recovered, Infinity);
    writeRecord({ callers, runners, before, after });
    process.stdout.write(
      `served before the final fault ${before.served} of ${before.sent}, after the recovery ${after.served} of ${after.sent}\n`,
    );
    if (after.sent === 0 || before.served < before.sent / 4) return 2;
    return after.served < after.sent / 4 ? 1 : 0;
  } finally {
    end();
  }
}

main().then(
  (status) => process.exit(status),
  (cause) => {
    process.stderr.write(`${cause.stack}\n`);
    process.exit(2);
  },
);
