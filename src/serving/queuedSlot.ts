/** A request of this node in the placement leader's queue. */

import type { Clock } from '../base/clock.js'
import type { SlotAnswer } from '../policy/slotQueue.js'

export class QueuedSlot {
  private readonly clock: Clock
  private readonly onCancel: (hasRun: boolean) => void
  private readonly waiters = new Set<() => void>()
  private endedAtMs: number | undefined
  private isCancelled = false
  readonly askedAtMs: number
  /** Servers that the leader must not choose. */
  readonly excluded: readonly string[]
  /** Whether the leader had no engine at once. */
  wasQueued = false
  /** The end of the wait; absent while the request is in the queue. */
  answer: SlotAnswer | undefined

  /** `onCancel` tells the leader that the request, or the engine assigned to it, is not needed, or that its slot was used and is free. */
  constructor ({ clock, excluded, onCancel }: { clock: Clock, excluded: readonly string[], onCancel: (hasRun: boolean) => void }) {
    this.clock = clock
    this.excluded = excluded
    this.onCancel = onCancel
    this.askedAtMs = clock.nowMs()
  }

  /** Time in the queue, in milliseconds. */
  get queuedMs (): number {
    return this.wasQueued ? (this.endedAtMs ?? this.clock.nowMs()) - this.askedAtMs : 0
  }

  deliver (answer: SlotAnswer): void {
    if (this.answer || this.isCancelled) return
    this.answer = answer
    this.endedAtMs = this.clock.nowMs()
    for (const waiter of [...this.waiters]) waiter()
  }

  /** Whether the leader counts this request at an engine. */
  get isHeld (): boolean {
    return this.answer?.kind === 'engine' && !this.isCancelled
  }

  /** Whether the leader has no place for this request any more. */
  get isOver (): boolean {
    return this.isCancelled || (this.answer !== undefined && this.answer.kind !== 'engine')
  }

  /** Leaves the queue, or returns an assignment that is not used. */
  cancel (): void {
    this.leave(false)
  }

  /** The attempt at the assigned engine has ended. */
  end (): void {
    this.leave(true)
  }

  private leave (hasRun: boolean): void {
    if (this.isOver) return
    this.isCancelled = true
    this.endedAtMs ??= this.clock.nowMs()
    this.onCancel(hasRun)
  }

  /** Resolves with the answer or after `maxMs`. */
  wait (maxMs: number): Promise<void> {
    if (this.answer) return Promise.resolve()
    return new Promise(resolve => {
      const done = () => {
        cancel()
        this.waiters.delete(done)
        resolve()
      }
      const cancel = this.clock.setTimer(maxMs, done)
      this.waiters.add(done)
    })
  }
}
