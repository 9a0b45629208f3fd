/** Plans which models engines load and unload, from the running and waiting requests. */

/** Share of an engine's time spent on prefill for one model above which it gets another replica; more would stall streams too long. */
const targetPrefillUtilization = 0.4
/** Share of an engine's slots that running and waiting requests of one model occupy before the model gets another replica. */
const targetSlotUtilization = 0.6
/** Number of requests that each missing replica adds to the value of a shortage. */
const requestsPerReplica = 10
/** Time for which a model without requests still needs one replica. */
const idleRetentionMs = 6000
/** Weight of a waiting or running request of rank 0; it halves with each less urgent rank. */
const firstRankWeight = 4
/** Cost of unloading a model that has had no requests yet, since demand for it may start suddenly. */
const unusedModelCost = 0.3
/** Cost of unloading a surplus replica, divided by the number of surplus replicas: of a model with few, demand may need them again. */
const surplusReplicaCost = 0.1
/** Cost per running request of unloading a surplus replica: the request completes, but its cached prompt is lost. */
const runningCostShare = 0.05
/** Share of the waiting requests' value that is lost per second until the replica is ready. */
const delayCostShare = 0.2
/** Typical time until the running requests of an unloading replica have completed. */
const drainSeconds = 2.5
/** Value of the waiting requests from which a move may unload a replica that still has running requests. */
const minimumDrainValue = 8
/** Largest share of the engines that may be unavailable when a move of lower value starts. */
const lowValueMoveShare = 0.34
/** Largest share of the engines that may hold replicas of one model, so that capacity remains for others. */
const maximumEngineShare = 0.6
/** Cost per running request on the engine, which will share it with the new replica. */
const sharedEngineCost = 0.02
/** Cost per second and adapter of a load, during which the engine loads no other adapters. */
const adapterDelayCost = 0.5
/** Minimum ratio of a replica's value to the cost of what it displaces, so that two models do not keep displacing each other. */
const displacementRatio = 1.5
/** Minimum time that a replica stays loaded while its model has requests and no surplus replicas. */
const minimumResidenceMs = 2500

export interface Replica {
  model: string
  weightsMb: number
  isReady: boolean
  isUnloading: boolean
  running: number
  ageMs: number
}

export interface ReplicaEngine {
  id: string
  /** Number of loaded adapters. The engine loads no others while it loads or unloads a model. */
  adapters: number
  /** Whether the engine can accept a command now. */
  isAvailable: boolean
  weightsMb: number
  /** Memory used by the loaded adapters. */
  adaptersMb: number
  slots: number
  running: number
  replicas: Replica[]
  /** Duration of loading `model` on this engine, and whether the load counts against the weight store's rate limit. */
  loadCostOf (model: string): { loadMs: number, isFromStore: boolean }
}

export interface ReplicaDemand {
  model: string
  weightsMb: number
  running: number
  waiting: number
  /** Most urgent rank of the waiting requests or those that ran last; 0 is the most urgent. */
  rank: number
  /** Time since a request last ran or waited; `Infinity` if none did. */
  idleMs: number
  /** Expected prefill load of the model when a load that starts now has completed; 1 fully occupies one engine. */
  prefillUtilization: number
  /** Requests expected in progress then if none had to wait; 0 if not estimated. */
  expectedRunning?: number
  /** Requests that arrive while the model is loaded from the weight store, at its recent rate; 0 if not estimated. */
  arrivalsWhileLoading?: number
}

export interface ReplicaMove {
  engine: string
  unload: string[]
  load: string
  isFromStore: boolean
  reason: string
}

export interface ReplicaPlanningInput {
  engines: readonly ReplicaEngine[]
  demands: readonly ReplicaDemand[]
  /** Loads from the weight store that may start now. */
  availableStoreLoads: number
  /** Whether a surplus replica of a model with many of them is unloaded before one of a model with few. */
  prefersManySurplus?: boolean
}

/** Number of replicas that a model needs for its running and waiting requests. */
export function replicasNeeded ({ running, waiting, idleMs, prefillUtilization, expectedRunning = 0 }: ReplicaDemand, slots: number): number {
  if (running + waiting === 0) return idleMs < idleRetentionMs ? 1 : 0
  // In a burst most requests are refused, so those in progress and waiting are far fewer than those that could run.
  const occupied = Math.max(running + waiting, expectedRunning)
  // Waiting and running requests accumulate on overloaded replicas, so their number alone would overestimate the replicas needed.
  return Math.max(1, Math.ceil(prefillUtilization / targetPrefillUtilization), Math.ceil(occupied / (slots * targetSlotUtilization)))
}

interface Shortage {
  demand: ReplicaDemand
  replicas: number
  value: number
}

interface MoveOption {
  engine: ReplicaEngine
  unload: Replica[]
  isFromStore: boolean
  cost: number
}

/** Moves to start now, the most valuable first; at most one per engine. */
export function planReplicas ({ engines, demands, availableStoreLoads, prefersManySurplus = false }: ReplicaPlanningInput): ReplicaMove[] {
  const planner = new ReplicaPlanner(engines, demands, prefersManySurplus)
  const moves: ReplicaMove[] = []
  const usedEngineIds = new Set<string>()
  let remainingStoreLoads = availableStoreLoads
  for (const shortage of planner.shortages()) {
    const isUrgent = shortage.value >= minimumDrainValue
    const unavailable = engines.filter(engine => !engine.isAvailable || usedEngineIds.has(engine.id)).length
    if (!isUrgent && unavailable >= Math.max(1, engines.length * lowValueMoveShare)) continue
    const option = planner.bestOption(shortage, usedEngineIds, { mayLoadFromStore: remainingStoreLoads > 0, mayDrain: isUrgent })
    if (!option) continue
    usedEngineIds.add(option.engine.id)
    if (option.isFromStore) remainingStoreLoads--
    for (const replica of option.unload) planner.removeReplica(replica.model)
    moves.push({
      engine: option.engine.id,
      unload: option.unload.map(({ model }) => model),
      load: shortage.demand.model,
      isFromStore: option.isFromStore,
      reason: `${shortage.demand.running} running and ${shortage.demand.waiting} waiting on ${shortage.replicas} replicas`
    })
  }
  return moves
}

