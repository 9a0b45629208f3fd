/** Enforces the rate ceiling of each customer on this node. */

import type { CeilingLimiter } from '../policy/ceiling.js'
import type { Filter } from './exchange.js'
import { ProblemError } from './problem.js'

/** Rejects requests above the customer's ceiling with 429. */
export function rateLimitFilter (limiter: CeilingLimiter): Filter {
  return async (exchange, next) => {
    const ceiling = exchange.terms!.ceilingRequestsPerSecond
    const retryAfterMs = ceiling === undefined ? 0 : limiter.take(exchange.customer!, ceiling)
    if (retryAfterMs > 0) {
      throw new ProblemError(429, 'rate-limited', 'not-run', `customer ${exchange.customer} is limited to ${ceiling} requests/s`, { retryAfterMs })
    }
    await next()
  }
}
