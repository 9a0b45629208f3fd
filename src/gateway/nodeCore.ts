/** One node of teaselrill without sockets: everything outside is passed in. */

import { match } from 'ts-pattern'
import { repeat, sleep } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { parseOnce } from '../base/parseOnce.js'
import { parseFleetConfig } from '../config/parseFleetConfig.js'
import { FindingsError, hasErrors } from '../base/findings.js'
import { propose } from '../config/proposal.js'
import { ConfigDistribution } from '../fleet/configDistribution.js'
import type { ConfigDistributionOptions } from '../fleet/configDistribution.js'
import { ControlAssignment } from '../fleet/controlAssignment.js'
import { Dissemination } from '../fleet/dissemination.js'
import { EntryTable } from '../fleet/entryTable.js'
import { EngineControl } from '../fleet/engineControl.js'
import { IdempotencyStore } from '../fleet/idempotencyStore.js'
import { ObservedKeyValueStore } from '../fleet/observedKeyValueStore.js'
import { Membership } from '../fleet/membership.js'
import { Planner } from '../fleet/planner.js'
import { ServiceMonitor } from '../fleet/serviceMonitor.js'
import { VmDirectory } from '../fleet/vmDirectory.js'
import { CeilingLimiter } from '../policy/ceiling.js'
import { Admission } from '../policy/admission.js'
import { DemandForecast } from '../policy/forecast.js'
import { planMoves } from '../policy/placement.js'
import { RequestQueue } from '../policy/queue.js'
import { RetryBudget } from '../policy/retry.js'
import { Router } from '../policy/routing.js'
import { engineEntrySchema } from '../protocol/messages.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { ranks } from '../config/fleetConfig.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import type { ProposalResult } from '../config/proposal.js'
import type { EngineApi } from '../external/engine.js'
import type { KeyValueStore } from '../external/keyValueStore.js'
import type { ServiceApi } from '../external/service.js'
import type { Vm, VmList } from '../external/vmList.js'
import type { EngineEntry, PeerMessage, PeerNetwork } from '../protocol/messages.js'
import { accountFilter } from './account.js'
import type { OnFinished } from './account.js'
import { BurnRecorder, RequestMeasure } from './burn.js'
import { classifyFilter } from './classify.js'
import { deduplicateFilter } from './deduplicate.js'
import { DemandMeter } from './demandMeter.js'
import { composeFilters } from './exchange.js'
import type { CallerRequest, CallerResponse, Exchange, Filter } from './exchange.js'
import { FleetReports } from './fleetReports.js'
import { identifyFilter } from './identify.js'
import { inferenceFilter } from './inference.js'
import { listModelsFilter } from './listModels.js'
import type { NodeFilters, NodeParts } from './nodeParts.js'
import { ProblemError, problemResponse } from './problem.js'
import { rateLimitFilter } from './rateLimit.js'
import { Scheduler } from './scheduler.js'
import { serviceFilter } from './serviceCalls.js'
import { TraceStore } from './trace.js'

export interface NodeIdentity {
  name: string
  region: string
  availabilityZone: string
  /** `IP:PORT` of the peers' port as other nodes reach it. */
  peersAddress: string
}

export interface NodeCoreOptions {
  clock: Clock
  random: Random
  log: Log
  identity: NodeIdentity
  /** Addresses of peers from the settings. */
  seeds: readonly string[]
  network: PeerNetwork
  keyValueStore: KeyValueStore
  vmList: VmList
  engineApi: (engine: string, address: string) => EngineApi
  serviceApi: (server: string, address: string) => ServiceApi
  newId: () => string
  onFinished?: OnFinished
  parts?: NodeParts
}

/** Time for which a leaving node still takes new requests, since the balancer learns of it with a delay. */
export const drainNoticeMs = 3_000
const flushTimeoutMs = 10_000
const demandPeriodMs = 2_000
// At 340 idle nodes the probes are 11 reads/s of the service's 2,000.
const keyValueProbePeriodMs = 30_000
/** A waiting request is reported again after this time, with the demand since. */
const wantedPeriodMs = 500
const maxCachePolls = 4
// A node that takes callers before it has seen the servers' state sends work to those that drain.
const firstLookMs = 1_000
// Requests that wait read all entries each 25 ms; at 600 engines a check of each would take longer than that.
const parseEngineEntry = parseOnce(engineEntrySchema)

