/** The platform that the soak plays around the real programs: store, backend servers, operator, clients. */

import { Accounts } from './accounts.js'
import type { Access } from './accounts.js'
import { BackendStandIn, engineMb, adapterSlots, modelMb, streamEvents } from './backendStandIn.js'
import { Clients, host, timeoutMs } from './clients.js'
import type { Call } from './clients.js'
import type { FaultProxy } from './faultProxy.js'
import { configMs, Condition, gapObjectiveMs, Ledger, objectiveMs } from './ledger.js'
import type { Outcome, TakeUp } from './ledger.js'
import { NodeProcess } from './nodeProcess.js'
import { sleep, StoreStandIn } from './storeStandIn.js'
import type { StoreCopy } from './storeStandIn.js'

const models = ['m0', 'm1', 'm2', 'm3', 'm4']
/** Models of which every engine has room for all. */
const sharedModels = 2
/** Where there are only streams, they last longer, so that more of them are in progress when something happens. */
const longEventMs = 50
/** Routes of the newest configurations that stay; older ones are dropped. */
const versionsKept = 2
const engines = 3
/** Versions of the engines at the start of a run in which they change. */
const firstVersions = ['v1', 'v1', 'v2', 'v2']
/** Share of the releases that go back to the version before the newest one. */
const rollbackShare = 0.3
/** Pause of a client before it takes a stream up, and the time that it must have left for it. */
const takeUpMs = { pause: 100, leastLeft: 500 }
const plainServers = 3
const requestGapMs = 25
export const leaderKey = 'teaselrill/leader'
/** Time after which the entry of a server that has ended leaves the store. */
const expiryMs = 1200
const maxPending = 150
/** First part of all prompts, and parts that some prompts share. */
const firstPart = 'aa'
const subjects = Array.from({ length: 40 }, (_, index) => `b${index}`)
/** Share of the streams whose prompt has a deadly part while there is one. */
const deadlyShare = 0.12
const mostDeadlyParts = 1
/** Time after which an engine that a prompt part ended is replaced. */
const shortestAbsenceMs = 1500
const absenceSpreadMs = 1500
/** Clients' connections to each node; where there are only streams, none waits for another to end. */
const connectionsEach = 8
/** Part of an answer's body that a violation shows. */
const longestBodyChars = 100

export interface WorldOptions {
  random: () => number
  nodeCount: number
  directory: string
  /** Service whose servers are disturbed; any if absent. */
  service?: string | undefined
  sabotage?: string | undefined
  /** Clients ask for streams alone, of models that every engine holds. */
  onlyStreams?: boolean | undefined
  /** The deployment has client accounts. */
  hasAccounts?: boolean | undefined
  /** Versions of engines change, and clients take broken streams up. */
  hasReleases?: boolean | undefined
}

export interface Traffic {
  servedShare: number
  /** Requests that were not served, each with its node, its kind and its end. */
  unserved: string[]
}

interface Change { version: number, atMs: number }

export class World {
  readonly ledger = new Ledger()
  readonly store: StoreStandIn
  readonly nodes: NodeProcess[]
  readonly backends = new Map<string, BackendStandIn>()
  readonly random: () => number
  private readonly clients: Clients
  private readonly changes: Change[] = []
  /** Newest version whose effect each process has shown, by node and incarnation. */
  private readonly shown = new Map<string, Change & { seenAtMs: number }>()
  /** Prompt parts that end engines. */
  private readonly deadlyParts = new Set<string>()
  private nextDeadlyPart = 0
  private nextBackend = 0
  private version = 3
  private isOver = false
  /** One such fault at a time: a leader has to be elected and give orders between its steps. */
  isForgettingLeader = false
  /** One such fault at a time: the end of one would end another. */
  isMissingRemoval = false
  readonly accounts: Accounts | undefined
  private readonly service: string | undefined
  private readonly models: readonly string[]
  private readonly onlyStreams: boolean
  private readonly hasReleases: boolean
  private newestVersion = firstVersions.at(-1)!
  /** One release at a time, as operators make them. */
  isReleasing = false

  constructor ({ random, nodeCount, directory, service, sabotage, hasReleases = false, onlyStreams = hasReleases, hasAccounts = false }: WorldOptions) {
    this.random = random
    this.hasReleases = hasReleases
    this.accounts = this.ledger.accounts = hasAccounts ? new Accounts(random) : undefined
    this.onlyStreams = onlyStreams
    this.clients = new Clients(this.ledger, onlyStreams ? maxPending : connectionsEach)
    this.models = onlyStreams ? models.slice(0, sharedModels) : models
    this.service = service
    this.store = new StoreStandIn(random)
    this.store.onWritten = (key, value) => { if (key === leaderKey) this.ledger.onElected(value.split(' ')[0]!) }
    const { store, ledger } = this
    this.nodes = Array.from({ length: nodeCount }, (_, index) => new NodeProcess({ index, directory, store, ledger, sabotage, hasAccounts }))
  }

