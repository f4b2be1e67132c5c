import * as path from "node:path";
import * as callerModule from "../../stand_ins_5/caller.mjs";
import * as deploymentModule from "../../stand_ins_5/deployment.mjs";
import * as plainRunner from "../../stand_ins_5/plain_runner.mjs";
import * as record from "../../stand_ins_5/record.mjs";

/** Sets apart the run without the disruption. */
const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Entries; the users' sheet has six. */
const ENTRIES = 3;
/** `node_freeze` of the users' site file: one machine, 3.5 s. */
const FREEZE_MILLISECONDS = 3_500;
/** From the acknowledgement that a runner is gone, no request may reach it. */
const DRAIN_MILLISECONDS = 2_000;
/** How long the runner that leaves goes on serving. */
const SERVES_ON_MILLISECONDS = 7_000;
const REQUEST_INTERVAL_MILLISECONDS = 30;

const log = new record.Record();
const deployment = new deploymentModule.Deployment();
const { store, processes } = deployment;
const caller = new callerModule.Caller(log);
const runners = [];
const pending = [];
let isSending = true;

async function startRunner(identifier) {
  const runner = new plainRunner.PlainRunner({
    store,
    log,
    identifier,
    service: "bodega",
  });
  runners.push(runner);
  return runner.start();
}

async function sendToAll() {
  const { hosts } = deployment;
  for (let count = 0; isSending; count++) {
    const entry = hosts[count % hosts.length];
    const address = deployment.addressOf(entry);
    pending.push(caller.ask({ entry, address, path: "/stock/a", body: "b" }));
    await record.sleep(REQUEST_INTERVAL_MILLISECONDS);
  }
}

/** Plays the case; returns the runs that break the rule. */
async function play() {
  const old = await startRunner("i-old");
  await startRunner("i-2");
  await startRunner("i-3");
  await deployment.start(ENTRIES);
  await record.sleep(deploymentModule.STABLE_WINDOW_MILLISECONDS);
  const [reader] = store.readersOf("servers", 1_000);
  log.note("reads the list of runners", { entry: reader });
  const sending = sendToAll();
  await record.sleep(1_000);

  log.note("release: the entry freezes now", { entry: reader, HAS_TROUBLE });
  if (HAS_TROUBLE) processes.signal(reader, "SIGSTOP");
  const frozenAt = log.now;
  await record.sleep(300);
  await startRunner("i-new");
  await record.sleep(300);
  old.leave();
  const goneAt = log.note("acknowledged: gone", { runner: "i-old" });
  await record.sleep(frozenAt + FREEZE_MILLISECONDS - log.now);
  if (HAS_TROUBLE) processes.signal(reader, "SIGCONT");
  log.note("the entry wakes", { entry: reader });
  await record.sleep(goneAt + SERVES_ON_MILLISECONDS - log.now);
  log.note("exits", { runner: "i-old" });
  old.exit();
  await record.sleep(1_500);
  isSending = false;
  await sending;
  await Promise.all(pending);

  return old.runs.filter(({ request, at }) => {
    const attempt = caller.attempts.find((made) => made.request === request);
    return at > goneAt + DRAIN_MILLISECONDS && attempt?.entry !== reader;
  });
}

function judge(broken) {
  for (const { request, at } of broken) log.note("too late", { request, at });
  const lost = broken.filter(({ endedAt }) => endedAt === undefined).length;
  const summary = `DRAIN: ${broken.length} requests reached a runner over ${DRAIN_MILLISECONDS} ms after it was gone, from entries that were not disturbed; ${lost} of them were cut off when it exited`;
  log.note(summary);
  process.stdout.write(`${summary}\n`);
  return broken.length > 0 ? 1 : 0;
}

let exitCode = 2;
try {
  exitCode = judge(await play());
} catch (cause) {
  log.note("the case could not run", { cause: String(cause) });
} finally {
  log.write(path.join(import.meta.dirname, "record.txt"));
  await deployment.close();
  for (const runner of runners) runner.exit();
}
process.exit(exitCode);
