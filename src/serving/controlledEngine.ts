/** What the placement leader knows about an engine that it controls. */

import type { UnansweredQueries } from '../policy/engineReach.js'
import type { BackendServer } from './backendServer.js'

/** Delay before the next command to an engine that rejected one. */
export const conflictDelayMs = 150

export interface ControlledEngine {
  server: BackendServer
  /** A move of models is planned or in progress. */
  isMoving: boolean
  /** The part of the move that was announced to the nodes and whose commands have not been sent. */
  uncommanded: { load: string | undefined, unload: Set<string> }
  /** The engine executes a command on a model, and rejects others. */
  isBusy: boolean
  /** Serializes calls, which all depend on the number of accepted commands. */
  queue: Promise<unknown>
  /** Whether the engine's models and adapters are known. */
  isSynced: boolean
  isSyncing: boolean
  /** Times of the state queries without an answer since the last one with an answer. */
  unanswered: UnansweredQueries | undefined
  /** Incremented when the engine has accepted other commands than assumed, which voids earlier decisions. */
  generation: number
  /** Adapters whose load is planned and whose command has not ended, by `MODEL/ADAPTER`. */
  pendingAdapters: Set<string>
  retryAtMs: number
  /** Last use of each adapter, by `MODEL/ADAPTER`. */
  usedAtMs: Map<string, number>
  loadedAtMs: Map<string, number>
  /** Adapters that occupy their slot until their last requests end, by `MODEL/ADAPTER`. */
  unloadingAdapters: Set<string>
}

/** Adapter slots that are occupied or are about to be. */
export function occupiedAdapterSlots ({ server, unloadingAdapters, pendingAdapters }: ControlledEngine): number {
  const keys = new Set(pendingAdapters)
  for (const [model, { adapters }] of server.replicas) for (const adapter of adapters.keys()) keys.add(`${model}/${adapter}`)
  return keys.size + unloadingAdapters.size
}
