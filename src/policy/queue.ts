/** Queue of waiting requests: ranks by value with a guaranteed share, customers by start-time fair queueing, then by deadline. */

import type { Clock } from '../base/clock.js'

/** How a rank competes with the others. */
export interface RankShare {
  /** Ranks with a larger value are served first. */
  requestValue: number
  /** Share of the rank's demand that is served whatever the other ranks ask for, 0 to 1. */
  minimumShare: number
}

export interface QueueItem<Rank = unknown> {
  requestId: string
  rank: Rank
  customer: string
  customerWeight: number
  /** Name of the model, without version, or of the adapter. */
  model: string
  deadlineMs: number
  enqueuedAtMs: number
  costTokens: number
  /** Latest dispatch time at which the rank's first-token target can be met; absent if only the deadline counts. */
  targetAtMs?: number
  /** Set by `RequestQueue.next`: the item is served from the guaranteed share of its rank, with that engine priority. */
  usesGuaranteedShare?: boolean
  /** Set by `RequestQueue.next`: the target has passed, so the item is routed as the least urgent rank. */
  late?: boolean
}

/** Largest credit of a rank, in requests, so that a rank cannot accumulate a burst that displaces others. */
const maxCredit = 20
/**
 * Share of all dispatches that guaranteed shares may take ahead of more valuable ranks. Without it, the guaranteed share of an
 * overloading rank would displace the urgent rank: 10% of a demand of twenty times the urgent one is twice the urgent demand.
 */
const guaranteedDispatchShare = 0.25
const maxGuaranteedBudget = 5
/** Time constant of the demand by rank, which limits the guaranteed shares. */
const demandTimeConstantMs = 10_000
/** Number of customers whose item of a model is rejected in one call of `next` after which the model counts as blocked. */
const rejectionsUntilBlocked = 2
/** Period of moving items that can no longer meet their target to the late queues. */
const lateCheckPeriodMs = 20

/** Whether an item can be dispatched. `'model-blocked'`: no item of the same rank and model can, so the search skips them. */
export type DispatchCheck = boolean | 'model-blocked'

interface CustomerQueue<Item> {
  name: string
  weight: number
  /** Start tag (virtual time) of the item that is served next. */
  startTag: number
  /** Order among customers with the same start tag. */
  sequence: number
  /** Items by model, each list ordered by deadline. */
  byModel: Map<string, Item[]>
  count: number
}

interface RankQueue<Item> {
  customers: Map<string, CustomerQueue<Item>>
  /** Finish tags of customers without waiting items. */
  finishTags: Map<string, number>
  /** Customers with items of each model. */
  models: Map<string, Set<CustomerQueue<Item>>>
  virtualTime: number
  size: number
  credit: number
  /** Lower bounds of the items' times, which avoid most searches for overdue items. */
  earliestTargetMs: number
  earliestDeadlineMs: number
}

/** Inserts by deadline, searching from the end, where most arrivals belong. */
function insertByDeadline<Item extends QueueItem> (items: Item[], item: Item): void {
  let index = items.length
  while (index > 0 && items[index - 1]!.deadlineMs > item.deadlineMs) index--
  items.splice(index, 0, item)
}

/** The next item of a model. */
interface Head<Item> {
  customer: CustomerQueue<Item>
  item: Item
  rejections: number
}

function isServedBefore (left: CustomerQueue<unknown>, right: CustomerQueue<unknown>): boolean {
  return left.startTag < right.startTag || (left.startTag === right.startTag && left.sequence < right.sequence)
}

/** The first customer in service order, or the first one behind `after`. */
function firstCustomer<Item> (customers: Iterable<CustomerQueue<Item>>, after?: CustomerQueue<Item>): CustomerQueue<Item> | undefined {
  let first: CustomerQueue<Item> | undefined
  for (const customer of customers) {
    if (after && !isServedBefore(after, customer)) continue
    if (!first || isServedBefore(customer, first)) first = customer
  }
  return first
}

