/** Models and adapters that the requests of this node use, wait for or lack. */

import type { Clock } from '../base/clock.js'

/** Clients name adapters: without these limits, a report to the leader could become too large for one message. */
const maxAdapterNameChars = 100
const maxReportedAdapters = 1000

export interface WaitingRequest {
  end (): void
}

export interface AdapterDemand {
  service: string
  model: string
  adapter: string
  count: number
}

interface ModelCounts {
  service: string
  model: string
  waiting: number
  /** Most urgent rank among the waiting requests. */
  rank: number
}

/** Returns the expected time until a model or adapter is ready, in milliseconds, as the placement leader announced it; `undefined` if no load is decided. */
export type ExpectedReadyMs = (service: string, model: string, adapter: string | undefined) => number | undefined

export class ModelDemand {
  private readonly models = new Map<string, ModelCounts>()
  private readonly adapters = new Map<string, AdapterDemand>()
  private used = new Map<string, [string, string, string]>()
  private missing: [string, string][] = []
  private readonly waiters = new Set<() => void>()
  /** Called when a request waits for a model or adapter for which no other request waits. */
  onNewDemand: () => void = () => {}
  expectedReadyMs: ExpectedReadyMs = () => undefined

  constructor (private readonly clock: Clock) {}

  wait (service: string, model: string, adapter: string | undefined, rank: number): WaitingRequest {
    const counts = this.countsOf(service, model)
    counts.waiting++
    counts.rank = Math.min(counts.rank, rank)
    const key = `${service}\u0000${model}\u0000${adapter ?? ''}`
    let isNew = counts.waiting === 1
    if (adapter !== undefined) {
      const demand = this.adapters.get(key) ?? { service, model, adapter, count: 0 }
      this.adapters.set(key, demand)
      isNew ||= demand.count === 0
      demand.count++
    }
    if (isNew) this.onNewDemand()
    let hasEnded = false
    return {
      end: () => {
        if (hasEnded) return
        hasEnded = true
        if (--counts.waiting === 0) counts.rank = Infinity
        const demand = this.adapters.get(key)
        if (demand && --demand.count === 0) this.adapters.delete(key)
      }
    }
  }

  /** Records that a request uses `key`, which is `MODEL/ADAPTER`, on an engine. */
  onUsed (engine: string, key: string): void {
    const [model, adapter] = key.split('/')
    this.used.set(`${engine}/${key}`, [engine, model!, adapter!])
  }

  /** Records that a request was rejected because no engine is expected to hold its model. */
  onMissing (service: string, model: string): void {
    this.missing.push([service, model])
  }

  /** Returns `[engine, model, adapter]` of the adapters used since the last call. */
  takeUsedAdapters (): [string, string, string][] {
    const rows = [...this.used.values()]
    this.used.clear()
    return rows
  }

  /** Returns `[service, model]` of the requests rejected since the last call. */
  takeMissingModels (): [string, string][] {
    return this.missing.splice(0)
  }

  waitingModels (): { service: string, model: string, waiting: number, rank: number }[] {
    return [...this.models.values()].filter(({ waiting }) => waiting > 0)
  }

  /** The adapters for which requests wait, as far as one report can name them. */
  waitingAdapters (): AdapterDemand[] {
    return [...this.adapters.values()].filter(({ adapter }) => adapter.length <= maxAdapterNameChars).slice(0, maxReportedAdapters)
  }

  /** Resolves after `delayMs`, or when `wake` is called. */
  waitForChange (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        this.waiters.delete(done)
        cancel()
        resolve()
      }
      const cancel = this.clock.setTimer(delayMs, done)
      this.waiters.add(done)
    })
  }

  wake (): void {
    for (const waiter of [...this.waiters]) waiter()
  }

  private countsOf (service: string, model: string): ModelCounts {
    const key = `${service}\u0000${model}`
    let counts = this.models.get(key)
    if (!counts) this.models.set(key, counts = { service, model, waiting: 0, rank: Infinity })
    return counts
  }
}
