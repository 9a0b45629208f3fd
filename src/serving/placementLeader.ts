/** The placement leader: decides which models and adapters engines hold, and gives all orders. */

import { repeat, sleep } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import { planReplicas } from '../policy/replicaPlanning.js'
import type { ReplicaEngine, ReplicaMove, ReplicaDemand } from '../policy/replicaPlanning.js'
import { LoadRate } from '../policy/loadRate.js'
import { AdapterPlacement } from './adapterPlacement.js'
import type { BackendServer, HostedState } from './backendServer.js'
import { adapterCount, conflictDelayMs } from './controlledEngine.js'
import type { ControlledEngine } from './controlledEngine.js'
import type { Deployment, EngineType, OrderOutcome, Service } from './deployment.js'
import type { EngineCalls } from './engineCalls.js'
import type { FleetView } from './fleetView.js'
import type { LeaderReport, NodeReport } from './peerMessages.js'

const planMs = 100
/** Reports of a node that is older say nothing about what runs now. */
const reportLifeMs = 2000
/** Time in which the nodes hear that a model leaves an engine, so that they stop sending to it. */
const announceMs = 40
/** Time after the expected end of a load at which the engine's report shows it. */
const confirmDelayMs = 250
/** Time after which a load that the engine does not show is expected again. */
const extendMs = 300
/** Streams of usual length end within this time. */
const longestDrainMs = 8000
/** Age of what an engine reports. */
const reportLagMs = 250
/** Orders without an answer are repeated this often before the engine is asked what it holds. */
const orderTries = 3
/** Questions whether a load has ended, before it counts as failed. */
const confirmTries = 20
/** An engine on which a move failed is left alone for this time. */
const failedMoveDelayMs = 800
/** Longest wait for the requests of a model that is being unloaded. */
const unloadWaitMs = 12_000

export interface PlacementLeaderOptions {
  clock: Clock
  log: Log
  fleet: FleetView
  calls: EngineCalls
  deployment: () => Deployment | undefined
  node: string
  fence: number
  /** Time before the first order, since another holder may have given one just before. */
  startDelayMs: number
  /** Window over which the weight store's rate holds. */
  loadWindowMs: number
  /** Report of this node itself. */
  ownReport: () => NodeReport
  broadcast: (report: LeaderReport) => void
  onOrder?: (action: string, outcome: OrderOutcome) => void
  /** Engines that would do nothing but read the model's prompts in `horizonMs`. */
  expectedReadingEngines: (service: string, model: string, horizonMs: number) => number
  /** An engine has seen a higher fence. */
  onDeposed: () => void
  /** Whether orders must wait because the lease may have ended. */
  mustHold: () => boolean
}

export class PlacementLeader {
  private readonly options: PlacementLeaderOptions
  private readonly adapters: AdapterPlacement
  private readonly controls = new Map<string, ControlledEngine>()
  private readonly reports = new Map<string, { report: NodeReport, atMs: number }>()
  private readonly rates = new Map<string, LoadRate>()
  /** Last time at which a request for a model ran or waited, by service and model. */
  private readonly askedAtMs = new Map<string, { atMs: number, rank: number }>()
  private readonly published = new Map<string, string>()
  private isStopped = false
  private cancelPlan: CancelTimer = () => {}
  private readonly startedAtMs: number

  constructor (options: PlacementLeaderOptions) {
    this.options = options
    this.startedAtMs = options.clock.nowMs()
    const { clock, log } = options
    this.adapters = new AdapterPlacement({
      clock,
      order: (control, generation, action, { model, adapter }) => this.order(control, generation, action, model, adapter),
      askAgain: control => this.enqueue(control, () => this.sync(control)),
      isControlled: control => !this.isStopped && this.controls.get(control.server.entry.id) === control,
      onChanged: () => this.publish()
    })
    this.cancelPlan = repeat(clock, planMs, () => this.tick(), { onError: error => log('error', 'placement failed', { error: messageOf(error), stack: (error as Error).stack }) })
  }

