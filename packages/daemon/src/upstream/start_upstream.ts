import * as callerBounds from "../caller_connections/caller_bounds.ts";
import * as common from "@geraniumkeel/common";
import * as engineModule from "@geraniumkeel/engine";
import * as neverthrow from "neverthrow";
import * as wire from "@geraniumkeel/wire";
import * as orderGate from "../expert_map/order_gate.ts";
import type * as runningProcess from "../running_process.ts";
import * as listenModule from "../settings/listen.ts";
import * as settingsModule from "../settings/settings.ts";
import * as backEndRateLimit from "./back_end_rate_limit.ts";
import * as backEndRest from "./back_end_rest.ts";
import * as backEndLives from "./back_end_lives.ts";
import * as attemptTable from "./attempt_table.ts";
import * as entryLink from "./entry_link.ts";
import * as loadReporter from "./load_reporter.ts";
import type * as upstreamContext from "./upstream_context.ts";
import * as upstreamServer from "./upstream_server.ts";

const SWEEP_PERIOD_MILLISECONDS = 1_000;

/** Starts the process of an upstream host. */
export async function startUpstream(parameters: {
  settings: settingsModule.UpstreamSettings;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
}): Promise<
  neverthrow.Result<runningProcess.RunningProcess, listenModule.ListenFailure>
> {
  const { settings, logger } = parameters;
  const onTaskFailure = common.reportTaskFailures(parameters);
  const lifeCycle = new common.LifeCycle(settings.host, onTaskFailure);
  const context = createContext(parameters, lifeCycle);
  const reporter = new loadReporter.LoadReporter({
    table: context.table,
    waiting: () => context.waitingRoom.length,
    engine:
      context.backEnd.kind === settingsModule.BackEndKind.Model
        ? context.backEnd.engine
        : undefined,
    links: context.links,
    periodMilliseconds: settings.timing.loadPeriod,
  });
  context.state = () => describe(context, reporter);
  const bounds = callerBounds.callerBounds(settings.limits);
  const operators = await listenModule.listen({
    name: "operators",
    listener: settings.listen.operators,
    maxConnections: bounds.otherConnections,
    handler: upstreamServer.upstreamOperatorHandler(context),
    lifeCycle,
  });
  if (operators.isErr()) return neverthrow.err(operators.error);
  const links = await listenModule.listen({
    name: "links",
    listener: settings.listen.links,
    maxConnections: bounds.connections,
    handler: (_request, response) => response.writeHead(404).end(),
    lifeCycle,
  });
  if (links.isErr()) return neverthrow.err(links.error);
  const accepting = wire.acceptLinks({
    server: links.value.server,
    path: listenModule.LINK_PATH,
    key: settings.processKey,
    timing: settings.timing,
    heartbeat: () => ({ clock: common.now(), revision: 0 }),
    onLink: (link) =>
      lifeCycle.run("entry-link", () =>
        entryLink.serveEntryLink(context, link),
      ),
  });
  lifeCycle.own({ name: "links", close: accepting.close });
  lifeCycle.keepRunning("load", (signal) => reporter.run(signal));
  lifeCycle.keepRunning("waiting", (signal) => context.waitingRoom.run(signal));
  lifeCycle.every(SWEEP_PERIOD_MILLISECONDS, () => sweep(context));
  const urls = { links: links.value.url, operators: operators.value.url };
  logger.event(common.EventCode.ProcessStarted, { urls });
  return neverthrow.ok({
    urls,
    state: context.state,
    unfinished: () => context.table.running.length,
    drain: async () => {
      context.drain();
      const timeoutMilliseconds = settings.timing.drainTimeout;
      const done = await drainAttempts(context, timeoutMilliseconds);
      logger.event(common.EventCode.DrainFinished, { done });
    },
    stop: async () => {
      for (const record of context.table.running) record.cancel();
      return lifeCycle.close();
    },
  });
}

function createContext(
  parameters: {
    settings: settingsModule.UpstreamSettings;
    logger: common.Logger;
    metrics: common.Metrics;
    history: common.HistoryRecorder;
  },
  lifeCycle: common.LifeCycle,
): upstreamContext.UpstreamContext {
  const incarnation = common.randomIdentifier();
  const table = new attemptTable.AttemptTable(incarnation);
  const { settings, logger, metrics } = parameters;
  const { backEnd, host, service } = settings;
  const rateLimit = new backEndRateLimit.BackEndRateLimit({
    host,
    service,
    logger,
  });
  const rest = new backEndRest.BackEndRest({ host, service, logger, metrics });
  const onAnswer = (notice: engineModule.AnswerNotice) => {
    rateLimit.note(notice);
    rest.note(notice);
  };
  const context: upstreamContext.UpstreamContext = {
    ...parameters,
    incarnation,
    lifeCycle,
    table,
    waitingRoom: entryLink.newWaitingRoom(table, () => context),
    backEnd: createBackEnd({
      settings,
      incarnation,
      lifeCycle,
      onAnswer,
      metrics,
    }),
    rateLimit,
    rest,
    lives: new backEndLives.BackEndLives({
      incarnation,
      presence: () => backEndLives.presenceAtUrl(backEnd.url),
    }),
    links: new Map(),
    newestLink: new Map(),
    leaving: false,
    drain: () => startDrain(context),
    state: () => ({}),
  };
  return context;
}

