/** Header names and calls of the platform's clients and engines. */

import type { Codecs, ControlCall, ForwardOptions, RequestFacts, ResponseFacts, PromptPart } from '../serving/codecs.js'
import type { EngineCommand, CommandOutcome } from '../serving/deployment.js'
import type { ResponseHead } from '../serving/responseReader.js'
import { holdSchema, readBackend, readDeployment, readReport } from './wireSchemas.js'

// Differs for each attempt of a client, so it identifies a request and not a series of retries.
const requestIdHeader = 'x-attempt-id'
const deadlineHeader = 'x-deadline-ms'
const lastEventIdHeader = 'last-event-id'
const expectedBackendHeader = 'x-expect-instance'
// 0 to 9, where 0 runs first.
const urgencyHeader = 'x-request-urgency'
const highestUrgencyValue = 9

/** Headers that only the system sets; a client's own must not reach an engine. */
const systemHeaders = new Set([
  expectedBackendHeader, urgencyHeader, 'x-expect-version', 'x-hold', 'x-pin-ms', 'x-kv-backup', 'kv-from', 'kv-fetch'
])
/** Headers that concern one connection. */
const connectionHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect',
  'proxy-authenticate', 'proxy-authorization'
])

function text (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function wholeNumber (value: string | undefined): number | undefined {
  return value !== undefined && /^\d{1,15}$/.test(value.trim()) ? Number(value) : undefined
}

/** Parts that other requests share: all but the last, which belongs to the request or its session alone. */
function sharedPartsOf (parts: string | undefined): PromptPart[] {
  return (parts ?? '').split(',').slice(0, -1).map(part => {
    const [id, tokens] = part.split(':')
    return { id: id!.trim(), tokens: wholeNumber(tokens) ?? 0 }
  })
}

function readRequest (headers: Record<string, string | string[] | undefined>): RequestFacts {
  const [model, adapter] = (text(headers['x-model']) ?? '').split('/')
  const [promptTokens, maxOutputTokens] = (text(headers['x-token-count']) ?? '').split(',').map(part => wholeNumber(part))
  return {
    requestId: text(headers[requestIdHeader]),
    deadlineMs: wholeNumber(text(headers[deadlineHeader])),
    model: model || undefined,
    adapter: adapter || undefined,
    promptTokens: promptTokens ?? 0,
    outputTokens: wholeNumber(text(headers['x-length-hint'])) ?? maxOutputTokens ?? 0,
    sharedParts: sharedPartsOf(text(headers['x-prompt-prefix'])),
    lastEventId: wholeNumber(text(headers[lastEventIdHeader]))
  }
}

/** Names that a `Connection` header declares to concern one connection. */
function namedByConnection (rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]!.split(',')) names.add(name.trim().toLowerCase())
  }
  return names
}

function passedOn (rawHeaders: readonly string[], isDropped: (name: string) => boolean): string[] {
  const named = namedByConnection(rawHeaders)
  const result: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    // End-to-end headers stay even if a client names them in `Connection`.
    if (connectionHeaders.has(name) || isDropped(name) || (named.has(name) && !name.startsWith('x-') && !endToEndHeaders.has(name))) continue
    result.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return result
}

const endToEndHeaders = new Set(['host', 'content-length', 'content-type', lastEventIdHeader])

function forwardHeaders (rawHeaders: readonly string[], { backendId, deadlineMs, rank, lastEventId, holdId }: ForwardOptions): string[] {
  const headers = passedOn(rawHeaders, name => systemHeaders.has(name) || name === deadlineHeader ||
    name === 'content-length' || (name === lastEventIdHeader && lastEventId !== undefined))
  headers.push('X-Deadline-Ms', String(Math.max(1, Math.floor(deadlineMs))), 'X-Expect-Instance', backendId)
  if (rank !== undefined) headers.push('X-Request-Urgency', String(Math.min(highestUrgencyValue, rank)))
  if (lastEventId !== undefined) headers.push('Last-Event-Id', String(lastEventId))
  if (holdId !== undefined) headers.push('X-Hold', holdId)
  return headers
}

function readResponse ({ status, headers }: ResponseHead): ResponseFacts {
  return {
    requestId: headers.get(requestIdHeader),
    isSigned: headers.has('x-server-stamp'),
    isNotRun: headers.has('x-not-executed') || status === 421,
    isMisdirected: status === 421,
    isEncoded: (headers.get('content-encoding') ?? 'identity') !== 'identity'
  }
}

function returnHeaders (head: ResponseHead): string[] {
  return passedOn(head.rawHeaders, name => name === 'content-length')
}

function orderCall (backendId: string, order: EngineCommand): ControlCall {
  const { action, model, adapter, expectedCommandCount: expectedOrderCount, holder, fence } = order
  return {
    method: 'POST',
    path: '/order',
    headers: ['Content-Type', 'application/json', 'X-Expect-Instance', backendId],
    // `expected` is the number of orders that the engine has accepted so far.
    body: JSON.stringify({ op: action, model, adapter, expected: expectedOrderCount, holder, fence })
  }
}

function holdCall (backendId: string, tokens: number, ttlMs: number): ControlCall {
  return {
    method: 'POST',
    path: '/hold-take',
    headers: ['Content-Type', 'application/json', 'X-Expect-Instance', backendId],
    body: JSON.stringify({ tokens, ttl_ms: ttlMs })
  }
}

function readHold (text: string): string | Error {
  try {
    return holdSchema.parse(JSON.parse(text)).hold
  } catch (error) {
    return error as Error
  }
}

function dropHoldCall (backendId: string, holdId: string): ControlCall {
  return { method: 'DELETE', path: `/hold-drop/${encodeURIComponent(holdId)}`, headers: ['X-Expect-Instance', backendId], body: '' }
}

const orderOutcomes: Record<number, CommandOutcome> = {
  200: 'already-done', 202: 'started', 400: 'invalid', 409: 'conflict', 412: 'stale-fence', 421: 'gone'
}

export const codecs: Codecs = {
  readRequest,
  forwardHeaders,
  readResponse,
  returnHeaders,
  keys: { deployment: 'op/config', backends: 'servers/', own: 'teaselrill/' },
  readDeployment,
  readBackend,
  orderCall,
  readOrderOutcome: status => orderOutcomes[status] ?? 'unknown',
  holdCall,
  readHold,
  dropHoldCall,
  reportCall: { method: 'GET', path: '/report', headers: [], body: '' },
  readReport
}
