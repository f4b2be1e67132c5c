import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";

/** How orders fare on their way to the engines. */
export interface OrderFaults {
  random: common.Random;
  /** Part of the orders that get no answer, 0 to 1. */
  unanswered: number;
  /** Of these, the part that is carried out late, and not at once. */
  late: number;
  /** Longest time after which a late order is carried out, in milliseconds. */
  longestDelay: number;
}

/** No order is lost or late. */
export function noFaults(): OrderFaults {
  const random = new common.Random(1);
  return { random, unanswered: 0, late: 0, longestDelay: 0 };
}

/** What a group may be given besides its size. */
export interface RankGroupOptions {
  /** The map that it begins with, by layer and rank; none is told without it. */
  firstMap?: wire.RankMap;
  /** Time that a rank loads for each expert that is new to it, in milliseconds. */
  copyMilliseconds?: number;
  /** Requests that run and wait at a rank. */
  loadOf?: (rank: number) => { active: number; waiting: number };
  /** Pace that the engine of a rank reports; it reports none without this. */
  paceOf?: (rank: number) => number;
  /** Choices of a rank's requests since the start, layer after layer. */
  chosenBy?: (rank: number) => number[];
  /** A rank has been given another map, as of the pass that begins. */
  onMap?: (rank: number, map: wire.RankMap) => void;
}

const ANSWER_TIMEOUT_MILLISECONDS = 4;
/** Time to load a map whose experts are not looked at. */
const LOAD_MILLISECONDS = 8;

/** One rank's state, as its engine keeps it. */
class RankState {
  map = "0";
  mapVersion = 0;
  highestVersion = 0;
  prepared: { version: number; map: string; readyAt: number } | undefined;
  armed: { version: number; step: number } | undefined;
  heldStep = -1;
  sequence = 0;
  highestToken = 0;
}

/**
 * A group of ranks that makes passes in lock-step and takes orders as engines do:
 * fenced, on condition of the number of orders begun, and sometimes late. It
 * records every pass that began while two ranks had different maps.
 */
export class RankGroupStandIn {
  readonly #ranks: RankState[];
  #step = 0;
  #epoch = 1;
  /** Passes that began with two maps. */
  readonly mixedPasses: number[] = [];
  /** Passes that could not begin as one was held. */
  heldPasses = 0;
  faults: OrderFaults = noFaults();

  constructor(
    readonly size: number,
    readonly options: RankGroupOptions = {},
  ) {
    this.#ranks = Array.from({ length: size }, () => new RankState());
  }

  /** Last pass that was begun. */
  get step(): number {
    return this.#step;
  }

  /** Version of the map of each rank. */
  get versions(): number[] {
    return this.#ranks.map(({ mapVersion }) => mapVersion);
  }

  /** Whether some rank holds a pass. */
  get held(): boolean {
    return this.#ranks.some(({ heldStep }) => heldStep >= 0);
  }

