/** What this node knows about one incarnation of a backend server. */

import type { Clock } from '../base/clock.js'
import { ByteBudget } from './byteBudget.js'
import type { RequestedPause, ResponseMetadata } from './codecs.js'
import { ConnectionPool } from './connectionPool.js'
import type { BackendEntry, EngineReport, LoadedModel } from './deployment.js'
import { FramingRecord } from './processEvidence.js'
import type { LivenessQuestion } from './processEvidence.js'

/** Weight of a new sample in the moving averages of failure share and delay. */
const smoothing = 0.25
/** Time in which the moving averages decay to half without new samples. */
const sampleHalfLifeMs = 3000
/** Reports lag by some hundred milliseconds; one that is behind for longer is trusted. */
const maxReportLagMs = 1000
/** Time until an adapter is expected whose load an earlier leader commanded. */
const expectedAdapterLoadMs = 100
/** Time in which the placement leader queries an engine's state and updates the nodes. */
const mismatchExclusionMs = 1000
/** Time without requests after a failed connection, doubled for each further one. */
const firstEjectionMs = 300
const maxEjectionMs = 4000
/** Longest pause that a server can request. */
const maxPauseMs = 24 * 3600 * 1000

export interface ReplicaState {
  /** Time from which requests can be sent; `Infinity` while unknown. */
  readyAtMs: number
  /** A load is planned or in progress. */
  isLoading: boolean
  /** An unload is planned or in progress. */
  isUnloading: boolean
  /** Times from which requests for an adapter can be sent. */
  adapters: Map<string, number>
}

export interface BackendServerOptions {
  /** Called when a connection is opened. */
  onOpened?: () => void
  /** Called once, when the server has announced that it is leaving. */
  onLeaving?: () => void
  /** Called once, when the server is found to have ended without an announcement, with the requests of this node that it was running. */
  onExited?: (running: number) => void
  /** Called when the server has requested a pause; `appliedMs` is 0 if the request is not readable. */
  onPauseRequested?: (pause: RequestedPause, appliedMs: number) => void
  /** Bytes of responses that this node holds, shared by all servers. */
  buffered?: ByteBudget
  /** A call that shows whether the server's process is alive, if its service has one. */
  questionOf?: (entry: BackendEntry) => LivenessQuestion | undefined
  /** Shared by the servers of a service. */
  framing?: FramingRecord
}

/** The placement leader's state of one model on an engine. */
export interface ReplicaUpdate {
  name: string
  readyInMs: number
  isLoading: boolean
  isUnloading: boolean
  adapters: { name: string, readyInMs: number }[]
}

export class BackendServer {
  readonly pool: ConnectionPool
  /** Requests of this node in progress, by `MODEL/ADAPTER`. */
  readonly runningByAdapter = new Map<string, number>()
  /** Requests of this node in progress, by model (empty for plain services). */
  readonly runningByModel = new Map<string, { count: number, rank: number }>()
  running = 0
  pendingTokens = 0
  /** Prompt tokens and expected output tokens of this node's requests in progress. */
  heldTokens = 0
  /** Bytes of responses that this node holds, shared by all servers. */
  readonly buffered: ByteBudget
  /** How the responses of the servers of its service are framed. */
  readonly framing: FramingRecord
  /** Requests of the other nodes in progress, from the leader's last update. */
  runningElsewhere = 0
  replicas = new Map<string, ReplicaState>()
  /** Times until which no requests are sent for a model or `MODEL/ADAPTER` that the engine rejected. */
  private readonly excludedUntilMs = new Map<string, number>()
  private hasStateMismatch = false
  /** Commands that the engine has accepted, as far as the placement leader knows. */
  commandCount = 0
  private hasLeaderState = false
  /** Time of the last accepted command. */
  private lastCommandAtMs = -Infinity
  /** Time from which the server counts as removed and gets no more requests. */
  removalAtMs = Infinity
  private ejectedUntilMs = 0
  /** Time until which the server wants no requests from this node. */
  private pausedUntilMs = 0
  private hasAnnouncedLeaving = false
  private ejections = 0
  /** Requests that the server answered and that failed, since they were last collected. */
  private outcomes = { answered: 0, failed: 0 }
  /** Whether the process of this incarnation was found to have ended. */
  private hasExited = false
  private exitCheck: Promise<boolean> | undefined
  private failures = 0
  private delayMs = 0
  private sampledAtMs: number

