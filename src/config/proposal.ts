/** Commits a change of the fleet configuration by compare-and-swap. */

import { z } from 'zod'
import { sleep, withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf, NotRunError } from '../base/errors.js'
import { hasErrors } from '../base/findings.js'
import type { Finding } from '../base/findings.js'
import type { KeyValueEntry, KeyValueStore } from '../external/keyValueStore.js'
import { parseFleetConfig } from './parseFleetConfig.js'

export const configKey = 'config/current'
/**
 * A small copy of the version in `configKey`, so that its readers transfer the text only after a change. It is written
 * after the change was accepted and may be behind, as after the death of a proposer, but never ahead.
 */
export const configVersionKey = 'config/version'
export const historyPrefix = 'config/history/'
/** Versions kept below `historyPrefix`. */
export const historyLength = 50

// The key-value service refuses values above 1 MB.
const maxRecordBytes = 1_000_000
// A call that takes longer than this is treated as one whose reply was lost.
const callTimeoutMs = 2_000
const firstDelayMs = 50
const maxDelayMs = 1_000

export const configRecordSchema = z.object({
  version: z.number().int(),
  proposalId: z.string(),
  author: z.string(),
  reason: z.string(),
  acceptedAtMs: z.number(),
  text: z.string()
})
export type ConfigRecord = z.infer<typeof configRecordSchema>

/** `revision` is that of the entry under `configKey`. */
export const configVersionSchema = z.object({ version: z.number().int().positive(), revision: z.number().int().positive() })
export type ConfigVersion = z.infer<typeof configVersionSchema>

export interface ConfigChange {
  /** The version that the change is based on; 0 if there is no configuration yet. */
  baseVersion: number
  text: string
  author: string
  reason: string
  /** Unique for the change. Proposing again with the same ID never commits it twice. */
  proposalId: string
}

export type ProposalResult =
  | { kind: 'accepted', version: number }
  | { kind: 'conflict', currentVersion: number, currentAuthor: string, currentText: string }
  | { kind: 'invalid', findings: Finding[] }
  | { kind: 'unknown', proposalId: string, reason: string }

function historyKey (version: number): string {
  return `${historyPrefix}${version}`
}

/** The record in an entry, or `undefined` if the value is not one. */
export function readConfigRecord (entry: KeyValueEntry): ConfigRecord | undefined {
  try {
    return configRecordSchema.safeParse(JSON.parse(entry.value)).data
  } catch {
    return undefined
  }
}

/** The version in an entry of `configVersionKey`, or `undefined` if the value is not one. */
export function readConfigVersion (entry: KeyValueEntry): ConfigVersion | undefined {
  try {
    return configVersionSchema.safeParse(JSON.parse(entry.value)).data
  } catch {
    return undefined
  }
}

/** The kept versions, newest first. Rejects as the store does. */
export async function readHistory (store: KeyValueStore): Promise<ConfigRecord[]> {
  const entries = await store.list(historyPrefix)
  const current = await store.get(configKey)
  const records = new Map<number, ConfigRecord>()
  for (const entry of current ? [...entries, current] : entries) {
    const record = readConfigRecord(entry)
    if (record) records.set(record.version, record)
  }
  return [...records.values()].sort((left, right) => right.version - left.version).slice(0, historyLength)
}

class Proposal {
  /** Whether a compare-and-swap was sent whose outcome is not known. */
  private unresolved = false
  private lastError = ''

  constructor (
    private readonly store: KeyValueStore,
    private readonly change: ConfigChange,
    private readonly clock: Clock,
    private readonly deadlineMs: number
  ) {}

  async run (): Promise<ProposalResult> {
    for (let delayMs = firstDelayMs; this.clock.nowMs() < this.deadlineMs; delayMs = Math.min(2 * delayMs, maxDelayMs)) {
      try {
        const result = await this.attempt()
        if (result) return result
      } catch (error) {
        this.lastError = messageOf(error)
      }
      await sleep(this.clock, Math.min(delayMs, Math.max(0, this.deadlineMs - this.clock.nowMs())))
    }
    return this.unknown(this.unresolved
      ? `the write may have taken effect and could not be read back in time: ${this.lastError}`
      : `nothing was written before the deadline: ${this.lastError || 'the deadline had passed'}`)
  }

  /** One round of reading and writing. `undefined` if another round must find out. Rejects when a call failed. */
  private async attempt (): Promise<ProposalResult | undefined> {
    const entry = await this.call('read of the configuration', () => this.store.get(configKey))
    const current = entry && readConfigRecord(entry)
    if (entry && !current) return this.unknown(`the value of ${configKey} is not a configuration record`)
    if (entry && current && current.proposalId === this.change.proposalId) return await this.accepted(current, entry.revision)
    if ((current?.version ?? 0) !== this.change.baseVersion) return await this.superseded(current)
    // The base is saved before it is replaced. A version below the current one is therefore always in the history,
    // also when its proposer died after the swap, and a lost reply can be resolved after later changes.
    if (current) await this.save(current)
    return await this.swap(entry)
  }

