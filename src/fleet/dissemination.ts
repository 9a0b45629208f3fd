/** Replicates versioned entries to all nodes: engines, plain services and other state that nodes publish. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { repeat } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { hash32, rendezvousOwner } from '../base/hash.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { randomChoice, randomInt } from '../base/random.js'
import { FrameError } from '../protocol/framing.js'
import type { EngineEntry, EntryChanges, EntryPatch, MemberEntry, PeerMessage, PeerMessageOf, PeerNetwork, VersionedEntry } from '../protocol/messages.js'
import { applyDiff, changedFields, diffValues, isEmptyDiff, isEngineKey, mergeDiffs } from './entryDiff.js'
import type { ValueDiff } from './entryDiff.js'
import type { EngineLoad } from './packing.js'
import { loadFields, packChanges, packHashes, packLoads, unpackChanges, unpackHashes, unpackLoads } from './packing.js'
import { broadcastPosition, splitRange, allPositions, zoneRange } from './broadcastRange.js'
import type { BroadcastRange } from './broadcastRange.js'

/** A node collects its urgent changes for this time; the relay then collects those of all nodes for `relayDelayMs`. */
const urgentDelayMs = 20
const relayDelayMs = 400
/** Longer than `relayDelayMs`, since larger bundles compress better. */
const deferredRelayDelayMs = 2_500
/** Other nodes become relays after this time, which spreads the relay traffic over all nodes. */
const relayTermMs = 10_000
const pullDelayMs = 200
/** Changes that are not urgent, such as those of adapters, are collected for this time. */
const deferredPeriodMs = 2_500
const antiEntropyPeriodMs = 5_000
/** Period of load figures to the engine's availability zone. Other zones of its region get every 5th, other regions every 30th. */
const loadPeriodMs = 1_000
const ticksPerRegionUpdate = 5
const ticksPerFleetUpdate = 30
const broadcastFanout = 3
const requestTimeoutMs = 1_000
/** Changes younger than this may still be in transit: reconciliation skips them, and patches apply to the versions they replaced. */
const propagationMs = 6_000
const maxBases = 4
const bucketCount = 256
/** Longer than any expected partition, since a node that missed a deletion would restore the entry on return. */
const tombstoneRetentionMs = 2 * 3_600_000
/** Keeps a message well below the frame limit; the remaining entries follow in the next reconciliation. */
const maxExchangeEntries = 1_000
const noBytes = new Uint8Array(0)

export interface DisseminationOptions {
  clock: Clock
  random: Random
  log: Log
  network: PeerNetwork
  /** Name, region and availability zone of this node. */
  location: { name: string, region: string, availabilityZone: string }
  members: () => MemberEntry[]
}

interface StoredEntry {
  entry: VersionedEntry
  keyHash: number
  versionHash: number
  storedAtMs: number
  deletedAtMs?: number
}

interface BroadcastPayload { changes: Uint8Array, baseMs: number, loads: Uint8Array }

/**
 * A replicated map. Each key has one writer at a time and a version `(epoch, sequence)`; the higher version wins. The
 * value `undefined` deletes a key and leaves a tombstone. Load figures of engines do not change the version; the later
 * `reportedAtMs` wins.
 */
export class Dissemination {
  private readonly entries = new Map<string, StoredEntry>()
  private readonly keyByHash = new Map<number, string>()
  private readonly buckets: number[] = Array(bucketCount).fill(0)
  private readonly listeners: ((key: string, value: unknown) => void)[] = []
  private readonly urgentKeys = new Set<string>()
  private readonly deferredKeys = new Set<string>()
  /** Recently replaced versions of this node's keys, oldest first. Other nodes may still store any of them. */
  private readonly replacedVersions = new Map<string, { entry: VersionedEntry, atMs: number }[]>()
  private cachedOthers: { members: MemberEntry[], others: MemberEntry[] } | undefined
  /** Changes that this node collects as the relay of the fleet. */
  private readonly relayedUrgent: EntryChanges = { entries: [], patches: [] }
  private readonly relayedDeferred: EntryChanges = { entries: [], patches: [] }
  /** Engines that this node publishes, with `reportedAtMs` of the load figures sent last; -1 if they must be sent. */
  private readonly ownLoads = new Map<string, number>()
  /** Keys of engines whose load figures this node forwards as the relay of an availability zone, by destination. */
  private readonly zoneLoads = new Set<string>()
  private readonly regionLoads = new Set<string>()
  private readonly fleetLoads = new Set<string>()
  private readonly pendingPulls = new Set<string>()
  private readonly scheduled = new Map<string, CancelTimer>()
  private loadTick = 0
  private timers: CancelTimer[] = []

