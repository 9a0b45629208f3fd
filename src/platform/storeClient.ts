/** Client for the platform's metadata store. */

import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { FailedError, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { HttpCaller } from '../external/httpCall.js'
import type { HttpCallOptions } from '../external/httpCall.js'
import type { CommitResult, CoordinationStore, StoreItem, WatchResult } from '../serving/coordination.js'

/** The store usually responds within milliseconds, and within a few hundred when it is slow. */
const callTimeoutMs = 1500
/** Time beyond `waitMs` after which a watch without a response times out. */
const watchSlackMs = 1000

const itemSchema = z.object({
  key: z.string(),
  /** Base64. Absent in the state of an expected key that does not exist. */
  value: z.string().optional(),
  revision: z.number(),
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

function itemOf (item: z.infer<typeof itemSchema>): StoreItem {
  return { key: item.key, value: decode(item.value ?? ''), revision: item.revision }
}

export class StoreClient implements CoordinationStore {
  private readonly caller: HttpCaller

  constructor (address: string, clock: Clock, private readonly onCall: (name: string, status: number | undefined) => void = () => {}) {
    this.caller = new HttpCaller('platform store', address, clock)
  }

  async list (prefix: string): Promise<{ items: StoreItem[], revision: number }> {
    const items: StoreItem[] = []
    // The pages are not one snapshot: a watch must start at the revision of the first page to see changes between pages.
    let firstRevision: number | undefined
    for (let after: string | undefined; ;) {
      const query = new URLSearchParams({ path_prefix: prefix, ...(after === undefined ? {} : { after }) })
      const page = this.parse(rangeSchema, await this.call('range', `/kv-range?${query}`))
      firstRevision ??= page.as_of
      items.push(...page.items.map(itemOf))
      after = page.items.at(-1)?.key
      if (!page.has_more || after === undefined) return { items, revision: firstRevision }
    }
  }

  async watch (prefix: string, afterRevision: number, { waitMs }: { waitMs: number }): Promise<WatchResult> {
    const query = new URLSearchParams({ path_prefix: prefix, after: String(afterRevision), wait_ms: String(waitMs) })
    const response = await this.call('watch', `/kv-watch?${query}`, { timeoutMs: waitMs + watchSlackMs, allowed: [410] })
    if (response.status === 410) return { kind: 'history-lost' }
    const { events, as_of: revision } = this.parse(watchSchema, response)
    const changes = events.map(event => event.tombstone
      ? { key: event.key, revision: event.revision }
      : { key: event.key, revision: event.revision, value: decode(event.value ?? '') })
    return { kind: 'changes', changes, revision }
  }

  async commit ({ expected, writes = [], remove = [] }: Parameters<CoordinationStore['commit']>[0]): Promise<CommitResult> {
    const body = {
      expected,
      writes: writes.map(({ key, value, leaseId }) => ({
        key, value: Buffer.from(value).toString('base64'), ...(leaseId === undefined ? {} : { lease: leaseId })
      })),
      remove
    }
    const response = await this.call('commit', '/kv-txn', { method: 'POST', body, allowed: [404, 412] })
    if (response.status === 404) return { kind: 'lease-ended' }
    if (response.status === 412) return { kind: 'conflict', items: this.parse(conflictSchema, response).items.map(itemOf) }
    return { kind: 'committed', revision: this.parse(commitSchema, response).revision }
  }

  async grantLease (ttlMs: number): Promise<number> {
    return this.parse(leaseSchema, await this.call('grant', '/kv-lease', { method: 'POST', body: { ttl_ms: ttlMs } })).lease
  }

  async keepLease (leaseId: number): Promise<boolean> {
    const response = await this.call('keep', `/kv-keep/${leaseId}`, { method: 'POST', allowed: [404] })
    return response.status !== 404
  }

  async endLease (leaseId: number): Promise<void> {
    await this.call('end', `/kv-lease-end/${leaseId}`, { method: 'DELETE', allowed: [404] })
  }

  close (): Promise<void> {
    return this.caller.close()
  }

  private async call (
    name: string,
    path: string,
    { timeoutMs = callTimeoutMs, allowed = [], ...options }: Partial<HttpCallOptions> & { allowed?: number[] } = {}
  ): Promise<{ status: number, text: string }> {
    let status: number | undefined
    try {
      const response = await this.caller.answer(path, { ...options, timeoutMs })
      status = response.status
      if (status === 503 || status === 429) throw new NotRunError('platform store', `${name} was rejected with status ${status}`)
      if (status >= 300 && !allowed.includes(status)) throw new FailedError('platform store', `${name} failed with status ${status}: ${response.text}`)
      return response
    } finally {
      this.onCall(name, status)
    }
  }

  private parse<T> (schema: z.ZodType<T>, { text }: { text: string }): T {
    try {
      return schema.parse(JSON.parse(text))
    } catch (error) {
      throw new UnknownOutcomeError('platform store', 'the response does not match the expected schema', { cause: error })
    }
  }
}
