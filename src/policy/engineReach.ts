/** Decides when the models of an engine that answers no state queries count as not loaded. */

/** Shorter interruptions are waited for, since a load elsewhere displaces another model. */
const outOfReachMs = 2000

/** Times at which the first and the last state query without an answer were sent, since the last one with an answer. */
export interface UnansweredQueries {
  firstAtMs: number
  lastAtMs: number
}

/**
 * Time without a query is no evidence: the process that asks may have been paused after the first one. So the last query without an
 * answer counts, not the present time.
 */
export function isOutOfReach (unanswered: UnansweredQueries | undefined): boolean {
  return unanswered !== undefined && unanswered.lastAtMs - unanswered.firstAtMs >= outOfReachMs
}
