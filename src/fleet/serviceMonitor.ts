/** Checks the backend servers of plain services and publishes their state. */

import { repeat } from '../base/clock.js'
import { NotRunError } from '../base/errors.js'
import { rendezvousOwner } from '../base/hash.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { ServiceApi } from '../platform/service.js'
import type { Vm } from '../platform/vmList.js'
import { serviceEntrySchema } from '../protocol/messages.js'
import type { MemberEntry, ServiceEntry } from '../protocol/messages.js'
import type { EntryStore } from './entryTable.js'

export interface ServiceMonitorOptions {
  clock: Clock
  entries: EntryStore
  self: { name: string, region: string }
  alive: () => MemberEntry[]
  vms: () => Vm[]
  serviceApi: (vm: Vm) => ServiceApi
}

const checkPeriodMs = 500
const checkTimeoutMs = 1_000
const keyPrefix = 'service/'
// A server that is slow for one check is not taken out.
const failuresUntilUnreachable = 2

/** In each region one node, chosen by rendezvous hashing for each server, checks it. */
export class ServiceMonitor {
  private readonly options: ServiceMonitorOptions
  private stopTimer: CancelTimer | undefined
  private readonly duties = new Map<string, { sinceMs: number, published: string, failures: number }>()

  constructor (options: ServiceMonitorOptions) {
    this.options = options
  }

  start (): void {
    this.stopTimer = repeat(this.options.clock, checkPeriodMs, () => this.checkAll(), { firstDelayMs: 0 })
  }

  stop (): void {
    this.stopTimer?.()
  }

  /**
   * Servers of `service` that take new work. A listed server that nobody has checked yet counts as healthy: a refused
   * connection is proof that nothing ran.
   */
  servers (service: string): ServiceEntry[] {
    const checked = new Map(this.options.entries.list(keyPrefix).flatMap(({ value }) => {
      const result = serviceEntrySchema.safeParse(value)
      return result.success ? [[result.data.server, result.data] as const] : []
    }))
    return this.options.vms()
      .filter(vm => vm.kind === 'service' && vm.group === service && vm.state === 'live')
      .map(vm => checked.get(vm.name) ?? entryOf(vm, { draining: false, reachable: true }))
      .filter(({ draining, reachable }) => reachable && !draining)
  }

  private async checkAll (): Promise<void> {
    const { self, alive, vms } = this.options
    const members = alive()
    const inRegion = members.filter(({ region }) => region === self.region).map(({ name }) => name)
    const mine = vms().filter(vm => vm.kind === 'service').filter(vm => {
      const names = members.filter(({ region }) => region === vm.region).map(({ name }) => name)
      const candidates = names.length > 0 ? names : members.map(({ name }) => name)
      return rendezvousOwner(`${keyPrefix}${vm.name}`, candidates.length > 0 ? candidates : inRegion) === self.name
    })
    for (const name of [...this.duties.keys()]) {
      if (!mine.some(vm => vm.name === name)) this.duties.delete(name)
    }
    await Promise.all(mine.map(vm => this.check(vm)))
  }

  private async check (vm: Vm): Promise<void> {
    const { clock, serviceApi } = this.options
    const duty = this.duties.get(vm.name) ?? { sinceMs: clock.nowMs(), published: '', failures: 0 }
    this.duties.set(vm.name, duty)
    try {
      const { draining } = await serviceApi(vm).health({ timeoutMs: checkTimeoutMs })
      duty.failures = 0
      this.publish(vm, duty, { draining, reachable: true })
    } catch (error) {
      duty.failures++
      if (error instanceof NotRunError || duty.failures >= failuresUntilUnreachable) {
        this.publish(vm, duty, { draining: false, reachable: false })
      }
    }
  }

  private publish (vm: Vm, duty: { sinceMs: number, published: string }, state: { draining: boolean, reachable: boolean }): void {
    const entry = entryOf(vm, state)
    const text = JSON.stringify(entry)
    if (duty.published === text) return
    duty.published = text
    this.options.entries.publish(`${keyPrefix}${vm.name}`, duty.sinceMs, entry, { urgent: true })
  }
}

function entryOf (vm: Vm, state: { draining: boolean, reachable: boolean }): ServiceEntry {
  const { name, group, address, region, availabilityZone } = vm
  return { server: name, service: group, address, region, availabilityZone, ...state }
}