/** Assembles the parts of a node. `start` must be called before requests are handled. */
export class NodeCore {
  readonly membership: Membership
  readonly dissemination: Dissemination
  readonly configDistribution: ConfigDistribution
  readonly assignment: ControlAssignment
  readonly planner: Planner
  readonly traces: TraceStore
  readonly burn: BurnRecorder
  readonly reports: FleetReports
  private readonly options: NodeCoreOptions
  private readonly vmDirectory: VmDirectory
  private readonly engineTable: EntryTable<EngineEntry>
  private readonly serviceMonitor: ServiceMonitor
  private readonly scheduler: Scheduler
  private readonly idempotency: IdempotencyStore
  private readonly demand: DemandMeter
  private readonly handleExchange: (exchange: Exchange) => Promise<void>
  private readonly engineApis = new Map<string, EngineApi>()
  private readonly serviceApis = new Map<string, ServiceApi>()
  private readonly timers: CancelTimer[] = []
  private readonly cacheSequence = new Map<string, number>()
  private inProgress = 0
  private state: 'starting' | 'ready' | 'leaving' = 'starting'
  private refusesAfterMs = Infinity
  private readonly keyValueStore: ObservedKeyValueStore
  /** Models for which requests waited at the last report to the planner. */
  private reportedWaiting = new Set<string>()
  private reportedWaitingAtMs = -Infinity
  /** Engines by the time of their last use, the latest last. */
  private readonly recentEngines = new Set<string>()

  constructor (options: NodeCoreOptions) {
    this.options = options
    const { clock, random, log, identity, network } = options
    const keyValueStore = new ObservedKeyValueStore(clock, options.keyValueStore)
    this.keyValueStore = keyValueStore
    const base = { clock, random, log, network }
    const seeds = () => this.seeds()
    const self = { ...identity, address: identity.peersAddress }
    this.traces = new TraceStore(clock)
    this.burn = new BurnRecorder(clock)
    this.dissemination = new Dissemination({ ...base, location: identity, members: () => this.membership.alive() })
    this.engineTable = new EntryTable(this.dissemination, 'engine/', engineEntrySchema)
    this.membership = new Membership({
      ...base,
      self,
      seeds,
      onEntries: entries => this.dissemination.merge(entries),
      piggyback: () => []
    })
    const { parts = {} } = options
    const configOptions: ConfigDistributionOptions = {
      ...base,
      keyValueStore,
      members: () => this.membership.members(),
      self: identity.name,
      selfAddress: identity.peersAddress,
      parse: parseAccepted,
      seeds
    }
    this.configDistribution = parts.createConfigDistribution?.(configOptions) ?? new ConfigDistribution(configOptions)
    this.reports = new FleetReports({
      node: identity.name,
      network,
      members: () => this.membership.members(),
      traces: this.traces,
      burn: this.burn,
      objectives: () => Object.fromEntries(Object.entries(this.config().ranks).map(([rank, { objective }]) => [rank, objective])),
      status: () => this.status()
    })
    this.vmDirectory = new VmDirectory({ clock, log, vmList: options.vmList, entries: this.dissemination, self: identity, alive: () => this.membership.alive() })
    this.serviceMonitor = new ServiceMonitor({
      clock,
      entries: this.dissemination,
      self: identity,
      alive: () => this.membership.alive(),
      vms: () => this.vmDirectory.vms(),
      serviceApi: vm => this.serviceApi(vm.name, vm.address)
    })
    this.assignment = new ControlAssignment({
      ...base,
      self: identity.name,
      selfAddress: identity.peersAddress,
      members: () => this.membership.alive(),
      vms: () => this.vmDirectory.vms().filter(({ kind }) => kind === 'engine'),
      publishedController: engine => this.engineEntry(engine)?.controller,
      createControl: vm => this.createControl(vm)
    })
    this.planner = new Planner({
      clock,
      random,
      log,
      network,
      self: identity.name,
      region: identity.region,
      members: () => this.membership.alive(),
      config: () => this.configDistribution.current(),
      engines: () => this.engineEntries().filter(({ region }) => region === identity.region),
      executeLocal: move => this.assignment.control(move.engine)?.execute(move),
      keyValueAvailable: () => this.keyValueStore.available(),
      plan: planMoves,
      forecast: new DemandForecast()
    })
    this.demand = new DemandMeter(clock, identity.name)
    this.idempotency = new IdempotencyStore({
      clock, log, keyValueStore, node: identity.name, retentionMs: () => this.config().fleet.idempotencyRetentionMs, newId: options.newId
    })
    const retryBudget = new RetryBudget({ clock, share: () => this.config().fleet.retryBudget })
    this.scheduler = new Scheduler({
      clock,
      log,
      queue: new RequestQueue({ clock, ranks, shareOf: rank => this.config().ranks[rank], yieldingRank: 'browsing' }),
      admission: new Admission({ clock, config: () => this.config(), nodeCount: () => this.readyNodes() }),
      router: new Router({ clock, random, location: identity, nodeCount: () => this.readyNodes(), crossRegionPrice: () => this.config().fleet.crossRegionPrice }),
      config: () => this.config(),
      engines: () => this.routableEngines(),
      engineApi: entry => {
        this.recentEngines.delete(entry.engine)
        this.recentEngines.add(entry.engine)
        return this.engineApi(entry.engine, entry.address)
      },
      loadTimeMs: () => this.planner.loadTimeMs(),
      onWanted: () => this.reportWanted()
    })
    const config = () => this.config()
    const filters: NodeFilters = {
      account: accountFilter(log, this.burn, options.onFinished ?? (() => {})),
      identify: identifyFilter(config),
      classify: classifyFilter(config),
      rateLimit: rateLimitFilter(new CeilingLimiter(clock, () => this.readyNodes())),
      listModels: listModelsFilter(config),
      deduplicate: deduplicateFilter(clock, this.idempotency),
      demand: this.demandFilter(),
      service: serviceFilter({
        clock,
        random,
        retryBudget,
        location: identity,
        servers: service => parts.routableServers?.(service, this.vmDirectory.vms()) ?? this.serviceMonitor.servers(service),
        serviceApi: entry => this.serviceApi(entry.server, entry.address)
      }),
      inference: inferenceFilter({ clock, random, scheduler: this.scheduler, retryBudget, newId: options.newId })
    }
    this.handleExchange = composeFilters(parts.orderFilters?.(filters) ?? Object.values(filters))
  }

