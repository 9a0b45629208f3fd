/** The queue of one node: ranks by value with a kept minimum, customers by start-time fair queueing, then by deadline. */

import type { Clock } from '../base/clock.js'
import { ranks } from '../config/fleetConfig.js'
import type { FleetConfig, Rank } from '../config/fleetConfig.js'

export interface QueueItem {
  requestId: string
  rank: Rank
  customer: string
  customerWeight: number
  /** Name of the model without version, or of the adapter. */
  model: string
  deadlineMs: number
  enqueuedAtMs: number
  costTokens: number
  /** Time until which the rank's target for the first token can be attained; absent if only the deadline counts. */
  targetAtMs?: number
  /** Set by `RequestQueue.next`: the item is served as part of its rank's kept minimum and has the engine priority of it. */
  keptMinimum?: boolean
  /** Set by `RequestQueue.next`: the target has passed, so that the item is routed as the least urgent rank. */
  late?: boolean
}

/** Credit of a rank is kept for this many requests at most, so that a rank cannot save up a burst that displaces others. */
const maxCredit = 20
/**
 * Part of all dispatches that may go to kept minimums ahead of more valuable ranks. Without it, the minimum of a rank
 * that floods the fleet would displace the urgent rank: 10% of twenty times its demand is twice its demand.
 */
const keptDispatchShare = 0.25
const maxKeptBudget = 5
/** After this many rejected items of one model in one call of `next`, the model counts as blocked. */
const rejectionsUntilBlocked = 2
/** How often items that can no longer attain their target are sorted out. */
const lateCheckPeriodMs = 20

interface CustomerQueue<Item> {
  name: string
  weight: number
  /** Start tag of the item that is served next. */
  startTag: number
  /** By model, each ordered by deadline. */
  byModel: Map<string, Item[]>
  count: number
}

interface RankQueue<Item> {
  customers: Map<string, CustomerQueue<Item>>
  /** Finish tags of customers that have nothing waiting. */
  finishTags: Map<string, number>
  /** Number of items by model. */
  models: Map<string, number>
  virtualTime: number
  size: number
  credit: number
}

/** Inserts by deadline; most arrivals belong at the end. */
function insertByDeadline<Item extends QueueItem> (items: Item[], item: Item): void {
  let index = items.length
  while (index > 0 && items[index - 1]!.deadlineMs > item.deadlineMs) index--
  items.splice(index, 0, item)
}

/** Waiting requests of one node. */
export class RequestQueue<Item extends QueueItem> {
  private readonly config: () => FleetConfig
  private readonly clock: Clock
  private readonly rankQueues = new Map<Rank, RankQueue<Item>>()
  /** Items past `targetAtMs`, which are served after all others: they cannot attain, and would make the next ones late. */
  private readonly lateQueues = new Map<Rank, RankQueue<Item>>()
  private readonly lateIds = new Set<string>()
  private nextLateCheckMs = 0
  private keptBudget = maxKeptBudget
  private readonly byId = new Map<string, Item>()
  private readonly modelCounts = new Map<string, Map<Rank, number>>()

  constructor ({ clock, config }: { clock: Clock, config: () => FleetConfig }) {
    this.clock = clock
    this.config = config
    for (const queues of [this.rankQueues, this.lateQueues]) {
      for (const rank of ranks) queues.set(rank, { customers: new Map(), finishTags: new Map(), models: new Map(), virtualTime: 0, size: 0, credit: 0 })
    }
  }

  /**
   * Counts a request towards the demand of its rank, whether or not it is admitted afterwards. `Admission.decide` calls
   * it, since the kept minimum is a share of the demand and not of what was admitted.
   */
  noteDemand (rank: Rank): void {
    const queue = this.rankQueues.get(rank)!
    queue.credit = Math.min(maxCredit, queue.credit + this.config().ranks[rank].minimumShare)
  }

  /** Requests of the rank that may be served ahead of more valuable ranks. */
  credit (rank: Rank): number {
    return this.rankQueues.get(rank)!.credit
  }

  add (item: Item): void {
    this.insert(this.rankQueues.get(item.rank)!, item)
    this.byId.set(item.requestId, item)
    this.countModel(item, 1)
  }

