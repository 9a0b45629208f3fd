/** Reads the tokens of one request from engines, over cut connections and failed engines. */

import { sleep } from '../base/clock.js'
import { messageOf, outcomeOf, UnknownOutcomeError } from '../base/errors.js'
import type { Clock } from '../base/clock.js'
import type { EngineApi, InferenceEvent, InferenceRequest } from '../platform/engine.js'
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
      try {
        yield * this.runOn(assignment, attempt)
      } finally {
        this.closeAttempt(assignment, attempt)
      }
      if (attempt.complete) return
      await this.prepareRetry(assignment, attempt.failure)
    }
  }

  /** Runs on one engine. A stream that is cut is resumed there, since the engine continues to run it for a while. */
  private async * runOn (assignment: EngineAssignment, attempt: EngineAttempt): AsyncGenerator<GenerationEvent> {
    const { clock, trace, signal, newAttemptId } = this.options
    const startedAtMs = clock.nowMs()
    for (let resumes = 0; resumes <= maxResumes; resumes++) {
      const attemptId = newAttemptId()
      const iterable = resumes === 0 ? this.start(assignment, attemptId) : this.resume(assignment.api, attemptId)
      trace.add(resumes === 0 ? 'start' : 'resume', `engine ${assignment.engine}, attempt ${attemptId}, after ${this.tokens.length} tokens`)
      try {
        for await (const event of this.checked(iterable, attemptId)) {
          if (event.kind === 'token' && this.tokens.length === 1) assignment.onFirstToken(clock.nowMs() - startedAtMs)
          attempt.complete = event.kind === 'end'
          yield event
          if (attempt.complete) return
        }
        attempt.failure = new UnknownOutcomeError(assignment.engine, 'the stream ended without an end marker')
      } catch (error) {
        attempt.failure = error
      }
      if (resumes === 0 && outcomeOf(attempt.failure) !== 'not-run') this.startedAttempts++
      trace.add('attempt-failed', `engine ${assignment.engine}: ${messageOf(attempt.failure)}`)
      if (signal.aborted || outcomeOf(attempt.failure) !== 'unknown') return
    }
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

  /** Passes on the events of this attempt, each token once and in order. */
  private async * checked (iterable: AsyncIterable<InferenceEvent>, attemptId: string): AsyncGenerator<GenerationEvent> {
    const { request, clock, signal } = this.options
    for await (const event of withStallTimeout(iterable, { clock, signal, target: request.requestId })) {
      if (event.requestId !== request.requestId || event.attemptId !== attemptId) continue
      if (event.kind === 'token') {
        if (event.index < this.tokens.length) continue
        if (event.index > this.tokens.length) throw new UnknownOutcomeError(request.requestId, `token ${this.tokens.length} is missing`)
        this.tokens.push(event.text)
        yield { kind: 'token', text: event.text }
      } else {
        if (event.completionTokens !== this.tokens.length) {
          throw new UnknownOutcomeError(request.requestId, `the engine ended after ${event.completionTokens} tokens, ${this.tokens.length} arrived`)
        }
        const { finishReason, promptTokens, completionTokens } = event
        yield { kind: 'end', finishReason, promptTokens, completionTokens }
        return
      }
    }
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

interface StallOptions {
  clock: Clock
  signal: AbortSignal
  target: string
}

/** Rejects on an abort, or when the iterable yields nothing for `stallTimeoutMs`, whether or not it reacts itself. */
async function * withStallTimeout<T> (iterable: AsyncIterable<T>, options: StallOptions): AsyncGenerator<T> {
  const iterator = iterable[Symbol.asyncIterator]()
  try {
    for (;;) {
      const result = await nextWithin(iterator, options)
      if (result.done) return
      yield result.value
    }
  } finally {
    // An iterator that is stuck would never return, so nobody waits for it.
    void Promise.resolve(iterator.return?.()).catch(() => {})
  }
}

function nextWithin<T> (iterator: AsyncIterator<T>, { clock, signal, target }: StallOptions): Promise<IteratorResult<T>> {
  return new Promise((resolve, reject) => {
    const onAbort = () => reject(signal.reason)
    if (signal.aborted) return onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    const cancel = clock.setTimer(stallTimeoutMs, () => {
      reject(new UnknownOutcomeError(target, `no token for ${stallTimeoutMs} ms`))
    })
    iterator.next().then(resolve, reject).finally(() => {
      cancel()
      signal.removeEventListener('abort', onAbort)
    })
  })
}

/** How the run on one engine went. */
class EngineAttempt {
  complete = false
  failure: unknown
}
