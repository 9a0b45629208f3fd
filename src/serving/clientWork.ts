/** Counts what clients make the HTTP parser do, and closes connections whose work is out of proportion to what they bring. */

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../base/clock.js'
import { OverheadBudgets, pieceCostBytes, requestCreditBytes } from '../policy/clientOverhead.js'
import type { OverheadLimits } from '../policy/clientOverhead.js'

/** Counts the requests of a read, and the fields of their heads. A read is parsed to its end before anything else is read. */
class RequestsPerRead {
  private socket: Socket | undefined
  private bytesRead = 0
  requests = 0
  fields = 0

  count (socket: Socket, fields: number): void {
    if (socket !== this.socket || socket.bytesRead !== this.bytesRead) {
      this.socket = socket
      this.bytesRead = socket.bytesRead
      this.requests = this.fields = 0
    }
    this.requests++
    this.fields += fields
  }
}

/** Fields for each request that a connection may have in progress. Beyond it, the objects of a read's heads cost far more than those of its requests. */
const fieldsPerRequest = 64

export interface ClientWorkOptions {
  clock: Clock
  limits: OverheadLimits & { pipelinedRequests: number }
  /** Called before a connection is closed. */
  onExcess: (limit: 'pipelined' | 'overhead', request?: IncomingMessage) => void
}

export class ClientWork {
  /** Pieces of bodies since the start: one for each chunk, and one for each read of a longer one. */
  pieces = 0
  /** Their bytes. */
  contentBytes = 0
  private readonly budgets: OverheadBudgets<Socket>
  private readonly perRead = new RequestsPerRead()

  constructor (private readonly options: ClientWorkOptions) {
    this.budgets = new OverheadBudgets(options.limits)
  }

  /** To be called when a client's connection has closed. */
  onClosed (socket: Socket): void {
    this.budgets.onClosed(socket)
  }

  /** To be called when the body of a request on the connection is complete. */
  onBodyEnd (socket: Socket): void {
    this.budgets.onBodyEnd(socket)
  }

  /** Counts a request whose head, of `fields` fields, is complete. Returns false if its connection has been closed instead. */
  onHead (socket: Socket, fields: number): boolean {
    const { perRead, options: { limits: { pipelinedRequests } } } = this
    perRead.count(socket, fields)
    // None of the requests of one read has been answered before the next one is parsed.
    if (perRead.requests > pipelinedRequests || (perRead.requests > 1 && perRead.fields > pipelinedRequests * fieldsPerRequest)) {
      this.close(socket, 'pipelined')
      return false
    }
    return this.record(socket, { overheadBytes: 0, contentBytes: requestCreditBytes })
  }

  /** Returns a function that counts a piece of the request's body, and returns false if the connection has been closed. */
  counterOf (request: IncomingMessage): (bytes: number) => boolean {
    const { socket } = request
    // The pieces of a body with a length are what each read brings.
    const overheadBytes = request.headers['transfer-encoding'] === undefined ? 0 : pieceCostBytes
    return contentBytes => {
      // The parser goes on with what it has read from a connection that has been closed.
      if (socket.destroyed) return false
      this.pieces++
      this.contentBytes += contentBytes
      return this.record(socket, { overheadBytes, contentBytes }, request)
    }
  }

  /** Returns false if the connection has been closed. */
  private record (socket: Socket, read: { overheadBytes: number, contentBytes: number }, request?: IncomingMessage): boolean {
    for (const costly of this.budgets.add(socket, this.options.clock.nowMs(), read)) this.close(costly, 'overhead', costly === socket ? request : undefined)
    return !socket.destroyed
  }

  private close (socket: Socket, limit: 'pipelined' | 'overhead', request?: IncomingMessage): void {
    this.options.onExcess(limit, request)
    socket.destroy()
  }
}
