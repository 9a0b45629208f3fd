/** Estimates how long callers of streams wait for the next event before they disconnect, and when a stream counts as stalled. */

const minimumPatienceMs = 2000
/** Ratio of the callers' patience to the latency objective. */
const objectiveFactor = 4
/** Ratio of the callers' patience to the longest allowed gap between events. */
const gapFactor = 8

export interface StreamTimeouts {
  objectiveMs: number
  gapObjectiveMs?: number | undefined
}

/** Longest time without an event, also before the first one, until callers disconnect. */
export function streamPatienceMs ({ objectiveMs, gapObjectiveMs = 0 }: StreamTimeouts): number {
  return Math.max(minimumPatienceMs, objectiveFactor * objectiveMs, gapFactor * gapObjectiveMs)
}

/** Share of the callers' patience after which a stalled stream is abandoned; the rest is for failover. */
const stallShare = 0.4

/** Time without an event after which a stream fails over to another engine. */
export function stallTimeoutMs (timeouts: StreamTimeouts): number {
  return stallShare * Math.min(streamPatienceMs(timeouts), maxStallPatienceMs)
}

/** Bounds the time on a failed engine for callers with much patience. */
const maxStallPatienceMs = 5000
