/** Codecs for the platform's HTTP requests and responses: headers of clients and backend servers, control requests to engines. */

import type { Codecs, ControlRequest, ForwardOptions, RequestMetadata, RequestedPause, ResponseMetadata, PromptPart } from '../serving/codecs.js'
import type { EngineCommand, CommandOutcome, Service } from '../serving/deployment.js'
import type { ResponseHead } from '../serving/responseReader.js'
import { reservationSchema, readBackend, readDeployment, readReport } from './wireSchemas.js'

// A client sets a new value for each of its retries, so it identifies one request and not the series.
const requestIdHeader = 'x-attempt-id'
const deadlineHeader = 'x-deadline-ms'
const lastEventIdHeader = 'last-event-id'
// Names the request whose answer brought the first event of the stream that the client takes up.
const resumesHeader = 'resumes'
const expectedBackendHeader = 'x-expect-instance'
// 0 to 9; 0 runs first.
const urgencyHeader = 'x-request-urgency'
const highestUrgencyValue = 9
const keyHeader = 'x-api-key'
const accountHeader = 'x-tenant'

/** Headers reserved for the system; values from a client must not reach an engine. */
const systemHeaders = new Set([
  expectedBackendHeader, urgencyHeader, 'x-expect-version', 'x-hold', 'x-pin-ms', 'x-kv-backup', 'kv-from', 'kv-fetch'
])
/** Hop-by-hop headers. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect',
  'proxy-authenticate', 'proxy-authorization'
])

function firstValue (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function parseInteger (value: string | undefined): number | undefined {
  return value !== undefined && /^\d{1,15}$/.test(value.trim()) ? Number(value) : undefined
}

/** IDs may exceed the numbers that are exact, as times in nanoseconds do. */
function parseEventId (value: string | undefined): bigint | undefined {
  return value !== undefined && /^\d{1,64}$/.test(value.trim()) ? BigInt(value.trim()) : undefined
}

/** Returns the prompt parts that are shared with other requests: all but the last one, which is specific to the request or its session. */
function sharedPartsOf (parts: string | undefined): PromptPart[] {
  return (parts ?? '').split(',').slice(0, -1).map(part => {
    const [id, tokens] = part.split(':')
    return { id: id!.trim(), tokens: parseInteger(tokens) ?? 0 }
  })
}

function readRequest (headers: Record<string, string | string[] | undefined>): RequestMetadata {
  const [model, adapter] = (firstValue(headers['x-model']) ?? '').split('/')
  const [promptTokens, maxOutputTokens] = (firstValue(headers['x-token-count']) ?? '').split(',').map(part => parseInteger(part))
  const hint = parseInteger(firstValue(headers['x-length-hint']))
  return {
    requestId: firstValue(headers[requestIdHeader]),
    deadlineMs: parseInteger(firstValue(headers[deadlineHeader])),
    model: model || undefined,
    adapter: adapter || undefined,
    promptTokens: promptTokens ?? 0,
    // The estimate of what the client accepts at most.
    outputTokens: Math.min(hint ?? maxOutputTokens ?? 0, maxOutputTokens ?? hint ?? 0),
    statedTokens: promptTokens === undefined && maxOutputTokens === undefined ? undefined : (promptTokens ?? 0) + (maxOutputTokens ?? 0),
    sharedParts: sharedPartsOf(firstValue(headers['x-prompt-prefix'])),
    lastEventId: parseEventId(firstValue(headers[lastEventIdHeader])),
    resumes: firstValue(headers[resumesHeader]) || undefined,
    isTakeUp: headers[resumesHeader] !== undefined || headers[lastEventIdHeader] !== undefined,
    key: firstValue(headers[keyHeader]) || undefined
  }
}

/** Headers that say what a request asks for. The others belong to its sender or its connection. */
const contentHeaders = ['host', 'x-model', 'x-token-count', 'x-prompt-prefix', 'content-type']

function contentOf ({ method, path, headers }: Parameters<Codecs['contentOf']>[0]): string {
  return JSON.stringify([method, path, ...contentHeaders.map(name => headers[name] ?? null)])
}

/** Lower-case header names that `Connection` headers declare as hop-by-hop. */
function namesInConnectionHeader (rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]!.split(',')) names.add(name.trim().toLowerCase())
  }
  return names
}

/** Returns the headers that may be forwarded: end-to-end headers for which `isDropped` is false. */
function forwardable (rawHeaders: readonly string[], isDropped: (name: string) => boolean): string[] {
  const named = namesInConnectionHeader(rawHeaders)
  const result: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    // `Connection` must not remove `x-` headers or those that are needed end to end, whatever a client lists in it.
    if (hopByHopHeaders.has(name) || isDropped(name) || (named.has(name) && !name.startsWith('x-') && !endToEndHeaders.has(name))) continue
    result.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return result
}

