/** Group membership of the fleet's nodes by gossip: probes, suspicion, refutation and rejoining. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { repeat, withTimeout } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { hash32 } from '../base/hash.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { randomChoice, randomInt, shuffled } from '../base/random.js'
import type { MemberEntry, PeerMessage, PeerMessageOf, PeerNetwork, VersionedEntry } from '../protocol/messages.js'
import { packBits, packHashes, unpackBits, unpackHashes } from './packing.js'

const probePeriodMs = 1_000
const probeTimeoutMs = 1_000
const indirectProbeCount = 3
const suspicionMs = 5_000
/** Updates within this time are sent in one message. */
const pushDelayMs = 100
const pushFanout = 3
/** Heartbeats that carry an update after it was pushed, for members that the push did not reach. */
const piggybacksPerUpdate = 6
const maxPiggybackedEntries = 8
/** `members` lists dead and left members for this time after the change of their state. */
const deadListingMs = 10 * 60_000
/** Dead and left members are stored for this time, so that an outdated list cannot add them again as alive. */
const formerMemberRetentionMs = 24 * 3_600_000
/** In each period, one address of a former member or seed is contacted, so that partitions merge after the network heals. */
const rejoinPeriodMs = 10_000
const syncPeriodMs = 10_000
const configUpdateWindowMs = 12_000
const noBytes = new Uint8Array(0)

export interface MembershipOptions {
  clock: Clock
  random: Random
  log: Log
  self: { name: string, address: string, region: string, availabilityZone: string }
  network: PeerNetwork
  /** Addresses of possible other nodes, from the settings and the VM list. */
  seeds: () => Promise<string[]>
  onEntries: (entries: VersionedEntry[]) => void
  piggyback: () => VersionedEntry[]
}

interface Member {
  entry: MemberEntry
  nameHash: number
  changedAtMs: number
  configUpdatedAtMs: number
  cancelSuspicion?: CancelTimer
}

const statePrecedence = { alive: 0, suspect: 1, dead: 2, left: 3 }

/**
 * This node's view of the members. A dead or left member becomes alive again only with a higher incarnation,
 * which only its own node can raise.
 */
export class Membership {
  private readonly table = new Map<string, Member>()
  private readonly byNameHash = new Map<number, Member>()
  private readonly pendingUpdates = new Map<string, { pushed: boolean, remainingPiggybacks: number }>()
  private ownEntry: MemberEntry
  private timers: CancelTimer[] = []
  private probeQueue: string[] = []
  private cancelPush: CancelTimer | undefined
  private lastSyncMs = -Infinity
  private cachedMembers: MemberEntry[] | undefined
  private cachedDigest: number | undefined
  private cachedLiveNames: { digest: number, hashes: number[] } | undefined

  constructor (private readonly options: MembershipOptions) {
    this.ownEntry = { ...options.self, incarnation: options.clock.nowMs(), state: 'alive', configVersion: 0, ready: false, sequence: 0 }
  }

  start (): void {
    const { clock, random, log } = this.options
    const onError = (error: unknown) => log('error', 'membership-task-failed', { message: messageOf(error) })
    const firstDelayMs = randomInt(random, probePeriodMs)
    this.timers = [
      repeat(clock, probePeriodMs, () => { this.probeNext().catch(onError) }, { firstDelayMs, onError }),
      repeat(clock, rejoinPeriodMs, () => this.rejoin(), { firstDelayMs: rejoinPeriodMs + firstDelayMs, onError }),
      repeat(clock, 60_000, () => this.deleteExpiredMembers(), { onError })
    ]
    this.join(0).catch(onError)
  }

  stop (): void {
    for (const cancel of this.timers) cancel()
    this.timers = []
    this.cancelPush?.()
    for (const member of this.table.values()) member.cancelSuspicion?.()
  }

  /** All members including this node. Dead and left members are included for 10 minutes. */
  members (): MemberEntry[] {
    const oldestMs = this.options.clock.nowMs() - deadListingMs
    return [this.ownEntry, ...[...this.table.values()]
      .filter(member => isLive(member.entry) || member.changedAtMs >= oldestMs)
      .map(member => member.entry)]
  }

  /** Alive and suspect members, including this node. The returned array is cached; callers must not modify it. */
  alive (): MemberEntry[] {
    this.cachedMembers ??= [...isLive(this.ownEntry) ? [this.ownEntry] : [], ...[...this.table.values()].map(member => member.entry).filter(isLive)]
    return this.cachedMembers
  }

