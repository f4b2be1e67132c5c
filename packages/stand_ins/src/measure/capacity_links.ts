import * as common from "@geraniumkeel/common";
import type * as daemon from "@geraniumkeel/daemon";
import * as backingServices from "@geraniumkeel/backing_services";
import * as undici from "undici";
import * as childProcesses from "../demo/child_processes.ts";
import * as plainStandIn from "../plain_stand_in.ts";
import * as platformStandIn from "../platform_stand_in.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as processUsage from "./process_usage.ts";
import * as quietProcess from "./quiet_process.ts";
import * as statistics from "./statistics.ts";

const LINK_COUNTS = [4, 64, 128];
const ENTRY_COUNTS = [2, 14, 28];
/** Longer than a new process compiles and collects garbage of its start. */
const WARM_MILLISECONDS = 10_000;
const CALM_MILLISECONDS = 20_000;

/** What idle links cost a process of its own. */
export interface LinksPoint {
  links: number;
  cpuShare: number;
  residentMegabytes: number;
}

/** Runs one real entry against growing numbers of idle upstream processes. */
export async function measureLinks(): Promise<LinksPoint[]> {
  const points: LinksPoint[] = [];
  for (const links of LINK_COUNTS) points.push(await measureCount(links));
  return points;
}

/** Runs one real upstream process with growing numbers of idle entries. */
export async function measureUpstreamLinks(): Promise<LinksPoint[]> {
  const points: LinksPoint[] = [];
  for (const entries of ENTRY_COUNTS) {
    points.push(await measureEntries(entries));
  }
  return points;
}

async function measureEntries(links: number): Promise<LinksPoint> {
  const children = new childProcesses.ChildProcesses();
  const store = await platformStandIn.startPlatform();
  const plain = await plainStandIn.startPlain();
  const entries: daemon.RunningProcess[] = [];
  try {
    const upstream = await children.daemon(
      quietProcess.upstreamSettings("up", plain.url),
    );
    store.setHosts([listed("up", upstream)]);
    for (let index = 0; index < links; index++) {
      const settings = quietProcess.entrySettings(`entry-${index}`, store.url);
      entries.push(await quietProcess.startEntry(settings));
    }
    await untilState(upstream, (state) => state.links === links);
    await common.sleep(WARM_MILLISECONDS);
    return { links, ...(await observe(upstream)) };
  } finally {
    await children.close();
    await Promise.all(entries.map((running) => running.stop()));
    await plain.close();
    await store.close();
  }
}

async function measureCount(links: number): Promise<LinksPoint> {
  const children = new childProcesses.ChildProcesses();
  const store = await platformStandIn.startPlatform();
  const plain = await plainStandIn.startPlain();
  const upstreams: daemon.RunningProcess[] = [];
  try {
    const hosts: backingServices.Host[] = [];
    for (let index = 0; index < links; index++) {
      const name = `plain-${index}`;
      const settings = quietProcess.upstreamSettings(name, plain.url);
      const running = await quietProcess.startUpstream(settings);
      upstreams.push(running);
      hosts.push(listed(name, running));
    }
    store.setHosts(hosts);
    const entry = await children.daemon(
      quietProcess.entrySettings("entry", store.url),
    );
    await untilState(entry, ({ runners = [] }) => {
      const linked = runners.filter((runner) => runner.linked);
      return linked.length === links;
    });
    await common.sleep(WARM_MILLISECONDS);
    return { links, ...(await observe(entry)) };
  } finally {
    await children.close();
    await Promise.all(upstreams.map((running) => running.stop()));
    await plain.close();
    await store.close();
  }
}

async function observe(
  child: childProcesses.Child,
): Promise<Omit<LinksPoint, "links">> {
  const usage = () => processUsage.processUsage(child.process.pid ?? 0);
  const before = usage();
  const startedAt = common.now();
  await common.sleep(CALM_MILLISECONDS);
  const after = usage();
  const cpu = after.cpuMilliseconds - before.cpuMilliseconds;
  const cpuShare = cpu / (common.now() - startedAt);
  return {
    cpuShare: statistics.round(cpuShare),
    residentMegabytes: statistics.round(after.residentBytes / 1e6),
  };
}

/** What the measurement reads of a state dump. */
interface DumpedState {
  /** Of an entry. */
  runners?: { linked: boolean }[];
  /** Of an upstream process. */
  links?: number;
}

async function untilState(
  child: childProcesses.Child,
  condition: (state: DumpedState) => boolean,
): Promise<void> {
  const url = `${child.urls.operators}/admin/v1/state`;
  const authorization = `Bearer ${testConfiguration.OPERATOR_KEY}`;
  for (;;) {
    const answer = await undici.request(url, { headers: { authorization } });
    const state = (await answer.body.json()) as DumpedState;
    if (condition(state)) return;
    await common.sleep(100);
  }
}

function listed(
  name: string,
  running: Pick<daemon.RunningProcess, "urls">,
): backingServices.Host {
  const { Upstream } = backingServices.HostRole;
  return quietProcess.listedHost(name, Upstream, running);
}
