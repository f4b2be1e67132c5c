import type * as wire from "@geraniumkeel/wire";

/**
 * Longest time between two heartbeats of a rank to its leader. Each heartbeat
 * contains the state of the rank's engine; the leader considers a state older
 * than 900 ms out of date.
 */
const MAX_PAUSE_MILLISECONDS = 250;

/**
 * Records the state that a rank last sent its leader, and decides whether to
 * send a newly read state in a heartbeat. While a map is overdue at an engine,
 * the process beside it reads the state 25 times a second. If it sent each, the
 * leader of a group of 63 would receive 1,500 states a second, almost all of
 * them the same.
 */
export class HeartbeatRecord {
  #sent: wire.RankStatus | undefined;
  #sentAt = -Infinity;

  /**
   * Whether to send a state now: if it differs from the last one in more than
   * the load, the number of the iteration and the pace, or if the last heartbeat
   * is too long ago. Records the state as sent in that case.
   */
  recordIfDue(status: wire.RankStatus, now: number): boolean {
    const sent = this.#sent;
    const late = now - this.#sentAt >= MAX_PAUSE_MILLISECONDS;
    if (!late && sent && isSameStage(sent, status)) return false;
    this.#sent = status;
    this.#sentAt = now;
    return true;
  }

  /**
   * Forgets the state that was sent, so that the next one is sent at once. To
   * be called when the leader changes: the new one has received no state.
   */
  reset(): void {
    this.#sent = undefined;
  }
}

/**
 * Whether two states differ at most in the load (`active` and `waiting`), in the
 * number of the iteration (`step`) and in the pace, which an engine may measure
 * anew for each report.
 */
function isSameStage(left: wire.RankStatus, right: wire.RankStatus): boolean {
  return (
    left.epoch === right.epoch &&
    left.open === right.open &&
    left.mapVersion === right.mapVersion &&
    left.preparedVersion === right.preparedVersion &&
    left.armedVersion === right.armedVersion &&
    left.armedStep === right.armedStep &&
    left.heldStep === right.heldStep
  );
}