  private insert (rankQueue: RankQueue<Item>, item: Item): void {
    let customer = rankQueue.customers.get(item.customer)
    if (!customer) {
      const startTag = Math.max(rankQueue.virtualTime, rankQueue.finishTags.get(item.customer) ?? 0)
      customer = { name: item.customer, weight: item.customerWeight, startTag, byModel: new Map(), count: 0 }
      rankQueue.customers.set(item.customer, customer)
      rankQueue.finishTags.delete(item.customer)
    }
    customer.weight = item.customerWeight
    let items = customer.byModel.get(item.model)
    if (!items) customer.byModel.set(item.model, items = [])
    insertByDeadline(items, item)
    customer.count++
    rankQueue.models.set(item.model, (rankQueue.models.get(item.model) ?? 0) + 1)
    rankQueue.size++
  }

  /** Removes a request whose caller went away or that was dispatched; `undefined` if it does not wait. */
  remove (requestId: string): Item | undefined {
    const item = this.byId.get(requestId)
    if (item) this.detach(item)
    return item
  }

  /**
   * Removes and returns the item that is served next among those that `canDispatch` accepts. `models` limits the search
   * to the models for which something has changed, since most calls follow the end of one request on one engine.
   */
  next (canDispatch: (item: Item) => boolean, models?: ReadonlySet<string>): Item | undefined {
    if (this.byId.size === 0) return undefined
    this.sortOutLate()
    const order = this.rankOrder()
    for (const queues of [this.rankQueues, this.lateQueues]) {
      for (const rank of order) {
        const item = this.nextOfRank(queues.get(rank)!, canDispatch, models)
        if (item) return item
      }
    }
    return undefined
  }

  /** Removes and returns the items whose deadline has passed. */
  takeExpired (nowMs: number): Item[] {
    const expired = [...this.rankQueues.values(), ...this.lateQueues.values()]
      .flatMap(rankQueue => overdue(rankQueue, nowMs, item => item.deadlineMs))
    for (const item of expired) this.detach(item)
    return expired
  }

  size (rank?: Rank): number {
    return rank === undefined ? this.byId.size : this.rankQueues.get(rank)!.size + this.lateQueues.get(rank)!.size
  }

  /** Waiting items of the customer in the rank, and the number of customers that wait in it. */
  customerShare (rank: Rank, customer: string): { waiting: number, customers: number } {
    const rankQueue = this.rankQueues.get(rank)!
    return { waiting: rankQueue.customers.get(customer)?.count ?? 0, customers: rankQueue.customers.size }
  }

  /** Number of items that wait for the model in one rank, without those past their target, which delay no others. */
  sizeOfModel (model: string, rank: Rank): number {
    return this.modelCounts.get(model)?.get(rank) ?? 0
  }

  waitingByModel (): Map<string, { count: number, earliestDeadlineMs: number }> {
    const result = new Map<string, { count: number, earliestDeadlineMs: number }>()
    for (const rankQueue of [...this.rankQueues.values(), ...this.lateQueues.values()]) {
      for (const customer of rankQueue.customers.values()) {
        for (const [model, items] of customer.byModel) {
          if (items.length === 0) continue
          const known = result.get(model)
          const earliestDeadlineMs = Math.min(known?.earliestDeadlineMs ?? Infinity, items[0]!.deadlineMs)
          result.set(model, { count: (known?.count ?? 0) + items.length, earliestDeadlineMs })
        }
      }
    }
    return result
  }

  /** Ranks below their kept minimum first, then by value. */
  private rankOrder (): Rank[] {
    const { ranks: rankConfigs } = this.config()
    return ranks.filter(rank => this.size(rank) > 0).sort((left, right) => {
      const leftKept = this.servesMinimum(left) ? 1 : 0
      const rightKept = this.servesMinimum(right) ? 1 : 0
      return rightKept - leftKept || rankConfigs[right].requestValue - rankConfigs[left].requestValue
    })
  }

  private servesMinimum (rank: Rank): boolean {
    return this.credit(rank) >= 1 && this.keptBudget >= 1
  }

