/** Decides when and on which engine each inference request of this node runs. */

import { match } from 'ts-pattern'
import { repeat } from '../base/clock.js'
import { splitVersionedModel, versionedModel } from '../config/fleetConfig.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import type { FleetConfig, Rank } from '../config/fleetConfig.js'
import type { CacheEvent, EngineApi } from '../external/engine.js'
import type { Admission } from '../policy/admission.js'
import type { QueueItem, RequestQueue } from '../policy/queue.js'
import { enginePriorities, guaranteedSharePriority } from '../policy/routing.js'
import type { RouteRequest, Router } from '../policy/routing.js'
import type { EngineEntry } from '../protocol/messages.js'
import type { EngineAssignment } from './generation.js'
import { ProblemError } from './problem.js'
import type { RequestTrace } from './trace.js'

/** A request that waits for an engine. */
export interface PendingRequest extends QueueItem<Rank> {
  route: RouteRequest
  trace: RequestTrace
  /** What the last look for an engine found. */
  waitReason: string
  resolve: (assignment: EngineAssignment) => void
  reject: (error: unknown) => void
}

/** What the caller of `assign` knows of a request. */
export interface AssignRequest {
  requestId: string
  rank: Rank
  customer: string
  customerWeight: number
  /** Target for the first token; 0 means that only the deadline counts. */
  firstTokenMs: number
  /** Time of arrival at the node. */
  arrivedAtMs: number
  /** Model or adapter as the caller named it. */
  requestedModel: string
  /** Base model, without version. */
  model: string
  /** Set if only this version can continue the answer. */
  versionedModel: string | undefined
  adapter: string | undefined
  prompt: string
  promptBytes: number
  costTokens: number
  deadlineMs: number
  excludeEngines: ReadonlySet<string>
  /** True for the first attempt: only then the request may be refused by admission. */
  isNew: boolean
  trace: RequestTrace
  signal: AbortSignal
}

export interface SchedulerOptions {
  clock: Clock
  log: Log
  queue: RequestQueue<PendingRequest>
  admission: Admission
  router: Router
  config: () => FleetConfig
  /** Engines that take new work: reachable, neither draining nor leaving. */
  engines: () => EngineEntry[]
  engineApi: (entry: EngineEntry) => EngineApi
  /** Mean time of a model load, in milliseconds. */
  loadTimeMs: () => number
  /** Called when a request waits for a model or adapter that no engine has ready. */
  onWanted: () => void
}

// Engine reports and expiries that no event announces are seen within this time.
const pumpPeriodMs = 25
/** Time from dispatch to the first token on an engine that is not overloaded. */
const firstTokenMarginMs = 150

/** Owns the queue of this node. */
export class Scheduler {
  private readonly options: SchedulerOptions
  private stopTimer: CancelTimer | undefined
  private readonly startedAtMs = new Map<string, { atMs: number, rank: Rank, model: string, tokens: number }>()
  private pumpScheduled = false

  constructor (options: SchedulerOptions) {
    this.options = options
  }

  start (): void {
    this.stopTimer = repeat(this.options.clock, pumpPeriodMs, () => this.pump())
  }

  stop (): void {
    this.stopTimer?.()
  }

  get queue (): RequestQueue<PendingRequest> {
    return this.options.queue
  }

  /** Passes on what engines say about their prompt-prefix caches. */
  onCacheEvents (engine: string, events: CacheEvent[], complete: boolean): void {
    this.options.router.onCacheEvents(engine, events, complete)
  }

  /** Resolves with an engine; the request is then in progress there. Rejects with `ProblemError` (`not-run`). */
  assign (request: AssignRequest): Promise<EngineAssignment> {
    return new Promise((resolve, reject) => {
      if (request.signal.aborted) return reject(request.signal.reason)
      const pending = this.pendingOf(request, resolve, reject)
      if (request.isNew && !this.admit(pending)) return
      this.options.queue.add(pending)
      request.signal.addEventListener('abort', () => {
        if (this.options.queue.remove(request.requestId)) reject(request.signal.reason)
      }, { once: true })
      this.schedulePump()
    })
  }

  /** Looks for work that can start now. Call it when an engine has changed or a request has ended. */
  schedulePump (): void {
    if (this.pumpScheduled) return
    this.pumpScheduled = true
    queueMicrotask(() => {
      this.pumpScheduled = false
      this.pump()
    })
  }

