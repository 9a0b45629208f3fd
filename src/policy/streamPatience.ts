/** How long callers of streams wait for the next event before they leave. */

/** Callers wait at least this long. */
const minimumPatienceMs = 2000
/** Multiple of the latency objective that callers wait. */
const objectiveFactor = 4
/** Multiple of the longest allowed pause between events that callers wait. */
const gapFactor = 8

export interface StreamTimeouts {
  objectiveMs: number
  gapObjectiveMs?: number | undefined
}

/** Longest silence before callers leave, also before the first event. */
export function streamPatienceMs ({ objectiveMs, gapObjectiveMs = 0 }: StreamTimeouts): number {
  return Math.max(minimumPatienceMs, objectiveFactor * objectiveMs, gapFactor * gapObjectiveMs)
}

/** Part of the callers' patience after which a silent engine is given up, which leaves time for another engine. */
const stallShare = 0.4

/** Silence after which a stream is moved to another engine. */
export function stallTimeoutMs (timeouts: StreamTimeouts): number {
  return stallShare * Math.min(streamPatienceMs(timeouts), maxStallPatienceMs)
}

/** Callers without hurry would otherwise leave a dead engine's stream waiting for long. */
const maxStallPatienceMs = 5000
