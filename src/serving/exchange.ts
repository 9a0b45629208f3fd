/** Sends one request to backend servers, one after the other, and streams the answer to the client. */

import type { ServerResponse } from 'node:http'
import { ByteBuffer } from '../base/byteBuffer.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import { stallMs } from '../policy/streamPatience.js'
import type { BackendConnection, Break } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'
import type { Codecs } from './codecs.js'
import { EventSplitter } from './eventStream.js'
import type { StreamEvent } from './eventStream.js'
import type { RelayRequest } from './relay.js'
import type { Reservation } from './reservation.js'
import type { ResponseHead } from './responseReader.js'

/** An idempotent request without an answer is sent elsewhere after this multiple of its objective. */
const idempotentStallFactor = 2
/** A longer answer that is no stream is given up: it is kept until it is complete. */
const maxAnswerBytes = 8 * 1024 * 1024
/** Answers up to this length are kept whatever else is kept. */
const smallAnswerBytes = 64 * 1024
/** Bytes of unfinished answers that this node keeps. */
const maxHeldBytes = 16 * 1024 * 1024
/** A stream that brings more bytes without a new event is given up. */
const maxStaleBytes = 1024 * 1024

export interface EngineAnswer {
  head: ResponseHead
  body: Buffer
}

/**
 * Returns a whole answer. One whose body ended with the server's connection ends with the client's too: a length
 * would claim that it is complete, which nothing proves.
 */
export function returnAnswer (response: ServerResponse, { head, body }: EngineAnswer, headers: string[]): void {
  if (head.endsWithConnection) {
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
    response.writeHead(head.status, head.statusText, [...headers, 'Connection', 'close'])
  } else {
    response.writeHead(head.status, head.statusText, [...headers, 'Content-Length', String(body.length)])
  }
  response.end(body)
}

/** A place at another server, and a repeat, for a request whose own server is silent. */
export interface Move {
  place: Reservation
  /** Whether the placement leader chose the server, or this node by itself. */
  chosenBy: 'leader' | 'node'
  /** Whether the request can still be sent there. */
  canBeMade (): boolean
  /** Gives back the place and the repeat. */
  release (): void
}

/** A move, or the time after which to look for one again. */
export type MoveSearch = { kind: 'reserved', move: Move } | { kind: 'none', retryAfterMs: number }

export type AttemptResult =
  /** The answer has been returned whole. */
  | { kind: 'done' }
  | { kind: 'client-left' }
  /** The server answered; for streams, with anything but a stream. */
  | { kind: 'answer', answer: EngineAnswer }
  /** Nothing was sent. */
  | { kind: 'unsent', reason: string }
  /** The server stated that it did not run the request. */
  | { kind: 'not-run', reason: string, isMisdirected: boolean }
  /** The request was sent and not answered whole. */
  | { kind: 'unknown', reason: string }
  | { kind: 'timeout', reason: string }
  /** The server was given up for another one, where a place is reserved. */
  | { kind: 'moved', reason: string, move: Move }

export class Exchange {
  readonly request: RelayRequest
  readonly response: ServerResponse
  readonly codecs: Codecs
  readonly clock: Clock
  hasClientLeft = false
  /** Whether a part of the answer has been returned. */
  hasBegun = false
  /** Whether any server may have begun to run the request. */
  mayHaveRun = false
  firstByteMs: number | undefined
  /** Longest pause between two events. */
  longestGapMs = 0
  /** When the last event was returned. */
  lastEventAtMs: number | undefined
  lastEventId: number | undefined
  /** Reserves a place at another server, if there is one. */
  readonly reserveMove: () => Promise<MoveSearch>
  private current: Attempt | undefined

  constructor ({ request, response, codecs, clock, reserveMove }: Pick<Exchange, 'request' | 'response' | 'codecs' | 'clock' | 'reserveMove'>) {
    this.reserveMove = reserveMove
    this.request = request
    this.response = response
    this.codecs = codecs
    this.clock = clock
    response.once('close', () => {
      if (response.writableFinished) return
      this.hasClientLeft = true
      this.current?.onClientLeft()
    })
    if (response.destroyed) this.hasClientLeft = true
  }

