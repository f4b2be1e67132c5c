// Not one of the three cases: see REPORT.md, "A further fault".
import * as perfHooks from "node:perf_hooks";
import * as configurationModule from "../stand_ins/configuration.mjs";
import * as deploymentModule from "../stand_ins/deployment.mjs";
import * as processes from "../stand_ins/processes.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const ENTRIES = 6;
const RUNNERS = 3;
const CALLERS = 30;
const PAUSE_MS = 600;
const CHANGE_AFTER_MS = 8_000;
const PLAY_MS = 30_000;
const DENIED = new Set([401, 403, 404]);
/** DENIED: more than 5 + one in 500 of all requests. */
const MOST_DENIED = 5;
const PART_DENIED = 1 / 500;
const LEAST_REQUESTS = 500;

/** The route of the requests, which stays as it is. */
const STOCK = configurationModule.route("stock", "unsafe", "desk");

async function play(deployment) {
  const { record, entries, seen } = deployment;
  // No configuration contains `tenants`: no request needs a key.
  await deployment.start({
    entryCount: ENTRIES,
    runnerCount: RUNNERS,
    routes: [STOCK],
  });
  await processes.sleep(deploymentModule.STABLE_MS);
  const until = perfHooks.performance.now() + PLAY_MS;
  const request = { path: "/stock/a", deadlineMs: 4_000 };
  const callers = Array.from({ length: CALLERS }, (_, number) => {
    const entry = number % ENTRIES;
    return deployment.call({ entry, until, pauseMs: PAUSE_MS, request });
  });
  await processes.sleep(CHANGE_AFTER_MS);
  // A change that is planned work: one more route, for other requests.
  if (TROUBLE)
    deployment.configure([
      STOCK,
      configurationModule.route("ruta", "safe", "desk"),
    ]);
  await Promise.all(callers);
  const inTouch = seen.filter(({ entry, sentAt }) =>
    entries.inTouch(entry, sentAt, deploymentModule.STABLE_MS),
  );
  const denied = inTouch.filter(({ status }) => DENIED.has(status));
  const byEntry = Array.from(
    { length: ENTRIES },
    (_, entry) => denied.filter((one) => one.entry === entry).length,
  );
  const most = MOST_DENIED + seen.length * PART_DENIED;
  record.tell(`requests: ${seen.length}`);
  record.tell(`denied with 401, 403 or 404 at each entry: ${byEntry}`);
  record.tell(`denied (DENIED allows ${most.toFixed(1)}): ${denied.length}`);
  if (seen.length < LEAST_REQUESTS) return 2;
  return denied.length > most ? 1 : 0;
}

await deploymentModule.playCase(import.meta.dirname, play);
