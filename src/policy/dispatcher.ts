/** Chooses engines for the requests of all nodes. Estimates each engine's prefill backlog from the prompts assigned to it. */

import type { Clock } from '../base/clock.js'
import type { ServerCapacityRow } from './capacityTable.js'
import { batchShare } from './engineChoice.js'
import { fitsTokens } from './tokenLedger.js'
import type { TokenLedger } from './tokenLedger.js'

/** Assumed prefill throughput of an engine with a delay factor of 1. */
const prefillTokensPerMs = 20
/**
 * Time between prefill batches in which an engine generates the tokens of one stream event. Engines interleave chunked prefill with
 * decoding, so prompts are assigned in batches whose prefill fits into the gap that callers allow between events. An event holds at
 * most four tokens on the known deployments, which take 45 ms; the remainder covers the delay between assignment and arrival.
 */
const decodeGapMs = 60
/** Part of the allowed gap that prefill must not use: decoding one event, and the arrival delay before and after a batch. */
const eventOverheadMs = 90
/** Allowed gap between events for routes that do not set one; the value of the known deployments. */
const defaultGapObjectiveMs = 300
/** Share of a prefill batch that each less urgent rank leaves free for more urgent ranks. */
const rankBatchStep = 0.1
const minimumBatchShare = 0.4
/** Largest share of a prefill batch for requests that can no longer meet their objective. */
const lateBatchShare = 0.5
/** A prompt that exceeds the batch limit is still assigned while the used share of the batch is at most this, to prevent starvation. */
const oversizeBatchShare = 0.1
/** Delay before the next dispatch request when an engine has no free slots. */
const fullEngineWaitMs = 120
const minimumWaitMs = 40
/** Delay that each running request adds, since every engine step processes all of them. */
const runningCostMs = 2.5
/**
 * Cost of a cross-region stream, as a delay: the round trip, and the price of its traffic weighed against the risk that one more
 * prompt delays the streams of a nearer engine.
 */
const crossRegionCostMs = 60
const crossZoneCostMs = 3
/** Delay caused by a failed attempt: the time until the failure, and the retry. */
const failureCostMs = 1500
/**
 * Cost of an engine that is at its learned limit: about one pause that callers notice. As a hard limit it left slots of the only engines
 * with a busy model free, and requests were refused that would have been served with a pause.
 */
const overLimitCostMs = 300
/** Time after the last assignment from which an engine without requests has no prompt left to prefill, whatever was assigned to it. */
const idleAfterMs = 1000
const outcomeHalfLifeMs = 2000
/** Successes added to each server's record, so that a single failure does not exclude it. */
const assumedSuccesses = 3
/** Time after which the nodes' reports of running requests include an assigned request. */
const reportLagMs = 350
/** Assumed time for which engines cache a prompt part after its last use. */
const prefixLifetimeMs = 20_000
const maxPrefixes = 256

/** Request for an engine that runs one inference request. */
export interface DispatchRequest {
  service: string
  model: string
  adapter: string | undefined
  promptTokens: number
  /** Expected output tokens; 0 if unknown. */
  outputTokens?: number | undefined
  /** Prompt parts that other requests share, in order. */
  sharedParts: readonly PromptPart[]
  /** Identity of the request, if engines have ended under any. */
  identity?: string | undefined
  rank: number
  region: string
  availabilityZone: string
  /** IDs of backend servers that must not be chosen. */
  excluded: readonly string[]
  /** IDs of the backend servers that may be chosen; absent if all may. */
  only?: readonly string[] | undefined
  /** Longest gap between events that meets the objective. */
  gapObjectiveMs: number | undefined
  /** Node that sends the request; set by the leader. */
  node?: string
  /** Whether this is the first dispatch request for the inference request. */
  isFirst: boolean
  /** Whether the request can no longer meet its objective; it yields to requests that can. */
  isLate: boolean
}

export interface PromptPart {
  id: string
  tokens: number
}

/** An engine with a replica of the model and the adapter that the request needs. */
export interface DispatchCandidate {
  id: string
  region: string
  availabilityZone: string
  slots: number
  /** Requests in progress, as last reported. */
  running: number
  /** Whether `running` includes all assignments, so that those of the last moments are not added. */
  isExact?: boolean
  /** Token memory; absent if tokens are not accounted for. */
  cacheTokens?: number
}

