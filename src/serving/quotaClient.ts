/** Takes tokens from account quotas: from this node's pool, the placement leader, its deputy, or the node's own share without both. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { QuotaDecision, QuotaLedger } from '../policy/quotaLedger.js'
import { QuotaPool } from '../policy/quotaPool.js'
import type { RequestMetadata } from './codecs.js'
import type { Account, AccountQuota } from './deployment.js'
import { OverQuotaLog } from './overQuotaLog.js'
import type { QuotaAskMessage, QuotaReply } from './peerMessages.js'

/** Longest wait for the leader; afterwards this node decides alone. With the reading of what has arrived, it stays within 150 ms. */
const replyTimeoutMs = 140
/** Time without queries after the leader did not reply in time, so that not every request waits. */
const unresponsivePauseMs = 400
/** Queries of requests that arrive within this time go in one message. */
const batchMs = 2
/** Time after which a late reply is no longer expected. */
const lateReplyMs = 5000

/** Tokens that a request holds. Call `giveBack` if the request has not run and never will. */
export interface TakenQuota {
  kind: 'taken'
  giveBack (): void
}
export type QuotaResult = TakenQuota | { kind: 'refused', reason: string, retryAfterMs: number }

/** How the quota's tokens were taken, or that they were refused, for metrics. */
export type QuotaEvent = 'granted' | 'deputy' | 'alone' | 'refused'

export interface QuotaClientOptions {
  clock: Clock
  random: Random
  log: Log
  /** Name of this node. */
  node: string
  nodeCount: () => number
  /** Sends to the leader, or returns false if there is no connection. */
  send: (message: QuotaAskMessage) => boolean
  /** The ledger while this node leads. */
  localLedger: () => QuotaLedger | undefined
  /** The same for the deputy. */
  sendToDeputy?: (message: QuotaAskMessage) => boolean
  /** The ledger while this node is the deputy and decides. */
  deputyLedger?: () => QuotaLedger | undefined
  /** Reads what has reached the sockets before silence counts. */
  readArrived?: () => Promise<void>
  onEvent?: (event: QuotaEvent, account: string, tokens: number) => void
}

interface Ask {
  account: string
  tokens: number
  wanted: number
  resolve (decision: QuotaDecision): void
  /** Sent to the deputy. */
  isDeputy: boolean
  /** Set if this node decided before the reply arrived. */
  decidedAlone?: { isTaken: boolean, ticket?: Ticket }
}

type Decider = 'leader' | 'deputy' | 'node'

interface Ticket { account: string, tokens: number, decidedBy: Decider, isReturned: boolean }

interface Batch { asks: Ask[], askedAtMs: number, cancelTimeout: CancelTimer, isDeputy: boolean }

interface Asked { decision: QuotaDecision, ask?: Ask, askedAtMs: number, isDeputy: boolean }

const eventOf: Record<Decider, QuotaEvent> = { leader: 'granted', deputy: 'deputy', node: 'alone' }
const deciderNames: Record<Decider, string> = { leader: 'the placement leader', deputy: 'the quota deputy', node: 'this node, without the placement leader' }

/** What a request costs in the quota's unit. */
export function quotaCost ({ unit, plainTokens }: AccountQuota, { statedTokens }: Pick<RequestMetadata, 'statedTokens'>): number {
  return unit === 'requests' ? 1 : statedTokens ?? plainTokens
}

export class QuotaClient {
  private readonly options: QuotaClientOptions
  private readonly clock: Clock
  private readonly pool: QuotaPool
  private readonly overQuota: OverQuotaLog
  private readonly batches = new Map<number, Batch>()
  private openBatch: number | undefined
  private nextNumber = 1
  private pausedUntilMs = -Infinity
  private returned = new Map<string, number>()
  /** Fence of the leader that knows what this node spent. */
  private reportedFence: number | undefined

