/** An event loop over a binary heap, which the bench uses as its clock. */

import type { CancelTimer, Clock } from '../base/clock.js'

interface Timer {
  atMs: number
  order: number
  callback: (() => void) | undefined
}

/** Runs callbacks in the order of their time, and in the order of their registration at the same time. */
export class EventLoop implements Clock {
  private readonly heap: Timer[] = []
  private currentMs: number
  private registered = 0

  constructor (startMs: number) {
    this.currentMs = startMs
  }

  nowMs (): number {
    return this.currentMs
  }

  setTimer (delayMs: number, callback: () => void): CancelTimer {
    const timer: Timer = { atMs: this.currentMs + Math.max(0, delayMs), order: this.registered++, callback }
    this.push(timer)
    return () => { timer.callback = undefined }
  }

  /** Calls `callback` each `periodMs`, first after `firstDelayMs`. */
  every (periodMs: number, firstDelayMs: number, callback: () => void): void {
    this.setTimer(firstDelayMs, () => {
      callback()
      this.every(periodMs, periodMs, callback)
    })
  }

  /** Runs all timers up to and including `untilMs`. */
  runUntil (untilMs: number): void {
    while (this.heap.length > 0 && this.heap[0]!.atMs <= untilMs) {
      const timer = this.pop()
      if (!timer.callback) continue
      this.currentMs = timer.atMs
      timer.callback()
    }
    this.currentMs = untilMs
  }

  private push (timer: Timer): void {
    const { heap } = this
    let index = heap.length
    heap.push(timer)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!before(timer, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = timer
  }

  private pop (): Timer {
    const { heap } = this
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!)) child++
      if (!before(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
    return first
  }
}

function before (left: Timer, right: Timer): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)
}
