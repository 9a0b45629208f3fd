/** A model fake of an engine with continuous batching, and of the weight store. */

import type { CancelTimer } from '../base/clock.js'
import { hash32 } from '../base/hash.js'
import { splitVersionedModel } from '../config/fleetConfig.js'
import type { CacheEvent } from '../external/engine.js'
import { prefixHashes } from '../policy/routing.js'
import type { EngineEntry } from '../protocol/messages.js'
import type { Deployment, EngineSpec } from './deployments.js'
import type { EventLoop } from './eventLoop.js'

/** One request as the workload generates it. */
export interface BenchRequest {
  index: number
  arrivalMs: number
  node: number
  customer: string
  model: string
  adapter: string | undefined
  /** Shared beginning of the prompt; requests with the same one can use the same cached prefix. */
  prefix: string
  prefixTokens: number
  uniqueTokens: number
  outputTokens: number
  /** A request of the cold sweep, of which each model gets one. */
  sweep: boolean
}

/** Callbacks of one attempt. Exactly one of `onEnd` and `onRefused` is called, unless the attempt is cancelled. */
export interface Attempt {
  request: BenchRequest
  modelName: string
  priority: number
  onFirstToken: () => void
  /** `answer` is absent if the engine failed; `slowShare` is the part of gaps above the target. */
  onEnd: (answer: number | undefined, slowShare: number) => void
  /** Nothing ran: the model is not ready, or the engine is gone. */
  onRefused: () => void
}

interface Running extends Attempt {
  endProgress: number
  startSlow: number
  prefilled: boolean
}

/** Prefixes that an engine keeps; at 1,000 tokens each about the share of KV memory that running requests leave. */
const maxCachedPrefixes = 40
const bytesPerToken = 4

/** The answer's content depends on the model, the adapter and the request, and on nothing else. */
export function answerOf (modelName: string, request: BenchRequest): number {
  return hash32(`${splitVersionedModel(modelName).model}/${request.adapter}/${request.prefix}/${request.index}/${request.outputTokens}`)
}

/** Bytes of a request that cross the network. */
export function requestBytes (request: BenchRequest): { prompt: number, answer: number } {
  return { prompt: (request.prefixTokens + request.uniqueTokens) * bytesPerToken, answer: request.outputTokens * bytesPerToken }
}

/** The store starts loads at its rate, and carries a number of them at full speed and more of them proportionally slower. */
export class StoreModel {
  /** Factor on load times; the workload `slow-store` raises it. */
  slowness = 1
  private nextStartMs = 0
  private inFlight = 0

  constructor (private readonly loop: EventLoop, private readonly deployment: Deployment) {}

  load (memoryBytes: number, onLoaded: () => void): void {
    const { fleet, models } = this.deployment.config
    const startMs = Math.max(this.loop.nowMs(), this.nextStartMs)
    this.nextStartMs = startMs + this.slowness * 1000 / fleet.storeLoadsPerSecond
    this.loop.setTimer(startMs - this.loop.nowMs(), () => {
      this.inFlight++
      const sizes = Object.values(models).map(model => model.memoryBytes)
      const meanBytes = sizes.reduce((sum, size) => sum + size, 0) / sizes.length
      const crowding = Math.max(1, this.inFlight / fleet.storeLoadsInFlight)
      this.loop.setTimer(this.deployment.meanLoadMs * this.slowness * crowding * memoryBytes / meanBytes, () => {
        this.inFlight--
        onLoaded()
      })
    })
  }
}

/**
 * All running requests advance by one token in each step; the step grows with the batch and while a prompt is
 * prefilled. Prompts are prefilled one after the other, the highest priority first.
 */
