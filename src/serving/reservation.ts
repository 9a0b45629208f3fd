/** A place for a request at a backend server, held while another server still has the request. */

import type { Clock } from '../base/clock.js'
import { sleep } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { BackendConnection } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'
import type { EngineClient } from './engineClient.js'

/** A server that has too many connections resets a new one within this time of accepting it. */
const resetDelayMs = 25
/** Time for which an engine reserves a place; the request follows at once. */
const holdMs = 1000
/** Part of that time after which the place is not used any more. */
const holdShare = 0.5

export interface PlaceTerms {
  model: string | undefined
  adapter: string | undefined
  rank: number
  /** Prompt and output. */
  tokens: number
  /** Longest time for which the engines reserve places; they cannot if it is absent. */
  longestHoldMs: number | undefined
}

interface PlaceParts {
  server: BackendServer
  terms: PlaceTerms
  clock: Clock
  calls: EngineClient
  connection: BackendConnection
  /** Absent where places cannot be reserved at the server itself. */
  holdId: string | undefined
  endsAtMs: number
}

export class Reservation {
  private isHeld = true

  private constructor (private readonly parts: PlaceParts) {}

  /**
   * Counts the request at `server` from now on, connects, and has the engine keep a place. Resolves with `undefined` if
   * it has none or does not keep the connection.
   */
  static async at (server: BackendServer, terms: PlaceTerms, { clock, calls }: { clock: Clock, calls: EngineClient }): Promise<Reservation | undefined> {
    const { longestHoldMs } = terms
    server.onStarted(terms.model, terms.adapter, 0, terms.rank)
    const connection = await server.pool.connect()
    if (!connection) server.onUnreachable()
    else if (longestHoldMs === undefined) {
      await sleep(clock, resetDelayMs)
      await ioTurn()
      if (connection.isOpen) return new Reservation({ server, terms, clock, calls, connection, holdId: undefined, endsAtMs: Infinity })
      server.onUnreachable()
    } else {
      const ttlMs = Math.min(holdMs, longestHoldMs)
      const endsAtMs = clock.nowMs() + ttlMs * holdShare
      const holdId = await calls.reserve(server, connection, terms.tokens, ttlMs)
      if (holdId !== undefined && server.pool.claim(connection)) {
        await ioTurn()
        return new Reservation({ server, terms, clock, calls, connection, holdId, endsAtMs })
      }
    }
    server.onEnded(terms.model, terms.adapter)
    return undefined
  }

  get server (): BackendServer {
    return this.parts.server
  }

  /** ID of the place at the engine. */
  get holdId (): string | undefined {
    return this.parts.holdId
  }

  /** Whether a request can be sent now. */
  get isUsable (): boolean {
    const { server, connection, terms: { model, adapter }, clock, endsAtMs } = this.parts
    return this.isHeld && clock.nowMs() < endsAtMs && connection.isOpen && server.isUsable && server.serves(model, adapter)
  }

  /** Ends the hold for a request that is sent on the connection at once. */
  take (): BackendConnection {
    this.end()
    return this.parts.connection
  }

  /** Gives the place up. */
  release (): void {
    if (!this.isHeld) return
    this.end()
    const { server, connection, holdId, calls } = this.parts
    // A server that was sent nothing has not said how long it keeps the connection idle.
    if (holdId === undefined) connection.destroy()
    else void calls.releaseReservation(server, connection, holdId)
  }

  private end (): void {
    const { server, terms } = this.parts
    this.isHeld = false
    server.onEnded(terms.model, terms.adapter)
  }
}
