/** A request of this node in the placement leader's queue. */

import type { Clock } from '../base/clock.js'
import type { SlotAnswer } from '../policy/slotQueue.js'

export class QueuedSlot {
  private readonly clock: Clock
  private readonly onCancel: () => void
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

  /** `onCancel` tells the leader that the request, or the engine assigned to it, is not needed. */
  constructor ({ clock, excluded, onCancel }: { clock: Clock, excluded: readonly string[], onCancel: () => void }) {
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

  /** Leaves the queue, or returns an assignment that is not used. */
  cancel (): void {
    if (this.isCancelled || (this.answer && this.answer.kind !== 'engine')) return
    this.isCancelled = true
    this.endedAtMs ??= this.clock.nowMs()
    this.onCancel()
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
