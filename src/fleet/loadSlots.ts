/** The weight store's limits on loads, as slots that expire. They guard performance and not safety. */

import type { Clock } from '../base/clock.js'

export interface LoadSlot {
  engine: string
  /** With the version. */
  model: string
  startedAtMs: number
}

/** Initial estimate, until the first load is observed. */
const initialLoadTimeMs = 3_000
/** Requests that the estimate rules out start no loads, so an estimate that nothing confirms must not last. */
const estimateMaxAgeMs = 60_000
/** A slot without reply is freed after this many load times. */
const expiryFactor = 3
const minimumExpiryMs = 10_000

export class LoadSlots {
  private readonly slots = new Set<LoadSlot>()
  /** When a load that another planner started was first seen. */
  private readonly externalLoads = new Map<string, LoadSlot>()
  private meanLoadTimeMs = initialLoadTimeMs
  private measuredAtMs = -Infinity
  private tokens = 1
  private refilledAtMs: number

  constructor (private readonly clock: Clock) {
    this.refilledAtMs = clock.nowMs()
  }

  /** Mean time of recent loads; the initial estimate if none has ended lately. */
  loadTimeMs (): number {
    return this.clock.nowMs() - this.measuredAtMs > estimateMaxAgeMs ? initialLoadTimeMs : this.meanLoadTimeMs
  }

  /**
   * Counts loads that engines report and this planner did not start, such as those of a planner that died. Each
   * counts for at most one expiry time.
   */
  observe (loading: readonly { engine: string, model: string }[]): void {
    const seen = new Map(loading.map(load => [slotKey(load), load]))
    for (const key of this.externalLoads.keys()) if (!seen.has(key)) this.externalLoads.delete(key)
    const own = new Set([...this.slots].map(slotKey))
    for (const [key, load] of seen) {
      if (own.has(key)) this.externalLoads.delete(key)
      else if (!this.externalLoads.has(key)) this.externalLoads.set(key, { ...load, startedAtMs: this.clock.nowMs() })
    }
  }

  /** Loads that hold a slot now. */
  inFlight (): LoadSlot[] {
    const oldestMs = this.clock.nowMs() - Math.max(minimumExpiryMs, expiryFactor * this.meanLoadTimeMs)
    for (const slot of this.slots) if (slot.startedAtMs < oldestMs) this.slots.delete(slot)
    return [...this.slots, ...[...this.externalLoads.values()].filter(slot => slot.startedAtMs >= oldestMs)]
  }

  /** Takes a slot, or returns `undefined` if the store's rate or concurrency is used up. */
  acquire (load: { engine: string, model: string }, limits: { loadsPerSecond: number, loadsInFlight: number }): LoadSlot | undefined {
    const nowMs = this.clock.nowMs()
    const capacity = Math.max(1, limits.loadsPerSecond)
    this.tokens = Math.min(capacity, this.tokens + limits.loadsPerSecond * (nowMs - this.refilledAtMs) / 1_000)
    this.refilledAtMs = nowMs
    // The tolerance covers rounding when a whole token was due exactly now.
    if (this.tokens < 1 - 1e-9 || this.inFlight().length >= limits.loadsInFlight) return undefined
    this.tokens -= 1
    const slot = { ...load, startedAtMs: nowMs }
    this.slots.add(slot)
    return slot
  }

  /** Returns a slot. `completed` says that the load took place, so that its time counts. */
  release (slot: LoadSlot, { completed }: { completed: boolean }): void {
    this.slots.delete(slot)
    if (!completed) return
    this.meanLoadTimeMs += 0.2 * (this.clock.nowMs() - slot.startedAtMs - this.meanLoadTimeMs)
    this.measuredAtMs = this.clock.nowMs()
  }
}

function slotKey ({ engine, model }: { engine: string, model: string }): string {
  return `${engine}\u0000${model}`
}
