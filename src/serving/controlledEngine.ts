/** What the placement leader knows of an engine to which it gives orders. */

import type { BackendServer } from './backendServer.js'

/** An engine whose order was refused is asked again after this time. */
export const conflictDelayMs = 150

export interface ControlledEngine {
  server: BackendServer
  /** A move of models is decided or under way. */
  isMoving: boolean
  /** The part of the move that the nodes have been told and no order has been given for. */
  uncommanded: { load: string | undefined, unload: Set<string> }
  /** The engine carries out an order on a model, and refuses others. */
  isBusy: boolean
  /** Serialises calls, which all depend on the number of accepted orders. */
  queue: Promise<unknown>
  /** Whether it is known what the engine holds. */
  isSynced: boolean
  isSyncing: boolean
  /** Grows when the engine turns out to have carried out other orders than assumed; earlier decisions are void. */
  generation: number
  /** Adapters whose load is decided and whose order has not ended, by `MODEL/ADAPTER`. */
  pendingAdapters: Set<string>
  retryAtMs: number
  /** Last use of each adapter, by `MODEL/ADAPTER`. */
  usedAtMs: Map<string, number>
  loadedAtMs: Map<string, number>
  /** Adapters that still hold their place until their last requests end, by `MODEL/ADAPTER`. */
  unloadingAdapters: Set<string>
}

/** Places for adapters that are in use, or will be. */
export function occupiedAdapterSlots ({ server, unloadingAdapters: leavingAdapters, pendingAdapters }: ControlledEngine): number {
  const keys = new Set(pendingAdapters)
  for (const [model, { adapters }] of server.replicas) for (const adapter of adapters.keys()) keys.add(`${model}/${adapter}`)
  return keys.size + leavingAdapters.size
}
