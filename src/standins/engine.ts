/** Stand-in for a model engine. */

import { z } from 'zod'
import { withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { CallError, messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { checkNotAborted } from '../external/httpCall.js'
import type { CacheEvent, CommandReply, EngineApi, EngineCommand, EngineSession, EngineStatus, InferenceEvent, InferenceRequest, KvExport, LoadedAdapter, LoadedModel } from '../external/engine.js'
import type { WeightStore } from '../external/weightStore.js'
import { Batcher } from './batcher.js'
import type { RequestLogEntry } from './batcher.js'
import { FaultSwitches, never } from './faultSwitches.js'
import { PrefixCache } from './prefixCache.js'

const callsBase = { calls: z.number().int().positive().default(1) }
const commandKinds = ['claim', 'load', 'unload', 'loadAdapter', 'unloadAdapter', 'setRole'] as const
const commandBase = { ...callsBase, command: z.enum(commandKinds).optional() }

/** `command` limits a fault to one kind of command. */
export const engineControlSchema = z.discriminatedUnion('fault', [
  /** Never executed. Not answered, or, with `cut`, the connection is cut at once. */
  z.object({ ...commandBase, fault: z.literal('commandLost'), cut: z.boolean().default(false) }),
  /** Delivered to the same process after `delayMs`, or at `deliverHeld`. */
  z.object({ ...commandBase, fault: z.literal('commandLate'), delayMs: z.number() }),
  /** Delivered at once and again after `delayMs`, or at `deliverHeld`. */
  z.object({ ...commandBase, fault: z.literal('commandRepeated'), delayMs: z.number() }),
  /** Executed. Not answered, or, with `cut`, the connection is cut after the effect. */
  z.object({ ...commandBase, fault: z.literal('commandReplyLost'), cut: z.boolean().default(false) }),
  /** Delivers all late and repeated commands that are still held back. */
  z.object({ ...callsBase, fault: z.literal('deliverHeld') }),
  z.object({ ...callsBase, fault: z.literal('silentStatus') }),
  /** The next statuses repeat the load figures of the status before. */
  z.object({ ...callsBase, fault: z.literal('missingLoadReport') }),
  /** One cache event for each of `calls` is never published. */
  z.object({ ...callsBase, fault: z.literal('missingCacheEvent') }),
  /** The next streams are cut after `afterTokens` tokens. */
  z.object({ ...callsBase, fault: z.literal('cutStream'), afterTokens: z.number() }),
  z.object({ ...callsBase, fault: z.literal('crash'), restartAfterMs: z.number().optional() }),
  z.object({ ...callsBase, fault: z.literal('restart') }),
  /** Answers nothing until `resume`; calls that came meanwhile are then executed. */
  z.object({ ...callsBase, fault: z.literal('pause') }),
  z.object({ ...callsBase, fault: z.literal('resume') }),
  z.object({ ...callsBase, fault: z.literal('drain') }),
  z.object({ ...callsBase, fault: z.literal('clear') })
])
export type EngineControlMessage = z.input<typeof engineControlSchema>
type EngineFault = z.infer<typeof engineControlSchema>

export interface EngineStandInOptions {
  clock: Clock
  engine: string
  weightStore: WeightStore
  accelerators?: number
  memoryBytes?: number
  kvCacheBytes?: number
  /** Refuses commands with an old fencing number. */
  honoursFence?: boolean
  /** Refuses loads that do not fit. If false, they run and are recorded in `log.violations`. */
  checksMemory?: boolean
  maxBatch?: number
  kvTokens?: number
  prefixCacheTokens?: number
  stepMs?: (batchSize: number) => number
  prefillMsPerToken?: number
  loadReportLagMs?: number
  cacheEventLagMs?: number
  /** Each n-th cache event is missing; 0: none. */
  cacheEventDropEvery?: number
  graceMs?: number
  /** Tokens say when the request came and when they were generated. */
  stampsTokens?: boolean
}

/** Memory was overcommitted. */
export interface MemoryViolation {
  atMs: number
  incarnation: string
  commandId: string
  memoryBytes: number
  kvCacheBytes: number
  models: LoadedModel[]
  adapters: LoadedAdapter[]
}

/** One delivery of a command. `effectMs` is absent until it took effect or was refused. */
export interface CommandLogEntry {
  command: EngineCommand
  delivery: 'prompt' | 'late' | 'repeated'
  incarnation: string
  atMs: number
  effectMs?: number
  refusal?: CommandReply['refusal']
}

export interface EngineLog {
  requests: RequestLogEntry[]
  commands: CommandLogEntry[]
  violations: MemoryViolation[]
}

type LoadFigures = Pick<EngineStatus, 'running' | 'queued' | 'freeKvTokens' | 'stepMs' | 'reportedAtMs'>

/** What is lost when the engine's process ends. */
class EngineProcess {
  fence = 0
  role: EngineStatus['role'] = 'mixed'
  draining = false
  readonly models = new Map<string, LoadedModel>()
  readonly adapters = new Map<string, LoadedAdapter>()
  /** Loads and unloads in progress, by model or adapter. */
  readonly changes = new Map<string, Promise<CommandReply['refusal']>>()
  readonly loadHistory: LoadFigures[] = []
  readonly died: Promise<never>
  kill: (error: Error) => void = () => {}

  constructor (readonly incarnation: string, readonly batcher: Batcher, readonly cache: PrefixCache) {
    this.died = new Promise((_resolve, reject) => { this.kill = reject })
    this.died.catch(() => {})
  }
}

export class EngineStandIn implements EngineApi {
  readonly engine: string
  readonly log: EngineLog = { requests: [], commands: [], violations: [] }
  private readonly options: Required<EngineStandInOptions>
  private readonly clock: Clock
  private readonly faults = new FaultSwitches<EngineFault>()
  private process: EngineProcess | undefined
  private readonly held = new Set<() => void>()
  private starts = 0
  private gate: Promise<void> | undefined
  private openGate = () => {}
  private lastReport: LoadFigures | undefined

  constructor (options: EngineStandInOptions) {
    this.options = {
      accelerators: 8,
      memoryBytes: 640e9,
      kvCacheBytes: 160e9,
      honoursFence: true,
      checksMemory: false,
      maxBatch: 64,
      kvTokens: 1_000_000,
      prefixCacheTokens: 200_000,
      stepMs: batchSize => 15 + 0.3 * batchSize,
      prefillMsPerToken: 0.05,
      loadReportLagMs: 500,
      cacheEventLagMs: 300,
      cacheEventDropEvery: 0,
      graceMs: 5000,
      stampsTokens: false,
      ...options
    }
    this.engine = options.engine
    this.clock = options.clock
    this.start()
  }

  /** The present incarnation; empty while the process is down. */
  get incarnation (): string {
    return this.process?.incarnation ?? ''
  }

  /** Faults that still apply to some call. */
  get activeFaults (): number {
    return this.faults.activeCount
  }

  control (control: EngineControlMessage): void {
    const fault = engineControlSchema.parse(control)
    switch (fault.fault) {
      case 'crash': {
        this.crash()
        if (fault.restartAfterMs !== undefined) this.clock.setTimer(fault.restartAfterMs, () => this.start())
        return
      }
      case 'restart':
        this.crash()
        return this.start()
      case 'pause': return this.pause()
      case 'resume': return this.resumeProcess()
      case 'drain':
        if (this.process) this.process.draining = true
        return
      case 'deliverHeld': {
        for (const deliver of [...this.held]) deliver()
        return
      }
      case 'clear': return this.faults.clear()
      default: this.faults.add(fault)
    }
  }

  status ({ timeoutMs }: { timeoutMs: number }): Promise<EngineStatus> {
    return this.limited(timeoutMs, 'status', () => this.readStatus())
  }

  async openSession ({ timeoutMs }: { timeoutMs: number }): Promise<EngineSession> {
    const { incarnation } = await this.status({ timeoutMs })
    return {
      engine: this.engine,
      incarnation,
      command: (command, options) => this.limited(options.timeoutMs, `command ${command.kind}`, () => this.deliver(incarnation, command))
    }
  }

  async * infer (request: InferenceRequest, { signal }: { signal?: AbortSignal }): AsyncGenerator<InferenceEvent> {
    checkNotAborted(this.engine, signal)
    yield * this.cancelledBy(signal, request.requestId, await this.startInference(request, signal))
  }

  async * resume (requestId: string, fromIndex: number, { attemptId, signal }: { attemptId: string, signal?: AbortSignal }): AsyncGenerator<InferenceEvent> {
    checkNotAborted(this.engine, signal)
    yield * this.cancelledBy(signal, requestId, await this.startRead(requestId, fromIndex, attemptId, signal))
  }

  async cancel (requestId: string): Promise<void> {
    (await this.running()).batcher.cancel(requestId)
  }

  async cacheEvents (afterSequence: number): Promise<CacheEvent[]> {
    return (await this.running()).cache.published(afterSequence)
  }

  async exportKv (requestId: string): Promise<KvExport> {
    return (await this.running()).batcher.exportKv(requestId)
  }

  async importKv (kv: KvExport): Promise<void> {
    (await this.running()).batcher.importKv(kv)
  }

  /** The status without a time limit, for the HTTP server. */
  async readStatus (): Promise<EngineStatus> {
    const process = await this.running()
    if (this.faults.take('silentStatus')) return never()
    return this.describe(process)
  }

  /** Starts a request and returns its events. An abort of `signal` is a cut connection here. */
  async startInference (request: InferenceRequest, signal?: AbortSignal): Promise<AsyncGenerator<InferenceEvent>> {
    const process = await this.running()
    if (process.draining) throw new NotRunError(this.engine, 'the engine is draining')
    if (process.models.get(request.model)?.state !== 'ready') throw new NotRunError(this.engine, `model ${request.model} is not ready`)
    if (request.adapter !== undefined && process.adapters.get(request.adapter)?.state !== 'ready') {
      throw new NotRunError(this.engine, `adapter ${request.adapter} is not ready`)
    }
    process.batcher.submit(request)
    return this.startRead(request.requestId, request.generatedTokens?.length ?? 0, request.attemptId, signal)
  }

  /** The events of a request that runs. An abort of `signal` is a cut connection here. */
  async startRead (requestId: string, fromIndex: number, attemptId: string, signal?: AbortSignal): Promise<AsyncGenerator<InferenceEvent>> {
    const process = await this.running()
    process.batcher.exportKv(requestId) // Rejects an unknown request before the first event.
    return process.batcher.read(requestId, fromIndex, { attemptId, signal, cutAfterTokens: this.faults.take('cutStream')?.afterTokens })
  }

  /** Takes a command from a connection to `incarnation`, without a time limit. */
  async deliver (incarnation: string, command: EngineCommand): Promise<CommandReply> {
    const process = await this.running()
    if (process.incarnation !== incarnation) throw new NotRunError(this.engine, `the session to incarnation ${incarnation} has ended`)
    return Promise.race([this.transmit(process, command), process.died])
  }

  /** What the network does with a command and with its reply. */
  private async transmit (process: EngineProcess, command: EngineCommand): Promise<CommandReply> {
    const matches = (fault: { command?: string }) => fault.command === undefined || fault.command === command.kind
    const lost = this.faults.take('commandLost', matches)
    if (lost) return this.unanswered(lost.cut)
    const late = this.faults.take('commandLate', matches)
    if (late) {
      await this.holdBack(late.delayMs)
      return this.execute(process, command, 'late')
    }
    const repeated = this.faults.take('commandRepeated', matches)
    if (repeated) this.holdBack(repeated.delayMs).then(() => this.execute(process, command, 'repeated')).catch(() => {})
    const replyLost = this.faults.take('commandReplyLost', matches)
    const reply = await this.execute(process, command, 'prompt')
    return replyLost ? this.unanswered(replyLost.cut) : reply
  }

  private unanswered (cut: boolean): Promise<never> {
    return cut ? Promise.reject(new UnknownOutcomeError(this.engine, 'the connection was cut')) : never()
  }

  private holdBack (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const deliver = () => {
        cancel()
        this.held.delete(deliver)
        resolve()
      }
      const cancel = this.clock.setTimer(delayMs, deliver)
      this.held.add(deliver)
    })
  }

  private start (): void {
    if (this.process) return
    const { clock, options, engine } = this
    const incarnation = `${engine}-${clock.nowMs()}-${++this.starts}`
    const cache = new PrefixCache({
      clock, maxTokens: options.prefixCacheTokens, eventLagMs: options.cacheEventLagMs, dropEvery: options.cacheEventDropEvery, isDropped: () => this.faults.take('missingCacheEvent') !== undefined
    })
    const batcher: Batcher = new Batcher({
      ...options, kvBytesPerToken: options.kvCacheBytes / options.kvTokens, incarnation, cache, log: this.log.requests, onLoadChange: () => this.recordLoad(process)
    })
    const process = new EngineProcess(incarnation, batcher, cache)
    this.process = process
    this.recordLoad(process)
  }

  private crash (): void {
    const process = this.process
    this.process = undefined
    this.resumeProcess()
    process?.batcher.crash()
    process?.kill(new UnknownOutcomeError(this.engine, 'the connection was cut by a crash'))
  }

  private pause (): void {
    this.gate ??= new Promise(resolve => { this.openGate = resolve })
    this.process?.batcher.setPaused(true)
  }

  private resumeProcess (): void {
    this.gate = undefined
    this.openGate()
    this.process?.batcher.setPaused(false)
  }

  /** The process, once it is not paused. */
  private async running (): Promise<EngineProcess> {
    const process = this.process
    if (!process) throw new NotRunError(this.engine, 'connection refused')
    if (this.gate) await Promise.race([this.gate, process.died])
    if (this.process !== process) throw new UnknownOutcomeError(this.engine, 'the connection was cut by a crash')
    return process
  }

  private limited<T> (timeoutMs: number, action: string, call: () => Promise<T>): Promise<T> {
    return withTimeout(this.clock, timeoutMs, call, { action: `${action} of ${this.engine}` }).catch(error => {
      throw error instanceof CallError ? error : new UnknownOutcomeError(this.engine, messageOf(error), { cause: error })
    })
  }

  private async * cancelledBy (signal: AbortSignal | undefined, requestId: string, events: AsyncGenerator<InferenceEvent>): AsyncGenerator<InferenceEvent> {
    const onAbort = () => { this.cancel(requestId).catch(() => {}) }
    signal?.addEventListener('abort', onAbort, { once: true })
    try {
      yield * events
    } finally {
      signal?.removeEventListener('abort', onAbort)
    }
  }

  private async execute (process: EngineProcess, command: EngineCommand, delivery: CommandLogEntry['delivery']): Promise<CommandReply> {
    // A command for a process that ended is lost with its connection.
    if (this.process !== process) throw new UnknownOutcomeError(this.engine, 'the connection was cut by a crash')
    if (this.gate) await Promise.race([this.gate, process.died])
    const entry: CommandLogEntry = { command, delivery, incarnation: process.incarnation, atMs: this.clock.nowMs() }
    this.log.commands.push(entry)
    const refusal = await Promise.race([this.apply(process, command), process.died])
    entry.effectMs = this.clock.nowMs()
    if (refusal) entry.refusal = refusal
    if (this.gate) await Promise.race([this.gate, process.died])
    return { accepted: refusal === undefined, ...(refusal ? { refusal } : {}), status: this.describe(process) }
  }

  private async apply (process: EngineProcess, command: EngineCommand): Promise<CommandReply['refusal']> {
    if (this.options.honoursFence) {
      if (command.fence < process.fence) return 'stale-fence'
      process.fence = command.fence
    }
    switch (command.kind) {
      case 'claim': return undefined
      case 'load': return this.load(process, command)
      case 'unload': return this.unload(process, command.model)
      case 'loadAdapter': return this.loadAdapter(process, command)
      case 'unloadAdapter': {
        await process.changes.get(`adapter ${command.adapter}`)
        return process.adapters.delete(command.adapter) ? undefined : 'unknown-model'
      }
      case 'setRole': process.role = command.role
    }
    return undefined
  }

  private load (process: EngineProcess, command: Extract<EngineCommand, { kind: 'load' }>): Promise<CommandReply['refusal']> {
    const { model, memoryBytes, commandId } = command
    const key = `model ${model}`
    const current = process.models.get(model)
    if (current?.state === 'ready') return Promise.resolve(undefined)
    if (current?.state === 'loading') return process.changes.get(key)!
    // The fencing number may have become old during the unload.
    if (current) return process.changes.get(key)!.then(() => this.apply(process, command))
    if (process.draining) return Promise.resolve('draining')
    if (!this.hasRoom(process, memoryBytes)) return Promise.resolve('no-memory')
    const entry: LoadedModel = { name: model, state: 'loading', memoryBytes }
    process.models.set(model, entry)
    this.checkMemory(process, commandId)
    return this.track(process, key, this.options.weightStore.loadModel(model, memoryBytes).then(() => {
      entry.state = 'ready'
      return undefined
    }, () => {
      process.models.delete(model)
      return 'store-failed' as const
    }))
  }

  /** Running requests finish first; the memory counts until then. */
  private async unload (process: EngineProcess, model: string): Promise<CommandReply['refusal']> {
    const key = `model ${model}`
    const entry = process.models.get(model)
    if (!entry) return 'unknown-model'
    if (entry.state === 'unloading') return process.changes.get(key)!
    const loading = process.changes.get(key)
    entry.state = 'unloading'
    return this.track(process, key, (async () => {
      await loading
      if (process.models.get(model) !== entry) return undefined
      entry.state = 'unloading'
      await process.batcher.idle(model)
      process.models.delete(model)
      for (const adapter of [...process.adapters.values()]) if (adapter.baseModel === model) process.adapters.delete(adapter.name)
      process.cache.evictModel(model)
      return undefined
    })())
  }

  private async loadAdapter (process: EngineProcess, { adapter, baseModel, memoryBytes, commandId }: Extract<EngineCommand, { kind: 'loadAdapter' }>): Promise<CommandReply['refusal']> {
    const key = `adapter ${adapter}`
    const current = process.adapters.get(adapter)
    if (current) return current.state === 'loading' ? process.changes.get(key) : undefined
    if (!process.models.has(baseModel)) return 'unknown-model'
    if (process.draining) return 'draining'
    if (!this.hasRoom(process, memoryBytes)) return 'no-memory'
    const entry: LoadedAdapter = { name: adapter, baseModel, state: 'loading', memoryBytes }
    process.adapters.set(adapter, entry)
    this.checkMemory(process, commandId)
    return this.track(process, key, this.options.weightStore.loadAdapter(adapter, memoryBytes).then(() => {
      entry.state = 'ready'
      return undefined
    }, () => {
      process.adapters.delete(adapter)
      return 'store-failed' as const
    }))
  }

  private track (process: EngineProcess, key: string, change: Promise<CommandReply['refusal']>): Promise<CommandReply['refusal']> {
    const tracked = change.finally(() => {
      if (process.changes.get(key) === tracked) process.changes.delete(key)
    })
    process.changes.set(key, tracked)
    return tracked
  }

  private usedBytes (process: EngineProcess): number {
    return [...process.models.values(), ...process.adapters.values()].reduce((sum, { memoryBytes }) => sum + memoryBytes, this.options.kvCacheBytes)
  }

  private hasRoom (process: EngineProcess, memoryBytes: number): boolean {
    return !this.options.checksMemory || this.usedBytes(process) + memoryBytes <= this.options.memoryBytes
  }

  private checkMemory (process: EngineProcess, commandId: string): void {
    const { memoryBytes, kvCacheBytes } = this.options
    if (this.usedBytes(process) <= memoryBytes) return
    const { models, adapters } = contentsOf(process)
    this.log.violations.push({ atMs: this.clock.nowMs(), incarnation: process.incarnation, commandId, memoryBytes, kvCacheBytes, models, adapters })
  }

  private recordLoad (process: EngineProcess): void {
    const figures = { ...process.batcher.load(), reportedAtMs: this.clock.nowMs() }
    if (process.loadHistory.at(-1)?.reportedAtMs === figures.reportedAtMs) process.loadHistory.pop()
    process.loadHistory.push(figures)
    this.dropOldLoad(process)
  }

  /** Keeps the newest figures that are at least one lag old, and all newer ones. */
  private dropOldLoad ({ loadHistory }: EngineProcess): void {
    const visibleMs = this.clock.nowMs() - this.options.loadReportLagMs
    while (loadHistory[1] && loadHistory[1].reportedAtMs <= visibleMs) loadHistory.shift()
  }

  /** Load figures as they were one lag ago, or at the start of the process. */
  private laggingLoad (process: EngineProcess): LoadFigures {
    if (this.lastReport && this.faults.take('missingLoadReport')) return this.lastReport
    this.dropOldLoad(process)
    const figures = process.loadHistory[0]!
    this.lastReport = { ...figures, reportedAtMs: Math.max(figures.reportedAtMs, this.clock.nowMs() - this.options.loadReportLagMs) }
    return this.lastReport
  }

  private describe (process: EngineProcess): EngineStatus {
    const { accelerators, memoryBytes, kvCacheBytes, maxBatch } = this.options
    const { incarnation, fence, role, draining } = process
    return { engine: this.engine, incarnation, fence, role, draining, accelerators, memoryBytes, kvCacheBytes, maxBatch, ...contentsOf(process), ...this.laggingLoad(process) }
  }

  /** Present load, for the header of an answer. */
  presentLoad (): { running: number, queued: number } | undefined {
    return this.process?.batcher.load()
  }
}

function contentsOf (process: EngineProcess): { models: LoadedModel[], adapters: LoadedAdapter[] } {
  return { models: [...process.models.values()].map(model => ({ ...model })), adapters: [...process.adapters.values()].map(adapter => ({ ...adapter })) }
}
