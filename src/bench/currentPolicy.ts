/** The decisions of src/policy, run by several nodes and one planner as the daemon runs them. */

import { SeededRandom } from '../base/random.js'
import { ranks, splitVersionedModel, versionedModel } from '../config/fleetConfig.js'
import type { Rank } from '../config/fleetConfig.js'
import type { CacheEvent } from '../external/engine.js'
import { Admission } from '../policy/admission.js'
import { DemandForecast } from '../policy/forecast.js'
import { planMoves } from '../policy/placement.js'
import type { PlacementInput } from '../policy/placementInput.js'
import { RequestQueue } from '../policy/queue.js'
import type { QueueItem } from '../policy/queue.js'
import { RetryBudget, retryDelayMs } from '../policy/retry.js'
import { Router, enginePriorities, guaranteedSharePriority } from '../policy/routing.js'
import type { DemandEntry, EngineEntry, Move } from '../protocol/messages.js'
import type { BenchRequest, EngineModel } from './engineModel.js'
import type { BenchPolicy, World } from './world.js'

/** Load reports by distance, as in design.md 3.2. */
const reportPeriodMs = { zone: 1_000, region: 5_000, crossRegion: 30_000 }
const engineStatusPeriodMs = 500
/** Placement changes are pushed to all nodes within this time. */
const placementDelayMs = 300
const cacheEventDelayMs = 1_000
const planPeriodMs = 1_000
const wantedDelayMs = 200
const pumpPeriodMs = 250
/** Time from dispatch to the first token on an engine that is not overloaded. */
const firstTokenMarginMs = 150

const keptMinimumKeys: Readonly<Record<Rank, string>> = { urgent: 'kept urgent', live: 'kept live', browsing: 'kept browsing' }

interface Item extends QueueItem<Rank> {
  request: BenchRequest
  /** Versioned name of the base model. */
  base: string
  excluded: Set<string>
  attempt: number
}

class Node {
  readonly queue: RequestQueue<Item>
  readonly views: EngineEntry[]
  private readonly placementTimes: number[]
  private readonly admission: Admission
  private readonly router: Router
  private readonly retries: RetryBudget
  private readonly world: World
  private readonly random
  private demand = new Map<string, DemandEntry['models'][number]>()

  constructor (readonly index: number, world: World, private readonly onWanted: () => void, private readonly loadTimeMs: () => number) {
    this.world = world
    const { loop, deployment } = world
    const { config } = deployment
    this.random = new SeededRandom(1000 + index)
    this.queue = new RequestQueue({ clock: loop, ranks, shareOf: rank => config.ranks[rank], yieldingRank: 'browsing' })
    this.admission = new Admission({ clock: loop, config: () => config, nodeCount: () => deployment.nodes.length })
    this.router = new Router({
      clock: loop,
      random: this.random,
      location: deployment.nodes[index]!,
      nodeCount: () => deployment.nodes.length,
      crossRegionPrice: () => config.fleet.crossRegionPrice
    })
    this.retries = new RetryBudget({ clock: loop, share: () => config.fleet.retryBudget })
    this.views = world.engines.map(engine => ({ ...engine.entry }))
    this.placementTimes = world.engines.map(() => 0)
    world.engines.forEach((engine, engineIndex) => {
      const delay = world.delayMs(index, engine)
      const { zone, region } = deployment.delayMs
      const period = delay === zone ? reportPeriodMs.zone : delay === region ? reportPeriodMs.region : reportPeriodMs.crossRegion
      loop.every(period, this.random.next() * period, () => this.receiveReport(engineIndex, engine))
    })
    loop.every(pumpPeriodMs, this.random.next() * pumpPeriodMs, () => this.tick())
  }

  /** The report was read by the controller up to one status period ago. */
  private receiveReport (engineIndex: number, engine: EngineModel): void {
    if (!engine.alive || !this.world.connected(this.index, engine)) return
    const load = engine.load()
    const models = engine.entry.models.map(model => ({ ...model }))
    const adapters = engine.entry.adapters.map(adapter => ({ ...adapter }))
    this.world.loop.setTimer(this.random.next() * engineStatusPeriodMs, () => {
      this.applyLoad(engineIndex, load)
      this.applyPlacement(engineIndex, { models, adapters, changedAtMs: load.reportedAtMs })
    })
  }

