/** Backend servers that send a response once more, or another response than the connection is due. */

import type { Socket } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { EngineClient } from '../src/serving/engineClient.js'
import { chunk, requestIdOf, RequestProxyFixture, responseTo, route, signedHeaders } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const ok: Script = (socket, head) => { socket.write(responseTo(requestIdOf(head), `for ${requestIdOf(head)}`)) }
const refusalOf = (id: string) => `HTTP/1.1 503 Busy\r\n${id === '' ? '' : `X-Attempt-Id: ${id}\r\n`}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`
const streamHead = (head: string, extra = 'Content-Type: text/event-stream\r\n') => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head), extra)}Transfer-Encoding: chunked\r\n\r\n`
const streamRoute = () => route({ kind: 'stream', resumable: true })

/** Refuses the first request of each connection and repeats that refusal before the response to each later one, which runs. */
function repeatingRefusal ({ withId }: { withId: boolean }): { script: Script, ran: string[] } {
  const refusals = new Map<Socket, string>()
  const ran: string[] = []
  const script: Script = (socket, head) => {
    const id = requestIdOf(head)
    const earlier = refusals.get(socket)
    if (earlier === undefined) {
      refusals.set(socket, refusalOf(withId ? id : ''))
      socket.write(refusalOf(id))
      return
    }
    ran.push(id)
    socket.write(earlier)
    setTimeout(() => ok(socket, head, 0), 20)
  }
  return { script, ran }
}

describe('repeated responses', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  for (const withId of [true, false]) {
    // Guards against "not run" for a request that runs (REFUSED), and against a second run (TWICE).
    it(`does not take a repeated refusal ${withId ? 'with' : 'without'} an ID for the response to another request`, async () => {
      await fixture.start([route({ maxAttempts: 1 })])
      const { script, ran } = repeatingRefusal({ withId })
      await fixture.addServer('a', script)
      expect((await fixture.send('id0')).status).to.equal(503)
      expect(await fixture.send('id1')).to.include({ status: 200, body: 'for id1' })
      expect(ran).to.deep.equal(['id1'])
    })
  }

  // Guards against the same where the repeated refusal has the right ID: the request returns to the engine that refused it.
  it('sends a refused request again only on another connection', async () => {
    const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 50, warmLoadMs: 50, diskLoadMs: 50, adapterMb: 1 }] }
    await fixture.start([route({ maxAttempts: 2 })], { engine })
    const used = new Map<string, Socket[]>()
    const { script, ran } = repeatingRefusal({ withId: true })
    const record: Script = (socket, head, count) => {
      used.set(requestIdOf(head), [...used.get(requestIdOf(head)) ?? [], socket])
      script(socket, head, count)
    }
    await fixture.addServer('a', record, { models: [{ name: 'm', adapters: [] }] })
    fixture.demand.expectedReadyMs = () => 0
    const response = await fixture.send('id0', { headers: { 'x-model': 'm' } })
    const sockets = used.get('id0')!
    expect(sockets).to.have.length(2)
    expect(new Set(sockets).size).to.equal(2)
    // The second connection refuses its first request too, so nothing has run.
    expect(response.status).to.equal(503)
    expect(ran).to.deep.equal([])
  })

  // Guards against delivering a second copy of a response to the next caller, at whatever moment it arrives.
  for (const delayMs of [0, 5, 30]) {
    it(`does not deliver a second copy that arrives after ${delayMs} ms to the next caller`, async () => {
      await fixture.start([route({ kind: 'idempotent' }), route({ name: 'stream', kind: 'stream', resumable: true, pathPrefix: '/s/' })])
      await fixture.addServer('a', (socket, head) => {
        const text = `id: 1\ndata: for ${requestIdOf(head)}\n\n`
        const response = head.startsWith('POST /s/') ? `${streamHead(head)}${chunk(text)}0\r\n\r\n` : responseTo(requestIdOf(head), text)
        socket.write(response)
        setTimeout(() => { if (!socket.destroyed) socket.write(response) }, delayMs)
      })
      for (let count = 0; count < 10; count++) {
        const id = `id${count}`
        const response = await fixture.send(id, { path: count % 2 === 0 ? '/' : '/s/' })
        expect(response).to.include({ status: 200, body: `id: 1\ndata: for ${id}\n\n`, isComplete: true })
        await new Promise(resolve => setTimeout(resolve, count * 4))
      }
    })
  }

  // Guards against taking the second copy of a client's response for the response to a command.
  it('does not take a repeated response to a request for the response to a command', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => {
      if (head.startsWith('GET /report')) {
        socket.write(responseTo('id0', 'for id0') + 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"seq":3}')
      } else ok(socket, head, 0)
    })
    await fixture.send('id0')
    const report = await new EngineClient(new SystemClock(), codecs).queryState(fixture.fleet.servers.get('a')!)
    expect(report?.orderCount).to.equal(3)
  })

  // Guards against a promise of "not run" that the server never made.
  for (const status of ['503 Busy', '429 Many', '408 Late', '425 Early']) {
    it(`does not pass on ${status} as a promise when the server did not say that it did not run the request`, async () => {
      await fixture.start([route({ maxAttempts: 1 })])
      await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'half done', status)) })
      const response = await fixture.send('id0')
      if (status.startsWith('425')) return expect(response).to.include({ status: 425, body: 'half done' })
      expect(response.status).to.equal(502)
      expect(response.headers).not.to.have.property('x-server-stamp')
    })
  }

  const errors: Record<string, Script> = {
    'a failure': (socket, head) => { socket.write(responseTo(requestIdOf(head), 'out of memory', '500 Internal')) },
    'a refusal': (socket, head) => { socket.write(refusalOf(requestIdOf(head))) },
    'a client error': (socket, head) => { socket.write(responseTo(requestIdOf(head), 'no such model', '404 Not Found')) },
    'an error with status 200': (socket, head) => {
      socket.write(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head), 'Content-Type: application/json\r\n')}Content-Length: 21\r\n\r\n{"error":"no room"}\n\n`)
    },
    'an error event without an ID': (socket, head) => { socket.end(`${streamHead(head)}${chunk('event: error\ndata: no room\n\n')}0\r\n\r\n`) },
    'a failure within an event stream': (socket, head) => { socket.write(`HTTP/1.1 500 Internal\r\n${signedHeaders(requestIdOf(head), 'Content-Type: text/event-stream\r\n')}Transfer-Encoding: chunked\r\n\r\n${chunk(event(3))}0\r\n\r\n`) },
    'a head in the place of an event': (socket, head) => { socket.end(`${streamHead(head)}${chunk('HTTP/1.1 500 Internal\r\nContent-Length: 3\r\n\r\nbad')}0\r\n\r\n`) },
    'a second head on the broken connection': socket => { socket.end('HTTP/1.1 500 Internal\r\nContent-Length: 3\r\n\r\nbad') }
  }
  for (const [name, script] of Object.entries(errors)) {
    // Guards against an error's text in the middle of a stream, and against a stream that looks complete after it (ORDER, MIXED).
    it(`breaks off a stream whose next engine responds with ${name}`, async () => {
      await fixture.start([streamRoute()])
      let attempts = 0
      const first: Script = (socket, head) => { socket.write(streamHead(head) + chunk(event(1)) + chunk(event(2)), () => setTimeout(() => socket.resetAndDestroy(), 20)) }
      const either: Script = (socket, head, count) => (++attempts === 1 ? first : script)(socket, head, count)
      await fixture.addServer('a', either)
      await fixture.addServer('b', either)
      const response = await fixture.send('id0')
      expect(response).to.include({ status: 200, body: event(1) + event(2), isComplete: false })
      expect(attempts).to.equal(2)
    })
  }

  // Guards against the same on the connection of the first engine, which writes an error into its own broken stream.
  it('does not deliver the head of an error that an engine writes into its broken stream', async () => {
    await fixture.start([route({ kind: 'stream', resumable: false })])
    await fixture.addServer('a', (socket, head) => { socket.end(`${streamHead(head)}${chunk(event(1))}HTTP/1.1 500 Internal\r\nContent-Length: 3\r\n\r\nbad`) })
    expect(await fixture.send('id0')).to.include({ status: 200, body: event(1), isComplete: false })
  })

  // Guards against rejecting comments and fields that sound engines send between events.
  it('passes on comments of a resumed stream', async () => {
    await fixture.start([streamRoute()])
    let attempts = 0
    const script: Script = (socket, head) => {
      if (++attempts === 1) socket.write(streamHead(head) + chunk(event(1)), () => setTimeout(() => socket.resetAndDestroy(), 20))
      else socket.write(`${streamHead(head)}${chunk(': busy\n\n')}${chunk(event(2))}0\r\n\r\n`)
    }
    await fixture.addServer('a', script)
    await fixture.addServer('b', script)
    expect(await fixture.send('id0')).to.include({ status: 200, body: `${event(1)}: busy\n\n${event(2)}`, isComplete: true })
  })
})
