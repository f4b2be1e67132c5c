import type * as http from "node:http";
import type * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as listenModule from "../settings/listen.ts";
import * as duplicateLink from "./duplicate_link.ts";
import * as documentExchange from "./document_exchange.ts";
import type * as memberRows from "./member_rows.ts";
import * as meshPeer from "./mesh_peer.ts";
import * as heartbeatClockModule from "./heartbeat_clock.ts";
import * as heartbeatInterval from "./heartbeat_interval.ts";
import * as heartbeatSender from "./heartbeat_sender.ts";

/**
 * Timing of mesh links and of links between ranks (`rank_group/`), in
 * milliseconds. `heartbeat` is here the interval of the link's own heartbeats
 * (see `emptyHeartbeat`), not that of mesh heartbeats.
 */
export const LINK_TIMING: wire.LinkTiming = {
  heartbeat: 500,
  silentAfter: 1_500,
  connectTimeout: 500,
  heartbeatsOnlyInSilence: true,
};
/** Shortest and longest pause between attempts to open a link. */
const MIN_PAUSE_MILLISECONDS = 100;
const MAX_PAUSE_MILLISECONDS = 1_000;
/**
 * Time between checks that an open link is still open, in addition to the check
 * when it closes.
 */
const LINK_CHECK_MILLISECONDS = 30_000;
/**
 * Delay before an entry dials another one that has normally linked to it by
 * then. Of two entries, the one with the later name waits; without the delay
 * both would dial at the same moment. An entry that starts also waits before it
 * dials the seeds.
 */
const DIAL_DELAY_MILLISECONDS = 400;
/** Time without a message from an entry after which it counts as departed. */
const DEPARTED_AFTER_MILLISECONDS = 60_000;
/**
 * Time between checks for a new epoch of the table, in addition to the check at
 * each announcement of one.
 */
const EPOCH_CHECK_MILLISECONDS = 5_000;
/**
 * Pause before this entry repeats a failed registration or read of the rows.
 */
const REGISTER_RETRY_MILLISECONDS = 500;
/**
 * Key that a process presents when it opens a mesh link or a link between
 * ranks. The key is a constant of the program and not a secret, because the
 * settings of the hosts that use these links contain no secret. It keeps out
 * processes that connect by mistake, not attackers. Links of `membership/` and
 * `dispatch/` use the secret `processKey` of the settings instead.
 */
export const LINK_KEY = "geraniumkeel";

/** What an `EntryMesh` is created with. */
export interface EntryMeshParameters {
  self: wire.MeshMember;
  incarnation: string;
  rows: memberRows.MemberRows;
  /**
   * Addresses of entries that this one dials until it has a configuration, for
   * a start while the store is unavailable.
   */
  seeds: { address: string; port: number }[];
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  runners: traffic.ProvenValue<traffic.RunnerList>;
  evacuations: traffic.ProvenValue<traffic.EvacuationList>;
  /** Whether callers may be sent to this entry. */
  ready: () => boolean;
  /**
   * Whether the store (the table service, which contains the table) answered
   * this entry's latest call.
   */
  storeReachable: () => boolean;
  /** Requests under way from this entry, by runner. */
  outstanding: () => [string, number][];
  /**
   * Receives the requests under way from another entry, by runner; `undefined`
   * when the link to it is lost.
   */
  onOutstanding: (
    host: string,
    counts: Map<string, number> | undefined,
  ) => void;
  /**
   * Exchange of suspicions: statements that a request may have crashed its
   * runner. They are not the suspicions about members in `membership/`.
   */
  suspicions: {
    receive: (message: wire.Suspicions, host: string) => void;
    /**
     * All suspicions, for an entry that was just linked; `undefined` if none.
     */
    initialMessage: () => wire.Suspicions | undefined;
  };
  /** Exchange of what runners say about their request rate limits. */
  rateLimits: {
    receive: (message: wire.Message, host: string) => void;
    /** All limits, for an entry that was just linked; `undefined` if none. */
    initialMessage: () => wire.Message | undefined;
    onDisconnected: (host: string) => void;
  };
  /** Receives what another entry reports about its load. */
  onLoad: (message: wire.MeshLoad, host: string) => void;
  random: common.Random;
  logger: common.Logger;
  lifeCycle: common.LifeCycle;
}

