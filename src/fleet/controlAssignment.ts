/** Decides which engines this node controls, starts and stops their controllers, and hands engines over to other nodes. */

import { repeat, sleep } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { hash32, rendezvousOrder, rendezvousOwner } from '../base/hash.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { Vm } from '../external/vmList.js'
import type { MemberEntry, PeerMessage, PeerNetwork } from '../protocol/messages.js'
import type { EngineControl } from './engineControl.js'

const tickPeriodMs = 500
/** The owner of an engine must be unchanged for this time before control changes. */
const ownerStableMs = 2_000
/** Time that a live previous controller has to finish its commands and hand over. Longer loads are interrupted. */
const handOverWaitMs = 15_000
/** Time for which a successor keeps an engine although its member list still assigns it to the sender of `handOver`. */
const handOverGraceMs = 10_000
/** Fleet-wide limit. Each takeover reads and writes the key-value service once, which handles several hundred calls per second. */
const takeoversPerSecond = 20
/** An engine is removed once it is missing from the VM list for this time, since the list may lag behind. */
const absenceLimitMs = 60_000
const handOverAttempts = 3
const handOverTimeoutMs = 2_000

export interface ControlAssignmentOptions {
  clock: Clock
  random: Random
  log: Log
  self: MemberEntry['name']
  selfAddress: string
  members: () => MemberEntry[]
  vms: () => Vm[]
  publishedController: (engine: string) => string | undefined
  createControl: (vm: Vm) => EngineControl
  network: PeerNetwork
}

interface Assignment {
  vm: Vm
  owner: string | undefined
  ownerSinceMs: number
  lastListedAtMs: number
  /** Time at which this node may take over; set once this node is the stable owner. */
  takeoverAtMs?: number
  control?: EngineControl
  stopping?: boolean
  keepControlUntilMs: number
}

/** Not required for safety: two controllers of one engine waste commands but violate no invariant. See design.md 3.1. */
export class ControlAssignment {
  private readonly assignments = new Map<string, Assignment>()
  private cancelTick: CancelTimer = () => {}
  private stopped = false

  constructor (private readonly options: ControlAssignmentOptions) {}

  start (): void {
    this.cancelTick = repeat(this.options.clock, tickPeriodMs, () => this.tick(), {
      firstDelayMs: 0,
      onError: error => this.options.log('error', 'control assignment failed', { reason: messageOf(error) })
    })
  }

  /** Hands over all engines. Resolves when their commands have settled and each handover message succeeded or failed. */
  async stop (): Promise<void> {
    this.stopped = true
    this.cancelTick()
    const controlled = [...this.assignments.values()].filter(assignment => assignment.control)
    await Promise.all(controlled.map(assignment => this.releaseControl(assignment, this.successor(assignment.vm))))
  }

  control (engine: string): EngineControl | undefined {
    return this.assignments.get(engine)?.control
  }

  async handle (message: PeerMessage): Promise<PeerMessage | undefined> {
    if (message.kind !== 'handOver') return undefined
    if (this.stopped) return { kind: 'error', message: `${this.options.self} is shutting down` }
    this.refresh()
    const assignment = this.assignments.get(message.engine)
    if (!assignment) return { kind: 'error', message: `engine ${message.engine} is not in the VM list of ${this.options.self}` }
    if (assignment.stopping) return { kind: 'error', message: `${this.options.self} is handing over ${message.engine} at the same time` }
    assignment.keepControlUntilMs = this.options.clock.nowMs() + handOverGraceMs
    const { control } = assignment
    // While this process was paused, the sender may have taken control. Detecting the loss only at the next poll would
    // leave the engine without a controller until the reclaim delay ends.
    const isSuperseded = control && (control.hasLostControl() || (control.hasControl() && message.fence > control.handOver().fence))
    if (isSuperseded) await this.releaseControl(assignment, undefined)
    if (!assignment.control) this.startControl(assignment)
    return { kind: 'ok' }
  }

  private tick (): void {
    this.refresh()
    const nowMs = this.options.clock.nowMs()
    const uncontrolled = this.uncontrolledEngines()
    for (const [engine, assignment] of this.assignments) {
      if (assignment.stopping) continue
      if (nowMs - assignment.lastListedAtMs >= absenceLimitMs) {
        this.assignments.delete(engine)
        if (assignment.control) this.runInBackground(assignment.control.stop())
        continue
      }
      const stable = nowMs - assignment.ownerSinceMs >= ownerStableMs
      if (assignment.owner === this.options.self) {
        if (stable && !assignment.control) this.startControlWhenDue(assignment, uncontrolled)
      } else {
        assignment.takeoverAtMs = undefined
        if (stable && assignment.control && nowMs >= assignment.keepControlUntilMs) this.runInBackground(this.releaseControl(assignment, assignment.owner))
      }
    }
  }

