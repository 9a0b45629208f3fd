/** The operators' port: probes, metrics, configuration and reports. Served by the daemon through `@hono/node-server`. */

import { createHash, timingSafeEqual } from 'node:crypto'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import { HTTPException } from 'hono/http-exception'
import { match } from 'ts-pattern'
import { z } from 'zod'
import { messageOf } from '../base/errors.js'
import { formatFinding } from '../base/findings.js'
import type { Log } from '../base/log.js'
import type { ConfigChange, ConfigRecord, ProposalResult } from '../config/proposal.js'

/** The configuration in force on a node. The fields beside version and text are absent if the node does not know them. */
export type ConfigInForce = Pick<ConfigRecord, 'version' | 'text'> & Partial<ConfigRecord>

/** A version of the history, without its text. */
export type ConfigHistoryEntry = Omit<ConfigRecord, 'text'>

/** The version in force on each node, as one node sees it. */
export interface ConfigInForceEverywhere {
  /** Version in force on the node that answers. */
  version: number
  nodes: { name: string, version: number, reachable: boolean }[]
}

/** What the operators' port offers. Rejections are answered with 500 and logged. */
export interface OperatorsApi {
  live (): boolean
  ready (): { ready: boolean, reasons: string[] }
  /** Metrics in Prometheus' text format. */
  metrics (): Promise<string>
  /** `undefined` if no configuration is in force yet. */
  configGet (): Promise<ConfigInForce | undefined> | ConfigInForce | undefined
  configPropose (change: ConfigChange): Promise<ProposalResult>
  /** Newest first. */
  configHistory (): Promise<ConfigHistoryEntry[]>
  inForce (): ConfigInForceEverywhere
  status (): Promise<unknown>
  /** `undefined` if no node has a trace of the request. */
  explain (requestId: string): Promise<unknown | undefined>
  burn (): Promise<unknown>
}

// A configuration record is at most 1 MB in the key-value service, which its JSON does not exceed by much.
const bodyLimitBytes = 2 ** 20

const changeSchema = z.strictObject({
  baseVersion: z.number().int().min(0),
  text: z.string(),
  author: z.string().min(1),
  reason: z.string().min(1),
  proposalId: z.string().min(1).max(200)
})

const titles: Record<number, string> = {
  400: 'Bad Request',
  401: 'Unauthorized',
  404: 'Not Found',
  409: 'Conflict',
  413: 'Content Too Large',
  422: 'Unprocessable Content',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
  504: 'Gateway Timeout'
}

/** Problem details (RFC 9457) with `extension` as further members. */
function problem (status: number, detail: string, extension: Record<string, unknown> = {}, headers: Record<string, string> = {}): Response {
  const body = { type: 'about:blank', title: titles[status], status, detail, ...extension }
  return new Response(JSON.stringify(body), { status, headers: { 'content-type': 'application/problem+json', ...headers } })
}

function sha256 (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

function proposalResponse (c: Context, result: ProposalResult): Response {
  return match(result)
    .with({ kind: 'accepted' }, accepted => c.json(accepted))
    .with({ kind: 'conflict' }, conflict => problem(409, `version ${conflict.currentVersion} by ${conflict.currentAuthor} is in the place of the base version`, conflict))
    .with({ kind: 'invalid' }, invalid => problem(422, invalid.findings.map(formatFinding).join('\n'), invalid))
    .with({ kind: 'unknown' }, unknown => problem(504, unknown.reason, unknown))
    .exhaustive()
}

/** Creates the app of the operators' port. All routes but `/live` and `/ready` require the deployment key. */
export function createOperatorsApp ({ deploymentKey, log, api }: { deploymentKey: string, log: Log, api: OperatorsApi }): Hono {
  const app = new Hono()
  const expectedKeyHash = sha256(deploymentKey)

  app.get('/live', c => api.live() ? c.json({ live: true }) : problem(503, 'the process is not live'))
  app.get('/ready', c => {
    const state = api.ready()
    return c.json(state, state.ready ? 200 : 503)
  })

  app.use(async (c, next) => {
    const given = /^Bearer +(\S+)$/i.exec(c.req.header('authorization') ?? '')?.[1] ?? ''
    // Hashes have equal lengths, so the time of the comparison depends neither on the key nor on its length.
    if (!timingSafeEqual(sha256(given), expectedKeyHash)) {
      return problem(401, 'the deployment key is missing or wrong', {}, { 'www-authenticate': 'Bearer' })
    }
    await next()
  })
  app.use(bodyLimit({ maxSize: bodyLimitBytes, onError: () => problem(413, `the body exceeds ${bodyLimitBytes} bytes`) }))

  app.get('/metrics', async c => c.body(await api.metrics(), 200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' }))
  app.get('/v1/config', async c => {
    const config = await api.configGet()
    return config ? c.json(config) : problem(404, 'no configuration is in force on this node')
  })
  app.post('/v1/config', async c => {
    const change = changeSchema.safeParse(await c.req.json().catch((error: unknown) => {
      // The body limit of a chunked request shows up here, and its own answer must not be replaced.
      if (!(error instanceof SyntaxError)) throw error
      return undefined
    }))
    if (!change.success) return problem(400, `the body is not a change: ${z.prettifyError(change.error)}`)
    const { author, reason, baseVersion, proposalId } = change.data
    const result = await api.configPropose(change.data)
    log('info', 'configuration proposed', { author, reason, baseVersion, proposalId, result: result.kind })
    return proposalResponse(c, result)
  })
  app.get('/v1/config/history', async c => c.json(await api.configHistory()))
  app.get('/v1/config/in-force', c => c.json(api.inForce()))
  app.get('/v1/status', async c => c.json(await api.status() as object))
  app.get('/v1/explain/:requestId', async c => {
    const requestId = c.req.param('requestId')
    const trace = await api.explain(requestId)
    return trace === undefined ? problem(404, `no trace of request "${requestId}"`) : c.json(trace as object)
  })
  app.get('/v1/burn', async c => c.json(await api.burn() as object))

  app.notFound(c => problem(404, `no route ${c.req.method} ${c.req.path}`))
  app.onError((error, c) => {
    if (error instanceof HTTPException) return problem(error.status, error.message)
    log('error', 'request to the operators port failed', { method: c.req.method, path: c.req.path, error: messageOf(error) })
    return problem(500, 'the request failed; the log of the node says why')
  })
  return app
}
