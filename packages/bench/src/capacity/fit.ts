/** A measured point: a size and its cost. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to measured points, with the range of sizes in which it was measured. */
export interface Slope {
  readonly perUnit: number;
  readonly base: number;
  readonly from: number;
  readonly to: number;
}

/**
 * Fits a least-squares line to at least three points. No role gets cheaper with size, so a negative slope is noise; the
 * result is then constant at the highest point.
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
  const isNegative = perUnit < 0;
  return {
    perUnit: isNegative ? 0 : perUnit,
    base: isNegative ? Math.max(...points.map((point) => point.y)) : meanY - perUnit * meanX,
    from: Math.min(...xs),
    to: Math.max(...xs),
  };
}

/** Returns the value of the line at a size, at least 0. */
export function predict(slope: Slope, x: number): number {
  return Math.max(0, slope.base + slope.perUnit * x);
}

/** Returns whether a size lies outside of the measured range. */
export function isExtrapolated(slope: Slope, x: number): boolean {
  return x < slope.from || x > slope.to;
}
