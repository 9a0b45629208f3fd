/** Loads adapters for which requests wait, and evicts the oldest recently used ones. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { rendezvousOrder } from '../base/hash.js'
import { occupiedAdapterSlots, conflictDelayMs } from './controlledEngine.js'
import type { ControlledEngine } from './controlledEngine.js'
import type { EngineType, CommandOutcome } from './deployment.js'

/** Load time of an adapter, which the platform does not report. */
const loadMs = 40
/** Expected time until an adapter is ready whose load command has not been sent yet. */
const assumedLoadMs = 160
/** Interval of state queries while adapters are unloaded; the requests that use them last seconds. */
const unloadCheckMs = 500
/** An adapter is not evicted within this time of its last use, so that waiting adapters do not evict each other. */
const minResidenceMs = 1000
/** Adapter loads in progress per engine. */
const maxPendingLoads = 4

export interface AdapterName {
  model: string
  adapter: string
}

export interface AdapterPlacementOptions {
  clock: Clock
  /** Sends one command, unless the engine's state has changed since `generation`. */
  sendCommand (engine: ControlledEngine, generation: number, action: 'load' | 'unload', name: AdapterName): Promise<CommandOutcome>
  /** Queries the engine's models and adapters. */
  queryState (engine: ControlledEngine): Promise<unknown>
  /** Whether this node still controls the engine. */
  isControlled (engine: ControlledEngine): boolean
  /** Called when the nodes need an update about the engine. */
  onChanged (): void
}

export class AdapterPlacement {
  constructor (private readonly options: AdapterPlacementOptions) {}

  /** Loads the adapter on one of `engines`, unless one holds or is loading it. */
  load ({ model, adapter }: AdapterName, engines: readonly ControlledEngine[], { adapterSlots }: EngineType): void {
    const nowMs = this.options.clock.nowMs()
    const candidates = engines.filter(({ server, isSynced }) => {
      const state = server.replicas.get(model)
      return isSynced && state && !state.isUnloading && !state.isLoading && server.isPresent
    })
    const key = `${model}/${adapter}`
    if (candidates.some(({ server, pendingAdapters }) => pendingAdapters.has(key) || server.replicas.get(model)!.adapters.has(adapter))) return
    const preference = rendezvousOrder(key, candidates.map(({ server }) => server.entry.id))
    const free = candidates.filter(engine => !engine.isBusy && engine.pendingAdapters.size < maxPendingLoads && nowMs >= engine.retryAtMs)
    const ranked = free.sort((left, right) => preference.indexOf(left.server.entry.id) - preference.indexOf(right.server.entry.id))
    const chosen = ranked.find(engine => occupiedAdapterSlots(engine) < adapterSlots) ?? ranked[0]
    if (!chosen) return
    const evicted = occupiedAdapterSlots(chosen) < adapterSlots ? undefined : this.leastRecentlyUsed(chosen)
    if (occupiedAdapterSlots(chosen) >= adapterSlots && !evicted) return
    void this.executeLoad(chosen, { model, adapter }, evicted)
  }

  private leastRecentlyUsed ({ server, usedAtMs, pendingAdapters }: ControlledEngine): AdapterName | undefined {
    const nowMs = this.options.clock.nowMs()
    let oldest: AdapterName & { atMs: number } | undefined
    for (const [model, { adapters, isUnloading }] of server.replicas) {
      if (isUnloading) continue
      for (const [adapter, readyAtMs] of adapters) {
        if (readyAtMs > nowMs || pendingAdapters.has(`${model}/${adapter}`)) continue
        const atMs = usedAtMs.get(`${model}/${adapter}`) ?? -Infinity
        if (nowMs - atMs < minResidenceMs) continue
        if (!oldest || atMs < oldest.atMs) oldest = { model, adapter, atMs }
      }
    }
    return oldest
  }

  private async executeLoad (engine: ControlledEngine, name: AdapterName, evicted: AdapterName | undefined): Promise<void> {
    const { server, generation, pendingAdapters, usedAtMs } = engine
    const { clock, sendCommand, onChanged } = this.options
    const { model, adapter } = name
    const key = `${model}/${adapter}`
    pendingAdapters.add(key)
    const assumedReadyAtMs = clock.nowMs() + assumedLoadMs
    server.replicas.get(model)!.adapters.set(adapter, assumedReadyAtMs)
    usedAtMs.set(key, clock.nowMs())
    // Keeps the entry if a state query has replaced it meanwhile.
    const removeAssumed = () => {
      const adapters = server.replicas.get(model)?.adapters
      if (adapters?.get(adapter) === assumedReadyAtMs) adapters.delete(adapter)
    }
    try {
      if (evicted && !(await this.freeSlot(engine, generation, evicted))) return removeAssumed()
      const outcome = await sendCommand(engine, generation, 'load', name)
      if (outcome === 'already-done') server.replicas.get(model)?.adapters.set(adapter, clock.nowMs())
      else if (outcome === 'started') server.replicas.get(model)?.adapters.set(adapter, clock.nowMs() + loadMs)
      else {
        removeAssumed()
        engine.retryAtMs = clock.nowMs() + conflictDelayMs
      }
    } finally {
      pendingAdapters.delete(key)
      onChanged()
    }
  }

  /** Unloads an adapter. Its slot counts as occupied until the engine confirms the unload. Returns whether the slot is free. */
  private async freeSlot (engine: ControlledEngine, generation: number, name: AdapterName): Promise<boolean> {
    const { model, adapter } = name
    const key = `${model}/${adapter}`
    const { server, unloadingAdapters } = engine
    server.replicas.get(model)?.adapters.delete(adapter)
    unloadingAdapters.add(key)
    this.options.onChanged()
    const outcome = await this.options.sendCommand(engine, generation, 'unload', name)
    if (outcome === 'already-done') {
      unloadingAdapters.delete(key)
      return true
    }
    if (!this.options.isControlled(engine)) return false
    engine.retryAtMs = this.options.clock.nowMs() + conflictDelayMs
    // Requests still use the adapter, so its slot is freed when they end.
    if (outcome === 'started') void this.awaitUnloads(engine)
    else if (unloadingAdapters.delete(key)) server.replicas.get(model)?.adapters.set(adapter, 0)
    return false
  }

  private async awaitUnloads (engine: ControlledEngine): Promise<void> {
    while (engine.unloadingAdapters.size > 0 && this.options.isControlled(engine)) {
      await sleep(this.options.clock, unloadCheckMs)
      await this.options.queryState(engine)
    }
  }
}
