import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as callersModule from "../../stand_ins_2/callers.mjs";
import * as entriesModule from "../../stand_ins_2/entries.mjs";
import * as runnerModule from "../../stand_ins_2/runner.mjs";
import * as storeModule from "../../stand_ins_2/store.mjs";

/** Bounds of the small deployments. */
const DRAIN_MILLISECONDS = 2_000;
const STABLE_WINDOW_MILLISECONDS = 3_000;

const REQUESTS_PER_SECOND = 20;
const TURNED_AWAY_MILLISECONDS = 4_000;
/** A runner that has left the store goes on to serve for so long. */
const LINGER_MILLISECONDS = 12_000;
/** From the end of its entry in the store to the first planned restart. */
const RESTART_AFTER_MILLISECONDS = 1_000;

const TROUBLE = process.env.TROUBLE !== "0";
const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const ZONES = ["heredia", "alajuela", "cartago"];
/** Zones of the entry hosts, as on the sheet: three, two and one. */
const ENTRY_ZONES = ["heredia", "heredia", "alajuela", "alajuela", "cartago"];
/** So many of the other hosts are restarted, one after the other. */
const RESTARTED = 2;
const SERVICE = "bodega";
const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: "ruta",
      host: "h.example",
      prefix: "/ruta/",
      kind: "safe",
      service: SERVICE,
      maxAttempts: 2,
      timeoutMs: 2_000,
      targetLatencyMs: 300,
      priority: 2,
      public: true,
    },
  ],
  services: [{ name: SERVICE, healthPath: "/healthz", maxConnections: 96 }],
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

/** Hosts that polled the list of runners in the last seconds. */
function pollers(store, milliseconds) {
  const recent = store.calls.filter(
    ({ at, table }) => table === "servers" && at >= Date.now() - milliseconds,
  );
  return [...new Set(recent.map(({ host }) => host))];
}

async function play({ store, entries, callers, runners, newRunner }) {
  await entriesModule.sleep(4_000);
  const before = pollers(store, 1_500);
  const [turnedAway] = before;
  note("hosts that poll the store", { hosts: before });
  if (TROUBLE) {
    note("the store turns a host away", { host: turnedAway });
    store.turnedAway.add(turnedAway);
    await entriesModule.sleep(TURNED_AWAY_MILLISECONDS);
    store.turnedAway.delete(turnedAway);
    note("the store serves that host again", { host: turnedAway });
  }
  // All hosts are in touch again.
  await entriesModule.sleep(STABLE_WINDOW_MILLISECONDS + 200);
  note("hosts that poll the store", { hosts: pollers(store, 1_500) });

  const zone = entries.zones[entries.hosts.indexOf(turnedAway)];
  const leaver = runners.find((runner) => runner.parameters.zone === zone);
  await newRunner(zone);
  await entriesModule.sleep(500);
  const goneAt = leaver.unregister();
  note("a runner is replaced: its entry is gone", { runner: leaver.id });
  const stopTimer = entriesModule.sleep(LINGER_MILLISECONDS).then(() => {
    note("that runner exits", { runner: leaver.id });
    leaver.stop();
  });
  await entriesModule.sleep(RESTART_AFTER_MILLISECONDS);
  const others = entries.hosts.filter((host) => host !== turnedAway);
  const restarted = [];
  for (const host of others.slice(0, RESTARTED)) {
    restarted.push(host);
    note("a host is restarted as planned", { host });
    await entries.restart(host);
    note("it is ready again", { host });
  }
  await stopTimer;
  await entriesModule.sleep(500);
  await callers.stop();
  return { leaver, goneAt, restarted };
}

function judge({ leaver, goneAt, restarted, callers, entries }) {
  const disrupted = restarted.map((host) => entries.addressOf(host));
  const sent = new Map(callers.sent.map((line) => [line.request, line]));
  return leaver.runs
    .filter(({ at }) => at > goneAt + DRAIN_MILLISECONDS)
    .map((run) => ({ ...run, line: sent.get(run.request) }))
    .filter(({ line }) => line && !disrupted.includes(line.to))
    .map(({ at, request, line }) => ({
      request,
      through: line.to,
      sentAfterGone: line.sentAt - goneAt,
      ranAfterGone: at - goneAt,
    }));
}

function writeRecord({ runners, callers, late, goneAt }) {
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
    ...runners.flatMap(({ id, runs }) => [
      `runner ${id}`,
      ...runs.map(({ at, request }) => `${at - startedAt} ${request}`),
    ]),
    "",
    `entry of the runner gone at ${goneAt - startedAt}`,
    `requests that reached it over ${DRAIN_MILLISECONDS} ms later: ${late.length}`,
    ...late.map((run) => JSON.stringify(run)),
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
  const newRunner = async (zone) => {
    const address = `${network}.${100 + runners.length}`;
    const runner = new runnerModule.Runner({
      store,
      service: SERVICE,
      address,
      zone,
    });
    runners.push(runner);
    await runner.start();
  };
  const entries = new entriesModule.Entries({
    store,
    network,
    zones: ENTRY_ZONES,
  });
  const callers = new callersModule.Callers({
    entries,
    method: "GET",
    path: "/ruta/1",
    deadlineMilliseconds: 4_000,
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
    for (const zone of ZONES) await newRunner(zone);
    await entries.start();
    note("all entries are ready");
    await callers.start(REQUESTS_PER_SECOND);
    const outcome = await play({ store, entries, callers, runners, newRunner });
    const late = judge({ ...outcome, callers, entries });
    writeRecord({ runners, callers, late, goneAt: outcome.goneAt });
    const served = callers.sent.filter(({ status }) => status === 200).length;
    process.stdout.write(
      `${callers.sent.length} sent, ${served} served, ${late.length} reached the runner too late\n`,
    );
    if (served === 0) return 2;
    return late.length > 0 ? 1 : 0;
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