  /** Begins the next pass, unless a rank holds it. */
  pass(): void {
    const next = this.#step + 1;
    if (this.#ranks.some(({ heldStep }) => heldStep === next)) {
      this.heldPasses++;
      return;
    }
    this.#step = next;
    this.#ranks.forEach((rank, index) => {
      if (rank.armed?.step !== next || !rank.prepared) return;
      rank.map = rank.prepared.map;
      rank.mapVersion = rank.armed.version;
      rank.armed = undefined;
      this.options.onMap?.(index, JSON.parse(rank.map) as wire.RankMap);
    });
    const maps = new Set(
      this.#ranks.map(({ map, mapVersion }) => `${mapVersion} ${map}`),
    );
    if (maps.size > 1) this.mixedPasses.push(next);
  }

  /** Forms the group anew, as after a rank was lost. */
  formAnew(): void {
    this.#epoch++;
    this.#ranks.forEach((_, index) => (this.#ranks[index] = new RankState()));
  }

  /** The engine of one rank. */
  engine(index: number): daemon.RankEngine {
    return {
      report: async () => neverthrow.ok(this.#report(index)),
      chosen: async () =>
        neverthrow.ok({
          epoch: this.#epoch,
          bornAt: 0,
          chosen: this.options.chosenBy?.(index) ?? [],
        }),
      lists: async () =>
        neverthrow.ok({
          version: this.#ranks[index].mapVersion,
          experts: this.#expertsOf(index),
        }),
      order: (order, conditions) => this.#receive(index, order, conditions),
    };
  }

  /** State of a rank, as its engine tells it. */
  status(index: number): wire.RankStatus {
    return this.#report(index).status;
  }

  #report(index: number): daemon.RankReport {
    const rank = this.#ranks[index];
    const { prepared, armed } = rank;
    const ready = prepared !== undefined && prepared.readyAt <= common.now();
    return {
      identity: {
        group: "g",
        epoch: this.#epoch,
        rank: index,
        size: this.size,
      },
      bornAt: 0,
      status: {
        epoch: this.#epoch,
        open: true,
        ...(this.options.loadOf?.(index) ?? { active: 1, waiting: 0 }),
        step: this.#step,
        mapVersion: rank.mapVersion,
        preparedVersion: ready ? prepared.version : 0,
        armedVersion: armed?.version ?? 0,
        armedStep: armed?.step ?? 0,
        heldStep: rank.heldStep,
        ...(this.options.paceOf && { pace: this.options.paceOf(index) }),
      },
      sequence: rank.sequence,
      loading: prepared !== undefined && !ready,
    };
  }

  async #receive(
    index: number,
    order: wire.RankOrder,
    conditions: daemon.OrderConditions,
  ): Promise<daemon.EngineAnswer> {
    const { random, unanswered, late, longestDelay } = this.faults;
    if (random.fraction() >= unanswered) {
      return this.#carryOut(index, order, conditions);
    }
    if (random.fraction() < late) {
      const delay = random.between(0, longestDelay);
      setTimeout(() => this.#carryOut(index, order, conditions), delay);
    } else {
      this.#carryOut(index, order, conditions);
    }
    await common.sleep(ANSWER_TIMEOUT_MILLISECONDS);
    return daemon.EngineAnswer.Unknown;
  }

  #carryOut(
    index: number,
    order: wire.RankOrder,
    conditions: daemon.OrderConditions,
  ): daemon.EngineAnswer {
    const rank = this.#ranks[index];
    if (conditions.epoch !== this.#epoch) return daemon.EngineAnswer.Refused;
    if (conditions.token < rank.highestToken) {
      return daemon.EngineAnswer.OldToken;
    }
    rank.highestToken = conditions.token;
    if (conditions.sequence !== rank.sequence) {
      return daemon.EngineAnswer.Refused;
    }
    if (!this.#begin(index, order)) return daemon.EngineAnswer.Refused;
    rank.sequence++;
    return daemon.EngineAnswer.Accepted;
  }

  /** Experts that a rank holds, by layer. */
  #expertsOf(index: number): number[][] {
    const { firstMap = [] } = this.options;
    const { map, mapVersion } = this.#ranks[index];
    const layers =
      mapVersion === 0 ? firstMap : (JSON.parse(map) as wire.RankMap);
    return layers.map((ranks) => ranks[index] ?? []);
  }

  #loadMilliseconds(index: number, map: wire.RankMap): number {
    const { copyMilliseconds } = this.options;
    if (copyMilliseconds === undefined) return LOAD_MILLISECONDS;
    const held = this.#expertsOf(index);
    const copies = map.flatMap((ranks, layer) =>
      ranks[index].filter((expert) => !held[layer]?.includes(expert)),
    );
    return copies.length * copyMilliseconds;
  }

  #begin(index: number, order: wire.RankOrder): boolean {
    const rank = this.#ranks[index];
    switch (order.kind) {
      case wire.RankOrderKind.Prepare: {
        const { version, map } = order;
        if (version <= rank.highestVersion || rank.armed) return false;
        rank.highestVersion = version;
        const readyAt = common.now() + this.#loadMilliseconds(index, map);
        rank.prepared = { version, map: JSON.stringify(map), readyAt };
        return true;
      }
      case wire.RankOrderKind.Arm: {
        const { version, step } = order;
        const ready = (rank.prepared?.readyAt ?? Infinity) <= common.now();
        if (!ready || rank.prepared?.version !== version) return false;
        if (step <= this.#step) return false;
        rank.armed = { version, step };
        return true;
      }
      case wire.RankOrderKind.Hold:
        if (rank.heldStep >= 0 || order.step <= this.#step) return false;
        rank.heldStep = order.step;
        return true;
      case wire.RankOrderKind.Release:
        if (rank.heldStep !== order.step) return false;
        rank.heldStep = -1;
        return true;
      case wire.RankOrderKind.Disarm:
        if (rank.armed?.version !== order.version) return false;
        rank.armed = undefined;
        return true;
    }
  }
}
