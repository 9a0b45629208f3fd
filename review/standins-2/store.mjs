/** The platform's metadata store, as PROTOCOL.md has it, and what the operator writes there. */

import { createServer } from 'node:http'

const watchPollMs = 10
const leaseCheckMs = 50
const answerMs = 4

export class Store {
  constructor () {
    this.items = new Map()
    this.history = []
    this.forgotten = 0
    this.revision = 7
    this.leases = new Map()
    this.nextLease = 1
    this.era = 1
    /** `up`, `silent` (no answers) or `away` (connections are reset). */
    this.mode = 'up'
    /** Called with the key and the text of each item that is written. */
    this.onWritten = () => {}
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 60_000
    this.server.on('connection', socket => { if (this.mode === 'away') socket.resetAndDestroy() })
    this.timer = setInterval(() => this.expire(), leaseCheckMs)
  }

  async listen (ip) {
    await new Promise(resolve => this.server.listen(0, ip, resolve))
    this.address = `${ip}:${this.server.address().port}`
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes as the operator and the engines do. */
  put (key, value) {
    this.write(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), 0)
  }

  remove (key) {
    if (this.items.delete(key)) this.history.push({ key, revision: ++this.revision, tombstone: true })
  }

  textOf (key) {
    const item = this.items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  copy () {
    return {
      items: new Map(this.items),
      history: [...this.history],
      forgotten: this.forgotten,
      revision: this.revision,
      leases: new Map([...this.leases].map(([id, lease]) => [id, { ...lease }])),
      nextLease: this.nextLease
    }
  }

  /** Comes back from a copy: what was acknowledged since is gone, and its revisions are given out again. */
  restore (copy) {
    Object.assign(this, copy)
    this.era++
    for (const lease of this.leases.values()) lease.endsAtMs = performance.now() + lease.ttlMs
  }

  write (key, value, lease) {
    const item = { key, value, revision: ++this.revision, created_rev: this.items.get(key)?.created_rev ?? this.revision, lease }
    this.items.set(key, item)
    this.history.push(item)
    this.onWritten(key, Buffer.from(value, 'base64').toString())
  }

  /** While the store is down, leases pause. */
  expire () {
    const nowMs = performance.now()
    for (const [id, lease] of this.leases) {
      if (this.mode !== 'up') lease.endsAtMs += leaseCheckMs
      else if (lease.endsAtMs < nowMs) this.endLease(id)
    }
  }

  endLease (id) {
    this.leases.delete(id)
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key)
  }

  async handle (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (this.mode !== 'up') return
    await sleep(answerMs)
    const url = new URL(request.url, 'http://store')
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {}
    const [status, answer] = await this.answer(request.method, url, body)
    if (this.mode !== 'up' || response.destroyed) return
    const text = textOf(answer)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': String(this.era) })
    response.end(text)
  }

  async answer (method, url, body) {
    const [, name, id] = url.pathname.split('/')
    const prefix = url.searchParams.get('path_prefix') ?? ''
    if (name === 'kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item ? [200, { ...item, as_of: this.revision }] : [404, {}]
    }
    if (name === 'kv-range') {
      const after = url.searchParams.get('after') ?? ''
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
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
    return [200, { ttl_ms: lease.ttlMs }]
  }

  async watch (prefix, after, waitMs) {
    const untilMs = performance.now() + waitMs
    const { era } = this
    for (;;) {
      if (after < this.forgotten || after > this.revision || era !== this.era) return [410, {}]
      const events = this.history.filter(event => event.revision > after && event.key.startsWith(prefix))
      if (events.length > 0 || performance.now() > untilMs) return [200, { events, as_of: this.revision }]
      await sleep(watchPollMs)
    }
  }

  commit ({ expected = [], writes = [], remove = [] }) {
    if (writes.some(({ lease }) => lease && !this.leases.has(lease))) return [404, {}]
    const differs = expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)
    if (differs) return [412, { items: expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }), as_of: this.revision }]
    for (const { key, value, lease } of writes) this.write(key, value, lease ?? 0)
    for (const key of remove) this.remove(key)
    return [200, { revision: this.revision }]
  }
}

const texts = new WeakMap()

/** The text of an answer. Items are large at times and sent to many, so the text of each is kept. */
function textOf ({ items, events, ...others }) {
  const rows = items ?? events
  if (!rows) return JSON.stringify(others)
  const rowTexts = rows.map(row => {
    if (!texts.has(row)) texts.set(row, JSON.stringify(row))
    return texts.get(row)
  })
  return `{"${items ? 'items' : 'events'}":[${rowTexts.join(',')}],${JSON.stringify(others).slice(1)}`
}

export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}
