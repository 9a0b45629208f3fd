/** A small deployment in one process and under one virtual clock: nodes, stand-ins, callers and operators. */

import { VirtualClock } from '../base/clock.js'
import { hash32 } from '../base/hash.js'
import type { Log } from '../base/log.js'
import { silentLog } from '../base/log.js'
import { randomChoice, randomInt, SeededRandom } from '../base/random.js'
import { configKey } from '../config/proposal.js'
import { hashKey } from '../policy/accountKeys.js'
import { NodeCore } from '../gateway/nodeCore.js'
import type { NodeCoreOptions } from '../gateway/nodeCore.js'
import type { Vm } from '../external/vmList.js'
import { EngineStandIn } from '../standins/engine.js'
import { KeyValueStandIn } from '../standins/keyValue.js'
import { ServiceStandIn } from '../standins/service.js'
import { VmListStandIn } from '../standins/vmList.js'
import { WeightStoreStandIn } from '../standins/weightStore.js'
import { Callers } from './callers.js'
import { SimulatedNetwork, Topology } from './network.js'
import type { Place } from './network.js'
import type { CaseRecord } from './records.js'
import { engineSeam, keyValueSeam, serviceSeam, vmListSeam } from './seams.js'
import type { CallFault, KeyValueCondition, SeamContext, Step } from './seams.js'
import { SimulatedProcess } from './simulatedProcess.js'

const gibibyte = 2 ** 30
export const modelBytes = 16 * gibibyte
const adapterBytes = gibibyte / 2
const kvCacheBytes = 8 * gibibyte
/** Room for two models beside the KV cache and two adapters. */
const engineMemoryBytes = kvCacheBytes + 2 * modelBytes + 2 * adapterBytes
const startMs = 1_700_000_000_000

const north1: Place = { region: 'north', availabilityZone: 'north-1' }
const north2: Place = { region: 'north', availabilityZone: 'north-2' }
const south1: Place = { region: 'south', availabilityZone: 'south-1' }
const enginePlaces: Record<string, Place> = { e1: north1, e2: north2, e3: south1, e4: north1 }
/** This engine ignores fencing tokens. */
export const recordEngine = 'e4'
const serverPlaces: Record<string, Place> = { s1: north1, s2: north2 }
const platformPlace = north1
const vmListLagMs = 1_000

export const modelNames = Array.from({ length: 10 }, (_, index) => `m${index}`)
const adapterNames = Array.from({ length: 6 }, (_, index) => `a${index}`)
export const apiKeys = { urgent: 'key-urgent', live: 'key-live', browsing: 'key-browsing' } as const

/** Where models are at the start: seven of the eight places are taken. */
const residentAtStart: Record<string, string[]> = { e1: ['m0', 'm1'], e2: ['m2', 'm3'], e3: ['m0', 'm2'], e4: ['m4'] }

/** Text of a configuration; `versions` are those of models that are not at version 1. */
export function fleetText (versions: Record<string, string> = {}, comment = ''): string {
  return `; ${comment}
[fleet]
storeLoadsPerSecond = 4
storeLoadsInFlight = 3
storeAdapterLoadsInFlight = 25

[pool.main]
honoursFence = true
reserveBytes = 16GiB
adapterBytes = 1GiB

[exception.old-release]
reason = ${recordEngine} runs a release that ignores fencing tokens
target = engine.${recordEngine}
honoursFence = false

[rank.live]
patienceMs = 15s

[rank.browsing]
patienceMs = 20s

${Object.entries(apiKeys).map(([rank, key]) => `[customer.${rank}-customer]\napiKeySha256 = ${hashKey(key)}\nrank = ${rank}\n`).join('\n')}
${modelNames.map(name => `[model.${name}]\npool = main\nversion = ${versions[name] ?? '1'}\nmemoryBytes = ${modelBytes}\n`).join('\n')}
${adapterNames.map((name, index) => `[adapter.${name}]\nbaseModel = m${index % 5}\nmemoryBytes = ${adapterBytes}\n`).join('\n')}
[service.orders]
path = /orders
nonIdempotentMethods = POST
rank = urgent
`
}

/** Builds a node; the naive variant passes other parts. */
export type CreateNode = (options: NodeCoreOptions) => NodeCore

export interface WorldNode {
  vm: Vm
  place: Place
  process: SimulatedProcess
  core: NodeCore
  drainStartedAtMs?: number
  /** A VM that the platform has taken away is not restarted. */
  gone?: boolean
}

export interface WorldOptions {
  seed: number
  createNode?: CreateNode
  log?: (nowMs: number, process: string, ...args: Parameters<Log>) => void
}

