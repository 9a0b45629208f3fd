/** Forecasts the demand for each model from the demand reports of all nodes. */

import { ranks } from '../config/fleetConfig.js'
import type { FleetConfig } from '../config/fleetConfig.js'
import type { DemandEntry } from '../protocol/messages.js'
import type { PlacementInput } from './placementInput.js'

const fastTimeConstantMs = 20_000
const slowTimeConstantMs = 180_000
/** The slow average is used while the ratio of the fast to the slow one is within these bounds, which counts as noise. */
const burstRatioAbove = 1.5
const burstRatioBelow = 0.5
/** Models with practically no expected requests within this time are dropped. */
const forgetAfterMs = 3_600_000

/** Rates per second: tokens, requests, then the requests of each rank. */
type Rates = number[]

interface ModelDemand {
  fast: Rates
  slow: Rates
  updatedAtMs: number
  firstSeenMs: number
}

const rateCount = 2 + ranks.length

function decay (rates: Rates, elapsedMs: number, timeConstantMs: number): void {
  const factor = Math.exp(-elapsedMs / timeConstantMs)
  for (let index = 0; index < rateCount; index++) rates[index]! *= factor
}

/** Forecasts demand from a fast and a slow moving average. */
export class DemandForecast {
  private readonly models = new Map<string, ModelDemand>()

  /** Adds a demand report, which covers the arrivals at one node since its previous report. */
  add (entry: DemandEntry, nowMs: number): void {
    for (const { model, arrivals, tokens } of entry.models) {
      let demand = this.models.get(model)
      if (!demand) {
        demand = { fast: new Array(rateCount).fill(0), slow: new Array(rateCount).fill(0), updatedAtMs: nowMs, firstSeenMs: nowMs }
        this.models.set(model, demand)
      }
      this.advance(demand, nowMs)
      const amounts = [tokens, arrivals[0] + arrivals[1] + arrivals[2], ...arrivals]
      for (let index = 0; index < rateCount; index++) {
        demand.fast[index]! += amounts[index]! / (fastTimeConstantMs / 1000)
        demand.slow[index]! += amounts[index]! / (slowTimeConstantMs / 1000)
      }
    }
  }

  /** Slow average for each model, or the fast one while the two differ by more than noise. */
  forecasts (nowMs: number, config: FleetConfig): PlacementInput['forecasts'] {
    const result: PlacementInput['forecasts'] = new Map()
    for (const [name, demand] of this.models) {
      this.advance(demand, nowMs)
      // A moving average that starts at 0 is too low until it covers its time constant; the scale compensates.
      const seenMs = nowMs - demand.firstSeenMs
      const slowScale = 1 / Math.max(0.05, 1 - Math.exp(-seenMs / slowTimeConstantMs))
      const fastScale = 1 / Math.max(0.2, 1 - Math.exp(-seenMs / fastTimeConstantMs))
      const fastRequests = demand.fast[1]! * fastScale
      const slowRequests = demand.slow[1]! * slowScale
      if (slowRequests * forgetAfterMs / 1000 < 0.01) {
        this.models.delete(name)
        continue
      }
      const burstRatio = slowRequests > 0 ? fastRequests / slowRequests : 1
      const shifted = burstRatio > burstRatioAbove || burstRatio < burstRatioBelow
      const rate = (index: number) => shifted ? demand.fast[index]! * fastScale : demand.slow[index]! * slowScale
      const weight = config.models[config.adapters[name]?.baseModel ?? name]?.weight ?? 1
      const byRank = ranks.map((rank, index) => ({
        rank, requestsPerSecond: rate(2 + index), valuePerSecond: rate(2 + index) * config.ranks[rank].requestValue * weight
      }))
      result.set(name, {
        tokensPerSecond: rate(0),
        requestsPerSecond: rate(1),
        valuePerSecond: byRank.reduce((sum, { valuePerSecond }) => sum + valuePerSecond, 0),
        burstRatio,
        byRank
      })
    }
    return result
  }

  private advance (demand: ModelDemand, nowMs: number): void {
    const elapsedMs = nowMs - demand.updatedAtMs
    if (elapsedMs <= 0) return
    decay(demand.fast, elapsedMs, fastTimeConstantMs)
    decay(demand.slow, elapsedMs, slowTimeConstantMs)
    demand.updatedAtMs = nowMs
  }
}
