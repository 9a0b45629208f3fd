/** Incremental HTTP/1.1 response parser. Unlike a client library, it reports how a response ended. */

import { isHeaderName, isHeaderText } from '../base/httpHeader.js'
import { isFinalStatus, isInterimStatus } from '../base/httpStatus.js'

/** Larger response heads and trailers are rejected. */
const maxHeadBytes = 64 * 1024
const maxChunkLineBytes = 1024
/**
 * Limit on the bytes besides the head and body of a response: interim responses, responses to other requests, trailers, and
 * chunk framing as far as it is larger than the content of its chunk.
 */
const maxExtraBytes = 1024 * 1024

export interface ResponseHead {
  status: number
  statusText: string
  /** Name, value, name, value, as received. */
  rawHeaders: string[]
  /** Values by lower-case name; repeated ones are joined. */
  headers: Map<string, string>
  /** Whether the server keeps the connection open after this response. */
  keepsAlive: boolean
  /** Whether the body has no length and is delimited by the close of the connection. */
  endsWithConnection: boolean
  /** Whether the body comes in chunks. */
  isChunked: boolean
  /** Whether there is no body, whatever length the head states. */
  isBodiless: boolean
}

export interface ResponseSink {
  /** Returns whether the response belongs to the request; others are skipped. */
  accepts? (head: ResponseHead): boolean
  onHead (head: ResponseHead): void
  onData (data: Buffer): void
  /** The response is complete. `leftover` are the bytes after it, which belong to no request. */
  onEnd (leftover: Buffer): void
  /** The bytes are not a valid response, or a limit was exceeded. */
  onInvalid (reason: string): void
}

type State = 'head' | 'length' | 'chunk-line' | 'chunk-data' | 'chunk-end' | 'trailers' | 'until-close' | 'done'

const empty = Buffer.alloc(0)
/** Parses the responses of one connection, one after the other. */
export class ResponseReader {
  private state: State = 'head'
  private pending: Buffer = empty
  private remainingBytes = 0
  private withoutBody = false
  /** Whether the current response was not accepted by `accepts`. */
  private isSkipping = false
  private extraBytes = 0

  constructor (private readonly sink: ResponseSink) {}

  /** Prepares for the response to a request of `method`. */
  expect (method: string): void {
    this.state = 'head'
    this.pending = empty
    this.withoutBody = method === 'HEAD'
    this.isSkipping = false
    this.extraBytes = 0
  }

  /** Whether the current body has no length and is delimited by the close of the connection. */
  get endsWithConnection (): boolean {
    return this.state === 'until-close' && !this.isSkipping
  }

  /** Bytes of an incomplete head, chunk line or trailer. */
  get pendingBytes (): number {
    return this.pending.length
  }

  push (input: Buffer): void {
    let data = this.pending.length > 0 ? Buffer.concat([this.pending, input]) : input
    this.pending = empty
    while (data.length > 0) {
      const rest = this.step(data)
      if (rest === undefined) return
      if (rest === data) {
        this.pending = data
        return
      }
      data = rest
    }
  }

  /** To be called when the server closed its side without an error. Returns whether that completes the response. */
  close (): boolean {
    if (!this.endsWithConnection) return false
    this.finish(empty)
    return true
  }

  /** Returns the unconsumed part of `data`, `data` itself if more bytes are needed, or `undefined` at the end. */
  private step (data: Buffer): Buffer | undefined {
    switch (this.state) {
      case 'head': return this.readHead(data)
      case 'length':
      case 'chunk-data': return this.readCounted(data)
      case 'chunk-line': return this.readChunkLine(data)
      case 'chunk-end': return this.readChunkEnd(data)
      case 'trailers': return this.readTrailers(data)
      case 'until-close': return this.onData(data) ? empty : undefined
      case 'done': return undefined
    }
  }

  private readHead (data: Buffer): Buffer | undefined {
    const end = data.indexOf('\r\n\r\n')
    if (end === -1) {
      if (data.length > maxHeadBytes) return this.invalid('the response head is too large')
      if (data.length >= 5 && data.toString('latin1', 0, 5) !== 'HTTP/') return this.invalid('the bytes are not an HTTP response')
      return data
    }
    const head = parseHead(data.toString('latin1', 0, end))
    if (typeof head === 'string') return this.invalid(head)
    const rest = data.subarray(end + 4)
    if (isInterimStatus(head.status)) return this.addExtra(end + 4) ? rest : undefined
    if (!isFinalStatus(head.status)) return this.invalid(`the status ${head.status} is invalid`)
    const framing = framingOf(head, this.withoutBody)
    if (typeof framing === 'string') return this.invalid(framing)
    if (framing.state === 'done') head.isBodiless = true
    if (framing.state === 'chunk-line') head.isChunked = true
    if (framing.state === 'until-close') Object.assign(head, { keepsAlive: false, endsWithConnection: true })
    this.state = framing.state
    this.remainingBytes = framing.bytes
    this.isSkipping = !(this.sink.accepts?.(head) ?? true)
    if (!this.isSkipping) this.sink.onHead(head)
    else if (!this.addExtra(end + 4)) return undefined
    if (this.state === 'done') return this.finish(rest)
    return this.state === 'length' && this.remainingBytes === 0 ? this.finish(rest) : rest
  }

