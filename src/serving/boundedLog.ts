/** Limits the rate of log lines per event, and logs how many were left out. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { repeat } from '../base/clock.js'
import type { Log, LogLevel } from '../base/log.js'

/** Window over which lines are counted. */
const windowMs = 1000
/** Interval of the summaries of lines left out. */
const summaryMs = 5000

export interface BoundedLogOptions {
  clock: Clock
  log: Log
  /** Lines of one event per second; ten times as many for warnings and errors. */
  linesPerSecond: number
  /** Total of lines that the underlying writer dropped. */
  droppedByWriter?: () => number
}

const severityFactor: Record<LogLevel, number> = { debug: 1, info: 1, warn: 10, error: 10 }

export class BoundedLog {
  private readonly options: BoundedLogOptions
  private counts = new Map<string, number>()
  private leftOut = new Map<string, number>()
  private windowStartMs: number
  private reportedDrops = 0
  private readonly cancelSummary: CancelTimer

  constructor (options: BoundedLogOptions) {
    this.options = options
    this.windowStartMs = options.clock.nowMs()
    this.cancelSummary = repeat(options.clock, summaryMs, () => this.summarize())
  }

  readonly log: Log = (level, event, fields) => {
    const { clock, linesPerSecond, log } = this.options
    const nowMs = clock.nowMs()
    if (nowMs - this.windowStartMs >= windowMs) {
      this.windowStartMs = nowMs
      this.counts.clear()
    }
    const count = (this.counts.get(event) ?? 0) + 1
    this.counts.set(event, count)
    if (count <= linesPerSecond * severityFactor[level]) log(level, event, fields)
    else this.leftOut.set(event, (this.leftOut.get(event) ?? 0) + 1)
  }

  stop (): void {
    this.cancelSummary()
    this.summarize()
  }

  private summarize (): void {
    const dropped = (this.options.droppedByWriter?.() ?? 0) - this.reportedDrops
    if (this.leftOut.size === 0 && dropped === 0) return
    this.options.log('warn', 'log lines left out', { byEvent: Object.fromEntries(this.leftOut), droppedByWriter: dropped })
    this.leftOut.clear()
    this.reportedDrops += dropped
  }
}