  constructor (options: QuotaClientOptions) {
    this.options = options
    this.clock = options.clock
    this.pool = new QuotaPool(options)
    this.overQuota = new OverQuotaLog({ clock: options.clock, log: options.log, decidedBy: 'node' })
  }

  /** Takes what a request costs. Resolves within 150 ms, or as soon as the event loop runs again; never rejects. */
  async take ({ name, quota }: Pick<Account, 'name' | 'quota'>, metadata: Pick<RequestMetadata, 'statedTokens'>): Promise<QuotaResult> {
    const tokens = quota ? quotaCost(quota, metadata) : 0
    const ticket: Ticket = { account: name, tokens, decidedBy: 'leader', isReturned: false }
    if (!quota || tokens === 0) return { kind: 'taken', giveBack: () => {} }
    const first = this.pool.take(name, tokens)
    if (first.kind === 'taken') return this.taken(ticket)
    if (first.kind === 'refused') return this.refused(ticket, quota, first.retryAfterMs)
    const { decision, ask, askedAtMs, isDeputy } = await this.ask(name, tokens, first.wanted)
    if (isDeputy) ticket.decidedBy = 'deputy'
    if (decision.kind === 'granted') {
      if (isDeputy) this.pool.onDeputyGranted(name, tokens)
      else this.pool.onGranted(name, tokens, decision.tokens, askedAtMs)
      return this.taken(ticket)
    }
    if (decision.kind === 'refused') {
      this.pool.onRefused(name, tokens, decision.retryAfterMs)
      return this.refused(ticket, quota, decision.retryAfterMs)
    }
    const retryAfterMs = this.pool.takeAlone(name, quota, tokens)
    ticket.decidedBy = 'node'
    if (ask) ask.decidedAlone = { isTaken: retryAfterMs === undefined, ticket }
    if (retryAfterMs === undefined) return this.taken(ticket)
    this.overQuota.onRefused(name)
    return this.refused(ticket, quota, retryAfterMs)
  }

  onReply ({ quotaAsk, rows }: QuotaReply): void {
    const batch = this.batches.get(quotaAsk)
    if (!batch) return
    this.batches.delete(quotaAsk)
    batch.cancelTimeout()
    batch.asks.forEach((ask, index) => {
      const [, granted, retryAfterMs] = rows[index] ?? [ask.account, 0, null]
      if (ask.decidedAlone) this.onLateReply(ask, granted)
      else if (granted > 0) ask.resolve({ kind: 'granted', tokens: granted })
      else ask.resolve(retryAfterMs === null ? { kind: 'unknown' } : { kind: 'refused', retryAfterMs })
    })
  }

  /** Tells the leader what it doesn't know of this node's spending. */
  onConnected (fence: number | undefined): void {
    this.pausedUntilMs = -Infinity
    const isNewLeader = fence !== this.reportedFence
    // A new leader is told only what is still spent.
    if (isNewLeader) this.returned.clear()
    const spent = this.pool.spent({ isNewLeader })
    if (spent.length > 0 && !this.options.send({ quotaAsk: 0, rows: [], spent })) return
    this.reportedFence = fence
    this.pool.onSpentReported()
  }

  /** The same for the ledger of this node when it begins to lead. */
  onOwnTerm (ledger: QuotaLedger): void {
    this.reportedFence = undefined
    this.returned.clear()
    this.reportTo(ledger, { isNewLeader: true })
  }

  /** Nothing sent over the lost connection is answered any more. */
  onLost (): void {
    this.dropBatches({ isDeputy: false })
    this.openBatch = undefined
  }

  /** Names this node to the deputy, which then asks for what it does not know. */
  onDeputyConnected (): void {
    this.pausedUntilMs = -Infinity
    this.options.sendToDeputy?.({ node: this.options.node, quotaAsk: 0, rows: [] })
  }

