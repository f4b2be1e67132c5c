import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as countPlan from "./count_plan.ts";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as listenModule from "../settings/listen.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as linkedRank from "./linked_rank.ts";

/** Time between two heartbeats of a leader. */
const HEARTBEAT_MILLISECONDS = 200;
/** Pause between attempts to link with the ranks that are not linked. */
const RELINK_MILLISECONDS = 300;
/**
 * How long the leader waits before it links again with a process of another
 * group.
 */
const OTHER_GROUP_PAUSE_MILLISECONDS = 5_000;
/** How long a new leader uses the list of runners from the last leader. */
const MAX_KNOWLEDGE_AGE_MILLISECONDS = 2_000;

/**
 * How many ranks count as likely successors, once by lowest number and once by
 * position after the leader. Only they receive the group knowledge. Sent to all
 * ranks of a large group, it would occupy a slow link for so long that
 * heartbeats wait behind it, and ranks without heartbeats would take the lead
 * from each other in turn.
 */
const LIKELY_SUCCESSORS_OF_EACH_KIND = 6;

/** What the links to the ranks of a group need. */
export interface RankLinksParameters {
  token: number;
  /** The leader's own rank in the group. */
  identity: wire.RankIdentity;
  ownHandle: linkedRank.LinkedRank;
  service: string;
  /**
   * Connects to the engine of another runner directly, for the time in which
   * the process beside that runner is away.
   */
  engineAt: (runner: traffic.RunnerEntry) => rankEngine.RankEngine;
  /** Port on which all processes beside ranks accept links. */
  linkPort: number;
  /** Bytes per second that the network link of this host carries. */
  linkBytesPerSecond: number;
  runnerSource: traffic.DocumentSource<traffic.RunnerList>;
  /** What the last leader of the group knew. */
  knowledge: () => wire.GroupKnowledge | undefined;
  /** The first message on each link. */
  hello: () => wire.RankHello;
  /** Receives the activations that a rank counted. */
  onCounts: (rank: number, chosen: number[]) => void;
  /**
   * Receives the period at which the own rank must count its activations; 0 for
   * never.
   */
  onOwnCountPeriod: (milliseconds: number) => void;
  /**
   * Called when a rank knows a higher fencing token, so another process leads.
   */
  onHigherToken: (token: number) => void;
  lifeCycle: common.LifeCycle;
}

/** A leader's links to all ranks of its group, for one term. */
export class RankLinks {
  /** All ranks known so far, including the leader's own. */
  readonly handles = new Map<number, linkedRank.LinkedRank>();
  /** Open links, each with the rank at its far end. */
  readonly #links = new Map<wire.Link, number>();
  readonly #runners = new Map<number, traffic.RunnerEntry>();
  readonly #startedAt = common.now();
  /**
   * How many counts one reading of a rank's activations consists of: one for
   * each expert of each layer. 0 while this leader does not know the model.
   */
  countsPerReading = 0;
  /**
   * Group knowledge that likely successors receive as soon as they are linked.
   */
  #sharedKnowledge: wire.GroupKnowledge | undefined;

  constructor(readonly parameters: RankLinksParameters) {
    this.handles.set(parameters.identity.rank, parameters.ownHandle);
    this.#adoptKnownRanks();
  }