/** Index of the first head in service order: by customer, then by deadline. */
function firstServed<Item extends QueueItem> (heads: readonly Head<Item>[]): number {
  let first = 0
  for (let index = 1; index < heads.length; index++) {
    const { customer, item } = heads[index]!
    const best = heads[first]!
    if (customer === best.customer ? item.deadlineMs < best.item.deadlineMs : isServedBefore(customer, best.customer)) first = index
  }
  return first
}

export interface RequestQueueOptions<Rank> {
  clock: Clock
  /** All ranks, the most urgent first. */
  ranks: readonly Rank[]
  shareOf: (rank: Rank) => RankShare
  /** Rank whose items on time yield to the late items of all ranks, except for its guaranteed share. */
  yieldingRank?: Rank
}

/** Waiting requests. */
export class RequestQueue<Item extends QueueItem> {
  private readonly clock: Clock
  private readonly ranks: readonly Item['rank'][]
  private readonly shareOf: (rank: Item['rank']) => RankShare
  private readonly yieldingRank: Item['rank'] | undefined
  private readonly rankQueues = new Map<Item['rank'], RankQueue<Item>>()
  /**
   * Items past `targetAtMs`, served after on-time items except those of the least urgent rank: they miss their target anyway, and
   * would make on-time items late too.
   */
  private readonly lateQueues = new Map<Item['rank'], RankQueue<Item>>()
  private readonly lateIds = new Set<string>()
  private nextLateCheckMs = 0
  private customerSequence = 0
  private guaranteedBudget = maxGuaranteedBudget
  /** Recent requests by rank, decayed to `demandAtMs`. */
  private readonly demand = new Map<Item['rank'], number>()
  private demandAtMs = 0
  private readonly byId = new Map<string, Item>()
  private readonly modelCounts = new Map<string, Map<Item['rank'], number>>()

  constructor ({ clock, ranks, shareOf, yieldingRank }: RequestQueueOptions<Item['rank']>) {
    this.clock = clock
    this.ranks = ranks
    this.shareOf = shareOf
    this.yieldingRank = yieldingRank
    for (const queues of [this.rankQueues, this.lateQueues]) {
      for (const rank of this.ranks) queues.set(rank, { customers: new Map(), finishTags: new Map(), models: new Map(), virtualTime: 0, size: 0, credit: 0, earliestTargetMs: Infinity, earliestDeadlineMs: Infinity })
    }
  }

  /**
   * Counts a request towards the demand of its rank, whether or not it is admitted afterwards. Called by `Admission.decide`, since
   * the guaranteed share refers to demand, not to admitted requests.
   */
  recordDemand (rank: Item['rank']): void {
    const share = this.shareOf(rank)
    this.decayDemand()
    const own = this.demandOf(rank) + 1
    this.demand.set(rank, own)
    const moreValuable = this.ranks.filter(other => this.shareOf(other).requestValue > share.requestValue)
      .reduce((sum, other) => sum + this.demandOf(other), 0)
    // Only more valuable ranks can displace a rank. Credit for an overload that the rank causes itself would take batch slots from the
    // others: at 20 times the demand, a sixth of the browsing requests went to full engines ahead of urgent ones.
    const counted = moreValuable > 0 ? Math.min(1, moreValuable / own) : rank === this.ranks[0] ? 1 : 0
    const queue = this.rankQueues.get(rank)!
    queue.credit = Math.min(maxCredit, queue.credit + share.minimumShare * counted)
  }

  private decayDemand (): void {
    const nowMs = this.clock.nowMs()
    const factor = Math.exp((this.demandAtMs - nowMs) / demandTimeConstantMs)
    this.demandAtMs = nowMs
    for (const [rank, count] of this.demand) this.demand.set(rank, count * factor)
  }

  private demandOf (rank: Item['rank']): number {
    return this.demand.get(rank) ?? 0
  }