  constructor (private readonly options: DisseminationOptions) {}

  start (): void {
    const { clock, random, log } = this.options
    const onError = (error: unknown) => log('error', 'dissemination-task-failed', { message: messageOf(error) })
    const every = (periodMs: number, task: () => void | Promise<void>) =>
      repeat(clock, periodMs, task, { firstDelayMs: randomInt(random, periodMs), onError })
    this.loadTick = randomInt(random, ticksPerFleetUpdate)
    this.timers = [
      every(deferredPeriodMs, () => this.flush(this.deferredKeys, false)),
      every(loadPeriodMs, () => this.sendLoads()),
      every(antiEntropyPeriodMs, () => { this.reconcile().catch(onError) }),
      every(60_000, () => this.expireTombstones())
    ]
  }

  stop (): void {
    for (const cancel of this.timers) cancel()
    this.timers = []
    for (const cancel of this.scheduled.values()) cancel()
    this.scheduled.clear()
  }

  /**
   * Sets the value of a key that this node owns. Ignored if the stored epoch is higher, since another writer owns the
   * key. `urgent` defaults to true for changes that need a complete entry, and for fields of an engine other than
   * adapters and load figures.
   */
  publish (key: string, epoch: number, value: unknown, { urgent }: { urgent?: boolean } = {}): void {
    const stored = this.entries.get(key)
    if (stored && stored.entry.epoch > epoch) {
      this.ownLoads.delete(key)
      this.options.log('info', 'publish-superseded', { key, epoch, storedEpoch: stored.entry.epoch })
      return
    }
    if (isEngineKey(key) && value !== undefined) this.ownLoads.set(key, this.ownLoads.get(key) ?? -1)
    const before = stored?.entry
    const diff = before && diffValues(key, before.value, value)
    if (before && before.epoch === epoch && diff && isEmptyDiff(diff)) {
      const load = loadOf(key, value)
      if (load) this.applyLoad(key, load)
      return
    }
    const sequence = before?.epoch === epoch ? before.sequence + 1 : 1
    this.store({ key, epoch, sequence, value })
    const isUrgent = urgent ?? (!diff || (isEngineKey(key) && changedFields(diff).some(field => field !== 'adapters')))
    // A deferred change after a queued urgent one is sent with it, since one patch covers both.
    const queue = isUrgent || this.urgentKeys.has(key) ? this.urgentKeys : this.deferredKeys
    this.deferredKeys.delete(key)
    queue.add(key)
    if (before) this.replacedVersions.set(key, [...this.patchBases(key), { entry: before, atMs: this.options.clock.nowMs() }].slice(-maxBases))
    if (isUrgent) this.schedule('urgent', urgentDelayMs, () => this.flush(this.urgentKeys, true))
  }

  get (key: string): unknown {
    return this.entries.get(key)?.entry.value
  }

  list (prefix: string): { key: string, value: unknown }[] {
    const found: { key: string, value: unknown }[] = []
    for (const { entry } of this.entries.values()) {
      if (entry.value !== undefined && entry.key.startsWith(prefix)) found.push({ key: entry.key, value: entry.value })
    }
    return found
  }

  /** Calls `listener` after each change, with `undefined` for a deleted key. */
  onChange (listener: (key: string, value: unknown) => void): void {
    this.listeners.push(listener)
  }

  /** Stores the entries that are newer than the stored versions. */
  merge (entries: VersionedEntry[]): void {
    for (const entry of entries) {
      const stored = this.entries.get(entry.key)
      if (stored && !isNewer(entry, stored.entry)) continue
      this.ownLoads.delete(entry.key)
      // Messages encode `undefined` as `null`.
      this.store({ ...entry, value: entry.value ?? undefined })
    }
  }

  /** Replies to dissemination messages. Returns `undefined` for other messages. */
  async handle (message: PeerMessage): Promise<PeerMessage | undefined> {
    switch (message.kind) {
      case 'spread':
        this.receiveBroadcast(message)
        return { kind: 'ok' }
      case 'relay':
        this.bundleChanges(message, message.urgent)
        return { kind: 'ok' }
      case 'loads':
        this.receiveLoads(message.baseMs, message.loads, true)
        return { kind: 'ok' }
      case 'digest':
        return this.replyToDigest(message.hashes)
      case 'entries':
        this.merge(message.entries)
        return { kind: 'entries', entries: this.wireEntries(message.wanted), wanted: [] }
      default:
        return undefined
    }
  }

