/** The placement leader: decides which models and adapters engines hold, and sends all commands to them. */

import { repeat, sleep } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import { isOutOfReach } from '../policy/engineReach.js'
import { planReplicas } from '../policy/replicaPlanning.js'
import type { ReplicaEngine, ReplicaMove, ReplicaDemand } from '../policy/replicaPlanning.js'
import { LoadRate } from '../policy/loadRate.js'
import { AdapterPlacement } from './adapterPlacement.js'
import type { BackendServer, ReplicaState } from './backendServer.js'
import { occupiedAdapterSlots, conflictDelayMs } from './controlledEngine.js'
import type { ControlledEngine } from './controlledEngine.js'
import type { Deployment, EngineReport, EngineType, CommandOutcome, Service } from './deployment.js'
import type { EngineClient } from './engineClient.js'
import type { FleetView } from './fleetView.js'
import type { LeaderReport, NodeReport } from './peerMessages.js'

const planIntervalMs = 100
/** Older node reports no longer describe what is running. */
const maxReportAgeMs = 2000
/** Time for the nodes to receive the update that a model is being unloaded and to stop sending it requests. */
const announceDelayMs = 40
/** Delay after the expected end of a load until the engine's report shows the model. */
const confirmDelayMs = 250
/** Interval between state queries while a load is unconfirmed or the engine's state is unknown. */
const stateRetryMs = 300
/** Longest wait for the requests of a model before it is unloaded; streams of usual length end within it. */
const maxDrainMs = 8000
/** An engine's report describes its state this long ago. */
const reportLagMs = 250
/** Attempts of a command that gets no response, before the engine's state is queried. */
const commandAttempts = 3
/** State queries after the expected end of a load before it counts as failed. */
const confirmQueries = 20
/** Time without further moves on an engine after one failed. */
const failedMoveDelayMs = 800
/** An adapter without requests for this long is not expected to be needed again during a load. */
const adapterUseMs = 3000
/** Longest time for which a load is retried while the engine still unloads other models. */
const maxUnloadWaitMs = 12_000

export interface PlacementLeaderOptions {
  clock: Clock
  log: Log
  fleet: FleetView
  engineClient: EngineClient
  deployment: () => Deployment | undefined
  node: string
  fence: number
  /** Time before the first command, since the previous leader may have sent one just before this term. */
  startDelayMs: number
  /** Window over which the weight store's load rate is limited. */
  loadWindowMs: number
  /** Report of this node itself. */
  ownReport: () => NodeReport
  broadcast: (report: LeaderReport) => void
  onCommand?: (action: string, outcome: CommandOutcome) => void
  /** Engines' worth of prefill work expected for the model within `horizonMs`. */
  expectedPrefillEngines: (service: string, model: string, horizonMs: number) => number
  /** Requests for the model expected in progress within `horizonMs` if none had to wait. */
  expectedRunning?: (service: string, model: string, horizonMs: number) => number
  /** Requests for a model within a time at its recent rate; absent where arrivals are not counted. */
  expectedArrivals?: (service: string, model: string, withinMs: number) => number
  /** Called when an engine rejects a command because it has seen a higher fencing token. */
  onSuperseded: () => void
  /** Whether no commands may be sent because the lease may have ended. */
  mustPauseCommands: () => boolean
  /** Called when fewer requests that the leader did not assign are in progress at an engine than before. */
  onLoadReduced?: () => void
  /** Whether adapters without recent requests are disregarded, and surplus replicas weighed by their number, when an engine is chosen for a model. */
  sharesServers?: boolean
}

