/** A node's work as leader: commands to engines, dispatch decisions for all nodes, and the feed of store changes. */

import type { CancelTimer } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { Dispatcher } from '../policy/dispatcher.js'
import type { DispatchCandidate, DispatchDecision, DispatchRequest } from '../policy/dispatcher.js'
import { trialPollMs } from '../policy/partQuarantine.js'
import type { PartQuarantine } from '../policy/partQuarantine.js'
import { SlotQueue } from '../policy/slotQueue.js'
import type { QueuePlace, RefusalReason, SlotAnswer, SlotRequest } from '../policy/slotQueue.js'
import { QuotaLedger } from '../policy/quotaLedger.js'
import { RateForecast } from '../policy/rateForecast.js'
import { RunTime } from '../policy/runTime.js'
import { SlidingSums } from '../policy/slidingSum.js'
import { AccountIndex } from './accountIndex.js'
import type { CapacityTerm } from './learnedCapacity.js'
import { ChangeFeed } from './changeFeed.js'
import type { CoordinationStore, StoreChange, StoreWrite } from './coordination.js'
import type { FleetSize } from './fleetSize.js'
import { encodeDispatchDecision, encodeSlotAnswer, packChanges } from './peerMessages.js'
import type { ChangeRange, Confirmation, LeaderReport, NodeReport, QuotaAskMessage, QuotaReply, SlotCancel } from './peerMessages.js'
import type { Send } from './peerLink.js'
import { OverQuotaLog } from './overQuotaLog.js'
import { PlacementLeader } from './placementLeader.js'
import type { PlacementLeaderOptions } from './placementLeader.js'
import { softwareOf } from './backendServer.js'
import type { BackendServer } from './backendServer.js'
import { answerQuotaAsk } from './quotaDeputy.js'
import type { StoreView } from './storeView.js'
import type { StoredQuarantine } from './storedQuarantine.js'

/** Changes that arrive within this time are sent to the other nodes in one message. */
const updateDelayMs = 20
/** Shortest time between two writes of the fleet size. */
const sizeWriteIntervalMs = 5000
/** The same for the quarantine. */
const quarantineWriteIntervalMs = 1000
/** Interval at which all nodes learn the addresses of all others; a node also does when it connects. */
const nodesIntervalMs = 30_000
/** Loads of accounts are broadcast in steps, so that small changes cost no bytes. */
const quotaLoadStep = 0.25

/** One refusal is logged per interval, since an overload refuses hundreds a second. */
const refusalLogIntervalMs = 1000
/** Shortest time between two searches for replicas that have become ready: engines write entries hundreds of times a second, and a search of 600 engines takes 0.3 ms. */
const readyCheckIntervalMs = 10

/** Window over which the arrivals for a model are counted: about the time that a load from the weight store takes. */
const arrivalWindowMs = 8000
const arrivalSlotMs = 500
/** Limit on the dispatched requests whose prefill can be given back. */
const maxDispatched = 20_000

export interface LeaderTermOptions extends Omit<PlacementLeaderOptions, 'expectedPrefillEngines' | 'ownReport'> {
  store: CoordinationStore
  storeView: StoreView
  size: FleetSize
  /** Store key of the fleet size. */
  sizeKey: string
  quarantine: PartQuarantine
  /** The quarantine in the store. */
  stored: StoredQuarantine
  /** Present where capacity is learned. */
  capacityTerm?: CapacityTerm | undefined
  /** Report of this node itself. */
  ownReport: () => NodeReport
  /** IP addresses of all nodes. */
  nodeAddresses: () => string[]
  /** IP addresses of the nodes that are to decide on quotas without a leader; those of `current` are kept if possible. */
  deputyAddresses: (current: readonly string[]) => readonly string[]
  /** Whether all nodes ask for slots and announce when they are free. */
  sharesServers: boolean
  onSlotAssigned?: ((queuedMs: number) => void) | undefined
  onSlotRefused?: ((reason: RefusalReason) => void) | undefined
  onSlotReturned?: (() => void) | undefined
}