  private async swap (entry: KeyValueEntry | undefined): Promise<ProposalResult | undefined> {
    const record = createRecord(this.change, this.clock.nowMs())
    try {
      const result = await this.call('write of the configuration', () => this.store.compareAndSwap(configKey, entry?.revision ?? 0, JSON.stringify(record)))
      return result.swapped ? await this.accepted(record, result.revision) : undefined
    } catch (error) {
      if (!(error instanceof NotRunError)) this.unresolved = true
      throw error
    }
  }

  /** The current version is not the base: either this change was accepted and followed by others, or it is refused. */
  private async superseded (current: ConfigRecord | undefined): Promise<ProposalResult> {
    const version = this.change.baseVersion + 1
    if (this.unresolved && (current?.version ?? 0) < version) {
      return this.unknown(`the configuration went back to version ${current?.version ?? 0}, below the base ${this.change.baseVersion}`)
    }
    if (current && current.version > version) {
      const entry = await this.call('read of the configuration history', () => this.store.get(historyKey(version)))
      if (entry && readConfigRecord(entry)?.proposalId === this.change.proposalId) return { kind: 'accepted', version }
      if (!entry && this.unresolved) return this.unknown(`version ${version} is no longer in the history`)
    }
    return { kind: 'conflict', currentVersion: current?.version ?? 0, currentAuthor: current?.author ?? '', currentText: current?.text ?? '' }
  }

  private async accepted (record: ConfigRecord, revision: number): Promise<ProposalResult> {
    try {
      await this.publishVersion({ version: record.version, revision })
    } catch {
      // Readers of the version find the change by its revision; the next proposal writes the key again.
    }
    try {
      await this.save(record)
      if (record.version <= historyLength) return { kind: 'accepted', version: record.version }
      const expired = await this.call('read of an old version', () => this.store.get(historyKey(record.version - historyLength)))
      if (expired) await this.call('removal of an old version', () => this.store.compareAndDelete(expired.key, expired.revision))
    } catch {
      // The change is accepted whether or not its copy was written: the next proposal saves it before it writes.
    }
    return { kind: 'accepted', version: record.version }
  }

  /** Raises the version key; a late writer must not take back the version of a later change. */
  private async publishVersion (version: ConfigVersion): Promise<void> {
    const entry = await this.call('read of the version', () => this.store.get(configVersionKey))
    const present = entry && readConfigVersion(entry)
    if (present && present.version >= version.version) return
    await this.call('write of the version', () => this.store.compareAndSwap(configVersionKey, entry?.revision ?? 0, JSON.stringify(version)))
  }

  /** Creates the history entry of a version. An existing one is the same, since versions never change. */
  private async save (record: ConfigRecord): Promise<void> {
    await this.call('write of the configuration history', () => this.store.compareAndSwap(historyKey(record.version), 0, JSON.stringify(record)))
  }

  private async call<T> (action: string, run: () => Promise<T>): Promise<T> {
    const timeoutMs = Math.min(callTimeoutMs, this.deadlineMs - this.clock.nowMs())
    if (timeoutMs <= 0) throw new NotRunError('key-value service', `no time left for the ${action}`)
    return await withTimeout(this.clock, timeoutMs, run, { action })
  }

  private unknown (reason: string): ProposalResult {
    return { kind: 'unknown', proposalId: this.change.proposalId, reason }
  }
}

function createRecord (change: ConfigChange, nowMs: number): ConfigRecord {
  const { baseVersion, proposalId, author, reason, text } = change
  return { version: baseVersion + 1, proposalId, author, reason, acceptedAtMs: nowMs, text }
}

/** Findings of a change as a whole, beside those of its text. */
function checkChange (change: ConfigChange, file: string, nowMs: number): Finding[] {
  const findings: Finding[] = []
  const report = (key: string, found: string, allowed: string) => findings.push({ file, line: 0, key, severity: 'error', found, allowed })
  if (!Number.isSafeInteger(change.baseVersion) || change.baseVersion < 0) report('baseVersion', String(change.baseVersion), 'a whole number, at least 0')
  if (change.author.trim() === '') report('author', 'an empty value', 'the name of the operator')
  if (change.reason.trim() === '') report('reason', 'an empty value', 'a reason for the change')
  if (change.proposalId === '') report('proposalId', 'an empty value', 'an ID that is unique for the change')
  const recordBytes = Buffer.byteLength(JSON.stringify(createRecord(change, nowMs)))
  if (recordBytes > maxRecordBytes) report('text', `${recordBytes} bytes with its record`, `at most ${maxRecordBytes} bytes`)
  return findings
}

/**
 * Proposes a change. Nothing is written if the text has errors. Slow and failing calls are repeated until `deadlineMs`
 * (a time, not a duration); a write whose reply was lost is resolved by reading back the current version and the
 * history. `unknown` says in `reason` whether the write may have taken effect; the same `proposalId` may be proposed
 * again. Never rejects because of the store.
 */
export async function propose (
  store: KeyValueStore,
  change: ConfigChange,
  { clock, deadlineMs, file }: { clock: Clock, deadlineMs: number, file: string }
): Promise<ProposalResult> {
  const findings = [
    ...checkChange(change, file, clock.nowMs()),
    ...parseFleetConfig(change.text, { file, version: change.baseVersion + 1 }).findings
  ]
  if (hasErrors(findings)) return { kind: 'invalid', findings }
  return await new Proposal(store, change, clock, deadlineMs).run()
}
