/** Sums the demand of an availability zone, so that the planner of a large region does not get a report of each node. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { rendezvousOwner } from '../base/hash.js'
import type { DemandEntry, MemberEntry, PeerMessage, PeerMessageOf, PeerNetwork } from '../protocol/messages.js'
import { packDemand, unpackDemand } from './packing.js'

/** In smaller regions each node reports to the planner itself: 24 reports of 20 models are 18 KB in 2 s. */
const leastNodes = 25
const sumPeriodMs = 2_000
/** The duty moves on after this time, as that of other relays does. */
const termMs = 10_000
const timeoutMs = 1_000

export interface DemandRelayOptions {
  clock: Clock
  self: string
  region: string
  /** Live members. */
  members: () => MemberEntry[]
  network: PeerNetwork
  /** Passes the sum to the planner. */
  deliver: (sum: DemandEntry) => void
}

/** Demand for which requests wait is not summed, since the planner must learn at once which node waits. */
export class DemandRelay {
  private waitingBefore = new Set<string>()
  private sum = new Map<string, DemandEntry['models'][number]>()
  private cancelSum: CancelTimer | undefined

  constructor (private readonly options: DemandRelayOptions) {}

  stop (): void {
    this.cancelSum?.()
    this.cancelSum = undefined
  }

  /** Sends on what can be summed, and returns the rest, which the planner must get as it is. */
  takeShared (demand: DemandEntry): DemandEntry | undefined {
    const members = this.options.members()
    if (members.filter(member => member.region === this.options.region).length < leastNodes) return demand
    const isDirect = (entry: DemandEntry['models'][number]) => entry.waiting > 0 || this.waitingBefore.has(entry.model)
    const direct = demand.models.filter(isDirect)
    const shared = demand.models.filter(entry => !isDirect(entry))
    // A report without the models that waited before tells the planner that they wait no longer.
    const needsReport = direct.length > 0 || this.waitingBefore.size > 0
    this.waitingBefore = new Set(direct.filter(entry => entry.waiting > 0).map(entry => entry.model))
    if (shared.length > 0) this.send(members, { ...demand, models: shared })
    return needsReport ? { ...demand, models: direct } : undefined
  }

  /** Takes the demand of a node of the zone. */
  receive ({ packed }: PeerMessageOf<'demand'>): PeerMessage {
    const models = unpackDemand(packed)
    if (models instanceof Error) return { kind: 'error', message: models.message }
    this.add(models)
    return { kind: 'ok' }
  }

  private send (members: MemberEntry[], demand: DemandEntry): void {
    const { clock, self, network } = this.options
    const own = members.find(member => member.name === self)
    const inZone = members.filter(member => member.region === own?.region && member.availabilityZone === own.availabilityZone)
    const relayName = rendezvousOwner(`demand/${Math.floor(clock.nowMs() / termMs)}`, inZone.map(member => member.name))
    const relay = inZone.find(member => member.name === relayName)
    if (!relay || relay.name === self) return this.add(demand.models)
    const message = { kind: 'demand', node: self, isSum: false, periodMs: demand.periodMs, packed: packDemand(demand.models) } as const
    network.request(relay.address, message, { timeoutMs }).catch(() => this.add(demand.models))
  }

  private add (models: DemandEntry['models']): void {
    for (const { model, arrivals, tokens } of models) {
      const known = this.sum.get(model)
      const total = known ?? { model, arrivals: [0, 0, 0], waiting: 0, tokens: 0, earliestDeadlineMs: 0 }
      for (const rank of [0, 1, 2] as const) total.arrivals[rank] += arrivals[rank]
      total.tokens += tokens
      if (!known) this.sum.set(model, total)
    }
    this.cancelSum ??= this.options.clock.setTimer(sumPeriodMs, () => {
      this.cancelSum = undefined
      const sum = { node: `zone-sum/${this.options.self}`, models: [...this.sum.values()], periodMs: sumPeriodMs }
      this.sum = new Map()
      this.options.deliver(sum)
    })
  }
}
