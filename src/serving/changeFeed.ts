/** The leader's feed of store changes, through which the other nodes receive them without calls of their own. */

import type { Clock } from '../base/clock.js'
import type { StoreChange } from './coordination.js'
import type { ChangeRange } from './peerMessages.js'

/** Changes are retained for nodes that connect; such a node last read the store at most this long ago. */
const retentionMs = 2000

/**
 * Collects the changes that other nodes need. Each message covers a range of revisions: a node that has all changes up to
 * the start of the range has all changes up to its end after applying the message.
 */
export class ChangeFeed {
  private readonly clock: Clock
  private readonly changes: { change: StoreChange, atMs: number }[] = []
  /** Changes up to this revision are discarded. */
  private startRevision: number
  /** Revision up to which the connected nodes have received the changes. */
  private sentRevision: number
  private revision: number

  constructor (clock: Clock, revision: number) {
    this.clock = clock
    this.startRevision = this.sentRevision = this.revision = revision
  }

  /** Adds a change that other nodes need. */
  record (change: StoreChange): void {
    this.changes.push({ change, atMs: this.clock.nowMs() })
  }

  /** The leader has seen all changes up to `revision`. */
  advance (revision: number): void {
    this.revision = Math.max(this.revision, revision)
  }

  /** Whether a recorded change has not been sent yet. */
  get hasUnsent (): boolean {
    return this.changes.some(({ change }) => change.revision > this.sentRevision)
  }

  /** A node with all changes up to this revision knows everything that the leader knows and other nodes need. */
  get neededRevision (): number {
    return this.hasUnsent ? this.revision : this.sentRevision
  }

  /** The changes that have not been sent yet, which count as sent from now on. */
  nextRange (): ChangeRange {
    this.discardOld()
    const message = this.range(this.sentRevision, this.revision)
    this.sentRevision = this.revision
    return message
  }

  /** The changes that a newly connected node needs before the next message. */
  catchUpRange (): ChangeRange {
    this.discardOld()
    return this.range(this.startRevision, this.sentRevision)
  }

  private range (fromRevision: number, revision: number): ChangeRange {
    const changes = this.changes.filter(({ change }) => change.revision > fromRevision && change.revision <= revision)
    return { fromRevision, revision, changes: changes.map(({ change }) => [change.key, change.revision, change.value ?? null]) }
  }

  private discardOld (): void {
    const sinceMs = this.clock.nowMs() - retentionMs
    while (this.changes.length > 0 && this.changes[0]!.atMs < sinceMs && this.changes[0]!.change.revision <= this.sentRevision) {
      this.startRevision = Math.max(this.startRevision, this.changes.shift()!.change.revision)
    }
  }
}
