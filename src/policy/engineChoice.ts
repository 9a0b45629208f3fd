/** Chooses the backend server for a request from this node's own measurements. */

import { rendezvousOwner } from '../base/hash.js'
import type { Random } from '../base/random.js'
import { plainDelayMs, plainLoadFactor } from './capacitySamples.js'
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
const failureCostMs = 1500

/** With learned capacity, servers whose expected delay is at most this multiple of the shortest one share the requests. */
const similarDelayRatio = 1.5
const maxSimilarServers = 4
/** Exponent with which a longer expected delay makes a server less likely. */
const delayExponent = 2
/** Shorter expected delays do not differ in practice. */
const minDelayMs = 10
/** A server with no similar one gets all requests only below this share of its limit: the other nodes choose it too, and it is known late that it is full. */
const soleServerShare = 0.5

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
  const failureMs = candidate.failureShare * failureCostMs
  if (!learned) return distance + load + failureMs + candidate.excessDelayMs
  const { factor, limit } = candidate.learned ?? { factor: 1, limit: candidate.slots }
  const learnedMs = context.isEngine
    ? (candidate.pendingTokens + learned.promptTokens) / prefillTokensPerMs * factor * learned.pace + candidate.running * runningCostMs
    : plainDelayMs * factor * learned.pace * plainLoadFactor(candidate.running + 1, limit)
  return distance + learnedMs + failureMs
}

/**
 * The candidate with the least expected delay. With learned capacity, one of those with similar delays at random, since all nodes know
 * the same delays and would otherwise choose the same server.
 */
export function chooseBackend<C extends Candidate> (candidates: readonly C[], context: ChoiceContext): C | undefined {
  const owner = context.affinityKey === undefined
    ? undefined
    : rendezvousOwner(context.affinityKey, candidates.map(({ id }) => id))
  const delayOf = (candidate: C) => expectedDelayMs(candidate, context) - (candidate.id === owner ? affinityGainMs : 0)
  if (context.learned) return chooseSimilar(candidates.map(candidate => ({ candidate, delayMs: Math.max(minDelayMs, delayOf(candidate)) })), context.learned.random)
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

/** One of the candidates with the shortest delays at random, those with shorter ones more often. */
function chooseSimilar<C extends Candidate> (scored: { candidate: C, delayMs: number }[], random: Random): C | undefined {
  if (scored.length === 0) return undefined
  scored.sort((left, right) => left.delayMs - right.delayMs)
  const best = scored[0]!
  let similar = scored.slice(0, maxSimilarServers).filter(({ delayMs }) => delayMs <= best.delayMs * similarDelayRatio)
  const { running, slots, learned } = best.candidate
  if (similar.length === 1 && running > (learned?.limit ?? slots) * soleServerShare) similar = scored.slice(0, 2)
  let left = random.next() * similar.reduce((sum, { delayMs }) => sum + weightOf(delayMs), 0)
  return (similar.find(({ delayMs }) => (left -= weightOf(delayMs)) < 0) ?? best).candidate
}

function weightOf (delayMs: number): number {
  return delayMs ** -delayExponent
}
