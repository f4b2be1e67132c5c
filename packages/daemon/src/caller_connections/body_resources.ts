import * as pieceTurns from "./piece_turns.ts";

/** What the bodies of all callers' requests to a process share. */
export class BodyResources {
  /** Turns of bodies in very small pieces. */
  readonly turns = new pieceTurns.PieceTurns();
}
