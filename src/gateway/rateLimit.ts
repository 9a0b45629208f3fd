/** Enforces the rate ceiling of each customer on this node. */

import type { Clock } from '../base/clock.js'
import type { Filter } from './exchange.js'
import { ProblemError } from './problem.js'

interface Bucket {
  tokens: number
  updatedAtMs: number
}

/**
 * Rejects requests above the customer's ceiling with 429. The balancer spreads a customer's requests over the nodes,
 * so each node enforces the ceiling divided by the number of ready nodes. A bucket holds two seconds of requests.
 */
export function rateLimitFilter (clock: Clock, readyNodes: () => number): Filter {
  const buckets = new Map<string, Bucket>()
  return async (exchange, next) => {
    const ceiling = exchange.terms!.ceilingRequestsPerSecond
    if (ceiling !== undefined) {
      const ratePerSecond = ceiling / Math.max(1, readyNodes())
      const capacity = Math.max(1, 2 * ratePerSecond)
      const nowMs = clock.nowMs()
      const bucket = buckets.get(exchange.customer!) ?? { tokens: capacity, updatedAtMs: nowMs }
      bucket.tokens = Math.min(capacity, bucket.tokens + (nowMs - bucket.updatedAtMs) / 1000 * ratePerSecond)
      bucket.updatedAtMs = nowMs
      buckets.set(exchange.customer!, bucket)
      if (bucket.tokens < 1) {
        throw new ProblemError(429, 'rate-limited', 'not-run', `customer ${exchange.customer} is limited to ${ceiling} requests/s`, {
          retryAfterMs: (1 - bucket.tokens) / ratePerSecond * 1000
        })
      }
      bucket.tokens -= 1
    }
    await next()
  }
}
