/** A measured point: a size and what it cost. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through measured points, with the range in which it was measured. */
export interface Slope {
  readonly perUnit: number;
  readonly base: number;
  readonly from: number;
  readonly to: number;
}

/**
 * The least-squares line through at least three points. No role gets cheaper with size: where noise says so,
 * the highest point stands for all sizes.
 */
export function fitSlope(points: readonly Point[]): Slope {
  if (points.length < 3) {
    throw new Error(`a slope needs three sizes, ${points.length} were measured`);
  }
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const perUnit = covariance / variance;
  const xs = points.map((point) => point.x);
  const isNoise = perUnit < 0;
  return {
    perUnit: isNoise ? 0 : perUnit,
    base: isNoise ? Math.max(...points.map((point) => point.y)) : meanY - perUnit * meanX,
    from: Math.min(...xs),
    to: Math.max(...xs),
  };
}

/** The line's value at a size. */
export function predict(slope: Slope, x: number): number {
  return Math.max(0, slope.base + slope.perUnit * x);
}

/** Whether a size lies outside of what was measured. */
export function isExtrapolated(slope: Slope, x: number): boolean {
  return x < slope.from || x > slope.to;
}
