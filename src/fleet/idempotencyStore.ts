/** Stores records of requests with an `Idempotency-Key` in the key-value service. */

import { z } from 'zod'
import { sleep } from '../base/clock.js'
import { messageOf, NotRunError } from '../base/errors.js'
import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import type { KeyValueEntry, KeyValueStore } from '../external/keyValueStore.js'

/** Larger bodies are not stored; a duplicate request then learns only that the request ran. */
export const maxStoredBodyBytes = 64 * 1024

const storedResponseSchema = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  /** Base64; absent if the body was too large to store. */
  body: z.string().optional()
})

const recordSchema = z.object({
  state: z.enum(['started', 'done']),
  attemptId: z.string(),
  requestHash: z.string(),
  node: z.string(),
  startedAtMs: z.number(),
  response: storedResponseSchema.optional()
})
type IdempotencyRecord = z.infer<typeof recordSchema>

/** Response that is stored for duplicate requests. */
export interface StoredResponse {
  status: number
  headers: Record<string, string>
  body: Uint8Array | undefined
}

/** Permission to dispatch one request under its key. */
export interface IdempotencyClaim {
  key: string
  record: IdempotencyRecord
  revision: number
}

export type BeginResult =
  | { kind: 'new', claim: IdempotencyClaim }
  | { kind: 'replay', response: StoredResponse }
  | { kind: 'started', node: string }
  | { kind: 'mismatch' }
  | { kind: 'unavailable', reason: string }

// All keys of one hour share a lease, so that expiry costs one call per hour and node.
const leasePeriodMs = 3_600_000
const claimRetryDelayMs = 100
const writeRetryDelayMs = 5_000
// Limits the memory for records that cannot be written during an outage.
const maxPendingWrites = 10_000

/**
 * Creates a record by compare-and-swap before a request is dispatched. A record in state `started` is never taken over,
 * even if its node is dead, since the request may have run.
 */
export class IdempotencyStore {
  private readonly clock: Clock
  private readonly log: Log
  private readonly store: KeyValueStore
  private readonly node: string
  private readonly retentionMs: () => number
  private readonly newId: () => string
  private lease: { id: string, grantedAtMs: number } | undefined
  private readonly pendingWrites = new Map<string, () => Promise<void>>()
  private isWriting = false

  constructor (options: {
    clock: Clock
    log: Log
    keyValueStore: KeyValueStore
    node: string
    retentionMs: () => number
    newId: () => string
  }) {
    this.clock = options.clock
    this.log = options.log
    this.store = options.keyValueStore
    this.node = options.node
    this.retentionMs = options.retentionMs
    this.newId = options.newId
  }

  /**
   * Claims `idempotencyKey` for a request, or returns the state of the earlier request. Only `new` permits a dispatch.
   * Returns `unavailable` if the key-value service fails until `deadlineMs`; the request must not be dispatched then.
   */
  async begin (customer: string, idempotencyKey: string, requestHash: string, { deadlineMs }: { deadlineMs: number }): Promise<BeginResult> {
    const key = `idempotency/${customer}/${encodeURIComponent(idempotencyKey)}`
    const record: IdempotencyRecord = {
      state: 'started', attemptId: this.newId(), requestHash, node: this.node, startedAtMs: this.clock.nowMs()
    }
    let mayExist = false
    for (;;) {
      try {
        const leaseId = await this.currentLease()
        const result = await this.store.compareAndSwap(key, 0, JSON.stringify(record), { leaseId })
        if (result.swapped) return { kind: 'new', claim: { key, record, revision: result.revision } }
        if (result.current) return this.resultFor(key, record, result.current)
      } catch (error) {
        // After an unknown outcome the record may exist, so only a reply can prove that this attempt owns the key.
        mayExist ||= !(error instanceof NotRunError)
        if (this.clock.nowMs() + claimRetryDelayMs >= deadlineMs) {
          if (mayExist) this.enqueueWrite(key, () => this.removeOwnRecord(key, record.attemptId))
          return { kind: 'unavailable', reason: messageOf(error) }
        }
        await sleep(this.clock, claimRetryDelayMs)
      }
    }
  }

  /** Stores the response for duplicate requests in the background, with retries until the write succeeds. */
  complete (claim: IdempotencyClaim, response: StoredResponse): void {
    const storeBody = response.body !== undefined && response.body.byteLength <= maxStoredBodyBytes
    const record: IdempotencyRecord = {
      ...claim.record,
      state: 'done',
      response: {
        status: response.status,
        headers: response.headers,
        body: storeBody ? Buffer.from(response.body!).toString('base64') : undefined
      }
    }
    this.enqueueWrite(claim.key, async () => {
      const leaseId = await this.currentLease()
      await this.store.compareAndSwap(claim.key, claim.revision, JSON.stringify(record), { leaseId })
    })
  }

  /** Releases the key of a request that provably did not run, so that a duplicate request may run. */
  abandon (claim: IdempotencyClaim): void {
    this.enqueueWrite(claim.key, () => this.removeOwnRecord(claim.key, claim.record.attemptId))
  }

  /** Resolves when all pending writes are done, or soon after `deadlineMs`. */
  async flush (deadlineMs: number): Promise<void> {
    while (this.pendingWrites.size > 0 && this.clock.nowMs() < deadlineMs) await sleep(this.clock, claimRetryDelayMs)
  }

  private resultFor (key: string, own: IdempotencyRecord, current: KeyValueEntry): BeginResult {
    const record = recordSchema.parse(JSON.parse(current.value))
    if (record.attemptId === own.attemptId) return { kind: 'new', claim: { key, record: own, revision: current.revision } }
    if (record.requestHash !== own.requestHash) return { kind: 'mismatch' }
    if (record.state === 'started') return { kind: 'started', node: record.node }
    const { status, headers, body } = record.response!
    return { kind: 'replay', response: { status, headers, body: body === undefined ? undefined : Buffer.from(body, 'base64') } }
  }

  private async currentLease (): Promise<string> {
    const nowMs = this.clock.nowMs()
    if (!this.lease || nowMs - this.lease.grantedAtMs > leasePeriodMs) {
      this.lease = { id: await this.store.grantLease(this.retentionMs() + 2 * leasePeriodMs), grantedAtMs: nowMs }
    }
    return this.lease.id
  }

  private async removeOwnRecord (key: string, attemptId: string): Promise<void> {
    const entry = await this.store.get(key)
    if (!entry || recordSchema.parse(JSON.parse(entry.value)).attemptId !== attemptId) return
    await this.store.compareAndDelete(key, entry.revision)
  }

  private enqueueWrite (key: string, write: () => Promise<void>): void {
    if (this.pendingWrites.size >= maxPendingWrites) {
      this.log('warn', 'idempotency record write dropped', { key })
      return
    }
    this.pendingWrites.set(key, write)
    if (!this.isWriting) {
      this.isWriting = true
      void this.runPendingWrites()
    }
  }

  private async runPendingWrites (): Promise<void> {
    while (this.pendingWrites.size > 0) {
      for (const [key, write] of this.pendingWrites) {
        try {
          await write()
          if (this.pendingWrites.get(key) === write) this.pendingWrites.delete(key)
        } catch (error) {
          this.log('warn', 'idempotency record write failed', { key, error: messageOf(error) })
          await sleep(this.clock, writeRetryDelayMs)
        }
      }
    }
    this.isWriting = false
  }
}
