/** One HTTP call to an external system, with the error classes of `base/errors`. */

import type { Dispatcher } from 'undici'
import { z } from 'zod'
import { ByteBuffer } from '../base/byteBuffer.js'
import { withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { isFinalStatus } from '../base/httpStatus.js'
import { CallError, FailedError, messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { limitedConnect } from './limitedConnect.js'
import { Agent } from './undici.js'

/** Longer answers are given up. */
const maxAnswerBytes = 16 * 1024 * 1024
/** An answer with its head and framing. */
const maxWireBytes = maxAnswerBytes + 2 * 1024 * 1024
/** The longest streams, of some hundred thousand tokens, stay below. */
const maxStreamBytes = 64 * 1024 * 1024
const connectTimeoutMs = 5000
const statusesWithoutBody = new Set([204, 304])

/** Time limits come from `Clock`, so undici's own are off. */
const noTimeouts = { headersTimeout: 0, bodyTimeout: 0 } as const
/** For answers that are read while they come. */
export const streamAgentOptions = { ...noTimeouts, connect: limitedConnect({ timeoutMs: connectTimeoutMs, maxBytes: maxStreamBytes }) } as const
/** For answers that are read whole. */
export const callAgentOptions = { ...noTimeouts, connect: limitedConnect({ timeoutMs: connectTimeoutMs, maxBytes: maxWireBytes }) } as const
/** A call that brings more interim responses is given up. */
const maxInterimResponses = 100

/** The cause of the error when an answer is too long: asked for again, it will be as long. */
export class AnswerTooLongError extends Error {}

/**
 * The whole body. Throws when it is too long, and closes the connection, when the status is invalid, or when it has neither a length nor chunks: the connection of
 * a process that is killed closes in order, as at the end of such a body.
 */
export async function readWhole (
  { statusCode, headers, body }: Pick<Dispatcher.ResponseData, 'statusCode' | 'headers'> & { body: AsyncIterable<Uint8Array> }, { method }: { method: string }
): Promise<Uint8Array> {
  const whole = new ByteBuffer()
  for await (const part of body) {
    if (whole.length + part.length > maxAnswerBytes) throw new AnswerTooLongError(`the answer is longer than ${maxAnswerBytes} bytes`)
    whole.push(part)
  }
  if (!isFinalStatus(statusCode)) throw new Error(`the status ${statusCode} is invalid`)
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
  if (!isFramed && method !== 'HEAD' && !statusesWithoutBody.has(statusCode)) throw new Error('the answer has neither a length nor chunks, so its end cannot be told from the end of its sender')
  return whole.bytes
}

// These errors occur before a connection exists, or in a client that was closed before it wrote the request.
const notRunCodes = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'
])

/** The error class that `error` of undici proves. A reset may follow the request's bytes, so it is unknown. */
export function mapNetworkError (target: string, error: unknown): CallError {
  if (error instanceof CallError) return error
  const code = (error as { code?: string } | undefined)?.code ?? ''
  if (notRunCodes.has(code)) return new NotRunError(target, `no connection: ${messageOf(error)}`, { cause: error })
  return new UnknownOutcomeError(target, messageOf(error), { cause: error })
}

/** Header in which a caller names the request, and the server repeats it in the answer. */
export const requestIdHeader = 'x-request-id'

/**
 * Throws `UnknownOutcomeError` if the answer names another request, or none although `isNameExpected`: a server may send an
 * earlier answer once more.
 */
export function checkAnswers (
  target: string, headers: Record<string, string | string[] | undefined>, requestId: string, { isNameExpected }: { isNameExpected: boolean }
): void {
  const answered = headers[requestIdHeader]
  if (answered !== requestId && (answered !== undefined || isNameExpected)) throw new UnknownOutcomeError(target, `the answer names ${answered === undefined ? 'no request' : 'another request'}`)
}

/** Throws `NotRunError` for a 503 with `x-not-run: true`, with the time of `retry-after`. */
export function checkNotRun (target: string, status: number, headers: Record<string, string | string[] | undefined>, text = ''): void {
  if (status !== 503 || headers['x-not-run'] !== 'true') return
  const error = new NotRunError(target, text || 'refused before execution')
  const retryAfterSeconds = Number(headers['retry-after'])
  if (retryAfterSeconds > 0) error.retryAfterMs = retryAfterSeconds * 1000
  throw error
}

/** Throws `NotRunError` if `signal` aborted before anything was sent. */
export function checkNotAborted (target: string, signal: AbortSignal | undefined): void {
  if (signal?.aborted) throw new NotRunError(target, 'aborted before the call')
}

export interface HttpCallOptions {
  method?: Dispatcher.HttpMethod
  body?: unknown
  timeoutMs: number
  signal?: AbortSignal
  /** The answer must not name another request. */
  requestId?: string
  /** Replaces the caller's own connections. */
  dispatcher?: Dispatcher
}

export interface HttpAnswer {
  status: number
  headers: Record<string, string | string[] | undefined>
  text: string
}

/** JSON calls to one address. */
export class HttpCaller {
  readonly agent = new Agent(callAgentOptions)

  constructor (readonly target: string, readonly address: string, private readonly clock: Clock) {}

  /** The parsed body of a successful answer; `undefined` for an empty one. */
  async json (path: string, options: HttpCallOptions): Promise<unknown> {
    const { status, headers, text } = await this.answer(path, options)
    if (options.requestId !== undefined) checkAnswers(this.target, headers, options.requestId, { isNameExpected: false })
    checkNotRun(this.target, status, headers, text)
    if (status >= 300) throw new FailedError(this.target, `${options.method ?? 'GET'} ${path} answered ${status}: ${text}`)
    try {
      return text === '' ? undefined : JSON.parse(text)
    } catch (error) {
      throw mapNetworkError(this.target, error)
    }
  }

  /** The whole answer, whatever its status. */
  async answer (path: string, { method = 'GET', body, timeoutMs, signal, requestId, dispatcher = this.agent }: HttpCallOptions): Promise<HttpAnswer> {
    const excess = new AbortController()
    let interimResponses = 0
    try {
      return await withTimeout(this.clock, timeoutMs, async timeoutSignal => {
        const answer = await dispatcher.request({
          origin: `http://${this.address}`,
          path,
          method,
          signal: AbortSignal.any([timeoutSignal, excess.signal, ...(signal ? [signal] : [])]),
          onInfo: () => { if (++interimResponses > maxInterimResponses) excess.abort(new Error('too many interim responses came')) },
          headers: { ...(body === undefined ? {} : { 'content-type': 'application/json' }), ...(requestId === undefined ? {} : { [requestIdHeader]: requestId }) },
          body: body === undefined ? null : JSON.stringify(body)
        })
        return { status: answer.statusCode, headers: answer.headers, text: new TextDecoder().decode(await readWhole(answer, { method })) }
      }, { action: `${method} ${path} at ${this.address}` })
    } catch (error) {
      throw mapNetworkError(this.target, error)
    }
  }

  /** The answer checked against `schema`. An answer of another shape proves nothing. */
  async parsed<T> (schema: z.ZodType<T>, path: string, options: HttpCallOptions): Promise<T> {
    const result = schema.safeParse(await this.json(path, options))
    if (result.success) return result.data
    throw new UnknownOutcomeError(this.target, `${path} answered in an unknown shape: ${z.prettifyError(result.error)}`)
  }

  close (): Promise<void> {
    return this.agent.destroy()
  }
}
