/** Plans which models and adapters engines load and unload. */

import { splitVersionedModel, versionedModel } from '../config/fleetConfig.js'
import type { FleetConfig, ModelConfig } from '../config/fleetConfig.js'
import type { EngineEntry, Move } from '../protocol/messages.js'
import { isExceptionActive } from './requestPolicy.js'
import type { PlacementInput, PlacementPlan } from './placementInput.js'

/** Time within which a move must gain more value than it costs. */
const paybackSeconds = 600
/** Fixed cost of a move, in seconds of the displaced value. */
const moveCostSeconds = 30
/** Largest ratio of the displaced value to the gain, so that two models do not keep displacing each other. */
const displacementRatio = 0.7
/** Minimum time that a replica stays after the decision to load it. */
const minimumResidenceMs = 60_000
/**
 * Minimum residence if waiting requests need the memory; below the usual patience of the least urgent rank, 60 s. At 25 s, engines
 * were empty for half of each rotation, since a swap takes up to 26 s.
 */
const minimumForcedResidenceMs = 55_000
/** Share of the capacity that is planned for; the rest absorbs bursts and uneven load. */
const plannedUtilization = 0.95
/** Assumed duration of an engine step at a full batch, as a share of the tightest token gap target. */
const fullBatchStepShare = 0.85
const defaultStepMs = 35
/** Time for which the running requests of an unloading model still occupy its memory. */
const drainMs = 15_000
/**
 * Share of an engine's capacity. A cold model that does not fit into the headroom displaces only replicas whose removal leaves less
 * than this unserved; otherwise rarely used models would rotate through the whole pool.
 */
const idleLoadShare = 0.05
const idleResidenceMs = 5_000
/** Share of an engine's capacity. An additional replica must serve at least this much unmet demand. */
const minimumReliefShare = 0.05
const distributionRounds = 4
/** Share of a pool's planned capacity to which excess demand is cut. */
const servableShare = 0.8
/** Largest loss by relocating another replica for a cold model, as a share of the cold model's value. */
const relocationLossShare = 0.2

interface PlacementRules {
  pins: Set<string>
  bans: Set<string>
  minimumReplicas: number
  maximumReplicas: number
  weight: number
}

interface DemandPart {
  requestValue: number
  tokensPerSecond: number
  valuePerSecond: number
}

interface ModelDemand {
  name: string
  config: ModelConfig
  rules: PlacementRules
  /** Demand in tokens per second. */
  tokensPerSecond: number
  /** Parts of the demand, the most valuable first, which is the order of service in queues and engines. */
  parts: DemandPart[]
  waiting: number
  earliestDeadlineMs: number
  /** Demand that the current replicas cannot serve, in tokens per second. */
  unmet: number
}

interface Replica {
  /** Model name with version. */
  name: string
  model: string
  memoryBytes: number
  ready: boolean
  current: boolean
  /** Tokens per second that the replica serves in the current plan. */
  load: number
}

interface EvictionOptions {
  /** Evicts replicas regardless of their value, after a shorter minimum residence. */
  force: boolean
  /** Evicts only nearly unused replicas, after a very short minimum residence. */
  idleOnly?: boolean
}

interface EngineState {
  entry: EngineEntry
  replicas: Replica[]
  /** Memory for weights, excluding KV cache and adapters. */
  weightCapacityBytes: number
  /** Part of that memory kept free for rarely used models. */
  headroomBytes: number
  usedBytes: number
  /** Whether the memory of an unloaded model is usable at once. It stays accounted for a while on engines that ignore fencing tokens. */
  freesMemoryAtOnce: boolean
  /** Planned capacity in tokens per second. */
  capacity: number
  load: number
  /** Whether models may be loaded and unloaded now. */
  movable: boolean
  /** Whether this plan contains a move for the engine. */
  hasMove: boolean
}

/** Plans moves, with at most as many loads as the weight store can start now. Deterministic. */
export function planMoves (input: PlacementInput): PlacementPlan {
  return new PlacementPlanner(input).plan()
}

