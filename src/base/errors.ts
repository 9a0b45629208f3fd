/** What a call to another process proves when it does not succeed. */

/** Whether the work of a request ran. `unknown` must never be treated as `not-run`. */
export type Outcome = 'not-run' | 'unknown' | 'failed'

/** Base class of the errors with which all calls to the outside reject. */
export abstract class CallError extends Error {
  abstract readonly outcome: Outcome

  constructor (readonly target: string, readonly reason: string, options?: ErrorOptions) {
    super(`${target}: ${reason}`, options)
    this.name = new.target.name
  }
}

/** Proof that nothing ran: the connection was refused, or the server refused before execution. */
export class NotRunError extends CallError {
  readonly outcome = 'not-run'
  /** Set when the server named a time after which a retry is useful, in milliseconds. */
  retryAfterMs?: number
}

/** Bytes were written and no answer came, so the work may have run, may run later, or never. */
export class UnknownOutcomeError extends CallError {
  readonly outcome = 'unknown'
}

/** The server answered that the work ran, or began, and failed. */
export class FailedError extends CallError {
  readonly outcome = 'failed'
}

/** The outcome that `error` proves. Anything that is not a `CallError` proves nothing. */
export function outcomeOf (error: unknown): Outcome {
  return error instanceof CallError ? error.outcome : 'unknown'
}

/** The message of any thrown value. */
export function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
