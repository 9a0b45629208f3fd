/** A process under a virtual clock that can be killed, paused and resumed at any moment. */

import type { CancelTimer, Clock } from '../base/clock.js'

/** What was waiting when a process was paused happens when it is resumed, in order. */
export class SimulatedProcess {
  /** The clock as the process sees it: its timers wait while it is paused. */
  readonly clock: Clock
  pausedAtMs: number | undefined
  private state: 'running' | 'paused' | 'ended' = 'running'
  private waiting: (() => void)[] = []
  private readonly endListeners = new Set<() => void>()

  constructor (readonly name: string, private readonly baseClock: Clock) {
    this.clock = {
      nowMs: () => baseClock.nowMs(),
      setTimer: (delayMs, callback) => this.setTimer(delayMs, callback)
    }
  }

  get ended (): boolean {
    return this.state === 'ended'
  }

  /** Nothing more happens in the process, and its connections end. */
  kill (): void {
    if (this.ended) return
    this.state = 'ended'
    this.waiting = []
    for (const listener of [...this.endListeners]) listener()
    this.endListeners.clear()
  }

  pause (): void {
    if (this.state !== 'running') return
    this.state = 'paused'
    this.pausedAtMs = this.baseClock.nowMs()
  }

  resume (): void {
    if (this.state !== 'paused') return
    this.state = 'running'
    this.pausedAtMs = undefined
    const waiting = this.waiting
    this.waiting = []
    for (const callback of waiting) this.enter(callback)
  }

  /** Runs `callback` in the process: now, when it is resumed, or never. */
  enter (callback: () => void): void {
    if (this.state === 'running') callback()
    else if (this.state === 'paused') this.waiting.push(callback)
  }

  /** Resolves when the process runs; never, once it has ended. */
  turn (): Promise<void> {
    return new Promise(resolve => this.enter(resolve))
  }

  /** The result of an outside call as the process gets it. */
  receive<T> (result: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      result.then(value => this.enter(() => resolve(value)), error => this.enter(() => reject(error)))
    })
  }

  /** Calls `listener` when the process ends, unless the returned function was called before. */
  onEnd (listener: () => void): () => void {
    if (this.ended) listener()
    else this.endListeners.add(listener)
    return () => { this.endListeners.delete(listener) }
  }

  private setTimer (delayMs: number, callback: () => void): CancelTimer {
    let cancelled = false
    const cancel = this.baseClock.setTimer(delayMs, () => this.enter(() => {
      // A timer that came due during a pause may be cancelled by what runs before it.
      if (!cancelled) callback()
    }))
    return () => {
      cancelled = true
      cancel()
    }
  }
}
