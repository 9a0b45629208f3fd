/** Reads the tokens of one request from engines, over cut connections and failed engines. */

import { sleep } from '../base/clock.js'
import { messageOf, outcomeOf, UnknownOutcomeError } from '../base/errors.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { EngineApi, InferenceEvent, InferenceRequest } from '../external/engine.js'
import type { RequestTrace } from './trace.js'

/** A place to run: the engine with the means to report how it went. */
export interface EngineAssignment {
  engine: string
  /** `NAME@VERSION` that the engine has ready. */
  model: string
  /** Larger runs first on the engine. */
  priority: number
  api: EngineApi
  onFirstToken: (latencyMs: number) => void
  onEnded: (result: 'ok' | 'failed' | 'cancelled') => void
}

/** What is needed to run one request. */
export interface GenerationOptions {
  clock: Clock
  trace: RequestTrace
  request: Omit<InferenceRequest, 'attemptId' | 'model' | 'priority'>
  idempotent: boolean
  /** Aborts when the caller is gone or the deadline has passed. */
  signal: AbortSignal
  newAttemptId: () => string
  /**
   * Waits for an engine. Rejects with `ProblemError` when none can take the request in time. `model` is set once
   * tokens were generated: an answer must not mix the tokens of two versions.
   */
  assign: (excludeEngines: ReadonlySet<string>, model: string | undefined) => Promise<EngineAssignment>
  /** Whether the retry budget allows another attempt; called once for each. */
  mayRetry: () => boolean
  retryDelayMs: (attempt: number) => number
}

export type GenerationEvent =
  | { kind: 'token', text: string }
  | { kind: 'end', finishReason: 'stop' | 'length', promptTokens: number, completionTokens: number }

/** A stream that yields nothing for this long counts as cut. The batch step of an engine is far below. */
export const stallTimeoutMs = 10_000
const maxAttempts = 6
const maxResumes = 3

/**
 * Yields each token once and in order, then `end`. Rejects with the error of the last attempt if the answer cannot be
 * completed. Events of an earlier attempt, of another request and repeated tokens are dropped; a gap counts as a cut.
 */
export class Generation {
  /** Tokens that were yielded so far. */
  readonly tokens: string[] = []
  /** Attempts that an engine may have begun. */
  startedAttempts = 0
  private model: string | undefined
  private readonly excluded = new Set<string>()
  private retries = 0

  constructor (private readonly options: GenerationOptions) {}

  async * events (): AsyncGenerator<GenerationEvent> {
    for (;;) {
      const assignment = await this.options.assign(this.excluded, this.tokens.length > 0 ? this.model : undefined)
      this.model = assignment.model
      const attempt = new EngineAttempt()
      const startedAtMs = this.options.clock.nowMs()
      try {
        // A stream that is cut is resumed on the same engine, since it continues to run the request for a while.
        for (let resumes = 0; resumes <= maxResumes; resumes++) {
          const { reader, attemptId } = this.open(assignment, resumes)
          // Generators around this loop would cost several promises for each token.
          try {
            for (;;) {
              const result = await reader.next()
              if (result.done) throw new UnknownOutcomeError(assignment.engine, 'the stream ended without an end marker')
              const event = this.accept(result.value, attemptId)
              if (event === undefined) continue
              if (event.kind === 'token') {
                if (this.tokens.length === 1) assignment.onFirstToken(this.options.clock.nowMs() - startedAtMs)
                yield event
                continue
              }
              attempt.complete = true
              yield event
              return
            }
          } catch (error) {
            attempt.failure = error
          } finally {
            reader.close()
          }
          this.noteFailure(assignment, resumes, attempt.failure)
          if (this.options.signal.aborted || outcomeOf(attempt.failure) !== 'unknown') break
        }
      } finally {
        this.closeAttempt(assignment, attempt)
      }
      await this.prepareRetry(assignment, attempt.failure)
    }
  }

  private open (assignment: EngineAssignment, resumes: number): { reader: GuardedReader, attemptId: string } {
    const { clock, trace, signal, request, newAttemptId } = this.options
    const attemptId = newAttemptId()
    const iterable = resumes === 0 ? this.start(assignment, attemptId) : this.resume(assignment.api, attemptId)
    trace.add(resumes === 0 ? 'start' : 'resume', `engine ${assignment.engine}, attempt ${attemptId}, after ${this.tokens.length} tokens`)
    return { reader: new GuardedReader(iterable, { clock, signal, target: request.requestId }), attemptId }
  }

  private noteFailure ({ engine }: EngineAssignment, resumes: number, failure: unknown): void {
    if (resumes === 0 && outcomeOf(failure) !== 'not-run') this.startedAttempts++
    this.options.trace.add('attempt-failed', `engine ${engine}: ${messageOf(failure)}`)
  }

