/** Forwards one request to backend servers, one attempt after the other, and streams the response to the client. */

import { ByteBuffer } from '../base/byteBuffer.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import { hasForeignHead } from '../policy/foreignHead.js'
import { stallTimeoutMs } from '../policy/streamPatience.js'
import { StreamPosition } from '../policy/streamPosition.js'
import { hasGoneOn } from '../policy/partQuarantine.js'
import { AttemptSample } from './attemptSample.js'
import type { BackendConnection, ExchangeFailure } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'
import type { ClientLimit, ClientMemory } from './clientMemory.js'
import { isEventStream, maxUnframedBytes, mediaTypeOf } from './clientExchange.js'
import type { BackendResponse, ResponseWriter } from './clientExchange.js'
import type { Codecs } from './codecs.js'
import { EventSplitter } from './eventStream.js'
import type { StreamEvent } from './eventStream.js'
import type { LearnedCapacity } from './learnedCapacity.js'
import type { ProxiedRequest } from './requestProxy.js'
import type { Reservation } from './reservation.js'
import type { ResponseHead } from './responseReader.js'
import type { Assignment } from './serverSelection.js'

/** Statuses that promise clients that their request did not run. */
const promisingStatuses = new Set([408, 421, 429, 503])
/** An idempotent request without a response fails over to another server after this multiple of its objective. */
const idempotentStallFactor = 2
/** Largest response that is not a stream: it is buffered until it is complete. */
const maxResponseBytes = 8 * 1024 * 1024
/** A stream is abandoned after this many bytes without a new event. */
const maxStaleBytes = 1024 * 1024

/** A reserved slot on another server, and a reserved retry, for a request whose server is unresponsive. */
export interface FailoverTarget {
  reservation: Reservation
  /** Whether the placement leader or this node chose the server. */
  chosenBy: 'leader' | 'queue' | 'node'
  /** Prefill time that the leader expected with a delay factor of 1. */
  priorMs: number | undefined
  /** What the placement leader has reserved; absent if this node chose the server. */
  assignment: Assignment | undefined
  /** Whether the request can still be sent to the server. */
  isUsable (): boolean
  /** Releases the slot and returns the retry to the budget. */
  release (): void
}

/** A failover target, or the time until the next search. */
export type FailoverSearch = { kind: 'reserved', target: FailoverTarget } | { kind: 'none', retryAfterMs: number }

export type AttemptResult =
  /** The complete response was sent to the client. */
  | { kind: 'done' }
  /** With `reason`, this node gave its client up. */
  | { kind: 'client-left', reason?: string }
  /** A complete response that was not sent to the client: status 500 or above, or no stream although the stream had started. */
  | { kind: 'answer', response: BackendResponse }
  /** No byte of the request was sent. */
  | { kind: 'unsent', reason: string }
  /** The server stated that it did not run the request. */
  | { kind: 'not-run', reason: string, isMisdirected: boolean }
  /** The request was sent and no complete response was received. With `isNoRoom`, this node had no room for it. */
  | { kind: 'unknown', reason: string, isConnectionLost?: boolean, isEndUnproved?: boolean, isNoRoom?: boolean }
  | { kind: 'timeout', reason: string }
  /** The server was abandoned for a failover target. */
  | { kind: 'moved', reason: string, target: FailoverTarget }

/** What is known of the answer to the last attempt. */
interface AnswerSummary {
  sentAtMs: number
  /** Whether the server had begun to answer: it has read the prompt. */
  hasBegun: boolean
  /** Events that were sent to the client. */
  events: number
  /** Time from the first of them to the end of the attempt. */
  writingMs: number | undefined
  /** Whether the response had neither a length nor chunks. */
  isUnframed: boolean
}

