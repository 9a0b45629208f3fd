/** The placement leader's token buckets, one for each account with a quota. */

import type { Clock } from '../base/clock.js'
import { SlidingSum } from './slidingSum.js'

/** Window of the platform's rule. */
export const quotaWindowMs = 8000
const slotMs = 50
/** Length of the sums of demand. With a slot more and the way of a message, requests up to a window apart are counted together. */
const demandMs = 7900
/** Time at its rate by which the demand of an account may exceed the rate: at the onset of a flood, later requests arrive before earlier ones that come from afar. */
const demandLeewayMs = 100
/**
 * What the bucket holds beyond the burst, as a share of what the rule allows in a window. The rule tolerates 0.1 in all; the rest is
 * for prefetched tokens and for nodes that spend without a leader.
 */
const headroomShare = 0.04
/** The same for quotas in tokens, in tokens: part of the rule's 11,000. Small accounts need it, since one request takes up to two seconds of their rate. */
const headroomTokens = 4000
/** Prefetched tokens that all nodes may hold together, as a share of what the rule allows in a window. */
const prefetchShare = 0.02
/** Time for which prefetched tokens count as held: their lifetime at the nodes and the longest way of a message. */
const prefetchHeldMs = 1500
/** Time in which the nodes connect to a new leader and report what they spent. Until then the ledger grants nothing and nodes spend on their own. */
const settleMs = 500
/** Time for which a lost node is taken to spend as before; afterwards it limits itself. */
const lostNodeMs = 10_000
/** Time without a report after which a node is taken for lost: a cut network closes no connection. As long as a node waits for its leader. */
const maxSilenceMs = 1600
/** The most that one check adds to the silence, since reports may be unread after this process was frozen. */
const maxSilenceStepMs = 500

/** Limit of an account, as a token bucket. */
export interface QuotaLimit {
  unit: 'tokens' | 'requests'
  perSecond: number
  burst: number
}

/** `unknown`: the ledger can't decide yet, so the node spends on its own. */
export type QuotaDecision =
  | { kind: 'granted', tokens: number }
  | { kind: 'refused', retryAfterMs: number }
  | { kind: 'unknown' }

/** Ages in milliseconds and tokens. */
export type SpentRows = [number, number][]

interface Bucket {
  /** Below zero after a grant for a request that exceeds the bucket, or for an account below its quota. */
  level: number
  refilledAtMs: number
  /** The rate for which `level` was computed. */
  perSecond: number
  /** What was asked for, refused requests included. */
  demand: SlidingSum
  prefetched: SlidingSum
  byNode: Map<string, SlidingSum>
  lostNodes: Map<string, { perMs: number, untilMs: number, debited: number }>
}

export interface QuotaLedgerOptions {
  clock: Clock
  /** The quota in force; `undefined` if the account has none or doesn't exist. */
  limitOf: (account: string) => QuotaLimit | undefined
  onRefused?: (account: string) => void
}

/** Largest amount that `limit` allows in a window without the rule's tolerance. */
function windowAmount ({ perSecond, burst }: QuotaLimit): number {
  return perSecond * quotaWindowMs / 1000 + burst
}

function capacityOf (limit: QuotaLimit): number {
  return limit.burst + windowAmount(limit) * headroomShare + (limit.unit === 'tokens' ? headroomTokens : 0)
}

export class QuotaLedger {
  private readonly clock: Clock
  private readonly limitOf: QuotaLedgerOptions['limitOf']
  private readonly onRefused: (account: string) => void
  private readonly buckets = new Map<string, Bucket>()
  private settledAtMs: number
  /** What nodes have reported before the ledger settled, by account. */
  private readonly history = new Map<string, SlidingSum>()
  /** Time since the last report of each connected node. */
  private readonly silenceMs = new Map<string, number>()
  private silenceCheckedAtMs: number

  constructor ({ clock, limitOf, onRefused = () => {} }: QuotaLedgerOptions) {
    this.clock = clock
    this.limitOf = limitOf
    this.onRefused = onRefused
    this.silenceCheckedAtMs = clock.nowMs()
    this.settledAtMs = clock.nowMs() + settleMs
  }

