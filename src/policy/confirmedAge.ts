/** For how long a view has not been known to be current. */

import type { Clock } from '../base/clock.js'

/** A point in time by both clocks of a node. */
export interface Moment {
  steadyMs: number
  wallMs: number
}

/**
 * The steady clock stands still while a machine is suspended, and the wall clock may be set back. The larger difference counts, so
 * that the time is never understated; a wall clock that is set forward makes earlier moments look older than they are.
 */
function elapsedMs (since: Moment, now: Moment): number {
  return Math.max(now.steadyMs - since.steadyMs, now.wallMs - since.wallMs)
}

export class ConfirmedAge {
  private readonly clock: Clock
  private readonly wallMs: () => number
  /** Last moment at which the view is known to have been current. */
  private confirmedAt: Moment | undefined
  /** A confirmation that takes effect once the view contains all changes up to `revision`. */
  private pending: { moment: Moment, revision: number } | undefined

  /** `wallMs` returns the time of day in milliseconds. */
  constructor (clock: Clock, wallMs: () => number) {
    this.clock = clock
    this.wallMs = wallMs
  }

  now (): Moment {
    return { steadyMs: this.clock.nowMs(), wallMs: this.wallMs() }
  }

  /** Milliseconds; infinite if the view has never been confirmed. */
  get ageMs (): number {
    return this.confirmedAt ? elapsedMs(this.confirmedAt, this.now()) : Infinity
  }

  /** The view was current at `moment`. */
  confirm (moment: Moment): void {
    if (elapsedMs(moment, this.now()) <= this.ageMs) this.confirmedAt = moment
  }

  /** A view with all changes up to `revision` was current `ageMs` before `moment`. */
  confirmAt (revision: number, { steadyMs, wallMs }: Moment, ageMs: number): void {
    this.pending = { revision, moment: { steadyMs: steadyMs - ageMs, wallMs: wallMs - ageMs } }
  }

  /** The view contains all changes up to `revision`. */
  onRevision (revision: number): void {
    if (!this.pending || this.pending.revision > revision) return
    this.confirm(this.pending.moment)
    this.pending = undefined
  }
}
