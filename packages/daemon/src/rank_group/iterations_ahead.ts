/** Smallest and largest number of iterations that a switch is ahead. */
const MIN_ITERATIONS_AHEAD = 2;
const MAX_ITERATIONS_AHEAD = 6;
/**
 * Share of the current iteration that counts as elapsed. If all of it counted,
 * arming that takes slightly longer than an iteration would keep the slow map
 * in force for one more iteration. With this share the iteration of the switch
 * is at worst held for the rest of one.
 */
const ELAPSED_SHARE = 0.7;
/**
 * Share of the longest recent arming time that still counts at the next switch.
 */
const RETAINED_SHARE = 0.85;

/**
 * How many iterations after the current one a switch takes place. If that
 * iteration is due before all ranks are armed, it is held, and every stream of
 * the group waits. If it is too far ahead, the slow map stays in force for
 * longer. So the distance follows the recent arming times. They amount to
 * several iterations while engines leave many orders unanswered.
 */
export class IterationsAhead {
  #armMilliseconds = 0;
  #iterationMilliseconds = 0;
  #last: { step: number; at: number } | undefined;

  /**
   * Records the last iteration that was begun, to measure the length of an
   * iteration.
   */
  noteIteration(step: number, now: number): void {
    const last = this.#last;
    if (last && step <= last.step) return;
    if (last)
      this.#iterationMilliseconds = (now - last.at) / (step - last.step);
    this.#last = { step, at: now };
  }

  /** Records how long it took to arm all ranks. */
  noteArming(milliseconds: number): void {
    const retained = this.#armMilliseconds * RETAINED_SHARE;
    this.#armMilliseconds = Math.max(milliseconds, retained);
  }

  /** Number of iterations between the current one and the one of the switch. */
  get count(): number {
    if (this.#iterationMilliseconds <= 0) return MIN_ITERATIONS_AHEAD;
    const armingIterations =
      this.#armMilliseconds / this.#iterationMilliseconds;
    const needed = Math.ceil(armingIterations + ELAPSED_SHARE);
    return Math.min(
      MAX_ITERATIONS_AHEAD,
      Math.max(MIN_ITERATIONS_AHEAD, needed),
    );
  }
}
