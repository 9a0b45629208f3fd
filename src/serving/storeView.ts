/** Follows all keys of the platform's store: with a watch of its own, or through the changes that the leader passes on. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'
import type { ChangeRange } from './peerMessages.js'

/** A connection that went silent is noticed after this time and the client's slack. */
const watchWaitMs = 2000
/** The leader's watch returns at least this often, so that the age of what it passes on stays known. */
const leaderWatchWaitMs = 400
/** Changes that come at once are read with one call. Engines write all the time, and each call is counted. */
const batchDelayMs = 250
const leaderBatchDelayMs = 120
const firstRetryMs = 100
const maxRetryMs = 1000
/** A node that knows no configuration yet has nothing to serve from. */
const maxFirstRetryMs = 800
/** Age of the leader's view from which a node looks at the store itself. */
const maxFeedAgeMs = 1000
const minFeedSleepMs = 20

export interface StoreViewListener {
  /** Replaces all that was known. */
  onItems (items: readonly StoreItem[]): void
  onChange (change: StoreChange): void
  /** All changes up to `revision` have been passed to `onChange`. */
  onRevision? (revision: number): void
  /** The store answers again after an outage. */
  onOutageEnded (): void
}

export interface StoreViewOptions {
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
  listener: StoreViewListener
  /** Whether other nodes depend on this node's view. */
  isLeader? (): boolean
}

export class StoreView {
  private readonly options: StoreViewOptions
  private isStopped = false
  /** All changes up to it are known. */
  revision: number | undefined
  private failures = 0
  /** Time of the last answer. */
  lastResponseAtMs = -Infinity
  /** End of the last outage that this node saw. */
  outageEndedAtMs: number | undefined
  /** Time at which the leader's view that was passed on was current. */
  private feedCurrentAtMs = -Infinity

  constructor (options: StoreViewOptions) {
    this.options = options
  }

  get isInOutage (): boolean {
    return this.failures > 0
  }

  /** Whether the leader's messages take the place of an own watch. */
  get isFedByLeader (): boolean {
    return !this.options.isLeader?.() && this.options.clock.nowMs() - this.feedCurrentAtMs < maxFeedAgeMs
  }

  /** Age of what is known, from the store itself or through the leader. */
  get ageMs (): number {
    return this.options.clock.nowMs() - Math.max(this.lastResponseAtMs, this.feedCurrentAtMs)
  }

  async run (): Promise<void> {
    while (!this.isStopped) {
      if (this.revision !== undefined && this.isFedByLeader) {
        await sleep(this.options.clock, Math.max(minFeedSleepMs, this.feedCurrentAtMs + maxFeedAgeMs - this.options.clock.nowMs()))
        continue
      }
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

  /** Takes up what the leader passes on, unless changes before it are missing here. */
  onFeed ({ fromRevision, revision, changes }: ChangeRange, ageMs: number): void {
    // A leader that fell behind what this node has read itself is not to be followed.
    if (this.revision === undefined || this.revision < fromRevision || revision < this.revision || this.options.isLeader?.()) return
    this.feedCurrentAtMs = Math.max(this.feedCurrentAtMs, this.options.clock.nowMs() - ageMs)
    if (this.isFedByLeader) this.onRegained()
    for (const [key, changedAt, value] of changes) {
      if (changedAt > this.revision) this.options.listener.onChange({ key, revision: changedAt, ...(value === null ? {} : { value }) })
    }
    this.revision = revision
  }

  private async step (): Promise<void> {
    const { store, clock, log, listener, isLeader } = this.options
    if (this.revision === undefined) {
      const { items, revision } = await store.list('')
      this.onResponse()
      this.revision = revision
      listener.onItems(items)
      listener.onRevision?.(revision)
    }
    const leads = isLeader?.() ?? false
    const result = await store.watch('', this.revision, { waitMs: leads ? leaderWatchWaitMs : watchWaitMs })
    if (this.isStopped) return
    this.onResponse()
    if (result.kind === 'history-lost') {
      log('warn', 'store history lost', { revision: this.revision })
      this.revision = undefined
      return
    }
    // The leader may have passed on some of them meanwhile.
    for (const change of result.changes) if (change.revision > this.revision) listener.onChange(change)
    this.revision = Math.max(this.revision, result.revision)
    listener.onRevision?.(this.revision)
    if (result.changes.length > 0) await sleep(clock, leads ? leaderBatchDelayMs : batchDelayMs)
  }

  private onResponse (): void {
    this.lastResponseAtMs = this.options.clock.nowMs()
    this.onRegained()
  }

  private onRegained (): void {
    if (this.failures === 0) return
    this.outageEndedAtMs = this.options.clock.nowMs()
    this.options.log('info', 'store regained', { failures: this.failures })
    this.failures = 0
    this.options.listener.onOutageEnded()
  }

  private async onFailure (error: unknown): Promise<void> {
    if (this.isStopped) return
    const { clock, random, log } = this.options
    if (this.failures++ === 0) log('warn', 'store lost', { error: messageOf(error) })
    const delayMs = Math.min(this.revision === undefined ? maxFirstRetryMs : maxRetryMs, firstRetryMs * 2 ** this.failures)
    await sleep(clock, delayMs * (0.5 + random.next()))
  }
}
