import type * as traffic from "@geraniumkeel/traffic";
import type * as rateLimitPermit from "../rate_limit/rate_limit_permit.ts";
import type * as attemptOutcome from "./attempt_outcome.ts";
import type * as runnerAttempt from "./runner_attempt.ts";

/** A runner for one attempt, and the permit to send to it. */
export interface SecuredRunner {
  runner: traffic.RunnerEntry;
  permit: rateLimitPermit.RateLimitPermit;
}

/** What hedging the attempts of a request needs. */
export interface HedgedAttemptsParameters {
  createAttempt: (secured: SecuredRunner) => runnerAttempt.RunnerAttempt;
  /** Notes the outcome of an attempt that has ended. */
  onEnd: (
    attempt: runnerAttempt.RunnerAttempt,
    outcome: attemptOutcome.AttemptOutcome,
  ) => void;
  /**
   * Finds another runner while the attempts in `silent` stay open; `undefined`
   * if there is none now.
   */
  secureAnother: (
    silent: runnerAttempt.RunnerAttempt[],
  ) => Promise<SecuredRunner | undefined>;
  /**
   * Admits and charges one more attempt, just before it is sent; false if none
   * may be sent.
   */
  charge: () => boolean;
  /** Called with an exception that came when all attempts had ended. */
  onLateFailure: (cause: unknown) => void;
}

/**
 * Attempts of one request that are open at the same time. Silence of a runner
 * does not end its attempt, since the runner may be about to go on: another
 * attempt is made beside it, once a runner, a permit and budget for it are
 * secured. The first of them that gets on cancels the others. If the other
 * attempt is refused, or none can be made, the silent one continues.
 */
export class HedgedAttempts {
  readonly #open = new Map<runnerAttempt.RunnerAttempt, Promise<void>>();
  /** Outcome of the attempt that ended last, without superseded ones. */
  #outcome: attemptOutcome.AttemptOutcome | undefined;
  #securing = false;
  /** Exception of an attempt, which fails the request once all have ended. */
  #failure: Error | undefined;

  constructor(readonly parameters: HedgedAttemptsParameters) {}

  /** Attempts that have not ended; each may run at a runner. */
  get open(): runnerAttempt.RunnerAttempt[] {
    return [...this.#open.keys()];
  }

  /**
   * Makes an attempt, and others beside it while it is silent. Resolves once
   * all have ended, with the outcome of the one that got on or, if none did, of
   * the one that ended last.
   */
  async run(first: SecuredRunner): Promise<attemptOutcome.AttemptOutcome> {
    this.#outcome = undefined;
    this.#start(first);
    while (this.#open.size > 0) await Promise.race(this.#open.values());
    if (this.#failure) throw this.#failure;
    if (!this.#outcome) throw new Error("all attempts were superseded");
    return this.#outcome;
  }

  /** Notes that an attempt got on, which cancels the others. */
  noteGotOn(leading: runnerAttempt.RunnerAttempt): void {
    for (const attempt of this.#open.keys()) {
      if (attempt !== leading) attempt.supersede();
    }
  }

  /** Makes another attempt if all open ones are silent and one is possible. */
  async hedge(): Promise<void> {
    if (this.#securing || !this.#areAllSilent()) return;
    this.#securing = true;
    try {
      await this.#startAnother();
    } catch (cause) {
      this.#fail(cause);
    } finally {
      this.#securing = false;
    }
  }

  async #startAnother(): Promise<void> {
    const secured = await this.parameters.secureAnother(this.open);
    // Nothing may come between the check, the charge and the start.
    if (!secured || !this.#areAllSilent() || !this.parameters.charge()) return;
    this.#start(secured);
  }

  #areAllSilent(): boolean {
    const { open } = this;
    return open.length > 0 && open.every((attempt) => attempt.hasStalled());
  }

  #start(secured: SecuredRunner): void {
    const attempt = this.parameters.createAttempt(secured);
    this.#open.set(attempt, this.#follow(attempt));
  }

  async #follow(attempt: runnerAttempt.RunnerAttempt): Promise<void> {
    try {
      const outcome = await attempt.run();
      if (!attempt.isSuperseded) this.#outcome = outcome;
      this.parameters.onEnd(attempt, outcome);
    } catch (cause) {
      this.#fail(cause);
    } finally {
      this.#open.delete(attempt);
    }
  }

  /** Ends all attempts, as the handling of the request failed. */
  #fail(cause: unknown): void {
    // `run` would not throw it any more.
    if (this.#open.size === 0) return this.parameters.onLateFailure(cause);
    this.#failure ??= cause as Error;
    for (const attempt of this.open) attempt.supersede();
  }
}
