/** Rates at which waiting requests are assigned, by key: a model, or the requests of one account for a model. */

import type { Clock } from '../base/clock.js'

/** Window over which assignments are counted. */
const windowMs = 4000

interface KeyRate {
  waiting: number
  /** Since when requests have been waiting without interruption. */
  waitingSinceMs: number
  assignedAtMs: number[]
}

export class AssignmentRates {
  private readonly rates = new Map<string, KeyRate>()

  constructor (private readonly clock: Clock) {}

  /** The number of waiting requests has changed. */
  countWaiting (key: string, change: number): void {
    const rate = this.rateOf(key)
    if (rate.waiting === 0) rate.waitingSinceMs = this.clock.nowMs()
    rate.waiting += change
  }

  recordAssigned (key: string): void {
    this.rateOf(key).assignedAtMs.push(this.clock.nowMs())
  }

  /** The time within the window in which requests have been waiting until now, the assignments in it, and the time since the last. */
  of (key: string): { spanMs: number, count: number, sinceLastMs: number } {
    const { waitingSinceMs, assignedAtMs } = this.rateOf(key)
    const nowMs = this.clock.nowMs()
    const fromMs = Math.max(waitingSinceMs, nowMs - windowMs)
    while (assignedAtMs.length > 0 && assignedAtMs[0]! < nowMs - windowMs) assignedAtMs.shift()
    return { spanMs: nowMs - fromMs, count: assignedAtMs.filter(atMs => atMs >= fromMs).length, sinceLastMs: nowMs - (assignedAtMs.at(-1) ?? -Infinity) }
  }

  /** Drops keys without waiting requests and recent assignments. */
  expire (): void {
    const sinceMs = this.clock.nowMs() - windowMs
    for (const [key, { waiting, assignedAtMs }] of this.rates) if (waiting === 0 && (assignedAtMs.at(-1) ?? 0) < sinceMs) this.rates.delete(key)
  }

  private rateOf (key: string): KeyRate {
    let rate = this.rates.get(key)
    if (!rate) this.rates.set(key, rate = { waiting: 0, waitingSinceMs: this.clock.nowMs(), assignedAtMs: [] })
    return rate
  }
}