  constructor (public entry: BackendEntry, readonly region: string, private readonly clock: Clock, private readonly options: BackendServerOptions = {}) {
    const { onOpened, questionOf, buffered = new ByteBudget(), framing = new FramingRecord(clock) } = options
    this.buffered = buffered
    this.framing = framing
    this.pool = new ConnectionPool({ address: entry.address, clock, onOpened, buffered, framing, questionOf: questionOf && (() => questionOf(this.entry)) })
    this.sampledAtMs = clock.nowMs()
    this.applyModels(entry.models)
  }

  /** Applies a newer entry of the same incarnation. The placement leader's state of its models takes precedence. */
  update (entry: BackendEntry): void {
    const earlier = new Set(this.entry.models.map(({ name }) => name))
    this.entry = entry
    if (!this.hasLeaderState) return this.applyModels(entry.models)
    // A command of an earlier leader took effect after the current leader had queried the engine.
    if (entry.models.some(({ name }) => !earlier.has(name) && !this.replicas.has(name))) this.hasStateMismatch = true
    // An engine adds a model to its entry when the load has ended.
    for (const { name } of entry.models) {
      const state = this.replicas.get(name)
      if (state?.isLoading) Object.assign(state, { isLoading: false, readyAtMs: 0 })
    }
  }

  /** The engine has accepted a command. */
  onCommandAccepted (): void {
    this.commandCount++
    this.lastCommandAtMs = this.clock.nowMs()
  }

  /**
   * Applies an engine's report to the placement leader. Returns false without applying it if it lags behind accepted
   * commands. With `isSettled`, no move is in progress, and planned loads and unloads are discarded.
   */
  updateFromReport (report: EngineReport, { isSettled = false } = {}): boolean {
    this.hasLeaderState = true
    const nowMs = this.clock.nowMs()
    if (report.orderCount < this.commandCount) {
      // A lower count that lasts longer than the report lag shows that the known count was wrong.
      if (nowMs - this.lastCommandAtMs < maxReportLagMs) return false
    }
    this.commandCount = report.orderCount
    if (isSettled) this.discardPendingMoves()
    this.applyModels(report.models)
    for (const key of report.adaptersLoading) {
      const [model, adapter] = key.split('/')
      const adapters = this.replicas.get(model!)?.adapters
      if (adapters && !adapters.has(adapter!)) adapters.set(adapter!, this.clock.nowMs() + expectedAdapterLoadMs)
    }
    return true
  }

  /** Replaces the replicas by those of a leader update. */
  updateReplicas (models: readonly ReplicaUpdate[]): void {
    const nowMs = this.clock.nowMs()
    this.hasLeaderState = true
    this.excludedUntilMs.clear()
    this.replicas = new Map(models.map(({ name, readyInMs, isLoading, isUnloading, adapters }) => [name, {
      readyAtMs: nowMs + readyInMs,
      isLoading,
      isUnloading,
      adapters: new Map(adapters.map(adapter => [adapter.name, nowMs + adapter.readyInMs]))
    }]))
  }

  /** Whether the server may get requests from this node now. */
  get isUsable (): boolean {
    return this.isPresent && this.pauseLeftMs === 0
  }

  /** Whether the server takes part in the fleet: its models count, and other nodes may send it requests. */
  get isPresent (): boolean {
    const nowMs = this.clock.nowMs()
    return !this.isGoing && nowMs < this.removalAtMs && nowMs >= this.ejectedUntilMs
  }

