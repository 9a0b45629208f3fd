/** Pool of this node's connections to one backend server. */

import type { Clock } from '../base/clock.js'
import { BackendConnection } from './backendConnection.js'

/** Idle time after which a connection is not reused if the server does not announce a keep-alive timeout. */
const defaultIdleMs = 4000
/** Share of the server's keep-alive timeout after which a connection is not reused, so that a request is not sent while the server closes it. */
const idleShare = 0.7

export class ConnectionPool {
  /** Time at which bytes were last received from the server, or a connection to it was last established. */
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
    this.closeExpired()
    return this.idle.length > 0
  }

  /** Returns the most recently used idle connection that has not carried the request yet, or a new one, if need be in place of an idle one. */
  acquire (requestId?: string): BackendConnection {
    this.closeExpired()
    const index = requestId === undefined ? this.idle.length - 1 : this.idle.findLastIndex(connection => !connection.hasCarried(requestId))
    const [pooled] = index === -1 ? [] : this.idle.splice(index, 1)
    if (pooled) return pooled
    this.idle.shift()?.destroy()
    return this.openConnection()
  }

  /** Opens a connection in place of the oldest idle one, if any. Resolves with `undefined` if the server does not accept it. */
  async connect (): Promise<BackendConnection | undefined> {
    const connection = await this.tryConnect()
    return connection.isOpen ? connection : undefined
  }

  /** Whether the server's machine refuses a connection now. An accepted connection is added to the pool. */
  async isRefused (): Promise<boolean> {
    const connection = await this.tryConnect()
    this.release(connection)
    return connection.wasRefused
  }

  private tryConnect (): Promise<BackendConnection> {
    this.idle.shift()?.destroy()
    return new Promise(resolve => {
      const connection: BackendConnection = this.openConnection({ onConnected: () => resolve(connection), onFailed: () => resolve(connection) })
    })
  }

  /** Removes `connection` from the idle ones. Returns false if it is not idle. */
  claim (connection: BackendConnection): boolean {
    const index = this.idle.indexOf(connection)
    if (index !== -1) this.idle.splice(index, 1)
    return index !== -1
  }

  /** Adds a connection that carried no request to the idle ones. */
  release (connection: BackendConnection): void {
    if (!connection.isOpen) return
    connection.idleSinceMs = this.clock.nowMs()
    this.idle.push(connection)
  }

  /** Whether the server accepts a connection now. The connection is added to the pool. */
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

  /** Closes the idle connections, which may be dead. */
  closeIdle (): void {
    for (const connection of this.idle.splice(0)) connection.destroy()
  }

  private closeExpired (): void {
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
