import type * as wire from "@geraniumkeel/wire";

/**
 * Longest time between two heartbeats of a rank. Its leader considers a state
 * older than 900 ms out of date.
 */
const MAX_PAUSE_MILLISECONDS = 250;

/**
 * The state that a rank sent its leader last; decides whether a new one is due
 * for a heartbeat. While an engine loads a map, the process beside it reads its
 * state 25 times a second. If each were sent, the leader of a group of 63 would
 * receive 1,500 states a second, almost all of them the same.
 */
export class HeartbeatRecord {
  #sent: wire.RankStatus | undefined;
  #sentAt = -Infinity;

  /**
   * Whether to send a state now: if it differs in more than the load, or if the
   * last heartbeat is too long ago. Records the state as sent in that case.
   */
  recordIfDue(status: wire.RankStatus, now: number): boolean {
    const sent = this.#sent;
    const late = now - this.#sentAt >= MAX_PAUSE_MILLISECONDS;
    if (!late && sent && isSameExceptLoad(sent, status)) return false;
    this.#sent = status;
    this.#sentAt = now;
    return true;
  }

  /** Forgets what was sent, because another leader has not received it. */
  reset(): void {
    this.#sent = undefined;
  }
}

/**
 * Whether two states differ at most in the load and the number of the
 * iteration.
 */
function isSameExceptLoad(
  left: wire.RankStatus,
  right: wire.RankStatus,
): boolean {
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