export class World {
  readonly clock = new VirtualClock(startMs)
  readonly random: SeededRandom
  readonly topology = new Topology(this.clock)
  readonly engines: Record<string, EngineStandIn> = {}
  readonly servers: Record<string, ServiceStandIn> = {}
  readonly store: WeightStoreStandIn
  readonly keyValue: KeyValueStandIn
  readonly keyValueCondition: KeyValueCondition = { down: false, slowMs: 0 }
  readonly vmList: VmListStandIn
  readonly network: SimulatedNetwork
  readonly callers: Callers
  readonly nodes: WorldNode[] = []
  readonly record: CaseRecord = {
    faultsEndMs: startMs,
    endMs: startMs,
    overcommitments: [],
    callers: [],
    runs: [],
    arrivals: [],
    drains: [],
    applied: [],
    accepted: [],
    proposals: [],
    processes: [],
    probes: [],
    disturbances: [],
    versions: Object.fromEntries(modelNames.map(name => [name, [`${name}@1`]])),
    baseModels: Object.fromEntries(adapterNames.map((name, index) => [name, `m${index % 5}`]))
  }

  /** Called at each outside call. */
  onStep: (step: Step) => CallFault | undefined = () => undefined
  private vms: Vm[] = []
  private processCount = 0
  private idCount = 0
  private readonly createNode: CreateNode

  constructor (private readonly options: WorldOptions) {
    const { clock } = this
    this.random = new SeededRandom(options.seed)
    this.createNode = options.createNode ?? (nodeOptions => new NodeCore(nodeOptions))
    this.store = new WeightStoreStandIn({ clock, loadsPerSecond: 4, loadsInFlight: 3, bytesPerSecond: 60e9 })
    this.keyValue = new KeyValueStandIn({ clock })
    this.network = new SimulatedNetwork(this.topology, (process, to, message) =>
      this.onStep({ kind: `peer.${message.kind}`, process, target: to, subject: message.kind === 'move' ? message.move.load ?? '' : '' })?.cut)
    for (const [engine, place] of Object.entries(enginePlaces)) {
      const process = new SimulatedProcess(engine, clock)
      const loadStep = async (kind: string, name: string, load: () => Promise<void>) => {
        this.onStep({ kind: `store.${kind}`, process, target: engine, subject: name })
        return load()
      }
      this.engines[engine] = new EngineStandIn({
        clock,
        engine,
        memoryBytes: engineMemoryBytes,
        kvCacheBytes,
        honoursFence: engine !== recordEngine,
        maxBatch: 32,
        stepMs: batchSize => 30 + 0.3 * batchSize,
        weightStore: {
          loadModel: (name, bytes) => loadStep('loadModel', name, () => this.store.loadModel(name, bytes)),
          loadAdapter: (name, bytes) => loadStep('loadAdapter', name, () => this.store.loadAdapter(name, bytes))
        }
      })
      this.vms.push({ name: engine, kind: 'engine', group: 'main', address: `${engine}:8000`, ...place, state: 'live' })
    }
    for (const [server, place] of Object.entries(serverPlaces)) {
      this.servers[server] = new ServiceStandIn({ clock, server, executionMs: 50 })
      this.vms.push({ name: server, kind: 'service', group: 'orders', address: `${server}:9000`, ...place, state: 'live' })
    }
    this.vmList = new VmListStandIn({ clock, vms: this.vms, lagMs: vmListLagMs })
    this.callers = new Callers(this)
  }

  nowMs (): number {
    return this.clock.nowMs()
  }

  newId (): string {
    return `id-${++this.idCount}`
  }

  /** Starts everything and lets it settle. */
  async start (): Promise<void> {
    await this.writeFirstConfig()
    for (const [engine, models] of Object.entries(residentAtStart)) {
      const standIn = this.engines[engine]!
      for (const model of models) {
        standIn.deliver(standIn.incarnation, { kind: 'load', commandId: `start-${model}`, fence: 0, model: `${model}@1`, memoryBytes: modelBytes }).catch(() => {})
      }
    }
    for (const [name, place] of [['n1', north1], ['n2', north2], ['n3', south1]] as const) this.startNode(name, place)
    await this.clock.advance(4_000)
    this.callers.startBackground()
    await this.clock.advance(2_000)
  }

