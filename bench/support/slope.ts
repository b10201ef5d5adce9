/** The straight line through measurements at several sizes. */

export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

export interface Slope {
  /** Value for each further unit of size. */
  readonly perUnit: number;
  /** Value at size zero. */
  readonly base: number;
}

/** Least squares; needs two sizes or more. */
export function fitSlope(points: readonly SlopePoint[]): Slope {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const covariance = mean(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const variance = mean(points.map(({ size }) => (size - meanSize) ** 2));
  const perUnit = covariance / variance;
  return { perUnit, base: meanValue - perUnit * meanSize };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
