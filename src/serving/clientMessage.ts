/** Bounds the requests that one read of a client's connection brings. */

import { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Counts the requests of a read. A read is parsed to its end before anything else is read. */
export class RequestsPerRead {
  private socket: Socket | undefined
  private bytesRead = 0
  private requests = 0

  /** Returns the number of requests of the current read, with the one that is counted. */
  count (socket: Socket): number {
    if (socket !== this.socket || socket.bytesRead !== this.bytesRead) {
      this.socket = socket
      this.bytesRead = socket.bytesRead
      this.requests = 0
    }
    return ++this.requests
  }
}

/**
 * The class of messages for a server that stops parsing a connection at the first request that `isAllowed` refuses, and emits nothing for
 * it. Otherwise Node.js creates the objects of all requests that a read of 64 KiB brings, also on a connection that has been closed.
 */
export function stoppableMessage (isAllowed: (socket: Socket) => boolean): typeof IncomingMessage {
  return class extends IncomingMessage {
    private readonly isStopped: boolean
    private isUpgrade: boolean | null = null

    constructor (socket: Socket) {
      super(socket)
      this.isStopped = !isAllowed(socket)
    }

    /** An upgrade is the only answer to a head at which the parser leaves the rest of a read alone. */
    get upgrade (): boolean | null {
      return this.isStopped || this.isUpgrade
    }

    set upgrade (value: boolean | null) {
      this.isUpgrade = value
    }
  }
}
