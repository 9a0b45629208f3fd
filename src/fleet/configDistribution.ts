/** Distributes the newest accepted configuration to every node and never applies an older one. */

import { deflateSync, inflateSync } from 'node:zlib'
import { z } from 'zod'
import type { CancelTimer, Clock } from '../base/clock.js'
import { repeat, sleep, withTimeout } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { FindingsError, formatFinding } from '../base/findings.js'
import { rendezvousOrder } from '../base/hash.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { randomInt, shuffled } from '../base/random.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import { configKey, configVersionKey, readConfigVersion } from '../config/proposal.js'
import type { KeyValueEntry, KeyValueStore, WatchResult } from '../external/keyValueStore.js'
import type { MemberEntry, PeerMessage, PeerMessageOf, PeerNetwork } from '../protocol/messages.js'
import { applyTextDelta, textDelta } from './textDelta.js'

const watchersPerZone = 2
/** A watch ends after this time. The next one requests all changes since the last known revision. */
const watchMs = 2_000
/** In each slot one of all watchers polls both keys, for changes that a watch missed or whose proposer died before the version write. */
const pollSlotMs = 4_000
/** The text's key is polled by a watch of this duration, which transfers the text only if its revision is higher. */
const revisionCheckMs = 50
/** Once in this many slots the text is read regardless of its revision, since a restored service may have lower ones. */
const slotsPerFullRead = 16
/** One watcher of a region reads a new text. After this time without the new version, the next watcher reads it. */
const readerFailoverMs = 600
const storeTimeoutMs = 2_000
const pullTimeoutMs = 2_000
const announceTimeoutMs = 1_000
const announceFanout = 3
/** Members that still show an older version are notified again. A node that is behind pulls in the same period. */
const reannouncePeriodMs = 1_000
/** At first, only members of the own region are notified again. */
const otherRegionsAfterMs = 2_000
/** Nodes wait for the watchers of their own region before they pull from another region. */
const crossRegionWaitMs = 1_500
const maxTextBytes = 1_000_000
/** Previous texts stored as bases of deltas; nodes are rarely more than one version apart. */
const maxPreviousTexts = 3
const noBytes = new Uint8Array(0)
/** As `haveVersion`, requests the version without the text. */
const versionOnlyRequest = Number.MAX_SAFE_INTEGER

const recordSchema = z.object({ version: z.number().int().positive(), text: z.string() })
type ConfigRecord = z.infer<typeof recordSchema>

export interface ConfigDistributionOptions {
  clock: Clock
  random: Random
  log: Log
  network: PeerNetwork
  keyValueStore: KeyValueStore
  members: () => MemberEntry[]
  self: MemberEntry['name']
  selfAddress: string
  /** Throws `FindingsError` if the text must not be applied. */
  parse: (text: string, version: number) => FleetConfig
  seeds: () => Promise<string[]>
}

interface AppliedConfig { version: number, text: string, config: FleetConfig, compressed: Uint8Array, atMs: number }

/** The configuration in force on this node. Its version never decreases. */
export class ConfigDistribution {
  private applied: AppliedConfig | undefined
  private previousTexts: { version: number, text: string }[] = []
  private readonly listeners: ((config: FleetConfig, text: string) => void)[] = []
  private readonly rejected = new Set<number>()
  /** Versions being pulled, with the addresses to try next. */
  private readonly pullAddresses = new Map<number, string[]>()
  private timers: CancelTimer[] = []
  /** Store revisions of the version key and of the text key. */
  private versionRevision = 0
  private textRevision = 0
  private reportedLowerVersion = 0
  private lastPollSlot = -1
  private readonly stopping = new AbortController()

  constructor (private readonly options: ConfigDistributionOptions) {}

  /** Resolves once a configuration is in force, and retries until then. Rejects if stopped first. */
  async start (): Promise<void> {
    const { clock, random, log } = this.options
    const onError = (error: unknown) => log('error', 'config-task-failed', { message: messageOf(error) })
    for (let attempt = 0; ; attempt++) {
      await this.readAtStart()
      this.stopping.signal.throwIfAborted()
      if (this.applied) break
      await sleep(clock, Math.min(4_000, 250 * 2 ** attempt) * (0.5 + random.next() / 2), { signal: this.stopping.signal })
    }
    this.timers = [
      repeat(clock, watchMs, () => this.watchOnce(), { firstDelayMs: randomInt(random, watchMs), onError }),
      repeat(clock, pollSlotMs / 4, () => this.pollInSlot(), { onError }),
      repeat(clock, reannouncePeriodMs, () => this.reannounce(), { firstDelayMs: randomInt(random, reannouncePeriodMs), onError })
    ]
  }