  /** Sends the request to `server`, on the connection of `place` if one is reserved there. */
  attempt (server: BackendServer, place?: Reservation): Promise<AttemptResult> {
    if (this.hasClientLeft) {
      place?.release()
      return Promise.resolve({ kind: 'client-left' })
    }
    return new Promise(resolve => {
      this.current = new Attempt(this, server, place, result => {
        this.current = undefined
        if (result.kind !== 'unsent' && result.kind !== 'not-run') this.mayHaveRun = true
        resolve(result)
      })
      this.current.start()
    })
  }

  onEventReturned (): void {
    const nowMs = this.clock.nowMs()
    if (this.lastEventAtMs !== undefined) this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastEventAtMs)
    this.lastEventAtMs = nowMs
  }

  /** Time since the last event, if there was one. */
  get silentMs (): number | undefined {
    return this.lastEventAtMs === undefined ? undefined : this.clock.nowMs() - this.lastEventAtMs
  }

  /** Closes the client's connection, so that the part that was returned does not look complete. */
  breakOff (): void {
    this.response.destroy()
  }
}

class Attempt {
  private readonly startedAtMs: number
  private readonly tokens: number
  private connection: BackendConnection | undefined
  private head: ResponseHead | undefined
  private isStreaming = false
  private readonly body = new ByteBuffer()
  private readonly splitter = new EventSplitter()
  /** Bytes since the last event that the client did not have. */
  private staleBytes = 0
  private isFinished = false
  private isPaused = false
  private hasFirstByte = false
  private lastProgressMs: number
  private cancelTimers: CancelTimer[] = []

  constructor (
    private readonly exchange: Exchange,
    private readonly server: BackendServer,
    private readonly place: Reservation | undefined,
    private readonly resolve: (result: AttemptResult) => void
  ) {
    this.startedAtMs = this.lastProgressMs = exchange.clock.nowMs()
    this.tokens = exchange.request.facts.promptTokens
  }

  start (): void {
    const { request, codecs, clock } = this.exchange
    const leftMs = request.deadlineAtMs - this.startedAtMs
    const headers = codecs.forwardHeaders(request.rawHeaders, {
      backendId: this.server.entry.id,
      deadlineMs: leftMs,
      rank: request.service.engine ? request.route.rank : undefined,
      lastEventId: this.exchange.lastEventId,
      holdId: this.place?.holdId
    })
    this.connection = this.place?.take() ?? this.server.pool.acquire()
    this.server.onStarted(request.facts.model, request.facts.adapter, this.tokens, request.route.rank)
    this.cancelTimers.push(clock.setTimer(leftMs, () => { void this.onDeadline() }))
    this.watchProgress()
    this.connection.send(request.method, encodeRequest(request, headers), {
      accepts: head => this.accepts(head),
      onHead: head => this.onHead(head),
      onData: data => this.onData(data),
      onEnd: () => this.onEnd(),
      onBroken: broken => this.onBroken(broken)
    })
  }

  onClientLeft (): void {
    this.abandon({ kind: 'client-left' })
  }

  /** The server's other responses belong to earlier requests on the connection. */
  private accepts (head: ResponseHead): boolean {
    const { requestId } = this.exchange.codecs.readResponse(head)
    const isOwn = requestId === this.exchange.request.facts.requestId
    return isOwn || (requestId === undefined && (head.status < 200 || head.status >= 300))
  }

  private onHead (head: ResponseHead): void {
    this.head = head
    this.progress()
    const { request, codecs } = this.exchange
    const facts = codecs.readResponse(head)
    const isSuccess = head.status >= 200 && head.status < 300
    if (isSuccess && (!facts.isSigned || facts.isEncoded)) return this.reject('the success is not signed by the server')
    this.isStreaming = isSuccess && request.route.kind === 'stream'
  }

