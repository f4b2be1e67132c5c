import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as gateways from "../gateways/gateways.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

const BULK_PATH = "/bulk/";
const CHECK_MILLISECONDS = 20;

/** What the state dump says about admission at an entry. */
interface AdmissionState {
  services: { service: string; urgencies: { urgency: number }[] }[];
  reportAges: Record<string, number>;
}

function stateOf({ gateway }: gateways.RunningGateway): AdmissionState {
  return gateway.admission.describe() as AdmissionState;
}

async function until(condition: () => boolean): Promise<void> {
  const latest = common.now() + 10_000;
  while (!condition()) {
    if (common.now() > latest) throw new Error("condition not met in time");
    await common.sleep(CHECK_MILLISECONDS);
  }
}

/** Adds a less urgent route of the same service and waits until it is in force. */
async function addBulkRoute(entries: gateways.Gateways): Promise<void> {
  const { configuration } = entries;
  const [route] = configuration.routes;
  const bulk = { ...route, name: "bulk", prefix: BULK_PATH, urgency: 3 };
  const version = configuration.version + 1;
  const routes = [route, bulk];
  entries.configuration = { ...configuration, version, routes };
  await until(() =>
    entries.running.every(
      ({ gateway }) => gateway.configuration.version === version,
    ),
  );
}

/** Sends requests at a rate until the returned function is called. */
function sendAtRate(
  t: ava.ExecutionContext,
  entries: gateways.Gateways,
  perSecond: number,
  path: string,
): () => Promise<gateways.Seen[]> {
  const sent: Promise<gateways.Seen>[] = [];
  const startedAt = common.now();
  const timer = setInterval(() => {
    const due = ((common.now() - startedAt) * perSecond) / 1_000;
    while (sent.length < due)
      sent.push(entries.send(sent.length, `${path} ${sent.length}`, { path }));
  }, 10);
  t.teardown(() => clearInterval(timer));
  return () => {
    clearInterval(timer);
    return Promise.all(sent);
  };
}

// Bulk requests of 1.9 times the capacity took the slots that urgent requests
// needed, as all entries sent each request at once.
test("urgent requests are answered under a bulk load of twice the capacity", async (t) => {
  const entries = await scene.startEntries(
    t,
    {},
    { runners: 2, runMilliseconds: 200 },
  );
  t.true(entries.running.every((one) => stateOf(one).services.length === 0));
  await addBulkRoute(entries);
  const urgent = sendAtRate(t, entries, 30, "/a/x");
  await until(() =>
    entries.running.every(
      (one) => Object.keys(stateOf(one).reportAges).length === 2,
    ),
  );
  await common.sleep(2_000);
  const bulk = sendAtRate(t, entries, 150, `${BULK_PATH}x`);
  await common.sleep(4_000);
  const [urgentSeen, bulkSeen] = await Promise.all([urgent(), bulk()]);
  const answered = (seen: gateways.Seen[]) =>
    seen.filter(({ status }) => status === "whole").length / seen.length;
  t.log({ urgent: answered(urgentSeen), bulk: answered(bulkSeen) });
  t.true(answered(urgentSeen) >= 0.9);
  t.true(answered(bulkSeen) < answered(urgentSeen));
  const refused = bulkSeen.filter(({ refusal }) => refusal);
  t.true(refused.length > 0);
  t.true(
    refused.every(
      ({ status, refusal }) =>
        status === daemon.RefusalKind.NotRun &&
        (refusal?.retryAfterMilliseconds ?? 0) > 0,
    ),
  );
  // Nothing keeps its place once all requests have ended.
  const running = entries.running.flatMap(({ gateway }) =>
    (gateway.admission.queueOf("s")?.describe().urgencies ?? []).map(
      (item) => item.running + item.waiting,
    ),
  );
  t.true(running.every((count) => count === 0));
});
