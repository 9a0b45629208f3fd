/** Limits concurrent adapter loads by additive increase and multiplicative decrease, based on measured load times. */

import type { Clock } from '../base/clock.js'

export interface AdapterLoadLimits {
  /** Usually the store's concurrency limit divided by the number of engines. */
  initialLimit: number
  minimumLimit?: number
  maximumLimit?: number
}

/** The store counts as overloaded if the mean load time of a window exceeds the lowest mean by this factor. */
const slowFactor = 1.7
/**
 * Loads in a window. Load times differ threefold by adapter size (10 to 30 ms), so window means are compared. A window
 * consists of loads that start consecutively: selecting them by their end would favor short loads.
 */
const windowLoads = 20

interface Window { started: number, finished: number, sumMs: number }

/** Exists once for each controller: controllers share the store without coordination. */
export class AdapterLoadLimiter {
  private limit: number
  private running = 0
  private readonly waiters: (() => void)[] = []
  private window: Window = { started: 0, finished: 0, sumMs: 0 }
  private lowestMeanMs = Infinity

  constructor (private readonly clock: Clock, private readonly limits: AdapterLoadLimits) {
    this.limit = Math.max(limits.minimumLimit ?? 1, limits.initialLimit)
  }

  /** Maximum number of concurrent loads at present. */
  currentLimit (): number {
    return Math.floor(this.limit)
  }

  /** Runs `load` once the limit permits. A failed or refused load of the current window lowers the limit. */
  async run<T extends { accepted: boolean }> (load: () => Promise<T>): Promise<T> {
    await this.acquire()
    const startedAtMs = this.clock.nowMs()
    const { window } = this
    const counted = window.started < windowLoads
    if (counted) window.started++
    let accepted = false
    try {
      const result = await load()
      accepted = result.accepted
      return result
    } finally {
      this.running--
      if (counted && window === this.window) this.observe(this.clock.nowMs() - startedAtMs, accepted)
      this.admit()
    }
  }

  private acquire (): Promise<void> {
    return new Promise(resolve => {
      this.waiters.push(resolve)
      this.admit()
    })
  }

  private admit (): void {
    while (this.waiters.length > 0 && this.running < this.currentLimit()) {
      this.running++
      this.waiters.shift()!()
    }
  }

  private observe (tookMs: number, accepted: boolean): void {
    if (!accepted) return this.decrease()
    this.window.finished++
    this.window.sumMs += Math.max(1, tookMs)
    if (this.window.finished < windowLoads) return
    const meanMs = this.window.sumMs / windowLoads
    this.lowestMeanMs = Math.min(this.lowestMeanMs, meanMs)
    if (meanMs > slowFactor * this.lowestMeanMs) return this.decrease()
    this.limit = Math.min(this.limits.maximumLimit ?? 64, this.limit + 1)
    this.startWindow()
  }

  private decrease (): void {
    const minimumLimit = this.limits.minimumLimit ?? 1
    // At the minimum limit, slow loads are not caused by this limiter: the baseline rises to adapt to a store that became
    // permanently slower.
    if (this.limit <= minimumLimit) this.lowestMeanMs *= 1.1
    this.limit = Math.max(minimumLimit, this.limit / 2)
    this.startWindow()
  }

  /** Loads that are still running started under the previous limit and are not counted. */
  private startWindow (): void {
    this.window = { started: 0, finished: 0, sumMs: 0 }
  }
}