export class PlacementLeader {
  private readonly options: PlacementLeaderOptions
  private readonly adapters: AdapterPlacement
  private readonly engines = new Map<string, ControlledEngine>()
  private readonly reports = new Map<string, { report: NodeReport, atMs: number, unassigned: Map<string, number> }>()
  /** Requests in progress by engine that the leader did not assign, as the nodes reported them. */
  private readonly unassigned = new Map<string, number>()
  private readonly rates = new Map<string, LoadRate>()
  /** Last time at which a request for a model ran or waited, by `SERVICE/MODEL`. */
  private readonly lastDemand = new Map<string, { atMs: number, rank: number }>()
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
      sendCommand: (control, generation, action, { model, adapter }) => this.sendCommand(control, generation, action, model, adapter),
      queryState: control => this.enqueue(control, () => this.queryState(control)),
      isControlled: control => !this.isStopped && this.engines.get(control.server.entry.id) === control,
      onChanged: () => this.publish()
    })
    this.cancelPlan = repeat(clock, planIntervalMs, () => this.tick(), { onError: error => log('error', 'placement failed', { error: messageOf(error), stack: (error as Error).stack }) })
  }

  /** Ends the term. From now on only the next leader, perhaps this node again, updates the engines' state. */
  stop (): void {
    if (this.isStopped) return
    this.cancelPlan()
    for (const { server, uncommanded } of this.engines.values()) {
      if (uncommanded.load !== undefined) this.deleteLoading(server, uncommanded.load)
      for (const model of uncommanded.unload) this.cancelUnload(server, model)
    }
    this.publish()
    this.isStopped = true
  }

  onReport (report: NodeReport): void {
    const known = this.reports.get(report.node)
    const unassigned = unassignedOf(report)
    this.reports.set(report.node, { report, atMs: this.options.clock.nowMs(), unassigned })
    this.replaceUnassigned(known?.unassigned, unassigned)
    for (const [engine, model, adapter] of report.used) {
      this.engines.get(engine)?.usedAtMs.set(`${model}/${adapter}`, this.options.clock.nowMs())
    }
    for (const id of report.misknown) {
      const control = this.engines.get(id)
      // Makes no decisions for the engine until its state has been queried.
      if (control) control.isSynced = false
    }
    if (report.adapters.length > 0 && this.maySendCommands()) this.loadAdapters()
  }

  /** The state of all engines, for a node that has just connected. */
  fullReport (): LeaderReport {
    return { fence: this.options.fence, hosting: [...this.engines.values()].map(({ server }) => this.replicaRow(server)), running: this.runningRows() }
  }

  private maySendCommands (): boolean {
    return !this.isStopped && !this.options.mustPauseCommands() && this.options.clock.nowMs() - this.startedAtMs >= this.options.startDelayMs
  }

  private tick (): void {
    const { deployment } = this.options
    const services = deployment()?.services ?? []
    this.onReport(this.options.ownReport())
    this.dropOldLoad()
    for (const service of services) if (service.engine) this.trackEngines(service)
    if (this.maySendCommands()) {
      for (const service of services) if (service.engine) this.planService(service, service.engine)
      this.loadAdapters()
    }
    this.publish()
  }

  private trackEngines (service: Service): void {
    for (const server of this.options.fleet.ofService(service.name)) {
      const known = this.engines.get(server.entry.id)
      if (known?.server === server) continue
      const control: ControlledEngine = {
        server,
        isMoving: false,
        uncommanded: { load: undefined, unload: new Set() },
        isBusy: false,
        queue: Promise.resolve(),
        isSynced: false,
        isSyncing: false,
        unanswered: undefined,
        generation: 0,
        pendingAdapters: new Set(),
        retryAtMs: 0,
        usedAtMs: new Map(),
        loadedAtMs: new Map(),
        unloadingAdapters: new Set()
      }
      this.engines.set(server.entry.id, control)
    }
    for (const control of this.engines.values()) {
      const { isGoing, removalAtMs } = control.server
      const nowMs = this.options.clock.nowMs()
      // An engine that this node has ejected is asked too: otherwise one query without an answer would count for as long as the ejection.
      if (control.isSynced || control.isSyncing || nowMs < control.retryAtMs || isGoing || nowMs >= removalAtMs) continue
      control.isSyncing = true
      void this.enqueue(control, () => this.queryState(control)).finally(() => { control.isSyncing = false })
    }
    for (const [id, { server }] of this.engines) if (this.options.fleet.servers.get(id) !== server) this.engines.delete(id)
  }

  /** Runs `action` after the earlier calls to the engine; errors are logged and also reject the returned promise. */
  private enqueue<T> (control: ControlledEngine, action: () => Promise<T>): Promise<T> {
    const result = control.queue.then(action)
    control.queue = result.catch(error => this.options.log('error', 'engine command failed', { engine: control.server.entry.id, error: messageOf(error) }))
    return result
  }

  /** The engine's report, or `undefined` without an answer, which is recorded. */
  private async readReport (control: ControlledEngine): Promise<EngineReport | undefined> {
    const askedAtMs = this.options.clock.nowMs()
    const report = await this.options.engineClient.queryState(control.server)
    control.unanswered = report ? undefined : { firstAtMs: control.unanswered?.firstAtMs ?? askedAtMs, lastAtMs: askedAtMs }
    return report
  }

  /** Queries the engine's state. Returns false if it did not report one or this term has ended. */
  private async queryState (control: ControlledEngine): Promise<boolean> {
    const { server } = control
    const report = await this.readReport(control)
    if (this.isStopped) return false
    if (!report) {
      // Whether a command without a response took effect is unknown until the engine reports.
      control.isSynced = false
      control.retryAtMs = this.options.clock.nowMs() + stateRetryMs
      return false
    }
    this.options.log('info', 'engine state', {
      engine: server.entry.id, orders: report.orderCount, assumedOrders: server.commandCount, isBusy: report.isBusy, models: report.models.map(({ name }) => name)
    })
    if (report.orderCount !== server.commandCount) control.generation++
    if (report.orderCount >= server.commandCount) {
      const present = new Set(report.models.flatMap(({ name, adapters }) => adapters.map(adapter => `${name}/${adapter}`)))
      for (const key of control.unloadingAdapters) if (!present.has(key)) control.unloadingAdapters.delete(key)
    }
    // Drops loads that an earlier leader announced without ever sending the command.
    const isCurrent = server.updateFromReport(report, { isSettled: !control.isMoving && !report.isBusy })
    // A busy engine may still execute a command of an earlier leader, which the report does not show yet.
    control.isSynced = control.isBusy || (isCurrent && !report.isBusy)
    for (const key of control.unloadingAdapters) {
      const [model, adapter] = key.split('/')
      server.replicas.get(model!)?.adapters.delete(adapter!)
    }
    if (report.modelsInMemory.length + report.modelsOnDisk.length > 0) {
      server.entry = { ...server.entry, modelsInMemory: report.modelsInMemory, modelsOnDisk: report.modelsOnDisk }
    }
    if (!control.isSynced) control.retryAtMs = this.options.clock.nowMs() + stateRetryMs
    this.options.fleet.notify()
    return true
  }

  private planService (service: Service, engine: EngineType): void {
    const controls = this.enginesOf(service.name).filter(({ unanswered }) => !isOutOfReach(unanswered))
    const running = this.runningByEngine()
    const moves = planReplicas({
      engines: controls.map(control => this.replicaEngine(control, engine, running.get(control.server.entry.id) ?? new Map())),
      demands: this.demands(service, engine, running),
      prefersManySurplus: this.options.sharesServers ?? false,
      availableStoreLoads: this.rateOf(service.name, engine).available()
    })
    for (const move of moves) {
      this.executeMove(this.engines.get(move.engine)!, engine, move)
        .catch(error => this.options.log('error', 'model move failed', { engine: move.engine, load: move.load, error: messageOf(error) }))
    }
  }

  private enginesOf (service: string): ControlledEngine[] {
    return [...this.engines.values()].filter(({ server }) => server.entry.service === service && !server.isGoing && server.removalAtMs === Infinity)
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

  private replicaEngine (control: ControlledEngine, engine: EngineType, running: Map<string, number>): ReplicaEngine {
    const { server } = control
    const nowMs = this.options.clock.nowMs()
    const modelOf = new Map(engine.models.map(model => [model.name, model]))
    const adaptersMb = [...server.replicas].reduce((sum, [name, { adapters }]) => sum + adapters.size * (modelOf.get(name)?.adapterMb ?? 0), 0)
    return {
      id: server.entry.id,
      adapters: this.options.sharesServers ? recentlyUsedAdapters(control, nowMs) : occupiedAdapterSlots(control),
      isAvailable: control.isSynced && !control.isMoving && server.isPresent && nowMs >= control.retryAtMs,
      weightsMb: engine.weightsMb,
      adaptersMb,
      slots: engine.slots,
      running: [...running.values()].reduce((sum, count) => sum + count, 0),
      replicas: [...server.replicas].map(([name, state]) => ({
        model: name,
        weightsMb: modelOf.get(name)?.weightsMb ?? 0,
        isReady: !state.isLoading,
        isUnloading: state.isUnloading,
        running: running.get(name) ?? 0,
        ageMs: nowMs - (control.loadedAtMs.get(name) ?? -Infinity)
      })),
      loadCostOf: name => loadSource(server, engine, name)
    }
  }

  private demands (service: Service, engine: EngineType, running: Map<string, Map<string, number>>): ReplicaDemand[] {
    const nowMs = this.options.clock.nowMs()
    const counts = new Map<string, { running: number, waiting: number, rank: number }>()
    const countOf = (model: string) => {
      let count = counts.get(model)
      if (!count) counts.set(model, count = { running: 0, waiting: 0, rank: Infinity })
      return count
    }
    for (const { server } of this.enginesOf(service.name)) {
      for (const [model, count] of running.get(server.entry.id) ?? []) countOf(model).running += count
    }
    for (const { report, atMs } of this.reports.values()) {
      if (nowMs - atMs > maxReportAgeMs) continue
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
      if (count && count.running + count.waiting > 0) this.lastDemand.set(key, { atMs: nowMs, rank: count.rank })
      const demand = this.lastDemand.get(key)
      return {
        model: name,
        weightsMb,
        running: count?.running ?? 0,
        waiting: count?.waiting ?? 0,
        rank: demand?.rank ?? Infinity,
        idleMs: demand ? nowMs - demand.atMs : Infinity,
        prefillUtilization: this.options.expectedPrefillEngines(service.name, name, loadMs),
        expectedRunning: this.options.expectedRunning?.(service.name, name, loadMs) ?? 0,
        arrivalsWhileLoading: this.options.expectedArrivals?.(service.name, name, loadMs) ?? 0
      }
    })
  }

  /** Requests in progress from all nodes, by engine and model. */
  private runningByEngine (): Map<string, Map<string, number>> {
    const nowMs = this.options.clock.nowMs()
    const result = new Map<string, Map<string, number>>()
    for (const { report, atMs } of this.reports.values()) {
      if (nowMs - atMs > maxReportAgeMs) continue
      for (const [engine, model, count] of report.running) {
        let models = result.get(engine)
        if (!models) result.set(engine, models = new Map())
        models.set(model, (models.get(model) ?? 0) + count)
      }
    }
    return result
  }

  /** Unloads the models that the move evicts, then loads its model. */
  private async executeMove (control: ControlledEngine, engine: EngineType, move: ReplicaMove): Promise<void> {
    const { server, generation } = control
    const { clock, log } = this.options
    const nowMs = clock.nowMs()
    control.isMoving = true
    const { loadMs } = loadSource(server, engine, move.load)
    if (move.isFromStore) this.rateOf(server.entry.service, engine).take()
    for (const model of move.unload) {
      const state = server.replicas.get(model)
      if (state) state.isUnloading = true
    }
    control.uncommanded = { load: move.load, unload: new Set(move.unload) }
    server.replicas.set(move.load, { readyAtMs: nowMs + loadMs + 2 * announceDelayMs, isLoading: true, isUnloading: false, adapters: new Map() })
    log('info', 'model move', { ...move, engine: server.entry.id, loadMs })
    this.publish()
    try {
      await this.drain(control, move.unload)
      control.isBusy = true
      let isDone = await this.unloadAll(control, generation, move.unload)
      isDone &&= await this.loadModel(control, generation, move, loadMs)
      if (!isDone && !this.isStopped) {
        this.deleteLoading(server, move.load)
        control.isBusy = false
        control.retryAtMs = clock.nowMs() + failedMoveDelayMs
        await this.enqueue(control, () => this.queryState(control))
      }
    } finally {
      control.isMoving = control.isBusy = false
      control.uncommanded = { load: undefined, unload: new Set() }
      this.publish()
    }
  }

  private deleteLoading (server: BackendServer, model: string): void {
    if (server.replicas.get(model)?.isLoading) server.replicas.delete(model)
  }

  private cancelUnload (server: BackendServer, model: string): void {
    const state = server.replicas.get(model)
    if (state) state.isUnloading = false
  }

  /** Waits for the requests of models that will be unloaded: an engine that waits for them itself rejects all other commands. */
  private async drain ({ server }: ControlledEngine, models: readonly string[]): Promise<void> {
    const { clock } = this.options
    if (models.length > 0) await sleep(clock, announceDelayMs)
    const untilMs = clock.nowMs() + maxDrainMs
    const running = () => models.some(model => (this.runningByEngine().get(server.entry.id)?.get(model) ?? 0) > 0)
    while (running() && clock.nowMs() < untilMs && !this.isStopped) await sleep(clock, planIntervalMs)
  }

  private async unloadAll (control: ControlledEngine, generation: number, models: readonly string[]): Promise<boolean> {
    for (const model of models) {
      if (this.isStopped) return false
      const outcome = await this.sendCommand(control, generation, 'unload', model)
      if (outcome !== 'started' && outcome !== 'already-done') {
        if (!this.isStopped) for (const name of [model, ...control.uncommanded.unload]) this.cancelUnload(control.server, name)
        return false
      }
      // The replica stays listed until its last requests end.
    }
    return true
  }

  /** Sends the load command, with retries while the engine still unloads, and waits until the engine reports the model. */
  private async loadModel (control: ControlledEngine, generation: number, { load: model, unload }: ReplicaMove, loadMs: number): Promise<boolean> {
    const { clock, log } = this.options
    const { server } = control
    const untilMs = clock.nowMs() + maxUnloadWaitMs
    const expect = (inMs: number, isLoading = true) => {
      const adapters = server.replicas.get(model)?.adapters ?? new Map()
      server.replicas.set(model, { readyAtMs: clock.nowMs() + inMs, isLoading, isUnloading: false, adapters })
    }
    for (;;) {
      if (this.isStopped) return false
      expect(loadMs)
      const outcome = await this.sendCommand(control, generation, 'load', model)
      if (outcome === 'already-done') break
      if (outcome === 'started') {
        for (const name of unload) server.replicas.delete(name)
        break
      }
      if (outcome !== 'conflict' || control.generation !== generation || clock.nowMs() > untilMs || this.isStopped) return false
      await sleep(clock, conflictDelayMs)
    }
    expect(loadMs)
    this.publish()
    control.loadedAtMs.set(model, clock.nowMs() + loadMs)
    const isShown = () => server.replicas.get(model)?.isLoading === false
    const confirmAtMs = clock.nowMs() + loadMs + confirmDelayMs
    while (clock.nowMs() < confirmAtMs && !isShown()) await sleep(clock, planIntervalMs)
    if (isShown()) return true
    for (let tries = 0; tries < confirmQueries && !this.isStopped && this.options.fleet.servers.get(server.entry.id) === server; tries++) {
      const report = await this.readReport(control)
      if (this.isStopped) return false
      if (report?.models.some(({ name }) => name === model)) {
        expect(0, false)
        return true
      }
      if (report && !report.isBusy && tries > 1) {
        log('warn', 'engine does not report a loaded model', { engine: server.entry.id, model })
        return false
      }
      expect(stateRetryMs)
      this.publish()
      await sleep(clock, stateRetryMs)
    }
    return false
  }

  /** Sends one command. Retries of an unanswered one expect the same command count, so at most one attempt takes effect. */
  private sendCommand (control: ControlledEngine, generation: number, action: 'load' | 'unload', model: string, adapter?: string): Promise<CommandOutcome> {
    return this.enqueue(control, async () => {
      if (control.generation !== generation) return 'conflict'
      // The engine's state has become unknown since the decision: a node may have failed to reach the engine once.
      if (!control.isSynced) {
        await this.queryState(control)
        if (!control.isSynced) return 'unknown'
        if (control.generation !== generation) return 'conflict'
      }
      // The engine restarted under the same ID: decisions for its earlier incarnation are void.
      if (this.engines.get(control.server.entry.id) !== control) return 'gone'
      const { server } = control
      const { engineClient, fence, node, log } = this.options
      let outcome: CommandOutcome = 'unknown'
      let wasUnknown = false
      for (let tries = 0; tries < commandAttempts && outcome === 'unknown'; tries++) {
        if (!this.maySendCommands()) return 'unknown'
        if (adapter === undefined) markCommanded(control, action, model, true)
        outcome = await engineClient.sendCommand(server, { action, model, ...(adapter === undefined ? {} : { adapter }), expectedCommandCount: server.commandCount, holder: node, fence })
        if (outcome === 'unknown') wasUnknown = true
      }
      this.options.onCommand?.(action, outcome)
      log('info', 'engine order', { engine: server.entry.id, action, model, adapter, expected: server.commandCount, fence, outcome })
      if (this.isStopped) return 'unknown'
      const isRefused = !wasUnknown && (outcome === 'conflict' || outcome === 'stale-fence')
      if (isRefused && adapter === undefined) markCommanded(control, action, model, false)
      // An adapter that no request uses is unloaded before the response; the engine counts that command too.
      if (outcome === 'started' || (outcome === 'already-done' && action === 'unload' && adapter !== undefined)) server.onCommandAccepted()
      if (outcome === 'stale-fence') {
        this.stop()
        this.options.onSuperseded()
      }
      if (outcome === 'conflict' || outcome === 'unknown' || outcome === 'gone') {
        // Lets the report catch up with the command.
        await sleep(this.options.clock, reportLagMs)
        const isKnown = await this.queryState(control)
        if (isKnown && wasUnknown && this.hasTakenEffect(control, action, model, adapter)) return 'already-done'
      }
      return outcome
    })
  }

  /** Whether the engine's known state is the one after the command. */
  private hasTakenEffect ({ server, unloadingAdapters }: ControlledEngine, action: 'load' | 'unload', model: string, adapter: string | undefined): boolean {
    const state = server.replicas.get(model)
    const isPresent = adapter === undefined
      ? state !== undefined && !state.isLoading
      : unloadingAdapters.has(`${model}/${adapter}`) || (state?.adapters.has(adapter) ?? false)
    return (action === 'load') === isPresent
  }

  /** Loads the adapters for which requests wait. */
  private loadAdapters (): void {
    const nowMs = this.options.clock.nowMs()
    const services = new Map(this.options.deployment()?.services.map(service => [service.name, service]))
    for (const { report, atMs } of this.reports.values()) {
      if (nowMs - atMs > maxReportAgeMs) continue
      for (const [name, model, adapter] of report.adapters) {
        const engine = services.get(name)?.engine
        if (engine) this.adapters.load({ model, adapter }, this.enginesOf(name), engine)
      }
    }
  }

  /** Broadcasts the engines whose models or adapters changed. */
  private publish (): void {
    if (this.isStopped) return
    const hosting: LeaderReport['hosting'] = []
    for (const { server } of this.engines.values()) {
      const key = replicaKey(server)
      if (this.published.get(server.entry.id) === key) continue
      this.published.set(server.entry.id, key)
      hosting.push(this.replicaRow(server))
    }
    if (hosting.length > 0) {
      this.options.broadcast({ fence: this.options.fence, hosting, running: [] })
      this.options.fleet.notify()
    }
  }

  runningRows (): LeaderReport['running'] {
    return [...this.runningByEngine()].map(([engine, models]) => [engine, [...models.values()].reduce((sum, count) => sum + count, 0)])
  }

  /** Requests in progress at the engine that the leader did not assign. */
  unassignedAt (engine: string): number {
    return this.unassigned.get(engine) ?? 0
  }

  private dropOldLoad (): void {
    const nowMs = this.options.clock.nowMs()
    for (const known of this.reports.values()) {
      if (nowMs - known.atMs <= maxReportAgeMs || known.unassigned.size === 0) continue
      const { unassigned } = known
      known.unassigned = new Map()
      this.replaceUnassigned(unassigned, known.unassigned)
    }
  }

  /** Replaces what a node's last report contributed to the load. */
  private replaceUnassigned (before: ReadonlyMap<string, number> = new Map(), after: ReadonlyMap<string, number>): void {
    for (const [engine, count] of before) this.addUnassigned(engine, -count)
    for (const [engine, count] of after) this.addUnassigned(engine, count)
    if ([...before].some(([engine, count]) => (after.get(engine) ?? 0) < count)) this.options.onLoadReduced?.()
  }

  private addUnassigned (engine: string, change: number): void {
    const count = this.unassignedAt(engine) + change
    if (count > 0) this.unassigned.set(engine, count)
    else this.unassigned.delete(engine)
  }

  /** Shortest time until an engine can have the model: 0 if one has it or if that is not known, else the rest of a load, or a load that starts now. */
  soonestReadyMs (service: string, model: string): number {
    const { clock, deployment, fleet } = this.options
    const nowMs = clock.nowMs()
    const engine = deployment()?.services.find(({ name }) => name === service)?.engine
    if (!engine?.models.some(({ name }) => name === model)) return 0
    let soonestMs = Infinity
    let isAnyOutOfReach = false
    for (const server of fleet.ofService(service)) {
      if (server.isGoing || nowMs >= server.removalAtMs) continue
      const control = this.engines.get(server.entry.id)
      if (isOutOfReach(control?.unanswered)) {
        isAnyOutOfReach = true
        continue
      }
      const state = server.replicas.get(model)
      // It may be loading the model by a command of the last leader, or by one without a response.
      if (!state && server.isPresent && control?.isSynced !== true) return 0
      // An engine that is only unreachable for a while, or whose unload may yet be given up, has it.
      if (state && !(state.isLoading && state.readyAtMs !== Infinity)) return 0
      soonestMs = Math.min(soonestMs, state ? Math.max(0, state.readyAtMs - nowMs) : loadSource(server, engine, model).loadMs)
    }
    // If this node reaches no engine, it may be the one that is cut off, and other nodes may reach them.
    return soonestMs === Infinity && isAnyOutOfReach ? 0 : soonestMs
  }

  private replicaRow (server: BackendServer): LeaderReport['hosting'][number] {
    const nowMs = this.options.clock.nowMs()
    const left = (readyAtMs: number) => Math.max(0, Math.round(readyAtMs - nowMs))
    return [server.entry.id, [...server.replicas].map(([name, state]) => [
      name, left(state.readyAtMs), replicaPhase(state), [...state.adapters].map(([adapter, readyAtMs]) => [adapter, left(readyAtMs)])
    ])]
  }
}

