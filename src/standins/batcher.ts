/** Continuous batching of an engine stand-in: all running requests get one token in each step. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { FailedError, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { hash32 } from '../base/hash.js'
import type { InferenceEvent, InferenceRequest, KvExport } from '../external/engine.js'
import { prefixHashes, promptTokens } from '../external/promptPrefix.js'
import type { PrefixCache } from './prefixCache.js'

/** One request that reached the engine. `endMs` is absent while it is queued or runs. */
export interface RequestLogEntry {
  requestId: string
  attemptId: string
  model: string
  incarnation: string
  arrivalMs: number
  startMs?: number
  endMs?: number
  /** Tokens generated here, without the ones that the request brought. */
  generated: number
  cachedTokens: number
  result?: 'completed' | 'cancelled' | 'crashed'
}

export interface BatcherOptions {
  clock: Clock
  engine: string
  incarnation: string
  maxBatch: number
  kvTokens: number
  kvBytesPerToken: number
  prefillMsPerToken: number
  /** Time of one step at a batch size. */
  stepMs: (batchSize: number) => number
  /** Time without a reader after which a request is cancelled and an ended one is forgotten. */
  graceMs: number
  /** Tokens say when the request came and when they were generated, for measurements. */
  stampsTokens: boolean
  cache: PrefixCache
  log: RequestLogEntry[]
  onLoadChange: () => void
}

interface Job {
  request: InferenceRequest
  /** All tokens of the answer so far, also those that the request brought. */
  tokens: string[]
  state: 'queued' | 'running' | 'ended' | 'cancelled' | 'crashed'
  prefixHashes: number[]
  promptTokens: number
  prefillTokens: number
  reservedTokens: number
  nextToken: (index: number) => string
  readers: number
  forget: CancelTimer
  listeners: Set<() => void>
  entry: RequestLogEntry
}

/** The tokens of an answer: the same on every engine, and independent of where an earlier attempt stopped. */
export function tokenSource ({ model, adapter, prompt }: Pick<InferenceRequest, 'model' | 'adapter' | 'prompt'>): (index: number) => string {
  const seed = hash32(`${model}\u0000${adapter ?? ''}\u0000${prompt}`)
  return index => `${hash32(`${seed}:${index}`).toString(36)} `
}

/** Tokens `ARRIVAL:GENERATED `, in milliseconds since the Unix epoch with fractions. */
function stampSource (): () => string {
  const stamp = () => (performance.timeOrigin + performance.now()).toFixed(3)
  const arrival = stamp()
  return () => `${arrival}:${stamp()} `
}

const isLive = (job: Job) => job.state === 'queued' || job.state === 'running'

export class Batcher {
  private readonly jobs = new Map<string, Job>()
  private queue: Job[] = []
  private readonly running = new Set<Job>()
  private readonly imported = new Map<string, KvExport>()
  private readonly idleListeners = new Set<() => void>()
  private reservedTokens = 0
  private stepping = false
  private paused = false
  private stepDue = false

  constructor (private readonly options: BatcherOptions) {}

  load (): { running: number, queued: number, freeKvTokens: number, stepMs: number } {
    const { kvTokens, stepMs } = this.options
    return {
      running: this.running.size,
      queued: this.queue.length,
      freeKvTokens: kvTokens - this.reservedTokens,
      stepMs: stepMs(Math.max(1, this.running.size))
    }
  }

  /** Queues a request. A live request with the same ID is cancelled, since its caller tries again. */
  submit (request: InferenceRequest): Job {
    const { clock, engine, incarnation, kvTokens, cache, log } = this.options
    const prompt = promptTokens(request.prompt)
    if (prompt + request.maxTokens > kvTokens) throw new NotRunError(engine, `request ${request.requestId} needs more than ${kvTokens} KV-cache tokens`)
    this.cancel(request.requestId)
    const tokens = [...request.generatedTokens ?? []]
    const hashes = prefixHashes(request.model, request.adapter, request.prompt)
    const cachedTokens = Math.max(cache.cachedTokens(hashes), this.takeImported(request))
    const job: Job = {
      request,
      tokens,
      state: 'queued',
      prefixHashes: hashes,
      promptTokens: prompt,
      prefillTokens: Math.max(0, prompt + tokens.length - cachedTokens),
      reservedTokens: prompt + request.maxTokens,
      nextToken: this.options.stampsTokens ? stampSource() : tokenSource(request),
      readers: 0,
      forget: () => {},
      listeners: new Set(),
      entry: { requestId: request.requestId, attemptId: request.attemptId, model: request.model, incarnation, arrivalMs: clock.nowMs(), generated: 0, cachedTokens }
    }
    log.push(job.entry)
    this.jobs.set(request.requestId, job)
    const position = this.queue.findIndex(other => other.request.priority < request.priority)
    this.queue.splice(position < 0 ? this.queue.length : position, 0, job)
    this.startGrace(job)
    this.options.onLoadChange()
    this.step()
    return job
  }

