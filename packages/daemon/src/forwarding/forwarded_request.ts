import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as retryBudget from "../dispatch/retry_budget.ts";
import type * as crashDetector from "../quarantine/crash_detector.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";
import * as answerRelay from "./answer_relay.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import * as callerRequest from "./caller_request.ts";
import * as retryDelay from "./retry_delay.ts";
import type * as runnerTracker from "./runner_tracker.ts";
import * as requestClock from "./request_clock.ts";
import * as runnerAttempt from "./runner_attempt.ts";
import type * as runnerClientModule from "./runner_client.ts";

/**
 * Maximum time that a request waits while the runners of its service refuse
 * requests although they have room. A group that lost a rank is re-formed
 * within this time. A caller that is refused in the meantime has mostly used up
 * its one retry by the time the group is back.
 */
const MAX_WAIT_MILLISECONDS = 1_500;
/** Fraction of the caller's timeout that such a wait may take. */
const MAX_WAIT_TIMEOUT_FRACTION = 0.25;
/** How often a waiting request checks for a runner. */
const WAIT_CHECK_INTERVAL_MILLISECONDS = 50;

/** What a forwarded request needs. */
export interface ForwardedRequestParameters {
  request: callerRequest.CallerRequest;
  sink: callerRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  /**
   * Estimated milliseconds that the caller spent on earlier tries of its own.
   */
  spentBefore: number;
  service: string;
  tracker: runnerTracker.RunnerTracker;
  runnerClient: runnerClientModule.RunnerClient;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  quarantine: quarantine.Quarantine;
  crashDetector: crashDetector.CrashDetector;
  onAnswerStart: (runner: traffic.RunnerEntry) => void;
  random: common.Random;
  metrics: common.Metrics;
}

/** What the log says about the request. */
export interface ForwardOutcome {
  route: string;
  account: string;
  service: string;
  end: string;
  milliseconds: number;
  attempts: attemptOutcome.AttemptSummary[];
  /**
   * Identifies what the request asks for; set only if the request is
   * quarantined.
   */
  fingerprint: string | undefined;
}

/**
 * Forwards one admitted request: chooses runners, makes one attempt after
 * another as far as the route and the retry budget allow, and gives the caller
 * the final answer.
 */
export class ForwardedRequest implements watchedRequests.WatchedRequest {
  readonly #attempts: attemptOutcome.AttemptSummary[] = [];
  readonly #tried = new Set<string>();
  /** Aborts the attempt in progress; the reason is its outcome. */
  readonly #cancellation = new AbortController();
  readonly #relay: answerRelay.AnswerRelay;
  readonly #fingerprint: fingerprint.LazyFingerprint;
  /** Number of attempts that ran or may have run. */
  #runs = 0;
  readonly #clock: requestClock.RequestClock;
  #attempt: runnerAttempt.RunnerAttempt | undefined;
  /**
   * Milliseconds from arrival to the first part of an answer; -1 before that.
   */
  #firstAnswerMilliseconds = -1;

