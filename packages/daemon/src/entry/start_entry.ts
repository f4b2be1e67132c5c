import * as fs from "node:fs";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as backingServices from "@geraniumkeel/backing_services";
import * as wire from "@geraniumkeel/wire";
import * as callerBounds from "../caller_connections/caller_bounds.ts";
import * as configurationSync from "../configuration/configuration_sync.ts";
import * as claimRemoval from "../dispatch/claim_removal.ts";
import * as leaseModule from "../lease/lease.ts";
import * as describeEntry from "../operator/describe_entry.ts";
import * as operatorServer from "../operator/operator_server.ts";
import * as remoteOperations from "../operator/remote_operations.ts";
import type * as runningProcess from "../running_process.ts";
import * as listenModule from "../settings/listen.ts";
import type * as settingsModule from "../settings/settings.ts";
import * as callerServer from "./caller_server.ts";
import * as createContext from "./create_context.ts";
import * as drainEntry from "./drain_entry.ts";
import type * as entryContext from "./entry_context.ts";
import * as reportGauges from "./report_gauges.ts";
import * as restoreRows from "./restore_rows.ts";

const PUMP_MILLISECONDS = 50;
/** Time after which empty queues are looked at all the same. */
const QUIET_MILLISECONDS = 60_000;
const SWEEP_MILLISECONDS = 1_000;
const GAUGE_MILLISECONDS = 5_000;
const CLAIM_REMOVAL_LEASE = "leases/claim-removal";

/** Starts the process of an entry host. */
export async function startEntry(parameters: {
  settings: settingsModule.EntrySettings;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
}): Promise<
  neverthrow.Result<runningProcess.RunningProcess, listenModule.ListenFailure>
> {
  const { settings, logger } = parameters;
  const onTaskFailure = common.reportTaskFailures(parameters);
  const lifeCycle = new common.LifeCycle(settings.host, onTaskFailure);
  const opened = await openListeners(settings, lifeCycle);
  if (opened.isErr()) return neverthrow.err(opened.error);
  const listeners = opened.value;
  const client = new backingServices.HttpClient(settings.platform.url, {
    timeoutMilliseconds: settings.timing.storeTimeout,
    key: settings.platform.key,
  });
  lifeCycle.own({ name: "platform", close: () => client.close() });
  const context = createContext.createContext({
    ...parameters,
    lifeCycle,
    table: new backingServices.HttpTableService(client, logger),
    hostList: new backingServices.HttpHostList(client),
    objects: new backingServices.HttpObjectStore(client),
    callerUrl: settings.advertise.callerUrl ?? listeners.callers.url,
    peerUrl: settings.advertise.linkUrl ?? listeners.links.url,
    certificateAuthority: readAuthority(settings),
    onPeerMessage: (host, message) => {
      context.limits.handle(host, message);
      if (message.kind === wire.MessageKind.Suspicions) {
        context.quarantine.receive(message, host);
      }
      remote.handle(host, message);
    },
  });
  const drain = drainEntry.createDrain(context);
  const remote = new remoteOperations.RemoteOperations({
    self: settings.host,
    runners: context.runners,
    sendToEntry: (host, message) => context.peers.sendTo(host, message),
    state: () => describeEntry.describeState(context),
    drain: () => void drain(),
  });
  listeners.callers.server.on("request", callerServer.callerHandler(context));
  listeners.operators.server.on(
    "request",
    operatorServer.operatorHandler({ context, remote }),
  );
  acceptPeers(context, listeners.links);
  startTasks(context);
  const urls = {
    callers: listeners.callers.url,
    links: listeners.links.url,
    operators: listeners.operators.url,
  };
  logger.event(common.EventCode.ProcessStarted, { urls });
  return neverthrow.ok({
    urls,
    state: () => describeEntry.describeState(context),
    unfinished: () => context.dispatcher.running,
    drain,
    stop: () => lifeCycle.close(),
  });
}

type Listeners = Record<
  "callers" | "links" | "operators",
  listenModule.OpenListener
>;

async function openListeners(
  settings: settingsModule.EntrySettings,
  lifeCycle: common.LifeCycle,
): Promise<neverthrow.Result<Listeners, listenModule.ListenFailure>> {
  const bounds = callerBounds.callerBounds(settings.limits);
  const open = (name: keyof Listeners, maxConnections = bounds.connections) =>
    listenModule.listen({
      name,
      listener: settings.listen[name],
      maxConnections,
      lifeCycle,
    });
  const callers = await open("callers");
  if (callers.isErr()) return neverthrow.err(callers.error);
  const links = await open("links");
  if (links.isErr()) return neverthrow.err(links.error);
  const operators = await open("operators", bounds.otherConnections);
  if (operators.isErr()) return neverthrow.err(operators.error);
  return neverthrow.ok({
    callers: callers.value,
    links: links.value,
    operators: operators.value,
  });
}

function readAuthority(
  settings: settingsModule.EntrySettings,
): string | undefined {
  const file = settings.certificateAuthorityFile;
  return file === undefined ? undefined : fs.readFileSync(file, "utf8");
}

