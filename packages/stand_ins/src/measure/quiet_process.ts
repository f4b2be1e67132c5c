import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon";
import * as backingServices from "@geraniumkeel/backing_services";
import * as testConfiguration from "../testing/test_configuration.ts";

/** Settings as written in a file. */
export type Settings = { host: string } & Record<string, unknown>;

const PLACE = "place";
const REGION = "region";
/** Service that measured upstream processes serve. */
const SERVICE = "plain";

function commonSettings(host: string): Settings {
  return {
    host,
    place: PLACE,
    region: REGION,
    processKey: testConfiguration.PROCESS_KEY,
    operatorKeyHashes: [common.hashKey(testConfiguration.OPERATOR_KEY)],
  };
}

/** Settings of an entry on any free ports. */
export function entrySettings(
  host: string,
  platformUrl: string,
  timing: Partial<daemon.Timing> = {},
): Settings {
  return {
    ...commonSettings(host),
    role: daemon.Role.Entry,
    platform: { url: platformUrl },
    timing,
    listen: {
      callers: { port: 0 },
      links: { port: 0 },
      operators: { port: 0 },
    },
  };
}

/** Settings of the process beside a plain service. */
export function upstreamSettings(host: string, url: string): Settings {
  return {
    ...commonSettings(host),
    role: daemon.Role.Upstream,
    service: SERVICE,
    backEnd: { kind: daemon.BackEndKind.Plain, url },
    listen: { links: { port: 0 }, operators: { port: 0 } },
  };
}

/** Starts an entry in this process, without logs and metrics. */
export async function startEntry(
  written: Settings,
): Promise<daemon.RunningProcess> {
  const settings = daemon.ENTRY_SETTINGS.parse(written);
  const started = await daemon.startEntry({ settings, ...quietTools() });
  return started._unsafeUnwrap();
}

/** Starts an upstream process in this one, without logs and metrics. */
export async function startUpstream(
  written: Settings,
): Promise<daemon.RunningProcess> {
  const settings = daemon.UPSTREAM_SETTINGS.parse(written);
  const started = await daemon.startUpstream({ settings, ...quietTools() });
  return started._unsafeUnwrap();
}

function quietTools(): {
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
} {
  return {
    logger: { event: () => {} },
    metrics: common.discardMetrics(),
    history: common.noHistory(),
  };
}

/** A started process as the platform lists it. */
export function listedHost(
  name: string,
  role: backingServices.HostRole,
  running: Pick<daemon.RunningProcess, "urls">,
): backingServices.Host {
  return {
    name,
    role,
    place: PLACE,
    region: REGION,
    state: backingServices.HostState.Live,
    linkUrl: running.urls.links,
    callerUrl: running.urls.callers ?? "",
    service: role === backingServices.HostRole.Upstream ? SERVICE : "",
    group: "",
  };
}