export class LeaderTerm {
  private readonly options: LeaderTermOptions
  private readonly placement: PlacementLeader
  /** Requests of all nodes that wait for an engine. */
  readonly slots: SlotQueue
  private readonly dispatcher: Dispatcher
  /** Requests of other nodes for which engines were chosen, oldest first, while their prompts are prefilled. */
  private readonly dispatched = new Map<string, { request: DispatchRequest, engine: string }>()
  /** Number of each node's connection. */
  private readonly connections = new WeakMap<Send, number>()
  private nextConnection = 1
  /** Prefill time of arriving requests, by `SERVICE/MODEL`. Its rate is a number of fully occupied engines. */
  private readonly prefillMs: RateForecast
  /** Arrivals of requests, by `SERVICE/MODEL`. */
  private readonly arrivals: RateForecast
  /** The same over a longer window, for models of which requests come now and then. */
  private readonly recentArrivals = new SlidingSums(arrivalWindowMs, arrivalSlotMs)
  /** By service. */
  private readonly runTimes = new Map<string, RunTime>()
  readonly quotas: QuotaLedger
  private readonly overQuota: OverQuotaLog
  private quotaLoads = new Map<string, number>()
  /** IP addresses of the nodes that decide on quotas without a leader, as last broadcast. */
  deputies: readonly string[] = []
  private changeFeed: ChangeFeed
  /** Compressed changes, since many nodes connect at once and get the same ones. */
  private readonly packed = new WeakMap<ChangeRange, Uint8Array>()
  private cancelUpdate: CancelTimer | undefined
  private sizeWrittenAtMs = -Infinity
  private quarantineWrittenAtMs = -Infinity
  private nodesSentAtMs = -Infinity
  private refusalLoggedAtMs = -Infinity
  /** Refusals since the last log line. */
  private refusals = 0
  /** Ready replicas of each server at the last search; absent while no request waits. */
  private readyCounts: WeakMap<BackendServer, number> | undefined
  private readyCheckedAtMs = -Infinity
  private readonly unwatchFleet: () => void
  private isStopped = false

  constructor (options: LeaderTermOptions) {
    this.options = options
    const { clock, storeView, ownReport, capacityTerm } = options
    this.dispatcher = new Dispatcher(clock, capacityTerm && { capacity: capacityTerm.capacity, tokens: capacityTerm.tokens })
    this.prefillMs = new RateForecast(clock)
    this.arrivals = new RateForecast(clock)
    // The term may begin in the middle of a batch of changes, whose earlier ones the feed lacks; they precede the leader's key.
    this.changeFeed = new ChangeFeed(clock, Math.max(storeView.revision ?? 0, options.fence))
    this.slots = new SlotQueue({
      clock,
      decide: (request, reservedEngine) => this.decideOnParts(request, this.candidatesOf(request).filter(({ id }) => id !== reservedEngine)),
      soonestMs: ({ service, model }) => this.placement.soonestReadyMs(service, model),
      onReturned: (request, { id, trial }) => {
        this.dispatcher.returnAssignment(request, id)
        if (trial !== undefined) options.quarantine.endTrial(trial)
        options.onSlotReturned?.()
      },
      onDropped: (request, engine) => this.giveBack(request, engine),
      onReleased: ({ assignment }) => { if (assignment !== undefined) capacityTerm?.tokens.release(assignment) },
      onAssigned: options.onSlotAssigned,
      onRefused: (reason, request) => this.onSlotRefused(reason, request)
    })
    const accounts = new AccountIndex(options.deployment)
    this.quotas = new QuotaLedger({
      clock,
      limitOf: account => accounts.get(account)?.quota,
      onRefused: account => this.overQuota.onRefused(account)
    })
    this.overQuota = new OverQuotaLog({ clock, log: options.log, decidedBy: 'leader' })
    this.placement = new PlacementLeader({
      ...options,
      ownReport: () => {
        const report = ownReport()
        this.recordOutcomes(report)
        if (capacityTerm?.onReport(report)) this.slots.onCapacity()
        return report
      },
      onLoadReduced: () => this.slots.onCapacity(),
      expectedPrefillEngines: (service, model, horizonMs) => this.prefillMs.estimate(`${service}/${model}`, horizonMs).expectedPerMs,
      ...(options.sharesServers
        ? {
            expectedRunning: (service, model, horizonMs) => this.expectedRunning(service, model, horizonMs),
            expectedArrivals: (service, model, withinMs) => this.expectedArrivals(service, model, withinMs)
          }
        : {})
    })
    this.unwatchFleet = options.fleet.onChange(() => this.onFleetChange())
  }