function acceptPeers(
  context: entryContext.EntryContext,
  listening: listenModule.OpenListener,
): void {
  const { settings, keeper, peers, lifeCycle } = context;
  const accepting = wire.acceptLinks({
    server: listening.server,
    path: listenModule.LINK_PATH,
    key: settings.processKey,
    timing: settings.timing,
    heartbeat: () => ({ clock: common.now(), revision: keeper.revision }),
    onLink: (link) => peers.accept(link),
  });
  lifeCycle.own({ name: "links", close: accepting.close });
}

function startTasks(context: entryContext.EntryContext): void {
  const { lifeCycle, hosts, peers, runners, keeper, members } = context;
  const { settings, logger, random, store, freshness } = context;
  lifeCycle.keepRunning("host-list", (signal) => hosts.run(signal));
  lifeCycle.keepRunning("runners", (signal) => runners.run(signal));
  lifeCycle.keepRunning("claim-removal", (signal) =>
    removeClaims(context, signal),
  );
  lifeCycle.keepRunning("coordinators", (signal) =>
    context.coordinators.run(signal),
  );
  lifeCycle.keepRunning("configuration", (signal) =>
    configurationSync.syncWithStore({
      currentConfiguration: keeper,
      store,
      copiedHead: context.copiedHead,
      logger,
      random,
      periodMilliseconds: settings.timing.configurationPoll,
      entryCount: () => members.present.length,
      onAnswer: () => freshness.hearStore(),
      signal,
    }),
  );
  lifeCycle.keepRunning("in-force", (signal) =>
    followConfiguration(context, signal),
  );
  peers.start();
  lifeCycle.keepRunning("quarantine", (signal) =>
    restoreQuarantine(context, signal),
  );
  lifeCycle.keepRunning("restore", (signal) =>
    restoreRows.restoreRows(context, signal),
  );
  lifeCycle.keepRunning("queues", (signal) => pumpQueues(context, signal));
  lifeCycle.every(GAUGE_MILLISECONDS, () => reportGauges.reportGauges(context));
  lifeCycle.every(SWEEP_MILLISECONDS, () => context.limits.sweep());
}

/** Takes requests that were held before all entries started anew. */
async function restoreQuarantine(
  { quarantine, quarantineRows }: entryContext.EntryContext,
  signal: AbortSignal,
): Promise<void> {
  const kept = await quarantineRows.read(signal);
  if (kept) quarantine.applyStoredReports(kept);
}

/**
 * Looks at the queues again while anything waits: deadlines pass, and rooms at
 * runners open, without an event. Timers that run for nothing are most of what
 * an idle process costs.
 */
async function pumpQueues(
  context: entryContext.EntryContext,
  signal: AbortSignal,
): Promise<void> {
  const { queues, queued } = context;
  while (!signal.aborted) {
    const waiting = [...queues.values()].some((queue) => queue.length > 0);
    if (!waiting) {
      await queued.next(QUIET_MILLISECONDS, signal);
      continue;
    }
    await common.sleep(PUMP_MILLISECONDS, signal);
    for (const queue of queues.values()) queue.admitWaiting();
  }
}

function removeClaims(
  context: entryContext.EntryContext,
  signal: AbortSignal,
): Promise<void> {
  const { settings, claims, members, table, incarnation } = context;
  const { claimRetention, claimRemovalPeriod } = settings.timing;
  const { host } = settings;
  return claimRemoval.removeOldClaims({
    claims,
    lease: new leaseModule.Lease({
      table,
      key: CLAIM_REMOVAL_LEASE,
      host,
      incarnation,
      durationMilliseconds: 3 * claimRemovalPeriod,
      random: context.random,
      unreadable: context.unreadableLeases,
    }),
    isPreferredHolder: () => {
      const alive = members.alive.map((member) => member.host);
      return common.rendezvous(CLAIM_REMOVAL_LEASE, alive) === host;
    },
    retentionMilliseconds: claimRetention,
    periodMilliseconds: claimRemovalPeriod,
    signal,
  });
}

function logUnknownEvacuations({
  evacuations,
  hosts,
  members,
}: entryContext.EntryContext): void {
  if (hosts.lastReadAt === -Infinity) return;
  const places = [...hosts.hosts.values(), ...members.all];
  evacuations.logUnknown(new Set(places.map(({ place }) => place)));
}

/** Passes each newly adopted configuration on, and tells that it is in force. */
async function followConfiguration(
  context: entryContext.EntryContext,
  signal: AbortSignal,
): Promise<void> {
  const { keeper, peers, metrics, logger } = context;
  let known = 0;
  while (!signal.aborted) {
    const { revision } = keeper;
    if (revision > known) {
      if (known === 0) logger.event(common.EventCode.ProcessReady);
      known = revision;
      peers.acks.begin(revision, undefined);
      peers.pushConfiguration();
      metrics.gauge(common.Metric.ConfigurationRevision, revision);
    }
    logUnknownEvacuations(context);
    if (keeper.revision > known) continue;
    await keeper.changed.next(1_000, signal);
  }
}
