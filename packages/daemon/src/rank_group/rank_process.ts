import * as events from "node:events";
import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as listenModule from "../settings/listen.ts";
import * as demandModule from "./demand.ts";
import * as groupLeader from "./group_leader.ts";
import * as leaderFollower from "./leader_follower.ts";
import * as ownRank from "./own_rank.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as rankMember from "./rank_member.ts";
import * as rankLinks from "./rank_links.ts";
import * as readingPlan from "./reading_plan.ts";
import * as readGroupModel from "./read_group_model.ts";

/**
 * Time since the last heartbeat of the leader after which a rank takes over:
 * more than three heartbeat intervals. The time grows with the number of the
 * rank, so that ranks do not take over at the same moment.
 */
const LEADER_TIMEOUT_MILLISECONDS = 700;
const TIMEOUT_STAGGER_MILLISECONDS = 250;
/**
 * The same timeout for a rank that holds an iteration, since the group is about
 * to stall: one and a half heartbeat intervals. A switch holds an iteration for
 * some 50 ms. A leader that is replaced too early loses only that switch.
 */
const HOLDER_LEADER_TIMEOUT_MILLISECONDS = 300;
/**
 * The same timeout after a rank reported a newer leader. A process that resumes
 * after a freeze is linked again within a second; if it took the lead back in
 * that time, it would undo the switch that its successor has begun. If the
 * successor fails, other ranks take over sooner.
 */
const SUPERSEDED_LEADER_TIMEOUT_MILLISECONDS = 2_000;
/** Interval at which the process checks whether there is a leader. */
const POLL_MILLISECONDS = 50;
/** How long a process that stops waits for its switch to finish. */
const DRAIN_TIMEOUT_MILLISECONDS = 3_000;
const DRAIN_POLL_MILLISECONDS = 20;
/**
 * Up to this age, demand from an earlier term is used for planning. A group is
 * re-formed within two to three seconds, and the popular experts change every
 * few seconds.
 */
const MAX_DEMAND_AGE_MILLISECONDS = 5_000;
/**
 * Fencing tokens are derived from the time, so that a restarted process uses
 * higher ones than before. Each rank adds its number to its tokens.
 */
const TOKENS_PER_MILLISECOND = 64;

/** What the process beside a rank needs. */
export interface RankProcessParameters {
  host: string;
  service: string;
  engine: rankEngine.RankEngine;
  /**
   * Reads the state of the same engine all the time. No order is based on it alone:
   * an order reads the state anew, through `engine`.
   */
  reader: rankEngine.StateReader;
  /**
   * Connects to the engine of another runner directly, for the time in which
   * the process beside that runner is away.
   */
  engineAt: (runner: traffic.RunnerEntry) => rankEngine.RankEngine;
  /** Port on which all processes beside ranks accept links. */
  linkPort: number;
  /** Bytes per second that the network link of this host carries. */
  linkBytesPerSecond: number;
  configurationSource: traffic.DocumentSource<traffic.TrafficConfiguration>;
  runnerSource: traffic.DocumentSource<traffic.RunnerList>;
  logger: common.Logger;
  lifeCycle: common.LifeCycle;
}

/** A term of this process as leader. */
interface Term {
  token: number;
  identity: wire.RankIdentity;
  /** Aborts when the term ends. */
  ended: AbortController;
  links: rankLinks.RankLinks;
  leader: groupLeader.GroupLeader | undefined;
}

/**
 * The process beside one rank of a group. It reads the state of its engine,
 * reports it to the group's leader, and carries out the leader's orders. If no
 * leader sends heartbeats, it becomes the leader itself. Normally there is one
 * leader at a time, but safety does not depend on that (see `switchGroup` and
 * `recoverSwitch`).
 */
export class RankProcess {
  readonly #member: rankMember.RankMember;
  readonly #follower: leaderFollower.LeaderFollower;
  #term: Term | undefined;
  #stopping = false;
  /**
   * When a rank last reported that another process leads with a higher fencing
   * token.
   */
  #supersededAt = -Infinity;
  /** Demand as counted in the latest term of this process. */
  #demand: demandModule.Demand | undefined;

