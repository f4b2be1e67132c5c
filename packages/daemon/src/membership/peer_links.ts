import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";
import * as wire from "@geraniumkeel/wire";
import * as configurationHolder from "../configuration/configuration_holder.ts";
import * as entryHello from "../entry/entry_hello.ts";
import * as listenModule from "../settings/listen.ts";
import type * as settingsModule from "../settings/settings.ts";
import type * as hostView from "./host_view.ts";
import type * as memberTable from "./member_table.ts";
import * as inForceAcks from "./in_force_acks.ts";
import * as overlay from "./overlay.ts";

/**
 * Delay before the entry with the later name dials. Normally the other entry
 * has dialled by then.
 */
const SECOND_DIALLER_DELAY_MILLISECONDS = 1_500;
/** Shortest and longest pause between attempts to open a link. */
const MIN_PAUSE_MILLISECONDS = 50;
const MAX_PAUSE_MILLISECONDS = 2_000;
/** Member changes within this time are sent in one message. */
const GOSSIP_BATCH_MILLISECONDS = 10;
/** Time between comparisons of the member table with that of a random peer. */
const COMPARE_INTERVAL_MILLISECONDS = 30_000;
/** Time between checks for members that have been suspect for too long. */
const EXPIRY_CHECK_MILLISECONDS = 250;
/** Time without use after which this entry closes an on-demand link. */
const MAX_IDLE_MILLISECONDS = 60_000;

/**
 * Time after which this entry pushes the configuration again to a peer that
 * still reports an older revision.
 */
const PUSH_RETRY_MILLISECONDS = 1_000;

/** What `PeerLinks` is created with. */
export interface PeerLinksParameters {
  settings: settingsModule.EntrySettings;
  incarnation: string;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  metrics: common.Metrics;
  random: common.Random;
  members: memberTable.MemberTable;
  hosts: hostView.HostView;
  currentConfiguration: configurationHolder.ConfigurationHolder;
  certificateAuthority: string | undefined;
  /** Handles messages that belong to other modules. */
  onMessage: (host: string, link: wire.Link, message: wire.Message) => void;
  /** Called when a link to a peer is open. */
  onLinked: (host: string) => void;
}

/** An open link to another entry. */
interface Peer {
  link: wire.Link;
  incarnation: string;
  /** Highest revision that the peer is known to have or was sent. */
  revision: number;
  /** When the configuration was last pushed to the peer. */
  pushedAt: number;
}

/**
 * Links from this entry to its neighbours (see `overlay.ts`) and, on demand, to
 * any other entry. A peer is an entry that has an open link to this one. Over
 * the links, entries gossip their member tables, push the configuration, and
 * exchange the messages of other modules. Gateways use `mesh/entry_mesh.ts`
 * instead.
 */
export class PeerLinks {
  readonly #peers = new Map<string, Peer>();
  /** Dialling tasks of the neighbours, by host. */
  readonly #dialTasks = new Map<string, AbortController>();
  /** Announces that a link opened or closed. */
  readonly #linksChanged = new common.ChangeNotice();
  #linkNumber = 0;
  /** When a message or heartbeat last came from any peer. */
  lastReceivedAt = common.now();

  /** Acknowledgements of the revision in force. */
  readonly acks: inForceAcks.InForceAcks;

  constructor(readonly parameters: PeerLinksParameters) {
    this.acks = new inForceAcks.InForceAcks({
      members: parameters.members,
      linked: () => this.linked,
      send: (host, message) => this.send(host, message),
    });
  }

