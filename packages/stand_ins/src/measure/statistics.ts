/** Mean of values. */
export function mean(values: ArrayLike<number>): number {
  let sum = 0;
  for (let index = 0; index < values.length; index++) sum += values[index];
  return values.length === 0 ? 0 : sum / values.length;
}

/** Value below which a share of the values lies. */
export function quantile(values: number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index];
}

/** Mean with the lowest and the highest value. */
export interface Spread {
  mean: number;
  low: number;
  high: number;
}

/** Spread of a figure over seeds. */
export function spread(values: number[]): Spread {
  return {
    mean: round(mean(values)),
    low: round(Math.min(...values)),
    high: round(Math.max(...values)),
  };
}

/** Jain's fairness index: 1 when all are equal, 1/n when one has all. */
export function jainIndex(values: number[]): number {
  const squares = mean(values.map((value) => value * value));
  return squares === 0 ? 1 : mean(values) ** 2 / squares;
}

/** Rounds to four significant digits. */
export function round(value: number): number {
  return Number(value.toPrecision(4));
}

/** Least-squares line through points, with its relative error. */
export function fitLine(points: { x: number; y: number }[]): {
  slope: number;
  intercept: number;
  error: number;
} {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  let above = 0;
  let below = 0;
  for (const { x, y } of points) {
    above += (x - meanX) * (y - meanY);
    below += (x - meanX) ** 2;
  }
  const slope = below === 0 ? 0 : above / below;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) =>
    Math.abs(y - (intercept + slope * x)),
  );
  const error = meanY === 0 ? 0 : Math.max(...residuals) / Math.abs(meanY);
  return { slope, intercept, error };
}