class PlacementPlanner {
  private readonly input: PlacementInput
  private readonly config: FleetConfig
  private readonly demands = new Map<string, ModelDemand>()
  private readonly engines: EngineState[]
  private readonly loadTimeMs: number
  private readonly moves: Move[] = []
  private readonly unreachable: { model: string, reason: string }[] = []
  private loadSlots: number

  constructor (input: PlacementInput) {
    this.input = input
    this.config = input.config
    const { storeLoadsPerSecond, storeLoadsInFlight } = input.config.fleet
    this.loadTimeMs = storeLoadsInFlight / storeLoadsPerSecond * 1000
    const startedLastSecond = input.recentMoves.filter(move => input.nowMs - move.atMs < 1000).length
    this.loadSlots = Math.max(0, Math.min(
      storeLoadsInFlight - input.loadsInFlight.length,
      Math.max(1, Math.floor(storeLoadsPerSecond)) - startedLastSecond
    ))
    for (const [name, config] of Object.entries(input.config.models)) this.demands.set(name, this.demandOf(name, config))
    this.engines = input.engines.filter(entry => entry.reachable && !entry.draining).map(entry => this.stateOf(entry))
    this.assignHeadroom()
    this.limitDemand()
  }

  /**
   * Cuts the demand of a pool to what its engines can serve, the least valuable parts first, since admission sheds these.
   * Otherwise overload would make every replica look indispensable.
   */
  private limitDemand (): void {
    for (const pool of Object.keys(this.config.pools)) {
      const demands = [...this.demands.values()].filter(demand => demand.config.pool === pool)
      const capacity = this.engines.reduce((sum, engine) => sum + (engine.entry.pool === pool ? engine.capacity : 0), 0)
      if (capacity === 0) continue
      let excess = demands.reduce((sum, demand) => sum + demand.tokensPerSecond, 0) - servableShare * capacity
      const values = [...new Set(demands.flatMap(demand => demand.parts.map(part => part.requestValue)))].sort((left, right) => left - right)
      for (const requestValue of values) {
        if (excess <= 0) break
        const parts = demands.flatMap(demand => demand.parts.filter(part => part.requestValue === requestValue))
        const tokens = parts.reduce((sum, part) => sum + part.tokensPerSecond, 0)
        const factor = Math.max(0, 1 - excess / tokens)
        for (const part of parts) {
          part.tokensPerSecond *= factor
          part.valuePerSecond *= factor
        }
        excess -= tokens
      }
      for (const demand of demands) demand.tokensPerSecond = demand.parts.reduce((sum, part) => sum + part.tokensPerSecond, 0)
    }
  }

  plan (): PlacementPlan {
    this.distributeLoad()
    this.unloadObsolete()
    this.loadRequired()
    this.loadWaitingModels()
    this.loadWaitingAdapters()
    this.loadProfitable()
    this.loadAdapters()
    return { moves: this.moves, unreachable: this.unreachable }
  }

