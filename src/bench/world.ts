/** What all policies of the bench share: engines, network, faults, and the record of outcomes. */

import { build } from 'hdr-histogram-js'
import { SeededRandom } from '../base/random.js'
import type { Random } from '../base/random.js'
import { ranks } from '../config/fleetConfig.js'
import type { Rank } from '../config/fleetConfig.js'
import type { CacheEvent } from '../external/engine.js'
import { resolveRequestPolicy } from '../policy/requestPolicy.js'
import type { RequestPolicy } from '../policy/requestPolicy.js'
import type { Deployment } from './deployments.js'
import { EngineModel, StoreModel, answerOf, requestBytes } from './engineModel.js'
import type { BenchRequest } from './engineModel.js'
import { EventLoop } from './eventLoop.js'
import type { Workload } from './workloads.js'

export type Outcome = 'pending' | 'attained' | 'late' | 'shed' | 'lost'

/** A policy under test. The world calls it; it calls the world. */
export interface BenchPolicy {
  onArrival (request: BenchRequest): void
  onEngineChanged? (engine: EngineModel): void
  onCacheChanged? (engine: EngineModel, event: CacheEvent): void
  onNodeLost? (node: number): void
}

export interface AttemptCallbacks {
  onFirstToken (): void
  onEnd (answer: number): void
  /** `notRun` is true on proof that nothing ran. */
  onFailed (notRun: boolean): void
}

/** A fault is seen by a node this long after it began, when an engine's status is overdue. */
const detectionMs = 3_000
const timelineBinMs = 10_000

/** Outcomes and counters of one run. */
export class World {
  readonly loop = new EventLoop(0)
  readonly random: Random
  readonly store: StoreModel
  readonly engines: EngineModel[]
  readonly terms: RequestPolicy[]
  readonly outcomes: Outcome[]
  readonly answers: (number | undefined)[]
  readonly histograms: Record<Rank, ReturnType<typeof build>>
  modelMoves = 0
  crossRegionBytes = 0
  private policy!: BenchPolicy
  private readonly lostNodes = new Set<number>()
  /** Region that is cut off from the others; empty if none. */
  private partedRegion = ''

  readonly workload: Workload
  /** Models of which a request was answered within its caller's patience. */
  readonly reachedModels = new Set<string>()

