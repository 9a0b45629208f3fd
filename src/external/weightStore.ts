/** The store of weights, called by engines and never by nodes. */

import type { Clock } from '../base/clock.js'
import { HttpCaller } from './httpCall.js'

/** Calls resolve when the bytes have arrived, and reject with the error classes of `base/errors`. */
export interface WeightStore {
  loadModel (model: string, memoryBytes: number): Promise<void>
  loadAdapter (adapter: string, memoryBytes: number): Promise<void>
}

export class HttpWeightStore implements WeightStore {
  private readonly caller: HttpCaller
  private readonly timeoutMs: number

  constructor ({ address, clock, timeoutMs }: { address: string, clock: Clock, timeoutMs: number }) {
    this.caller = new HttpCaller('weight store', address, clock)
    this.timeoutMs = timeoutMs
  }

  async loadModel (name: string, memoryBytes: number): Promise<void> {
    await this.caller.json('/models', { method: 'POST', body: { name, memoryBytes }, timeoutMs: this.timeoutMs })
  }

  async loadAdapter (name: string, memoryBytes: number): Promise<void> {
    await this.caller.json('/adapters', { method: 'POST', body: { name, memoryBytes }, timeoutMs: this.timeoutMs })
  }

  close (): Promise<void> {
    return this.caller.close()
  }
}
