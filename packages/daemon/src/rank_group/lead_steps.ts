/** Passes ahead of the one under way at which a switch is aimed at least, and most. */
const FEWEST_STEPS = 2;
const MOST_STEPS = 6;
/**
 * Part of the pass under way that is counted as gone by. Counted as all gone by, arming
 * that takes little more than a pass would leave the slow map in force for one pass
 * more; at worst the pass that switches is now held for the rest.
 */
const GONE_BY = 0.7;
/** Part of the longest time that is kept from one switch to the next. */
const KEPT_PART = 0.85;

/**
 * How many passes ahead a switch is aimed. A pass that is held before all ranks are
 * armed holds up every stream of the group; one too far ahead leaves the slow map in
 * force for longer. So the distance follows the time that arming took lately. For days
 * on which engines leave many orders unanswered, and arming takes several passes.
 */
export class LeadSteps {
  #armMilliseconds = 0;
  #passMilliseconds = 0;
  #last: { step: number; at: number } | undefined;

  /** Notes the last pass that was begun. */
  noteStep(step: number, now: number): void {
    const last = this.#last;
    if (last && step <= last.step) return;
    if (last) this.#passMilliseconds = (now - last.at) / (step - last.step);
    this.#last = { step, at: now };
  }

  /** Notes how long it took to arm all ranks. */
  noteArming(milliseconds: number): void {
    const kept = this.#armMilliseconds * KEPT_PART;
    this.#armMilliseconds = Math.max(milliseconds, kept);
  }

  /** Passes between the one under way and the one that switches. */
  get steps(): number {
    if (this.#passMilliseconds <= 0) return FEWEST_STEPS;
    const armingPasses = this.#armMilliseconds / this.#passMilliseconds;
    const needed = Math.ceil(armingPasses + GONE_BY);
    return Math.min(MOST_STEPS, Math.max(FEWEST_STEPS, needed));
  }
}
