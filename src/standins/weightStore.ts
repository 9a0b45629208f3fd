/** Stand-in for the rate-limited store of weights. */

import { z } from 'zod'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { hash32 } from '../base/hash.js'
import { FailedError } from '../base/errors.js'
import type { WeightStore } from '../external/weightStore.js'
import { FaultSwitches } from './faultSwitches.js'
import { addControl, createApp } from './httpServer.js'
import type { StandInApp } from './httpServer.js'

const faultBase = { calls: z.number().int().positive().default(1) }

export const weightStoreControlSchema = z.discriminatedUnion('fault', [
  z.object({ ...faultBase, fault: z.literal('slow'), factor: z.number() }),
  z.object({ ...faultBase, fault: z.literal('failing') }),
  z.object({ ...faultBase, fault: z.literal('clear') })
])
export type WeightStoreControl = z.input<typeof weightStoreControlSchema>
type WeightStoreFault = z.infer<typeof weightStoreControlSchema>

export interface WeightStoreStandInOptions {
  clock: Clock
  /** Model loads that start each second. */
  loadsPerSecond?: number
  /** Model loads at once at full speed. */
  loadsInFlight?: number
  /** Adapter loads at once at full speed. */
  adapterLoadsInFlight?: number
  bytesPerSecond?: number
}

/** One load. `endMs` is absent while it runs. */
export interface StoreLoad {
  kind: 'model' | 'adapter'
  name: string
  startMs: number
  endMs?: number
  failed: boolean
}

export class WeightStoreStandIn implements WeightStore {
  readonly log: StoreLoad[] = []
  private readonly options: Required<WeightStoreStandInOptions>
  private readonly faults = new FaultSwitches<WeightStoreFault>()
  private nextStartMs = 0
  private readonly inFlight = { model: 0, adapter: 0 }

  constructor (options: WeightStoreStandInOptions) {
    this.options = { loadsPerSecond: 1, loadsInFlight: 3, adapterLoadsInFlight: 25, bytesPerSecond: 8e9, ...options }
  }

  control (control: WeightStoreControl): void {
    const fault = weightStoreControlSchema.parse(control)
    if (fault.fault === 'clear') this.faults.clear()
    else this.faults.add(fault)
  }

  async loadModel (model: string, memoryBytes: number): Promise<void> {
    const { clock, loadsPerSecond, loadsInFlight, bytesPerSecond } = this.options
    const startMs = Math.max(clock.nowMs(), this.nextStartMs)
    this.nextStartMs = startMs + 1000 / loadsPerSecond
    if (startMs > clock.nowMs()) await sleep(clock, startMs - clock.nowMs())
    await this.load('model', model, memoryBytes / bytesPerSecond * 1000, loadsInFlight)
  }

  /** Takes 10 to 30 ms at full speed, by name. */
  loadAdapter (adapter: string, _memoryBytes: number): Promise<void> {
    return this.load('adapter', adapter, 10 + hash32(adapter) % 21, this.options.adapterLoadsInFlight)
  }

  /** The number in flight at the start decides the speed of the whole load. */
  private async load (kind: 'model' | 'adapter', name: string, fullSpeedMs: number, limit: number): Promise<void> {
    const { clock } = this.options
    const entry: StoreLoad = { kind, name, startMs: clock.nowMs(), failed: this.faults.take('failing') !== undefined }
    this.log.push(entry)
    const slowFactor = this.faults.take('slow')?.factor ?? 1
    this.inFlight[kind]++
    await sleep(clock, fullSpeedMs * slowFactor * Math.max(1, this.inFlight[kind] / limit))
    this.inFlight[kind]--
    entry.endMs = clock.nowMs()
    if (entry.failed) throw new FailedError('weight store', `the load of ${name} failed`)
  }
}

export function weightStoreApp (store: WeightStoreStandIn): StandInApp {
  const app = createApp()
  const bodySchema = z.object({ name: z.string(), memoryBytes: z.number() })
  app.post('/models', async context => {
    const { name, memoryBytes } = bodySchema.parse(await context.req.json())
    await store.loadModel(name, memoryBytes)
    return context.body(null, 204)
  })
  app.post('/adapters', async context => {
    const { name, memoryBytes } = bodySchema.parse(await context.req.json())
    await store.loadAdapter(name, memoryBytes)
    return context.body(null, 204)
  })
  addControl(app, store, weightStoreControlSchema)
  return app
}
