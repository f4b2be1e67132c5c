import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as engineModel from "./engine_model.ts";

/** Time in which one kind of request replaces another in the mix. */
const DRIFT_PERIOD_MILLISECONDS = 60_000;
const KINDS = 3;

/** Experts spread over ranks in order, one replica each. */
export function initialPlaces(
  model: engineModel.EngineModel,
): wire.ExpertPlaces {
  const layer = Array.from({ length: model.experts }, (_, expert) => [
    expert % model.ranks,
  ]);
  return Array.from({ length: model.layers }, () => layer);
}

/**
 * Popularity of experts. Each kind of request (confirmations, reports,
 * translations) favours its own experts, and the mix of kinds drifts.
 */
export class ExpertLoad {
  /** Popularity by kind, layer and expert; each layer sums to 1. */
  readonly #byKind: number[][][];
  #mix = [1, 0, 0];
  #popularity: number[][] = [];

  constructor(
    readonly model: engineModel.EngineModel,
    seed: number,
  ) {
    const random = new common.Random(seed);
    this.#byKind = Array.from({ length: KINDS }, () =>
      Array.from({ length: model.layers }, () =>
        normalized(
          Array.from({ length: model.experts }, () => random.pareto(1, 1.2)),
        ),
      ),
    );
    this.drift(0);
  }

  /** Popularity now, by layer and expert. */
  get popularity(): number[][] {
    return this.#popularity;
  }

  /** Moves the mix of kinds on with time. */
  drift(milliseconds: number): void {
    const phase = (2 * Math.PI * milliseconds) / DRIFT_PERIOD_MILLISECONDS;
    this.#mix = normalized(
      Array.from({ length: KINDS }, (_, kind) =>
        Math.exp(Math.cos(phase + (2 * Math.PI * kind) / KINDS)),
      ),
    );
    const { layers, experts } = this.model;
    this.#popularity = Array.from({ length: layers }, (_, layer) =>
      Array.from({ length: experts }, (_, expert) =>
        this.#mix.reduce(
          (sum, share, kind) => sum + share * this.#byKind[kind][layer][expert],
          0,
        ),
      ),
    );
  }

  /** Share of the group's expert work that a map gives to a rank. */
  rankShare(map: wire.ExpertMap, rank: number): number {
    let share = 0;
    map.places.forEach((layer, index) => {
      layer.forEach((ranks, expert) => {
        if (!ranks.includes(rank)) return;
        share += this.#popularity[index][expert] / ranks.length;
      });
    });
    return share / this.model.layers;
  }

  /** Adds a step of the group to the counts of the experts on a rank. */
  count(parameters: {
    counts: number[][];
    map: wire.ExpertMap;
    rank: number;
    groupTokens: number;
  }): void {
    const { counts, map, rank, groupTokens } = parameters;
    map.places.forEach((layer, index) => {
      layer.forEach((ranks, expert) => {
        if (!ranks.includes(rank)) return;
        const popularity = this.#popularity[index][expert];
        counts[index][expert] += (groupTokens * popularity) / ranks.length;
      });
    });
  }
}

function normalized(values: number[]): number[] {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.map((value) => value / sum);
}
