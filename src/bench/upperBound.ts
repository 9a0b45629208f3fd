/**
 * A bound on the value that any policy can attain.
 *
 * Relaxation: the engines of a pool are one fluid server with all models and adapters resident, that decodes at the rate
 * of full batches at all times. Requests are known in advance, may be split, paused, resumed and answered in part for
 * the same part of their value, and find every shared prefix cached. Time is divided into bins; a request may use the
 * whole of every bin that its window touches. Batches, queues, network, loads, moves and the target for gaps cost
 * nothing. Each real schedule is a feasible solution, since an engine never decodes faster than a full batch without
 * prefill, each prefill slows decoding by at least the counted amount, and an attained answer is decoded within its
 * window. The bound is the Lagrangian dual of this linear program, so it holds for any prices; a subgradient search
 * only makes it tighter.
 */

import { ranks } from '../config/fleetConfig.js'
import type { Rank } from '../config/fleetConfig.js'
import type { RequestPolicy } from '../policy/requestPolicy.js'
import type { Deployment } from './deployments.js'
import { decodeRate } from './workloads.js'
import type { Workload } from './workloads.js'

const binMs = 5_000
const iterations = 60
const rankIterations = 15

interface Job {
  rank: Rank
  /** In tokens of a full batch. */
  work: number
  value: number
  firstBin: number
  lastBin: number
}

export interface UpperBound {
  /** Sum of the values of attained requests. */
  value: number
  /** Bound on the attained part of each rank, were it alone. */
  attainmentByRank: Record<Rank, number>
}

export function upperBound (deployment: Deployment, workload: Workload, terms: readonly RequestPolicy[]): UpperBound {
  let value = 0
  const attained: Record<Rank, number> = { urgent: 0, live: 0, browsing: 0 }
  const total: Record<Rank, number> = { urgent: 0, live: 0, browsing: 0 }
  for (const pool of Object.keys(deployment.config.pools)) {
    const jobs = jobsOf(pool, deployment, workload, terms)
    const engineCount = deployment.engines.filter(engine => engine.pool === pool).length
    const capacity = engineCount * decodeRate(deployment) * binMs
    value += dualBound(jobs, capacity, iterations)
    for (const rank of ranks) {
      const own = jobs.filter(job => job.rank === rank).map(job => ({ ...job, value: 1 }))
      total[rank] += own.length
      attained[rank] += dualBound(own, capacity, rankIterations)
    }
  }
  return {
    value,
    attainmentByRank: Object.fromEntries(ranks.map(rank => [rank, total[rank] > 0 ? attained[rank] / total[rank] : 1])) as Record<Rank, number>
  }
}

function jobsOf (pool: string, deployment: Deployment, workload: Workload, terms: readonly RequestPolicy[]): Job[] {
  const { step, maxBatch, prefill, config } = deployment
  const rate = decodeRate(deployment)
  const slowestStepMs = step.baseMs + step.perRequestMs * maxBatch + step.prefillMs
  // Decoding that is lost in each millisecond of prefill.
  const prefillCost = rate - maxBatch / slowestStepMs
  const jobs: Job[] = []
  for (const request of workload.requests) {
    if (request.arrivalMs < workload.warmUpMs || config.models[request.model]!.pool !== pool) continue
    const { firstTokenMs, patienceMs, rank, requestValue } = terms[request.index]!
    // A started request is never paused, so that a streamed answer ends within its tokens times the slowest step.
    const windowMs = firstTokenMs > 0 ? firstTokenMs + request.outputTokens * slowestStepMs : patienceMs
    jobs.push({
      rank,
      work: request.outputTokens - 1 + (prefill.fixedMs + prefill.perTokenMs * request.uniqueTokens) * prefillCost,
      value: requestValue,
      firstBin: Math.floor(request.arrivalMs / binMs),
      lastBin: Math.floor((request.arrivalMs + windowMs) / binMs)
    })
  }
  return jobs
}

/** The least found value of the dual: price of all capacity, plus what each job is worth beyond its cheapest bin. */
function dualBound (jobs: readonly Job[], capacity: number, limit: number): number {
  if (jobs.length === 0) return 0
  const bins = jobs.reduce((last, job) => Math.max(last, job.lastBin), 0) + 1
  const prices = new Float64Array(bins)
  const densities = jobs.map(job => job.value / job.work).sort((left, right) => left - right)
  const scale = densities[Math.floor(densities.length / 4)]!
  let best = Infinity
  for (let iteration = 0; iteration < limit; iteration++) {
    const used = new Float64Array(bins)
    let bound = 0
    for (const job of jobs) {
      let cheapest = job.firstBin
      for (let bin = job.firstBin + 1; bin <= job.lastBin; bin++) {
        // Among equal prices, the emptiest bin spreads the load.
        if (prices[bin]! < prices[cheapest]! || (prices[bin] === prices[cheapest] && used[bin]! < used[cheapest]!)) cheapest = bin
      }
      const surplus = job.value - job.work * prices[cheapest]!
      if (surplus <= 0) continue
      bound += surplus
      used[cheapest]! += job.work
    }
    for (const price of prices) bound += price * capacity
    best = Math.min(best, bound)
    if (used.every(amount => amount <= capacity)) break
    const stepSize = scale / Math.sqrt(iteration + 1)
    for (let bin = 0; bin < bins; bin++) {
      const excess = Math.max(-1, Math.min(1, used[bin]! / capacity - 1))
      prices[bin] = Math.max(0, prices[bin]! + stepSize * excess)
    }
  }
  return best
}