  constructor (readonly deployment: Deployment, workload: Workload, seed: number) {
    // A lost node changes the node of later requests, which other runs of the same workload must not see.
    this.workload = { ...workload, requests: workload.requests.map(request => ({ ...request })) }
    this.random = new SeededRandom(seed)
    this.store = new StoreModel(this.loop, deployment)
    this.engines = deployment.engines.map(spec => {
      const engine: EngineModel = new EngineModel(spec, {
        loop: this.loop,
        deployment,
        store: this.store,
        onChanged: () => this.policy.onEngineChanged?.(engine),
        onCacheChanged: event => this.policy.onCacheChanged?.(engine, event)
      })
      return engine
    })
    this.terms = workload.requests.map(({ customer, model, arrivalMs }) => resolveRequestPolicy(deployment.config, { customer, model, nowMs: arrivalMs }))
    this.outcomes = workload.requests.map(() => 'pending')
    this.answers = workload.requests.map(() => undefined)
    const histogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 })
    this.histograms = { urgent: histogram(), live: histogram(), browsing: histogram() }
  }

  run (policy: BenchPolicy): void {
    this.policy = policy
    this.scheduleFault()
    const { requests, endMs } = this.workload
    let next = 0
    const arrive = () => {
      const request = requests[next++]!
      if (next < requests.length) this.loop.setTimer(requests[next]!.arrivalMs - this.loop.nowMs(), arrive)
      // The platform's load balancer sends callers of a lost node to the next one.
      while (this.lostNodes.has(request.node)) request.node = (request.node + 1) % this.deployment.nodes.length
      policy.onArrival(request)
    }
    this.loop.setTimer(requests[0]!.arrivalMs, arrive)
    const longestPatienceMs = Math.max(...this.terms.map(terms => terms.patienceMs))
    this.loop.runUntil(endMs + longestPatienceMs + 30_000)
    for (const [index, outcome] of this.outcomes.entries()) {
      if (outcome === 'pending') this.outcomes[index] = 'lost'
    }
  }

  isLost (node: number): boolean {
    return this.lostNodes.has(node)
  }

  faultActive (kind: string): boolean {
    const { fault } = this.workload
    return fault?.kind === kind && this.loop.nowMs() >= fault.fromMs && this.loop.nowMs() < fault.toMs
  }

  connected (node: number, engine: EngineModel): boolean {
    if (this.partedRegion === '') return true
    return (this.deployment.nodes[node]!.region === this.partedRegion) === (engine.entry.region === this.partedRegion)
  }

  /** Whether the node's view shows the engine as reachable: faults are seen with a delay. */
  seenReachable (node: number, engine: EngineModel): boolean {
    const { fault } = this.workload
    if (fault && this.loop.nowMs() < fault.fromMs + detectionMs) return true
    return engine.alive && this.connected(node, engine)
  }

  delayMs (node: number, engine: EngineModel): number {
    const from = this.deployment.nodes[node]!
    if (from.availabilityZone === engine.entry.availabilityZone) return this.deployment.delayMs.zone
    return from.region === engine.entry.region ? this.deployment.delayMs.region : this.deployment.delayMs.crossRegion
  }

  /** Sends one attempt to an engine. Its first token and answer are recorded when they reach the caller. */
  dispatch (node: number, engine: EngineModel, request: BenchRequest, modelName: string, priority: number, callbacks: AttemptCallbacks): void {
    const delayMs = this.delayMs(node, engine)
    if (this.deployment.nodes[node]!.region !== engine.entry.region && this.measured(request)) {
      const bytes = requestBytes(request)
      this.crossRegionBytes += bytes.prompt + bytes.answer
    }
    const back = (callback: () => void) => this.loop.setTimer(delayMs, () => {
      if (!this.lostNodes.has(node)) callback()
    })
    this.loop.setTimer(delayMs, () => {
      if (!this.connected(node, engine)) return back(() => callbacks.onFailed(false))
      let firstTokenMs = 0
      engine.submit({
        request,
        modelName,
        priority,
        onFirstToken: () => {
          firstTokenMs = this.loop.nowMs() + delayMs + clientDelayMs - request.arrivalMs
          back(callbacks.onFirstToken)
        },
        onEnd: (answer, slowShare) => back(() => {
          if (answer === undefined) return callbacks.onFailed(false)
          this.answered(request, modelName, answer, firstTokenMs, slowShare)
          callbacks.onEnd(answer)
        }),
        onRefused: () => back(() => callbacks.onFailed(true))
      })
    })
  }

  /** The request ends without an answer. */
  giveUp (request: BenchRequest, outcome: 'shed' | 'lost'): void {
    if (this.outcomes[request.index] !== 'pending') throw new Error(`request ${request.index} ended twice`)
    this.outcomes[request.index] = outcome
  }

  countMove (): void {
    if (this.loop.nowMs() >= this.workload.warmUpMs) this.modelMoves++
  }

  measured (request: BenchRequest): boolean {
    return request.arrivalMs >= this.workload.warmUpMs
  }

  /** Value attained as part of the value that arrived, in bins of 10 s from the start. */
  timeline (): { fromMs: number, share: number }[] {
    const bins = Math.ceil(this.workload.endMs / timelineBinMs)
    const attained = new Float64Array(bins)
    const arrived = new Float64Array(bins)
    for (const request of this.workload.requests) {
      const bin = Math.min(bins - 1, Math.floor(request.arrivalMs / timelineBinMs))
      const { requestValue } = this.terms[request.index]!
      arrived[bin]! += requestValue
      if (this.outcomes[request.index] === 'attained') attained[bin]! += requestValue
    }
    return Array.from(attained, (value, bin) => ({ fromMs: bin * timelineBinMs, share: arrived[bin]! > 0 ? value / arrived[bin]! : 1 }))
  }

  private answered (request: BenchRequest, modelName: string, answer: number, firstTokenMs: number, slowShare: number): void {
    if (this.answers[request.index] !== undefined || this.outcomes[request.index] !== 'pending') {
      throw new Error(`request ${request.index} ended twice`)
    }
    if (answer !== answerOf(modelName, request)) throw new Error(`request ${request.index} got the answer of another request`)
    this.answers[request.index] = answer
    const terms = this.terms[request.index]!
    const latencyMs = this.loop.nowMs() + clientDelayMs - request.arrivalMs
    const inTime = terms.firstTokenMs > 0
      ? firstTokenMs <= terms.firstTokenMs && slowShare <= 0.05
      : latencyMs <= terms.patienceMs
    this.outcomes[request.index] = inTime ? 'attained' : 'late'
    if (!this.measured(request)) return
    if ((terms.firstTokenMs > 0 ? firstTokenMs : latencyMs) <= terms.patienceMs) this.reachedModels.add(request.model)
    this.histograms[terms.rank].recordValue(Math.max(1, Math.round(terms.firstTokenMs > 0 ? firstTokenMs : latencyMs)))
  }

  private scheduleFault (): void {
    const { fault } = this.workload
    if (!fault) return
    const lastRegion = this.deployment.nodes[2]!.region
    const begin = () => {
      if (fault.kind === 'zone-loss') this.loseZone(this.deployment.nodes[2]!.availabilityZone)
      if (fault.kind === 'slow-store') this.store.slowness = 5
      if (fault.kind === 'regions-parted') {
        this.partedRegion = lastRegion
        for (const engine of this.engines) engine.failAll(request => !this.connected(request.node, engine))
      }
    }
    this.loop.setTimer(fault.fromMs, begin)
    this.loop.setTimer(fault.toMs, () => {
      this.store.slowness = 1
      this.partedRegion = ''
    })
  }

  private loseZone (availabilityZone: string): void {
    this.deployment.nodes.forEach((node, index) => {
      if (node.availabilityZone !== availabilityZone) return
      this.lostNodes.add(index)
      this.policy.onNodeLost?.(index)
    })
    for (const engine of this.engines) {
      if (engine.entry.availabilityZone === availabilityZone) engine.crash()
      // Engines cancel the requests of nodes that are gone.
      else engine.failAll(request => this.lostNodes.has(request.node))
    }
  }
}

/** Between callers and nodes, one way. */
const clientDelayMs = 1

/** The parts of each rank's measured requests with the given outcome, among those that `accepts`. */
export function shareByRank (world: World, outcome: Outcome, accepts: (request: BenchRequest) => boolean = () => true): Record<Rank, number> {
  const counts = Object.fromEntries(ranks.map(rank => [rank, [0, 0]])) as Record<Rank, [number, number]>
  for (const request of world.workload.requests) {
    if (!world.measured(request) || !accepts(request)) continue
    const count = counts[world.terms[request.index]!.rank]
    count[1]++
    if (world.outcomes[request.index] === outcome) count[0]++
  }
  return Object.fromEntries(ranks.map(rank => [rank, counts[rank][1] === 0 ? 1 : counts[rank][0] / counts[rank][1]])) as Record<Rank, number>
}