  /** Ends the office. What the engines hold belongs to the next one, perhaps of this node, and is not written any more. */
  stop (): void {
    if (this.isStopped) return
    this.cancelPlan()
    for (const { server, unordered } of this.controls.values()) {
      if (unordered.load !== undefined) this.forgetComing(server, unordered.load)
      for (const model of unordered.unload) this.keep(server, model)
    }
    this.publish()
    this.isStopped = true
  }

  onReport (report: NodeReport): void {
    this.reports.set(report.node, { report, atMs: this.options.clock.nowMs() })
    for (const [engine, model, adapter] of report.used) {
      this.controls.get(engine)?.usedAtMs.set(`${model}/${adapter}`, this.options.clock.nowMs())
    }
    for (const id of report.misknown) {
      const control = this.controls.get(id)
      // Nothing is decided for the engine until it has said what it holds.
      if (control) control.isSynced = false
    }
    if (report.adapters.length > 0 && this.mayOrder()) this.loadAdapters()
  }

  /** The state of all engines, for a node that has just connected. */
  fullReport (): LeaderReport {
    return { fence: this.options.fence, hosting: [...this.controls.values()].map(({ server }) => this.hostingRow(server)), running: this.runningRows() }
  }

  private mayOrder (): boolean {
    return !this.isStopped && !this.options.mustHold() && this.options.clock.nowMs() - this.startedAtMs >= this.options.startDelayMs
  }

  private tick (): void {
    const { deployment } = this.options
    const services = deployment()?.services ?? []
    this.onReport(this.options.ownReport())
    for (const service of services) if (service.engine) this.trackEngines(service)
    if (this.mayOrder()) {
      for (const service of services) if (service.engine) this.planService(service, service.engine)
      this.loadAdapters()
    }
    this.publish()
  }

  private trackEngines (service: Service): void {
    for (const server of this.options.fleet.ofService(service.name)) {
      const known = this.controls.get(server.entry.id)
      if (known?.server === server) continue
      const control: ControlledEngine = {
        server,
        isMoving: false,
        unordered: { load: undefined, unload: new Set() },
        isBusy: false,
        queue: Promise.resolve(),
        isSynced: false,
        isSyncing: false,
        generation: 0,
        pendingAdapters: new Set(),
        retryAtMs: 0,
        usedAtMs: new Map(),
        loadedAtMs: new Map(),
        leavingAdapters: new Set()
      }
      this.controls.set(server.entry.id, control)
    }
    for (const control of this.controls.values()) {
      if (control.isSynced || control.isSyncing || this.options.clock.nowMs() < control.retryAtMs || !control.server.isUsable) continue
      control.isSyncing = true
      void this.enqueue(control, () => this.sync(control)).finally(() => { control.isSyncing = false })
    }
    for (const [id, { server }] of this.controls) if (this.options.fleet.servers.get(id) !== server) this.controls.delete(id)
  }

  /** Runs `action` after the earlier calls to the engine. */
  private enqueue<T> (control: ControlledEngine, action: () => Promise<T>): Promise<T> {
    const result = control.queue.then(action)
    control.queue = result.catch(error => this.options.log('error', 'engine order failed', { engine: control.server.entry.id, error: messageOf(error) }))
    return result
  }

  /** Asks the engine what it holds. */
  private async sync (control: ControlledEngine): Promise<boolean> {
    const { server } = control
    const report = await this.options.calls.report(server)
    if (this.isStopped) return false
    if (!report) {
      // Whether an order without answer was carried out is not known until the engine reports.
      control.isSynced = false
      control.retryAtMs = this.options.clock.nowMs() + extendMs
      return false
    }
    this.options.log('info', 'engine state', {
      engine: server.entry.id, orders: report.orderCount, assumedOrders: server.orderCount, isBusy: report.isBusy, models: report.models.map(({ name }) => name)
    })
    if (report.orderCount !== server.orderCount) control.generation++
    if (report.orderCount >= server.orderCount) {
      const present = new Set(report.models.flatMap(({ name, adapters }) => adapters.map(adapter => `${name}/${adapter}`)))
      for (const key of control.leavingAdapters) if (!present.has(key)) control.leavingAdapters.delete(key)
    }
    // What an earlier leader announced and did not order never comes.
    const isCurrent = server.updateFromReport(report, { isSettled: !control.isMoving && !report.isBusy })
    // An order of an earlier leader is under way, whose result the report does not show yet.
    control.isSynced = control.isBusy || (isCurrent && !report.isBusy)
    for (const key of control.leavingAdapters) {
      const [model, adapter] = key.split('/')
      server.hosted.get(model!)?.adapters.delete(adapter!)
    }
    if (report.modelsInMemory.length + report.modelsOnDisk.length > 0) {
      server.entry = { ...server.entry, modelsInMemory: report.modelsInMemory, modelsOnDisk: report.modelsOnDisk }
    }
    if (!control.isSynced) control.retryAtMs = this.options.clock.nowMs() + extendMs
    this.options.fleet.notify()
    return true
  }

