import * as common from "@geraniumkeel/common";

/** Beats of which the time of sending is kept: several seconds' worth. */
const MAX_REMEMBERED_HEARTBEATS = 64;

/**
 * Numbers this process's beats and remembers when each was sent. A peer sends the
 * number of the last one back with what it tells, which proves that the peer
 * spoke after that moment of our own clock. A message may lie in a connection for
 * seconds while the network is cut; measured from the beat that it answers, what
 * it proves is never taken for fresher than it is.
 */
export class HeartbeatClock {
  readonly #sentAt: { stamp: number; at: common.Instant }[] = [];
  #stamp = 0;

  /** Number for a beat that is sent now. */
  nextStamp(): number {
    this.#stamp++;
    this.#sentAt[this.#stamp % MAX_REMEMBERED_HEARTBEATS] = {
      stamp: this.#stamp,
      at: common.instant(),
    };
    return this.#stamp;
  }

  /**
   * The latest moment, by the own clocks, at which what a peer tells is certain
   * to have held; `undefined` if it answers no beat that is remembered.
   */
  provenAt(parameters: {
    echoedStamp: number;
    /** Milliseconds for which the peer had the beat before it spoke. */
    echoedAge: number;
    /** Milliseconds by which the fact was old when the peer spoke. */
    factAge: number;
  }): common.Instant | undefined {
    const { echoedStamp, echoedAge, factAge } = parameters;
    if (echoedStamp < 0 || factAge < 0) return undefined;
    const sent = this.#sentAt[echoedStamp % MAX_REMEMBERED_HEARTBEATS];
    if (sent?.stamp !== echoedStamp) return undefined;
    const timeSinceSending = echoedAge - factAge;
    return {
      monotonic: sent.at.monotonic + timeSinceSending,
      wall: sent.at.wall + timeSinceSending,
    };
  }
}
