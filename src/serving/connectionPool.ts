/** Pool of this node's connections to one backend server. */

import type { Clock } from '../base/clock.js'
import { BackendConnection } from './backendConnection.js'
import { ByteBudget } from './byteBudget.js'
import { FramingRecord, ProcessEvidence } from './processEvidence.js'
import type { LivenessQuestion, WitnessPool } from './processEvidence.js'

/** Idle time after which a connection is not reused if the server does not announce a keep-alive timeout. */
const defaultIdleMs = 4000
/** Share of the server's keep-alive timeout after which a connection is not reused, so that a request is not sent while the server closes it. */
const idleShare = 0.7

export interface ConnectionPoolOptions {
  address: string
  clock: Clock
  onOpened?: (() => void) | undefined
  questionOf?: (() => LivenessQuestion | undefined) | undefined
  buffered?: ByteBudget | undefined
  /** Shared by the servers of a service. */
  framing?: FramingRecord | undefined
}

export class ConnectionPool implements WitnessPool {
  /** Time at which bytes were last received from the server, or a connection to it was last established. */
  lastReceivedAtMs: number
  readonly idle: BackendConnection[] = []
  readonly open = new Set<BackendConnection>()
  /** Time at which the server's machine last refused a connection: the process had ended, and another one may follow it at the address. */
  lastRefusedAtMs = -Infinity
  private readonly evidence: ProcessEvidence
  private readonly buffered: ByteBudget
  private readonly address: string
  private readonly clock: Clock
  private readonly onOpened: () => void

  /** Without a question, no response without a length or chunks counts as complete. */
  constructor (
    { address, clock, onOpened = () => {}, questionOf = () => undefined, buffered = new ByteBudget(), framing = new FramingRecord(clock) }: ConnectionPoolOptions
  ) {
    this.buffered = buffered
    this.evidence = new ProcessEvidence({ clock, pool: this, questionOf, framing })
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
    return this.idle.length > 0 && this.unreserved.length > 0
  }

  /** Idle connections that may carry requests, least recently used first. */
  private get unreserved (): BackendConnection[] {
    const { reserved } = this.evidence
    return this.idle.filter(connection => connection !== reserved)
  }

  /**
   * Returns the most recently used idle connection that has not carried the request yet, or a new one, if need be in place of an idle one.
   * With `isUnused`, only one that has carried nothing.
   */
  acquire (requestId?: string, { isUnused = false } = {}): BackendConnection {
    this.closeExpired()
    const pooled = this.unreserved.findLast(connection => isUnused ? connection.isUnused : requestId === undefined || !connection.hasCarried(requestId))
    if (pooled && this.claim(pooled)) return pooled
    this.closeOldestIdle()
    return this.openConnection()
  }

  /** Closes an idle connection in favour of a new one, unless it serves as evidence. */
  private closeOldestIdle (): void {
    this.closeExpired()
    this.unreserved[0]?.destroy()
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
    this.closeOldestIdle()
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

  /** Opens a connection in addition to the others. Resolves when it is idle or has failed. */
  openSpare (): Promise<void> {
    return new Promise(resolve => {
      const connection: BackendConnection = this.openConnection({
        onConnected: () => {
          this.release(connection)
          resolve()
        },
        onFailed: resolve
      })
    })
  }

  private openConnection ({ onConnected, onFailed }: { onConnected?: () => void, onFailed?: () => void } = {}): BackendConnection {
    this.onOpened()
    const connection = new BackendConnection({
      address: this.address,
      clock: this.clock,
      onIdle: idle => {
        this.idle.push(idle)
        this.closeExpired()
      },
      onClosed: closed => {
        if (closed.wasRefused) this.lastRefusedAtMs = this.clock.nowMs()
        this.remove(closed)
        onFailed?.()
      },
      onBytes: () => { this.lastReceivedAtMs = this.clock.nowMs() },
      evidence: this.evidence,
      buffered: this.buffered,
      ...(onConnected ? { onConnected } : {})
    })
    this.open.add(connection)
    return connection
  }

  /** Closes the idle connections, which may be dead. The one that serves as evidence is closed only when it is no longer needed. */
  closeIdle (): void {
    for (const connection of this.idle) connection.mayBeDead = true
    this.closeExpired()
  }

  private closeExpired (): void {
    if (this.idle.length === 0) return
    const nowMs = this.clock.nowMs()
    for (const connection of this.unreserved) {
      const limitMs = (connection.keepAliveMs ?? defaultIdleMs / idleShare) * idleShare
      if (connection.mayBeDead || nowMs - connection.idleSinceMs >= limitMs) connection.destroy()
    }
  }

  private remove (connection: BackendConnection): void {
    this.open.delete(connection)
    const index = this.idle.indexOf(connection)
    if (index !== -1) this.idle.splice(index, 1)
    this.closeExpired()
  }
}