  private demandOf (name: string, config: ModelConfig): ModelDemand {
    const rules: PlacementRules = {
      pins: new Set(), bans: new Set(), minimumReplicas: config.minimumReplicas, maximumReplicas: config.maximumReplicas ?? Infinity, weight: 1
    }
    for (const exception of this.config.exceptions) {
      if (exception.target !== `model.${name}`) continue
      if (!isExceptionActive(exception, this.input.nowMs, this.config.fleet.utcOffsetMinutes)) continue
      if (exception.pin !== undefined) rules.pins.add(exception.pin)
      if (exception.ban !== undefined) rules.bans.add(exception.ban)
      if (exception.minimumReplicas !== undefined) rules.minimumReplicas = exception.minimumReplicas
      if (exception.weight !== undefined) rules.weight = exception.weight / config.weight
    }
    const demand = { name, config, rules, tokensPerSecond: 0, parts: [] as DemandPart[], waiting: 0, earliestDeadlineMs: Infinity, unmet: 0 }
    const parts = new Map<number, DemandPart>()
    const names = [name, ...Object.keys(this.config.adapters).filter(adapter => this.config.adapters[adapter]!.baseModel === name)]
    for (const key of names) {
      const forecast = this.input.forecasts.get(key)
      if (forecast) {
        demand.tokensPerSecond += forecast.tokensPerSecond
        // Tokens are not reported by rank. Splitting them by request count overestimates urgent demand, which is the safe direction.
        const byRank = forecast.byRank ?? [{ rank: undefined, requestsPerSecond: 1, valuePerSecond: forecast.valuePerSecond }]
        const requests = byRank.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0)
        for (const { rank, requestsPerSecond, valuePerSecond } of byRank) {
          if (requestsPerSecond <= 0) continue
          const requestValue = rank === undefined ? 0 : this.config.ranks[rank].requestValue
          let part = parts.get(requestValue)
          if (!part) parts.set(requestValue, part = { requestValue, tokensPerSecond: 0, valuePerSecond: 0 })
          part.tokensPerSecond += forecast.tokensPerSecond * requestsPerSecond / requests
          part.valuePerSecond += valuePerSecond * rules.weight
        }
      }
      const waiting = this.input.waiting.get(key)
      if (waiting && waiting.count > 0) {
        demand.waiting += waiting.count
        demand.earliestDeadlineMs = Math.min(demand.earliestDeadlineMs, waiting.earliestDeadlineMs)
      }
    }
    demand.parts = [...parts.values()].sort((left, right) => right.requestValue - left.requestValue)
    return demand
  }

  private stateOf (entry: EngineEntry): EngineState {
    const pool = this.config.pools[entry.pool]
    const replicas: Replica[] = entry.models.filter(({ state }) => state !== 'unloading').map(({ name, state, memoryBytes }) => {
      const { model, version } = splitVersionedModel(name)
      return { name, model, memoryBytes, ready: state === 'ready', current: this.config.models[model]?.version === version, load: 0 }
    })
    for (const { engine, model } of this.input.loadsInFlight) {
      if (engine !== entry.engine || replicas.some(replica => replica.name === model)) continue
      const { model: name, version } = splitVersionedModel(model)
      const config = this.config.models[name]
      replicas.push({ name: model, model: name, memoryBytes: config?.memoryBytes ?? 0, ready: false, current: config?.version === version, load: 0 })
    }
    const gaps = Object.values(this.config.ranks).map(rank => rank.tokenGapMs).filter(gap => gap > 0)
    const stepMs = Math.max(entry.stepMs, gaps.length > 0 ? Math.min(...gaps) * fullBatchStepShare : defaultStepMs)
    const capacity = entry.maxBatch / stepMs * 1000 * plannedUtilization
    const weightCapacityBytes = entry.memoryBytes - entry.kvCacheBytes - (pool?.adapterBytes ?? 0)
    const reportedBytes = replicas.reduce((sum, replica) => sum + replica.memoryBytes, 0) +
      entry.models.reduce((sum, model) => sum + (model.state === 'unloading' ? model.memoryBytes : 0), 0)
    return {
      entry,
      replicas,
      weightCapacityBytes,
      headroomBytes: 0,
      // The controller also counts memory that the status does not show: loads that may still take effect, and memory not released yet.
      usedBytes: Math.max(reportedBytes, weightCapacityBytes - (entry.freeModelBytes ?? weightCapacityBytes)),
      freesMemoryAtOnce: this.honoursFence(entry),
      capacity,
      load: 0,
      movable: !this.input.refusingEngines?.has(entry.engine) && (this.input.keyValueAvailable || this.honoursFence(entry)) && !entry.models.some(model => model.state === 'unloading'),
      hasMove: false
    }
  }

  private honoursFence (entry: EngineEntry): boolean {
    let honoursTokens = this.config.pools[entry.pool]?.honoursFence ?? false
    for (const exception of this.config.exceptions) {
      if (exception.target === `engine.${entry.engine}` && exception.honoursFence !== undefined) honoursTokens = exception.honoursFence
    }
    return honoursTokens
  }

  /**
   * Concentrates the headroom of a pool on few engines, in units of its largest model; spread evenly, it would not fit a complete
   * model. Engines that honour fencing tokens come first, since they can swap models while the key-value service is down.
   */
  private assignHeadroom (): void {
    for (const [pool, { reserveBytes }] of Object.entries(this.config.pools)) {
      const engines = this.engines.filter(engine => engine.entry.pool === pool)
        .sort((left, right) => Number(this.honoursFence(right.entry)) - Number(this.honoursFence(left.entry)) ||
          (left.entry.engine < right.entry.engine ? -1 : 1))
      const largest = Math.max(0, ...Object.values(this.config.models).filter(model => model.pool === pool).map(model => model.memoryBytes))
      let remaining = reserveBytes * engines.length
      for (const engine of engines) {
        engine.headroomBytes = Math.min(remaining, largest, engine.weightCapacityBytes)
        remaining -= engine.headroomBytes
      }
    }
  }

  /** Replicas that serve the model: those of the current version, or all while no current one is ready. */
  private servingReplicas (model: string): { engine: EngineState, replica: Replica }[] {
    const all = this.engines.flatMap(engine => engine.replicas.filter(replica => replica.model === model).map(replica => ({ engine, replica })))
    const current = all.filter(({ replica }) => replica.current)
    return current.some(({ replica }) => replica.ready) ? current : all
  }

  /**
   * Distributes each model's demand over its replicas so that engine loads become as equal as possible, like routing does.
   * Load beyond an engine's capacity counts as unmet demand of its models.
   */
  private distributeLoad (): void {
    for (const engine of this.engines) {
      engine.load = 0
      for (const replica of engine.replicas) replica.load = 0
    }
    const serving = new Map([...this.demands.values()].map(demand => [demand, this.servingReplicas(demand.name)]))
    for (let round = 0; round < distributionRounds; round++) {
      for (const [demand, replicas] of serving) {
        for (const { engine, replica } of replicas) engine.load -= replica.load
        replicas.sort((left, right) => left.engine.load - right.engine.load)
        fillEvenly(replicas, demand.tokensPerSecond)
      }
    }
    for (const [demand, replicas] of serving) {
      demand.unmet = replicas.length === 0
        ? demand.tokensPerSecond
        : replicas.reduce((sum, { engine, replica }) => sum + Math.min(replica.load, Math.max(0, engine.load - engine.capacity)), 0)
    }
  }

  /** Unloads replicas of removed models, and of old versions or banned models once a current replica is ready elsewhere. */
  private unloadObsolete (): void {
    for (const engine of this.engines) {
      if (!engine.movable) continue
      for (const replica of engine.replicas) {
        if (!replica.ready) continue
        const demand = this.demands.get(replica.model)
        const banned = demand?.rules.bans.has(engine.entry.engine) ?? false
        if (demand && replica.current && !banned) continue
        const replaced = !demand || this.engines.some(other => other.replicas.some(candidate => candidate.model === replica.model &&
          candidate.current && candidate.ready && candidate !== replica && !demand.rules.bans.has(other.entry.engine)))
        if (!replaced || engine.hasMove) continue
        this.addMove(engine, undefined, [replica], !demand ? 'model is not configured' : banned ? 'banned here' : 'a newer version is ready')
      }
    }
  }

  /** Loads models that the configuration requires: pins, minimum replicas and new versions. */
  private loadRequired (): void {
    for (const demand of this.demands.values()) {
      for (const pin of demand.rules.pins) {
        const engine = this.engines.find(candidate => candidate.entry.engine === pin)
        if (engine && !this.hasReplica(engine, demand)) this.tryLoad(demand, [engine], 'pinned', { force: true })
      }
      const replicas = this.engines.filter(engine => this.hasReplica(engine, demand) && !demand.rules.bans.has(engine.entry.engine)).length
      const old = this.engines.some(engine => engine.replicas.some(replica => replica.model === demand.name && !replica.current && replica.ready))
      const required = Math.max(demand.rules.minimumReplicas, old ? 1 : 0)
      for (let count = replicas; count < required; count++) {
        const reason = count < demand.rules.minimumReplicas ? `below minimum of ${demand.rules.minimumReplicas} replicas` : 'new version'
        if (!this.tryLoad(demand, this.engines, reason, { force: true })) break
      }
    }
  }

  /** Loads models that have waiting requests but no replica, by earliest deadline. One load serves all requests of a model. */
  private loadWaitingModels (): void {
    const cold = [...this.demands.values()].filter(demand => demand.waiting > 0 && this.servingReplicas(demand.name).length === 0)
    cold.sort((left, right) => left.earliestDeadlineMs - right.earliestDeadlineMs)
    for (const demand of cold) {
      const slackMs = demand.earliestDeadlineMs - this.input.nowMs
      const due = slackMs < 2 * this.loadTimeMs + drainMs
      const reason = `${demand.waiting} requests are waiting`
      const loaded = this.tryLoad(demand, this.engines, reason, { force: false }) || this.relocateFor(demand) ||
        (due && this.tryLoad(demand, this.headroomEngines(demand.config.pool), reason, { force: true })) ||
        (due && this.tryLoad(demand, this.engines, reason, { force: true, idleOnly: true }))
      if (loaded) this.distributeLoad()
      if (!loaded && due) this.unreachable.push({ model: demand.name, reason: this.loadSlots <= 0 ? 'all load slots of the weight store are in use' : 'no engine can free enough memory' })
    }
  }

  /**
   * Finds memory for adapters that requests wait for and that do not fit on any engine with their base model. If such an engine can
   * free memory at once, adapters without waiting requests are evicted there; otherwise the base model is loaded on another engine
   * that can.
   */
  private loadWaitingAdapters (): void {
    const waiting = Object.entries(this.config.adapters).filter(([name]) => (this.input.waiting.get(name)?.count ?? 0) > 0)
    for (const [name, { baseModel, memoryBytes }] of waiting) {
      const bases = this.servingReplicas(baseModel).filter(({ replica }) => replica.ready)
      const isLoaded = bases.some(({ engine }) => engine.entry.adapters.some(adapter => adapter.name === name))
      if (bases.length === 0 || isLoaded || bases.some(({ engine }) => this.freeAdapterBytes(engine) >= memoryBytes)) continue
      const base = bases.find(({ engine }) => engine.freesMemoryAtOnce && !engine.hasMove)
      if (base) this.displaceAdapters(base.engine, base.replica, name)
      else if (!bases.some(({ engine }) => engine.freesMemoryAtOnce)) {
        const others = this.engines.filter(engine => engine.freesMemoryAtOnce)
        const reason = `requests are waiting for adapter ${name}`
        const demand = this.demands.get(baseModel)!
        if (!this.tryLoad(demand, others, reason, { force: true })) this.tryLoad(demand, others, reason, { force: true, idleOnly: true })
      }
    }
  }

  /** Adds a move with the adapters to keep or load, as many as fit; the controller unloads others to free memory. */
  private displaceAdapters (engine: EngineState, base: Replica, name: string): void {
    const { adapterBytes } = this.config.pools[engine.entry.pool]!
    const loadAdapters = [{ adapter: name, baseModel: base.name, memoryBytes: this.config.adapters[name]!.memoryBytes }]
    let freeBytes = adapterBytes - loadAdapters[0]!.memoryBytes
    for (const { name: adapter, baseModel, memoryBytes } of engine.entry.adapters) {
      if ((this.input.waiting.get(adapter)?.count ?? 0) === 0 || memoryBytes > freeBytes) continue
      loadAdapters.push({ adapter, baseModel, memoryBytes })
      freeBytes -= memoryBytes
    }
    this.moves.push({ moveId: `${this.input.nowMs}/${engine.entry.engine}/adapter ${name}`, engine: engine.entry.engine, unload: [], loadAdapters, reason: 'requests are waiting' })
    engine.hasMove = true
  }

  private freeAdapterBytes ({ entry }: EngineState): number {
    const freeBytes = (this.config.pools[entry.pool]?.adapterBytes ?? 0) - entry.adapters.reduce((sum, adapter) => sum + adapter.memoryBytes, 0)
    return Math.min(freeBytes, entry.freeAdapterBytes ?? Infinity)
  }

  /**
   * Engines on which a model with waiting requests may displace any other: those with headroom, or all if the pool has none. In the
   * latter case, a few rarely used models can displace the models of the whole pool in turn.
   */
  private headroomEngines (pool: string): EngineState[] {
    const engines = this.engines.filter(engine => engine.entry.pool === pool)
    const withHeadroom = engines.filter(engine => engine.headroomBytes > 0)
    return withHeadroom.length > 0 ? withHeadroom : engines
  }

  /** Loads replicas as long as one gains clearly more value than it displaces. */
  private loadProfitable (): void {
    const notPlaceable = new Set<string>()
    while (this.loadSlots > 0) {
      const candidates = [...this.demands.values()]
        .filter(demand => !notPlaceable.has(demand.name) && demand.unmet > 0)
        .sort((left, right) => gainOf(right, right.unmet) / right.config.memoryBytes - gainOf(left, left.unmet) / left.config.memoryBytes)
      const demand = candidates[0]
      if (!demand) return
      if (this.tryLoad(demand, this.engines, `unmet demand of ${Math.round(demand.unmet)} tokens/s`, { force: false })) this.distributeLoad()
      else notPlaceable.add(demand.name)
    }
  }

  private hasReplica (engine: EngineState, demand: ModelDemand): boolean {
    return engine.replicas.some(replica => replica.model === demand.name && replica.current)
  }

  /**
   * Loads the model on the engine with the largest net gain; engines that free memory at once come first. Without `force`, the gain
   * must exceed the displaced value and the cost of the move, and additional replicas leave the headroom free. Returns false if no
   * load is possible.
   */
  private tryLoad (demand: ModelDemand, engines: readonly EngineState[], reason: string, options: EvictionOptions): boolean {
    if (this.loadSlots <= 0) return false
    const { force } = options
    const replicas = this.engines.filter(engine => this.hasReplica(engine, demand)).length
    if (replicas >= demand.rules.maximumReplicas) return false
    let best: { engine: EngineState, evicted: Replica[], net: number, atOnce: boolean } | undefined
    for (const engine of engines) {
      if (engine.entry.pool !== demand.config.pool || !engine.movable || engine.hasMove) continue
      if (demand.rules.bans.has(engine.entry.engine) || this.hasReplica(engine, demand)) continue
      const eviction = this.chooseEvictions(engine, demand, replicas, options)
      if (!eviction) continue
      const freed = eviction.evicted.reduce((sum, replica) => sum + replica.load, 0)
      const relief = Math.min(demand.unmet, Math.max(0, engine.capacity - engine.load + freed))
      const gain = gainOf(demand, relief)
      if (!force) {
        if (replicas > 0 && relief < minimumReliefShare * engine.capacity) continue
        if (eviction.loss > displacementRatio * gain) continue
        if ((gain - eviction.loss) * paybackSeconds <= moveCostSeconds * (eviction.loss + gain * 0.1)) continue
      }
      const net = gain - eviction.loss
      const atOnce = eviction.evicted.length === 0 || engine.freesMemoryAtOnce
      if (!best || (atOnce === best.atOnce ? net > best.net : atOnce)) best = { engine, evicted: eviction.evicted, net, atOnce }
    }
    if (!best) return false
    this.addMove(best.engine, demand, best.evicted, reason)
    return true
  }

  /** Chooses replicas to evict so that the model fits, with little loss of value; `undefined` if it cannot fit. */
  private chooseEvictions (engine: EngineState, demand: ModelDemand, replicas: number, { force, idleOnly = false }: EvictionOptions): { evicted: Replica[], loss: number } | undefined {
    // Only the first replica of a model may use the headroom, unless the load is forced.
    const limit = engine.weightCapacityBytes - (force || replicas === 0 ? 0 : engine.headroomBytes)
    let needed = engine.usedBytes + demand.config.memoryBytes - limit
    if (needed <= 0) return { evicted: [], loss: 0 }
    const removable = engine.replicas.filter(replica => idleOnly ? this.isIdle(engine, replica) : this.isRemovable(engine, replica, force ? minimumForcedResidenceMs : minimumResidenceMs))
      .map(replica => ({ replica, loss: this.lossOf(engine, replica) }))
      .sort((left, right) => left.loss / left.replica.memoryBytes - right.loss / right.replica.memoryBytes)
    const chosen: typeof removable = []
    for (const candidate of removable) {
      if (needed <= 0) break
      chosen.push(candidate)
      needed -= candidate.replica.memoryBytes
    }
    if (needed > 0) return undefined
    // Larger replicas chosen later can make earlier choices unnecessary.
    for (const candidate of [...chosen].sort((left, right) => right.loss - left.loss)) {
      if (needed + candidate.replica.memoryBytes > 0) continue
      chosen.splice(chosen.indexOf(candidate), 1)
      needed += candidate.replica.memoryBytes
    }
    return { evicted: chosen.map(({ replica }) => replica), loss: chosen.reduce((sum, { loss }) => sum + loss, 0) }
  }

  /**
   * Loads another model's replica on a second engine at little loss, so that one of the next plans can replace the original
   * with `demand`. Returns false if no replica is suitable.
   */
  private relocateFor (demand: ModelDemand): boolean {
    if (this.loadSlots <= 0) return false
    const engines = this.engines.filter(engine => engine.entry.pool === demand.config.pool && engine.movable && !engine.hasMove)
    const acceptedLoss = relocationLossShare * gainOf(demand, demand.unmet)
    let best: { target: EngineState, relocated: ModelDemand, evicted: Replica[] } | undefined
    let bestBytes = Infinity
    for (const engine of engines) {
      if (demand.rules.bans.has(engine.entry.engine) || this.hasReplica(engine, demand)) continue
      const removable = engine.replicas.filter(replica => replica.current && this.isRemovable(engine, replica, minimumResidenceMs))
      const superfluous = removable.filter(replica => this.lossOf(engine, replica) <= acceptedLoss)
      const missing = engine.usedBytes + demand.config.memoryBytes - engine.weightCapacityBytes - superfluous.reduce((sum, replica) => sum + replica.memoryBytes, 0)
      for (const replica of removable) {
        const relocated = this.demands.get(replica.model)!
        if (superfluous.includes(replica) || replica.memoryBytes < missing || replica.memoryBytes >= bestBytes || relocated.rules.minimumReplicas > 0) continue
        for (const target of engines) {
          if (target === engine || relocated.rules.bans.has(target.entry.engine) || this.hasReplica(target, relocated)) continue
          const eviction = this.chooseEvictions(target, relocated, 1, { force: false })
          if (!eviction || eviction.loss > acceptedLoss || eviction.evicted.some(other => other.model === demand.name)) continue
          ;[best, bestBytes] = [{ target, relocated, evicted: eviction.evicted }, replica.memoryBytes]
          break
        }
      }
    }
    if (!best) return false
    this.addMove(best.target, best.relocated, best.evicted, `frees memory for ${demand.name}`)
    return true
  }

  /** Whether evicting the replica leaves almost no load unserved and no requests wait for its model. */
  private isIdle (engine: EngineState, replica: Replica): boolean {
    return this.uncoveredLoad(engine, replica) < idleLoadShare * engine.capacity && (this.demands.get(replica.model)?.waiting ?? 0) === 0 && this.isRemovable(engine, replica, idleResidenceMs)
  }

  private isRemovable (engine: EngineState, replica: Replica, residenceMs: number): boolean {
    if (!replica.ready || engine.entry.stickyModels?.includes(replica.name)) return false
    const demand = this.demands.get(replica.model)
    if (!demand) return true
    if (demand.rules.pins.has(engine.entry.engine)) return false
    const count = this.engines.filter(other => this.hasReplica(other, demand)).length
    if (replica.current && count <= demand.rules.minimumReplicas) return false
    if (!replica.current && count === 0) return false
    if (!replica.current) return true
    return !this.input.recentMoves.some(move => move.engine === engine.entry.engine && move.model === replica.name &&
      this.input.nowMs - move.atMs < residenceMs)
  }

  /** Value per second lost by evicting the replica, from the load that the model's other replicas cannot take over. */
  private lossOf (engine: EngineState, replica: Replica): number {
    const demand = this.demands.get(replica.model)
    if (!demand) return 0
    const served = demand.tokensPerSecond - demand.unmet
    return valueOf(demand, served) - valueOf(demand, served - this.uncoveredLoad(engine, replica))
  }

  /** Tokens per second of the replica that the model's other replicas cannot take over. */
  private uncoveredLoad (engine: EngineState, replica: Replica): number {
    const others = this.servingReplicas(replica.model).filter(other => other.engine !== engine && other.replica.ready)
    const spare = others.reduce((sum, other) => sum + Math.max(0, other.engine.capacity - other.engine.load), 0)
    return Math.max(0, replica.load - spare)
  }

  private addMove (engine: EngineState, demand: ModelDemand | undefined, evicted: Replica[], reason: string): void {
    const load = demand && versionedModel(demand.name, demand.config.version)
    this.moves.push({
      moveId: `${this.input.nowMs}/${engine.entry.engine}/${load ?? evicted[0]?.name ?? ''}`,
      engine: engine.entry.engine,
      ...(demand ? { load: load!, loadBytes: demand.config.memoryBytes } : {}),
      unload: evicted.map(replica => replica.name),
      loadAdapters: [],
      reason
    })
    engine.replicas = engine.replicas.filter(replica => !evicted.includes(replica))
    engine.usedBytes -= evicted.reduce((sum, replica) => sum + replica.memoryBytes, 0)
    engine.hasMove = true
    if (demand) {
      engine.replicas.push({ name: load!, model: demand.name, memoryBytes: demand.config.memoryBytes, ready: false, current: true, load: 0 })
      engine.usedBytes += demand.config.memoryBytes
      this.loadSlots--
    }
  }

  /** Loads adapters onto engines with their base model, those in most demand first, while adapter memory is free. */
  private loadAdapters (): void {
    const sortedAdapters = Object.entries(this.config.adapters).map(([adapter, { baseModel, memoryBytes }]) => ({
      adapter,
      baseModel,
      memoryBytes,
      waiting: this.input.waiting.get(adapter)?.count ?? 0,
      value: this.input.forecasts.get(adapter)?.valuePerSecond ?? 0
    })).sort((left, right) => right.waiting - left.waiting || right.value - left.value || (left.adapter < right.adapter ? -1 : 1))
    for (const engine of this.engines) {
      const { entry, replicas, hasMove } = engine
      if (hasMove) continue
      let free = this.freeAdapterBytes(engine)
      const loadAdapters: Move['loadAdapters'] = []
      for (const { adapter, baseModel, memoryBytes } of sortedAdapters) {
        const base = replicas.find(replica => replica.model === baseModel && replica.ready)
        if (!base || memoryBytes > free || entry.adapters.some(loaded => loaded.name === adapter)) continue
        loadAdapters.push({ adapter, baseModel: base.name, memoryBytes })
        free -= memoryBytes
      }
      if (loadAdapters.length > 0) {
        this.moves.push({
          moveId: `${this.input.nowMs}/${entry.engine}/adapters`,
          engine: entry.engine,
          unload: [],
          loadAdapters,
          reason: 'adapters of a loaded base model'
        })
      }
    }
  }
}

