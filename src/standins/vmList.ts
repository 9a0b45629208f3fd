/** Stand-in for the platform's VM list. */

import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { NotRunError } from '../base/errors.js'
import { vmSchema } from '../external/vmList.js'
import type { Vm, VmList } from '../external/vmList.js'
import { FaultSwitches } from './faultSwitches.js'
import { addControl, createApp } from './httpServer.js'
import type { StandInApp } from './httpServer.js'

const faultBase = { calls: z.number().int().positive().default(1) }

export const vmListControlSchema = z.discriminatedUnion('fault', [
  /** Shows the list that the last call without this fault showed. */
  z.object({ ...faultBase, fault: z.literal('stale') }),
  z.object({ ...faultBase, fault: z.literal('down') }),
  z.object({ ...faultBase, fault: z.literal('clear') }),
  /** The actual state from now on. */
  z.object({ ...faultBase, fault: z.literal('set'), vms: z.array(vmSchema) })
])
export type VmListControl = z.input<typeof vmListControlSchema>
type VmListFault = z.infer<typeof vmListControlSchema>

export interface VmListStandInOptions {
  clock: Clock
  vms: Vm[]
  /** Time after which a change is shown. */
  lagMs?: number
}

export class VmListStandIn implements VmList {
  private readonly clock: Clock
  private readonly lagMs: number
  private readonly faults = new FaultSwitches<VmListFault>()
  private versions: { atMs: number, vms: Vm[] }[]
  private shown: Vm[]
  private listCount = 0

  constructor ({ clock, vms, lagMs = 0 }: VmListStandInOptions) {
    this.clock = clock
    this.lagMs = lagMs
    this.versions = [{ atMs: -Infinity, vms }]
    this.shown = vms
  }

  get log (): { lists: number } {
    return { lists: this.listCount }
  }

  /** Sets the actual state, which the list shows after its lag. */
  set (vms: Vm[]): void {
    this.versions.push({ atMs: this.clock.nowMs(), vms })
  }

  control (control: VmListControl): void {
    const fault = vmListControlSchema.parse(control)
    if (fault.fault === 'clear') this.faults.clear()
    else if (fault.fault === 'set') this.set(fault.vms)
    else this.faults.add(fault)
  }

  async list (): Promise<Vm[]> {
    this.listCount++
    if (this.faults.take('down')) throw new NotRunError('VM list', 'the list is down')
    if (this.faults.take('stale')) return this.shown
    const visible = this.versions.findLastIndex(version => version.atMs + this.lagMs <= this.clock.nowMs())
    this.versions = this.versions.slice(visible)
    this.shown = this.versions[0]!.vms
    return this.shown
  }
}

export function vmListApp (list: VmListStandIn): StandInApp {
  const app = createApp()
  app.get('/vms', async context => context.json(await list.list()))
  addControl(app, list, vmListControlSchema)
  return app
}
