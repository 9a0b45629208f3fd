/** Chooses the backend server for a request from this node's own measurements. */

import { rendezvousOwner } from '../base/hash.js'

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
}

export interface ChoiceContext {
  region: string
  availabilityZone: string
  /** Identifies a shared part of the prompt. Requests with the same key prefer the same engine, which caches that part. */
  affinityKey?: string | undefined
  /** Engines batch requests; plain backend servers run one request per slot. */
  isEngine: boolean
}

/** Expected delay of a request at `candidate`, in milliseconds. */
export function expectedDelayMs (candidate: Candidate, context: ChoiceContext): number {
  const distance = candidate.region !== context.region
    ? crossRegionCostMs
    : candidate.availabilityZone === context.availabilityZone ? 0 : crossZoneCostMs
  const load = context.isEngine
    ? candidate.pendingTokens / prefillTokensPerMs + candidate.running * runningCostMs
    : candidate.running / candidate.slots * queuedCostMs
  return distance + load + candidate.failureShare * failureCostMs + candidate.excessDelayMs
}

/** The candidate with the least expected delay. */
export function chooseBackend<C extends Candidate> (candidates: readonly C[], context: ChoiceContext): C | undefined {
  const owner = context.affinityKey === undefined
    ? undefined
    : rendezvousOwner(context.affinityKey, candidates.map(({ id }) => id))
  let best: C | undefined
  let bestDelayMs = Infinity
  for (const candidate of candidates) {
    const delayMs = expectedDelayMs(candidate, context) - (candidate.id === owner ? affinityGainMs : 0)
    if (delayMs < bestDelayMs) {
      best = candidate
      bestDelayMs = delayMs
    }
  }
  return best
}
