/**
 * A fleet of nodes in one process under a virtual clock, with what control costs each node: bytes and messages that it
 * sends and receives, and CPU time. Each message is encoded, sealed, checked and decoded as on a TCP connection.
 *
 * Workload for each 600 engines: status each second with changed load figures, 10 model loads a second (three changes
 * each), 60 adapter changes a second. The configuration of 200 KB changes once in each run.
 */

import { VirtualClock } from '../base/clock.js'
import { UnknownOutcomeError } from '../base/errors.js'
import { silentLog } from '../base/log.js'
import { randomInt, SeededRandom } from '../base/random.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import { ConfigDistribution } from '../fleet/configDistribution.js'
import { Dissemination } from '../fleet/dissemination.js'
import { Membership } from '../fleet/membership.js'
import { FrameSeal } from '../node/peerHandshake.js'
import type { KeyValueEntry, KeyValueStore } from '../external/keyValueStore.js'
import { decodeBody, encodeBody, encodeFrame } from '../protocol/framing.js'
import type { EngineEntry, PeerHandler, PeerMessage, PeerNetwork } from '../protocol/messages.js'
import { peerMessageSchema } from '../protocol/messages.js'

const warmUpMs = 30_000
/** Each join rides on six heartbeats, eight to a heartbeat: 340 at once need 130 s, which is no steady state. */
export const joinMs = 180_000
/** Time between two of 2,100 configuration changes a day. */
export const configPeriodMs = 86_400_000 / 2_100
const places = ['a/a1', 'a/a2', 'a/a3', 'b/b1', 'b/b2', 'c/c1', 'c/c2'].map(place => place.split('/') as [string, string])
const transcript = { clientNonce: new Uint8Array(32), serverNonce: new Uint8Array(32), address: '' }

interface Traffic { sentBytes: number, receivedBytes: number, sentMessages: number }

class CountingNetwork {
  readonly traffic = new Map<string, Traffic>()
  readonly bytesByKind = new Map<string, number>()
  crossRegionBytes = 0
  measuring = false
  private readonly handlers = new Map<string, { handler: PeerHandler, region: string }>()
  private readonly lost = new Set<string>()
  private readonly outgoing = new FrameSeal('key', 'client', transcript)
  private readonly incoming = new FrameSeal('key', 'client', transcript)

  constructor (private readonly clock: VirtualClock, private readonly random: SeededRandom) {}

  listen (address: string, region: string, handler: PeerHandler): void {
    this.handlers.set(address, { handler, region })
    this.traffic.set(address, { sentBytes: 0, receivedBytes: 0, sentMessages: 0 })
  }

  of (from: string): PeerNetwork {
    return {
      request: (to, message, { timeoutMs }) => new Promise((resolve, reject) => {
        const cancel = this.clock.setTimer(timeoutMs, () => reject(new UnknownOutcomeError(to, 'no reply')))
        const receiver = this.handlers.get(to)!
        const delayMs = () => 0.5 + (receiver.region === this.handlers.get(from)!.region ? 0.5 : 5.5) * (0.9 + 0.2 * this.random.next())
        const sent = this.transfer(from, to, 'request', message)
        if (this.lost.has(to)) return
        this.clock.setTimer(delayMs(), async () => {
          const reply = this.transfer(to, from, 'reply', await receiver.handler(sent))
          this.clock.setTimer(delayMs(), () => {
            cancel()
            resolve(reply)
          })
        })
      })
    }
  }

  /** Ends a node: it neither sends nor answers. */
  cut (node: { address: string, membership: Membership, dissemination: Dissemination, config: ConfigDistribution }): void {
    this.lost.add(node.address)
    node.membership.stop()
    node.dissemination.stop()
    node.config.stop()
  }

