import * as common from "@geraniumkeel/common";
import type * as daemon from "@geraniumkeel/daemon";
import * as backingServices from "@geraniumkeel/backing_services";
import * as undici from "undici";
import * as platformStandIn from "../platform_stand_in.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as quietProcess from "./quiet_process.ts";
import * as statistics from "./statistics.ts";

const SIZES = [7, 20, 60];
const CALM_MILLISECONDS = 4_000;
const CHANGES = 5;
/** Many share one core here: no call may time out for that. */
const TIMING = { inForceTimeout: 20_000, storeTimeout: 15_000 };

/** One size of membership as measured. */
export interface MembersPoint {
  entries: number;
  linksEach: number;
  messagesPerSecondEach: number;
  bytesPerSecondEach: number;
  cpuShareEach: number;
  tableReadsPerSecond: number;
  bytesPerChangeEach: number;
  cpuMillisecondsPerChangeEach: number;
  inForceMilliseconds: number;
}

interface Light {
  running: daemon.RunningProcess;
  host: backingServices.Host;
}

/** Membership and configuration among light entries in one process. */
export async function measureMembers(): Promise<MembersPoint[]> {
  const points: MembersPoint[] = [];
  for (const entries of SIZES) points.push(await measureSize(entries));
  return points;
}

async function measureSize(entries: number): Promise<MembersPoint> {
  const store = await platformStandIn.startPlatform();
  const lights: Light[] = [];
  for (let index = 0; index < entries; index++) {
    lights.push(await startLight(store, `entry-${index}`));
  }
  store.setHosts(lights.map(({ host }) => host));
  const [first] = lights;
  await change(first, 0, testConfiguration.testConfiguration());
  await until(() => lights.every((one) => knows(one) === entries));
  await until(() => lights.every((one) => revisionOf(one) >= 1));
  await common.sleep(1_000);
  const calm = await observe(store, lights, () =>
    common.sleep(CALM_MILLISECONDS),
  );
  const times: number[] = [];
  const busy = await observe(store, lights, async () => {
    for (let count = 1; count <= CHANGES; count++) {
      const started = common.now();
      const document = testConfiguration.testConfiguration({
        presetInForce: count % 2 === 0 ? "ordinary" : "peak",
      });
      await change(first, count, document);
      await until(() => lights.every((one) => revisionOf(one) > count));
      times.push(common.now() - started);
    }
    await common.sleep(200);
  });
  const links = lights.map((one) => linksOf(one).length);
  await Promise.all(lights.map(({ running }) => running.stop()));
  await store.close();
  const seconds = calm.seconds;
  const extra = busy.bytes - (calm.bytes / seconds) * busy.seconds;
  const extraCpu = busy.cpu - (calm.cpu / seconds) * busy.seconds;
  const each = entries * CHANGES;
  return {
    entries,
    linksEach: statistics.round(statistics.mean(links)),
    messagesPerSecondEach: statistics.round(calm.messages / seconds / entries),
    bytesPerSecondEach: statistics.round(calm.bytes / seconds / entries),
    cpuShareEach: statistics.round(calm.cpu / seconds / 1_000 / entries),
    tableReadsPerSecond: statistics.round(calm.reads / seconds),
    bytesPerChangeEach: statistics.round(Math.max(0, extra) / each),
    cpuMillisecondsPerChangeEach: statistics.round(
      Math.max(0, extraCpu) / each,
    ),
    inForceMilliseconds: statistics.round(statistics.mean(times)),
  };
}

async function startLight(
  store: platformStandIn.PlatformStandIn,
  name: string,
): Promise<Light> {
  const settings = quietProcess.entrySettings(name, store.url, TIMING);
  const running = await quietProcess.startEntry(settings);
  const { Entry } = backingServices.HostRole;
  return { running, host: quietProcess.listedHost(name, Entry, running) };
}

/** Totals over a time: sent messages and bytes, processor time, reads. */
async function observe(
  store: platformStandIn.PlatformStandIn,
  lights: Light[],
  during: () => Promise<void>,
): Promise<{
  seconds: number;
  messages: number;
  bytes: number;
  cpu: number;
  reads: number;
}> {
  const total = (name: "sentMessages" | "sentBytes") =>
    lights.reduce(
      (sum, one) =>
        sum + linksOf(one).reduce((links, link) => links + link[name], 0),
      0,
    );
  const before = {
    at: common.now(),
    messages: total("sentMessages"),
    bytes: total("sentBytes"),
    cpu: process.cpuUsage(),
    reads: store.table.reads,
  };
  await during();
  const cpu = process.cpuUsage(before.cpu);
  return {
    seconds: (common.now() - before.at) / 1_000,
    messages: total("sentMessages") - before.messages,
    bytes: total("sentBytes") - before.bytes,
    cpu: (cpu.user + cpu.system) / 1_000,
    reads: store.table.reads - before.reads,
  };
}

interface LightState {
  configuration: { revision: number };
  members: { state: number }[];
  peerCounts: { sentMessages: number; sentBytes: number }[];
}

function stateOf(one: Light): LightState {
  return one.running.state() as LightState;
}

function linksOf(one: Light): LightState["peerCounts"] {
  return stateOf(one).peerCounts;
}

function knows(one: Light): number {
  return stateOf(one).members.length;
}

function revisionOf(one: Light): number {
  return stateOf(one).configuration.revision;
}

async function change(
  one: Light,
  baseRevision: number,
  document: unknown,
): Promise<void> {
  const url = `${one.running.urls.operators}/admin/v1/configuration?wait=no`;
  const answer = await undici.request(url, {
    method: "PUT",
    headers: { authorization: `Bearer ${testConfiguration.OPERATOR_KEY}` },
    body: JSON.stringify({ baseRevision, document }),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(text);
}

async function until(condition: () => boolean): Promise<void> {
  const deadline = common.now() + 60_000;
  while (!condition()) {
    if (common.now() > deadline) throw new Error("not in time");
    await common.sleep(10);
  }
}