  /** Starts a process on a VM: a new VM, or one whose earlier process has ended. */
  startNode (name: string, place: Place): WorldNode {
    const { clock } = this
    const address = `${name}:7000`
    const vm: Vm = { name, kind: 'entry', group: '', address, ...place, state: 'live' }
    if (!this.vms.some(other => other.name === name)) this.setVms([...this.vms, vm])
    const processName = `${name}/${++this.processCount}`
    const process = new SimulatedProcess(processName, clock)
    const context: SeamContext = {
      process,
      place,
      topology: this.topology,
      onStep: step => this.onStep(step),
      onArrival: (server, sender, sentAtMs) => this.record.arrivals.push({ server, atMs: this.nowMs(), sentAtMs, node: sender.name })
    }
    const { log } = this.options
    const core = this.createNode({
      clock: process.clock,
      random: new SeededRandom(hash32(processName) ^ this.options.seed),
      log: log ? (...args) => log(this.nowMs() - startMs, processName, ...args) : silentLog,
      identity: { name, ...place, peersAddress: address },
      seeds: ['n1:7000', 'n2:7000'].filter(seed => seed !== address),
      network: this.network.of(process, place),
      keyValueStore: keyValueSeam(context, this.keyValue, platformPlace, this.keyValueCondition, (key, value) => this.onKeyValueWrite(key, value)),
      vmList: vmListSeam(context, { list: () => this.readVmList() }, platformPlace),
      engineApi: engine => engineSeam(context, this.engines[engine]!, enginePlaces[engine]!),
      serviceApi: server => serviceSeam(context, this.servers[server]!, serverPlaces[server]!),
      newId: () => this.newId()
    })
    const node: WorldNode = { vm, place, process, core }
    const entry: CaseRecord['processes'][number] = { process: processName, node: name, ...place, startedAtMs: this.nowMs(), drained: false }
    this.record.processes.push(entry)
    process.onEnd(() => { entry.endedAtMs = this.nowMs() })
    core.configDistribution.onApplied((config, text) => {
      this.record.applied.push({ process: processName, node: name, version: config.version, text, atMs: this.nowMs() })
    })
    const existing = this.nodes.findIndex(other => other.vm.name === name)
    if (existing >= 0) this.nodes.splice(existing, 1, node)
    else this.nodes.push(node)
    this.network.listen(address, { process, place, handler: message => core.handlePeer(message) })
    core.start().then(() => { entry.readyAtMs = this.nowMs() }, () => {})
    return node
  }

  /** Kills a process. With `restartAfterMs`, the VM starts an empty one; with `replace`, another VM does. */
  killNode (node: WorldNode, { restartAfterMs, replace = false }: { restartAfterMs?: number, replace?: boolean } = {}): void {
    const wasEnded = node.process.ended
    node.process.kill()
    if (wasEnded || node.gone) return
    this.disturb(node.process.name, 0)
    if (restartAfterMs === undefined) return
    this.clock.setTimer(restartAfterMs, () => {
      if (this.node(node.vm.name) !== node || node.gone) return
      if (replace) this.replaceVm(node)
      else this.startNode(node.vm.name, node.place)
    })
  }

  /** Takes the VM away and starts another with a new name. */
  replaceVm (node: WorldNode): WorldNode {
    node.gone = true
    this.setVms(this.vms.filter(({ name }) => name !== node.vm.name))
    return this.startNode(`${node.vm.name}x`, node.place)
  }

  /** Graceful shutdown, after which another VM takes the place. */
  drainNode (node: WorldNode): void {
    const drain: CaseRecord['drains'][number] = { name: node.process.name, kind: 'node', atMs: this.nowMs(), shownAtMs: this.nowMs() }
    node.drainStartedAtMs = this.nowMs()
    this.record.drains.push(drain)
    node.process.enter(() => {
      node.core.stop().then(() => {
        drain.endedAtMs = this.nowMs()
        drain.openAtEnd = this.callers.openAt(node)
        const entry = this.record.processes.find(({ process }) => process === node.process.name)!
        entry.drained = true
        node.process.kill()
        if (!node.gone && this.node(node.vm.name) === node) this.replaceVm(node)
      }, () => {})
    })
  }

  /** Shows a backend server as leaving in the VM list, or as draining in its status. */
  drainServer (name: string, by: 'list' | 'status'): void {
    const atMs = this.nowMs()
    const drain: CaseRecord['drains'][number] = { name, kind: 'server', atMs }
    this.record.drains.push(drain)
    if (by === 'status') {
      (this.engines[name] ?? this.servers[name])!.control({ fault: 'drain' })
      drain.shownAtMs = atMs
    } else {
      this.setVms(this.vms.map(vm => vm.name === name ? { ...vm, state: 'leaving' } : vm))
    }
  }

