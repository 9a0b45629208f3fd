/** The leader's memory of store changes, from which the other nodes follow the store without calls of their own. */

import type { Clock } from '../base/clock.js'
import type { StoreChange } from './coordination.js'
import type { RelayedChanges } from './peerMessages.js'

/** A node that joins may have last read the store this long ago. */
const memoryMs = 2000

/**
 * Collects the changes that matter to other nodes. Each message covers a range of revisions: a node that has seen all
 * changes up to the start of the range has seen all up to its end once it has taken up the message.
 */
export class ChangeRelay {
  private readonly clock: Clock
  private readonly changes: { change: StoreChange, atMs: number }[] = []
  /** Changes up to this revision are forgotten. */
  private startRevision: number
  /** Revision up to which the present members have been told. */
  private toldRevision: number
  private revision: number

  constructor (clock: Clock, revision: number) {
    this.clock = clock
    this.startRevision = this.toldRevision = this.revision = revision
  }

  /** A change that other nodes have to know. */
  note (change: StoreChange): void {
    this.changes.push({ change, atMs: this.clock.nowMs() })
  }

  /** This node has seen all changes up to `revision`. */
  advance (revision: number): void {
    this.revision = Math.max(this.revision, revision)
  }

  /** Whether members have not been told of a noted change. */
  get hasNews (): boolean {
    return this.changes.some(({ change }) => change.revision > this.toldRevision)
  }

  /** What members have not been told yet. */
  next (): RelayedChanges {
    this.forget()
    const message = this.range(this.toldRevision, this.revision)
    this.toldRevision = this.revision
    return message
  }

  /** What a node that joins has to be told before the next message. */
  recent (): RelayedChanges {
    this.forget()
    return this.range(this.startRevision, this.toldRevision)
  }

  private range (fromRevision: number, revision: number): RelayedChanges {
    const changes = this.changes.filter(({ change }) => change.revision > fromRevision && change.revision <= revision)
    return { fromRevision, revision, changes: changes.map(({ change }) => [change.key, change.revision, change.value ?? null]) }
  }

  private forget (): void {
    const sinceMs = this.clock.nowMs() - memoryMs
    while (this.changes.length > 0 && this.changes[0]!.atMs < sinceMs && this.changes[0]!.change.revision <= this.toldRevision) {
      this.startRevision = Math.max(this.startRevision, this.changes.shift()!.change.revision)
    }
  }
}
