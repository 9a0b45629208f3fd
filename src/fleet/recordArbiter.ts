/** Control of an engine that ignores fencing tokens: its record in the key-value service is the arbiter. */

import { messageOf } from '../base/errors.js'
import { withTimeout } from '../base/clock.js'
import type { CommandReply, EngineCommand, EngineSession, EngineStatus } from '../external/engine.js'
import type { KeyValueEntry, KeyValueStore, SwapResult } from '../external/keyValueStore.js'
import type { Move } from '../protocol/messages.js'
import { ControlLostError, mayTakeEffect, openSession, ReacquireError, resultOf, sendCommand } from './arbiter.js'
import type { AdapterLoad, Arbiter, ArbiterOptions, CommandResult, MemoryAccount } from './arbiter.js'
import { addAttempt, engineRecordSchema, grantAdapters, recordKey, removableEntries, removeEntry, settleAttempts, takeOver } from './engineRecord.js'
import type { EngineRecord, RecordEntry, Transition } from './engineRecord.js'
import { freeAdapterBytes, freeModelBytes } from './memoryBudget.js'
import type { MemoryCapacity } from './memoryBudget.js'

/** A duplicate of a load may arrive after its reply; memory stays counted this long after an unload. Not a proof. */
export const unloadHoldMs = 30_000
const keyValueTimeoutMs = 3_000

export interface RecordArbiterOptions extends ArbiterOptions {
  keyValueStore: KeyValueStore
}

/** Writes the record before each load and after each reply. */
export class RecordArbiter implements Arbiter {
  private record: EngineRecord | undefined
  private revision = 0
  private session: EngineSession | undefined
  private limits = { memoryBytes: 0, kvCacheBytes: 0 }
  private resident = new Set<string>()
  /** Attempts that were answered, or never sent, and are still in the record. */
  private readonly settled = new Set<string>()
  /** When the entry of an absent model may be removed. */
  private readonly removableAtMs = new Map<string, number>()
  private commandCount = 0
  private lastWrite: Promise<unknown> = Promise.resolve()
  /** A write without a reply may still take effect, so the next step is a takeover. */
  private uncertain = false

  constructor (private readonly options: RecordArbiterOptions) {}

  fence (): number {
    return this.record?.fence ?? 0
  }

  incarnation (): string | undefined {
    return this.record?.incarnation
  }

