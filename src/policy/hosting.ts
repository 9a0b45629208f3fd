/** Decides which models are loaded and unloaded on which engines, from what runs and waits now. */

/** Part of its time that an engine reads prompts for one model before the model gets a further copy: beyond it, streams pause too long. */
const targetReadingShare = 0.4
/** Part of an engine's slots that the requests of one model use, or wait for, before it gets a further copy. */
const targetSlotShare = 0.6
/** Requests of an engine that the value of a further copy counts for. */
const copyRequests = 10
/** A model without requests keeps its claim on one copy for this time. */
const idleClaimMs = 6000
/** Weight of a waiting or running request of rank 0; each further rank halves it. */
const firstRankWeight = 4
/** Cost of removing a model that nobody has asked for yet: the demand for it may begin suddenly. */
const unaskedCost = 0.3
/** Part of a running request that the removal of a copy beyond need costs: it finishes, but its cached prompt is lost. */
const runningCostShare = 0.05
/** Part of the waiting requests' value that is lost in each second before the copy is ready. */
const delayCostShare = 0.2
/** Usual time until the requests of a copy that is to be unloaded have ended. */
const drainSeconds = 2.5
/** Value of waiting requests from which a move may wait for the running requests of other models. */
const drainValue = 8
/** Part of the engines that moves of less value may keep from other moves. */
const patientMoveShare = 0.34
/** Part of the engines that one model may take, so that others keep engines of their own. */
const largestEngineShare = 0.6
/** Cost of one request that runs on the engine and shares it with the new copy. */
const sharedEngineCost = 0.02
/** Cost of one second in which an engine with one adapter loads no others. */
const adapterSecondCost = 0.5
/** Value that a copy must bring beyond what it displaces, so that two models do not displace each other in turn. */
const displacementRatio = 1.5
/** A copy stays at least this long after its load, unless nobody claims it. */
const minimumResidenceMs = 2500

export interface HostedCopy {
  model: string
  weightsMb: number
  isReady: boolean
  isLeaving: boolean
  running: number
  ageMs: number
}

export interface HostEngine {
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
  copies: HostedCopy[]
  /** Time that a load of `model` takes here, and whether it counts against the weight store's rate. */
  loadOf (model: string): { loadMs: number, isFromStore: boolean }
}

export interface ModelNeed {
  model: string
  weightsMb: number
  running: number
  waiting: number
  /** Most urgent rank that waits or ran last; 0 is the most urgent. */
  rank: number
  /** Time since a request last ran or waited; `Infinity` if none did. */
  idleMs: number
  /** Engines that would do nothing but read the model's prompts, when a load that starts now has ended. */
  readingEngines: number
}

export interface HostingMove {
  engine: string
  unload: string[]
  load: string
  isFromStore: boolean
  reason: string
}

export interface HostingInput {
  engines: readonly HostEngine[]
  needs: readonly ModelNeed[]
  /** Loads from the weight store that may start now. */
  storeLoads: number
}

/** Copies that a model needs for what runs and waits. */
export function copiesNeeded ({ running, waiting, idleMs, readingEngines }: ModelNeed, slots: number): number {
  if (running + waiting === 0) return idleMs < idleClaimMs ? 1 : 0
  // Requests pile up on crowded copies, so their number alone would claim more copies than the demand needs.
  return Math.max(1, Math.ceil(readingEngines / targetReadingShare), Math.ceil((running + waiting) / (slots * targetSlotShare)))
}

interface Want {
  need: ModelNeed
  copies: number
  value: number
}

interface Option {
  engine: HostEngine
  unload: HostedCopy[]
  isFromStore: boolean
  cost: number
}

/** Moves to start now, the most valuable first; at most one for each engine. */
export function planHosting ({ engines, needs, storeLoads }: HostingInput): HostingMove[] {
  const planning = new Planning(engines, needs)
  const moves: HostingMove[] = []
  const taken = new Set<string>()
  let loadsLeft = storeLoads
  for (const want of planning.wants()) {
    const isUrgent = want.value >= drainValue
    const unavailable = engines.filter(engine => !engine.isAvailable || taken.has(engine.id)).length
    if (!isUrgent && unavailable >= Math.max(1, engines.length * patientMoveShare)) continue
    const option = planning.bestOption(want, taken, { mayLoadFromStore: loadsLeft > 0, mayDrain: isUrgent })
    if (!option) continue
    taken.add(option.engine.id)
    if (option.isFromStore) loadsLeft--
    for (const copy of option.unload) planning.remove(copy.model)
    moves.push({
      engine: option.engine.id,
      unload: option.unload.map(({ model }) => model),
      load: want.need.model,
      isFromStore: option.isFromStore,
      reason: `${want.need.running} running and ${want.need.waiting} waiting on ${want.copies} copies`
    })
  }
  return moves
}