  /** Whether the server exits soon, according to its entry or to its responses. */
  get isGoing (): boolean {
    return this.entry.isDraining || this.hasAnnouncedLeaving
  }

  /** Whether a response of the server has announced that it is leaving, to this node or to another one. */
  get isLeaving (): boolean {
    return this.hasAnnouncedLeaving
  }

  /** Remaining time for which the server wants no requests from this node, in milliseconds. */
  get pauseLeftMs (): number {
    return Math.max(0, this.pausedUntilMs - this.clock.nowMs())
  }

  /** Applies what a response says about the server itself. Another server may respond at the address of a misdirected request. */
  onNotice ({ isLeaving, requestedPause, isMisdirected }: Pick<ResponseMetadata, 'isLeaving' | 'requestedPause' | 'isMisdirected'>): void {
    if (isMisdirected) return
    if (isLeaving) this.markLeaving()
    if (!requestedPause) return
    const appliedMs = 'ms' in requestedPause ? Math.min(maxPauseMs, requestedPause.ms) : 0
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.clock.nowMs() + appliedMs)
    this.options.onPauseRequested?.(requestedPause, appliedMs)
  }

  /** The server is leaving. This holds for the rest of its incarnation and is no failure. */
  markLeaving (): void {
    if (this.hasAnnouncedLeaving) return
    this.hasAnnouncedLeaving = true
    this.options.onLeaving?.()
  }

  /**
   * To be called when a connection with a request in progress has closed. Resolves with whether the server's process has ended
   * without an announcement: its machine refuses connections. A reset, a cut, a paused or a leaving server does not count.
   */
  async confirmExit (): Promise<boolean> {
    if (this.isGoing) return false
    const running = this.running
    this.exitCheck ??= this.pool.isRefused().finally(() => { this.exitCheck = undefined })
    const isRefused = await this.exitCheck
    if (isRefused && !this.hasExited) {
      this.hasExited = true
      this.options.onExited?.(running)
    }
    return this.hasExited
  }

  serves (model: string | undefined, adapter: string | undefined): boolean {
    if (model === undefined) return true
    const state = this.replicas.get(model)
    const nowMs = this.clock.nowMs()
    if (!state || state.isUnloading || state.isLoading || this.isExcluded(model)) return false
    if (adapter !== undefined && this.isExcluded(`${model}/${adapter}`)) return false
    return adapter === undefined || (state.adapters.get(adapter) ?? Infinity) <= nowMs
  }

  /** Number of models and adapters for which requests can be sent. */
  get readyCount (): number {
    if (!this.isPresent) return 0
    const nowMs = this.clock.nowMs()
    let count = 0
    for (const { isLoading, isUnloading, adapters } of this.replicas.values()) {
      if (isLoading || isUnloading) continue
      count++
      for (const readyAtMs of adapters.values()) if (readyAtMs <= nowMs) count++
    }
    return count
  }

  private isExcluded (key: string): boolean {
    return (this.excludedUntilMs.get(key) ?? 0) > this.clock.nowMs()
  }

  onStarted (model: string | undefined, adapter: string | undefined, tokens: number, rank: number): void {
    this.running++
    if (adapter !== undefined) this.runningByAdapter.set(`${model}/${adapter}`, (this.runningByAdapter.get(`${model}/${adapter}`) ?? 0) + 1)
    this.pendingTokens += tokens
    const key = model ?? ''
    const counts = this.runningByModel.get(key) ?? { count: 0, rank: Infinity }
    counts.count++
    counts.rank = Math.min(counts.rank, rank)
    this.runningByModel.set(key, counts)
  }

  onFirstByte (tokens: number): void {
    this.pendingTokens = Math.max(0, this.pendingTokens - tokens)
  }

  onEnded (model: string | undefined, adapter: string | undefined): void {
    this.running--
    const left = (this.runningByAdapter.get(`${model}/${adapter}`) ?? 0) - 1
    if (left > 0) this.runningByAdapter.set(`${model}/${adapter}`, left)
    else this.runningByAdapter.delete(`${model}/${adapter}`)
    const counts = this.runningByModel.get(model ?? '')
    if (counts && --counts.count === 0) this.runningByModel.delete(model ?? '')
  }

  /** Returns and resets the outcomes of requests that ended since the last call. */
  collectOutcomes (): { answered: number, failed: number } {
    const { outcomes } = this
    this.outcomes = { answered: 0, failed: 0 }
    return outcomes
  }

  onResponse (delayMs: number): void {
    this.outcomes.answered++
    this.sample(0, delayMs)
    this.ejections = 0
  }

  /** A request failed at the server. */
  onFailed (): void {
    this.outcomes.failed++
    this.sample(1, this.delayMs)
  }

  /**
   * The server rejected a request because it is another server than expected, or lacks the model or adapter. Known replicas
   * stay until the engine reports otherwise: the rejection may predate a load in progress.
   */
  onMisdirected (model: string | undefined, adapter: string | undefined): void {
    if (model === undefined || !this.replicas.has(model)) return this.onUnreachable()
    this.excludedUntilMs.set(adapter === undefined ? model : `${model}/${adapter}`, this.clock.nowMs() + mismatchExclusionMs)
    this.hasStateMismatch = true
  }

  /** Returns and resets whether the engine's state was found to differ from the expected one since the last call. */
  collectStateMismatch (): boolean {
    const { hasStateMismatch } = this
    this.hasStateMismatch = false
    return hasStateMismatch
  }

  /** The server does not accept connections or is unresponsive: ejects it for a while. */
  onUnreachable (): void {
    this.onFailed()
    // An engine that nobody reaches may have the only copy of a model.
    this.hasStateMismatch = true
    this.ejectedUntilMs = this.clock.nowMs() + Math.min(maxEjectionMs, firstEjectionMs * 2 ** this.ejections++)
    this.pool.closeIdle()
  }

  get failureShare (): number {
    return this.failures * this.decay()
  }

  get smoothedDelayMs (): number {
    return this.delayMs * this.decay()
  }

  private sample (failed: number, delayMs: number): void {
    const decay = this.decay()
    this.failures = this.failures * decay * (1 - smoothing) + failed * smoothing
    this.delayMs = this.delayMs * decay * (1 - smoothing) + delayMs * smoothing
    this.sampledAtMs = this.clock.nowMs()
  }

  private decay (): number {
    return 0.5 ** ((this.clock.nowMs() - this.sampledAtMs) / sampleHalfLifeMs)
  }

  private discardPendingMoves (): void {
    for (const [name, state] of this.replicas) {
      if (state.isLoading) this.replicas.delete(name)
      state.isUnloading = false
    }
  }

  /** Sets the replicas to `models`. Pending loads stay expected and unloading models unused until the engine shows otherwise. */
  private applyModels (models: readonly LoadedModel[]): void {
    const nowMs = this.clock.nowMs()
    const earlier = this.replicas
    this.excludedUntilMs.clear()
    this.replicas = new Map(models.map(({ name, adapters }) => [name, {
      readyAtMs: 0, isLoading: false, isUnloading: earlier.get(name)?.isUnloading ?? false, adapters: new Map(adapters.map(adapter => [adapter, 0]))
    }]))
    for (const [name, state] of earlier) {
      const present = this.replicas.get(name)
      if (!present && state.isLoading) this.replicas.set(name, state)
      if (!present) continue
      for (const [adapter, readyAtMs] of state.adapters) {
        if (readyAtMs > nowMs && !present.adapters.has(adapter)) present.adapters.set(adapter, readyAtMs)
      }
    }
  }
}

/** Version of the software that a backend server runs; empty if its entry names none. */
export function versionOf ({ softwareVersion }: Pick<BackendEntry, 'softwareVersion'>): string {
  return softwareVersion ?? ''
}

/** Service and version of the software that a backend server runs. */
export function softwareOf (entry: BackendEntry): string {
  return `${entry.service}/${versionOf(entry)}`
}
