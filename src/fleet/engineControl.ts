/** The controller of one engine: gets control, polls the status, carries out moves and publishes the engine's entry. */

import { repeat, withTimeout } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { randomInt } from '../base/random.js'
import type { EngineApi, EngineStatus } from '../external/engine.js'
import type { KeyValueStore } from '../external/keyValueStore.js'
import type { Vm } from '../external/vmList.js'
import type { EngineEntry, Move } from '../protocol/messages.js'
import { AdapterLoadLimiter } from './adapterLoads.js'
import { ControlLostError, ReacquireError } from './arbiter.js'
import type { Arbiter, CommandResult } from './arbiter.js'
import { CommandGate } from './commandGate.js'
import { fenceWriter } from './fence.js'
import { FenceArbiter } from './fenceArbiter.js'
import { LoadWatch } from './loadWatch.js'
import { RecordArbiter } from './recordArbiter.js'
import type { RecordArbiterOptions } from './recordArbiter.js'

const pollPeriodMs = 500
const pollTimeoutMs = 2_000
const silenceMs = 3_000
const reclaimDelayMs = 30_000
const reclaimJitterMs = 10_000
const acquireRetryMs = 1_000

export interface EngineControlOptions {
  clock: Clock
  random: Random
  log: Log
  node: string
  nodeAddress: string
  vm: Vm
  engine: EngineApi
  honoursFence: boolean
  /** Space for adapters by the configuration in force. */
  adapterBytes: () => number
  keyValueStore: KeyValueStore
  publish: (entry: EngineEntry) => void
  /** Highest `controlFence` under which any node published the engine's entry; 0 if none. */
  publishedFence?: () => number
  adapterLimiter?: AdapterLoadLimiter
  /** Replaces the arbiter, for tests and the proof's naive variant. */
  createArbiter?: (options: RecordArbiterOptions) => Arbiter
}

type Phase = 'acquiring' | 'held' | 'lost' | 'stopping'

/** See design.md 3.1. One for each engine that the node controls or tries to control. */
export class EngineControl {
  private phase: Phase = 'acquiring'
  private needsAcquire = true
  private acquiring: Promise<void> | undefined
  private acquireFailed = false
  private readonly arbiter: Arbiter
  private readonly gate = new CommandGate()
  private readonly loadWatch: LoadWatch
  private readonly adapterLimiter: AdapterLoadLimiter
  private modelCommands: Promise<unknown> = Promise.resolve()
  private status: EngineStatus | undefined
  private repliesSeen = 0
  private lastAnswerAtMs: number
  private polling = false
  private maintaining = false
  private readonly observerFence: number
  private readonly timers = new Set<CancelTimer>()
  private mayReclaim = () => true
  private vm: Vm

  constructor (private readonly options: EngineControlOptions) {
    const { clock, random, node, nodeAddress, engine, adapterBytes, keyValueStore } = options
    this.loadWatch = new LoadWatch(clock, engine.engine)
    const writer = fenceWriter(nodeAddress, randomInt(random, 2 ** 32))
    const publishedFence = options.publishedFence ?? (() => 0)
    const arbiterOptions = { clock, engine, node, writer, adapterBytes, publishedFence: () => Math.max(publishedFence(), this.observerFence), onReply: (status: EngineStatus) => this.onReply(status), loadWatch: this.loadWatch }
    this.arbiter = options.createArbiter?.({ ...arbiterOptions, keyValueStore }) ?? (options.honoursFence
      ? new FenceArbiter(arbiterOptions)
      : new RecordArbiter({ ...arbiterOptions, keyValueStore }))
    this.adapterLimiter = options.adapterLimiter ?? new AdapterLoadLimiter(clock, { initialLimit: 4 })
    this.observerFence = publishedFence() + 1
    this.vm = options.vm
    this.lastAnswerAtMs = clock.nowMs()
  }

  /** Claims or takes over the engine, then polls its status. */
  start (): void {
    this.acquireInBackground()
    this.timers.add(repeat(this.options.clock, pollPeriodMs, () => this.tick(), { firstDelayMs: 0 }))
  }

  /** Resolves when outstanding commands are answered or timed out. No command is sent afterwards. */
  async stop (): Promise<void> {
    this.phase = 'stopping'
    for (const cancel of this.timers) cancel()
    await this.gate.exclusive(async () => {})
  }

  /** Whether the node has control and has not noticed its loss. */
  controls (): boolean {
    return this.phase === 'held'
  }

  /** Whether control was lost to another node. */
  isLost (): boolean {
    return this.phase === 'lost'
  }

  /** Sets the condition under which a lost engine is claimed again. */
  setReclaimCondition (mayReclaim: () => boolean): void {
    this.mayReclaim = mayReclaim
  }

  /** Sets the VM list's present view, which shows leaving servers. */
  updateVm (vm: Vm): void {
    this.vm = vm
  }