  onDeputyReply (reply: QuotaReply): void {
    if (reply.quotaAsk !== 0) return this.onReply(reply)
    const { node, sendToDeputy } = this.options
    if (sendToDeputy?.({ node, quotaAsk: 0, rows: [], spent: this.pool.spent({ isNewLeader: true }) })) this.pool.onDeputyTold()
  }

  onDeputyLost (): void {
    this.dropBatches({ isDeputy: true })
  }

  /** The same as `onOwnTerm` for the ledger of this node when it begins to be the deputy. */
  onOwnDeputyTerm (ledger: QuotaLedger): void {
    for (const [account, rows] of this.pool.spent({ isNewLeader: true })) ledger.addSpent(this.options.node, account, rows)
    this.pool.onDeputyTold()
  }

  private dropBatches ({ isDeputy }: { isDeputy: boolean }): void {
    for (const [number, batch] of this.batches) {
      if (batch.isDeputy !== isDeputy) continue
      batch.cancelTimeout()
      for (const ask of batch.asks) ask.resolve({ kind: 'unknown' })
      this.batches.delete(number)
    }
  }

  /** Sets the load of accounts as the leader sees it. */
  onLoads (rows: readonly (readonly [string, number])[]): void {
    for (const [account, load] of rows) this.pool.setLoad(account, load)
  }

  setAccounts (accounts: readonly Account[]): void {
    this.pool.keepOnly(new Set(accounts.filter(({ quota }) => quota).map(({ name }) => name)))
  }

  /** Returns unused tokens. Call this several times a second. */
  sweep (): void {
    this.overQuota.sweep()
    for (const [account, tokens] of this.pool.takeExpired()) this.addReturned(account, tokens)
    const ledger = this.options.localLedger()
    // Without a connection, the tokens are kept: the same leader may be reached again.
    if (!ledger && (this.returned.size === 0 || !this.options.send({ quotaAsk: 0, rows: [], returned: [...this.returned] }))) return
    if (ledger) {
      // What was spent alone while the ledger settled.
      this.reportTo(ledger, { isNewLeader: false })
      for (const [account, tokens] of this.returned) ledger.giveBack(this.options.node, account, tokens)
    }
    this.returned.clear()
  }

  private reportTo (ledger: QuotaLedger, { isNewLeader }: { isNewLeader: boolean }): void {
    for (const [account, rows] of this.pool.spent({ isNewLeader })) ledger.addSpent(this.options.node, account, rows)
    this.pool.onSpentReported()
  }

  private ask (account: string, tokens: number, wanted: number): Promise<Asked> {
    const askedAtMs = this.clock.nowMs()
    const { node, localLedger, deputyLedger } = this.options
    const ledger = localLedger()
    if (ledger) return Promise.resolve({ decision: ledger.grant(node, account, tokens, wanted), askedAtMs, isDeputy: false })
    const ownDeputy = deputyLedger?.()
    if (ownDeputy) {
      for (const [untoldAccount, rows] of this.pool.untold()) ownDeputy.addSpent(node, untoldAccount, rows)
      this.pool.onDeputyTold()
      return Promise.resolve({ decision: ownDeputy.grant(node, account, tokens, 0), askedAtMs, isDeputy: true })
    }
    if (askedAtMs < this.pausedUntilMs) return Promise.resolve({ decision: { kind: 'unknown' }, askedAtMs, isDeputy: false })
    return new Promise(resolve => {
      const ask: Ask = { account, tokens, wanted, isDeputy: false, resolve: decision => resolve({ decision, ask, askedAtMs, isDeputy: ask.isDeputy }) }
      this.addToBatch(ask)
    })
  }

  private addToBatch (ask: Ask): void {
    const open = this.openBatch === undefined ? undefined : this.batches.get(this.openBatch)
    if (open) {
      open.asks.push(ask)
      return
    }
    const number = this.nextNumber++
    this.openBatch = number
    const cancelTimeout = this.clock.setTimer(replyTimeoutMs, () => { void this.onTimeout(number) })
    this.batches.set(number, { asks: [ask], askedAtMs: this.clock.nowMs(), cancelTimeout, isDeputy: false })
    this.clock.setTimer(batchMs, () => this.sendBatch(number))
  }