  setConfigVersion (version: number): void {
    if (version <= this.ownEntry.configVersion) return
    this.ownEntry = { ...this.ownEntry, configVersion: version, sequence: this.ownEntry.sequence + 1 }
    this.cachedMembers = undefined
  }

  setReady (ready: boolean): void {
    if (ready === this.ownEntry.ready) return
    this.ownEntry = { ...this.ownEntry, ready, sequence: this.ownEntry.sequence + 1 }
    this.announceSelf()
  }

  /** Notifies several members that this node leaves. Resolves when each call has succeeded or failed. */
  async leave (): Promise<void> {
    this.ownEntry = { ...this.ownEntry, state: 'left', ready: false, sequence: this.ownEntry.sequence + 1 }
    this.announceSelf()
    await Promise.all(this.randomMembers(2 * pushFanout).map(member => this.sendMembers(member.address, [this.ownEntry])))
  }

  /** Replies to membership messages. Returns `undefined` for other messages. */
  async handle (message: PeerMessage): Promise<PeerMessage | undefined> {
    switch (message.kind) {
      case 'ping':
        this.receiveHeartbeat(message)
        return this.heartbeat('ack', message.from)
      case 'pingRequest':
        return { kind: 'pingReply', reached: await this.ping(message.targetAddress, message.targetName) }
      case 'members':
        for (const entry of message.members) this.mergeIndirect(entry)
        return { kind: 'ok' }
      case 'memberDigest':
        return this.replyToDigest(message.hashes)
      default:
        return undefined
    }
  }

  private async join (attempt: number): Promise<void> {
    const { clock, random, seeds, log } = this.options
    const addresses = await withTimeout(clock, 5_000, () => seeds(), { action: 'read of the seed addresses' }).catch(error => {
      log('warn', 'seeds-unavailable', { message: messageOf(error) })
      return []
    })
    const others = shuffled(random, addresses.filter(address => address !== this.ownEntry.address))
    const reached = await Promise.all(others.slice(0, 3).map(address => this.contact(address)))
    if (reached.includes(true) || others.length === 0) return
    this.timers.push(clock.setTimer(Math.min(8_000, 500 * 2 ** attempt), () => { this.join(attempt + 1).catch(() => {}) }))
  }

  private async contact (address: string): Promise<boolean> {
    const reached = await this.ping(address)
    if (reached) await this.synchronize(address)
    return reached
  }

  private async rejoin (): Promise<void> {
    const former = [...this.table.values()].filter(member => !isLive(member.entry)).map(member => member.entry.address)
    const known = new Set(this.alive().map(member => member.address))
    const seeds = await withTimeout(this.options.clock, 5_000, () => this.options.seeds(), { action: 'read of the seed addresses' }).catch(() => [])
    const candidates = [...former, ...seeds].filter(address => !known.has(address) && address !== this.ownEntry.address)
    const address = randomChoice(this.options.random, candidates)
    if (address) await this.contact(address)
  }

  private async probeNext (): Promise<void> {
    const member = this.nextTarget()
    if (!member) return
    const { clock, random, network, log } = this.options
    const { name, address, incarnation } = member.entry
    const startedAtMs = clock.nowMs()
    if (await this.ping(address, name)) return
    const intermediaries = shuffled(random, this.alive().filter(entry => entry.name !== name && entry.name !== this.ownEntry.name && entry.state === 'alive'))
    const replies = await Promise.all(intermediaries.slice(0, indirectProbeCount).map(intermediary =>
      network.request(intermediary.address, { kind: 'pingRequest', targetAddress: address, targetName: name }, { timeoutMs: probeTimeoutMs * 1.5 })
        .then(reply => reply.kind === 'pingReply' && reply.reached, () => false)))
    if (replies.includes(true)) return
    // If this process was paused, its own calls timed out, which is no evidence of a failed member.
    if (clock.nowMs() - startedAtMs > 4 * probeTimeoutMs) return
    const current = this.table.get(name)
    if (current && current.entry.incarnation === incarnation && current.entry.state === 'alive') {
      log('info', 'member-suspected', { member: name })
      this.suspect(current)
    }
  }

  /** The next member to probe. Each round probes every member once in random order, which bounds the detection time. */
  private nextTarget (): Member | undefined {
    for (let round = 0; round < 2; round++) {
      while (this.probeQueue.length > 0) {
        const member = this.table.get(this.probeQueue.pop()!)
        if (member && isLive(member.entry)) return member
      }
      this.probeQueue = shuffled(this.options.random, [...this.table.keys()])
    }
    return undefined
  }

