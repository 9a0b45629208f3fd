/** The backend servers that this node knows. */

import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import { BackendServer, versionOf } from './backendServer.js'
import { ByteBudget } from './byteBudget.js'
import type { BackendEntry } from './deployment.js'
import { FramingRecord } from './processEvidence.js'
import type { LivenessQuestion } from './processEvidence.js'

/** Servers whose entries expired during a store outage write them again within about this time of its end. */
const reregistrationMs = 2300
/** Number of incarnations whose announcement that they are leaving is remembered after their removal. */
const maxLeavingKept = 4096
const maxRemovedKept = 4096
const maxLoggedValueChars = 60

export interface FleetViewOptions {
  clock: Clock
  log: Log
  regionOfZone: Record<string, string>
  buffered?: ByteBudget
  onConnectionOpened?: () => void
  /** A call that shows whether the process of a server is alive, if its service has one. */
  questionOf?: (entry: BackendEntry) => LivenessQuestion | undefined
}

/** Identifies an incarnation of a backend server: its ID, and its start in Unix milliseconds if it is known. */
export type Incarnation = [id: string, bornAtMs: number | null]

export class FleetView {
  readonly servers = new Map<string, BackendServer>()
  /** Bytes that this node holds for clients. */
  readonly buffered: ByteBudget
  /** Backend servers that ended without an announcement while they ran requests of this node. */
  exits = 0
  private readonly framings = new Map<string, FramingRecord>()
  private readonly options: FleetViewOptions
  private readonly listeners = new Set<() => void>()
  private outageEndedAtMs = -Infinity
  /** Incarnations that announced that they are leaving, oldest first. An entry that comes back does not make them usable. */
  private readonly leavingIncarnations = new Set<string>()
  /** Writes of the last entries of removed incarnations, oldest first: an entry that comes back with the store from a copy is no newer. */
  private readonly removedWrites = new Map<string, number>()

  constructor (options: FleetViewOptions) {
    this.options = options
    this.buffered = options.buffered ?? new ByteBudget()
  }

  /** Calls `listener` after each change. Returns a function that removes it. */
  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  notify (): void {
    for (const listener of this.listeners) listener()
  }

  /** The store has been available again since `atMs`. */
  onOutageEnded (atMs: number): void {
    this.outageEndedAtMs = Math.max(this.outageEndedAtMs, atMs)
  }

  /** Takes in an entry. Returns false if this node has known a newer one, or the removal of the incarnation. */
  put (entry: BackendEntry): boolean {
    const known = this.servers.get(entry.id)
    if (this.isOutdated(entry, known)) {
      this.options.log('info', 'older backend entry ignored', { backend: entry.id, writes: entry.writes })
      return false
    }
    if (known && known.entry.bornAtMs === entry.bornAtMs && known.entry.address === entry.address && versionOf(known.entry) === versionOf(entry)) {
      if (entry.isDraining && !known.entry.isDraining) this.options.log('info', 'backend server draining', { backend: entry.id })
      known.update(entry)
      known.removalAtMs = Infinity
    } else {
      const region = this.options.regionOfZone[entry.availabilityZone] ?? entry.availabilityZone
      known?.pool.closeIdle()
      const server = this.createServer(entry, region)
      this.servers.set(entry.id, server)
      if (this.leavingIncarnations.has(incarnationKey(incarnationOf(entry)))) server.markLeaving()
      this.options.log('info', 'backend server taken in', { backend: entry.id, service: entry.service, address: entry.address, isRestart: known !== undefined })
    }
    this.notify()
    return true
  }

  private isOutdated (entry: BackendEntry, known: BackendServer | undefined): boolean {
    if (entry.writes === undefined || entry.bornAtMs === undefined) return false
    if (known?.entry.bornAtMs === entry.bornAtMs && entry.writes < (known.entry.writes ?? 0)) return true
    const isRemoved = known?.entry.bornAtMs !== entry.bornAtMs || known.removalAtMs <= this.options.clock.nowMs()
    return isRemoved && entry.writes <= (this.removedWrites.get(incarnationKey(incarnationOf(entry))) ?? -1)
  }

