/** Chooses engines for the requests of all nodes, from the prompts that it has handed to each engine before. */

import type { Clock } from '../base/clock.js'
import { batchShare } from './engineChoice.js'

/** Assumed prompt tokens that an engine reads in a millisecond. */
const prefillTokensPerMs = 20
/**
 * An engine reads prompts in pieces between the tokens of its streams, and an event of a stream waits for several tokens. So an
 * engine gets its prompts in turns: what is handed to it in one turn is read within the pause that callers allow between events,
 * and before the next turn it makes the tokens of one event. Four tokens, the most that an event holds on the known deployments,
 * take 45 ms; the rest is for prompts that arrive later than they were handed out.
 */
const decodeGapMs = 60
/** Part of the allowed pause that is not for reading: the tokens of the event itself, and the same delay on both sides of a turn. */
const eventOverheadMs = 90
/** Pause between events that callers allow, where the route does not say it: that of the known deployments. */
const defaultGapObjectiveMs = 300
/** Each further rank leaves room in a turn for those before it. */
const rankBatchStep = 0.1
const minimumBatchShare = 0.4
/** Part of a turn that requests may use that cannot be in time any more. */
const lateBatchShare = 0.5
/** Part of a turn after which a prompt may still exceed it, so that the largest ones are not left waiting. */
const oversizeBatchShare = 0.1
/** Time after which a full engine may have room again. */
const fullEngineWaitMs = 120
const minimumWaitMs = 40
/** Delay that one more running request adds on an engine, which steps for all of them. */
const runningCostMs = 2.5
/**
 * What a stream between regions costs, in delay: the round trip, and the price of its bytes against the risk that one more
 * prompt holds up the streams of a nearer engine.
 */
const crossRegionCostMs = 60
const crossZoneCostMs = 3
/** Delay that a failure costs: the repeat and what the caller waited before. */
const failureCostMs = 1500
/** Time in which old outcomes lose half of their weight. */
const outcomeHalfLifeMs = 2000
/** Outcomes that are assumed to have been good, so that one failure does not condemn a server. */
const assumedSuccesses = 3
/** Age at which the nodes' reports of running requests include what was handed out. */
const reportLagMs = 350
/** Engines keep the prompt parts of the last seconds. */
const prefixLifetimeMs = 20_000
const maxPrefixes = 256

/** A request that needs an engine. */
export interface DispatchRequest {
  service: string
  model: string
  adapter: string | undefined
  promptTokens: number
  /** Prompt parts that other requests share, in order. */
  sharedParts: readonly PromptPart[]
  rank: number
  region: string
  availabilityZone: string
  /** Backend servers that must not be chosen. */
  excluded: readonly string[]
  /** Longest pause between events within the objective. */
  gapObjectiveMs: number | undefined
  /** Whether the request has not been asked for before. */
  isFirst: boolean
  /** Whether it cannot be in time any more, so that those that can go first. */
  isLate: boolean
}

export interface PromptPart {
  id: string
  tokens: number
}

/** An engine that holds what the request needs. */
export interface DispatchCandidate {
  id: string
  region: string
  availabilityZone: string
  slots: number
  /** Requests in progress, as last reported. */
  running: number
}

interface EngineState {
  /** Time at which it has read the prompts that were handed to it. */
  prefillDoneAtMs: number
  /** Reading time that was handed to it in this turn. */
  batchPrefillMs: number
  assignedAtMs: number[]
  /** Last use of prompt parts, by model, adapter and ID. */
  prefixes: Map<string, number>
  successes: number
  failures: number
  outcomesUpdatedAtMs: number
}

/** An engine for the request, or the time after which to ask again. */
export type DispatchDecision = { kind: 'engine', id: string } | { kind: 'wait', forMs: number }

