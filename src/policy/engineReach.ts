/** Decides when the models of an engine that answers no state queries count as not loaded. */

/** Shorter interruptions are waited for, since a load elsewhere displaces another model. */
const outOfReachMs = 2000

/** `unansweredSinceMs`: time of the first state query without an answer since the last one with an answer. */
export function isOutOfReach (unansweredSinceMs: number | undefined, nowMs: number): boolean {
  return unansweredSinceMs !== undefined && nowMs - unansweredSinceMs >= outOfReachMs
}