  /**
   * Creates the handles of the ranks that the last leader knew. A rank whose
   * host is frozen cannot say which rank it is. Without its handle this term
   * would wait for it, while the group may stand still.
   */
  #adoptKnownRanks(): void {
    const { identity } = this.parameters;
    const lastKnowledge = this.parameters.knowledge();
    if (lastKnowledge?.group !== identity.group) return;
    if (lastKnowledge.epoch !== identity.epoch) return;
    if (lastKnowledge.runners.length !== identity.size) return;
    lastKnowledge.runners.forEach((runner, rank) =>
      this.#handleOf(runner, rank),
    );
  }

  /** Runners of the known ranks, in order of rank. */
  get runners(): traffic.RunnerEntry[] {
    const byRank = [...this.#runners].sort(([left], [right]) => left - right);
    return byRank.map(([, runner]) => runner);
  }

  /**
   * Sends the group knowledge to likely successors: now to those that are
   * linked, later to each that links.
   */
  shareKnowledge(knowledge: wire.GroupKnowledge): void {
    this.#sharedKnowledge = knowledge;
    for (const [link, rank] of this.#links) {
      if (this.#isLikelySuccessor(rank)) link.send(knowledge);
    }
  }

  /**
   * Whether a rank is a likely successor. The lower the number of a rank, the
   * shorter its leader timeout; and the ranks after the leader's own hold
   * iterations, so they take over sooner during a switch.
   */
  #isLikelySuccessor(rank: number): boolean {
    const { rank: own, size } = this.parameters.identity;
    const distance = (rank - own + size) % size;
    return Math.min(rank, distance) < LIKELY_SUCCESSORS_OF_EACH_KIND;
  }

  /** Sends a message to all linked ranks. */
  broadcast(message: wire.Message): void {
    for (const link of this.#links.keys()) link.send(message);
  }

  /**
   * Links with all ranks of the group and sends them heartbeats until the
   * signal aborts.
   */
  async maintain(signal: AbortSignal): Promise<void> {
    const { size } = this.parameters.identity;
    const linkedAddresses = new Set<string>();
    const heartbeatTimer = setInterval(
      () => this.#sendHeartbeats(),
      HEARTBEAT_MILLISECONDS,
    );
    try {
      while (!signal.aborted) {
        const missing =
          linkedAddresses.size < size - 1 || this.handles.size < size;
        if (missing) await this.#linkMissing(linkedAddresses, signal);
        await common.sleep(RELINK_MILLISECONDS, signal);
      }
    } finally {
      clearInterval(heartbeatTimer);
      for (const link of this.#links.keys()) link.close();
    }
  }

  /**
   * Sends each rank a heartbeat, which also sets how often the rank reports its
   * activations.
   */
  #sendHeartbeats(): void {
    const { identity, onOwnCountPeriod } = this.parameters;
    const plan = this.#countPlan();
    for (const [link, rank] of this.#links) {
      link.send(this.#heartbeatFor(rank, plan));
    }
    const { countMilliseconds } = this.#heartbeatFor(identity.rank, plan);
    onOwnCountPeriod(countMilliseconds);
  }

  #countPlan(): countPlan.CountPlan {
    const { identity, linkBytesPerSecond } = this.parameters;
    const { rank } = identity;
    const linked = new Set([rank, ...this.#links.values()]);
    return countPlan.planCounts({
      linkedRanks: [...linked].sort((left, right) => left - right),
      countsPerReading: this.countsPerReading,
      linkBytesPerSecond,
    });
  }

  #heartbeatFor(rank: number, plan: countPlan.CountPlan): wire.LeaderHeartbeat {
    const { token, identity } = this.parameters;
    const { group, epoch } = identity;
    const { reporters, periodMilliseconds } = plan;
    const kind = wire.MessageKind.LeaderHeartbeat;
    const countMilliseconds = reporters.has(rank) ? periodMilliseconds : 0;
    return { kind, token, group, epoch, countMilliseconds };
  }

  async #linkMissing(
    linkedAddresses: Set<string>,
    signal: AbortSignal,
  ): Promise<void> {
    const { service, lifeCycle } = this.parameters;
    for (const runner of await this.#possibleRunners()) {
      if (runner.service !== service) continue;
      if (linkedAddresses.has(runner.address)) continue;
      linkedAddresses.add(runner.address);
      lifeCycle.run("rank", async () => {
        try {
          await this.#serveRank(runner, signal);
        } finally {
          linkedAddresses.delete(runner.address);
        }
      });
    }
  }

  /**
   * Runners that may belong to the group: those that the last leader knew, or
   * later all listed ones.
   */
  async #possibleRunners(): Promise<traffic.RunnerEntry[]> {
    const { identity } = this.parameters;
    const lastKnowledge = this.parameters.knowledge();
    const fresh =
      common.now() - this.#startedAt < MAX_KNOWLEDGE_AGE_MILLISECONDS;
    if (lastKnowledge?.group === identity.group && fresh)
      return lastKnowledge.runners;
    const read = await this.parameters.runnerSource.next(0);
    return read.isOk() ? (read.value.value?.runners ?? []) : [];
  }

  /**
   * Links with the process beside a runner and receives its messages until the
   * link closes.
   */
  async #serveRank(
    runner: traffic.RunnerEntry,
    signal: AbortSignal,
  ): Promise<void> {
    const { linkPort } = this.parameters;
    const dialled = await wire.dial({
      url: `ws://${runner.address}:${linkPort}${listenModule.LINK_PATH}`,
      key: entryMesh.LINK_KEY,
      timing: entryMesh.LINK_TIMING,
      heartbeat: entryMesh.emptyHeartbeat,
    });
    if (dialled.isErr()) {
      await this.#identify(runner);
      return common.sleep(RELINK_MILLISECONDS, signal);
    }
    const link = dialled.value;
    try {
      await this.#receiveFrom(runner, link, signal);
    } finally {
      link.close();
      this.#links.delete(link);
    }
  }

  /** Receives the messages of the process beside a runner. */
  async #receiveFrom(
    runner: traffic.RunnerEntry,
    link: wire.Link,
    signal: AbortSignal,
  ): Promise<void> {
    const { token, identity: led } = this.parameters;
    const { group } = led;
    link.closeOn(signal);
    link.send(this.parameters.hello());
    for await (const message of link.messages()) {
      switch (message.kind) {
        case wire.MessageKind.RankHello: {
          if (message.token > token) {
            this.parameters.onHigherToken(message.token);
            return link.close();
          }
          const { identity } = message;
          if (identity?.group !== group) {
            // A rank of another group: its own leader links with it.
            if (identity)
              await common.sleep(OTHER_GROUP_PAUSE_MILLISECONDS, signal);
            return link.close();
          }
          this.#handleOf(runner, identity.rank).attach(link);
          this.#links.set(link, identity.rank);
          link.send(this.#heartbeatFor(identity.rank, this.#countPlan()));
          const maySucceed = this.#isLikelySuccessor(identity.rank);
          if (this.#sharedKnowledge && maySucceed)
            link.send(this.#sharedKnowledge);
          break;
        }
        case wire.MessageKind.RankHeartbeat: {
          const { rank } = message.identity;
          this.#handleOf(runner, rank).updateStatus(message.status);
          this.parameters.onCounts(rank, message.chosen);
          break;
        }
        case wire.MessageKind.RankReply:
        case wire.MessageKind.RankListsAnswer:
          for (const handle of this.handles.values())
            handle.receive(message, link);
          break;
        default:
          link.close(wire.LinkEnd.Unreadable);
      }
    }
  }

  /** Reads from the engine directly which rank a runner is. */
  async #identify(runner: traffic.RunnerEntry): Promise<void> {
    const report = await this.parameters.engineAt(runner).report();
    if (report.isErr()) return;
    const { identity, status } = report.value;
    if (identity.group !== this.parameters.identity.group) return;
    this.#handleOf(runner, identity.rank).updateStatus(status);
  }

  #handleOf(runner: traffic.RunnerEntry, rank: number): linkedRank.LinkedRank {
    const isNew = !this.#runners.has(rank);
    this.#runners.set(rank, runner);
    if (isNew && this.#sharedKnowledge) {
      this.shareKnowledge({ ...this.#sharedKnowledge, runners: this.runners });
    }
    const known = this.handles.get(rank);
    if (known) return known;
    const { token, identity } = this.parameters;
    const { epoch } = identity;
    const created = new linkedRank.LinkedRank(
      rank,
      this.parameters.engineAt(runner),
      () => ({ token, epoch }),
    );
    this.handles.set(rank, created);
    return created;
  }
}
