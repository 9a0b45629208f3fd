/**
 * The simplest policy: load on demand, least recently used out, first free engine, first come first served. It sees the
 * exact state of all engines at once, which no real node does.
 */

import { versionedModel } from '../config/fleetConfig.js'
import type { BenchRequest, EngineModel } from './engineModel.js'
import type { BenchPolicy, World } from './world.js'

const retryPeriodMs = 100

export class NaivePolicy implements BenchPolicy {
  private readonly world: World
  /** Waiting requests by model, each in the order of arrival. */
  private readonly waiting = new Map<string, BenchRequest[]>()
  private readonly loading = new Map<EngineModel, string>()

  constructor (world: World) {
    this.world = world
    world.loop.every(retryPeriodMs, retryPeriodMs, () => this.serveAll())
  }

  onArrival (request: BenchRequest): void {
    const queue = this.waiting.get(request.model) ?? []
    this.waiting.set(request.model, queue)
    queue.push(request)
    this.serve(request.model)
  }

  private serveAll (): void {
    const byAge = [...this.waiting].filter(([, queue]) => queue.length > 0).sort((left, right) => left[1][0]!.index - right[1][0]!.index)
    for (const [model] of byAge) this.serve(model)
  }

  private serve (model: string): void {
    const queue = this.waiting.get(model)!
    const { loop, deployment, terms } = this.world
    const config = deployment.config.models[model]!
    const name = versionedModel(model, config.version)
    while (queue.length > 0) {
      const request = queue[0]!
      // The caller is gone.
      if (this.world.isLost(request.node) || loop.nowMs() > request.arrivalMs + terms[request.index]!.patienceMs) {
        this.world.giveUp(queue.shift()!, 'lost')
        continue
      }
      const candidates = this.world.engines.filter(engine => engine.alive && engine.entry.pool === config.pool && this.world.connected(request.node, engine))
      const free = candidates.filter(engine => engine.load().running + engine.load().queued < deployment.maxBatch)
      const ready = free.find(engine => engine.hasReady(name))
      if (!ready) {
        this.load(model, name, free)
        return
      }
      const { adapter } = request
      if (adapter !== undefined && !ready.entry.adapters.some(loaded => loaded.name === adapter && loaded.state === 'ready')) {
        ready.loadAdapter(adapter, name, deployment.config.adapters[adapter]!.memoryBytes, 20)
        return
      }
      queue.shift()
      this.dispatch(ready, request, name)
    }
  }

  private dispatch (engine: EngineModel, request: BenchRequest, name: string): void {
    this.world.dispatch(request.node, engine, request, name, 0, {
      onFirstToken: () => {},
      onEnd: () => this.serve(request.model),
      onFailed: notRun => {
        if (notRun) this.waiting.get(request.model)!.unshift(request)
        else this.world.giveUp(request, 'lost')
      }
    })
  }

  /** Loads the model on the first free engine that has none of it, and unloads the least recently used models for it. */
  private load (model: string, name: string, free: EngineModel[]): void {
    if ([...this.loading.values()].includes(model)) return
    const engine = free.find(candidate => !this.loading.has(candidate) && !candidate.entry.models.some(loaded => loaded.name === name))
    if (!engine) return
    const { config } = this.world.deployment
    const { memoryBytes, pool } = config.models[model]!
    const { entry } = engine
    let missing = memoryBytes + entry.kvCacheBytes + config.pools[pool]!.adapterBytes - entry.memoryBytes +
      entry.models.reduce((sum, loaded) => sum + loaded.memoryBytes, 0)
    const unload: string[] = []
    const byUse = [...entry.models].sort((left, right) => (engine.lastUsedMs.get(left.name) ?? 0) - (engine.lastUsedMs.get(right.name) ?? 0))
    for (const loaded of byUse) {
      if (missing <= 0) break
      unload.push(loaded.name)
      missing -= loaded.memoryBytes
    }
    if (missing > 0) return
    this.loading.set(engine, model)
    this.world.countMove()
    engine.swap(unload, name, memoryBytes, () => {
      this.loading.delete(engine)
      this.serve(model)
    })
  }
}
