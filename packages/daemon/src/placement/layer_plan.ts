/**
 * Placement of one layer's expert replicas, and the resulting load of each
 * rank, while a plan is made. Adding, removing and moving replicas update both.
 */
export class LayerPlan {
  /**
   * Load of each rank, multiplied by its pace. An expert's load is divided
   * equally among its replicas.
   */
  readonly rankLoad: Float64Array;
  /** Experts on each rank. */
  readonly expertsOn: number[][];
  /** Ranks of each expert. */
  readonly ranksOf: number[][];
  /** How many times as long as usual each rank takes for its load. */
  readonly paces: ArrayLike<number>;

  constructor(
    /** Load of each expert, in any unit. */
    readonly load: ArrayLike<number>,
    places: number[][],
    /** Number of ranks. */
    readonly ranks: number,
    /** Paces of the ranks; without them all ranks are equally fast. */
    paces?: ArrayLike<number>,
  ) {
    this.paces = paces ?? new Float64Array(ranks).fill(1);
    this.ranksOf = places.map((ranksOfExpert) => [...ranksOfExpert]);
    this.expertsOn = Array.from({ length: ranks }, () => []);
    this.rankLoad = new Float64Array(ranks);
    this.ranksOf.forEach((ranksOfExpert, expert) => {
      for (const rank of ranksOfExpert) {
        this.expertsOn[rank].push(expert);
        this.rankLoad[rank] +=
          this.paces[rank] * (load[expert] / ranksOfExpert.length);
      }
    });
  }

  /** Load of one replica of an expert. */
  share(expert: number): number {
    return this.load[expert] / this.ranksOf[expert].length;
  }

  /** Load of the rank with the highest load. */
  get maxRankLoad(): number {
    let highest = 0;
    for (const load of this.rankLoad) highest = Math.max(highest, load);
    return highest;
  }

  /** Highest load of a rank if all ranks were as fast as usual. */
  get usualPeak(): number {
    let highest = 0;
    for (let rank = 0; rank < this.ranks; rank++) {
      highest = Math.max(highest, this.rankLoad[rank] / this.paces[rank]);
    }
    return highest;
  }

  /** Rank with the highest load. */
  get mostLoadedRank(): number {
    let mostLoaded = 0;
    for (let rank = 1; rank < this.ranks; rank++) {
      if (this.rankLoad[rank] > this.rankLoad[mostLoaded]) mostLoaded = rank;
    }
    return mostLoaded;
  }

  /** The `count` ranks with the lowest load, in ascending order of load. */
  leastLoadedRanks(count: number): number[] {
    const chosen: number[] = [];
    for (let rank = 0; rank < this.ranks; rank++) {
      let position = chosen.length;
      while (
        position > 0 &&
        this.rankLoad[chosen[position - 1]] > this.rankLoad[rank]
      ) {
        position--;
      }
      if (position >= count) continue;
      chosen.splice(position, 0, rank);
      if (chosen.length > count) chosen.pop();
    }
    return chosen;
  }

  /**
   * Load of the mean rank if all ranks were as fast as usual. Where some are
   * slow, it doesn't depend on which ranks have the load.
   */
  get meanRankLoad(): number {
    let sum = 0;
    for (let rank = 0; rank < this.ranks; rank++) {
      sum += this.rankLoad[rank] / this.paces[rank];
    }
    return sum / this.ranks;
  }

  /** Adds a replica, which lowers the load of the expert's other replicas. */
  add(expert: number, rank: number): void {
    const ranks = this.ranksOf[expert];
    const before = this.share(expert);
    const after = this.load[expert] / (ranks.length + 1);
    this.#addLoad(ranks, after - before);
    ranks.push(rank);
    this.expertsOn[rank].push(expert);
    this.#addLoad([rank], after);
  }

  /**
   * Removes a replica, which raises the load of the expert's other replicas. It
   * must not be the last one.
   */
  remove(expert: number, rank: number): void {
    const ranks = this.ranksOf[expert];
    const before = this.share(expert);
    ranks.splice(ranks.indexOf(rank), 1);
    const experts = this.expertsOn[rank];
    experts.splice(experts.indexOf(expert), 1);
    this.#addLoad([rank], -before);
    const after = this.load[expert] / Math.max(1, ranks.length);
    this.#addLoad(ranks, after - before);
  }

  /** Moves a replica from one rank to another. */
  move(expert: number, from: number, to: number): void {
    const share = this.share(expert);
    const ranks = this.ranksOf[expert];
    ranks[ranks.indexOf(from)] = to;
    const experts = this.expertsOn[from];
    experts.splice(experts.indexOf(expert), 1);
    this.expertsOn[to].push(expert);
    this.#addLoad([from], -share);
    this.#addLoad([to], share);
  }

  #addLoad(ranks: readonly number[], load: number): void {
    for (const rank of ranks) this.rankLoad[rank] += this.paces[rank] * load;
  }
}
