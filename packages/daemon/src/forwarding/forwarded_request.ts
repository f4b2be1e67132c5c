import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as retryBudget from "../dispatch/retry_budget.ts";
import type * as endWatch from "../quarantine/end_watch.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";
import * as answerRelay from "./answer_relay.ts";
import * as attemptEnd from "./attempt_end.ts";
import * as forwardRequest from "./forward_request.ts";
import * as returnTime from "./return_time.ts";
import * as runnerBoard from "./runner_board.ts";
import * as runnerCaller from "./runner_caller.ts";
import * as urgencyAtRunner from "./urgency_at_runner.ts";

/** How often it is looked whether an attempt gets on, in milliseconds. */
const LOOK_MILLISECONDS = 150;
/**
 * How many times its objective an idempotent request waits for a whole answer
 * before another runner is tried: nine in ten answers come within a third of it.
 */
const PATIENCE_OBJECTIVES = 1.5;

/**
 * Longest wait for a service all of whose runners turn requests away with room to
 * spare, in milliseconds: a lost group is formed anew within it. A caller that is
 * refused then has mostly used up its one retry when it is back.
 */
const LONGEST_WAIT_MILLISECONDS = 1_500;
/** Part of the caller's patience that such a wait takes at most. */
const LONGEST_WAIT_PART = 0.25;
/** How often a waiting request looks for a runner, in milliseconds. */
const WAIT_LOOK_MILLISECONDS = 50;

const TIMED_OUT: attemptEnd.AttemptEnd = {
  kind: attemptEnd.AttemptKind.TimedOut,
  reason: "time ran out",
};
const QUARANTINED: attemptEnd.AttemptEnd = {
  kind: attemptEnd.AttemptKind.Quarantined,
  reason: "in quarantine: runners ended while they ran this request",
};

/** One request on its way. */
export interface ForwardedRequestParameters {
  request: forwardRequest.ForwardRequest;
  sink: forwardRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  /** Milliseconds that the caller has spent on earlier tries of its own. */
  spentBefore: number;
  service: string;
  board: runnerBoard.RunnerBoard;
  caller: runnerCaller.RunnerCaller;
  budgetOf: (service: string) => retryBudget.RetryBudget;
  quarantine: quarantine.Quarantine;
  endWatch: endWatch.EndWatch;
  onHeard: (runner: traffic.RunnerEntry) => void;
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
  attempts: attemptEnd.AttemptNote[];
  /** Name of the request by what it asks for, if it is in quarantine. */
  fingerprint: string | undefined;
}

/** Conducts one admitted request: chooses runners, repeats what may be repeated. */
export class ForwardedRequest implements watchedRequests.WatchedRequest {
  readonly #attempts: attemptEnd.AttemptNote[] = [];
  readonly #tried = new Set<string>();
  /** Aborts with the end that this side gives an attempt under way. */
  readonly #cut = new AbortController();
  readonly #relay: answerRelay.AnswerRelay;
  readonly #fingerprint: fingerprint.LazyFingerprint;
  /** Attempts that ran or may have. */
  #runs = 0;
  /** Runner of the attempt under way. */
  #runner = "";
  /** When the attempt under way last got on. */
  #progressAt = 0;
  /** Milliseconds from arrival to the first of an answer; -1 before it. */
  #firstAfter = -1;

