import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";

/** A beat of another entry, with when it came. */
interface ReceivedHeartbeat {
  heartbeat: wire.MeshHeartbeat;
  at: common.Instant;
}

/** Another entry, as far as its link tells. */
export class MeshPeer {
  #received: ReceivedHeartbeat | undefined;
  /** When a document was last pushed there, by name. */
  readonly #pushedAt = new Map<string, number>();

  constructor(
    readonly member: wire.MeshMember,
    readonly incarnation: string,
    readonly link: wire.Link,
  ) {}

  /** Whether the link is open. */
  get open(): boolean {
    return this.link.end === undefined;
  }

  /** Milliseconds since anything was told on the link. */
  get heartbeatAge(): number {
    return this.#received ? common.ageOf(this.#received.at) : Infinity;
  }

  /** What was told last. */
  get heartbeat(): wire.MeshHeartbeat | undefined {
    return this.#received?.heartbeat;
  }

  /** Notes a beat. */
  receive(heartbeat: wire.MeshHeartbeat): void {
    this.#received = { heartbeat: heartbeat, at: common.instant() };
  }

  /** Number and age of the beat that came last, to be sent back. */
  echo(): { echoedStamp: number; echoedAge: number } {
    const received = this.#received;
    if (!received) return { echoedStamp: -1, echoedAge: 0 };
    // By the monotonic clock alone, which may run behind: an age that is told
    // too small makes the receiver take a proof for older than it is.
    const echoedAge = common.now() - received.at.monotonic;
    return { echoedStamp: received.heartbeat.stamp, echoedAge };
  }

  /** Whether a document may be pushed again, and notes that it is. */
  allowPush(name: string, intervalMilliseconds: number): boolean {
    const now = common.now();
    const last = this.#pushedAt.get(name) ?? -Infinity;
    if (now - last < intervalMilliseconds) return false;
    this.#pushedAt.set(name, now);
    return true;
  }
}