/** Value per second of serving this many tokens per second of the demand, the most valuable first. */
function valueOf ({ parts }: ModelDemand, tokensPerSecond: number): number {
  let rest = tokensPerSecond
  let value = 0
  for (const part of parts) {
    if (rest <= 0) break
    value += part.tokensPerSecond > 0 ? part.valuePerSecond * Math.min(1, rest / part.tokensPerSecond) : 0
    rest -= part.tokensPerSecond
  }
  return value
}

/** Value per second of serving this many more tokens per second of the unmet demand. */
function gainOf (demand: ModelDemand, tokensPerSecond: number): number {
  const served = demand.tokensPerSecond - demand.unmet
  return valueOf(demand, served + tokensPerSecond) - valueOf(demand, served)
}

/** Water-filling: distributes `amount` over the replicas, sorted by engine load, so that the least loaded engines become equal. */
function fillEvenly (replicas: readonly { engine: EngineState, replica: Replica }[], amount: number): void {
  let rest = amount
  let level = 0
  let count = 0
  while (count < replicas.length) {
    level = replicas[count]!.engine.load
    const next = replicas[count + 1]?.engine.load ?? Infinity
    count++
    const fillable = (next - level) * count
    if (fillable >= rest) {
      level += rest / count
      rest = 0
      break
    }
    rest -= fillable
  }
  replicas.forEach(({ engine, replica }, index) => {
    replica.load = index < count ? Math.max(0, level - engine.load) : 0
    engine.load += replica.load
  })
}