  async start (): Promise<void> {
    await this.store.listen()
    const versions = this.hasReleases ? firstVersions : Array<undefined>(engines).fill(undefined)
    for (const [index, version] of versions.entries()) await this.addBackend('models', [this.models[index % this.models.length]!, this.models[(index + 1) % this.models.length]!], { version })
    for (let index = 0; index < plainServers; index++) await this.addBackend('orders')
    this.changeConfig()
    await Promise.all(this.nodes.map(node => node.start()))
  }

  async stop (): Promise<void> {
    this.isOver = true
    await Promise.all(this.nodes.map(node => node.end()))
    this.clients.close()
    for (const backend of this.backends.values()) if (!backend.isGone) backend.crash()
    this.store.close()
  }

  pick<T> (items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!
  }

  /** A backend server that a fault may hit. */
  pickBackend (): BackendStandIn {
    return this.pick([...this.backends.values()].filter(({ isGone, options }) => !isGone && (this.service === undefined || options.service === this.service)))
  }

  get engines (): BackendStandIn[] {
    return [...this.backends.values()].filter(({ isGone, isEngine }) => !isGone && isEngine)
  }

  async replaceBackend ({ options, version: earlier }: BackendStandIn, version = earlier): Promise<void> {
    await this.addBackend(options.service, options.models, { version })
  }

  /** Version of the next release: a newer one, or the one before the newest. */
  pickRelease (): string {
    const newest = Number(this.newestVersion.slice(1))
    if (this.random() < rollbackShare) return `v${newest - 1}`
    this.newestVersion = `v${newest + 1}`
    return this.newestVersion
  }

  /** Another process takes the address of a server that has ended: the same server, or one that nobody has seen yet. */
  async takeAddress (backend: BackendStandIn, { isSame }: { isSame: boolean }): Promise<void> {
    const { version, options: { id, service, models: held } } = backend
    backend.isBack = isSame
    if (isSame) this.ledger.onReborn(id)
    await this.addBackend(service, held, { id: isSame ? id : undefined, version, proxy: backend.proxy })
  }

  /** Sends prompts with a part that ends engines for `durationMs`, unless as many such parts as may be are in play. */
  async playDeadlyPart (durationMs: number): Promise<void> {
    if (this.deadlyParts.size >= mostDeadlyParts) return
    const part = `dead${this.nextDeadlyPart++}`
    this.deadlyParts.add(part)
    await sleep(durationMs)
    this.deadlyParts.delete(part)
  }

  private async replaceKilled (backend: BackendStandIn): Promise<void> {
    await sleep(shortestAbsenceMs + this.random() * absenceSpreadMs)
    if (!this.isOver) await this.replaceBackend(backend)
  }

  /** Shared parts of a prompt, with a deadly one at any place if `deadly` is given. */
  private partsOfPrompt (deadly: string | undefined): string[] {
    const parts = [firstPart, this.pick(subjects)]
    if (deadly !== undefined) parts.splice(Math.floor(this.random() * (parts.length + 1)), 0, deadly)
    return parts
  }

  /** Accepts a new configuration: a route of its own for each version, the oldest dropped. */
  changeConfig (): void {
    // The store accepts nothing while it is not up; the operator tries again later.
    if (this.store.mode !== 'up') return
    this.version += 1 + Math.floor(this.random() * 3)
    this.changes.push({ version: this.version, atMs: performance.now() })
    this.putConfig()
  }

  /** Accepts a configuration with one key removed and one added. */
  replaceKey (): void {
    if (this.store.mode !== 'up') return
    this.accounts?.replaceKey()
    this.changeConfig()
  }

  /** The store comes back from a copy. The operator writes its newest configuration again, and servers do with their next heartbeat. */
  restoreStore (copy: StoreCopy): void {
    this.store.restore(copy)
    this.putConfig()
    for (const { isGone, options: { id } } of this.backends.values()) if (isGone) setTimeout(() => this.store.remove(`servers/${id}`), expiryMs)
  }

  private putConfig (): void {
    this.store.put('op/config', configOf(this.changes.slice(-versionsKept).map(({ version }) => version), this.version, this.models, this.accounts?.tenants()))
  }

