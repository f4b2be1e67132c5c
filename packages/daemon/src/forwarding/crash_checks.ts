import * as attemptOutcome from "./attempt_outcome.ts";
import type * as callerRequest from "./caller_request.ts";
import type * as crashDetector from "../quarantine/crash_detector.ts";
import type * as runnerAttempt from "./runner_attempt.ts";
import type * as runnerTracker from "./runner_tracker.ts";

/** What the crash checks of a request need. */
export interface CrashChecksParameters {
  request: callerRequest.CallerRequest;
  /** Fingerprint of what the request asks for. */
  fingerprint: () => string;
  crashDetector: crashDetector.CrashDetector;
  tracker: runnerTracker.RunnerTracker;
}

/**
 * Has the crash detector check whether attempts of one request failed, or are
 * silent, because their runners crashed. The detector passes a crash to the
 * quarantine.
 */
export class CrashChecks {
  /** Checks of ended attempts that are under way. */
  #pending: Promise<void>[] = [];
  /** Silent attempts whose runners were checked. */
  readonly #checkedSilent = new Set<runnerAttempt.RunnerAttempt>();

  constructor(readonly parameters: CrashChecksParameters) {}

  /** Starts the check of an attempt that has ended. */
  noteEnd(
    attempt: runnerAttempt.RunnerAttempt,
    kind: attemptOutcome.AttemptOutcomeKind,
  ): void {
    const isChecked =
      kind === attemptOutcome.AttemptOutcomeKind.Stalled &&
      this.#checkedSilent.has(attempt);
    if (!isChecked) this.#pending.push(this.#check(kind, attempt));
  }

  /** Resolves once the checks of ended attempts are done. */
  async settled(): Promise<void> {
    await Promise.all(this.#pending);
    this.#pending = [];
  }

  /** Checks the runner of a silent attempt, once a silence. */
  async checkSilent(attempt: runnerAttempt.RunnerAttempt): Promise<void> {
    if (this.#checkedSilent.has(attempt)) return;
    this.#checkedSilent.add(attempt);
    await this.#check(attemptOutcome.AttemptOutcomeKind.Stalled, attempt);
  }

  /** Withdraws the check of an attempt that was silent and got on. */
  noteGotOn(attempt: runnerAttempt.RunnerAttempt): void {
    if (!this.#checkedSilent.delete(attempt)) return;
    const { crashDetector, request } = this.parameters;
    crashDetector.withdraw(attempt.parameters.runner, request.identifier);
  }

  async #check(
    kind: attemptOutcome.AttemptOutcomeKind,
    attempt: runnerAttempt.RunnerAttempt,
  ): Promise<void> {
    const { request, fingerprint, crashDetector, tracker } = this.parameters;
    const { runner } = attempt.parameters;
    const runnerIsUnresponsive = tracker.isUnresponsive(runner.identifier);
    if (!attemptOutcome.mayBeCrash(kind, runnerIsUnresponsive)) return;
    await crashDetector.investigate(runner, {
      request: request.identifier,
      fingerprint: fingerprint(),
      startedAt: attempt.startedAt,
      progress: attempt.progress,
      promptParts: request.promptParts,
    });
  }
}
