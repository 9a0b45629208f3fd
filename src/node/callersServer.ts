/** HTTP servers of a node, and the callers' port in front of a function that answers requests. */

import { createServer } from 'node:http'
import { serve } from '@hono/node-server'
import { Hono } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { splitAddress } from '../config/fields.js'
import type { CallerRequest, CallerResponse } from '../gateway/exchange.js'
import { ProblemError, problemResponse } from '../gateway/problem.js'

/** Limits of the callers' port. */
export interface CallersLimits {
  bodyLimitBytes: number
  maxConnections: number
}

const maxHeaderBytes = 16 * 1024
const headersTimeoutMs = 10_000
const bodyTimeoutMs = 60_000
// The balancer keeps connections for a minute; closing them earlier would race with its next request.
const keepAliveTimeoutMs = 75_000

export type HandleCaller = (request: CallerRequest) => Promise<CallerResponse>

/** The HTTP application. `newId` makes request IDs for answers that do not reach `handle`. */
export function createCallersApp (handle: HandleCaller, { bodyLimitBytes, newId }: { bodyLimitBytes: number, newId: () => string }): Hono {
  const app = new Hono()
  app.use(bodyLimit({
    maxSize: bodyLimitBytes,
    onError: () => toHttp(problemResponse(new ProblemError(413, 'too-large', 'not-run', `the body is larger than ${bodyLimitBytes} bytes`), newId()))
  }))
  app.all('*', async context => {
    const { raw } = context.req
    const url = new URL(raw.url)
    const response = await handle({
      method: raw.method,
      path: url.pathname + url.search,
      headers: Object.fromEntries(raw.headers),
      body: new Uint8Array(await raw.arrayBuffer()),
      signal: raw.signal
    })
    return toHttp(response)
  })
  return app
}

/** Listens on `address` (`IP:PORT`, port 0 for a free one). Resolves with the server once it listens. */
export function listen (app: Hono, address: string, { maxConnections }: { maxConnections: number }): Promise<Server> {
  const { host, port } = requireAddress(address)
  return new Promise((resolve, reject) => {
    const server = serve({
      fetch: app.fetch,
      hostname: host,
      port,
      overrideGlobalObjects: false,
      createServer,
      serverOptions: {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: bodyTimeoutMs,
        keepAliveTimeout: keepAliveTimeoutMs
      }
    }, () => resolve(server as Server))
    server.once('error', reject)
    ;(server as Server).maxConnections = maxConnections
  })
}

function toHttp ({ status, headers, body }: CallerResponse): Response {
  const isBodyless = status === 204 || status === 205 || status === 304
  if (body instanceof Uint8Array) return new Response(isBodyless ? null : new Uint8Array(body), { status, headers })
  return new Response(streamOf(body), { status, headers })
}

const encoder = new TextEncoder()

/** An iterable that throws errors the stream, which aborts the connection. */
function streamOf (body: AsyncIterable<string>): ReadableStream<Uint8Array> {
  const iterator = body[Symbol.asyncIterator]()
  return new ReadableStream({
    async pull (controller) {
      try {
        const result = await iterator.next()
        if (result.done) controller.close()
        else controller.enqueue(encoder.encode(result.value))
      } catch (error) {
        controller.error(error)
      }
    },
    async cancel () {
      await iterator.return?.()
    }
  })
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
