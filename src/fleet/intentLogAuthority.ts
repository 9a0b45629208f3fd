/** Controls an engine that ignores fencing tokens: its intent log in the key-value service decides which node has control. */

import { messageOf } from '../base/errors.js'
import { withTimeout } from '../base/clock.js'
import type { CommandReply, EngineCommand, EngineSession, EngineStatus } from '../external/engine.js'
import type { KeyValueEntry, KeyValueStore, SwapResult } from '../external/keyValueStore.js'
import type { Move } from '../protocol/messages.js'
import { ControlLostError, mayTakeEffect, openSession, ReacquireError, resultOf, sendCommand } from './commandAuthority.js'
import type { AdapterLoad, CommandAuthority, AuthorityOptions, CommandResult, MemoryAccount } from './commandAuthority.js'
import { addAttempt, intentLogSchema, grantAdapters, intentLogKey, removableIntents, removeIntent, settleAttempts, takeOver } from './intentLog.js'
import type { IntentLog, Intent, Transition } from './intentLog.js'
import { freeAdapterBytes, freeModelBytes } from './memoryBudget.js'
import type { MemoryCapacity } from './memoryBudget.js'

/**
 * Memory of an unloaded model stays allocated for this time, since a duplicate of its load command may arrive late. A
 * duplicate that is delayed even longer is not covered.
 */
export const unloadHoldMs = 30_000
const keyValueTimeoutMs = 3_000

export interface IntentLogAuthorityOptions extends AuthorityOptions {
  keyValueStore: KeyValueStore
}

/** Writes the intent log before each load command and after each reply to one. */
export class IntentLogAuthority implements CommandAuthority {
  private intentLog: IntentLog | undefined
  private revision = 0
  private session: EngineSession | undefined
  private limits = { memoryBytes: 0, kvCacheBytes: 0 }
  private resident = new Set<string>()
  /** Load attempts that have a reply or were never sent, but are still in the stored log. */
  private readonly settled = new Set<string>()
  /** Time at which the intent of a model that is not loaded may be removed. */
  private readonly removableAtMs = new Map<string, number>()
  private commandCount = 0
  private lastWrite: Promise<unknown> = Promise.resolve()
  /** A write without a reply may still take effect, so control must be acquired again first. */
  private hasUncertainWrite = false

  constructor (private readonly options: IntentLogAuthorityOptions) {}

  fence (): number {
    return this.intentLog?.fence ?? 0
  }

  incarnation (): string | undefined {
    return this.intentLog?.incarnation
  }

  async acquire (): Promise<EngineStatus> {
    const key = intentLogKey(this.options.engine.engine)
    const stored = await this.keyValueCall('read', () => this.options.keyValueStore.get(key))
    const previous = stored && intentLogSchema.parse(JSON.parse(stored.value))
    if (this.intentLog && previous && previous.fence > this.intentLog.fence && previous.controller !== this.owner()) {
      this.intentLog = undefined
      throw new ControlLostError(this.options.engine.engine, `intent log has fencing token ${previous.fence} of ${previous.controller}`)
    }
    // The session is opened after the log was read. An incarnation read earlier could be older than the one in the log,
    // and resetting the log to it would drop intents of loaded models.
    const session = await openSession(this.options)
    const reply = await sendCommand(this.options, session, { kind: 'claim', commandId: this.commandId(), fence: previous?.fence ?? 0 })
    const next = takeOver(previous && settleAttempts(previous, this.settled), {
      controller: this.owner(),
      incarnation: session.incarnation,
      minimumFence: this.options.publishedFence() + 1,
      resident: reply.status.models.map(model => ({ model: model.name, memoryBytes: model.memoryBytes }))
    })
    const result = await this.keyValueCall('takeover', () => this.options.keyValueStore.compareAndSwap(key, stored?.revision ?? 0, JSON.stringify(next)))
    if (!result.swapped) {
      const current = result.current && intentLogSchema.parse(JSON.parse(result.current.value))
      // An earlier takeover write of this node took effect after its call had timed out.
      if (current?.controller === this.owner()) throw new ReacquireError('takeover', new Error('an earlier write of this node arrived late'))
      throw new ControlLostError(session.engine, `takeover lost to ${describe(result.current)}`)
    }
    this.adopt(next, result.revision)
    this.session = session
    this.limits = { memoryBytes: reply.status.memoryBytes, kvCacheBytes: reply.status.kvCacheBytes }
    this.resident = new Set(reply.status.models.map(model => model.name))
    this.removableAtMs.clear()
    this.holdAbsentIntents()
    return reply.status
  }

  memoryShortage (move: Move): string | undefined {
    const { intentLog } = this
    if (!intentLog || !move.load || intentLog.entries.some(entry => entry.model === move.load)) return undefined
    const inDoubt = intentLog.entries.filter(entry => entry.outstandingAttempts.length > 0)
    const remaining = intentLog.entries.filter(entry => inDoubt.includes(entry) || !move.unload.includes(entry.model))
    const freeBytes = freeModelBytes(this.capacity(), remaining, intentLog.adapters)
    const neededBytes = move.loadBytes ?? 0
    return neededBytes > freeBytes ? `${move.load} needs ${neededBytes} bytes, ${Math.max(0, freeBytes)} are free after the unloads` : undefined
  }