export class RequestForwarder {
  readonly request: ProxiedRequest
  readonly writer: ResponseWriter
  readonly codecs: Codecs
  readonly clock: Clock
  hasClientLeft = false
  /** Whether a part of the response has been sent to the client. */
  hasResponseStarted = false
  /** Content type of the response that has been started. */
  contentType: string | undefined
  /** Whether any server may have started to run the request. */
  mayHaveRun = false
  firstByteMs: number | undefined
  /** Longest pause between two events. */
  longestGapMs = 0
  /** Time at which the last event was sent to the client. */
  lastEventAtMs: number | undefined
  lastEventId: bigint | undefined
  /** What the client has of the stream. */
  readonly position: StreamPosition<StreamEvent>
  /** Whether the last attempt that brought anything ended in order, or fell silent, after a whole event: its client may have the whole stream. */
  mayBeAtEnd = false
  /** Reserves a failover target, if there is one or if one becomes free while `isNeeded` holds. */
  readonly reserveMove: (isNeeded: () => boolean) => Promise<FailoverSearch>
  lastAnswer: AnswerSummary = { sentAtMs: 0, hasBegun: false, events: 0, writingMs: undefined, isUnframed: false }
  /** Called once for each attempt whose answer has gone on beyond its beginning, with the time at which it was sent. */
  readonly onGoneOn: (sentAtMs: number) => void
  /** Called before the first byte of a stream is sent to the client, with the server that brought it. */
  readonly onBegun: (server: BackendServer) => void
  /** Takes samples of the servers; absent where capacity is not learned. */
  readonly learned: LearnedCapacity | undefined
  readonly memory: ClientMemory
  /** Whether a server has sent another response in the middle of this request's. */
  hasFoundForeignHead = false
  private current: Attempt | undefined
  /** Bytes of a stream that wait in this process for the client to read. */
  private unreadBytes = 0

  constructor (
    { request, writer, codecs, clock, memory, reserveMove, onGoneOn, onBegun, learned }: Pick<RequestForwarder, 'request' | 'writer' | 'codecs' | 'clock' | 'memory' | 'reserveMove' | 'onGoneOn' | 'onBegun' | 'learned'>
  ) {
    this.memory = memory
    this.reserveMove = reserveMove
    this.onGoneOn = onGoneOn
    this.onBegun = onBegun
    this.learned = learned
    this.request = request
    this.position = new StreamPosition(request.metadata.lastEventId)
    this.writer = writer
    this.codecs = codecs
    this.clock = clock
    const { response } = writer
    response.on('drain', () => {
      this.countUnread()
      this.current?.onClientReady()
    })
    response.once('close', () => {
      this.countUnread(0)
      if (response.writableFinished) return
      this.hasClientLeft = true
      this.current?.onClientLeft()
    })
    if (response.destroyed) this.hasClientLeft = true
  }

  /** Sends the request to `server`, on the connection of `reservation` if there is one. `priorMs` is the prefill time that the leader expected with a delay factor of 1. */
  attempt (server: BackendServer, reservation?: Reservation, priorMs?: number): Promise<AttemptResult> {
    if (this.hasClientLeft) {
      reservation?.release()
      return Promise.resolve({ kind: 'client-left' })
    }
    return new Promise(resolve => {
      this.current = new Attempt(this, server, reservation, priorMs, result => {
        this.current = undefined
        if (result.kind !== 'unsent' && result.kind !== 'not-run') this.mayHaveRun = true
        resolve(result)
      })
      this.current.start()
    })
  }

  /** Counts what the client has not read of the stream. Returns false, and gives the client up, if it is too much. */
  countUnread (bytes = this.writer.response.writableLength): boolean {
    const isHeld = this.memory.budget.resize(this.unreadBytes, bytes)
    if (isHeld) this.unreadBytes = bytes
    else this.giveUpClient('response-memory')
    return isHeld
  }

  /** Gives the client up if it reads nothing of the complete response for some time. */
  onResponseEnded (): void {
    const { writer: { response }, memory: { limits } } = this
    if (!response.writableFinished) response.setTimeout(limits.responseStallMs, () => this.giveUpClient('response-stall'))
  }

  private giveUpClient (limit: ClientLimit): void {
    if (this.writer.response.destroyed) return
    this.memory.onLimit(limit, this.request.metadata.requestId)
    this.hasClientLeft = true
    this.writer.abort()
  }