  /** Updates owners and VMs from the member list and the VM list. */
  private refresh (): void {
    const nowMs = this.options.clock.nowMs()
    const alive = this.aliveMembers()
    for (const vm of this.options.vms()) {
      if (vm.kind !== 'engine') continue
      const owner = rendezvousOwner(vm.name, candidates(vm, alive))
      const known = this.assignments.get(vm.name)
      if (!known) {
        this.assignments.set(vm.name, { vm, owner, ownerSinceMs: nowMs, lastListedAtMs: nowMs, keepControlUntilMs: 0 })
        continue
      }
      known.vm = vm
      known.lastListedAtMs = nowMs
      known.control?.updateVm(vm)
      if (known.owner !== owner) Object.assign(known, { owner, ownerSinceMs: nowMs, takeoverAtMs: undefined })
    }
  }

  private startControlWhenDue (assignment: Assignment, uncontrolled: string[]): void {
    const nowMs = this.options.clock.nowMs()
    if (this.hasOtherAliveController(assignment.vm.name)) {
      if (nowMs - assignment.ownerSinceMs >= ownerStableMs + handOverWaitMs) this.startControl(assignment)
      return
    }
    if (assignment.takeoverAtMs === undefined) {
      // All nodes sort uncontrolled engines the same way, so that the takeovers are staggered across the fleet.
      const position = uncontrolled.indexOf(assignment.vm.name)
      const takeoverIntervalMs = 1_000 / takeoversPerSecond
      assignment.takeoverAtMs = nowMs + (uncontrolled.length > takeoversPerSecond ? position * takeoverIntervalMs : 0) + this.options.random.next() * takeoverIntervalMs
    }
    // The due time is not recomputed: from the shrinking list it would double the takeover rate.
    if (nowMs >= assignment.takeoverAtMs) return this.startControl(assignment)
    const untilMs = assignment.takeoverAtMs - nowMs
    // Uses a timer if due before the next tick, since takeovers on ticks would come in bursts.
    if (untilMs < tickPeriodMs) {
      this.options.clock.setTimer(untilMs, () => {
        if (!this.stopped && !assignment.control && assignment.takeoverAtMs !== undefined && assignment.takeoverAtMs <= this.options.clock.nowMs()) this.startControl(assignment)
      })
    }
  }

  private startControl (assignment: Assignment): void {
    const engine = assignment.vm.name
    const control = this.options.createControl(assignment.vm)
    control.setReclaimCondition(() => assignment.owner === this.options.self && !this.hasOtherAliveController(engine))
    assignment.control = control
    assignment.takeoverAtMs = undefined
    this.options.log('info', 'engine control started', { engine })
    control.start()
  }

  private async releaseControl (assignment: Assignment, successor: string | undefined): Promise<void> {
    const { control } = assignment
    if (!control || assignment.stopping) return
    assignment.stopping = true
    try {
      const hadControl = control.hasControl()
      await control.stop()
      assignment.control = undefined
      this.options.log('info', 'engine control released', { engine: assignment.vm.name, successor })
      if (hadControl && successor !== undefined) await this.sendHandOver(assignment.vm.name, control, successor)
    } finally {
      assignment.stopping = false
    }
  }

  private async sendHandOver (engine: string, control: EngineControl, successor: string): Promise<void> {
    const message: PeerMessage = { kind: 'handOver', engine, ...control.handOver() }
    for (let attempt = 1; attempt <= handOverAttempts; attempt++) {
      const address = this.options.members().find(member => member.name === successor)?.address
      if (address === undefined) return
      try {
        const reply = await this.options.network.request(address, message, { timeoutMs: handOverTimeoutMs })
        if (reply.kind === 'ok') return
        this.options.log('warn', 'handover refused', { engine, successor, reply: reply.kind === 'error' ? reply.message : reply.kind })
      } catch (error) {
        this.options.log('warn', 'handover failed', { engine, successor, reason: messageOf(error) })
      }
      if (attempt < handOverAttempts) await sleep(this.options.clock, 500 + 500 * this.options.random.next())
    }
  }

  private aliveMembers (): MemberEntry[] {
    // Suspects are included, so that a brief suspicion does not move control.
    return this.options.members().filter(member => member.state === 'alive' || member.state === 'suspect')
  }

  private successor (vm: Vm): string | undefined {
    const others = this.aliveMembers().filter(member => member.name !== this.options.self)
    return rendezvousOrder(vm.name, candidates(vm, others))[0]
  }

  private hasOtherAliveController (engine: string): boolean {
    const controller = this.options.publishedController(engine)
    return controller !== undefined && controller !== this.options.self && this.aliveMembers().some(member => member.name === controller)
  }

  /** Engines whose published controller is missing or dead, in an order that is the same on all nodes. */
  private uncontrolledEngines (): string[] {
    const alive = new Set(this.aliveMembers().map(member => member.name))
    return [...this.assignments.keys()]
      .filter(engine => !alive.has(this.options.publishedController(engine) ?? ''))
      .sort((left, right) => hash32(left) - hash32(right) || (left < right ? -1 : 1))
  }

  private runInBackground (task: Promise<void>): void {
    task.catch(error => this.options.log('error', 'release of engine control failed', { reason: messageOf(error) }))
  }
}

/** Names of the members that may control the engine: those in its region, or all members if there are none. */
function candidates (vm: Vm, alive: readonly MemberEntry[]): string[] {
  const regional = alive.filter(member => member.region === vm.region)
  return (regional.length > 0 ? regional : alive).map(member => member.name)
}