export class EngineModel {
  readonly entry: EngineEntry
  /** False after the zone was lost. */
  alive = true
  readonly lastUsedMs = new Map<string, number>()
  private readonly loop: EventLoop
  private readonly deployment: Deployment
  private readonly store: StoreModel
  private readonly onChanged: () => void
  private readonly onCacheChanged: (event: CacheEvent) => void
  private cacheSequence = 0
  private readonly running = new Set<Running>()
  private readonly decoding: Running[] = []
  private readonly prefilling: Running[] = []
  private readonly waiting: Running[] = []
  private readonly cachedPrefixes = new Set<number>()
  private progress = 0
  private slowProgress = 0
  private updatedAtMs: number
  private cancelEnd: CancelTimer | undefined
  private cancelPrefill: CancelTimer | undefined
  private activePrefill: Running | undefined

  constructor (spec: EngineSpec, { loop, deployment, store, onChanged, onCacheChanged }: {
    loop: EventLoop, deployment: Deployment, store: StoreModel, onChanged: () => void, onCacheChanged: (event: CacheEvent) => void
  }) {
    this.loop = loop
    this.deployment = deployment
    this.store = store
    this.onChanged = onChanged
    this.onCacheChanged = onCacheChanged
    this.updatedAtMs = loop.nowMs()
    this.entry = {
      engine: spec.name,
      incarnation: '1',
      fence: 0,
      role: 'mixed',
      draining: false,
      accelerators: deployment.acceleratorsPerEngine,
      memoryBytes: deployment.memoryBytes,
      kvCacheBytes: deployment.kvCacheBytes,
      models: [],
      adapters: [],
      running: 0,
      queued: 0,
      maxBatch: deployment.maxBatch,
      freeKvTokens: 0,
      stepMs: deployment.step.baseMs,
      reportedAtMs: loop.nowMs(),
      pool: spec.pool,
      address: '',
      region: spec.region,
      availabilityZone: spec.availabilityZone,
      controller: '',
      controlFence: 0,
      reachable: true
    }
  }

  /** The exact load now. */
  load (): { running: number, queued: number, stepMs: number, reportedAtMs: number } {
    return { running: this.running.size, queued: this.waiting.length, stepMs: this.stepMs(), reportedAtMs: this.loop.nowMs() }
  }

  hasReady (modelName: string): boolean {
    return this.entry.models.some(model => model.name === modelName && model.state === 'ready')
  }

  submit (attempt: Attempt): void {
    const { adapter } = attempt.request
    if (!this.alive || !this.hasReady(attempt.modelName) ||
      (adapter !== undefined && !this.entry.adapters.some(loaded => loaded.name === adapter && loaded.state === 'ready'))) {
      attempt.onRefused()
      return
    }
    this.lastUsedMs.set(attempt.modelName, this.loop.nowMs())
    const running: Running = { ...attempt, endProgress: 0, startSlow: 0, prefilled: false }
    if (this.running.size >= this.deployment.maxBatch) insertByPriority(this.waiting, running)
    else this.start(running)
  }

  /** Unloads `unload` as their requests end, then loads `modelName`. */
  swap (unload: readonly string[], modelName: string | undefined, memoryBytes: number, onDone: (loaded: boolean) => void): void {
    for (const model of this.entry.models) {
      if (unload.includes(model.name)) model.state = 'unloading'
    }
    this.onChanged()
    this.finishUnloads()
    if (modelName === undefined) return
    const attemptLoad = () => {
      if (!this.alive) return onDone(false)
      if (this.entry.models.some(model => unload.includes(model.name))) {
        this.loop.setTimer(50, attemptLoad)
        return
      }
      const loading = { name: modelName, state: 'loading' as 'loading' | 'ready', memoryBytes }
      this.entry.models.push(loading)
      this.checkMemory()
      this.onChanged()
      this.store.load(memoryBytes, () => {
        if (!this.alive) return onDone(false)
        loading.state = 'ready'
        this.lastUsedMs.set(modelName, this.loop.nowMs())
        this.onChanged()
        onDone(true)
      })
    }
    attemptLoad()
  }

