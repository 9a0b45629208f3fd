/** Forecasts the rate at which amounts arrive, by key: now and after a time such as that of a model load which starts now. */

import type { Clock } from '../base/clock.js'

/** The fast average follows a change of the rate within about a second; its distance from the slow one shows the trend. */
const fastTimeConstantMs = 1200
const slowTimeConstantMs = 3000
/** The trend is not extrapolated further than this. */
const maximumHorizonMs = 6000
/** Largest ratio of the forecast to the current rate. */
const maximumGrowth = 1.5
const forgetAfterMs = 60_000

interface Averages {
  fast: number
  slow: number
  updatedAtMs: number
}

export interface RateEstimate {
  /** Amount per millisecond. */
  perMs: number
  /** Amount per millisecond after the horizon if the trend continues; not below `perMs`. */
  expectedPerMs: number
}

export class RateForecast {
  private readonly byKey = new Map<string, Averages>()

  constructor (private readonly clock: Clock) {}

  /** Records an amount that arrives now. */
  add (key: string, amount: number): void {
    const averages = this.averagesOf(key)
    averages.fast += amount / fastTimeConstantMs
    averages.slow += amount / slowTimeConstantMs
  }

  estimate (key: string, horizonMs: number): RateEstimate {
    if (!this.byKey.has(key)) return { perMs: 0, expectedPerMs: 0 }
    const { fast, slow } = this.averagesOf(key)
    const trendPerMs = Math.max(0, fast - slow) / (slowTimeConstantMs - fastTimeConstantMs)
    const expected = fast + trendPerMs * (fastTimeConstantMs + Math.min(horizonMs, maximumHorizonMs))
    return { perMs: fast, expectedPerMs: Math.min(fast * maximumGrowth, expected) }
  }

  private averagesOf (key: string): Averages {
    const nowMs = this.clock.nowMs()
    let averages = this.byKey.get(key)
    if (!averages) {
      for (const [known, { updatedAtMs }] of this.byKey) if (nowMs - updatedAtMs > forgetAfterMs) this.byKey.delete(known)
      averages = { fast: 0, slow: 0, updatedAtMs: nowMs }
      this.byKey.set(key, averages)
    }
    const elapsedMs = nowMs - averages.updatedAtMs
    averages.fast *= Math.exp(-elapsedMs / fastTimeConstantMs)
    averages.slow *= Math.exp(-elapsedMs / slowTimeConstantMs)
    averages.updatedAtMs = nowMs
    return averages
  }
}
