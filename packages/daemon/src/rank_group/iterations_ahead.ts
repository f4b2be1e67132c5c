/** Passes ahead of the one under way at which a switch is aimed at least, and most. */
const MIN_ITERATIONS = 2;
const MAX_ITERATIONS = 6;
/**
 * Part of the pass under way that is counted as gone by. Counted as all gone by, arming
 * that takes little more than a pass would leave the slow map in force for one pass
 * more; at worst the pass that switches is now held for the rest.
 */
const ELAPSED_SHARE = 0.7;
/** Part of the longest time that is kept from one switch to the next. */
const RETAINED_SHARE = 0.85;

/**
 * How many passes ahead a switch is aimed. A pass that is held before all ranks are
 * armed holds up every stream of the group; one too far ahead leaves the slow map in
 * force for longer. So the distance follows the time that arming took lately. For days
 * on which engines leave many orders unanswered, and arming takes several passes.
 */
export class IterationsAhead {
  #armMilliseconds = 0;
  #iterationMilliseconds = 0;
  #last: { step: number; at: number } | undefined;

  /** Notes the last pass that was begun. */
  noteIteration(step: number, now: number): void {
    const last = this.#last;
    if (last && step <= last.step) return;
    if (last)
      this.#iterationMilliseconds = (now - last.at) / (step - last.step);
    this.#last = { step, at: now };
  }

  /** Notes how long it took to arm all ranks. */
  noteArming(milliseconds: number): void {
    const retained = this.#armMilliseconds * RETAINED_SHARE;
    this.#armMilliseconds = Math.max(milliseconds, retained);
  }

  /** Passes between the one under way and the one that switches. */
  get count(): number {
    if (this.#iterationMilliseconds <= 0) return MIN_ITERATIONS;
    const armingIterations =
      this.#armMilliseconds / this.#iterationMilliseconds;
    const needed = Math.ceil(armingIterations + ELAPSED_SHARE);
    return Math.min(MAX_ITERATIONS, Math.max(MIN_ITERATIONS, needed));
  }
}