const endToEndHeaders = new Set(['host', 'content-length', 'content-type', lastEventIdHeader])

function withoutAccount (rawHeaders: readonly string[]): string[] {
  const isKept = (name: string) => name !== keyHeader && name !== accountHeader
  return rawHeaders.filter((_text, index) => isKept(rawHeaders[index - index % 2]!.toLowerCase()))
}

function forwardHeaders (rawHeaders: readonly string[], { backendId, deadlineMs, rank, lastEventId, reservationId, account }: ForwardOptions): string[] {
  const headers = forwardable(rawHeaders, name => systemHeaders.has(name) || name === deadlineHeader ||
    name === 'content-length' || (name === lastEventIdHeader && lastEventId !== undefined))
  headers.push('X-Deadline-Ms', String(Math.max(1, Math.floor(deadlineMs))), 'X-Expect-Instance', backendId)
  if (rank !== undefined) headers.push('X-Request-Urgency', String(Math.min(highestUrgencyValue, rank)))
  if (lastEventId !== undefined) headers.push('Last-Event-Id', String(lastEventId))
  if (reservationId !== undefined) headers.push('X-Hold', reservationId)
  if (account !== undefined) headers.push('X-Tenant', account)
  return headers
}

/** Only a number of seconds is read. A date would depend on the time of day, which may differ between machines. */
function readRequestedPause (value: string | undefined): RequestedPause | undefined {
  if (value === undefined) return undefined
  const seconds = /^\d{1,300}(\.\d{1,300})?$/.test(value) ? Number(value) : NaN
  return Number.isNaN(seconds) ? { unreadable: value } : { ms: seconds * 1000 }
}

function readResponse ({ status, headers }: ResponseHead): ResponseMetadata {
  return {
    requestId: headers.get(requestIdHeader) || undefined,
    isSigned: headers.has('x-server-stamp'),
    isNotRun: headers.has('x-not-executed') || status === 421,
    isMisdirected: status === 421,
    isEncoded: (headers.get('content-encoding') ?? 'identity') !== 'identity',
    isLeaving: headers.get('server-leaving') === '1',
    requestedPause: status === 503 ? readRequestedPause(headers.get('retry-after')) : undefined
  }
}

function returnHeaders (head: ResponseHead): string[] {
  return forwardable(head.rawHeaders, name => name === 'content-length')
}

function commandRequest (backendId: string, command: EngineCommand): ControlRequest {
  const { action, model, adapter, expectedCommandCount, holder, fence } = command
  return {
    method: 'POST',
    path: '/order',
    headers: ['Content-Type', 'application/json', 'X-Expect-Instance', backendId],
    // `expected` is the number of commands that the engine has accepted so far.
    body: JSON.stringify({ op: action, model, adapter, expected: expectedCommandCount, holder, fence })
  }
}

function reservationRequest (backendId: string, tokens: number, ttlMs: number): ControlRequest {
  return {
    method: 'POST',
    path: '/hold-take',
    headers: ['Content-Type', 'application/json', 'X-Expect-Instance', backendId],
    body: JSON.stringify({ tokens, ttl_ms: ttlMs })
  }
}

function readReservation (text: string): string | Error {
  try {
    return reservationSchema.parse(JSON.parse(text)).hold
  } catch (error) {
    return error as Error
  }
}

function releaseRequest (backendId: string, reservationId: string): ControlRequest {
  return { method: 'DELETE', path: `/hold-drop/${encodeURIComponent(reservationId)}`, headers: ['X-Expect-Instance', backendId], body: '' }
}

const commandOutcomes: Record<number, CommandOutcome> = {
  200: 'already-done', 202: 'started', 400: 'invalid', 409: 'conflict', 412: 'stale-fence', 421: 'gone'
}

const reportRequest: ControlRequest = { method: 'GET', path: '/report', headers: [], body: '' }

/** A report needs no slot; plain services have no reports. */
function livenessRequest ({ engine, healthPath }: Service): ControlRequest | undefined {
  if (engine) return reportRequest
  return healthPath === undefined ? undefined : { ...reportRequest, path: healthPath }
}

export const codecs: Codecs = {
  readRequest,
  contentOf,
  withoutAccount,
  forwardHeaders,
  readResponse,
  returnHeaders,
  keys: { deployment: 'op/config', backends: 'servers/', own: 'teaselrill/' },
  readDeployment,
  readBackend,
  commandRequest,
  readCommandOutcome: status => commandOutcomes[status] ?? 'unknown',
  reservationRequest,
  readReservation,
  releaseRequest,
  reportRequest,
  livenessRequest,
  readReport
}
