import * as common from "@geraniumkeel/common";

/**
 * How long a body may be held before it may be given up for another one. One that
 * comes at an ordinary pace is complete by then.
 */
const MIN_HELD_MILLISECONDS = 1_000;
/** Part of the free memory that one body may take. */
const MAX_SHARE_OF_FREE = 0.5;

/** Memory that is taken for the body of one request. */
export interface BodyReservation {
  /** Bytes that are taken. */
  readonly bytes: number;
  /**
   * Takes memory for a body of this length; returns whether there was room. What
   * was taken before stays taken.
   */
  grow(bytes: number): boolean;
  /** Notes that the body is complete, and not given up any more. */
  complete(): void;
  /** Gives the memory back. */
  release(): void;
}

/**
 * Memory for the bodies of all requests that are not answered. A body takes at most
 * a share of what is free, so that large ones leave room for small ones. Where a body
 * has no room, the incomplete one that held most for longest is given up for it:
 * callers that make no progress do not keep others out.
 */
export class BodyMemory {
  readonly #reservations = new Set<Reservation>();
  #bytes = 0;

  constructor(readonly maxBytes: number) {}

  /** Bytes that are taken for all bodies. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Opens a reservation of nothing; `onGivenUp` is called if it is given up. */
  open(onGivenUp: () => void): BodyReservation {
    const reservation: Reservation = new Reservation(onGivenUp, {
      grow: (bytes) => this.#grow(reservation, bytes),
      release: () => this.#release(reservation),
    });
    return reservation;
  }

  #grow(reservation: Reservation, bytes: number): boolean {
    const more = bytes - reservation.bytes;
    while (!this.#hasRoom(more, bytes)) {
      const victim = this.#largestOverTime(reservation);
      if (!victim) return false;
      victim.giveUp();
    }
    this.#reservations.add(reservation);
    this.#bytes += more;
    reservation.bytes = bytes;
    return true;
  }

  #hasRoom(more: number, bytes: number): boolean {
    const free = this.maxBytes - this.#bytes;
    // One body alone has room whatever its length, as the configuration allows it.
    if (this.#bytes + more === bytes) return true;
    return more <= free * MAX_SHARE_OF_FREE;
  }

  /** The incomplete body that held most for longest, of those held for long. */
  #largestOverTime(except: Reservation): Reservation | undefined {
    const now = common.now();
    const weight = ({ bytes, openedAt }: Reservation) =>
      bytes * (now - openedAt);
    let largest: Reservation | undefined;
    for (const candidate of this.#reservations) {
      if (candidate === except || !candidate.mayBeGivenUp(now)) continue;
      if (!largest || weight(candidate) > weight(largest)) largest = candidate;
    }
    return largest;
  }

  #release(reservation: Reservation): void {
    if (!this.#reservations.delete(reservation)) return;
    this.#bytes -= reservation.bytes;
    reservation.bytes = 0;
  }
}

class Reservation implements BodyReservation {
  readonly openedAt = common.now();
  bytes = 0;
  #isComplete = false;

  constructor(
    readonly onGivenUp: () => void,
    readonly memory: {
      grow: (bytes: number) => boolean;
      release: () => void;
    },
  ) {}

  mayBeGivenUp(now: number): boolean {
    return !this.#isComplete && now - this.openedAt >= MIN_HELD_MILLISECONDS;
  }

  grow(bytes: number): boolean {
    return bytes <= this.bytes || this.memory.grow(bytes);
  }

  complete(): void {
    this.#isComplete = true;
  }

  release(): void {
    this.memory.release();
  }

  giveUp(): void {
    this.release();
    this.onGivenUp();
  }
}