  /**
   * Decides on a request of `node` that costs `needed`. Up to `wanted` more is granted from what the bucket holds beyond the burst,
   * so that tokens at one node are never missing at another.
   */
  grant (node: string, account: string, needed: number, wanted: number): QuotaDecision {
    const nowMs = this.clock.nowMs()
    const limit = this.limitOf(account)
    if (!limit || nowMs < this.settledAtMs) return { kind: 'unknown' }
    const bucket = this.bucketOf(account, limit, nowMs)
    bucket.demand.add(needed, nowMs)
    // A request that exceeds the burst needs a full one.
    const requiredLevel = Math.min(needed, limit.burst)
    // An account whose whole demand of the window is below its rate is served, however uneven the demand is. The bucket's debt
    // keeps the sum of a window within the rule.
    const demandLimit = limit.perSecond * (quotaWindowMs + demandLeewayMs) / 1000
    const isBelowRate = bucket.demand.sum(nowMs) <= demandLimit
    if (bucket.level < requiredLevel && !isBelowRate) {
      this.onRefused(account)
      const refillMs = (requiredLevel - bucket.level) / limit.perSecond * 1000
      return { kind: 'refused', retryAfterMs: Math.min(refillMs, fallMs(bucket.demand, demandLimit - needed, nowMs)) }
    }
    bucket.level -= needed
    const mayPrefetch = windowAmount(limit) * prefetchShare - bucket.prefetched.sum(nowMs)
    const surplus = Math.max(0, Math.min(wanted, bucket.level - limit.burst, mayPrefetch))
    if (surplus > 0) {
      bucket.level -= surplus
      bucket.prefetched.add(surplus, nowMs)
    }
    nodeSum(bucket, node).add(needed + surplus, nowMs)
    return { kind: 'granted', tokens: needed + surplus }
  }

  /** All nodes have reported what they spent, so there is nothing to wait for. */
  settle (): void {
    this.settledAtMs = Math.min(this.settledAtMs, this.clock.nowMs())
  }

  /** Takes back tokens of requests that did not run, and prefetched ones that were not used. */
  giveBack (node: string, account: string, tokens: number): void {
    const limit = this.limitOf(account)
    const nowMs = this.clock.nowMs()
    const bucket = limit && this.buckets.get(account)
    // Before the first grant, the tokens are in what the node reported.
    if (!bucket) return this.history.get(account)?.add(-tokens, nowMs)
    this.refill(bucket, limit, nowMs)
    bucket.level = Math.min(capacityOf(limit), bucket.level + tokens)
    nodeSum(bucket, node).add(-tokens, nowMs)
  }

  /** Records what a node has spent that this ledger did not grant. */
  addSpent (node: string, account: string, rows: SpentRows): void {
    const nowMs = this.clock.nowMs()
    const limit = this.limitOf(account)
    if (!limit) return
    if (nowMs < this.settledAtMs || !this.buckets.has(account)) {
      const history = this.history.get(account) ?? new SlidingSum(demandMs, slotMs)
      this.history.set(account, history)
      for (const [ageMs, tokens] of rows) history.add(tokens, nowMs - ageMs)
      return
    }
    const bucket = this.bucketOf(account, limit, nowMs)
    const spent = rows.reduce((sum, [, tokens]) => sum + tokens, 0)
    const lost = bucket.lostNodes.get(node)
    const isDebited = Math.min(Math.max(0, spent), lost?.debited ?? 0)
    if (lost) lost.debited -= isDebited
    bucket.level -= spent - isDebited
    for (const [ageMs, tokens] of rows) {
      bucket.demand.add(tokens, nowMs - ageMs)
      nodeSum(bucket, node).add(tokens, nowMs - ageMs)
    }
  }

  /** A report of the node has arrived. */
  onReport (node: string): void {
    if (!this.silenceMs.has(node)) this.onNodeJoined(node)
    this.silenceMs.set(node, 0)
  }

  /** Takes nodes that have stopped reporting for lost. Call this several times a second. */
  checkSilence (): void {
    const nowMs = this.clock.nowMs()
    const stepMs = Math.min(maxSilenceStepMs, Math.max(0, nowMs - this.silenceCheckedAtMs))
    this.silenceCheckedAtMs = nowMs
    for (const [node, silenceMs] of this.silenceMs) {
      if (silenceMs + stepMs > maxSilenceMs) this.onNodeLost(node)
      else this.silenceMs.set(node, silenceMs + stepMs)
    }
  }

