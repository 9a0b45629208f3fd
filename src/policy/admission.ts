/** Admission control: refuses requests at arrival that cannot be served in time. */

import type { Clock } from '../base/clock.js'
import { ranks } from '../config/fleetConfig.js'
import type { FleetConfig, Rank } from '../config/fleetConfig.js'
import type { EngineEntry } from '../protocol/messages.js'
import { CeilingLimiter } from './ceiling.js'
import type { QueueItem, RequestQueue } from './queue.js'

export type AdmissionDecision =
  | { admitted: true, reason: string }
  | { admitted: false, reason: string, retryAfterMs: number }

export interface AdmissionState {
  queue: RequestQueue<QueueItem<Rank>>
  /** All known engines, with or without the model. */
  engines: EngineEntry[]
  /** Recent mean duration of a model load. */
  loadTimeMs: number
}

/** Weight of a new sample in the moving averages. */
const smoothing = 0.1
/** The completion rate is measured over the current and the previous window of this length. */
const rateWindowMs = 5_000
const minRetryAfterMs = 250
const maxRetryAfterMs = 60_000
/** Assumed for models without completed requests. */
const defaultServiceMs = 1_000

interface ModelStatistics {
  serviceMs: number
  previousCount: number
  currentCount: number
  windowStartMs: number
}

/** Admission control of one node. */
export class Admission {
  private readonly clock: Clock
  private readonly config: () => FleetConfig
  private readonly ceilings: CeilingLimiter
  private readonly models = new Map<string, ModelStatistics>()

  /** `nodeCount` returns the number of nodes that receive a customer's requests; rate limits are divided by it. */
  constructor ({ clock, config, nodeCount = () => 1 }: { clock: Clock, config: () => FleetConfig, nodeCount?: () => number }) {
    this.clock = clock
    this.config = config
    this.ceilings = new CeilingLimiter(clock, nodeCount)
  }

  decide (request: QueueItem<Rank> & { ceilingRequestsPerSecond?: number }, state: AdmissionState): AdmissionDecision {
    const nowMs = this.clock.nowMs()
    state.queue.recordDemand(request.rank)
    if (request.deadlineMs <= nowMs) return refusal('deadline has passed', minRetryAfterMs)
    const ceilingWaitMs = request.ceilingRequestsPerSecond === undefined ? 0 : this.ceilings.take(request.customer, request.ceilingRequestsPerSecond)
    if (ceilingWaitMs > 0) return refusal(`customer is above its ceiling of ${request.ceilingRequestsPerSecond} requests/s`, ceilingWaitMs)

    const slackMs = request.deadlineMs - nowMs
    const replicas = readyReplicaCount(request.model, state.engines, this.config())
    if (replicas === 0) {
      if (state.loadTimeMs > slackMs) return refusal(`model is not loaded; loading takes ${Math.round(state.loadTimeMs)} ms`, state.loadTimeMs)
      return { admitted: true, reason: 'waits for a model load' }
    }
    const { rank } = request
    if (state.queue.credit(rank) >= 1 && state.queue.size(rank) < state.queue.credit(rank)) {
      return { admitted: true, reason: 'guaranteed share of the rank' }
    }
    const waitMs = this.expectedWaitMs(request, state, nowMs)
    const { firstTokenMs } = this.config().ranks[rank]
    const targetSlackMs = (request.targetAtMs ?? Infinity) - nowMs
    const neededMs = firstTokenMs > 0 ? 0 : this.models.get(request.model)?.serviceMs ?? defaultServiceMs
    const usableMs = Math.min(slackMs - neededMs, targetSlackMs)
    if (waitMs > usableMs) return refusal(`expected wait of ${Math.round(waitMs)} ms exceeds ${Math.round(usableMs)} ms`, waitMs - usableMs)
    return { admitted: true, reason: waitMs > 0 ? `expected wait of ${Math.round(waitMs)} ms` : 'no wait' }
  }

  onCompleted ({ model, serviceMs }: { rank: Rank, model: string, serviceMs: number, tokens: number }): void {
    const nowMs = this.clock.nowMs()
    let statistics = this.models.get(model)
    if (!statistics) {
      this.models.set(model, statistics = { serviceMs, previousCount: 0, currentCount: 0, windowStartMs: nowMs })
    }
    rotate(statistics, nowMs)
    statistics.serviceMs += smoothing * (serviceMs - statistics.serviceMs)
    statistics.currentCount++
  }

  /** Estimated time until dispatch, from the requests ahead in the queue and the recent completion rate of the model. */
  private expectedWaitMs (request: QueueItem<Rank>, { queue }: AdmissionState, nowMs: number): number {
    const { ranks: rankConfigs } = this.config()
    let ahead = 0
    for (const rank of ranks) {
      const waiting = queue.sizeOfModel(request.model, rank)
      if (rank === request.rank) {
        const share = queue.customerShare(rank, request.customer)
        ahead += Math.min(waiting, (share.waiting + 1) * Math.max(1, share.customers))
      } else if (rankConfigs[rank].requestValue > rankConfigs[request.rank].requestValue) {
        ahead += waiting
      }
    }
    if (ahead === 0) return 0
    const statistics = this.models.get(request.model)
    if (!statistics) return 0
    rotate(statistics, nowMs)
    const count = statistics.previousCount + statistics.currentCount
    const spanMs = rateWindowMs + nowMs - statistics.windowStartMs
    return ahead * spanMs / Math.max(1, count)
  }
}

function rotate (statistics: ModelStatistics, nowMs: number): void {
  const elapsedMs = nowMs - statistics.windowStartMs
  if (elapsedMs < rateWindowMs) return
  statistics.previousCount = elapsedMs < 2 * rateWindowMs ? statistics.currentCount : 0
  statistics.currentCount = 0
  statistics.windowStartMs = nowMs - elapsedMs % rateWindowMs
}

function refusal (reason: string, retryAfterMs: number): AdmissionDecision {
  return { admitted: false, reason, retryAfterMs: Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs))) }
}

/** Number of available engines on which any version of the model, or of the adapter's base model, is ready. */
function readyReplicaCount (name: string, engines: readonly EngineEntry[], config: FleetConfig): number {
  const model = config.adapters[name]?.baseModel ?? name
  const prefix = `${model}@`
  let count = 0
  for (const engine of engines) {
    if (engine.draining || !engine.reachable) continue
    if (engine.models.some(loaded => loaded.state === 'ready' && (loaded.name.startsWith(prefix) || loaded.name === model))) count++
  }
  return count
}