  /** Names of the hosts that this entry has a link to now. */
  get linked(): string[] {
    return [...this.#peers.keys()];
  }

  /** Message and byte counts over all open links. */
  get counts(): wire.LinkCounts[] {
    return [...this.#peers.values()].map(({ link }) => link.counts);
  }

  /**
   * Starts to dial neighbours, to gossip, to send acknowledgements, and to mark
   * members as departed.
   */
  start(): void {
    const { lifeCycle, members, settings } = this.parameters;
    lifeCycle.keepRunning("reconcile", (signal) => this.#reconcile(signal));
    lifeCycle.keepRunning("acknowledge", (signal) => this.acks.run(signal));
    lifeCycle.keepRunning("gossip", (signal) => this.#gossip(signal));
    lifeCycle.keepRunning("compare", (signal) =>
      this.#compareRepeatedly(signal),
    );
    lifeCycle.every(EXPIRY_CHECK_MILLISECONDS, () =>
      members.expire(settings.timing.goneAfter),
    );
  }

  /** Serves a link that a peer opened. */
  accept(link: wire.Link): void {
    this.parameters.lifeCycle.run("peer", () => this.#serve(link));
  }

  /** Sends a message to a peer; returns false if there is no link to it. */
  send(host: string, message: wire.Message): boolean {
    const peer = this.#peers.get(host);
    peer?.link.send(message);
    return peer !== undefined;
  }

  /** Sends a message to all peers but one. */
  broadcast(message: wire.Message, except?: string): void {
    for (const host of this.#peers.keys()) {
      if (host !== except) this.send(host, message);
    }
  }

  /**
   * Sends a message to any entry; opens a link on demand if there is none.
   * Returns false if the entry cannot be reached within the connect timeout.
   * Never rejects, as most callers do not wait for it.
   */
  async sendTo(host: string, message: wire.Message): Promise<boolean> {
    try {
      return (
        this.send(host, message) || (await this.#sendOnDemand(host, message))
      );
    } catch (cause) {
      const { lifeCycle } = this.parameters;
      lifeCycle.onTaskFailure(`${lifeCycle.name}/send`, cause);
      return false;
    }
  }

  async #sendOnDemand(host: string, message: wire.Message): Promise<boolean> {
    const opened = await this.#dial(host);
    if (!opened) return false;
    this.parameters.lifeCycle.run("on-demand", () => this.#serve(opened));
    await this.#linksChanged.until({
      condition: () => this.#peers.has(host),
      timeoutMilliseconds: this.parameters.settings.timing.connectTimeout,
    });
    return this.send(host, message);
  }

  /** Sends the configuration in force to every peer that lacks it. */
  pushConfiguration(): void {
    for (const host of this.#peers.keys()) this.#pushTo(host);
  }

  #pushTo(host: string): void {
    const peer = this.#peers.get(host);
    const view = this.parameters.currentConfiguration.view;
    if (!peer || !view || peer.revision >= view.head.revision) return;
    const peerRevision = peer.revision;
    // The peer has every section up to its own revision, and needs the sections
    // that changed later.
    const sections = this.parameters.currentConfiguration
      .sectionsMissingFor({})
      .filter((section) => section.revision > peerRevision);
    peer.revision = view.head.revision;
    peer.pushedAt = common.now();
    const kind = wire.MessageKind.ConfigurationPush;
    peer.link.send({ kind, head: view.head, sections });
  }

  /**
   * Starts a dialling task for each new neighbour, and stops those of former
   * ones.
   */
  async #reconcile(signal: AbortSignal): Promise<void> {
    const { members, hosts, lifeCycle } = this.parameters;
    while (!signal.aborted) {
      const wanted = this.#wantedNeighbours();
      for (const [host, task] of this.#dialTasks) {
        if (wanted.has(host)) continue;
        task.abort();
        this.#dialTasks.delete(host);
      }
      for (const host of wanted) {
        if (this.#dialTasks.has(host)) continue;
        const task = new AbortController();
        this.#dialTasks.set(host, task);
        const dialSignal = AbortSignal.any([signal, task.signal]);
        lifeCycle.keepRunning(`dial ${host}`, () =>
          this.#maintainLink(host, dialSignal),
        );
      }
      await Promise.race([
        members.changed.next(1_000, signal),
        hosts.changed.next(1_000, signal),
      ]);
    }
  }

  #wantedNeighbours(): Set<string> {
    const { members, hosts, settings } = this.parameters;
    const names = new Set(members.present.map((member) => member.host));
    for (const host of hosts.withRole(backingServices.HostRole.Entry)) {
      if (host.state === backingServices.HostState.Live) names.add(host.name);
    }
    return overlay.neighbours(settings.host, [...names]);
  }

  /**
   * Dials a neighbour whenever there is no link to it. Marks the neighbour as
   * suspect if there was no link for the time `suspectAfter` of the settings.
   */
  async #maintainLink(host: string, signal: AbortSignal): Promise<void> {
    const { settings, members, random } = this.parameters;
    const backOff = new common.BackOff({
      firstMilliseconds: MIN_PAUSE_MILLISECONDS,
      longestMilliseconds: MAX_PAUSE_MILLISECONDS,
      random,
    });
    let lastLinkedAt = common.now();
    // Both ends want the link. Without a fixed order, both would dial at the
    // same moment and replace each other's connection.
    if (settings.host > host) {
      await common.sleep(SECOND_DIALLER_DELAY_MILLISECONDS, signal);
    }
    while (!signal.aborted) {
      const peer = this.#peers.get(host);
      if (peer) {
        lastLinkedAt = common.now();
        backOff.reset();
        await this.#linksChanged.next(1_000, signal);
        continue;
      }
      const link = await this.#dial(host);
      if (signal.aborted) return link?.close();
      if (link) {
        await this.#serve(link);
        lastLinkedAt = common.now();
        continue;
      }
      const unlinkedMilliseconds = common.now() - lastLinkedAt;
      if (unlinkedMilliseconds > settings.timing.suspectAfter)
        members.suspect(host);
      await common.sleep(backOff.pause(), signal);
    }
  }

  async #dial(host: string): Promise<wire.Link | undefined> {
    const { members, hosts, settings, currentConfiguration, logger } =
      this.parameters;
    const member = members.get(host);
    const baseUrl = member?.peerUrl ?? hosts.hosts.get(host)?.linkUrl;
    if (!baseUrl) return undefined;
    const dialled = await wire.dial({
      url: listenModule.webSocketLinkUrl(baseUrl),
      key: settings.processKey,
      timing: settings.timing,
      heartbeat: () => ({
        clock: common.now(),
        revision: currentConfiguration.revision,
      }),
      certificateAuthority: this.parameters.certificateAuthority,
    });
    if (dialled.isOk()) return dialled.value;
    if (dialled.error.refused) {
      logger.event(common.EventCode.LinkRefused, { peer: host });
    }
    return undefined;
  }

  /** Serves a link until it ends, and closes it in every case. */
  async #serve(link: wire.Link): Promise<void> {
    link.closeOn(this.parameters.lifeCycle.signal);
    try {
      const hello = await this.#greet(link);
      if (hello) await this.#handleMessages(link, hello);
    } finally {
      // Also after an exception: a link that stays open without anybody who
      // reads it looks sound to both ends.
      link.close();
    }
  }

