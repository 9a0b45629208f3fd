/** Estimates the prefill load of each model, now and when a model load that starts now has completed. */

import type { Clock } from '../base/clock.js'

/** The fast average follows a shift of demand within about a second; its distance from the slow one shows the trend. */
const fastTimeConstantMs = 1200
const slowTimeConstantMs = 3000
/** The trend is not extrapolated further than this. */
const maximumHorizonMs = 6000
/** Largest ratio of the forecast to the current demand. */
const maximumGrowth = 1.5
const forgetAfterMs = 60_000

interface Averages {
  fast: number
  slow: number
  updatedAtMs: number
}

export interface PrefillEstimate {
  /** Prefill load, in fully occupied engines. */
  engines: number
  /** Prefill load after the horizon if the trend continues; not below `engines`. */
  expectedEngines: number
}

export class PrefillDemand {
  private readonly models = new Map<string, Averages>()

  constructor (private readonly clock: Clock) {}

  /** Records the arrival of a request whose prefill takes `prefillMs`. */
  add (key: string, prefillMs: number): void {
    const averages = this.averagesOf(key)
    averages.fast += prefillMs / fastTimeConstantMs
    averages.slow += prefillMs / slowTimeConstantMs
  }

  estimate (key: string, horizonMs: number): PrefillEstimate {
    if (!this.models.has(key)) return { engines: 0, expectedEngines: 0 }
    const { fast, slow } = this.averagesOf(key)
    const trendPerMs = Math.max(0, fast - slow) / (slowTimeConstantMs - fastTimeConstantMs)
    const expected = fast + trendPerMs * (fastTimeConstantMs + Math.min(horizonMs, maximumHorizonMs))
    return { engines: fast, expectedEngines: Math.min(fast * maximumGrowth, expected) }
  }

  private averagesOf (key: string): Averages {
    const nowMs = this.clock.nowMs()
    let averages = this.models.get(key)
    if (!averages) {
      for (const [known, { updatedAtMs }] of this.models) if (nowMs - updatedAtMs > forgetAfterMs) this.models.delete(known)
      averages = { fast: 0, slow: 0, updatedAtMs: nowMs }
      this.models.set(key, averages)
    }
    const elapsedMs = nowMs - averages.updatedAtMs
    averages.fast *= Math.exp(-elapsedMs / fastTimeConstantMs)
    averages.slow *= Math.exp(-elapsedMs / slowTimeConstantMs)
    averages.updatedAtMs = nowMs
    return averages
  }
}