  stop (): void {
    this.isStopped = true
    this.cancelUpdate?.()
    this.unwatchFleet()
    this.slots.stop()
    this.placement.stop()
  }

  /** The complete state, for a node that has just connected, or that has received no store changes after `sinceRevision`. */
  fullReports (sinceRevision?: number): LeaderReport[] {
    const parts = this.options.quarantine.allFacts()
    const rows = { ...this.leavingRows(), ...this.options.capacityTerm?.fullRows(), ...this.loadRows([...this.quotaLoads]), ...(this.deputies.length === 0 ? {} : { deputies: [...this.deputies] }), ...(parts ? { parts } : {}) }
    return this.withNews({ ...this.placement.fullReport(), ...rows, nodes: this.options.nodeAddresses() }, this.changeFeed.catchUpRanges(sinceRevision))
  }

  /** Confirms a node's view of the store as far as this node's own is confirmed; `undefined` if it is not. */
  confirm (stamp: Confirmation['stamp']): Confirmation | undefined {
    const ageMs = this.options.storeView.confirmedAgeMs
    return this.isStopped || !Number.isFinite(ageMs) ? undefined : { stamp, revision: this.changeFeed.neededRevision, ageMs: Math.ceil(ageMs) }
  }

  onReport (report: NodeReport): void {
    if (report.node !== this.options.node) this.quotas.onReport(report.node)
    this.recordOutcomes(report)
    const hasFreedTokens = this.options.capacityTerm?.onReport(report) ?? false
    for (const incarnation of report.leaving ?? []) this.options.fleet.onLeaving(incarnation)
    if (report.parts) this.options.quarantine.merge(report.parts, { isNews: true })
    this.placement.onReport(report)
    if (hasFreedTokens) this.slots.onCapacity()
  }

  /** Looks for slots if a replica has become ready for which a request may wait. */
  private onFleetChange (): void {
    const { clock, fleet } = this.options
    if (this.slots.size === 0) {
      this.readyCounts = undefined
      return
    }
    if (clock.nowMs() - this.readyCheckedAtMs < readyCheckIntervalMs) return
    this.readyCheckedAtMs = clock.nowMs()
    const { readyCounts } = this
    const counts = this.readyCounts = new WeakMap<BackendServer, number>()
    let hasNew = false
    for (const server of fleet.servers.values()) {
      const count = server.readyCount
      counts.set(server, count)
      if (count > (readyCounts?.get(server) ?? 0)) hasNew = true
    }
    if (hasNew) this.slots.onCapacity()
  }

  /** Decides on a node's query for tokens. */
  onQuotaAsk (node: string, message: QuotaAskMessage): QuotaReply {
    return answerQuotaAsk(this.quotas, node, message)
  }

  /** Sends news about prompt parts to all nodes. */
  broadcastParts (): void {
    const parts = this.options.quarantine.takeFacts()
    if (!parts) return
    if (!this.isStopped) this.options.broadcast({ fence: this.options.fence, parts, hosting: [], running: [] })
    this.writeQuarantine()
  }

  /** The dispatch decision for a request of any node, which excludes the servers that want none from it; `undefined` if this node knows no engine that can serve it. */
  dispatch (request: DispatchRequest): DispatchDecision | undefined {
    const candidates = this.candidatesOf(request)
    if (request.isFirst) this.countDemand(request, candidates)
    return this.decideOnParts(request, candidates)
  }

  /** Like `dispatch`, but lets the request wait for an engine. Returns whether it waits; otherwise it has been answered. */
  queueForSlot (request: SlotRequest): boolean {
    const { dispatch } = request
    if (dispatch.isFirst) this.countDemand(dispatch, this.candidatesOf(dispatch))
    return this.slots.submit(request)
  }

  /** A node asks for an engine. `reply` identifies its connection. */
  onDispatchRequest (ask: number, request: DispatchRequest, reply: Send): void {
    const decision = this.dispatch(request)
    reply({ ask, ...encodeDispatchDecision(decision) })
    if (decision?.kind !== 'engine') return
    this.dispatched.set(this.slotId(reply, ask), { request, engine: decision.id })
    for (const [id, earlier] of this.dispatched) {
      if (this.dispatched.size <= maxDispatched && this.dispatcher.isPrefilling(earlier.request)) break
      this.dispatched.delete(id)
    }
  }

