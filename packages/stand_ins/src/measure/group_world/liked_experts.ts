import type * as common from "@geraniumkeel/common";
import type * as deployment from "./deployment.ts";

/** Topics of requests, and the part of each one's choices that all share. */
const TOPICS = 9;
const COMMON_SHARE = 0.75;

/**
 * What requests choose: by layer, a few experts take most of the choices, the same
 * ones for all topics but for a quarter. As counted on a day of the sizing group: a
 * quarter of a layer's choices fall on one expert, a tenth on the next.
 */
export class LikedExperts {
  #common: number[][];
  readonly #byTopic: number[][][];

  constructor(
    readonly size: deployment.GroupDeployment,
    readonly random: common.Random,
  ) {
    this.#common = this.#draw();
    this.#byTopic = Array.from({ length: TOPICS }, () => this.#draw());
  }

  /** A topic for a request. */
  drawTopic(): number {
    return this.random.below(TOPICS);
  }

  /** Adds the choices of some tokens of one topic, by layer and expert. */
  addChoices(topic: number, weight: number, into: number[][]): void {
    into.forEach((layer, index) => {
      const shared = this.#common[index];
      const own = this.#byTopic[topic][index];
      for (let expert = 0; expert < layer.length; expert++) {
        layer[expert] +=
          weight *
          (COMMON_SHARE * shared[expert] + (1 - COMMON_SHARE) * own[expert]);
      }
    });
  }

  /** A part of the experts change places in popularity, for all at once. */
  shift(part: number): void {
    this.#common = this.#common.map((layer) => this.#exchange(layer, part));
  }

  #exchange(layer: number[], part: number): number[] {
    const changing = layer.flatMap((_, expert) =>
      this.random.fraction() < part ? [expert] : [],
    );
    const shares = changing.map((expert) => layer[expert]);
    const next = [...layer];
    shuffled(changing, this.random).forEach((expert, index) => {
      next[expert] = shares[index];
    });
    return next;
  }

  #draw(): number[][] {
    const { layers, expertsPerLayer } = this.size;
    const shares = Array.from(
      { length: expertsPerLayer },
      (_, place) => (place + 1) ** -this.size.popularityFall,
    );
    const sum = shares.reduce((total, share) => total + share, 0);
    const even = shares.map((share) => share / sum);
    return Array.from({ length: layers }, () => shuffled(even, this.random));
  }
}

function shuffled(values: number[], random: common.Random): number[] {
  const result = [...values];
  for (let index = result.length - 1; index > 0; index--) {
    const other = random.below(index + 1);
    [result[index], result[other]] = [result[other], result[index]];
  }
  return result;
}
