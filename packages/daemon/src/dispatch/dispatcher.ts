import * as common from "@geraniumkeel/common";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as serviceQueue from "../admission/service_queue.ts";
import type * as router from "../routing/router.ts";
import type * as answerSink from "./answer_sink.ts";
import * as followAttempt from "./follow_attempt.ts";
import * as keyedRequests from "./keyed_requests.ts";
import * as request from "./request.ts";
import type * as retryBudget from "./retry_budget.ts";
import type * as runnerObtainer from "./runner_obtainer.ts";

/** Attempts at one request at most. */
const MAX_FAILED_ATTEMPTS = 4;

/** What dispatching needs of the rest of the entry. */
export interface DispatcherParameters {
  router: router.Router;
  queueOf: (
    service: string,
  ) => serviceQueue.ServiceQueue<runnerObtainer.ReservedRunner>;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  keyed: keyedRequests.KeyedRequests;
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
    const stopWatching = this.parameters.quarantine.watch(accepted.watched);
    try {
      this.parameters.budgetOf(accepted.service).earn();
      if (accepted.idempotencyKey !== undefined && !accepted.repeatable) {
        return await this.parameters.keyed.run(this, accepted, sink);
      }
      return await this.#runAttempts(accepted, sink);
    } finally {
      stopWatching();
      this.#running--;
      this.parameters.queueOf(accepted.service).pump();
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
    if (!router.exists(service)) {
      return this.#obtainedNoRunner(request.NotRunReason.NoRunner);
    }
    const quarantinedMilliseconds = quarantine.heldMilliseconds(
      accepted.watched,
    );
    if (quarantinedMilliseconds > 0)
      return this.#obtainedNoRunner(
        request.NotRunReason.Quarantined,
        quarantinedMilliseconds,
      );
    const outcome = await this.parameters.queueOf(service).enter({
      account: accepted.account,
      weight: accepted.weight,
      cost: promptTokens + expectedTokens,
      urgency: accepted.urgency,
      deadline: accepted.deadline,
      signal: accepted.signal,
      wasAdmitted,
      take: (roomShare) => {
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
        const remainingMilliseconds = quarantine.admit(accepted.watched);
        if (remainingMilliseconds > 0) {
          reserved.reservation.release();
          return this.#obtainedNoRunner(
            request.NotRunReason.Quarantined,
            remainingMilliseconds,
          );
        }
        const tags = { service };
        const metric = common.Metric.QueueWait;
        this.parameters.metrics.time(metric, waitedMilliseconds, tags);
        return { kind: "runner", ...reserved };
      }
      case "full":
        return this.#obtainedNoRunner(
          request.NotRunReason.QueueFull,
          outcome.waitMilliseconds,
        );
      case "too-late":
        return this.#obtainedNoRunner(
          request.NotRunReason.DeadlineTooNear,
          outcome.waitMilliseconds,
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
  permitRetry(
    accepted: request.AcceptedRequest,
    failures: number,
    cause: request.NotStartedCause,
  ): boolean {
    if (failures >= MAX_FAILED_ATTEMPTS) return false;
    // What was streamed of the body is gone; there is nothing to send again.
    if (accepted.body) return false;
    const { service } = accepted;
    // Being turned away by a leaving runner cost nothing and is planned; paying
    // for it would refuse requests just because a host is taken out.
    const isCharged = cause === request.NotStartedCause.Failed;
    if (isCharged && !this.parameters.budgetOf(service).spend()) return false;
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
    const jitteredMilliseconds = this.parameters.retryAfterMilliseconds();
    const retryAfterMilliseconds = Math.max(
      jitteredMilliseconds,
      waitMilliseconds,
    );
    return { kind: request.ResultKind.NotRun, reason, retryAfterMilliseconds };
  }

  async #runAttempts(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
  ): Promise<request.RequestResult> {
    const excluded = new Set<string>();
    let mayHaveRunReason: string | undefined;
    let failures = 0;
    for (let attempts = 1; ; attempts++) {
      const wasAdmitted = attempts > 1;
      const obtained = await this.obtainRunner(accepted, excluded, wasAdmitted);
      if (obtained.kind === "result") {
        return withEarlierAttempts(obtained.result, mayHaveRunReason);
      }
      const { runner } = obtained;
      const outcome = await this.#runAttempt(
        obtained,
        accepted,
        attempts,
        sink,
      );
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
          return unfinishedResult(sink, "deadline passed");
        case request.AttemptOutcomeKind.Quarantined:
          return unfinishedResult(sink, "put in quarantine");
        case request.AttemptOutcomeKind.NeverStarted:
          // It goes back to the queue; its deadline ends that.
          if (outcome.cause === request.NotStartedCause.Full) continue;
          if (this.permitRetry(accepted, ++failures, outcome.cause)) break;
          return withEarlierAttempts(
            this.notRun(request.NotRunReason.EngineUnavailable),
            mayHaveRunReason,
          );
        case request.AttemptOutcomeKind.Broken:
        case request.AttemptOutcomeKind.Unsettled: {
          const { reason } = outcome;
          mayHaveRunReason = reason;
          // Pieces of two samplings never make one answer: once the caller has
          // seen part of it, there is no second try.
          const mayRepeat = accepted.repeatable && !sink.delivered;
          const { Failed } = request.NotStartedCause;
          if (mayRepeat && this.permitRetry(accepted, ++failures, Failed))
            break;
          return unfinishedResult(sink, reason);
        }
      }
      sink.reset();
      excluded.add(runner.host.name);
    }
  }

  async #runAttempt(
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
    return followAttempt.followAttempt({
      runner,
      outgoing,
      accepted,
      sink,
      quarantine: this.parameters.quarantine,
    });
  }

  #obtainedNoRunner(
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
function withEarlierAttempts(
  result: request.RequestResult,
  mayHaveRunReason: string | undefined,
): request.RequestResult {
  if (result.kind !== request.ResultKind.NotRun) return result;
  if (mayHaveRunReason === undefined) return result;
  return { kind: request.ResultKind.MayHaveRun, reason: mayHaveRunReason };
}

/** What the caller is told of an answer that will not be completed. */
function unfinishedResult(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return { kind: request.ResultKind.MayHaveRun, reason };
}
