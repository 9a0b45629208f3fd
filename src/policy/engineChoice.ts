/** Chooses the backend server for a request from this node's own measurements. */

import { rendezvousOwner } from '../base/hash.js'
import type { Random } from '../base/random.js'
import { plainDelayMs } from './capacitySamples.js'
import type { ServerCapacityRow } from './capacityTable.js'

/** Assumed prefill throughput of an engine, from which the delay by pending prompts is estimated. */
const prefillTokensPerMs = 20
/** Delay that each running request adds on an engine, which decodes and prefills for all of them. */
const runningCostMs = 3
/** Delay at a plain backend server when running requests fill its slots; scales with the ratio of requests to slots. */
const queuedCostMs = 80
/** Cost of a cross-region request, as a delay: the round trip, and the price of its traffic. */
const crossRegionCostMs = 26
/** Round trip between availability zones of one region. */
const crossZoneCostMs = 3
/** Prefill time saved by cached shared prompt parts. */
const affinityGainMs = 15
/** Delay caused by a failed attempt: the time until the failure, and the retry. */
export const failureCostMs = 1500

/**
 * With learned capacity, servers are chosen at random with a weight of the expected delay to this power. All nodes know the same delays,
 * which are a second old: with a sharp rule (the best, or all within a ratio) they overload one server after the other.
 */
export const delayExponent = -4
/** Share by which the expected delay at a plain server grows until this node's own requests fill its slots. */
const ownLoadCost = 0.3
/** Shorter expected delays do not differ in practice. */
const minDelayMs = 10

/** Share of an engine's batch that the most urgent requests may fill. Each less urgent rank leaves more of it free. */
const fullBatchShare = 1
const rankReserveShare = 0.08
const minimumBatchShare = 0.6

/** Share of an engine's batch that may be in use when a request of `rank` is sent to it. */
export function batchShare (rank: number): number {
  return Math.max(minimumBatchShare, fullBatchShare - rank * rankReserveShare)
}

export interface Candidate {
  id: string
  region: string
  availabilityZone: string
  slots: number
  /** Known requests in progress, from all nodes. */
  running: number
  /** Prompt tokens of this node's requests that have not produced an event yet. */
  pendingTokens: number
  /** Recent share of failed requests, from 0 to 1. */
  failureShare: number
  /** Recent delay in excess of the other backend servers'. */
  excessDelayMs: number
  /** This node's recent mean delay at the server; 0 without requests. */
  ownDelayMs?: number
  /** What has been learned of the server; only where capacity is learned. */
  learned?: ServerCapacityRow
}

export interface ChoiceContext {
  region: string
  availabilityZone: string
  /** Identifies a shared part of the prompt. Requests with the same key prefer the same engine, which caches that part. */
  affinityKey?: string | undefined
  /** Engines batch requests; plain backend servers run one request per slot. */
  isEngine: boolean
  /** Absent where capacity is not learned. */
  learned?: {
    /** Delay factor of the request's model or plain service. */
    pace: number
    promptTokens: number
    random: Random
  }
}

/** Expected delay of a request at `candidate`, in milliseconds. */
export function expectedDelayMs (candidate: Candidate, context: ChoiceContext): number {
  const { learned } = context
  const distance = candidate.region !== context.region
    ? crossRegionCostMs
    : candidate.availabilityZone === context.availabilityZone ? 0 : crossZoneCostMs
  const load = context.isEngine
    ? candidate.pendingTokens / prefillTokensPerMs + candidate.running * runningCostMs
    : candidate.running / candidate.slots * queuedCostMs
  const failureMs = Math.max(candidate.failureShare, candidate.learned?.failureShare ?? 0) * failureCostMs
  if (!learned) return distance + load + failureMs + candidate.excessDelayMs
  const factor = candidate.learned?.factor ?? 1
  const ownLoad = (candidate.running + 1) / candidate.slots
  const learnedMs = context.isEngine
    ? (candidate.pendingTokens + learned.promptTokens) / prefillTokensPerMs * factor * learned.pace + candidate.running * runningCostMs
    : plainDelayMs * factor * learned.pace * (1 + ownLoadCost * Math.min(1, ownLoad)) * Math.max(1, ownLoad)
  // The leader's rows are a second old and leave out waiting for slots; the nodes' own measurements of it differ, so that they do not react alike.
  const waitingMs = context.isEngine ? 0 : Math.max(0, (candidate.ownDelayMs ?? 0) - learnedMs)
  return distance + learnedMs + failureMs + waitingMs
}

/**
 * The candidate with the least expected delay. With learned capacity, a random one, those with shorter delays more often.
 */
export function chooseBackend<C extends Candidate> (candidates: readonly C[], context: ChoiceContext): C | undefined {
  const owner = context.affinityKey === undefined
    ? undefined
    : rendezvousOwner(context.affinityKey, candidates.map(({ id }) => id))
  const delayOf = (candidate: C) => expectedDelayMs(candidate, context) - (candidate.id === owner ? affinityGainMs : 0)
  if (context.learned) return chooseWeighted(candidates, candidate => Math.max(minDelayMs, delayOf(candidate)) ** delayExponent, context.learned.random)
  let best: C | undefined
  let bestDelayMs = Infinity
  for (const candidate of candidates) {
    const delayMs = delayOf(candidate)
    if (delayMs < bestDelayMs) {
      best = candidate
      bestDelayMs = delayMs
    }
  }
  return best
}

function chooseWeighted<C> (candidates: readonly C[], weightOf: (candidate: C) => number, random: Random): C | undefined {
  const weights = candidates.map(weightOf)
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0)
  return candidates.find((_candidate, index) => (left -= weights[index]!) < 0) ?? candidates[0]
}
