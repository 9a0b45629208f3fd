/** What a planner passes to the placement policy, and what the policy answers. */

import type { FleetConfig, Rank } from '../config/fleetConfig.js'
import type { DemandEntry, EngineEntry, Move } from '../protocol/messages.js'

/** Expected demand of one model. */
export interface ModelForecast {
  tokensPerSecond: number
  requestsPerSecond: number
  valuePerSecond: number
  /** Peak demand relative to the mean. */
  burstRatio: number
  /** Requests and their value by rank; absent if only the sums are known. */
  byRank?: { rank: Rank, requestsPerSecond: number, valuePerSecond: number }[]
}

/**
 * Keys of `forecasts` and `waiting` are names without version: of models, or of adapters, whose demand also counts for
 * their base model.
 */
export interface PlacementInput {
  nowMs: number
  config: FleetConfig
  /** Engines of the planned regions. */
  engines: EngineEntry[]
  forecasts: Map<string, ModelForecast>
  /** Requests that wait for a model, over all nodes. */
  waiting: Map<string, { count: number, earliestDeadlineMs: number }>
  /** `model` includes the version. */
  loadsInFlight: { engine: string, model: string }[]
  /** Loads of the last minutes, oldest first; `model` includes the version. */
  recentMoves: { engine: string, model: string, atMs: number }[]
  keyValueAvailable: boolean
  /** Engines whose controllers refused a move lately, so that others are chosen first. */
  refusingEngines?: ReadonlySet<string>
}

export interface PlacementPlan {
  /** Most valuable first: the planner starts as many as the weight store allows. */
  moves: Move[]
  /** Wanted models that no engine of the planned regions can hold. */
  unreachable: { model: string, reason: string }[]
}

export type PlanMoves = (input: PlacementInput) => PlacementPlan

/** Turns demand reports into forecasts. */
export interface Forecaster {
  add (entry: DemandEntry, nowMs: number): void
  forecasts (nowMs: number, config: FleetConfig): PlacementInput['forecasts']
}
