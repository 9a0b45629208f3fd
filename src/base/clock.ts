/** Time in milliseconds and timers, passed as an argument to everything that waits. */

/** Cancels the timer that returned it. Calling it again, or after the timer ran, has no effect. */
export type CancelTimer = () => void

/** Source of time. All values are milliseconds. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  nowMs (): number
  /** Calls `callback` once after `delayMs`. Negative delays count as zero. */
  setTimer (delayMs: number, callback: () => void): CancelTimer
}

/** Resolves after `delayMs`. Rejects with the signal's reason when `signal` aborts first. */
export function sleep (clock: Clock, delayMs: number, { signal }: { signal?: AbortSignal } = {}): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason)
    const onAbort = () => {
      cancel()
      reject(signal?.reason)
    }
    const cancel = clock.setTimer(delayMs, () => {
      signal?.removeEventListener('abort', onAbort)
      resolve()
    })
    signal?.addEventListener('abort', onAbort, { once: true })
  })
}

/**
 * Calls `callback` every `periodMs` until cancelled. The next period starts when the callback's promise
 * has settled, so that slow calls never overlap. Errors go to `onError`.
 */
export function repeat (
  clock: Clock,
  periodMs: number,
  callback: () => void | Promise<void>,
  { onError = () => {}, firstDelayMs = periodMs }: { onError?: (error: unknown) => void, firstDelayMs?: number } = {}
): CancelTimer {
  let cancelled = false
  let cancelTimer: CancelTimer
  const run = async () => {
    try {
      await callback()
    } catch (error) {
      onError(error)
    }
    if (!cancelled) cancelTimer = clock.setTimer(periodMs, run)
  }
  cancelTimer = clock.setTimer(firstDelayMs, run)
  return () => {
    cancelled = true
    cancelTimer()
  }
}

/** Signals of calls whose time limit ran out carry this reason. */
export class TimeoutError extends Error {
  constructor (readonly action: string, readonly timeoutMs: number) {
    super(`${action} did not finish within ${timeoutMs} ms`)
    this.name = 'TimeoutError'
  }
}

/** Runs `call` with a signal that aborts after `timeoutMs`. Rejects with `TimeoutError` at that time at the latest. */
export async function withTimeout<T> (
  clock: Clock,
  timeoutMs: number,
  call: (signal: AbortSignal) => Promise<T>,
  { action }: { action: string }
): Promise<T> {
  const controller = new AbortController()
  let cancel: CancelTimer = () => {}
  const expired = new Promise<never>((_resolve, reject) => {
    cancel = clock.setTimer(timeoutMs, () => {
      const error = new TimeoutError(action, timeoutMs)
      controller.abort(error)
      reject(error)
    })
  })
  try {
    return await Promise.race([call(controller.signal), expired])
  } finally {
    cancel()
  }
}

/** Longest delay of a timer of Node.js, which runs longer ones at once. */
const maxTimerMs = 2 ** 31 - 1

/** Delay for a timer of Node.js. */
export function timerDelayMs (delayMs: number): number {
  return Math.min(maxTimerMs, Math.max(0, delayMs))
}

/** The time of the operating system. */
export class SystemClock implements Clock {
  nowMs (): number {
    return Date.now()
  }

  setTimer (delayMs: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, timerDelayMs(delayMs))
    return () => clearTimeout(timer)
  }
}

interface ScheduledTimer {
  atMs: number
  sequence: number
  callback: () => void
}

/**
 * A clock that moves only when told. Timers due at the same time run in the order in which they were set,
 * and promises settle between timers, so that a run depends on nothing but its seed.
 */
export class VirtualClock implements Clock {
  private heap: ScheduledTimer[] = []
  private cancelled = new Set<ScheduledTimer>()
  private sequence = 0

  constructor (private currentMs = 0) {}

  nowMs (): number {
    return this.currentMs
  }

  setTimer (delayMs: number, callback: () => void): CancelTimer {
    const timer = { atMs: this.currentMs + Math.max(0, delayMs), sequence: this.sequence++, callback }
    this.push(timer)
    let done = false
    timer.callback = () => {
      done = true
      callback()
    }
    return () => {
      if (!done) this.cancelled.add(timer)
      done = true
    }
  }

  /** Runs all timers up to `untilMs` in order and then sets the time to `untilMs`. */
  async runUntil (untilMs: number): Promise<void> {
    await settlePromises()
    for (let next = this.heap[0]; next && next.atMs <= untilMs; next = this.heap[0]) {
      this.pop()
      if (this.cancelled.delete(next)) continue
      this.currentMs = Math.max(this.currentMs, next.atMs)
      next.callback()
      await settlePromises()
    }
    this.currentMs = Math.max(this.currentMs, untilMs)
  }

  /** Moves time forward by `durationMs`. */
  advance (durationMs: number): Promise<void> {
    return this.runUntil(this.currentMs + durationMs)
  }

  private push (timer: ScheduledTimer): void {
    const heap = this.heap
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index]!, heap[parent]!)) break
      swap(heap, index, parent)
      index = parent
    }
  }

  private pop (): void {
    const heap = this.heap
    const last = heap.pop()!
    if (heap.length === 0) return
    heap[0] = last
    let index = 0
    for (;;) {
      let smallest = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child]!, heap[smallest]!)) smallest = child
      }
      if (smallest === index) return
      swap(heap, index, smallest)
      index = smallest
    }
  }
}

/** Lets all pending promise callbacks run. `setImmediate` fires after the microtask queue is empty. */
function settlePromises (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

function isBefore (left: ScheduledTimer, right: ScheduledTimer): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence)
}

function swap (heap: ScheduledTimer[], left: number, right: number): void {
  const timer = heap[left]!
  heap[left] = heap[right]!
  heap[right] = timer
}
