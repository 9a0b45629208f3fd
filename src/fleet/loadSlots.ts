/** Expiring slots that limit the rate and concurrency of loads from the weight store, for performance and not for safety. */

import type { Clock } from '../base/clock.js'

export interface LoadSlot {
  engine: string
  /** Includes the version: `NAME@VERSION`. */
  model: string
  startedAtMs: number
}

/** Estimated load time until the first load completes. */
const initialLoadTimeMs = 3_000
/**
 * Age at which the estimate is reset. A high estimate makes admission refuse requests, so that no load starts that could
 * correct it.
 */
const estimateMaxAgeMs = 60_000
/** A slot whose load has no reply expires after this multiple of the mean load time. */
const expiryFactor = 3
const minimumExpiryMs = 10_000

export class LoadSlots {
  private readonly slots = new Set<LoadSlot>()
  /** Loads started by other planners, with the time at which each was first seen. */
  private readonly externalLoads = new Map<string, LoadSlot>()
  private meanLoadTimeMs = initialLoadTimeMs
  private measuredAtMs = -Infinity
  private tokens = 1
  private refilledAtMs: number

  constructor (private readonly clock: Clock) {
    this.refilledAtMs = clock.nowMs()
  }

  /** Mean time of recent loads, or the initial estimate if none completed recently. */
  loadTimeMs (): number {
    return this.clock.nowMs() - this.measuredAtMs > estimateMaxAgeMs ? initialLoadTimeMs : this.meanLoadTimeMs
  }

  /**
   * Also counts loads that engines report but this planner did not start, such as those of a failed planner. Each counts
   * for at most one expiry time.
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

  /** Loads that occupy a slot. Expired slots are freed first. */
  inFlight (): LoadSlot[] {
    const oldestMs = this.clock.nowMs() - Math.max(minimumExpiryMs, expiryFactor * this.meanLoadTimeMs)
    for (const slot of this.slots) if (slot.startedAtMs < oldestMs) this.slots.delete(slot)
    return [...this.slots, ...[...this.externalLoads.values()].filter(slot => slot.startedAtMs >= oldestMs)]
  }

  /** Acquires a slot, or returns `undefined` if the rate or concurrency limit is reached. */
  acquire (load: { engine: string, model: string }, limits: { loadsPerSecond: number, loadsInFlight: number }): LoadSlot | undefined {
    const nowMs = this.clock.nowMs()
    const capacity = Math.max(1, limits.loadsPerSecond)
    this.tokens = Math.min(capacity, this.tokens + limits.loadsPerSecond * (nowMs - this.refilledAtMs) / 1_000)
    this.refilledAtMs = nowMs
    // The tolerance covers rounding errors when a token becomes available exactly now.
    if (this.tokens < 1 - 1e-9 || this.inFlight().length >= limits.loadsInFlight) return undefined
    this.tokens -= 1
    const slot = { ...load, startedAtMs: nowMs }
    this.slots.add(slot)
    return slot
  }

  /** Frees a slot. If `completed`, the load time is added to the estimate. */
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
