/** A node built the obvious simple way. The proof must find that it breaks every invariant. */

import { withTimeout } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { configKey } from '../config/proposal.js'
import type { ProposalResult } from '../config/proposal.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import { ControlLostError, openSession, resultOf } from '../fleet/commandAuthority.js'
import type { AdapterLoad, CommandAuthority, CommandResult } from '../fleet/commandAuthority.js'
import { ConfigDistribution } from '../fleet/configDistribution.js'
import type { ConfigDistributionOptions } from '../fleet/configDistribution.js'
import type { IntentLogAuthorityOptions } from '../fleet/intentLogAuthority.js'
import type { CallerResponse, Filter } from '../gateway/exchange.js'
import { CallerGoneError } from '../gateway/inference.js'
import { NodeCore } from '../gateway/nodeCore.js'
import type { NodeCoreOptions } from '../gateway/nodeCore.js'
import type { NodeParts } from '../gateway/nodeParts.js'
import { ProblemError } from '../gateway/problem.js'
import type { EngineApi, EngineCommand, EngineSession, EngineStatus, InferenceEvent } from '../external/engine.js'
import type { KeyValueStore } from '../external/keyValueStore.js'
import type { PeerMessage } from '../protocol/messages.js'

const leaseMs = 10_000
const commandTimeoutMs = 3_000
const maxSends = 3
const pollPeriodMs = 2_000

type WithoutBase<Command> = Command extends unknown ? Omit<Command, 'commandId' | 'fence'> : never

/** Trusts a lease for ownership and the polled status for memory, keeps no record, and sends again on every error. */
class NaiveArbiter implements CommandAuthority {
  private status: EngineStatus | undefined
  private session: EngineSession | undefined
  private leaseId: string | undefined
  private epoch = 0
  private count = 0

  constructor (private readonly options: IntentLogAuthorityOptions) {}

  fence (): number {
    return this.epoch
  }

  incarnation (): string | undefined {
    return this.session?.incarnation
  }

  async acquire (): Promise<EngineStatus> {
    const { keyValueStore, engine, node, clock } = this.options
    const key = `owner/${engine.engine}`
    const current = await keyValueStore.get(key)
    if (current && current.value !== '' && current.value !== node) throw new ControlLostError(engine.engine, `the lease of ${current.value} lasts`)
    this.leaseId = await keyValueStore.grantLease(leaseMs)
    await keyValueStore.compareAndSwap(key, current?.revision ?? 0, node, { leaseId: this.leaseId })
    this.session = await openSession(this.options)
    this.epoch = clock.nowMs()
    return this.refresh()
  }

  memoryShortage (): string | undefined {
    return undefined
  }

  async load (model: string, memoryBytes: number): Promise<CommandResult> {
    const { memoryBytes: totalBytes, kvCacheBytes, models } = this.status!
    const usedBytes = models.filter(({ name }) => name !== model).reduce((sum, item) => sum + item.memoryBytes, kvCacheBytes + this.options.adapterBytes())
    if (usedBytes + memoryBytes > totalBytes) return { accepted: false, reason: 'no room' }
    return this.send({ kind: 'load', model, memoryBytes })
  }

  /** Takes the memory for free as soon as the command was sent. */
  async unload (model: string): Promise<CommandResult> {
    this.send({ kind: 'unload', model }).catch(() => {})
    this.status = { ...this.status!, models: this.status!.models.filter(({ name }) => name !== model) }
    return { accepted: true, reason: '' }
  }

  async prepareAdapters (): Promise<CommandResult> {
    return { accepted: true, reason: '' }
  }

  adaptersGranted (): boolean {
    return true
  }

  loadAdapter ({ adapter, baseModel, memoryBytes }: AdapterLoad): Promise<CommandResult> {
    return this.send({ kind: 'loadAdapter', adapter, baseModel, memoryBytes })
  }

  setRole (role: EngineStatus['role']): Promise<CommandResult> {
    return this.send({ kind: 'setRole', role })
  }

  async maintain (): Promise<void> {
    try {
      await this.options.keyValueStore.renewLease(this.leaseId!)
    } catch (error) {
      throw new ControlLostError(this.options.engine.engine, messageOf(error))
    }
    await this.refresh()
  }

  isSupersededBy (): boolean {
    return false
  }

  memoryAccount (): { freeModelBytes: number, stickyModels: string[] } {
    const { memoryBytes, kvCacheBytes, models } = this.status!
    return { freeModelBytes: models.reduce((free, model) => free - model.memoryBytes, memoryBytes - kvCacheBytes - this.options.adapterBytes()), stickyModels: [] }
  }

  handOver (): { fence: number, record: string, recordRevision: number } {
    return { fence: this.epoch, record: '', recordRevision: 0 }
  }

  private async refresh (): Promise<EngineStatus> {
    this.status = await this.options.engine.status({ timeoutMs: 2_000 })
    return this.status
  }

  /** Each command carries the token that the engine showed last, so that it is never refused. */
  private async send (command: WithoutBase<EngineCommand>): Promise<CommandResult> {
    const full = { ...command, commandId: `${this.options.node}/${++this.count}`, fence: this.status!.fence } as EngineCommand
    for (let attempt = 1; ; attempt++) {
      try {
        const reply = await withTimeout(this.options.clock, commandTimeoutMs, () => this.session!.command(full, { timeoutMs: commandTimeoutMs }), { action: command.kind })
        this.options.onReply(reply.status)
        return resultOf(reply)
      } catch (error) {
        if (attempt === maxSends) throw error
      }
    }
  }
}

