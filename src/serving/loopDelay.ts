/** Measures how late this process runs its timers, so that logs can distinguish a busy or paused node from a slow peer. */

import type { CancelTimer, Clock } from '../base/clock.js'

const sampleMs = 100
/** Samples older than this are discarded. */
const windowMs = 2000

export class LoopDelay {
  private readonly clock: Clock
  private samples: { atMs: number, lateMs: number }[] = []
  private dueAtMs: number
  private cancel: CancelTimer

  constructor (clock: Clock) {
    this.clock = clock
    this.dueAtMs = clock.nowMs() + sampleMs
    this.cancel = clock.setTimer(sampleMs, () => this.sample())
  }

  /** Longest delay within the last `windowMs`, in milliseconds. Includes a timer that is overdue. */
  get recentMs (): number {
    const nowMs = this.clock.nowMs()
    const late = this.samples.filter(({ atMs }) => atMs > nowMs - windowMs).map(({ lateMs }) => lateMs)
    return Math.max(0, nowMs - this.dueAtMs, ...late)
  }

  /** Delay of the current event-loop iteration, in milliseconds: a signal or data that it handles may have arrived so long ago. */
  get currentMs (): number {
    const nowMs = this.clock.nowMs()
    const last = this.samples.at(-1)
    // The timer may already have run in the same iteration.
    return Math.max(0, nowMs - this.dueAtMs, last && last.atMs > nowMs - sampleMs ? last.lateMs : 0)
  }

  stop (): void {
    this.cancel()
  }

  private sample (): void {
    const nowMs = this.clock.nowMs()
    this.samples = [...this.samples.filter(({ atMs }) => atMs > nowMs - windowMs), { atMs: nowMs, lateMs: nowMs - this.dueAtMs }]
    this.dueAtMs = nowMs + sampleMs
    this.cancel = this.clock.setTimer(sampleMs, () => this.sample())
  }
}