function rankWeight (rank: number): number {
  return firstRankWeight / 2 ** Math.min(rank, 5)
}

class Planning {
  private readonly needOf = new Map<string, ModelNeed>()
  private readonly copies = new Map<string, number>()
  private readonly slots: number

  constructor (private readonly engines: readonly HostEngine[], needs: readonly ModelNeed[]) {
    for (const need of needs) this.needOf.set(need.model, need)
    for (const { copies } of engines) {
      for (const { model, isLeaving } of copies) if (!isLeaving) this.copies.set(model, this.copiesOf(model) + 1)
    }
    this.slots = Math.max(1, ...engines.map(({ slots }) => slots))
  }

  wants (): Want[] {
    const wants: Want[] = []
    for (const need of this.needOf.values()) {
      const copies = this.copiesOf(need.model)
      const needed = this.neededOf(need)
      if (copies >= needed || need.running + need.waiting === 0) continue
      const excess = copies === 0 ? need.waiting : (needed - copies) * copyRequests
      wants.push({ need, copies, value: excess * rankWeight(need.rank) })
    }
    return wants.sort((left, right) => right.value - left.value)
  }

  bestOption (want: Want, taken: ReadonlySet<string>, { mayLoadFromStore, mayDrain }: { mayLoadFromStore: boolean, mayDrain: boolean }): Option | undefined {
    let best: Option | undefined
    for (const engine of this.engines) {
      if (!engine.isAvailable || taken.has(engine.id) || engine.copies.some(({ model }) => model === want.need.model)) continue
      const { loadMs, isFromStore } = engine.loadOf(want.need.model)
      if (isFromStore && !mayLoadFromStore) continue
      const unload = this.victims(engine, want)
      if (!unload || (!mayDrain && unload.some(({ running }) => running > 0))) continue
      const removalCost = unload.reduce((sum, copy) => sum + this.removalCost(copy), 0)
      if (removalCost > 0 && want.value < removalCost * displacementRatio) continue
      const delaySeconds = loadMs / 1000 + (unload.some(({ running }) => running > 0) ? drainSeconds : 0)
      const cost = removalCost + delaySeconds * want.value * delayCostShare + engine.running * sharedEngineCost +
        engine.adapters * loadMs / 1000 * adapterSecondCost
      if (!best || cost < best.cost) best = { engine, unload, isFromStore, cost }
    }
    return best
  }

  /** The cheapest copies whose removal makes room, or `undefined` if there are none. */
  private victims (engine: HostEngine, want: Want): HostedCopy[] | undefined {
    let freeMb = engine.weightsMb - engine.adaptersMb - engine.copies.reduce((sum, copy) => sum + copy.weightsMb, 0)
    const unload: HostedCopy[] = []
    const removable = engine.copies
      .filter(copy => copy.isReady && !copy.isLeaving && copy.model !== want.need.model)
      .sort((left, right) => this.removalCost(left) - this.removalCost(right) || left.running - right.running)
    for (const copy of removable) {
      if (freeMb >= want.need.weightsMb) break
      unload.push(copy)
      freeMb += copy.weightsMb
    }
    return freeMb >= want.need.weightsMb ? unload : undefined
  }

  /** What the callers of a copy's model lose by its removal. */
  private removalCost (copy: HostedCopy): number {
    const need = this.needOf.get(copy.model)
    const inProgress = copy.running * runningCostShare
    if (!need) return inProgress
    const weight = rankWeight(need.rank)
    const needed = this.neededOf(need)
    const copies = this.copiesOf(copy.model)
    if (copies > Math.max(1, needed)) return inProgress
    if (need.running + need.waiting === 0) return need.idleMs === Infinity ? unaskedCost : weight / (1 + need.idleMs / idleClaimMs) ** 2 / 2
    if (copy.ageMs < minimumResidenceMs) return Infinity
    // The share of its requests that the remaining copies cannot take.
    return inProgress + weight * (need.running + need.waiting + 1) / copies
  }

  private neededOf (need: ModelNeed): number {
    return Math.min(copiesNeeded(need, this.slots), Math.ceil(this.engines.length * largestEngineShare))
  }

  remove (model: string): void {
    this.copies.set(model, this.copiesOf(model) - 1)
  }

  private copiesOf (model: string): number {
    return this.copies.get(model) ?? 0
  }
}