  private createServer (entry: BackendEntry, region: string): BackendServer {
    const { clock, log, onConnectionOpened, questionOf } = this.options
    const server: BackendServer = new BackendServer(entry, region, clock, {
      buffered: this.buffered,
      framing: this.framingOf(entry.service),
      ...(onConnectionOpened ? { onOpened: onConnectionOpened } : {}),
      ...(questionOf ? { questionOf } : {}),
      onLeaving: () => {
        log('info', 'backend server leaving', { backend: entry.id })
        this.rememberLeaving(incarnationOf(entry))
        server.pool.closeIdle()
        this.notify()
      },
      onExited: running => {
        log('warn', 'backend server ended', { backend: entry.id, running })
        this.exits++
      },
      onPauseRequested: (pause, appliedMs) => {
        if ('unreadable' in pause) log('warn', 'requested pause ignored: not a number of seconds', { backend: entry.id, value: pause.unreadable.slice(0, maxLoggedValueChars) })
        else log('info', 'backend server requests a pause', { backend: entry.id, requestedMs: Math.round(pause.ms), appliedMs: Math.round(appliedMs) })
      }
    })
    return server
  }

  private framingOf (service: string): FramingRecord {
    const known = this.framings.get(service)
    const framing = known ?? new FramingRecord(this.options.clock)
    if (!known) this.framings.set(service, framing)
    return framing
  }

  /** Another node has received the announcement that the incarnation is leaving. */
  onLeaving ([id, bornAtMs]: Incarnation): void {
    this.rememberLeaving([id, bornAtMs])
    const server = this.servers.get(id)
    if (server && (server.entry.bornAtMs ?? null) === bornAtMs) server.markLeaving()
  }

  /** The known servers that have announced that they are leaving. */
  get leaving (): Incarnation[] {
    return [...this.servers.values()].filter(({ isLeaving }) => isLeaving).map(({ entry }) => incarnationOf(entry))
  }

  private rememberLeaving (incarnation: Incarnation): void {
    // Without a start time, a later incarnation could not be told apart.
    if (incarnation[1] === null) return
    this.leavingIncarnations.add(incarnationKey(incarnation))
    dropOldest(this.leavingIncarnations, maxLeavingKept)
  }

  /** Marks a server as removed; right after a store outage only after the time in which its entry may come back. */
  remove (id: string): void {
    const server = this.servers.get(id)
    if (!server || server.removalAtMs !== Infinity) return
    const nowMs = this.options.clock.nowMs()
    server.removalAtMs = Math.max(nowMs, this.outageEndedAtMs + reregistrationMs)
    const { entry } = server
    if (entry.bornAtMs !== undefined && entry.writes !== undefined) this.removedWrites.set(incarnationKey(incarnationOf(entry)), entry.writes)
    dropOldest(this.removedWrites, maxRemovedKept)
    this.options.log('info', 'backend server entry removed', { backend: id, inMs: Math.round(server.removalAtMs - nowMs) })
    this.notify()
  }

  /** Replaces all entries: adds or updates `entries` and removes the others. */
  replaceAll (entries: readonly BackendEntry[]): void {
    const ids = new Set(entries.map(({ id }) => id))
    for (const id of this.servers.keys()) if (!ids.has(id)) this.remove(id)
    for (const entry of entries) this.put(entry)
    this.deleteRemoved()
  }

  /** Deletes servers that are removed and have no requests in progress. */
  deleteRemoved (): void {
    for (const [id, server] of this.servers) {
      if (this.options.clock.nowMs() < server.removalAtMs || server.running > 0) continue
      server.pool.closeIdle()
      this.servers.delete(id)
    }
  }

  /** Software versions of the servers of a service. */
  versionsOf (service: string): Set<string> {
    const versions = new Set<string>()
    for (const { entry } of this.servers.values()) if (entry.service === service) versions.add(versionOf(entry))
    return versions
  }

  ofService (service: string): BackendServer[] {
    const result: BackendServer[] = []
    for (const server of this.servers.values()) if (server.entry.service === service) result.push(server)
    return result
  }
}

/** Deletes the oldest keys beyond `mostKeys`. */
function dropOldest (kept: Set<string> | Map<string, unknown>, mostKeys: number): void {
  for (const oldest of kept.keys()) {
    if (kept.size <= mostKeys) return
    kept.delete(oldest)
  }
}

export function incarnationOf ({ id, bornAtMs }: BackendEntry): Incarnation {
  return [id, bornAtMs ?? null]
}

export function incarnationKey ([id, bornAtMs]: Incarnation): string {
  return `${id}/${bornAtMs}`
}
