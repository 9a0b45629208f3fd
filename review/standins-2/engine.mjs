/** A model engine, as PROTOCOL.md has it: streams, orders, reports, reserved places. It says what happens there through `onEvent`. */

import { createServer } from 'node:http'
import { sleep } from './store.mjs'

const beatMs = 400
const firstEventMs = 60
const reportLagMs = 200
const adapterLoadMs = 29
const keepAliveMs = 8000

export class Engine {
  /**
   * `models` are those that it holds at its start. `spec` is the `engine` of its service in the configuration. With `checksFences`,
   * orders with a lower fencing token than one already seen are refused.
   */
  constructor ({ id, ip, service, zone, store, spec, models, eventMs = 50, checksFences = true, onEvent = () => {} }) {
    Object.assign(this, { id, ip, service, zone, store, spec, initialModels: models, eventMs, checksFences, onEvent })
    /** By how much the ID of an event exceeds that of the one before. */
    this.idStep = 1
    this.reset()
    this.sockets = new Set()
    this.isDown = true
    this.beats = 0
  }

  reset () {
    this.models = new Map()
    this.orders = 0
    this.fence = 0
    this.isBusy = false
    this.coming = new Set()
    this.loading = undefined
    this.running = new Map()
    this.active = 0
    this.holds = new Map()
    this.nextHold = 0
    this.reports = []
  }

  async start (models = this.initialModels) {
    this.reset()
    this.run = {}
    this.born = Date.now()
    this.beats = 0
    for (const model of models) this.models.set(model, new Set())
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = keepAliveMs
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
    await new Promise(resolve => this.server.listen(this.port ?? 0, this.ip, resolve))
    this.port = this.server.address().port
    this.isDown = false
    this.report()
    this.timer = setInterval(() => this.report(), beatMs)
  }

  /** Ends at once and resets all connections. */
  crash () {
    this.isDown = true
    clearInterval(this.timer)
    const streams = this.active
    this.run = undefined
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
    return streams
  }