  private async ping (address: string, name?: string): Promise<boolean> {
    const target = name === undefined ? undefined : this.table.get(name)?.entry
    try {
      const reply = await this.options.network.request(address, this.heartbeat('ping', target, address), { timeoutMs: probeTimeoutMs })
      if (reply.kind !== 'ack') return false
      this.receiveHeartbeat(reply)
      return name === undefined || reply.from.name === name
    } catch {
      return false
    }
  }

  private heartbeat<Kind extends 'ping' | 'ack'> (kind: Kind, peer?: MemberEntry, address?: string): PeerMessageOf<Kind> {
    const members = this.collectPiggybackedEntries()
    // Tells the peer that it is considered suspect or dead, which only the peer itself can refute.
    const known = peer ? this.table.get(peer.name)?.entry : [...this.table.values()].find(({ entry }) => entry.address === address)?.entry
    if (known && known.state !== 'alive') members.push(known)
    const message = { kind, from: this.ownEntry, members, digest: this.digest(), ...this.recentConfigVersions(), entries: this.options.piggyback() }
    return message as unknown as PeerMessageOf<Kind>
  }

  private receiveHeartbeat (message: PeerMessageOf<'ping'> | PeerMessageOf<'ack'>): void {
    this.mergeDirect(message.from)
    for (const entry of message.members) this.mergeIndirect(entry)
    this.receiveConfigVersions(message)
    if (message.entries.length > 0) this.options.onEntries(message.entries)
    const nowMs = this.options.clock.nowMs()
    if (message.digest !== this.digest() && nowMs - this.lastSyncMs >= syncPeriodMs) {
      this.lastSyncMs = nowMs
      this.synchronize(message.from.address).catch(() => {})
    }
  }

  /** Exchanges the entries that differ between the two lists. */
  private async synchronize (address: string): Promise<void> {
    const pairs = this.alive().flatMap(entry => [hash32(entry.name), entryHash(entry)])
    const reply = await this.options.network.request(address, { kind: 'memberDigest', hashes: packHashes(pairs) }, { timeoutMs: 2_000 }).catch(() => undefined)
    if (reply?.kind !== 'members') return
    for (const entry of reply.members) this.mergeIndirect(entry)
    const wanted = new Set(unpackHashes(reply.wanted))
    const entries = this.alive().filter(entry => wanted.has(hash32(entry.name)))
    if (entries.length > 0) await this.sendMembers(address, entries)
  }

  private replyToDigest (hashes: Uint8Array): PeerMessage {
    const peerHashes = new Map<number, number>()
    const numbers = unpackHashes(hashes)
    for (let index = 0; index + 1 < numbers.length; index += 2) peerHashes.set(numbers[index]!, numbers[index + 1]!)
    const members: MemberEntry[] = []
    const wanted: number[] = []
    for (const entry of [this.ownEntry, ...[...this.table.values()].map(member => member.entry)]) {
      const nameHash = hash32(entry.name)
      const peerEntryHash = peerHashes.get(nameHash)
      peerHashes.delete(nameHash)
      if (peerEntryHash === undefined ? !isLive(entry) : isLive(entry) && peerEntryHash === entryHash(entry)) continue
      members.push(entry)
      if (peerEntryHash !== undefined) wanted.push(nameHash)
    }
    return { kind: 'members', members, wanted: packHashes([...wanted, ...peerHashes.keys()]) }
  }

  /** Merges an entry received from the member itself. */
  private mergeDirect (entry: MemberEntry): void {
    if (entry.name === this.ownEntry.name) return
    const member = this.table.get(entry.name)
    if (member && !isLive(member.entry) && entry.incarnation <= member.entry.incarnation) return
    if (member && entry.incarnation === member.entry.incarnation && member.entry.state === 'suspect' && entry.state === 'alive') {
      this.updateConfigVersion(member, entry.configVersion)
      return
    }
    this.mergeIndirect(entry)
  }

