/** The responses to a client's request. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { StreamTail } from '../policy/streamTail.js'
import type { StreamBlock } from '../policy/streamTail.js'
import type { ResponseHead } from './responseReader.js'

/** Limits of reading on after a refusal: for one connection, and for all. */
export interface Linger {
  limits: { lingerMs: number, lingerBytes: number }
  mayReadOn: (bytes: number) => boolean
}

/**
 * Closes the connection only some time after the response: a connection that is closed with unread bytes is reset, which takes the
 * response from a client that is still sending. What arrives until then is discarded.
 */
function lingerAfterResponse (request: IncomingMessage, linger: Linger): void {
  const { socket } = request
  const { lingerMs, lingerBytes } = linger.limits
  const bytesBefore = socket.bytesRead
  // Node.js reads on, past all listeners, what nobody has begun to read when the response ends.
  request.read(0)
  // Node.js calls it after the last response of a connection.
  socket.destroySoon = () => {
    const timer = setTimeout(() => socket.destroy(), lingerMs)
    socket.once('close', () => clearTimeout(timer))
    let countedBytes = socket.bytesRead
    const mayReadOn = () => {
      const bytes = socket.bytesRead - countedBytes
      countedBytes = socket.bytesRead
      return linger.mayReadOn(bytes) && socket.bytesRead - bytesBefore <= lingerBytes
    }
    request.on('data', () => { if (!mayReadOn()) request.pause() })
    if (mayReadOn()) request.resume()
    socket.end()
  }
}

/** A complete response of a backend server. */
export interface BackendResponse {
  head: ResponseHead
  body: Buffer
}

/** What tells the client where its response ends: a length, a last chunk, or the close of its connection. */
export type ClientFraming = 'length' | 'chunks' | 'connection'

/**
 * Longest plain response that may end with its connection. The kernels of both ends take it before the client reads, so the end of
 * this process does not cut it short in order.
 */
export const maxUnframedBytes = 128 * 1024

/**
 * Sends responses to a client. Only this class states where they end, and it states the end of a backend server's response only if the
 * server did, with a length or chunks. Otherwise the response ends as it came, with its connection.
 */
export class ResponseWriter {
  /** How a backend server's response is sent, once it has begun. */
  framing: ClientFraming | undefined
  /** Present for a stream that ends with its connection: if this process ends, its kernel closes the connection in order. */
  private tail: StreamTail | undefined

  constructor (readonly request: IncomingMessage, readonly response: ServerResponse, private readonly linger: Linger) {}

  sendError (status: number, reason: string, retryAfterMs?: number): void {
    if (this.response.destroyed) return
    const body = JSON.stringify({ error: reason })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(2))
    // The rest of an unread body would be parsed as the next request.
    if (!this.request.complete) {
      headers.push('Connection', 'close')
      lingerAfterResponse(this.request, this.linger)
    }
    this.response.writeHead(status, headers)
    this.response.end(body)
  }

  sendResponse ({ head, body }: BackendResponse, headers: string[]): void {
    if (this.response.destroyed) return
    this.framing = head.endsWithConnection ? 'connection' : 'length'
    const length = head.isBodiless ? head.headers.get('content-length') : String(body.length)
    this.writeHead(head, head.endsWithConnection || length === undefined ? headers : [...headers, 'Content-Length', length])
    this.response.end(body)
  }

  beginStream (head: ResponseHead, headers: string[]): void {
    this.framing = head.endsWithConnection || !this.canChunk ? 'connection' : 'chunks'
    if (this.framing === 'connection' && isEventStream(head)) this.tail = new StreamTail()
    this.writeHead(head, headers)
  }

  /** Clients of HTTP/1.0 can't read chunks. */
  get canChunk (): boolean {
    return this.response.useChunkedEncodingByDefault
  }

  /** Sends events, up to what the tail of the stream holds back. Returns false if the client should be given time to read. */
  writeEvents (events: readonly StreamBlock[]): boolean {
    const { tail } = this
    this.write(tail ? tail.push(events) : joined(events))
    return !this.response.writableNeedDrain
  }

  /** Bytes that are held back until the next event. */
  get heldBytes (): number {
    return this.tail?.heldBytes ?? 0
  }

  private write (bytes: Buffer): void {
    if (bytes.length > 0 && !this.response.destroyed) this.response.write(bytes)
  }

  /** Whether the stream that has begun may end after a response with this head. */
  mayEndAfter (head: ResponseHead): boolean {
    return this.framing === 'connection' || !head.endsWithConnection
  }

  endStream (): void {
    this.response.end(this.tail?.end())
  }

  /** Closes the client's connection, so that a partial response does not look complete. */
  abort (): void {
    breakOff(this.response)
  }

  private writeHead ({ status, statusText }: ResponseHead, headers: string[]): void {
    const endsWithConnection = this.framing === 'connection'
    if (endsWithConnection) {
      this.response.shouldKeepAlive = false
      this.response.useChunkedEncodingByDefault = false
    }
    this.response.writeHead(status, statusText, endsWithConnection ? [...headers, 'Connection', 'close'] : headers)
  }
}

/** Closes the connection of a response so that what the client has of it does not look complete. */
export function breakOff (response: ServerResponse): void {
  const { socket } = response
  // The orderly close of the connection would be the end of the response. What the kernel accepts leaves this process before the reset.
  if (socket && response.headersSent && !response.chunkedEncoding) setImmediate(() => socket.resetAndDestroy())
  else response.destroy()
}

/** One write, because a chunk may hold thousands of events. */
function joined (events: readonly StreamBlock[]): Buffer {
  return events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(({ bytes }) => bytes))
}

/** The content type without its parameters, in lower case; `undefined` without one. */
export function mediaTypeOf ({ headers }: ResponseHead): string | undefined {
  return headers.get('content-type')?.split(';')[0]!.trim().toLowerCase()
}

/** Whether a response without a length or chunks can be sent while it comes, since its reader can tell where it was broken off. */
export function isEventStream (head: ResponseHead): boolean {
  return mediaTypeOf(head) === 'text/event-stream'
}