  applyLoad (engineIndex: number, load: { running: number, queued: number, stepMs: number, reportedAtMs: number }): void {
    const view = this.views[engineIndex]!
    if (load.reportedAtMs >= view.reportedAtMs) Object.assign(view, load)
  }

  /** Placement arrives by reports and by pushes, in any order; the latest holds. */
  applyPlacement (engineIndex: number, { models, adapters, changedAtMs }: Pick<EngineEntry, 'models' | 'adapters'> & { changedAtMs: number }): void {
    if (changedAtMs < this.placementTimes[engineIndex]!) return
    this.placementTimes[engineIndex] = changedAtMs
    Object.assign(this.views[engineIndex]!, { models, adapters })
  }

  applyCacheEvent (engine: string, event: CacheEvent): void {
    this.router.onCacheEvents(engine, [event], true)
  }

  onArrival (request: BenchRequest): void {
    const { loop, terms: allTerms } = this.world
    const terms = allTerms[request.index]!
    const item: Item = {
      requestId: String(request.index),
      rank: terms.rank,
      customer: request.customer,
      customerWeight: terms.customerWeight,
      model: request.adapter ?? request.model,
      deadlineMs: request.arrivalMs + terms.patienceMs,
      enqueuedAtMs: loop.nowMs(),
      costTokens: request.outputTokens,
      ...(terms.firstTokenMs > 0 ? { targetAtMs: request.arrivalMs + terms.firstTokenMs - firstTokenMarginMs } : {}),
      request,
      base: versionedModel(request.model, this.world.deployment.config.models[request.model]!.version),
      excluded: new Set(),
      attempt: 0
    }
    this.retries.onRequest()
    this.countDemand(item)
    const decision = this.admission.decide(item, {
      queue: this.queue as unknown as RequestQueue<QueueItem<Rank>>, engines: this.views, loadTimeMs: this.loadTimeMs()
    })
    if (!decision.admitted) {
      this.world.giveUp(request, 'shed')
      return
    }
    if (decision.reason === 'waits for a model load') this.onWanted()
    this.queue.add(item)
    this.pump(new Set([item.model]))
  }

  takeDemand (periodMs: number): DemandEntry {
    const models = [...this.demand.values()]
    this.demand = new Map()
    return { node: String(this.index), models, periodMs }
  }

  private countDemand (item: Item): void {
    const entry = this.demand.get(item.model) ?? { model: item.model, arrivals: [0, 0, 0], waiting: 0, tokens: 0, earliestDeadlineMs: 0 }
    this.demand.set(item.model, entry)
    entry.arrivals[ranks.indexOf(item.rank)]!++
    entry.tokens += item.costTokens
  }

  private tick (): void {
    const nowMs = this.world.loop.nowMs()
    for (const item of this.queue.removeExpired(nowMs)) this.world.giveUp(item.request, 'lost')
    this.views.forEach((view, index) => { view.reachable = this.world.seenReachable(this.index, this.world.engines[index]!) })
    this.pump()
  }

  /** Dispatches what can be; `models` are those for which something has changed, all if absent. */
  private pump (models?: ReadonlySet<string>): void {
    if (this.world.isLost(this.index) || this.queue.size() === 0) return
    let chosen = ''
    // What was refused once in this call is still refused after another dispatch.
    const blocked = new Map<string, Set<string>>()
    for (;;) {
      const item = this.queue.next(candidate => {
        const rank = candidate.late ? 'browsing' : candidate.rank
        const key = candidate.usesGuaranteedShare ? keptMinimumKeys[rank] : rank
        let blockedModels = blocked.get(key)
        if (!blockedModels) blocked.set(key, blockedModels = new Set())
        if (blockedModels.has(candidate.model)) return 'model-blocked'
        const decision = this.router.choose({
          requestId: candidate.requestId,
          model: candidate.base,
          ...(candidate.request.adapter === undefined ? {} : { adapter: candidate.request.adapter }),
          prompt: candidate.request.prefix,
          rank,
          promptBytes: (candidate.request.prefixTokens + candidate.request.uniqueTokens) * 4,
          excludeEngines: candidate.excluded,
          usesGuaranteedShare: candidate.usesGuaranteedShare ?? false
        }, this.views)
        if (decision.kind === 'engine') {
          chosen = decision.engine
          return true
        }
        if (candidate.excluded.size > 0) return false
        blockedModels.add(candidate.model)
        return 'model-blocked'
      }, models)
      if (!item) return
      this.dispatch(item, chosen)
    }
  }