  /** Joins the fleet. Resolves once a configuration is in force, from which time requests are handled. */
  async start (): Promise<void> {
    const { clock, identity } = this.options
    this.configDistribution.onApplied(config => {
      this.membership.setConfigVersion(config.version)
      this.scheduler.schedulePump()
    })
    this.dissemination.onChange((key, value) => {
      if (!key.startsWith('engine/')) return
      this.scheduler.schedulePump()
      if (value === undefined) this.forgetEngine(key.slice('engine/'.length))
    })
    this.membership.start()
    this.dissemination.start()
    this.timers.push(repeat(clock, keyValueProbePeriodMs, () => this.keyValueStore.probe(keyValueProbePeriodMs)))
    await this.configDistribution.start()
    if (this.isLeaving()) return
    const looked = this.vmDirectory.start().then(() => this.serviceMonitor.checkAll())
    this.serviceMonitor.start()
    this.assignment.start()
    this.planner.start()
    this.scheduler.start()
    this.timers.push(repeat(clock, demandPeriodMs, () => this.reportDemand()))
    this.timers.push(repeat(clock, demandPeriodMs, () => this.readCacheEvents()))
    await Promise.race([looked, sleep(clock, firstLookMs)])
    if (this.isLeaving()) return
    this.state = 'ready'
    this.membership.setReady(true)
    this.options.log('info', 'node ready', { node: identity.name, configVersion: this.configDistribution.version() })
  }

  private isLeaving (): boolean {
    return this.state === 'leaving'
  }

  /** Whether callers are served, and why not. */
  readiness (): { ready: boolean, reasons: string[] } {
    const reasons = match(this.state)
      .with('starting', () => ['no configuration is in force yet'])
      .with('leaving', () => ['the node is shutting down'])
      .with('ready', () => [])
      .exhaustive()
    return { ready: reasons.length === 0, reasons }
  }

  /** Answers one caller. Never rejects. */
  async handle (request: CallerRequest): Promise<CallerResponse> {
    const requestId = this.options.newId()
    if (this.configDistribution.current() === undefined) {
      return problemResponse(new ProblemError(503, 'overloaded', 'not-run', 'the node is starting', { retryAfterMs: 1000 }), requestId)
    }
    const arrivedAtMs = this.options.clock.nowMs()
    if (arrivedAtMs >= this.refusesAfterMs) {
      const response = problemResponse(new ProblemError(503, 'shutting-down', 'not-run', 'use another node', { retryAfterMs: 0 }), requestId)
      return { ...response, headers: { ...response.headers, connection: 'close' } }
    }
    const exchange: Exchange = {
      requestId,
      request,
      arrivedAtMs,
      trace: this.traces.start(requestId),
      measure: new RequestMeasure(this.options.clock, arrivedAtMs)
    }
    this.inProgress++
    await this.handleExchange(exchange)
    return this.untilSent(exchange.response!)
  }

