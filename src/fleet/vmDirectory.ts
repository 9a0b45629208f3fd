/** Knows the VMs of the platform's list without every node reading the list. */

import { repeat } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { rendezvousOwner } from '../base/hash.js'
import { vmSchema } from '../platform/vmList.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import type { Vm, VmList } from '../platform/vmList.js'
import type { MemberEntry } from '../protocol/messages.js'
import { EntryTable } from './entryTable.js'
import type { EntryStore } from './entryTable.js'

export interface VmDirectoryOptions {
  clock: Clock
  log: Log
  vmList: VmList
  entries: EntryStore
  self: { name: string, region: string }
  alive: () => MemberEntry[]
}

const pollPeriodMs = 2_000
/** Key prefix of the published VMs: `vm/REGION/NAME`. */
const keyPrefix = 'vm/'

/**
 * In each region one node, chosen by rendezvous hashing, reads the list and publishes the VMs of its region. A VM that
 * has left the list is deleted.
 */
export class VmDirectory {
  private readonly options: VmDirectoryOptions
  private stopTimer: CancelTimer | undefined
  /** Start of this node's duty as the reader, which is the epoch of what it publishes; 0 if it is not the reader. */
  private dutySinceMs = 0
  private published = new Map<string, string>()

  private readonly table: EntryTable<Vm>

  constructor (options: VmDirectoryOptions) {
    this.options = options
    this.table = new EntryTable(options.entries, keyPrefix, vmSchema)
  }

  start (): void {
    this.stopTimer = repeat(this.options.clock, pollPeriodMs, () => this.poll(), {
      firstDelayMs: 0,
      onError: error => this.options.log('warn', 'VM list unavailable', { error: messageOf(error) })
    })
  }

  stop (): void {
    this.stopTimer?.()
  }

  /** All VMs that are listed. */
  vms (): Vm[] {
    return this.table.list()
  }

  private async poll (): Promise<void> {
    const { clock, vmList, self } = this.options
    if (!this.isReader()) {
      this.dutySinceMs = 0
      return
    }
    if (this.dutySinceMs === 0) {
      this.dutySinceMs = clock.nowMs()
      this.published = new Map()
    }
    const vms = (await vmList.list()).filter(({ region }) => region === self.region)
    for (const vm of vms) this.publishChanged(vmKey(vm), vm)
    const listed = new Set(vms.map(vmKey))
    for (const { key, value } of this.options.entries.list(`${keyPrefix}${self.region}/`)) {
      if (value !== undefined && !listed.has(key)) this.publishChanged(key, undefined)
    }
  }

  private isReader (): boolean {
    const { self, alive } = this.options
    const names = alive().filter(({ region }) => region === self.region).map(({ name }) => name)
    return rendezvousOwner('vm-list', names.length > 0 ? names : [self.name]) === self.name
  }

  private publishChanged (key: string, value: Vm | undefined): void {
    const text = JSON.stringify(value) ?? ''
    if (this.published.get(key) === text) return
    this.published.set(key, text)
    this.options.entries.publish(key, this.dutySinceMs, value, { urgent: true })
  }
}

function vmKey ({ region, name }: Vm): string {
  return `${keyPrefix}${region}/${name}`
}
