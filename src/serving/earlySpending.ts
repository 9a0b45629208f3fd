/** What nodes report as spent to this node before it learns that it leads. */

import type { Clock } from '../base/clock.js'
import { quotaWindowMs } from '../policy/quotaLedger.js'
import type { QuotaLedger } from '../policy/quotaLedger.js'
import type { QuotaAskMessage } from './peerMessages.js'

type Spent = NonNullable<QuotaAskMessage['spent']>

export class EarlySpending {
  private reports: { node: string, atMs: number, spent: Spent }[] = []
  private readonly formerLinks = new WeakSet<object>()

  constructor (private readonly clock: Clock) {}

  /** Keeps a report for the length of the quota window. One over a connection from an earlier term is repeated to the next leader. */
  add (link: object, node: string, spent: Spent): void {
    const nowMs = this.clock.nowMs()
    this.reports = this.reports.filter(({ atMs }) => nowMs - atMs < quotaWindowMs)
    if (!this.formerLinks.has(link)) this.reports.push({ node, atMs: nowMs, spent })
  }

  /** A term of this node has ended; `links` are the connections of its nodes. */
  onTermEnded (links: Iterable<object>): void {
    for (const link of links) this.formerLinks.add(link)
  }

  /** Passes the reports on to the ledger of the term that begins. */
  moveTo (ledger: QuotaLedger): void {
    const nowMs = this.clock.nowMs()
    for (const { node, atMs, spent } of this.reports) {
      for (const [account, rows] of spent) ledger.addSpent(node, account, rows.map(([ageMs, tokens]) => [ageMs + nowMs - atMs, tokens]))
    }
    this.reports = []
  }
}