  /** Answers a message of another node. */
  async handlePeer (message: PeerMessage): Promise<PeerMessage> {
    const parts = [this.membership, this.dissemination, this.configDistribution, this.assignment, this.planner]
    for (const part of parts) {
      const reply = await part.handle(message)
      if (reply) return reply
    }
    if (message.kind === 'query') return this.reports.answer(message)
    return { kind: 'error', message: `no handler for ${message.kind}` }
  }

  /**
   * Graceful shutdown: no new callers after the balancer's notice, roles handed over, requests in progress completed.
   * Resolves when the process may end.
   */
  async stop (): Promise<void> {
    const { clock, log, identity } = this.options
    log('info', 'node leaving', { node: identity.name, inProgress: this.inProgress })
    this.state = 'leaving'
    this.membership.setReady(false)
    this.refusesAfterMs = clock.nowMs() + drainNoticeMs
    this.planner.stop()
    await this.assignment.stop()
    while (clock.nowMs() < this.refusesAfterMs || this.inProgress > 0) await sleep(clock, 50)
    await this.idempotency.flush(clock.nowMs() + flushTimeoutMs)
    for (const cancel of this.timers) cancel()
    this.scheduler.stop()
    this.serviceMonitor.stop()
    this.vmDirectory.stop()
    this.configDistribution.stop()
    await this.membership.leave()
    this.membership.stop()
    this.dissemination.stop()
    log('info', 'node left', { node: identity.name })
  }

  /** Proposes a change of the fleet configuration. */
  async proposeConfig (change: { baseVersion: number, text: string, author: string, reason: string, proposalId: string }, { deadlineMs }: { deadlineMs: number }): Promise<ProposalResult> {
    const result = await (this.options.parts?.propose ?? propose)(this.keyValueStore, change, { clock: this.options.clock, deadlineMs, file: 'proposal' })
    if (result.kind === 'accepted') this.configDistribution.applyAccepted(result.version, change.text)
    return result
  }

  /** The configuration version in force on each node that is a member, and whether the node answers. */
  inForce (): { version: number, nodes: { name: string, version: number, reachable: boolean }[] } {
    const nodes = this.membership.members()
      .filter(({ state }) => state !== 'left')
      .map(({ name, configVersion, state }) => ({ name, version: configVersion, reachable: state === 'alive' }))
    return { version: this.configDistribution.version(), nodes }
  }

  /** What this node sees of the fleet. */
  status (): Record<string, unknown> {
    return {
      node: this.options.identity,
      state: this.state,
      inProgress: this.inProgress,
      queued: this.scheduler.queue.size(),
      configVersion: this.configDistribution.version(),
      keyValueAvailable: this.keyValueStore.available(),
      members: this.membership.members(),
      engines: this.engineEntries(),
      services: this.dissemination.list('service/').map(({ value }) => value),
      vms: this.vmDirectory.vms()
    }
  }

  /** Requests that wait for an engine. */
  queuedRequests (): number {
    return this.scheduler.queue.size()
  }

  /** Requests that are being answered. */
  requestsInProgress (): number {
    return this.inProgress
  }

  /** Engine entries as far as this node knows them. */
  engineEntries (): EngineEntry[] {
    return this.engineTable.list()
  }

  /** Counts the request as in progress until its last byte was handed over. */
  private untilSent (response: CallerResponse): CallerResponse {
    const { body } = response
    if (body instanceof Uint8Array) {
      this.inProgress--
      return response
    }
    const end = () => { this.inProgress-- }
    return {
      ...response,
      body: (async function * () {
        try {
          yield * body
        } finally {
          end()
        }
      })()
    }
  }

  private config (): FleetConfig {
    return this.configDistribution.current()!
  }

  private readyNodes (): number {
    return this.membership.alive().filter(({ ready }) => ready).length
  }

  private demandFilter (): Filter {
    return async (exchange, next) => {
      const { work, terms } = exchange
      if (work?.kind === 'inference') this.demand.onArrival(work.requestedModel, terms!.rank, work.maxTokens)
      exchange.measure.tokenGapMs = terms!.tokenGapMs
      await next()
    }
  }