/** What has been learned of engines and models. */
export interface LearnedCapacity {
  of (server: string, slots: number): ServerCapacityRow
  /** Delay factor of a model, which multiplies that of the engine. */
  paceOf (service: string, model: string): number
}

export interface DispatcherOptions {
  /** Absent: every engine has a delay factor of 1 and takes as many requests as it has slots. */
  capacity?: LearnedCapacity
  /** Absent: tokens are not accounted for. */
  tokens?: TokenLedger
}

interface EngineState {
  /** Estimated end of the prefill of all assigned prompts. */
  prefillDoneAtMs: number
  /** Prefill time assigned in the current batch. */
  batchPrefillMs: number
  /** Number of the current batch. */
  batch: number
  lastAssignedAtMs: number
  /** Assignments that reports may not show yet, oldest first. */
  assignedAtMs: number[]
  /** Time of last use of each prompt part, by model, adapter and part ID. */
  prefixes: Map<string, number>
  successes: number
  failures: number
  outcomesUpdatedAtMs: number
}

/**
 * An engine for the request, or the delay after which to send the dispatch request again. With `trial`, the request may be sent
 * although its prompt parts are under suspicion; `isForTrial`: it waits for that permission. `giveBack` tells the dispatcher of a request
 * that the engine does not run. `lacksTokensAt`: the engine with the least
 * tokens among those where the request lacks only token memory, and where it would fit if they were empty.
 */
export type DispatchDecision =
  | { kind: 'engine', id: string, trial?: string, giveBack?: () => void } & AssignmentDetails
  | { kind: 'wait', forMs: number, isForTrial?: true, lacksTokensAt?: string }

export interface AssignmentDetails {
  /** Expected time until the prompt is prefilled, if the delay factors were 1; absent if no factors are learned. */
  priorMs?: number
  /** Number of the assignment, if tokens are accounted for. */
  assignment?: number
}

/** What was reserved for a request. */
interface AssignedPrefill {
  prefillMs: number
  atMs: number
  /** Estimated end of the prefill. */
  doneAtMs: number
  batch: number
  /** Prompt parts that the engine did not have before. */
  newPrefixes: string[]
}

export class Dispatcher {
  private readonly clock: Clock
  private readonly engines = new Map<string, EngineState>()
  /** For the return of assignments. */
  private readonly assigned = new WeakMap<DispatchRequest, AssignedPrefill>()
  private readonly options: DispatcherOptions

  constructor (clock: Clock, options: DispatcherOptions = {}) {
    this.clock = clock
    this.options = options
  }

  /**
   * Assigns the request to the engine where it delays itself and others least, or returns a wait if none has free capacity. Returns
   * `undefined` if no candidate is allowed.
   */
  choose (request: DispatchRequest, candidates: readonly DispatchCandidate[]): DispatchDecision | undefined {
    const usable = candidates.filter(({ id }) => !request.excluded.includes(id) && (request.only?.includes(id) ?? true))
    if (usable.length === 0) return undefined
    let best: { state: EngineState, id: string, prefillMs: number, priorMs: number } | undefined
    let bestMs = Infinity
    let waitMs = Infinity
    let lacksTokensAt: string | undefined
    let leastTokens = Infinity
    const nowMs = this.clock.nowMs()
    const limitMs = batchLimitMs(request)
    for (const candidate of usable) {
      const state = this.stateOf(candidate.id)
      const running = candidate.running + (candidate.isExact ? 0 : this.recentlyAssigned(state))
      const { factor, limit } = this.capacityOf(request, candidate)
      if (running >= candidate.slots * batchShare(request.rank)) {
        waitMs = Math.min(waitMs, fullEngineWaitMs)
        continue
      }
      const heldTokens = this.options.tokens?.of(candidate.id) ?? 0
      if (!this.fits(request, candidate, heldTokens)) {
        waitMs = Math.min(waitMs, fullEngineWaitMs)
        if (heldTokens < leastTokens && this.fits(request, candidate, 0)) {
          leastTokens = heldTokens
          lacksTokensAt = candidate.id
        }
        continue
      }
      // Also what was assigned by a node that is gone, or was never sent.
      if (running === 0 && nowMs >= state.lastAssignedAtMs + idleAfterMs) state.prefillDoneAtMs = Math.min(state.prefillDoneAtMs, nowMs - decodeGapMs)
      if (nowMs >= state.prefillDoneAtMs + decodeGapMs) {
        state.batchPrefillMs = 0
        state.batch++
      }
      const prefillMs = this.prefillMs(request, state) * factor
      if (state.batchPrefillMs > limitMs * oversizeBatchShare && state.batchPrefillMs + prefillMs > limitMs) {
        waitMs = Math.min(waitMs, state.prefillDoneAtMs + decodeGapMs - nowMs)
        continue
      }
      const backlogMs = Math.max(0, state.prefillDoneAtMs - nowMs)
      const costMs = backlogMs + prefillMs + running * runningCostMs + distanceCostMs(request, candidate) +
        this.failureShare(state) * failureCostMs + (running >= Math.floor(limit) ? overLimitCostMs : 0)
      if (costMs >= bestMs) continue
      bestMs = costMs
      best = { state, id: candidate.id, prefillMs, priorMs: (backlogMs + prefillMs) / factor }
    }
    if (!best) return { kind: 'wait', forMs: Math.max(minimumWaitMs, waitMs), ...(lacksTokensAt === undefined ? {} : { lacksTokensAt }) }
    this.assign(request, best.state, best.prefillMs)
    const { capacity, tokens } = this.options
    const { node = '', promptTokens, outputTokens = 0 } = request
    return {
      kind: 'engine',
      id: best.id,
      ...(capacity ? { priorMs: best.priorMs } : {}),
      ...(tokens ? { assignment: tokens.assign(node, best.id, promptTokens + outputTokens) } : {})
    }
  }

