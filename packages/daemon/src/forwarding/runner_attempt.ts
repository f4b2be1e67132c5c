import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as answerRelay from "./answer_relay.ts";
import * as attemptEnd from "./attempt_end.ts";
import type * as forwardRequest from "./forward_request.ts";
import type * as requestClock from "./request_clock.ts";
import type * as runnerBoard from "./runner_board.ts";
import * as runnerCaller from "./runner_caller.ts";
import * as urgencyAtRunner from "./urgency_at_runner.ts";

/** How often it is looked whether an attempt gets on, in milliseconds. */
const LOOK_MILLISECONDS = 150;
/**
 * How many times its objective an idempotent request waits for a whole answer
 * before another runner is tried: nine in ten answers come within a third of it.
 */
const PATIENCE_OBJECTIVES = 1.5;

/** One attempt at one runner. */
export interface RunnerAttemptParameters {
  runner: traffic.RunnerEntry;
  request: forwardRequest.ForwardRequest;
  sink: forwardRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  clock: requestClock.RequestClock;
  /** Milliseconds that the caller has spent on earlier tries of its own. */
  spentBefore: number;
  board: runnerBoard.RunnerBoard;
  caller: runnerCaller.RunnerCaller;
  relay: answerRelay.AnswerRelay;
  /** Aborts with the end that the request gives its attempt. */
  cut: AbortSignal;
  /** Whether another runner may be tried in place of waiting on. */
  mayGiveUp: () => boolean;
  /** Told of each answer that a runner begins. */
  onHeard: (runner: traffic.RunnerEntry) => void;
}

/** Calls one runner and passes its answer on. */
export class RunnerAttempt {
  readonly startedAt = common.now();
  readonly #stalled = new AbortController();
  /** When it last got on. */
  #progressAt = this.startedAt;

  constructor(readonly parameters: RunnerAttemptParameters) {}

  /** Runs to the end of the attempt. */
  async run(): Promise<attemptEnd.AttemptEnd> {
    const { board, runner } = this.parameters;
    const noteEnd = board.begin(runner.identifier);
    const watch = setInterval(() => {
      if (this.#isLate() && this.parameters.mayGiveUp()) this.#stalled.abort();
    }, LOOK_MILLISECONDS);
    const end = await this.#callRunner();
    clearInterval(watch);
    noteEnd(attemptEnd.soundnessOf(end.kind));
    return end;
  }

  /** Something of the answer has come. */
  noteProgress(): void {
    const { board, runner } = this.parameters;
    this.#progressAt = common.now();
    board.progress(runner.identifier);
  }

  #isLate(): boolean {
    const { route, board, runner } = this.parameters;
    const silence = common.now() - this.#progressAt;
    switch (route.answerForm) {
      case traffic.AnswerForm.Whole:
        return silence > route.objectiveMilliseconds * PATIENCE_OBJECTIVES;
      case traffic.AnswerForm.Events:
        // Waiting its turn at a runner that gets on is no stall.
        return board.stalled(runner.identifier);
    }
  }

  async #callRunner(): Promise<attemptEnd.AttemptEnd> {
    const { request, runner, sink, route, account } = this.parameters;
    const { caller, relay, clock, cut, spentBefore } = this.parameters;
    const answer = await caller.call({
      request,
      runner,
      patienceMilliseconds: clock.millisecondsLeft,
      account: account?.name ?? "",
      urgency: urgencyAtRunner.urgencyAtRunner({
        urgency: account?.urgency ?? route.urgency,
        elapsedMilliseconds: spentBefore + clock.elapsed,
        objectiveMilliseconds: route.objectiveMilliseconds,
      }),
      resumeAfter: relay.resumeAfter,
      signal: AbortSignal.any([sink.left, cut, this.#stalled.signal]),
    });
    return answer.isErr()
      ? this.#endOfFailure(answer.error)
      : this.#takeAnswer(answer.value);
  }

  async #takeAnswer(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<attemptEnd.AttemptEnd> {
    const { board, runner, onHeard } = this.parameters;
    const { verdict, head, signed, body } = answer;
    const reason = `status ${head.status}`;
    switch (verdict) {
      case runnerCaller.Verdict.WrongRunner:
        board.drop(runner);
        return {
          kind: attemptEnd.AttemptKind.NotRun,
          reason: "another runner there",
        };
      case runnerCaller.Verdict.NotRun:
        board.turnedAway(runner.identifier);
        return { kind: attemptEnd.AttemptKind.NotRun, reason };
      case runnerCaller.Verdict.Failed: {
        const whole = await answerRelay.readWhole(body);
        if (whole.isErr())
          return { kind: attemptEnd.AttemptKind.Unknown, reason };
        const failure = { head, body: whole.value };
        return { kind: attemptEnd.AttemptKind.Failed, reason, failure };
      }
      case runnerCaller.Verdict.Ran:
        if (!signed) {
          return {
            kind: attemptEnd.AttemptKind.Unknown,
            reason: "answer not signed",
          };
        }
        this.noteProgress();
        onHeard(runner);
        return this.#relayAnswer(answer);
    }
  }

  async #relayAnswer(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<attemptEnd.AttemptEnd> {
    const { relay } = this.parameters;
    const relayed = await relay.relay(answer);
    if (relayed.isOk()) {
      return { kind: attemptEnd.AttemptKind.Answered, reason: "" };
    }
    const cut = this.#endOfCut();
    if (cut) return cut;
    const kind = relay.begun
      ? attemptEnd.AttemptKind.Broken
      : attemptEnd.AttemptKind.Unknown;
    return { kind, reason: relayed.error };
  }

  #endOfFailure(failure: runnerCaller.CallFailure): attemptEnd.AttemptEnd {
    const { board, runner } = this.parameters;
    const { reason } = failure;
    switch (failure.kind) {
      case runnerCaller.CallFailureKind.NotSent:
        board.spare(runner.identifier);
        return { kind: attemptEnd.AttemptKind.NotRun, reason };
      case runnerCaller.CallFailureKind.Unknown: {
        const kind = attemptEnd.AttemptKind.Unknown;
        return this.#endOfCut() ?? { kind, reason };
      }
    }
  }

  /** Why this side ended the call, if it did. */
  #endOfCut(): attemptEnd.AttemptEnd | undefined {
    const { sink, cut } = this.parameters;
    const ended = attemptEnd.endOfCut(sink.left, cut);
    if (ended || !this.#stalled.signal.aborted) return ended;
    return { kind: attemptEnd.AttemptKind.Stalled, reason: "did not get on" };
  }
}
