/** Chooses engines for requests from load reports, cached prompt prefixes and failures. */

import type { Clock } from '../base/clock.js'
import { hash32, rendezvousOwner } from '../base/hash.js'
import { randomInt } from '../base/random.js'
import type { Random } from '../base/random.js'
import type { Rank } from '../config/fleetConfig.js'
import type { CacheEvent } from '../external/engine.js'
import type { EngineEntry } from '../protocol/messages.js'

export interface RouteRequest {
  requestId: string
  /** Model name with version, `NAME@VERSION`. */
  model: string
  adapter?: string
  prompt: string
  rank: Rank
  /** Traffic between regions if the engine is in another region. */
  promptBytes: number
  /** Engines on which the request already failed. */
  excludeEngines: ReadonlySet<string>
  /** Whether the request is served from the guaranteed share of its rank. */
  usesGuaranteedShare?: boolean
}

export type RouteDecision =
  | { kind: 'engine', engine: string, reason: string }
  | { kind: 'wait', reason: 'no-replica' | 'busy' | 'ejected', detail: string }

/** Priority on the engine by rank; higher runs first. */
export const enginePriorities: Readonly<Record<Rank, number>> = { urgent: 2, live: 1, browsing: 0 }
/** Priority on the engine for guaranteed shares. At the priority of their rank, they would wait behind its other requests under overload. */
export const guaranteedSharePriority = 3
const guaranteedBatchShare = 1.5
/** Mean time to first token above which a node has at most one request in prefill on the engine. */
const prefillBoundMs = 400

/**
 * Share of an engine's batch up to which requests of a rank are sent. Less urgent ranks leave slots free for bursts of more urgent
 * ones. Requests beyond a share of 1 queue on the engine, where their priority gives them the next free slot.
 */
const batchShare: Readonly<Record<Rank, number>> = { urgent: 1.25, live: 1.05, browsing: 0.85 }
/** The engine with the cached prefix is preferred up to this ratio of its load to the mean load. */
const affinityLoadBound = 1.25
const sameRegionCostMs = 2
const crossRegionCostMs = 24
/** Delay that a full batch adds. It scales with the square of the utilization, so that it is small on lightly loaded engines. */
const fullLoadCostMs = 60
/** Engines whose costs differ by at most this are chosen at random, so that nodes with the same report choose different ones. */
const similarCostMs = 6
/** Age of a load report after which one request probes an engine that the report shows as full. */
const probeAfterMs = 500
const consecutiveFailuresUntilEjected = 3
const firstEjectionMs = 5_000
const maxEjectionMs = 60_000
/** An engine is slow if its mean time to first token exceeds this ratio to the other engines' mean, and also the minimum. */
const slowFactor = 4
const slowMinimumMs = 1_000
const latencySmoothing = 0.2
const prefixBlockCharacters = 256
const maxPrefixBlocks = 8
const maxCachedPrefixes = 4_096

interface EngineState {
  /** This node's dispatches (+1) and completions (-1) that the last load report may not include. */
  changes: { atMs: number, change: 1 | -1 }[]
  running: Map<string, number>
  /** Running requests that have not produced a token. */
  pending: Set<string>
  failures: number
  ejections: number
  ejectedUntilMs: number
  firstTokenMs: number
  cachedPrefixes: Map<number, number>
}

/** Hashes of the prompt's first 1, 2, … blocks of 256 characters, which identify prefixes in cache events. */
export function prefixHashes (model: string, prompt: string): number[] {
  const hashes: number[] = []
  const blocks = Math.min(maxPrefixBlocks, Math.max(1, Math.floor(prompt.length / prefixBlockCharacters)))
  for (let count = 1; count <= blocks; count++) {
    hashes.push(hash32(`${model}\u0000${prompt.slice(0, count * prefixBlockCharacters)}`))
  }
  return hashes
}

/** Chooses engines for the requests of one node. */
export class Router {
  private readonly clock: Clock
  private readonly random: Random
  private readonly location: { region: string, availabilityZone: string }
  private readonly crossRegionPrice: () => number
  private readonly nodeCount: () => number
  private readonly states = new Map<string, EngineState>()

  /** `nodeCount` returns the number of nodes that send requests to the same engines. */
  constructor ({ clock, random, location, crossRegionPrice, nodeCount = () => 1 }: {
    clock: Clock
    random: Random
    location: { region: string, availabilityZone: string }
    crossRegionPrice: () => number
    nodeCount?: () => number
  }) {
    this.clock = clock
    this.random = random
    this.location = location
    this.crossRegionPrice = crossRegionPrice
    this.nodeCount = nodeCount
  }

