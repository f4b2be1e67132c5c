import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as listenModule from "../settings/listen.ts";
import * as groupLeader from "./group_leader.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as rankMember from "./rank_member.ts";
import * as rankPort from "./rank_port.ts";

/** Time between two beats of a leader, in milliseconds. */
const LEADER_BEAT_MILLISECONDS = 200;
/**
 * Silence of a leader after which a rank takes its place: over three beats, and more
 * the higher the rank, so that one of them does.
 */
const LEADERLESS_MILLISECONDS = 700;
const LEADERLESS_STAGGER_MILLISECONDS = 250;
/** How often it is looked whether there is a leader. */
const LOOK_MILLISECONDS = 50;
/** Longest time that a stopping process waits for its switch to end. */
const DRAIN_MILLISECONDS = 3_000;
const DRAIN_LOOK_MILLISECONDS = 20;
/** Pause between attempts to link with the ranks that are missing. */
const RELINK_MILLISECONDS = 300;
/** Tokens are times: a process that starts anew goes on above its last one. */
const TOKENS_PER_MILLISECOND = 64;
const LINK_TIMING: wire.LinkTiming = {
  heartbeat: 500,
  silentAfter: 1_500,
  connectTimeout: 400,
};

/** How long a process of another group is left alone before it is asked again. */
const FOREIGN_MILLISECONDS = 5_000;

/** How long a new leader goes by what the last one knew. */
const KNOWLEDGE_MILLISECONDS = 2_000;

/** What the process beside a rank needs. */
export interface RankProcessParameters {
  host: string;
  service: string;
  engine: rankEngine.RankEngine;
  /** Engine of another runner, for while the process beside it is away. */
  engineAt: (runner: traffic.RunnerEntry) => rankEngine.RankEngine;
  /** Port on which all these processes accept links. */
  linkPort: number;
  configurationSource: traffic.DocumentSource<traffic.TrafficConfiguration>;
  runnerSource: traffic.DocumentSource<traffic.RunnerList>;
  logger: common.Logger;
  lifeCycle: common.LifeCycle;
}

/** A leadership under way. */
interface Term {
  token: number;
  startedAt: number;
  identity: wire.RankIdentity;
  ended: AbortController;
  ports: Map<number, rankPort.LinkedRank>;
  /** Runner of each rank that is known, but the own. */
  runners: Map<number, traffic.RunnerEntry>;
  links: Set<wire.Link>;
  leader: groupLeader.GroupLeader | undefined;
}

/**
 * The process beside one rank. It reads its engine, tells the group's leader, and
 * carries out the leader's orders. When no leader is heard it leads itself; that
 * there is one leader at a time is likely, and safety does not rest on it.
 */
export class RankProcess {
  readonly #member: rankMember.RankMember;
  #leaderHeardAt = common.now();
  /** Link to the leader that is followed. */
  #leaderLink: wire.Link | undefined;
  #term: Term | undefined;
  #stopping = false;
  /**
   * What the last leader knew. A leader that dies may leave a pass held; were its
   * successor to ask the store first, the group would stand still for as long as
   * the store is away.
   */
  #knowledge: wire.GroupKnowledge | undefined;

  constructor(readonly parameters: RankProcessParameters) {
    this.#member = new rankMember.RankMember(parameters.engine);
  }

