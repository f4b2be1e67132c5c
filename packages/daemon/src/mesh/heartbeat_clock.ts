import * as common from "@geraniumkeel/common";

/**
 * Time for which a number is used again. Heartbeats that are sent one by one, as
 * answers, then use at most 50 numbers a second. A proof that echoes such a
 * number appears at most this much older than it is.
 */
const STAMP_MILLISECONDS = 20;
/**
 * Number of heartbeats whose sending time this process remembers: those of at
 * least 20 s.
 */
const MAX_REMEMBERED_HEARTBEATS = 1_024;

/**
 * Numbers the heartbeats of this process and remembers when each was sent, in
 * order to date statements of peers by this process's own clocks. A peer's
 * heartbeat carries the number of the last heartbeat that the peer received,
 * which proves that the peer sent its heartbeat after that one was sent. A
 * message may be delayed in a connection for seconds while the network is cut.
 * Because this process counts the age of a proof from its own heartbeat that
 * the message echoes, a late proof never appears more recent than it is.
 */
export class HeartbeatClock {
  readonly #sentAt: ({ stamp: number; at: common.Instant } | undefined)[] = [];
  #stamp = 0;

  /** Returns the number for a heartbeat that is sent now. */
  nextStamp(): number {
    this.#stamp++;
    this.#sentAt[this.#stamp % MAX_REMEMBERED_HEARTBEATS] = {
      stamp: this.#stamp,
      at: common.instant(),
    };
    return this.#stamp;
  }

  /**
   * Returns the number for a heartbeat that is sent now. It is the number of the
   * last heartbeat if that was sent a moment ago.
   */
  recentStamp(): number {
    const last = this.#sentAt[this.#stamp % MAX_REMEMBERED_HEARTBEATS];
    const isRecent =
      last !== undefined && common.ageOf(last.at) < STAMP_MILLISECONDS;
    return isRecent ? this.#stamp : this.nextStamp();
  }

  /**
   * The latest moment, by this process's clocks, at which a peer's statement
   * was certainly true. `undefined` if the peer has no proof, or if it echoes
   * no heartbeat that is still remembered.
   */
  provenAt(parameters: {
    echoedStamp: number;
    /** Milliseconds from the peer's receipt of the heartbeat to its message. */
    echoedAge: number;
    /**
     * Age of the statement when the peer sent it, in milliseconds; -1 if the
     * peer has no proof.
     */
    factAge: number;
  }): common.Instant | undefined {
    const { echoedStamp, echoedAge, factAge } = parameters;
    if (echoedStamp < 0 || factAge < 0) return undefined;
    const sent = this.#sentAt[echoedStamp % MAX_REMEMBERED_HEARTBEATS];
    if (sent?.stamp !== echoedStamp) return undefined;
    const offsetFromSending = echoedAge - factAge;
    return {
      monotonic: sent.at.monotonic + offsetFromSending,
      wall: sent.at.wall + offsetFromSending,
    };
  }
}
