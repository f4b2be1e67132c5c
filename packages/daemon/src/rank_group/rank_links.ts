import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as countPlan from "./count_plan.ts";
import * as entryMesh from "../mesh/entry_mesh.ts";
import * as listenModule from "../settings/listen.ts";
import type * as rankEngine from "./rank_engine.ts";
import * as linkedRank from "./linked_rank.ts";

/** Time between two beats of a leader, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 200;
/** Pause between attempts to link with the ranks that are missing. */
const RELINK_MILLISECONDS = 300;
/** How long a process of another group is left alone before it is asked again. */
const OTHER_GROUP_PAUSE_MILLISECONDS = 5_000;
/** How long a new leader goes by what the last one knew. */
const KNOWLEDGE_MAX_AGE_MILLISECONDS = 2_000;

/**
 * Ranks of each kind that are told what a successor needs. Told to all ranks of a large
 * group it keeps a slow link busy for long: beats wait behind it, and ranks that hear
 * none take the lead from each other in turn.
 */
const LIKELY_SUCCESSORS_OF_EACH_KIND = 6;

/** What linking with the ranks of a group needs. */
export interface RankLinksParameters {
  token: number;
  /** The leader's own place in the group. */
  identity: wire.RankIdentity;
  ownHandle: linkedRank.LinkedRank;
  service: string;
  /** Engine of another runner, for while the process beside it is away. */
  engineAt: (runner: traffic.RunnerEntry) => rankEngine.RankEngine;
  /** Port on which all processes beside ranks accept links. */
  linkPort: number;
  /** What the link of this host carries. */
  linkBytesPerSecond: number;
  runnerSource: traffic.DocumentSource<traffic.RunnerList>;
  /** What the last leader of the group knew. */
  knowledge: () => wire.GroupKnowledge | undefined;
  /** First message on each link. */
  hello: () => wire.RankHello;
  /** Takes what a rank counted. */
  onCounts: (rank: number, chosen: number[]) => void;
  /** How often the own rank is to be counted; 0 for never. */
  onOwnCountPeriod: (milliseconds: number) => void;
  /** There is a newer leader. */
  onHigherToken: (token: number) => void;
  lifeCycle: common.LifeCycle;
}

/** A leader's links with all ranks of its group, for the time of one term. */
export class RankLinks {
  /** All ranks that are known so far, the own one among them. */
  readonly handles = new Map<number, linkedRank.LinkedRank>();
  /** Open links, each with the rank at its far end. */
  readonly #links = new Map<wire.Link, number>();
  readonly #runners = new Map<number, traffic.RunnerEntry>();
  readonly #startedAt = common.now();
  /** Experts over all layers; 0 while the engines are not known. */
  countsPerReading = 0;
  /** What likely successors are told as soon as they are linked. */
  #sharedKnowledge: wire.GroupKnowledge | undefined;

  constructor(readonly parameters: RankLinksParameters) {
    this.handles.set(parameters.identity.rank, parameters.ownHandle);
    this.#adoptKnownRanks();
  }

  /**
   * Ranks as the last leader knew them. One whose host is frozen cannot be asked
   * which rank it is, and the group may stand still until its leader is succeeded.
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

  /** Runners of the ranks that are known, in order of rank. */
  get runners(): traffic.RunnerEntry[] {
    const byRank = [...this.#runners].sort(([left], [right]) => left - right);
    return byRank.map(([, runner]) => runner);
  }

  /** Tells likely successors, now and when they link, what they need. */
  shareKnowledge(knowledge: wire.GroupKnowledge): void {
    this.#sharedKnowledge = knowledge;
    for (const [link, rank] of this.#links) {
      if (this.#isLikelySuccessor(rank)) link.send(knowledge);
    }
  }

  /**
   * Whether a rank is a likely successor: the lower its number, the shorter its
   * patience with a silent leader; and the ranks after the own one hold passes.
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

  /** Links with all ranks of the group, and tells them who leads. */
  async maintain(signal: AbortSignal): Promise<void> {
    const { size } = this.parameters.identity;
    const linked = new Set<string>();
    const heartbeatTimer = setInterval(
      () => this.#sendHeartbeats(),
      HEARTBEAT_MILLISECONDS,
    );
    try {
      while (!signal.aborted) {
        const missing = linked.size < size - 1 || this.handles.size < size;
        if (missing) await this.#linkMissing(linked, signal);
        await common.sleep(RELINK_MILLISECONDS, signal);
      }
    } finally {
      clearInterval(heartbeatTimer);
      for (const link of this.#links.keys()) link.close();
    }
  }

  /** Tells all ranks who leads, and which of them are to tell what is chosen. */
  #sendHeartbeats(): void {
    const { identity, onOwnCountPeriod: onOwnCounts } = this.parameters;
    const plan = this.#countPlan();
    for (const [link, rank] of this.#links) {
      link.send(this.#heartbeatFor(rank, plan));
    }
    const { countMilliseconds } = this.#heartbeatFor(identity.rank, plan);
    onOwnCounts(countMilliseconds);
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

  async #linkMissing(linked: Set<string>, signal: AbortSignal): Promise<void> {
    const { service, lifeCycle } = this.parameters;
    for (const runner of await this.#possibleRunners()) {
      if (runner.service !== service) continue;
      if (linked.has(runner.address)) continue;
      linked.add(runner.address);
      lifeCycle.run("link to rank", async () => {
        await this.#serveRank(runner, signal);
        linked.delete(runner.address);
      });
    }
  }

  /** Runners that may be of the group: as the last leader knew, or all listed. */
  async #possibleRunners(): Promise<traffic.RunnerEntry[]> {
    const { identity } = this.parameters;
    const lastKnowledge = this.parameters.knowledge();
    const fresh =
      common.now() - this.#startedAt < KNOWLEDGE_MAX_AGE_MILLISECONDS;
    if (lastKnowledge?.group === identity.group && fresh)
      return lastKnowledge.runners;
    const read = await this.parameters.runnerSource.next(0);
    return read.isOk() ? (read.value.value?.runners ?? []) : [];
  }

  /** Links with the process beside a runner for as long as it lasts. */
  async #serveRank(
    runner: traffic.RunnerEntry,
    signal: AbortSignal,
  ): Promise<void> {
    const { linkPort, token, identity: led } = this.parameters;
    const { group } = led;
    const dialled = await wire.dial({
      url: `ws://${runner.address}:${linkPort}${listenModule.LINK_PATH}`,
      key: entryMesh.LINK_WORD,
      timing: entryMesh.LINK_TIMING,
      heartbeat: entryMesh.noHeartbeat,
    });
    if (dialled.isErr()) {
      await this.#identify(runner);
      return common.sleep(RELINK_MILLISECONDS, signal);
    }
    const link = dialled.value;
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
            // Of another group: its own leader links with it.
            if (identity)
              await common.sleep(OTHER_GROUP_PAUSE_MILLISECONDS, signal);
            return link.close();
          }
          this.#handleOf(runner, identity.rank).attach(link);
          this.#links.set(link, identity.rank);
          link.send(this.#heartbeatFor(identity.rank, this.#countPlan()));
          const succeeds = this.#isLikelySuccessor(identity.rank);
          if (this.#sharedKnowledge && succeeds)
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
    this.#links.delete(link);
  }

  /** Learns from the engine itself which rank a runner is. */
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