  /** Exchanges the first messages; `undefined` if the peer sent no hello. */
  async #greet(link: wire.Link): Promise<wire.Hello | undefined> {
    const { settings, currentConfiguration, incarnation } = this.parameters;
    this.#linkNumber++;
    const linkNumber = this.#linkNumber;
    const revision = currentConfiguration.revision;
    const own = { settings, incarnation, linkNumber, revision };
    link.send(entryHello.entryHello(own));
    const hello = await link.receive();
    return hello?.kind === wire.MessageKind.Hello ? hello : undefined;
  }

  async #handleMessages(link: wire.Link, hello: wire.Hello): Promise<void> {
    const { host } = hello;
    this.#peers.get(host)?.link.close(wire.LinkEnd.Replaced);
    const peer: Peer = {
      link,
      incarnation: hello.incarnation,
      revision: hello.revision,
      pushedAt: -Infinity,
    };
    this.#peers.set(host, peer);
    try {
      this.#beginPeer(link, hello);
      for await (const message of link.messages()) {
        if (link.end !== undefined) break;
        this.lastReceivedAt = common.now();
        this.#handle(host, link, message);
      }
    } finally {
      if (this.#peers.get(host) === peer) this.#peers.delete(host);
      this.#reportClosed(host, link);
      this.#linksChanged.announce();
    }
  }

  #beginPeer(link: wire.Link, hello: wire.Hello): void {
    const { members, logger } = this.parameters;
    const { host } = hello;
    this.#noteRevision(host, hello.revision);
    // Links to neighbours carry the configuration, so they always get the full
    // heartbeat rate. The many on-demand links, over which entries lend each
    // other account limits, need less.
    link.isBusy = () => this.#dialTasks.has(host);
    link.onHeartbeat = (heartbeat) =>
      this.#noteRevision(host, heartbeat.revision);
    logger.event(common.EventCode.LinkEstablished, { peer: host });
    this.#linksChanged.announce();
    // A process that just started knows no other entry, and no other entry
    // knows it, so each side sends its own record at once.
    link.send({ kind: wire.MessageKind.Members, members: [members.self] });
    this.#compareMembers(link);
    this.#pushTo(host);
    this.parameters.onLinked(host);
  }

  #reportClosed(host: string, link: wire.Link): void {
    const { logger, metrics, lifeCycle } = this.parameters;
    if (lifeCycle.closing || link.end === wire.LinkEnd.Replaced) return;
    const silent = link.end === wire.LinkEnd.Silent;
    if (silent) metrics.count(common.Metric.LinksSilent);
    const code = silent
      ? common.EventCode.LinkSilent
      : common.EventCode.LinkLost;
    logger.event(code, { peer: host, reason: link.end });
  }

  /**
   * Records the revision that a peer reports. Requests the configuration from a
   * peer that has a newer one, and pushes it to a peer that has an older one.
   */
  #noteRevision(host: string, revision: number): void {
    const { currentConfiguration } = this.parameters;
    this.lastReceivedAt = common.now();
    const peer = this.#peers.get(host);
    if (peer) peer.revision = Math.max(peer.revision, revision);
    currentConfiguration.noteRevision(revision);
    this.acks.confirm(host, revision);
    if (revision > currentConfiguration.revision) {
      const kind = wire.MessageKind.ConfigurationRequest;
      peer?.link.send({ kind, held: currentConfiguration.sectionRevisions() });
    } else if (revision < currentConfiguration.revision && peer) {
      // The peer may have sent this heartbeat before it received the last push.
      // If the heartbeat comes `PUSH_RETRY_MILLISECONDS` after the push or
      // later, the push had no effect, and this entry repeats it.
      const age = common.now() - peer.pushedAt;
      if (age > PUSH_RETRY_MILLISECONDS) peer.revision = revision;
      this.#pushTo(host);
    }
  }

  #handle(host: string, link: wire.Link, message: wire.Message): void {
    const { members, currentConfiguration } = this.parameters;
    switch (message.kind) {
      case wire.MessageKind.Members:
        for (const member of message.members) members.merge(member);
        return;
      case wire.MessageKind.MembersDigest: {
        if (message.digest === members.digest) return;
        const kind = wire.MessageKind.Members;
        return link.send({ kind, members: members.all });
      }
      case wire.MessageKind.ConfigurationPush: {
        const { head, sections } = message;
        const peer = this.#peers.get(host);
        if (peer) peer.revision = Math.max(peer.revision, head.revision);
        const outcome = currentConfiguration.adopt(head, sections);
        this.acks.confirm(host, head.revision);
        if (head.revision === currentConfiguration.revision) {
          this.acks.begin(head.revision, host);
        }
        if (outcome !== configurationHolder.AdoptOutcome.Incomplete) return;
        const kind = wire.MessageKind.ConfigurationRequest;
        return link.send({
          kind,
          held: currentConfiguration.sectionRevisions(),
        });
      }
      case wire.MessageKind.InForce:
        for (const confirmedHost of message.hosts) {
          this.acks.confirm(confirmedHost, message.revision);
        }
        return;
      case wire.MessageKind.ConfigurationRequest: {
        const { view } = currentConfiguration;
        if (!view) return;
        const sections = currentConfiguration.sectionsMissingFor(message.held);
        const kind = wire.MessageKind.ConfigurationPush;
        return link.send({ kind, head: view.head, sections });
      }
      default:
        return this.parameters.onMessage(host, link, message);
    }
  }

  /**
   * Sends a peer the digest of the member table. If the peer's digest differs,
   * the peer answers with all its records, so that this process gets records
   * that gossip missed. Sending all records in place of a digest would use a
   * tenth of a node's budget at 330 entries.
   */
  #compareMembers(link: wire.Link): void {
    const { digest } = this.parameters.members;
    link.send({ kind: wire.MessageKind.MembersDigest, digest });
  }

  async #gossip(signal: AbortSignal): Promise<void> {
    const { members } = this.parameters;
    while (!signal.aborted) {
      const changes = members.takeChanges();
      if (changes.length > 0) {
        const kind = wire.MessageKind.Members;
        for (const { link } of this.#peers.values()) {
          link.send({ kind, members: changes });
        }
      }
      await members.changed.next(1_000, signal);
      await common.sleep(GOSSIP_BATCH_MILLISECONDS, signal);
    }
  }

  async #compareRepeatedly(signal: AbortSignal): Promise<void> {
    const { random } = this.parameters;
    while (!signal.aborted) {
      await common.sleep(COMPARE_INTERVAL_MILLISECONDS, signal);
      if (this.#peers.size === 0) continue;
      this.#compareMembers(random.pick([...this.#peers.values()]).link);
      this.#closeIdle();
    }
  }

  /** Closes links to non-neighbours that have not been used recently. */
  #closeIdle(): void {
    const oldest = common.now() - MAX_IDLE_MILLISECONDS;
    for (const [host, { link }] of this.#peers) {
      if (this.#dialTasks.has(host)) continue;
      if (link.lastUsedAt < oldest) link.close();
    }
  }
}
