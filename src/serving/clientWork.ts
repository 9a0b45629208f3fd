/** Counts what clients make the HTTP parser do. */

import type { IncomingMessage } from 'node:http'

export class ClientWork {
  /** Pieces of bodies since the start: one for each chunk, and one for each read of a longer one. */
  pieces = 0
  /** Their bytes. */
  contentBytes = 0

  /** Counts a request's body, also what comes after a refusal. Whoever reads the body must have begun: this does not start it. */
  watch (request: IncomingMessage): void {
    if (request.socket.destroyed) return
    request.on('data', (piece: Buffer) => {
      this.pieces++
      this.contentBytes += piece.length
    })
  }
}
