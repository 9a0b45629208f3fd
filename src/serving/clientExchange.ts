/** A client's side of a request: its body, and the responses to it. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ResponseHead } from './responseReader.js'

/** Reads the complete request body. Returns `too-large` beyond `maxBytes`, and `left` if the client closed the connection. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | 'left'> {
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes > maxBytes) return 'too-large'
      chunks.push(chunk)
    }
  } catch {
    // The client closed the connection, so no response can be sent.
    return 'left'
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
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
 * A stream that ends with its connection always stands within a comment until its end. If this process is killed, its kernel closes
 * the connection in order, and the stream ends inside an event, which shows that it was broken off.
 */
const commentStart = Buffer.from(':')
const commentEnd = Buffer.from('\n\n')

/**
 * Sends responses to a client. Only this class states where they end, and it states the end of a backend server's response only if the
 * server did, with a length or chunks. Otherwise the response ends as it came, with its connection.
 */
export class ResponseWriter {
  /** How a backend server's response is sent, once it has begun. */
  framing: ClientFraming | undefined
  /** Whether a stream ends with its connection and can hold comments. */
  private hasComments = false
  private isInComment = false

  constructor (readonly request: IncomingMessage, readonly response: ServerResponse) {}

  sendError (status: number, reason: string, retryAfterMs?: number): void {
    if (this.response.destroyed) return
    const body = JSON.stringify({ error: reason })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(2))
    // The rest of an unread body would be parsed as the next request.
    if (!this.request.complete) headers.push('Connection', 'close')
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
    // Clients of HTTP/1.0 can't read chunks.
    this.framing = head.endsWithConnection || !this.response.useChunkedEncodingByDefault ? 'connection' : 'chunks'
    this.hasComments = this.framing === 'connection' && isEventStream(head)
    this.writeHead(head, headers)
  }

  /** Sends whole events. Returns false if the client should be given time to read. */
  writeEvents (events: Buffer): boolean {
    if (!this.hasComments || events.length === 0) return this.response.write(events)
    const parts = this.isInComment ? [commentEnd, events, commentStart] : [events, commentStart]
    this.isInComment = true
    return this.response.write(Buffer.concat(parts))
  }

  /** Whether the stream that has begun may end after a response with this head. */
  mayEndAfter (head: ResponseHead): boolean {
    return this.framing === 'connection' || !head.endsWithConnection
  }

  endStream (): void {
    this.response.end(this.isInComment ? commentEnd : undefined)
  }

  /** Closes the client's connection, so that a partial response does not look complete. */
  abort (): void {
    const { response } = this
    const { socket } = response
    // The orderly close of the connection would be the end of the response. What was written leaves this process before the reset.
    if (socket && response.headersSent && !response.chunkedEncoding) setImmediate(() => socket.resetAndDestroy())
    else response.destroy()
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

/** Whether a response without a length or chunks can be sent while it comes, since its reader can tell where it was broken off. */
export function isEventStream ({ headers }: ResponseHead): boolean {
  return /^text\/event-stream\b/i.test(headers.get('content-type') ?? '')
}
