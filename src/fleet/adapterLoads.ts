/** Limits concurrent adapter loads by additive increase and multiplicative decrease on their observed time. */

import type { Clock } from '../base/clock.js'

export interface AdapterLoadLimits {
  /** Usually the store's limit divided by the number of engines. */
  initialLimit: number
  minimumLimit?: number
  maximumLimit?: number
}

/** A load that takes this many times the fastest recent one shows that the store is shared by too many. */
const slowFactor = 2

/** One for each controller: the store is shared without any messages between controllers. */
export class AdapterLoadLimiter {
  private limit: number
  private running = 0
  private readonly waiters: (() => void)[] = []
  private fastestMs = Infinity
  private lastDecreaseAtMs = -Infinity

  constructor (private readonly clock: Clock, private readonly limits: AdapterLoadLimits) {
    this.limit = Math.max(limits.minimumLimit ?? 1, limits.initialLimit)
  }

  /** Loads that may run at once now. */
  currentLimit (): number {
    return Math.floor(this.limit)
  }

  /** Runs `load` when the limit allows. Its failure counts as slow. */
  async run<T extends { accepted: boolean }> (load: () => Promise<T>): Promise<T> {
    await this.acquire()
    const startedAtMs = this.clock.nowMs()
    let accepted = false
    try {
      const result = await load()
      accepted = result.accepted
      return result
    } finally {
      this.running--
      this.observe(startedAtMs, accepted)
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

  private observe (startedAtMs: number, accepted: boolean): void {
    const nowMs = this.clock.nowMs()
    const tookMs = nowMs - startedAtMs
    if (accepted) {
      // The baseline rises by 1% with each load, so that it follows a store that became slower for good.
      this.fastestMs = Math.min(Math.max(1, tookMs), this.fastestMs * 1.01)
    }
    if (accepted && tookMs <= slowFactor * this.fastestMs) {
      this.limit = Math.min(this.limits.maximumLimit ?? 64, this.limit + 1 / this.limit)
    } else if (startedAtMs >= this.lastDecreaseAtMs) {
      // Loads that began before the last decrease tell nothing about the new limit.
      this.limit = Math.max(this.limits.minimumLimit ?? 1, this.limit / 2)
      this.lastDecreaseAtMs = nowMs
    }
  }
}
