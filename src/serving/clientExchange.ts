/** A client's side of a request: its body, and the responses to it. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { sendBackendResponse } from './requestForwarder.js'
import type { BackendResponse } from './requestForwarder.js'

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

/** Sends error responses of this node and complete responses of backend servers. */
export class ResponseWriter {
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

  sendResponse (backendResponse: BackendResponse, headers: string[]): void {
    if (!this.response.destroyed) sendBackendResponse(this.response, backendResponse, headers)
  }
}
