/** Measures each role of design.md 1.6 over several sizes, one dimension at a time. */

import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { readFile } from 'node:fs/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { SystemClock, VirtualClock } from '../base/clock.js'
import { rendezvousOwner } from '../base/hash.js'
import { silentLog } from '../base/log.js'
import { randomInt, SeededRandom } from '../base/random.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import { Dissemination } from '../fleet/dissemination.js'
import { EngineControl } from '../fleet/engineControl.js'
import { EntryTable } from '../fleet/entryTable.js'
import { IdempotencyStore } from '../fleet/idempotencyStore.js'
import { Membership } from '../fleet/membership.js'
import { Planner } from '../fleet/planner.js'
import { VmDirectory } from '../fleet/vmDirectory.js'
import type { EngineApi } from '../external/engine.js'
import { HttpEngine } from '../external/httpEngine.js'
import type { Vm } from '../external/vmList.js'
import { DemandForecast } from '../policy/forecast.js'
import { planMoves } from '../policy/placement.js'
import { Router } from '../policy/routing.js'
import { encodeBody } from '../protocol/framing.js'
import type { DemandEntry, EngineEntry, MemberEntry, PeerNetwork } from '../protocol/messages.js'
import { engineEntrySchema } from '../protocol/messages.js'
import { EngineStandIn } from '../standins/engine.js'
import { KeyValueStandIn } from '../standins/keyValue.js'
import { startLocalDeployment } from '../standins/localDeployment.js'
import { WeightStoreStandIn } from '../standins/weightStore.js'
import { target } from './capacityFit.js'
import type { Series } from './capacityFit.js'
import { createDeployment, noVariation } from './deployments.js'
import { engineOf, measureFleet, placeOf } from './fleetTraffic.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const noNetwork: PeerNetwork = { request: () => new Promise(() => {}) }
const location = { name: 'entry-0', region: 'a', availabilityZone: 'a1' }

/** Runs `measure` at each size and collects one series for each value that it returns. */
async function vary (role: string, varied: string, fixed: string, targetSize: number, sizes: number[], measure: (size: number) => Record<string, number> | Promise<Record<string, number>>): Promise<Series[]> {
  const points = new Map<string, [number, number][]>()
  for (const size of sizes) {
    for (const [name, value] of Object.entries(await measure(size))) points.set(name, [...points.get(name) ?? [], [size, value]])
  }
  return [...points].map(([name, measured]) => ({ role, measure: name, varied, fixed, points: measured, targetSize }))
}

/** CPU time of a call, after the compiler has had 150 ms with it. */
function microsecondsOf (times: number, call: () => void): number {
  const warmUntilMs = performance.now() + 150
  while (performance.now() < warmUntilMs) call()
  const before = process.cpuUsage()
  for (let index = 0; index < times; index++) call()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / times
}

/** Heap that one result of `create` keeps, as the mean of many, since the collector leaves some hundred KB of noise. */
function heapKilobytesOf (create: () => unknown, copies = 1): number {
  create()
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const kept = Array.from({ length: copies }, create)
  collectGarbage()
  const after = process.memoryUsage().heapUsed
  if (kept.includes(undefined)) throw new Error('nothing was created to measure')
  return (after - before) / 1_024 / copies
}

function sumOf (cost: Record<string, number>, kinds: string[]): number {
  return kinds.reduce((sum, kind) => sum + (cost[kind] ?? 0), 0)
}

const membershipKinds = ['ping', 'ack', 'pingRequest', 'pingReply', 'members', 'memberDigest']
const configKinds = ['configVersion', 'configPull', 'configBody']
const disseminationKinds = ['spread', 'spread of loads', 'relay', 'loads', 'digest', 'digestReply', 'entries', 'ok']