  private planService (service: Service, engine: EngineType): void {
    const controls = this.controlsOf(service.name)
    const running = this.runningByEngine()
    const moves = planReplicas({
      engines: controls.map(control => this.hostEngine(control, engine, running.get(control.server.entry.id) ?? new Map())),
      demands: this.needs(service, engine, running),
      availableStoreLoads: this.rateOf(service.name, engine).available()
    })
    for (const move of moves) {
      this.carryOut(this.controls.get(move.engine)!, engine, move)
        .catch(error => this.options.log('error', 'model move failed', { engine: move.engine, load: move.load, error: messageOf(error) }))
    }
  }

  private controlsOf (service: string): ControlledEngine[] {
    return [...this.controls.values()].filter(({ server }) => server.entry.service === service && !server.entry.isDraining && server.leavingAtMs === Infinity)
  }

  private rateOf (service: string, engine: EngineType): LoadRate {
    let rate = this.rates.get(service)
    if (!rate) {
      const { clock, loadWindowMs } = this.options
      rate = new LoadRate({ clock, windowMs: loadWindowMs, loadsPerSecond: engine.storeLoadsPerSecond })
      this.rates.set(service, rate)
    }
    return rate
  }

  private hostEngine (control: ControlledEngine, engine: EngineType, running: Map<string, number>): ReplicaEngine {
    const { server } = control
    const nowMs = this.options.clock.nowMs()
    const modelOf = new Map(engine.models.map(model => [model.name, model]))
    const adaptersMb = [...server.hosted].reduce((sum, [name, { adapters }]) => sum + adapters.size * (modelOf.get(name)?.adapterMb ?? 0), 0)
    return {
      id: server.entry.id,
      adapters: adapterCount(control),
      isAvailable: control.isSynced && !control.isMoving && server.isUsable && nowMs >= control.retryAtMs,
      weightsMb: engine.weightsMb,
      adaptersMb,
      slots: engine.slots,
      running: [...running.values()].reduce((sum, count) => sum + count, 0),
      replicas: [...server.hosted].map(([name, state]) => ({
        model: name,
        weightsMb: modelOf.get(name)?.weightsMb ?? 0,
        isReady: !state.isComing,
        isUnloading: state.isLeaving,
        running: running.get(name) ?? 0,
        ageMs: nowMs - (control.loadedAtMs.get(name) ?? -Infinity)
      })),
      loadCostOf: name => loadOf(server, engine, name)
    }
  }