  private others (): MemberEntry[] {
    const members = this.options.members()
    if (this.cachedOthers?.members !== members) {
      const others = members.filter(member =>
        member.name !== this.options.location.name && (member.state === 'alive' || member.state === 'suspect'))
      this.cachedOthers = { members, others }
    }
    return this.cachedOthers.others
  }

  private patchBases (key: string): { entry: VersionedEntry, atMs: number }[] {
    const oldestMs = this.options.clock.nowMs() - propagationMs
    return this.replacedVersions.get(key)?.filter(base => base.atMs >= oldestMs) ?? []
  }

  /** The change of an entry since its recent versions as a patch, or `undefined` if the complete entry must be sent. */
  private patchOf (entry: VersionedEntry): EntryPatch | undefined {
    const bases = this.patchBases(entry.key).map(base => base.entry)
    let diff: ValueDiff | undefined
    for (const base of bases) {
      const baseDiff = diffValues(entry.key, base.value, entry.value)
      if (!baseDiff) return undefined
      diff = diff ? mergeDiffs(diff, baseDiff) : baseDiff
    }
    return diff && { key: entry.key, version: [entry.epoch, entry.sequence], bases: bases.map(base => [base.epoch, base.sequence]), ...diff }
  }

  private schedule (name: string, delayMs: number, task: () => void): void {
    if (this.scheduled.has(name)) return
    this.scheduled.set(name, this.options.clock.setTimer(delayMs, () => {
      this.scheduled.delete(name)
      task()
    }))
  }

  /** Sends the queued changes to the relay of the fleet, which bundles the changes of all nodes. */
  private flush (queue: Set<string>, urgent: boolean): void {
    if (queue.size === 0) return
    const entries: VersionedEntry[] = []
    const patches: EntryPatch[] = []
    for (const key of queue) {
      const entry = this.entries.get(key)?.entry
      if (!entry) continue
      const patch = this.patchOf(entry)
      if (patch) patches.push(patch)
      else entries.push(toWire(entry))
    }
    queue.clear()
    const others = this.others()
    const relayName = rendezvousOwner(`relay/${this.relayTerm()}`, [this.options.location.name, ...others.map(member => member.name)])
    const relay = others.find(member => member.name === relayName)
    const changes = { entries, patches }
    if (!relay) return this.bundleChanges(changes, urgent)
    this.send(relay.address, { kind: 'relay', urgent, ...changes }).catch(() => this.bundleChanges(changes, urgent))
  }

  /** Number of the current relay term. Nodes with different clocks briefly use two relays, which costs one more bundle. */
  private relayTerm (): number {
    return Math.floor(this.options.clock.nowMs() / relayTermMs)
  }

  /** Collects changes and broadcasts them, as the relay of the fleet or because the relay is unreachable. */
  private bundleChanges (changes: EntryChanges, urgent: boolean): void {
    this.applyChanges(changes)
    const bundle = urgent ? this.relayedUrgent : this.relayedDeferred
    bundle.entries.push(...changes.entries)
    bundle.patches = [...withoutSuperseded(bundle.patches, changes.patches), ...changes.patches]
    this.schedule(urgent ? 'relay-urgent' : 'relay-calm', urgent ? relayDelayMs : deferredRelayDelayMs, () => {
      this.broadcast(allPositions, { changes: packChanges(bundle), baseMs: 0, loads: noBytes })
      bundle.entries = []
      bundle.patches = []
    })
  }

  private applyChanges ({ entries, patches }: EntryChanges): void {
    this.merge(entries)
    for (const patch of patches) this.applyPatch(patch)
  }

  private broadcast (range: BroadcastRange, payload: BroadcastPayload, seed = randomInt(this.options.random, 2 ** 32)): void {
    for (const part of splitRange(this.others(), seed, range, broadcastFanout)) {
      this.broadcastPart(part.members, part.range, payload, seed)
    }
  }

  /** Delegates a part of the range to its first member. If that fails, broadcasts to the other members itself. */
  private async broadcastPart (members: MemberEntry[], range: BroadcastRange, payload: BroadcastPayload, seed: number): Promise<void> {
    const head = members[0]!
    const from = broadcastPosition(head, seed) + 1
    try {
      await this.send(head.address, { kind: 'spread', seed, from, to: range.to, ...payload })
    } catch {
      if (members.length > 1) this.broadcast({ from, to: range.to }, payload, seed)
    }
  }

