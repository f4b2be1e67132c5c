/**
 * How often each expert of a group was recently activated. Counts lose half
 * their weight in each half-life. So a change in demand soon outweighs the
 * past, while single iterations do not.
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

  /** Counts by layer and expert, reduced by their age. */
  get decayedCounts(): number[][] {
    return this.#decayedCounts;
  }

  /** Sum of all counts, reduced by their age. */
  get weight(): number {
    let sum = 0;
    for (const layer of this.#decayedCounts) {
      for (const decayedCount of layer) sum += decayedCount;
    }
    return sum;
  }

  /** Adds the activations that one rank counted, layer after layer. */
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

  /** Replaces the counts by those of another meter. */
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

/**
 * Share of the activations, from 0 to 1, in which the distributions of two
 * meters differ; 0 if a meter has no counts.
 */
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
