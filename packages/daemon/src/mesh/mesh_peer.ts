import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";

/** A heartbeat of another entry, and when this process received it. */
interface ReceivedHeartbeat {
  heartbeat: wire.MeshHeartbeat;
  at: common.Instant;
}

/** Key by which entries are ordered for polling the store. */
const POLL_KEY = "follow";

/** Place of an entry in the order of polling, to be compared with others'. */
export function pollPreference(host: string): common.Preferred {
  return { candidate: host, score: common.preference(POLL_KEY, host) };
}

/**
 * Ticks without a heartbeat after which a link is closed although it works: 3 s.
 * The other end then uses another link, or has none that it knows of.
 */
const MAX_SILENT_TICKS = 10;

/** Another entry that this one has a link to, with its last heartbeat. */
export class MeshPeer {
  #silentTicks = 0;
  #received: ReceivedHeartbeat | undefined;
  /** When the last heartbeat was sent to the peer, by the monotonic clock. */
  heartbeatSentAt = -Infinity;
  /**
   * Whether that heartbeat was an answer and none was held back since, so that
   * the next tick may send nothing; see `HeartbeatSender`.
   */
  maySkipTick = false;
  /** Whether a tick since that heartbeat sent nothing. */
  tickSkipped = false;
  /** Computed once: the position in the order is asked for 20 times a second. */
  readonly pollPreference: common.Preferred;
  /** When the peer's first message arrived, by the monotonic clock. */
  readonly openedAt = common.now();
  /** When this process last pushed a document to the peer, by document name. */
  readonly #pushedAt = new Map<string, number>();

  constructor(
    readonly member: wire.MeshMember,
    readonly incarnation: string,
    readonly link: wire.Link,
  ) {
    this.pollPreference = pollPreference(member.host);
  }

  /** Whether the link is open. */
  get open(): boolean {
    return this.link.end === undefined;
  }

  /** Milliseconds since the last heartbeat; infinite before the first. */
  get heartbeatAge(): number {
    return this.#received ? common.ageOf(this.#received.at) : Infinity;
  }

  /** The last heartbeat; `undefined` before the first. */
  get heartbeat(): wire.MeshHeartbeat | undefined {
    return this.#received?.heartbeat;
  }

  /**
   * Counts an interval of heartbeats, and closes the link if none came for many.
   * Ticks are counted and not time, so that a process that was paused does not
   * close its links when it continues.
   */
  tick(): void {
    this.#silentTicks++;
    if (this.#silentTicks > MAX_SILENT_TICKS)
      this.link.close(wire.LinkEnd.Silent);
  }

  /** Stores a heartbeat that was just received. */
  receive(heartbeat: wire.MeshHeartbeat): void {
    this.#silentTicks = 0;
    this.#received = { heartbeat, at: common.instant() };
  }

  /**
   * Number of the last heartbeat received, and the milliseconds from then to a
   * moment of the monotonic clock, for the next heartbeat to the peer. The
   * number is -1 before the first.
   */
  echo(now: number): { echoedStamp: number; echoedAge: number } {
    const received = this.#received;
    if (!received) return { echoedStamp: -1, echoedAge: 0 };
    // Uses the monotonic clock alone, which may run slow. An age that is too
    // small is safe: the peer then treats a proof as older than it is.
    const echoedAge = now - received.at.monotonic;
    return { echoedStamp: received.heartbeat.stamp, echoedAge };
  }

  /**
   * Returns whether the last push of a document was at least the interval ago.
   * If so, it records a push at this moment.
   */
  allowPush(name: string, intervalMilliseconds: number): boolean {
    const now = common.now();
    const last = this.#pushedAt.get(name) ?? -Infinity;
    if (now - last < intervalMilliseconds) return false;
    this.#pushedAt.set(name, now);
    return true;
  }
}
