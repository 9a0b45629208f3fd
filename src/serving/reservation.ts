/** A place for a request at a backend server, held while another server still has the request. */

import type { BackendConnection } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'

export interface PlaceTerms {
  model: string | undefined
  adapter: string | undefined
  rank: number
}

export class Reservation {
  private isHeld = true

  private constructor (readonly server: BackendServer, private readonly connection: BackendConnection, private readonly terms: PlaceTerms) {}

  /** Counts the request at `server` from now on and connects. Resolves with `undefined` if the server accepts no connection. */
  static async at (server: BackendServer, terms: PlaceTerms): Promise<Reservation | undefined> {
    server.onStarted(terms.model, terms.adapter, 0, terms.rank)
    const connection = await server.pool.connect()
    if (connection) return new Reservation(server, connection, terms)
    server.onEnded(terms.model, terms.adapter)
    server.onUnreachable()
    return undefined
  }

  /** Whether a request can be sent now. */
  get isUsable (): boolean {
    return this.isHeld && this.connection.isOpen && this.server.isUsable
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
    this.server.pool.giveBack(this.connection)
  }

  private end (): void {
    this.isHeld = false
    this.server.onEnded(this.terms.model, this.terms.adapter)
  }
}