  /** Starts reading the engine, accepting links, and looking for a leader. */
  start(linkServer: http.Server): void {
    const { lifeCycle } = this.parameters;
    const accepting = wire.acceptLinks({
      server: linkServer,
      path: listenModule.LINK_PATH,
      key: entryMesh.LINK_WORD,
      timing: LINK_TIMING,
      heartbeat: entryMesh.noHeartbeat,
      onLink: (link) =>
        lifeCycle.run("accepted", (signal) => this.#serve(link, signal)),
    });
    lifeCycle.own({ name: "links", close: () => accepting.close() });
    lifeCycle.run("watch", (signal) => this.#member.watch(signal));
    lifeCycle.run("tell", (signal) => this.#tellLeader(signal));
    lifeCycle.run("lead", (signal) => this.#leadWhenAlone(signal));
  }

  /**
   * Leads no more, and resolves when the switch under way has ended: left halfway
   * it would hold the group until another rank has taken over.
   */
  async drain(): Promise<void> {
    this.#stopping = true;
    const deadline = common.now() + DRAIN_MILLISECONDS;
    while (this.#term?.leader?.switching && common.now() < deadline) {
      await common.sleep(DRAIN_LOOK_MILLISECONDS);
    }
    this.#endTerm("stopping");
  }

  /** The state dump. */
  describe(): unknown {
    return {
      identity: this.#member.identity,
      status: this.#member.status,
      token: this.#member.token,
      leads: this.#term !== undefined,
      leaderSilence: common.now() - this.#leaderHeardAt,
    };
  }

  /** Follows the leader at the far end of a link. */
  async #serve(link: wire.Link, signal: AbortSignal): Promise<void> {
    link.closeOn(signal);
    link.send(this.#hello());
    for await (const message of link.messages()) {
      switch (message.kind) {
        case wire.MessageKind.RankHello:
          break;
        case wire.MessageKind.LeaderBeat:
          this.#followLeader(link, message);
          break;
        case wire.MessageKind.RankCommand:
          void this.#obey(link, message);
          break;
        case wire.MessageKind.RankListsRequest:
          void this.#tellLists(link, message.question);
          break;
        case wire.MessageKind.GroupKnowledge:
          this.#knowledge = message;
          break;
        default:
          link.close(wire.LinkEnd.Unreadable);
      }
    }
  }

  #hello(): wire.RankHello {
    return {
      kind: wire.MessageKind.RankHello,
      host: this.parameters.host,
      identity: this.#member.identity,
      token: this.#member.token,
    };
  }

  #followLeader(link: wire.Link, beat: wire.LeaderBeat): void {
    if (beat.group !== this.#member.identity?.group) return;
    const own = this.#term?.token ?? -1;
    // A leader is linked with itself too.
    if (beat.token === own) return;
    if (beat.token < Math.max(own, this.#member.token)) {
      // Tells an old leader, by the token, that there is a newer one.
      link.send(this.#hello());
      return;
    }
    if (this.#term && beat.token > own) this.#endTerm("a newer leader");
    this.#member.heed(beat.token);
    this.#leaderHeardAt = common.now();
    this.#leaderLink = link;
  }

  async #obey(link: wire.Link, command: wire.RankCommand): Promise<void> {
    const outcome = await this.#member.execute(command);
    const { question } = command;
    const { token } = this.#member;
    const kind = wire.MessageKind.RankReply;
    link.send({ kind, question, token, ...outcome });
  }

  async #tellLists(link: wire.Link, question: number): Promise<void> {
    const read = await this.parameters.engine.lists();
    const lists = read.isOk() ? read.value : undefined;
    link.send({ kind: wire.MessageKind.RankListsAnswer, question, lists });
  }

  /** Tells the leader each time the engine was read. */
  async #tellLeader(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#member.changed.next(LEADERLESS_MILLISECONDS, signal);
      const { identity, status } = this.#member;
      if (!identity || !status) continue;
      if (this.#term) {
        const { leader, ports } = this.#term;
        ports.get(identity.rank)?.hear(status);
        leader?.count(this.#member.takeChosen());
        continue;
      }
      if (this.#leaderLink?.end !== undefined) continue;
      this.#leaderLink?.send({
        kind: wire.MessageKind.RankBeat,
        token: this.#member.token,
        identity,
        status,
        chosen: this.#member.takeChosen(),
      });
    }
  }

  async #leadWhenAlone(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { identity } = this.#member;
      if (!identity || this.#stopping) {
        this.#leaderHeardAt = common.now();
        await common.sleep(LOOK_MILLISECONDS, signal);
        continue;
      }
      const patience =
        LEADERLESS_MILLISECONDS +
        identity.rank * LEADERLESS_STAGGER_MILLISECONDS;
      const silence = common.now() - this.#leaderHeardAt;
      if (silence < patience) {
        const pause = Math.max(LOOK_MILLISECONDS, patience - silence);
        await common.sleep(pause, signal);
        continue;
      }
      await this.#lead(identity, signal);
      this.#leaderHeardAt = this.#formedAnewSince(identity)
        ? -Infinity
        : common.now();
    }
  }

  /**
   * Whether the group that this process led was formed anew, and nobody else has
   * taken the lead. It begins with its first map, under which the slowest rank has
   * almost three times the mean, while a backlog waits: that there is no leader is
   * certain, and a silence of 0.7 s need not show it first.
   */
  #formedAnewSince(led: wire.RankIdentity): boolean {
    if (this.#leaderLink) return false;
    return this.#member.identity?.epoch !== led.epoch;
  }