  private receiveBroadcast (message: PeerMessageOf<'spread'>): void {
    const { seed, from, to, changes, baseMs, loads } = message
    this.broadcast({ from, to }, { changes, baseMs, loads }, seed)
    const unpacked = unpackChanges(changes)
    if (unpacked instanceof FrameError) this.options.log('error', 'changes-invalid', { message: unpacked.message })
    else this.applyChanges(unpacked)
    this.receiveLoads(baseMs, loads, false)
  }

  private applyPatch (patch: EntryPatch): void {
    const [epoch, sequence] = patch.version
    const stored = this.entries.get(patch.key)
    if (stored && !isNewer({ epoch, sequence }, stored.entry)) return
    const isBaseStored = stored && patch.bases.some(base => base[0] === stored.entry.epoch && base[1] === stored.entry.sequence)
    const value = isBaseStored ? applyDiff(stored.entry.value, patch) : undefined
    if (!value) return this.queuePull(patch.key)
    this.ownLoads.delete(patch.key)
    this.store({ key: patch.key, epoch, sequence, value })
  }

  /** Fetches an entry whose patch applies to no version stored here. If that fails, reconciliation fetches it later. */
  private queuePull (key: string): void {
    if (this.pendingPulls.has(key)) return
    this.pendingPulls.add(key)
    if (this.pendingPulls.size > 1) return
    // One request covers all patches of a message. Any member will do, since each has most of the entries.
    this.options.clock.setTimer(pullDelayMs, () => {
      const wanted = [...this.pendingPulls]
      this.pendingPulls.clear()
      const member = randomChoice(this.options.random, this.others())
      if (member) this.exchangeEntries(member.address, wanted, []).catch(() => {})
    })
  }

  private async exchangeEntries (address: string, wanted: string[], entries: VersionedEntry[]): Promise<void> {
    const reply = await this.send(address, { kind: 'entries', entries, wanted })
    if (reply.kind === 'entries') this.merge(reply.entries)
  }

  private async send (address: string, message: PeerMessage): Promise<PeerMessage> {
    return await this.options.network.request(address, message, { timeoutMs: requestTimeoutMs })
  }

  private sendLoads (): void {
    this.loadTick++
    const others = this.others()
    this.sendOwnLoads(others)
    if (this.loadTick % ticksPerRegionUpdate === 0) this.forwardLoads(this.regionLoads, others, member => member.region === this.options.location.region)
    if (this.loadTick % ticksPerFleetUpdate === 0) this.forwardLoads(this.fleetLoads, others, member => member.region !== this.options.location.region)
    if (this.zoneLoads.size === 0) return
    const seed = randomInt(this.options.random, 2 ** 32)
    this.broadcast(zoneRange(this.options.location, seed), { changes: noBytes, ...this.packedLoads(this.zoneLoads) }, seed)
    this.zoneLoads.clear()
  }

  /** Sends new load figures of the engines that this node publishes to the relay of each engine's availability zone. */
  private sendOwnLoads (others: MemberEntry[]): void {
    const byRelay = new Map<string, Set<string>>()
    const zones = this.zoneMembers(others)
    for (const [key, sentMs] of this.ownLoads) {
      const engine = this.entries.get(key)?.entry.value as EngineEntry | undefined
      if (!engine) {
        this.ownLoads.delete(key)
        continue
      }
      if (engine.reportedAtMs <= sentMs) continue
      this.ownLoads.set(key, engine.reportedAtMs)
      // Load figures of an engine in a zone without nodes go to the relay of the controller's zone.
      const zone = zones.has(zoneName(engine)) ? zoneName(engine) : zoneName(this.options.location)
      const relay = zoneRelayAddress(zone, zones, this.relayTerm())
      if (relay === undefined || relay === '') this.queueRelayedLoad(key, true)
      else byRelay.set(relay, (byRelay.get(relay) ?? new Set()).add(key))
    }
    for (const [address, keys] of byRelay) {
      this.send(address, { kind: 'loads', ...this.packedLoads(keys) }).catch(() => {
        for (const key of keys) if (this.ownLoads.has(key)) this.ownLoads.set(key, -1)
      })
    }
  }

  /** As the relay of a zone, sends the collected load figures to the relays of other zones with members selected by `isTarget`. */
  private forwardLoads (keys: Set<string>, others: MemberEntry[], isTarget: (member: MemberEntry) => boolean): void {
    if (keys.size === 0) return
    const loads = this.packedLoads(keys)
    keys.clear()
    const zones = this.zoneMembers(others.filter(isTarget), false)
    zones.delete(zoneName(this.options.location))
    for (const zone of zones.keys()) {
      const address = zoneRelayAddress(zone, zones, this.relayTerm())
      if (address) this.send(address, { kind: 'loads', ...loads }).catch(() => {})
    }
  }

