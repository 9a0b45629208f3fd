/** A place for a request at a backend server, held while another server still has the request. */

import type { Clock } from '../base/clock.js'
import { sleep } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { BackendConnection } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'

/** A server that has too many connections resets a new one within this time of accepting it. */
const resetDelayMs = 25

export interface PlaceTerms {
  model: string | undefined
  adapter: string | undefined
  rank: number
}

export class Reservation {
  private isHeld = true

  private constructor (readonly server: BackendServer, private readonly connection: BackendConnection, private readonly terms: PlaceTerms) {}

  /** Counts the request at `server` from now on and connects. Resolves with `undefined` if the server does not keep the connection. */
  static async at (server: BackendServer, terms: PlaceTerms, clock: Clock): Promise<Reservation | undefined> {
    server.onStarted(terms.model, terms.adapter, 0, terms.rank)
    const connection = await server.pool.connect()
    if (connection) {
      await sleep(clock, resetDelayMs)
      await ioTurn()
      if (connection.isOpen) return new Reservation(server, connection, terms)
    }
    server.onEnded(terms.model, terms.adapter)
    server.onUnreachable()
    return undefined
  }

  /** Whether a request can be sent now. */
  get isUsable (): boolean {
    const { model, adapter } = this.terms
    return this.isHeld && this.connection.isOpen && this.server.isUsable && this.server.serves(model, adapter)
  }

  /** Ends the hold for a request that is sent on the connection at once. */
  take (): BackendConnection {
    this.end()
    return this.connection
  }

  /** Gives the place up. */
  release (): void {
    if (!this.isHeld) return
    this.end()
    // The server has not said how long it keeps the connection idle.
    this.connection.destroy()
  }

  private end (): void {
    this.isHeld = false
    this.server.onEnded(this.terms.model, this.terms.adapter)
  }
}
