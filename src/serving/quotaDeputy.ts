/** Decides on account quotas for nodes that have no placement leader. */

import type { Clock } from '../base/clock.js'
import { QuotaLedger, quotaWindowMs } from '../policy/quotaLedger.js'
import type { QuotaLedgerOptions } from '../policy/quotaLedger.js'
import type { LeaderMessage, QuotaAskMessage, QuotaReply } from './peerMessages.js'

/** Share of the nodes that must reach a deputy. Fewer of them would get a share of the rate that refuses small accounts. */
const minReach = 0.5
/** Share of the rate after a whole window: on the other side of a network cut, a leader may still grant all of it, and no longer debits these nodes. */
const longTermShare = 0.65

/** Time without a report after which a connected node is not named as deputy. */
const maxSilenceMs = 1600

/** Deputies that the leader names: the next one is asked if one is lost together with the leader. */
const maxDeputies = 3
/** Time for a deputy to answer before the next one is tried. A connection and the interval of its loads take 300 ms. */
const deputyAnswerMs = 500

type Reply = (message: LeaderMessage) => void

interface Term {
  ledger: QuotaLedger
  sinceMs: number
  /** Nodes that have reported all that they spent. */
  reported: Set<string>
}

export interface QuotaDeputyOptions {
  clock: Clock
  /** The quota in force over all nodes. */
  limitOf: QuotaLedgerOptions['limitOf']
  nodeCount: () => number
  /** Whether this node leads or is connected to the leader. */
  hasLeader: () => boolean
  onRefused?: (account: string) => void
  /** A ledger begins that does not know what this node itself has spent. */
  onBegun: (ledger: QuotaLedger) => void
}

export class QuotaDeputy {
  private readonly options: QuotaDeputyOptions
  /** Names of the nodes that are connected to this one because they have no leader. */
  private readonly nodes = new Map<Reply, string>()
  private term: Term | undefined

  constructor (options: QuotaDeputyOptions) {
    this.options = options
  }

  /** Answers a query of a node without a leader. Returns false if the connection is not one to a deputy. */
  onQuotaAsk ({ node, quotaAsk, rows, spent }: QuotaAskMessage, reply: Reply): boolean {
    const name = node ?? this.nodes.get(reply)
    if (name === undefined) return false
    const isNew = !this.nodes.has(reply)
    this.nodes.set(reply, name)
    const { term: before } = this
    this.update()
    const { term } = this
    if (!term) {
      if (rows.length > 0) reply(undecided({ quotaAsk, rows }))
      return true
    }
    if (node !== undefined && spent && !term.reported.has(name)) {
      term.reported.add(name)
      this.addSpent(term, name, spent)
      // Only this node and the lost leader are missing.
      if (term.reported.size >= this.options.nodeCount() - 2) term.ledger.settle()
    } else if (term.reported.has(name)) this.addSpent(term, name, spent)
    else if (isNew && term === before) reply(fullReportRequest)
    if (rows.length > 0) reply(this.isReached ? answerQuotaAsk(term.ledger, name, { quotaAsk, rows }) : undecided({ quotaAsk, rows }))
    return true
  }

  onLeft (reply: Reply): void {
    this.nodes.delete(reply)
  }

  /** Begins or ends the ledger as the leader is lost or found. Call this several times a second. */
  update (): void {
    if (this.options.hasLeader() || this.nodes.size === 0) this.term = undefined
    else if (!this.term) {
      const { clock, limitOf, onRefused, onBegun } = this.options
      const ledger = new QuotaLedger({
        clock,
        limitOf: account => {
          const limit = limitOf(account)
          return limit && { ...limit, perSecond: limit.perSecond * this.share, burst: limit.burst * this.share }
        },
        ...(onRefused ? { onRefused } : {})
      })
      this.term = { ledger, sinceMs: clock.nowMs(), reported: new Set() }
      onBegun(ledger)
      for (const reply of this.nodes.keys()) reply(fullReportRequest)
    }
  }