  async acquire (): Promise<EngineStatus> {
    const key = recordKey(this.options.engine.engine)
    const stored = await this.keyValueCall('read', () => this.options.keyValueStore.get(key))
    const previous = stored && engineRecordSchema.parse(JSON.parse(stored.value))
    if (this.record && previous && previous.fence > this.record.fence && previous.controller !== this.owner()) {
      this.record = undefined
      throw new ControlLostError(this.options.engine.engine, `record has token ${previous.fence} of ${previous.controller}`)
    }
    // The session is opened after the record was read: an incarnation read earlier could be older than the record's,
    // and resetting the record to it would drop entries of models that are resident.
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
      const current = result.current && engineRecordSchema.parse(JSON.parse(result.current.value))
      // An earlier takeover of this node took effect after its reply was given up.
      if (current?.controller === this.owner()) throw new ReacquireError('takeover', new Error('an earlier write of this node arrived late'))
      throw new ControlLostError(session.engine, `takeover lost to ${describe(result.current)}`)
    }
    this.adopt(next, result.revision)
    this.session = session
    this.limits = { memoryBytes: reply.status.memoryBytes, kvCacheBytes: reply.status.kvCacheBytes }
    this.resident = new Set(reply.status.models.map(model => model.name))
    this.removableAtMs.clear()
    this.holdAbsentEntries()
    return reply.status
  }

  misfit (move: Move): string | undefined {
    const { record } = this
    if (!record || !move.load || record.entries.some(entry => entry.model === move.load)) return undefined
    const sticky = record.entries.filter(entry => entry.outstandingAttempts.length > 0)
    const remaining = record.entries.filter(entry => sticky.includes(entry) || !move.unload.includes(entry.model))
    const freeBytes = freeModelBytes(this.capacity(), remaining, record.adapters)
    const neededBytes = move.loadBytes ?? 0
    return neededBytes > freeBytes ? `${move.load} needs ${neededBytes} bytes, ${Math.max(0, freeBytes)} are free after the unloads` : undefined
  }

  async load (model: string, memoryBytes: number): Promise<CommandResult> {
    const session = this.openedSession()
    const attemptId = this.commandId()
    const counted = await this.write(record => addAttempt(record, { model, memoryBytes, attemptId }, this.capacity()), attemptId)
    if (!counted.accepted) return { ...counted, reason: `${counted.reason}${this.heldText()}` }
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
    this.holdAbsentEntries()
    try {
      await this.write(record => ({ ok: true, record }))
    } catch (error) {
      if (error instanceof ReacquireError) throw new ReacquireError(`load of ${model}`, error, resultOf(reply))
      throw error
    }
    return resultOf(reply)
  }

  async unload (model: string): Promise<CommandResult> {
    const entry = this.record?.entries.find(candidate => candidate.model === model)
    if (entry && entry.outstandingAttempts.length > 0) return { accepted: false, reason: `${model} has a load attempt without a reply and stays until the engine restarts` }
    const reply = await this.send({ kind: 'unload', commandId: this.commandId(), fence: this.fence(), model })
    this.resident = new Set(reply.status.models.map(({ name }) => name))
    this.holdAbsentEntries()
    return reply.refusal === 'unknown-model' ? { accepted: true, reason: '' } : resultOf(reply)
  }

  async prepareAdapters (adapters: readonly AdapterLoad[]): Promise<CommandResult> {
    if (this.adaptersGranted(adapters)) return { accepted: true, reason: '' }
    return await this.write(record => grantAdapters(record, adapters, this.capacity()))
  }

  adaptersGranted (adapters: readonly AdapterLoad[]): boolean {
    return adapters.every(({ adapter, memoryBytes }) => this.record?.adapters.some(granted => granted.adapter === adapter && granted.memoryBytes >= memoryBytes))
  }

  async loadAdapter ({ adapter, baseModel, memoryBytes }: AdapterLoad): Promise<CommandResult> {
    const grant = this.record?.adapters.find(granted => granted.adapter === adapter)
    if (!grant || memoryBytes > grant.memoryBytes) return { accepted: false, reason: `adapter ${adapter} is not granted with ${memoryBytes} bytes` }
    try {
      const command = { kind: 'loadAdapter', commandId: this.commandId(), fence: this.fence(), adapter, baseModel, memoryBytes } as const
      return resultOf(await sendCommand(this.options, this.openedSession(), command))
    } catch (error) {
      // The grant covers the load whenever it takes effect, so an unknown outcome needs no takeover.
      if (mayTakeEffect(error)) return { accepted: false, reason: messageOf(error) }
      throw new ReacquireError(`load of adapter ${adapter}`, error)
    }
  }

  async setRole (role: EngineStatus['role']): Promise<CommandResult> {
    const reply = await this.send({ kind: 'setRole', commandId: this.commandId(), fence: this.fence(), role })
    this.limits = { memoryBytes: reply.status.memoryBytes, kvCacheBytes: reply.status.kvCacheBytes }
    return resultOf(reply)
  }

  /** Removes entries of absent models whose hold has ended. */
  async maintain (): Promise<void> {
    if (!this.session || this.dueEntries().length === 0) return
    // A duplicate may have loaded the model again during the hold, so an exact status decides.
    const reply = await this.send({ kind: 'claim', commandId: this.commandId(), fence: this.fence() })
    this.resident = new Set(reply.status.models.map(({ name }) => name))
    this.holdAbsentEntries()
    const due = this.dueEntries()
    if (due.length === 0) return
    const removed = await this.write(record => due.reduce<Transition>(
      (result, entry) => result.ok ? removeEntry(result.record, entry.model) : result, { ok: true, record }))
    if (removed.accepted) for (const entry of due) this.removableAtMs.delete(entry.model)
  }

  isLostBy (): boolean {
    return false
  }

  private dueEntries (): RecordEntry[] {
    if (!this.record) return []
    const nowMs = this.options.clock.nowMs()
    return removableEntries(this.record, this.resident).filter(entry => (this.removableAtMs.get(entry.model) ?? Infinity) <= nowMs)
  }

  account (): MemoryAccount {
    if (!this.record) return { freeModelBytes: 0, freeAdapterBytes: 0, stickyModels: [] }
    const { entries, adapters } = settleAttempts(this.record, this.settled)
    return {
      freeModelBytes: freeModelBytes(this.capacity(), entries, adapters),
      freeAdapterBytes: Math.max(0, freeAdapterBytes(this.capacity(), entries, adapters)),
      stickyModels: entries.filter(entry => entry.outstandingAttempts.length > 0).map(entry => entry.model)
    }
  }

  handOver (): { fence: number, record: string, recordRevision: number } {
    return { fence: this.fence(), record: this.record ? JSON.stringify(this.record) : '', recordRevision: this.revision }
  }

  /** Commands carry no valid token here, so an error leaves nothing to claim: the session is opened again. */
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
   * Writes the changed record. `unsentAttempt` is an attempt of this write that is never sent if the write fails.
   * After an unknown outcome the write may still take effect, so control is acquired again: that raises the revision,
   * after which the late write fails.
   */
  private write (change: (record: EngineRecord) => Transition, unsentAttempt?: string): Promise<CommandResult> {
    const written = this.lastWrite.then(() => this.writeNow(change, unsentAttempt))
    // The next write starts from what this one left, whatever its outcome.
    this.lastWrite = written.catch(() => {})
    return written
  }

  private async writeNow (change: (record: EngineRecord) => Transition, unsentAttempt?: string): Promise<CommandResult> {
    if (this.uncertain) throw new ReacquireError('write of the engine record', new Error('an earlier write has no known outcome'))
    if (!this.record) throw new ReacquireError('record', new Error('no record is held'))
    const changed = change(settleAttempts(this.record, this.settled))
    if (!changed.ok) return { accepted: false, reason: changed.reason }
    let result: SwapResult
    try {
      result = await this.keyValueCall('write', () => this.options.keyValueStore.compareAndSwap(recordKey(this.options.engine.engine), this.revision, JSON.stringify(changed.record)))
    } catch (error) {
      if (unsentAttempt) this.settled.add(unsentAttempt)
      this.uncertain = true
      throw new ReacquireError('write of the engine record', error)
    }
    if (!result.swapped) {
      if (unsentAttempt) this.settled.add(unsentAttempt)
      this.record = undefined
      throw new ControlLostError(this.options.engine.engine, `record was written by ${describe(result.current)}`)
    }
    this.adopt(changed.record, result.revision)
    return { accepted: true, reason: '' }
  }

  private adopt (record: EngineRecord, revision: number): void {
    this.record = record
    this.revision = revision
    this.uncertain = false
    const outstanding = new Set(record.entries.flatMap(entry => entry.outstandingAttempts))
    // An ID that this record no longer lists cannot return: any later write is based on this one.
    for (const attemptId of this.settled) if (!outstanding.has(attemptId)) this.settled.delete(attemptId)
  }

  private holdAbsentEntries (): void {
    for (const { model } of this.record?.entries ?? []) {
      if (this.resident.has(model)) this.removableAtMs.delete(model)
      else if (!this.removableAtMs.has(model)) this.removableAtMs.set(model, this.options.clock.nowMs() + unloadHoldMs)
    }
  }

  private heldText (): string {
    const held = [...this.removableAtMs].map(([model, atMs]) => `${model} is counted until ${atMs}`)
    return held.length > 0 ? `; ${held.join(', ')}` : ''
  }

  private keyValueCall<T> (action: string, call: () => Promise<T>): Promise<T> {
    return withTimeout(this.options.clock, keyValueTimeoutMs, call, { action: `${action} of ${recordKey(this.options.engine.engine)}` })
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
  if (!entry) return 'nobody, it is absent'
  const record = engineRecordSchema.safeParse(JSON.parse(entry.value))
  return record.success ? `${record.data.controller} with token ${record.data.fence}` : 'an unreadable record'
}
