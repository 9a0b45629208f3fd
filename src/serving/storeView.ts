/** Follows all keys of the platform's store with one watch. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'

/** A connection that went silent is noticed after this time and the client's slack. */
const watchWaitMs = 2000
/** Changes that come at once are read with one call. */
const batchDelayMs = 60
const firstRetryMs = 100
const maxRetryMs = 800

export interface StoreViewSink {
  /** Replaces all that was known. */
  onItems (items: readonly StoreItem[]): void
  onChange (change: StoreChange): void
  /** The store answers again after an outage. */
  onReturned (): void
}

export class StoreView {
  private readonly store: CoordinationStore
  private readonly clock: Clock
  private readonly random: Random
  private readonly log: Log
  private readonly sink: StoreViewSink
  private isStopped = false
  private revision: number | undefined
  private failures = 0
  /** Time of the last answer. */
  lastAnswerAtMs = -Infinity

  constructor ({ store, clock, random, log, sink }: { store: CoordinationStore, clock: Clock, random: Random, log: Log, sink: StoreViewSink }) {
    this.store = store
    this.clock = clock
    this.random = random
    this.log = log
    this.sink = sink
  }

  get isInOutage (): boolean {
    return this.failures > 0
  }

  async run (): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.step()
      } catch (error) {
        await this.onFailure(error)
      }
    }
  }

  stop (): void {
    this.isStopped = true
  }

  private async step (): Promise<void> {
    if (this.revision === undefined) {
      const { items, revision } = await this.store.list('')
      this.onAnswer()
      this.revision = revision
      this.sink.onItems(items)
    }
    const result = await this.store.watch('', this.revision, { waitMs: watchWaitMs })
    if (this.isStopped) return
    this.onAnswer()
    if (result.kind === 'history-lost') {
      this.log('warn', 'store history lost', { revision: this.revision })
      this.revision = undefined
      return
    }
    this.revision = Math.max(this.revision, result.revision)
    for (const change of result.changes) this.sink.onChange(change)
    if (result.changes.length > 0) await sleep(this.clock, batchDelayMs)
  }

  private onAnswer (): void {
    this.lastAnswerAtMs = this.clock.nowMs()
    if (this.failures === 0) return
    this.log('info', 'store regained', { failures: this.failures })
    this.failures = 0
    this.sink.onReturned()
  }

  private async onFailure (error: unknown): Promise<void> {
    if (this.isStopped) return
    if (this.failures++ === 0) this.log('warn', 'store lost', { error: messageOf(error) })
    const delayMs = Math.min(maxRetryMs, firstRetryMs * 2 ** this.failures)
    await sleep(this.clock, delayMs * (0.5 + this.random.next()))
  }
}
