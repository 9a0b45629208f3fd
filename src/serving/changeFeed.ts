/** The leader's feed of store changes, through which the other nodes receive them without calls of their own. */

import type { Clock } from '../base/clock.js'
import type { StoreChange } from './coordination.js'
import type { ChangeRange } from './peerMessages.js'

/** Changes are retained for nodes that connect; such a node last read the store at most this long ago. */
const retentionMs = 2000
/** Size of the changes of one message before compression. A single larger change is sent alone. */
const maxRangeBytes = 1024 * 1024
/** Estimate of the encoded size of a change besides its key and value, in bytes. */
const changeOverheadBytes = 16

/**
 * Collects the changes that other nodes need. Each message covers a range of revisions: a node that has all changes up to
 * the start of the range has all changes up to its end after applying the message. Of several changes of one key only the
 * newest is sent, so the size of the messages does not grow with the number of changes.
 */
export class ChangeFeed {
  private readonly clock: Clock
  /** The newest change of each key, oldest first. */
  private readonly changes = new Map<string, { change: StoreChange, atMs: number, bytes: number }>()
  /** Changes up to this revision are discarded. */
  private startRevision: number
  /** Revision up to which the connected nodes have received the changes. */
  private sentRevision: number
  private revision: number
  /** The last result of `catchUpRanges`, since many nodes connect at once; `undefined` after a change. */
  private catchUp: { fromRevision: number, ranges: ChangeRange[] } | undefined

  constructor (clock: Clock, revision: number) {
    this.clock = clock
    this.startRevision = this.sentRevision = this.revision = revision
  }

  /** Adds a change that other nodes need. */
  record (change: StoreChange): void {
    const bytes = Buffer.byteLength(change.key) + Buffer.byteLength(change.value ?? '') + changeOverheadBytes
    // Reinserting keeps the map in order of revision.
    this.changes.delete(change.key)
    this.changes.set(change.key, { change, atMs: this.clock.nowMs(), bytes })
    this.catchUp = undefined
  }

  /** The leader has seen all changes up to `revision`. */
  advance (revision: number): void {
    this.revision = Math.max(this.revision, revision)
  }

  /** Whether a recorded change has not been sent yet. */
  get hasUnsent (): boolean {
    return [...this.changes.values()].some(({ change }) => change.revision > this.sentRevision)
  }

  /** A node with all changes up to this revision knows everything that the leader knows and other nodes need. */
  get neededRevision (): number {
    return this.hasUnsent ? this.revision : this.sentRevision
  }

  /** The changes that have not been sent yet, which count as sent from now on: one range or several that follow each other. */
  nextRanges (): ChangeRange[] {
    this.discardOld()
    const ranges = this.rangesOf(this.sentRevision, this.revision)
    this.sentRevision = this.revision
    this.catchUp = undefined
    return ranges
  }

  /** The changes that a node needs before the next message if it has connected now, or has received no message after `sinceRevision`. */
  catchUpRanges (sinceRevision = -Infinity): ChangeRange[] {
    this.discardOld()
    const fromRevision = Math.min(this.sentRevision, Math.max(this.startRevision, sinceRevision))
    if (this.catchUp?.fromRevision !== fromRevision) this.catchUp = { fromRevision, ranges: this.rangesOf(fromRevision, this.sentRevision) }
    return this.catchUp.ranges
  }

  private rangesOf (fromRevision: number, revision: number): ChangeRange[] {
    const ranges: ChangeRange[] = []
    let range: ChangeRange = { fromRevision, revision, changes: [] }
    let rangeBytes = 0
    for (const { change, bytes } of this.changes.values()) {
      if (change.revision <= fromRevision || change.revision > revision) continue
      const splitRevision = range.changes.at(-1)?.[1]
      // The changes of one commit have the same revision and stay together.
      if (splitRevision !== undefined && splitRevision < change.revision && rangeBytes + bytes > maxRangeBytes) {
        ranges.push({ ...range, revision: splitRevision })
        range = { fromRevision: splitRevision, revision, changes: [] }
        rangeBytes = 0
      }
      range.changes.push([change.key, change.revision, change.value ?? null])
      rangeBytes += bytes
    }
    return [...ranges, range]
  }

  private discardOld (): void {
    const sinceMs = this.clock.nowMs() - retentionMs
    for (const [key, { change, atMs }] of this.changes) {
      if (atMs >= sinceMs || change.revision > this.sentRevision) break
      this.changes.delete(key)
      this.startRevision = Math.max(this.startRevision, change.revision)
      this.catchUp = undefined
    }
  }
}
