import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as retryBudget from "../dispatch/retry_budget.ts";
import type * as endWatch from "../quarantine/end_watch.ts";
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
import type * as runnerCaller from "./runner_caller.ts";

/**
 * Longest wait for a service all of whose runners turn requests away with room to
 * spare, in milliseconds: a lost group is formed anew within it. A caller that is
 * refused then has mostly used up its one retry when it is back.
 */
const MAX_WAIT_MILLISECONDS = 1_500;
/** Part of the caller's patience that such a wait takes at most. */
const MAX_WAIT_TIMEOUT_FRACTION = 0.25;
/** How often a waiting request looks for a runner, in milliseconds. */
const WAIT_CHECK_INTERVAL_MILLISECONDS = 50;

/** One request on its way. */
export interface ForwardedRequestParameters {
  request: callerRequest.CallerRequest;
  sink: callerRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  /** Milliseconds that the caller has spent on earlier tries of its own. */
  spentBefore: number;
  service: string;
  tracker: runnerTracker.RunnerTracker;
  caller: runnerCaller.RunnerCaller;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  quarantine: quarantine.Quarantine;
  endWatch: endWatch.EndWatch;
  onAnswerStart: (runner: traffic.RunnerEntry) => void;
  random: common.Random;
  metrics: common.Metrics;
}

/** What the log says of the request. */
export interface ForwardOutcome {
  route: string;
  account: string;
  service: string;
  end: string;
  milliseconds: number;
  attempts: attemptOutcome.AttemptSummary[];
  /** Name of the request by what it asks for, if it is in quarantine. */
  fingerprint: string | undefined;
}

/** Conducts one admitted request: chooses runners, repeats what may be repeated. */
export class ForwardedRequest implements watchedRequests.WatchedRequest {
  readonly #attempts: attemptOutcome.AttemptSummary[] = [];
  readonly #tried = new Set<string>();
  /** Aborts with the end that this side gives an attempt under way. */
  readonly #cancellation = new AbortController();
  readonly #relay: answerRelay.AnswerRelay;
  readonly #fingerprint: fingerprint.LazyFingerprint;
  /** Attempts that ran or may have. */
  #runs = 0;
  readonly #clock: requestClock.RequestClock;
  #attempt: runnerAttempt.RunnerAttempt | undefined;
  /** Milliseconds from arrival to the first of an answer; -1 before it. */
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

  /** Service that it is for. */
  get service(): string {
    return this.parameters.service;
  }

  /** Name of the request by what it asks for. */
  get fingerprint(): string {
    return this.#fingerprint.value;
  }

  /**
   * It is put in quarantine. A run that answers is left to its end, good or bad, and so
   * is one that may not be repeated.
   */
  stop(): void {
    const { repeatability } = this.parameters.route;
    if (repeatability !== traffic.Repeatability.Idempotent) return;
    if (this.#firstAnswerMilliseconds < 0)
      this.#cancellation.abort(attemptOutcome.QUARANTINED);
  }

  /** Runs the request to its answer. */
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
    const repeats = this.#attempts.length - 1;
    if (repeats > 0) metrics.count(common.Metric.Retries, { service }, repeats);
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

  /** Finds out whether an attempt broke off as its runner ended. */
  async #checkForCrash(
    outcome: attemptOutcome.AttemptOutcome,
    runner: traffic.RunnerEntry,
  ): Promise<void> {
    const { request, endWatch, tracker } = this.parameters;
    const runnerIsUnresponsive = tracker.isUnresponsive(runner.identifier);
    if (!attemptOutcome.mayBeCrash(outcome.kind, runnerIsUnresponsive)) return;
    await endWatch.brokenOff(runner, {
      request: request.identifier,
      fingerprint: this.fingerprint,
      startedAt: this.#attempt?.startedAt ?? common.now(),
    });
  }

  /**
   * Waits a moment for a service that is being formed anew; false if there is
   * nothing to wait for, or not for so long.
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
   * Whether another runner may be tried in place of waiting on. Only where there is
   * another, the request may be repeated, and the budget of repeats is not spent:
   * a wait that may still end well is better than a refusal.
   */
  #mayTryAnother(): boolean {
    const { route, tracker, service, budgetOf } = this.parameters;
    if (route.repeatability !== traffic.Repeatability.Idempotent) return false;
    if (this.#runs + 1 >= route.mostAttempts) return false;
    if (budgetOf(service).balance < 1) return false;
    const others = tracker.candidates(service, this.#tried);
    return others.some(({ suspended: spared }) => !spared);
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
      quarantine.heldMilliseconds(this) ||
      retryDelay.retryDelayMilliseconds(this.#clock.millisecondsLeft, random);
    sink.refuse({ kind, reason: outcome.reason, retryAfterMilliseconds });
  }
}
