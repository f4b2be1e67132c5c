import * as common from "@geraniumkeel/common";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as serviceQueue from "../admission/service_queue.ts";
import type * as router from "../routing/router.ts";
import type * as answerSink from "./answer_sink.ts";
import * as followAttempt from "./follow_attempt.ts";
import * as keyedRequests from "./keyed_requests.ts";
import * as notYetReason from "./not_yet_reason.ts";
import * as request from "./request.ts";
import type * as retryBudget from "./retry_budget.ts";
import type * as runnerLink from "./runner_link.ts";
import type * as runnerObtainer from "./runner_obtainer.ts";

/** Failed attempts after which a request is not tried again. */
const MAX_FAILED_ATTEMPTS = 4;

/** The parts of an entry that its dispatcher uses. */
export interface DispatcherParameters {
  router: router.Router;
  queueOf: (
    service: string,
  ) => serviceQueue.ServiceQueue<runnerObtainer.ReservedRunner>;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  /** Runs the non-repeatable requests that have an idempotency key. */
  keyed: keyedRequests.KeyedRequests;
  quarantine: quarantine.Quarantine;
  logger: common.Logger;
  metrics: common.Metrics;
  history: common.HistoryRecorder;
  /** Host of this entry. */
  host: string;
  /** Jittered time after which a refused caller should try again. */
  retryAfterMilliseconds: () => number;
}

/**
 * Runs accepted requests: waits in the service's queue, chooses a runner, sends
 * attempts until one gives an outcome, and returns the result.
 */
export class Dispatcher implements runnerObtainer.RunnerObtainer {
  #running = 0;

  constructor(readonly parameters: DispatcherParameters) {}

  /** Number of requests that were accepted and have no result yet. */
  get running(): number {
    return this.#running;
  }

  /** Runs a request and returns its final result. */
  async run(
    accepted: request.AcceptedRequest,
    sink: answerSink.AnswerSink,
  ): Promise<request.RequestResult> {
    this.#running++;
    const stopWatching = this.parameters.quarantine.watch(
      accepted.quarantineHandle,
    );
    try {
      this.parameters.budgetOf(accepted.service).earn();
      if (accepted.idempotencyKey !== undefined && !accepted.repeatable) {
        return await this.parameters.keyed.run(this, accepted, sink);
      }
      return await this.#runAttempts(accepted, sink);
    } finally {
      stopWatching();
      this.#running--;
      this.parameters.queueOf(accepted.service).admitWaiting();
    }
  }

  /**
   * Waits in the service's queue for a runner with free capacity that is not in
   * `excluded`. `wasAdmitted` says that the queue admitted the request before,
   * for an earlier attempt; such a request enters even a full queue.
   */
  async obtainRunner(
    accepted: request.AcceptedRequest,
    excluded: ReadonlySet<string>,
    wasAdmitted: boolean,
  ): Promise<runnerObtainer.ObtainedRunner> {
    const { router, quarantine } = this.parameters;
    const { service, runnerConcurrency, prefixBlocks } = accepted;
    const { promptTokens, expectedTokens } = accepted;
    if (!router.hasAvailableRunner(service)) {
      return this.#obtainedNoRunner(request.NotRunReason.NoRunner);
    }
    const quarantinedMilliseconds = quarantine.remainingMilliseconds(
      accepted.quarantineHandle,
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
      takeRunner: (capacityShare) => {
        const limit = Math.max(
          1,
          Math.floor(runnerConcurrency * capacityShare),
        );
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
        const remainingMilliseconds = quarantine.admit(
          accepted.quarantineHandle,
        );
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
          outcome.retryAfterMilliseconds,
        );
      case "too-late":
        return this.#obtainedNoRunner(
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
   * Decides whether a request gets another attempt, after one that never
   * started or whose request is repeatable, and charges the service's retry
   * budget for it if `cause` is `Failed`. `failures` is the number of failed
   * attempts so far, the last one included.
   */
  permitRetry(
    accepted: request.AcceptedRequest,
    failures: number,
    cause: request.NotStartedCause,
  ): boolean {
    if (failures >= MAX_FAILED_ATTEMPTS) return false;
    // Pieces of a streamed body are not retained, so they cannot be sent again.
    if (accepted.body) return false;
    const { service } = accepted;
    // A refusal by a leaving runner is planned and costs no work. Charging for
    // it would refuse requests only because an operator removes a host.
    const isCharged = cause === request.NotStartedCause.Failed;
    if (isCharged && !this.parameters.budgetOf(service).spend()) return false;
    const { logger, metrics } = this.parameters;
    const { identifier } = accepted;
    logger.event(common.EventCode.RequestRetried, { identifier, failures });
    metrics.count(common.Metric.Retries, { service });
    return true;
  }

  /** Whether a runner is in an evacuated data centre. */
  isEvacuated(runner: runnerLink.RunnerLink): boolean {
    return this.parameters.router.isEvacuated(runner);
  }

  /**
   * Result of a request that was not run. The caller should try again after the
   * jittered time or `waitMilliseconds`, whichever is longer.
   */
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
    let notYet: request.NotRunReason | undefined;
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
          // The request returns to the queue, at most until its deadline.
          if (outcome.cause === request.NotStartedCause.Full) continue;
          notYet = notYetReason.notYetReason(outcome.cause);
          if (notYet && !accepted.body) continue;
          if (notYet)
            return withEarlierAttempts(this.notRun(notYet), mayHaveRunReason);
          if (this.permitRetry(accepted, ++failures, outcome.cause)) break;
          return withEarlierAttempts(
            this.notRun(request.NotRunReason.EngineUnavailable),
            mayHaveRunReason,
          );
        case request.AttemptOutcomeKind.Broken:
        case request.AttemptOutcomeKind.Unsettled: {
          const { reason } = outcome;
          mayHaveRunReason = reason;
          // Another attempt samples another text, and pieces of two texts make
          // no correct answer. Once the caller has received a piece, there is
          // no other attempt.
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
    // The dispatch below counts towards the runner's load itself. No other code
    // runs in between, so that no other request chooses this capacity.
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
 * Result of a request in view of its earlier attempts. "Not run" must be true
 * of all attempts: if an earlier one may have run, the result is `MayHaveRun`,
 * even if the last one never started.
 */
function withEarlierAttempts(
  result: request.RequestResult,
  mayHaveRunReason: string | undefined,
): request.RequestResult {
  if (result.kind !== request.ResultKind.NotRun) return result;
  if (mayHaveRunReason === undefined) return result;
  return { kind: request.ResultKind.MayHaveRun, reason: mayHaveRunReason };
}

/**
 * Result of a request whose answer will not be completed: `Incomplete` if the
 * caller has received part of it, otherwise `MayHaveRun`.
 */
function unfinishedResult(
  sink: answerSink.AnswerSink,
  reason: string,
): request.RequestResult {
  if (sink.delivered) return { kind: request.ResultKind.Incomplete, reason };
  return { kind: request.ResultKind.MayHaveRun, reason };
}