  /** Tells the nodes the loads of the accounts, which also shows that this node is alive. */
  sendLoads (): void {
    this.update()
    const report: LeaderMessage = { fence: 0, hosting: [], running: [], quotaLoads: this.loads }
    for (const reply of this.nodes.keys()) reply(report)
  }

  /** The ledger, for this node's own requests; `undefined` while this node does not decide. */
  get ledger (): QuotaLedger | undefined {
    return this.isReached && !this.options.hasLeader() ? this.term?.ledger : undefined
  }

  /** Number of connections to this node as a deputy. */
  get linkCount (): number {
    return this.nodes.size
  }

  private addSpent ({ ledger }: Term, node: string, spent: QuotaAskMessage['spent']): void {
    for (const [account, rows] of spent ?? []) ledger.addSpent(node, account, rows)
  }

  private get loads (): [string, number][] {
    const loads = this.isReached ? this.term?.ledger.loads() ?? [] : []
    return loads.map(([account, load]) => [account, Math.round(load * 100) / 100])
  }

  /** Share of the nodes that this one decides for, itself included. */
  private get reach (): number {
    const nodeCount = this.options.nodeCount()
    // A node that has just started may not know how many there are.
    return nodeCount <= 1 ? 0 : Math.min(1, (new Set(this.nodes.values()).size + 1) / nodeCount)
  }

  private get isReached (): boolean {
    return this.reach >= minReach
  }

  private get share (): number {
    const isLong = this.term !== undefined && this.options.clock.nowMs() - this.term.sinceMs > quotaWindowMs
    return this.reach * (isLong ? longTermShare : 1)
  }
}

/** The leader's choice: the nodes that have been connected longest and are not silent, and those of `current` as long as they are such nodes. */
export function chooseDeputies (connected: Iterable<{ ip: string | undefined, reportedAtMs: number }>, current: readonly string[], nowMs: number): readonly string[] {
  const live = new Set<string>()
  for (const { ip, reportedAtMs } of connected) if (ip !== undefined && nowMs - reportedAtMs <= maxSilenceMs) live.add(ip)
  // After a freeze of the leader, all nodes seem silent.
  if (live.size === 0) return current
  return [...new Set([...current.filter(ip => live.has(ip)), ...live])].slice(0, maxDeputies)
}

/** Which deputy a node without a leader connects to: the first one that answers, in the leader's order. */
export class DeputySearch {
  private index = 0
  private sinceMs: number | undefined

  constructor (private readonly clock: Clock) {}

  /** Call this several times a second while there is no leader. `isAnswered` tells whether the deputy of the last call has answered. */
  choose (deputies: readonly string[], { isAnswered }: { isAnswered: boolean }): string | undefined {
    const nowMs = this.clock.nowMs()
    this.sinceMs ??= nowMs
    if (!isAnswered && nowMs - this.sinceMs >= deputyAnswerMs) {
      this.index++
      this.sinceMs = nowMs
    }
    return deputies[this.index % deputies.length]
  }

  /** There is a leader. */
  reset (): void {
    this.index = 0
    this.sinceMs = undefined
  }
}

const fullReportRequest: QuotaReply = { quotaAsk: 0, rows: [] }

function undecided ({ quotaAsk, rows }: Pick<QuotaAskMessage, 'quotaAsk' | 'rows'>): QuotaReply {
  return { quotaAsk, rows: rows.map(([account]) => [account, 0, null]) }
}

/** Applies a node's query to a ledger. */
export function answerQuotaAsk (ledger: QuotaLedger, node: string, { quotaAsk, rows, returned = [], spent = [] }: QuotaAskMessage): QuotaReply {
  for (const [account, tokens] of returned) ledger.giveBack(node, account, tokens)
  for (const [account, spentRows] of spent) ledger.addSpent(node, account, spentRows)
  return {
    quotaAsk,
    rows: rows.map(([account, needed, wanted]) => {
      const decision = ledger.grant(node, account, needed, wanted)
      return [account, decision.kind === 'granted' ? decision.tokens : 0, decision.kind === 'refused' ? Math.ceil(decision.retryAfterMs) : null]
    })
  }
}
