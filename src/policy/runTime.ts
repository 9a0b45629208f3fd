/** Estimates how long the requests of a service run, from which arrivals give the number of requests in progress. */

import type { Clock } from '../base/clock.js'

/** Assumed until requests have been observed. */
const priorRunMs = 2000
/** Weight of the prior, in requests. */
const priorRequests = 20
const timeConstantMs = 8000
/** Bounds of the estimate. A run of many seconds is one behind a stalled engine, for which more replicas do not help. */
const minimumRunMs = 300
const maxRunMs = 5000

/** Mean run time by Little's law: requests in progress, integrated over time, divided by the requests that have begun. */
export class RunTime {
  private runningMs = 0
  private begun = 0
  private running = 0
  private updatedAtMs: number

  constructor (private readonly clock: Clock) {
    this.updatedAtMs = clock.nowMs()
  }

  /** The number of requests that are in progress now. */
  setRunning (count: number): void {
    this.advance()
    this.running = count
  }

  /** Requests whose answers have begun. */
  onBegun (count: number): void {
    this.advance()
    this.begun += count
  }

  get meanMs (): number {
    this.advance()
    const meanMs = (this.runningMs + priorRequests * priorRunMs) / (this.begun + priorRequests)
    return Math.min(maxRunMs, Math.max(minimumRunMs, meanMs))
  }

  private advance (): void {
    const nowMs = this.clock.nowMs()
    const elapsedMs = nowMs - this.updatedAtMs
    this.updatedAtMs = nowMs
    const weight = Math.exp(-elapsedMs / timeConstantMs)
    // The integral of the requests in progress, with the same decay.
    this.runningMs = this.runningMs * weight + this.running * timeConstantMs * (1 - weight)
    this.begun *= weight
  }
}