/** Tells all entries at once; what still arrives is refused as not run. */
function startDrain(context: upstreamContext.UpstreamContext): void {
  if (context.leaving) return;
  context.leaving = true;
  context.logger.event(common.EventCode.DrainStarted);
  const kind = wire.MessageKind.Leaving;
  for (const link of context.links.keys()) link.send({ kind });
  // Stopped with them waiting, the process would leave their entries in doubt
  // over requests that never ran.
  context.waitingRoom.clear();
}

function createBackEnd(parameters: {
  settings: settingsModule.UpstreamSettings;
  incarnation: string;
  lifeCycle: common.LifeCycle;
  onAnswer: (notice: engineModule.AnswerNotice) => void;
  metrics: common.Metrics;
}): upstreamContext.BackEnd {
  const { settings, incarnation, lifeCycle, onAnswer, metrics } = parameters;
  const { backEnd, timing } = settings;
  const optionsOf = (from: common.AnswerSource) => ({
    progressTimeoutMilliseconds: timing.progressTimeout,
    onAnswer,
    onWrongAnswer: common.countWrongAnswers(metrics, from),
  });
  switch (backEnd.kind) {
    case settingsModule.BackEndKind.Model: {
      const options = optionsOf(common.AnswerSource.Engine);
      const engine = new engineModule.HttpEngine(backEnd.url, options);
      lifeCycle.own({ name: "engine", close: () => engine.close() });
      const orders = new orderGate.OrderGate(incarnation, engine);
      return { kind: backEnd.kind, engine, orders };
    }
    case settingsModule.BackEndKind.Plain: {
      const options = optionsOf(common.AnswerSource.Service);
      const service = new engineModule.HttpPlainService(backEnd.url, options);
      lifeCycle.own({ name: "service", close: () => service.close() });
      return { kind: backEnd.kind, service };
    }
  }
}

/** Cancels what nobody will collect and forgets what is past its retention. */
function sweep(context: upstreamContext.UpstreamContext): void {
  const now = common.now();
  const { orphanAfter } = context.settings.timing;
  for (const record of context.table.running) {
    const { orphanedAt, repeatable } = record;
    if (orphanedAt === undefined || now - orphanedAt < orphanAfter) continue;
    // A call that may not be repeated goes on: it has begun to have effects,
    // and another entry may still come for its answer.
    if (!repeatable) continue;
    const { identifier } = record.attempt;
    context.logger.event(common.EventCode.AttemptOrphaned, {
      identifier,
      kept: false,
    });
    record.cancel();
  }
  context.table.sweep();
}

/** Time for the last frames to reach the entries after the last attempt. */
const DRAIN_LINGER_MILLISECONDS = 500;

async function drainAttempts(
  context: upstreamContext.UpstreamContext,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const { table } = context;
  const deadline = common.now() + timeoutMilliseconds;
  while (common.now() < deadline) {
    const ended = await table.changed.until({
      condition: () => table.running.length === 0,
      timeoutMilliseconds: deadline - common.now(),
    });
    if (!ended) return false;
    // Time for the last frames to arrive, and for a dispatch that crossed the
    // word of leaving to be refused.
    await common.sleep(DRAIN_LINGER_MILLISECONDS);
    if (table.running.length === 0) return true;
  }
  return false;
}

function describe(
  context: upstreamContext.UpstreamContext,
  reporter: loadReporter.LoadReporter,
): unknown {
  const { settings, table, backEnd } = context;
  return {
    role: settings.role,
    host: settings.host,
    place: settings.place,
    service: settings.service,
    incarnation: context.incarnation,
    leaving: context.leaving,
    links: context.links.size,
    load: reporter.last,
    rateLimit: context.rateLimit.describe(),
    restMilliseconds: Math.round(context.rest.waitMilliseconds),
    promisedFencing:
      backEnd.kind === settingsModule.BackEndKind.Model
        ? backEnd.orders.promisedFencing
        : undefined,
    attempts: {
      started: table.started,
      finished: table.finished,
      remembered: table.records.size,
      tombstones: table.tombstones,
      running: table.running.map((record) => ({
        identifier: record.attempt.identifier,
        repeatable: record.repeatable,
        produced: record.produced,
        milliseconds: Math.round(common.now() - record.startedAt),
      })),
    },
    memory: process.memoryUsage(),
  };
}
