/** Chooses engines for the requests of all nodes, from the prompts that it has handed to each engine before. */

import type { Clock } from '../base/clock.js'
import { batchShare } from './engineChoice.js'

/** Assumed prompt tokens that an engine reads in a millisecond. */
const promptTokensPerMs = 20
/**
 * An engine reads prompts in pieces between the tokens of its streams, and an event of a stream waits for several tokens. So an
 * engine gets its prompts in turns: what is handed to it in one turn is read within the pause that callers allow between events,
 * and before the next turn it makes the tokens of one event. Four tokens, the most that an event holds on the known deployments,
 * take 45 ms; the rest is for prompts that arrive later than they were handed out.
 */
const restMs = 60
/** Part of the allowed pause that is not for reading: the tokens of the event itself, and the same delay on both sides of a turn. */
const eventMs = 90
/** Pause between events that callers allow, where the route does not say it: that of the known deployments. */
const usualGapMs = 300
/** Each further rank leaves room in a turn for those before it. */
const rankTurnStep = 0.1
const smallestTurnShare = 0.4
/** Part of a turn that requests may use that cannot be in time any more. */
const lateTurnShare = 0.5
/** Part of a turn after which a prompt may still exceed it, so that the largest ones are not left waiting. */
const oversizeShare = 0.1
/** Time after which a full engine may have room again. */
const fullWaitMs = 120
const shortestWaitMs = 40
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
const assumedGood = 3
/** Age at which the nodes' reports of running requests include what was handed out. */
const reportLagMs = 350
/** Engines keep the prompt parts of the last seconds. */
const prefixLifeMs = 20_000
const maxPrefixes = 256

/** A request that needs an engine. */
export interface DispatchAsk {
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
  readUntilMs: number
  /** Reading time that was handed to it in this turn. */
  turnMs: number
  handedAtMs: number[]
  /** Last use of prompt parts, by model, adapter and ID. */
  prefixes: Map<string, number>
  good: number
  bad: number
  outcomesAtMs: number
}

/** An engine for the request, or the time after which to ask again. */
export type DispatchChoice = { kind: 'engine', id: string } | { kind: 'wait', forMs: number }

export class DispatchDesk {
  private readonly clock: Clock
  private readonly engines = new Map<string, EngineState>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** The engine on which the request delays itself and others least, or `undefined` if the desk knows none for it. */
  choose (ask: DispatchAsk, candidates: readonly DispatchCandidate[]): DispatchChoice | undefined {
    const usable = candidates.filter(({ id }) => !ask.excluded.includes(id))
    if (usable.length === 0) return undefined
    let best: { state: EngineState, id: string, ownMs: number } | undefined
    let bestMs = Infinity
    let waitMs = Infinity
    const nowMs = this.clock.nowMs()
    const limitMs = turnLimitMs(ask)
    for (const candidate of usable) {
      const state = this.stateOf(candidate.id)
      const running = candidate.running + this.handedLately(state)
      if (running >= candidate.slots * batchShare(ask.rank)) {
        waitMs = Math.min(waitMs, fullWaitMs)
        continue
      }
      if (nowMs >= state.readUntilMs + restMs) state.turnMs = 0
      const ownMs = this.readingMs(ask, state)
      if (state.turnMs > limitMs * oversizeShare && state.turnMs + ownMs > limitMs) {
        waitMs = Math.min(waitMs, state.readUntilMs + restMs - nowMs)
        continue
      }
      const backlogMs = Math.max(0, state.readUntilMs - nowMs)
      const costMs = backlogMs + ownMs + running * runningCostMs + distanceMs(ask, candidate) + this.failureShare(state) * failureCostMs
      if (costMs >= bestMs) continue
      bestMs = costMs
      best = { state, id: candidate.id, ownMs }
    }
    if (!best) return { kind: 'wait', forMs: Math.max(shortestWaitMs, waitMs) }
    this.hand(ask, best.state, best.ownMs)
    return { kind: 'engine', id: best.id }
  }

  /** Time that the engine which keeps most of the prompt needs for the rest. */
  leastReadingMs (ask: DispatchAsk, candidates: readonly DispatchCandidate[]): number {
    return Math.min(ask.promptTokens / promptTokensPerMs, ...candidates.map(({ id }) => this.readingMs(ask, this.stateOf(id))))
  }

  /** Requests that ended well or failed at a server, as one node saw them. */
  onOutcomes (engine: string, answered: number, failed: number): void {
    const state = this.stateOf(engine)
    this.ageOutcomes(state)
    state.good += answered
    state.bad += failed
  }

  /** Forgets engines that are gone. */
  keepOnly (isPresent: (engine: string) => boolean): void {
    for (const engine of this.engines.keys()) if (!isPresent(engine)) this.engines.delete(engine)
  }

  private hand (ask: DispatchAsk, state: EngineState, ownMs: number): void {
    const nowMs = this.clock.nowMs()
    state.readUntilMs = Math.max(state.readUntilMs, nowMs) + ownMs
    state.turnMs += ownMs
    state.handedAtMs.push(nowMs)
    for (const part of ask.sharedParts) {
      const key = prefixKey(ask, part)
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
  private readingMs (ask: DispatchAsk, state: EngineState): number {
    let tokens = ask.promptTokens
    for (const part of ask.sharedParts) {
      const usedAtMs = state.prefixes.get(prefixKey(ask, part))
      // Engines reuse a part only if they keep all parts before it.
      if (usedAtMs === undefined || this.clock.nowMs() - usedAtMs > prefixLifeMs) break
      tokens -= part.tokens
    }
    return Math.max(0, tokens) / promptTokensPerMs
  }

  private handedLately (state: EngineState): number {
    const sinceMs = this.clock.nowMs() - reportLagMs
    while (state.handedAtMs.length > 0 && state.handedAtMs[0]! < sinceMs) state.handedAtMs.shift()
    return state.handedAtMs.length
  }

  private failureShare (state: EngineState): number {
    this.ageOutcomes(state)
    return state.bad / (state.good + state.bad + assumedGood)
  }

  private ageOutcomes (state: EngineState): void {
    const nowMs = this.clock.nowMs()
    const weight = 0.5 ** ((nowMs - state.outcomesAtMs) / outcomeHalfLifeMs)
    state.good *= weight
    state.bad *= weight
    state.outcomesAtMs = nowMs
  }

  private stateOf (engine: string): EngineState {
    let state = this.engines.get(engine)
    if (!state) {
      const nowMs = this.clock.nowMs()
      state = { readUntilMs: -Infinity, turnMs: 0, handedAtMs: [], prefixes: new Map(), good: 0, bad: 0, outcomesAtMs: nowMs }
      this.engines.set(engine, state)
    }
    return state
  }
}

/** Reading time that may be handed to an engine in one turn up to and with this request. */
function turnLimitMs ({ gapObjectiveMs = usualGapMs, rank, isLate }: DispatchAsk): number {
  const share = Math.max(smallestTurnShare, 1 - rank * rankTurnStep)
  return Math.max(restMs, gapObjectiveMs - eventMs) * (isLate ? Math.min(share, lateTurnShare) : share)
}

function prefixKey ({ model, adapter }: DispatchAsk, { id }: PromptPart): string {
  return `${model}/${adapter ?? ''}/${id}`
}

function distanceMs (ask: DispatchAsk, { region, availabilityZone }: DispatchCandidate): number {
  if (region !== ask.region) return crossRegionCostMs
  return availabilityZone === ask.availabilityZone ? 0 : crossZoneCostMs
}
