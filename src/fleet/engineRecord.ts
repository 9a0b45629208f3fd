/**
 * The record of an engine that ignores fencing tokens, kept under `engine/NAME`. Invariant R: entries, granted
 * adapters and the KV-cache floor fit into the engine's memory, and each load that can still take effect is for a
 * model in an entry. The functions are pure; none of them raises the used memory beyond the capacity.
 */

import { z } from 'zod'
import { freeAdapterBytes, freeModelBytes, sumBytes } from './memoryBudget.js'
import type { MemoryCapacity } from './memoryBudget.js'

export const recordEntrySchema = z.object({
  model: z.string(),
  memoryBytes: z.number(),
  /**
   * IDs of load commands that may still take effect. IDs and not a count, since settling an attempt must be
   * repeatable after a write whose reply was lost.
   */
  outstandingAttempts: z.array(z.string())
})
export type RecordEntry = z.infer<typeof recordEntrySchema>

export const engineRecordSchema = z.object({
  fence: z.number(),
  controller: z.string(),
  incarnation: z.string(),
  entries: z.array(recordEntrySchema),
  /** Adapters that may be loaded at any time. The set only grows within an incarnation. */
  adapters: z.array(z.object({ adapter: z.string(), memoryBytes: z.number() }))
})
export type EngineRecord = z.infer<typeof engineRecordSchema>

/** A new record, or the reason why the transition is refused. */
export type Transition = { ok: true, record: EngineRecord } | { ok: false, reason: string }

export function recordKey (engine: string): string {
  return `engine/${engine}`
}

/** Whether the memory part of invariant R holds, whatever the configured adapter space. */
export function holdsInvariant (record: EngineRecord, capacity: MemoryCapacity): boolean {
  return sumBytes(record.entries) + sumBytes(record.adapters) + capacity.kvCacheBytes <= capacity.memoryBytes
}

/**
 * Gives control to `controller` under a token of at least `minimumFence`. A new incarnation, or a first record, starts
 * with what `resident` lists. The incarnation must have been read after the record was.
 */
export function takeOver (
  record: EngineRecord | undefined,
  { controller, incarnation, minimumFence, resident }: {
    controller: string, incarnation: string, minimumFence: number, resident: { model: string, memoryBytes: number }[]
  }
): EngineRecord {
  const fence = Math.max((record?.fence ?? 0) + 1, minimumFence)
  if (record?.incarnation === incarnation) return { ...record, fence, controller }
  const entries = resident.map(entry => ({ ...entry, outstandingAttempts: [] }))
  return { fence, controller, incarnation, entries, adapters: [] }
}

/** Adds a load attempt, and the entry if it is new. */
export function addAttempt (
  record: EngineRecord,
  { model, memoryBytes, attemptId }: { model: string, memoryBytes: number, attemptId: string },
  capacity: MemoryCapacity
): Transition {
  const existing = record.entries.find(entry => entry.model === model)
  if (existing && memoryBytes > existing.memoryBytes) {
    return { ok: false, reason: `${model} is recorded with ${existing.memoryBytes} bytes, load asks for ${memoryBytes}` }
  }
  const freeBytes = freeModelBytes(capacity, record.entries, record.adapters)
  if (!existing && memoryBytes > freeBytes) return { ok: false, reason: `${model} needs ${memoryBytes} bytes, ${Math.max(0, freeBytes)} are free` }
  const entries = existing
    ? record.entries.map(entry => entry === existing ? { ...entry, outstandingAttempts: [...entry.outstandingAttempts, attemptId] } : entry)
    : [...record.entries, { model, memoryBytes, outstandingAttempts: [attemptId] }]
  return checked({ ...record, entries }, capacity)
}

/** Removes attempts that can no longer take effect. Unknown IDs are ignored. */
export function settleAttempts (record: EngineRecord, attemptIds: ReadonlySet<string>): EngineRecord {
  const entries = record.entries.map(entry => ({
    ...entry,
    outstandingAttempts: entry.outstandingAttempts.filter(attemptId => !attemptIds.has(attemptId))
  }))
  return { ...record, entries }
}

/** Entries that may be removed: not in `residentModels`, which must be exact, and without an outstanding attempt. */
export function removableEntries (record: EngineRecord, residentModels: ReadonlySet<string>): RecordEntry[] {
  return record.entries.filter(entry => entry.outstandingAttempts.length === 0 && !residentModels.has(entry.model))
}

/** Removes the entry of a model whose unload was acknowledged. */
export function removeEntry (record: EngineRecord, model: string): Transition {
  const entry = record.entries.find(candidate => candidate.model === model)
  if (entry && entry.outstandingAttempts.length > 0) {
    return { ok: false, reason: `${model} has ${entry.outstandingAttempts.length} load attempts without a reply` }
  }
  return { ok: true, record: { ...record, entries: record.entries.filter(candidate => candidate !== entry) } }
}

/** Adds adapters to the granted set. */
export function grantAdapters (
  record: EngineRecord, adapters: readonly { adapter: string, memoryBytes: number }[], capacity: MemoryCapacity
): Transition {
  const granted = new Map(record.adapters.map(adapter => [adapter.adapter, adapter]))
  const additions = [...new Map(adapters.map(adapter => [adapter.adapter, adapter])).values()]
    .filter(adapter => !granted.has(adapter.adapter))
  const freeBytes = freeAdapterBytes(capacity, record.entries, record.adapters)
  const neededBytes = sumBytes(additions)
  if (neededBytes > freeBytes) return { ok: false, reason: `adapters need ${neededBytes} bytes, ${Math.max(0, freeBytes)} of the adapter space are free` }
  const added = additions.map(({ adapter, memoryBytes }) => ({ adapter, memoryBytes }))
  return checked({ ...record, adapters: [...record.adapters, ...added] }, capacity)
}

function checked (record: EngineRecord, capacity: MemoryCapacity): Transition {
  return holdsInvariant(record, capacity)
    ? { ok: true, record }
    : { ok: false, reason: `record of incarnation ${record.incarnation} would exceed ${capacity.memoryBytes} bytes` }
}