  private reportDemand (): void {
    const waiting = this.scheduler.queue.waitingByModel()
    this.reportedWaiting = new Set(waiting.keys())
    this.reportedWaitingAtMs = this.options.clock.nowMs()
    this.planner.reportDemand(this.demand.report(waiting))
  }

  /** Reports at once when requests wait for another model than before; otherwise the planner knows already. */
  private reportWanted (): void {
    const waiting = this.scheduler.queue.waitingByModel()
    const isNews = [...waiting.keys()].some(model => !this.reportedWaiting.has(model))
    if (isNews || this.options.clock.nowMs() - this.reportedWaitingAtMs >= wantedPeriodMs) this.reportDemand()
  }

  private engineEntry (engine: string): EngineEntry | undefined {
    return parseEngineEntry(this.dissemination.get(`engine/${engine}`))
  }

  private routableEngines (): EngineEntry[] {
    const routable = this.options.parts?.routableEngines
    if (routable) return routable(this.engineEntries())
    const leaving = new Set(this.vmDirectory.vms().filter(({ state }) => state === 'leaving').map(({ name }) => name))
    return this.engineEntries().filter(({ engine, draining, reachable }) => reachable && !draining && !leaving.has(engine))
  }

  private createControl (vm: Vm): EngineControl {
    const { clock, random, log, identity } = this.options
    const pool = () => this.config().pools[vm.group]
    const exception = this.config().exceptions.find(({ target, honoursFence }) => target === `engine.${vm.name}` && honoursFence !== undefined)
    return new EngineControl({
      clock,
      random,
      log,
      node: identity.name,
      nodeAddress: identity.peersAddress,
      vm,
      engine: this.engineApi(vm.name, vm.address),
      honoursFence: exception?.honoursFence ?? pool()?.honoursFence ?? false,
      adapterBytes: () => pool()?.adapterBytes ?? 0,
      keyValueStore: this.keyValueStore,
      createAuthority: this.options.parts?.createArbiter,
      publishedFence: () => this.engineEntry(vm.name)?.controlFence ?? 0,
      publish: entry => this.dissemination.publish(`engine/${vm.name}`, entry.controlFence, entry)
    })
  }

  private engineApi (engine: string, address: string): EngineApi {
    return cached(this.engineApis, `${engine} ${address}`, () => this.options.engineApi(engine, address))
  }

  private forgetEngine (engine: string): void {
    for (const [key, api] of this.engineApis) {
      if (api.engine !== engine) continue
      api.close?.()
      this.engineApis.delete(key)
    }
  }

  private serviceApi (server: string, address: string): ServiceApi {
    return cached(this.serviceApis, `${server} ${address}`, () => this.options.serviceApi(server, address))
  }

  /** Reads the VM list only when other nodes cannot tell, so that its rate does not grow with the fleet. */
  private async seeds (): Promise<string[]> {
    const isAlone = this.membership.alive().length <= 1
    const listed = isAlone ? await this.options.vmList.list().catch(() => []) : this.vmDirectory.vms()
    const addresses = listed.filter(({ kind }) => kind === 'entry').map(({ address }) => address)
    return [...new Set([...this.options.seeds, ...addresses])].filter(address => address !== this.options.identity.peersAddress)
  }

  /** Reads cache events of the engines that this node used last; a bounded number, since every node does so. */
  private async readCacheEvents (): Promise<void> {
    const recent = [...this.recentEngines].slice(-maxCachePolls)
    await Promise.all(this.routableEngines().filter(({ engine }) => recent.includes(engine)).map(async entry => {
      const after = this.cacheSequence.get(entry.engine) ?? 0
      try {
        const events = await this.engineApi(entry.engine, entry.address).cacheEvents(after)
        const last = events.at(-1)
        if (!last) return
        this.cacheSequence.set(entry.engine, last.sequence)
        const isComplete = events[0]!.sequence === after + 1 && last.sequence - after === events.length
        this.scheduler.onCacheEvents(entry.engine, events, isComplete)
      } catch (error) {
        this.options.log('debug', 'cache events unavailable', { engine: entry.engine, error: messageOf(error) })
      }
    }))
  }
}

function cached<T> (cache: Map<string, T>, key: string, create: () => T): T {
  const existing = cache.get(key)
  if (existing !== undefined) return existing
  const created = create()
  cache.set(key, created)
  return created
}

function parseAccepted (text: string, version: number): FleetConfig {
  const { config, findings } = parseFleetConfig(text, { file: `configuration version ${version}`, version })
  if (!config || hasErrors(findings)) throw new FindingsError(findings)
  return config
}
