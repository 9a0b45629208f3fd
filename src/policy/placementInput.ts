/** What the planner of a region knows when it decides on moves. */

import type { EngineEntry } from '../protocol/messages.js'
import type { FleetConfig } from '../config/fleetConfig.js'

/**
 * Keys of `forecasts` and `waiting` are names without version: of models, or of adapters, whose demand also counts for
 * their base model. `engines` and `loadsInFlight` carry versioned names.
 */
export interface PlacementInput {
  nowMs: number
  config: FleetConfig
  engines: EngineEntry[]
  forecasts: Map<string, { tokensPerSecond: number, requestsPerSecond: number, valuePerSecond: number, burstRatio: number }>
  waiting: Map<string, { count: number, earliestDeadlineMs: number }>
  loadsInFlight: { engine: string, model: string }[]
  recentMoves: { engine: string, model: string, atMs: number }[]
  keyValueAvailable: boolean
}