  stop (): void {
    this.stopping.abort(new Error('configuration distribution was stopped'))
    for (const cancel of this.timers) cancel()
    this.timers = []
  }

  current (): FleetConfig | undefined {
    return this.applied?.config
  }

  currentText (): string | undefined {
    return this.applied?.text
  }

  /** The version in force, or 0 if there is none. */
  version (): number {
    return this.applied?.version ?? 0
  }

  onApplied (listener: (config: FleetConfig, text: string) => void): void {
    this.listeners.push(listener)
  }

  /** Applies an accepted version and announces it, if it is higher than the version in force and was not rejected. */
  applyAccepted (version: number, text: string): void {
    if (version <= this.version() || this.rejected.has(version)) return
    const { clock, log, parse } = this.options
    let config: FleetConfig
    try {
      config = parse(text, version)
    } catch (error) {
      this.rejected.add(version)
      const findings = error instanceof FindingsError ? error.findings.map(formatFinding) : [messageOf(error)]
      log('error', 'config-rejected', { version, findings })
      return
    }
    // `deflateSync`, since the asynchronous form uses the thread pool and is not deterministic under a virtual clock.
    if (this.applied) this.previousTexts = [...this.previousTexts, this.applied].map(({ version, text }) => ({ version, text })).slice(-maxPreviousTexts)
    this.applied = { version, text, config, compressed: deflateSync(text), atMs: clock.nowMs() }
    log('info', 'config-applied', { version })
    for (const listener of this.listeners) {
      try {
        listener(config, text)
      } catch (error) {
        log('error', 'config-listener-failed', { version, message: messageOf(error) })
      }
    }
    this.announceApplied()
  }

  /** Replies to configuration messages. Returns `undefined` for other messages. */
  async handle (message: PeerMessage): Promise<PeerMessage | undefined> {
    switch (message.kind) {
      case 'configVersion':
        this.receiveAnnouncement(message.version, message.fromAddress)
        return { kind: 'ok' }
      case 'configPull':
        return this.replyToPull(message.haveVersion, message.whole)
      default:
        return undefined
    }
  }

  /** The text for a node with `haveVersion`: a delta if the text of that version is stored and `whole` is not set. */
  private replyToPull (haveVersion: number, whole = false): PeerMessage {
    const version = this.version()
    if (!this.applied || version <= haveVersion) return { kind: 'configBody', version, compressedText: noBytes }
    const base = whole ? undefined : this.previousTexts.find(text => text.version === haveVersion)
    if (!base) return { kind: 'configBody', version, compressedText: this.applied.compressed }
    return { kind: 'configBody', version, compressedText: noBytes, delta: textDelta(base.text, this.applied.text) }
  }

  private async readAtStart (): Promise<void> {
    const isStoreRead = await this.readStore()
    const { members, seeds, random, clock, selfAddress } = this.options
    const seedAddresses = await withTimeout(clock, storeTimeoutMs, () => seeds(), { action: 'read of the seed addresses' }).catch(() => [])
    const addresses = [...new Set([...members().map(member => member.address), ...seedAddresses])].filter(address => address !== selfAddress)
    // Queries a few peers to detect that the service reverted to an older version, or all peers if the service is unavailable.
    const queriedAddresses = shuffled(random, addresses).slice(0, isStoreRead ? 3 : addresses.length)
    const versions = await Promise.all(queriedAddresses.map(async address => ({ address, version: await this.peerVersion(address) })))
    versions.sort((left, right) => right.version - left.version)
    for (const { address, version } of versions) if (version > this.version()) await this.pull(version, address)
  }

  private async peerVersion (address: string): Promise<number> {
    const message = { kind: 'configPull', haveVersion: versionOnlyRequest } as const
    const reply = await this.options.network.request(address, message, { timeoutMs: announceTimeoutMs }).catch(() => undefined)
    return reply?.kind === 'configBody' ? reply.version : 0
  }

  /** Reads the text key. Returns whether the service returned a valid configuration. */
  private async readStore (): Promise<boolean> {
    const { clock, keyValueStore, log } = this.options
    try {
      const entry = await withTimeout(clock, storeTimeoutMs, () => keyValueStore.get(configKey), { action: `read of ${configKey}` })
      if (!entry) return false
      return this.applyRecord(entry)
    } catch (error) {
      log('warn', 'config-read-failed', { message: messageOf(error) })
      return false
    }
  }

  private applyRecord (entry: KeyValueEntry): boolean {
    this.textRevision = Math.max(this.textRevision, entry.revision)
    const record = parseRecord(entry.value)
    if (!record) {
      this.options.log('error', 'config-record-invalid', { key: configKey })
      return false
    }
    if (record.version < this.version() && this.reportedLowerVersion !== record.version) {
      this.reportedLowerVersion = record.version
      this.options.log('error', 'config-version-lower', { alert: true, stored: record.version, inForce: this.version() })
    }
    this.applyAccepted(record.version, record.text)
    return true
  }

