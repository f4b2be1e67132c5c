/** Shortest time between two mesh heartbeats to a peer: one tick. */
export const TICK_MILLISECONDS = 300;
/**
 * Peers up to which each gets a heartbeat in every tick. With more, what an entry sends
 * and reads while it serves nobody would grow with their number.
 */
const PEERS_PER_TICK = 50;
/** Ticks between heartbeats at most, so that a lost entry is noticed within seconds. */
const MAX_TICKS = 3;
/**
 * Age of the last heartbeat from which on an entry is unreachable, where one comes in
 * every tick.
 */
const MAX_AGE_MILLISECONDS = 1_000;
/**
 * What each further tick between heartbeats adds to that age: the tick, and more room
 * for a heartbeat that is late.
 */
const MAX_AGE_PER_TICK_MILLISECONDS = 500;

/** In which intervals an entry with a number of peers sends heartbeats. */
export class HeartbeatInterval {
  /** Ticks from one heartbeat to the next. */
  readonly ticks: number;

  constructor(peers: number) {
    const needed = Math.ceil(peers / PEERS_PER_TICK);
    this.ticks = Math.min(MAX_TICKS, Math.max(1, needed));
  }

  /** Milliseconds by which the interval is longer than one tick. */
  get extraMilliseconds(): number {
    return (this.ticks - 1) * TICK_MILLISECONDS;
  }

  /** Age of the last mesh heartbeat from which on an entry is unreachable. */
  get maxAgeMilliseconds(): number {
    const extra = (this.ticks - 1) * MAX_AGE_PER_TICK_MILLISECONDS;
    return MAX_AGE_MILLISECONDS + extra;
  }
}
