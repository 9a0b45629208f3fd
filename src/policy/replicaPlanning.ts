/** Decides which models are loaded and unloaded on which engines, from what runs and waits now. */

/** Part of its time that an engine reads prompts for one model before the model gets a further copy: beyond it, streams pause too long. */
const targetPrefillUtilization = 0.4
/** Part of an engine's slots that the requests of one model use, or wait for, before it gets a further copy. */
const targetSlotUtilization = 0.6
/** Requests of an engine that the value of a further copy counts for. */
const requestsPerReplica = 10
/** A model without requests keeps its claim on one copy for this time. */
const idleRetentionMs = 6000
/** Weight of a waiting or running request of rank 0; each further rank halves it. */
const firstRankWeight = 4
/** Cost of removing a model that nobody has asked for yet: the demand for it may begin suddenly. */
const unusedModelCost = 0.3
/** Part of a running request that the removal of a copy beyond need costs: it finishes, but its cached prompt is lost. */
const runningCostShare = 0.05
/** Part of the waiting requests' value that is lost in each second before the copy is ready. */
const delayCostShare = 0.2
/** Usual time until the requests of a copy that is to be unloaded have ended. */
const drainSeconds = 2.5
/** Value of waiting requests from which a move may wait for the running requests of other models. */
const minimumDrainValue = 8
/** Part of the engines that moves of less value may keep from other moves. */
const lowValueMoveShare = 0.34
/** Part of the engines that one model may take, so that others keep engines of their own. */
const maximumEngineShare = 0.6
/** Cost of one request that runs on the engine and shares it with the new copy. */
const sharedEngineCost = 0.02
/** Cost of one second in which an engine with one adapter loads no others. */
const adapterDelayCost = 0.5
/** Value that a copy must bring beyond what it displaces, so that two models do not displace each other in turn. */
const displacementRatio = 1.5
/** A copy stays at least this long after its load, unless nobody claims it. */
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
  /** Adapters that it holds; while it carries out an order on a model, it loads no others. */
  adapters: number
  /** Whether an order may be given now. */
  isAvailable: boolean
  weightsMb: number
  /** Weights of its adapters. */
  adaptersMb: number
  slots: number
  running: number
  replicas: Replica[]
  /** Time that a load of `model` takes here, and whether it counts against the weight store's rate. */
  loadCostOf (model: string): { loadMs: number, isFromStore: boolean }
}

export interface ReplicaDemand {
  model: string
  weightsMb: number
  running: number
  waiting: number
  /** Most urgent rank that waits or ran last; 0 is the most urgent. */
  rank: number
  /** Time since a request last ran or waited; `Infinity` if none did. */
  idleMs: number
  /** Engines that would do nothing but read the model's prompts, when a load that starts now has ended. */
  prefillUtilization: number
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
}