  /** Updates the known revisions from the version key. Returns whether the version is above the one in force and not rejected. */
  private updateRevisions (entry: KeyValueEntry | undefined): boolean {
    if (!entry) return false
    this.versionRevision = Math.max(this.versionRevision, entry.revision)
    const found = readConfigVersion(entry)
    if (!found) {
      this.options.log('error', 'config-record-invalid', { key: configVersionKey })
      return false
    }
    // For any other version the text's revision stays, so that the next poll reads the text.
    if (found.version === this.version()) this.textRevision = Math.max(this.textRevision, found.revision)
    return found.version > this.version() && !this.rejected.has(found.version)
  }

  private watchers (isIncluded: (member: MemberEntry) => boolean): string[] {
    const zones = new Map<string, string[]>()
    for (const member of this.options.members()) {
      if (!isLive(member) || !isIncluded(member)) continue
      const zone = `${member.region}/${member.availabilityZone}`
      const names = zones.get(zone)
      if (names) names.push(member.name)
      else zones.set(zone, [member.name])
    }
    return [...zones].flatMap(([zone, names]) => rendezvousOrder(`config-watch/${zone}`, names).slice(0, watchersPerZone)).sort()
  }

  private isWatcher (): boolean {
    const own = this.ownEntry()
    return this.watchers(member => !own || (member.region === own.region && member.availabilityZone === own.availabilityZone)).includes(this.options.self)
  }

  private async watchOnce (): Promise<void> {
    const { clock, keyValueStore, log } = this.options
    while (!this.stopping.signal.aborted && this.isWatcher()) {
      const startedAtMs = clock.nowMs()
      let result: WatchResult
      try {
        result = await withTimeout(clock, watchMs + storeTimeoutMs,
          signal => keyValueStore.watch(configVersionKey, this.versionRevision, { timeoutMs: watchMs, signal }), { action: `watch of ${configVersionKey}` })
      } catch (error) {
        log('warn', 'config-watch-failed', { message: messageOf(error) })
        return
      }
      const startedRevision = this.versionRevision
      let isBehind = false
      for (const entry of result.entries) if (entry.key === configVersionKey) isBehind = this.updateRevisions(entry) || isBehind
      this.versionRevision = Math.max(this.versionRevision, result.revision)
      if (!result.complete) await this.readStore()
      else if (isBehind) this.scheduleRead()
      // Prevents a tight loop if the service returns at once without a change.
      if (this.versionRevision === startedRevision && clock.nowMs() - startedAtMs < watchMs / 2) return
    }
  }

  /** Reads the new text, delayed by `readerFailoverMs` for each watcher of the region that precedes this one. */
  private scheduleRead (): void {
    const { clock, self, log } = this.options
    const region = this.ownEntry()?.region
    const readerIndex = Math.max(0, this.watchers(member => region === undefined || member.region === region).indexOf(self))
    const previousVersion = this.version()
    const read = () => {
      if (this.version() > previousVersion || this.stopping.signal.aborted) return
      this.readStore().catch(error => log('error', 'config-task-failed', { message: messageOf(error) }))
    }
    if (readerIndex === 0) read()
    else clock.setTimer(readerIndex * readerFailoverMs, read)
  }

  private async pollInSlot (): Promise<void> {
    const { clock, self } = this.options
    const slot = Math.floor(clock.nowMs() / pollSlotMs)
    if (slot === this.lastPollSlot) return
    this.lastPollSlot = slot
    const watchers = this.watchers(() => true)
    if (watchers[slot % watchers.length] !== self) return
    if (slot % slotsPerFullRead === 0 || await this.hasChanged()) await this.readStore()
  }

  /** Returns whether the text must be read. Applies a text that the watch returns. */
  private async hasChanged (): Promise<boolean> {
    const { clock, keyValueStore, log } = this.options
    try {
      const entry = await withTimeout(clock, storeTimeoutMs, () => keyValueStore.get(configVersionKey), { action: `read of ${configVersionKey}` })
      if (this.updateRevisions(entry)) return true
      const result = await withTimeout(clock, storeTimeoutMs,
        signal => keyValueStore.watch(configKey, this.textRevision, { timeoutMs: revisionCheckMs, signal }), { action: `watch of ${configKey}` })
      for (const changed of result.entries) if (changed.key === configKey) this.applyRecord(changed)
      return !result.complete
    } catch (error) {
      log('warn', 'config-read-failed', { message: messageOf(error) })
      return false
    }
  }