  /** The events of a request from token `fromIndex` on. `cutAfterTokens` cuts the stream, and not the request. */
  async * read (
    requestId: string, fromIndex: number,
    { attemptId, signal, cutAfterTokens = Infinity }: { attemptId: string, signal?: AbortSignal, cutAfterTokens?: number }
  ): AsyncGenerator<InferenceEvent> {
    const { engine } = this.options
    const job = this.find(requestId)
    job.readers++
    job.forget()
    let sent = 0
    const wasCut = () => new UnknownOutcomeError(engine, `the stream of request ${requestId} was cut`)
    try {
      for (let index = fromIndex; ;) {
        if (signal?.aborted || sent >= cutAfterTokens || job.state === 'crashed' || job.state === 'cancelled') throw wasCut()
        if (index < job.tokens.length) {
          yield { kind: 'token', requestId, attemptId, index, text: job.tokens[index]! }
          index++
          sent++
        } else if (job.state === 'ended') {
          yield { kind: 'end', requestId, attemptId, finishReason: 'length', promptTokens: job.promptTokens, completionTokens: job.tokens.length }
          return
        } else await nextChange(job, signal)
      }
    } finally {
      job.readers--
      if (job.readers === 0) this.startGrace(job)
    }
  }

  /** Stops a request. Has no effect on one that ended or is unknown. */
  cancel (requestId: string): void {
    const job = this.jobs.get(requestId)
    if (job && isLive(job)) this.end(job, 'cancelled')
  }

  exportKv (requestId: string): KvExport {
    const job = this.find(requestId)
    const tokens = job.promptTokens + job.tokens.length
    return { requestId, model: job.request.model, tokens, memoryBytes: tokens * this.options.kvBytesPerToken, data: JSON.stringify(job.tokens) }
  }

  importKv (kv: KvExport): void {
    this.imported.set(kv.requestId, kv)
  }

  /** Resolves when no request of `model` is queued or runs. */
  async idle (model: string): Promise<void> {
    const isBusy = () => [...this.jobs.values()].some(job => isLive(job) && job.request.model === model)
    while (isBusy()) await new Promise<void>(resolve => this.idleListeners.add(resolve))
  }

  setPaused (paused: boolean): void {
    this.paused = paused
    if (!paused && this.stepDue) this.finishStep()
  }

  /** Ends everything with the process. */
  crash (): void {
    for (const job of this.jobs.values()) if (isLive(job)) this.end(job, 'crashed')
  }

  private find (requestId: string): Job {
    const job = this.jobs.get(requestId)
    if (!job) throw new NotRunError(this.options.engine, `request ${requestId} is unknown`)
    return job
  }

  private takeImported ({ requestId, model }: InferenceRequest): number {
    const kv = this.imported.get(requestId)
    this.imported.delete(requestId)
    if (kv && kv.model !== model) throw new FailedError(this.options.engine, `the KV cache of request ${requestId} belongs to ${kv.model}`)
    return kv?.tokens ?? 0
  }

  private startGrace (job: Job): void {
    job.forget()
    job.forget = this.options.clock.setTimer(this.options.graceMs, () => {
      this.cancel(job.request.requestId)
      if (this.jobs.get(job.request.requestId) === job) this.jobs.delete(job.request.requestId)
    })
  }

  private step (): void {
    if (this.stepping) return
    const { clock, maxBatch, kvTokens, prefillMsPerToken, stepMs, cache, onLoadChange } = this.options
    let prefillTokens = 0
    while (this.running.size < maxBatch && this.queue[0] && this.reservedTokens + this.queue[0].reservedTokens <= kvTokens) {
      const job = this.queue.shift()!
      job.state = 'running'
      job.entry.startMs = clock.nowMs()
      this.reservedTokens += job.reservedTokens
      this.running.add(job)
      prefillTokens += job.prefillTokens
      cache.store(job.request.model, job.prefixHashes)
    }
    onLoadChange()
    if (this.running.size === 0) return
    this.stepping = true
    clock.setTimer(stepMs(this.running.size) + prefillTokens * prefillMsPerToken, () => this.finishStep())
  }

  private finishStep (): void {
    this.stepDue = this.paused
    if (this.paused) return
    this.stepping = false
    for (const job of this.running) {
      if (job.tokens.length < job.request.maxTokens) {
        job.tokens.push(job.nextToken(job.tokens.length))
        job.entry.generated++
      }
      if (job.tokens.length >= job.request.maxTokens) this.end(job, 'ended')
      else notify(job.listeners)
    }
    this.step()
  }

  private end (job: Job, state: 'ended' | 'cancelled' | 'crashed'): void {
    if (job.state === 'running') this.reservedTokens -= job.reservedTokens
    else this.queue.splice(this.queue.indexOf(job), 1)
    job.state = state
    job.entry.endMs = this.options.clock.nowMs()
    job.entry.result = state === 'ended' ? 'completed' : state
    this.running.delete(job)
    notify(job.listeners)
    notify(this.idleListeners)
    this.options.onLoadChange()
  }
}

function notify (listeners: Set<() => void>): void {
  const current = [...listeners]
  listeners.clear()
  for (const listener of current) listener()
}

function nextChange (job: Job, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const wake = () => {
      signal?.removeEventListener('abort', wake)
      job.listeners.delete(wake)
      resolve()
    }
    job.listeners.add(wake)
    signal?.addEventListener('abort', wake, { once: true })
  })
}
