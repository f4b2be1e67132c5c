import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as urgencyAdmission from "../admission/urgency_admission.ts";
import type * as retryBudget from "../dispatch/retry_budget.ts";
import type * as crashDetector from "../quarantine/crash_detector.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";
import type * as plannedStop from "../shutdown/planned_stop.ts";
import type * as answerBuffers from "./answer_buffers.ts";
import type * as answerDurations from "./answer_durations.ts";
import * as admissionPlace from "./admission_place.ts";
import * as answerRelay from "./answer_relay.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import * as callerRequest from "./caller_request.ts";
import * as crashChecks from "./crash_checks.ts";
import * as failureAnswers from "./failure_answers.ts";
import * as hedgedAttempts from "./hedged_attempts.ts";
import * as obtainRunner from "./obtain_runner.ts";
import * as retryDelay from "./retry_delay.ts";
import type * as runnerTracker from "./runner_tracker.ts";
import * as requestClock from "./request_clock.ts";
import * as stopsBeforeEnd from "./stops_before_end.ts";
import * as runnerAttempt from "./runner_attempt.ts";
import type * as rateLimits from "../rate_limit/rate_limits.ts";
import type * as runnerRests from "../runner_rest/runner_rests.ts";
import type * as runnerClientModule from "./runner_client.ts";

/**
 * Time since its arrival after which a request no longer waits for a runner
 * while runners of its service refuse requests although they have room. The
 * time includes earlier attempts. A group that lost a rank is re-formed within
 * this time. Callers retry only once. If the request were refused in the
 * meantime, most callers would have retried, and been refused again, before the
 * group is back.
 */
const MAX_WAIT_MILLISECONDS = 1_500;
/**
 * Fraction of the caller's timeout after which, counted from the arrival, a
 * request no longer waits for a runner. A request without a timeout (0) does
 * not wait.
 */
const MAX_WAIT_TIMEOUT_FRACTION = 0.25;
/** Time after its timeout by which a request must have its final answer. */
const OVERDUE_MILLISECONDS = 500;
/** How often a waiting request checks for a runner. */
const WAIT_CHECK_INTERVAL_MILLISECONDS = 50;

/** What a forwarded request needs. */
export interface ForwardedRequestParameters {
  request: callerRequest.CallerRequest;
  sink: callerRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  /** 0 is most urgent. */
  urgency: number;
  /**
   * Estimated milliseconds that the caller spent on earlier tries of its own.
   */
  spentBefore: number;
  service: string;
  admission: urgencyAdmission.UrgencyAdmission;
  tracker: runnerTracker.RunnerTracker;
  /** The runner list, and until when it is proved. */
  runners: traffic.ProvenValue<traffic.RunnerList>;
  runnerClient: runnerClientModule.RunnerClient;
  buffers: answerBuffers.AnswerBuffers;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  quarantine: quarantine.Quarantine;
  crashDetector: crashDetector.CrashDetector;
  /** Called when the head of a signed successful answer has arrived. */
  onAnswerStart: (runner: traffic.RunnerEntry) => void;
  rateLimits: rateLimits.RateLimits;
  rests: runnerRests.RunnerRests;
  /** Called when a runner first says in an answer that it is leaving. */
  onLeaving: (runner: traffic.RunnerEntry, request: string) => void;
  stop: plannedStop.PlannedStop;
  durations: answerDurations.AnswerDurations;
  /**
   * Milliseconds after which a caller is to come back that is refused because
   * this entry stops.
   */
  retryElsewhereMilliseconds: () => number;
  random: common.Random;
  logger: common.Logger;
  metrics: common.Metrics;
}

/** What the log says about the request. */
export interface ForwardOutcome {
  route: string;
  account: string;
  service: string;
  /** Kind of the request's outcome. */
  end: string;
  /** Whether all of the answer, or refusal, has left this process. */
  delivered: boolean;
  milliseconds: number;
  attempts: attemptOutcome.AttemptSummary[];
  /**
   * Identifies the request, or the part of its prompt, that is quarantined; set
   * only if one is.
   */
  fingerprint: string | undefined;
  /** Set if the request waited for, or was refused by, a rate limit. */
  rateLimit: rateLimits.RateLimitTrace | undefined;
  /** Set if the request waited for, or was refused by, admission. */
  admission: admissionPlace.AdmissionTrace | undefined;
}

