/** Time that does not follow changes of the time of day. */

import { performance } from 'node:perf_hooks'
import { timerDelayMs } from './clock.js'
import type { CancelTimer, Clock } from './clock.js'

/** Milliseconds since the process started. Only differences mean anything. */
export class SteadyClock implements Clock {
  nowMs (): number {
    return performance.now()
  }

  setTimer (delayMs: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, timerDelayMs(delayMs))
    return () => clearTimeout(timer)
  }
}
