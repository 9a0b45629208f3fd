/** Straight lines through measured points, and their values at the size of design.md 1.6. */

/** Size for which the system is designed. */
export const target = { nodes: 340, engines: 600, models: 690, regions: 3, zones: 7, requestsPerSecond: 3_400, loadsPerSecond: 10 }

export interface Series {
  role: string
  /** What was measured, with its unit. */
  measure: string
  /** What was varied; everything else was as `fixed` says. */
  varied: string
  fixed: string
  points: [number, number][]
  targetSize: number
}

export interface FittedSeries extends Series { slope: number, intercept: number, atTarget: number }

/** Least squares. Throws if fewer than four sizes were measured. */
export function fit (series: Series): FittedSeries {
  const { points, measure, targetSize } = series
  if (points.length < 4) throw new Error(`${measure} was measured at ${points.length} sizes, at least 4 are needed`)
  const meanOf = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = meanOf(points.map(([x]) => x))
  const meanY = meanOf(points.map(([, y]) => y))
  const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const intercept = meanY - slope * meanX
  return { ...series, slope, intercept, atTarget: intercept + slope * targetSize }
}
