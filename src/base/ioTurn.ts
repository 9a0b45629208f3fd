/** Lets the process read what has reached its sockets before something is concluded from silence. */

/**
 * Resolves after the event loop has polled all sockets once and run their callbacks. Timers run without such a poll
 * when the process was late. A connection that is accepted in one turn is read in the next. Never rejects.
 */
export function ioTurn (): Promise<void> {
  // Called in the poll phase, the first callback runs right after it and before the next poll.
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)))
}
