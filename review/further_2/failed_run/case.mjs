/**
 * Orders that may run once are sent on an unsafe route. One of eight runners
 * fails two in five of the requests that it runs, with a 503 of its own that
 * does not say that the request was not executed. The client must not be told
 * 503, which promises that its order has not run: it sends such an order again.
 * With TROUBLE=0 no runner fails requests.
 */
import * as deploymentModule from "../../stand_ins_4/deployment.mjs";

const { ask, sleep } = deploymentModule;
const TROUBLE = process.env.TROUBLE !== "0";
const RUNNERS = 8;
const ENTRIES = 2;
const FAIL_SHARE = 0.4;
const FAILING_AT_MS = 1_500;
const FAILING_MS = 5_000;
const ORDERS = 500;
const PAUSE_MS = 16;
const PROMISES = new Set([408, 421, 429, 503]);

const deployment = new deploymentModule.Deployment(import.meta.dirname, {
  version: 1,
  routes: [
    {
      name: "stock",
      host: "h.example",
      prefix: "/stock/",
      kind: "unsafe",
      service: "bodega",
      maxAttempts: 1,
      timeoutMs: 2_000,
      targetLatencyMs: 387,
      priority: 2,
      public: false,
    },
  ],
  services: [{ name: "bodega" }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: "t1", apiKeys: ["key-1"] }],
});

/** Identifiers of the client attempts that a runner began to run. */
const ran = new Set();
const results = { attempts: 0, served: 0, broken: 0 };
const runsOfOrder = new Map();

async function attempt(order, number) {
  const id = `o${String(order).padStart(4, "0")}-${number}`;
  const body = `order ${order}`;
  deployment.note(`client sends ${id}`);
  const { status } = await ask({
    host: deployment.addressOf(1 + ((order + number) % ENTRIES)),
    port: 8227,
    method: "POST",
    path: "/stock/x",
    headers: {
      Host: "h.example",
      "Api-Key": "key-1",
      "Geraniumkeel-Request-Id": id,
      "Geraniumkeel-Deadline-Ms": "4012",
      "Content-Length": body.length,
    },
    body,
  });
  results.attempts++;
  if (status === 200) results.served++;
  const isBroken = PROMISES.has(status) && ran.has(id);
  if (isBroken) results.broken++;
  const verdict = isBroken ? " BROKEN: REFUSED, it has run" : "";
  deployment.note(`client gets ${id}: status ${status}${verdict}`);
  return status;
}

/** Sends an order, and once more after a promise that it has not run. */
async function send(order) {
  const status = await attempt(order, 1);
  if (PROMISES.has(status)) await attempt(order, 2);
}

/** Lets one runner fail requests for some seconds. */
async function fail() {
  const { child } = deployment.runner("r1");
  await sleep(FAILING_AT_MS);
  child.send({ failShare: FAIL_SHARE });
  deployment.note(`runner r1 fails ${FAIL_SHARE} of what it runs`);
  await sleep(FAILING_MS);
  child.send({ failShare: 0 });
  deployment.note("runner r1 fails nothing more");
}

async function main() {
  deployment.onRunner(({ kind, request }) => {
    if (kind !== "run") return;
    ran.add(request);
    const [order] = request.split("-");
    runsOfOrder.set(order, (runsOfOrder.get(order) ?? 0) + 1);
  });
  await deployment.startEntries(ENTRIES);
  for (let number = 1; number <= RUNNERS; number++) {
    await deployment.startRunner({
      name: `r${number}`,
      service: "bodega",
      answer: "whole",
      framed: true,
      events: 4,
      gapMs: 20,
    });
  }
  await sleep(2_500);
  const failing = TROUBLE ? fail() : undefined;
  const orders = [];
  for (let order = 0; order < ORDERS; order++) {
    orders.push(send(order));
    await sleep(PAUSE_MS);
  }
  await Promise.all([...orders, failing]);
  await sleep(500);
  const twice = [...runsOfOrder.values()].filter((count) => count > 1).length;
  const summary = `${results.attempts} attempts, ${results.served} served, ${results.broken} answered as not run that had run; ${twice} of ${ORDERS} orders ran twice`;
  deployment.note(summary);
  process.stdout.write(`${summary}\n`);
  if (results.served < results.attempts / 2) return 2;
  return results.broken > 0 ? 1 : 0;
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
