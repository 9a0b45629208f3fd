/** Provides the VMs of the platform's list to all nodes, of which only a few read the list. */

import { repeat } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { rendezvousOrder } from '../base/hash.js'
import { vmSchema } from '../external/vmList.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import type { Vm, VmList } from '../external/vmList.js'
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
// A paused reader is declared dead only after 8 s; meanwhile the other one reports VMs that leave.
const readersPerRegion = 2
/** A VM is removed after this many polls of one reader without it, since the readers' lists may differ in age. */
const missesBeforeRemoval = 2
/** Key prefix of the published VMs: `vm/REGION/NAME`. */
const keyPrefix = 'vm/'

/**
 * In each region two nodes, selected by rendezvous hashing, read the list and publish changes of the region's VMs. The
 * later change wins. Entries of VMs that are no longer listed are deleted.
 */
export class VmDirectory {
  private readonly options: VmDirectoryOptions
  private stopTimer: CancelTimer | undefined
  private wasReader = false
  private published = new Map<string, string>()
  private misses = new Map<string, number>()

  private readonly table: EntryTable<Vm>

  constructor (options: VmDirectoryOptions) {
    this.options = options
    this.table = new EntryTable(options.entries, keyPrefix, vmSchema)
  }

  /** Resolves after the first poll, even if it failed. */
  async start (): Promise<void> {
    const onError = (error: unknown) => this.options.log('warn', 'VM list unavailable', { error: messageOf(error) })
    this.stopTimer = repeat(this.options.clock, pollPeriodMs, () => this.poll(), { onError })
    await this.poll().catch(onError)
  }

  stop (): void {
    this.stopTimer?.()
  }

  /** All listed VMs of the fleet. */
  vms (): Vm[] {
    return this.table.list()
  }

  private async poll (): Promise<void> {
    const { clock, vmList, self } = this.options
    if (!this.isReader()) {
      this.wasReader = false
      return
    }
    if (!this.wasReader) {
      this.wasReader = true
      this.published = new Map()
      this.misses = new Map()
    }
    const requestedAtMs = clock.nowMs()
    const listed = await vmList.list()
    // After a pause of this process, the list may be older than what other readers published meanwhile.
    if (clock.nowMs() - requestedAtMs > pollPeriodMs) return
    const vms = listed.filter(({ region }) => region === self.region)
    for (const vm of vms) this.publishChanged(vmKey(vm), vm)
    this.removeUnlisted(new Set(vms.map(vmKey)))
  }

  private removeUnlisted (listed: ReadonlySet<string>): void {
    for (const { key, value } of this.options.entries.list(`${keyPrefix}${this.options.self.region}/`)) {
      if (value === undefined || listed.has(key)) {
        this.misses.delete(key)
        continue
      }
      const misses = (this.misses.get(key) ?? 0) + 1
      this.misses.set(key, misses)
      if (misses >= missesBeforeRemoval) this.publishChanged(key, undefined)
    }
  }

  private isReader (): boolean {
    const { self, alive } = this.options
    const names = alive().filter(({ region }) => region === self.region).map(({ name }) => name)
    return rendezvousOrder('vm-list', names.length > 0 ? names : [self.name]).slice(0, readersPerRegion).includes(self.name)
  }

  private publishChanged (key: string, value: Vm | undefined): void {
    const text = JSON.stringify(value) ?? ''
    if (this.published.get(key) === text) return
    this.published.set(key, text)
    this.options.entries.publish(key, this.options.clock.nowMs(), value, { urgent: true })
  }
}

function vmKey ({ region, name }: Vm): string {
  return `${keyPrefix}${region}/${name}`
}
