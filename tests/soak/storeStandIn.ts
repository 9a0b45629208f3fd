/** The platform's metadata store, with the faults that its page names. */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

interface Item { key: string, value: string, revision: number, created_rev: number, lease: number }
type StoreEvent = Item | { key: string, revision: number, tombstone: true }
interface Lease { ttlMs: number, endsAtMs: number }
/** What a copy of the store holds. */
export interface StoreCopy { items: Map<string, Item>, history: StoreEvent[], forgotten: number, revision: number, leases: Map<number, Lease>, nextLease: number }
interface Body { ttl_ms: number, expected?: Item[], writes?: Item[], remove?: string[] }
export type StoreMode = 'up' | 'refuses' | 'busy' | 'silent' | 'slow'

const slowMs = 300
const watchPollMs = 10

export class StoreStandIn {
  mode: StoreMode = 'up'
  /** Share of writes that are carried out and not answered. */
  lostShare = 0
  /** Whether leases run out while the store is not up. */
  lapses = true
  items = new Map<string, Item>()
  private history: StoreEvent[] = []
  private forgotten = 0
  private revision = 7
  private leases = new Map<number, Lease>()
  private nextLease = 1
  /** Rises by one with each return from a copy; `undefined` if the store does not state it. */
  era: number | undefined = 3
  /** Called with each item that is written. */
  onWritten: (key: string, value: string) => void = () => {}
  private readonly server: Server
  private readonly timer: NodeJS.Timeout
  port = 0

  constructor (private readonly random: () => number) {
    this.server = createServer((request, response) => { void this.handle(request, response) })
    this.server.keepAliveTimeout = 60_000
    this.timer = setInterval(() => this.expire(), 50)
  }

  async listen (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.port = (this.server.address() as AddressInfo).port
  }

  close (): void {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes as the operator and the backend servers do. */
  put (key: string, value: unknown, lease = 0): void {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease)
  }

  remove (key: string): void {
    if (!this.items.delete(key)) return
    this.history.push({ key, revision: ++this.revision, tombstone: true })
  }

  compact (): void {
    this.forgotten = this.revision
    this.history = []
  }

  copy (): StoreCopy {
    const { items, history, forgotten, revision, leases, nextLease } = this
    return { items: new Map(items), history: [...history], forgotten, revision, leases: new Map([...leases].map(([id, lease]) => [id, { ...lease }])), nextLease }
  }

  /** Comes back from a copy: what was acknowledged since is gone, and its revisions and leases are given out again. */
  restore (copy: StoreCopy): void {
    Object.assign(this, copy)
    if (this.era !== undefined) this.era++
    for (const lease of this.leases.values()) lease.endsAtMs = performance.now() + lease.ttlMs
  }

  private write (key: string, value: string, lease: number): void {
    const item = { key, value, revision: ++this.revision, created_rev: this.items.get(key)?.created_rev ?? this.revision, lease }
    this.items.set(key, item)
    this.history.push(item)
    this.onWritten(key, Buffer.from(value, 'base64').toString())
  }

  private expire (): void {
    const nowMs = performance.now()
    for (const [id, lease] of this.leases) {
      if (this.mode !== 'up' && !this.lapses) lease.endsAtMs += 50
      else if (lease.endsAtMs < nowMs) this.endLease(id)
    }
  }

  private endLease (id: number): void {
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
    const url = new URL(request.url ?? '/', 'http://store')
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {}
    if (this.mode === 'silent') return
    if (this.mode === 'refuses') return reply(response, 503, {}, this.era)
    if (this.mode === 'busy') return reply(response, 429, {}, this.era)
    await sleep(this.mode === 'slow' ? slowMs : 2)
    const [status, answer] = await this.answer(request.method ?? 'GET', url, body)
    if (request.method !== 'GET' && this.random() < this.lostShare) request.socket.destroy()
    else reply(response, status, answer, this.era)
  }

  private async answer (method: string, url: URL, body: Body): Promise<[number, object]> {
    const [, name, id] = url.pathname.split('/')
    const prefix = url.searchParams.get('path_prefix') ?? ''
    if (name === 'kv-range') {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix)).sort((left, right) => left.key < right.key ? -1 : 1)
      return [200, { items, has_more: false, as_of: this.revision }]
    }
    if (name === 'kv-watch') return await this.watch(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')))
    if (name === 'kv-txn') return this.commit(body)
    if (name === 'kv-lease') {
      this.leases.set(this.nextLease, { ttlMs: body.ttl_ms, endsAtMs: performance.now() + body.ttl_ms })
      return [200, { lease: this.nextLease++, ttl_ms: body.ttl_ms }]
    }
    const lease = this.leases.get(Number(id))
    if (!lease) return [404, {}]
    if (method === 'DELETE') this.endLease(Number(id))
    else lease.endsAtMs = performance.now() + lease.ttlMs
    return [200, {}]
  }

  private async watch (prefix: string, after: number, waitMs: number): Promise<[number, object]> {
    const untilMs = performance.now() + waitMs
    for (;;) {
      if (after < this.forgotten || after > this.revision) return [410, {}]
      const events = this.history.filter(event => event.revision > after && event.key.startsWith(prefix))
      if (events.length > 0 || performance.now() > untilMs) return [200, { events, as_of: this.revision }]
      await sleep(watchPollMs)
    }
  }

  private commit ({ expected = [], writes = [], remove = [] }: Body): [number, object] {
    if (writes.some(({ lease }) => lease && !this.leases.has(lease))) return [404, {}]
    const differs = expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)
    if (differs) return [412, { items: expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }) }]
    for (const { key, value, lease } of writes) this.write(key, value, lease ?? 0)
    for (const key of remove) this.remove(key)
    return [200, { revision: this.revision }]
  }
}

function reply (response: ServerResponse, status: number, body: object, era: number | undefined): void {
  if (response.destroyed) return
  response.writeHead(status, { 'Content-Type': 'application/json', ...(era === undefined ? {} : { 'Store-Era': String(era) }) })
  response.end(JSON.stringify(body))
}

export function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
