/** A model engine and a plain server: PROTOCOL.md, "Engines" and "Requests". */

import { createServer } from 'node:http'
import { note, sleep } from './platform.mjs'

const beatMs = 1200
const usualEventMs = 20

export class Engine {
  /** What it may hold. */
  models = new Map()
  orders = 0
  fence = 0
  active = 0
  isBusy = false
  isDown = false
  coming = new Set()
  sockets = new Set()

  /**
   * `held` are the models that it holds at its start. `onOrder` is called for each order that arrives, `onOverload` when it is ordered to
   * hold more than it can, and `onRun` when it begins to work on a request.
   */
  constructor ({ id, service, type, held = [], store, events = 40, eventMs = usualEventMs, adapterMs = 29, onOrder = () => {}, onOverload = () => {}, onRun = () => {} }) {
    Object.assign(this, { id, service, type, held, store, events, eventMs, adapterMs, onOrder, onOverload, onRun })
    for (const name of held) this.models.set(name, new Set())
  }

  async start (port = 0) {
    this.born = Date.now()
    this.server = createServer((request, response) => this.#handle(request, response))
    this.server.keepAliveTimeout = 5000
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
    await new Promise(resolve => this.server.listen(port, '127.0.0.1', resolve))
    this.port = this.server.address().port
    this.isDown = false
    this.report()
    this.timer = setInterval(() => this.report(), beatMs)
  }

  report () {
    this.seq = (this.seq ?? 0) + 1
    this.store.put(`servers/${this.id}`, {
      service: this.service, address: `127.0.0.1:${this.port}`, zone: 'z1', version: 1, slots: this.type?.slots ?? 6, state: 'ready', cold_left_ms: 0, seq: this.seq, born: this.born, ...(this.type ? { stage: 'combined', models: this.#hosted() } : {})
    })
  }

  /** Ends as a process that crashes does, and is back after `downMs`, empty. */
  async crash (downMs) {
    if (this.isDown) return
    this.stop()
    Object.assign(this, { models: new Map(), orders: 0, fence: 0, isBusy: false, coming: new Set(), seq: 0 })
    await sleep(downMs)
    if (this.isOver) return
    note(`${this.id} is back, empty`)
    await this.start(this.port)
  }

  stop () {
    this.isDown = true
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  end () {
    this.isOver = true
    this.stop()
  }

  #hosted () {
    return [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }))
  }

  async #handle (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const body = Buffer.concat(chunks).toString()
    if (request.url === '/report') {
      return reply(response, 200, { stage: 'combined', models: this.#hosted(), busy: this.isBusy, seq: this.orders, queued: 0, active: this.active, kv_used: 0, kv_total: 90_000, handles: 0, coming: [...this.coming].map(name => `${name}@1`) })
    }
    if (request.url === '/health') return reply(response, 200, {}, { 'X-Instance-Id': this.id })
    const expected = request.headers['x-expect-instance']
    const id = request.headers['x-attempt-id'] ?? ''
    if (expected !== undefined && expected !== this.id) return reply(response, 421, {}, { 'X-Not-Executed': '1', 'X-Attempt-Id': id })
    if (request.url === '/order') return reply(response, this.#take(JSON.parse(body)), {})
    if (request.url === '/hold-take') return reply(response, 503, {}, { 'X-Not-Executed': '1' })
    const [model, adapter] = String(request.headers['x-model'] ?? '').split('/')
    if (this.type && !(adapter ? this.models.get(model)?.has(adapter) : this.models.has(model))) return reply(response, 421, {}, { 'X-Not-Executed': '1', 'X-Attempt-Id': id })
    if (this.active >= (this.type?.slots ?? 6)) return reply(response, 503, {}, { 'X-Not-Executed': '1', 'X-Attempt-Id': id })
    this.onRun(id)
    this.active++
    try {
      await this.#stream(request, response, id)
    } finally {
      this.active--
    }
  }

  async #stream (request, response, id) {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1
    await sleep(this.eventMs)
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Attempt-Id': id, 'X-Server-Stamp': `stamp-${this.id}`, 'X-Weight-Versions': '1' })
    for (let event = from; event <= this.events && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: ${id}.${event}\n\n`)
      await sleep(this.eventMs)
    }
    response.end()
  }

  #take (order) {
    const { op, model, adapter, holder, fence } = order
    const status = this.#statusOf(order)
    this.onOrder({ engine: this.id, op, model, adapter, holder, fence, status })
    return status
  }

  #statusOf ({ op, model, adapter, expected, fence }) {
    if (this.type.checksFences !== false && fence < this.fence) return 412
    this.fence = Math.max(this.fence, fence)
    if (this.isBusy || (expected !== undefined && expected !== this.orders)) return 409
    if (adapter !== undefined) return this.#takeAdapter(op, model, adapter)
    if ((op === 'load') === this.models.has(model)) return 200
    this.orders++
    if (op === 'unload') {
      this.models.delete(model)
      return 202
    }
    this.#checkRoom(this.type.weightsOf(model), 0)
    this.isBusy = true
    setTimeout(() => {
      this.models.set(model, new Set())
      this.isBusy = false
      this.report()
    }, this.type.loadMs)
    return 202
  }

  #takeAdapter (op, model, adapter) {
    const adapters = this.models.get(model)
    if (!adapters) return 421
    const key = `${model}/${adapter}`
    if ((op === 'load') === (adapters.has(adapter) || this.coming.has(key))) return 200
    this.orders++
    if (op === 'unload') {
      adapters.delete(adapter)
      return 200
    }
    this.#checkRoom(this.type.adapterMb, 1)
    this.coming.add(key)
    setTimeout(() => {
      this.coming.delete(key)
      adapters.add(adapter)
    }, this.adapterMs)
    return 202
  }

  /** An engine that is ordered to hold more than it can crashes. */
  #checkRoom (addedMb, addedAdapters) {
    const adapters = [...this.models.values()].reduce((sum, names) => sum + names.size, this.coming.size) + addedAdapters
    const usedMb = [...this.models.keys()].reduce((sum, name) => sum + this.type.weightsOf(name), 0) + (adapters - addedAdapters) * this.type.adapterMb + addedMb
    if (usedMb <= this.type.weightsMb && adapters <= this.type.adapterSlots) return
    this.onOverload(`${this.id} is ordered to hold ${usedMb} MB of ${this.type.weightsMb} MB, with ${adapters} of ${this.type.adapterSlots} adapters`)
  }
}

function reply (response, status, body, headers = {}) {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': String(text.length), ...headers })
  response.end(text)
}
