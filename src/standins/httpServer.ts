/** Serves a stand-in over HTTP. */

import { serve } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono } from 'hono'
import type { Context } from 'hono'
import type { AddressInfo, Server } from 'node:net'
import { z } from 'zod'
import { messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { requestIdHeader } from '../external/httpCall.js'

export type StandInApp = Hono<{ Bindings: HttpBindings }>
export type StandInContext = Context<{ Bindings: HttpBindings }>

export interface StandInServer {
  /** `IP:PORT`. */
  address: string
  close (): Promise<void>
}

/** An app that turns errors of a stand-in into what a client sees: 503, a cut connection, or 500. */
export function createApp (): StandInApp {
  const app: StandInApp = new Hono()
  app.use(async (context, next) => {
    await next()
    const requestId = context.req.header(requestIdHeader)
    if (requestId !== undefined && context.res !== RESPONSE_ALREADY_SENT) context.res.headers.set(requestIdHeader, requestId)
  })
  app.onError((error, context) => {
    if (error instanceof NotRunError) return context.text(error.reason, 503, { 'x-not-run': 'true' })
    if (error instanceof UnknownOutcomeError) {
      context.env.incoming.socket.destroy()
      return RESPONSE_ALREADY_SENT
    }
    return context.text(messageOf(error), error instanceof z.ZodError ? 400 : 500)
  })
  return app
}

/** Adds `POST /control` and `GET /log`. */
export function addControl<Control> (app: StandInApp, standIn: { control (control: Control): void, log: unknown }, schema: z.ZodType<Control>): void {
  app.post('/control', async context => {
    standIn.control(schema.parse(await context.req.json()))
    return context.body(null, 204)
  })
  app.get('/log', context => context.json(standIn.log))
}

/** Aborts when the connection or the answer is closed. */
export function disconnectSignal ({ outgoing }: HttpBindings): AbortSignal {
  const disconnected = new AbortController()
  outgoing.once('close', () => disconnected.abort())
  return disconnected.signal
}

/** Listens on loopback; port 0 chooses a free one. */
export function listen (app: StandInApp, port: number): Promise<StandInServer> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, port, hostname: '127.0.0.1' }, (info: AddressInfo) => {
      resolve({ address: `127.0.0.1:${info.port}`, close: () => close(server as Server & { closeAllConnections? (): void }) })
    })
    // An idle connection of a command session must not be closed by the server.
    Object.assign(server, { keepAliveTimeout: 0 })
    server.on('error', reject)
  })
}

function close (server: Server & { closeAllConnections? (): void }): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections?.()
  })
}