/**
 * Forwards one admitted request: chooses runners, makes one attempt after
 * another as far as the route and the retry budget allow, and gives the caller
 * the final answer.
 */
export class ForwardedRequest implements watchedRequests.WatchedRequest {
  readonly #attempts: attemptOutcome.AttemptSummary[] = [];
  /** Runners that a retry does not go to; cleared while the request waits. */
  readonly #tried = new Set<string>();
  /**
   * Cancels the request, and aborts its attempt if one is in progress. The
   * signal's reason is the outcome of the request, an `AttemptOutcome`.
   */
  readonly #cancellation = new AbortController();
  readonly #relay: answerRelay.AnswerRelay;
  readonly #fingerprint: fingerprint.LazyFingerprint;
  /** Number of attempts that a runner ran or may have run. */
  #runs = 0;
  readonly #clock: requestClock.RequestClock;
  readonly #place: admissionPlace.AdmissionPlace;
  readonly #hedged: hedgedAttempts.HedgedAttempts;
  /** Attempts in the order in which they were made. */
  readonly #made: runnerAttempt.RunnerAttempt[] = [];
  readonly #failures: failureAnswers.FailureAnswers;
  readonly #crashChecks: crashChecks.CrashChecks;
  /** Attempts of which the quarantine was told that their runners write. */
  readonly #notedWriting = new Set<runnerAttempt.RunnerAttempt>();
  /**
   * Milliseconds from the request's arrival until the head of the first signed
   * successful answer arrived from a runner; -1 before that. Sent as the metric
   * `FirstToken`, although the head may arrive before any text token.
   */
  #firstAnswerMilliseconds = -1;
  /** What decided where the request waited for, or was refused by, a limit. */
  #rateLimitTrace: rateLimits.RateLimitTrace | undefined;
  /** Retry delay if the request is refused for a rate limit; 0 otherwise. */
  #rateLimitRetryMilliseconds = 0;