  private onData (data: Buffer): void {
    if (!this.isStreaming) {
      this.progress()
      this.firstByte()
      return this.hold(data)
    }
    this.staleBytes += data.length
    this.onEvents(this.splitter.push(data))
    if (this.staleBytes > maxStaleBytes) this.reject('too many bytes came without a new event')
  }

  /** Keeps a part of an answer that is returned when it is complete. */
  private hold (data: Buffer): void {
    const bytes = this.body.length + data.length
    const isCrowded = bytes > smallAnswerBytes && this.server.buffered.bytes + data.length > maxHeldBytes
    if (bytes > maxAnswerBytes || isCrowded) return this.reject(`the answer is too large: ${bytes} bytes came`)
    this.body.push(data)
    this.server.buffered.bytes += data.length
  }

  /** Passes on the events that the client did not have, in one write: a read may hold thousands. */
  private onEvents (events: readonly StreamEvent[]): void {
    const { exchange } = this
    const passedOn: Buffer[] = []
    let gap: string | undefined
    for (const { id, bytes } of events) {
      if (id !== undefined) {
        const last = exchange.lastEventId ?? exchange.request.facts.lastEventId
        if (last !== undefined && id <= last) continue
        if (last !== undefined && id !== last + 1) {
          gap = `event ${id} follows event ${last}`
          break
        }
        exchange.lastEventId = id
        this.staleBytes = 0
        this.progress()
        this.firstByte()
        exchange.onEventReturned()
      }
      passedOn.push(bytes)
    }
    if (passedOn.length > 0) this.write(passedOn.length === 1 ? passedOn[0]! : Buffer.concat(passedOn))
    if (gap !== undefined) this.reject(gap)
  }

  private write (bytes: Buffer): void {
    const { exchange } = this
    const { response } = exchange
    if (!exchange.hasBegun) {
      exchange.hasBegun = true
      exchange.firstByteMs = exchange.clock.nowMs() - exchange.request.arrivedAtMs
      response.writeHead(this.head!.status, this.head!.statusText, exchange.codecs.returnHeaders(this.head!))
    }
    if (response.write(bytes) || this.isPaused) return
    const { connection } = this
    this.isPaused = true
    connection?.pause()
    response.once('drain', () => {
      this.isPaused = false
      this.progress()
      // The connection may carry another request by now.
      if (!this.isFinished) connection?.resume()
    })
  }

  private onEnd (): void {
    const { exchange } = this
    const facts = exchange.codecs.readResponse(this.head!)
    const { status } = this.head!
    if (facts.isNotRun) return this.finish(this.failure(''))
    if (!this.isStreaming) {
      if (status >= 500) this.server.onFailed()
      else this.server.onResponse(exchange.clock.nowMs() - this.startedAtMs)
      const answer = { head: this.head!, body: this.body.bytes }
      exchange.firstByteMs ??= exchange.clock.nowMs() - exchange.request.arrivedAtMs
      if (status >= 500 || exchange.hasBegun) return this.finish({ kind: 'answer', answer })
      returnAnswer(exchange.response, answer, exchange.codecs.returnHeaders(answer.head))
      return this.finish({ kind: 'done' })
    }
    if (this.splitter.remainder.length > 0) return this.finish({ kind: 'unknown', reason: 'the stream ended within an event' })
    if (!exchange.hasBegun) this.write(Buffer.alloc(0))
    exchange.response.end()
    this.finish({ kind: 'done' })
  }

  private onBroken ({ wasSent, isUnreachable, reason }: Break): void {
    if (isUnreachable) this.server.onUnreachable()
    else this.server.onFailed()
    if (!wasSent) return this.finish({ kind: 'unsent', reason })
    this.finish(this.failure(reason))
  }

  /** What an answer proves that is not whole. */
  private failure (reason: string): AttemptResult {
    const { facts: { model, adapter } } = this.exchange.request
    const facts = this.head && this.exchange.codecs.readResponse(this.head)
    if (!facts?.isNotRun) return { kind: 'unknown', reason }
    if (facts.isMisdirected) this.server.onMisdirected(model, adapter)
    return { kind: 'not-run', reason: `the backend server answered ${this.head!.status} and did not run the request`, isMisdirected: facts.isMisdirected }
  }

