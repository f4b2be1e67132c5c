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
 * Time since the last heartbeat from which on one is sent although nothing has
 * changed. Heartbeats are sent at ticks, so it comes after two intervals, well
 * before the peer takes this entry for unreachable (1,000 ms).
 */
const IDLE_AFTER_MILLISECONDS = 1.5 * HEARTBEAT_INTERVAL_MILLISECONDS;
/**
 * The same at the end that answers. It is longer, so that the heartbeat to
 * answer usually comes first; the next tick is at most 800 ms after the last
 * heartbeat.
 */
const IDLE_ANSWER_AFTER_MILLISECONDS = 500;
/**
 * Shortest time from one heartbeat to the answer to a peer's heartbeat. Without
 * it, a peer that sends far too often would be answered as often.
 */
const MIN_ANSWER_INTERVAL_MILLISECONDS = HEARTBEAT_INTERVAL_MILLISECONDS / 2;
/**
 * Time from a heartbeat of a peer with requests under way within which its next
 * one is expected: an interval and some delay.
 */
const NEXT_EXPECTED_MILLISECONDS = 1.2 * HEARTBEAT_INTERVAL_MILLISECONDS;

/** What heartbeats report, the same to all peers. */
export type HeartbeatState = Omit<
  wire.MeshHeartbeat,
  "kind" | "stamp" | "echoedStamp" | "echoedAge"
>;

/**
 * Sends mesh heartbeats: to each peer in each interval while requests are under
 * way from this entry or something else changed, and otherwise in every second
 * interval. So each change reaches the peers within one interval.
 *
 * Of the two ends of a link, the one that dialled sends to all such peers at
 * the same moment, and the other one answers at once. The answers of many peers
 * then arrive together, and the process wakes up once for many of them. An end
 * that has a change to report and expects no heartbeat to answer sends its own.
 */
export class HeartbeatSender {
  constructor(
    readonly clock: heartbeatClockModule.HeartbeatClock,
    readonly state: () => HeartbeatState,
  ) {}

  /** Sends to all peers; for a change that they must learn of at once. */
  sendToAll(peers: Iterable<meshPeer.MeshPeer>): void {
    this.#sendTo([...peers], this.state());
  }

  /** Sends to the peers whose turn it is; called once in each interval. */
  tick(peers: Iterable<meshPeer.MeshPeer>): void {
    const state = this.state();
    const now = common.now();
    this.#sendTo(
      [...peers].filter((peer) => isDue(peer, state, now)),
      state,
    );
  }

  /** Sends to a peer that was just linked. */
  sendFirst(peer: meshPeer.MeshPeer): void {
    this.#sendTo([peer], this.state());
  }

  /** Answers a heartbeat that a peer just sent, if this end is to answer. */
  answer(peer: meshPeer.MeshPeer): void {
    if (peer.link.side === wire.LinkSide.Dialled) return;
    const sinceLast = common.now() - peer.heartbeatSentAt;
    if (sinceLast < MIN_ANSWER_INTERVAL_MILLISECONDS) return;
    const state = this.state();
    if (sinceLast < IDLE_AFTER_MILLISECONDS && isKnown(peer, state)) return;
    this.#sendTo([peer], state);
  }

  #sendTo(peers: meshPeer.MeshPeer[], state: HeartbeatState): void {
    if (peers.length === 0) return;
    const stamp = this.clock.recentStamp();
    const summary = summaryOf(state);
    // The ages of proofs are those of this moment, so the ages of the echoes
    // must be too, or a proof would appear more recent than it is.
    const now = common.now();
    for (const peer of peers) {
      peer.heartbeatSentAt = now;
      peer.sentSummary = summary;
      peer.link.send({
        kind: wire.MessageKind.MeshHeartbeat,
        stamp,
        ...peer.echo(now),
        ...state,
      });
    }
  }
}

function isDue(
  peer: meshPeer.MeshPeer,
  state: HeartbeatState,
  now: number,
): boolean {
  const sinceLast = now - peer.heartbeatSentAt;
  switch (peer.link.side) {
    case wire.LinkSide.Dialled:
      return sinceLast >= IDLE_AFTER_MILLISECONDS || !isKnown(peer, state);
    case wire.LinkSide.Accepted:
      if (sinceLast >= IDLE_ANSWER_AFTER_MILLISECONDS) return true;
      return !isKnown(peer, state) && !expectsHeartbeat(peer);
  }
}

/**
 * Whether a peer will soon send a heartbeat that is answered. Only a peer that
 * had requests under way is certain to send one in the next interval.
 */
function expectsHeartbeat(peer: meshPeer.MeshPeer): boolean {
  const hadRequests = (peer.heartbeat?.outstanding.length ?? 0) > 0;
  return hadRequests && peer.heartbeatAge < NEXT_EXPECTED_MILLISECONDS;
}

/** Whether a peer knows all of a state but the ages of its proofs. */
function isKnown(peer: meshPeer.MeshPeer, state: HeartbeatState): boolean {
  return (
    state.outstanding.length === 0 && peer.sentSummary === summaryOf(state)
  );
}

function summaryOf(state: HeartbeatState): string {
  const { ready, leaving, storeReachable, tableEpoch, outstanding } = state;
  return [
    ready,
    leaving,
    storeReachable,
    tableEpoch,
    state.configuration.version,
    state.runners.version,
    state.evacuations.version,
    outstanding.length,
  ].join();
}
