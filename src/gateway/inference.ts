/** Answers inference requests: queue, route, dispatch and relay. */

import { messageOf, outcomeOf } from '../base/errors.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { Random } from '../base/random.js'
import { retryDelayMs } from '../policy/retry.js'
import type { RetryBudget } from '../policy/retry.js'
import type { Exchange, Filter } from './exchange.js'
import { Generation } from './generation.js'
import type { GenerationEvent } from './generation.js'
import { AnswerFormat } from './openai.js'
import type { InferenceWork } from './openai.js'
import { ProblemError, problemBody } from './problem.js'
import type { Scheduler } from './scheduler.js'

export interface InferenceOptions {
  clock: Clock
  random: Random
  scheduler: Scheduler
  retryBudget: RetryBudget
  newId: () => string
}

/** Aborts a request when its caller goes away or its deadline passes. */
class RequestLifetime {
  private readonly controller = new AbortController()
  private cancelTimer: CancelTimer
  private readonly onCallerGone = () => this.controller.abort(new CallerGoneError())

  constructor (clock: Clock, private readonly callerSignal: AbortSignal, deadlineMs: number) {
    this.cancelTimer = clock.setTimer(deadlineMs - clock.nowMs(), () => this.controller.abort(new DeadlineError()))
    if (callerSignal.aborted) this.onCallerGone()
    callerSignal.addEventListener('abort', this.onCallerGone, { once: true })
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** The deadline of a streamed answer covers the time to its first token only. */
  dropDeadline (): void {
    this.cancelTimer()
  }

  end (): void {
    this.cancelTimer()
    this.callerSignal.removeEventListener('abort', this.onCallerGone)
  }
}

/** The caller closed its connection. */
export class CallerGoneError extends Error {
  override readonly name = 'CallerGoneError'
  constructor () {
    super('the caller closed the connection')
  }
}

class DeadlineError extends Error {
  override readonly name = 'DeadlineError'
  constructor () {
    super('the deadline has passed')
  }
}

/** The last filter for inference. */
export function inferenceFilter (options: InferenceOptions): Filter {
  return async (exchange, next) => {
    const { work } = exchange
    if (work?.kind !== 'inference') return next()
    options.retryBudget.onRequest()
    const lifetime = new RequestLifetime(options.clock, exchange.request.signal, exchange.deadlineMs!)
    const generation = createGeneration(options, exchange, work, lifetime.signal)
    const format = new AnswerFormat(work, exchange.requestId, exchange.arrivedAtMs)
    const events = generation.events()
    try {
      if (work.stream) {
        await respondStreamed(exchange, { generation, events, format, lifetime })
      } else {
        await respondWhole(exchange, { generation, events, format })
        lifetime.end()
      }
    } catch (error) {
      lifetime.end()
      throw toProblem(error, generation, exchange)
    }
  }
}

function createGeneration (options: InferenceOptions, exchange: Exchange, work: InferenceWork, signal: AbortSignal): Generation {
  const { clock, random, scheduler, retryBudget, newId } = options
  const terms = exchange.terms!
  let isNew = true
  return new Generation({
    clock,
    trace: exchange.trace,
    request: {
      requestId: exchange.requestId,
      adapter: work.adapter,
      prompt: work.prompt,
      maxTokens: work.maxTokens
    },
    idempotent: terms.idempotent,
    signal,
    newAttemptId: newId,
    mayRetry: () => retryBudget.tryRetry(),
    retryDelayMs: attempt => retryDelayMs(random, attempt),
    assign: async (excludeEngines, versionedModel) => {
      const assignment = await scheduler.assign({
        requestId: exchange.requestId,
        rank: terms.rank,
        customer: exchange.customer!,
        customerWeight: terms.customerWeight,
        firstTokenMs: terms.firstTokenMs,
        arrivedAtMs: exchange.arrivedAtMs,
        requestedModel: work.requestedModel,
        model: work.model,
        versionedModel,
        adapter: work.adapter,
        prompt: work.prompt,
        promptBytes: Buffer.byteLength(work.prompt),
        costTokens: work.maxTokens,
        deadlineMs: exchange.deadlineMs!,
        excludeEngines,
        isNew,
        trace: exchange.trace,
        signal
      })
      exchange.measure.onDispatched()
      isNew = false
      return assignment
    }
  })
}

interface Running {
  generation: Generation
  events: AsyncGenerator<GenerationEvent>
  format: AnswerFormat
}

async function respondWhole (exchange: Exchange, { generation, events, format }: Running): Promise<void> {
  for await (const event of events) {
    if (event.kind === 'token') exchange.measure.onToken()
    if (event.kind === 'end') {
      exchange.response = {
        status: 200,
        headers: { 'content-type': 'application/json', 'x-request-id': exchange.requestId },
        body: Buffer.from(format.whole(generation.tokens.join(''), event))
      }
    }
  }
}

/** Answers once the first event is there, so that earlier failures get a status of their own. */
async function respondStreamed (exchange: Exchange, running: Running & { lifetime: RequestLifetime }): Promise<void> {
  const { events, lifetime } = running
  const first = await events.next()
  lifetime.dropDeadline()
  exchange.measure.onToken()
  exchange.response = {
    status: 200,
    headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': exchange.requestId },
    body: relay(exchange, running, first)
  }
}

/** Yields SSE text. A stream that cannot be completed ends with an `error` event and then throws. */
async function * relay (
  exchange: Exchange,
  { events, format, lifetime, generation }: Running & { lifetime: RequestLifetime },
  first: IteratorResult<GenerationEvent>
): AsyncGenerator<string> {
  let isFirst = true
  try {
    for (let result = first; !result.done; result = await events.next()) {
      if (result.value.kind === 'end') {
        yield format.end(result.value)
        return
      }
      if (!isFirst) exchange.measure.onToken()
      yield format.token(result.value.text, isFirst)
      isFirst = false
    }
  } catch (error) {
    const problem = toProblem(error, generation, exchange)
    if (problem instanceof CallerGoneError) throw problem
    exchange.trace.add('cut', problem.detail)
    yield `event: error\ndata: ${JSON.stringify(problemBody(problem, exchange.requestId))}\n\n`
    throw problem
  } finally {
    lifetime.end()
    // The caller may have stopped reading; ending the generation cancels the request on the engine.
    await events.return(undefined)
  }
}

/** What the caller is told when the request cannot be answered. */
function toProblem (error: unknown, generation: Generation, { terms }: Exchange): ProblemError | CallerGoneError {
  const mayHaveRun = generation.startedAttempts > 0 || generation.tokens.length > 0
  if (error instanceof CallerGoneError) return error
  if (error instanceof ProblemError) {
    if (!mayHaveRun) return error
    return new ProblemError(504, error.code, terms!.idempotent ? 'failed' : 'unknown', error.detail, { retryAfterMs: error.retryAfterMs })
  }
  if (error instanceof DeadlineError) {
    return mayHaveRun
      ? new ProblemError(504, 'deadline', 'unknown', 'the answer was not complete at the deadline')
      : new ProblemError(503, 'deadline', 'not-run', 'no engine could run the request before the deadline', { retryAfterMs: 1000 })
  }
  const detail = messageOf(error)
  if (mayHaveRun) return new ProblemError(504, 'backend-unknown', 'unknown', detail)
  return outcomeOf(error) === 'not-run'
    ? new ProblemError(503, 'backend-unknown', 'not-run', detail, { retryAfterMs: 1000 })
    : new ProblemError(502, 'backend-failed', outcomeOf(error), detail)
}