  /** Gives up on a server that sends what is no answer. */
  private reject (reason: string): void {
    if (this.isFinished) return
    this.server.onFailed()
    this.abandon(this.failure(reason))
  }

  private async onDeadline (): Promise<void> {
    // The answer may have come while this process did not run.
    await ioTurn()
    if (this.isFinished) return
    const { route } = this.exchange.request
    // A stream may be longer than its caller's patience.
    const isStalled = this.silentMs() > stallMs(route)
    if (!this.hasFirstByte || !this.isStreaming || isStalled) this.server.onFailed()
    this.abandon({ kind: 'timeout', reason: 'no complete answer before the deadline' })
  }

  /** Moves the request away from a server that went silent, once a place elsewhere is reserved. */
  private watchProgress (): void {
    const { route } = this.exchange.request
    const isRepeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
    if (!isRepeatable) return
    const limitMs = route.kind === 'idempotent' ? idempotentStallFactor * route.objectiveMs : stallMs(route)
    const checkAfter = (delayMs: number) => { this.cancelTimers.push(this.exchange.clock.setTimer(delayMs, () => { void check() })) }
    const check = async () => {
      if (this.silentMs() >= limitMs) {
        const retryAfterMs = await this.tryMove(limitMs)
        if (!this.isFinished) checkAfter(retryAfterMs)
      } else checkAfter(limitMs - this.silentMs() + 1)
    }
    checkAfter(limitMs)
  }

  /** Time without progress of the server. One that is not read because its client is slow is not silent. */
  private silentMs (): number {
    return this.isPaused ? 0 : this.exchange.clock.nowMs() - this.lastProgressMs
  }

  /** Returns the time after which to check again. */
  private async tryMove (limitMs: number): Promise<number> {
    // What came while this process did not run has to be read first.
    await ioTurn()
    if (this.isFinished || this.silentMs() < limitMs) return 0
    const search = await this.exchange.reserveMove()
    if (search.kind === 'none') return search.retryAfterMs
    const { move } = search
    const silentMs = this.silentMs()
    if (this.isFinished || silentMs < limitMs || !move.canBeMade()) {
      move.release()
      return 0
    }
    this.server.onFailed()
    // A server that says nothing to anybody is not only busy.
    if (this.exchange.clock.nowMs() - this.server.pool.lastByteAtMs > limitMs) this.server.onUnreachable()
    this.abandon({ kind: 'moved', reason: `no progress for ${Math.round(silentMs)} ms`, move })
    return 0
  }

  private progress (): void {
    this.lastProgressMs = this.exchange.clock.nowMs()
  }

  private firstByte (): void {
    if (this.hasFirstByte) return
    this.hasFirstByte = true
    this.server.onFirstByte(this.tokens)
    if (this.isStreaming) this.server.onResponse(this.exchange.clock.nowMs() - this.startedAtMs)
  }

  /** Ends the attempt and tells the server by closing the connection. */
  private abandon (result: AttemptResult): void {
    if (this.isFinished) return
    this.connection?.destroy()
    this.finish(result)
  }

  private finish (result: AttemptResult): void {
    if (this.isFinished) return
    this.isFinished = true
    for (const cancel of this.cancelTimers.splice(0)) cancel()
    this.server.buffered.bytes -= this.body.length
    if (!this.hasFirstByte) this.server.onFirstByte(this.tokens)
    this.server.onEnded(this.exchange.request.facts.model, this.exchange.request.facts.adapter)
    this.resolve(result)
  }
}

function encodeRequest ({ method, path, body }: RelayRequest, headers: readonly string[]): Buffer {
  let head = `${method} ${path} HTTP/1.1\r\n`
  for (let index = 0; index < headers.length; index += 2) head += `${headers[index]}: ${headers[index + 1]}\r\n`
  if (body.length > 0 || !bodilessMethods.has(method)) head += `Content-Length: ${body.length}\r\n`
  return Buffer.concat([Buffer.from(`${head}\r\n`, 'latin1'), body])
}

const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS'])
