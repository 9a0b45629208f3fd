/** The leader's memory of store changes, from which the other nodes follow the store without calls of their own. */

import type { Clock } from '../base/clock.js'
import type { StoreChange } from './coordination.js'
import type { ChangeRange } from './peerMessages.js'

/** A node that joins may have last read the store this long ago. */
const retentionMs = 2000

/**
 * Collects the changes that matter to other nodes. Each message covers a range of revisions: a node that has seen all
 * changes up to the start of the range has seen all up to its end once it has taken up the message.
 */
export class ChangeFeed {
  private readonly clock: Clock
  private readonly changes: { change: StoreChange, atMs: number }[] = []
  /** Changes up to this revision are forgotten. */
  private startRevision: number
  /** Revision up to which the present members have been told. */
  private sentRevision: number
  private revision: number

  constructor (clock: Clock, revision: number) {
    this.clock = clock
    this.startRevision = this.sentRevision = this.revision = revision
  }

  /** A change that other nodes have to know. */
  record (change: StoreChange): void {
    this.changes.push({ change, atMs: this.clock.nowMs() })
  }

  /** This node has seen all changes up to `revision`. */
  advance (revision: number): void {
    this.revision = Math.max(this.revision, revision)
  }

  /** Whether members have not been told of a noted change. */
  get hasUnsent (): boolean {
    return this.changes.some(({ change }) => change.revision > this.sentRevision)
  }

  /** What members have not been told yet. */
  nextRange (): ChangeRange {
    this.discardOld()
    const message = this.range(this.sentRevision, this.revision)
    this.sentRevision = this.revision
    return message
  }

  /** What a node that joins has to be told before the next message. */
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