  /** Member addresses by name for each availability zone. The address of this node is the empty string. */
  private zoneMembers (others: MemberEntry[], withSelf = true): Map<string, Map<string, string>> {
    const { location } = this.options
    const zones = new Map<string, Map<string, string>>()
    const add = (zone: string, name: string, address: string) => {
      const members = zones.get(zone)
      if (members) members.set(name, address)
      else zones.set(zone, new Map([[name, address]]))
    }
    if (withSelf) add(zoneName(location), location.name, '')
    for (const member of others) add(zoneName(member), member.name, member.address)
    return zones
  }

  private packedLoads (keys: Iterable<string>): { baseMs: number, loads: Uint8Array } {
    const baseMs = this.options.clock.nowMs()
    const loads: [number, EngineLoad][] = []
    for (const key of keys) {
      const stored = this.entries.get(key)
      const load = stored && loadOf(key, stored.entry.value)
      if (load) loads.push([stored.keyHash, load])
    }
    return { baseMs, loads: packLoads(baseMs, loads) }
  }

  private receiveLoads (baseMs: number, packed: Uint8Array, asRelay: boolean): void {
    for (const [keyHash, load] of unpackLoads(baseMs, packed)) {
      const key = this.keyByHash.get(keyHash)
      if (key === undefined || !this.applyLoad(key, load) || !asRelay) continue
      const engine = this.entries.get(key)!.entry.value as EngineEntry
      this.queueRelayedLoad(key, zoneName(engine) === zoneName(this.options.location))
    }
  }

  /** `isOwnZone`: the engine is in this relay's zone, so this relay also forwards its load figures to other zones. */
  private queueRelayedLoad (key: string, isOwnZone: boolean): void {
    this.zoneLoads.add(key)
    if (!isOwnZone) return
    this.regionLoads.add(key)
    this.fleetLoads.add(key)
  }

  private applyLoad (key: string, load: EngineLoad): boolean {
    const stored = this.entries.get(key)
    const current = stored && loadOf(key, stored.entry.value)
    if (!current || load.reportedAtMs <= current.reportedAtMs) return false
    stored.entry = { ...stored.entry, value: { ...stored.entry.value as EngineEntry, ...load } }
    this.notify(key, stored.entry.value)
    return true
  }

  /** Anti-entropy: compares bucket hashes with a random member, then exchanges the entries that differ. */
  private async reconcile (): Promise<void> {
    const member = randomChoice(this.options.random, this.others())
    if (!member) return
    const reply = await this.send(member.address, { kind: 'digest', hashes: packHashes(this.buckets) }).catch(() => undefined)
    if (reply?.kind !== 'digestReply') return
    const peerVersions = new Map(reply.versions.map(([key, epoch, sequence]) => [key, { epoch, sequence }]))
    const recent = new Set(unpackHashes(reply.recent))
    const wanted = [...peerVersions].filter(([key, version]) => {
      const stored = this.entries.get(key)
      return !stored || isNewer(version, stored.entry)
    }).map(([key]) => key)
    const differing = new Set(reply.buckets)
    const newer: string[] = []
    for (const [key, stored] of this.entries) {
      if (!differing.has(bucketOf(stored.keyHash)) || recent.has(stored.keyHash) || this.isRecent(stored)) continue
      const version = peerVersions.get(key)
      if (!version || isNewer(stored.entry, version)) newer.push(key)
    }
    if (wanted.length + newer.length > 0) {
      await this.exchangeEntries(member.address, wanted.slice(0, maxExchangeEntries), this.wireEntries(newer)).catch(() => {})
    }
  }

  private replyToDigest (hashes: Uint8Array): PeerMessage {
    const peerHashes = unpackHashes(hashes)
    const differing = new Set<number>()
    this.buckets.forEach((hash, bucket) => { if (hash !== peerHashes[bucket]) differing.add(bucket) })
    const versions: [string, number, number][] = []
    const recent: number[] = []
    for (const [key, stored] of this.entries) {
      if (!differing.has(bucketOf(stored.keyHash))) continue
      if (this.isRecent(stored)) recent.push(stored.keyHash)
      else versions.push([key, stored.entry.epoch, stored.entry.sequence])
    }
    return { kind: 'digestReply', buckets: [...differing], versions, recent: packHashes(recent) }
  }

