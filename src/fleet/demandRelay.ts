/** Sums the demand of an availability zone, so that not every node of a large region reports to the planner. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { rendezvousOwner } from '../base/hash.js'
import type { DemandEntry, MemberEntry, PeerMessage, PeerMessageOf, PeerNetwork } from '../protocol/messages.js'
import { packDemand, unpackDemand } from './packing.js'

/** In smaller regions each node reports to the planner directly: 24 reports of 20 models take 18 KB in 2 s. */
const minNodesForRelay = 25
const sumPeriodMs = 2_000
/** Another node becomes the relay after this time, as for the other relays. */
const relayTermMs = 10_000
const requestTimeoutMs = 1_000

export interface DemandRelayOptions {
  clock: Clock
  self: string
  region: string
  /** Returns the live members. */
  members: () => MemberEntry[]
  network: PeerNetwork
  /** Passes the sum to the planner. */
  deliver: (sum: DemandEntry) => void
}

/** Demand with waiting requests is not summed, since the planner must learn at once on which node they wait. */
export class DemandRelay {
  private previouslyWaiting = new Set<string>()
  private modelSums = new Map<string, DemandEntry['models'][number]>()
  private cancelDelivery: CancelTimer | undefined

  constructor (private readonly options: DemandRelayOptions) {}

  stop (): void {
    this.cancelDelivery?.()
    this.cancelDelivery = undefined
  }

  /** Sends the demand that can be summed to the relay. Returns the rest, which must go to the planner directly. */
  relayShared (demand: DemandEntry): DemandEntry | undefined {
    const members = this.options.members()
    if (members.filter(member => member.region === this.options.region).length < minNodesForRelay) return demand
    const isDirect = (entry: DemandEntry['models'][number]) => entry.waiting > 0 || this.previouslyWaiting.has(entry.model)
    const direct = demand.models.filter(isDirect)
    const shared = demand.models.filter(entry => !isDirect(entry))
    // A report without the previously waiting models tells the planner that no request waits for them any more.
    const needsReport = direct.length > 0 || this.previouslyWaiting.size > 0
    this.previouslyWaiting = new Set(direct.filter(entry => entry.waiting > 0).map(entry => entry.model))
    if (shared.length > 0) this.send(members, { ...demand, models: shared })
    return needsReport ? { ...demand, models: direct } : undefined
  }

  /** As the relay, adds the demand of a node of the zone. */
  receive ({ packed }: PeerMessageOf<'demand'>): PeerMessage {
    const models = unpackDemand(packed)
    if (models instanceof Error) return { kind: 'error', message: models.message }
    this.addToSums(models)
    return { kind: 'ok' }
  }

  private send (members: MemberEntry[], demand: DemandEntry): void {
    const { clock, self, network } = this.options
    const own = members.find(member => member.name === self)
    const inZone = members.filter(member => member.region === own?.region && member.availabilityZone === own.availabilityZone)
    const relayName = rendezvousOwner(`demand/${Math.floor(clock.nowMs() / relayTermMs)}`, inZone.map(member => member.name))
    const relay = inZone.find(member => member.name === relayName)
    if (!relay || relay.name === self) return this.addToSums(demand.models)
    const message = { kind: 'demand', node: self, isSum: false, periodMs: demand.periodMs, packed: packDemand(demand.models) } as const
    network.request(relay.address, message, { timeoutMs: requestTimeoutMs }).catch(() => this.addToSums(demand.models))
  }

  private addToSums (models: DemandEntry['models']): void {
    for (const { model, arrivals, tokens } of models) {
      const existing = this.modelSums.get(model)
      const total = existing ?? { model, arrivals: [0, 0, 0], waiting: 0, tokens: 0, earliestDeadlineMs: 0 }
      for (const rank of [0, 1, 2] as const) total.arrivals[rank] += arrivals[rank]
      total.tokens += tokens
      if (!existing) this.modelSums.set(model, total)
    }
    this.cancelDelivery ??= this.options.clock.setTimer(sumPeriodMs, () => {
      this.cancelDelivery = undefined
      const sum = { node: `zone-sum/${this.options.self}`, models: [...this.modelSums.values()], periodMs: sumPeriodMs }
      this.modelSums = new Map()
      this.options.deliver(sum)
    })
  }
}