  constructor(readonly parameters: ForwardedRequestParameters) {
    const { route, request, account, sink } = parameters;
    this.#fingerprint = new fingerprint.LazyFingerprint({
      ...request,
      account: account?.name ?? "",
    });
    this.#relay = new answerRelay.AnswerRelay({
      sink,
      answerForm: route.answerForm,
      resumeAfter: request.resumeAfter,
      onEvent: () => this.#noteProgress(),
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
    if (this.#firstAfter < 0) this.#cut.abort(QUARANTINED);
  }

  /** Runs the request to its answer. */
  async run(): Promise<ForwardOutcome> {
    const { route, account, service, quarantine } = this.parameters;
    const timer = setTimeout(
      () => this.#cut.abort(TIMED_OUT),
      Math.max(0, this.#millisecondsLeft()),
    );
    const unwatch = quarantine.watch(this);
    let end: attemptEnd.AttemptEnd;
    try {
      end = await this.#attemptUntilEnd();
    } finally {
      clearTimeout(timer);
      unwatch();
    }
    this.#finish(end);
    this.#measure(end);
    const isHeld = end.kind === attemptEnd.AttemptKind.Quarantined;
    return {
      route: route.name,
      account: account?.name ?? "",
      service,
      end: end.kind,
      milliseconds: Math.round(this.#elapsed()),
      attempts: this.#attempts,
      fingerprint: isHeld ? this.fingerprint : undefined,
    };
  }

  #measure(end: attemptEnd.AttemptEnd): void {
    const { metrics, service } = this.parameters;
    const outcome = end.kind;
    metrics.count(common.Metric.Requests, { service, outcome });
    const repeats = this.#attempts.length - 1;
    if (repeats > 0) metrics.count(common.Metric.Retries, { service }, repeats);
    if (this.#firstAfter >= 0) {
      metrics.time(common.Metric.FirstToken, this.#firstAfter, { service });
    }
  }

  async #attemptUntilEnd(): Promise<attemptEnd.AttemptEnd> {
    const { board, route, service, budgetOf, quarantine } = this.parameters;
    const budget = budgetOf(service);
    budget.earn();
    let last: attemptEnd.AttemptEnd | undefined;
    for (;;) {
      const cut = this.#endOfCut();
      if (cut) return cut;
      if (quarantine.admit(this) > 0) return QUARANTINED;
      const runner = board.choose(service, this.#tried);
      if (!runner) {
        if (await this.#waitForRunner()) continue;
        return (
          last ?? { kind: attemptEnd.AttemptKind.NotRun, reason: "no runner" }
        );
      }
      if (last && !budget.spend()) return last;
      this.#tried.add(runner.identifier);
      const startedAt = common.now();
      last = await this.#attempt(runner);
      const explained = this.#explainBreak(last, runner, startedAt);
      if (!attemptEnd.mayRepeat(last, route, this.#runs)) return last;
      await explained;
    }
  }

  /** Finds out whether an attempt broke off as its runner ended. */
  async #explainBreak(
    end: attemptEnd.AttemptEnd,
    runner: traffic.RunnerEntry,
    startedAt: number,
  ): Promise<void> {
    const { request, endWatch, board } = this.parameters;
    const silent = board.isSilent(runner.identifier);
    if (!attemptEnd.brokeOff(end.kind, silent)) return;
    await endWatch.brokenOff(runner, {
      request: request.identifier,
      fingerprint: this.fingerprint,
      startedAt,
    });
  }

  /**
   * Waits a moment for a service that is being formed anew; false if there is
   * nothing to wait for, or not for so long.
   */
  async #waitForRunner(): Promise<boolean> {
    const { board, service, sink, request } = this.parameters;
    if (!board.hasClosed(service) || this.#endOfCut()) return false;
    const patience = request.patienceMilliseconds * LONGEST_WAIT_PART;
    const longest = Math.min(LONGEST_WAIT_MILLISECONDS, patience);
    if (this.#elapsed() > longest) return false;
    this.#tried.clear();
    await board.opened.next(WAIT_LOOK_MILLISECONDS, sink.left);
    return true;
  }

  async #attempt(runner: traffic.RunnerEntry): Promise<attemptEnd.AttemptEnd> {
    const { board } = this.parameters;
    const startedAt = common.now();
    const noteEnd = board.begin(runner.identifier);
    this.#runner = runner.identifier;
    this.#progressAt = startedAt;
    const stalled = new AbortController();
    const watch = setInterval(() => {
      if (this.#givesUp()) stalled.abort();
    }, LOOK_MILLISECONDS);
    const end = await this.#callRunner(runner, stalled.signal);
    clearInterval(watch);
    noteEnd(attemptEnd.soundnessOf(end.kind));
    if (end.kind !== attemptEnd.AttemptKind.NotRun) this.#runs++;
    this.#attempts.push({
      runner: runner.identifier,
      end: end.kind,
      reason: end.reason,
      milliseconds: Math.round(common.now() - startedAt),
    });
    return end;
  }

  /**
   * Whether to try another runner in place of waiting on. Only where there is
   * another, the request may be repeated, and the budget of repeats is not spent:
   * a wait that may still end well is better than a refusal.
   */
  #givesUp(): boolean {
    const { route, board, service, budgetOf } = this.parameters;
    if (route.repeatability !== traffic.Repeatability.Idempotent) return false;
    if (this.#runs + 1 >= route.mostAttempts) return false;
    if (budgetOf(service).balance < 1) return false;
    if (!this.#isLate(route)) return false;
    const others = board.candidates(service, this.#tried);
    return others.some(({ spared }) => !spared);
  }

  #isLate(route: traffic.Route): boolean {
    const silence = common.now() - this.#progressAt;
    switch (route.answerForm) {
      case traffic.AnswerForm.Whole:
        return silence > route.objectiveMilliseconds * PATIENCE_OBJECTIVES;
      case traffic.AnswerForm.Events:
        // Waiting its turn at a runner that gets on is no stall.
        return this.parameters.board.stalled(this.#runner);
    }
  }

  #noteProgress(): void {
    if (this.#firstAfter < 0) this.#firstAfter = this.#elapsed();
    this.#progressAt = common.now();
    this.parameters.board.progress(this.#runner);
  }

  async #callRunner(
    runner: traffic.RunnerEntry,
    stalled: AbortSignal,
  ): Promise<attemptEnd.AttemptEnd> {
    const { request, sink, route, account, caller, board } = this.parameters;
    const answer = await caller.call({
      request,
      runner,
      patienceMilliseconds: this.#millisecondsLeft(),
      account: account?.name ?? "",
      urgency: urgencyAtRunner.urgencyAtRunner({
        urgency: account?.urgency ?? route.urgency,
        elapsedMilliseconds: this.parameters.spentBefore + this.#elapsed(),
        objectiveMilliseconds: route.objectiveMilliseconds,
      }),
      resumeAfter: this.#relay.resumeAfter,
      signal: AbortSignal.any([sink.left, this.#cut.signal, stalled]),
    });
    if (answer.isErr()) {
      return this.#endOfFailure(runner, answer.error, stalled);
    }
    const { verdict, head, signed, body } = answer.value;
    switch (verdict) {
      case runnerCaller.Verdict.WrongRunner:
        board.drop(runner);
        return {
          kind: attemptEnd.AttemptKind.NotRun,
          reason: "another runner there",
        };
      case runnerCaller.Verdict.NotRun:
        board.turnedAway(runner.identifier);
        return {
          kind: attemptEnd.AttemptKind.NotRun,
          reason: `status ${head.status}`,
        };
      case runnerCaller.Verdict.Failed: {
        const whole = await answerRelay.readWhole(body);
        const reason = `status ${head.status}`;
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
        this.#noteProgress();
        this.parameters.onHeard(runner);
        return this.#relayAnswer(runner, answer.value, stalled);
    }
  }

  async #relayAnswer(
    runner: traffic.RunnerEntry,
    answer: runnerCaller.RunnerAnswer,
    stalled: AbortSignal,
  ): Promise<attemptEnd.AttemptEnd> {
    const relayed = await this.#relay.relay(answer);
    if (relayed.isOk()) {
      this.parameters.quarantine.answered(this, runner.version);
      return { kind: attemptEnd.AttemptKind.Answered, reason: "" };
    }
    const cut = this.#endOfCut(stalled);
    if (cut) return cut;
    const kind = this.#relay.begun
      ? attemptEnd.AttemptKind.Broken
      : attemptEnd.AttemptKind.Unknown;
    return { kind, reason: relayed.error };
  }

  #endOfFailure(
    runner: traffic.RunnerEntry,
    failure: runnerCaller.CallFailure,
    stalled: AbortSignal,
  ): attemptEnd.AttemptEnd {
    const { reason } = failure;
    switch (failure.kind) {
      case runnerCaller.CallFailureKind.NotSent:
        this.parameters.board.spare(runner.identifier);
        return { kind: attemptEnd.AttemptKind.NotRun, reason };
      case runnerCaller.CallFailureKind.Unknown:
        return (
          this.#endOfCut(stalled) ?? {
            kind: attemptEnd.AttemptKind.Unknown,
            reason,
          }
        );
    }
  }

  /** Why this side ended a call, if it did. */
  #endOfCut(stalled?: AbortSignal): attemptEnd.AttemptEnd | undefined {
    if (this.parameters.sink.left.aborted) {
      return { kind: attemptEnd.AttemptKind.Left, reason: "caller left" };
    }
    if (this.#cut.signal.aborted) {
      return this.#cut.signal.reason as attemptEnd.AttemptEnd;
    }
    if (stalled?.aborted) {
      return { kind: attemptEnd.AttemptKind.Stalled, reason: "did not get on" };
    }
    return undefined;
  }

  /** Gives the caller the final answer. */
  #finish(end: attemptEnd.AttemptEnd): void {
    const { sink, random, quarantine } = this.parameters;
    switch (end.kind) {
      case attemptEnd.AttemptKind.Answered:
      case attemptEnd.AttemptKind.Left:
        return;
      default:
        break;
    }
    if (this.#relay.begun) return sink.breakOff();
    if (end.failure) return sink.answer(end.failure.head, end.failure.body);
    const kind = attemptEnd.refusalKind(end, this.#runs);
    const retryAfterMilliseconds =
      quarantine.heldMilliseconds(this) ||
      returnTime.returnTime(this.#millisecondsLeft(), random);
    sink.refuse({ kind, reason: end.reason, retryAfterMilliseconds });
  }

  #elapsed(): number {
    return common.ageOf(this.parameters.request.arrivedAt);
  }

  /** Time until the caller gives up or the route's time-out, whichever is first. */
  #millisecondsLeft(): number {
    const { request, route } = this.parameters;
    const patience = request.patienceMilliseconds || Infinity;
    return Math.min(patience, route.timeoutMilliseconds) - this.#elapsed();
  }
}
