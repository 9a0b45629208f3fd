/** Plans the placement of a region: collects demand, computes moves by the policy and sends them to the controllers. */

import { repeat } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { rendezvousOrder, rendezvousOwner } from '../base/hash.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { splitVersionedModel } from '../config/fleetConfig.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import type { Forecaster, PlacementInput, PlacementPlan, PlanMoves } from '../policy/placementInput.js'
import type { DemandEntry, EngineEntry, MemberEntry, Move, PeerMessage, PeerMessageOf, PeerNetwork } from '../protocol/messages.js'
import { commandTimeoutMs } from './commandAuthority.js'
import type { CommandResult } from './commandAuthority.js'
import { DemandRelay } from './demandRelay.js'
import { LoadSlots } from './loadSlots.js'
import { packDemand, unpackDemand } from './packing.js'

const planPeriodMs = 2_000
/** Minimum time between plans for waiting requests, since planning a large fleet takes milliseconds. */
const minPlanIntervalMs = 30
/** Delay before a plan, so that it includes reports of other nodes. Requests for models that are not loaded wait this long. */
const coalesceDelayMs = 5
const demandMaxAgeMs = 10_000
/** Placement amortizes the cost of a move over ten minutes (design.md 3.5), so it needs the moves of that time. */
const recentMovesMs = 600_000
const demandTimeoutMs = 2_000
/** Time after which the demand for a model that no engine here can load goes to the next region. */
const regionRotationMs = 10_000
/** Minimum time between forwards of the demand for one model. Two planners would otherwise trigger each other's plans in a loop. */
const forwardPeriodMs = 500
/** Plans exclude an engine for this time after its controller refused a move, for example because it lost control. */
const engineExclusionMs = 3_000
/** Minimum time before a refused move is retried. */
const moveRetryDelayMs = 1_000

export interface PlannerOptions {
  clock: Clock
  random: Random
  log: Log
  self: MemberEntry['name']
  region: string
  members: () => MemberEntry[]
  network: PeerNetwork
  config: () => FleetConfig | undefined
  engines: () => EngineEntry[]
  /** Returns `undefined` if this node does not control the engine. */
  executeLocal: (move: Move) => Promise<CommandResult> | undefined
  keyValueAvailable: () => boolean
  plan: PlanMoves
  forecast: Forecaster
}

interface DemandReport { demand: DemandEntry, atMs: number, forwarded: boolean }
type ModelDemand = DemandEntry['models'][number]

/** Runs on all nodes, but only the node selected by rendezvous hashing plans a region. See design.md 3.5. */
export class Planner {
  private readonly slots: LoadSlots
  private readonly relay: DemandRelay
  private readonly reports = new Map<string, DemandReport>()
  private recentMoves: PlacementInput['recentMoves'] = []
  private readonly moveRefusedAtMs = new Map<string, number>()
  private readonly engineRefusedAtMs = new Map<string, number>()
  /** Keys of moves without a reply, which are not sent again. */
  private readonly pendingMoves = new Set<string>()
  /** Arrivals since the last plan by model, excluding those forwarded by other regions. */
  private readonly arrivals = new Map<string, Pick<ModelDemand, 'arrivals' | 'tokens'>>()
  private cancelPeriod: CancelTimer = () => {}
  private cancelScheduledPlan: CancelTimer | undefined
  private readonly forwardedAtMs = new Map<string, number>()
  /** Models that are logged as unreachable and still are. */
  private readonly loggedUnreachable = new Set<string>()
  private running = false
  private wasPlanner = false
  private plannedAtMs = -Infinity

  constructor (private readonly options: PlannerOptions) {
    this.slots = new LoadSlots(options.clock)
    const { clock, self, region, network } = options
    this.relay = new DemandRelay({ clock, self, region, network, members: () => this.liveMembers(), deliver: sum => this.deliverSum(sum) })
  }

  start (): void {
    this.running = true
    this.cancelPeriod = repeat(this.options.clock, planPeriodMs, () => this.planNow())
  }

  stop (): void {
    this.running = false
    this.cancelPeriod()
    this.cancelScheduledPlan?.()
    this.cancelScheduledPlan = undefined
    this.relay.stop()
  }

  /** Adds this node's demand, or sends it to the planner of the region. */
  reportDemand (demand: DemandEntry): void {
    const planner = this.plannerOf(this.options.region)
    if (planner === this.options.self) return this.addReport(demand, false)
    const direct = planner && this.relay.relayShared(demand)
    if (direct) this.sendDemand(planner, { kind: 'wanted', node: this.options.self, demand: direct })
  }