  constructor(readonly parameters: ForwardedRequestParameters) {
    const { route, request, account, sink } = parameters;
    this.#clock = new requestClock.RequestClock(request, route);
    this.#fingerprint = new fingerprint.LazyFingerprint({
      ...request,
      account: account?.name ?? "",
    });
    this.#relay = new answerRelay.AnswerRelay({
      sink,
      answerForm: route.answerForm,
      resumeAfter: request.resumeAfter,
      onEvent: () => this.#noteEvent(),
    });
  }

  /** Service whose runners the request is for. */
  get service(): string {
    return this.parameters.service;
  }

  /** Identifies what the request asks for. */
  get fingerprint(): string {
    return this.#fingerprint.value;
  }

  /**
   * Cancels the request because it has been quarantined. An attempt whose
   * answer has begun continues to its end, and so does a request that may run
   * at most once.
   */
  stop(): void {
    const { repeatability } = this.parameters.route;
    if (repeatability !== traffic.Repeatability.Idempotent) return;
    if (this.#firstAnswerMilliseconds < 0)
      this.#cancellation.abort(attemptOutcome.QUARANTINED);
  }

  /**
   * Runs the request until the caller has its final answer or has disconnected.
   */
  async run(): Promise<ForwardOutcome> {
    const { route, account, service, quarantine } = this.parameters;
    const timer = setTimeout(
      () => this.#cancellation.abort(attemptOutcome.TIMED_OUT),
      Math.max(0, this.#clock.millisecondsLeft),
    );
    const unwatch = quarantine.watch(this);
    let outcome: attemptOutcome.AttemptOutcome;
    try {
      outcome = await this.#attemptUntilFinal();
    } finally {
      clearTimeout(timer);
      unwatch();
    }
    this.#answerCaller(outcome);
    this.#recordMetrics(outcome);
    const isQuarantined =
      outcome.kind === attemptOutcome.AttemptOutcomeKind.Quarantined;
    return {
      route: route.name,
      account: account?.name ?? "",
      service,
      end: outcome.kind,
      milliseconds: Math.round(this.#clock.elapsed),
      attempts: this.#attempts,
      fingerprint: isQuarantined ? this.fingerprint : undefined,
    };
  }

  #recordMetrics(finalOutcome: attemptOutcome.AttemptOutcome): void {
    const { metrics, service } = this.parameters;
    const outcome = finalOutcome.kind;
    metrics.count(common.Metric.Requests, { service, outcome });
    const furtherAttempts = this.#attempts.length - 1;
    if (furtherAttempts > 0)
      metrics.count(common.Metric.Retries, { service }, furtherAttempts);
    if (this.#firstAnswerMilliseconds >= 0) {
      metrics.time(common.Metric.FirstToken, this.#firstAnswerMilliseconds, {
        service,
      });
    }
  }

  async #attemptUntilFinal(): Promise<attemptOutcome.AttemptOutcome> {
    const { tracker, route, service, budgetOf, quarantine } = this.parameters;
    const budget = budgetOf(service);
    budget.earn();
    let lastOutcome: attemptOutcome.AttemptOutcome | undefined;
    for (;;) {
      const cancelled = this.#cancelledOutcome();
      if (cancelled) return cancelled;
      if (quarantine.admit(this) > 0) return attemptOutcome.QUARANTINED;
      const runner = tracker.choose(service, this.#tried);
      if (!runner) {
        if (await this.#waitForRunner()) continue;
        return (
          lastOutcome ?? {
            kind: attemptOutcome.AttemptOutcomeKind.NotRun,
            reason: "no runner",
          }
        );
      }
      if (lastOutcome && !budget.spend()) return lastOutcome;
      this.#tried.add(runner.identifier);
      lastOutcome = await this.#attemptAt(runner);
      const crashCheck = this.#checkForCrash(lastOutcome, runner);
      if (!attemptOutcome.mayRetry(lastOutcome, route, this.#runs))
        return lastOutcome;
      await crashCheck;
    }
  }

  /** Finds out whether an attempt failed because its runner crashed. */
  async #checkForCrash(
    outcome: attemptOutcome.AttemptOutcome,
    runner: traffic.RunnerEntry,
  ): Promise<void> {
    const { request, crashDetector, tracker } = this.parameters;
    const runnerIsUnresponsive = tracker.isUnresponsive(runner.identifier);
    if (!attemptOutcome.mayBeCrash(outcome.kind, runnerIsUnresponsive)) return;
    await crashDetector.investigate(runner, {
      request: request.identifier,
      fingerprint: this.fingerprint,
      startedAt: this.#attempt?.startedAt ?? common.now(),
    });
  }

  /**
   * Waits a moment while the runners of the service refuse requests although
   * they have room, as a group does that is being re-formed. Returns false if
   * no runner refuses, or if the request has waited too long already.
   */
  async #waitForRunner(): Promise<boolean> {
    const { tracker, service, sink, request } = this.parameters;
    if (!tracker.hasRefusing(service) || this.#cancelledOutcome()) return false;
    const callerShare = request.timeoutMilliseconds * MAX_WAIT_TIMEOUT_FRACTION;
    const maxWaitMilliseconds = Math.min(MAX_WAIT_MILLISECONDS, callerShare);
    if (this.#clock.elapsed > maxWaitMilliseconds) return false;
    this.#tried.clear();
    await tracker.availabilityChanged.next(
      WAIT_CHECK_INTERVAL_MILLISECONDS,
      sink.disconnected,
    );
    return true;
  }

  async #attemptAt(
    runner: traffic.RunnerEntry,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const attempt = new runnerAttempt.RunnerAttempt({
      ...this.parameters,
      runner,
      clock: this.#clock,
      relay: this.#relay,
      cancel: this.#cancellation.signal,
      mayTryAnother: () => this.#mayTryAnother(),
      onAnswerStart: () => {
        this.#noteFirstAnswer();
        this.parameters.onAnswerStart(runner);
      },
    });
    this.#attempt = attempt;
    const outcome = await attempt.run();
    const { quarantine } = this.parameters;
    if (outcome.kind === attemptOutcome.AttemptOutcomeKind.Answered) {
      quarantine.answered(this, runner.version);
    }
    if (outcome.kind !== attemptOutcome.AttemptOutcomeKind.NotRun) this.#runs++;
    this.#attempts.push({
      runner: runner.identifier,
      end: outcome.kind,
      reason: outcome.reason,
      milliseconds: Math.round(common.now() - attempt.startedAt),
    });
    return outcome;
  }

  /**
   * Whether the attempt may be abandoned for another runner. That requires an
   * idempotent request with attempts left, retry budget, and another runner
   * that is not suspended. Otherwise waiting is better: the attempt may still
   * succeed, and abandoning it would mean a refusal.
   */
  #mayTryAnother(): boolean {
    const { route, tracker, service, budgetOf } = this.parameters;
    if (route.repeatability !== traffic.Repeatability.Idempotent) return false;
    if (this.#runs + 1 >= route.mostAttempts) return false;
    if (budgetOf(service).balance < 1) return false;
    const others = tracker.candidates(service, this.#tried);
    return others.some(({ suspended }) => !suspended);
  }

  #cancelledOutcome(): attemptOutcome.AttemptOutcome | undefined {
    return attemptOutcome.cancelledOutcome(
      this.parameters.sink.disconnected,
      this.#cancellation.signal,
    );
  }

  #noteEvent(): void {
    this.#noteFirstAnswer();
    this.#attempt?.noteProgress();
  }

  #noteFirstAnswer(): void {
    if (this.#firstAnswerMilliseconds < 0)
      this.#firstAnswerMilliseconds = this.#clock.elapsed;
  }

  /** Gives the caller the final answer. */
  #answerCaller(outcome: attemptOutcome.AttemptOutcome): void {
    const { sink, random, quarantine } = this.parameters;
    switch (outcome.kind) {
      case attemptOutcome.AttemptOutcomeKind.Answered:
      case attemptOutcome.AttemptOutcomeKind.CallerDisconnected:
        return;
      default:
        break;
    }
    if (this.#relay.begun) return sink.abort();
    if (outcome.failure)
      return sink.answer(outcome.failure.head, outcome.failure.body);
    const kind = attemptOutcome.refusalKind(outcome, this.#runs);
    const retryAfterMilliseconds =
      quarantine.remainingMilliseconds(this) ||
      retryDelay.retryDelayMilliseconds(this.#clock.millisecondsLeft, random);
    sink.refuse({ kind, reason: outcome.reason, retryAfterMilliseconds });
  }
}
