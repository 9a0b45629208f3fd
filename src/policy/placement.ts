/** Decides which models and adapters are loaded where. */

import { splitVersionedModel, versionedModel } from '../config/fleetConfig.js'
import type { FleetConfig, ModelConfig } from '../config/fleetConfig.js'
import type { EngineEntry, Move } from '../protocol/messages.js'
import { isExceptionActive } from './requestPolicy.js'
import type { PlacementInput, PlacementPlan } from './placementInput.js'

/** A move must bring more value within this time than it costs. */
const paybackSeconds = 600
/** Value that a move costs beyond what it displaces, in seconds of the displaced value. */
const moveCostSeconds = 30
/** A displaced model must be worth less than this part of the gain, so that two models do not displace each other in turn. */
const displacementRatio = 0.7
/** A copy stays for at least this time after the decision to load it. */
const minimumResidenceMs = 60_000
/**
 * The same if waiting requests need its place, within the usual 60 s of patience of the least urgent rank. At 25 s, engines
 * were empty for half of a rotation: a swap takes up to 26 s.
 */
const minimumForcedResidenceMs = 55_000
/** Capacity is planned up to this part, since bursts and unequal spread need the rest. */
const plannedUtilization = 0.95
/** An engine's step at a full batch, as part of the tightest target for token gaps. */
const fullBatchStepShare = 0.85
const defaultStepMs = 35
/** Time that the requests of an unloaded model need to end, before its place is free. */
const drainMs = 15_000
/** A cold model that the reserve cannot take displaces only copies whose removal leaves less than this part of an engine unserved, since others would rotate through the whole pool. */
const idleLoadShare = 0.05
const idleResidenceMs = 5_000
/** A further copy must serve at least this part of an engine's capacity that is unmet without it. */
const minimumReliefShare = 0.05
const distributionRounds = 4
/** Part of a pool's planned capacity that its demand is scaled down to. */
const servableShare = 0.8
/** Part of a cold model's value that a relocation on its behalf may cost. */
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
  /** Parts of the demand, the most valuable first: queues and engines serve them in this order. */
  parts: DemandPart[]
  waiting: number
  earliestDeadlineMs: number
  /** Demand that the present copies cannot serve. */
  unmet: number
}

interface Replica {
  /** Versioned name. */
  name: string
  model: string
  memoryBytes: number
  ready: boolean
  current: boolean
  /** Tokens per second that the copy serves by the present plan. */
  load: number
}

interface EvictionOptions {
  /** Displaces others whatever their value, after a shorter residence. */
  force: boolean
  /** Displaces only copies that are nearly unused, almost at once. */
  idleOnly?: boolean
}

interface EngineState {
  entry: EngineEntry
  replicas: Replica[]
  /** Bytes for weights, without KV cache and adapters. */
  weightCapacityBytes: number
  /** Bytes of it that are kept for rarely used models. */
  headroomBytes: number
  usedBytes: number
  /** Whether the space of an unloaded model can be used at once; engines that ignore fencing tokens hold it for a while. */
  freesMemoryAtOnce: boolean
  /** Tokens per second, planned. */
  capacity: number
  load: number
  /** Whether models may be loaded and unloaded now. */
  movable: boolean
  /** Whether a move was decided for the engine in this plan. */
  hasMove: boolean
}