  private deliverSum (sum: DemandEntry): void {
    const planner = this.plannerOf(this.options.region)
    if (planner === this.options.self) this.addReport(sum, false)
    else if (planner) this.sendDemand(planner, { kind: 'demand', node: sum.node, isSum: true, periodMs: sum.periodMs, packed: packDemand(sum.models) })
  }

  /** Mean time of recent model loads. */
  loadTimeMs (): number {
    return this.slots.loadTimeMs()
  }

  async handle (message: PeerMessage): Promise<PeerMessage | undefined> {
    if (message.kind === 'wanted') {
      if (this.plannedRegions().size === 0) return { kind: 'error', message: `${this.options.self} is not the planner of any region` }
      this.addReport(message.demand, message.forwardedFrom !== undefined)
      return { kind: 'ok' }
    }
    if (message.kind === 'demand') return this.receiveDemand(message)
    if (message.kind !== 'move') return undefined
    const result = await this.options.executeLocal(message.move)
    return { kind: 'moveReply', ...(result ?? { accepted: false, reason: `${this.options.self} does not control ${message.move.engine}` }) }
  }

  private receiveDemand (message: PeerMessageOf<'demand'>): PeerMessage {
    if (!message.isSum) return this.relay.receive(message)
    if (this.plannedRegions().size === 0) return { kind: 'error', message: `${this.options.self} is not the planner of any region` }
    const models = unpackDemand(message.packed)
    if (models instanceof Error) return { kind: 'error', message: models.message }
    this.addReport({ node: message.node, models, periodMs: message.periodMs }, false)
    return { kind: 'ok' }
  }

  private addReport (demand: DemandEntry, forwarded: boolean): void {
    const { clock, forecast } = this.options
    this.reports.set(demand.node, { demand, atMs: clock.nowMs(), forwarded })
    forecast.add(demand, clock.nowMs())
    if (!forwarded) {
      for (const { model, arrivals, tokens } of demand.models) {
        const sum = this.arrivals.get(model) ?? { arrivals: [0, 0, 0], tokens: 0 }
        for (const rank of [0, 1, 2] as const) sum.arrivals[rank] += arrivals[rank]
        sum.tokens += tokens
        this.arrivals.set(model, sum)
      }
    }
    if (demand.models.some(({ model, waiting }) => waiting > 0 && this.isCold(model))) {
      this.schedulePlan(Math.max(coalesceDelayMs, this.plannedAtMs + minPlanIntervalMs - clock.nowMs()))
    }
  }

  private isCold (model: string): boolean {
    if (this.slots.inFlight().some(load => splitVersionedModel(load.model).model === model)) return false
    return !this.plannedEngines().some(engine => engine.reachable && !engine.draining &&
      engine.models.some(loaded => loaded.state === 'ready' && splitVersionedModel(loaded.name).model === model))
  }

  /** Plans after `delayMs`, or at the time that is already set. */
  private schedulePlan (delayMs: number): void {
    if (!this.running || this.cancelScheduledPlan) return
    this.cancelScheduledPlan = this.options.clock.setTimer(delayMs, () => {
      this.cancelScheduledPlan = undefined
      this.planNow()
    })
  }

  private planNow (): void {
    const { clock, config: currentConfig, log } = this.options
    const config = currentConfig()
    const isPlanner = this.plannedRegions().size > 0
    if (this.wasPlanner && !isPlanner) this.reports.clear()
    this.wasPlanner = isPlanner
    if (!isPlanner || !config) return
    const engines = this.plannedEngines()
    this.slots.observe(loadsOf(engines))
    const nowMs = clock.nowMs()
    this.plannedAtMs = nowMs
    this.removeExpired(nowMs)
    let plan: PlacementPlan
    try {
      plan = this.options.plan({
        nowMs,
        config,
        engines,
        forecasts: this.options.forecast.forecasts(nowMs, config),
        waiting: this.waiting(),
        loadsInFlight: this.slots.inFlight().map(({ engine, model }) => ({ engine, model })),
        recentMoves: [...this.recentMoves],
        keyValueAvailable: this.options.keyValueAvailable(),
        refusingEngines: new Set(this.engineRefusedAtMs.keys())
      })
    } catch (error) {
      log('error', 'placement planning failed', { reason: messageOf(error) })
      return
    }
    this.startMoves(plan.moves, engines, config)
    this.forwardUnreachable(plan.unreachable, config)
    this.arrivals.clear()
  }

