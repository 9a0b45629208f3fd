/** Reads the VM list over HTTP. */

import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { HttpCaller } from './httpCall.js'
import { vmSchema } from './vmList.js'
import type { Vm, VmList } from './vmList.js'

export class HttpVmList implements VmList {
  private readonly caller: HttpCaller
  private readonly timeoutMs: number

  constructor ({ address, clock, timeoutMs }: { address: string, clock: Clock, timeoutMs: number }) {
    this.caller = new HttpCaller('VM list', address, clock)
    this.timeoutMs = timeoutMs
  }

  async list (): Promise<Vm[]> {
    return this.caller.parsed(z.array(vmSchema), '/vms', { timeoutMs: this.timeoutMs })
  }

  close (): Promise<void> {
    return this.caller.close()
  }
}