/** Copies that a model needs for what runs and waits. */
export function replicasNeeded ({ running, waiting, idleMs, prefillUtilization: readingEngines }: ReplicaDemand, slots: number): number {
  if (running + waiting === 0) return idleMs < idleRetentionMs ? 1 : 0
  // Requests pile up on crowded copies, so their number alone would claim more copies than the demand needs.
  return Math.max(1, Math.ceil(readingEngines / targetPrefillUtilization), Math.ceil((running + waiting) / (slots * targetSlotUtilization)))
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

/** Moves to start now, the most valuable first; at most one for each engine. */
export function planReplicas ({ engines, demands: needs, availableStoreLoads: storeLoads }: ReplicaPlanningInput): ReplicaMove[] {
  const planning = new ReplicaPlanner(engines, needs)
  const moves: ReplicaMove[] = []
  const engineIds = new Set<string>()
  let remainingStoreLoads = storeLoads
  for (const want of planning.shortages()) {
    const isUrgent = want.value >= minimumDrainValue
    const unavailable = engines.filter(engine => !engine.isAvailable || engineIds.has(engine.id)).length
    if (!isUrgent && unavailable >= Math.max(1, engines.length * lowValueMoveShare)) continue
    const option = planning.bestOption(want, engineIds, { mayLoadFromStore: remainingStoreLoads > 0, mayDrain: isUrgent })
    if (!option) continue
    engineIds.add(option.engine.id)
    if (option.isFromStore) remainingStoreLoads--
    for (const copy of option.unload) planning.removeReplica(copy.model)
    moves.push({
      engine: option.engine.id,
      unload: option.unload.map(({ model }) => model),
      load: want.demand.model,
      isFromStore: option.isFromStore,
      reason: `${want.demand.running} running and ${want.demand.waiting} waiting on ${want.replicas} copies`
    })
  }
  return moves
}

function rankWeight (rank: number): number {
  return firstRankWeight / 2 ** Math.min(rank, 5)
}

class ReplicaPlanner {
  private readonly demandByModel = new Map<string, ReplicaDemand>()
  private readonly copies = new Map<string, number>()
  private readonly slots: number

  constructor (private readonly engines: readonly ReplicaEngine[], needs: readonly ReplicaDemand[]) {
    for (const need of needs) this.demandByModel.set(need.model, need)
    for (const { replicas: copies } of engines) {
      for (const { model, isUnloading: isLeaving } of copies) if (!isLeaving) this.copies.set(model, this.replicaCount(model) + 1)
    }
    this.slots = Math.max(1, ...engines.map(({ slots }) => slots))
  }

  shortages (): Shortage[] {
    const shortages: Shortage[] = []
    for (const need of this.demandByModel.values()) {
      const copies = this.replicaCount(need.model)
      const needed = this.targetReplicas(need)
      if (copies >= needed || need.running + need.waiting === 0) continue
      const excess = copies === 0 ? need.waiting : (needed - copies) * requestsPerReplica
      shortages.push({ demand: need, replicas: copies, value: excess * rankWeight(need.rank) })
    }
    return shortages.sort((left, right) => right.value - left.value)
  }

  bestOption (want: Shortage, taken: ReadonlySet<string>, { mayLoadFromStore, mayDrain }: { mayLoadFromStore: boolean, mayDrain: boolean }): MoveOption | undefined {
    let best: MoveOption | undefined
    for (const engine of this.engines) {
      if (!engine.isAvailable || taken.has(engine.id) || engine.replicas.some(({ model }) => model === want.demand.model)) continue
      const { loadMs, isFromStore } = engine.loadCostOf(want.demand.model)
      if (isFromStore && !mayLoadFromStore) continue
      const unload = this.replicasToUnload(engine, want)
      if (!unload || (!mayDrain && unload.some(({ running }) => running > 0))) continue
      const removalCost = unload.reduce((sum, copy) => sum + this.removalCost(copy), 0)
      if (removalCost > 0 && want.value < removalCost * displacementRatio) continue
      const delaySeconds = loadMs / 1000 + (unload.some(({ running }) => running > 0) ? drainSeconds : 0)
      const cost = removalCost + delaySeconds * want.value * delayCostShare + engine.running * sharedEngineCost +
        engine.adapters * loadMs / 1000 * adapterDelayCost
      if (!best || cost < best.cost) best = { engine, unload, isFromStore, cost }
    }
    return best
  }

  /** The cheapest copies whose removal makes room, or `undefined` if there are none. */
  private replicasToUnload (engine: ReplicaEngine, want: Shortage): Replica[] | undefined {
    let freeMb = engine.weightsMb - engine.adaptersMb - engine.replicas.reduce((sum, copy) => sum + copy.weightsMb, 0)
    const unload: Replica[] = []
    const removable = engine.replicas
      .filter(copy => copy.isReady && !copy.isUnloading && copy.model !== want.demand.model)
      .sort((left, right) => this.removalCost(left) - this.removalCost(right) || left.running - right.running)
    for (const copy of removable) {
      if (freeMb >= want.demand.weightsMb) break
      unload.push(copy)
      freeMb += copy.weightsMb
    }
    return freeMb >= want.demand.weightsMb ? unload : undefined
  }

  /** What the callers of a copy's model lose by its removal. */
  private removalCost (copy: Replica): number {
    const need = this.demandByModel.get(copy.model)
    const inProgress = copy.running * runningCostShare
    if (!need) return inProgress
    const weight = rankWeight(need.rank)
    const needed = this.targetReplicas(need)
    const copies = this.replicaCount(copy.model)
    if (copies > Math.max(1, needed)) return inProgress
    if (need.running + need.waiting === 0) return need.idleMs === Infinity ? unusedModelCost : weight / (1 + need.idleMs / idleRetentionMs) ** 2 / 2
    if (copy.ageMs < minimumResidenceMs) return Infinity
    // The share of its requests that the remaining copies cannot take.
    return inProgress + weight * (need.running + need.waiting + 1) / copies
  }

  private targetReplicas (need: ReplicaDemand): number {
    return Math.min(replicasNeeded(need, this.slots), Math.ceil(this.engines.length * maximumEngineShare))
  }

  removeReplica (model: string): void {
    this.copies.set(model, this.replicaCount(model) - 1)
  }

  private replicaCount (model: string): number {
    return this.copies.get(model) ?? 0
  }
}
