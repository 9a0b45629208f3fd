/** Logs when an account goes over its quota and when it is below again, not each refused request. */

import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import { quotaWindowMs } from '../policy/quotaLedger.js'

export class OverQuotaLog {
  private readonly over = new Map<string, { sinceMs: number, lastMs: number, refused: number }>()

  /** `decidedBy` names who refuses: the leader for all nodes, the deputy for those without a leader, or this node for itself. */
  constructor (private readonly options: { clock: Clock, log: Log, decidedBy: 'leader' | 'deputy' | 'node' }) {}

  onRefused (account: string): void {
    const { clock, log, decidedBy } = this.options
    const nowMs = clock.nowMs()
    const state = this.over.get(account)
    if (state) {
      state.lastMs = nowMs
      state.refused++
      return
    }
    this.over.set(account, { sinceMs: nowMs, lastMs: nowMs, refused: 1 })
    log('warn', 'account over its quota', { account, decidedBy })
  }

  /** Call this several times per window. An account without refusals in a window is below its quota. */
  sweep (): void {
    const { clock, log, decidedBy } = this.options
    const nowMs = clock.nowMs()
    for (const [account, { sinceMs, lastMs, refused }] of this.over) {
      if (nowMs - lastMs < quotaWindowMs) continue
      this.over.delete(account)
      log('info', 'account below its quota again', { account, decidedBy, refused, durationMs: Math.round(lastMs - sinceMs) })
    }
  }
}