/** Membership and configuration; bytes are sent ones, and the same number is received in the mean. */
export async function membershipAndConfig (): Promise<Series[]> {
  const settleMs = 90_000
  return [
    ...await vary('membership', 'nodes', 'no engines, no change of the configuration', target.nodes, [20, 40, 80, 160], async nodes => {
      const cost = await measureFleet({ nodes, engines: 0, parts: [], settleMs })
      return { 'bytes/s sent': cost.sentAndReceivedBytesPerSecond.mean / 2, 'messages/s sent': cost.sentMessagesPerSecond, 'core %': cost.corePercent }
    }),
    ...await vary('configuration', 'nodes', '200 KB, a change each 41 s', target.nodes, [20, 40, 80, 160], async nodes => {
      const cost = await measureFleet({ nodes, engines: 0, parts: ['config'], settleMs })
      return {
        'bytes/s sent': sumOf(cost.sentBytesPerSecondByKind, configKinds),
        'heartbeats with news, bytes/s sent': sumOf(cost.sentBytesPerSecondByKind, membershipKinds),
        'core % with membership': cost.corePercent,
        'everywhere after ms': cost.configEverywhereMs,
        'service bytes/s of a watcher': cost.storeBytesPerSecondPerWatcher,
        'service calls/s of the fleet': cost.storeCallsPerSecond
      }
    })
  ]
}

/** Load figures, placement and the exchange of entries. */
export async function dissemination (): Promise<Series[]> {
  const measure = async (nodes: number, engines: number) => {
    const cost = await measureFleet({ nodes, engines, parts: ['dissemination'], settleMs: 60_000, measuredMs: 20_000 })
    const bytes = cost.sentBytesPerSecondByKind
    return {
      'bytes/s sent': sumOf(bytes, disseminationKinds),
      'of it changes, bytes/s': bytes['spread'] ?? 0,
      'of it loads, bytes/s': bytes['spread of loads'] ?? 0,
      'messages/s sent': cost.sentMessagesPerSecond,
      'core % with membership': cost.corePercent
    }
  }
  return [
    ...await vary('dissemination', 'engines', '60 nodes', target.engines, [75, 150, 300, 600], engines => measure(60, engines)),
    ...await vary('dissemination', 'nodes', '150 engines', target.nodes, [20, 40, 80, 160], nodes => measure(nodes, 150))
  ]
}

/** Controllers of engines with a load and an unload on each engine each 60 s. */
export async function controllers (): Promise<Series[]> {
  const measure = async (count: number, honoursFence: boolean) => {
    const clock = new VirtualClock(1_000_000)
    const keyValueStore = new KeyValueStandIn({ clock })
    const weightStore = new WeightStoreStandIn({ clock, loadsPerSecond: 1_000, loadsInFlight: 1_000 })
    let calls = 0
    let publishes = 0
    const controls = Array.from({ length: count }, (_, index) => {
      const standIn = new EngineStandIn({ clock, engine: `engine-${index}`, weightStore, honoursFence })
      const engine: EngineApi = new Proxy(standIn, {
        get: (object, name) => {
          const value = Reflect.get(object, name) as unknown
          if (typeof value !== 'function') return value
          return (...args: unknown[]) => {
            calls++
            return value.apply(object, args) as unknown
          }
        }
      })
      const control = new EngineControl({
        clock,
        random: new SeededRandom(index),
        log: silentLog,
        node: 'entry-0',
        nodeAddress: '10.20.0.1:7400',
        vm: vmOf(index),
        engine,
        honoursFence,
        adapterBytes: () => 1e9,
        keyValueStore,
        publish: () => { publishes++ }
      })
      control.start()
      return control
    })
    await clock.advance(10_000)
    const seconds = 60
    const keyValueBefore = sumOf(keyValueStore.counts, Object.keys(keyValueStore.counts))
    const callsBefore = calls
    const publishesBefore = publishes
    const before = process.cpuUsage()
    for (const [index, control] of controls.entries()) {
      clock.setTimer(index * 100, () => {
        const move = { moveId: 'm', engine: `engine-${index}`, loadAdapters: [], reason: 'capacity' }
        control.execute({ ...move, load: 'model@1', loadBytes: 40e9, unload: [] })
          .then(() => control.execute({ ...move, unload: ['model@1'] }), () => {})
      })
    }
    await clock.advance(seconds * 1_000)
    const used = process.cpuUsage(before)
    for (const control of controls) control.stop().catch(() => {})
    return {
      'core % without HTTP': (used.user + used.system) / 1e4 / seconds,
      'engine calls/s': (calls - callsBefore) / seconds,
      'published states/s': (publishes - publishesBefore) / seconds,
      'key-value calls per load and unload': (sumOf(keyValueStore.counts, Object.keys(keyValueStore.counts)) - keyValueBefore) / count
    }
  }
  const perNode = Math.ceil(target.engines / target.nodes)
  return [
    ...await vary('controller', 'engines', 'engines honour fencing tokens', perNode, [5, 10, 20, 40], count => measure(count, true)),
    ...await vary('controller with records', 'engines', 'engines ignore fencing tokens', perNode, [5, 10, 20, 40], count => measure(count, false)),
    ...await vary('controller, HTTP', 'engines', 'two polls a second; server in the same process', perNode, [5, 10, 20, 40], httpPolls)
  ]
}