  private startMoves (moves: Move[], engines: EngineEntry[], config: FleetConfig): void {
    const limits = this.storeLimits(config)
    const byName = new Map(engines.map(engine => [engine.engine, engine]))
    const nowMs = this.options.clock.nowMs()
    let deferred = false
    for (const move of moves) {
      const engine = byName.get(move.engine)
      const refusedAtMs = this.moveRefusedAtMs.get(moveKey(move)) ?? -Infinity
      if (!engine || this.pendingMoves.has(moveKey(move)) || nowMs - refusedAtMs < moveRetryDelayMs) continue
      const { load } = move
      if (load === undefined) {
        this.runInBackground(this.sendMove(move, engine.controller))
        continue
      }
      if (this.slots.inFlight().some(slot => slot.engine === move.engine && slot.model === load)) continue
      const slot = this.slots.acquire({ engine: move.engine, model: load }, limits)
      if (!slot) {
        deferred = true
        continue
      }
      this.runInBackground(this.sendLoad(move, load, slot, engine.controller))
    }
    // Deferred moves are planned again, since demand may change while they wait for a slot.
    if (deferred) this.schedulePlan(Math.min(planPeriodMs, 1_000 / limits.loadsPerSecond))
  }

  private async sendLoad (move: Move, model: string, slot: ReturnType<LoadSlots['inFlight']>[number], controller: string): Promise<void> {
    const recent = { engine: move.engine, model, atMs: slot.startedAtMs }
    this.recentMoves.push(recent)
    const result = await this.sendMove(move, controller)
    this.slots.release(slot, { completed: result.accepted })
    if (!result.accepted) this.recentMoves = this.recentMoves.filter(other => other !== recent)
    // A waiting model can use the released slot.
    if ([...this.waiting().keys()].some(waiting => this.isCold(waiting))) this.schedulePlan(minPlanIntervalMs)
  }

  private async sendMove (move: Move, controller: string): Promise<CommandResult> {
    this.pendingMoves.add(moveKey(move))
    const result = await this.deliver(move, controller).catch(error => ({ accepted: false, reason: messageOf(error) }))
    this.pendingMoves.delete(moveKey(move))
    if (result.accepted) {
      this.moveRefusedAtMs.delete(moveKey(move))
    } else {
      this.moveRefusedAtMs.set(moveKey(move), this.options.clock.nowMs())
      this.engineRefusedAtMs.set(move.engine, this.options.clock.nowMs())
      this.options.log('warn', 'move refused', { moveId: move.moveId, engine: move.engine, load: move.load, reason: result.reason })
    }
    return result
  }

  private async deliver (move: Move, controller: string): Promise<CommandResult> {
    if (controller === this.options.self) {
      return await this.options.executeLocal(move) ?? { accepted: false, reason: `${controller} no longer controls ${move.engine}` }
    }
    const address = this.addressOf(controller)
    if (address === undefined) return { accepted: false, reason: `controller ${controller} of ${move.engine} is not a member` }
    const reply = await this.options.network.request(address, { kind: 'move', move }, { timeoutMs: commandTimeoutMs.load + commandTimeoutMs.unload })
    return reply.kind === 'moveReply' ? reply : { accepted: false, reason: `${controller} replied with ${reply.kind}` }
  }

  /**
   * This planner's share of the weight store's limits. All regions share one store: regions with loads in progress, as
   * shown by the engine entries, divide the limits evenly.
   */
  private storeLimits (config: FleetConfig): { loadsPerSecond: number, loadsInFlight: number } {
    const planned = this.plannedRegions()
    const others = new Set(this.options.engines()
      .filter(engine => !planned.has(engine.region) && engine.models.some(model => model.state === 'loading'))
      .map(engine => engine.region))
    const sharers = 1 + others.size
    return {
      loadsPerSecond: config.fleet.storeLoadsPerSecond / sharers,
      loadsInFlight: Math.max(1, Math.floor(config.fleet.storeLoadsInFlight / sharers))
    }
  }

