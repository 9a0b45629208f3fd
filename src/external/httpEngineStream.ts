/** The events of one request on an engine, read from newline-delimited JSON. */

import type { Dispatcher } from 'undici'
import { isFinalStatus, isInterimStatus } from '../base/httpStatus.js'
import { FailedError, UnknownOutcomeError } from '../base/errors.js'
import { inferenceEventSchema } from './engine.js'
import type { InferenceEvent } from './engine.js'
import { checkAnswers, checkNotAborted, checkNotRun, mapNetworkError, requestIdHeader } from './httpCall.js'

export interface HttpEngineStreamOptions {
  engine: string
  address: string
  dispatcher: Dispatcher
  path: string
  body: string
  requestId: string
  attemptId: string
  /** Whether refusals of the engine name their request. Otherwise the request has a connection of its own. */
  isNameExpected: boolean
  /** Called with whether a refusal or failure names a request. */
  onRefusal: (namesRequest: boolean) => void
  signal: AbortSignal | undefined
  /** Called when `signal` aborts before the end marker. */
  onAbort: () => void
}

// Events that are read ahead of a slow reader; the engine then waits for the connection.
const maxBufferedEvents = 1_000
const maxErrorBytes = 10_000
/** An event that is longer ends its stream. */
const maxEventChars = 1024 * 1024

interface Waiter {
  resolve: (result: IteratorResult<InferenceEvent>) => void
  reject: (error: unknown) => void
}

/**
 * Sends the request at the first `next`. It handles undici's callbacks itself, since a stream and generators between
 * them and the reader cost more for each token than everything else. Calls of `next` must not overlap.
 */
export class HttpEngineStream implements AsyncIterableIterator<InferenceEvent>, Dispatcher.DispatchHandler {
  private readonly events: InferenceEvent[] = []
  private taken = 0
  private waiter: Waiter | undefined
  private failure: unknown
  private state: 'new' | 'open' | 'complete' | 'closed' = 'new'
  private controller: Dispatcher.DispatchController | undefined
  private status = 0
  private headers: Record<string, string | string[] | undefined> = {}
  private readonly decoder = new TextDecoder()
  private rest = ''
  private paused = false
  private readonly abort = () => {
    this.options.onAbort()
    this.fail(this.options.signal!.reason)
  }

  constructor (private readonly options: HttpEngineStreamOptions) {}

  [Symbol.asyncIterator] (): this {
    return this
  }

  next (): Promise<IteratorResult<InferenceEvent>> {
    if (this.state === 'new') {
      try {
        this.send()
      } catch (error) {
        this.state = 'closed'
        return Promise.reject(error)
      }
    }
    const event = this.take()
    if (event) return Promise.resolve({ done: false, value: event })
    if (this.failure !== undefined) {
      const error = this.failure
      this.failure = undefined
      return Promise.reject(error)
    }
    if (this.state !== 'open') return Promise.resolve({ done: true, value: undefined })
    return new Promise((resolve, reject) => { this.waiter = { resolve, reject } })
  }

  /** Stops reading. After the end marker, the connection is kept for other requests. */
  return (): Promise<IteratorResult<InferenceEvent>> {
    if (this.state === 'open') this.close(new Error('the reader stopped'))
    else if (this.state === 'new') this.state = 'closed'
    this.events.length = 0
    this.failure = undefined
    return Promise.resolve({ done: true, value: undefined })
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.state === 'closed') controller.abort(new Error('the reader stopped'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    if (isInterimStatus(status)) return
    this.status = status
    this.headers = headers
    // The events of a success name their attempt themselves.
    if (status === 200) return
    if (!isFinalStatus(status)) return this.fail(new UnknownOutcomeError(this.options.engine, `the status ${status} is invalid`))
    const { engine, attemptId, isNameExpected, onRefusal } = this.options
    onRefusal(headers[requestIdHeader] !== undefined)
    try {
      checkAnswers(engine, headers, attemptId, { isNameExpected })
    } catch (error) {
      this.fail(error)
    }
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.state !== 'open') return
    const text = this.decoder.decode(chunk, { stream: true })
    if (this.status !== 200) {
      this.rest = (this.rest + text).slice(0, maxErrorBytes)
      return
    }
    try {
      this.read(text)
    } catch (error) {
      return this.fail(error)
    }
    this.deliver()
    if (this.events.length - this.taken > maxBufferedEvents && this.state === 'open') {
      this.paused = true
      controller.pause()
    }
  }

