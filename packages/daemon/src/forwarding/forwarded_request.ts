import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import type * as retryBudget from "../dispatch/retry_budget.ts";
import type * as crashDetector from "../quarantine/crash_detector.ts";
import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as quarantine from "../quarantine/quarantine.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";
import * as answerRelay from "./answer_relay.ts";
import * as attemptEnd from "./attempt_end.ts";
import * as forwardRequest from "./forward_request.ts";
import * as returnTime from "./return_time.ts";
import type * as runnerBoard from "./runner_board.ts";
import * as requestClock from "./request_clock.ts";
import * as runnerAttempt from "./runner_attempt.ts";
import type * as runnerCaller from "./runner_caller.ts";

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
  endWatch: crashDetector.CrashDetector;
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
  readonly #clock: requestClock.RequestClock;
  #attempt: runnerAttempt.RunnerAttempt | undefined;
  /** Milliseconds from arrival to the first of an answer; -1 before it. */
  #firstAfter = -1;

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
    if (this.#firstAfter < 0) this.#cut.abort(attemptEnd.QUARANTINED);
  }

  /** Runs the request to its answer. */
  async run(): Promise<ForwardOutcome> {
    const { route, account, service, quarantine } = this.parameters;
    const timer = setTimeout(
      () => this.#cut.abort(attemptEnd.TIMED_OUT),
      Math.max(0, this.#clock.millisecondsLeft),
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
      milliseconds: Math.round(this.#clock.elapsed),
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
      if (quarantine.admit(this) > 0) return attemptEnd.QUARANTINED;
      const runner = board.choose(service, this.#tried);
      if (!runner) {
        if (await this.#waitForRunner()) continue;
        return (
          last ?? { kind: attemptEnd.AttemptKind.NotRun, reason: "no runner" }
        );
      }
      if (last && !budget.spend()) return last;
      this.#tried.add(runner.identifier);
      last = await this.#attemptAt(runner);
      const explained = this.#explainBreak(last, runner);
      if (!attemptEnd.mayRepeat(last, route, this.#runs)) return last;
      await explained;
    }
  }

  /** Finds out whether an attempt broke off as its runner ended. */
  async #explainBreak(
    end: attemptEnd.AttemptEnd,
    runner: traffic.RunnerEntry,
  ): Promise<void> {
    const { request, endWatch, board } = this.parameters;
    const silent = board.isSilent(runner.identifier);
    if (!attemptEnd.brokeOff(end.kind, silent)) return;
    await endWatch.investigate(runner, {
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
    const { board, service, sink, request } = this.parameters;
    if (!board.hasClosed(service) || this.#endOfCut()) return false;
    const patience = request.patienceMilliseconds * LONGEST_WAIT_PART;
    const longest = Math.min(LONGEST_WAIT_MILLISECONDS, patience);
    if (this.#clock.elapsed > longest) return false;
    this.#tried.clear();
    await board.opened.next(WAIT_LOOK_MILLISECONDS, sink.left);
    return true;
  }

  async #attemptAt(
    runner: traffic.RunnerEntry,
  ): Promise<attemptEnd.AttemptEnd> {
    const attempt = new runnerAttempt.RunnerAttempt({
      ...this.parameters,
      runner,
      clock: this.#clock,
      relay: this.#relay,
      cut: this.#cut.signal,
      mayGiveUp: () => this.#mayGiveUp(),
      onHeard: () => {
        this.#noteAnswer();
        this.parameters.onHeard(runner);
      },
    });
    this.#attempt = attempt;
    const end = await attempt.run();
    const { quarantine } = this.parameters;
    if (end.kind === attemptEnd.AttemptKind.Answered) {
      quarantine.answered(this, runner.version);
    }
    if (end.kind !== attemptEnd.AttemptKind.NotRun) this.#runs++;
    this.#attempts.push({
      runner: runner.identifier,
      end: end.kind,
      reason: end.reason,
      milliseconds: Math.round(common.now() - attempt.startedAt),
    });
    return end;
  }

  /**
   * Whether another runner may be tried in place of waiting on. Only where there is
   * another, the request may be repeated, and the budget of repeats is not spent:
   * a wait that may still end well is better than a refusal.
   */
  #mayGiveUp(): boolean {
    const { route, board, service, budgetOf } = this.parameters;
    if (route.repeatability !== traffic.Repeatability.Idempotent) return false;
    if (this.#runs + 1 >= route.mostAttempts) return false;
    if (budgetOf(service).balance < 1) return false;
    const others = board.candidates(service, this.#tried);
    return others.some(({ spared }) => !spared);
  }

  #endOfCut(): attemptEnd.AttemptEnd | undefined {
    return attemptEnd.endOfCut(this.parameters.sink.left, this.#cut.signal);
  }

  #noteEvent(): void {
    this.#noteAnswer();
    this.#attempt?.noteProgress();
  }

  #noteAnswer(): void {
    if (this.#firstAfter < 0) this.#firstAfter = this.#clock.elapsed;
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
      quarantine.remainingMilliseconds(this) ||
      returnTime.returnTime(this.#clock.millisecondsLeft, random);
    sink.refuse({ kind, reason: end.reason, retryAfterMilliseconds });
  }
}