  /** What a successor needs. Valid after `stop`. */
  handOver (): { fence: number, record: string, recordRevision: number } {
    return this.arbiter.handOver()
  }

  entry (): EngineEntry | undefined {
    if (!this.status) return undefined
    const { node, clock } = this.options
    return {
      ...this.status,
      draining: this.isDraining(),
      pool: this.vm.group,
      address: this.vm.address,
      region: this.vm.region,
      availabilityZone: this.vm.availabilityZone,
      controller: node,
      controlFence: Math.max(this.arbiter.fence(), this.observerFence),
      reachable: clock.nowMs() - this.lastAnswerAtMs < silenceMs,
      ...(this.phase === 'held' ? this.arbiter.account() : {})
    }
  }

  /** Unloads, sets the role, loads, then loads adapters. Resolves when the engine has answered all of it, or refuses. */
  async execute (move: Move): Promise<CommandResult> {
    try {
      const changesModels = move.unload.length > 0 || move.load !== undefined || move.setRole !== undefined
      if (changesModels) {
        const result = await this.inOrder(() => this.executeModels(move))
        if (!result.accepted) return result
      }
      if (move.loadAdapters.length === 0) return { accepted: true, reason: '' }
      return await this.executeAdapters(move)
    } catch (error) {
      return this.onCommandError(error)
    }
  }

  private inOrder<T> (call: () => Promise<T>): Promise<T> {
    const result = this.modelCommands.then(call)
    this.modelCommands = result.catch(() => {})
    return result
  }

  private async executeModels (move: Move): Promise<CommandResult> {
    await this.ensureControl()
    const refusal = this.refusal(move) ?? this.arbiter.misfit(move)
    if (refusal) return { accepted: false, reason: refusal }
    for (const model of move.unload) {
      const result = await this.command('exclusive', () => this.arbiter.unload(model))
      if (!result.accepted) return result
    }
    const { setRole: role, load, loadBytes } = move
    if (role) {
      const result = await this.command('exclusive', () => this.arbiter.setRole(role))
      if (!result.accepted) return result
    }
    if (load === undefined) return { accepted: true, reason: '' }
    return await this.command('shared', () => this.arbiter.load(load, loadBytes!))
  }

  private async executeAdapters (move: Move): Promise<CommandResult> {
    if (!this.arbiter.adaptersGranted(move.loadAdapters)) await this.ensureControl()
    const refusal = this.refusal(move)
    if (refusal) return { accepted: false, reason: refusal }
    let prepared = await this.command('shared', () => this.arbiter.prepareAdapters(move.loadAdapters, { mayUnload: false }))
    if (!prepared.accepted) prepared = await this.command('exclusive', () => this.arbiter.prepareAdapters(move.loadAdapters, { mayUnload: true }))
    if (!prepared.accepted) return prepared
    const results = await Promise.all(move.loadAdapters.map(adapter => this.adapterLimiter.run(() =>
      this.command('shared', () => this.arbiter.loadAdapter(adapter)).catch(error => this.onCommandError(error)))))
    return results.find(result => !result.accepted) ?? { accepted: true, reason: '' }
  }

  private refusal (move: Move): string | undefined {
    if (this.phase !== 'held') return `${this.options.node} does not control ${move.engine} (${this.phase})`
    const loads = move.load !== undefined || move.loadAdapters.length > 0
    if (loads && this.isDraining()) return `${move.engine} is draining`
    if (loads && !this.entry()?.reachable) return `${move.engine} has not answered for ${silenceMs} ms`
    if (move.load !== undefined && !(move.loadBytes! >= 0)) return `load of ${move.load} names no size`
    return undefined
  }

  /** Runs one step of a move, unless control was lost or became uncertain while it waited. */
  private command (kind: 'exclusive' | 'shared', call: () => Promise<CommandResult>): Promise<CommandResult> {
    return this.gate[kind](async () => {
      if (this.phase !== 'held') return { accepted: false, reason: `${this.options.node} does not control ${this.options.engine.engine} (${this.phase})` }
      try {
        return await call()
      } catch (error) {
        // Noted before the gate opens, so that no waiting command starts first.
        if (error instanceof ReacquireError) this.needsAcquire = true
        if (error instanceof ControlLostError) this.onLost(error)
        throw error
      }
    })
  }

  private onCommandError (error: unknown): CommandResult {
    if (error instanceof ControlLostError) {
      this.onLost(error)
    } else {
      this.needsAcquire = true
      this.acquireInBackground()
    }
    this.options.log('warn', 'engine command failed', { engine: this.options.engine.engine, reason: messageOf(error) })
    if (error instanceof ReacquireError && error.result) return error.result
    return { accepted: false, reason: messageOf(error) }
  }

  private async ensureControl (): Promise<void> {
    if (this.needsAcquire && (this.phase === 'acquiring' || this.phase === 'held')) await this.acquire()
  }

