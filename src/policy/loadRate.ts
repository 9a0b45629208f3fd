/** Limits the rate of model loads from the weight store. */

import type { Clock } from '../base/clock.js'

/** Loads that a previous placement leader may have started just before. */
const assumedRecentLoads = 3

/** Sliding-window rate limit of loads. */
export class LoadRate {
  private readonly clock: Clock
  private readonly windowMs: number
  private readonly loadsPerSecond: number
  private startedAtMs: number[]

  constructor ({ clock, windowMs, loadsPerSecond }: { clock: Clock, windowMs: number, loadsPerSecond: number }) {
    this.clock = clock
    this.windowMs = windowMs
    this.loadsPerSecond = loadsPerSecond
    this.startedAtMs = Array(assumedRecentLoads).fill(clock.nowMs())
  }

  /** Number of loads that may start now. */
  available (): number {
    const sinceMs = this.clock.nowMs() - this.windowMs
    this.startedAtMs = this.startedAtMs.filter(atMs => atMs > sinceMs)
    return Math.max(0, Math.floor(this.loadsPerSecond * this.windowMs / 1000) - this.startedAtMs.length)
  }

  /** Records the start of a load. */
  take (): void {
    this.startedAtMs.push(this.clock.nowMs())
  }
}