  onEventForwarded (): void {
    const nowMs = this.clock.nowMs()
    if (this.lastEventAtMs !== undefined) this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastEventAtMs)
    this.lastEventAtMs = nowMs
  }

  /** Resolves after `delayMs`, or when the client has left. */
  untilLeft (delayMs: number): Promise<void> {
    const { clock, writer: { response } } = this
    return new Promise(resolve => {
      const done = () => {
        cancel()
        response.off('close', done)
        resolve()
      }
      const cancel = clock.setTimer(delayMs, done)
      response.once('close', done)
    })
  }

  /** Time since the last event, if there was one. */
  get sinceLastEventMs (): number | undefined {
    return this.lastEventAtMs === undefined ? undefined : this.clock.nowMs() - this.lastEventAtMs
  }

  /** Ends an attempt whose answer has not started, as one that may have run. */
  abandon (reason: string): void {
    if (!this.hasResponseStarted) this.current?.onAbandoned(reason)
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
  /** Bytes received since the last new event. */
  private staleBytes = 0
  private heldBytes = 0
  private isFinished = false
  private hasFirstByte = false
  private events = 0
  private hasEventsWithoutId = false
  private firstEventAtMs: number | undefined
  private hasGoneOn = false
  private lastProgressMs: number
  private cancelTimers: CancelTimer[] = []
  private sample: AttemptSample | undefined

  constructor (
    private readonly forwarder: RequestForwarder,
    private readonly server: BackendServer,
    private readonly reservation: Reservation | undefined,
    private readonly priorMs: number | undefined,
    private readonly resolve: (result: AttemptResult) => void
  ) {
    this.startedAtMs = this.lastProgressMs = forwarder.clock.nowMs()
    this.tokens = forwarder.request.metadata.promptTokens
  }

  start (): void {
    const { request, codecs, clock } = this.forwarder
    const leftMs = request.deadlineAtMs - this.startedAtMs
    const headers = codecs.forwardHeaders(request.rawHeaders, {
      backendId: this.server.entry.id,
      deadlineMs: leftMs,
      rank: request.service.engine ? request.rank : undefined,
      lastEventId: this.forwarder.lastEventId,
      reservationId: this.reservation?.holdId,
      account: request.account?.name
    })
    this.connection = this.reservation?.claimConnection() ?? this.server.pool.acquire(request.metadata.requestId, { isUnused: this.needsUnusedConnection })
    const { learned, hasResponseStarted: isContinuation } = this.forwarder
    if (learned) this.sample = new AttemptSample({ clock, learned, server: this.server, request, priorMs: this.priorMs, isContinuation })
    this.server.heldTokens += this.tokens + request.metadata.outputTokens
    this.server.onStarted(request.metadata.model, request.metadata.adapter, this.tokens, request.rank)
    this.cancelTimers.push(clock.setTimer(leftMs, () => { void this.onDeadline() }))
    this.watchProgress()
    this.connection.send(request.method, encodeRequest(request, headers), {
      accepts: (head, { isFirst }) => this.accepts(head, isFirst),
      onHead: head => this.onHead(head),
      onData: data => this.onData(data),
      onEnd: () => this.onEnd(),
      onFailure: failure => this.onConnectionFailure(failure)
    }, { requestId: request.metadata.requestId, isRepeatable: isRepeatable(request) })
  }

  /** Whether an earlier response in the middle of this one might not be noticed. */
  private get needsUnusedConnection (): boolean {
    const { hasFoundForeignHead, request } = this.forwarder
    return hasFoundForeignHead || (request.route.kind === 'stream' && !this.server.framing.hasChunkedStreams)
  }

  onClientLeft (): void {
    this.abandon({ kind: 'client-left' })
  }

  /** The client has read what was held for it. */
  onClientReady (): void {
    this.recordProgress()
  }

  onAbandoned (reason: string): void {
    this.abandon({ kind: 'unknown', reason })
  }

  /** Whether the response belongs to this request. A failure without an ID does only if it cannot belong to an earlier request. */
  private accepts (head: ResponseHead, isFirst: boolean): boolean {
    const { requestId } = this.forwarder.codecs.readResponse(head)
    const isOwn = requestId === this.forwarder.request.metadata.requestId
    return isOwn || (isFirst && requestId === undefined && (head.status < 200 || head.status >= 300))
  }

  private onHead (head: ResponseHead): void {
    this.head = head
    this.recordProgress()
    const { request, codecs } = this.forwarder
    const metadata = codecs.readResponse(head)
    this.server.onNotice(metadata)
    const isSuccess = head.status >= 200 && head.status < 300
    if (isSuccess && (!metadata.isSigned || metadata.isEncoded)) return this.reject('the successful response is not signed or its body is encoded')
    const { hasResponseStarted, writer } = this.forwarder
    const isSentAtOnce = hasResponseStarted || (!head.endsWithConnection && writer.canChunk) || isEventStream(head)
    this.isStreaming = isSuccess && request.route.kind === 'stream' && isSentAtOnce
    if (isSuccess && request.route.kind === 'stream' && !head.isBodiless) this.server.framing.onStream(head)
    if (!this.isStreaming) return
    this.forwarder.position.begin({ isContinuation: this.forwarder.hasResponseStarted })
    if (!this.forwarder.hasResponseStarted) return
    this.splitter.dropsByteOrderMark = true
    const contentType = mediaTypeOf(head)
    if (contentType !== this.forwarder.contentType) this.reject(`the content type ${contentType} does not continue the stream`)
  }

  private onData (data: Buffer): void {
    if (!this.isStreaming) {
      this.recordProgress()
      this.recordFirstByte()
      return this.bufferBody(data)
    }
    this.staleBytes += data.length
    const events = this.splitter.push(data)
    if (events.some(({ bytes }) => this.holdsForeignHead(bytes))) return this.onForeignHead()
    if (events.length > 0) this.forward(events.flatMap(event => this.forwarder.position.take(event)))
    const undecidedBytes = this.forwarder.position.hasHeld ? this.staleBytes : this.splitter.pendingBytes
    if (!this.hold(undecidedBytes + this.forwarder.writer.heldBytes)) this.onNoRoom()
    if (this.staleBytes > maxStaleBytes) this.reject('too many bytes were received without a new event')
  }

  /**
   * Whether another response begins in `bytes` of this one: an earlier one, or this one once more. In chunks, too: a copy between the size
   * line of a chunk and its data passes for data up to the chunk's end.
   */
  private holdsForeignHead (bytes: Buffer): boolean {
    const { head, connection } = this
    const { isReused = false, hasCarriedCalls = false } = connection ?? {}
    const { isChunked, endsWithConnection } = head!
    // Prose may follow a quoted status line; the lines of an event have the form of headers.
    const mayHoldCutCopy = endsWithConnection || (isReused && !isChunked)
    return hasForeignHead(bytes, {
      namesRequest: headers => this.forwarder.codecs.readResponse({ ...head!, headers }).requestId !== undefined,
      mayNameNone: !isChunked && isReused && hasCarriedCalls,
      mayBeCutAfter: this.isStreaming ? 'status line' : mayHoldCutCopy ? 'header' : undefined
    })
  }

  private onForeignHead (): void {
    this.forwarder.hasFoundForeignHead = true
    this.reject('another response begins in the middle of the response')
  }

  /** Buffers a part of a response that is sent to the client when it is complete. */
  private bufferBody (data: Buffer): void {
    const bytes = this.body.length + data.length
    if (this.head!.endsWithConnection && bytes > maxUnframedBytes) return this.reject(`the response has neither a length nor chunks and more than ${maxUnframedBytes} bytes`)
    if (bytes > maxResponseBytes) return this.reject(`the response is too large: ${bytes} bytes received`)
    if (!this.hold(bytes)) return this.onNoRoom()
    this.body.push(data)
  }

  /** Counts the bytes of the response that this node holds. Returns false if they are too many. */
  private hold (bytes: number): boolean {
    if (this.isFinished) return true
    const isHeld = this.server.buffered.resize(this.heldBytes, bytes)
    if (isHeld) this.heldBytes = bytes
    return isHeld
  }

  /** Abandons the attempt without a fault of its server. */
  private onNoRoom (reason = 'this node holds too much for its clients'): void {
    const { memory, request } = this.forwarder
    memory.onLimit('response-memory', request.metadata.requestId)
    const result = this.failure(reason)
    this.abandon(result.kind === 'unknown' ? { ...result, isNoRoom: true } : result)
  }

  /** Releases the bytes; those of a response for the client only when it has read them or left. */
  private releaseHeld (result: AttemptResult): void {
    const { heldBytes, server: { buffered }, forwarder: { writer: { response } } } = this
    const isForClient = !this.isStreaming && (result.kind === 'done' || result.kind === 'answer')
    if (isForClient && !response.destroyed) response.once('close', () => buffered.resize(heldBytes, 0))
    else buffered.resize(heldBytes, 0)
  }

  /** Sends events to the client. */
  private forward (events: readonly StreamEvent[]): void {
    const { forwarder } = this
    if (events.length === 0) return
    for (const { id, isComment } of events) {
      if (id === undefined) {
        if (!isComment) this.hasEventsWithoutId = true
        continue
      }
      forwarder.lastEventId = id
      this.staleBytes = 0
      this.recordProgress()
      this.recordFirstByte()
      forwarder.onEventForwarded()
      this.sample?.onEvent()
      this.events++
      this.firstEventAtMs ??= forwarder.clock.nowMs()
      if (hasGoneOn({ events: this.events, writingMs: this.writingMs })) this.recordGoneOn()
    }
    this.write(events)
  }

  private get writingMs (): number | undefined {
    return this.firstEventAtMs === undefined ? undefined : this.forwarder.clock.nowMs() - this.firstEventAtMs
  }

  private recordGoneOn (): void {
    if (this.hasGoneOn) return
    this.hasGoneOn = true
    this.forwarder.onGoneOn(this.startedAtMs)
  }

  private write (events: readonly StreamEvent[]): void {
    const { forwarder } = this
    const { writer } = forwarder
    if (!forwarder.hasResponseStarted) {
      forwarder.hasResponseStarted = true
      forwarder.onBegun(this.server)
      forwarder.firstByteMs = forwarder.clock.nowMs() - forwarder.request.arrivedAtMs
      forwarder.contentType = mediaTypeOf(this.head!)
      writer.beginStream(this.head!, forwarder.codecs.returnHeaders(this.head!))
    }
    if (!writer.writeEvents(events)) this.sample?.onPaused()
    // The server's connection is read on for a slow client: a server cuts off a response that remains unread for some seconds.
    if (!forwarder.countUnread()) this.abandon({ kind: 'client-left', reason: 'the client reads too slowly, and this node holds too much for its clients' })
  }

  private onEnd (): void {
    const { forwarder } = this
    const metadata = forwarder.codecs.readResponse(this.head!)
    const { status } = this.head!
    if (metadata.isNotRun) return this.finish(this.failure(''))
    if (!this.isStreaming) {
      if (promisingStatuses.has(status)) {
        this.server.onFailed()
        return this.finish({ kind: 'unknown', reason: `the backend server responded with ${status} without stating that it did not run the request` })
      }
      if (this.holdsForeignHead(this.body.bytes)) return this.onForeignHead()
      if (status >= 500) this.server.onFailed()
      else this.server.onResponse(forwarder.clock.nowMs() - this.startedAtMs)
      const backendResponse = { head: this.head!, body: this.body.bytes }
      forwarder.firstByteMs ??= forwarder.clock.nowMs() - forwarder.request.arrivedAtMs
      if (status >= 500 || forwarder.hasResponseStarted) return this.finish({ kind: 'answer', response: backendResponse })
      forwarder.writer.sendResponse(backendResponse, forwarder.codecs.returnHeaders(backendResponse.head))
      forwarder.onResponseEnded()
      return this.finish({ kind: 'done' })
    }
    if (this.splitter.remainder.length > 0) return this.finish({ kind: 'unknown', reason: 'the stream ended within an event' })
    if (!forwarder.position.isInPlaceAtEnd) return this.finish({ kind: 'unknown', reason: 'events without an ID do not continue the stream' })
    if (!this.hasBroughtEnd) return this.finish({ kind: 'unknown', reason: 'the stream ended without an event and without a length or chunks' })
    if (!forwarder.hasResponseStarted) this.write([])
    if (!forwarder.writer.mayEndAfter(this.head!)) return this.finish({ kind: 'unknown', reason: 'nothing states the end of the stream', isEndUnproved: this.events > 0 })
    const { lineEndRest } = this.splitter
    if (lineEndRest) forwarder.writer.writeEvents([{ bytes: lineEndRest, isComment: true }])
    forwarder.writer.endStream()
    forwarder.onResponseEnded()
    this.finish({ kind: 'done' })
  }

  /**
   * Whether the end of the response can be the end of the stream. A response that brings nothing and states nothing is one only if what
   * its client has may be the whole stream.
   */
  private get hasBroughtEnd (): boolean {
    const { hasResponseStarted, mayBeAtEnd, request } = this.forwarder
    const mayBeEmpty = hasResponseStarted ? mayBeAtEnd : request.metadata.lastEventId !== undefined
    return !this.head!.endsWithConnection || this.events > 0 || this.hasEventsWithoutId || mayBeEmpty
  }

  private onConnectionFailure ({ wasSent, isUnreachable, reason, isEndUnproved = false, isNoRoom = false }: ExchangeFailure): void {
    if (isNoRoom) return this.onNoRoom(reason)
    if (isUnreachable) this.server.onUnreachable()
    else this.server.onFailed()
    if (!wasSent) return this.finish({ kind: 'unsent', reason })
    const result = this.failure(reason)
    this.finish(result.kind === 'unknown' ? { ...result, isConnectionLost: true, isEndUnproved } : result)
  }

  /** Result of an attempt without a complete response: `not-run` if the head states it, else `unknown`. */
  private failure (reason: string): AttemptResult {
    const { metadata: { model, adapter } } = this.forwarder.request
    const metadata = this.head && this.forwarder.codecs.readResponse(this.head)
    if (!metadata?.isNotRun) return { kind: 'unknown', reason }
    if (metadata.isMisdirected) this.server.onMisdirected(model, adapter)
    return { kind: 'not-run', reason: `the backend server responded with ${this.head!.status} and did not run the request`, isMisdirected: metadata.isMisdirected }
  }

  /** Abandons the attempt because of an invalid response. */
  private reject (reason: string): void {
    if (this.isFinished) return
    this.server.onFailed()
    this.abandon(this.failure(reason))
  }

  private async onDeadline (): Promise<void> {
    // The response may have arrived while the event loop was blocked.
    await ioTurn()
    if (this.isFinished) return
    const { route } = this.forwarder.request
    // A stream may last longer than the deadline without a fault of its server.
    const isStalled = this.stalledMs() > stallTimeoutMs(route)
    if (!this.hasFirstByte || !this.isStreaming || isStalled) this.server.onFailed()
    this.abandon({ kind: 'timeout', reason: 'no complete response before the deadline' })
  }

  /** Starts a failover when the server makes no progress and a slot on another server is reserved. */
  private watchProgress (): void {
    const { route } = this.forwarder.request
    if (!isRepeatable(this.forwarder.request)) return
    const limitMs = route.kind === 'idempotent' ? idempotentStallFactor * route.objectiveMs : stallTimeoutMs(route)
    const checkAfter = (delayMs: number) => { this.cancelTimers.push(this.forwarder.clock.setTimer(delayMs, () => { void check() })) }
    const check = async () => {
      if (this.stalledMs() >= limitMs) {
        const retryAfterMs = await this.tryFailover(limitMs)
        if (!this.isFinished) checkAfter(retryAfterMs)
      } else checkAfter(limitMs - this.stalledMs() + 1)
    }
    checkAfter(limitMs)
  }

  /** Time since the last progress of the server; 0 while the client still has events to read, so a failover is not urgent. */
  private stalledMs (): number {
    return this.forwarder.writer.response.writableNeedDrain ? 0 : this.forwarder.clock.nowMs() - this.lastProgressMs
  }

  /** Fails over to another server if possible. Returns the time until the next check, in milliseconds. */
  private async tryFailover (limitMs: number): Promise<number> {
    // Data that arrived while the event loop was blocked must be read first.
    await ioTurn()
    const isNeeded = () => !this.isFinished && this.stalledMs() >= limitMs && this.forwarder.position.mayContinue
    if (!isNeeded()) return 0
    const search = await this.forwarder.reserveMove(isNeeded)
    if (search.kind === 'none') return search.retryAfterMs
    const { target } = search
    const stalledMs = this.stalledMs()
    if (!isNeeded() || !target.isUsable()) {
      target.release()
      return 0
    }
    this.server.onFailed()
    // A server that sends nothing on any connection is not just busy with other requests.
    if (this.forwarder.clock.nowMs() - this.server.pool.lastReceivedAtMs > limitMs) this.server.onUnreachable()
    this.abandon({ kind: 'moved', reason: `no progress for ${Math.round(stalledMs)} ms`, target })
    return 0
  }

  private recordProgress (): void {
    this.lastProgressMs = this.forwarder.clock.nowMs()
  }

  private recordFirstByte (): void {
    if (this.hasFirstByte) return
    this.hasFirstByte = true
    this.server.onFirstByte(this.tokens)
    if (this.isStreaming) this.server.onResponse(this.forwarder.clock.nowMs() - this.startedAtMs)
  }

  /** Ends the attempt and closes the connection, so that the server stops its work. */
  private abandon (result: AttemptResult): void {
    if (this.isFinished) return
    this.connection?.destroy()
    this.finish(result)
  }

  private finish (result: AttemptResult): void {
    if (this.isFinished) return
    this.isFinished = true
    for (const cancel of this.cancelTimers.splice(0)) cancel()
    this.releaseHeld(result)
    const hasBegun = this.hasFirstByte || result.kind === 'done' || result.kind === 'answer'
    if (!this.hasFirstByte) this.server.onFirstByte(this.tokens)
    this.server.heldTokens -= this.tokens + this.forwarder.request.metadata.outputTokens
    this.server.onEnded(this.forwarder.request.metadata.model, this.forwarder.request.metadata.adapter)
    const isSuccess = this.head !== undefined && this.head.status >= 200 && this.head.status < 300
    if (result.kind === 'done' && isSuccess) {
      this.recordGoneOn()
      this.sample?.onSuccess()
    }
    const mayHaveEnded = result.kind === 'moved' || (result.kind === 'unknown' && result.isEndUnproved === true)
    // An attempt that brought nothing leaves open whether the client has the whole stream.
    this.forwarder.mayBeAtEnd = this.splitter.remainder.length === 0 && (mayHaveEnded || (this.events === 0 && this.forwarder.mayBeAtEnd))
    this.forwarder.lastAnswer = { sentAtMs: this.startedAtMs, hasBegun, events: this.events, writingMs: this.writingMs, isUnframed: this.head?.endsWithConnection ?? false }
    this.resolve(result)
  }
}

/** Whether the request may be sent again although it may have run: as a whole, or for the rest of its stream. */
export function isRepeatable ({ route }: ProxiedRequest): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
}

/** The head and the body, which is not copied. */
function encodeRequest ({ method, path, body }: ProxiedRequest, headers: readonly string[]): Buffer[] {
  let head = `${method} ${path} HTTP/1.1\r\n`
  for (let index = 0; index < headers.length; index += 2) head += `${headers[index]}: ${headers[index + 1]}\r\n`
  const bodyBytes = body.reduce((sum, { length }) => sum + length, 0)
  if (bodyBytes > 0 || !bodilessMethods.has(method)) head += `Content-Length: ${bodyBytes}\r\n`
  const encodedHead = Buffer.from(`${head}\r\n`, 'latin1')
  return bodyBytes <= copiedBodyBytes ? [Buffer.concat([encodedHead, ...body])] : [encodedHead, ...body]
}

/** Up to this size, one write costs less than two. */
const copiedBodyBytes = 16 * 1024
const bodilessMethods = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS'])
