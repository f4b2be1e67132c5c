import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import type * as traffic from "@geraniumkeel/traffic";
import * as neverthrow from "neverthrow";
import * as poolRunner from "./pool_runner.ts";
import * as runnerList from "./runner_list.ts";

/** What an entry finds in place of a runner that its link to is cut. */
export enum Cut {
  /** Nothing comes back. */
  Silent = "silent",
  /** What is under way is reset, and new connections are refused. */
  Refused = "refused",
}

/** Size and speed of a pool. */
export interface PoolShape {
  service: string;
  runners: number;
  /** Milliseconds that a run takes. */
  runMilliseconds: number;
  /** Milliseconds from a runner's end until it is back. */
  returnMilliseconds: number;
  /** Data centre of the runner at a place; "d" for all if not set. */
  dataCentreOf?: (place: number) => string;
}

/** Slots that a listed runner tells. */
const SLOTS = 8;

/** A request that reached a runner. */
export interface Arrival {
  entry: string;
  /** Runner at which it arrived. */
  runner: string;
  body: string;
  at: number;
}

/** An answer in which a runner named a rate limit to an entry. */
export interface Naming {
  entry: string;
  runner: string;
  at: number;
}

/** An answer in which a runner said to an entry that it is leaving. */
export interface LeaveNotice {
  entry: string;
  runner: string;
  at: number;
}

/** An answer in which a runner turned an entry away and asked for rest. */
export interface TurnAway {
  entry: string;
  runner: string;
  at: number;
  /** When the rest ends. */
  until: number;
}

/** A runner's end, with the bodies that were under way there. */
export interface PoolEnd {
  runner: string;
  at: number;
  bodies: string[];
}

/**
 * Runners of one service as entries call them, and the list that names them. A request
 * whose body says so ends each runner that runs it; the runner is back after a while,
 * with a new identifier.
 */
export class RunnerPool {
  readonly runners: poolRunner.PoolRunner[];
  readonly arrivals: Arrival[] = [];
  readonly namings: Naming[] = [];
  readonly leaveNotices: LeaveNotice[] = [];
  readonly turnAways: TurnAway[] = [];
  readonly ends: PoolEnd[] = [];
  /** Cuts between entries and runners, by entry and place. */
  readonly cuts = new Map<string, Cut>();
  /** Version of the runners' software. */
  version = "1";
  readonly #list = new runnerList.RunnerListSource(() =>
    this.runners.map((runner) => this.entryOf(runner)),
  );
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(readonly shape: PoolShape) {
    this.runners = Array.from({ length: shape.runners }, (_, place) => {
      const runner = new poolRunner.PoolRunner(place, shape.runMilliseconds);
      runner.onEnd = () => this.end(place);
      return runner;
    });
  }

  /** The list of runners, as one entry follows it. */
  source(): traffic.DocumentSource<traffic.RunnerList> {
    return this.#list.source();
  }

  /** The list as it is now. A runner that ended stays listed until it is back. */
  list(): traffic.RunnerList {
    return this.#list.list();
  }

  /** A runner as it is listed. */
  entryOf(runner: poolRunner.PoolRunner): traffic.RunnerEntry {
    return runnerList.entryOf({
      identifier: runner.identifier,
      bornAt: runner.bornAt,
      service: this.shape.service,
      version: this.version,
      address: `runner-${runner.place}`,
      dataCentre: this.shape.dataCentreOf?.(runner.place) ?? "d",
      slots: SLOTS,
      leaving: runner.leaving,
    });
  }

  /** Tells that what is listed has changed. */
  announce(): void {
    this.#list.announce();
  }

  /** Ends the runner at a place; it is back, as another one, after a while. */
  end(place: number): void {
    const runner = this.runners[place];
    if (!runner.up) return;
    const { identifier } = runner;
    const bodies = runner.stop();
    this.ends.push({ runner: identifier, at: common.now(), bodies });
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      runner.start();
      this.announce();
    }, this.shape.returnMilliseconds);
    this.#timers.add(timer);
  }

  /** Cuts an entry off from a runner, or heals the cut. */
  cut(entry: string, place: number, cut: Cut | undefined): void {
    const key = `${entry} ${place}`;
    if (cut === undefined) {
      this.cuts.delete(key);
      return;
    }
    this.cuts.set(key, cut);
    this.runners[place].loseCaller(entry, cut === Cut.Refused);
  }

  /** Calls of one entry. */
  callerOf(entry: string): daemon.RunnerClient {
    return {
      call: (call) => this.#call(entry, call),
      presenceOf: async (runner) => this.#presence(entry, runner),
    };
  }

  /** Ends what the pool does by itself. */
  close(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const runner of this.runners) runner.stop();
  }

  #runnerAt(entry: traffic.RunnerEntry): poolRunner.PoolRunner {
    return this.runners[Number(entry.address.split("-")[1])];
  }

  #presence(entry: string, listed: traffic.RunnerEntry): common.Presence {
    const runner = this.#runnerAt(listed);
    switch (this.cuts.get(`${entry} ${runner.place}`)) {
      case Cut.Silent:
        return common.Presence.Silent;
      case Cut.Refused:
        return common.Presence.Refused;
      case undefined:
        return runner.up ? common.Presence.Listening : common.Presence.Refused;
    }
  }

  async #call(
    entry: string,
    call: daemon.RunnerCall,
  ): ReturnType<daemon.RunnerClient["call"]> {
    const runner = this.#runnerAt(call.runner);
    if (this.#presence(entry, call.runner) !== common.Presence.Listening) {
      const kind = daemon.CallFailureKind.NotSent;
      return neverthrow.err({ kind, reason: "no connection" });
    }
    const body = call.request.body.toString();
    const { identifier } = runner;
    this.arrivals.push({
      entry,
      runner: identifier,
      body,
      at: common.now(),
    });
    if (identifier !== call.runner.identifier) {
      return neverthrow.ok(runnerList.wrongRunner());
    }
    if (runner.rateLimit !== undefined) {
      this.namings.push({ entry, runner: identifier, at: common.now() });
    }
    if (runner.saysLeaving) {
      const at = common.now();
      this.leaveNotices.push({ entry, runner: identifier, at });
    }
    const { restWanted } = runner;
    if (restWanted !== undefined) {
      const at = common.now();
      const until = at + Number(restWanted) * 1_000;
      this.turnAways.push({ entry, runner: identifier, at, until });
      return neverthrow.ok(poolRunner.turnedAway(restWanted));
    }
    return runner.run(entry, call);
  }
}
