/** A moment of this process, by both of its clocks, in milliseconds. */
export interface Instant {
  monotonic: number;
  wall: number;
}

/** This moment. */
export function instant(): Instant {
  return { monotonic: performance.now(), wall: Date.now() };
}

/**
 * Milliseconds since a moment, and rather more than fewer. The monotonic clock
 * stands still while a machine is suspended, and what was proved before would
 * seem fresh after it; the time of day goes on then, but may be set back. A
 * stale fact would need both clocks to be wrong at once.
 */
export function ageOf(since: Instant, now: Instant = instant()): number {
  return Math.max(now.monotonic - since.monotonic, now.wall - since.wall);
}