  private needs (service: Service, engine: EngineType, running: Map<string, Map<string, number>>): ReplicaDemand[] {
    const nowMs = this.options.clock.nowMs()
    const counts = new Map<string, { running: number, waiting: number, rank: number }>()
    const countOf = (model: string) => {
      let count = counts.get(model)
      if (!count) counts.set(model, count = { running: 0, waiting: 0, rank: Infinity })
      return count
    }
    for (const { server } of this.controlsOf(service.name)) {
      for (const [model, count] of running.get(server.entry.id) ?? []) countOf(model).running += count
    }
    for (const { report, atMs } of this.reports.values()) {
      if (nowMs - atMs > reportLifeMs) continue
      for (const [name, model, waiting, rank] of report.waiting) {
        if (name !== service.name) continue
        const count = countOf(model)
        count.waiting += waiting
        count.rank = Math.min(count.rank, rank)
      }
      for (const [, model,, rank] of report.running) countOf(model).rank = Math.min(countOf(model).rank, rank)
      for (const [name, model] of report.missing) if (name === service.name) countOf(model).waiting++
    }
    return engine.models.map(({ name, weightsMb, loadMs }) => {
      const key = `${service.name}/${name}`
      const count = counts.get(name)
      if (count && count.running + count.waiting > 0) this.askedAtMs.set(key, { atMs: nowMs, rank: count.rank })
      const asked = this.askedAtMs.get(key)
      return {
        model: name,
        weightsMb,
        running: count?.running ?? 0,
        waiting: count?.waiting ?? 0,
        rank: asked?.rank ?? Infinity,
        idleMs: asked ? nowMs - asked.atMs : Infinity,
        prefillUtilization: this.options.expectedReadingEngines(service.name, name, loadMs)
      }
    })
  }

  /** Requests in progress from all nodes, by engine and model. */
  private runningByEngine (): Map<string, Map<string, number>> {
    const nowMs = this.options.clock.nowMs()
    const result = new Map<string, Map<string, number>>()
    for (const { report, atMs } of this.reports.values()) {
      if (nowMs - atMs > reportLifeMs) continue
      for (const [engine, model, count] of report.running) {
        let models = result.get(engine)
        if (!models) result.set(engine, models = new Map())
        models.set(model, (models.get(model) ?? 0) + count)
      }
    }
    return result
  }

  /** Unloads what has to make way and loads a model. */
  private async carryOut (control: ControlledEngine, engine: EngineType, move: ReplicaMove): Promise<void> {
    const { server, generation } = control
    const { clock, log } = this.options
    const nowMs = clock.nowMs()
    control.isMoving = true
    const { loadMs } = loadOf(server, engine, move.load)
    if (move.isFromStore) this.rateOf(server.entry.service, engine).take()
    for (const model of move.unload) {
      const state = server.hosted.get(model)
      if (state) state.isLeaving = true
    }
    control.unordered = { load: move.load, unload: new Set(move.unload) }
    server.hosted.set(move.load, { readyAtMs: nowMs + loadMs + 2 * announceMs, isComing: true, isLeaving: false, adapters: new Map() })
    log('info', 'model move', { ...move, engine: server.entry.id, loadMs })
    this.publish()
    try {
      await this.drain(control, move.unload)
      control.isBusy = true
      let isDone = await this.unloadAll(control, generation, move.unload)
      isDone &&= await this.loadModel(control, generation, move, loadMs)
      if (!isDone && !this.isStopped) {
        this.forgetComing(server, move.load)
        control.isBusy = false
        control.retryAtMs = clock.nowMs() + failedMoveDelayMs
        await this.enqueue(control, () => this.sync(control))
      }
    } finally {
      control.isMoving = control.isBusy = false
      control.unordered = { load: undefined, unload: new Set() }
      this.publish()
    }
  }

  private forgetComing (server: BackendServer, model: string): void {
    if (server.hosted.get(model)?.isComing) server.hosted.delete(model)
  }

  private keep (server: BackendServer, model: string): void {
    const state = server.hosted.get(model)
    if (state) state.isLeaving = false
  }

  /** Waits until the requests of models that leave have ended: an engine that waits for them refuses all other orders. */
  private async drain ({ server }: ControlledEngine, models: readonly string[]): Promise<void> {
    const { clock } = this.options
    if (models.length > 0) await sleep(clock, announceMs)
    const untilMs = clock.nowMs() + longestDrainMs
    const running = () => models.some(model => (this.runningByEngine().get(server.entry.id)?.get(model) ?? 0) > 0)
    while (running() && clock.nowMs() < untilMs && !this.isStopped) await sleep(clock, planMs)
  }

