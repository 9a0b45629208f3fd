/** Controls an engine that rejects commands with an old fencing token. */

import type { CommandReply, EngineCommand, EngineSession, EngineStatus } from '../external/engine.js'
import type { Move } from '../protocol/messages.js'
import { ControlLostError, mayTakeEffect, openSession, ReacquireError, resultOf, sendCommand } from './commandAuthority.js'
import type { AdapterLoad, CommandAuthority, AuthorityOptions, CommandResult, MemoryAccount } from './commandAuthority.js'
import { nextFence } from './fence.js'
import { freeAdapterBytes, freeModelBytes } from './memoryBudget.js'
import type { MemoryCapacity, MemoryAllocation } from './memoryBudget.js'

/**
 * Accounts memory in a ledger. The status in the reply to a claim, an unload or a role change replaces the ledger; load
 * commands only add to it. Polled statuses are not used, since they may be older than the last command.
 */
export class FencedAuthority implements CommandAuthority {
  private token = 0
  private commandCount = 0
  private session: EngineSession | undefined
  private limits = { memoryBytes: 0, kvCacheBytes: 0 }
  private models = new Map<string, MemoryAllocation>()
  private adapters = new Map<string, MemoryAllocation>()

  constructor (private readonly options: AuthorityOptions) {}

  fence (): number {
    return this.token
  }

  incarnation (): string | undefined {
    return this.session?.incarnation
  }

  async acquire (): Promise<EngineStatus> {
    const session = await openSession(this.options)
    const before = await this.options.engine.status({ timeoutMs: 2_000 })
    // A restarted engine has seen no token, but the new token must also exceed those published for earlier incarnations.
    let seen = Math.max(before.fence, this.token, this.options.publishedFence())
    for (let attempt = 1; ; attempt++) {
      const token = nextFence(seen, this.options.writer)
      // Stored before sending: a claim without a reply may have taken effect, and the next claim must use a higher token.
      this.token = token
      this.session = session
      const reply = await sendCommand(this.options, session, { kind: 'claim', commandId: this.commandId(), fence: token })
      if (reply.accepted && reply.status.fence === token) {
        this.replaceLedger(reply.status)
        return reply.status
      }
      // The polled token may be out of date, whereas the token in a reply is exact, so one retry is sufficient.
      if (attempt === 2 || reply.status.fence <= seen) throw new ControlLostError(session.engine, `claim with token ${token} refused, engine has seen token ${reply.status.fence}`)
      seen = reply.status.fence
    }
  }

  memoryShortage (move: Move): string | undefined {
    if (!move.load || this.models.has(move.load)) return undefined
    const remaining = [...this.models].filter(([model]) => !move.unload.includes(model)).map(([, allocation]) => allocation)
    return this.shortageOf(move.load, move.loadBytes ?? 0, remaining)
  }

  async load (model: string, memoryBytes: number): Promise<CommandResult> {
    const known = this.models.get(model)
    const shortage = known && memoryBytes <= known.memoryBytes ? undefined : this.shortageOf(model, memoryBytes, [...this.models].filter(([name]) => name !== model).map(([, allocation]) => allocation))
    if (shortage) return { accepted: false, reason: shortage }
    this.models.set(model, { memoryBytes: Math.max(memoryBytes, known?.memoryBytes ?? 0) })
    const reply = await this.send({ kind: 'load', commandId: this.commandId(), fence: this.token, model, memoryBytes })
    // A duplicate of the refused load could still succeed under the same token. Only a higher token prevents that.
    if (!reply.accepted && !known) throw new ReacquireError(`load of ${model}`, new Error(`refused: ${reply.refusal}`))
    return resultOf(reply)
  }

  async unload (model: string): Promise<CommandResult> {
    this.token = nextFence(this.token, this.options.writer)
    const reply = await this.send({ kind: 'unload', commandId: this.commandId(), fence: this.token, model })
    if (reply.accepted) this.replaceLedger(reply.status)
    return reply.refusal === 'unknown-model' ? { accepted: true, reason: '' } : resultOf(reply)
  }

