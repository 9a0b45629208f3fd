/**
 * How long a request waits for an engine that takes it. Answers demand that exceeds what engines take for some seconds, as after
 * a burst or a shift to other models: requests that can still be in time go first, and those that cannot wait behind them for as
 * long as their callers do, instead of being refused while engines get room again.
 */

import { streamPatienceMs } from './streamPatience.js'

/** Part of the objective after which a request counts as late: reading its prompt takes the rest. */
const inTimeShare = 0.6
/** Part of the callers' patience that the wait may use; the rest is for the first event. */
const patienceShare = 0.75
/** Time in which the placement leader decides on a load, if it can. */
const placementDecisionMs = 1500
/** Time in which a full engine ends a good part of its requests. */
const fullRetryAfterMs = 1200
/** A request whose model was about to be ready comes back when it is there. */
const readyMarginMs = 25

export interface WaitConditions {
  isStream: boolean
  objectiveMs: number
  gapObjectiveMs?: number | undefined
  /** Start of the callers' present silence: the request's arrival, or the last event of an answer that has begun. */
  lastProgressAtMs: number
  /** Latest time at which sending the request makes sense. */
  lastAttemptAtMs: number
  /** Start of the wait. */
  startedAtMs: number
  /** Shortest load of the model from memory, disk or the weight store. */
  shortestLoadMs: number
}

export type WaitDecision =
  /** `isLate`: the request cannot be in time any more. */
  | { kind: 'wait', isLate: boolean }
  | { kind: 'refuse', reason: 'full' | 'not-loaded', retryAfterMs: number }

/**
 * Whether to go on waiting at `nowMs`. `readyInMs` is the time until an engine is expected to hold what the request needs: 0 if one
 * does, but takes no more for now; `undefined` if no load is decided.
 */
export function decideWait (conditions: WaitConditions, nowMs: number, readyInMs: number | undefined): WaitDecision {
  const { lastProgressAtMs: silentSinceMs, startedAtMs, objectiveMs, shortestLoadMs } = conditions
  const untilMs = Math.min(conditions.lastAttemptAtMs, conditions.isStream ? silentSinceMs + streamPatienceMs(conditions) * patienceShare : Infinity)
  // A load that is not decided by then ends after the callers have left.
  const decidedUntilMs = Math.min(untilMs, Math.max(startedAtMs + placementDecisionMs, untilMs - shortestLoadMs))
  if (nowMs > untilMs || (readyInMs === undefined ? nowMs > decidedUntilMs : nowMs + readyInMs > untilMs)) {
    return readyInMs === 0
      ? { kind: 'refuse', reason: 'full', retryAfterMs: fullRetryAfterMs }
      : { kind: 'refuse', reason: 'not-loaded', retryAfterMs: (readyInMs ?? placementDecisionMs) + readyMarginMs }
  }
  return { kind: 'wait', isLate: nowMs > silentSinceMs + objectiveMs * inTimeShare }
}
