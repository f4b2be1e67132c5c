import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as wire from "@geraniumkeel/wire";

/** One engine of the model. It loads a map at once. */
interface ModelRank {
  /** Version and content of the map in force. */
  map: string;
  mapVersion: number;
  highestVersion: number;
  preparedMap: string;
  preparedVersion: number;
  armedVersion: number;
  armedStep: number;
  heldStep: number;
  sequence: number;
}

const EPOCH = 1;
const GROUP = "g";

/**
 * A group without time: passes begin, and orders are carried out, when the explorer
 * says so. Engines know nothing of tokens here, as some do not check them.
 */
export class ModelGroup {
  readonly #ranks: ModelRank[];
  #step = 0;
  #mixed = false;

  constructor(
    readonly size: number,
    /** Whether engines count the orders that they begin. */
    readonly counting: boolean,
  ) {
    this.#ranks = Array.from({ length: size }, () => ({
      map: "",
      mapVersion: 0,
      highestVersion: 0,
      preparedMap: "",
      preparedVersion: 0,
      armedVersion: 0,
      armedStep: 0,
      heldStep: -1,
      sequence: 0,
    }));
  }

  /** Whether a pass began while two ranks had different maps. */
  get mixed(): boolean {
    return this.#mixed;
  }

  /** Passes begun so far. */
  get step(): number {
    return this.#step;
  }

  /** Whether the next pass is held. */
  get held(): boolean {
    return this.#ranks.some(({ heldStep }) => heldStep === this.#step + 1);
  }

  /** Begins the next pass, which must not be held. */
  pass(): void {
    this.#step++;
    for (const rank of this.#ranks) {
      if (rank.armedVersion === 0 || rank.armedStep !== this.#step) continue;
      rank.map = rank.preparedMap;
      rank.mapVersion = rank.armedVersion;
      rank.armedVersion = 0;
      rank.armedStep = 0;
    }
    const [first] = this.#ranks;
    this.#mixed ||= this.#ranks.some(
      ({ map, mapVersion }) =>
        map !== first.map || mapVersion !== first.mapVersion,
    );
  }

  /** What a rank's engine tells of itself. */
  report(index: number): daemon.RankReport {
    const rank = this.#ranks[index];
    const identity = { group: GROUP, epoch: EPOCH, rank: index };
    return {
      identity: { ...identity, size: this.size },
      bornAt: 0,
      status: {
        epoch: EPOCH,
        open: true,
        active: 1,
        waiting: 0,
        step: this.#step,
        mapVersion: rank.mapVersion,
        preparedVersion: rank.preparedVersion,
        armedVersion: rank.armedVersion,
        armedStep: rank.armedStep,
        heldStep: rank.heldStep,
      },
      sequence: rank.sequence,
      loading: false,
    };
  }

  /** Has a rank's engine take an order; whether it began something. */
  take(index: number, order: wire.RankOrder, sequence: number): boolean {
    const rank = this.#ranks[index];
    if (sequence !== rank.sequence) return false;
    if (!this.#begin(rank, order)) return false;
    if (this.counting) rank.sequence++;
    return true;
  }

  /** The whole state as text, to tell states apart. */
  describe(): string {
    return JSON.stringify([this.#step, this.#mixed, this.#ranks]);
  }

  #begin(rank: ModelRank, order: wire.RankOrder): boolean {
    switch (order.kind) {
      case wire.RankOrderKind.Prepare:
        if (order.version <= rank.highestVersion) return false;
        if (rank.armedVersion > 0) return false;
        rank.highestVersion = order.version;
        rank.preparedVersion = order.version;
        rank.preparedMap = JSON.stringify(order.map);
        return true;
      case wire.RankOrderKind.Arm:
        if (rank.preparedVersion !== order.version) return false;
        if (order.step <= this.#step) return false;
        rank.armedVersion = order.version;
        rank.armedStep = order.step;
        return true;
      case wire.RankOrderKind.Disarm:
        if (rank.armedVersion !== order.version) return false;
        rank.armedVersion = 0;
        rank.armedStep = 0;
        return true;
      case wire.RankOrderKind.Hold:
        if (rank.heldStep >= 0 || order.step <= this.#step) return false;
        rank.heldStep = order.step;
        return true;
      case wire.RankOrderKind.Release:
        if (rank.heldStep !== order.step) return false;
        rank.heldStep = -1;
        return true;
    }
  }
}