  /** Sends requests of all kinds until `untilMs` or until `isOver`. */
  async traffic (untilMs: number, isOver = () => false): Promise<Traffic> {
    const ends: Promise<string | undefined>[] = []
    while (performance.now() < untilMs && !isOver()) {
      if (this.clients.pending < maxPending) ends.push(this.sendOne())
      await sleep(requestGapMs * 2 * this.random())
    }
    const unserved = (await Promise.all(ends)).filter(text => text !== undefined)
    return { servedShare: ends.length === 0 ? 0 : 1 - unserved.length / ends.length, unserved }
  }

  /** Resolves with how the request ended if it was not served. */
  private async sendOne (): Promise<string | undefined> {
    const node = this.pick(this.nodes)
    const kind = this.onlyStreams ? 1 : this.random()
    if (kind < 0.2) return await this.probe(node)
    const deadly = this.deadlyParts.size > 0 && this.random() < deadlyShare ? this.pick([...this.deadlyParts]) : undefined
    const neighbourOf = [...this.deadlyParts].at(-1)
    const sentAtMs = performance.now()
    const access = this.accounts?.pickAccess()
    const call: Call = kind < 0.4
      ? { kind: 'unsafe', path: '/order/1' }
      : kind < 0.65 ? { kind: 'safe', path: '/stock/1' } : { kind: 'stream', path: '/chat/1', parts: this.partsOfPrompt(deadly), model: this.pick(this.models) + (this.random() < 0.2 ? `/a${1 + Math.floor(this.random() * 4)}` : '') }
    const outcome = this.hasReleases ? await this.follow(node, { ...call, access }) : await this.clients.send(node, { ...call, access })
    if (outcome?.status === 404) this.ledger.violation('DENIED', `${node.name} answers 404 to ${call.path}`)
    // Callers with a removed key are owed nothing.
    const isServed = (outcome?.status === 200 && outcome.isComplete) || this.isRemoved(access)
    if (call.kind === 'stream' && deadly === undefined && neighbourOf !== undefined) this.ledger.onNeighbour(neighbourOf, { sentAtMs, isServed })
    // Callers of deadly prompts are owed nothing but an end.
    return isServed || deadly !== undefined ? undefined : unservedText(node, call, outcome)
  }

  /** Takes a broken stream up at other nodes while its deadline lasts, and begins it anew where it can't go on. Resolves with the last answer. */
  private async follow (firstNode: NodeProcess, call: Call): Promise<Outcome | undefined> {
    const untilMs = performance.now() + timeoutMs[call.kind]
    let node = firstNode
    let outcome = await this.clients.send(node, call)
    let takeUp = nextTakeUp(outcome)
    // Requests that never began are not tried again, as in the other runs.
    if (!takeUp) return outcome
    while (!isOver(outcome, takeUp) && performance.now() < untilMs - takeUpMs.leastLeft) {
      await sleep(takeUpMs.pause)
      node = this.pick(this.nodes.filter(other => other !== node))
      outcome = await this.clients.send(node, { ...call, takeUp, deadlineMs: untilMs - performance.now() })
      takeUp = nextTakeUp(outcome, takeUp)
    }
    return outcome
  }

  /** Asks for a route of one version, which shows the configuration that is in force at the node. */
  private async probe (node: NodeProcess): Promise<string | undefined> {
    // A node that takes up nothing still serves the first route, long after it was dropped.
    const change = this.random() < 0.5 ? this.changes[0]! : this.pick(this.changes.slice(-versionsKept - 1))
    const { incarnation } = node
    const access = this.accounts?.pickAccess()
    const sentAtMs = performance.now()
    const call: Call = { kind: 'safe', path: `/v${change.version}/1` }
    const outcome = await this.clients.send(node, { ...call, access })
    if (outcome && incarnation === node.incarnation) this.judge(node, change, outcome.status, sentAtMs)
    const isServed = outcome !== undefined && (outcome.status === 200 || outcome.status === 404 || this.isRemoved(access))
    return isServed ? undefined : unservedText(node, call, outcome)
  }

  private isRemoved (access: Access | undefined): boolean {
    return access !== undefined && this.accounts!.get(access.key).removedAtMs !== Infinity
  }