/**
 * Another entry that this one knows of, linked or not. `member` is the record
 * by which entries describe an entry to each other: its name and addresses.
 */
interface KnownEntry {
  member: wire.MeshMember;
  /**
   * When this process last received a message from the entry. Before the first
   * message, when the entry became known.
   */
  lastReceivedAt: number;
  /** When the entry became known. */
  knownSince: number;
  /**
   * Since when messages came from the entry without a pause from which on it is
   * unreachable; `undefined` before the first message.
   */
  heardSince: number | undefined;
  /**
   * Revision of the entry's row; `undefined` if this process has not read the
   * row from the store.
   */
  revision: backingServices.Revision | undefined;
  /** Stops the task that dials the entry. */
  dialling: AbortController;
  /** Announces that a link to the entry opened or closed. */
  linkChanged: common.ChangeNotice;
}

/**
 * Links from this entry to all others. Over them, entries exchange whether they
 * are ready, their requests under way at runners, suspicions, and the
 * documents: the configuration, the list of runners and the list of evacuated
 * data centres (see `DocumentExchange`). An entry sends a document to a peer that
 * has an older version, and sends proofs that its own version is the newest. So
 * an entry that cannot reach the store, or that leaves reading it to others,
 * still has the newest documents.
 *
 * A known entry is one whose row this entry has read from the store, that has
 * linked to this entry, or that a peer has named. A peer is a known entry that
 * has a link to this one. Gateways use this class; other entries use
 * `membership/peer_links.ts` and `membership/member_table.ts` instead.
 */
export class EntryMesh {
  readonly #known = new Map<string, KnownEntry>();
  readonly #linked = new Map<string, meshPeer.MeshPeer>();
  /**
   * Links that are open but not used, until the other end, which dialled two,
   * closes one (see `duplicateLink.chooseLink`).
   */
  readonly #spare = new Set<meshPeer.MeshPeer>();
  readonly #heartbeatClock = new heartbeatClockModule.HeartbeatClock();
  readonly #documents: documentExchange.DocumentExchange;
  readonly #pollPreference: common.Preferred;
  readonly #heartbeats: heartbeatSender.HeartbeatSender;
  /** The interval for a number of peers; asked for at each message. */
  #interval = { peers: 0, value: new heartbeatInterval.HeartbeatInterval(0) };
  #leaving = false;
  #membersKnown = false;
  /**
   * Revision of this entry's row; `undefined` while this process does not know
   * for certain that the row was written in the current epoch of the table.
   */
  #ownRevision: backingServices.Revision | undefined;

