/** Controller of one engine: acquires control, polls the status, executes moves and publishes the engine's entry. */

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
import { AdapterLoadLimiter } from './adapterLoadLimiter.js'
import { ControlLostError, ReacquireError } from './commandAuthority.js'
import type { CommandAuthority, CommandResult } from './commandAuthority.js'
import { CommandLock } from './commandLock.js'
import { fenceWriter } from './fence.js'
import { FencedAuthority } from './fencedAuthority.js'
import { LoadLossDetector } from './loadLossDetector.js'
import { IntentLogAuthority } from './intentLogAuthority.js'
import type { IntentLogAuthorityOptions } from './intentLogAuthority.js'

const pollPeriodMs = 500
const pollTimeoutMs = 2_000
const unresponsiveAfterMs = 3_000
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
  /** Memory reserved for adapters in the current configuration. */
  adapterBytes: () => number
  keyValueStore: KeyValueStore
  publish: (entry: EngineEntry) => void
  /** Highest `controlFence` under which any node published the engine's entry; 0 if none. */
  publishedFence?: () => number
  adapterLimiter?: AdapterLoadLimiter
  /** Replaces the command authority, for tests and the naive variant of the fault-injection check. */
  createAuthority?: (options: IntentLogAuthorityOptions) => CommandAuthority
}

type Phase = 'acquiring' | 'held' | 'lost' | 'stopping'

/** Exists once for each engine that the node controls or tries to control. See design.md 3.1. */
export class EngineControl {
  private phase: Phase = 'acquiring'
  private needsAcquire = true
  private acquiring: Promise<void> | undefined
  private acquireFailed = false
  private readonly authority: CommandAuthority
  private readonly lock = new CommandLock()
  private readonly lossDetector: LoadLossDetector
  private readonly adapterLimiter: AdapterLoadLimiter
  private modelCommands: Promise<unknown> = Promise.resolve()
  private status: EngineStatus | undefined
  private repliesSeen = 0
  private lastResponseAtMs: number
  private polling = false
  private maintaining = false
  private readonly observerFence: number
  private readonly timers = new Set<CancelTimer>()
  private mayReclaim = () => true
  private vm: Vm

  constructor (private readonly options: EngineControlOptions) {
    const { clock, random, node, nodeAddress, engine, adapterBytes, keyValueStore } = options
    this.lossDetector = new LoadLossDetector(clock, engine.engine)
    const writer = fenceWriter(nodeAddress, randomInt(random, 2 ** 32))
    const publishedFence = options.publishedFence ?? (() => 0)
    const authorityOptions = { clock, engine, node, writer, adapterBytes, publishedFence: () => Math.max(publishedFence(), this.observerFence), onReply: (status: EngineStatus) => this.onReply(status), lossDetector: this.lossDetector }
    this.authority = options.createAuthority?.({ ...authorityOptions, keyValueStore }) ?? (options.honoursFence
      ? new FencedAuthority(authorityOptions)
      : new IntentLogAuthority({ ...authorityOptions, keyValueStore }))
    this.adapterLimiter = options.adapterLimiter ?? new AdapterLoadLimiter(clock, { initialLimit: 4 })
    this.observerFence = publishedFence() + 1
    this.vm = options.vm
    this.lastResponseAtMs = clock.nowMs()
  }

  /** Acquires control in the background and starts polling the status. */
  start (): void {
    this.acquireInBackground()
    this.timers.add(repeat(this.options.clock, pollPeriodMs, () => this.tick(), { firstDelayMs: 0 }))
  }

  /** Resolves when outstanding commands have received a reply or timed out. No command is sent afterwards. */
  async stop (): Promise<void> {
    this.phase = 'stopping'
    for (const cancel of this.timers) cancel()
    await this.lock.exclusive(async () => {})
  }

  /** Whether the node acquired control and has not detected its loss. */
  hasControl (): boolean {
    return this.phase === 'held'
  }

  /** Whether another node took control. */
  hasLostControl (): boolean {
    return this.phase === 'lost'
  }

  /** Sets the condition that must hold before the node tries to regain lost control. */
  setReclaimCondition (mayReclaim: () => boolean): void {
    this.mayReclaim = mayReclaim
  }

  /** Updates the VM list entry, which shows whether the server is draining. */
  updateVm (vm: Vm): void {
    this.vm = vm
  }