  /** The message as the receiver decodes it. */
  private transfer (from: string, to: string, kind: 'request' | 'reply', message: PeerMessage): PeerMessage {
    if (!this.measuring) return message
    const sealed = this.outgoing.seal(encodeBody([1_000, kind, message]))
    const bytes = encodeFrame(sealed).length
    const [sender, receiver] = [this.traffic.get(from)!, this.traffic.get(to)!]
    sender.sentBytes += bytes
    sender.sentMessages++
    receiver.receivedBytes += bytes
    if (this.handlers.get(from)!.region !== this.handlers.get(to)!.region) this.crossRegionBytes += bytes
    const label = message.kind === 'spread' && message.loads.length > 0 ? 'spread of loads' : message.kind
    this.bytesByKind.set(label, (this.bytesByKind.get(label) ?? 0) + bytes)
    this.incoming.accepts(sealed)
    const decoded = decodeBody(encodeBody(message), peerMessageSchema)
    if (decoded instanceof Error) throw decoded
    return decoded
  }
}

/** Holds the keys of the configuration and counts the bytes of its answers. Watches end without news after their time limit. */
class ConfigStore implements Pick<KeyValueStore, 'get' | 'watch'> {
  answeredBytes = 0
  calls = 0
  private readonly entries = new Map<string, KeyValueEntry>()
  private revision = 0

  constructor (private readonly clock: VirtualClock) {}

  async get (key: string): Promise<KeyValueEntry | undefined> {
    return this.answer(this.entries.get(key))
  }

  async watch (prefix: string, afterRevision: number, { timeoutMs }: { timeoutMs: number }) {
    const endMs = this.clock.nowMs() + timeoutMs
    const changed = () => [...this.entries.values()].filter(entry => entry.key.startsWith(prefix) && entry.revision > afterRevision)
    while (changed().length === 0 && this.clock.nowMs() < endMs) {
      await new Promise<void>(resolve => { this.clock.setTimer(100, resolve) })
    }
    return this.answer({ entries: changed(), revision: this.revision, complete: true })
  }

  write (version: number, text: string): void {
    this.entries.set('config/current', { key: 'config/current', value: JSON.stringify({ version, text }), revision: ++this.revision })
    const value = JSON.stringify({ version, revision: this.revision })
    this.entries.set('config/version', { key: 'config/version', value, revision: ++this.revision })
  }

  private answer<T> (result: T): T {
    this.calls++
    this.answeredBytes += JSON.stringify(result ?? null).length
    return result
  }
}

/** A text of 200 KB, as exceptions and models make it up. Versions differ in one section in its middle. */
function configText (version: number): string {
  const random = new SeededRandom(4)
  const lines: string[] = ['# configuration']
  for (let size = 0; size < 200_000; size += lines.at(-1)!.length + 1) {
    const index = lines.length
    lines.push(`[model.model-${index}]\npool = pool-${index % 5}\nversion = v${randomInt(random, 90)}\nmemoryBytes = ${randomInt(random, 1e9) * 40}\nweight = ${random.next().toFixed(3)}`)
  }
  lines.splice(lines.length >> 1, 0, `[exception.change-${version}]\ntarget = model.model-7\nminimumReplicas = ${version}\nreason = change ${version}`)
  return lines.join('\n')
}

/** Region and availability zone of a node or an engine. */
export function placeOf (index: number): { region: string, availabilityZone: string } {
  const [region, availabilityZone] = places[index % places.length]!
  return { region, availabilityZone }
}

/** An engine with eight models. */
export function engineOf (index: number, controller: string, nowMs: number): EngineEntry {
  const place = placeOf(index)
  return {
    engine: `engine-${place.availabilityZone}-${index}`,
    incarnation: `${1_700_000_000_000 + index}`,
    fence: 2 ** 32 + index,
    role: 'mixed',
    draining: false,
    accelerators: 8,
    memoryBytes: 640e9,
    kvCacheBytes: 128e9,
    models: Array.from({ length: 8 }, (_, model) => ({ name: `model-${(index * 5 + model) % 690}@v${model}`, state: 'ready' as const, memoryBytes: 40_000_000_001 })),
    adapters: [],
    running: 0,
    queued: 0,
    maxBatch: 64,
    freeKvTokens: 400_000,
    stepMs: 25,
    reportedAtMs: nowMs,
    pool: 'mixed',
    address: `10.30.${index >> 8}.${index & 255}:8000`,
    ...place,
    controller,
    controlFence: 2 ** 32 + index,
    reachable: true
  }
}

