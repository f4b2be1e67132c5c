import * as bodyMemory from "./body_memory.ts";
import * as pieceTurns from "./piece_turns.ts";

/** What the bodies of all callers' requests to a process share. */
export class BodyResources {
  /** Turns of bodies in very small pieces. */
  readonly turns = new pieceTurns.PieceTurns();
  /** Memory that all bodies take. */
  readonly memory: bodyMemory.BodyMemory;

  constructor(maxBytes: number) {
    this.memory = new bodyMemory.BodyMemory(maxBytes);
  }
}
