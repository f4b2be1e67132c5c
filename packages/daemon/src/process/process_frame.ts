import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import * as callerBounds from "../caller_connections/caller_bounds.ts";
import * as questionServer from "../caller_connections/question_server.ts";
import * as processSignals from "../shutdown/process_signals.ts";
import * as listenWhenFree from "./listen_when_free.ts";

const STANDARD_OUTPUT = 1;
/** Longest time for closing links and other parts at the end of a stop. */
const CLOSE_MILLISECONDS = 100;
/** Where metrics are read as text; the deploy file names port and path too. */
const METRICS_PORT = 9_464;

/** What every process is told of itself. */
export interface FrameSettings {
  host: string;
  role: string;
  /** The host's own address. */
  address: string;
  limits: callerBounds.HostLimits;
}

type ReadSettings = () => neverthrow.Result<
  FrameSettings,
  common.InputProblem[]
>;

/** What a process does before it stops as planned. */
export interface Stopping {
  drain: (sinceSignalMilliseconds: number) => Promise<void>;
}

/** What every process has, whatever its role. */
export interface ProcessFrame {
  logger: common.Logger;
  metrics: common.Metrics;
  lifeCycle: common.LifeCycle;
  random: common.Random;
  /** Signals that the process received. */
  signals: processSignals.ProcessSignals;
  /** Bounds on what callers make the process hold. */
  bounds: callerBounds.CallerBounds;
  /** Creates a server that answers short questions at once. */
  questionServer: (listener: http.RequestListener) => http.Server;
  /** Creates a server that takes links and nothing else. */
  linkServer: () => http.Server;
  /** Opens a listener; waits while its port is taken. */
  listen: (
    server: http.Server,
    endpoint: listenWhenFree.ListenerEndpoint,
  ) => Promise<void>;
  /** Notes that the process has started, and has it stop on signals. */
  started: (stopping: Stopping) => void;
}

/**
 * Creates log, metrics and owner of a process; `readSettings` reads its settings
 * again.
 */
export function createFrame(
  settings: FrameSettings,
  readSettings: ReadSettings,
): ProcessFrame {
  const writer = new common.LogWriter(STANDARD_OUTPUT);
  const { host, role } = settings;
  const logger = common.createLogger({ name: "geraniumkeeld", host, writer });
  const metrics = new common.MetricsRegistry(common.discardMetrics());
  const onTaskFailure = common.reportTaskFailures({ logger, metrics });
  const lifeCycle = new common.LifeCycle(host, onTaskFailure);
  const signals = new processSignals.ProcessSignals(logger);
  process.once("exit", () => writer.flushNow());
  common.logProcessFailure(logger);
  const stop = async ({ drain }: Stopping): Promise<void> => {
    await drain(signals.sinceStopRequested);
    // Nothing of what is closed now is worth the wait for a store that is away.
    await common.withTimeout(lifeCycle.close(), CLOSE_MILLISECONDS);
    process.exit(0);
  };
  const listenTo: ProcessFrame["listen"] = (server, endpoint) =>
    listenWhenFree.listenWhenFree(server, endpoint, {
      logger,
      onRetry: () => {
        // A process that still waits for a listener has nothing to finish.
        if (signals.stopRequested) process.exit(0);
      },
    });
  const bounds = callerBounds.callerBounds(settings.limits);
  const newQuestionServer = (
    listener: http.RequestListener,
    takesUpgrades = false,
  ) =>
    questionServer.createQuestionServer(listener, {
      max: bounds.otherConnections,
      takesUpgrades,
    });
  return {
    bounds,
    questionServer: (listener) => newQuestionServer(listener),
    linkServer: () =>
      newQuestionServer(questionServer.answerUpgradeRequired, true),
    logger,
    metrics,
    lifeCycle,
    listen: listenTo,
    random: new common.Random(common.processSeed()),
    signals,
    started: (stopping) => {
      // Metrics are not needed to serve, so nothing waits for their listener.
      const endpoint = { address: settings.address, port: METRICS_PORT };
      const onRetry = () => {};
      const server = newQuestionServer(metricsListener(metrics));
      void listenWhenFree.listenWhenFree(server, endpoint, { logger, onRetry });
      logger.event(common.EventCode.ProcessStarted, { role });
      signals.act({
        stop: () => void stop(stopping),
        reload: () => reload(settings, readSettings(), logger),
      });
    },
  };
}

/** Tells what a new reading of the settings found; addresses in use stay until the next start. */
function reload(
  settings: FrameSettings,
  read: ReturnType<ReadSettings>,
  logger: common.Logger,
): void {
  if (read.isErr()) {
    const problems = read.error.map(common.describeProblem);
    logger.event(common.EventCode.SettingsRefused, { problems });
    return;
  }
  const changed = JSON.stringify(read.value) !== JSON.stringify(settings);
  logger.event(common.EventCode.SettingsRead, { changed });
}

function metricsListener(
  metrics: common.MetricsRegistry,
): http.RequestListener {
  return (_request, response) => {
    response.writeHead(200, { "Content-Type": "text/plain" });
    response.end(metrics.text());
  };
}
