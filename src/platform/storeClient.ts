/** Client for the platform's metadata store. */

import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { FailedError, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { AnswerTooLongError, HttpCaller } from '../external/httpCall.js'
import type { HttpCallOptions } from '../external/httpCall.js'
import type { CommitResult, CoordinationStore, StoreChange, StoreItem, StoreLease, WatchResult } from '../serving/coordination.js'
import { eraOf, positionOf, revisionOf } from '../serving/storePosition.js'

/** The store usually responds within milliseconds, and within a few hundred when it is slow. */
const callTimeoutMs = 1500
/** Time beyond `waitMs` after which a watch without a response times out. */
const watchSlackMs = 1000
/** Rises by one each time the store comes back from a copy. */
const eraHeader = 'store-era'

const itemSchema = z.object({
  key: z.string(),
  /** Base64. Absent in the state of an expected key that does not exist. */
  value: z.string().optional(),
  revision: z.number(),
  /** 0: none. */
  lease: z.number().optional(),
  /** Set if the key was removed. */
  tombstone: z.boolean().optional()
})
const rangeSchema = z.object({ items: z.array(itemSchema), has_more: z.boolean(), as_of: z.number() })
const watchSchema = z.object({ events: z.array(itemSchema), as_of: z.number() })
const commitSchema = z.object({ revision: z.number() })
const conflictSchema = z.object({ items: z.array(itemSchema).default([]) })
const leaseSchema = z.object({ lease: z.number() })

function decode (value: string): string {
  return Buffer.from(value, 'base64').toString('utf8')
}

type WireItem = z.infer<typeof itemSchema>

function itemOf ({ key, value, revision, lease }: WireItem, era: number): StoreItem {
  return { key, value: decode(value ?? ''), revision: positionOf(era, revision), ...(lease ? { lease: { era, id: lease } } : {}) }
}

function changeOf (item: WireItem, era: number): StoreChange {
  return item.tombstone ? { key: item.key, revision: positionOf(era, item.revision) } : itemOf(item, era)
}

interface StoreAnswer {
  status: number
  text: string
  era: number
}

export class StoreClient implements CoordinationStore {
  private readonly caller: HttpCaller
  /** Newest era that any answer has named; 0 if the store names none. */
  private era = 0

  constructor (address: string, clock: Clock, private readonly onCall: (name: string, status: number | undefined) => void = () => {}) {
    this.caller = new HttpCaller('platform store', address, clock)
  }

  async list (prefix: string): Promise<{ items: StoreItem[], revision: number }> {
    const items: StoreItem[] = []
    // The pages are not one snapshot: a watch must start at the revision of the first page to see changes between pages.
    let first: { era: number, revision: number } | undefined
    for (let after: string | undefined; ;) {
      const query = new URLSearchParams({ path_prefix: prefix, ...(after === undefined ? {} : { after }) })
      const answer = await this.call('range', `/kv-range?${query}`)
      const page = this.parse(rangeSchema, answer)
      const { era } = answer
      first ??= { era, revision: positionOf(era, page.as_of) }
      if (era !== first.era) throw new UnknownOutcomeError('platform store', 'the store came back from a copy between two pages')
      items.push(...page.items.map(item => itemOf(item, era)))
      after = page.items.at(-1)?.key
      if (!page.has_more || after === undefined) return { items, revision: first.revision }
    }
  }

  async watch (prefix: string, afterRevision: number, { waitMs }: { waitMs: number }): Promise<WatchResult> {
    if (eraOf(afterRevision) < this.era) return { kind: 'history-lost' }
    const query = new URLSearchParams({ path_prefix: prefix, after: String(revisionOf(afterRevision)), wait_ms: String(waitMs) })
    const response = await this.callForChanges(`/kv-watch?${query}`, { timeoutMs: waitMs + watchSlackMs, allowed: [410] })
    if (!response) return { kind: 'history-lost' }
    const { era } = response
    if (response.status === 410 || era !== eraOf(afterRevision)) return { kind: 'history-lost' }
    const { events, as_of: asOf } = this.parse(watchSchema, response)
    const revision = positionOf(era, asOf)
    // A store that names no era, and has gone back.
    if (revision < afterRevision) return { kind: 'history-lost' }
    return { kind: 'changes', changes: events.map(event => changeOf(event, era)), revision }
  }

  /** Resolves with `undefined` if there have been too many changes for one answer; the items, listed in pages, are fewer. */
  private async callForChanges (path: string, options: Parameters<StoreClient['call']>[2]): Promise<StoreAnswer | undefined> {
    try {
      return await this.call('watch', path, options)
    } catch (error) {
      if (error instanceof Error && error.cause instanceof AnswerTooLongError) return undefined
      throw error
    }
  }

  async commit ({ absent = [], writes = [], remove = [] }: Parameters<CoordinationStore['commit']>[0]): Promise<CommitResult> {
    const isOfEarlierEra = (era: number) => writes.some(({ lease }) => lease && lease.era < era)
    if (isOfEarlierEra(this.era)) return { kind: 'lease-ended' }
    const body = {
      expected: absent.map(key => ({ key, revision: 0 })),
      writes: writes.map(({ key, value, lease }) => ({
        key, value: Buffer.from(value).toString('base64'), ...(lease === undefined ? {} : { lease: lease.id })
      })),
      remove
    }
    const response = await this.call('commit', '/kv-txn', { method: 'POST', body, allowed: [404, 412] })
    const { era, status } = response
    if (status === 404) return { kind: 'lease-ended' }
    if (status === 412) return { kind: 'conflict', items: this.parse(conflictSchema, response).items.map(item => itemOf(item, era)) }
    // The ID of the lease may be another one's by now, and the keys end with that.
    if (isOfEarlierEra(era)) throw new UnknownOutcomeError('platform store', 'the store came back from a copy between a lease and its commit')
    return { kind: 'committed', revision: positionOf(era, this.parse(commitSchema, response).revision) }
  }

  async grantLease (ttlMs: number): Promise<StoreLease> {
    const answer = await this.call('grant', '/kv-lease', { method: 'POST', body: { ttl_ms: ttlMs } })
    return { era: answer.era, id: this.parse(leaseSchema, answer).lease }
  }

  async keepLease ({ era, id }: StoreLease): Promise<boolean> {
    if (era < this.era) return false
    const response = await this.call('keep', `/kv-keep/${id}`, { method: 'POST', allowed: [404] })
    return response.status !== 404 && response.era === era
  }

  async endLease ({ era, id }: StoreLease): Promise<void> {
    if (era === this.era) await this.call('end', `/kv-lease-end/${id}`, { method: 'DELETE', allowed: [404] })
  }

  close (): Promise<void> {
    return this.caller.close()
  }

  private async call (
    name: string,
    path: string,
    { timeoutMs = callTimeoutMs, allowed = [], ...options }: Partial<HttpCallOptions> & { allowed?: number[] } = {}
  ): Promise<StoreAnswer> {
    let status: number | undefined
    try {
      const response = await this.caller.answer(path, { ...options, timeoutMs })
      status = response.status
      if (status === 503 || status === 429) throw new NotRunError('platform store', `${name} was rejected with status ${status}`)
      if (status >= 300 && !allowed.includes(status)) throw new FailedError('platform store', `${name} failed with status ${status}: ${response.text}`)
      const era = this.readEra(response.headers[eraHeader])
      if (era < this.era) throw new UnknownOutcomeError('platform store', `${name} was answered in era ${era}, before the store came back from a copy`)
      this.era = era
      return { status, text: response.text, era }
    } finally {
      this.onCall(name, status)
    }
  }

  /** An answer that names no era is one of the newest known. */
  private readEra (value: string | string[] | undefined): number {
    return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : this.era
  }

  private parse<T> (schema: z.ZodType<T>, { text }: { text: string }): T {
    try {
      return schema.parse(JSON.parse(text))
    } catch (error) {
      throw new UnknownOutcomeError('platform store', 'the response does not match the expected schema', { cause: error })
    }
  }
}
