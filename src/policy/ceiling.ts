/** Rate ceilings of customers. */

import type { Clock } from '../base/clock.js'

interface Bucket {
  tokens: number
  updatedAtMs: number
}

/** A token bucket for each customer, which holds one second of requests. */
export class CeilingLimiter {
  private readonly buckets = new Map<string, Bucket>()

  /** `nodeCount` is the number of nodes over which the requests of a customer spread; ceilings are divided by it. */
  constructor (private readonly clock: Clock, private readonly nodeCount: () => number) {}

  /** Time in milliseconds until the customer is below its ceiling again; 0 if it is, and the request is counted. */
  take (customer: string, ceilingRequestsPerSecond: number): number {
    const nowMs = this.clock.nowMs()
    const rate = ceilingRequestsPerSecond / Math.max(1, this.nodeCount())
    const burst = Math.max(1, rate)
    const bucket = this.buckets.get(customer) ?? { tokens: burst, updatedAtMs: nowMs }
    this.buckets.set(customer, bucket)
    bucket.tokens = Math.min(burst, bucket.tokens + (nowMs - bucket.updatedAtMs) / 1000 * rate)
    bucket.updatedAtMs = nowMs
    // The tolerance absorbs rounding, so that a caller that waits as told is admitted.
    if (bucket.tokens < 1 - 1e-9) return Math.ceil((1 - bucket.tokens) / rate * 1000)
    bucket.tokens--
    return 0
  }
}