  /** State for the next controller. Final only after `stop`. */
  handOver (): { fence: number, record: string, recordRevision: number } {
    return this.authority.handOver()
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
      controlFence: Math.max(this.authority.fence(), this.observerFence),
      reachable: clock.nowMs() - this.lastResponseAtMs < unresponsiveAfterMs,
      ...(this.phase === 'held' ? this.authority.memoryAccount() : {})
    }
  }

  /**
   * Unloads models, sets the role, loads the model, then loads adapters. Resolves when the engine has replied to all
   * commands, or at the first refusal.
   */
  async execute (move: Move): Promise<CommandResult> {
    try {
      const changesModels = move.unload.length > 0 || move.load !== undefined || move.setRole !== undefined
      if (changesModels) {
        const result = await this.runInOrder(() => this.executeModels(move))
        if (!result.accepted) return result
      }
      if (move.loadAdapters.length === 0) return { accepted: true, reason: '' }
      return await this.executeAdapters(move)
    } catch (error) {
      return this.onCommandError(error)
    }
  }

  private runInOrder<T> (call: () => Promise<T>): Promise<T> {
    const result = this.modelCommands.then(call)
    this.modelCommands = result.catch(() => {})
    return result
  }

  private async executeModels (move: Move): Promise<CommandResult> {
    await this.ensureControl()
    const refusal = this.refusal(move) ?? this.authority.memoryShortage(move)
    if (refusal) return { accepted: false, reason: refusal }
    for (const model of move.unload) {
      const result = await this.runCommand('exclusive', () => this.authority.unload(model))
      if (!result.accepted) return result
    }
    const { setRole: role, load, loadBytes } = move
    if (role) {
      const result = await this.runCommand('exclusive', () => this.authority.setRole(role))
      if (!result.accepted) return result
    }
    if (load === undefined) return { accepted: true, reason: '' }
    return await this.runCommand('shared', () => this.authority.load(load, loadBytes!))
  }

  private async executeAdapters (move: Move): Promise<CommandResult> {
    if (!this.authority.adaptersGranted(move.loadAdapters)) await this.ensureControl()
    const refusal = this.refusal(move)
    if (refusal) return { accepted: false, reason: refusal }
    let prepared = await this.runCommand('shared', () => this.authority.prepareAdapters(move.loadAdapters, { mayUnload: false }))
    if (!prepared.accepted) prepared = await this.runCommand('exclusive', () => this.authority.prepareAdapters(move.loadAdapters, { mayUnload: true }))
    if (!prepared.accepted) return prepared
    const results = await Promise.all(move.loadAdapters.map(adapter => this.adapterLimiter.run(() =>
      this.runCommand('shared', () => this.authority.loadAdapter(adapter)).catch(error => this.onCommandError(error)))))
    return results.find(result => !result.accepted) ?? { accepted: true, reason: '' }
  }

  private refusal (move: Move): string | undefined {
    if (this.phase !== 'held') return `${this.options.node} does not control ${move.engine} (${this.phase})`
    const loads = move.load !== undefined || move.loadAdapters.length > 0
    if (loads && this.isDraining()) return `${move.engine} is draining`
    if (loads && !this.entry()?.reachable) return `${move.engine} has not responded for ${unresponsiveAfterMs} ms`
    if (move.load !== undefined && !(move.loadBytes! >= 0)) return `load of ${move.load} has no size`
    return undefined
  }

  /** Runs one command of a move, unless control was lost while the command waited. */
  private runCommand (kind: 'exclusive' | 'shared', call: () => Promise<CommandResult>): Promise<CommandResult> {
    return this.lock[kind](async () => {
      if (this.phase !== 'held') return { accepted: false, reason: `${this.options.node} does not control ${this.options.engine.engine} (${this.phase})` }
      try {
        return await call()
      } catch (error) {
        // Set while the lock is held, so that no waiting command starts first.
        if (error instanceof ReacquireError) this.needsAcquire = true
        if (error instanceof ControlLostError) this.onControlLost(error)
        throw error
      }
    })
  }

  private onCommandError (error: unknown): CommandResult {
    if (error instanceof ControlLostError) {
      this.onControlLost(error)
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
    this.acquiring ??= this.lock.exclusive(async () => {
      if (!this.needsAcquire || (this.phase !== 'acquiring' && this.phase !== 'held')) return
      try {
        const status = await this.authority.acquire()
        this.onReply(status)
      } catch (error) {
        this.acquireFailed = true
        if (error instanceof ControlLostError) this.onControlLost(error)
        throw error instanceof ControlLostError ? error : new ReacquireError(`control of ${this.options.engine.engine}`, error)
      }
      this.acquireFailed = false
      this.needsAcquire = false
      if (this.phase === 'acquiring') this.phase = 'held'
      this.publish()
    }).finally(() => { this.acquiring = undefined })
    return this.acquiring
  }

  /** Retries until control is acquired or lost, or this controller stops. */
  private acquireInBackground (): void {
    if (this.acquiring || !this.needsAcquire || this.phase === 'lost' || this.phase === 'stopping') return
    this.acquire().catch(error => {
      this.options.log('warn', 'engine control not acquired', { engine: this.options.engine.engine, reason: messageOf(error) })
      this.schedule(acquireRetryMs * (1 + this.options.random.next()), () => this.acquireInBackground())
    })
  }

  private onControlLost (error: ControlLostError): void {
    if (this.phase === 'lost' || this.phase === 'stopping') return
    this.phase = 'lost'
    this.options.log('warn', 'engine control lost', { engine: this.options.engine.engine, reason: error.message })
    this.scheduleReclaim()
  }

  private scheduleReclaim (): void {
    this.schedule(reclaimDelayMs + this.options.random.next() * reclaimJitterMs, () => {
      if (this.phase !== 'lost') return
      if (!this.mayReclaim()) return this.scheduleReclaim()
      this.phase = 'acquiring'
      this.needsAcquire = true
      this.acquireInBackground()
    })
  }

  private schedule (delayMs: number, callback: () => void): void {
    const cancel = this.options.clock.setTimer(delayMs, () => {
      this.timers.delete(cancel)
      callback()
    })
    this.timers.add(cancel)
  }

  private tick (): void {
    if (!this.polling) this.poll()
    // Published without a response too, since other nodes must see that the engine is unreachable.
    if (this.options.clock.nowMs() - this.lastResponseAtMs >= unresponsiveAfterMs) this.publish()
    this.maintain()
  }

  private async poll (): Promise<void> {
    this.polling = true
    const repliesBefore = this.repliesSeen
    const requestedAtMs = this.options.clock.nowMs()
    try {
      const status = await withTimeout(this.options.clock, pollTimeoutMs, () => this.options.engine.status({ timeoutMs: pollTimeoutMs }), { action: 'status poll' })
      this.lastResponseAtMs = this.options.clock.nowMs()
      this.lossDetector.observe(status, requestedAtMs)
      // If a command reply arrived during the poll, the reply is newer than the polled status.
      if (repliesBefore === this.repliesSeen) this.status = status
      // Skipped while control is being acquired, since the engine may have seen the token of the pending claim.
      if (this.phase === 'held' && !this.needsAcquire && this.isSuperseded(status)) {
        return this.onControlLost(new ControlLostError(status.engine, 'a higher fencing token was seen'))
      }
      if (this.phase === 'held' && this.authority.incarnation() !== undefined && status.incarnation !== this.authority.incarnation()) this.needsAcquire = true
      if (this.needsAcquire && !this.acquireFailed) this.acquireInBackground()
      this.publish()
    } catch (error) {
      this.options.log('debug', 'status poll failed', { engine: this.options.engine.engine, reason: messageOf(error) })
    } finally {
      this.polling = false
    }
  }

  /** Whether the engine's fencing token or, for engines that ignore tokens, the published entry shows a newer controller. */
  private isSuperseded (status: EngineStatus): boolean {
    return this.authority.isSupersededBy(status) || (this.options.publishedFence?.() ?? 0) > Math.max(this.authority.fence(), this.observerFence)
  }

  private maintain (): void {
    if (this.phase !== 'held' || this.needsAcquire || this.maintaining) return
    this.maintaining = true
    this.runCommand('shared', async () => {
      await this.authority.maintain()
      return { accepted: true, reason: '' }
    }).catch(error => this.onCommandError(error)).finally(() => { this.maintaining = false })
  }

  private onReply (status: EngineStatus): void {
    this.repliesSeen++
    this.status = status
    this.lastResponseAtMs = this.options.clock.nowMs()
    this.publish()
  }

  private publish (): void {
    // Without control, the entry is published only after a failed acquisition, for example in an outage of the key-value
    // service: the loaded models still serve requests.
    if (this.phase !== 'held' && !(this.phase === 'acquiring' && this.acquireFailed)) return
    const entry = this.entry()
    if (entry) this.options.publish(entry)
  }

  private isDraining (): boolean {
    return this.vm.state === 'leaving' || (this.status?.draining ?? false)
  }
}