  /** Delay factor of the request on the engine, and the limit of requests in progress there. */
  private capacityOf ({ service, model }: DispatchRequest, { id, slots }: DispatchCandidate): Pick<ServerCapacityRow, 'factor' | 'limit'> {
    const { capacity } = this.options
    if (!capacity) return { factor: 1, limit: Infinity }
    const { factor, limit } = capacity.of(id, slots)
    return { factor: factor * capacity.paceOf(service, model), limit }
  }

  private fits ({ promptTokens, outputTokens = 0 }: DispatchRequest, { cacheTokens }: DispatchCandidate, heldTokens: number): boolean {
    return !this.options.tokens || cacheTokens === undefined || fitsTokens({ promptTokens, outputTokens }, heldTokens, cacheTokens)
  }

  /** Takes back what is left of an assignment whose request the engine does not run, so that no other request waits for its prefill. */
  returnAssignment (request: DispatchRequest, engine: string): void {
    const state = this.engines.get(engine)
    const assigned = this.assigned.get(request)
    if (!state || !assigned) return
    this.assigned.delete(request)
    const nowMs = this.clock.nowMs()
    // The assignments are alike for `recentlyAssigned`; removing the latest keeps the others counted until reports show them.
    if (nowMs - assigned.atMs <= reportLagMs) state.assignedAtMs.pop()
    state.prefillDoneAtMs -= Math.min(assigned.prefillMs, Math.max(0, assigned.doneAtMs - nowMs))
    for (const key of assigned.newPrefixes) if (state.prefixes.get(key) === assigned.atMs) state.prefixes.delete(key)
    if (state.batch === assigned.batch) state.batchPrefillMs = Math.max(0, state.batchPrefillMs - assigned.prefillMs)
  }

  /** Whether the prompt of an assigned request is still to be prefilled, as far as it is estimated. */
  isPrefilling (request: DispatchRequest): boolean {
    return (this.assigned.get(request)?.doneAtMs ?? -Infinity) > this.clock.nowMs()
  }

  /** Shortest prefill time on any candidate, considering cached prompt parts; without candidates, that of the entire prompt. */
  minimumPrefillMs (request: DispatchRequest, candidates: readonly DispatchCandidate[]): number {
    const pace = this.options.capacity?.paceOf(request.service, request.model) ?? 1
    const prefillMs = candidates.map(candidate => this.prefillMs(request, this.stateOf(candidate.id)) * this.capacityOf(request, candidate).factor)
    return Math.min(request.promptTokens / prefillTokensPerMs * pace, ...prefillMs)
  }