  constructor(readonly parameters: ForwardedRequestParameters) {
    const { route, request, account, sink } = parameters;
    this.#clock = new requestClock.RequestClock(request, route);
    this.#place = new admissionPlace.AdmissionPlace({
      ...parameters,
      clock: this.#clock,
      cancel: this.#cancellation.signal,
      maxWaitMilliseconds: this.#maxWait,
    });
    this.#fingerprint = new fingerprint.LazyFingerprint({
      ...request,
      account: account?.name ?? "",
    });
    this.#failures = new failureAnswers.FailureAnswers(parameters.buffers);
    this.#relay = new answerRelay.AnswerRelay({
      sink,
      answerForm: route.answerForm,
      resumeAfter: request.resumeAfter,
      buffers: parameters.buffers,
    });
    this.#crashChecks = new crashChecks.CrashChecks({
      ...parameters,
      fingerprint: () => this.fingerprint,
    });
    this.#hedged = new hedgedAttempts.HedgedAttempts({
      createAttempt: (secured) => this.#createAttempt(secured),
      onEnd: (attempt, outcome) => this.#noteEnd(attempt, outcome),
      secureAnother: (silent) => this.#secureAnother(silent),
      charge: () => this.#chargeAnother(),
      onLateFailure: (cause) =>
        common.reportHandlerFailure(parameters, request.identifier, cause),
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

  /** Parts of the prompt that other requests may share. */
  get promptParts(): readonly string[] {
    return this.parameters.request.promptParts;
  }

  /**
   * Cancels the request because it has been quarantined. Only the quarantine
   * calls this. A request for which a runner has begun an answer continues,
   * also if a later attempt is in progress, and so does a request that may run
   * at most once.
   */
  stop(): void {
    const { repeatability } = this.parameters.route;
    if (repeatability !== traffic.Repeatability.Idempotent) return;
    if (this.#firstAnswerMilliseconds < 0)
      this.#cancellation.abort(attemptOutcome.QUARANTINED);
  }

  /**
   * Makes attempts until the caller has its final answer or has disconnected.
   * Returns the summary for the log.
   */
  async run(): Promise<ForwardOutcome> {
    const { route, account, service, quarantine } = this.parameters;
    const stopDeadline = this.parameters.stop.deadline;
    const onStopDeadline = () =>
      this.#cancellation.abort(attemptOutcome.STOPPED);
    stopDeadline.addEventListener("abort", onStopDeadline, { once: true });
    const left = Math.max(0, this.#clock.millisecondsLeft);
    const timer = setTimeout(
      () => this.#cancellation.abort(attemptOutcome.TIMED_OUT),
      left,
    );
    const overdueTimer = setTimeout(
      () => this.#logOverdue(),
      left + OVERDUE_MILLISECONDS,
    );
    const unwatch = quarantine.watch(this);
    let outcome: attemptOutcome.AttemptOutcome | undefined;
    try {
      outcome = await this.#attemptUntilFinal();
    } finally {
      clearTimeout(timer);
      clearTimeout(overdueTimer);
      this.#place.release(outcome);
      unwatch();
      if (!outcome) this.#failures.release();
      stopDeadline.removeEventListener("abort", onStopDeadline);
    }
    const delivered = await this.#answerAndRelease(outcome);
    outcome = this.#outcomeFor(outcome, delivered);
    this.#recordMetrics(outcome);
    const isQuarantined =
      outcome.kind === attemptOutcome.AttemptOutcomeKind.Quarantined;
    return {
      route: route.name,
      account: account?.name ?? "",
      service,
      end: outcome.kind,
      delivered,
      milliseconds: Math.round(this.#clock.elapsed),
      attempts: this.#attempts,
      fingerprint: isQuarantined
        ? (quarantine.quarantinedKeyOf(this) ?? this.fingerprint)
        : undefined,
      rateLimit: this.#rateLimitTrace,
      admission: this.#place.trace,
    };
  }

  #logOverdue(): void {
    const { logger, request } = this.parameters;
    const open = this.#hedged.open.map((attempt) => ({
      runner: attempt.parameters.runner.identifier,
      progress: attempt.progress,
      sentAfter: attempt.sentAfter,
    }));
    const fields = { request: request.identifier, open };
    logger.event(common.EventCode.ForwardOverdue, fields);
  }

  /** The outcome, once it is known whether the caller can have the answer. */
  #outcomeFor(
    outcome: attemptOutcome.AttemptOutcome,
    delivered: boolean,
  ): attemptOutcome.AttemptOutcome {
    if (outcome.kind !== attemptOutcome.AttemptOutcomeKind.Answered)
      return outcome;
    const { durations, route } = this.parameters;
    if (delivered) durations.note(route.name, this.#clock.elapsed);
    return delivered ? outcome : attemptOutcome.CALLER_DISCONNECTED;
  }

  #recordMetrics(finalOutcome: attemptOutcome.AttemptOutcome): void {
    const { metrics, service } = this.parameters;
    const outcome = finalOutcome.kind;
    metrics.count(common.Metric.Requests, { service, outcome });
    // Includes the attempts after runners that did not run the request.
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
    const { route, service, budgetOf, quarantine } = this.parameters;
    const budget = budgetOf(service);
    budget.earn();
    let lastOutcome: attemptOutcome.AttemptOutcome | undefined;
    for (;;) {
      const cancelled = this.#cancelledOutcome();
      if (cancelled) return cancelled;
      // The quarantine returns 0 if the request may be sent to a runner, else
      // the milliseconds after which the caller is to send it again.
      if (quarantine.remainingMilliseconds(this) > 0)
        return attemptOutcome.QUARANTINED;
      if (this.#stopsBeforeEnd()) return lastOutcome ?? attemptOutcome.STOPPED;
      if (lastOutcome && budget.balance < 1) return lastOutcome;
      const entered = this.#place.enter();
      if (entered instanceof Promise) {
        await entered;
        continue;
      }
      if (entered) return entered;
      const obtaining = this.#obtainRunner();
      const obtained =
        obtaining instanceof Promise ? await obtaining : obtaining;
      const cancelledMeanwhile = this.#cancelledOutcome();
      if (cancelledMeanwhile) return cancelledMeanwhile;
      switch (obtained.kind) {
        case "retry":
          continue;
        case "none":
          return lastOutcome ?? attemptOutcome.NO_RUNNER;
        case "at-limit":
          this.#noteRateLimit(obtained);
          return lastOutcome ?? attemptOutcome.AT_RATE_LIMIT;
        case "runner":
          break;
      }
      if (quarantine.admit(this) > 0) return attemptOutcome.QUARANTINED;
      if (lastOutcome && !budget.spend()) return lastOutcome;
      const { runner } = obtained;
      this.#rateLimitTrace = obtained.trace ?? this.#rateLimitTrace;
      const { permit } = obtained;
      lastOutcome = await this.#hedged.run({ runner, permit });
      // A retry waits for the checks: if one finds a crash, the request may be
      // quarantined. A final answer does not wait for them.
      if (!attemptOutcome.mayRetry(lastOutcome, route, this.#runs))
        return lastOutcome;
      await this.#crashChecks.settled();
      if (this.#mayHaveCrashedRunner()) return lastOutcome;
    }
  }

  #stopsBeforeEnd(): boolean {
    if (this.#runs > 0) return false;
    const clock = this.#clock;
    return stopsBeforeEnd.stopsBeforeEnd({ ...this.parameters, clock });
  }

  /**
   * Finds a runner that may get the request now. If there is none, the request
   * waits a moment for one that refuses requests, or for the rate limit of one.
   */
  #obtainRunner():
    obtainRunner.ObtainedRunner | Promise<obtainRunner.ObtainedRunner> {
    const tried = this.#place.excluding(this.#tried);
    const parameters = { ...this.parameters, tried };
    const obtained = obtainRunner.obtainRunner(parameters);
    if (obtained instanceof Promise) return obtained;
    return obtained.kind === "none" ? this.#awaitRunner(parameters) : obtained;
  }

  async #awaitRunner(
    parameters: obtainRunner.ObtainRunnerParameters,
  ): Promise<obtainRunner.ObtainedRunner> {
    const { sink, stop } = this.parameters;
    if (await this.#waitForRunner()) return { kind: "retry" };
    return obtainRunner.awaitRateLimit({
      ...parameters,
      maxDelayMilliseconds: Math.max(0, this.#maxWait - this.#clock.elapsed),
      signal: AbortSignal.any([
        sink.disconnected,
        this.#cancellation.signal,
        stop.started,
      ]),
    });
  }

  /** Notes that the request is refused for the rate limit of a runner. */
  #noteRateLimit({
    runner,
    waitMilliseconds,
    trace,
  }: Extract<obtainRunner.ObtainedRunner, { kind: "at-limit" }>): void {
    const { rateLimits, random } = this.parameters;
    this.#rateLimitTrace = trace;
    const paced = rateLimits.nextRetryDelay(runner, waitMilliseconds);
    this.#rateLimitRetryMilliseconds = retryDelay.jittered(paced, random);
  }

  /** Longest time from its arrival for which the request waits for a runner. */
  get #maxWait(): number {
    const { timeoutMilliseconds } = this.parameters.request;
    const callerShare = timeoutMilliseconds * MAX_WAIT_TIMEOUT_FRACTION;
    return Math.min(MAX_WAIT_MILLISECONDS, callerShare);
  }

  /**
   * Waits a moment if the rest that a runner of the service wants ends soon, or
   * if one refuses requests although it has room, as the runners of a group do
   * while the group is re-formed. After that, runners that were tried before may
   * be tried again. Returns false, without waiting, if there is no such runner,
   * if the request is cancelled, or if it arrived too long ago.
   */
  async #waitForRunner(): Promise<boolean> {
    const { tracker, service, sink } = this.parameters;
    const remaining = this.#maxWait - this.#clock.elapsed;
    const restEnd = tracker.firstRestEnd(service) ?? Infinity;
    const mayOpen = tracker.hasRefusing(service) || restEnd <= remaining;
    if (!mayOpen || this.#cancelledOutcome() || remaining < 0) return false;
    this.#tried.clear();
    await tracker.availabilityChanged.next(
      WAIT_CHECK_INTERVAL_MILLISECONDS,
      sink.disconnected,
    );
    return true;
  }

  #createAttempt({
    runner,
    permit,
  }: hedgedAttempts.SecuredRunner): runnerAttempt.RunnerAttempt {
    const attempt: runnerAttempt.RunnerAttempt =
      new runnerAttempt.RunnerAttempt({
        ...this.parameters,
        runner,
        permit,
        clock: this.#clock,
        relay: this.#relay,
        openBuffer: () => this.#failures.open(),
        cancel: this.#cancellation.signal,
        onStalled: () => void this.#hedged.hedge(),
        onGotOn: () => this.#noteGotOn(attempt),
        onAnswerStart: () => {
          this.#noteFirstAnswer();
          this.parameters.onAnswerStart(runner);
        },
      });
    this.#place.noteAttempt(runner);
    this.#tried.add(runner.identifier);
    this.#made.push(attempt);
    return attempt;
  }

  /** Notes the outcome of an attempt that has ended. */
  #noteEnd(
    attempt: runnerAttempt.RunnerAttempt,
    outcome: attemptOutcome.AttemptOutcome,
  ): void {
    const { quarantine } = this.parameters;
    const { runner } = attempt.parameters;
    if (outcome.kind === attemptOutcome.AttemptOutcomeKind.Answered) {
      quarantine.answered(this, runner.version);
      quarantine.wrote(this, runner.version, attempt.startedAt);
    }
    this.#noteWriting(attempt);
    if (outcome.kind !== attemptOutcome.AttemptOutcomeKind.NotRun) this.#runs++;
    this.#attempts[this.#made.indexOf(attempt)] = {
      runner: runner.identifier,
      end: outcome.kind,
      reason: outcome.reason,
      sentAfter: attempt.sentAfter,
      milliseconds: Math.round(common.now() - attempt.startedAt),
    };
    this.#crashChecks.noteEnd(attempt, outcome.kind);
  }

  /**
   * Whether an answer to the request had begun, without content, when its runner
   * crashed. Of all that ran there such a request is the likeliest cause, and a
   * retry would cost the next runner.
   */
  #mayHaveCrashedRunner(): boolean {
    return this.#made.some((attempt) => {
      if (!attempt.isBegunWithoutContent) return false;
      const incarnation = traffic.incarnationOf(attempt.parameters.runner);
      return this.parameters.quarantine.crashTimeOf(incarnation) !== undefined;
    });
  }

  /** Tells the quarantine of an attempt whose runner stands the request. */
  #noteWriting(attempt: runnerAttempt.RunnerAttempt): void {
    const { writingSince } = attempt;
    if (writingSince === undefined) return;
    this.#notedWriting.add(attempt);
    const { version } = attempt.parameters.runner;
    this.parameters.quarantine.wrote(this, version, writingSince);
  }

  /**
   * Whether one more attempt may be made beside the open ones. That requires an
   * idempotent request that may run once more than it may have by now, and
   * retry budget.
   */
  #mayRunBesides(): boolean {
    const { route, service, budgetOf } = this.parameters;
    if (route.repeatability !== traffic.Repeatability.Idempotent) return false;
    if (this.#runs + this.#hedged.open.length >= route.mostAttempts)
      return false;
    return !this.#cancelledOutcome() && budgetOf(service).balance >= 1;
  }

  /** Whether a runner that was not tried may get the request and responds. */
  #hasResponsiveRunner(): boolean {
    const { tracker, service } = this.parameters;
    const others = tracker.candidates(service, this.#tried);
    return others.some(({ suspended }) => !suspended);
  }

  /**
   * Finds a runner for one more attempt beside the silent ones. It waits
   * neither for a runner nor for a rate limit; the next check of the silent
   * attempts tries again.
   */
  async #secureAnother(
    silent: runnerAttempt.RunnerAttempt[],
  ): Promise<hedgedAttempts.SecuredRunner | undefined> {
    const isPossible = () =>
      this.#mayRunBesides() && this.#hasResponsiveRunner();
    if (!isPossible()) return undefined;
    await Promise.all(
      silent.map((attempt) => this.#crashChecks.checkSilent(attempt)),
    );
    if (!isPossible()) return undefined;
    const obtained = await obtainRunner.obtainRunner({
      ...this.parameters,
      tried: this.#tried,
    });
    return obtained.kind === "runner" ? obtained : undefined;
  }

  /** Admits and charges one more attempt beside the open ones. */
  #chargeAnother(): boolean {
    const { quarantine, budgetOf, service } = this.parameters;
    if (!this.#mayRunBesides() || quarantine.admit(this) > 0) return false;
    return budgetOf(service).spend();
  }

  #cancelledOutcome(): attemptOutcome.AttemptOutcome | undefined {
    return attemptOutcome.cancelledOutcome(
      this.parameters.sink.disconnected,
      this.#cancellation.signal,
    );
  }

  /** Notes that a part of an attempt's answer goes to the caller. */
  #noteGotOn(attempt: runnerAttempt.RunnerAttempt): void {
    this.#noteFirstAnswer();
    this.#place.noteEvent();
    attempt.noteContent();
    if (!this.#notedWriting.has(attempt)) this.#noteWriting(attempt);
    this.#hedged.noteGotOn(attempt);
    this.#crashChecks.noteGotOn(attempt);
  }

  #noteFirstAnswer(): void {
    this.#place.noteFirstEvent();
    if (this.#firstAnswerMilliseconds < 0)
      this.#firstAnswerMilliseconds = this.#clock.elapsed;
  }

  async #answerAndRelease(
    outcome: attemptOutcome.AttemptOutcome,
  ): Promise<boolean> {
    try {
      return await this.#answerCaller(outcome);
    } finally {
      this.#failures.release();
    }
  }

  /**
   * Gives the caller the final answer, and returns whether all of it has left
   * this process.
   */
  async #answerCaller(
    outcome: attemptOutcome.AttemptOutcome,
  ): Promise<boolean> {
    const { sink } = this.parameters;
    switch (outcome.kind) {
      case attemptOutcome.AttemptOutcomeKind.Answered:
        return this.#relay.delivery;
      case attemptOutcome.AttemptOutcomeKind.CallerDisconnected:
        return false;
      default:
        break;
    }
    if (this.#relay.begun) {
      sink.abort(`${outcome.kind}: ${outcome.reason}`);
      return false;
    }
    const delivery = this.#failures.deliver(outcome, sink);
    if (delivery) return delivery;
    const kind = attemptOutcome.refusalKind(outcome, this.#runs);
    const retryAfterMilliseconds = this.#retryAfterMilliseconds(outcome);
    return sink.refuse({
      kind,
      reason: outcome.reason,
      retryAfterMilliseconds,
    });
  }

  #retryAfterMilliseconds(outcome: attemptOutcome.AttemptOutcome): number {
    const { random, quarantine } = this.parameters;
    if (outcome.kind === attemptOutcome.AttemptOutcomeKind.Stopped)
      return this.parameters.retryElsewhereMilliseconds();
    // The quarantine returns 0 if the request may be sent to a runner now.
    return (
      quarantine.remainingMilliseconds(this) ||
      this.#rateLimitRetryMilliseconds ||
      this.#place.retryAfterMilliseconds ||
      retryDelay.restRetryMilliseconds(this.parameters) ||
      retryDelay.retryDelayMilliseconds(this.#clock.millisecondsLeft, random)
    );
  }
}