  /** A node asks for a slot. `reply` identifies its connection. */
  onSlotRequest (ask: number, dispatch: DispatchRequest, place: QueuePlace, reply: Send): void {
    const onAnswer = (answer: SlotAnswer) => reply({ ask, ...encodeSlotAnswer(answer) })
    if (this.queueForSlot({ id: this.slotId(reply, ask), dispatch, place, onAnswer })) reply({ ask, queued: true })
  }

  onSlotCancel ({ cancel, hasRun }: SlotCancel, reply: Send): void {
    const id = this.slotId(reply, cancel)
    const dispatched = this.dispatched.get(id)
    if (dispatched) this.giveBack(dispatched.request, dispatched.engine)
    else if (hasRun) this.slots.end(id)
    else this.slots.cancel(id)
    this.dispatched.delete(id)
  }

  /** The engine does not run a request for which `dispatch` has chosen it. */
  giveBack (request: DispatchRequest, engine: string): void {
    this.dispatcher.returnAssignment(request, engine)
  }

  /** The connection of a node has closed. */
  onNodeLeft (reply: Send): void {
    const prefix = this.slotId(reply, '')
    this.slots.drop(id => id.startsWith(prefix))
    for (const [id, { request, engine }] of this.dispatched) {
      if (!id.startsWith(prefix)) continue
      this.giveBack(request, engine)
      this.dispatched.delete(id)
    }
  }

  private slotId (reply: Send, ask: number | string): string {
    let connection = this.connections.get(reply)
    if (connection === undefined) this.connections.set(reply, connection = this.nextConnection++)
    return `${connection}/${ask}`
  }

  private onSlotRefused (reason: RefusalReason, { dispatch, place }: SlotRequest): void {
    const { clock, log, onSlotRefused } = this.options
    onSlotRefused?.(reason)
    this.refusals++
    if (clock.nowMs() - this.refusalLoggedAtMs < refusalLogIntervalMs) return
    this.refusalLoggedAtMs = clock.nowMs()
    log('info', 'waiting request refused', { reason, model: dispatch.model, rank: dispatch.rank, leftMs: Math.round(place.leftMs), queued: this.slots.size, sinceLastLine: this.refusals })
    this.refusals = 0
  }

  private candidatesOf (request: DispatchRequest): DispatchCandidate[] {
    const cacheTokens = this.cacheTokensOf(request.service)
    const servers = this.options.fleet.ofService(request.service).filter(server => server.isPresent && server.serves(request.model, request.adapter))
    return servers.map(server => ({
      id: server.entry.id,
      region: server.region,
      availabilityZone: server.entry.availabilityZone,
      slots: server.entry.slots,
      ...(this.options.sharesServers
        ? { running: this.slots.assignedTo(server.entry.id) + this.placement.unassignedAt(server.entry.id), isExact: true }
        : { running: server.running + server.runningElsewhere }),
      ...(cacheTokens === undefined ? {} : { cacheTokens })
    }))
  }

  /** The demand for the model, to which each request counts once, with its first dispatch request. */
  private countDemand (request: DispatchRequest, candidates: readonly DispatchCandidate[]): void {
    const key = `${request.service}/${request.model}`
    this.arrivals.add(key, 1)
    this.recentArrivals.add(key, 1, this.options.clock.nowMs())
    this.prefillMs.add(key, this.dispatcher.minimumPrefillMs(request, candidates))
  }

  private cacheTokensOf (service: string): number | undefined {
    if (!this.options.capacityTerm) return undefined
    return this.options.deployment()?.services.find(({ name }) => name === service)?.engine?.cacheTokens
  }

  /** Requests with prompt parts under suspicion are sent one at a time; those with quarantined ones wait until their node refuses them. */
  private decideOnParts (request: DispatchRequest, candidates: readonly DispatchCandidate[]): DispatchDecision | undefined {
    const { quarantine } = this.options
    const check = quarantine.check(evidenceParts(request))
    if (check.kind === 'clear') return this.dispatcher.choose(request, candidates)
    const trial = check.kind === 'suspect' ? quarantine.beginTrial(check) : undefined
    if (!trial) return { kind: 'wait', forMs: trialPollMs, isForTrial: true }
    const inTrial = quarantine.enginesInTrial
    const free = candidates.filter(({ id }) => !request.excluded.includes(id) && !inTrial.includes(id))
    const decision = this.dispatcher.choose(request, trial.isIsolated ? leastRunning(free) : free)
    if (decision?.kind === 'engine') {
      quarantine.setTrialEngine(trial.id, decision.id)
      return { ...decision, trial: trial.id }
    }
    quarantine.endTrial(trial.id)
    return decision ?? (inTrial.length > 0 ? { kind: 'wait', forMs: trialPollMs, isForTrial: true } : undefined)
  }