  private dispatch (item: Item, engineName: string): void {
    const { loop, engines } = this.world
    const engineIndex = this.views.findIndex(view => view.engine === engineName)
    const engine = engines[engineIndex]!
    const attemptId = `${item.requestId}/${item.attempt++}`
    const startMs = loop.nowMs()
    const priority = item.usesGuaranteedShare ? guaranteedSharePriority : enginePriorities[item.late ? 'browsing' : item.rank]
    this.router.onDispatched(engineName, attemptId, item.costTokens)
    // Replies of engines carry their load.
    const reply = () => {
      this.applyLoad(engineIndex, engine.load())
      const { models, adapters } = this.views[engineIndex]!
      if (this.queue.size() > 0) this.pump(new Set([...models.map(model => splitVersionedModel(model.name).model), ...adapters.map(adapter => adapter.name)]))
    }
    this.world.dispatch(this.index, engine, item.request, item.base, priority, {
      onFirstToken: () => {
        this.router.onFirstToken(engineName, attemptId, loop.nowMs() - startMs)
        reply()
      },
      onEnd: () => {
        this.router.onEnded(engineName, attemptId, 'ok')
        this.admission.onCompleted({ rank: item.rank, model: item.model, serviceMs: loop.nowMs() - startMs, tokens: item.costTokens })
        reply()
      },
      onFailed: notRun => {
        this.router.onEnded(engineName, attemptId, notRun ? 'cancelled' : 'failed')
        item.excluded.add(engineName)
        this.retry(item)
      }
    })
  }

  /** All requests of the bench are idempotent, so that a failed one may run again. */
  private retry (item: Item): void {
    const { loop } = this.world
    if (loop.nowMs() >= item.deadlineMs || !this.retries.tryRetry()) {
      this.world.giveUp(item.request, 'lost')
      return
    }
    loop.setTimer(retryDelayMs(this.random, item.attempt), () => {
      if (item.attempt > 2) item.excluded.clear()
      this.queue.add(item)
      this.pump()
    })
  }
}

/** One planner, or one for each side while the regions are parted. */
class BenchPlanner {
  private readonly forecast = new DemandForecast()
  private loadsInFlight: { engine: string, model: string }[] = []
  private recentMoves: PlacementInput['recentMoves'] = []
  private wantedTimer = false
  private lastDemandMs = 0
  /** Moving average of the time from the decision to the ready model. */
  loadTimeMs: number

  constructor (private readonly world: World, private readonly nodes: readonly Node[], private readonly inScope: (region: string) => boolean) {
    const { loop } = world
    this.loadTimeMs = world.deployment.meanLoadMs
    loop.every(planPeriodMs, planPeriodMs, () => this.plan())
  }

  /** A node asks for a model that no engine has. */
  wanted (): void {
    if (this.wantedTimer) return
    this.wantedTimer = true
    this.world.loop.setTimer(wantedDelayMs, () => {
      this.wantedTimer = false
      this.plan()
    })
  }