  /** Forwards demand for models that no engine here can load to the planner of another region with engines of their pool. */
  private forwardUnreachable (unreachable: PlacementPlan['unreachable'], config: FleetConfig): void {
    const planned = this.plannedRegions()
    const waiting = this.waiting({ withForwarded: false })
    const byPlanner = new Map<string, ModelDemand[]>()
    const nowMs = this.options.clock.nowMs()
    const names = new Set(unreachable.map(({ model }) => model))
    for (const model of this.loggedUnreachable) if (!names.has(model)) this.loggedUnreachable.delete(model)
    for (const { model, reason } of unreachable) {
      const waitingDemand = waiting.get(model)
      const pool = config.models[model]?.pool
      if (!waitingDemand || pool === undefined) continue
      const regions = [...new Set(this.options.engines().filter(engine => engine.pool === pool && !planned.has(engine.region)).map(engine => engine.region))]
      const rotation = Math.floor(nowMs / regionRotationMs)
      const region = rendezvousOrder(model, regions)[regions.length > 0 ? rotation % regions.length : 0]
      const planner = region === undefined ? undefined : this.plannerOf(region)
      if (planner === undefined) {
        if (!this.loggedUnreachable.has(model)) this.options.log('warn', 'model unreachable', { model, reason })
        this.loggedUnreachable.add(model)
        continue
      }
      if (nowMs - (this.forwardedAtMs.get(model) ?? -Infinity) < forwardPeriodMs) continue
      this.forwardedAtMs.set(model, nowMs)
      const { arrivals, tokens } = this.arrivals.get(model) ?? { arrivals: [0, 0, 0] as ModelDemand['arrivals'], tokens: 0 }
      const models = byPlanner.get(planner) ?? []
      models.push({ model, arrivals, tokens, waiting: waitingDemand.count, earliestDeadlineMs: waitingDemand.earliestDeadlineMs })
      byPlanner.set(planner, models)
    }
    for (const [planner, models] of byPlanner) {
      // The same node name in every report of a region, so that the next report replaces this one.
      const demand = { node: `region/${this.options.region}`, models, periodMs: planPeriodMs }
      this.sendDemand(planner, { kind: 'wanted', node: this.options.self, demand, forwardedFrom: this.options.region })
    }
  }

  private sendDemand (planner: string, message: PeerMessage): void {
    const address = this.addressOf(planner)
    if (address === undefined) return
    // Not retried: the next report replaces this one.
    this.options.network.request(address, message, { timeoutMs: demandTimeoutMs }).then(
      reply => { if (reply.kind === 'error') this.options.log('warn', 'demand report refused', { planner, reason: reply.message }) },
      error => this.options.log('warn', 'demand report not delivered', { planner, reason: messageOf(error) }))
  }

  /** Waiting requests of all nodes, grouped by model since one load serves all of them. */
  private waiting ({ withForwarded = true } = {}): PlacementInput['waiting'] {
    const result: PlacementInput['waiting'] = new Map()
    for (const { demand, forwarded } of this.reports.values()) {
      if (forwarded && !withForwarded) continue
      for (const { model, waiting, earliestDeadlineMs } of demand.models) {
        if (waiting <= 0) continue
        const known = result.get(model)
        result.set(model, {
          count: waiting + (known?.count ?? 0),
          earliestDeadlineMs: Math.min(earliestDeadlineMs, known?.earliestDeadlineMs ?? Infinity)
        })
      }
    }
    return result
  }

  private removeExpired (nowMs: number): void {
    for (const [node, report] of this.reports) if (nowMs - report.atMs > demandMaxAgeMs) this.reports.delete(node)
    for (const [key, atMs] of this.moveRefusedAtMs) if (nowMs - atMs >= moveRetryDelayMs) this.moveRefusedAtMs.delete(key)
    for (const [engine, atMs] of this.engineRefusedAtMs) if (nowMs - atMs >= engineExclusionMs) this.engineRefusedAtMs.delete(engine)
    this.recentMoves = this.recentMoves.filter(move => nowMs - move.atMs <= recentMovesMs)
  }

  /** Regions that this node plans: its own and those without members, where rendezvous hashing selects it. */
  private plannedRegions (): Set<string> {
    const regions = new Set([this.options.region, ...this.options.engines().map(engine => engine.region)])
    return new Set([...regions].filter(region => this.plannerOf(region) === this.options.self))
  }

  private plannedEngines (): EngineEntry[] {
    const planned = this.plannedRegions()
    return this.options.engines().filter(engine => planned.has(engine.region))
  }

  private plannerOf (region: string): string | undefined {
    const alive = this.liveMembers()
    const regional = alive.filter(member => member.region === region)
    return rendezvousOwner(`planner/${region}`, (regional.length > 0 ? regional : alive).map(member => member.name))
  }

  private liveMembers (): MemberEntry[] {
    return this.options.members().filter(member => member.state === 'alive' || member.state === 'suspect')
  }

  private addressOf (name: string): string | undefined {
    return this.options.members().find(member => member.name === name)?.address
  }

  private runInBackground (task: Promise<unknown>): void {
    task.catch(error => this.options.log('error', 'move failed', { reason: messageOf(error) }))
  }
}

function loadsOf (engines: readonly EngineEntry[]): { engine: string, model: string }[] {
  return engines.flatMap(engine => engine.models.filter(model => model.state === 'loading').map(model => ({ engine: engine.engine, model: model.name })))
}

function moveKey (move: Move): string {
  return [move.engine, move.load ?? '', move.setRole ?? '', ...move.unload, ...move.loadAdapters.map(({ adapter }) => adapter)].join('\u0000')
}