  constructor(readonly parameters: RankProcessParameters) {
    this.#member = new rankMember.RankMember(
      parameters.engine,
      () => this.#role(),
      parameters.reader,
    );
    this.#follower = new leaderFollower.LeaderFollower({
      ...parameters,
      member: this.#member,
      ownToken: () => this.#term?.token ?? -1,
      onNewerLeader: () => this.#endTerm("a newer leader sent a heartbeat"),
    });
  }

  /** Starts to read the engine, to accept links and to watch for a leader. */
  start(linkServer: http.Server): void {
    const { lifeCycle } = this.parameters;
    const accepting = wire.acceptLinks({
      server: linkServer,
      path: listenModule.LINK_PATH,
      key: entryMesh.LINK_KEY,
      timing: entryMesh.LINK_TIMING,
      heartbeat: entryMesh.emptyHeartbeat,
      onLink: (link) =>
        lifeCycle.run("accepted", (signal) =>
          this.#follower.serve(link, signal),
        ),
    });
    lifeCycle.own({ name: "links", close: () => accepting.close() });
    lifeCycle.keepRunning("watch", (signal) => this.#member.watch(signal));
    lifeCycle.keepRunning("tell", (signal) => this.#reportToLeader(signal));
    lifeCycle.keepRunning("lead", (signal) => this.#leadWhenLeaderless(signal));
  }

  /**
   * Stops leading. Resolves when the switch in progress is complete, or after
   * the time limit: if the process stopped in the middle of a switch, the group
   * would stand still until another rank has taken over.
   */
  async drain(): Promise<void> {
    this.#stopping = true;
    const deadline = common.now() + DRAIN_TIMEOUT_MILLISECONDS;
    while (this.#term?.leader?.switching && common.now() < deadline) {
      await common.sleep(DRAIN_POLL_MILLISECONDS);
    }
    this.#endTerm("stopping");
  }

  /** State of this process for the state dump. */
  describe(): unknown {
    return {
      identity: this.#member.identity,
      status: this.#member.status,
      token: this.#member.token,
      leads: this.#term !== undefined,
      leaderSilence: common.now() - this.#follower.lastHeartbeatAt,
    };
  }

  /** The role of this process in its group. */
  #role(): readingPlan.GroupRole {
    const { leader } = this.#term ?? {};
    if (leader?.switching) return readingPlan.GroupRole.Switching;
    if (this.#term) return readingPlan.GroupRole.Leader;
    const sinceHeartbeat = common.now() - this.#follower.lastHeartbeatAt;
    const isLed =
      this.#follower.follows && sinceHeartbeat < LEADER_TIMEOUT_MILLISECONDS;
    return isLed
      ? readingPlan.GroupRole.Follower
      : readingPlan.GroupRole.Leaderless;
  }

  /**
   * Reports the state of the engine and its activations to the leader after
   * each reading.
   */
  async #reportToLeader(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#member.changed.next(LEADER_TIMEOUT_MILLISECONDS, signal);
      const { identity, status } = this.#member;
      if (!identity || !status) continue;
      if (this.#term) {
        const { leader, links } = this.#term;
        links.handles.get(identity.rank)?.updateStatus(status);
        leader?.addCounts(identity.rank, this.#member.takeCounts());
        continue;
      }
      this.#follower.report();
    }
  }

  /** Takes over the lead each time the group has no leader. */
  async #leadWhenLeaderless(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { identity } = this.#member;
      if (!identity || this.#stopping) {
        this.#follower.lastHeartbeatAt = common.now();
        await common.sleep(POLL_MILLISECONDS, signal);
        continue;
      }
      const sinceHeartbeat = common.now() - this.#follower.lastHeartbeatAt;
      const timeout = this.#leaderTimeout(identity);
      if (sinceHeartbeat < timeout) {
        const pause = Math.max(POLL_MILLISECONDS, timeout - sinceHeartbeat);
        await this.#member.changed.next(pause, signal);
        continue;
      }
      try {
        await this.#lead(identity, signal);
      } catch (cause) {
        this.#leaveLeadToOthers();
        throw cause;
      }
      this.#follower.lastHeartbeatAt = this.#isReformedSince(identity)
        ? -Infinity
        : common.now();
    }
  }

  /**
   * Lets another rank lead after a term failed: what it failed on may be known to
   * this process alone, and it would lead, and fail, again and again.
   */
  #leaveLeadToOthers(): void {
    this.#supersededAt = common.now();
    this.#follower.lastHeartbeatAt = common.now();
    this.#follower.knowledge = undefined;
  }

  /**
   * Time since the leader's last heartbeat after which this process takes over,
   * in milliseconds.
   */
  #leaderTimeout({ rank }: wire.RankIdentity): number {
    const isHolding = (this.#member.status?.heldStep ?? -1) >= 0;
    if (isHolding) return HOLDER_LEADER_TIMEOUT_MILLISECONDS;
    const sinceSuperseded = common.now() - this.#supersededAt;
    if (sinceSuperseded < SUPERSEDED_LEADER_TIMEOUT_MILLISECONDS)
      return SUPERSEDED_LEADER_TIMEOUT_MILLISECONDS;
    return LEADER_TIMEOUT_MILLISECONDS + rank * TIMEOUT_STAGGER_MILLISECONDS;
  }

  /**
   * Whether the group that this process led was re-formed and no other process
   * leads it yet. Then there is certainly no leader, and this process leads at
   * once instead of waiting 0.7 s for a heartbeat. A re-formed group uses its
   * first map, under which the slowest rank takes almost three times the mean,
   * while a backlog of requests waits.
   */
  #isReformedSince(led: wire.RankIdentity): boolean {
    if (this.#follower.follows) return false;
    return this.#member.identity?.epoch !== led.epoch;
  }

  /**
   * Leads the group for one term: until its epoch changes or another process
   * leads.
   */
  async #lead(identity: wire.RankIdentity, signal: AbortSignal): Promise<void> {
    const { logger } = this.parameters;
    const token = Math.max(
      Math.floor(Date.now()) * TOKENS_PER_MILLISECOND + identity.rank,
      this.#member.token + TOKENS_PER_MILLISECOND,
    );
    this.#member.acceptToken(token);
    const ended = new AbortController();
    const links = this.#newLinks(token, identity);
    const term: Term = { token, identity, ended, links, leader: undefined };
    this.#term = term;
    this.#follower.stopFollowing();
    const { group, epoch, rank } = identity;
    const code = common.EventCode.CoordinatorChanged;
    logger.event(code, { group, epoch, rank, token, leads: true });
    const termSignal = AbortSignal.any([signal, ended.signal]);
    // Each link to a rank adds a listener to this signal, which would exceed
    // the default limit of listeners.
    events.EventEmitter.setMaxListeners(0, termSignal);
    try {
      await this.#runTerm(term, termSignal);
    } finally {
      if (this.#term === term) this.#endTerm("the term is over");
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

  /**
   * Links with all ranks, reads the group's model, and runs the leader until
   * the term ends.
   */
  async #runTerm(term: Term, signal: AbortSignal): Promise<void> {
    const { lifeCycle, logger } = this.parameters;
    const { links } = term;
    const { group, size, epoch } = term.identity;
    lifeCycle.keepRunning("links to ranks", () => links.maintain(signal));
    while (!signal.aborted && links.handles.size < size) {
      if (this.#member.identity?.epoch !== epoch) return;
      await common.sleep(POLL_MILLISECONDS, signal);
    }
    const model =
      this.#follower.knowledge?.model ??
      (await readGroupModel.readGroupModel({ ...this.parameters, signal }));
    if (!model || signal.aborted) return;
    const { layers, expertsPerLayer } = model.shape;
    links.countsPerReading = layers * expertsPerLayer;
    const kind = wire.MessageKind.GroupKnowledge;
    const { runners } = links;
    const knowledge = { kind, group, epoch, runners, model } as const;
    this.#follower.knowledge = knowledge;
    links.shareKnowledge(knowledge);
    term.leader = new groupLeader.GroupLeader({
      identity: term.identity,
      handles: [...links.handles.values()].sort((a, b) => a.rank - b.rank),
      own: links.parameters.ownHandle,
      ...model,
      demand: this.#demandFor(model.shape),
      linkBytesPerSecond: this.parameters.linkBytesPerSecond,
      valid: () =>
        !term.ended.signal.aborted &&
        this.#member.identity?.epoch === epoch &&
        this.#member.token === term.token,
      onSuperseded: (detail) => this.#endTerm(detail),
      announceHold: (holder, step) => {
        const kind = wire.MessageKind.HoldNotice;
        const leader = term.identity.rank;
        const notice = { kind, group, epoch, leader, holder, step } as const;
        this.#follower.recordHoldNotice(notice);
        links.broadcast(notice);
      },
      holdNotices: () => this.#follower.holdNoticesOf(epoch),
      cachedMap: (version) => this.#member.mapOf(version),
      logger,
    });
    await term.leader.lead(signal);
  }

  #newLinks(token: number, identity: wire.RankIdentity): rankLinks.RankLinks {
    const { parameters } = this;
    const { rank, epoch } = identity;
    const leadership = () => ({ token, epoch });
    return new rankLinks.RankLinks({
      ...parameters,
      token,
      identity,
      ownHandle: new ownRank.OwnRank(
        rank,
        parameters.engine,
        leadership,
        this.#member,
      ),
      knowledge: () => this.#follower.knowledge,
      hello: () => this.#follower.hello(),
      onCounts: (countedRank, chosen) =>
        this.#term?.leader?.addCounts(countedRank, chosen),
      onOwnCountPeriod: (milliseconds) =>
        this.#member.setCountPeriod(milliseconds),
      onHigherToken: (higher) => {
        this.#supersededAt = common.now();
        this.#member.acceptToken(higher);
        this.#endTerm("a higher fencing token is known");
      },
    });
  }

  /**
   * Demand at the beginning of a term. When a rank is lost, its group is
   * re-formed with its first map, while this process and the demand stay the
   * same. With the earlier counts the leader can have the next map loaded while
   * the engines read the first prompts, instead of counting activations for
   * some iterations first.
   */
  #demandFor(shape: traffic.EngineShape): demandModule.Demand {
    const earlier = this.#demand;
    const age = common.now() - (earlier?.addedAt ?? -Infinity);
    if (earlier && age < MAX_DEMAND_AGE_MILLISECONDS) return earlier;
    this.#demand = new demandModule.Demand(shape.expertsPerLayer);
    return this.#demand;
  }
}
