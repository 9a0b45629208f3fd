/** Number of nodes that share the retry budgets and the connections to backend servers. */

import type { Clock } from '../base/clock.js'

/** Nodes that restart are back within some seconds and need their share again. */
const shrinkAfterMs = 30_000

/** Grows at once and shrinks only after a delay, so that the other nodes do not exceed their share while some restart. */
export class FleetSize {
  private readonly clock: Clock
  private counts: { count: number, atMs: number }[] = []
  /** Last known size: the stored one, until the leader has counted for `shrinkAfterMs`. */
  value = 1

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Sets the size from another node or the store. Ignores anything but positive integers. */
  adopt (value: number): void {
    if (Number.isInteger(value) && value > 0) this.value = value
  }

  /** Records the leader's own count of nodes. */
  count (count: number): void {
    const nowMs = this.clock.nowMs()
    if (this.counts.length === 0) this.counts.push({ count: this.value, atMs: nowMs })
    this.counts = this.counts.filter(sample => sample.atMs > nowMs - shrinkAfterMs && sample.count > count)
    this.counts.push({ count, atMs: nowMs })
    this.value = Math.max(...this.counts.map(sample => sample.count))
  }

  /** Discards this node's counts when its term begins or ends. */
  stopCounting (): void {
    this.counts = []
  }
}