function rankWeight (rank: number): number {
  return firstRankWeight / 2 ** Math.min(rank, 5)
}

class ReplicaPlanner {
  private readonly demandByModel = new Map<string, ReplicaDemand>()
  private readonly replicaCounts = new Map<string, number>()
  private readonly slots: number

  constructor (private readonly engines: readonly ReplicaEngine[], demands: readonly ReplicaDemand[], private readonly prefersManySurplus: boolean) {
    for (const demand of demands) this.demandByModel.set(demand.model, demand)
    for (const { replicas } of engines) {
      for (const { model, isUnloading } of replicas) if (!isUnloading) this.replicaCounts.set(model, this.replicaCount(model) + 1)
    }
    this.slots = Math.max(1, ...engines.map(({ slots }) => slots))
  }

  shortages (): Shortage[] {
    const shortages: Shortage[] = []
    for (const demand of this.demandByModel.values()) {
      const replicas = this.replicaCount(demand.model)
      const needed = this.targetReplicas(demand)
      if (replicas >= needed || demand.running + demand.waiting === 0) continue
      const excess = replicas === 0 ? demand.waiting : (needed - replicas) * requestsPerReplica
      shortages.push({ demand, replicas, value: excess * rankWeight(demand.rank) })
    }
    return shortages.sort((left, right) => right.value - left.value)
  }

  bestOption (shortage: Shortage, usedEngines: ReadonlySet<string>, { mayLoadFromStore, mayDrain }: { mayLoadFromStore: boolean, mayDrain: boolean }): MoveOption | undefined {
    let best: MoveOption | undefined
    for (const engine of this.engines) {
      if (!engine.isAvailable || usedEngines.has(engine.id) || engine.replicas.some(({ model }) => model === shortage.demand.model)) continue
      const { loadMs, isFromStore } = engine.loadCostOf(shortage.demand.model)
      if (isFromStore && !mayLoadFromStore) continue
      const unload = this.replicasToUnload(engine, shortage)
      if (!unload || (!mayDrain && unload.some(({ running }) => running > 0))) continue
      const removalCost = unload.reduce((sum, replica) => sum + this.removalCost(replica), 0)
      if (removalCost > 0 && shortage.value < removalCost * displacementRatio) continue
      const delaySeconds = loadMs / 1000 + (unload.some(({ running }) => running > 0) ? drainSeconds : 0)
      const cost = removalCost + delaySeconds * shortage.value * delayCostShare + engine.running * sharedEngineCost +
        engine.adapters * loadMs / 1000 * adapterDelayCost
      if (!best || cost < best.cost) best = { engine, unload, isFromStore, cost }
    }
    return best
  }

  /** The cheapest replicas to unload so that the model fits, or `undefined` if it cannot fit. */
  private replicasToUnload (engine: ReplicaEngine, shortage: Shortage): Replica[] | undefined {
    let freeMb = engine.weightsMb - engine.adaptersMb - engine.replicas.reduce((sum, replica) => sum + replica.weightsMb, 0)
    const unload: Replica[] = []
    const removable = engine.replicas
      .filter(replica => replica.isReady && !replica.isUnloading && replica.model !== shortage.demand.model)
      .sort((left, right) => this.removalCost(left) - this.removalCost(right) || left.running - right.running)
    for (const replica of removable) {
      if (freeMb >= shortage.demand.weightsMb) break
      unload.push(replica)
      freeMb += replica.weightsMb
    }
    return freeMb >= shortage.demand.weightsMb ? unload : undefined
  }

  /** Cost to the callers of the replica's model if the replica is unloaded; `Infinity` if it must stay. */
  private removalCost (replica: Replica): number {
    const demand = this.demandByModel.get(replica.model)
    const inProgress = replica.running * runningCostShare
    if (!demand) return inProgress
    const weight = rankWeight(demand.rank)
    const needed = this.targetReplicas(demand)
    const replicas = this.replicaCount(replica.model)
    const surplus = replicas - Math.max(1, needed)
    if (surplus > 0) return inProgress + (this.prefersManySurplus ? surplusReplicaCost / surplus : 0)
    // A model of which one request comes each second has often none in progress. Without its only replica, all are lost until it is back.
    const lost = weight * (demand.arrivalsWhileLoading ?? 0) / replicas
    if (demand.running + demand.waiting === 0) return lost + (demand.idleMs === Infinity ? unusedModelCost : weight / (1 + demand.idleMs / idleRetentionMs) ** 2 / 2)
    if (replica.ageMs < minimumResidenceMs) return Infinity
    // The share of its requests that the remaining replicas cannot serve.
    return inProgress + lost + weight * (demand.running + demand.waiting + 1) / replicas
  }

  private targetReplicas (demand: ReplicaDemand): number {
    return Math.min(replicasNeeded(demand, this.slots), Math.ceil(this.engines.length * maximumEngineShare))
  }

  removeReplica (model: string): void {
    this.replicaCounts.set(model, this.replicaCount(model) - 1)
  }

  private replicaCount (model: string): number {
    return this.replicaCounts.get(model) ?? 0
  }
}