  private mergeIndirect (entry: MemberEntry): void {
    if (entry.name === this.ownEntry.name) return this.refute(entry)
    const member = this.table.get(entry.name)
    if (!member) {
      // Starts a suspicion timer here too, since a later update that the member is dead may not reach this node.
      if (entry.state === 'suspect') this.suspect(this.store({ ...entry, state: 'alive' }))
      else if (isLive(entry)) this.store(entry)
      return
    }
    const current = member.entry
    if (entry.incarnation < current.incarnation) return
    if (entry.incarnation > current.incarnation) {
      if (entry.state === 'dead' || entry.state === 'suspect') this.suspect(this.store({ ...entry, state: 'alive' }))
      else this.store(entry)
      return
    }
    if (statePrecedence[entry.state] > statePrecedence[current.state]) {
      if (entry.state === 'left') this.store(entry)
      // A reported death may come from the other side of a network partition. The member gets time to refute it, and
      // this node decides by its own suspicion timer.
      else if (current.state === 'alive') this.suspect(member)
    } else if (entry.state === current.state && entry.sequence > current.sequence) {
      const configOnly = entry.ready === current.ready
      if (configOnly) this.updateConfigVersion(member, entry.configVersion, entry.sequence)
      else this.replaceEntry(member, { ...entry, configVersion: Math.max(entry.configVersion, current.configVersion) })
    }
  }

  /** Stores a newer entry of the same incarnation and state without restarting a running suspicion timer. */
  private replaceEntry (member: Member, entry: MemberEntry): void {
    const { cancelSuspicion } = member
    member.cancelSuspicion = undefined
    this.store(entry).cancelSuspicion = cancelSuspicion
  }

  private refute (claim: MemberEntry): void {
    const isHigherIncarnation = claim.incarnation > this.ownEntry.incarnation
    const isDeclaredNotAlive = claim.incarnation === this.ownEntry.incarnation && claim.state !== 'alive' && this.ownEntry.state === 'alive'
    if (!isHigherIncarnation && !isDeclaredNotAlive) return
    this.ownEntry = { ...this.ownEntry, incarnation: claim.incarnation + 1, sequence: this.ownEntry.sequence + 1 }
    this.options.log('info', 'suspicion-refuted', { claimed: claim.state, incarnation: this.ownEntry.incarnation })
    this.announceSelf()
  }

  private suspect (member: Member): void {
    const suspected = this.store({ ...member.entry, state: 'suspect' })
    const { name, incarnation, address } = suspected.entry
    const { clock, random } = this.options
    this.sendMembers(address, [suspected.entry])
    // Probes the member directly once more, since an update with its refutation can get lost.
    const cancelProbe = clock.setTimer(suspicionMs * (0.3 + 0.4 * random.next()), () => { this.ping(address, name) })
    const cancelTimeout = clock.setTimer(suspicionMs, () => {
      const current = this.table.get(name)
      if (current?.entry.incarnation !== incarnation || current.entry.state !== 'suspect') return
      this.options.log('info', 'member-dead', { member: name })
      this.store({ ...current.entry, state: 'dead' })
    })
    suspected.cancelSuspicion = () => {
      cancelProbe()
      cancelTimeout()
    }
  }

  private store (entry: MemberEntry): Member {
    const previous = this.table.get(entry.name)
    previous?.cancelSuspicion?.()
    const nowMs = this.options.clock.nowMs()
    const isSameIncarnation = previous !== undefined && previous.entry.incarnation === entry.incarnation
    const member = {
      entry,
      nameHash: hash32(entry.name),
      changedAtMs: nowMs,
      configUpdatedAtMs: isSameIncarnation ? previous.configUpdatedAtMs : -Infinity
    }
    this.table.set(entry.name, member)
    this.byNameHash.set(member.nameHash, member)
    this.queueUpdate(entry.name)
    return member
  }

  private updateConfigVersion (member: Member | undefined, version: number, sequence?: number): void {
    if (!member || !isLive(member.entry)) return
    if (sequence !== undefined && sequence > member.entry.sequence) member.entry = { ...member.entry, sequence }
    if (version > member.entry.configVersion) {
      member.entry = { ...member.entry, configVersion: version }
      member.configUpdatedAtMs = this.options.clock.nowMs()
    }
    this.cachedMembers = undefined
  }

  /** Members' configuration versions received in the last seconds, grouped by version, in the shorter of two encodings. */
  private recentConfigVersions (): Pick<PeerMessageOf<'ping'>, 'configs' | 'namesDigest'> {
    const oldestMs = this.options.clock.nowMs() - configUpdateWindowMs
    const groups = new Map<number, number[]>()
    let count = 0
    for (const { entry, nameHash, configUpdatedAtMs } of this.table.values()) {
      if (configUpdatedAtMs < oldestMs) continue
      count++
      const group = groups.get(entry.configVersion)
      if (group) group.push(nameHash)
      else groups.set(entry.configVersion, [nameHash])
    }
    const names = this.liveNames()
    // The digest takes 18 bytes with its field name. While lists differ, which is brief, peers with equal lists can still
    // read the bits.
    if (4 * count <= groups.size * names.hashes.length / 8 + 18) return { configs: [...groups].map(([version, hashes]) => [version, packHashes(hashes)]) }
    const configs = [...groups].map(([version, hashes]): [number, Uint8Array] => {
      const included = new Set(hashes)
      return [version, packBits(names.hashes.map(nameHash => included.has(nameHash)))]
    })
    return { configs, namesDigest: names.digest }
  }

