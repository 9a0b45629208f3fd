/** Answers repeated requests with the same `Idempotency-Key` from the first one's record. */

import { createHash } from 'node:crypto'
import type { Clock } from '../base/clock.js'
import type { IdempotencyStore, StoredResponse } from '../fleet/idempotencyStore.js'
import type { CallerResponse, Exchange, Filter } from './exchange.js'
import { ProblemError } from './problem.js'

const maxKeyLength = 255
// A caller that waits for a record should hear within this time that none can be made.
const maxBeginMs = 3_000
const unavailableRetryAfterMs = 5_000

/** What makes two requests under one key the same. */
export function requestHash (exchange: Exchange): string {
  const { method, path, body } = exchange.request
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')
}

/**
 * Applies to requests that must not run twice. A key on an idempotent request is not recorded: repeats of it may run
 * again without harm, and it is then also served while the key-value service is down.
 */
export function deduplicateFilter (clock: Clock, store: IdempotencyStore): Filter {
  return async (exchange, next) => {
    const idempotencyKey = exchange.request.headers['idempotency-key']
    if (idempotencyKey === undefined || exchange.terms!.idempotent) return next()
    if (idempotencyKey.length === 0 || idempotencyKey.length > maxKeyLength) {
      throw new ProblemError(400, 'bad-request', 'not-run', `Idempotency-Key has ${idempotencyKey.length} characters, allowed are 1 to ${maxKeyLength}`)
    }
    const deadlineMs = Math.min(exchange.deadlineMs!, clock.nowMs() + maxBeginMs)
    const begun = await store.begin(exchange.customer!, idempotencyKey, requestHash(exchange), { deadlineMs })
    exchange.trace.add('deduplicate', `idempotency key is ${begun.kind}`)
    switch (begun.kind) {
      case 'replay':
        exchange.response = replay(exchange, begun.response)
        return
      case 'started':
        throw new ProblemError(409, 'key-in-use', 'unknown', `node ${begun.node} dispatched the request`)
      case 'mismatch':
        throw new ProblemError(422, 'key-mismatch', 'not-run', 'use a new key for a different request')
      case 'unavailable':
        throw new ProblemError(503, 'key-store-unavailable', 'not-run', begun.reason, { retryAfterMs: unavailableRetryAfterMs })
    }
    try {
      await next()
    } catch (error) {
      if (error instanceof ProblemError && error.outcome === 'not-run') store.abandon(begun.claim)
      throw error
    }
    await keepAnswer(exchange, response => store.complete(begun.claim, response))
  }
}

function replay (exchange: Exchange, stored: StoredResponse): CallerResponse {
  if (stored.body === undefined) {
    throw new ProblemError(409, 'answer-not-kept', 'unknown', `the first answer had status ${stored.status}`)
  }
  return { status: stored.status, headers: { ...stored.headers, 'idempotent-replayed': 'true', 'x-request-id': exchange.requestId }, body: stored.body }
}

/** Keeps a whole answer at once, and a streamed one when its last part has been sent. */
async function keepAnswer (exchange: Exchange, keep: (response: StoredResponse) => void): Promise<void> {
  const response = exchange.response!
  const { status, headers, body } = response
  if (body instanceof Uint8Array) return keep({ status, headers, body })
  response.body = (async function * () {
    const parts: string[] = []
    for await (const part of body) {
      parts.push(part)
      yield part
    }
    keep({ status, headers, body: Buffer.from(parts.join('')) })
  })()
}