  private readCounted (data: Buffer): Buffer | undefined {
    const part = data.subarray(0, this.remainingBytes)
    this.remainingBytes -= part.length
    const rest = data.subarray(part.length)
    const isLast = this.remainingBytes === 0
    const wasChunk = this.state === 'chunk-data'
    if (isLast && wasChunk) this.state = 'chunk-end'
    if (!this.onData(part)) return undefined
    return isLast && !wasChunk ? this.finish(rest) : rest
  }

  private readChunkLine (data: Buffer): Buffer | undefined {
    const end = data.indexOf('\r\n')
    if (end === -1) return data.length > maxChunkLineBytes ? this.invalid('the chunk size line is too long') : data
    const size = data.toString('latin1', 0, end).split(';')[0]!.trim()
    if (!/^[0-9a-fA-F]{1,8}$/.test(size)) return this.invalid('the chunk size is not a number')
    this.remainingBytes = parseInt(size, 16)
    this.state = this.remainingBytes === 0 ? 'trailers' : 'chunk-data'
    const frameBytes = end + 4
    if (!this.addExtra(this.isSkipping ? frameBytes : Math.max(0, frameBytes - this.remainingBytes))) return undefined
    return data.subarray(end + 2)
  }

  private readChunkEnd (data: Buffer): Buffer | undefined {
    if (data.length < 2) return data
    if (data[0] !== 13 || data[1] !== 10) return this.invalid('a chunk is not followed by CRLF')
    this.state = 'chunk-line'
    return data.subarray(2)
  }

  private readTrailers (data: Buffer): Buffer | undefined {
    const end = data.indexOf('\r\n')
    if (end === -1) return data.length > maxHeadBytes ? this.invalid('the trailers are too large') : data
    const rest = data.subarray(end + 2)
    if (end === 0) return this.finish(rest)
    return this.addExtra(end + 2) ? rest : undefined
  }

  /** Returns false if the skipped bytes exceed the limit. */
  private onData (data: Buffer): boolean {
    if (this.isSkipping) return this.addExtra(data.length)
    this.sink.onData(data)
    return true
  }

  private addExtra (bytes: number): boolean {
    this.extraBytes += bytes
    if (this.extraBytes <= maxExtraBytes) return true
    this.invalid('too many bytes were received besides the response')
    return false
  }

  private finish (leftover: Buffer): Buffer | undefined {
    if (this.isSkipping) {
      this.state = 'head'
      this.isSkipping = false
      return leftover
    }
    this.state = 'done'
    this.sink.onEnd(leftover)
    return undefined
  }

  private invalid (reason: string): undefined {
    this.state = 'done'
    this.sink.onInvalid(reason)
    return undefined
  }
}

/** Returns the parsed head, or the reason why it is invalid. */
function parseHead (text: string): ResponseHead | string {
  const lines = text.split('\r\n')
  const match = /^HTTP\/1\.([01]) (\d{3})(?: (.*))?$/.exec(lines[0]!)
  if (!match || !isHeaderText(match[3] ?? '')) return 'the status line is invalid'
  const rawHeaders: string[] = []
  const headers = new Map<string, string>()
  for (const line of lines.slice(1)) {
    const colon = line.indexOf(':')
    const name = line.slice(0, Math.max(0, colon))
    const value = line.slice(colon + 1).trim()
    if (!isHeaderName(name) || !isHeaderText(value)) return 'a header line is invalid'
    rawHeaders.push(name, value)
    const key = name.toLowerCase()
    const earlier = headers.get(key)
    headers.set(key, earlier === undefined ? value : `${earlier}, ${value}`)
  }
  const connection = (headers.get('connection') ?? '').toLowerCase()
  const keepsAlive = match[1] === '1' ? !/\bclose\b/.test(connection) : /\bkeep-alive\b/.test(connection)
  return { status: Number(match[2]), statusText: match[3] ?? '', rawHeaders, headers, keepsAlive, endsWithConnection: false, isChunked: false, isBodiless: false }
}

function framingOf (head: ResponseHead, withoutBody: boolean): { state: State, bytes: number } | string {
  const encoding = head.headers.get('transfer-encoding')
  const length = head.headers.get('content-length')
  if (withoutBody || head.status === 204 || head.status === 304) return { state: 'done', bytes: 0 }
  if (encoding !== undefined) {
    if (length !== undefined) return 'the response has both a length and a transfer encoding'
    return encoding.toLowerCase() === 'chunked' ? { state: 'chunk-line', bytes: 0 } : `the transfer encoding "${encoding}" is not supported`
  }
  if (length === undefined) return { state: 'until-close', bytes: 0 }
  return /^\d{1,12}$/.test(length) ? { state: 'length', bytes: Number(length) } : 'the content length is not a number'
}