  /** Unloads adapters that `wanted` does not name until it fits, the oldest first, as a controller does. */
  makeAdapterRoom (wanted: readonly { adapter: string, memoryBytes: number }[], spaceBytes: number): void {
    const sizeOf = (adapters: readonly { memoryBytes: number }[]) => adapters.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0)
    const added = wanted.filter(({ adapter }) => !this.entry.adapters.some(loaded => loaded.name === adapter))
    while (sizeOf(this.entry.adapters) + sizeOf(added) > spaceBytes) {
      const unloaded = this.entry.adapters.find(({ name }) => !wanted.some(({ adapter }) => adapter === name))
      if (!unloaded) return
      this.entry.adapters = this.entry.adapters.filter(adapter => adapter !== unloaded)
      this.onChanged()
    }
  }

  loadAdapter (adapter: string, baseModel: string, memoryBytes: number, delayMs: number): void {
    if (this.entry.adapters.some(loaded => loaded.name === adapter)) return
    const loading = { name: adapter, baseModel, state: 'loading' as 'loading' | 'ready', memoryBytes }
    this.entry.adapters.push(loading)
    this.checkMemory()
    this.loop.setTimer(delayMs, () => {
      loading.state = 'ready'
      this.onChanged()
    })
  }

  /** The engine is gone; its running requests fail. */
  crash (): void {
    this.alive = false
    this.entry.models = []
    this.entry.adapters = []
    this.failAll(() => true)
  }

  /** Fails the requests that `matches`, as when their connections are cut. */
  failAll (matches: (request: BenchRequest) => boolean): void {
    this.advance()
    const failed = [...this.running, ...this.waiting].filter(attempt => matches(attempt.request))
    for (const attempt of failed) {
      this.running.delete(attempt)
      for (const list of [this.decoding, this.prefilling, this.waiting]) {
        const index = list.indexOf(attempt)
        if (index >= 0) list.splice(index, 1)
      }
      if (this.activePrefill === attempt) {
        this.activePrefill = undefined
        this.cancelPrefill?.()
      }
    }
    heapify(this.decoding)
    this.startPrefill()
    this.schedule()
    for (const attempt of failed) attempt.onEnd(undefined, 1)
  }

  private start (attempt: Running): void {
    this.advance()
    this.running.add(attempt)
    insertByPriority(this.prefilling, attempt)
    this.startPrefill()
    this.schedule()
  }

  private startPrefill (): void {
    if (this.activePrefill || this.prefilling.length === 0) return
    const attempt = this.prefilling.shift()!
    const { request } = attempt
    const cached = this.usePrefix(attempt.modelName, request)
    const { fixedMs, perTokenMs } = this.deployment.prefill
    this.activePrefill = attempt
    const durationMs = fixedMs + perTokenMs * (request.uniqueTokens + (cached ? 0 : request.prefixTokens))
    this.cancelPrefill = this.loop.setTimer(durationMs, () => this.endPrefill(attempt))
  }

  /** Whether the prefix was in the cache; it is afterwards, as the most recently used one. */
  private usePrefix (model: string, request: BenchRequest): boolean {
    const { cachedPrefixes } = this
    const key = prefixHashes(model, request.prefix)[0]!
    const cached = cachedPrefixes.delete(key)
    cachedPrefixes.add(key)
    if (cached) return true
    this.onCacheChanged({ sequence: ++this.cacheSequence, kind: 'stored', model, prefixHash: key, tokens: request.prefixTokens })
    if (cachedPrefixes.size > maxCachedPrefixes) {
      const oldest = cachedPrefixes.values().next().value!
      cachedPrefixes.delete(oldest)
      this.onCacheChanged({ sequence: ++this.cacheSequence, kind: 'evicted', model, prefixHash: oldest, tokens: 0 })
    }
    return false
  }

  private endPrefill (attempt: Running): void {
    this.advance()
    this.activePrefill = undefined
    attempt.prefilled = true
    attempt.endProgress = this.progress + attempt.request.outputTokens - 1
    attempt.startSlow = this.slowProgress
    heapPush(this.decoding, attempt)
    this.startPrefill()
    this.schedule()
    attempt.onFirstToken()
  }

  private stepMs (): number {
    const { baseMs, perRequestMs, prefillMs } = this.deployment.step
    return baseMs + perRequestMs * this.decoding.length + (this.activePrefill ? prefillMs : 0)
  }

  private advance (): void {
    const nowMs = this.loop.nowMs()
    if (this.decoding.length > 0) {
      const stepMs = this.stepMs()
      const steps = (nowMs - this.updatedAtMs) / stepMs
      this.progress += steps
      if (stepMs > slowGapMs) this.slowProgress += steps
    }
    this.updatedAtMs = nowMs
  }

  private schedule (): void {
    this.cancelEnd?.()
    this.cancelEnd = undefined
    const next = this.decoding[0]
    if (next) this.cancelEnd = this.loop.setTimer((next.endProgress - this.progress) * this.stepMs(), () => this.endFirst())
  }

  private endFirst (): void {
    this.advance()
    const ended: Running[] = []
    // The tolerance absorbs rounding of the time of the event.
    while (this.decoding.length > 0 && this.decoding[0]!.endProgress <= this.progress + 1e-6) {
      const attempt = heapPop(this.decoding)
      this.running.delete(attempt)
      ended.push(attempt)
    }
    while (this.waiting.length > 0 && this.running.size < this.deployment.maxBatch) this.start(this.waiting.shift()!)
    this.schedule()
    for (const attempt of ended) {
      const gaps = Math.max(1, attempt.request.outputTokens - 1)
      attempt.onEnd(answerOf(attempt.modelName, attempt.request), (this.slowProgress - attempt.startSlow) / gaps)
    }
    this.finishUnloads()
  }

  private finishUnloads (): void {
    const { models } = this.entry
    if (!models.some(model => model.state === 'unloading')) return
    const used = new Set([...this.running, ...this.waiting].map(attempt => attempt.modelName))
    const remaining = models.filter(model => model.state !== 'unloading' || used.has(model.name))
    if (remaining.length === models.length) return
    this.entry.models = remaining
    this.entry.adapters = this.entry.adapters.filter(adapter => remaining.some(model => model.name === adapter.baseModel))
    this.onChanged()
  }

  private checkMemory (): void {
    const { models, adapters, kvCacheBytes, memoryBytes, engine } = this.entry
    const adapterBytes = adapters.reduce((sum, adapter) => sum + adapter.memoryBytes, 0)
    const used = kvCacheBytes + adapterBytes + models.reduce((sum, model) => sum + model.memoryBytes, 0)
    if (used > memoryBytes) throw new Error(`memory of ${engine} is overcommitted: ${used} of ${memoryBytes} bytes`)
  }
}

