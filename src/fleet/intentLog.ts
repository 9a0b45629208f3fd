/**
 * Intent log of an engine that ignores fencing tokens, stored under `engine/NAME`. Invariant R: intents, granted
 * adapters and the KV cache fit into the engine's memory, and every load that can still take effect belongs to a model
 * with an intent. The functions are pure; none of them allocates more than the capacity.
 */

import { z } from 'zod'
import { freeAdapterBytes, freeModelBytes, sumBytes } from './memoryBudget.js'
import type { MemoryCapacity } from './memoryBudget.js'

export const intentSchema = z.object({
  model: z.string(),
  memoryBytes: z.number(),
  /**
   * IDs of load commands that may still take effect. IDs instead of a count make settling idempotent, which is needed
   * after a write whose reply was lost.
   */
  outstandingAttempts: z.array(z.string())
})
export type Intent = z.infer<typeof intentSchema>

export const intentLogSchema = z.object({
  fence: z.number(),
  controller: z.string(),
  incarnation: z.string(),
  entries: z.array(intentSchema),
  /** Granted adapters, which may be loaded at any time. The set only grows within an incarnation. */
  adapters: z.array(z.object({ adapter: z.string(), memoryBytes: z.number() }))
})
export type IntentLog = z.infer<typeof intentLogSchema>

/** The new intent log, or the reason why the transition is refused. */
export type Transition = { ok: true, intentLog: IntentLog } | { ok: false, reason: string }

export function intentLogKey (engine: string): string {
  return `engine/${engine}`
}

/** Whether the memory part of invariant R holds, regardless of the configured adapter space. */
export function holdsInvariant (intentLog: IntentLog, capacity: MemoryCapacity): boolean {
  return sumBytes(intentLog.entries) + sumBytes(intentLog.adapters) + capacity.kvCacheBytes <= capacity.memoryBytes
}

/**
 * Gives control to `controller` under a fencing token of at least `minimumFence`. The log of a new incarnation, or the
 * first log of an engine, starts with the loaded models in `resident`. The incarnation must be read after the log.
 */
export function takeOver (
  intentLog: IntentLog | undefined,
  { controller, incarnation, minimumFence, resident }: {
    controller: string, incarnation: string, minimumFence: number, resident: { model: string, memoryBytes: number }[]
  }
): IntentLog {
  const fence = Math.max((intentLog?.fence ?? 0) + 1, minimumFence)
  if (intentLog?.incarnation === incarnation) return { ...intentLog, fence, controller }
  const entries = resident.map(entry => ({ ...entry, outstandingAttempts: [] }))
  return { fence, controller, incarnation, entries, adapters: [] }
}

/** Adds a load attempt, and an intent if the model has none. */
export function addAttempt (
  intentLog: IntentLog,
  { model, memoryBytes, attemptId }: { model: string, memoryBytes: number, attemptId: string },
  capacity: MemoryCapacity
): Transition {
  const existing = intentLog.entries.find(entry => entry.model === model)
  if (existing && memoryBytes > existing.memoryBytes) {
    return { ok: false, reason: `${model} has an intent of ${existing.memoryBytes} bytes, load requires ${memoryBytes}` }
  }
  const freeBytes = freeModelBytes(capacity, intentLog.entries, intentLog.adapters)
  if (!existing && memoryBytes > freeBytes) return { ok: false, reason: `${model} needs ${memoryBytes} bytes, ${Math.max(0, freeBytes)} are free` }
  const entries = existing
    ? intentLog.entries.map(entry => entry === existing ? { ...entry, outstandingAttempts: [...entry.outstandingAttempts, attemptId] } : entry)
    : [...intentLog.entries, { model, memoryBytes, outstandingAttempts: [attemptId] }]
  return ifInvariantHolds({ ...intentLog, entries }, capacity)
}

/** Removes load attempts that can no longer take effect. Unknown IDs are ignored. */
export function settleAttempts (intentLog: IntentLog, attemptIds: ReadonlySet<string>): IntentLog {
  const entries = intentLog.entries.map(entry => ({
    ...entry,
    outstandingAttempts: entry.outstandingAttempts.filter(attemptId => !attemptIds.has(attemptId))
  }))
  return { ...intentLog, entries }
}

/** Intents without an outstanding attempt whose model is not in `residentModels`, which must be exact. */
export function removableIntents (intentLog: IntentLog, residentModels: ReadonlySet<string>): Intent[] {
  return intentLog.entries.filter(entry => entry.outstandingAttempts.length === 0 && !residentModels.has(entry.model))
}

/** Removes the intent of a model whose unload was acknowledged. Refused while a load attempt is outstanding. */
export function removeIntent (intentLog: IntentLog, model: string): Transition {
  const entry = intentLog.entries.find(candidate => candidate.model === model)
  if (entry && entry.outstandingAttempts.length > 0) {
    return { ok: false, reason: `${model} has ${entry.outstandingAttempts.length} load attempts without a reply` }
  }
  return { ok: true, intentLog: { ...intentLog, entries: intentLog.entries.filter(candidate => candidate !== entry) } }
}

/** Grants the adapters that are not granted yet, all or none. */
export function grantAdapters (
  intentLog: IntentLog, adapters: readonly { adapter: string, memoryBytes: number }[], capacity: MemoryCapacity
): Transition {
  const granted = new Map(intentLog.adapters.map(adapter => [adapter.adapter, adapter]))
  const additions = [...new Map(adapters.map(adapter => [adapter.adapter, adapter])).values()]
    .filter(adapter => !granted.has(adapter.adapter))
  const freeBytes = freeAdapterBytes(capacity, intentLog.entries, intentLog.adapters)
  const neededBytes = sumBytes(additions)
  if (neededBytes > freeBytes) return { ok: false, reason: `adapters need ${neededBytes} bytes, ${Math.max(0, freeBytes)} of the adapter space are free` }
  const added = additions.map(({ adapter, memoryBytes }) => ({ adapter, memoryBytes }))
  return ifInvariantHolds({ ...intentLog, adapters: [...intentLog.adapters, ...added] }, capacity)
}

function ifInvariantHolds (intentLog: IntentLog, capacity: MemoryCapacity): Transition {
  return holdsInvariant(intentLog, capacity)
    ? { ok: true, intentLog }
    : { ok: false, reason: `intent log of incarnation ${intentLog.incarnation} would exceed ${capacity.memoryBytes} bytes` }
}
