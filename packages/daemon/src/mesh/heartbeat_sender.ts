import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as heartbeatClockModule from "./heartbeat_clock.ts";
import type * as meshPeer from "./mesh_peer.ts";

/**
 * Time between two mesh heartbeats to a peer. The peer's counts of the requests
 * under way from this entry lag by this much.
 */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 300;
/**
 * Shortest time from one heartbeat to the answer to a peer's heartbeat. Without
 * it, a peer that sends far too often would be answered as often.
 */
const MIN_ANSWER_INTERVAL_MILLISECONDS = HEARTBEAT_INTERVAL_MILLISECONDS / 2;

/** What heartbeats report, the same to all peers. */
export type HeartbeatState = Omit<
  wire.MeshHeartbeat,
  "kind" | "stamp" | "echoedStamp" | "echoedAge"
>;

/**
 * Sends mesh heartbeats. Of the two ends of a link, the one that dialled sends
 * in each interval, to all such peers at the same moment, and the other one
 * answers at once. So the answers of many peers arrive together, and the
 * process wakes up once for many of them. An end that gets no heartbeat to
 * answer sends its own in each interval.
 */
export class HeartbeatSender {
  constructor(
    readonly clock: heartbeatClockModule.HeartbeatClock,
    readonly state: () => HeartbeatState,
  ) {}

  /** Sends to all peers; for a change that they must learn of at once. */
  sendToAll(peers: Iterable<meshPeer.MeshPeer>): void {
    this.#sendTo([...peers]);
  }

  /** Sends to the peers whose turn it is; called once in each interval. */
  tick(peers: Iterable<meshPeer.MeshPeer>): void {
    const now = common.now();
    this.#sendTo([...peers].filter((peer) => isDue(peer, now)));
  }

  /** Sends to a peer that was just linked. */
  sendFirst(peer: meshPeer.MeshPeer): void {
    this.#sendTo([peer]);
  }

  /** Answers a heartbeat that a peer just sent, if this end is to answer. */
  answer(peer: meshPeer.MeshPeer): void {
    if (peer.link.side === wire.LinkSide.Dialled) return;
    const sinceLast = common.now() - peer.heartbeatSentAt;
    if (sinceLast >= MIN_ANSWER_INTERVAL_MILLISECONDS) this.#sendTo([peer]);
  }

  #sendTo(peers: meshPeer.MeshPeer[]): void {
    if (peers.length === 0) return;
    const stamp = this.clock.recentStamp();
    const state = this.state();
    // The ages of proofs are those of this moment, so the ages of the echoes
    // must be too, or a proof would appear more recent than it is.
    const now = common.now();
    for (const peer of peers) {
      peer.heartbeatSentAt = now;
      peer.link.send({
        kind: wire.MessageKind.MeshHeartbeat,
        stamp,
        ...peer.echo(now),
        ...state,
      });
    }
  }
}

function isDue(peer: meshPeer.MeshPeer, now: number): boolean {
  switch (peer.link.side) {
    case wire.LinkSide.Dialled:
      return true;
    case wire.LinkSide.Accepted:
      return now - peer.heartbeatSentAt >= HEARTBEAT_INTERVAL_MILLISECONDS;
  }
}