  private receiveConfigVersions ({ configs, namesDigest }: Pick<PeerMessageOf<'ping'>, 'configs' | 'namesDigest'>): void {
    const names = this.liveNames()
    if (namesDigest !== undefined && namesDigest !== names.digest) return
    for (const [version, packed] of configs) {
      const hashes = namesDigest === undefined ? unpackHashes(packed) : unpackBits(packed).map(index => names.hashes[index])
      for (const nameHash of hashes) if (nameHash !== undefined) this.updateConfigVersion(this.byNameHash.get(nameHash), version)
    }
  }

  /** Name hashes of the live members, including this node, in ascending order, and a digest of them. */
  private liveNames (): { digest: number, hashes: number[] } {
    if (!this.cachedLiveNames) {
      const hashes = this.alive().map(entry => hash32(entry.name)).sort((left, right) => left - right)
      this.cachedLiveNames = { digest: hash32(hashes.join()), hashes }
    }
    return this.cachedLiveNames
  }

  private announceSelf (): void {
    this.queueUpdate(this.ownEntry.name)
  }

  private queueUpdate (name: string): void {
    this.pendingUpdates.set(name, { pushed: false, remainingPiggybacks: piggybacksPerUpdate })
    this.cachedMembers = undefined
    this.cachedDigest = undefined
    this.cachedLiveNames = undefined
    this.cancelPush ??= this.options.clock.setTimer(pushDelayMs, () => {
      this.cancelPush = undefined
      this.pushUpdates()
    })
  }

  private entryOf (name: string): MemberEntry | undefined {
    return name === this.ownEntry.name ? this.ownEntry : this.table.get(name)?.entry
  }

  private pushUpdates (): void {
    const entries: MemberEntry[] = []
    for (const [name, item] of this.pendingUpdates) {
      const entry = this.entryOf(name)
      if (!item.pushed && entry) entries.push(entry)
      item.pushed = true
    }
    if (entries.length === 0) return
    for (const member of this.randomMembers(pushFanout)) this.sendMembers(member.address, entries)
  }

  private collectPiggybackedEntries (): MemberEntry[] {
    const entries: MemberEntry[] = []
    for (const [name, item] of this.pendingUpdates) {
      if (entries.length >= maxPiggybackedEntries) break
      const entry = this.entryOf(name)
      if (entry) entries.push(entry)
      // Reinserts the update at the end of the map, so that all updates take turns.
      this.pendingUpdates.delete(name)
      if (--item.remainingPiggybacks > 0) this.pendingUpdates.set(name, item)
    }
    return entries
  }

  private async sendMembers (address: string, members: MemberEntry[]): Promise<void> {
    await this.options.network.request(address, { kind: 'members', members, wanted: noBytes }, { timeoutMs: probeTimeoutMs }).catch(() => {})
  }

  private randomMembers (count: number): MemberEntry[] {
    return shuffled(this.options.random, this.alive().filter(entry => entry.name !== this.ownEntry.name)).slice(0, count)
  }

  private digest (): number {
    this.cachedDigest ??= this.alive().reduce((sum, entry) => (sum ^ entryHash(entry)) >>> 0, 0)
    return this.cachedDigest
  }

  private deleteExpiredMembers (): void {
    const oldestMs = this.options.clock.nowMs() - formerMemberRetentionMs
    for (const [name, member] of this.table) {
      if (isLive(member.entry) || member.changedAtMs >= oldestMs) continue
      this.table.delete(name)
      this.byNameHash.delete(member.nameHash)
    }
  }
}

function isLive (entry: MemberEntry): boolean {
  return entry.state === 'alive' || entry.state === 'suspect'
}

/** Hash for comparing lists. It omits the configuration version, which changes on all members at once and is sent separately. */
function entryHash (entry: MemberEntry): number {
  return hash32(`${entry.name}/${entry.address}/${entry.incarnation}/${entry.ready}`)
}
