import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as answerBuffers from "./answer_buffers.ts";
import * as answerLimits from "./answer_limits.ts";
import * as answerRelay from "./answer_relay.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import type * as answerTimer from "./answer_timer.ts";
import type * as callerRequest from "./caller_request.ts";
import * as confirmEnd from "./confirm_end.ts";
import * as readDelay from "./read_delay.ts";
import * as runnerCrash from "../quarantine/runner_crash.ts";
import type * as requestClock from "./request_clock.ts";
import * as rateLimitHeader from "../rate_limit/rate_limit_header.ts";
import type * as rateLimitPermit from "../rate_limit/rate_limit_permit.ts";
import type * as rateLimits from "../rate_limit/rate_limits.ts";
import type * as runnerRests from "../runner_rest/runner_rests.ts";
import type * as runnerTracker from "./runner_tracker.ts";
import * as runnerClientModule from "./runner_client.ts";
import * as urgencyAtRunner from "./urgency_at_runner.ts";

/** How often an attempt is checked for progress. */
const STALL_CHECK_INTERVAL_MILLISECONDS = 150;
/**
 * How long an attempt waits for a complete answer, in multiples of the route's
 * objective, before an idempotent request is sent to another runner. Nine in
 * ten answers arrive within a third of that time.
 */
const MAX_WAIT_OBJECTIVES = 1.5;

/**
 * Time from the first content of an answer after which a crash of its runner is
 * not taken for one that the request caused as its answer began.
 */
const MIN_WRITING_MILLISECONDS = 100;

/** Longest time that a call takes to end once it is cancelled. */
const MAX_CANCELLING_MILLISECONDS = 200;

/** What an attempt at a runner needs. */
export interface RunnerAttemptParameters {
  runner: traffic.RunnerEntry;
  permit: rateLimitPermit.RateLimitPermit;
  request: callerRequest.CallerRequest;
  sink: callerRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  /** 0 is most urgent. */
  urgency: number;
  clock: requestClock.RequestClock;
  /**
   * Estimated milliseconds that the caller spent on earlier tries of its own.
   */
  spentBefore: number;
  tracker: runnerTracker.RunnerTracker;
  /** The runner list, and until when it is proved. */
  runners: traffic.ProvenValue<traffic.RunnerList>;
  runnerClient: runnerClientModule.RunnerClient;
  relay: answerRelay.AnswerRelay;
  /** Opens a buffer that is released once the request has its final answer. */
  openBuffer: () => answerBuffers.AnswerBuffer;
  /** Cancels the attempt; its reason is the attempt's outcome. */
  cancel: AbortSignal;
  /** Called at each check that finds the attempt without progress. */
  onStalled: () => void;
  /** Called when a part of the answer is about to go to the caller. */
  onGotOn: () => void;
  rateLimits: rateLimits.RateLimits;
  rests: runnerRests.RunnerRests;
  /** Called when a runner first says in an answer that it is leaving. */
  onLeaving: (runner: traffic.RunnerEntry, request: string) => void;
  /** Called when the head of a signed successful answer has arrived. */
  onAnswerStart: (runner: traffic.RunnerEntry) => void;
}

/** One attempt at a request: calls one runner and relays its answer. */
export class RunnerAttempt {
  readonly startedAt = common.now();
  readonly #sentAt = common.instant();
  /** Aborts when another attempt got on; its reason is the outcome. */
  readonly #superseded = new AbortController();
  /** Aborts when this entry cancels the attempt, for whatever reason. */
  readonly #cancelled: AbortSignal;
  /**
   * When the last part of the answer arrived, or the attempt started; by the
   * silence clock.
   */
  #progressAt: number;
  /** How late the answer is read. */
  readonly #readDelay: readDelay.ReadDelay;
  /** Whether the caller takes nothing, so that the answer is not read. */
  #paused = false;
  /** Whether the head of an answer has arrived from the runner. */
  #begun = false;
  /** When the first content of the answer arrived; `undefined` before. */
  #writingSince: number | undefined;
  /** Times the answer; `undefined` until the request is sent. */
  #timer: answerTimer.AnswerTimer | undefined;

  /** Milliseconds from the request's arrival to the start of the attempt. */
  readonly sentAfter: number;

