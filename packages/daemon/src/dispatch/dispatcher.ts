import * as common from "@geraniumkeel/common";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as serviceQueue from "../admission/service_queue.ts";
import type * as router from "../routing/router.ts";
import type * as answerSink from "./answer_sink.ts";
import * as conductAttempt from "./conduct_attempt.ts";
import * as keyedRequest from "./keyed_request.ts";
import * as request from "./request.ts";
import type * as retryBudget from "./retry_budget.ts";
import type * as runnerObtainer from "./runner_obtainer.ts";

/** Attempts at one request at most. */
const MOST_ATTEMPTS = 4;

/** What dispatching needs of the rest of the entry. */
export interface DispatcherParameters {
  router: router.Router;
  queueOf: (
    service: string,
  ) => serviceQueue.ServiceQueue<runnerObtainer.ReservedRunner>;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  keyed: keyedRequest.KeyedRequests;
  quarantine: quarantine.Quarantine;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
  host: string;
  /** Jittered time after which a refused caller should come back. */
  retryAfterMilliseconds: () => number;
}

/** Runs accepted requests: queue, runner, attempts, result. */
export class Dispatcher implements runnerObtainer.RunnerObtainer {
  #running = 0;

  constructor(readonly parameters: DispatcherParameters) {}

  /** Requests accepted and not answered. */
  get running(): number {
    return this.#running;
  }

  /** Runs a request to its final result. */
  async run(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
  ): Promise<request.RequestResult> {
    this.#running++;
    const unwatch = this.parameters.quarantine.watch(accepted.watched);
    try {
      this.parameters.budgetOf(accepted.service).earn();
      if (accepted.idempotencyKey !== undefined && !accepted.repeatable) {
        return await this.parameters.keyed.run(this, accepted, sink);
      }
      return await this.#runAttempts(accepted, sink);
    } finally {
      unwatch();
      this.#running--;
      this.parameters.queueOf(accepted.service).admitWaiting();
    }
  }

