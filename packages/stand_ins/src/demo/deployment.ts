import * as fs from "node:fs";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as childProcesses from "./child_processes.ts";

/** A service of an example deployment. */
export interface DeployedService {
  name: string;
  kind: daemon.BackEndKind;
  runners: number;
  places: string[];
  /** Path of calls that may not be repeated, of a plain service. */
  confirmation?: string;
}

/** An example deployment: `examples/<name>/deployment.json`. */
export interface Deployment {
  region: string;
  operator: string;
  entries: { host: string; place: string }[];
  services: DeployedService[];
}

/** A deployment that runs. */
export interface RunningDeployment {
  platform: childProcesses.Child;
  entries: childProcesses.Child[];
  upstreams: childProcesses.Child[];
  engines: Map<string, childProcesses.Child>;
  plains: Map<string, childProcesses.Child>;
  hosts: backingServices.Host[];
  /** Publishes a changed host list. */
  publish: (hosts: backingServices.Host[]) => Promise<void>;
}

const PROCESS_KEY = "process-key-of-the-demo";

/** Reads an example deployment. */
export function readDeployment(folder: string): Deployment {
  const text = fs.readFileSync(`${folder}/deployment.json`, "utf8");
  return JSON.parse(text) as Deployment;
}

/** Key of the demo's operator. */
export function operatorKey(deployment: Deployment): string {
  return `operator-key-${deployment.operator}`;
}

/** Starts all programs of a deployment on loopback. */
export async function startDeployment(
  children: childProcesses.ChildProcesses,
  deployment: Deployment,
): Promise<RunningDeployment> {
  const platformChild = await children.standIn("platform", "platform");
  const running: RunningDeployment = {
    platform: platformChild,
    entries: [],
    upstreams: [],
    engines: new Map(),
    plains: new Map(),
    hosts: [],
    publish: (hosts) => publishHosts(platformChild.urls[0], hosts),
  };
  for (const service of deployment.services) {
    await startService(children, deployment, running, service);
  }
  const started = await Promise.all(
    deployment.entries.map((entry) =>
      children.daemon({
        ...commonSettings(deployment, entry.host, entry.place),
        role: daemon.Role.Entry,
        platform: { url: platformChild.urls[0] },
        listen: {
          callers: { port: 0 },
          links: { port: 0 },
          operators: { port: 0 },
        },
      }),
    ),
  );
  started.forEach((child, index) => {
    const { place } = deployment.entries[index];
    running.entries.push(child);
    running.hosts.push({
      ...hostOf(deployment, child, place, backingServices.HostRole.Entry),
      callerUrl: child.urls.callers,
    });
  });
  await running.publish(running.hosts);
  return running;
}

async function startService(
  children: childProcesses.ChildProcesses,
  deployment: Deployment,
  running: RunningDeployment,
  service: DeployedService,
): Promise<void> {
  const { name, runners, places } = service;
  const model = service.kind === daemon.BackEndKind.Model;
  const standIn = model
    ? await children.standIn(name, "engine", "--ranks", String(runners))
    : await children.standIn(name, "plain");
  (model ? running.engines : running.plains).set(name, standIn);
  const started = await Promise.all(
    Array.from({ length: runners }, (_, index) => {
      const place = places[index % places.length];
      const url = standIn.urls[model ? index : 0];
      const backEnd = model
        ? {
            kind: service.kind,
            url,
            group: name,
            rank: index,
            groupSize: runners,
            checksFencing: true,
          }
        : { kind: service.kind, url };
      return children.daemon({
        ...commonSettings(deployment, `${name}-${index}`, place),
        role: daemon.Role.Upstream,
        service: name,
        backEnd,
        listen: { links: { port: 0 }, operators: { port: 0 } },
      });
    }),
  );
  started.forEach((child, index) => {
    const place = places[index % places.length];
    const { Upstream } = backingServices.HostRole;
    running.upstreams.push(child);
    running.hosts.push({
      ...hostOf(deployment, child, place, Upstream),
      service: name,
      group: model ? name : "",
    });
  });
}

function commonSettings(
  deployment: Deployment,
  host: string,
  place: string,
): {
  host: string;
  place: string;
  region: string;
  processKey: string;
  operatorKeyHashes: string[];
} {
  return {
    host,
    place,
    region: deployment.region,
    processKey: PROCESS_KEY,
    operatorKeyHashes: [common.hashKey(operatorKey(deployment))],
  };
}

function hostOf(
  deployment: Deployment,
  child: childProcesses.Child,
  place: string,
  role: backingServices.HostRole,
): backingServices.Host {
  return {
    name: child.name,
    role,
    place,
    region: deployment.region,
    state: backingServices.HostState.Live,
    linkUrl: child.urls.links,
    callerUrl: "",
    service: "",
    group: "",
  };
}

async function publishHosts(
  url: string,
  hosts: backingServices.Host[],
): Promise<void> {
  const client = new backingServices.HttpClient(url, {
    timeoutMilliseconds: 5_000,
  });
  const answer = await client.request("PUT", "/hosts", hosts);
  await client.close();
  if (answer.isErr()) throw new Error(`host list: ${answer.error.reason}`);
}
