/** The backend servers that this node knows. */

import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import { BackendServer } from './backendServer.js'
import type { BackendEntry } from './deployment.js'

/** Servers whose entries expired during a store outage write them again within about this time of its end. */
const reregistrationMs = 2300

export interface FleetViewOptions {
  clock: Clock
  log: Log
  regionOfZone: Record<string, string>
  onConnectionOpened?: () => void
}

export class FleetView {
  readonly servers = new Map<string, BackendServer>()
  /** Bytes of incomplete responses that this node buffers. */
  readonly buffered = { bytes: 0 }
  private readonly options: FleetViewOptions
  private readonly listeners = new Set<() => void>()
  private outageEndedAtMs = -Infinity

  constructor (options: FleetViewOptions) {
    this.options = options
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

  put (entry: BackendEntry): void {
    const known = this.servers.get(entry.id)
    if (known && known.entry.bornAtMs === entry.bornAtMs && known.entry.address === entry.address) {
      if (entry.isDraining && !known.entry.isDraining) this.options.log('info', 'backend server draining', { backend: entry.id })
      known.update(entry)
      known.removalAtMs = Infinity
    } else {
      const region = this.options.regionOfZone[entry.availabilityZone] ?? entry.availabilityZone
      const { onConnectionOpened } = this.options
      known?.pool.closeIdle()
      this.servers.set(entry.id, new BackendServer(entry, region, this.options.clock, { buffered: this.buffered, ...(onConnectionOpened ? { onOpened: onConnectionOpened } : {}) }))
      this.options.log('info', 'backend server taken in', { backend: entry.id, service: entry.service, address: entry.address, isRestart: known !== undefined })
    }
    this.notify()
  }

  /** Marks a server as removed; right after a store outage only after the time in which its entry may come back. */
  remove (id: string): void {
    const server = this.servers.get(id)
    if (!server || server.removalAtMs !== Infinity) return
    const nowMs = this.options.clock.nowMs()
    server.removalAtMs = Math.max(nowMs, this.outageEndedAtMs + reregistrationMs)
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

  ofService (service: string): BackendServer[] {
    const result: BackendServer[] = []
    for (const server of this.servers.values()) if (server.entry.service === service) result.push(server)
    return result
  }
}
