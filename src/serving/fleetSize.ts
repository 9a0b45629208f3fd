/** Number of nodes that share the fleet's budgets and connections. */

import type { Clock } from '../base/clock.js'

/** Nodes that restart are gone for some seconds and come back to their share. */
const shrinkAfterMs = 30_000

/** Grows at once and shrinks only after a while, so that restarting nodes do not leave the others more than their share. */
export class FleetSize {
  private readonly clock: Clock
  private counts: { count: number, atMs: number }[] = []
  /** Last known size; what the store keeps, until the leader has counted for a while. */
  value = 1

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** The size that another node knows or the store keeps. */
  adopt (value: number): void {
    if (Number.isInteger(value) && value > 0) this.value = value
  }

  /** The leader's own count of connected nodes. */
  count (count: number): void {
    const nowMs = this.clock.nowMs()
    if (this.counts.length === 0) this.counts.push({ count: this.value, atMs: nowMs })
    this.counts = this.counts.filter(sample => sample.atMs > nowMs - shrinkAfterMs && sample.count > count)
    this.counts.push({ count, atMs: nowMs })
    this.value = Math.max(...this.counts.map(sample => sample.count))
  }

  /** Forgets the own count: another node leads. */
  stopCounting (): void {
    this.counts = []
  }
}