  private plan (): void {
    const { loop, engines, deployment } = this.world
    const nowMs = loop.nowMs()
    const nodes = this.nodes.filter(node => this.inScope(deployment.nodes[node.index]!.region))
    for (const node of nodes) this.forecast.add(node.takeDemand(nowMs - this.lastDemandMs), nowMs)
    this.lastDemandMs = nowMs
    const waiting: PlacementInput['waiting'] = new Map()
    for (const node of nodes) {
      for (const [model, { count, earliestDeadlineMs }] of node.queue.waitingByModel()) {
        const known = waiting.get(model)
        waiting.set(model, {
          count: (known?.count ?? 0) + count, earliestDeadlineMs: Math.min(known?.earliestDeadlineMs ?? Infinity, earliestDeadlineMs)
        })
      }
    }
    this.recentMoves = this.recentMoves.filter(move => nowMs - move.atMs < 600_000)
    const { moves } = planMoves({
      nowMs,
      config: deployment.config,
      engines: engines.filter(engine => engine.alive && this.inScope(engine.entry.region)).map(engine => ({ ...engine.entry, ...engine.load() })),
      forecasts: this.forecast.forecasts(nowMs, deployment.config),
      waiting,
      loadsInFlight: this.loadsInFlight,
      recentMoves: this.recentMoves,
      keyValueAvailable: !this.world.faultActive('kv-outage')
    })
    for (const move of moves) this.execute(move, nowMs)
  }

  private execute (move: Move, nowMs: number): void {
    const { engines, deployment, random } = this.world
    const engine = engines.find(candidate => candidate.entry.engine === move.engine)!
    engine.makeAdapterRoom(move.loadAdapters, deployment.config.pools[engine.entry.pool]!.adapterBytes)
    for (const { adapter, baseModel, memoryBytes } of move.loadAdapters) engine.loadAdapter(adapter, baseModel, memoryBytes, 10 + 20 * random.next())
    if (move.load !== undefined) {
      const inFlight = { engine: move.engine, model: move.load }
      this.loadsInFlight.push(inFlight)
      this.recentMoves.push({ ...inFlight, atMs: nowMs })
      this.world.countMove()
      this.world.loop.setTimer(deployment.delayMs.crossRegion, () => engine.swap(move.unload, move.load, move.loadBytes ?? 0, () => {
        this.loadTimeMs += 0.2 * (this.world.loop.nowMs() - nowMs - this.loadTimeMs)
        this.loadsInFlight = this.loadsInFlight.filter(other => other !== inFlight)
      }))
    } else if (move.unload.length > 0) {
      engine.swap(move.unload, undefined, 0, () => {})
    }
  }
}

export class CurrentPolicy implements BenchPolicy {
  private readonly nodes: Node[]
  private readonly world: World
  private readonly planners: BenchPlanner[]

  constructor (world: World) {
    this.world = world
    this.nodes = world.deployment.nodes.map((_, index) => new Node(index, world, () => { for (const planner of this.planners) planner.wanted() }, () => this.planners[0]!.loadTimeMs))
    const parted = world.deployment.nodes[2]!.region
    const isParted = () => world.faultActive('regions-parted')
    this.planners = [
      new BenchPlanner(world, this.nodes, region => !isParted() || region !== parted),
      ...(world.workload.fault?.kind === 'regions-parted'
        ? [new BenchPlanner(world, this.nodes, region => isParted() && region === parted)]
        : [])
    ]
  }

  onArrival (request: BenchRequest): void {
    this.nodes[request.node]!.onArrival(request)
  }

  onEngineChanged (engine: EngineModel): void {
    const index = this.world.engines.indexOf(engine)
    const changedAtMs = this.world.loop.nowMs()
    const models = engine.entry.models.map(model => ({ ...model }))
    const adapters = engine.entry.adapters.map(adapter => ({ ...adapter }))
    this.world.loop.setTimer(placementDelayMs, () => {
      for (const node of this.nodes) {
        if (!this.world.connected(node.index, engine)) continue
        node.applyPlacement(index, { models, adapters, changedAtMs })
      }
    })
  }

  onCacheChanged (engine: EngineModel, event: CacheEvent): void {
    this.world.loop.setTimer(cacheEventDelayMs, () => {
      for (const node of this.nodes) node.applyCacheEvent(engine.entry.engine, event)
    })
  }
}