  private async unloadAll (control: ControlledEngine, generation: number, models: readonly string[]): Promise<boolean> {
    for (const model of models) {
      if (this.isStopped) return false
      const outcome = await this.order(control, generation, 'unload', model)
      if (outcome !== 'started' && outcome !== 'already-done') {
        if (!this.isStopped) for (const name of [model, ...control.unordered.unload]) this.keep(control.server, name)
        return false
      }
      // The copy stays listed until its last requests end.
    }
    return true
  }

  /** Orders the load, again while the engine still unloads, and waits until the engine shows the model. */
  private async loadModel (control: ControlledEngine, generation: number, { load: model, unload }: ReplicaMove, loadMs: number): Promise<boolean> {
    const { clock, log } = this.options
    const { server } = control
    const untilMs = clock.nowMs() + unloadWaitMs
    const expect = (inMs: number, isComing = true) => {
      const adapters = server.hosted.get(model)?.adapters ?? new Map()
      server.hosted.set(model, { readyAtMs: clock.nowMs() + inMs, isComing, isLeaving: false, adapters })
    }
    for (;;) {
      if (this.isStopped) return false
      expect(loadMs)
      const outcome = await this.order(control, generation, 'load', model)
      if (outcome === 'already-done') break
      if (outcome === 'started') {
        for (const name of unload) server.hosted.delete(name)
        break
      }
      if (outcome !== 'conflict' || control.generation !== generation || clock.nowMs() > untilMs || this.isStopped) return false
      await sleep(clock, conflictDelayMs)
    }
    expect(loadMs)
    this.publish()
    control.loadedAtMs.set(model, clock.nowMs() + loadMs)
    const isShown = () => server.hosted.get(model)?.isComing === false
    const confirmAtMs = clock.nowMs() + loadMs + confirmDelayMs
    while (clock.nowMs() < confirmAtMs && !isShown()) await sleep(clock, planMs)
    if (isShown()) return true
    for (let tries = 0; tries < confirmTries && !this.isStopped && this.options.fleet.servers.get(server.entry.id) === server; tries++) {
      const report = await this.options.calls.report(server)
      if (this.isStopped) return false
      if (report?.models.some(({ name }) => name === model)) {
        expect(0, false)
        return true
      }
      if (report && !report.isBusy && tries > 1) {
        log('warn', 'the engine does not show a loaded model', { engine: server.entry.id, model })
        return false
      }
      expect(extendMs)
      this.publish()
      await sleep(clock, extendMs)
    }
    return false
  }

  /** Gives one order. An order without an answer is repeated with the same count: at most one of them is carried out. */
  private order (control: ControlledEngine, generation: number, action: 'load' | 'unload', model: string, adapter?: string): Promise<OrderOutcome> {
    return this.enqueue(control, async () => {
      if (control.generation !== generation) return 'conflict'
      // What the engine holds has become doubtful since the decision.
      if (!control.isSynced) return 'unknown'
      // The engine has started again under its ID: what was decided for its earlier life does not hold.
      if (this.controls.get(control.server.entry.id) !== control) return 'gone'
      const { server } = control
      const { calls, fence, node, log } = this.options
      let outcome: OrderOutcome = 'unknown'
      let wasUnknown = false
      for (let tries = 0; tries < orderTries && outcome === 'unknown'; tries++) {
        if (!this.mayOrder()) return 'unknown'
        if (adapter === undefined) noteOrdered(control, action, model, true)
        outcome = await calls.order(server, { action, model, ...(adapter === undefined ? {} : { adapter }), expectedOrderCount: server.orderCount, holder: node, fence })
        if (outcome === 'unknown') wasUnknown = true
      }
      this.options.onOrder?.(action, outcome)
      log('info', 'engine order', { engine: server.entry.id, action, model, adapter, expected: server.orderCount, fence, outcome })
      if (this.isStopped) return 'unknown'
      const isRefused = !wasUnknown && (outcome === 'conflict' || outcome === 'stale-fence')
      if (isRefused && adapter === undefined) noteOrdered(control, action, model, false)
      // An engine unloads an adapter that no request uses before it answers, and counts that order too.
      if (outcome === 'started' || (outcome === 'already-done' && action === 'unload' && adapter !== undefined)) server.onOrdered()
      if (outcome === 'stale-fence') {
        this.stop()
        this.options.onDeposed()
      }
      if (outcome === 'conflict' || outcome === 'unknown' || outcome === 'gone') {
        // The report shows the engine as it was a moment ago.
        await sleep(this.options.clock, reportLagMs)
        const isKnown = await this.sync(control)
        if (isKnown && wasUnknown && this.holds(control, action, model, adapter)) return 'already-done'
      }
      return outcome
    })
  }