  constructor(readonly parameters: EntryMeshParameters) {
    const heartbeatClock = this.#heartbeatClock;
    this.#pollPreference = meshPeer.pollPreference(parameters.self.host);
    this.#documents = new documentExchange.DocumentExchange({
      ...parameters,
      heartbeatClock,
    });
    this.#heartbeats = new heartbeatSender.HeartbeatSender(heartbeatClock, () =>
      this.#heartbeatState(),
    );
  }

  /** Accepts links, registers this entry, and finds and dials the others. */
  start(server: http.Server): void {
    const { lifeCycle, configuration, runners, evacuations } = this.parameters;
    const accepting = wire.acceptLinks({
      server,
      path: listenModule.LINK_PATH,
      key: LINK_KEY,
      timing: LINK_TIMING,
      heartbeat: emptyHeartbeat,
      onLink: (link) => {
        lifeCycle.run("peer", (signal) => this.#serve(link, signal));
      },
    });
    lifeCycle.own({ name: "links", close: () => accepting.close() });
    lifeCycle.every(heartbeatInterval.TICK_MILLISECONDS, () => this.#tick());
    lifeCycle.keepRunning("register", (signal) => this.#register(signal));
    lifeCycle.keepRunning("seeds", (signal) => this.#dialSeeds(signal));
    lifeCycle.keepRunning("push-configuration", (signal) =>
      this.#pushChanges(configuration.changes, signal),
    );
    lifeCycle.keepRunning("push-runners", (signal) =>
      this.#pushChanges(runners.changes, signal),
    );
    lifeCycle.keepRunning("push-evacuations", (signal) =>
      this.#pushChanges(evacuations.changes, signal),
    );
  }

  /** Entries that callers may be sent to, including this one if it is ready. */
  readyMembers(): wire.MeshMember[] {
    const { self, ready } = this.parameters;
    const members = ready() && !this.#leaving ? [self] : [];
    for (const peer of this.#linked.values()) {
      if (this.#isReachable(peer) && peer.heartbeat?.ready)
        members.push(peer.member);
    }
    return members;
  }

  /**
   * All known entries and this one, ready or not. An entry that announced that
   * it leaves is not included.
   */
  knownMembers(): wire.MeshMember[] {
    const { self } = this.parameters;
    const members = this.#leaving ? [] : [self];
    for (const { member } of this.#known.values()) members.push(member);
    return members;
  }

  /**
   * All known entries, linked or not, without this one. `beat` is the last
   * heartbeat of the entry if the entry is reachable.
   */
  known(): { member: wire.MeshMember; beat: wire.MeshHeartbeat | undefined }[] {
    return [...this.#known.values()].map(({ member }) => {
      const peer = this.#linked.get(member.host);
      const heartbeat =
        peer && this.#isReachable(peer) ? peer.heartbeat : undefined;
      return { member, beat: heartbeat };
    });
  }

  /**
   * Whether this entry was in touch with all other entries since a moment: each one
   * that was known then was heard without a break, or announced that it leaves.
   */
  heardAllSince(moment: common.Instant): boolean {
    const now = common.now();
    const from = now - common.ageOf(moment);
    return [...this.#known.values()].every((known) => {
      const { knownSince, heardSince = Infinity, lastReceivedAt } = known;
      if (knownSince > from) return true;
      const isHeard =
        now - lastReceivedAt < this.heartbeatInterval.maxAgeMilliseconds;
      return isHeard && heardSince <= from;
    });
  }

  /**
   * Whether the other entries are known: from their rows, or because one of
   * them named the others.
   */
  get membersKnown(): boolean {
    return this.#membersKnown;
  }

  /** In which intervals entries send each other heartbeats now. */
  get heartbeatInterval(): heartbeatInterval.HeartbeatInterval {
    const peers = this.#known.size;
    if (this.#interval.peers !== peers) {
      const value = new heartbeatInterval.HeartbeatInterval(peers);
      this.#interval = { peers, value };
    }
    return this.#interval.value;
  }

  /** Number of known entries, reachable or not, including this one. */
  get size(): number {
    return this.#known.size + 1;
  }

  /**
   * Position of this entry, from 0, in the order in which entries poll the
   * store: the first few poll it on behalf of all. The order contains the
   * reachable entries that reach the store, and is the same at all entries that
   * know the same ones. An entry that does not reach the store itself is not in
   * the order; its position is the number of the entries that are.
   */
  pollPosition(): number {
    const own = this.#pollPreference;
    const reachesStore = this.parameters.storeReachable();
    let position = 0;
    for (const peer of this.#linked.values()) {
      const { heartbeat } = peer;
      if (!heartbeat?.storeReachable || heartbeat.leaving) continue;
      if (!this.#isReachable(peer)) continue;
      const isBefore = common.isPreferred(peer.pollPreference, own);
      if (isBefore || !reachesStore) position++;
    }
    return position;
  }

  /** Sends a message to one peer; returns false if there is no link to it. */
  send(host: string, message: wire.Message): boolean {
    const peer = this.#linked.get(host);
    peer?.link.send(message);
    return peer !== undefined;
  }

  /** Sends a message to all peers but one. */
  broadcast(message: wire.Message, except?: string): void {
    for (const [host, peer] of this.#linked) {
      if (host !== except) peer.link.send(message);
    }
  }

  /**
   * Notifies the peers at once that this process stops, and removes this
   * entry's row from the table.
   */
  async leave(): Promise<void> {
    const { rows, self } = this.parameters;
    this.#leaving = true;
    this.#heartbeats.sendToAll(this.#linked.values());
    if (this.#ownRevision) await rows.remove(self.host, this.#ownRevision);
  }

  /**
   * The mesh's part of the state dump. `followPlace` is the position in the
   * order of polling, `silence` the milliseconds since the last heartbeat.
   */
  describe(): unknown {
    return {
      known: [...this.#known.keys()],
      peers: [...this.#linked.values()].map((peer) => ({
        host: peer.member.host,
        silence: Math.round(peer.heartbeatAge),
        beat: peer.heartbeat,
      })),
      followPlace: this.pollPosition(),
    };
  }

  #isReachable(peer: meshPeer.MeshPeer): boolean {
    return (
      peer.open && peer.heartbeatAge < this.heartbeatInterval.maxAgeMilliseconds
    );
  }

  /**
   * Writes this entry's row to the table and reads the rows of the other
   * entries: at the start, and again in each new epoch of the table. An epoch
   * begins when the table is restored from a copy, which may lack this entry's
   * row.
   */
  async #register(signal: AbortSignal): Promise<void> {
    const { rows, self } = this.parameters;
    while (!signal.aborted && !this.#leaving) {
      this.#ownRevision ??= await rows.register(self);
      const read = this.#ownRevision ? await rows.read() : undefined;
      if (read?.isErr() ?? true) {
        await common.sleep(REGISTER_RETRY_MILLISECONDS, signal);
        continue;
      }
      for (const { member, revision } of read?.unwrapOr([]) ?? []) {
        this.#noteEntry(member, revision);
      }
      this.#membersKnown = true;
      await this.#nextEpoch(signal);
      this.#ownRevision = undefined;
    }
  }

  /**
   * Resolves when the table has another epoch than the one in which this
   * entry's row was written. The revision of a row names that epoch.
   */
  async #nextEpoch(signal: AbortSignal): Promise<void> {
    const { epoch } = this.parameters.rows;
    const hasNewEpoch = () => this.#ownRevision?.epoch !== epoch.number;
    while (!signal.aborted && !hasNewEpoch()) {
      await epoch.began.next(EPOCH_CHECK_MILLISECONDS, signal);
    }
  }

  /**
   * Dials each seed until this process has a configuration. Normally this
   * process finds the other entries in the store first; a process that starts
   * while the store is unavailable finds them only through the seeds.
   */
  async #dialSeeds(signal: AbortSignal): Promise<void> {
    const { seeds, self } = this.parameters;
    const others = seeds.filter(({ address }) => address !== self.address);
    await common.sleep(DIAL_DELAY_MILLISECONDS, signal);
    while (!signal.aborted && !this.parameters.configuration.value) {
      for (const { address, port } of others) {
        const linked = [...this.#linked.values()].some(
          (peer) => peer.open && peer.member.address === address,
        );
        if (linked) continue;
        this.parameters.lifeCycle.run("seed", (seedSignal) =>
          this.#dialOnce(address, port, seedSignal),
        );
      }
      await common.sleep(MAX_PAUSE_MILLISECONDS, signal);
    }
  }

  /**
   * Adds an entry to the known ones and starts to dial it. If the entry is
   * known already, updates its record.
   */
  #noteEntry(
    member: wire.MeshMember,
    revision: backingServices.Revision | undefined,
  ): void {
    const { self, lifeCycle, logger } = this.parameters;
    if (member.host === self.host) return;
    const known = this.#known.get(member.host);
    if (known) {
      known.member = member;
      known.revision = revision ?? known.revision;
      return;
    }
    const dialling = new AbortController();
    this.#known.set(member.host, {
      member,
      lastReceivedAt: common.now(),
      knownSince: common.now(),
      heardSince: undefined,
      revision,
      dialling,
      linkChanged: new common.ChangeNotice(),
    });
    logger.event(common.EventCode.HostAppeared, { peer: member.host });
    lifeCycle.keepRunning(`dial ${member.host}`, (signal) =>
      this.#maintainLink(
        member.host,
        AbortSignal.any([signal, dialling.signal]),
      ),
    );
  }

  /**
   * Removes an entry that has departed from the known ones. The logged event is
   * the same as for a host that disappears from the platform's list.
   */
  #removeDeparted(host: string): void {
    const { logger } = this.parameters;
    const known = this.#known.get(host);
    if (!known) return;
    known.dialling.abort();
    this.#known.delete(host);
    logger.event(common.EventCode.HostDisappeared, { peer: host });
  }

  /**
   * Dials an entry whenever there is no link to it. If no message came from the
   * entry for `DEPARTED_AFTER_MILLISECONDS`, removes it from the known entries
   * and its row from the table.
   */
  async #maintainLink(host: string, signal: AbortSignal): Promise<void> {
    const { self, random, rows } = this.parameters;
    const backOff = new common.BackOff({
      firstMilliseconds: MIN_PAUSE_MILLISECONDS,
      longestMilliseconds: MAX_PAUSE_MILLISECONDS,
      random,
    });
    while (!signal.aborted) {
      const known = this.#known.get(host);
      if (!known) return;
      if (this.#linked.get(host)?.open) {
        backOff.reset();
        await known.linkChanged.next(LINK_CHECK_MILLISECONDS, signal);
        continue;
      }
      if (common.now() - known.lastReceivedAt > DEPARTED_AFTER_MILLISECONDS) {
        this.#removeDeparted(host);
        if (known.revision) await rows.remove(host, known.revision);
        return;
      }
      const pause = backOff.pause();
      const secondDiallerDelay = self.host < host ? 0 : DIAL_DELAY_MILLISECONDS;
      await common.sleep(pause + secondDiallerDelay, signal);
      if (signal.aborted || this.#linked.get(host)?.open) continue;
      const { address, linkPort } = known.member;
      await this.#dialOnce(address, linkPort, signal);
    }
  }

  async #dialOnce(
    address: string,
    port: number,
    signal: AbortSignal,
  ): Promise<void> {
    const dialled = await wire.dial({
      url: `ws://${address}:${port}${listenModule.LINK_PATH}`,
      key: LINK_KEY,
      timing: LINK_TIMING,
      heartbeat: emptyHeartbeat,
    });
    if (dialled.isOk()) await this.#serve(dialled.value, signal);
  }

  /**
   * Exchanges hello messages on a link, then handles its messages until it
   * closes.
   */
  async #serve(link: wire.Link, signal: AbortSignal): Promise<void> {
    const { self, incarnation, logger } = this.parameters;
    link.closeOn(signal);
    link.send({
      kind: wire.MessageKind.MeshHello,
      member: self,
      incarnation,
      others: this.knownMembers().filter(({ host }) => host !== self.host),
    });
    const hello = await link.receive();
    if (hello?.kind !== wire.MessageKind.MeshHello) return link.close();
    const { host } = hello.member;
    if (host === self.host) return link.close();
    const peer = new meshPeer.MeshPeer(hello.member, hello.incarnation, link);
    const earlier = this.#linked.get(host);
    const choice =
      earlier &&
      duplicateLink.chooseLink({ self: self.host, earlier, later: peer });
    switch (choice) {
      case duplicateLink.DuplicateChoice.CloseLater:
        return link.close(wire.LinkEnd.Replaced);
      case duplicateLink.DuplicateChoice.CloseEarlier:
        earlier?.link.close(wire.LinkEnd.Replaced);
        break;
      case duplicateLink.DuplicateChoice.LeaveOpen:
        if (earlier) this.#spare.add(earlier);
        break;
      case undefined:
        break;
    }
    this.#linked.set(host, peer);
    this.#noteEntry(hello.member, undefined);
    for (const other of hello.others) this.#noteEntry(other, undefined);
    this.#membersKnown = true;
    this.#known.get(host)?.linkChanged.announce();
    logger.event(common.EventCode.LinkEstablished, { peer: host });
    try {
      this.#sendInitial(peer);
      await link.handleMessages((message) => this.#receive(peer, message));
    } finally {
      // Also after a message that could not be handled.
      link.close();
      logger.event(common.EventCode.LinkLost, { peer: host, end: link.end });
      this.#spare.delete(peer);
      if (this.#linked.get(host) === peer) this.#replaceLost(peer);
      this.#known.get(host)?.linkChanged.announce();
    }
  }

  /** Uses another open link to an entry whose link was lost, if there is one. */
  #replaceLost(lost: meshPeer.MeshPeer): void {
    const { host } = lost.member;
    const spare = [...this.#spare].findLast(
      (peer) =>
        peer.open &&
        peer.member.host === host &&
        peer.incarnation === lost.incarnation,
    );
    if (spare) {
      this.#spare.delete(spare);
      this.#linked.set(host, spare);
      // What was sent on the lost link may not have arrived.
      this.#sendInitial(spare);
      return;
    }
    this.#linked.delete(host);
    this.parameters.onOutstanding(host, undefined);
    this.parameters.rateLimits.onDisconnected(host);
  }

  /** Sends the state of this entry on a link that comes into use. */
  #sendInitial(peer: meshPeer.MeshPeer): void {
    this.#heartbeats.sendFirst(peer);
    const suspicions = this.parameters.suspicions.initialMessage();
    if (suspicions) peer.link.send(suspicions);
    const rateLimits = this.parameters.rateLimits.initialMessage();
    if (rateLimits) peer.link.send(rateLimits);
  }

  #receive(peer: meshPeer.MeshPeer, message: wire.Message): void {
    const { onOutstanding } = this.parameters;
    const known = this.#known.get(peer.member.host);
    if (known) noteReceipt(known, this.heartbeatInterval.maxAgeMilliseconds);
    switch (message.kind) {
      case wire.MessageKind.MeshHeartbeat: {
        peer.receive(message);
        this.#noteEpoch(message.tableEpoch);
        onOutstanding(peer.member.host, new Map(message.outstanding));
        this.#documents.receiveProofs(message);
        this.#documents.pushNewer(peer);
        this.#heartbeats.answer(peer);
        if (message.leaving) this.#removeDeparted(peer.member.host);
        return;
      }
      case wire.MessageKind.MeshConfiguration:
      case wire.MessageKind.MeshRunners:
      case wire.MessageKind.MeshEvacuations:
        return this.#documents.receive(message, peer);
      case wire.MessageKind.MeshLoad:
        return this.parameters.onLoad(message, peer.member.host);
      case wire.MessageKind.Suspicions:
        return this.parameters.suspicions.receive(message, peer.member.host);
      case wire.MessageKind.RateLimitReports:
      case wire.MessageKind.RateLimitRequest:
      case wire.MessageKind.RateLimitAnswer:
        return this.parameters.rateLimits.receive(message, peer.member.host);
      default:
        // No entry sends any other kind of message on a mesh link, and both
        // ends run the same program, so the peer is faulty. Its link is closed.
        peer.link.close(wire.LinkEnd.Unreadable);
    }
  }

  /**
   * Applies the epoch of the table that a peer reports, if it is higher than
   * the one known here. Only a few entries poll the store. The others learn
   * from the heartbeats of these that the table was restored from a copy.
   */
  #noteEpoch(reportedEpoch: number): void {
    const { epoch } = this.parameters.rows;
    if (reportedEpoch > epoch.number)
      epoch.note(String(reportedEpoch), common.now());
  }

  /** Pushes a document to the peers that lack it as soon as it changes here. */
  async #pushChanges(
    changes: common.ChangeNotice,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await changes.next(MAX_PAUSE_MILLISECONDS, signal);
      for (const peer of this.#linked.values()) {
        this.#documents.pushNewer(peer);
      }
    }
  }

  #tick(): void {
    this.#heartbeats.tick(this.#linked.values(), this.heartbeatInterval);
    for (const peer of this.#linked.values()) peer.tick();
    // Closes a spare link that the other end has neither closed nor used.
    for (const peer of this.#spare) peer.tick();
  }

  #heartbeatState(): heartbeatSender.HeartbeatState {
    const { ready, storeReachable, rows, outstanding } = this.parameters;
    return {
      ready: ready() && !this.#leaving,
      leaving: this.#leaving,
      storeReachable: storeReachable(),
      tableEpoch: rows.epoch.number,
      ...this.#documents.proofs(),
      outstanding: outstanding(),
    };
  }
}

/**
 * Notes that a message came from an entry, which is unreachable after `maxSilence`
 * milliseconds without one.
 */
function noteReceipt(known: KnownEntry, maxSilence: number): void {
  const now = common.now();
  const silence = now - known.lastReceivedAt;
  const isBreak = silence >= maxSilence;
  if (isBreak || known.heardSince === undefined) known.heardSince = now;
  known.lastReceivedAt = now;
}

/**
 * Content of the link's own heartbeats on mesh links and on links between
 * ranks. They only show that the link works: other messages on these links
 * carry all state, so the two fields, which the link protocol requires, are 0
 * and unused.
 */
export function emptyHeartbeat(): { clock: number; revision: number } {
  return { clock: 0, revision: 0 };
}
