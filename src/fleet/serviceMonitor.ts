/** Runs health checks on the backend servers of plain services and publishes the results. */

import { repeat } from '../base/clock.js'
import { NotRunError } from '../base/errors.js'
import { rendezvousOrder } from '../base/hash.js'
import { parseOnce } from '../base/parseOnce.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { ServiceApi } from '../external/service.js'
import type { Vm } from '../external/vmList.js'
import { serviceEntrySchema } from '../protocol/messages.js'
import type { MemberEntry, ServiceEntry } from '../protocol/messages.js'
import type { EntryStore } from './entryTable.js'

const parseService = parseOnce(serviceEntrySchema)

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
/** Key prefix of the published checks: `service/SERVER/CHECKER`. */
const keyPrefix = 'service/'
// A paused checker is declared dead only after 8 s; meanwhile the other one reports a draining server.
const checkersPerServer = 2
// A single slow check does not make a server unreachable.
const failuresBeforeUnreachable = 2

/** For each server, two nodes of its region, selected by rendezvous hashing, check it and publish an entry each. */
export class ServiceMonitor {
  private readonly options: ServiceMonitorOptions
  private stopTimer: CancelTimer | undefined
  private readonly checkStates = new Map<string, { sinceMs: number, published: string, failures: number }>()

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
   * Servers of `service` that accept new requests. A listed server that has not been checked yet is included, since a
   * refused connection proves that the request was not executed.
   */
  servers (service: string): ServiceEntry[] {
    const members = this.options.alive()
    return this.options.vms()
      .filter(vm => vm.kind === 'service' && vm.group === service && vm.state === 'live')
      .map(vm => this.mergeChecks(vm, checkersOf(vm, members)))
      .filter(({ draining, reachable }) => reachable && !draining)
  }

  /**
   * Combines the results of the current checkers: draining if any reports so, reachable if any reaches the server or none
   * has reported.
   */
  private mergeChecks (vm: Vm, checkers: readonly string[]): ServiceEntry {
    const checks = this.checks(vm.name).filter(({ checker }) => checkers.includes(checker)).map(({ entry }) => entry)
    return entryOf(vm, {
      draining: checks.some(({ draining }) => draining),
      reachable: checks.length === 0 || checks.some(({ reachable }) => reachable)
    })
  }

  private checks (server: string): { key: string, checker: string, entry: ServiceEntry }[] {
    const prefix = `${keyPrefix}${server}/`
    return this.options.entries.list(prefix).flatMap(({ key, value }) => {
      const entry = parseService(value)
      return entry ? [{ key, checker: key.slice(prefix.length), entry }] : []
    })
  }

  /** Checks the servers that are assigned to this node. */
  async checkAll (): Promise<void> {
    const { self, alive, vms } = this.options
    const members = alive()
    const assignedVms = vms().filter(vm => vm.kind === 'service' && checkersOf(vm, members).includes(self.name))
    for (const name of [...this.checkStates.keys()]) {
      if (!assignedVms.some(vm => vm.name === name)) this.checkStates.delete(name)
    }
    for (const vm of assignedVms) this.deleteStaleChecks(vm, members)
    await Promise.all(assignedVms.map(vm => this.check(vm)))
  }

  /** Deletes the entries of checkers that are no longer members. */
  private deleteStaleChecks ({ name }: Vm, members: readonly MemberEntry[]): void {
    for (const { key, checker } of this.checks(name)) {
      if (!members.some(member => member.name === checker)) this.options.entries.publish(key, this.options.clock.nowMs(), undefined)
    }
  }

  private async check (vm: Vm): Promise<void> {
    const { clock, serviceApi } = this.options
    const checkState = this.checkStates.get(vm.name) ?? { sinceMs: clock.nowMs(), published: '', failures: 0 }
    this.checkStates.set(vm.name, checkState)
    try {
      const { draining } = await serviceApi(vm).health({ timeoutMs: checkTimeoutMs })
      checkState.failures = 0
      this.publish(vm, checkState, { draining, reachable: true })
    } catch (error) {
      checkState.failures++
      if (error instanceof NotRunError || checkState.failures >= failuresBeforeUnreachable) {
        this.publish(vm, checkState, { draining: false, reachable: false })
      }
    }
  }

  private publish (vm: Vm, checkState: { sinceMs: number, published: string }, state: { draining: boolean, reachable: boolean }): void {
    const entry = entryOf(vm, state)
    const text = JSON.stringify(entry)
    if (checkState.published === text) return
    checkState.published = text
    this.options.entries.publish(`${keyPrefix}${vm.name}/${this.options.self.name}`, checkState.sinceMs, entry, { urgent: true })
  }
}

/** Names of the nodes that check a server: nodes of its region, or of the fleet if the region has none. */
function checkersOf (vm: Vm, members: readonly MemberEntry[]): string[] {
  const regional = members.filter(({ region }) => region === vm.region)
  return rendezvousOrder(`${keyPrefix}${vm.name}`, (regional.length > 0 ? regional : members).map(({ name }) => name)).slice(0, checkersPerServer)
}

function entryOf (vm: Vm, state: { draining: boolean, reachable: boolean }): ServiceEntry {
  const { name, group, address, region, availabilityZone } = vm
  return { server: name, service: group, address, region, availabilityZone, ...state }
}