  private sendBatch (number: number): void {
    if (this.openBatch === number) this.openBatch = undefined
    const batch = this.batches.get(number)
    if (!batch) return
    const rows = batch.asks.map(({ account, tokens, wanted }): [string, number, number] => [account, tokens, wanted])
    const returned = this.returned.size > 0 ? { returned: [...this.returned] } : {}
    // What was spent alone while the leader did not reply. The connection may not have been lost.
    const spentRows = this.pool.spent({ isNewLeader: false })
    const spent = spentRows.length > 0 ? { spent: spentRows } : {}
    if (!this.options.send({ quotaAsk: number, rows, ...returned, ...spent })) return this.sendBatchToDeputy(number, batch)
    this.returned.clear()
    this.pool.onSpentReported()
  }

  private sendBatchToDeputy (number: number, batch: Batch): void {
    // A deputy decides for seconds at most, so prefetched tokens are not worth their return.
    const rows = batch.asks.map(({ account, tokens }): [string, number, number] => [account, tokens, 0])
    const untold = this.pool.untold()
    const spent = untold.length > 0 ? { spent: untold } : {}
    if (!this.options.sendToDeputy?.({ quotaAsk: number, rows, ...spent })) return this.onReply({ quotaAsk: number, rows: [] })
    batch.isDeputy = true
    for (const ask of batch.asks) ask.isDeputy = true
    this.pool.onDeputyTold()
  }

  private async onTimeout (number: number): Promise<void> {
    // The reply may have arrived while the event loop was blocked.
    await (this.options.readArrived ?? ioTurn)()
    const batch = this.batches.get(number)
    if (!batch) return
    this.pausedUntilMs = this.clock.nowMs() + unresponsivePauseMs
    batch.cancelTimeout = this.clock.setTimer(lateReplyMs, () => this.batches.delete(number))
    for (const ask of batch.asks) {
      ask.decidedAlone = { isTaken: false }
      ask.resolve({ kind: 'unknown' })
    }
  }

  private onLateReply ({ account, tokens, decidedAlone, isDeputy }: Ask, granted: number): void {
    if (granted === 0) return
    if (isDeputy) return this.pool.onLateDeputyGrant(account, granted)
    const ticket = decidedAlone?.ticket
    const isUsed = decidedAlone?.isTaken === true && ticket !== undefined && !ticket.isReturned
    if (isUsed) {
      ticket.decidedBy = 'leader'
      this.pool.onLateGrant(account, tokens)
    }
    const unused = isUsed ? granted - tokens : granted
    if (unused > 0) this.addReturned(account, unused)
  }

  private taken (ticket: Ticket): TakenQuota {
    this.options.onEvent?.(eventOf[ticket.decidedBy], ticket.account, ticket.tokens)
    const giveBack = () => {
      if (ticket.isReturned) return
      ticket.isReturned = true
      this.pool.giveBack(ticket.account, ticket.tokens, ticket.decidedBy)
      if (ticket.decidedBy === 'leader') this.addReturned(ticket.account, ticket.tokens)
    }
    return { kind: 'taken', giveBack }
  }

  private refused ({ account, tokens, decidedBy }: Ticket, { unit, perSecond }: AccountQuota, retryAfterMs: number): QuotaResult {
    this.options.onEvent?.('refused', account, tokens)
    return { kind: 'refused', reason: `account ${account} is over its quota of ${perSecond} ${unit} per second: ${tokens} refused by ${deciderNames[decidedBy]}`, retryAfterMs }
  }

  private addReturned (account: string, tokens: number): void {
    this.returned.set(account, (this.returned.get(account) ?? 0) + tokens)
  }
}