  /** Loads of accounts as last broadcast. */
  get accountLoads (): [string, number][] {
    return [...this.quotaLoads]
  }

  /** A store change that other nodes need. */
  onChange (change: StoreChange): void {
    this.changeFeed.record(change)
  }

  /** Every single change up to `revision` has been seen. */
  onRevision (revision: number): void {
    this.changeFeed.advance(revision)
    if (!this.changeFeed.hasUnsent || this.cancelUpdate) return
    this.cancelUpdate = this.options.clock.setTimer(updateDelayMs, () => {
      this.cancelUpdate = undefined
      this.broadcastUpdate([])
    })
  }

  /** The store was listed again, so earlier changes were not all seen: the feed starts anew. */
  onResync (): void {
    this.changeFeed = new ChangeFeed(this.options.clock, this.options.storeView.revision ?? 0)
  }

  /** Broadcasts store changes and the number of requests in progress. Returns the requests in progress by engine. */
  broadcastStatus (linkCount: number, storedSize: number): LeaderReport['running'] {
    const { fleet, size } = this.options
    this.dispatcher.keepOnly(id => fleet.servers.has(id))
    size.count(linkCount + 1)
    this.writeSize(storedSize)
    this.watchQuarantine()
    const { capacityTerm } = this.options
    const running = this.placement.runningRows()
    this.recordRunning(running)
    this.broadcastUpdate(running, { ...capacityTerm?.changedRows(), ...this.loadRows(this.changedLoads()), ...this.changedDeputies() })
    this.overQuota.sweep()
    this.quotas.checkSilence()
    this.broadcastNodes()
    return running
  }

  private broadcastNodes (): void {
    const { clock, broadcast, fence, nodeAddresses } = this.options
    if (this.isStopped || clock.nowMs() - this.nodesSentAtMs < nodesIntervalMs) return
    this.nodesSentAtMs = clock.nowMs()
    broadcast({ fence, nodes: nodeAddresses(), hosting: [], running: [] })
  }

  private watchQuarantine (): void {
    const { fleet, quarantine, stored } = this.options
    quarantine.onSoftware(new Set([...fleet.servers.values()].filter(({ isPresent }) => isPresent).map(({ entry }) => softwareOf(entry))))
    for (const [key, { part, reason, author }] of stored.lifts) {
      this.options.log('info', 'prompt part lifted by an operator', { part, reason, author })
      quarantine.lift([part])
      stored.lifts.delete(key)
      this.commit('lift of a prompt part not removed', { remove: [key] })
    }
    this.writeQuarantine()
  }

  /** Keeps the verdicts in the store for nodes that start while no other node knows them. */
  private writeQuarantine (): void {
    const { clock, quarantine, stored } = this.options
    if (this.isStopped || !stored.differsFrom(quarantine.list) || clock.nowMs() - this.quarantineWrittenAtMs < quarantineWriteIntervalMs) return
    this.quarantineWrittenAtMs = clock.nowMs()
    this.commit('quarantine not written', { writes: [stored.writeOf(quarantine.verdictFacts)] })
  }

  private commit (failure: string, change: { writes?: StoreWrite[], remove?: string[] }): void {
    const { store, log } = this.options
    store.commit(change).catch(error => log('warn', failure, { error: messageOf(error) }))
  }

  private recordOutcomes ({ outcomes }: NodeReport): void {
    for (const [backend, answered, failed] of outcomes) {
      this.dispatcher.onOutcomes(backend, answered, failed)
      const service = this.options.fleet.servers.get(backend)?.entry.service
      if (service !== undefined) this.runTimeOf(service).onBegun(answered)
    }
  }

  private recordRunning (running: LeaderReport['running']): void {
    const sums = new Map<string, number>([...this.runTimes.keys()].map(service => [service, 0]))
    for (const [backend, count] of running) {
      const service = this.options.fleet.servers.get(backend)?.entry.service
      if (service !== undefined) sums.set(service, (sums.get(service) ?? 0) + count)
    }
    for (const [service, sum] of sums) this.runTimeOf(service).setRunning(sum)
  }

