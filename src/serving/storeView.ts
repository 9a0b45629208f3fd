/** Receives the changes of all keys of the platform's store: with a watch of its own, or through the leader's change feed. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { ConfirmedAge } from '../policy/confirmedAge.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'
import type { ChangeRange, Confirmation } from './peerMessages.js'
import { eraOf } from './storePosition.js'

/** Duration of a watch; an unresponsive connection is noticed after this time plus the store client's margin. */
const watchWaitMs = 2000
/** The leader's watch returns at least this often, so that the age of its feed stays known. */
const leaderWatchWaitMs = 400
/**
 * Waits of watches where the confirmed age matters: it grows by twice the wait while nothing changes. A store with engines answers
 * before that, so these add no calls there.
 */
const confirmingWaitMs = 300
const leaderConfirmingWaitMs = 100
/** Confirmed age from which a node watches the store itself although the leader's feed arrives. */
const maxUnconfirmedMs = 2000
/** Delay between watches, which batches changes: engines write all the time, and the store limits the number of calls. */
const batchDelayMs = 250
const leaderBatchDelayMs = 120
const firstRetryMs = 100
const maxRetryMs = 1000
/** Shorter than `maxRetryMs`, since a node without a configuration cannot serve. */
const maxFirstRetryMs = 800
/**
 * Age of the leader's feed from which a node watches the store itself. A busy leader is up to a second late, and with 1,000 ms all
 * nodes then called the store twice a second. A watch that follows still brings changes within the 4,000 ms that nodes are allowed.
 */
const maxFeedAgeMs = 1600
const minFeedSleepMs = 20

export interface StoreViewListener {
  /** Replaces all known items. With `isReturn`, the store has come back from a copy, and what this node knows may be newer. */
  onItems (items: readonly StoreItem[], context: { isReturn: boolean }): void
  onChange (change: StoreChange): void
  /** All changes up to `revision` have been passed to `onChange`. */
  onRevision? (revision: number): void
  /** The store is available again after an outage, or has come back from a copy. */
  onOutageEnded (): void
}

export interface StoreViewOptions {
  store: CoordinationStore
  clock: Clock
  random: Random
  /** Time of day in milliseconds; it goes on while the machine is suspended. */
  wallMs: () => number
  log: Log
  listener: StoreViewListener
  /** Whether other nodes depend on this node's view. */
  isLeader? (): boolean
  /** Whether decisions depend on the confirmed age of this view. */
  needsConfirmation? (): boolean
}

export class StoreView {
  private readonly options: StoreViewOptions
  private isStopped = false
  /** All changes up to this revision are known; `undefined` until the items have been listed. */
  revision: number | undefined
  private failures = 0
  /** Time of the store's last response. */
  lastResponseAtMs = -Infinity
  /** End of the last outage that this node saw. */
  outageEndedAtMs: number | undefined
  /** Era of the store in which it was listed last, and the time at which this node first read it. */
  private era: { value: number, sinceMs: number } | undefined
  /** Time at which the last applied feed message was current. */
  private feedCurrentAtMs = -Infinity

  private readonly confirmed: ConfirmedAge

  constructor (options: StoreViewOptions) {
    this.options = options
    this.confirmed = new ConfirmedAge(options.clock, options.wallMs)
  }

  get isInOutage (): boolean {
    return this.failures > 0
  }

  /** Whether the leader's feed replaces a watch of this node. */
  get isFedByLeader (): boolean {
    return !this.options.isLeader?.() && this.options.clock.nowMs() - this.feedCurrentAtMs < maxFeedAgeMs
  }

  /** Age of this view, from the store itself or through the leader, in milliseconds. */
  get ageMs (): number {
    return this.options.clock.nowMs() - Math.max(this.lastResponseAtMs, this.feedCurrentAtMs)
  }

  /**
   * Time since which this view is not known to have been current, in milliseconds; infinite if it never was. Counts from when the
   * store or the leader was asked, since answers may stay unread while this process is frozen.
   */
  get confirmedAgeMs (): number {
    return this.confirmed.ageMs
  }

  /** Stamp for a report to the leader, which confirms this view by its reply. */
  stamp (): Confirmation['stamp'] {
    const { steadyMs, wallMs } = this.confirmed.now()
    return [Math.floor(steadyMs), Math.floor(wallMs)]
  }

  /** Era of the store to which this view belongs; `undefined` until the items have been listed. */
  get currentEra (): number | undefined {
    return this.revision === undefined ? undefined : eraOf(this.revision)
  }