  private nextOfRank (
    rankQueue: RankQueue<Item>, canDispatch: (item: Item) => boolean, models: ReadonlySet<string> | undefined
  ): Item | undefined {
    if (rankQueue.size === 0) return undefined
    const open = new Set([...rankQueue.models.keys()].filter(model => models?.has(model) ?? true))
    if (open.size === 0) return undefined
    const rejections = new Map<string, number>()
    const customers = [...rankQueue.customers.values()].sort((left, right) => left.startTag - right.startTag)
    for (const customer of customers) {
      if (open.size === 0) return undefined
      const heads: Item[] = []
      for (const model of open) {
        const head = customer.byModel.get(model)?.[0]
        if (head) heads.push(head)
      }
      heads.sort((left, right) => left.deadlineMs - right.deadlineMs)
      for (const item of heads) {
        item.late = this.lateIds.has(item.requestId)
        item.keptMinimum = !item.late && this.servesMinimum(item.rank)
        if (!canDispatch(item)) {
          const count = (rejections.get(item.model) ?? 0) + 1
          rejections.set(item.model, count)
          if (count >= rejectionsUntilBlocked) open.delete(item.model)
          continue
        }
        rankQueue.virtualTime = Math.max(rankQueue.virtualTime, customer.startTag)
        customer.startTag += item.costTokens / customer.weight
        const onTime = this.rankQueues.get(item.rank)!
        this.keptBudget = Math.min(maxKeptBudget, this.keptBudget + keptDispatchShare - (item.keptMinimum && item.rank !== ranks[0] ? 1 : 0))
        onTime.credit = Math.max(0, onTime.credit - 1)
        this.detach(item)
        return item
      }
    }
    return undefined
  }

  private sortOutLate (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs < this.nextLateCheckMs) return
    this.nextLateCheckMs = nowMs + lateCheckPeriodMs
    for (const [rank, rankQueue] of this.rankQueues) {
      for (const item of overdue(rankQueue, nowMs, waiting => waiting.targetAtMs ?? Infinity)) {
        this.take(rankQueue, item)
        this.insert(this.lateQueues.get(rank)!, item)
        this.lateIds.add(item.requestId)
        this.countModel(item, -1)
      }
    }
  }

  private detach (item: Item): void {
    const late = this.lateIds.delete(item.requestId)
    this.take((late ? this.lateQueues : this.rankQueues).get(item.rank)!, item)
    this.byId.delete(item.requestId)
    if (!late) this.countModel(item, -1)
  }

  private take (rankQueue: RankQueue<Item>, item: Item): void {
    const customer = rankQueue.customers.get(item.customer)!
    const items = customer.byModel.get(item.model)!
    items.splice(items.indexOf(item), 1)
    if (items.length === 0) customer.byModel.delete(item.model)
    customer.count--
    const ofModel = rankQueue.models.get(item.model)! - 1
    if (ofModel > 0) rankQueue.models.set(item.model, ofModel)
    else rankQueue.models.delete(item.model)
    rankQueue.size--
    if (customer.count > 0) return
    rankQueue.customers.delete(customer.name)
    if (customer.startTag > rankQueue.virtualTime) rankQueue.finishTags.set(customer.name, customer.startTag)
    this.forgetOldTags(rankQueue)
  }

  /** Drops tags that no longer matter, so that customers seen once do not fill the memory. */
  private forgetOldTags (rankQueue: RankQueue<Item>): void {
    if (rankQueue.finishTags.size < 256) return
    for (const [customer, tag] of rankQueue.finishTags) {
      if (tag <= rankQueue.virtualTime) rankQueue.finishTags.delete(customer)
    }
  }

  private countModel (item: Item, change: number): void {
    let counts = this.modelCounts.get(item.model)
    if (!counts) this.modelCounts.set(item.model, counts = new Map())
    counts.set(item.rank, (counts.get(item.rank) ?? 0) + change)
  }
}

/** Waiting items whose time is past. Items of a customer and model are ordered, so that only the first ones can be. */
function overdue<Item> (rankQueue: RankQueue<Item>, nowMs: number, timeOf: (item: Item) => number): Item[] {
  const result: Item[] = []
  for (const customer of rankQueue.customers.values()) {
    for (const items of customer.byModel.values()) {
      for (const item of items) {
        if (timeOf(item) > nowMs) break
        result.push(item)
      }
    }
  }
  return result
}