  /** Notes when the list first shows that a server leaves. */
  private async readVmList (): Promise<Vm[]> {
    const listed = await this.vmList.list()
    for (const drain of this.record.drains) {
      if (listed.some(({ name, state }) => name === drain.name && state === 'leaving')) drain.shownAtMs ??= this.nowMs()
    }
    return listed
  }

  setVms (vms: Vm[]): void {
    this.vms = vms
    this.vmList.set(vms)
  }

  listedVms (): Vm[] {
    return this.vms
  }

  node (name: string): WorldNode | undefined {
    return this.nodes.find(({ vm }) => vm.name === name)
  }

  nodeOf (process: SimulatedProcess): WorldNode | undefined {
    return this.nodes.find(node => node.process === process)
  }

  live (): WorldNode[] {
    return this.nodes.filter(({ process, gone }) => !process.ended && gone !== true)
  }

  /** The load balancer learns with a delay of 2 s that a node does not answer or leaves. */
  balanced (): WorldNode[] {
    const delayMs = 2_000
    const isStale = (atMs: number | undefined) => atMs !== undefined && this.nowMs() - atMs > delayMs
    return this.live().filter(({ process, core, drainStartedAtMs }) => !isStale(process.pausedAtMs) && !isStale(drainStartedAtMs) &&
      (core.readiness().ready || drainStartedAtMs !== undefined))
  }

  /** Notes that requests through `name` may be cut until `durationMs` from now. */
  disturb (name: string, durationMs: number): void {
    this.record.disturbances.push({ name, atMs: this.nowMs(), untilMs: this.nowMs() + durationMs })
  }

  /** Proposes a change as an operator does at a node. */
  async propose (node: WorldNode, change: { baseVersion?: number, text: string, proposalId: string }): Promise<void> {
    const entry: CaseRecord['proposals'][number] = { proposalId: change.proposalId, node: node.process.name, atMs: this.nowMs() }
    this.record.proposals.push(entry)
    const result = await Promise.race([
      new Promise<undefined>(resolve => { node.process.onEnd(() => resolve(undefined)) }),
      new Promise<Awaited<ReturnType<NodeCore['proposeConfig']>>>(resolve => node.process.enter(() => {
        const baseVersion = change.baseVersion ?? node.core.configDistribution.version()
        node.core.proposeConfig({ baseVersion, text: change.text, author: 'operator', reason: 'proof', proposalId: change.proposalId },
          { deadlineMs: this.nowMs() + 10_000 }).then(value => node.process.enter(() => resolve(value)), () => {})
      }))
    ])
    entry.result = result?.kind
    entry.version = result?.kind === 'accepted' ? result.version : undefined
  }

  /** Gathers what the stand-ins recorded. */
  finish (): CaseRecord {
    const { record } = this
    record.endMs = this.nowMs()
    record.overcommitments = Object.values(this.engines).flatMap(({ engine, log }) => log.violations.map(violation => ({ engine, ...violation })))
    record.runs = [
      ...Object.values(this.engines).flatMap(({ engine, log }) => log.requests.map(({ requestId, arrivalMs, endMs, result }) =>
        ({ server: engine, requestId, path: '', atMs: arrivalMs, endMs, result }))),
      ...Object.values(this.servers).flatMap(({ server, log }) => log.map(({ requestId, path, startMs: atMs, endMs }) =>
        ({ server, requestId, path, atMs, endMs, result: 'completed' })))
    ]
    return record
  }

  private async writeFirstConfig (): Promise<void> {
    const text = fleetText({}, 'first')
    await this.keyValue.compareAndSwap(configKey, 0, JSON.stringify({ version: 1, proposalId: 'first', author: 'operator', reason: 'first', acceptedAtMs: startMs, text }))
    this.record.accepted.push({ version: 1, proposalId: 'first', text, atMs: startMs })
  }

  private onKeyValueWrite (key: string, value: string): void {
    if (key !== configKey) return
    const { version, proposalId, text } = JSON.parse(value) as { version: number, proposalId: string, text: string }
    this.record.accepted.push({ version, proposalId, text, atMs: this.nowMs() })
    for (const [, model, modelVersion] of text.matchAll(/\[model\.(\w+)\]\npool = main\nversion = (\w+)/g)) {
      const names = this.record.versions[model!]!
      const name = `${model}@${modelVersion}`
      if (!names.includes(name)) names.push(name)
    }
  }

  chooseNode (exclude: readonly string[] = []): WorldNode | undefined {
    const candidates = this.balanced()
    return randomChoice(this.random, candidates.filter(({ vm }) => !exclude.includes(vm.name))) ?? randomChoice(this.random, candidates)
  }

  randomInt (bound: number): number {
    return randomInt(this.random, bound)
  }
}