  private holds ({ server, leavingAdapters }: ControlledEngine, action: 'load' | 'unload', model: string, adapter: string | undefined): boolean {
    const state = server.hosted.get(model)
    const isHeld = adapter === undefined
      ? state !== undefined && !state.isComing
      : leavingAdapters.has(`${model}/${adapter}`) || (state?.adapters.has(adapter) ?? false)
    return (action === 'load') === isHeld
  }

  /** Loads the adapters for which requests wait. */
  private loadAdapters (): void {
    const nowMs = this.options.clock.nowMs()
    const services = new Map(this.options.deployment()?.services.map(service => [service.name, service]))
    for (const { report, atMs } of this.reports.values()) {
      if (nowMs - atMs > reportLifeMs) continue
      for (const [name, model, adapter] of report.adapters) {
        const engine = services.get(name)?.engine
        if (engine) this.adapters.load({ model, adapter }, this.controlsOf(name), engine)
      }
    }
  }

  /** Tells the nodes which engines changed. */
  private publish (): void {
    if (this.isStopped) return
    const hosting: LeaderReport['hosting'] = []
    for (const { server } of this.controls.values()) {
      const key = hostingKey(server)
      if (this.published.get(server.entry.id) === key) continue
      this.published.set(server.entry.id, key)
      hosting.push(this.hostingRow(server))
    }
    if (hosting.length > 0) {
      this.options.broadcast({ fence: this.options.fence, hosting, running: [] })
      this.options.fleet.notify()
    }
  }

  runningRows (): LeaderReport['running'] {
    return [...this.runningByEngine()].map(([engine, models]) => [engine, [...models.values()].reduce((sum, count) => sum + count, 0)])
  }

  private hostingRow (server: BackendServer): LeaderReport['hosting'][number] {
    const nowMs = this.options.clock.nowMs()
    const left = (readyAtMs: number) => Math.max(0, Math.round(readyAtMs - nowMs))
    return [server.entry.id, [...server.hosted].map(([name, state]) => [
      name, left(state.readyAtMs), phaseOf(state), [...state.adapters].map(([adapter, readyAtMs]) => [adapter, left(readyAtMs)])
    ])]
  }
}

function loadOf (server: BackendServer, engine: EngineType, name: string): { loadMs: number, isFromStore: boolean } {
  const model = engine.models.find(candidate => candidate.name === name)
  if (!model) return { loadMs: Infinity, isFromStore: true }
  if (server.entry.modelsInMemory.includes(name)) return { loadMs: model.warmLoadMs, isFromStore: false }
  if (server.entry.modelsOnDisk.includes(name)) return { loadMs: model.diskLoadMs, isFromStore: false }
  return { loadMs: model.loadMs, isFromStore: true }
}

/** Notes whether the part of a move that loads or unloads `model` may have reached the engine. */
function noteOrdered ({ unordered }: ControlledEngine, action: 'load' | 'unload', model: string, isOrdered: boolean): void {
  if (action === 'load') unordered.load = isOrdered ? undefined : model
  else if (isOrdered) unordered.unload.delete(model)
  else unordered.unload.add(model)
}

function phaseOf ({ isComing, isLeaving }: HostedState): 'held' | 'coming' | 'leaving' {
  if (isLeaving) return 'leaving'
  return isComing ? 'coming' : 'held'
}

/** Changes whenever the nodes have to hear of the engine. */
function hostingKey (server: BackendServer): string {
  return JSON.stringify([...server.hosted].map(([name, state]) => [name, Math.round(state.readyAtMs), phaseOf(state), [...state.adapters]]))
}