  /** Time for which this node has known the era of `position`. */
  eraAgeMs (position: number): number {
    return this.era && eraOf(position) <= this.era.value ? this.options.clock.nowMs() - this.era.sinceMs : 0
  }

  async run (): Promise<void> {
    while (!this.isStopped) {
      if (this.revision !== undefined && this.isFedByLeader && !this.isConfirmationOverdue) {
        await sleep(this.options.clock, Math.max(minFeedSleepMs, this.feedLeftMs()))
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

  /** Applies the changes of the leader's feed, unless this node lacks changes before them. */
  onFeed ({ fromRevision, revision, changes }: ChangeRange, ageMs: number): void {
    // What the leader has read since the store came back from a copy does not continue what this node knows.
    if (this.revision !== undefined && eraOf(revision) > eraOf(this.revision)) this.revision = undefined
    // Ignores a leader that is behind what this node has read itself.
    if (this.revision === undefined || this.revision < fromRevision || revision < this.revision || this.options.isLeader?.()) return
    this.feedCurrentAtMs = Math.max(this.feedCurrentAtMs, this.options.clock.nowMs() - ageMs)
    if (this.isFedByLeader) this.onAvailable()
    for (const [key, changeRevision, value] of changes) {
      if (changeRevision > this.revision) this.options.listener.onChange({ key, revision: changeRevision, ...(value === null ? {} : { value }) })
    }
    this.onRevision(revision)
  }

  /** The leader's reply to a stamp of this node. */
  onConfirmation ({ stamp: [steadyMs, wallMs], revision, ageMs }: Confirmation): void {
    this.confirmed.confirmAt(revision, { steadyMs, wallMs }, ageMs)
    if (this.revision !== undefined) this.confirmed.onRevision(this.revision)
  }

  private get isConfirmationOverdue (): boolean {
    return this.options.needsConfirmation?.() === true && this.confirmedAgeMs > maxUnconfirmedMs
  }

  private onRevision (revision: number): void {
    this.revision = revision
    this.confirmed.onRevision(revision)
  }

  private async step (): Promise<void> {
    const { store, clock, log, listener, isLeader } = this.options
    if (this.revision === undefined) {
      const listedAt = this.confirmed.now()
      const { items, revision } = await store.list('')
      this.onResponse()
      const isReturn = this.enterEra(eraOf(revision))
      this.revision = revision
      listener.onItems(items, { isReturn })
      this.confirmed.confirm(listedAt)
      listener.onRevision?.(revision)
    }
    const isLeading = isLeader?.() ?? false
    const watchedAt = this.confirmed.now()
    const result = await store.watch('', this.revision, { waitMs: this.watchWaitMs(isLeading) })
    if (this.isStopped) return
    this.onResponse()
    if (this.revision === undefined) return
    if (result.kind === 'history-lost') {
      log('warn', 'store history lost', { revision: this.revision })
      this.revision = undefined
      return
    }
    // Some of them may have arrived through the leader's feed meanwhile.
    for (const change of result.changes) if (change.revision > this.revision) listener.onChange(change)
    this.onRevision(Math.max(this.revision, result.revision))
    this.confirmed.confirm(watchedAt)
    listener.onRevision?.(this.revision)
    if (result.changes.length > 0) await sleep(clock, isLeading ? leaderBatchDelayMs : batchDelayMs)
  }

  /** Time for which the feed needs no watch of this node, if nothing more comes. */
  private feedLeftMs (): number {
    const leftMs = this.feedCurrentAtMs + maxFeedAgeMs - this.options.clock.nowMs()
    return this.options.needsConfirmation?.() ? Math.min(leftMs, maxUnconfirmedMs - this.confirmedAgeMs) : leftMs
  }

  private watchWaitMs (isLeading: boolean): number {
    if (this.options.needsConfirmation?.()) return isLeading ? leaderConfirmingWaitMs : confirmingWaitMs
    return isLeading ? leaderWatchWaitMs : watchWaitMs
  }

  /** Returns whether the store has come back from a copy. Entries that were written since the copy are then missing, as after an outage. */
  private enterEra (value: number): boolean {
    if (this.era?.value === value) return false
    const nowMs = this.options.clock.nowMs()
    const isReturn = this.era !== undefined
    if (this.era) {
      this.options.log('warn', 'store came back from a copy', { era: value, earlier: this.era.value })
      this.outageEndedAtMs = nowMs
      this.options.listener.onOutageEnded()
    }
    this.era = { value, sinceMs: nowMs }
    return isReturn
  }

  private onResponse (): void {
    this.lastResponseAtMs = this.options.clock.nowMs()
    this.onAvailable()
  }

  private onAvailable (): void {
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