  private judge (node: NodeProcess, change: Change, status: number, sentAtMs: number): void {
    const key = `${node.name}/${node.incarnation}`
    const newer = this.changes.filter(({ version }) => version > change.version)
    const dropping = newer[versionsKept - 1]
    const shown = this.shown.get(key)
    if (status === 404 && !dropping) {
      if (shown && shown.version >= change.version && sentAtMs > shown.seenAtMs + 250) this.ledger.violation('CONFIG', `${node.name} goes back from version ${shown.version} to one before ${change.version}`)
      if (this.isDue(node, change, sentAtMs)) this.ledger.violation('CONFIG', `${node.name} does not know version ${change.version} after ${Math.round(sentAtMs - change.atMs)} ms`)
    }
    if (status !== 200) return
    if (dropping && this.isDue(node, dropping, sentAtMs)) this.ledger.violation('CONFIG', `${node.name} serves a route that version ${dropping.version} dropped ${Math.round(sentAtMs - dropping.atMs)} ms before`)
    if (!shown || shown.version < change.version) this.shown.set(key, { ...change, seenAtMs: performance.now() })
  }

  private isDue (node: NodeProcess, { atMs }: Change, sentAtMs: number): boolean {
    return sentAtMs > atMs + configMs && this.ledger.store.wasCalmSince(atMs) && node.condition.wasCalmSince(atMs)
  }

  private async addBackend (service: string, held?: string[], { id = `i-${++this.nextBackend}`, version, proxy }: { id?: string | undefined, version?: string | undefined, proxy?: FaultProxy } = {}): Promise<void> {
    const { store, ledger, random } = this
    const backend = new BackendStandIn({ id, service, version, slots: held ? 12 : 8, store, ledger, random, ...(proxy ? { proxy } : {}), ...(held ? { models: held, deadlyParts: this.deadlyParts, onKilled: killed => { void this.replaceKilled(killed) } } : {}), ...(this.onlyStreams ? { eventMs: longEventMs } : {}) })
    if (!ledger.backends.has(id)) ledger.backends.set(id, new Condition())
    ledger.backends.get(id)!.end('gone')
    if (held) ledger.onEngine(id, backend.version)
    this.backends.set(id, backend)
    await backend.start()
  }
}

/** What a client has of its stream after an answer: nothing if it must begin anew. */
function nextTakeUp (outcome: Outcome | undefined, takeUp?: TakeUp): TakeUp | undefined {
  if (takeUp && outcome?.status === 503) return undefined
  const events = outcome?.status === 200 ? outcome.body.split('\n\n').length - 1 : 0
  if (events === 0) return takeUp
  return { stream: takeUp?.stream ?? outcome!.id, lastEventId: (takeUp?.lastEventId ?? 0) + events }
}

/** Whether the stream is whole: its answer has ended, or its client has the last event. */
function isOver (outcome: Outcome | undefined, takeUp: TakeUp | undefined): boolean {
  return takeUp !== undefined ? takeUp.lastEventId >= streamEvents : outcome?.status === 200 && outcome.isComplete
}

function unservedText ({ name }: NodeProcess, { kind, path, model = path }: Call, outcome: Outcome | undefined): string {
  const end = outcome ? `${outcome.status}${outcome.isComplete ? '' : ' cut'} ${JSON.stringify(outcome.body.slice(0, longestBodyChars))}` : 'no answer'
  return `${name} ${kind} ${model}: ${end}`
}

function configOf (versions: readonly number[], version: number, models: readonly string[], tenants?: object[]): object {
  const route = (name: string, kind: string, service: string, changes = {}) => ({
    name, host, path_prefix: `/${name}/`, kind, service, timeout_ms: kind === 'streaming' ? timeoutMs.stream : timeoutMs.safe, goal_ms: objectiveMs, priority: 1, max_attempts: 2, ...changes
  })
  return {
    version,
    ...(tenants ? { tenants } : {}),
    routes: [
      route('order', 'unsafe', 'orders'), route('stock', 'safe', 'orders', tenants ? { public: true } : {}), route('chat', 'streaming', 'models', { resumable: true, gap_target_ms: gapObjectiveMs, sticky: true }),
      ...versions.map(one => route(`v${one}`, 'safe', 'orders'))
    ],
    services: [
      { name: 'orders', max_conns: 100, health_path: '/health' },
      {
        name: 'models',
        max_conns: 100,
        engine: { slots: 12, kv_capacity: 100_000, weights_mb: engineMb, adapter_slots: adapterSlots, loads_per_s: 2, hold_ms: 2000, models: models.map(name => ({ name, weights_mb: modelMb, load_s: 0.5, adapters: 4, adapter_mb: 0.1 })) }
      }
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 100_000, header_timeout_ms: 3000, idle_timeout_ms: 4000 }
  }
}
