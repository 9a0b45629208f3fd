/** Loads adapters for which requests wait, in place of those that were used longest ago. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { rendezvousOrder } from '../base/hash.js'
import { occupiedAdapterSlots, conflictDelayMs } from './controlledEngine.js'
import type { ControlledEngine } from './controlledEngine.js'
import type { EngineType, CommandOutcome } from './deployment.js'

/** Time that an adapter takes to load; the platform does not say it. */
const loadMs = 40
/** Time until an adapter is ready whose order has not been given yet. */
const assumedLoadMs = 160
/** Requests of an adapter that is being unloaded last seconds. */
const unloadCheckMs = 500
/** An adapter stays at least this long, so that those that wait do not displace each other. */
const minResidenceMs = 1000
/** Adapters that may be on their way to an engine at once. */
const maxPendingLoads = 4

export interface AdapterName {
  model: string
  adapter: string
}

export interface AdapterPlacementOptions {
  clock: Clock
  /** Gives one order, unless the engine's state has changed since `generation`. */
  sendCommand (engine: ControlledEngine, generation: number, action: 'load' | 'unload', name: AdapterName): Promise<CommandOutcome>
  /** Asks the engine what it holds. */
  queryState (engine: ControlledEngine): Promise<unknown>
  /** Whether this node still gives the engine's orders. */
  isControlled (engine: ControlledEngine): boolean
  /** Called when the nodes have to hear of the engine. */
  onChanged (): void
}

export class AdapterPlacement {
  constructor (private readonly options: AdapterPlacementOptions) {}

  /** Loads the adapter on one of `engines`, unless one has it or is about to. */
  load ({ model, adapter }: AdapterName, engines: readonly ControlledEngine[], { adapterSlots }: EngineType): void {
    const nowMs = this.options.clock.nowMs()
    const hosts = engines.filter(({ server, isSynced }) => {
      const state = server.replicas.get(model)
      return isSynced && state && !state.isUnloading && !state.isLoading && server.isUsable
    })
    const key = `${model}/${adapter}`
    if (hosts.some(({ server, pendingAdapters }) => pendingAdapters.has(key) || server.replicas.get(model)!.adapters.has(adapter))) return
    const order = rendezvousOrder(key, hosts.map(({ server }) => server.entry.id))
    const free = hosts.filter(engine => !engine.isBusy && engine.pendingAdapters.size < maxPendingLoads && nowMs >= engine.retryAtMs)
    const ranked = free.sort((left, right) => order.indexOf(left.server.entry.id) - order.indexOf(right.server.entry.id))
    const chosen = ranked.find(engine => occupiedAdapterSlots(engine) < adapterSlots) ?? ranked[0]
    if (!chosen) return
    const evicted = occupiedAdapterSlots(chosen) < adapterSlots ? undefined : this.leastRecentlyUsed(chosen)
    if (occupiedAdapterSlots(chosen) >= adapterSlots && !evicted) return
    void this.executeLoad(chosen, { model, adapter }, evicted)
  }

  private leastRecentlyUsed ({ server, usedAtMs, pendingAdapters }: ControlledEngine): AdapterName | undefined {
    const nowMs = this.options.clock.nowMs()
    let least: AdapterName & { atMs: number } | undefined
    for (const [model, { adapters, isUnloading }] of server.replicas) {
      if (isUnloading) continue
      for (const [adapter, readyAtMs] of adapters) {
        if (readyAtMs > nowMs || pendingAdapters.has(`${model}/${adapter}`)) continue
        const atMs = usedAtMs.get(`${model}/${adapter}`) ?? -Infinity
        if (nowMs - atMs < minResidenceMs) continue
        if (!least || atMs < least.atMs) least = { model, adapter, atMs }
      }
    }
    return least
  }

  private async executeLoad (engine: ControlledEngine, name: AdapterName, evicted: AdapterName | undefined): Promise<void> {
    const { server, generation, pendingAdapters, usedAtMs } = engine
    const { clock, sendCommand: order, onChanged } = this.options
    const { model, adapter } = name
    const key = `${model}/${adapter}`
    pendingAdapters.add(key)
    const assumedReadyAtMs = clock.nowMs() + assumedLoadMs
    server.replicas.get(model)!.adapters.set(adapter, assumedReadyAtMs)
    usedAtMs.set(key, clock.nowMs())
    // An engine that was asked in between may have shown the adapter.
    const forget = () => {
      const adapters = server.replicas.get(model)?.adapters
      if (adapters?.get(adapter) === assumedReadyAtMs) adapters.delete(adapter)
    }
    try {
      if (evicted && !(await this.freeSlot(engine, generation, evicted))) return forget()
      const outcome = await order(engine, generation, 'load', name)
      if (outcome === 'already-done') server.replicas.get(model)?.adapters.set(adapter, clock.nowMs())
      else if (outcome === 'started') server.replicas.get(model)?.adapters.set(adapter, clock.nowMs() + loadMs)
      else {
        forget()
        engine.retryAtMs = clock.nowMs() + conflictDelayMs
      }
    } finally {
      pendingAdapters.delete(key)
      onChanged()
    }
  }

  /** Unloads an adapter. Its place counts as taken until the engine has said that it is free. */
  private async freeSlot (engine: ControlledEngine, generation: number, name: AdapterName): Promise<boolean> {
    const { model, adapter } = name
    const key = `${model}/${adapter}`
    const { server, unloadingAdapters: leavingAdapters } = engine
    server.replicas.get(model)?.adapters.delete(adapter)
    leavingAdapters.add(key)
    this.options.onChanged()
    const outcome = await this.options.sendCommand(engine, generation, 'unload', name)
    if (outcome === 'already-done') {
      leavingAdapters.delete(key)
      return true
    }
    if (!this.options.isControlled(engine)) return false
    engine.retryAtMs = this.options.clock.nowMs() + conflictDelayMs
    // Requests use it, so its place becomes free only with their end.
    if (outcome === 'started') void this.awaitUnloads(engine)
    else if (leavingAdapters.delete(key)) server.replicas.get(model)?.adapters.set(adapter, 0)
    return false
  }

  private async awaitUnloads (engine: ControlledEngine): Promise<void> {
    while (engine.unloadingAdapters.size > 0 && this.options.isControlled(engine)) {
      await sleep(this.options.clock, unloadCheckMs)
      await this.options.queryState(engine)
    }
  }
}
