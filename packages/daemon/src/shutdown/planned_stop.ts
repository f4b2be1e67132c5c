import * as events from "node:events";
import * as common from "@geraniumkeel/common";

/** Time before the kill by which all answers have to be handed over. */
const ANSWER_MARGIN_MILLISECONDS = 700;
/** Time before the kill by which the process has to be gone. */
const EXIT_MARGIN_MILLISECONDS = 250;
/** Bound of both margins, as a fraction of the grace time. */
const MAX_MARGIN_FRACTION = 1 / 8;
/**
 * How long after the signal a request is taken by the time that it probably
 * needs. Later it has to be certain that it ends in time: by then callers have
 * had time to go elsewhere.
 */
const ESTIMATE_MILLISECONDS = 2_500;

/** Time for the final answer of a request whose own time is up. */
const FINAL_ANSWER_MILLISECONDS = 100;

/** How long a request may take. */
export interface WorkBounds {
  /** Time after which the request has its final answer in any case. */
  longestMilliseconds: number;
  /** Time that it probably needs; Infinity if unknown. */
  expectedMilliseconds: number;
  /**
   * Whether its caller may send it again after a failure. If not, the time that it
   * probably needs does not count: a request that takes longer is cut off, and
   * nobody knows whether it ran.
   */
  repeatable: boolean;
}

/**
 * The planned stop of a process: from the signal on it takes only what it can
 * finish before it is killed.
 */
export class PlannedStop {
  #startedAt: number | undefined;
  readonly #started = new AbortController();
  readonly #deadline = new AbortController();

  constructor(
    readonly parameters: {
      /** Time from the signal until the process is killed. */
      graceMilliseconds: number;
      lifeCycle: common.LifeCycle;
    },
  ) {
    // Each request under way listens to them.
    events.EventEmitter.setMaxListeners(0, this.#started.signal);
    events.EventEmitter.setMaxListeners(0, this.#deadline.signal);
  }

  /** Aborts when the stop starts. */
  get started(): AbortSignal {
    return this.#started.signal;
  }

  /** Aborts when what is still under way has to be ended. */
  get deadline(): AbortSignal {
    return this.#deadline.signal;
  }

  /**
   * Starts the stop. The time until the kill counts from the signal, which may have
   * come earlier, while the process started.
   */
  start(sinceSignalMilliseconds = 0): void {
    if (this.#startedAt !== undefined) return;
    this.#startedAt = common.now() - sinceSignalMilliseconds;
    this.#started.abort();
    const timer = setTimeout(
      () => this.#deadline.abort(),
      this.remainingMilliseconds,
    );
    this.parameters.lifeCycle.own({
      name: "stop-deadline",
      close: () => clearTimeout(timer),
    });
  }

  /** Milliseconds since the signal to stop; 0 before the stop. */
  get elapsedMilliseconds(): number {
    return this.#startedAt === undefined ? 0 : common.now() - this.#startedAt;
  }

  /** Milliseconds left for answers; Infinity before the stop. */
  get remainingMilliseconds(): number {
    return this.#millisecondsUntil(ANSWER_MARGIN_MILLISECONDS);
  }

  /** Milliseconds until the process has to be gone; Infinity before the stop. */
  get exitMilliseconds(): number {
    return this.#millisecondsUntil(EXIT_MARGIN_MILLISECONDS);
  }

  /** Whether a request can be finished before the process ends. */
  admits(work: WorkBounds): boolean {
    const { remainingMilliseconds } = this;
    const certain = work.longestMilliseconds + FINAL_ANSWER_MILLISECONDS;
    if (certain <= remainingMilliseconds) return true;
    if (!work.repeatable) return false;
    if (this.elapsedMilliseconds > ESTIMATE_MILLISECONDS) return false;
    return work.expectedMilliseconds <= remainingMilliseconds;
  }

  #millisecondsUntil(margin: number): number {
    if (this.#startedAt === undefined) return Infinity;
    const { graceMilliseconds } = this.parameters;
    const most = graceMilliseconds * MAX_MARGIN_FRACTION;
    const length = graceMilliseconds - Math.min(margin, most);
    return Math.max(0, length - this.elapsedMilliseconds);
  }
}
