import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as answerRelay from "./answer_relay.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import type * as callerRequest from "./caller_request.ts";
import type * as requestClock from "./request_clock.ts";
import type * as runnerTracker from "./runner_tracker.ts";
import * as runnerCaller from "./runner_caller.ts";
import * as urgencyAtRunner from "./urgency_at_runner.ts";

/** How often it is looked whether an attempt gets on, in milliseconds. */
const STALL_CHECK_INTERVAL_MILLISECONDS = 150;
/**
 * How many times its objective an idempotent request waits for a whole answer
 * before another runner is tried: nine in ten answers come within a third of it.
 */
const MAX_WAIT_OBJECTIVES = 1.5;

/** One attempt at one runner. */
export interface RunnerAttemptParameters {
  runner: traffic.RunnerEntry;
  request: callerRequest.CallerRequest;
  sink: callerRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  clock: requestClock.RequestClock;
  /** Milliseconds that the caller has spent on earlier tries of its own. */
  spentBefore: number;
  tracker: runnerTracker.RunnerTracker;
  caller: runnerCaller.RunnerCaller;
  relay: answerRelay.AnswerRelay;
  /** Aborts with the end that the request gives its attempt. */
  cancel: AbortSignal;
  /** Whether another runner may be tried in place of waiting on. */
  mayTryAnother: () => boolean;
  /** Told of each answer that a runner begins. */
  onAnswerStart: (runner: traffic.RunnerEntry) => void;
}

/** Calls one runner and passes its answer on. */
export class RunnerAttempt {
  readonly startedAt = common.now();
  readonly #stallCancel = new AbortController();
  /** When it last got on. */
  #progressAt = this.startedAt;

  constructor(readonly parameters: RunnerAttemptParameters) {}

  /** Runs to the end of the attempt. */
  async run(): Promise<attemptOutcome.AttemptOutcome> {
    const { tracker, runner } = this.parameters;
    const finishCall = tracker.startCall(runner.identifier);
    const stallCheck = setInterval(() => {
      if (this.#hasStalled() && this.parameters.mayTryAnother())
        this.#stallCancel.abort();
    }, STALL_CHECK_INTERVAL_MILLISECONDS);
    const outcome = await this.#callRunner();
    clearInterval(stallCheck);
    finishCall(attemptOutcome.callOutcomeOf(outcome.kind));
    return outcome;
  }

  /** Something of the answer has come. */
  noteProgress(): void {
    const { tracker, runner } = this.parameters;
    this.#progressAt = common.now();
    tracker.noteProgress(runner.identifier);
  }

  #hasStalled(): boolean {
    const { route, tracker, runner } = this.parameters;
    const waited = common.now() - this.#progressAt;
    switch (route.answerForm) {
      case traffic.AnswerForm.Whole:
        return waited > route.objectiveMilliseconds * MAX_WAIT_OBJECTIVES;
      case traffic.AnswerForm.Events:
        // Waiting its turn at a runner that gets on is no stall.
        return tracker.isStalled(runner.identifier);
    }
  }

  async #callRunner(): Promise<attemptOutcome.AttemptOutcome> {
    const { request, runner, sink, route, account } = this.parameters;
    const { caller, relay, clock, cancel, spentBefore } = this.parameters;
    const answer = await caller.call({
      request,
      runner,
      millisecondsLeft: clock.millisecondsLeft,
      account: account?.name ?? "",
      urgency: urgencyAtRunner.urgencyAtRunner({
        urgency: account?.urgency ?? route.urgency,
        elapsedMilliseconds: spentBefore + clock.elapsed,
        objectiveMilliseconds: route.objectiveMilliseconds,
      }),
      resumeAfter: relay.resumeAfter,
      signal: AbortSignal.any([
        sink.disconnected,
        cancel,
        this.#stallCancel.signal,
      ]),
    });
    return answer.isErr()
      ? this.#outcomeOfFailure(answer.error)
      : this.#handleAnswer(answer.value);
  }

  async #handleAnswer(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const { tracker, runner, onAnswerStart } = this.parameters;
    const { verdict, head, signed, body } = answer;
    const reason = `status ${head.status}`;
    switch (verdict) {
      case runnerCaller.Verdict.WrongRunner:
        tracker.removeReplaced(runner);
        return {
          kind: attemptOutcome.AttemptOutcomeKind.NotRun,
          reason: "another runner there",
        };
      case runnerCaller.Verdict.NotRun:
        tracker.noteRefusal(runner.identifier);
        return { kind: attemptOutcome.AttemptOutcomeKind.NotRun, reason };
      case runnerCaller.Verdict.Failed: {
        const completeBody = await answerRelay.readCompleteBody(body);
        if (completeBody.isErr())
          return { kind: attemptOutcome.AttemptOutcomeKind.Unknown, reason };
        const failure = { head, body: completeBody.value };
        return {
          kind: attemptOutcome.AttemptOutcomeKind.Failed,
          reason,
          failure,
        };
      }
      case runnerCaller.Verdict.Ran:
        if (!signed) {
          return {
            kind: attemptOutcome.AttemptOutcomeKind.Unknown,
            reason: "answer not signed",
          };
        }
        this.noteProgress();
        onAnswerStart(runner);
        return this.#relayAnswer(answer);
    }
  }

  async #relayAnswer(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const { relay } = this.parameters;
    const relayed = await relay.relay(answer);
    if (relayed.isOk()) {
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
    failure: runnerCaller.CallFailure,
  ): attemptOutcome.AttemptOutcome {
    const { tracker, runner } = this.parameters;
    const { reason } = failure;
    switch (failure.kind) {
      case runnerCaller.CallFailureKind.NotSent:
        tracker.suspend(runner.identifier);
        return { kind: attemptOutcome.AttemptOutcomeKind.NotRun, reason };
      case runnerCaller.CallFailureKind.Unknown: {
        const kind = attemptOutcome.AttemptOutcomeKind.Unknown;
        return this.#cancelledOutcome() ?? { kind, reason };
      }
    }
  }

  /** Why this side ended the call, if it did. */
  #cancelledOutcome(): attemptOutcome.AttemptOutcome | undefined {
    const { sink, cancel } = this.parameters;
    const cancelled = attemptOutcome.cancelledOutcome(
      sink.disconnected,
      cancel,
    );
    if (cancelled || !this.#stallCancel.signal.aborted) return cancelled;
    return {
      kind: attemptOutcome.AttemptOutcomeKind.Stalled,
      reason: "did not get on",
    };
  }
}