/** The target for token gaps; both deployments have the same. */
const slowGapMs = 42

function insertByPriority (list: Running[], attempt: Running): void {
  let index = list.length
  while (index > 0 && list[index - 1]!.priority < attempt.priority) index--
  list.splice(index, 0, attempt)
}

function heapPush (heap: Running[], attempt: Running): void {
  let index = heap.length
  heap.push(attempt)
  while (index > 0) {
    const parent = (index - 1) >> 1
    if (heap[parent]!.endProgress <= attempt.endProgress) break
    heap[index] = heap[parent]!
    index = parent
  }
  heap[index] = attempt
}

function heapPop (heap: Running[]): Running {
  const first = heap[0]!
  const last = heap.pop()!
  if (heap.length > 0) {
    heap[0] = last
    siftDown(heap, 0)
  }
  return first
}

function siftDown (heap: Running[], start: number): void {
  const item = heap[start]!
  let index = start
  for (;;) {
    let child = 2 * index + 1
    if (child >= heap.length) break
    if (child + 1 < heap.length && heap[child + 1]!.endProgress < heap[child]!.endProgress) child++
    if (heap[child]!.endProgress >= item.endProgress) break
    heap[index] = heap[child]!
    index = child
  }
  heap[index] = item
}

function heapify (heap: Running[]): void {
  for (let index = (heap.length >> 1) - 1; index >= 0; index--) siftDown(heap, index)
}
