/**
 * How often each expert of a group is chosen of late. Counts lose half their
 * weight in a fixed time, so that a change in demand outweighs the past soon and
 * single passes do not.
 */
export class ActivationMeter {
  #decayedCounts: number[][] = [];
  #decayedAt: number | undefined;

  constructor(
    readonly parameters: {
      halfLifeMilliseconds: number;
      expertsPerLayer: number;
    },
  ) {}

  /** Weighted counts by layer and expert. */
  get decayedCounts(): number[][] {
    return this.#decayedCounts;
  }

  /** Sum of all counts, by weight. */
  get weight(): number {
    let sum = 0;
    for (const layer of this.#decayedCounts) {
      for (const decayedCount of layer) sum += decayedCount;
    }
    return sum;
  }

  /** Adds what one rank counted, layer after layer. */
  add(chosen: number[], now: number): void {
    const { expertsPerLayer } = this.parameters;
    this.#decay(now);
    chosen.forEach((count, index) => {
      const layer = Math.floor(index / expertsPerLayer);
      const layerCounts = (this.#decayedCounts[layer] ??=
        newLayer(expertsPerLayer));
      layerCounts[index % expertsPerLayer] += count;
    });
  }

  /** Takes over what another meter holds. */
  copyFrom(other: ActivationMeter): void {
    this.#decayedCounts = other.#decayedCounts.map((layer) => [...layer]);
    this.#decayedAt = other.#decayedAt;
  }

  #decay(now: number): void {
    const elapsed = now - (this.#decayedAt ?? now);
    this.#decayedAt = now;
    if (elapsed <= 0) return;
    const factor = 0.5 ** (elapsed / this.parameters.halfLifeMilliseconds);
    for (const layer of this.#decayedCounts) {
      for (let expert = 0; expert < layer.length; expert++) {
        layer[expert] *= factor;
      }
    }
  }
}

function newLayer(experts: number): number[] {
  return new Array<number>(experts).fill(0);
}

/** Part of the choices, 0 to 1, in which two meters differ. */
export function distanceOf(
  left: ActivationMeter,
  right: ActivationMeter,
): number {
  const leftWeight = left.weight;
  const rightWeight = right.weight;
  if (leftWeight === 0 || rightWeight === 0) return 0;
  let sum = 0;
  left.decayedCounts.forEach((layer, index) => {
    const other = right.decayedCounts[index];
    layer.forEach((decayedCount, expert) => {
      sum += Math.abs(
        decayedCount / leftWeight - (other?.[expert] ?? 0) / rightWeight,
      );
    });
  });
  return sum / 2;
}