  /** Number of requests of the rank that may be served ahead of more valuable ranks. */
  credit (rank: Item['rank']): number {
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
      customer = { name: item.customer, weight: item.customerWeight, startTag, sequence: this.customerSequence++, byModel: new Map(), count: 0 }
      rankQueue.customers.set(item.customer, customer)
      rankQueue.finishTags.delete(item.customer)
    }
    customer.weight = item.customerWeight
    let items = customer.byModel.get(item.model)
    if (!items) customer.byModel.set(item.model, items = [])
    insertByDeadline(items, item)
    rankQueue.earliestTargetMs = Math.min(rankQueue.earliestTargetMs, item.targetAtMs ?? Infinity)
    rankQueue.earliestDeadlineMs = Math.min(rankQueue.earliestDeadlineMs, item.deadlineMs)
    customer.count++
    const customersOfModel = rankQueue.models.get(item.model)
    if (customersOfModel) customersOfModel.add(customer)
    else rankQueue.models.set(item.model, new Set([customer]))
    rankQueue.size++
  }

  /** Removes and returns a waiting request, for example when its caller disconnects; `undefined` if it is not in the queue. */
  remove (requestId: string): Item | undefined {
    const item = this.byId.get(requestId)
    if (item) this.detach(item)
    return item
  }

  /** Removes a waiting item that is served out of order. It costs its customer and its rank as much as in order. */
  serveOutOfOrder (item: Item): void {
    const rankQueue = (this.lateIds.has(item.requestId) ? this.lateQueues : this.rankQueues).get(item.rank)!
    item.usesGuaranteedShare = false
    this.charge(item, rankQueue.customers.get(item.customer)!)
  }

  /**
   * Removes and returns the first item in service order that `canDispatch` accepts. `models` limits the search to the models whose
   * engines have changed, since most calls follow the completion of one request on one engine.
   */
  next (canDispatch: (item: Item) => DispatchCheck, models?: ReadonlySet<string>): Item | undefined {
    if (this.byId.size === 0) return undefined
    this.moveLateItems()
    const order = this.rankOrder()
    const search = (queues: Map<Item['rank'], RankQueue<Item>>, rank: Item['rank']) => this.nextOfRank(rank, queues.get(rank)!, canDispatch, models)
    for (const rank of order) {
      if (rank === this.yieldingRank && !this.servesGuaranteedShare(rank)) continue
      const item = search(this.rankQueues, rank)
      if (item) return item
    }
    for (const rank of order) {
      const item = search(this.lateQueues, rank)
      if (item) return item
    }
    const { yieldingRank } = this
    return yieldingRank !== undefined && order.includes(yieldingRank) ? search(this.rankQueues, yieldingRank) : undefined
  }

  /** Removes and returns the items whose deadline has passed. */
  removeExpired (nowMs: number): Item[] {
    const expired = [...this.rankQueues.values(), ...this.lateQueues.values()]
      .filter(rankQueue => rankQueue.earliestDeadlineMs <= nowMs)
      .flatMap(rankQueue => {
        const { items, earliestMs } = overdueItems(rankQueue, nowMs, item => item.deadlineMs)
        rankQueue.earliestDeadlineMs = earliestMs
        return items
      })
    for (const item of expired) this.detach(item)
    return expired
  }

  size (rank?: Item['rank']): number {
    return rank === undefined ? this.byId.size : this.rankQueues.get(rank)!.size + this.lateQueues.get(rank)!.size
  }

  /** Number of the customer's on-time items in the rank, and of customers with on-time items in it. */
  customerShare (rank: Item['rank'], customer: string): { waiting: number, customers: number } {
    const rankQueue = this.rankQueues.get(rank)!
    return { waiting: rankQueue.customers.get(customer)?.count ?? 0, customers: rankQueue.customers.size }
  }

  /** Number of waiting items of a model and rank, without late ones, which do not delay others. */
  sizeOfModel (model: string, rank: Item['rank']): number {
    return this.modelCounts.get(model)?.get(rank) ?? 0
  }

  /**
   * Items of `models` in the rank that are expected to be served before the item: the earlier ones of its customer, and about as many of
   * each other customer. Late items do not delay those on time. Later items never count, although some may be served before a late one.
   */
  itemsAhead (item: Item, models: readonly string[]): { own: number, others: number } {
    const queues = [this.rankQueues.get(item.rank)!, ...(this.lateIds.has(item.requestId) ? [this.lateQueues.get(item.rank)!] : [])]
    let own = 0
    let others = 0
    const otherCustomers = new Set<string>()
    for (const rankQueue of queues) {
      for (const model of models) {
        for (const customer of rankQueue.models.get(model) ?? []) {
          const items = customer.byModel.get(model)!
          if (customer.name === item.customer) own += items.filter(({ deadlineMs }) => deadlineMs < item.deadlineMs).length
          else others += items.length
        }
      }
      for (const name of rankQueue.customers.keys()) if (name !== item.customer) otherCustomers.add(name)
    }
    return { own, others: Math.min(others, (own + 1) * otherCustomers.size) }
  }

  waitingByModel (): Map<string, { count: number, earliestDeadlineMs: number }> {
    const result = new Map<string, { count: number, earliestDeadlineMs: number }>()
    for (const rankQueue of [...this.rankQueues.values(), ...this.lateQueues.values()]) {
      for (const customer of rankQueue.customers.values()) {
        for (const [model, items] of customer.byModel) {
          if (items.length === 0) continue
          const known = result.get(model)
          if (known) {
            known.count += items.length
            known.earliestDeadlineMs = Math.min(known.earliestDeadlineMs, items[0]!.deadlineMs)
          } else {
            result.set(model, { count: items.length, earliestDeadlineMs: items[0]!.deadlineMs })
          }
        }
      }
    }
    return result
  }

  /** Ranks with waiting items: those below their guaranteed share first, then by value. */
  private rankOrder (): Item['rank'][] {
    return this.ranks.filter(rank => this.size(rank) > 0).sort((left, right) => {
      const leftGuaranteed = this.servesGuaranteedShare(left) ? 1 : 0
      const rightGuaranteed = this.servesGuaranteedShare(right) ? 1 : 0
      return rightGuaranteed - leftGuaranteed || this.shareOf(right).requestValue - this.shareOf(left).requestValue
    })
  }

  private servesGuaranteedShare (rank: Item['rank']): boolean {
    return this.credit(rank) >= 1 && this.guaranteedBudget >= 1
  }

  private nextOfRank (
    rank: Item['rank'], rankQueue: RankQueue<Item>, canDispatch: (item: Item) => DispatchCheck, models: ReadonlySet<string> | undefined
  ): Item | undefined {
    if (rankQueue.size === 0) return undefined
    const heads = this.headsOf(rankQueue, models)
    if (heads.length === 0) return undefined
    const servesGuaranteedShare = this.servesGuaranteedShare(rank)
    const isLate = rankQueue !== this.rankQueues.get(rank)
    while (heads.length > 0) {
      const index = firstServed(heads)
      const head = heads[index]!
      const { customer, item } = head
      item.late = isLate
      item.usesGuaranteedShare = !isLate && servesGuaranteedShare
      const check = canDispatch(item)
      if (check === true) {
        rankQueue.virtualTime = Math.max(rankQueue.virtualTime, customer.startTag)
        this.charge(item, customer)
        return item
      }
      head.rejections++
      const next = check === false && head.rejections < rejectionsUntilBlocked
        ? firstCustomer(rankQueue.models.get(item.model)!, customer)
        : undefined
      if (next) {
        head.customer = next
        head.item = next.byModel.get(item.model)![0]!
      } else {
        heads[index] = heads[heads.length - 1]!
        heads.pop()
      }
    }
    return undefined
  }

  /** Removes an item that is served, at the expense of its customer and its rank. */
  private charge (item: Item, customer: CustomerQueue<Item>): void {
    customer.startTag += item.costTokens / customer.weight
    const onTimeQueue = this.rankQueues.get(item.rank)!
    this.guaranteedBudget = Math.min(maxGuaranteedBudget, this.guaranteedBudget + guaranteedDispatchShare - (item.usesGuaranteedShare && item.rank !== this.ranks[0] ? 1 : 0))
    onTimeQueue.credit = Math.max(0, onTimeQueue.credit - 1)
    this.detach(item)
  }

  /** The next item of each model. */
  private headsOf (rankQueue: RankQueue<Item>, models: ReadonlySet<string> | undefined): Head<Item>[] {
    const heads: Head<Item>[] = []
    const addHead = (model: string, customers: Set<CustomerQueue<Item>>) => {
      const customer = firstCustomer(customers)!
      heads.push({ customer, item: customer.byModel.get(model)![0]!, rejections: 0 })
    }
    if (models === undefined || models.size > rankQueue.models.size) {
      for (const [model, customers] of rankQueue.models) {
        if (models?.has(model) ?? true) addHead(model, customers)
      }
    } else {
      for (const model of models) {
        const customers = rankQueue.models.get(model)
        if (customers) addHead(model, customers)
      }
    }
    return heads
  }

  private moveLateItems (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs < this.nextLateCheckMs) return
    this.nextLateCheckMs = nowMs + lateCheckPeriodMs
    for (const [rank, rankQueue] of this.rankQueues) {
      if (rankQueue.earliestTargetMs > nowMs) continue
      const { items, earliestMs } = overdueItems(rankQueue, nowMs, waiting => waiting.targetAtMs ?? Infinity)
      rankQueue.earliestTargetMs = earliestMs
      for (const item of items) {
        this.removeFrom(rankQueue, item)
        this.insert(this.lateQueues.get(rank)!, item)
        this.lateIds.add(item.requestId)
        this.countModel(item, -1)
      }
    }
  }

  private detach (item: Item): void {
    const late = this.lateIds.delete(item.requestId)
    this.removeFrom((late ? this.lateQueues : this.rankQueues).get(item.rank)!, item)
    this.byId.delete(item.requestId)
    if (!late) this.countModel(item, -1)
  }

  private removeFrom (rankQueue: RankQueue<Item>, item: Item): void {
    const customer = rankQueue.customers.get(item.customer)!
    const items = customer.byModel.get(item.model)!
    items.splice(items.indexOf(item), 1)
    if (items.length === 0) {
      customer.byModel.delete(item.model)
      const customersOfModel = rankQueue.models.get(item.model)!
      customersOfModel.delete(customer)
      if (customersOfModel.size === 0) rankQueue.models.delete(item.model)
    }
    customer.count--
    rankQueue.size--
    if (customer.count > 0) return
    rankQueue.customers.delete(customer.name)
    if (customer.startTag > rankQueue.virtualTime) rankQueue.finishTags.set(customer.name, customer.startTag)
    this.dropOldTags(rankQueue)
  }

  /** Drops finish tags that no longer have an effect, so that memory does not grow with the number of customers. */
  private dropOldTags (rankQueue: RankQueue<Item>): void {
    if (rankQueue.finishTags.size < 256) return
    for (const [customer, tag] of rankQueue.finishTags) {
      if (tag <= rankQueue.virtualTime) rankQueue.finishTags.delete(customer)
    }
  }

  private countModel (item: Item, change: number): void {
    let counts = this.modelCounts.get(item.model)
    if (!counts) this.modelCounts.set(item.model, counts = new Map())
    const count = (counts.get(item.rank) ?? 0) + change
    if (count !== 0) counts.set(item.rank, count)
    else if (counts.delete(item.rank) && counts.size === 0) this.modelCounts.delete(item.model)
  }
}

/**
 * Waiting items whose time has passed, and the earliest time of the others. Each list is ordered, so the search in it stops at the
 * first item that is not overdue.
 */
function overdueItems<Item> (rankQueue: RankQueue<Item>, nowMs: number, timeOf: (item: Item) => number): { items: Item[], earliestMs: number } {
  const result: Item[] = []
  let earliestMs = Infinity
  for (const customer of rankQueue.customers.values()) {
    for (const items of customer.byModel.values()) {
      for (const item of items) {
        const timeMs = timeOf(item)
        if (timeMs > nowMs) {
          earliestMs = Math.min(earliestMs, timeMs)
          break
        }
        result.push(item)
      }
    }
  }
  return { items: result, earliestMs }
}
