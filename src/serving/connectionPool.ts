/** Connections of this node to one backend server. */

import type { Clock } from '../base/clock.js'
import { BackendConnection } from './backendConnection.js'

/** Idle time after which a connection is not used again if the server names none. */
const defaultIdleMs = 4000
/** Part of the server's idle timeout after which a connection is not used again, so that a request does not cross its close. */
const idleShare = 0.7

export class ConnectionPool {
  /** Time at which the server last sent anything. */
  lastReceivedAtMs: number
  private readonly idle: BackendConnection[] = []
  private readonly open = new Set<BackendConnection>()
  private readonly address: string
  private readonly clock: Clock
  private readonly onOpened: () => void

  constructor ({ address, clock, onOpened = () => {} }: { address: string, clock: Clock, onOpened?: () => void }) {
    this.address = address
    this.clock = clock
    this.onOpened = onOpened
    this.lastReceivedAtMs = clock.nowMs()
  }

  get openCount (): number {
    return this.open.size
  }

  get hasIdle (): boolean {
    this.dropStale()
    return this.idle.length > 0
  }

  /** The connection that was used last, or a new one. */
  acquire (): BackendConnection {
    this.dropStale()
    const kept = this.idle.pop()
    if (kept) return kept
    return this.openConnection()
  }

  /** Opens a connection for the caller, in place of a kept one if there is any. Resolves with `undefined` if the server does not accept it. */
  connect (): Promise<BackendConnection | undefined> {
    this.idle.shift()?.destroy()
    return new Promise(resolve => {
      const connection = this.openConnection({ onConnected: () => resolve(connection), onFailed: () => resolve(undefined) })
    })
  }

  /** Takes a certain connection that is idle. Returns false if it is not. */
  claim (connection: BackendConnection): boolean {
    const index = this.idle.indexOf(connection)
    if (index !== -1) this.idle.splice(index, 1)
    return index !== -1
  }

  /** Takes back a connection on which nothing was sent. */
  release (connection: BackendConnection): void {
    if (!connection.isOpen) return
    connection.idleSinceMs = this.clock.nowMs()
    this.idle.push(connection)
  }

  /** Whether the server accepts a connection now. The connection is kept. */
  async confirmAlive (): Promise<boolean> {
    const connection = await this.connect()
    if (connection) this.release(connection)
    return connection !== undefined
  }

  private openConnection ({ onConnected, onFailed }: { onConnected?: () => void, onFailed?: () => void } = {}): BackendConnection {
    this.onOpened()
    const connection = new BackendConnection({
      address: this.address,
      clock: this.clock,
      onIdle: idle => { this.idle.push(idle) },
      onClosed: closed => {
        this.remove(closed)
        onFailed?.()
      },
      onBytes: () => { this.lastReceivedAtMs = this.clock.nowMs() },
      confirmAlive: () => this.confirmAlive(),
      ...(onConnected ? { onConnected } : {})
    })
    this.open.add(connection)
    return connection
  }

  /** Closes the idle connections, which may have gone silent. */
  closeIdle (): void {
    for (const connection of this.idle.splice(0)) connection.destroy()
  }

  private dropStale (): void {
    const nowMs = this.clock.nowMs()
    while (this.idle.length > 0) {
      const oldest = this.idle[0]!
      const limitMs = (oldest.keepAliveMs ?? defaultIdleMs / idleShare) * idleShare
      if (nowMs - oldest.idleSinceMs < limitMs) return
      this.idle.shift()
      oldest.destroy()
    }
  }

  private remove (connection: BackendConnection): void {
    this.open.delete(connection)
    const index = this.idle.indexOf(connection)
    if (index !== -1) this.idle.splice(index, 1)
  }
}