  report () {
    if (this.isDown || this.store.mode !== 'up') return
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 1,
      slots: this.spec.slots,
      state: 'ready',
      cold_left_ms: 0,
      seq: ++this.beats,
      born: this.born,
      stage: 'combined',
      models: this.hosted()
    })
  }

  hosted () {
    return [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }))
  }

  /** Memory of weights and adapters that it holds or is loading, with one more thing. */
  usedMb (more = 0) {
    const sizeOf = name => this.spec.models.find(model => model.name === name)
    let sum = more + (this.loading ? sizeOf(this.loading).weights_mb : 0)
    for (const [name, adapters] of this.models) sum += sizeOf(name).weights_mb + adapters.size * sizeOf(name).adapter_mb
    for (const key of this.coming) sum += sizeOf(key.split('/')[0]).adapter_mb
    return sum
  }

  async handle (request, response) {
    const { run } = this
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (this.run !== run) return
    const body = Buffer.concat(chunks).toString()
    if (request.url === '/health') return this.reply(response, 200, {}, { 'X-Instance-Id': this.id })
    if (request.url === '/report') return this.reply(response, 200, this.lateReport())
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.refuse(request, response, 421)
    if (request.url === '/order') return this.onOrder(JSON.parse(body), response)
    if (request.url === '/hold-take') return this.takeHold(JSON.parse(body), response)
    if (request.url.startsWith('/hold-drop/')) return this.reply(response, this.endHold(request.url.slice('/hold-drop/'.length)) ? 200 : 404, {})
    await this.serve(request, response, body)
  }

  async serve (request, response, body) {
    const { run } = this
    const id = request.headers['x-attempt-id']
    const [model, adapter] = (request.headers['x-model'] ?? '').split('/')
    const held = this.models.get(model)
    if (!held || (adapter && !held.has(adapter))) return this.refuse(request, response, 421)
    const tokens = (request.headers['x-token-count'] ?? '0,20').split(',').reduce((sum, part) => sum + Number(part), 0)
    // As if the engine were full.
    if (tokens > this.spec.kv_capacity) return this.refuse(request, response, 503)
    const hasHold = this.endHold(request.headers['x-hold'] ?? '')
    if (!hasHold && this.active + this.holds.size >= this.spec.slots) return this.refuse(request, response, 503)
    this.active++
    this.running.set(model, (this.running.get(model) ?? 0) + 1)
    this.onEvent('runs', { request: id, engine: this.id, model: request.headers['x-model'], path: request.url, body })
    try {
      const events = Number((request.headers['x-token-count'] ?? '0,20').split(',')[1])
      const last = Number(request.headers['last-event-id'] ?? 0) / this.idStep
      await sleep(firstEventMs)
      if (this.run !== run || response.destroyed) return
      response.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Attempt-Id': id, 'X-Server-Stamp': `${this.id}.${id}` })
      for (let event = last + 1; event <= events; event++) {
        if (this.run !== run || response.destroyed) return
        response.write(this.eventText(id, event))
        await sleep(this.eventMs)
      }
      response.end()
    } finally {
      if (this.run === run) {
        this.active--
        this.running.set(model, this.running.get(model) - 1)
      }
    }
  }

  eventText (id, event) {
    return `id: ${event * this.idStep}\ndata: ${id}.${event}\n\n`
  }

  refuse (request, response, status) {
    this.reply(response, status, {}, { 'X-Not-Executed': '1', 'X-Attempt-Id': request.headers['x-attempt-id'] ?? '' })
  }

  reply (response, status, body, headers = {}) {
    if (response.destroyed) return
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': text.length, ...headers })
    response.end(text)
  }

  /** The state of some hundred milliseconds ago. */
  lateReport () {
    const nowMs = performance.now()
    this.reports.push({ atMs: nowMs, report: this.currentReport() })
    while (this.reports.length > 1 && this.reports[1].atMs <= nowMs - reportLagMs) this.reports.shift()
    const { report } = this.reports[0]
    return report.seq === this.orders ? this.currentReport() : report
  }

  currentReport () {
    return {
      stage: 'combined',
      models: this.hosted(),
      busy: this.isBusy,
      seq: this.orders,
      queued: 0,
      active: this.active,
      kv_used: 0,
      kv_total: 100_000,
      handles: 0,
      coming: [...this.coming].map(key => `${key}@1`)
    }
  }

  takeHold ({ ttl_ms: ttlMs }, response) {
    if (this.active + this.holds.size >= this.spec.slots) return this.reply(response, 503, {}, { 'X-Not-Executed': '1' })
    const hold = `h${++this.nextHold}`
    this.holds.set(hold, setTimeout(() => this.endHold(hold), ttlMs))
    this.reply(response, 200, { hold })
  }

  endHold (hold) {
    clearTimeout(this.holds.get(hold))
    return this.holds.delete(hold)
  }

  onOrder (order, response) {
    const status = this.takeOrder(order)
    this.onEvent('order', { engine: this.id, ...order, status })
    if (!this.isDown) this.reply(response, status, {})
  }

  takeOrder ({ op, model, adapter, expected, fence }) {
    if (this.checksFences && fence < this.fence) return 412
    this.fence = Math.max(this.fence, fence)
    if (this.isBusy || (expected !== undefined && expected !== this.orders)) return 409
    const entry = this.spec.models.find(({ name }) => name === model)
    if (!entry) return 400
    if (adapter) return this.takeAdapterOrder(op, entry, adapter)
    if ((op === 'load') === this.models.has(model)) return 200
    this.orders++
    if (op === 'load' && !this.fits(entry.weights_mb, { op, model })) return 202
    this.isBusy = true
    this.carryOut(op, entry)
    return 202
  }

  takeAdapterOrder (op, { name, adapter_mb: adapterMb }, adapter) {
    const adapters = this.models.get(name)
    if (!adapters) return 421
    const key = `${name}/${adapter}`
    if (op === 'unload') {
      if (!adapters.delete(adapter)) return 200
      this.orders++
      return 200
    }
    if (adapters.has(adapter) || this.coming.has(key)) return 200
    this.orders++
    const slots = [...this.models.values()].reduce((sum, set) => sum + set.size, this.coming.size) + 1
    if (slots > this.spec.adapter_slots) {
      this.onEvent('limit', { engine: this.id, order: { op, model: name, adapter }, adapters: slots, holds: this.spec.adapter_slots, lostStreams: this.crash() })
      return 202
    }
    if (!this.fits(adapterMb, { op, model: name, adapter })) return 202
    const { run } = this
    this.coming.add(key)
    setTimeout(() => {
      if (this.run !== run) return
      this.coming.delete(key)
      adapters.add(adapter)
    }, adapterLoadMs)
    return 202
  }

  /** An engine that is ordered to load more than its memory holds crashes. */
  fits (moreMb, order) {
    const neededMb = this.usedMb(moreMb)
    if (neededMb <= this.spec.weights_mb) return true
    this.onEvent('limit', { engine: this.id, order, neededMb, weightsMb: this.spec.weights_mb, holds: this.hosted(), lostStreams: this.crash() })
    return false
  }

  async carryOut (op, { name, load_s: loadS }) {
    const { run } = this
    if (op === 'load') {
      this.loading = name
      await sleep(loadS * 1000)
    } else while (this.run === run && (this.running.get(name) ?? 0) > 0) await sleep(10)
    if (this.run !== run) return
    if (op === 'load') this.models.set(name, new Set())
    else this.models.delete(name)
    this.loading = undefined
    this.isBusy = false
    this.report()
  }
}