/** Adapters of the engine that requests have used lately, which a load of a model holds up. */
function recentlyUsedAdapters ({ usedAtMs }: ControlledEngine, nowMs: number): number {
  let count = 0
  for (const atMs of usedAtMs.values()) if (nowMs - atMs <= adapterUseMs) count++
  return count
}

/** Requests in progress by engine that the leader did not assign. */
function unassignedOf ({ running, assigned = [] }: NodeReport): Map<string, number> {
  const result = new Map<string, number>()
  for (const [engine, , count] of running) result.set(engine, (result.get(engine) ?? 0) + count)
  for (const [engine, count] of assigned) result.set(engine, (result.get(engine) ?? 0) - count)
  // Negative if an assigned request has not been sent yet.
  for (const [engine, count] of result) if (count <= 0) result.delete(engine)
  return result
}

function loadSource (server: BackendServer, engine: EngineType, name: string): { loadMs: number, isFromStore: boolean } {
  const model = engine.models.find(candidate => candidate.name === name)
  if (!model) return { loadMs: Infinity, isFromStore: true }
  if (server.entry.modelsInMemory.includes(name)) return { loadMs: model.warmLoadMs, isFromStore: false }
  if (server.entry.modelsOnDisk.includes(name)) return { loadMs: model.diskLoadMs, isFromStore: false }
  return { loadMs: model.loadMs, isFromStore: true }
}

/** Records whether the command of a move that loads or unloads `model` may have reached the engine. */
function markCommanded ({ uncommanded }: ControlledEngine, action: 'load' | 'unload', model: string, isOrdered: boolean): void {
  if (action === 'load') uncommanded.load = isOrdered ? undefined : model
  else if (isOrdered) uncommanded.unload.delete(model)
  else uncommanded.unload.add(model)
}

function replicaPhase ({ isLoading, isUnloading }: ReplicaState): 'held' | 'coming' | 'leaving' {
  if (isUnloading) return 'leaving'
  return isLoading ? 'coming' : 'held'
}

/** Differs from the last published key when the nodes need an update about the engine. */
function replicaKey (server: BackendServer): string {
  return JSON.stringify([...server.replicas].map(([name, state]) => [name, Math.round(state.readyAtMs), replicaPhase(state), [...state.adapters]]))
}