export interface FleetSize {
  nodes: number
  engines: number
  /** Parts that run beside membership; both unless set. */
  parts?: ('dissemination' | 'config')[]
  /** Time from the start of all nodes to the first engine; `joinMs` unless set. */
  settleMs?: number
  /** One period of configuration changes unless set. */
  measuredMs?: number
  /** Part of the nodes that are cut off at the start of the measurement: those of the first zones. */
  lostZones?: number
}

export type FleetCost = Awaited<ReturnType<typeof measureFleet>>

export async function measureFleet ({ nodes: nodeCount, engines: engineCount, parts = ['dissemination', 'config'], settleMs = joinMs, measuredMs = configPeriodMs, lostZones = 0 }: FleetSize) {
  const clock = new VirtualClock(1_700_000_000_000)
  const random = new SeededRandom(1)
  const network = new CountingNetwork(clock, random)
  const store = new ConfigStore(clock)
  store.write(1, configText(1))
  const addresses = Array.from({ length: nodeCount }, (_, index) => `10.20.${index >> 8}.${index & 255}:7400`)
  const nodes = addresses.map((address, index) => {
    const { region, availabilityZone } = placeOf(index)
    const self = { name: `entry-${availabilityZone}-${index}`, address, region, availabilityZone }
    const options = { clock, random: new SeededRandom(100 + index), log: silentLog, network: network.of(address) }
    const seeds = async () => addresses.slice(0, 3)
    const membership = new Membership({ ...options, self, seeds, onEntries: () => {}, piggyback: () => [] })
    const dissemination = new Dissemination({ ...options, location: self, members: () => membership.alive() })
    const config = new ConfigDistribution({
      ...options,
      keyValueStore: store as unknown as KeyValueStore,
      members: () => membership.alive(),
      self: self.name,
      selfAddress: address,
      parse: (_text, version) => ({ version }) as FleetConfig,
      seeds
    })
    config.onApplied(applied => membership.setConfigVersion(applied.version))
    network.listen(address, region, async message => await membership.handle(message) ?? await dissemination.handle(message) ??
      await config.handle(message) ?? { kind: 'error', message: 'unknown message' })
    membership.start()
    if (parts.includes('dissemination')) dissemination.start()
    if (parts.includes('config')) config.start()
    return { ...self, membership, dissemination, config }
  })
  const engines = Array.from({ length: engineCount }, (_, index) => {
    const inRegion = nodes.filter(node => node.region === placeOf(index).region)
    return engineOf(index, inRegion[randomInt(random, inRegion.length)]!.name, clock.nowMs())
  })
  const owners = new Map(nodes.map(node => [node.name, node.dissemination]))
  const publish = (index: number, changes: Partial<EngineEntry>) => {
    const entry = { ...engines[index]!, ...changes, reportedAtMs: Math.floor(clock.nowMs()) }
    engines[index] = entry
    owners.get(entry.controller)!.publish(`engine/${entry.engine}`, entry.controlFence, entry)
  }
  const every = (periodMs: number, task: () => void) => {
    const run = () => {
      task()
      clock.setTimer(periodMs, run)
    }
    clock.setTimer(randomInt(random, Math.ceil(periodMs)), run)
  }
  await clock.advance(settleMs)
  engines.forEach((_, index) => every(1_000, () => publish(index, {
    running: randomInt(random, 64), queued: randomInt(random, 40), freeKvTokens: randomInt(random, 400_000), stepMs: 20 + 20 * random.next()
  })))
  let loads = 0
  if (engineCount > 0) {
    every(60_000 / engineCount, () => {
      const index = randomInt(random, engineCount)
      const model = { name: `model-${loads++ % 690}@v${loads}`, memoryBytes: 40_000_000_001 }
      publish(index, { fence: engines[index]!.fence + 2 ** 32, models: engines[index]!.models.slice(1) })
      clock.setTimer(50, () => publish(index, { models: [...engines[index]!.models, { ...model, state: 'loading' }] }))
      clock.setTimer(3_000, () => publish(index, { models: engines[index]!.models.map(item => item.name === model.name ? { ...item, state: 'ready' } : item) }))
    })
  }
  if (engineCount > 0) {
    every(10_000 / engineCount, () => {
      const index = randomInt(random, engineCount)
      const adapter = { name: `adapter-${randomInt(random, 2_000)}`, baseModel: engines[index]!.models[0]?.name ?? '', state: 'ready' as const, memoryBytes: 100_000_000 }
      publish(index, { adapters: [...engines[index]!.adapters, adapter].slice(-20) })
    })
  }
  if (engineCount > 0) await clock.advance(warmUpMs)
  network.measuring = true
  const storeBefore = { bytes: store.answeredBytes, calls: store.calls }
  const cpuBefore = process.cpuUsage()
  const startMs = clock.nowMs()
  const lost = new Set(places.slice(0, lostZones).map(([, zone]) => zone))
  for (const node of nodes) if (lost.has(node.availabilityZone)) network.cut(node)
  const rest = nodes.filter(node => !lost.has(node.availabilityZone))
  if (parts.includes('config')) store.write(2, configText(2))
  let everywhereMs = 0
  nodes.forEach(node => node.config.onApplied(() => {
    if (rest.every(other => other.config.version() === 2)) everywhereMs = clock.nowMs() - startMs
  }))
  await clock.advance(measuredMs)
  const cpu = process.cpuUsage(cpuBefore)
  const seconds = measuredMs / 1_000
  const totals = rest.map(node => network.traffic.get(node.address)!).map(item => (item.sentBytes + item.receivedBytes) / seconds).sort((left, right) => left - right)
  const mean = totals.reduce((sum, total) => sum + total, 0) / rest.length
  const messages = [...network.traffic.values()].reduce((sum, item) => sum + item.sentMessages, 0) / nodeCount / seconds
  const known = Math.min(...rest.map(node => node.dissemination.list('engine/').length))
  const alive = Math.min(...rest.map(node => node.membership.alive().length))
  const cost = {
    nodes: nodeCount,
    engines: engineCount,
    sentAndReceivedBytesPerSecond: { mean: Math.round(mean), p95: Math.round(totals[Math.floor(totals.length * 0.95)]!), max: Math.round(totals.at(-1)!) },
    sentMessagesPerSecond: Number(messages.toFixed(1)),
    corePercent: Number(((cpu.user + cpu.system) / 1e6 / nodeCount / seconds * 100).toFixed(2)),
    crossRegionBytesPerSecond: Math.round(network.crossRegionBytes / seconds),
    storeBytesPerSecondPerWatcher: Math.round((store.answeredBytes - storeBefore.bytes) / seconds / Math.min(14, nodeCount)),
    storeCallsPerSecond: Number(((store.calls - storeBefore.calls) / seconds).toFixed(1)),
    configEverywhereMs: Math.round(everywhereMs),
    fewestKnown: { members: alive, engines: known },
    sentBytesPerSecondByKind: Object.fromEntries([...network.bytesByKind]
      .sort((left, right) => right[1] - left[1]).map(([kind, bytes]) => [kind, Math.round(bytes / nodeCount / seconds)]))
  }
  for (const node of nodes) {
    node.membership.stop()
    node.dissemination.stop()
    node.config.stop()
  }
  return cost
}
