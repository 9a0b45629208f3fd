/** Chooses the backend server for a request from what this node knows of each. */

import { rendezvousOwner } from '../base/hash.js'

/** Assumed prompt tokens that an engine reads in a millisecond, for the time that waiting prompts take. */
const prefillTokensPerMs = 20
/** Delay that one more running request adds on an engine, which steps and reads prompts for all of them. */
const runningCostMs = 3
/** Delay of a plain backend server for each request beyond its slots, relative to the usual time of a request. */
const queuedCostMs = 80
/** Round trip between regions, and the price of the bytes that cross. */
const crossRegionCostMs = 26
/** Round trip between availability zones of one region. */
const crossZoneCostMs = 3
/** Time that cached shared prompt parts save. */
const affinityGainMs = 15
/** Delay that a failure costs: the repeat and what the caller waited before. */
const failureCostMs = 1500

/** Part of an engine's batch up to which the most urgent requests are sent; each further rank leaves room for those before it. */
const fullBatchShare = 1
const rankReserveShare = 0.08
const minimumBatchShare = 0.6

/** Part of an engine's batch up to which requests of `rank` are sent. */
export function batchShare (rank: number): number {
  return Math.max(minimumBatchShare, fullBatchShare - rank * rankReserveShare)
}

export interface Candidate {
  id: string
  region: string
  availabilityZone: string
  slots: number
  /** Requests in progress from all nodes, as far as known. */
  running: number
  /** Prompt tokens sent by this node to which no event has come yet. */
  pendingTokens: number
  /** Recent share of failed requests, 0 to 1. */
  failureShare: number
  /** Recent delay beyond that of the other backend servers. */
  excessDelayMs: number
}

export interface ChoiceContext {
  region: string
  availabilityZone: string
  /** Shared part of the prompt, whose requests should meet at one engine. */
  affinityKey?: string | undefined
  /** Engines batch; plain backend servers run one request in a slot. */
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