  private runTimeOf (service: string): RunTime {
    const known = this.runTimes.get(service)
    const runTime = known ?? new RunTime(this.options.clock)
    if (!known) this.runTimes.set(service, runTime)
    return runTime
  }

  private expectedArrivals (service: string, model: string, withinMs: number): number {
    return this.recentArrivals.sum(`${service}/${model}`, this.options.clock.nowMs()) / arrivalWindowMs * withinMs
  }

  private expectedRunning (service: string, model: string, horizonMs: number): number {
    return this.arrivals.estimate(`${service}/${model}`, horizonMs).expectedPerMs * this.runTimeOf(service).meanMs
  }

  /** Loads of accounts that have changed by a step since the last broadcast. */
  private changedLoads (): [string, number][] {
    const loads = new Map(this.quotas.loads().map(([account, load]) => [account, Math.round(load / quotaLoadStep) * quotaLoadStep]))
    const changed = [...loads].filter(([account, load]) => load !== this.quotaLoads.get(account))
    this.quotaLoads = loads
    return changed
  }

  /** The deputies, if there are quotas and they are others than in the last broadcast. */
  private changedDeputies (): Pick<LeaderReport, 'deputies'> {
    const { deployment, deputyAddresses } = this.options
    const hasQuotas = deployment()?.accounts?.some(({ quota }) => quota) ?? false
    const deputies = hasQuotas ? deputyAddresses(this.deputies) : []
    if (deputies.join() === this.deputies.join()) return {}
    this.deputies = deputies
    return { deputies: [...deputies] }
  }

  private loadRows (rows: [string, number][]): Pick<LeaderReport, 'quotaLoads'> {
    return rows.length > 0 ? { quotaLoads: rows } : {}
  }

  private broadcastUpdate (running: LeaderReport['running'], rows?: Pick<LeaderReport, 'capacity' | 'quotaLoads' | 'deputies'>): void {
    if (this.isStopped) return
    const reports = this.withNews({ fence: this.options.fence, ...this.leavingRows(), ...rows, hosting: [], running }, this.changeFeed.nextRanges())
    for (const report of reports) this.options.broadcast(report)
  }

  /** The report with the first range of store changes, and one for each further range. */
  private withNews (report: LeaderReport, ranges: readonly ChangeRange[]): LeaderReport[] {
    const further = { fence: this.options.fence, hosting: [], running: [] }
    return ranges.map((range, index) => ({ ...(index === 0 ? report : further), news: this.storeUpdate(range) }))
  }

  private leavingRows (): Pick<LeaderReport, 'leaving'> {
    const { leaving } = this.options.fleet
    return leaving.length > 0 ? { leaving } : {}
  }

  private storeUpdate (range: ChangeRange): LeaderReport['news'] {
    const { storeView, size, clock } = this.options
    const { fromRevision, revision, changes } = range
    let packed = this.packed.get(range)
    if (!packed) this.packed.set(range, packed = packChanges(changes))
    return {
      fromRevision,
      revision,
      changes: packed,
      ageMs: storeView.ageMs,
      nodeCount: size.value,
      returnedMsAgo: storeView.outageEndedAtMs === undefined ? null : clock.nowMs() - storeView.outageEndedAtMs
    }
  }

  /** Stores the number of nodes for nodes that start while no leader counts them. */
  private writeSize (storedSize: number): void {
    const { clock, size, sizeKey } = this.options
    if (size.value === storedSize || clock.nowMs() - this.sizeWrittenAtMs < sizeWriteIntervalMs) return
    this.sizeWrittenAtMs = clock.nowMs()
    this.commit('fleet size not written', { writes: [{ key: sizeKey, value: String(size.value) }] })
  }
}

/** The candidate with the fewest requests. */
function leastRunning (candidates: readonly DispatchCandidate[]): DispatchCandidate[] {
  return [...candidates].sort((left, right) => left.running - right.running).slice(0, 1)
}

/** The parts of a request that evidence may concern: its identity, if it is known, and the parts of its prompt. */
function evidenceParts ({ identity, sharedParts }: DispatchRequest): { id: string }[] {
  return [...(identity === undefined ? [] : [{ id: identity }]), ...sharedParts]
}
