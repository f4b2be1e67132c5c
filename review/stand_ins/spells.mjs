import * as perfHooks from "node:perf_hooks";

/** Spells of a disruption, with pauses between, from a moment on. */
export class Spells {
  #from = Infinity;

  constructor({ spellMs, pauseMs }) {
    this.spellMs = spellMs;
    this.pauseMs = pauseMs;
  }

  /** Begins the first spell now. */
  begin() {
    this.#from = perfHooks.performance.now();
  }

  /** Whether a spell lasts now. */
  get last() {
    const elapsed = perfHooks.performance.now() - this.#from;
    const period = this.spellMs + this.pauseMs;
    return elapsed >= 0 && elapsed % period < this.spellMs;
  }
}
