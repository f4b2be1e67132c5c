import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import type * as traffic from "@geraniumkeel/traffic";
import * as neverthrow from "neverthrow";
import * as lockStepRank from "./lock_step_rank.ts";
import * as runnerList from "./runner_list.ts";

/** Size and speed of a pool. */
export interface LockStepShape {
  service: string;
  groups: number;
  /** Ranks of a group. */
  ranks: number;
  slots: number;
  pace: lockStepRank.RunPace;
  /** Milliseconds for which a group that lost a rank stands still. */
  stallMilliseconds: number;
  /** Milliseconds from a crash until the rank is back and its group is open. */
  returnMilliseconds: number;
  seed: number;
}

/** A request that reached a rank. */
export interface LockStepArrival {
  entry: string;
  runner: string;
  identifier: string;
  parts: readonly string[];
  at: number;
}

/** A crash of a rank. */
export interface LockStepCrash {
  runner: string;
  at: number;
  /** Parts of the prompt that crashed it; empty if nothing did. */
  parts: readonly string[];
}

/**
 * Groups of ranks that advance in lock-step: while one rank of a group is gone,
 * all others stand still, then break off what they run, and take nothing until
 * the rank is back.
 */
export class LockStepPool {
  readonly ranks: lockStepRank.LockStepRank[];
  readonly arrivals: LockStepArrival[] = [];
  readonly crashes: LockStepCrash[] = [];
  /** Identifiers of the requests that began to run, once for each run. */
  readonly begun: string[] = [];
  /** Parts that crash each rank which begins to write an answer on them. */
  readonly crashingParts = new Set<string>();
  /** Bodies that do the same. */
  readonly crashingBodies = new Set<string>();
  readonly #list = new runnerList.RunnerListSource(() => this.#entries());
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(readonly shape: LockStepShape) {
    const random = new common.Random(shape.seed);
    this.ranks = Array.from(
      { length: shape.groups * shape.ranks },
      (_, place) =>
        new lockStepRank.LockStepRank({
          ...shape,
          place,
          random,
          isCrashing: ({ request }) =>
            this.crashingBodies.has(request.body.toString()) ||
            request.promptParts.some((part) => this.crashingParts.has(part)),
          onBegin: ({ call }) => this.begun.push(call.request.identifier),
          onCrash: (rank, run) =>
            this.crash(rank, run.call.request.promptParts),
        }),
    );
  }

  /** The list of runners, as one entry follows it. */
  source(): traffic.DocumentSource<traffic.RunnerList> {
    return this.#list.source();
  }

  /** Calls of one entry. */
  callerOf(entry: string): daemon.RunnerClient {
    return {
      call: (call) => this.#call(entry, call),
      presenceOf: async (listed) =>
        this.#rankAt(listed).up
          ? common.Presence.Listening
          : common.Presence.Refused,
    };
  }

  /** A rank crashes; the parts are of the request that crashed it. */
  crash(rank: lockStepRank.LockStepRank, parts: readonly string[] = []): void {
    if (!rank.up) return;
    const { identifier: runner } = rank;
    this.crashes.push({ runner, at: common.now(), parts });
    rank.crash();
    const group = this.#groupOf(rank);
    for (const other of group) {
      if (other.state === lockStepRank.GroupState.Open)
        other.state = lockStepRank.GroupState.Stalled;
    }
    this.#after(this.shape.stallMilliseconds, () => {
      for (const other of group) other.breakGroup();
    });
    this.#after(this.shape.returnMilliseconds, () => {
      rank.restart();
      this.#list.announce();
      if (group.some(({ up }) => !up)) return;
      for (const other of group) other.state = lockStepRank.GroupState.Open;
    });
  }

  /** Ends what the pool does by itself. */
  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const rank of this.ranks) rank.breakGroup();
  }

  #groupOf(rank: lockStepRank.LockStepRank): lockStepRank.LockStepRank[] {
    const { ranks } = this.shape;
    const first = Math.floor(rank.parameters.place / ranks) * ranks;
    return this.ranks.slice(first, first + ranks);
  }

  #entries(): traffic.RunnerEntry[] {
    return this.ranks.map((rank) =>
      runnerList.entryOf({
        identifier: rank.identifier,
        bornAt: rank.bornAt,
        service: this.shape.service,
        address: `rank-${rank.parameters.place}`,
        slots: this.shape.slots,
      }),
    );
  }

  #rankAt({ address }: traffic.RunnerEntry): lockStepRank.LockStepRank {
    return this.ranks[Number(address.split("-")[1])];
  }

  async #call(
    entry: string,
    call: daemon.RunnerCall,
  ): ReturnType<daemon.RunnerClient["call"]> {
    const rank = this.#rankAt(call.runner);
    if (!rank.up) {
      const kind = daemon.CallFailureKind.NotSent;
      return neverthrow.err({ kind, reason: "no connection" });
    }
    if (rank.identifier !== call.runner.identifier)
      return neverthrow.ok(runnerList.wrongRunner());
    const { identifier, promptParts: parts } = call.request;
    const { identifier: runner } = rank;
    this.arrivals.push({ entry, runner, identifier, parts, at: common.now() });
    return rank.take(entry, call).result;
  }

  #after(milliseconds: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, milliseconds);
    this.#timers.add(timer);
  }
}
