/** A node's tokens of the accounts: prefetched ones, and what it may spend while no placement leader decides. */

import type { Clock } from '../base/clock.js'
import type { Random } from '../base/random.js'
import { quotaWindowMs } from './quotaLedger.js'
import type { QuotaLimit, SpentRows } from './quotaLedger.js'
import { SlidingSum } from './slidingSum.js'

const slotMs = 500
/** Own demand for which tokens are prefetched. */
const prefetchMs = 500
/** Lifetime of prefetched tokens, from the time of the query. */
const prefetchLifetimeMs = 1000
/** Load of an account from which a node alone assumes that the quota is used up. */
const highLoad = 0.9
/** Share of the rate that all nodes together spend without a leader while the load is high: a flood goes on, and the next leader needs room. */
const aloneShare = 0.8
/** The same for nodes that have been alone for a whole window: the leader of the others no longer counts them. */
const longAloneShare = 0.2
/** How far the own rate may rise above the recent one while the load is not high. */
const aloneRise = 1.2
/** The least that a node spends alone, as a share of the rate divided by the number of nodes: more than the usual load of 0.55. */
const equalShare = 0.65
/** Capacity of what a node may spend alone, as time at its rate. More would let a flood without a leader exceed the rule. */
const aloneBurstMs = 2500
/** Requests beyond that. Demand at a single node is uneven: with one, 40 of 631 requests below the quota were refused after a leader's end, with three 4 of 608. */
const aloneRequests = 3
/** `Retry-After` when a request is refused by chance, since the node knows no time at which there are tokens. */
const thinnedRetryMs = 1000
/** Longest `Retry-After` without a leader: the next leader is elected and has its ledger by then. */
const maxAloneRetryMs = 4000
/** After a refusal, requests that cost as much are refused at the node for this time at most, so that a flood doesn't flood the leader. */
const maxRefusalCacheMs = 100

interface Pool {
  held: { tokens: number, untilMs: number }[]
  demand: SlidingSum
  /** What requests took that a leader granted, or that a leader has been told. */
  granted: SlidingSum
  /** What requests took without a leader. */
  alone: SlidingSum
  /** What the deputy does not know of the above since it was last told. */
  untold: SlidingSum
  /** Demand at all nodes as a share of the rate, as the leader said last. */
  load: number
  aloneState: { sinceMs: number, level: number, perSecond: number, refilledAtMs: number } | undefined
  refusal: { tokens: number, untilMs: number } | undefined
}

export interface QuotaPoolOptions {
  clock: Clock
  random: Random
  nodeCount: () => number
}

export class QuotaPool {
  private readonly pools = new Map<string, Pool>()

  constructor (private readonly options: QuotaPoolOptions) {}

  /** Takes prefetched tokens, or says what to ask the leader for, or how long a refusal still holds. */
  take (account: string, tokens: number): { kind: 'taken' } | { kind: 'refused', retryAfterMs: number } | { kind: 'ask', wanted: number } {
    const nowMs = this.options.clock.nowMs()
    const pool = this.poolOf(account)
    pool.demand.add(tokens, nowMs)
    const usable = pool.held.filter(({ untilMs }) => untilMs > nowMs)
    const heldTokens = usable.reduce((sum, held) => sum + held.tokens, 0)
    if (heldTokens >= tokens) {
      let left = tokens
      for (const held of usable) {
        const used = Math.min(left, held.tokens)
        held.tokens -= used
        left -= used
      }
      pool.granted.add(tokens, nowMs)
      pool.untold.add(tokens, nowMs)
      return { kind: 'taken' }
    }
    const { refusal } = pool
    if (refusal && refusal.untilMs > nowMs && tokens >= refusal.tokens) return { kind: 'refused', retryAfterMs: refusal.untilMs - nowMs }
    const wanted = pool.demand.sum(nowMs) / quotaWindowMs * prefetchMs - heldTokens
    // Less than a request's cost would only lie idle.
    return { kind: 'ask', wanted: wanted >= tokens ? Math.ceil(wanted) : 0 }
  }

  /** The leader granted `granted` for a request that costs `needed`, asked for at `askedAtMs`. */
  onGranted (account: string, needed: number, granted: number, askedAtMs: number): void {
    const pool = this.poolOf(account)
    pool.aloneState = undefined
    pool.refusal = undefined
    pool.granted.add(needed, this.options.clock.nowMs())
    if (granted > needed) pool.held.push({ tokens: granted - needed, untilMs: askedAtMs + prefetchLifetimeMs })
  }

  /** The deputy granted a request. A leader does not know it. */
  onDeputyGranted (account: string, tokens: number): void {
    const pool = this.poolOf(account)
    pool.aloneState = undefined
    pool.refusal = undefined
    pool.alone.add(tokens, this.options.clock.nowMs())
  }

  /** The deputy granted tokens after the node had decided alone, and counts them in addition to what the node tells it. */
  onLateDeputyGrant (account: string, tokens: number): void {
    this.poolOf(account).untold.add(-tokens, this.options.clock.nowMs())
  }

  onRefused (account: string, needed: number, retryAfterMs: number): void {
    const pool = this.poolOf(account)
    pool.aloneState = undefined
    pool.load = Math.max(pool.load, 1)
    pool.refusal = { tokens: needed, untilMs: this.options.clock.nowMs() + Math.min(retryAfterMs, maxRefusalCacheMs) }
  }

  /** The grant of a request came after the node had decided alone: what it took is known to the leader. */
  onLateGrant (account: string, tokens: number): void {
    const nowMs = this.options.clock.nowMs()
    const pool = this.poolOf(account)
    pool.alone.add(-tokens, nowMs)
    pool.granted.add(tokens, nowMs)
  }

