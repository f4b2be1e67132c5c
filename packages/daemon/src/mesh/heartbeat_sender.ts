import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as heartbeatClockModule from "./heartbeat_clock.ts";
import * as heartbeatInterval from "./heartbeat_interval.ts";
import type * as meshPeer from "./mesh_peer.ts";

/**
 * Shortest time from one heartbeat to the answer to a peer's heartbeat. Without
 * it, a peer that sends far too often would be answered as often. A tick within
 * this time after an answer sends nothing, so that messages are not doubled.
 */
const MIN_ANSWER_INTERVAL_MILLISECONDS =
  heartbeatInterval.TICK_MILLISECONDS / 2;
/** A timer may fire this much early against the last heartbeat. */
const TIMER_SLACK_MILLISECONDS = 50;
/** What heartbeats report, the same to all peers. */
export type HeartbeatState = Omit<
  wire.MeshHeartbeat,
  "kind" | "stamp" | "echoedStamp" | "echoedAge"
>;

/**
 * Sends mesh heartbeats to each peer in each interval, whether or not anything
 * has changed; a peer's counts of the requests under way lag by that much.
 * Heartbeats without news must not be left out: a gap of two intervals, one lost
 * packet and a pause of the process together exceed the age from which on peers
 * take an entry for unreachable (`HeartbeatInterval.maxAgeMilliseconds`).
 *
 * Of the two ends of a link, the one that dialled sends to all such peers at
 * the same moment, and the other one answers at once. The answers of many peers
 * then arrive together, and the process wakes up once for many of them. The end
 * that answers also sends at its own ticks, except just after an answer.
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

  /** Sends to the peers whose heartbeat is due; called in each tick. */
  tick(
    peers: Iterable<meshPeer.MeshPeer>,
    interval: heartbeatInterval.HeartbeatInterval,
  ): void {
    const now = common.now();
    const due: meshPeer.MeshPeer[] = [];
    for (const peer of peers) {
      if (isDue(peer, now, interval)) due.push(peer);
      else peer.tickSkipped = true;
    }
    this.#sendTo(due);
  }

  /** Sends to a peer that was just linked. */
  sendFirst(peer: meshPeer.MeshPeer): void {
    this.#sendTo([peer]);
  }

  /**
   * Answers a heartbeat that a peer just sent, if this end is to answer. News
   * would wait up to 450 ms if the shortest interval held back both an answer
   * and a tick. So after either, the other one is not held back.
   */
  answer(peer: meshPeer.MeshPeer): void {
    if (peer.link.side === wire.LinkSide.Dialled) return;
    const sinceLast = common.now() - peer.heartbeatSentAt;
    if (sinceLast < MIN_ANSWER_INTERVAL_MILLISECONDS && !peer.tickSkipped) {
      peer.maySkipTick = false;
      return;
    }
    this.#sendTo([peer]);
    peer.maySkipTick = true;
  }

  #sendTo(peers: meshPeer.MeshPeer[]): void {
    if (peers.length === 0) return;
    const stamp = this.clock.recentStamp();
    // Read before the ages of the proofs: if the process is paused in between,
    // the ages of the echoes are too small, and a proof appears older than it
    // is. In the other order it would appear more recent.
    const now = common.now();
    const state = this.state();
    for (const peer of peers) {
      peer.heartbeatSentAt = now;
      peer.maySkipTick = false;
      peer.tickSkipped = false;
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
  now: number,
  { ticks, extraMilliseconds }: heartbeatInterval.HeartbeatInterval,
): boolean {
  const waited = now - peer.heartbeatSentAt;
  if (peer.maySkipTick)
    return waited >= extraMilliseconds + MIN_ANSWER_INTERVAL_MILLISECONDS;
  if (ticks === 1) return true;
  const interval = ticks * heartbeatInterval.TICK_MILLISECONDS;
  return waited >= interval - TIMER_SLACK_MILLISECONDS;
}