export class Dispatcher {
  private readonly clock: Clock
  private readonly engines = new Map<string, EngineState>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** The engine on which the request delays itself and others least, or `undefined` if the desk knows none for it. */
  choose (request: DispatchRequest, candidates: readonly DispatchCandidate[]): DispatchDecision | undefined {
    const usable = candidates.filter(({ id }) => !request.excluded.includes(id))
    if (usable.length === 0) return undefined
    let best: { state: EngineState, id: string, ownMs: number } | undefined
    let bestMs = Infinity
    let waitMs = Infinity
    const nowMs = this.clock.nowMs()
    const limitMs = batchLimitMs(request)
    for (const candidate of usable) {
      const state = this.stateOf(candidate.id)
      const running = candidate.running + this.recentlyAssigned(state)
      if (running >= candidate.slots * batchShare(request.rank)) {
        waitMs = Math.min(waitMs, fullEngineWaitMs)
        continue
      }
      if (nowMs >= state.prefillDoneAtMs + decodeGapMs) state.batchPrefillMs = 0
      const ownMs = this.prefillMs(request, state)
      if (state.batchPrefillMs > limitMs * oversizeBatchShare && state.batchPrefillMs + ownMs > limitMs) {
        waitMs = Math.min(waitMs, state.prefillDoneAtMs + decodeGapMs - nowMs)
        continue
      }
      const backlogMs = Math.max(0, state.prefillDoneAtMs - nowMs)
      const costMs = backlogMs + ownMs + running * runningCostMs + distanceCostMs(request, candidate) + this.failureShare(state) * failureCostMs
      if (costMs >= bestMs) continue
      bestMs = costMs
      best = { state, id: candidate.id, ownMs }
    }
    if (!best) return { kind: 'wait', forMs: Math.max(minimumWaitMs, waitMs) }
    this.assign(request, best.state, best.ownMs)
    return { kind: 'engine', id: best.id }
  }

  /** Time that the engine which keeps most of the prompt needs for the rest. */
  minimumPrefillMs (request: DispatchRequest, candidates: readonly DispatchCandidate[]): number {
    return Math.min(request.promptTokens / prefillTokensPerMs, ...candidates.map(({ id }) => this.prefillMs(request, this.stateOf(id))))
  }

  /** Requests that ended well or failed at a server, as one node saw them. */
  onOutcomes (engine: string, succeeded: number, failed: number): void {
    const state = this.stateOf(engine)
    this.decayOutcomes(state)
    state.successes += succeeded
    state.failures += failed
  }

  /** Forgets engines that are gone. */
  keepOnly (isPresent: (engine: string) => boolean): void {
    for (const engine of this.engines.keys()) if (!isPresent(engine)) this.engines.delete(engine)
  }

  private assign (request: DispatchRequest, state: EngineState, ownMs: number): void {
    const nowMs = this.clock.nowMs()
    state.prefillDoneAtMs = Math.max(state.prefillDoneAtMs, nowMs) + ownMs
    state.batchPrefillMs += ownMs
    state.assignedAtMs.push(nowMs)
    for (const part of request.sharedParts) {
      const key = prefixKey(request, part)
      // Insertion order is order of use, so the first is the oldest.
      state.prefixes.delete(key)
      state.prefixes.set(key, nowMs)
    }
    for (const key of state.prefixes.keys()) {
      if (state.prefixes.size <= maxPrefixes) break
      state.prefixes.delete(key)
    }
  }

  /** Time that the engine needs to read the prompt, without the parts that it keeps. */
  private prefillMs (request: DispatchRequest, state: EngineState): number {
    let tokens = request.promptTokens
    for (const part of request.sharedParts) {
      const usedAtMs = state.prefixes.get(prefixKey(request, part))
      // Engines reuse a part only if they keep all parts before it.
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
      state = { prefillDoneAtMs: -Infinity, batchPrefillMs: 0, assignedAtMs: [], prefixes: new Map(), successes: 0, failures: 0, outcomesUpdatedAtMs: nowMs }
      this.engines.set(engine, state)
    }
    return state
  }
}

/** Reading time that may be handed to an engine in one turn up to and with this request. */
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
