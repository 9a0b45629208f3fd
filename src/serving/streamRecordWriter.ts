/** Writes records of streams to the store: those of all nodes at the placement leader, a node's own where there is none. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { OriginRow } from '../policy/streamOrigins.js'
import type { CoordinationStore, StoreLease } from './coordination.js'
import { packRows } from './streamKeys.js'
import { eraOf } from './storePosition.js'

/** Records that arrive within this time are written in one commit. */
const writeIntervalMs = 200
/** The keys of this time share a lease. */
const leaseSharingMs = 5000
const retryMs = 250
/** Largest number of records under one key, which keeps its value below half of the store's limit of 1 MB. */
const maxRowsPerKey = 20_000

/** Beyond this number of waiting records, further ones are refused: while the store is away, nodes send the same ones again and again. */
const maxPendingRows = 120_000

export interface StreamRecordWriterOptions {
  store: CoordinationStore
  clock: Clock
  log: Log
  /** Prefix of the keys of this process. */
  prefix: string
  /** Time for which a record is kept. */
  lifetimeMs: () => number
}

interface Batch {
  rows: OriginRow[]
  onEnded: ((isWritten: boolean) => void)[]
}

export class StreamRecordWriter {
  private readonly options: StreamRecordWriterOptions
  private pending: Batch = { rows: [], onEnded: [] }
  private isWriting = false
  private nextKey = 1
  private lease: { lease: StoreLease, untilMs: number } | undefined
  private isFlushing = false

  constructor (options: StreamRecordWriterOptions) {
    this.options = options
  }

  /** Writes records with the next commit. `onEnded` says later whether they are in the store, or there was no room, or the store stayed away until they had ended. */
  add (rows: readonly OriginRow[], onEnded: (isWritten: boolean) => void): void {
    if (this.pending.rows.length >= maxPendingRows) return queueMicrotask(() => onEnded(false))
    for (const row of rows) this.pending.rows.push(row)
    this.pending.onEnded.push(onEnded)
    if (!this.isWriting) void this.run()
  }

  /** From now on, records are written without waiting for others. */
  stopWaiting (): void {
    this.isFlushing = true
  }

  private async run (): Promise<void> {
    this.isWriting = true
    while (this.pending.onEnded.length > 0) {
      if (!this.isFlushing) await sleep(this.options.clock, writeIntervalMs)
      const batch = this.pending
      this.pending = { rows: [], onEnded: [] }
      const isWritten = await this.write(batch.rows)
      for (const onEnded of batch.onEnded) onEnded(isWritten)
    }
    this.isWriting = false
  }

  /** Returns false if the store stayed away until the records had ended. */
  private async write (rows: readonly OriginRow[]): Promise<boolean> {
    const { clock, log, prefix, lifetimeMs } = this.options
    const endsAtMs = clock.nowMs() + lifetimeMs()
    for (let first = 0; first < rows.length; first += maxRowsPerKey) {
      // The same key again after a failure, since the write may have taken effect.
      const key = `${prefix}${this.nextKey++}`
      const value = JSON.stringify(packRows(rows.slice(first, first + maxRowsPerKey)))
      for (let failures = 0; ; failures++) {
        try {
          if (await this.commit(key, value)) break
        } catch (error) {
          if (failures === 0) log('warn', 'stream records not written yet', { records: rows.length, error: messageOf(error) })
        }
        if (clock.nowMs() >= endsAtMs) {
          log('warn', 'stream records given up', { records: rows.length })
          return false
        }
        await sleep(clock, retryMs)
      }
    }
    return true
  }

  /** Returns false if the lease has ended or belongs to an earlier era. */
  private async commit (key: string, value: string): Promise<boolean> {
    const { store, clock, lifetimeMs } = this.options
    if (!this.lease || clock.nowMs() >= this.lease.untilMs) {
      const grantedAtMs = clock.nowMs()
      this.lease = { lease: await store.grantLease(lifetimeMs() + leaseSharingMs), untilMs: grantedAtMs + leaseSharingMs }
    }
    const { lease } = this.lease
    const result = await store.commit({ writes: [{ key, value, lease }] })
    const isWritten = result.kind === 'committed' && eraOf(result.revision) === lease.era
    if (!isWritten) this.lease = undefined
    return isWritten
  }
}