  /** Records how many requests succeeded and failed on an engine, as reported by one node. */
  onOutcomes (engine: string, succeeded: number, failed: number): void {
    const state = this.stateOf(engine)
    this.decayOutcomes(state)
    state.successes += succeeded
    state.failures += failed
  }

  /** Drops the state of removed engines. */
  keepOnly (isPresent: (engine: string) => boolean): void {
    for (const engine of this.engines.keys()) if (!isPresent(engine)) this.engines.delete(engine)
  }

  private assign (request: DispatchRequest, state: EngineState, prefillMs: number): void {
    const nowMs = this.clock.nowMs()
    state.prefillDoneAtMs = Math.max(state.prefillDoneAtMs, nowMs) + prefillMs
    state.batchPrefillMs += prefillMs
    state.lastAssignedAtMs = nowMs
    this.assigned.set(request, { prefillMs, atMs: nowMs, doneAtMs: state.prefillDoneAtMs, batch: state.batch, newPrefixes: request.sharedParts.map(part => prefixKey(request, part)).filter(key => !state.prefixes.has(key)) })
    // Where loads are exact, nothing else drops the old ones.
    this.recentlyAssigned(state)
    state.assignedAtMs.push(nowMs)
    for (const part of request.sharedParts) {
      const key = prefixKey(request, part)
      // Reinserting keeps the map in order of last use, so the first key is the oldest.
      state.prefixes.delete(key)
      state.prefixes.set(key, nowMs)
    }
    for (const key of state.prefixes.keys()) {
      if (state.prefixes.size <= maxPrefixes) break
      state.prefixes.delete(key)
    }
  }

  /** Prefill time of the prompt on the engine with a delay factor of 1, without the parts that are cached there. */
  private prefillMs (request: DispatchRequest, state: EngineState): number {
    let tokens = request.promptTokens
    for (const part of request.sharedParts) {
      const usedAtMs = state.prefixes.get(prefixKey(request, part))
      // Engines reuse a part only if all preceding parts are cached too.
      if (usedAtMs === undefined || this.clock.nowMs() - usedAtMs > prefixLifetimeMs) break
      tokens -= part.tokens
    }
    return Math.max(0, tokens) / prefillTokensPerMs
  }

  private recentlyAssigned (state: EngineState): number {
    const sinceMs = this.clock.nowMs() - reportLagMs
    while (state.assignedAtMs.length > 0 && state.assignedAtMs[0]! < sinceMs) state.assignedAtMs.shift()
    return state.assignedAtMs.length
  }

  private failureShare (state: EngineState): number {
    this.decayOutcomes(state)
    return state.failures / (state.successes + state.failures + assumedSuccesses)
  }

  private decayOutcomes (state: EngineState): void {
    const nowMs = this.clock.nowMs()
    const weight = 0.5 ** ((nowMs - state.outcomesUpdatedAtMs) / outcomeHalfLifeMs)
    state.successes *= weight
    state.failures *= weight
    state.outcomesUpdatedAtMs = nowMs
  }

  private stateOf (engine: string): EngineState {
    let state = this.engines.get(engine)
    if (!state) {
      const nowMs = this.clock.nowMs()
      state = { prefillDoneAtMs: -Infinity, batchPrefillMs: 0, batch: 0, lastAssignedAtMs: -Infinity, assignedAtMs: [], prefixes: new Map(), successes: 0, failures: 0, outcomesUpdatedAtMs: nowMs }
      this.engines.set(engine, state)
    }
    return state
  }
}

/** Largest prefill time of a batch, including this request. */
function batchLimitMs ({ gapObjectiveMs = defaultGapObjectiveMs, rank, isLate }: DispatchRequest): number {
  const share = Math.max(minimumBatchShare, 1 - rank * rankBatchStep)
  return Math.max(decodeGapMs, gapObjectiveMs - eventOverheadMs) * (isLate ? Math.min(share, lateBatchShare) : share)
}

function prefixKey ({ model, adapter }: DispatchRequest, { id }: PromptPart): string {
  return `${model}/${adapter ?? ''}/${id}`
}

function distanceCostMs (request: DispatchRequest, { region, availabilityZone }: DispatchCandidate): number {
  if (region !== request.region) return crossRegionCostMs
  return availabilityZone === request.availabilityZone ? 0 : crossZoneCostMs
}
