/** How many engines are kept busy by reading the prompts for each model, now and when a load that starts now has ended. */

import type { Clock } from '../base/clock.js'

/** Averages over about a second follow a shift of demand; over some seconds they show its trend. */
const fastTimeConstantMs = 1200
const slowTimeConstantMs = 3000
/** A trend says nothing about times further away. */
const maximumHorizonMs = 6000
/** A forecast is at most this multiple of the demand that is there. */
const maximumGrowth = 1.5
const forgetAfterMs = 60_000

interface Averages {
  fast: number
  slow: number
  updatedAtMs: number
}

export interface PrefillEstimate {
  /** Engines that would do nothing but read these prompts. */
  engines: number
  /** The same after the horizon, if the trend goes on; not below `engines`. */
  expectedEngines: number
}

export class PrefillDemand {
  private readonly models = new Map<string, Averages>()

  constructor (private readonly clock: Clock) {}

  /** A request came whose prompt takes `readingMs`. */
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