/** CPU time of status polls over HTTP, with that of the server. */
async function httpPolls (count: number): Promise<Record<string, number>> {
  const body = JSON.stringify(engineOf(0, 'entry-0', 0))
  const server = createServer((_request, response) => { response.setHeader('content-type', 'application/json').end(body) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const engines = Array.from({ length: count }, (_, index) => new HttpEngine({ engine: `engine-${index}`, address, clock: new SystemClock() }))
  const poll = () => Promise.all(engines.map(engine => engine.status({ timeoutMs: 2_000 })))
  const warmUntilMs = performance.now() + 1_000
  while (performance.now() < warmUntilMs) await poll()
  const rounds = Math.ceil(4_000 / count)
  const before = process.cpuUsage()
  for (let round = 0; round < rounds; round++) await poll()
  const used = process.cpuUsage(before)
  for (const engine of engines) engine.close()
  await new Promise(resolve => { server.close(resolve) })
  return { 'core % at two polls a second': (used.user + used.system) / rounds * 2 / 1e4 }
}

function configOf (models: number): FleetConfig {
  const { config } = createDeployment('kalebass', noVariation)
  const pool = 'mate-advisor'
  const entries = Array.from({ length: models }, (_, index) => [`model-${index}`, { pool, version: `v${index % 8}`, memoryBytes: 40e9, minimumReplicas: 0, weight: 1, idempotent: true }])
  return { ...config, models: Object.fromEntries(entries) as FleetConfig['models'], adapters: {}, exceptions: [] }
}

function demandOf (node: string, models: number, reported: number, random: SeededRandom): DemandEntry {
  return {
    node,
    periodMs: 2_000,
    models: Array.from({ length: reported }, () => ({ model: `model-${randomInt(random, models)}`, arrivals: [1, 2, 1], waiting: 0, tokens: 400 + randomInt(random, 2_000), earliestDeadlineMs: 0 }))
  }
}

/** Plans of one region and the reports that its planner gets. */
export async function planner (): Promise<Series[]> {
  const region = (fleet: number) => Math.ceil(fleet * 3 / target.zones)
  const plan = (engineCount: number, models: number) => {
    const config = configOf(models)
    const random = new SeededRandom(5)
    const forecast = new DemandForecast()
    const fill = (into: DemandForecast) => {
      into.add({ ...demandOf('entry-0', models, 0, random), models: Array.from({ length: models }, (_, index) => ({ model: `model-${index}`, arrivals: [1, 2, 1], waiting: 0, tokens: 500 + index, earliestDeadlineMs: 0 })) }, 1_000)
      return into
    }
    fill(forecast)
    const heapKb = heapKilobytesOf(() => fill(new DemandForecast()), 20)
    const engines = Array.from({ length: engineCount }, (_, index) => ({
      ...engineOf(index, 'entry-0', 0), pool: 'mate-advisor', region: 'a', models: Array.from({ length: 8 }, (_, model) => modelOf((index * 5 + model) % models))
    }))
    const one = () => planMoves({ nowMs: 60_000, config, engines, forecasts: forecast.forecasts(60_000, config), waiting: new Map(), loadsInFlight: [], recentMoves: [], keyValueAvailable: true })
    return { 'plan ms': microsecondsOf(10, one) / 1_000, 'forecast KB': heapKb, 'plan KB': heapKilobytesOf(one, 20) }
  }
  return [
    ...await vary('planner', 'engines of the region', '690 models', region(target.engines), [32, 64, 128, 258], engines => plan(engines, 690)),
    ...await vary('planner', 'models', '258 engines', target.models, [86, 172, 345, 690], models => plan(258, models)),
    ...await vary('demand reports', 'nodes of the region', '10 requests/s at each node over 690 models, three zones', region(target.nodes), [36, 73, 110, 146], demandReports)
  ]
}

/** Reports of all nodes of a region through the relays of their zones, for 30 s. */
async function demandReports (nodeCount: number): Promise<Record<string, number>> {
  const clock = new VirtualClock(1_000_000)
  const random = new SeededRandom(6)
  const members = Array.from({ length: nodeCount }, (_, index) => ({ ...memberOf(index), region: 'a', availabilityZone: `a${1 + index % 3}` }))
  const received = new Map<string, number>(members.map(member => [member.address, 0]))
  const planners = new Map(members.map(member => [member.address, new Planner({
    clock,
    random: new SeededRandom(1),
    log: silentLog,
    self: member.name,
    region: 'a',
    members: () => members,
    network: {
      request: async (address, message) => {
        received.set(address, received.get(address)! + encodeBody(message).length + frameOverheadBytes)
        return await planners.get(address)!.handle(message) ?? { kind: 'error', message: 'unknown message' }
      }
    },
    config: () => undefined,
    engines: () => [],
    executeLocal: () => undefined,
    keyValueAvailable: () => true,
    plan: () => ({ moves: [], unreachable: [] }),
    forecast: new DemandForecast()
  })])) as Map<string, Planner>
  for (const each of planners.values()) each.start()
  const seconds = 30
  const before = process.cpuUsage()
  for (let second = 0; second < seconds; second += 2) {
    for (const member of members) planners.get(member.address)!.reportDemand(demandOf(member.name, 690, 20, random))
    await clock.advance(2_000)
  }
  const used = process.cpuUsage(before)
  for (const each of planners.values()) each.stop()
  const planner = members.find(member => member.name === rendezvousOwner('planner/a', members.map(({ name }) => name)))!
  const all = [...received.values()].reduce((sum, bytes) => sum + bytes, 0)
  return {
    'bytes/s received by the planner': received.get(planner.address)! / seconds,
    'bytes/s sent in the mean': all / seconds / nodeCount,
    'core % in the mean': (used.user + used.system) / 1e4 / seconds / nodeCount
  }
}

/** Sequence, code, lengths and the envelope of a request. */
const frameOverheadBytes = 45

function modelOf (index: number): EngineEntry['models'][number] {
  return { name: `model-${index}@v${index % 8}`, state: 'ready', memoryBytes: 40e9 }
}

/** A decision for a request, and the list of engines that it is made from. */
export async function routing (): Promise<Series[]> {
  const decide = (engineCount: number, replicas: number) => {
    const router = new Router({ clock: new VirtualClock(1_000_000), random: new SeededRandom(7), location, crossRegionPrice: () => 1 })
    const engines = Array.from({ length: engineCount }, (_, index) => {
      const entry = engineOf(index, 'entry-0', 1_000_000)
      return { ...entry, running: index % 20, models: index < replicas ? [...entry.models.slice(1), { name: 'wanted@v1', state: 'ready' as const, memoryBytes: 40e9 }] : entry.models }
    })
    const prompt = 'x'.repeat(2_000)
    let count = 0
    return {
      'µs for a decision': microsecondsOf(1_000, () => {
        const decision = router.choose({ requestId: `r${count++}`, model: 'wanted@v1', prompt, rank: 'live', promptBytes: prompt.length, excludeEngines: new Set() }, engines)
        if (decision.kind !== 'engine') throw new Error(decision.detail)
      })
    }
  }
  const list = (engineCount: number) => {
    const entries = Array.from({ length: engineCount }, (_, index) => ({ key: `engine/${index}`, value: engineOf(index, 'entry-0', 0) as unknown }))
    const table = new EntryTable({ list: () => entries }, 'engine/', engineEntrySchema)
    return {
      'µs for the list, each value checked': microsecondsOf(100, () => { for (const { value } of entries) engineEntrySchema.safeParse(value) }),
      'µs for the list, checked once': microsecondsOf(2_000, () => table.list())
    }
  }
  return [
    ...await vary('routing', 'engines with the model', '600 engines', target.engines / 10, [6, 12, 24, 48], replicas => decide(600, replicas)),
    ...await vary('routing', 'engines', '6 with the model', target.engines, [75, 150, 300, 600], engines => decide(engines, 6)),
    ...await vary('routing', 'engines', 'list of engines', target.engines, [75, 150, 300, 600], list)
  ]
}

function vmOf (index: number): Vm {
  return { name: `engine-${index}`, kind: 'engine', group: 'mixed', address: `10.30.${index >> 8}.${index & 255}:8000`, ...placeOf(index), state: 'live' }
}

function memberOf (index: number): MemberEntry {
  return { name: `entry-${index}`, address: `10.20.${index >> 8}.${index & 255}:7400`, ...placeOf(index), incarnation: 1_700_000_000_000 + index, state: 'alive', configVersion: 3, ready: true, sequence: 2 }
}

/** Heap of the tables that each node holds. */
export async function tables (): Promise<Series[]> {
  const clock = new VirtualClock(1_700_000_000_000)
  const options = { clock, random: new SeededRandom(8), log: silentLog, network: noNetwork }
  const engineTable = (engineCount: number, models: number) => heapKilobytesOf(() => {
    const store = new Dissemination({ ...options, location, members: () => [] })
    const wire = Array.from({ length: engineCount }, (_, index) => {
      const entry = engineOf(index, `entry-${index % 340}`, clock.nowMs())
      const value = { ...entry, models: Array.from({ length: models }, (_, model) => modelOf((index * 5 + model) % 690)), adapters: Array.from({ length: 20 }, (_, adapter) => ({ name: `adapter-${index * 20 + adapter}`, baseModel: 'model-1@v1', state: 'ready' as const, memoryBytes: 1e8 })) }
      return { key: `engine/${entry.engine}`, epoch: entry.controlFence, sequence: 1, value }
    })
    // Strings as they arrive, so that nothing is shared with what this benchmark holds.
    store.merge(JSON.parse(JSON.stringify(wire)) as typeof wire)
    const table = new EntryTable(store, 'engine/', engineEntrySchema)
    table.list()
    return [store, table]
  })
  return [
    ...await vary('tables', 'engines', '8 models and 20 adapters on each', target.engines, [75, 150, 300, 600], engines => ({ KB: engineTable(engines, 8) })),
    ...await vary('tables', 'models on each engine', '300 engines', 8, [2, 4, 8, 16], models => ({ KB: engineTable(300, models) })),
    ...await vary('tables', 'members', 'no engines', target.nodes, [40, 80, 160, 320], count => {
      const wire = JSON.stringify(Array.from({ length: count }, (_, index) => memberOf(index)))
      return {
        KB: heapKilobytesOf(() => {
          const membership = new Membership({ ...options, self: { ...location, address: '10.20.9.9:7400' }, seeds: async () => [], onEntries: () => {}, piggyback: () => [] })
          membership.handle({ kind: 'members', members: JSON.parse(wire) as MemberEntry[], wanted: new Uint8Array(0) }).catch(() => {})
          membership.stop()
          return membership
        }, 20)
      }
    })
  ]
}

/** Calls of the key-value service for keyed requests. */
export async function idempotency (): Promise<Series[]> {
  return await vary('idempotency', 'keyed requests/s', 'one node', 100, [10, 20, 40, 80], async count => {
    const clock = new VirtualClock(1_000_000)
    const keyValueStore = new KeyValueStandIn({ clock })
    let id = 0
    const store = new IdempotencyStore({ clock, log: silentLog, keyValueStore, node: 'entry-0', retentionMs: () => 86_400_000, newId: () => `id-${id++}` })
    let started = 0
    for (let index = 0; index < count; index++) {
      clock.setTimer(index * 1_000 / count, () => {
        store.begin('customer', `key-${index}`, `hash-${index}`, { deadlineMs: clock.nowMs() + 5_000 }).then(result => {
          if (result.kind !== 'new') throw new Error(`unexpected ${result.kind}`)
          started++
          store.complete(result.claim, { status: 200, headers: {}, body: new Uint8Array(1_000) })
        }).catch((error: unknown) => { throw error })
      })
    }
    await clock.advance(5_000)
    if (started !== count) throw new Error(`${started} of ${count} requests were claimed`)
    return { 'key-value writes/s': keyValueStore.counts.compareAndSwap, 'all key-value calls/s': sumOf(keyValueStore.counts, Object.keys(keyValueStore.counts)) }
  })
}

/** The list of VMs at its reader and at each node. */
export async function vmDirectory (): Promise<Series[]> {
  return await vary('VM directory', 'VMs', 'one region of them at its reader', target.nodes + target.engines, [120, 240, 480, 960], async count => {
    const clock = new VirtualClock(1_000_000)
    const store = new Dissemination({ clock, random: new SeededRandom(9), log: silentLog, network: noNetwork, location, members: () => [] })
    const vms = Array.from({ length: count }, (_, index) => vmOf(index))
    let reads = 0
    const vmList = {
      list: async () => {
        reads++
        return JSON.parse(JSON.stringify(vms)) as Vm[]
      }
    }
    const directory = new VmDirectory({ clock, log: silentLog, vmList, entries: store, self: location, alive: () => [memberOf(0)].map(member => ({ ...member, ...location })) })
    directory.start()
    await clock.advance(1_000)
    store.merge(vms.map(vm => ({ key: `vm/${vm.region}/${vm.name}`, epoch: 1, sequence: 1, value: vm })))
    const before = process.cpuUsage()
    await clock.advance(60_000)
    const used = process.cpuUsage(before)
    directory.stop()
    const KB = heapKilobytesOf(() => JSON.parse(JSON.stringify(vms)) as Vm[], 20)
    return { 'core % of the reader': (used.user + used.system) / 1e4 / 60, 'list reads/s of a region': (reads - 1) / 60, 'µs for the list of VMs': microsecondsOf(2_000, () => directory.vms()), 'KB at each node': KB }
  })
}

/** Resident memory of node processes in front of a small deployment, in MB. */
export async function nodeProcesses (): Promise<number[]> {
  const deployment = await startLocalDeployment({})
  try {
    return await Promise.all(deployment.nodes.map(async node => {
      const status = await readFile(`/proc/${node.process.pid}/status`, 'utf8')
      return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]) / 1_024
    }))
  } finally {
    await deployment.stop()
  }
}