  /** Waits in the queue for a runner that has not refused the request yet. */
  async obtainRunner(
    accepted: request.AcceptedRequest,
    excluded: ReadonlySet<string>,
    wasAdmitted: boolean,
  ): Promise<runnerObtainer.ObtainedRunner> {
    const { router, quarantine } = this.parameters;
    const { service, runnerConcurrency, prefixBlocks } = accepted;
    const { promptTokens, expectedTokens } = accepted;
    if (!router.hasAvailableRunner(service)) {
      return this.#notRun(request.NotRunReason.NoRunner);
    }
    const held = quarantine.remainingMilliseconds(accepted.watched);
    if (held > 0) return this.#notRun(request.NotRunReason.Quarantined, held);
    const outcome = await this.parameters.queueOf(service).enter({
      account: accepted.account,
      weight: accepted.weight,
      cost: promptTokens + expectedTokens,
      urgency: accepted.urgency,
      deadline: accepted.deadline,
      signal: accepted.signal,
      wasAdmitted,
      takeRunner: (roomShare) => {
        const limit = Math.max(1, Math.floor(runnerConcurrency * roomShare));
        const runner = router.choose({
          service,
          runnerConcurrency: limit,
          size: { promptTokens, expectedTokens },
          prefixBlocks,
          excluded,
        });
        if (!runner) return undefined;
        const reservation = runner.reserve(promptTokens);
        return { runner, reservation, limit };
      },
    });
    switch (outcome.kind) {
      case "admitted": {
        const { waitedMilliseconds, runner: reserved } = outcome;
        const heldNow = quarantine.admit(accepted.watched);
        if (heldNow > 0) {
          reserved.reservation.release();
          return this.#notRun(request.NotRunReason.Quarantined, heldNow);
        }
        const tags = { service };
        const metric = common.Metric.QueueWait;
        this.parameters.metrics.time(metric, waitedMilliseconds, tags);
        return { kind: "runner", ...reserved };
      }
      case "full":
        return this.#notRun(
          request.NotRunReason.QueueFull,
          outcome.retryAfterMilliseconds,
        );
      case "too-late":
        return this.#notRun(
          request.NotRunReason.DeadlineTooNear,
          outcome.retryAfterMilliseconds,
        );
      case "caller-gone":
        return {
          kind: "result",
          result: { kind: request.ResultKind.CallerGone },
        };
    }
  }

  /**
   * Whether another attempt may be made after one that never started, or one
   * whose work may be repeated. `failures` counts those that failed so far.
   */
  mayRetry(
    accepted: request.AcceptedRequest,
    failures: number,
    cause: request.NotStartedCause,
  ): boolean {
    if (failures >= MOST_ATTEMPTS) return false;
    // What was streamed of the body is gone; there is nothing to send again.
    if (accepted.body) return false;
    const { service } = accepted;
    // Being turned away by a leaving runner cost nothing and is planned; paying
    // for it would refuse requests just because a host is taken out.
    const charged = cause === request.NotStartedCause.Failed;
    if (charged && !this.parameters.budgetOf(service).spend()) return false;
    const { logger, metrics } = this.parameters;
    const { identifier } = accepted;
    logger.event(common.EventCode.RequestRetried, { identifier, failures });
    metrics.count(common.Metric.Retries, { service });
    return true;
  }

  /** A request that was not run, with the time to come back. */
  notRun(
    reason: request.NotRunReason,
    waitMilliseconds = 0,
  ): request.RequestResult {
    const jittered = this.parameters.retryAfterMilliseconds();
    const retryAfterMilliseconds = Math.max(jittered, waitMilliseconds);
    return { kind: request.ResultKind.NotRun, reason, retryAfterMilliseconds };
  }

  async #runAttempts(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
  ): Promise<request.RequestResult> {
    const excluded = new Set<string>();
    let mayHaveRun: string | undefined;
    let failures = 0;
    for (let attempts = 1; ; attempts++) {
      const wasAdmitted = attempts > 1;
      const obtained = await this.obtainRunner(accepted, excluded, wasAdmitted);
      if (obtained.kind === "result") {
        return truthful(obtained.result, mayHaveRun);
      }
      const { runner } = obtained;
      const outcome = await this.#attemptAt(obtained, accepted, attempts, sink);
      switch (outcome.kind) {
        case request.AttemptOutcomeKind.Complete: {
          const { finishReason, promptTokens } = outcome;
          const kind = request.ResultKind.Complete;
          const { name } = runner.host;
          return { kind, finishReason, promptTokens, runner: name };
        }
        case request.AttemptOutcomeKind.CallerGone:
          return { kind: request.ResultKind.CallerGone };
        case request.AttemptOutcomeKind.Deadline:
          return afterDelivery(sink, "deadline passed");
        case request.AttemptOutcomeKind.Held:
          return afterDelivery(sink, "put in quarantine");
        case request.AttemptOutcomeKind.NeverStarted:
          // It goes back to the queue; its deadline ends that.
          if (outcome.cause === request.NotStartedCause.Full) continue;
          if (this.mayRetry(accepted, ++failures, outcome.cause)) break;
          return truthful(
            this.notRun(request.NotRunReason.EngineUnavailable),
            mayHaveRun,
          );
        case request.AttemptOutcomeKind.Broken:
        case request.AttemptOutcomeKind.Unsettled: {
          const { reason } = outcome;
          mayHaveRun = reason;
          // Pieces of two samplings never make one answer: once the caller has
          // seen part of it, there is no second try.
          const fresh = accepted.repeatable && !sink.delivered;
          const { Failed } = request.NotStartedCause;
          if (fresh && this.mayRetry(accepted, ++failures, Failed)) break;
          return afterDelivery(sink, reason);
        }
      }
      sink.reset();
      excluded.add(runner.host.name);
    }
  }

  async #attemptAt(
    { runner, reservation, limit }: runnerObtainer.ReservedRunner,
    accepted: request.AcceptedRequest,
    number: number,
    sink: answerSink.AnswerSink,
  ): Promise<request.AttemptOutcome> {
    // Released here: nothing else runs before the dispatch counts instead.
    reservation.release();
    const identifier = `${accepted.identifier}/${number}`;
    const attempt = runner.newAttempt(identifier);
    if (!attempt) {
      const kind = request.AttemptOutcomeKind.NeverStarted;
      return { kind, cause: request.NotStartedCause.Failed };
    }
    const sent = { ...accepted, identifier, limit };
    const outgoing = runner.dispatch(attempt, sent);
    const { history, host } = this.parameters;
    history.record({ kind: "dispatched", host, identifier });
    return conductAttempt.conductAttempt({
      runner,
      outgoing,
      accepted,
      sink,
      quarantine: this.parameters.quarantine,
    });
  }

  #notRun(
    reason: request.NotRunReason,
    waitMilliseconds = 0,
  ): runnerObtainer.ObtainedRunner {
    return { kind: "result", result: this.notRun(reason, waitMilliseconds) };
  }
}

/**
 * "Not run" must be true of the whole request: if an earlier attempt may have
 * run, a later one that never started does not undo that.
 */
function truthful(
  result: request.RequestResult,
  mayHaveRun: string | undefined,
): request.RequestResult {
  if (result.kind !== request.ResultKind.NotRun) return result;
  if (mayHaveRun === undefined) return result;
  return { kind: request.ResultKind.MayHaveRun, reason: mayHaveRun };
}

/** What the caller is told of an answer that will not be completed. */
function afterDelivery(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return { kind: request.ResultKind.MayHaveRun, reason };
}