  constructor(readonly parameters: RunnerAttemptParameters) {
    const { sink, cancel } = parameters;
    this.#cancelled = AbortSignal.any([
      sink.disconnected,
      cancel,
      this.#superseded.signal,
    ]);
    this.sentAfter = Math.round(parameters.clock.elapsed);
    this.#progressAt = parameters.tracker.silenceClock.now();
    this.#readDelay = new readDelay.ReadDelay(parameters.tracker.silenceClock);
  }

  /** Makes the attempt and returns its outcome. */
  async run(): Promise<attemptOutcome.AttemptOutcome> {
    const { tracker, runner } = this.parameters;
    const finishCall = tracker.startCall(runner.identifier);
    const stallCheck = setInterval(() => {
      if (this.hasStalled()) this.parameters.onStalled();
    }, STALL_CHECK_INTERVAL_MILLISECONDS);
    // Given back also if the attempt fails with an exception.
    let outcome = attemptOutcome.INTERRUPTED;
    try {
      outcome = await this.#callOrGiveUp();
    } finally {
      this.#timer?.end();
      clearInterval(stallCheck);
      finishCall(attemptOutcome.callOutcomeOf(outcome.kind));
    }
    return outcome;
  }

  /**
   * Calls the runner. A call that is cancelled and does not end is given up, so
   * that the caller gets its final answer in time whatever holds the call up.
   */
  #callOrGiveUp(): Promise<attemptOutcome.AttemptOutcome> {
    return new Promise((resolve, reject) => {
      let timer: NodeJS.Timeout | undefined;
      const giveUpSoon = () => {
        const giveUp = () => resolve(this.#givenUpOutcome());
        timer = setTimeout(giveUp, MAX_CANCELLING_MILLISECONDS);
      };
      this.#cancelled.addEventListener("abort", giveUpSoon, { once: true });
      const settled = () => {
        clearTimeout(timer);
        this.#cancelled.removeEventListener("abort", giveUpSoon);
      };
      this.#callRunner().finally(settled).then(resolve, reject);
    });
  }

  #givenUpOutcome(): attemptOutcome.AttemptOutcome {
    const cancelled = this.#cancelledOutcome() ?? attemptOutcome.INTERRUPTED;
    const reason = `${cancelled.reason}, and the call did not end`;
    return { ...cancelled, reason };
  }

  /**
   * Since when the runner has written the answer, if it went on for long enough
   * to show that it stands the request; `undefined` otherwise.
   */
  get writingSince(): number | undefined {
    const since = this.#writingSince;
    if (since === undefined) return undefined;
    return common.now() - since >= MIN_WRITING_MILLISECONDS ? since : undefined;
  }

  /** Whether the runner began an answer and has written nothing of it. */
  get isBegunWithoutContent(): boolean {
    return this.#begun && this.#writingSince === undefined;
  }

  /** How far the attempt has come. */
  get progress(): runnerCrash.RunProgress {
    if (this.writingSince !== undefined) return runnerCrash.RunProgress.Writing;
    return this.#begun
      ? runnerCrash.RunProgress.Begun
      : runnerCrash.RunProgress.Waiting;
  }

  /** Whether another attempt of the request got on instead. */
  get isSuperseded(): boolean {
    return this.#superseded.signal.aborted;
  }

  /** Cancels the attempt because another one of the request got on. */
  supersede(): void {
    this.#superseded.abort(
      this.hasStalled() ? attemptOutcome.STALLED : attemptOutcome.SUPERSEDED,
    );
  }

  /** Notes that content of the answer has arrived. */
  noteContent(): void {
    this.#writingSince ??= common.now();
    this.#noteProgress();
  }

  /** Notes that a part of the answer has arrived. */
  #noteProgress(): void {
    const { tracker, runner } = this.parameters;
    this.#noteTaken();
    this.#progressAt = tracker.silenceClock.now();
    tracker.noteProgress(runner.identifier);
  }

  /** Notes that the runner took the request, which shows that its rest is over. */
  #noteTaken(): void {
    const { tracker, runner, rests } = this.parameters;
    if (rests.noteTaken(runner)) tracker.availabilityChanged.announce();
  }

  /** Whether the runner has been silent for too long. */
  hasStalled(): boolean {
    const { route, tracker, runner } = this.parameters;
    if (this.#paused) return false;
    const waited = tracker.silenceClock.now() - this.#progressAt;
    switch (route.answerForm) {
      case traffic.AnswerForm.Whole:
        return waited > route.objectiveMilliseconds * MAX_WAIT_OBJECTIVES;
      case traffic.AnswerForm.Events:
        // A request that waits in the queue of a runner that makes progress has
        // not stalled.
        return tracker.isStalled(runner.identifier);
    }
  }

  /**
   * Why the request may not be sent after all. This is the only place from
   * which requests go to runners.
   */
  #obstacle(): string | undefined {
    const { permit, rests, runner, tracker } = this.parameters;
    if (permit.isExpired()) return "permit expired";
    if (!tracker.inUse(runner)) return "runner leaves";
    if (tracker.isEvacuated(runner.dataCentre)) return "data centre evacuated";
    return rests.waitOf(runner) > 0 ? "runner wants rest" : undefined;
  }

  async #callRunner(): Promise<attemptOutcome.AttemptOutcome> {
    const { request, runner, permit, rests } = this.parameters;
    const { route, account, urgency } = this.parameters;
    const { runnerClient, relay, clock, spentBefore } = this.parameters;
    const { tracker } = this.parameters;
    const obstacle = this.#obstacle();
    if (obstacle !== undefined) {
      const kind = attemptOutcome.AttemptOutcomeKind.NotRun;
      return { kind, reason: obstacle };
    }
    rests.noteSent(runner);
    this.#timer = tracker.timeAnswer(runner, route);
    this.#readDelay.startWait();
    const answer = await runnerClient.call({
      request,
      runner,
      permit,
      millisecondsLeft: clock.millisecondsLeft,
      account: account?.name ?? "",
      urgency: urgencyAtRunner.urgencyAtRunner({
        urgency,
        elapsedMilliseconds: spentBefore + clock.elapsed,
        objectiveMilliseconds: route.objectiveMilliseconds,
      }),
      resumeAfter: relay.resumeAfter,
      maxBodyBytes: answerLimits.maxBodyBytes(route.answerForm),
      signal: this.#cancelled,
    });
    this.#readDelay.endWait();
    if (answer.isErr()) return this.#outcomeOfFailure(answer.error);
    const { body: received, endsWithConnection } = answer.value;
    const body = endsWithConnection
      ? this.#readDelay.follow(received)
      : received;
    try {
      return await this.#handleAnswer({ ...answer.value, body });
    } finally {
      // A body that nobody reads to its end would keep the connection open.
      answer.value.close();
    }
  }

  async #handleAnswer(
    answer: runnerClientModule.RunnerAnswer,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const { tracker, runner, onAnswerStart } = this.parameters;
    const { verdict, head, signed, body } = answer;
    this.#noteRateLimit(answer);
    this.#noteLeaving(answer);
    const reason = `status ${head.status}`;
    const wantsRest = this.#asksForRest(answer);
    switch (verdict) {
      case runnerClientModule.Verdict.WrongRunner:
        tracker.removeReplaced(runner);
        return {
          kind: attemptOutcome.AttemptOutcomeKind.NotRun,
          reason: "another runner there",
        };
      case runnerClientModule.Verdict.Unsuitable:
        return { kind: attemptOutcome.AttemptOutcomeKind.NotRun, reason };
      case runnerClientModule.Verdict.NotRun:
        // A runner at its limit, or at rest, says itself when it takes requests.
        if (answer.rateLimit === undefined && !wantsRest)
          tracker.noteRefusal(runner.identifier);
        return { kind: attemptOutcome.AttemptOutcomeKind.NotRun, reason };
      case runnerClientModule.Verdict.Failed: {
        this.#noteTaken();
        const buffer = this.parameters.openBuffer();
        const unusable = await answerRelay.collect(body, buffer, () =>
          this.noteContent(),
        );
        if (unusable !== undefined) {
          buffer.release();
          return { kind: attemptOutcome.AttemptOutcomeKind.Unknown, reason };
        }
        const problem = await this.#confirmEnd(answer);
        if (problem !== undefined) {
          buffer.release();
          const kind = attemptOutcome.AttemptOutcomeKind.Unknown;
          return { kind, reason: problem };
        }
        const failure = { head, body: buffer };
        return {
          kind: attemptOutcome.AttemptOutcomeKind.Failed,
          reason,
          failure,
        };
      }
      case runnerClientModule.Verdict.Ran:
        if (!signed) {
          return {
            kind: attemptOutcome.AttemptOutcomeKind.Unknown,
            reason: "answer not signed",
          };
        }
        this.#begun = true;
        this.#noteProgress();
        onAnswerStart(runner);
        return this.#relayAnswer(answer);
    }
  }

  /** Tells why a body that came to its end may not be complete. */
  async #confirmEnd({
    endsWithConnection,
  }: runnerClientModule.RunnerAnswer): Promise<string | undefined> {
    if (!endsWithConnection) return undefined;
    return confirmEnd.confirmEnd({
      ...this.parameters,
      delay: this.#readDelay,
      signal: this.#cancelled,
    });
  }

  /**
   * Notes that an event arrived, and that the caller takes nothing until the
   * returned function is called.
   */
  #pause(): () => void {
    const { tracker, runner } = this.parameters;
    const resume = tracker.pauseCall(runner.identifier);
    this.#paused = true;
    this.#timer?.noteEvent();
    return () => {
      this.#paused = false;
      this.#timer?.noteRead();
      this.#progressAt = tracker.silenceClock.now();
      resume();
    };
  }

  /** Notes whether an answer of the runner says that it is leaving. */
  #noteLeaving(answer: runnerClientModule.RunnerAnswer): void {
    const { runner, request, tracker } = this.parameters;
    if (mayBeOfAnother(answer.verdict)) return;
    if (!answer.leaving || !tracker.noteLeaving(runner)) return;
    this.parameters.onLeaving(runner, request.identifier);
  }

  /** Whether an answer of the runner asks for rest, which is noted. */
  #asksForRest(answer: runnerClientModule.RunnerAnswer): boolean {
    const { runner, request, rests } = this.parameters;
    const { verdict, head, retryAfter } = answer;
    if (mayBeOfAnother(verdict)) return false;
    const { identifier } = request;
    const { status } = head;
    return rests.note({ runner, request: identifier, status, retryAfter });
  }

  /** Passes on what an answer of the runner says about its rate limit. */
  #noteRateLimit(answer: runnerClientModule.RunnerAnswer): void {
    const { runner, request, rateLimits } = this.parameters;
    const { verdict, signed, rateLimit } = answer;
    if (mayBeOfAnother(verdict)) return;
    const reading = rateLimitHeader.readRateLimit(rateLimit);
    rateLimits.note({
      runner,
      request: request.identifier,
      reading,
      signed,
      sentAt: this.#sentAt,
    });
  }

  async #relayAnswer(
    answer: runnerClientModule.RunnerAnswer,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const { relay, onGotOn } = this.parameters;
    const relayed = await relay.relay(answer, {
      superseded: this.#superseded.signal,
      cancelled: this.#cancelled,
      onGotOn,
      onPiece: () => this.noteContent(),
      pause: () => this.#pause(),
      confirmEnd: () => this.#confirmEnd(answer),
    });
    if (relayed.isOk()) {
      this.#timer?.noteWhole();
      return { kind: attemptOutcome.AttemptOutcomeKind.Answered, reason: "" };
    }
    const cancelled = this.#cancelledOutcome();
    if (cancelled) return cancelled;
    const kind = relay.begun
      ? attemptOutcome.AttemptOutcomeKind.Truncated
      : attemptOutcome.AttemptOutcomeKind.Unknown;
    return { kind, reason: relayed.error };
  }

  #outcomeOfFailure(
    failure: runnerClientModule.CallFailure,
  ): attemptOutcome.AttemptOutcome {
    const { tracker, runner } = this.parameters;
    const { reason } = failure;
    switch (failure.kind) {
      case runnerClientModule.CallFailureKind.Unwritable:
        return { kind: attemptOutcome.AttemptOutcomeKind.NotRun, reason };
      case runnerClientModule.CallFailureKind.NotSent:
        // A connection that this entry gave up says nothing about the runner.
        if (!this.#cancelledOutcome()) tracker.suspend(runner.identifier);
        return { kind: attemptOutcome.AttemptOutcomeKind.NotRun, reason };
      case runnerClientModule.CallFailureKind.Unknown: {
        const kind = attemptOutcome.AttemptOutcomeKind.Unknown;
        return this.#cancelledOutcome() ?? { kind, reason };
      }
    }
  }

  /** Outcome if this entry cancelled the attempt, else `undefined`. */
  #cancelledOutcome(): attemptOutcome.AttemptOutcome | undefined {
    const { sink, cancel } = this.parameters;
    const cancelled = attemptOutcome.cancelledOutcome(
      sink.disconnected,
      cancel,
    );
    if (cancelled || !this.isSuperseded) return cancelled;
    return this.#superseded.signal.reason as attemptOutcome.AttemptOutcome;
  }
}

/** Whether an answer may be one of another runner than the one that was meant. */
function mayBeOfAnother(verdict: runnerClientModule.Verdict): boolean {
  const { WrongRunner, Unsuitable } = runnerClientModule.Verdict;
  return verdict === WrongRunner || verdict === Unsuitable;
}
