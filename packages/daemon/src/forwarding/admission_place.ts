import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as urgencyAdmission from "../admission/urgency_admission.ts";
import type * as urgencyQueue from "../admission/urgency_queue.ts";
import type * as plannedStop from "../shutdown/planned_stop.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import type * as callerRequest from "./caller_request.ts";
import type * as requestClock from "./request_clock.ts";
import type * as runnerTracker from "./runner_tracker.ts";

/** What asking for a place needs. */
export interface AdmissionPlaceParameters {
  admission: urgencyAdmission.UrgencyAdmission;
  service: string;
  request: callerRequest.CallerRequest;
  sink: callerRequest.AnswerSink;
  route: traffic.Route;
  account: traffic.Account | undefined;
  /** 0 is most urgent. */
  urgency: number;
  spentBefore: number;
  clock: requestClock.RequestClock;
  tracker: runnerTracker.RunnerTracker;
  stop: plannedStop.PlannedStop;
  /** Cancels the request. */
  cancel: AbortSignal;
  /** Longest time from its arrival for which the request waits for a runner. */
  maxWaitMilliseconds: number;
}

/** What the log says about a request that admission refused or delayed. */
export type AdmissionTrace =
  | { waited: number }
  | Omit<urgencyQueue.AdmissionRefusal, "retryAfterMilliseconds">;

/**
 * The place of one request among those in progress for its service. It is asked
 * for once, before the first attempt, and kept for all attempts of the request:
 * hedged attempts, retries and resumed streams take no further place.
 */
export class AdmissionPlace {
  readonly #queue: urgencyQueue.UrgencyQueue | undefined;
  #place: urgencyQueue.Place | undefined;
  #refusal: urgencyQueue.AdmissionRefusal | undefined;
  #waitedMilliseconds = 0;
  /** When the first attempt was made, if its runner had a free slot. */
  #startedAt: number | undefined;
  #firstEventAt: number | undefined;
  #lastEventAt: number | undefined;

  constructor(readonly parameters: AdmissionPlaceParameters) {
    const { admission, service } = parameters;
    this.#queue = admission.queueOf(service);
  }

  /** Retry delay if the request was refused here; 0 otherwise. */
  get retryAfterMilliseconds(): number {
    return this.#refusal?.retryAfterMilliseconds ?? 0;
  }

  /** What decided; `undefined` if the request started at once. */
  get trace(): AdmissionTrace | undefined {
    if (this.#refusal) {
      const { reason, inputs, reportAge } = this.#refusal;
      return { reason, inputs, reportAge };
    }
    const waited = Math.round(this.#waitedMilliseconds);
    return waited > 0 ? { waited } : undefined;
  }

  /**
   * Asks for the place. Returns `undefined` if the request may start, its
   * outcome if it is refused, and a promise if it waits; after that, the request
   * is to be checked for a cancellation and this method called again.
   */
  enter(): attemptOutcome.AttemptOutcome | Promise<void> | undefined {
    if (!this.#queue || this.#place) return undefined;
    if (this.#refusal) return refusedOutcome(this.#refusal);
    const { admission } = this.parameters;
    const entered = admission.enter(this.#queue, this.#enteringRequest());
    if (!(entered instanceof Promise)) return this.#apply(entered);
    const since = common.now();
    return entered.then((outcome) => {
      this.#waitedMilliseconds += common.now() - since;
      this.#apply(outcome);
    });
  }

  /** Runners that the next attempt does not go to. */
  excluding(tried: ReadonlySet<string>): ReadonlySet<string> {
    if (!this.#place || this.#place.isAtRunner) return tried;
    return new Set([...tried, ...this.#place.full]);
  }

  /** Notes that an attempt is about to be sent to a runner. */
  noteAttempt(runner: traffic.RunnerEntry): void {
    if (!this.#queue || !this.#place || this.#place.isAtRunner) return;
    this.#queue.noteAtRunner(this.#place);
    const { tracker } = this.parameters;
    if (tracker.outstandingAt(runner.identifier) < runner.slots)
      this.#startedAt = common.now();
  }

  /** Notes that the first part of an answer has arrived. */
  noteFirstEvent(): void {
    if (!this.#place || this.#firstEventAt !== undefined) return;
    this.#firstEventAt = common.now();
    if (this.#startedAt !== undefined)
      this.#queue?.noteFirstEvent(this.#firstEventAt - this.#startedAt);
  }

  /** Notes that a part of the answer goes to the caller. */
  noteEvent(): void {
    const now = common.now();
    const { gapMilliseconds } = this.parameters.route;
    if (this.#place && this.#lastEventAt !== undefined)
      this.#queue?.notePause(now - this.#lastEventAt, gapMilliseconds);
    this.#lastEventAt = now;
  }

  /** Frees the place because all attempts have ended; does nothing if none. */
  release(outcome: attemptOutcome.AttemptOutcome | undefined): void {
    if (!this.#queue || !this.#place) return;
    const wasAnswered =
      outcome?.kind === attemptOutcome.AttemptOutcomeKind.Answered;
    if (wasAnswered && this.#firstEventAt !== undefined)
      this.#queue.noteStream(common.now() - this.#firstEventAt);
    this.#queue.release(this.#place);
  }

  #apply(
    outcome: urgencyQueue.AdmissionOutcome,
  ): attemptOutcome.AttemptOutcome | undefined {
    const { admission, service } = this.parameters;
    admission.countOutcome(service, this.parameters.urgency, outcome.kind);
    switch (outcome.kind) {
      case "start":
        this.#place = outcome.place;
        return undefined;
      case "refuse":
        this.#refusal = outcome.refusal;
        return refusedOutcome(outcome.refusal);
      case "left":
        return undefined;
    }
  }

  #enteringRequest(): urgencyQueue.EnteringRequest {
    const { request, route, account, spentBefore, clock } = this.parameters;
    const { sink, cancel, stop } = this.parameters;
    const signals = [sink.disconnected, cancel];
    // A request that waits when this entry begins to stop leaves the queue, and
    // asks again if it can still be finished.
    if (!stop.started.aborted) signals.push(stop.started);
    return {
      urgency: this.parameters.urgency,
      account: account?.name ?? "",
      objectiveMilliseconds: route.objectiveMilliseconds,
      arrivedAt: request.arrivedAt.monotonic,
      spentBefore,
      isReturning: spentBefore > 0 || request.resumeAfter !== "",
      maxStandstillMilliseconds: this.parameters.maxWaitMilliseconds,
      millisecondsLeft: () => clock.millisecondsLeft,
      signals,
    };
  }
}

function refusedOutcome({
  reason,
}: urgencyQueue.AdmissionRefusal): attemptOutcome.AttemptOutcome {
  const kind = attemptOutcome.AttemptOutcomeKind.NotRun;
  return { kind, reason: `overloaded: ${reason}` };
}