  choose (request: RouteRequest, engines: readonly EngineEntry[]): RouteDecision {
    const replicas = engines.filter(engine => engine.reachable && !engine.draining && hasModel(engine, request.model))
    if (replicas.length === 0) return { kind: 'wait', reason: 'no-replica', detail: `no engine has ${request.model}` }
    const { adapter } = request
    const withAdapter = adapter === undefined ? replicas : replicas.filter(engine => hasAdapter(engine, adapter))
    if (withAdapter.length === 0) return { kind: 'wait', reason: 'no-replica', detail: `no engine with ${request.model} has adapter ${adapter}` }
    const healthy = this.withoutEjected(withAdapter)
    const allowed = healthy.filter(engine => !request.excludeEngines.has(engine.engine))
    if (allowed.length === 0) {
      return { kind: 'wait', reason: 'ejected', detail: `all ${withAdapter.length} engines with ${request.model} are ejected or failed this request` }
    }
    const share = request.usesGuaranteedShare ? guaranteedBatchShare : batchShare[request.rank]
    const free = allowed.filter(engine => (request.usesGuaranteedShare || !this.isPrefillBound(engine)) && (this.estimatedLoad(engine) < engine.maxBatch * share ||
      (request.rank !== 'browsing' && this.mayProbe(engine))))
    if (free.length === 0) return { kind: 'wait', reason: 'busy', detail: `all ${allowed.length} engines with ${request.model} are full` }

    const preferred = this.affinityEngine(request, free)
    if (preferred) return { kind: 'engine', engine: preferred.engine, reason: 'cached prefix' }
    return this.cheapest(request, free)
  }

  onDispatched (engine: string, requestId: string, _costTokens: number): void {
    const state = this.stateOf(engine)
    state.running.set(requestId, this.clock.nowMs())
    state.pending.add(requestId)
    state.changes.push({ atMs: this.clock.nowMs(), change: 1 })
  }

  onFirstToken (engine: string, requestId: string, latencyMs: number): void {
    const state = this.stateOf(engine)
    state.pending.delete(requestId)
    state.firstTokenMs = state.firstTokenMs === 0 ? latencyMs : state.firstTokenMs + latencySmoothing * (latencyMs - state.firstTokenMs)
    const others = [...this.states].filter(([name, other]) => name !== engine && other.firstTokenMs > 0).map(([, other]) => other.firstTokenMs)
    if (others.length === 0 || state.firstTokenMs < slowMinimumMs) return
    const mean = others.reduce((sum, value) => sum + value, 0) / others.length
    if (state.firstTokenMs > slowFactor * mean) {
      this.eject(state)
      state.firstTokenMs = 0
    }
  }

  onEnded (engine: string, requestId: string, result: 'ok' | 'failed' | 'cancelled'): void {
    const state = this.stateOf(engine)
    state.pending.delete(requestId)
    if (state.running.delete(requestId)) state.changes.push({ atMs: this.clock.nowMs(), change: -1 })
    if (result === 'ok') {
      state.failures = 0
      if (this.clock.nowMs() > state.ejectedUntilMs + maxEjectionMs) state.ejections = 0
    } else if (result === 'failed') {
      state.failures++
      if (state.failures >= consecutiveFailuresUntilEjected) {
        this.eject(state)
        state.failures = 0
      }
    }
  }

  /** Applies cache events. `complete` is false if earlier events were missed; the known cache content of the engine is then dropped. */
  onCacheEvents (engine: string, events: CacheEvent[], complete: boolean): void {
    const { cachedPrefixes } = this.stateOf(engine)
    if (!complete) cachedPrefixes.clear()
    for (const event of events) {
      cachedPrefixes.delete(event.prefixHash)
      if (event.kind === 'evicted') continue
      cachedPrefixes.set(event.prefixHash, event.tokens)
      if (cachedPrefixes.size > maxCachedPrefixes) cachedPrefixes.delete(cachedPrefixes.keys().next().value!)
    }
  }

  /**
   * Number of requests on the engine: its last load report, corrected by this node's dispatches and completions since then. A net
   * increase is multiplied by the number of nodes, since all of them see the same free capacity at the same time.
   */
  estimatedLoad (engine: EngineEntry): number {
    const state = this.states.get(engine.engine)
    let load = engine.running + engine.queued
    if (!state) return load
    let outdated = 0
    while (outdated < state.changes.length && state.changes[outdated]!.atMs < engine.reportedAtMs) outdated++
    if (outdated > 0) state.changes.splice(0, outdated)
    let net = 0
    for (const { atMs, change } of state.changes) {
      // A response with a load report completes a request, and the node may dispatch others in the same millisecond. The report
      // includes the completion but not these dispatches; without counting them, the node would send its entire queue at once.
      if (atMs > engine.reportedAtMs || change > 0) net += change
    }
    load += net > 0 ? net * this.nodeCount() : net
    return Math.max(state.running.size, load)
  }

  /** Whether the engine has a prefill backlog, which its batch size does not show. */
  private isPrefillBound (engine: EngineEntry): boolean {
    const state = this.states.get(engine.engine)
    return state !== undefined && state.pending.size > 0 && state.firstTokenMs > prefillBoundMs
  }

