/** Problem details (RFC 9457) with the outcome of the request. */

import type { Outcome } from '../base/errors.js'
import type { CallerResponse } from './exchange.js'

/** Why a request was not answered; `problem.type` is `urn:teaselrill:` and this code. */
export type ProblemCode =
  | 'bad-request'
  | 'unauthorized'
  | 'not-found'
  | 'too-large'
  | 'unsupported'
  | 'rate-limited'
  | 'overloaded'
  | 'model-unavailable'
  | 'deadline'
  | 'shutting-down'
  | 'key-in-use'
  | 'key-mismatch'
  | 'key-store-unavailable'
  | 'answer-not-kept'
  | 'backend-failed'
  | 'backend-unknown'
  | 'internal'

/** Ends the pipeline with a problem response. */
export class ProblemError extends Error {
  readonly retryAfterMs: number | undefined

  constructor (
    readonly status: number,
    readonly code: ProblemCode,
    readonly outcome: Outcome,
    readonly detail: string,
    { retryAfterMs }: { retryAfterMs?: number } = {}
  ) {
    super(detail)
    this.name = 'ProblemError'
    this.retryAfterMs = retryAfterMs
  }
}

const titles: Record<ProblemCode, string> = {
  'bad-request': 'The request is not valid',
  unauthorized: 'The API key is missing or unknown',
  'not-found': 'There is no such path, model or service',
  'too-large': 'The request is too large',
  unsupported: 'The request uses a feature that is not supported',
  'rate-limited': 'The rate limit of the customer is reached',
  overloaded: 'The request cannot be served within its deadline',
  'model-unavailable': 'The model cannot be loaded within the deadline',
  deadline: 'The deadline has passed',
  'shutting-down': 'The node is shutting down',
  'key-in-use': 'A request with the same Idempotency-Key was dispatched and its result is not known',
  'key-mismatch': 'The Idempotency-Key was used for a different request',
  'key-store-unavailable': 'Idempotency keys cannot be recorded at present',
  'answer-not-kept': 'The request with this Idempotency-Key was answered, but its answer was not kept',
  'backend-failed': 'The backend server failed',
  'backend-unknown': 'The backend server did not answer',
  internal: 'Internal error'
}

/** The body of a problem, also used in SSE `error` events. */
export function problemBody (error: ProblemError, requestId: string): Record<string, unknown> {
  return {
    type: `urn:teaselrill:${error.code}`,
    title: titles[error.code],
    status: error.status,
    detail: error.detail,
    outcome: error.outcome,
    requestId,
    // OpenAI client libraries read the message from here.
    error: { message: `${titles[error.code]}: ${error.detail}`, type: error.code, code: error.outcome }
  }
}

/** The response for a problem. `Retry-After` is in whole seconds, rounded up. */
export function problemResponse (error: ProblemError, requestId: string): CallerResponse {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json', 'x-request-id': requestId }
  if (error.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterMs / 1000)))
  return { status: error.status, headers, body: Buffer.from(JSON.stringify(problemBody(error, requestId))) }
}
