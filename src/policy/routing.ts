/** Chooses the engine for a request. */

import type { Clock } from '../base/clock.js'
import { hash32, rendezvousOwner } from '../base/hash.js'
import { randomInt } from '../base/random.js'
import type { Random } from '../base/random.js'
import type { Rank } from '../config/fleetConfig.js'
import type { CacheEvent } from '../external/engine.js'
import type { EngineEntry } from '../protocol/messages.js'

export interface RouteRequest {
  requestId: string
  /** `NAME@VERSION`. */
  model: string
  adapter?: string
  prompt: string
  rank: Rank
  /** Bytes that cross a region's border if the engine is in another one. */
  promptBytes: number
  /** Engines on which the request already failed. */
  excludeEngines: ReadonlySet<string>
  /** The request is part of its rank's kept minimum. */
  usesGuaranteedShare?: boolean
}

export type RouteDecision =
  | { kind: 'engine', engine: string, reason: string }
  | { kind: 'wait', reason: 'no-replica' | 'busy' | 'ejected', detail: string }

/** The engine's priority for requests of a rank; larger runs first. */
export const enginePriorities: Readonly<Record<Rank, number>> = { urgent: 2, live: 1, browsing: 0 }
/** The engine's priority for kept minimums: among equals, they would wait behind the flood on the engine. */
export const guaranteedSharePriority = 3
const guaranteedBatchShare = 1.5
/** Mean time to the first token above which a node keeps at most one request without first token on the engine. */
const prefillBoundMs = 400

/**
 * Part of an engine's batch up to which requests of a rank are sent. The rest absorbs bursts of the more urgent ranks,
 * and what exceeds 1 waits on the engine, where its priority lets it have the next free slot.
 */
const batchShare: Readonly<Record<Rank, number>> = { urgent: 1.25, live: 1.05, browsing: 0.85 }
/** The engine with the cached prefix is preferred up to this multiple of the mean load. */
const affinityLoadBound = 1.25
const sameRegionCostMs = 2
const crossRegionCostMs = 24
/** Delay that a full batch adds; the square keeps it small while there is room. */
const fullLoadCostMs = 60
/** Engines whose cost differs by less are chosen between at random, so that nodes with the same report spread out. */
const similarCostMs = 6
/** Age of a report after which an engine that it shows as full is tried with one request. */
const probeAfterMs = 500
const consecutiveFailuresUntilEjected = 3
const firstEjectionMs = 5_000
const maxEjectionMs = 60_000
/** A first token later than this multiple of the other engines' mean, and than the minimum, counts as slow. */
const slowFactor = 4
const slowMinimumMs = 1_000
const latencySmoothing = 0.2
const prefixBlockCharacters = 256
const maxPrefixBlocks = 8
const maxCachedPrefixes = 4_096

interface EngineState {
  /** Times of own dispatches (+1) and ends (-1) that the last report may not show. */
  changes: { atMs: number, change: 1 | -1 }[]
  running: Map<string, number>
  /** Running requests without a first token. */
  pending: Set<string>
  failures: number
  ejections: number
  ejectedUntilMs: number
  firstTokenMs: number
  cachedPrefixes: Map<number, number>
}

/** Hashes of the prompt's first 1, 2, … blocks of 256 characters, under which cache events name prefixes. */
export function prefixHashes (model: string, prompt: string): number[] {
  const hashes: number[] = []
  const blocks = Math.min(maxPrefixBlocks, Math.max(1, Math.floor(prompt.length / prefixBlockCharacters)))
  for (let count = 1; count <= blocks; count++) {
    hashes.push(hash32(`${model}\u0000${prompt.slice(0, count * prefixBlockCharacters)}`))
  }
  return hashes
}

/** Router of one node. */
export class Router {
  private readonly clock: Clock
  private readonly random: Random
  private readonly location: { region: string, availabilityZone: string }
  private readonly crossRegionPrice: () => number
  private readonly nodeCount: () => number
  private readonly states = new Map<string, EngineState>()

  /** `nodeCount` is the number of nodes that send to the same engines. */
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

    const affine = this.affinityEngine(request, free)
    if (affine) return { kind: 'engine', engine: affine.engine, reason: 'cached prefix' }
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

  /** Applies cache events. `complete` is false after a gap: what was known of the engine's cache is then dropped. */
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
   * Requests on the engine by its last report, corrected by what this node dispatched and saw end since then. A surplus
   * of dispatches is multiplied by the number of nodes, as all of them see the same free engine at the same time.
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
      // A reply that carries the load ends a request, and then lets the node dispatch in the same millisecond: the report
      // shows the end and not the dispatches. Without counting these, a node sends its whole queue at once.
      if (atMs > engine.reportedAtMs || change > 0) net += change
    }
    load += net > 0 ? net * this.nodeCount() : net
    return Math.max(state.running.size, load)
  }

  /** Whether prompts queue on the engine, which the size of its batch does not show. */
  private isPrefillBound (engine: EngineEntry): boolean {
    const state = this.states.get(engine.engine)
    return state !== undefined && state.pending.size > 0 && state.firstTokenMs > prefillBoundMs
  }

  /**
   * Whether one request may be sent to an engine that looked full in an old report. Its reply carries the present load;
   * without it, a node in another region waits for up to 30 s for the next report.
   */
  private mayProbe (engine: EngineEntry): boolean {
    if (this.clock.nowMs() - engine.reportedAtMs < probeAfterMs) return false
    return !(this.states.get(engine.engine)?.changes.some(({ atMs, change }) => change > 0 && atMs > engine.reportedAtMs) ?? false)
  }

  /** Whether the node avoids the engine at present. */
  isEjected (engine: string): boolean {
    return (this.states.get(engine)?.ejectedUntilMs ?? 0) > this.clock.nowMs()
  }

  /** Leaves out ejected engines, but at most half of all: those ejected for longest come back first. */
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

  /** The better of two random engines among those whose cost is nearly the lowest. */
  private cheapest (request: RouteRequest, free: EngineEntry[]): RouteDecision {
    const costs = free.map(engine => this.costMs(request, engine))
    const lowest = Math.min(...costs)
    const near = free.filter((_, index) => costs[index]! <= lowest + similarCostMs)
    const first = near[randomInt(this.random, near.length)]!
    const second = near[randomInt(this.random, near.length)]!
    const chosen = this.utilization(second) < this.utilization(first) ? second : first
    const place = chosen.availabilityZone === this.location.availabilityZone
      ? 'availability zone'
      : chosen.region === this.location.region ? 'region' : 'other region'
    return { kind: 'engine', engine: chosen.engine, reason: `low load in ${place}` }
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
