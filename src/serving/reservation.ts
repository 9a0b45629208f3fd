/** Reserves a slot on a backend server for a request that is still in progress on another server. */

import type { Clock } from '../base/clock.js'
import { sleep } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { BackendConnection } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'
import type { EngineClient } from './engineClient.js'

/** A server with too many connections accepts a new one and resets it within this time. */
const resetDelayMs = 25
/** Time for which an engine reserves a slot; the request is sent at once. */
const reservationTtlMs = 1000
/** Share of that time in which the reservation may be used, so that the request does not arrive after its end. */
const usableShare = 0.5

export interface ReservationOptions {
  model: string | undefined
  adapter: string | undefined
  rank: number
  /** Prompt and expected output tokens. */
  tokens: number
  /** Longest time for which engines reserve slots; absent if they do not support reservations. */
  maxReservationMs: number | undefined
}

interface ReservationParts {
  server: BackendServer
  options: ReservationOptions
  clock: Clock
  calls: EngineClient
  connection: BackendConnection
  /** Absent if the server does not support reservations. */
  holdId: string | undefined
  endsAtMs: number
}

export class Reservation {
  private isActive = true

  private constructor (private readonly parts: ReservationParts) {}

  /**
   * Counts the request as running on `server`, connects, and reserves a slot on the engine. Resolves with `undefined` if the
   * engine has no free slot or does not keep the connection open.
   */
  static async reserveAt (server: BackendServer, options: ReservationOptions, { clock, calls }: { clock: Clock, calls: EngineClient }): Promise<Reservation | undefined> {
    const { maxReservationMs } = options
    server.onStarted(options.model, options.adapter, 0, options.rank)
    const connection = await server.pool.connect()
    if (!connection) server.onUnreachable()
    else if (maxReservationMs === undefined) {
      await sleep(clock, resetDelayMs)
      await ioTurn()
      if (connection.isOpen) return new Reservation({ server, options, clock, calls, connection, holdId: undefined, endsAtMs: Infinity })
      server.onUnreachable()
    } else {
      const ttlMs = Math.min(reservationTtlMs, maxReservationMs)
      const endsAtMs = clock.nowMs() + ttlMs * usableShare
      const holdId = await calls.reserve(server, connection, options.tokens, ttlMs)
      if (holdId !== undefined && server.pool.claim(connection)) {
        await ioTurn()
        return new Reservation({ server, options, clock, calls, connection, holdId, endsAtMs })
      }
    }
    server.onEnded(options.model, options.adapter)
    return undefined
  }

  get server (): BackendServer {
    return this.parts.server
  }

  /** ID of the reservation on the engine. */
  get holdId (): string | undefined {
    return this.parts.holdId
  }

  /** Whether the request can be sent now. */
  get isUsable (): boolean {
    const { server, connection, options: { model, adapter }, clock, endsAtMs } = this.parts
    return this.isActive && clock.nowMs() < endsAtMs && connection.isOpen && server.isUsable && server.serves(model, adapter)
  }

  /** Ends the reservation and returns its connection. The caller must send the request on it at once. */
  claimConnection (): BackendConnection {
    this.end()
    return this.parts.connection
  }

  /** Releases the slot and its connection. */
  release (): void {
    if (!this.isActive) return
    this.end()
    const { server, connection, holdId, calls } = this.parts
    // The server has not sent a response on this connection, so its keep-alive timeout is unknown.
    if (holdId === undefined) connection.destroy()
    else void calls.releaseReservation(server, connection, holdId)
  }

  private end (): void {
    const { server, options } = this.parts
    this.isActive = false
    server.onEnded(options.model, options.adapter)
  }
}
