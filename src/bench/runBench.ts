/** Runs workloads under policies and derives the figures. */

import type { Rank } from '../config/fleetConfig.js'
import { CurrentPolicy } from './currentPolicy.js'
import { createDeployment } from './deployments.js'
import type { Deployment, Variation } from './deployments.js'
import { NaivePolicy } from './naivePolicy.js'
import { upperBound } from './upperBound.js'
import { World, shareByRank } from './world.js'
import { createWorkload } from './workloads.js'

export const policyNames = ['naive', 'current', 'upper-bound'] as const
export type PolicyName = typeof policyNames[number]

export interface BenchRow {
  deployment: Deployment['name']
  workload: string
  policy: PolicyName
  variation: string
  seed: number
  /** Value of attained requests for each accelerator and second. */
  attainmentPerAccelerator: number
  /** Attained requests as part of those that arrived. */
  attainmentByRank: Record<Rank, number>
  /** The same for the time of the flood alone. */
  floodAttainmentByRank?: Record<Rank, number>
  /** The same without the customer that floods. */
  otherCustomersAttainment?: number
  modelMoves: number
  crossRegionBytes: number
  shedByRank: Record<Rank, number>
  lateByRank: Record<Rank, number>
  lostByRank: Record<Rank, number>
  /** First token for streamed ranks, whole answer for browsing. */
  latencyP95Ms: Record<Rank, number>
  reachableModels: number
  totalModels: number
  /** Requests of the cold sweep that were answered in time. */
  sweptModels?: number
  /** Time from the loss of a zone until attainment stays at 95% of what it was. */
  recoveryMs?: number
  requests: number
  elapsedMs: number
}

export interface BenchCase {
  deployment: Deployment['name']
  workload: string
  variation: Variation
  seed: number
  scale: number
}

const zeros: Record<Rank, number> = { urgent: 0, live: 0, browsing: 0 }

/** Runs one workload under the policies. Throws if the policies answer a request differently, or one beats the bound. */
export function runCase (benchCase: BenchCase, policies: readonly PolicyName[]): BenchRow[] {
  const deployment = createDeployment(benchCase.deployment, benchCase.variation)
  const workload = createWorkload(benchCase.workload, deployment, benchCase)
  const rows: BenchRow[] = []
  const worlds: World[] = []
  for (const policy of policies) {
    if (policy === 'upper-bound') continue
    const startMs = performance.now()
    const world = new World(deployment, workload, benchCase.seed + 1)
    world.run(policy === 'naive' ? new NaivePolicy(world) : new CurrentPolicy(world))
    worlds.push(world)
    rows.push({ ...figures(world), ...identity(benchCase), policy, elapsedMs: performance.now() - startMs })
  }
  if (policies.includes('upper-bound')) {
    const startMs = performance.now()
    const world = worlds[0] ?? new World(deployment, workload, benchCase.seed + 1)
    const bound = upperBound(deployment, workload, world.terms)
    const row: BenchRow = {
      ...identity(benchCase),
      policy: 'upper-bound',
      attainmentPerAccelerator: perAccelerator(world, bound.value),
      attainmentByRank: bound.attainmentByRank,
      modelMoves: 0,
      crossRegionBytes: 0,
      shedByRank: zeros,
      lateByRank: zeros,
      lostByRank: zeros,
      latencyP95Ms: zeros,
      reachableModels: Object.keys(deployment.config.models).length,
      totalModels: Object.keys(deployment.config.models).length,
      requests: workload.requests.length,
      elapsedMs: performance.now() - startMs
    }
    for (const other of rows) checkBound(other, row)
    rows.push(row)
  }
  checkSameAnswers(worlds)
  return rows
}

function identity ({ deployment, workload, variation, seed }: BenchCase) {
  return { deployment, workload, variation: variation.name, seed }
}

function perAccelerator ({ deployment, workload }: World, value: number): number {
  const accelerators = deployment.engines.length * deployment.acceleratorsPerEngine
  return value / accelerators / ((workload.endMs - workload.warmUpMs) / 1000)
}

function figures (world: World): Omit<BenchRow, 'deployment' | 'workload' | 'policy' | 'variation' | 'seed' | 'elapsedMs'> {
  const { workload, deployment, terms, outcomes } = world
  let value = 0
  for (const request of workload.requests) {
    if (world.measured(request) && outcomes[request.index] === 'attained') value += terms[request.index]!.requestValue
  }
  const inFlood = (arrivalMs: number) => arrivalMs >= workload.floodFromMs && arrivalMs < workload.floodToMs
  const swept = workload.requests.filter(request => request.sweep)
  return {
    attainmentPerAccelerator: perAccelerator(world, value),
    attainmentByRank: shareByRank(world, 'attained'),
    ...(workload.name.includes('flood') ? { floodAttainmentByRank: shareByRank(world, 'attained', request => inFlood(request.arrivalMs)) } : {}),
    ...(workload.name === 'customer-flood'
      ? { otherCustomersAttainment: shareByRank(world, 'attained', request => inFlood(request.arrivalMs) && request.customer !== 'customer-2').live }
      : {}),
    modelMoves: world.modelMoves,
    crossRegionBytes: world.crossRegionBytes,
    shedByRank: shareByRank(world, 'shed'),
    lateByRank: shareByRank(world, 'late'),
    lostByRank: shareByRank(world, 'lost'),
    latencyP95Ms: {
      urgent: world.histograms.urgent.getValueAtPercentile(95),
      live: world.histograms.live.getValueAtPercentile(95),
      browsing: world.histograms.browsing.getValueAtPercentile(95)
    },
    reachableModels: world.reachedModels.size,
    totalModels: Object.keys(deployment.config.models).length,
    ...(swept.length > 0 ? { sweptModels: swept.filter(request => outcomes[request.index] === 'attained').length } : {}),
    ...(workload.name === 'zone-loss' ? { recoveryMs: recoveryMs(world) } : {}),
    requests: workload.requests.length
  }
}

/** End of the last bin of 10 s below 95% of the attainment in the time before the loss. */
function recoveryMs (world: World): number {
  const { fault, warmUpMs } = world.workload
  const timeline = world.timeline()
  const before = timeline.filter(({ fromMs }) => fromMs >= warmUpMs && fromMs < fault!.fromMs - 10_000)
  const earlier = before.reduce((sum, { share }) => sum + share, 0) / before.length
  const low = timeline.filter(({ fromMs, share }) => fromMs + 10_000 > fault!.fromMs && share < 0.95 * earlier)
  return low.length === 0 ? 0 : low[low.length - 1]!.fromMs + 10_000 - fault!.fromMs
}

function checkBound (row: BenchRow, bound: BenchRow): void {
  if (row.attainmentPerAccelerator > bound.attainmentPerAccelerator * (1 + 1e-9)) {
    throw new Error(`${row.deployment} ${row.workload}: ${row.policy} attains ${row.attainmentPerAccelerator}, above the upper bound of ${bound.attainmentPerAccelerator}`)
  }
}

/** The set of answered requests may differ between policies, an answer may not. */
function checkSameAnswers ([first, ...others]: readonly World[]): void {
  for (const other of others) {
    let compared = 0
    for (const [index, answer] of first!.answers.entries()) {
      const otherAnswer = other.answers[index]
      if (answer === undefined || otherAnswer === undefined) continue
      compared++
      if (answer !== otherAnswer) throw new Error(`request ${index} of ${first!.workload.name} was answered differently`)
    }
    if (compared === 0) throw new Error(`no request of ${first!.workload.name} was answered by both policies`)
  }
}