  async prepareAdapters (adapters: readonly AdapterLoad[], { mayUnload }: { mayUnload: boolean }): Promise<CommandResult> {
    const wanted = new Map(adapters.map(adapter => [adapter.adapter, adapter]))
    const missingBytes = () => [...wanted.values()].filter(adapter => !this.adapters.has(adapter.adapter)).reduce((sum, adapter) => sum + adapter.memoryBytes, 0)
    while (missingBytes() > freeAdapterBytes(this.capacity(), this.models.values(), this.adapters.values())) {
      const victim = [...this.adapters.keys()].find(adapter => !wanted.has(adapter))
      if (!victim || !mayUnload) return { accepted: false, reason: `adapters need ${missingBytes()} bytes, ${this.options.adapterBytes()} are reserved for adapters` }
      this.token = nextFence(this.token, this.options.writer)
      const reply = await this.send({ kind: 'unloadAdapter', commandId: this.commandId(), fence: this.token, adapter: victim })
      if (!reply.accepted && reply.refusal !== 'unknown-model') return resultOf(reply)
      this.replaceLedger(reply.status)
      this.adapters.delete(victim)
    }
    for (const [name, adapter] of wanted) if (!this.adapters.has(name)) this.adapters.set(name, { memoryBytes: adapter.memoryBytes })
    return { accepted: true, reason: '' }
  }

  adaptersGranted (): boolean {
    return false
  }

  async loadAdapter ({ adapter, baseModel, memoryBytes }: AdapterLoad): Promise<CommandResult> {
    if (!this.adapters.has(adapter)) return { accepted: false, reason: `no memory is allocated for adapter ${adapter}` }
    return resultOf(await this.send({ kind: 'loadAdapter', commandId: this.commandId(), fence: this.token, adapter, baseModel, memoryBytes }))
  }

  async setRole (role: EngineStatus['role']): Promise<CommandResult> {
    const reply = await this.send({ kind: 'setRole', commandId: this.commandId(), fence: this.token, role })
    this.replaceLedger(reply.status)
    return resultOf(reply)
  }

  async maintain (): Promise<void> {}

  isSupersededBy (status: EngineStatus): boolean {
    return status.incarnation === this.session?.incarnation && status.fence > this.token
  }

  memoryAccount (): MemoryAccount {
    return { freeModelBytes: freeModelBytes(this.capacity(), this.models.values(), this.adapters.values()), stickyModels: [] }
  }

  handOver (): { fence: number, record: string, recordRevision: number } {
    return { fence: this.token, record: '', recordRevision: 0 }
  }

  private async send (command: EngineCommand): Promise<CommandReply> {
    if (!this.session) throw new ReacquireError(command.kind, new Error('no session is open'))
    let reply: CommandReply
    try {
      reply = await sendCommand(this.options, this.session, command)
    } catch (error) {
      // If the command did not run, the ledger counts too much memory until the next claim replaces it.
      throw new ReacquireError(`${command.kind}${mayTakeEffect(error) ? ' without a reply' : ''}`, error)
    }
    if (reply.refusal === 'stale-fence') throw new ControlLostError(this.session.engine, `${command.kind} refused, engine has seen token ${reply.status.fence}`)
    return reply
  }

  private capacity (): MemoryCapacity {
    return { ...this.limits, adapterBytes: this.options.adapterBytes() }
  }

  private shortageOf (model: string, memoryBytes: number, others: MemoryAllocation[]): string | undefined {
    const freeBytes = freeModelBytes(this.capacity(), others, this.adapters.values())
    return memoryBytes > freeBytes ? `${model} needs ${memoryBytes} bytes, ${Math.max(0, freeBytes)} are free` : undefined
  }

  private replaceLedger (status: EngineStatus): void {
    this.limits = { memoryBytes: status.memoryBytes, kvCacheBytes: status.kvCacheBytes }
    this.models = new Map(status.models.map(model => [model.name, { memoryBytes: model.memoryBytes }]))
    this.adapters = new Map(status.adapters.map(adapter => [adapter.name, { memoryBytes: adapter.memoryBytes }]))
  }

  private commandId (): string {
    return `${this.options.node}/${this.options.writer}/${++this.commandCount}`
  }
}