  async load (model: string, memoryBytes: number): Promise<CommandResult> {
    const session = this.openedSession()
    const attemptId = this.commandId()
    const counted = await this.write(intentLog => addAttempt(intentLog, { model, memoryBytes, attemptId }, this.capacity()), attemptId)
    if (!counted.accepted) return { ...counted, reason: `${counted.reason}${this.heldMemoryText()}` }
    this.removableAtMs.delete(model)
    let reply: CommandReply
    try {
      reply = await sendCommand(this.options, session, { kind: 'load', commandId: attemptId, fence: this.fence(), model, memoryBytes })
    } catch (error) {
      if (!mayTakeEffect(error)) this.settled.add(attemptId)
      throw new ReacquireError(`load of ${model}`, error)
    }
    this.settled.add(attemptId)
    this.resident = new Set(reply.status.models.map(({ name }) => name))
    this.holdAbsentIntents()
    try {
      await this.write(intentLog => ({ ok: true, intentLog }))
    } catch (error) {
      if (error instanceof ReacquireError) throw new ReacquireError(`load of ${model}`, error, resultOf(reply))
      throw error
    }
    return resultOf(reply)
  }

  async unload (model: string): Promise<CommandResult> {
    const entry = this.intentLog?.entries.find(candidate => candidate.model === model)
    if (entry && entry.outstandingAttempts.length > 0) return { accepted: false, reason: `${model} has a load attempt without a reply and cannot be unloaded until the engine restarts` }
    const reply = await this.send({ kind: 'unload', commandId: this.commandId(), fence: this.fence(), model })
    this.resident = new Set(reply.status.models.map(({ name }) => name))
    this.holdAbsentIntents()
    return reply.refusal === 'unknown-model' ? { accepted: true, reason: '' } : resultOf(reply)
  }

  async prepareAdapters (adapters: readonly AdapterLoad[]): Promise<CommandResult> {
    if (this.adaptersGranted(adapters)) return { accepted: true, reason: '' }
    return await this.write(intentLog => grantAdapters(intentLog, adapters, this.capacity()))
  }

  adaptersGranted (adapters: readonly AdapterLoad[]): boolean {
    return adapters.every(({ adapter, memoryBytes }) => this.intentLog?.adapters.some(granted => granted.adapter === adapter && granted.memoryBytes >= memoryBytes))
  }

  async loadAdapter ({ adapter, baseModel, memoryBytes }: AdapterLoad): Promise<CommandResult> {
    const grant = this.intentLog?.adapters.find(granted => granted.adapter === adapter)
    if (!grant || memoryBytes > grant.memoryBytes) return { accepted: false, reason: `adapter ${adapter} has no grant of ${memoryBytes} bytes` }
    try {
      const command = { kind: 'loadAdapter', commandId: this.commandId(), fence: this.fence(), adapter, baseModel, memoryBytes } as const
      return resultOf(await sendCommand(this.options, this.openedSession(), command))
    } catch (error) {
      // The grant covers the load whenever it takes effect, so an unknown outcome does not require a takeover.
      if (mayTakeEffect(error)) return { accepted: false, reason: messageOf(error) }
      throw new ReacquireError(`load of adapter ${adapter}`, error)
    }
  }

  async setRole (role: EngineStatus['role']): Promise<CommandResult> {
    const reply = await this.send({ kind: 'setRole', commandId: this.commandId(), fence: this.fence(), role })
    this.limits = { memoryBytes: reply.status.memoryBytes, kvCacheBytes: reply.status.kvCacheBytes }
    return resultOf(reply)
  }

  /** Removes intents of models that are not loaded and whose hold time has ended. */
  async maintain (): Promise<void> {
    if (!this.session || this.dueIntents().length === 0) return
    // A duplicate command may have loaded the model again during the hold, so an exact status is needed.
    const reply = await this.send({ kind: 'claim', commandId: this.commandId(), fence: this.fence() })
    this.resident = new Set(reply.status.models.map(({ name }) => name))
    this.holdAbsentIntents()
    const due = this.dueIntents()
    if (due.length === 0) return
    const removed = await this.write(intentLog => due.reduce<Transition>(
      (result, entry) => result.ok ? removeIntent(result.intentLog, entry.model) : result, { ok: true, intentLog }))
    if (removed.accepted) for (const entry of due) this.removableAtMs.delete(entry.model)
  }

  isSupersededBy (): boolean {
    return false
  }

  private dueIntents (): Intent[] {
    if (!this.intentLog) return []
    const nowMs = this.options.clock.nowMs()
    return removableIntents(this.intentLog, this.resident).filter(entry => (this.removableAtMs.get(entry.model) ?? Infinity) <= nowMs)
  }

