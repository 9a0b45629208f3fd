/** Rate limits (ceilings) of customers. */

import type { Clock } from '../base/clock.js'

interface Bucket {
  tokens: number
  updatedAtMs: number
}

/** Limits each customer's requests by a token bucket that holds the requests of one second, at least one. */
export class CeilingLimiter {
  private readonly buckets = new Map<string, Bucket>()

  /** `nodeCount` returns the number of nodes that receive a customer's requests; rate limits are divided by it. */
  constructor (private readonly clock: Clock, private readonly nodeCount: () => number) {}

  /** Consumes a token and returns 0, or returns the time in milliseconds until the customer is below its rate limit again. */
  take (customer: string, ceilingRequestsPerSecond: number): number {
    const nowMs = this.clock.nowMs()
    const rate = ceilingRequestsPerSecond / Math.max(1, this.nodeCount())
    const burst = Math.max(1, rate)
    const bucket = this.buckets.get(customer) ?? { tokens: burst, updatedAtMs: nowMs }
    this.buckets.set(customer, bucket)
    bucket.tokens = Math.min(burst, bucket.tokens + (nowMs - bucket.updatedAtMs) / 1000 * rate)
    bucket.updatedAtMs = nowMs
    // The tolerance absorbs rounding errors, so that a caller that waits for the returned time is admitted.
    if (bucket.tokens < 1 - 1e-9) return Math.ceil((1 - bucket.tokens) / rate * 1000)
    bucket.tokens--
    return 0
  }
}
