/** HTTP interface of the engine stand-in. */

import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Socket } from 'node:net'
import { z } from 'zod'
import { engineCommandSchema, inferenceRequestSchema, kvExportSchema } from '../external/engine.js'
import type { InferenceEvent } from '../external/engine.js'
import { engineControlSchema } from './engine.js'
import type { EngineStandIn } from './engine.js'
import { addControl, createApp, disconnectSignal } from './httpServer.js'
import type { StandInApp } from './httpServer.js'

const requestIdSchema = z.object({ requestId: z.string() })
const resumeSchema = z.object({ requestId: z.string(), fromIndex: z.number(), attemptId: z.string() })

export function engineApp (engine: EngineStandIn): StandInApp {
  const app = createApp()
  // A connection belongs to the process that accepted it, so that commands for an old process do not reach a new one.
  const incarnations = new WeakMap<Socket, string>()
  app.use(async (context, next) => {
    const { socket } = context.env.incoming
    if (!incarnations.has(socket)) incarnations.set(socket, engine.incarnation)
    await next()
  })
  app.get('/status', async context => context.json(await engine.readStatus()))
  app.post('/commands', async context => {
    const command = engineCommandSchema.parse(await context.req.json())
    return context.json(await engine.deliver(incarnations.get(context.env.incoming.socket)!, command))
  })
  app.post('/infer', async context => {
    const request = inferenceRequestSchema.parse(await context.req.json())
    const signal = disconnectSignal(context.env)
    return sendEvents(engine, context.env, await engine.startInference(request, signal))
  })
  app.post('/resume', async context => {
    const { requestId, fromIndex, attemptId } = resumeSchema.parse(await context.req.json())
    const signal = disconnectSignal(context.env)
    return sendEvents(engine, context.env, await engine.startRead(requestId, fromIndex, attemptId, signal))
  })
  app.post('/cancel', async context => {
    await engine.cancel(requestIdSchema.parse(await context.req.json()).requestId)
    return context.body(null, 204)
  })
  app.get('/cache-events', async context => context.json(await engine.cacheEvents(z.coerce.number().parse(context.req.query('after')))))
  app.post('/kv/export', async context => context.json(await engine.exportKv(requestIdSchema.parse(await context.req.json()).requestId)))
  app.post('/kv/import', async context => {
    await engine.importKv(kvExportSchema.parse(await context.req.json()))
    return context.body(null, 204)
  })
  addControl(app, engine, engineControlSchema)
  return app
}

async function sendEvents (engine: EngineStandIn, { outgoing, incoming }: HttpBindings, events: AsyncIterable<InferenceEvent>): Promise<Response> {
  outgoing.writeHead(200, { 'content-type': 'application/x-ndjson', 'x-engine-load': JSON.stringify(engine.presentLoad() ?? {}) })
  outgoing.flushHeaders()
  try {
    for await (const event of events) outgoing.write(`${JSON.stringify(event)}\n`)
    outgoing.end()
  } catch {
    // Tokens that were written before the cut must reach the client, as they do in process.
    incoming.socket.destroySoon()
  }
  return RESPONSE_ALREADY_SENT
}