  memoryAccount (): MemoryAccount {
    if (!this.intentLog) return { freeModelBytes: 0, freeAdapterBytes: 0, stickyModels: [] }
    const { entries, adapters } = settleAttempts(this.intentLog, this.settled)
    return {
      freeModelBytes: freeModelBytes(this.capacity(), entries, adapters),
      freeAdapterBytes: Math.max(0, freeAdapterBytes(this.capacity(), entries, adapters)),
      stickyModels: entries.filter(entry => entry.outstandingAttempts.length > 0).map(entry => entry.model)
    }
  }

  handOver (): { fence: number, record: string, recordRevision: number } {
    return { fence: this.fence(), record: this.intentLog ? JSON.stringify(this.intentLog) : '', recordRevision: this.revision }
  }

  /** After any error, control is acquired again, which opens a new session. The engine ignores the fencing token. */
  private async send (command: EngineCommand): Promise<CommandReply> {
    try {
      return await sendCommand(this.options, this.openedSession(), command)
    } catch (error) {
      throw new ReacquireError(command.kind, error)
    }
  }

  private openedSession (): EngineSession {
    if (!this.session) throw new ReacquireError('command', new Error('no session is open'))
    return this.session
  }

  /**
   * Writes the changed log. `unsentAttempt` is an attempt added by this write, whose command is not sent if the write
   * fails. A write with an unknown outcome may still take effect, so control is acquired again: that raises the
   * revision, so that the late write fails.
   */
  private write (change: (intentLog: IntentLog) => Transition, unsentAttempt?: string): Promise<CommandResult> {
    const written = this.lastWrite.then(() => this.writeNow(change, unsentAttempt))
    // Writes run one after the other, and a failed write must not prevent the next one.
    this.lastWrite = written.catch(() => {})
    return written
  }

  private async writeNow (change: (intentLog: IntentLog) => Transition, unsentAttempt?: string): Promise<CommandResult> {
    if (this.hasUncertainWrite) throw new ReacquireError('write of the intent log', new Error('the outcome of an earlier write is unknown'))
    if (!this.intentLog) throw new ReacquireError('intent log', new Error('control is not held'))
    const changed = change(settleAttempts(this.intentLog, this.settled))
    if (!changed.ok) return { accepted: false, reason: changed.reason }
    let result: SwapResult
    try {
      result = await this.keyValueCall('write', () => this.options.keyValueStore.compareAndSwap(intentLogKey(this.options.engine.engine), this.revision, JSON.stringify(changed.intentLog)))
    } catch (error) {
      if (unsentAttempt) this.settled.add(unsentAttempt)
      this.hasUncertainWrite = true
      throw new ReacquireError('write of the intent log', error)
    }
    if (!result.swapped) {
      if (unsentAttempt) this.settled.add(unsentAttempt)
      this.intentLog = undefined
      throw new ControlLostError(this.options.engine.engine, `intent log was written by ${describe(result.current)}`)
    }
    this.adopt(changed.intentLog, result.revision)
    return { accepted: true, reason: '' }
  }

  private adopt (intentLog: IntentLog, revision: number): void {
    this.intentLog = intentLog
    this.revision = revision
    this.hasUncertainWrite = false
    const outstanding = new Set(intentLog.entries.flatMap(entry => entry.outstandingAttempts))
    // An ID that is no longer in the log cannot return, since every later write is based on this one.
    for (const attemptId of this.settled) if (!outstanding.has(attemptId)) this.settled.delete(attemptId)
  }

  private holdAbsentIntents (): void {
    for (const { model } of this.intentLog?.entries ?? []) {
      if (this.resident.has(model)) this.removableAtMs.delete(model)
      else if (!this.removableAtMs.has(model)) this.removableAtMs.set(model, this.options.clock.nowMs() + unloadHoldMs)
    }
  }

  private heldMemoryText (): string {
    const held = [...this.removableAtMs].map(([model, atMs]) => `memory of ${model} stays allocated until ${atMs} ms`)
    return held.length > 0 ? `; ${held.join(', ')}` : ''
  }

  private keyValueCall<T> (action: string, call: () => Promise<T>): Promise<T> {
    return withTimeout(this.options.clock, keyValueTimeoutMs, call, { action: `${action} of ${intentLogKey(this.options.engine.engine)}` })
  }

  private capacity (): MemoryCapacity {
    return { ...this.limits, adapterBytes: this.options.adapterBytes() }
  }

  private owner (): string {
    return `${this.options.node}/${this.options.writer}`
  }

  private commandId (): string {
    return `${this.owner()}/${++this.commandCount}`
  }
}

function describe (entry: KeyValueEntry | undefined): string {
  if (!entry) return 'no controller, it does not exist'
  const parsed = intentLogSchema.safeParse(JSON.parse(entry.value))
  return parsed.success ? `${parsed.data.controller} with fencing token ${parsed.data.fence}` : 'an unknown controller, it cannot be parsed'
}
