/** The client requests of a node whose responses are not complete, by connection. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import type { ClientBody } from './clientBody.js'
import { breakOff } from './clientExchange.js'
import type { ResponseWriter } from './clientExchange.js'

/** A client request whose response is not complete. */
export interface OpenRequest {
  requestId: string | undefined
  arrivedAtMs: number
  response: ServerResponse
  /** Absent until the request's turn on its connection. */
  writer?: ResponseWriter
  /** Absent until the request has been counted. */
  body?: Pick<ClientBody, 'waitsSinceMs'>
  /** Whether the request arrived before the end of an earlier response on its connection. */
  isPipelined: boolean
  /** Whether the client asked for a persistent connection. */
  isKeepAlive: boolean
  /** Resolves when the response is complete or the connection is closed. */
  finished: Promise<void>
  end: () => void
}

interface ClientConnection {
  /** In order of arrival. */
  open: Set<OpenRequest>
  /** Value of `socket.bytesRead` when the last response was completed. */
  bytesReadAtLastResponse: number | undefined
  lastResponseAtMs: number
}

export class ClientRequests {
  private readonly open = new Set<OpenRequest>()
  private readonly connections = new WeakMap<Socket, ClientConnection>()
  /** Requests received since the start. */
  arrivals = 0

  constructor (private readonly clock: Clock, private readonly log: Log) {}

  /** Number of requests whose response is not complete. */
  get active (): number {
    return this.open.size
  }

  register ({ socket }: IncomingMessage, response: ServerResponse, requestId: string | undefined): OpenRequest {
    this.arrivals++
    const connection = this.connectionOf(socket)
    let onFinished = () => {}
    const finished = new Promise<void>(resolve => { onFinished = resolve })
    const end = () => {
      this.open.delete(open)
      connection.open.delete(open)
      connection.bytesReadAtLastResponse = socket.bytesRead
      connection.lastResponseAtMs = this.clock.nowMs()
      onFinished()
    }
    const open: OpenRequest = { requestId, isPipelined: connection.open.size > 0, arrivedAtMs: this.clock.nowMs(), response, isKeepAlive: response.shouldKeepAlive, finished, end }
    this.open.add(open)
    connection.open.add(open)
    response.once('close', end)
    return open
  }

  latestOn (socket: Socket): OpenRequest | undefined {
    return [...this.connectionOf(socket).open].at(-1)
  }

  /** Number of requests on the connection whose responses are not complete. */
  countOn (socket: Socket): number {
    return this.connectionOf(socket).open.size
  }

  /** Whether no request has arrived on the connection. */
  isUnused (socket: Socket): boolean {
    return !this.connections.has(socket)
  }

  /** Whether the connection has served requests, all responses are complete, and no byte has been received since. */
  isIdle (socket: Socket): boolean {
    const connection = this.connections.get(socket)
    return connection !== undefined && connection.open.size === 0 && connection.bytesReadAtLastResponse === socket.bytesRead
  }

  /** Time since when a connection on which a request has arrived waits for its client to send more; `undefined` if it does not. */
  waitsSinceMs (socket: Socket): number | undefined {
    const { open, lastResponseAtMs } = this.connectionOf(socket)
    const [earliest] = open
    return earliest ? earliest.body?.waitsSinceMs : lastResponseAtMs
  }

  /** Adds `Connection: close` to the response, unless it has started or a later request arrived on the connection. */
  announceClose (open: OpenRequest): void {
    const { response } = open
    if (!response.headersSent && this.latestOn(response.req.socket) === open) response.shouldKeepAlive = false
  }

  /** Adds `Connection: close` to every response that has not started yet. */
  announceCloseToAll (): void {
    for (const open of this.open) this.announceClose(open)
  }

  /** Discards a request whose response could not be written any more, so that it is not forwarded. Returns whether it did. */
  discardIfClosed (socket: Socket, open: OpenRequest): boolean {
    if (!socket.writableEnded && !socket.destroyed) return false
    this.log('info', 'request discarded: client connection closed', { request: open.requestId })
    open.end()
    return true
  }

  /** Logs every request whose connection is about to be closed before its response is complete. */
  logUnfinished (): void {
    for (const { requestId, arrivedAtMs, response, writer } of this.open) {
      this.log('warn', 'connection closed before the end of an answer', {
        request: requestId, ageMs: Math.round(this.clock.nowMs() - arrivedAtMs), hasBegun: response.headersSent, framing: writer?.framing
      })
    }
  }

  /** Resets the connections of responses that an orderly close could make look complete. */
  breakOffBegun (): void {
    for (const { response, writer, isPipelined } of this.open) {
      // A reset discards what the client has not read yet, which may be earlier answers. A stream that is wholly written stands inside an event.
      if (writer?.framing === 'connection' && !(isPipelined && response.writableLength === 0)) breakOff(response)
    }
  }

  private connectionOf (socket: Socket): ClientConnection {
    const existing = this.connections.get(socket)
    if (existing) return existing
    const connection: ClientConnection = { open: new Set(), bytesReadAtLastResponse: undefined, lastResponseAtMs: 0 }
    this.connections.set(socket, connection)
    // Node.js does not emit `close` on the response to a pipelined request while it waits behind another one.
    socket.once('close', () => { for (const { end } of [...connection.open]) end() })
    return connection
  }
}
