/** Counts the demand that this node sees, for the planner. */

import { ranks } from '../config/fleetConfig.js'
import type { Clock } from '../base/clock.js'
import type { Rank } from '../config/fleetConfig.js'
import type { DemandEntry } from '../protocol/messages.js'

type ModelDemand = DemandEntry['models'][number]

/** Each report holds what arrived since the one before. */
export class DemandMeter {
  private models = new Map<string, ModelDemand>()
  private reportedAtMs: number

  constructor (private readonly clock: Clock, private readonly node: string) {
    this.reportedAtMs = clock.nowMs()
  }

  onArrival (model: string, rank: Rank, tokens: number): void {
    const demand = this.demandOf(model)
    demand.arrivals[ranks.indexOf(rank)]!++
    demand.tokens += tokens
  }

  report (waiting: Map<string, { count: number, earliestDeadlineMs: number }>): DemandEntry {
    for (const [model, { count, earliestDeadlineMs }] of waiting) {
      const demand = this.demandOf(model)
      demand.waiting = count
      demand.earliestDeadlineMs = earliestDeadlineMs
    }
    const nowMs = this.clock.nowMs()
    const entry = { node: this.node, models: [...this.models.values()], periodMs: nowMs - this.reportedAtMs }
    this.models = new Map()
    this.reportedAtMs = nowMs
    return entry
  }

  private demandOf (model: string): ModelDemand {
    const demand = this.models.get(model) ?? { model, arrivals: [0, 0, 0], waiting: 0, tokens: 0, earliestDeadlineMs: 0 }
    this.models.set(model, demand)
    return demand
  }
}