/** Decides on moves, at most as many as the weight store can start now. Deterministic. */
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
   * Cuts the demand of a pool down to what its engines can serve, the least valuable parts first: admission sheds them,
   * and no placement can serve them. Otherwise a flood makes every copy look indispensable.
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
        // Tokens are not reported by rank. Their spread by requests counts too many for urgent, which only errs on the safe side.
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
    const copies: Replica[] = entry.models.filter(({ state }) => state !== 'unloading').map(({ name, state, memoryBytes }) => {
      const { model, version } = splitVersionedModel(name)
      return { name, model, memoryBytes, ready: state === 'ready', current: this.config.models[model]?.version === version, load: 0 }
    })
    for (const { engine, model } of this.input.loadsInFlight) {
      if (engine !== entry.engine || copies.some(copy => copy.name === model)) continue
      const { model: name, version } = splitVersionedModel(model)
      const config = this.config.models[name]
      copies.push({ name: model, model: name, memoryBytes: config?.memoryBytes ?? 0, ready: false, current: config?.version === version, load: 0 })
    }
    const gaps = Object.values(this.config.ranks).map(rank => rank.tokenGapMs).filter(gap => gap > 0)
    const stepMs = Math.max(entry.stepMs, gaps.length > 0 ? Math.min(...gaps) * fullBatchStepShare : defaultStepMs)
    const capacity = entry.maxBatch / stepMs * 1000 * plannedUtilization
    const spaceBytes = entry.memoryBytes - entry.kvCacheBytes - (pool?.adapterBytes ?? 0)
    const shownBytes = copies.reduce((sum, copy) => sum + copy.memoryBytes, 0) +
      entry.models.reduce((sum, model) => sum + (model.state === 'unloading' ? model.memoryBytes : 0), 0)
    return {
      entry,
      replicas: copies,
      weightCapacityBytes: spaceBytes,
      headroomBytes: 0,
      // The controller also counts what the status does not show: loads that may still take effect, and held space.
      usedBytes: Math.max(shownBytes, spaceBytes - (entry.freeModelBytes ?? spaceBytes)),
      freesMemoryAtOnce: this.honoursFence(entry),
      capacity,
      load: 0,
      movable: !this.input.refusingEngines?.has(entry.engine) && (this.input.keyValueAvailable || this.honoursFence(entry)) && !entry.models.some(model => model.state === 'unloading'),
      hasMove: false
    }
  }

  private honoursFence (entry: EngineEntry): boolean {
    let honours = this.config.pools[entry.pool]?.honoursFence ?? false
    for (const exception of this.config.exceptions) {
      if (exception.target === `engine.${entry.engine}` && exception.honoursFence !== undefined) honours = exception.honoursFence
    }
    return honours
  }

  /**
   * Concentrates the reserve of a pool on as few engines as hold the largest model, since a reserve spread evenly would
   * hold no whole model. Engines that honour fencing come first: they can swap while the key-value service is down.
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

  /** Copies that serve the model: those of the current version, or old ones while none of it is ready. */
  private servingReplicas (model: string): { engine: EngineState, copy: Replica }[] {
    const all = this.engines.flatMap(engine => engine.replicas.filter(copy => copy.model === model).map(copy => ({ engine, copy })))
    const current = all.filter(({ copy }) => copy.current)
    return current.some(({ copy }) => copy.ready) ? current : all
  }

  /**
   * Spreads each model's demand over its copies so that the engines' loads become as equal as the copies allow, as
   * routing will do. What exceeds an engine's capacity counts as unmet for the models on it.
   */
  private distributeLoad (): void {
    for (const engine of this.engines) {
      engine.load = 0
      for (const copy of engine.replicas) copy.load = 0
    }
    const serving = new Map([...this.demands.values()].map(demand => [demand, this.servingReplicas(demand.name)]))
    for (let round = 0; round < distributionRounds; round++) {
      for (const [demand, copies] of serving) {
        for (const { engine, copy } of copies) engine.load -= copy.load
        copies.sort((left, right) => left.engine.load - right.engine.load)
        fillEvenly(copies, demand.tokensPerSecond)
      }
    }
    for (const [demand, copies] of serving) {
      demand.unmet = copies.length === 0
        ? demand.tokensPerSecond
        : copies.reduce((sum, { engine, copy }) => sum + Math.min(copy.load, Math.max(0, engine.load - engine.capacity)), 0)
    }
  }

  /** Unloads copies of old versions, removed models and bans once the model is ready elsewhere. */
  private unloadObsolete (): void {
    for (const engine of this.engines) {
      if (!engine.movable) continue
      for (const copy of engine.replicas) {
        if (!copy.ready) continue
        const demand = this.demands.get(copy.model)
        const banned = demand?.rules.bans.has(engine.entry.engine) ?? false
        if (demand && copy.current && !banned) continue
        const replaced = !demand || this.engines.some(other => other.replicas.some(candidate => candidate.model === copy.model &&
          candidate.current && candidate.ready && candidate !== copy && !demand.rules.bans.has(other.entry.engine)))
        if (!replaced || engine.hasMove) continue
        this.addMove(engine, undefined, [copy], !demand ? 'model is not configured' : banned ? 'banned here' : 'a newer version is ready')
      }
    }
  }

  /** Loads what the configuration demands: pins, minimum numbers of replicas and new versions. */
  private loadRequired (): void {
    for (const demand of this.demands.values()) {
      for (const pin of demand.rules.pins) {
        const engine = this.engines.find(candidate => candidate.entry.engine === pin)
        if (engine && !this.hasReplica(engine, demand)) this.tryLoad(demand, [engine], 'pinned', { force: true })
      }
      const copies = this.engines.filter(engine => this.hasReplica(engine, demand) && !demand.rules.bans.has(engine.entry.engine)).length
      const old = this.engines.some(engine => engine.replicas.some(copy => copy.model === demand.name && !copy.current && copy.ready))
      const wanted = Math.max(demand.rules.minimumReplicas, old ? 1 : 0)
      for (let count = copies; count < wanted; count++) {
        const reason = count < demand.rules.minimumReplicas ? `below minimum of ${demand.rules.minimumReplicas} replicas` : 'new version'
        if (!this.tryLoad(demand, this.engines, reason, { force: true })) break
      }
    }
  }

  /** Loads models for which requests wait and that have no copy; the earliest deadline first. One load serves all of them. */
  private loadWaitingModels (): void {
    const cold = [...this.demands.values()].filter(demand => demand.waiting > 0 && this.servingReplicas(demand.name).length === 0)
    cold.sort((left, right) => left.earliestDeadlineMs - right.earliestDeadlineMs)
    for (const demand of cold) {
      const slackMs = demand.earliestDeadlineMs - this.input.nowMs
      const due = slackMs < 2 * this.loadTimeMs + drainMs
      const reason = `${demand.waiting} requests wait for it`
      const loaded = this.tryLoad(demand, this.engines, reason, { force: false }) || this.relocateFor(demand) ||
        (due && this.tryLoad(demand, this.headroomEngines(demand.config.pool), reason, { force: true })) ||
        (due && this.tryLoad(demand, this.engines, reason, { force: true, idleOnly: true }))
      if (loaded) this.distributeLoad()
      if (!loaded && due) this.unreachable.push({ model: demand.name, reason: this.loadSlots <= 0 ? 'all load slots of the weight store are in use' : 'no engine can make room' })
    }
  }

  /**
   * Makes adapters reachable for which requests wait and that have no space beside any copy of their base model. Where
   * adapters can be unloaded, they displace those for which nobody waits; otherwise the base model gets a copy there.
   */
  private loadWaitingAdapters (): void {
    const waiting = Object.entries(this.config.adapters).filter(([name]) => (this.input.waiting.get(name)?.count ?? 0) > 0)
    for (const [name, { baseModel, memoryBytes }] of waiting) {
      const bases = this.servingReplicas(baseModel).filter(({ copy }) => copy.ready)
      const isLoaded = bases.some(({ engine }) => engine.entry.adapters.some(adapter => adapter.name === name))
      if (bases.length === 0 || isLoaded || bases.some(({ engine }) => this.freeAdapterBytes(engine) >= memoryBytes)) continue
      const base = bases.find(({ engine }) => engine.freesMemoryAtOnce && !engine.hasMove)
      if (base) this.displaceAdapters(base.engine, base.copy, name)
      else if (!bases.some(({ engine }) => engine.freesMemoryAtOnce)) {
        const others = this.engines.filter(engine => engine.freesMemoryAtOnce)
        const reason = `requests wait for adapter ${name}`
        const demand = this.demands.get(baseModel)!
        if (!this.tryLoad(demand, others, reason, { force: true })) this.tryLoad(demand, others, reason, { force: true, idleOnly: true })
      }
    }
  }

  /** Names the adapters that stay or come, as many as fit; the controller unloads others to make room. */
  private displaceAdapters (engine: EngineState, base: Replica, name: string): void {
    const { adapterBytes } = this.config.pools[engine.entry.pool]!
    const loadAdapters = [{ adapter: name, baseModel: base.name, memoryBytes: this.config.adapters[name]!.memoryBytes }]
    let freeBytes = adapterBytes - loadAdapters[0]!.memoryBytes
    for (const { name: adapter, baseModel, memoryBytes } of engine.entry.adapters) {
      if ((this.input.waiting.get(adapter)?.count ?? 0) === 0 || memoryBytes > freeBytes) continue
      loadAdapters.push({ adapter, baseModel, memoryBytes })
      freeBytes -= memoryBytes
    }
    this.moves.push({ moveId: `${this.input.nowMs}/${engine.entry.engine}/adapter ${name}`, engine: engine.entry.engine, unload: [], loadAdapters, reason: 'requests wait for it' })
    engine.hasMove = true
  }

  private freeAdapterBytes ({ entry }: EngineState): number {
    const freeBytes = (this.config.pools[entry.pool]?.adapterBytes ?? 0) - entry.adapters.reduce((sum, adapter) => sum + adapter.memoryBytes, 0)
    return Math.min(freeBytes, entry.freeAdapterBytes ?? Infinity)
  }

  /**
   * The engines on which waiting requests may displace any model: those of the pool's reserve. Without a reserve these
   * are all; the rotation of a few rarely used models then empties the whole pool in turn.
   */
  private headroomEngines (pool: string): EngineState[] {
    const engines = this.engines.filter(engine => engine.entry.pool === pool)
    const reserve = engines.filter(engine => engine.headroomBytes > 0)
    return reserve.length > 0 ? reserve : engines
  }

  /** Loads further copies as long as one brings clearly more value than it displaces. */
  private loadProfitable (): void {
    const refused = new Set<string>()
    while (this.loadSlots > 0) {
      const candidates = [...this.demands.values()]
        .filter(demand => !refused.has(demand.name) && demand.unmet > 0)
        .sort((left, right) => gainOf(right, right.unmet) / right.config.memoryBytes - gainOf(left, left.unmet) / left.config.memoryBytes)
      const demand = candidates[0]
      if (!demand) return
      if (this.tryLoad(demand, this.engines, `unmet demand of ${Math.round(demand.unmet)} tokens/s`, { force: false })) this.distributeLoad()
      else refused.add(demand.name)
    }
  }

  private hasReplica (engine: EngineState, demand: ModelDemand): boolean {
    return engine.replicas.some(copy => copy.model === demand.name && copy.current)
  }

  /**
   * Loads the model on the engine where it displaces the least value. Without `force`, the gain must exceed what is
   * displaced and repay the move, and the reserve stays free for rarely used models.
   */
  private tryLoad (demand: ModelDemand, engines: readonly EngineState[], reason: string, options: EvictionOptions): boolean {
    if (this.loadSlots <= 0) return false
    const { force } = options
    const copies = this.engines.filter(engine => this.hasReplica(engine, demand)).length
    if (copies >= demand.rules.maximumReplicas) return false
    let best: { engine: EngineState, evicted: Replica[], net: number, atOnce: boolean } | undefined
    for (const engine of engines) {
      if (engine.entry.pool !== demand.config.pool || !engine.movable || engine.hasMove) continue
      if (demand.rules.bans.has(engine.entry.engine) || this.hasReplica(engine, demand)) continue
      const room = this.chooseEvictions(engine, demand, copies, options)
      if (!room) continue
      const freed = room.evicted.reduce((sum, copy) => sum + copy.load, 0)
      const relief = Math.min(demand.unmet, Math.max(0, engine.capacity - engine.load + freed))
      const gain = gainOf(demand, relief)
      if (!force) {
        if (copies > 0 && relief < minimumReliefShare * engine.capacity) continue
        if (room.loss > displacementRatio * gain) continue
        if ((gain - room.loss) * paybackSeconds <= moveCostSeconds * (room.loss + gain * 0.1)) continue
      }
      const net = gain - room.loss
      const atOnce = room.evicted.length === 0 || engine.freesMemoryAtOnce
      if (!best || (atOnce === best.atOnce ? net > best.net : atOnce)) best = { engine, evicted: room.evicted, net, atOnce }
    }
    if (!best) return false
    this.addMove(best.engine, demand, best.evicted, reason)
    return true
  }

  /** The copies whose removal makes room at the least loss of value, or `undefined` if there is no room. */
  private chooseEvictions (engine: EngineState, demand: ModelDemand, copies: number, { force, idleOnly = false }: EvictionOptions): { evicted: Replica[], loss: number } | undefined {
    // A further replica leaves the reserve alone; a model without any copy may use it.
    const limit = engine.weightCapacityBytes - (force || copies === 0 ? 0 : engine.headroomBytes)
    let needed = engine.usedBytes + demand.config.memoryBytes - limit
    if (needed <= 0) return { evicted: [], loss: 0 }
    const removable = engine.replicas.filter(copy => idleOnly ? this.isIdle(engine, copy) : this.removable(engine, copy, force ? minimumForcedResidenceMs : minimumResidenceMs))
      .map(copy => ({ copy, loss: this.lossOf(engine, copy) }))
      .sort((left, right) => left.loss / left.copy.memoryBytes - right.loss / right.copy.memoryBytes)
    const chosen: typeof removable = []
    for (const candidate of removable) {
      if (needed <= 0) break
      chosen.push(candidate)
      needed -= candidate.copy.memoryBytes
    }
    if (needed > 0) return undefined
    // What later choices made superfluous stays.
    for (const candidate of [...chosen].sort((left, right) => right.loss - left.loss)) {
      if (needed + candidate.copy.memoryBytes > 0) continue
      chosen.splice(chosen.indexOf(candidate), 1)
      needed += candidate.copy.memoryBytes
    }
    return { evicted: chosen.map(({ copy }) => copy), loss: chosen.reduce((sum, { loss }) => sum + loss, 0) }
  }

  /**
   * Loads a copy of another model elsewhere, where that displaces next to nothing, so that its present place can be
   * given to `demand` without loss in one of the next plans.
   */
  private relocateFor (demand: ModelDemand): boolean {
    if (this.loadSlots <= 0) return false
    const engines = this.engines.filter(engine => engine.entry.pool === demand.config.pool && engine.movable && !engine.hasMove)
    const acceptedLoss = relocationLossShare * gainOf(demand, demand.unmet)
    let best: { target: EngineState, mover: ModelDemand, evicted: Replica[] } | undefined
    let bestBytes = Infinity
    for (const engine of engines) {
      if (demand.rules.bans.has(engine.entry.engine) || this.hasReplica(engine, demand)) continue
      const removable = engine.replicas.filter(copy => copy.current && this.removable(engine, copy, minimumResidenceMs))
      const superfluous = removable.filter(copy => this.lossOf(engine, copy) <= acceptedLoss)
      const missing = engine.usedBytes + demand.config.memoryBytes - engine.weightCapacityBytes - superfluous.reduce((sum, copy) => sum + copy.memoryBytes, 0)
      for (const copy of removable) {
        const mover = this.demands.get(copy.model)!
        if (superfluous.includes(copy) || copy.memoryBytes < missing || copy.memoryBytes >= bestBytes || mover.rules.minimumReplicas > 0) continue
        for (const target of engines) {
          if (target === engine || mover.rules.bans.has(target.entry.engine) || this.hasReplica(target, mover)) continue
          const room = this.chooseEvictions(target, mover, 1, { force: false })
          if (!room || room.loss > acceptedLoss || room.evicted.some(other => other.model === demand.name)) continue
          ;[best, bestBytes] = [{ target, mover, evicted: room.evicted }, copy.memoryBytes]
          break
        }
      }
    }
    if (!best) return false
    this.addMove(best.target, best.mover, best.evicted, `makes room for ${demand.name}`)
    return true
  }

  /** Whether the copy would hardly be missed and has served the requests that waited for it. */
  private isIdle (engine: EngineState, copy: Replica): boolean {
    return this.uncoveredLoad(engine, copy) < idleLoadShare * engine.capacity && (this.demands.get(copy.model)?.waiting ?? 0) === 0 && this.removable(engine, copy, idleResidenceMs)
  }

  private removable (engine: EngineState, copy: Replica, residenceMs: number): boolean {
    if (!copy.ready || engine.entry.stickyModels?.includes(copy.name)) return false
    const demand = this.demands.get(copy.model)
    if (!demand) return true
    if (demand.rules.pins.has(engine.entry.engine)) return false
    const count = this.engines.filter(other => this.hasReplica(other, demand)).length
    if (copy.current && count <= demand.rules.minimumReplicas) return false
    if (!copy.current && count === 0) return false
    if (!copy.current) return true
    return !this.input.recentMoves.some(move => move.engine === engine.entry.engine && move.model === copy.name &&
      this.input.nowMs - move.atMs < residenceMs)
  }

  /** Value per second that is lost with the copy: the load that the model's other copies cannot take over. */
  private lossOf (engine: EngineState, copy: Replica): number {
    const demand = this.demands.get(copy.model)
    if (!demand) return 0
    const served = demand.tokensPerSecond - demand.unmet
    return valueOf(demand, served) - valueOf(demand, served - this.uncoveredLoad(engine, copy))
  }

  /** Tokens per second of the copy that the model's other copies cannot take over. */
  private uncoveredLoad (engine: EngineState, copy: Replica): number {
    const others = this.servingReplicas(copy.model).filter(other => other.engine !== engine && other.copy.ready)
    const spare = others.reduce((sum, other) => sum + Math.max(0, other.engine.capacity - other.engine.load), 0)
    return Math.max(0, copy.load - spare)
  }

  private addMove (engine: EngineState, demand: ModelDemand | undefined, evicted: Replica[], reason: string): void {
    const load = demand && versionedModel(demand.name, demand.config.version)
    this.moves.push({
      moveId: `${this.input.nowMs}/${engine.entry.engine}/${load ?? evicted[0]?.name ?? ''}`,
      engine: engine.entry.engine,
      ...(demand ? { load: load!, loadBytes: demand.config.memoryBytes } : {}),
      unload: evicted.map(copy => copy.name),
      loadAdapters: [],
      reason
    })
    engine.replicas = engine.replicas.filter(copy => !evicted.includes(copy))
    engine.usedBytes -= evicted.reduce((sum, copy) => sum + copy.memoryBytes, 0)
    engine.hasMove = true
    if (demand) {
      engine.replicas.push({ name: load!, model: demand.name, memoryBytes: demand.config.memoryBytes, ready: false, current: true, load: 0 })
      engine.usedBytes += demand.config.memoryBytes
      this.loadSlots--
    }
  }

  /** Loads adapters next to their base model, the most wanted first, as far as the space for adapters reaches. */
  private loadAdapters (): void {
    const wanted = Object.entries(this.config.adapters).map(([adapter, { baseModel, memoryBytes }]) => ({
      adapter,
      baseModel,
      memoryBytes,
      waiting: this.input.waiting.get(adapter)?.count ?? 0,
      value: this.input.forecasts.get(adapter)?.valuePerSecond ?? 0
    })).sort((left, right) => right.waiting - left.waiting || right.value - left.value || (left.adapter < right.adapter ? -1 : 1))
    for (const engine of this.engines) {
      const { entry, replicas: copies, hasMove: changed } = engine
      if (changed) continue
      let free = this.freeAdapterBytes(engine)
      const loadAdapters: Move['loadAdapters'] = []
      for (const { adapter, baseModel, memoryBytes } of wanted) {
        const base = copies.find(copy => copy.model === baseModel && copy.ready)
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
          reason: 'adapters of a resident base model'
        })
      }
    }
  }
}

/** Value per second of the most valuable part of the demand with this many tokens per second. */
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

/** Value per second of serving this much more of the unmet demand. */
function gainOf (demand: ModelDemand, tokensPerSecond: number): number {
  const served = demand.tokensPerSecond - demand.unmet
  return valueOf(demand, served + tokensPerSecond) - valueOf(demand, served)
}

/** Adds `amount` to the copies, which are ordered by the load of their engines, so that these become equal from below. */
function fillEvenly (copies: readonly { engine: EngineState, copy: Replica }[], amount: number): void {
  let rest = amount
  let level = 0
  let count = 0
  while (count < copies.length) {
    level = copies[count]!.engine.load
    const next = copies[count + 1]?.engine.load ?? Infinity
    count++
    const room = (next - level) * count
    if (room >= rest) {
      level += rest / count
      rest = 0
      break
    }
    rest -= room
  }
  copies.forEach(({ engine, copy }, index) => {
    copy.load = index < count ? Math.max(0, level - engine.load) : 0
    engine.load += copy.load
  })
}