  private isRecent (stored: StoredEntry): boolean {
    return this.options.clock.nowMs() - stored.storedAtMs < propagationMs
  }

  private wireEntries (keys: readonly string[]): VersionedEntry[] {
    return keys.slice(0, maxExchangeEntries).flatMap(key => {
      const stored = this.entries.get(key)
      return stored ? [toWire(stored.entry)] : []
    })
  }

  private store (entry: VersionedEntry): void {
    const { key, epoch, sequence } = entry
    const previous = this.entries.get(key)
    const keyHash = previous?.keyHash ?? hash32(key)
    const versionHash = hash32(`${key}/${epoch}/${sequence}`)
    const bucket = bucketOf(keyHash)
    this.buckets[bucket] = (this.buckets[bucket]! ^ versionHash ^ (previous?.versionHash ?? 0)) >>> 0
    const stored: StoredEntry = { entry: withNewerLoad(entry, previous?.entry.value), keyHash, versionHash, storedAtMs: this.options.clock.nowMs() }
    if (entry.value === undefined) stored.deletedAtMs = this.options.clock.nowMs()
    this.entries.set(key, stored)
    this.keyByHash.set(keyHash, key)
    this.notify(key, stored.entry.value)
  }

  private notify (key: string, value: unknown): void {
    for (const listener of this.listeners) {
      try {
        listener(key, value)
      } catch (error) {
        this.options.log('error', 'entry-listener-failed', { key, message: messageOf(error) })
      }
    }
  }

  private expireTombstones (): void {
    for (const key of this.replacedVersions.keys()) if (this.patchBases(key).length === 0) this.replacedVersions.delete(key)
    const oldestMs = this.options.clock.nowMs() - tombstoneRetentionMs
    for (const [key, stored] of this.entries) {
      if (stored.deletedAtMs === undefined || stored.deletedAtMs > oldestMs) continue
      const bucket = bucketOf(stored.keyHash)
      this.buckets[bucket] = (this.buckets[bucket]! ^ stored.versionHash) >>> 0
      this.entries.delete(key)
      this.keyByHash.delete(stored.keyHash)
    }
  }
}

function isNewer (left: { epoch: number, sequence: number }, right: { epoch: number, sequence: number }): boolean {
  return left.epoch > right.epoch || (left.epoch === right.epoch && left.sequence > right.sequence)
}

/** The patches of `earlier` except those for which `later` has a newer patch of the same key that applies to all their bases. */
function withoutSuperseded (earlier: readonly EntryPatch[], later: readonly EntryPatch[]): EntryPatch[] {
  const byKey = new Map(later.map(patch => [patch.key, patch]))
  return earlier.filter(patch => {
    const next = byKey.get(patch.key)
    if (!next) return true
    const isNext = isNewer({ epoch: next.version[0], sequence: next.version[1] }, { epoch: patch.version[0], sequence: patch.version[1] })
    return !isNext || !patch.bases.every(base => next.bases.some(other => other[0] === base[0] && other[1] === base[1]))
  })
}

function bucketOf (keyHash: number): number {
  return keyHash % bucketCount
}

function toWire (entry: VersionedEntry): VersionedEntry {
  return { ...entry, value: entry.value ?? null }
}

function loadOf (key: string, value: unknown): EngineLoad | undefined {
  if (!isEngineKey(key) || typeof value !== 'object' || value === null) return undefined
  return typeof (value as EngineEntry).reportedAtMs === 'number' ? value as EngineEntry : undefined
}

/** `entry` with the load figures of `previous` if they are newer, since load figures can overtake an entry. */
function withNewerLoad (entry: VersionedEntry, previous: unknown): VersionedEntry {
  const load = loadOf(entry.key, entry.value)
  const known = loadOf(entry.key, previous)
  if (!load || !known || known.reportedAtMs <= load.reportedAtMs) return entry
  const newerLoad = Object.fromEntries(loadFields.map(field => [field, known[field]]))
  return { ...entry, value: { ...entry.value as EngineEntry, ...newerLoad } }
}

function zoneName (location: { region: string, availabilityZone: string }): string {
  return `${location.region}/${location.availabilityZone}`
}

function zoneRelayAddress (zone: string, zones: Map<string, Map<string, string>>, term: number): string | undefined {
  const members = zones.get(zone)
  const name = members && rendezvousOwner(`load-relay/${zone}/${term}`, [...members.keys()])
  return name === undefined ? undefined : members?.get(name)
}
