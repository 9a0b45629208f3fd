/** Input and output of the placement policy. */

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
 * Keys of `forecasts` and `waiting` are names of models without version, or of adapters. Demand for an adapter also counts for its
 * base model.
 */
export interface PlacementInput {
  nowMs: number
  config: FleetConfig
  /** Engines of the planned regions. */
  engines: EngineEntry[]
  forecasts: Map<string, ModelForecast>
  /** Requests of all nodes that wait for a model. */
  waiting: Map<string, { count: number, earliestDeadlineMs: number }>
  /** `model` includes the version. */
  loadsInFlight: { engine: string, model: string }[]
  /** Loads of the last minutes, oldest first. `model` includes the version. */
  recentMoves: { engine: string, model: string, atMs: number }[]
  keyValueAvailable: boolean
  /** Engines whose controllers recently refused a move. No model is loaded or unloaded there. */
  refusingEngines?: ReadonlySet<string>
}

export interface PlacementPlan {
  /** Moves in order of priority. The planner starts as many as the weight store allows. */
  moves: Move[]
  /** Models with urgent waiting requests that no engine of the planned regions can load now. */
  unreachable: { model: string, reason: string }[]
}

export type PlanMoves = (input: PlacementInput) => PlacementPlan

/** Turns demand reports into forecasts. */
export interface Forecaster {
  add (entry: DemandEntry, nowMs: number): void
  forecasts (nowMs: number, config: FleetConfig): PlacementInput['forecasts']
}
