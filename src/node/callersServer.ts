/** HTTP servers of a node, and the callers' port in front of a function that answers requests. */

import { createServer } from 'node:http'
import { createAdaptorServer } from '@hono/node-server'
import type { Hono } from 'hono'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ByteBlocks } from '../base/byteBlocks.js'
import { splitAddress } from '../config/fields.js'
import type { CallerRequest, CallerResponse } from '../gateway/exchange.js'
import { ProblemError, problemResponse } from '../gateway/problem.js'

const maxHeaderBytes = 16 * 1024
const headersTimeoutMs = 10_000
const bodyTimeoutMs = 60_000
// The balancer keeps connections for a minute; closing them earlier would race with its next request.
const keepAliveTimeoutMs = 75_000
const tooLargeLingerMs = 2_000
const serverOptions = {
  maxHeaderSize: maxHeaderBytes,
  headersTimeout: headersTimeoutMs,
  requestTimeout: bodyTimeoutMs,
  keepAliveTimeout: keepAliveTimeoutMs
}

export type HandleCaller = (request: CallerRequest) => Promise<CallerResponse>

/**
 * A server for the callers' port, not listening yet. It uses node's request and answer directly: each part of a stream
 * is one write, and a chunked body needs no copy as a web request. `newId` makes request IDs for answers that do not
 * reach `handle`.
 */
export function createCallersServer (handle: HandleCaller, { bodyLimitBytes, newId }: { bodyLimitBytes: number, newId: () => string }): Server {
  return createServer(serverOptions, (incoming, outgoing) => {
    // What went wrong between the sockets ends this answer only.
    answer(incoming, outgoing).catch(() => outgoing.destroy())
  })

  async function answer (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const gone = new AbortController()
    outgoing.on('error', () => {})
    outgoing.once('close', () => { if (!outgoing.writableFinished) gone.abort() })
    const body = await readBody(incoming, bodyLimitBytes)
    if (body === undefined) {
      const detail = `the body is larger than ${bodyLimitBytes} bytes`
      return sendTooLarge(incoming, outgoing, problemResponse(new ProblemError(413, 'too-large', 'not-run', detail), newId()))
    }
    const response = await handle({
      method: incoming.method!,
      path: pathOf(incoming.url!),
      headers: headersOf(incoming.rawHeaders),
      body,
      signal: gone.signal
    })
    if (response.body instanceof Uint8Array) sendWhole(outgoing, response, response.body)
    else await sendStream(outgoing, response, response.body)
  }
}

/** The body, or `undefined` if it is larger than the limit. Rejects if the caller goes away before its end. */
async function readBody (incoming: IncomingMessage, limitBytes: number): Promise<Uint8Array | undefined> {
  if (Number(incoming.headers['content-length'] ?? 0) > limitBytes) return undefined
  // An object for each chunk would take a hundred times a body in small chunks.
  const blocks = new ByteBlocks()
  let length = 0
  return new Promise((resolve, reject) => {
    incoming.on('data', (part: Buffer) => {
      length += part.length
      if (length <= limitBytes) return blocks.push(part)
      blocks.clear()
      resolve(undefined)
    })
    incoming.once('end', () => {
      const parts = blocks.take()
      resolve(parts.length === 1 ? parts[0]! : Buffer.concat(parts))
    })
    incoming.once('error', reject)
    incoming.once('close', () => reject(new Error('the caller closed the connection within its request')))
  })
}

/** Path and query without dot segments. The target may be a whole URL (RFC 9112, 3.2.2). */
function pathOf (target: string): string {
  const base = 'http://callers'
  const url = URL.canParse(target, base) ? new URL(target, base) : new URL(base)
  // Two leading slashes would be read as a host.
  if (target.startsWith('//')) return target
  return url.pathname + url.search
}

/** Header fields by lower-case name; fields that occur several times are joined by commas. */
function headersOf (rawHeaders: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = Object.create(null) as Record<string, string>
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    const value = rawHeaders[index + 1]!
    headers[name] = headers[name] === undefined ? value : `${headers[name]}, ${value}`
  }
  return headers
}

function sendWhole (outgoing: ServerResponse, { status, headers }: CallerResponse, body: Uint8Array): void {
  const isBodyless = status === 204 || status === 205 || status === 304
  outgoing.writeHead(status, isBodyless ? headers : { ...headers, 'content-length': body.byteLength })
  outgoing.end(isBodyless ? undefined : body)
}

/** Sends the parts as they come. If `body` throws, the caller gets the parts so far, and then the connection ends. */
async function sendStream (outgoing: ServerResponse, { status, headers }: CallerResponse, body: AsyncIterable<string>): Promise<void> {
  outgoing.writeHead(status, headers)
  try {
    for await (const part of body) {
      if (outgoing.destroyed) return
      if (!outgoing.write(part)) await drained(outgoing)
    }
  } catch {
    // Without the last chunk of chunked encoding, the caller can tell that the answer was cut.
    outgoing.socket?.destroySoon()
    return
  }
  outgoing.end()
}

function drained (outgoing: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      outgoing.off('drain', done).off('close', done)
      resolve()
    }
    outgoing.once('drain', done).once('close', done)
  })
}

/** The rest of the body is read for a while and dropped, since a reset could overtake the answer. */
function sendTooLarge (incoming: IncomingMessage, outgoing: ServerResponse, response: CallerResponse): void {
  outgoing.shouldKeepAlive = false
  sendWhole(outgoing, response, response.body as Uint8Array)
  incoming.resume()
  const timer = setTimeout(() => incoming.destroy(), tooLargeLingerMs)
  incoming.once('close', () => clearTimeout(timer))
}

/** Listens on `address` (`IP:PORT`, port 0 for a free one). Resolves with the server once it listens. */
export function listenOn (server: Server, address: string, { maxConnections }: { maxConnections: number }): Promise<Server> {
  const { host, port } = requireAddress(address)
  server.maxConnections = maxConnections
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}

/** Serves `app` on `address`. Resolves with the server once it listens. */
export function listen (app: Hono, address: string, limits: { maxConnections: number }): Promise<Server> {
  const server = createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false, createServer, serverOptions })
  return listenOn(server as Server, address, limits)
}

/** Where a listening server can be reached. */
export function listeningAddress (server: Server): string {
  const { address, port } = server.address() as AddressInfo
  return `${address}:${port}`
}

/** Host and port of an address that the settings have checked. */
export function requireAddress (address: string): { host: string, port: number } {
  const parts = splitAddress(address)
  if (!parts) throw new Error(`address ${JSON.stringify(address)} is not IP:PORT`)
  return parts
}