  private announceApplied (): void {
    const { random, members } = this.options
    const own = this.ownEntry()
    const others = shuffled(random, members().filter(member => isLive(member) && member.name !== this.options.self))
    const sameRegion = others.filter(member => member.region === own?.region)
    const otherRegions = others.filter(member => member.region !== own?.region)
    for (const member of sameRegion.slice(0, announceFanout)) this.announce(member.address)
    // On average three nodes of each region notify another region, whose watchers may be unable to reach the service.
    if (otherRegions[0] && random.next() < announceFanout / (sameRegion.length + 1)) this.announce(otherRegions[0].address)
  }

  /** Pulls from a member whose heartbeats show a higher version, in case no announcement reached this node. */
  private pullIfBehind (): void {
    const { random, members, self } = this.options
    const region = this.ownEntry()?.region
    const ahead = members().filter(member => isLive(member) && member.name !== self && member.configVersion > this.version())
    const sameRegion = ahead.filter(member => member.region === region)
    const candidates = sameRegion.length > 0 ? sameRegion : ahead
    const member = candidates[randomInt(random, candidates.length)]
    if (member) this.receiveAnnouncement(member.configVersion, member.address)
  }

  private reannounce (): void {
    this.pullIfBehind()
    if (!this.applied) return
    const { clock, random, members, self } = this.options
    const region = this.ownEntry()?.region
    const includesOtherRegions = clock.nowMs() - this.applied.atMs >= otherRegionsAfterMs
    const behind = members().filter(member => isLive(member) && member.name !== self && member.configVersion < this.version() &&
      (includesOtherRegions || member.region === region))
    const member = behind[randomInt(random, behind.length)]
    if (member) this.announce(member.address)
  }

  private announce (address: string): void {
    const message = { kind: 'configVersion', version: this.version(), fromAddress: this.options.selfAddress } as const
    this.options.network.request(address, message, { timeoutMs: announceTimeoutMs }).catch(() => {})
  }

  private receiveAnnouncement (version: number, address: string): void {
    if (version <= this.version() || this.rejected.has(version)) return
    const queue = this.pullAddresses.get(version)
    if (queue) {
      if (queue.length < announceFanout) queue.push(address)
      return
    }
    const sender = this.options.members().find(member => member.address === address)
    const own = this.ownEntry()
    if (!this.applied || !own || sender?.region === own.region) {
      this.pull(version, address)
      return
    }
    this.options.clock.setTimer(crossRegionWaitMs, () => {
      if (version > this.version() && !this.pullAddresses.has(version)) this.pull(version, address)
    })
  }

  /** Pulls the text from `address`, then from nodes that announced the version meanwhile, until the version is applied. */
  private async pull (version: number, address: string): Promise<void> {
    const queue = [address]
    this.pullAddresses.set(version, queue)
    for (let next = queue.shift(); next !== undefined && version > this.version(); next = queue.shift()) {
      try {
        const base = { version: this.version(), text: this.currentText() }
        let reply = await this.pullBody(next, base.version, false)
        let text = reply && decodeText(reply, base.text)
        // The base texts differ despite equal versions, or another version was applied during the pull.
        if (reply?.delta && text === undefined) {
          reply = await this.pullBody(next, base.version, true)
          text = reply && decodeText(reply, undefined)
        }
        if (reply && text !== undefined) this.applyAccepted(reply.version, text)
      } catch (error) {
        this.options.log('info', 'config-pull-failed', { version, address: next, message: messageOf(error) })
      }
    }
    this.pullAddresses.delete(version)
  }

  private async pullBody (address: string, haveVersion: number, whole: boolean): Promise<PeerMessageOf<'configBody'> | undefined> {
    const message = { kind: 'configPull', haveVersion, ...whole && { whole } } as const
    const reply = await this.options.network.request(address, message, { timeoutMs: pullTimeoutMs })
    return reply.kind === 'configBody' ? reply : undefined
  }

  private ownEntry (): MemberEntry | undefined {
    return this.options.members().find(member => member.name === this.options.self)
  }
}

/** The text in `body`, or `undefined` if it has none or its delta does not apply to `base`. */
function decodeText (body: PeerMessageOf<'configBody'>, base: string | undefined): string | undefined {
  if (body.delta) return base === undefined ? undefined : applyTextDelta(base, body.delta)
  if (body.compressedText.length === 0) return undefined
  return inflateSync(body.compressedText, { maxOutputLength: maxTextBytes }).toString('utf8')
}

function parseRecord (value: string): ConfigRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(value)).data
  } catch {
    return undefined
  }
}

function isLive (member: MemberEntry): boolean {
  return member.state === 'alive' || member.state === 'suspect'
}
