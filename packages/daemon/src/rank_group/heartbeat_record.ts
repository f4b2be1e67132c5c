import type * as wire from "@geraniumkeel/wire";

/**
 * Longest time between two beats of a rank, in milliseconds. A leader takes a state
 * for fresh for 900.
 */
const MAX_PAUSE_MILLISECONDS = 250;

/**
 * What a rank told its leader last. While a map is loaded each rank reads its engine
 * 25 times a second; told each time, a leader of 63 would take in 1,500 states a
 * second, of which almost none differ.
 */
export class HeartbeatRecord {
  #sent: wire.RankStatus | undefined;
  #sentAt = -Infinity;

  /** Whether a state is news; notes it as told then. */
  recordIfDue(status: wire.RankStatus, now: number): boolean {
    const sent = this.#sent;
    const late = now - this.#sentAt >= MAX_PAUSE_MILLISECONDS;
    if (!late && sent && isSameExceptLoad(sent, status)) return false;
    this.#sent = status;
    this.#sentAt = now;
    return true;
  }

  /** Another leader knows nothing of what was told. */
  reset(): void {
    this.#sent = undefined;
  }
}

/** Whether two states differ in the load and the number of passes at most. */
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
