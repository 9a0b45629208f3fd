/** A plain server, as PROTOCOL.md has it. It says what happens there through `onEvent`. */

import { createServer } from 'node:http'
import { sleep } from './store.mjs'

const beatMs = 1200
const keepAliveMs = 8000

export class Shop {
  constructor ({ id, ip, service, zone, store, slots, workMs, onEvent = () => {} }) {
    Object.assign(this, { id, ip, service, zone, store, slots, workMs, onEvent })
    this.active = 0
    this.beats = 0
    this.born = Date.now()
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = keepAliveMs
  }

  async start () {
    await new Promise(resolve => this.server.listen(0, this.ip, resolve))
    this.address = `${this.ip}:${this.server.address().port}`
    this.report()
    this.timer = setInterval(() => this.report(), beatMs)
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  report () {
    if (this.store.mode !== 'up') return
    this.store.put(`servers/${this.id}`, {
      service: this.service, address: this.address, zone: this.zone, version: 1, slots: this.slots, state: 'ready', cold_left_ms: 0, seq: ++this.beats, born: this.born
    })
  }

  async handle (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (request.url === '/health') return this.reply(response, 200, {}, { 'X-Instance-Id': this.id })
    const id = request.headers['x-attempt-id']
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.reply(response, 421, {}, { 'X-Not-Executed': '1', 'X-Attempt-Id': id ?? '' })
    if (id === undefined) return this.reply(response, 400, {}, { 'X-Not-Executed': '1' })
    if (this.active >= this.slots) return this.reply(response, 503, {}, { 'X-Not-Executed': '1', 'X-Attempt-Id': id })
    this.active++
    this.onEvent('runs', { request: id, server: this.id, method: request.method, path: request.url })
    await sleep(this.workMs)
    this.active--
    this.reply(response, 200, { answer: id, by: this.id }, { 'X-Attempt-Id': id, 'X-Server-Stamp': `${this.id}.${id}` })
  }

  reply (response, status, body, headers) {
    if (response.destroyed) return
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': text.length, ...headers })
    response.end(text)
  }
}