  private acquire (): Promise<void> {
    this.acquiring ??= this.gate.exclusive(async () => {
      if (!this.needsAcquire || (this.phase !== 'acquiring' && this.phase !== 'held')) return
      try {
        const status = await this.arbiter.acquire()
        this.onReply(status)
      } catch (error) {
        this.acquireFailed = true
        if (error instanceof ControlLostError) this.onLost(error)
        throw error instanceof ControlLostError ? error : new ReacquireError(`control of ${this.options.engine.engine}`, error)
      }
      this.acquireFailed = false
      this.needsAcquire = false
      if (this.phase === 'acquiring') this.phase = 'held'
      this.publish()
    }).finally(() => { this.acquiring = undefined })
    return this.acquiring
  }

  /** Tries until control is held, lost, or no longer wanted. */
  private acquireInBackground (): void {
    if (this.acquiring || !this.needsAcquire || this.phase === 'lost' || this.phase === 'stopping') return
    this.acquire().catch(error => {
      this.options.log('warn', 'engine control not acquired', { engine: this.options.engine.engine, reason: messageOf(error) })
      this.after(acquireRetryMs * (1 + this.options.random.next()), () => this.acquireInBackground())
    })
  }

  private onLost (error: ControlLostError): void {
    if (this.phase === 'lost' || this.phase === 'stopping') return
    this.phase = 'lost'
    this.options.log('warn', 'engine control lost', { engine: this.options.engine.engine, reason: error.message })
    this.reclaimLater()
  }

  private reclaimLater (): void {
    this.after(reclaimDelayMs + this.options.random.next() * reclaimJitterMs, () => {
      if (this.phase !== 'lost') return
      if (!this.mayReclaim()) return this.reclaimLater()
      this.phase = 'acquiring'
      this.needsAcquire = true
      this.acquireInBackground()
    })
  }

  private after (delayMs: number, callback: () => void): void {
    const cancel = this.options.clock.setTimer(delayMs, () => {
      this.timers.delete(cancel)
      callback()
    })
    this.timers.add(cancel)
  }

  private tick (): void {
    if (!this.polling) this.poll()
    // Also without an answer, since the silence itself is news.
    if (this.options.clock.nowMs() - this.lastAnswerAtMs >= silenceMs) this.publish()
    this.maintain()
  }

  private async poll (): Promise<void> {
    this.polling = true
    const repliesBefore = this.repliesSeen
    const askedAtMs = this.options.clock.nowMs()
    try {
      const status = await withTimeout(this.options.clock, pollTimeoutMs, () => this.options.engine.status({ timeoutMs: pollTimeoutMs }), { action: 'status poll' })
      this.lastAnswerAtMs = this.options.clock.nowMs()
      this.loadWatch.observe(status, askedAtMs)
      // A poll that was overtaken by a command's reply shows an older state.
      if (repliesBefore === this.repliesSeen) this.status = status
      // While control is being acquired the comparison says nothing: the engine may have seen the pending claim.
      if (this.phase === 'held' && !this.needsAcquire && this.isOvertaken(status)) {
        return this.onLost(new ControlLostError(status.engine, 'a later token was seen'))
      }
      if (this.phase === 'held' && this.arbiter.incarnation() !== undefined && status.incarnation !== this.arbiter.incarnation()) this.needsAcquire = true
      if (this.needsAcquire && !this.acquireFailed) this.acquireInBackground()
      this.publish()
    } catch (error) {
      this.options.log('debug', 'status poll failed', { engine: this.options.engine.engine, reason: messageOf(error) })
    } finally {
      this.polling = false
    }
  }

  /** By the engine's token or, where the engine ignores tokens, by the published entry. */
  private isOvertaken (status: EngineStatus): boolean {
    return this.arbiter.isLostBy(status) || (this.options.publishedFence?.() ?? 0) > Math.max(this.arbiter.fence(), this.observerFence)
  }

  private maintain (): void {
    if (this.phase !== 'held' || this.needsAcquire || this.maintaining) return
    this.maintaining = true
    this.command('shared', async () => {
      await this.arbiter.maintain()
      return { accepted: true, reason: '' }
    }).catch(error => this.onCommandError(error)).finally(() => { this.maintaining = false })
  }

  private onReply (status: EngineStatus): void {
    this.repliesSeen++
    this.status = status
    this.lastAnswerAtMs = this.options.clock.nowMs()
    this.publish()
  }

  private publish (): void {
    // Before control is held, the entry is published only if control cannot be had, as in an outage of the
    // key-value service: the resident models are served all the same.
    if (this.phase !== 'held' && !(this.phase === 'acquiring' && this.acquireFailed)) return
    const entry = this.entry()
    if (entry) this.options.publish(entry)
  }

  private isDraining (): boolean {
    return this.vm.state === 'leaving' || (this.status?.draining ?? false)
  }
}
