/**
 * Decides how long a request waits for an engine. Handles overload of a few seconds, such as a burst or a shift of demand to other
 * models: requests that can still meet their objective go first. Late ones wait behind them as long as their callers do, instead of
 * being refused while engines regain free capacity.
 */

import { streamPatienceMs } from './streamPatience.js'

/** Share of the objective after which a waiting request counts as late; the rest is for prefill. */
const inTimeShare = 0.6
/** Share of the callers' patience that the wait may use; the rest is for the first event. */
const patienceShare = 0.75
/** Time within which the placement leader decides to load a model, if it can. */
const placementDecisionMs = 1500
/** Time within which a full engine completes a good part of its requests. */
const fullRetryAfterMs = 1200
/**
 * Longest time until a request that was told to wait asks again: what it waits for may be over sooner. A wait that is told again after
 * that is believed.
 */
export const maxStatedWaitMs = 250
/** Added to the expected load time in `retryAfterMs`, so that the model is ready when the caller retries. */
const readyMarginMs = 25

export interface WaitConditions {
  isStream: boolean
  objectiveMs: number
  gapObjectiveMs?: number | undefined
  /** Time since which the caller has received nothing: the request's arrival, or the last event of a started response. */
  lastProgressAtMs: number
  /** Latest time at which starting an attempt is useful. */
  lastAttemptAtMs: number
  /** Start of the wait. */
  startedAtMs: number
  /** Shortest load time of the model from memory, disk or the weight store. */
  shortestLoadMs: number
}

export type WaitDecision =
  /** `isLate`: the request can no longer meet its objective. */
  | { kind: 'wait', isLate: boolean }
  | { kind: 'refuse', reason: 'full' | 'not-loaded', retryAfterMs: number }

/** Time until which the request waits at most. */
export function waitUntilMs (conditions: Pick<WaitConditions, 'isStream' | 'objectiveMs' | 'gapObjectiveMs' | 'lastProgressAtMs' | 'lastAttemptAtMs'>): number {
  return Math.min(conditions.lastAttemptAtMs, conditions.isStream ? conditions.lastProgressAtMs + streamPatienceMs(conditions) * patienceShare : Infinity)
}

/** Time from which the waiting request can no longer meet its objective. */
export function lateAtMs ({ lastProgressAtMs, objectiveMs }: Pick<WaitConditions, 'lastProgressAtMs' | 'objectiveMs'>): number {
  return lastProgressAtMs + objectiveMs * inTimeShare
}

/**
 * Decides at `nowMs` whether the request keeps waiting. `readyInMs` is the expected time until an engine has the required model and
 * adapter loaded: 0 if one has but is full, `undefined` if no load is planned. `statedWaitMs` is the time until an engine has free
 * capacity, as last told by the placement leader.
 */
export function decideWait (conditions: WaitConditions, nowMs: number, readyInMs: number | undefined, statedWaitMs = 0): WaitDecision {
  const { startedAtMs, shortestLoadMs } = conditions
  const untilMs = waitUntilMs(conditions)
  const isConfirmed = statedWaitMs > maxStatedWaitMs && nowMs >= startedAtMs + maxStatedWaitMs
  if (isConfirmed && nowMs + statedWaitMs > untilMs) return { kind: 'refuse', reason: 'full', retryAfterMs: statedWaitMs }
  // A load planned later than this would complete after the callers have left.
  const planUntilMs = Math.min(untilMs, Math.max(startedAtMs + placementDecisionMs, untilMs - shortestLoadMs))
  if (nowMs > untilMs || (readyInMs === undefined ? nowMs > planUntilMs : nowMs + readyInMs > untilMs)) {
    return readyInMs === 0
      ? { kind: 'refuse', reason: 'full', retryAfterMs: fullRetryAfterMs }
      : { kind: 'refuse', reason: 'not-loaded', retryAfterMs: (readyInMs ?? placementDecisionMs) + readyMarginMs }
  }
  return { kind: 'wait', isLate: nowMs > lateAtMs(conditions) }
}