  /**
   * Whether one request may be sent to an engine that an old load report shows as full. The response carries the current load;
   * without this probe, a node in another region would wait up to 30 s for the next report.
   */
  private mayProbe (engine: EngineEntry): boolean {
    if (this.clock.nowMs() - engine.reportedAtMs < probeAfterMs) return false
    return !(this.states.get(engine.engine)?.changes.some(({ atMs, change }) => change > 0 && atMs > engine.reportedAtMs) ?? false)
  }

  /** Whether the engine is currently ejected on this node. */
  isEjected (engine: string): boolean {
    return (this.states.get(engine)?.ejectedUntilMs ?? 0) > this.clock.nowMs()
  }

  /** Filters out ejected engines, but at most half of all; those whose ejection ends last are filtered out first. */
  private withoutEjected (engines: EngineEntry[]): EngineEntry[] {
    const ejected = engines.filter(engine => this.isEjected(engine.engine))
      .sort((left, right) => this.stateOf(right.engine).ejectedUntilMs - this.stateOf(left.engine).ejectedUntilMs)
      .slice(0, Math.floor(engines.length / 2))
    return ejected.length === 0 ? engines : engines.filter(engine => !ejected.includes(engine))
  }

  private affinityEngine (request: RouteRequest, free: EngineEntry[]): EngineEntry | undefined {
    if (free.length < 2) return undefined
    const hashes = prefixHashes(request.model, request.prompt)
    let best: EngineEntry | undefined
    let bestTokens = 0
    for (const engine of free) {
      const tokens = this.cachedTokens(engine.engine, hashes)
      if (tokens > bestTokens) [best, bestTokens] = [engine, tokens]
    }
    if (!best) {
      const owner = rendezvousOwner(String(hashes[0]), free.map(engine => engine.engine))
      best = free.find(engine => engine.engine === owner)!
    }
    if (best.region !== this.location.region && free.some(engine => engine.region === this.location.region)) return undefined
    const meanLoad = free.reduce((sum, engine) => sum + this.utilization(engine), 0) / free.length
    return this.utilization(best) <= affinityLoadBound * meanLoad + 1 / best.maxBatch ? best : undefined
  }

  private cachedTokens (engine: string, hashes: number[]): number {
    const cached = this.states.get(engine)?.cachedPrefixes
    if (!cached) return 0
    for (let index = hashes.length - 1; index >= 0; index--) {
      const tokens = cached.get(hashes[index]!)
      if (tokens !== undefined) return tokens
    }
    return 0
  }

  /** Chooses the less loaded of two random engines among those with nearly the lowest cost. */
  private cheapest (request: RouteRequest, free: EngineEntry[]): RouteDecision {
    const costs = free.map(engine => this.costMs(request, engine))
    const lowest = Math.min(...costs)
    const near = free.filter((_, index) => costs[index]! <= lowest + similarCostMs)
    const first = near[randomInt(this.random, near.length)]!
    const second = near[randomInt(this.random, near.length)]!
    const chosen = this.utilization(second) < this.utilization(first) ? second : first
    const distance = chosen.availabilityZone === this.location.availabilityZone
      ? 'availability zone'
      : chosen.region === this.location.region ? 'region' : 'other region'
    return { kind: 'engine', engine: chosen.engine, reason: `low load in ${distance}` }
  }

  private costMs (request: RouteRequest, engine: EngineEntry): number {
    const loadCostMs = fullLoadCostMs * this.utilization(engine) ** 2
    if (engine.availabilityZone === this.location.availabilityZone) return loadCostMs
    if (engine.region === this.location.region) return loadCostMs + sameRegionCostMs
    return loadCostMs + crossRegionCostMs + this.crossRegionPrice() * request.promptBytes / 1024
  }

  private utilization (engine: EngineEntry): number {
    return this.estimatedLoad(engine) / Math.max(1, engine.maxBatch)
  }

  private eject (state: EngineState): void {
    state.ejectedUntilMs = this.clock.nowMs() + Math.min(maxEjectionMs, firstEjectionMs * 2 ** state.ejections)
    state.ejections++
  }

  private stateOf (engine: string): EngineState {
    let state = this.states.get(engine)
    if (!state) {
      state = { changes: [], running: new Map(), pending: new Set(), failures: 0, ejections: 0, ejectedUntilMs: 0, firstTokenMs: 0, cachedPrefixes: new Map() }
      this.states.set(engine, state)
    }
    return state
  }
}

function hasModel (engine: EngineEntry, model: string): boolean {
  return engine.models.some(loaded => loaded.name === model && loaded.state === 'ready')
}

function hasAdapter (engine: EngineEntry, adapter: string): boolean {
  return engine.adapters.some(loaded => loaded.name === adapter && loaded.state === 'ready')
}
