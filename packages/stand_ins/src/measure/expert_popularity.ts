import type * as common from "@geraniumkeel/common";

/** No expert is more than this many times as popular as the least. */
const LARGEST_RATIO = 30;

/** Heavy-tailed shares of the experts of each layer; a layer sums to 1. */
export function expertPopularity(
  size: { layers: number; experts: number },
  random: common.Random,
): number[][] {
  return Array.from({ length: size.layers }, () => {
    const raw = Array.from({ length: size.experts }, () =>
      Math.min(LARGEST_RATIO, random.pareto(1, 1.5)),
    );
    const sum = raw.reduce((total, value) => total + value, 0);
    return raw.map((value) => value / sum);
  });
}