  /** The node is connected again, so what it spends is known. */
  onNodeJoined (node: string): void {
    const nowMs = this.clock.nowMs()
    for (const [account, bucket] of this.buckets) {
      const limit = this.limitOf(account)
      if (limit) this.refill(bucket, limit, nowMs)
      const lost = bucket.lostNodes.get(node)
      // What was debited is set off against what the node then says it spent.
      if (lost) lost.perMs = 0
    }
  }

  /** The connection to a node is lost. It may go on spending on its own what it spent until now. */
  onNodeLost (node: string): void {
    this.silenceMs.delete(node)
    const nowMs = this.clock.nowMs()
    for (const [account, bucket] of this.buckets) {
      const limit = this.limitOf(account)
      if (!limit) continue
      this.refill(bucket, limit, nowMs)
      const perMs = (bucket.byNode.get(node)?.sum(nowMs) ?? 0) / quotaWindowMs
      if (perMs > 0) bucket.lostNodes.set(node, { perMs, untilMs: nowMs + lostNodeMs, debited: 0 })
      bucket.byNode.delete(node)
    }
  }

  /** Demand of each account over the last window as a share of its rate; 1 is the quota. Drops accounts that no longer exist. */
  loads (): [string, number][] {
    const nowMs = this.clock.nowMs()
    const rows: [string, number][] = []
    for (const [account, bucket] of this.buckets) {
      const limit = this.limitOf(account)
      if (limit) rows.push([account, bucket.demand.sum(nowMs) / (limit.perSecond * quotaWindowMs / 1000)])
      else this.buckets.delete(account)
    }
    return rows
  }

  private bucketOf (account: string, limit: QuotaLimit, nowMs: number): Bucket {
    let bucket = this.buckets.get(account)
    if (!bucket) {
      const demand = this.history.get(account) ?? new SlidingSum(demandMs, slotMs)
      bucket = {
        level: levelAfter(demand.rows(nowMs), limit),
        refilledAtMs: nowMs,
        perSecond: limit.perSecond,
        demand,
        prefetched: new SlidingSum(prefetchHeldMs, slotMs),
        byNode: new Map(),
        lostNodes: new Map()
      }
      this.buckets.set(account, bucket)
      this.history.delete(account)
    }
    this.refill(bucket, limit, nowMs)
    return bucket
  }

  private refill (bucket: Bucket, limit: QuotaLimit, nowMs: number): void {
    // The wall clock may be set back.
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs)
    bucket.refilledAtMs = nowMs
    bucket.level = Math.min(capacityOf(limit), bucket.level + limit.perSecond * elapsedMs / 1000)
    for (const [node, lost] of bucket.lostNodes) {
      const debit = lost.perMs * Math.max(0, Math.min(elapsedMs, lost.untilMs - (nowMs - elapsedMs)))
      lost.debited += debit
      bucket.level -= debit
      if (nowMs >= lost.untilMs) bucket.lostNodes.delete(node)
    }
    if (bucket.perSecond === limit.perSecond) return
    // A debt from a much higher rate would take too long to pay back.
    bucket.level = Math.max(bucket.level, -limit.perSecond * quotaWindowMs / 1000)
    bucket.perSecond = limit.perSecond
  }
}

/** Time until the sum is at most `limit` if nothing is added. */
function fallMs (demand: SlidingSum, limit: number, nowMs: number): number {
  let sum = demand.sum(nowMs)
  for (const [ageMs, tokens] of demand.rows(nowMs)) {
    sum -= tokens
    if (sum <= limit) return quotaWindowMs - ageMs
  }
  return Infinity
}

/** Level of a bucket that was full before `rows`. */
function levelAfter (rows: SpentRows, limit: QuotaLimit): number {
  let level = capacityOf(limit)
  let earlierMs = quotaWindowMs
  for (const [ageMs, tokens] of rows) {
    level = Math.min(capacityOf(limit), level + limit.perSecond * Math.max(0, earlierMs - ageMs) / 1000) - tokens
    earlierMs = ageMs
  }
  return Math.min(capacityOf(limit), level + limit.perSecond * earlierMs / 1000)
}

function nodeSum ({ byNode }: Bucket, node: string): SlidingSum {
  let sum = byNode.get(node)
  if (!sum) byNode.set(node, sum = new SlidingSum(quotaWindowMs, 1000))
  return sum
}