/** Applies every configuration that it hears of, whatever its version. */
class NaiveConfigDistribution extends ConfigDistribution {
  private inForce: { config: FleetConfig, text: string } | undefined
  private readonly onChange: ((config: FleetConfig, text: string) => void)[] = []
  private ended = false

  constructor (private readonly own: ConfigDistributionOptions) {
    super(own)
  }

  override async start (): Promise<void> {
    await this.poll()
    while (!this.inForce) await this.pause().then(() => this.poll())
    void (async () => {
      while (!this.ended) await this.pause().then(() => this.poll())
    })()
  }

  override stop (): void {
    this.ended = true
  }

  override current (): FleetConfig | undefined {
    return this.inForce?.config
  }

  override currentText (): string | undefined {
    return this.inForce?.text
  }

  override version (): number {
    return this.inForce?.config.version ?? 0
  }

  override onApplied (listener: (config: FleetConfig, text: string) => void): void {
    this.onChange.push(listener)
  }

  override applyAccepted (version: number, text: string): void {
    if (text === this.inForce?.text) return
    const config = this.own.parse(text, version)
    this.inForce = { config, text }
    for (const listener of this.onChange) listener(config, text)
    for (const { address } of this.own.members()) {
      this.own.network.request(address, { kind: 'configVersion', version, fromAddress: this.own.selfAddress }, { timeoutMs: 1_000 }).catch(() => {})
    }
  }

  override async handle (message: PeerMessage): Promise<PeerMessage | undefined> {
    if (message.kind === 'configVersion' && message.version !== this.version()) this.poll().catch(() => {})
    if (message.kind === 'configVersion') return { kind: 'ok' }
    return super.handle(message)
  }

  private async poll (): Promise<void> {
    const entry = await this.own.keyValueStore.get(configKey).catch(() => undefined)
    if (!entry) return
    const { version, text } = JSON.parse(entry.value) as { version: number, text: string }
    this.applyAccepted(version, text)
  }

  private pause (): Promise<void> {
    return new Promise(resolve => { this.own.clock.setTimer(pollPeriodMs, resolve) })
  }
}

/** Writes over whatever is there, until a write succeeds. */
async function proposeByOverwriting (
  store: KeyValueStore, change: { baseVersion: number, text: string, author: string, reason: string, proposalId: string }
): Promise<ProposalResult> {
  const version = change.baseVersion + 1
  for (let attempt = 1; attempt <= maxSends; attempt++) {
    try {
      const current = await store.get(configKey)
      const result = await store.compareAndSwap(configKey, current?.revision ?? 0, JSON.stringify({ ...change, version, acceptedAtMs: 0 }))
      if (result.swapped) return { kind: 'accepted', version }
    } catch {}
  }
  return { kind: 'conflict', currentVersion: 0, currentAuthor: '', currentText: '' }
}

/** Retries whatever failed. */
const treatAsIdempotent: Filter = async (exchange, next) => {
  exchange.terms = { ...exchange.terms!, idempotent: true }
  await next()
}

/** Keeps answers by idempotency key in the memory of the node. */
function deduplicateInMemory (): Filter {
  const answers = new Map<string, CallerResponse>()
  return async (exchange, next) => {
    const key = exchange.request.headers['idempotency-key']
    const known = key === undefined ? undefined : answers.get(key)
    if (known) {
      exchange.response = known
      return
    }
    await next()
    if (key !== undefined) answers.set(key, exchange.response!)
  }
}

/** Tells callers that a request without an answer was not run. */
const failuresAreNotRun: Filter = async (_exchange, next) => {
  try {
    await next()
  } catch (error) {
    if (error instanceof CallerGoneError) throw error
    throw error instanceof ProblemError && error.status < 500 ? error : new ProblemError(503, 'overloaded', 'not-run', messageOf(error), { retryAfterMs: 1_000 })
  }
}

/** Takes the end of a connection for the end of the answer. */
function endingWithConnection (api: EngineApi): EngineApi {
  const infer: EngineApi['infer'] = async function * (request, options): AsyncGenerator<InferenceEvent> {
    let tokens = request.generatedTokens?.length ?? 0
    try {
      for await (const event of api.infer(request, options)) {
        if (event.kind === 'token') tokens++
        yield event
      }
    } catch (error) {
      if (tokens === 0) throw error
      yield { kind: 'end', requestId: request.requestId, attemptId: request.attemptId, finishReason: 'stop', promptTokens: 0, completionTokens: tokens }
    }
  }
  return Object.assign(Object.create(api) as EngineApi, { infer })
}

const parts: NodeParts = {
  orderFilters: filters => [
    filters.account, failuresAreNotRun, filters.identify, filters.classify, treatAsIdempotent, filters.rateLimit, filters.listModels, deduplicateInMemory(),
    filters.demand, filters.service, filters.inference
  ],
  createArbiter: options => new NaiveArbiter(options),
  createConfigDistribution: options => new NaiveConfigDistribution(options),
  propose: (store, change) => proposeByOverwriting(store, change),
  routableEngines: engines => engines,
  routableServers: (service, vms) => vms.filter(({ kind, group }) => kind === 'service' && group === service)
    .map(({ name, address, region, availabilityZone }) => ({ server: name, service, address, region, availabilityZone, draining: false, reachable: true }))
}

/** Ends at once when it is asked to stop. */
export class NaiveNode extends NodeCore {
  constructor (options: NodeCoreOptions) {
    super({ ...options, parts, engineApi: (engine, address) => endingWithConnection(options.engineApi(engine, address)) })
  }

  override async stop (): Promise<void> {}
}
