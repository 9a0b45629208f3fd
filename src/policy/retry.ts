/** Limits on retries, so that a failing fleet is not loaded further by them. */

import type { Clock } from '../base/clock.js'
import type { Random } from '../base/random.js'

const defaultWindowMs = 10_000
const baseDelayMs = 50
const maxDelayMs = 2_000
/** Retries that a node with little traffic may make in a window. */
const minimumRetries = 1

/** Allows retries up to a part of the requests of the last window, and `allowance` beyond. */
export class RetryBudget {
  private readonly clock: Clock
  private readonly share: () => number
  private readonly allowance: () => number
  private readonly windowMs: number
  private requestTimes: number[] = []
  private retryTimes: number[] = []

  constructor ({ clock, share, allowance = () => 0, windowMs = defaultWindowMs }: { clock: Clock, share: () => number, allowance?: () => number, windowMs?: number }) {
    this.windowMs = windowMs
    this.clock = clock
    this.share = share
    this.allowance = allowance
  }

  onRequest (): void {
    this.requestTimes.push(this.clock.nowMs())
    if (this.requestTimes.length % 1024 === 0) this.trim()
  }

  /** Whether the budget has a retry left. */
  hasRetry (): boolean {
    this.trim()
    return this.retryTimes.length < Math.max(minimumRetries, Math.floor(this.requestTimes.length * this.share() + this.allowance()))
  }

  /** Takes one retry out of the budget, or returns false if it is used up. */
  tryRetry (): boolean {
    if (!this.hasRetry()) return false
    this.retryTimes.push(this.clock.nowMs())
    return true
  }

  /** Returns a retry that was taken and not made. */
  returnRetry (): void {
    this.retryTimes.pop()
  }

  private trim (): void {
    const sinceMs = this.clock.nowMs() - this.windowMs
    this.requestTimes = this.requestTimes.filter(time => time > sinceMs)
    this.retryTimes = this.retryTimes.filter(time => time > sinceMs)
  }
}

/** Delay before retry `attempt` (1 or more): exponential backoff with full jitter. */
export function retryDelayMs (random: Random, attempt: number): number {
  return random.next() * Math.min(maxDelayMs, baseDelayMs * 2 ** (attempt - 1))
}