  /** Decides without a leader. Returns `undefined` if the request may run, otherwise the time after which it may be tried again. */
  takeAlone (account: string, limit: QuotaLimit, tokens: number): number | undefined {
    const { clock, random } = this.options
    const nowMs = clock.nowMs()
    const pool = this.poolOf(account)
    const state = this.aloneStateOf(pool, limit, tokens, nowMs)
    const isHigh = pool.load > highLoad
    const share = isHigh && nowMs - state.sinceMs > quotaWindowMs ? longAloneShare : aloneShare
    // All nodes refuse the same share of the requests, so what runs is right also where each node sees few.
    if (isHigh && random.next() >= share / pool.load) return thinnedRetryMs
    const capacity = aloneCapacity(state.perSecond, tokens, isHigh)
    state.level = Math.min(capacity, state.level + state.perSecond * Math.max(0, nowMs - state.refilledAtMs) / 1000)
    state.refilledAtMs = nowMs
    if (state.level < tokens) return Math.min(maxAloneRetryMs, (tokens - state.level) / state.perSecond * 1000)
    state.level -= tokens
    pool.alone.add(tokens, nowMs)
    pool.untold.add(tokens, nowMs)
    return undefined
  }

  /** Takes back the tokens of a request that did not run. */
  giveBack (account: string, tokens: number, decidedBy: 'leader' | 'deputy' | 'node'): void {
    const pool = this.poolOf(account)
    const nowMs = this.options.clock.nowMs()
    const sum = decidedBy === 'leader' ? pool.granted : pool.alone
    sum.add(-tokens, nowMs)
    pool.untold.add(-tokens, nowMs)
    if (decidedBy === 'node' && pool.aloneState) pool.aloneState.level += tokens
  }

  setLoad (account: string, load: number): void {
    this.poolOf(account).load = load
  }

  /** Removes prefetched tokens that have expired, for their return to the leader. */
  takeExpired (): [string, number][] {
    const nowMs = this.options.clock.nowMs()
    const rows: [string, number][] = []
    for (const [account, pool] of this.pools) {
      const expired = pool.held.filter(({ untilMs }) => untilMs <= nowMs).reduce((sum, { tokens }) => sum + tokens, 0)
      pool.held = pool.held.filter(({ tokens, untilMs }) => untilMs > nowMs && tokens > 0)
      if (expired > 0) rows.push([account, expired])
    }
    return rows
  }

  /** What this node spent in the last window and the leader does not know: everything if it is a new leader, otherwise what was spent alone. */
  spent ({ isNewLeader }: { isNewLeader: boolean }): [string, SpentRows][] {
    const nowMs = this.options.clock.nowMs()
    const result: [string, SpentRows][] = []
    for (const [account, pool] of this.pools) {
      const alone = pool.alone.rows(nowMs)
      const rows = isNewLeader ? [...pool.granted.rows(nowMs), ...alone] : alone
      if (rows.length > 0) result.push([account, rounded(rows)])
    }
    return result
  }

  /** What this node spent in the last window that the deputy does not know. */
  untold (): [string, SpentRows][] {
    const nowMs = this.options.clock.nowMs()
    return [...this.pools].map(([account, { untold }]): [string, SpentRows] => [account, rounded(untold.rows(nowMs))]).filter(([, rows]) => rows.length > 0)
  }

  onDeputyTold (): void {
    for (const { untold } of this.pools.values()) untold.clear()
  }

  /** The leader has been sent everything that was spent. */
  onSpentReported (): void {
    const nowMs = this.options.clock.nowMs()
    for (const { alone, granted } of this.pools.values()) {
      for (const [ageMs, tokens] of alone.rows(nowMs)) granted.add(tokens, nowMs - ageMs - 1)
      alone.clear()
    }
  }

  /** Drops accounts that no longer exist or have no quota. */
  keepOnly (accounts: ReadonlySet<string>): void {
    for (const account of this.pools.keys()) if (!accounts.has(account)) this.pools.delete(account)
  }

  private aloneStateOf (pool: Pool, { perSecond }: QuotaLimit, tokens: number, nowMs: number): NonNullable<Pool['aloneState']> {
    if (pool.aloneState) return pool.aloneState
    const ownPerSecond = pool.granted.sum(nowMs) / quotaWindowMs * 1000
    const rate = Math.max(ownPerSecond * (pool.load > highLoad ? 1 : aloneRise), equalShare * perSecond / Math.max(1, this.options.nodeCount()))
    pool.aloneState = { sinceMs: nowMs, level: aloneCapacity(rate, tokens, pool.load > highLoad), perSecond: rate, refilledAtMs: nowMs }
    return pool.aloneState
  }

  private poolOf (account: string): Pool {
    let pool = this.pools.get(account)
    if (!pool) {
      pool = {
        held: [],
        demand: new SlidingSum(quotaWindowMs, slotMs),
        granted: new SlidingSum(quotaWindowMs, slotMs),
        alone: new SlidingSum(quotaWindowMs, slotMs),
        untold: new SlidingSum(quotaWindowMs, slotMs),
        load: 0,
        aloneState: undefined,
        refusal: undefined
      }
      this.pools.set(account, pool)
    }
    return pool
  }
}

function rounded (rows: SpentRows): SpentRows {
  return rows.map(([ageMs, tokens]) => [Math.round(ageMs), Math.round(tokens)])
}

function aloneCapacity (perSecond: number, tokens: number, isHigh: boolean): number {
  return perSecond * aloneBurstMs / 1000 + tokens * (isHigh ? 1 : aloneRequests)
}