  private closeAttempt ({ api, onEnded }: EngineAssignment, { complete, failure }: EngineAttempt): void {
    // Without a failure, the reader of the events stopped early.
    const isCancelled = failure === undefined || this.options.signal.aborted
    onEnded(complete ? 'ok' : isCancelled ? 'cancelled' : 'failed')
    if (!complete) void api.cancel(this.options.request.requestId).catch(() => {})
  }

  private start ({ api, model, priority }: EngineAssignment, attemptId: string): AsyncIterable<InferenceEvent> {
    const generatedTokens = this.tokens.length > 0 ? [...this.tokens] : undefined
    return api.infer({ ...this.options.request, model, priority, attemptId, generatedTokens }, { signal: this.options.signal })
  }

  private resume (api: EngineApi, attemptId: string): AsyncIterable<InferenceEvent> {
    return api.resume(this.options.request.requestId, this.tokens.length, { attemptId, signal: this.options.signal })
  }

  /** The event, if it is the next one of this attempt. Throws if tokens are missing. */
  private accept (event: InferenceEvent, attemptId: string): GenerationEvent | undefined {
    const { requestId } = this.options.request
    if (event.requestId !== requestId || event.attemptId !== attemptId) return undefined
    if (event.kind === 'token') {
      if (event.index < this.tokens.length) return undefined
      if (event.index !== this.tokens.length) throw new UnknownOutcomeError(requestId, `token ${this.tokens.length} is missing`)
      this.tokens.push(event.text)
      return event
    }
    if (event.completionTokens !== this.tokens.length) {
      throw new UnknownOutcomeError(requestId, `the engine ended after ${event.completionTokens} tokens, ${this.tokens.length} arrived`)
    }
    return event
  }

  /** Waits before the next attempt, or rejects with `error` if there must not be one. */
  private async prepareRetry (assignment: EngineAssignment, error: unknown): Promise<void> {
    const { idempotent, signal, clock, trace } = this.options
    const provenNotRun = outcomeOf(error) === 'not-run' && this.startedAttempts === 0
    this.excluded.add(assignment.engine)
    this.retries++
    if (signal.aborted || this.retries >= maxAttempts || !(provenNotRun || idempotent)) throw error
    if (!this.options.mayRetry()) {
      trace.add('retry', 'the retry budget is used up')
      throw error
    }
    await sleep(clock, this.options.retryDelayMs(this.retries), { signal })
  }
}

interface ReaderOptions {
  clock: Clock
  signal: AbortSignal
  target: string
}

/**
 * Reads one stream. `next` rejects on an abort, or when nothing comes for `stallTimeoutMs`, whether or not the stream
 * reacts itself. One timer and one abort listener serve the whole stream, since they are costly for each token.
 */
class GuardedReader {
  private readonly iterator: AsyncIterator<InferenceEvent>
  private waitingSinceMs = 0
  private reject: ((error: unknown) => void) | undefined
  private cancelTimer: CancelTimer | undefined
  private readonly onAbort = () => this.reject?.(this.options.signal.reason)

  constructor (iterable: AsyncIterable<InferenceEvent>, private readonly options: ReaderOptions) {
    this.iterator = iterable[Symbol.asyncIterator]()
    options.signal.addEventListener('abort', this.onAbort, { once: true })
  }

  next (): Promise<IteratorResult<InferenceEvent>> {
    const { clock, signal } = this.options
    return new Promise((resolve, reject) => {
      if (signal.aborted) return reject(signal.reason)
      this.waitingSinceMs = clock.nowMs()
      this.reject = reject
      if (!this.cancelTimer) this.startTimer(stallTimeoutMs)
      this.iterator.next().then(result => {
        this.reject = undefined
        resolve(result)
      }, reject)
    })
  }

  close (): void {
    this.cancelTimer?.()
    this.options.signal.removeEventListener('abort', this.onAbort)
    // An iterator that is stuck would never return, so nobody waits for it.
    void Promise.resolve(this.iterator.return?.()).catch(() => {})
  }

  /** The timer is not moved by each token; when it ends, it waits for what is left. */
  private startTimer (delayMs: number): void {
    const { clock, target } = this.options
    this.cancelTimer = clock.setTimer(delayMs, () => {
      this.cancelTimer = undefined
      if (!this.reject) return
      const leftMs = this.waitingSinceMs + stallTimeoutMs - clock.nowMs()
      if (leftMs > 0) this.startTimer(leftMs)
      else this.reject(new UnknownOutcomeError(target, `no token for ${stallTimeoutMs} ms`))
    })
  }
}

/** How the run on one engine went. */
class EngineAttempt {
  complete = false
  failure: unknown
}
