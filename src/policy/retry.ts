/** Retry budget and backoff, so that retries do not overload a failing fleet. */

import type { Clock } from '../base/clock.js'
import type { Random } from '../base/random.js'

const defaultWindowMs = 10_000
const baseDelayMs = 50
const maxDelayMs = 2_000
/** Retries per window that are always allowed, for nodes with little traffic. */
const minimumRetries = 1

/** Allows retries up to a share of the requests in the last window, plus `allowance`. */
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

  /** Whether the budget allows another retry. */
  hasRetry (): boolean {
    this.trim()
    return this.retryTimes.length < Math.max(minimumRetries, Math.floor(this.requestTimes.length * this.share() + this.allowance()))
  }

  /** Consumes one retry of the budget. Returns false if the budget is exhausted. */
  tryRetry (): boolean {
    if (!this.hasRetry()) return false
    this.retryTimes.push(this.clock.nowMs())
    return true
  }

  /** Returns a consumed but unused retry to the budget. */
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
