/** Lets the process read what has reached its sockets before something is concluded from silence. */

import type { Clock } from './clock.js'

/**
 * Resolves after the event loop has polled all sockets once and run their callbacks. Timers run without such a poll
 * when the process was late. A connection that is accepted in one turn is read in the next. Never rejects.
 */
export function ioTurn (): Promise<void> {
  // Called in the poll phase, the first callback runs right after it and before the next poll.
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)))
}

/** A round that took longer may have polled before the process was held up, and proves nothing. */
const longestRoundMs = 10

export interface QuietResult {
  rounds: number
  durationMs: number
  /** Whether the last round brought nothing new; otherwise a bound was reached. */
  isQuiet: boolean
}

/**
 * Polls the sockets until a round changes nothing of what `progress` tells, and resolves in the same turn of the
 * event loop, so that nothing else is read before the caller acts. Ends after `maxRounds` or `maxMs` in any case.
 */
export async function readUntilQuiet (
  clock: Clock, progress: () => number, { maxRounds, maxMs }: { maxRounds: number, maxMs: number }
): Promise<QuietResult> {
  const startMs = clock.nowMs()
  for (let rounds = 1; ; rounds++) {
    const before = progress()
    const roundStartMs = clock.nowMs()
    await ioTurn()
    const nowMs = clock.nowMs()
    const isQuiet = progress() === before && nowMs - roundStartMs <= longestRoundMs
    if (isQuiet || rounds >= maxRounds || nowMs - startMs >= maxMs) return { rounds, durationMs: nowMs - startMs, isQuiet }
  }
}
