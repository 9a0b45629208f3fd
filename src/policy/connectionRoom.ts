/** Decides which client's connection is closed when there are too many. */

export interface ConnectionUse<Connection> {
  connection: Connection
  /** `unused`: no request has arrived. `idle`: all responses are complete, and nothing has arrived since. `active`: neither. */
  state: 'unused' | 'idle' | 'active'
  /** Time since which the connection waits for its client to send something; `undefined` if it does not. */
  waitsSinceMs: number | undefined
}

/**
 * Returns the connection to close, or `undefined` if a request is being served on each. The one that has waited longest is chosen, so that
 * one that has just been accepted is read first. A part of a request counts for more than an idle connection, not for more than an unused one.
 */
export function connectionToClose<Connection> (uses: readonly ConnectionUse<Connection>[]): ConnectionUse<Connection> | undefined {
  let longest: ConnectionUse<Connection> | undefined
  for (const use of uses) if (use.waitsSinceMs !== undefined && use.waitsSinceMs < (longest?.waitsSinceMs ?? Infinity)) longest = use
  return longest?.state === 'unused' ? longest : uses.find(({ state }) => state === 'idle') ?? longest
}