  private pendingOf (request: AssignRequest, resolve: PendingRequest['resolve'], reject: PendingRequest['reject']): PendingRequest {
    const { requestId, rank, customer, customerWeight, requestedModel, model, deadlineMs, costTokens, trace, adapter, prompt, promptBytes, excludeEngines } = request
    const version = this.options.config().models[model]?.version ?? ''
    return {
      requestId,
      rank,
      customer,
      customerWeight,
      model: requestedModel,
      deadlineMs,
      costTokens,
      trace,
      enqueuedAtMs: this.options.clock.nowMs(),
      route: { requestId, model: request.versionedModel ?? versionedModel(model, version), adapter, prompt, rank, promptBytes, excludeEngines },
      ...(request.firstTokenMs > 0 ? { targetAtMs: request.arrivedAtMs + request.firstTokenMs - firstTokenMarginMs } : {}),
      waitReason: 'queued',
      resolve,
      reject
    }
  }

  private admit (pending: PendingRequest): boolean {
    const decision = this.options.admission.decide(pending, {
      queue: this.options.queue as unknown as RequestQueue<QueueItem<Rank>>,
      engines: this.options.engines(),
      loadTimeMs: this.options.loadTimeMs()
    })
    pending.trace.add('admit', decision.admitted ? decision.reason : `refused: ${decision.reason}`)
    if (decision.admitted) return true
    pending.reject(new ProblemError(503, 'overloaded', 'not-run', decision.reason, { retryAfterMs: decision.retryAfterMs }))
    return false
  }

  private pump (): void {
    const { queue, router, clock } = this.options
    for (const expired of queue.removeExpired(clock.nowMs())) {
      expired.reject(new ProblemError(503, 'deadline', 'not-run', `waited until the deadline: ${expired.waitReason}`, { retryAfterMs: this.options.loadTimeMs() }))
    }
    if (queue.size() === 0) return
    const engines = this.options.engines()
    const blocked = new Map<string, string>()
    let wanted = false
    for (;;) {
      let chosen: string | undefined
      const item = queue.next(candidate => {
        // A request that can no longer attain its target yields to those that can.
        const rank = candidate.late ? 'browsing' : candidate.rank
        const keptMinimum = candidate.usesGuaranteedShare ?? false
        const key = blockingKey(candidate, rank, keptMinimum)
        const known = blocked.get(key)
        if (known !== undefined) {
          candidate.waitReason = known
          return false
        }
        const decision = router.choose({ ...candidate.route, rank, usesGuaranteedShare: keptMinimum }, engines)
        return match(decision)
          .with({ kind: 'engine' }, ({ engine, reason }) => {
            chosen = engine
            candidate.trace.add('route', `engine ${engine}: ${reason}`)
            return true
          })
          .with({ kind: 'wait' }, ({ reason, detail }) => {
            wanted ||= reason === 'no-replica'
            candidate.waitReason = `${reason}: ${detail}`
            blocked.set(key, candidate.waitReason)
            return false
          })
          .exhaustive()
      })
      if (!item || !chosen) break
      this.dispatch(item, engines.find(({ engine }) => engine === chosen)!)
    }
    if (wanted) this.options.onWanted()
  }

  private dispatch (item: PendingRequest, entry: EngineEntry): void {
    const { router, clock } = this.options
    const { engine } = entry
    router.onDispatched(engine, item.requestId, item.costTokens)
    this.startedAtMs.set(item.requestId, { atMs: clock.nowMs(), rank: item.rank, model: item.model, tokens: item.costTokens })
    item.resolve({
      engine,
      model: item.route.model,
      priority: item.usesGuaranteedShare ? guaranteedSharePriority : enginePriorities[item.late ? 'browsing' : item.rank],
      api: this.options.engineApi(entry),
      onFirstToken: latencyMs => router.onFirstToken(engine, item.requestId, latencyMs),
      onEnded: result => this.onEnded(engine, item.requestId, result)
    })
  }

  private onEnded (engine: string, requestId: string, result: 'ok' | 'failed' | 'cancelled'): void {
    const { router, admission, clock } = this.options
    router.onEnded(engine, requestId, result)
    const started = this.startedAtMs.get(requestId)
    this.startedAtMs.delete(requestId)
    if (started && result === 'ok') {
      admission.onCompleted({ rank: started.rank, model: started.model, serviceMs: clock.nowMs() - started.atMs, tokens: started.tokens })
    }
    this.schedulePump()
  }
}

/** Requests with the same key have the same candidates, so one look serves all of them within a pump. */
function blockingKey ({ route }: PendingRequest, rank: Rank, keptMinimum: boolean): string {
  return [route.model, route.adapter ?? '', rank, String(keptMinimum), ...route.excludeEngines].join('\n')
}

/** Models, without version, that have a ready copy among `engines`. */
export function readyModels (engines: readonly EngineEntry[]): Set<string> {
  return new Set(engines.flatMap(({ models }) => models.filter(({ state }) => state === 'ready').map(({ name }) => splitVersionedModel(name).model)))
}