  /** Leads the group as long as it stays as it is and nobody else does. */
  async #lead(identity: wire.RankIdentity, signal: AbortSignal): Promise<void> {
    const { logger } = this.parameters;
    const token = Math.max(
      Math.floor(Date.now()) * TOKENS_PER_MILLISECOND + identity.rank,
      this.#member.token + TOKENS_PER_MILLISECOND,
    );
    this.#member.heed(token);
    const ended = new AbortController();
    const term: Term = {
      token,
      startedAt: common.now(),
      identity,
      ended,
      ports: new Map(),
      runners: new Map(),
      links: new Set(),
      leader: undefined,
    };
    this.#term = term;
    this.#leaderLink = undefined;
    const { group, epoch, rank } = identity;
    const code = common.EventCode.CoordinatorChanged;
    logger.event(code, { group, epoch, rank, token, leads: true });
    const both = AbortSignal.any([signal, ended.signal]);
    try {
      await this.#runTerm(term, both);
    } finally {
      if (this.#term === term) this.#endTerm("over");
    }
  }

  #endTerm(reason: string): void {
    const term = this.#term;
    if (!term) return;
    this.#term = undefined;
    term.ended.abort();
    const { group, epoch } = term.identity;
    const code = common.EventCode.CoordinatorChanged;
    this.parameters.logger.event(code, { group, epoch, leads: false, reason });
  }

  async #runTerm(term: Term, signal: AbortSignal): Promise<void> {
    const { lifeCycle, logger } = this.parameters;
    lifeCycle.run("links to ranks", () => this.#keepLinks(term, signal));
    const { group, size, rank, epoch } = term.identity;
    while (!signal.aborted && term.ports.size < size) {
      if (this.#member.identity?.epoch !== epoch) return;
      await common.sleep(LOOK_MILLISECONDS, signal);
    }
    const shape = this.#knowledge?.shape ?? (await this.#readShape(signal));
    const own = term.ports.get(rank);
    if (!shape || !own || signal.aborted) return;
    const runners = [...term.runners.entries()].sort(([a], [b]) => a - b);
    this.#knowledge = {
      kind: wire.MessageKind.GroupKnowledge,
      group,
      runners: runners.map(([, runner]) => runner),
      shape,
    };
    for (const link of term.links) link.send(this.#knowledge);
    term.leader = new groupLeader.GroupLeader({
      identity: term.identity,
      ports: [...term.ports.values()].sort((a, b) => a.rank - b.rank),
      own,
      shape,
      valid: () =>
        !term.ended.signal.aborted &&
        this.#member.identity?.epoch === epoch &&
        this.#member.token === term.token,
      onSuperseded: (detail) => this.#endTerm(detail),
      logger,
    });
    await term.leader.lead(signal);
  }

  async #readShape(
    signal: AbortSignal,
  ): Promise<traffic.EngineShape | undefined> {
    const { configurationSource, service } = this.parameters;
    while (!signal.aborted) {
      const read = await configurationSource.next(0);
      const services = read.isOk() ? read.value.value?.services : undefined;
      const found = services?.find(({ name }) => name === service);
      if (found?.engine) return found.engine;
      await common.sleep(RELINK_MILLISECONDS, signal);
    }
    return undefined;
  }

  /** Links with all ranks of the group, and tells them who leads. */
  async #keepLinks(term: Term, signal: AbortSignal): Promise<void> {
    const { parameters } = this;
    const { group, epoch, rank, size } = term.identity;
    const leadership = () => ({ token: term.token, epoch });
    term.ports.set(
      rank,
      new OwnRank(rank, parameters.engine, leadership, this.#member),
    );
    const linked = new Map<string, AbortController>();
    const kind = wire.MessageKind.LeaderBeat;
    const { links } = term;
    const beat = setInterval(() => {
      for (const link of links) {
        link.send({ kind, token: term.token, group, epoch });
      }
    }, LEADER_BEAT_MILLISECONDS);
    try {
      while (!signal.aborted) {
        const missing = linked.size < size - 1 || term.ports.size < size;
        if (missing) await this.#linkMissing(term, linked, links, signal);
        await common.sleep(RELINK_MILLISECONDS, signal);
      }
    } finally {
      clearInterval(beat);
      for (const link of links) link.close();
    }
  }

  async #linkMissing(
    term: Term,
    linked: Map<string, AbortController>,
    links: Set<wire.Link>,
    signal: AbortSignal,
  ): Promise<void> {
    const { service, lifeCycle } = this.parameters;
    for (const runner of await this.#possibleRunners(term)) {
      if (runner.service !== service) continue;
      if (linked.has(runner.address)) continue;
      linked.set(runner.address, new AbortController());
      lifeCycle.run("rank", async () => {
        await this.#serveRank(term, runner, links, signal);
        linked.delete(runner.address);
      });
    }
  }

  /** Runners that may be of the group: as the last leader knew, or all listed. */
  async #possibleRunners(term: Term): Promise<traffic.RunnerEntry[]> {
    const known = this.#knowledge;
    const fresh = common.now() - term.startedAt < KNOWLEDGE_MILLISECONDS;
    if (known?.group === term.identity.group && fresh) return known.runners;
    const read = await this.parameters.runnerSource.next(0);
    return read.isOk() ? (read.value.value?.runners ?? []) : [];
  }

  /** Links with the process beside a runner for as long as it lasts. */
  async #serveRank(
    term: Term,
    runner: traffic.RunnerEntry,
    links: Set<wire.Link>,
    signal: AbortSignal,
  ): Promise<void> {
    const { linkPort } = this.parameters;
    const { group, epoch } = term.identity;
    const dialled = await wire.dial({
      url: `ws://${runner.address}:${linkPort}${listenModule.LINK_PATH}`,
      key: entryMesh.LINK_WORD,
      timing: LINK_TIMING,
      heartbeat: entryMesh.noHeartbeat,
    });
    if (dialled.isErr()) {
      await this.#identify(term, runner);
      return common.sleep(RELINK_MILLISECONDS, signal);
    }
    const link = dialled.value;
    link.closeOn(signal);
    link.send(this.#hello());
    for await (const message of link.messages()) {
      switch (message.kind) {
        case wire.MessageKind.RankHello: {
          if (message.token > term.token) {
            this.#member.heed(message.token);
            this.#endTerm("a higher token is known");
            return link.close();
          }
          const { identity } = message;
          if (identity?.group !== group) {
            // Of another group: its own leader links with it.
            if (identity) await common.sleep(FOREIGN_MILLISECONDS, signal);
            return link.close();
          }
          this.#portOf(term, runner, identity.rank).attach(link);
          links.add(link);
          const kind = wire.MessageKind.LeaderBeat;
          link.send({ kind, token: term.token, group, epoch });
          if (term.leader && this.#knowledge) link.send(this.#knowledge);
          break;
        }
        case wire.MessageKind.RankBeat: {
          const { rank } = message.identity;
          const port = this.#portOf(term, runner, rank);
          port.hear(message.status);
          term.leader?.count(message.chosen);
          break;
        }
        case wire.MessageKind.RankReply:
        case wire.MessageKind.RankListsAnswer:
          for (const port of term.ports.values()) port.receive(message, link);
          break;
        default:
          link.close(wire.LinkEnd.Unreadable);
      }
    }
    links.delete(link);
  }

  /** Learns from the engine itself which rank a runner is. */
  async #identify(term: Term, runner: traffic.RunnerEntry): Promise<void> {
    const report = await this.parameters.engineAt(runner).report();
    if (report.isErr()) return;
    const { identity, status } = report.value;
    if (identity.group !== term.identity.group) return;
    this.#portOf(term, runner, identity.rank).hear(status);
  }

  #portOf(
    term: Term,
    runner: traffic.RunnerEntry,
    rank: number,
  ): rankPort.LinkedRank {
    term.runners.set(rank, runner);
    const known = term.ports.get(rank);
    if (known) return known;
    const { epoch } = term.identity;
    const created = new rankPort.LinkedRank(
      rank,
      this.parameters.engineAt(runner),
      () => ({ token: term.token, epoch }),
    );
    term.ports.set(rank, created);
    return created;
  }
}

/** The rank beside the leader: its orders go through the process's own queue. */
class OwnRank extends rankPort.LinkedRank {
  constructor(
    rank: number,
    engine: rankEngine.RankEngine,
    leadership: () => rankPort.Leadership,
    readonly member: rankMember.RankMember,
  ) {
    super(rank, engine, leadership);
  }

  /** Gives an order and tells how it ended. */
  override async order(order: wire.RankOrder): Promise<wire.RankReply> {
    const leadership = this.leadership();
    const outcome = await this.member.execute({ ...leadership, order });
    if (outcome.status) this.hear(outcome.status);
    const kind = wire.MessageKind.RankReply;
    return { kind, question: 0, token: this.member.token, ...outcome };
  }
}