  onResponseEnd (): void {
    const { engine, path, requestId } = this.options
    if (this.state !== 'open') return
    if (this.status === 200) {
      return this.fail(new UnknownOutcomeError(engine, `the stream of request ${requestId} ended without its end marker`))
    }
    try {
      checkNotRun(engine, this.status, this.headers, this.rest)
      this.fail(new FailedError(engine, `POST ${path} answered ${this.status}: ${this.rest}`))
    } catch (error) {
      this.fail(error)
    }
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    // The answer is whole after its end marker, whatever happens to the connection.
    this.fail(error)
  }

  private send (): void {
    const { engine, address, path, body, attemptId, isNameExpected, dispatcher, signal } = this.options
    checkNotAborted(engine, signal)
    this.state = 'open'
    signal?.addEventListener('abort', this.abort, { once: true })
    dispatcher.dispatch({ origin: `http://${address}`, path, method: 'POST', headers: { 'content-type': 'application/json', [requestIdHeader]: attemptId }, body, reset: !isNameExpected }, this)
  }

  private read (text: string): void {
    this.rest += text
    // Only new text is searched, since an event may come in many small parts.
    if (text.includes('\n')) this.readLines()
    if (this.rest.length > maxEventChars) throw new Error(`an event is longer than ${maxEventChars} characters`)
  }

  private readLines (): void {
    let start = 0
    for (let end = this.rest.indexOf('\n'); end >= 0; end = this.rest.indexOf('\n', start)) {
      if (end > start) {
        const event = parseEvent(this.rest.slice(start, end))
        this.events.push(event)
        if (event.kind === 'end' && event.attemptId === this.options.attemptId) return this.complete()
      }
      start = end + 1
    }
    this.rest = this.rest.slice(start)
  }

  private complete (): void {
    this.state = 'complete'
    this.rest = ''
    this.options.signal?.removeEventListener('abort', this.abort)
  }

  private deliver (): void {
    const { waiter } = this
    if (!waiter) return
    const event = this.take()
    if (!event) return
    this.waiter = undefined
    waiter.resolve({ done: false, value: event })
  }

  private take (): InferenceEvent | undefined {
    const event = this.events[this.taken]
    if (event === undefined) return undefined
    this.taken++
    if (this.taken === this.events.length) {
      this.events.length = 0
      this.taken = 0
      if (this.paused) {
        this.paused = false
        this.controller?.resume()
      }
    }
    return event
  }

  /** Ends the stream with an error, after the events that arrived before it. */
  private fail (error: unknown): void {
    if (this.state !== 'open') return
    this.failure = mapNetworkError(this.options.engine, error)
    this.close(error)
    const { waiter } = this
    if (!waiter) return
    this.waiter = undefined
    const { failure } = this
    this.failure = undefined
    waiter.reject(failure)
  }

  private close (reason: unknown): void {
    this.state = 'closed'
    this.options.signal?.removeEventListener('abort', this.abort)
    if (this.controller && !this.controller.aborted) this.controller.abort(reason instanceof Error ? reason : new Error(String(reason)))
  }
}

/** Tokens are checked here, since the schema costs more than all other work on a token. */
function parseEvent (line: string): InferenceEvent {
  const value = JSON.parse(line) as Partial<Extract<InferenceEvent, { kind: 'token' }>> | null
  if (value !== null && typeof value === 'object' && value.kind === 'token' && typeof value.index === 'number' &&
    typeof value.text === 'string' && typeof value.requestId === 'string' && typeof value.attemptId === 'string') {
    return value as InferenceEvent
  }
  return inferenceEventSchema.parse(value)
}
