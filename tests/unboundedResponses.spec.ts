import { expect } from 'chai'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { SystemClock } from '../src/base/clock.js'
import { CallError, UnknownOutcomeError } from '../src/base/errors.js'
import { silentLog } from '../src/base/log.js'
import { HttpCaller } from '../src/external/httpCall.js'
import { HttpEngine } from '../src/external/httpEngine.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { StoreClient } from '../src/platform/storeClient.js'
import { EngineClient } from '../src/serving/engineClient.js'
import { EventSplitter } from '../src/serving/eventStream.js'
import { LeaderLink, PeerServer } from '../src/serving/peerLink.js'
import { boundedBytes, sendSlowly, Flood, EventLoopMonitor, streamBoundedBytes } from './fixtures/flood.js'
import { responseTo, chunk, requestIdOf, RequestProxyFixture, route, signedHeaders } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

/** Time within which a request to a server that sends endless data fails or is served by another server. */
const respondWithinMs = 3000
const closeWithinMs = 1500
/** Maximum time for which one chunk of data may block the event loop. */
const maxBlockMs = 400
const sideRequests = 20
/** Timeout of calls that must end earlier, at a limit on bytes. */
const callTimeoutMs = 15_000

const chunked = (id: string, status = '200 OK') => `HTTP/1.1 ${status}\r\n${signedHeaders(id)}Transfer-Encoding: chunked\r\n\r\n`
const streamHead = (id: string) => `HTTP/1.1 200 OK\r\n${signedHeaders(id)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`
const events = (from: number, last: number) => Array.from({ length: last - from + 1 }, (_, index) => event(from + index))
const within = async (limitMs: number, promise: Promise<unknown>) => {
  let timer: NodeJS.Timeout
  const late = new Promise<boolean>(resolve => { timer = setTimeout(() => resolve(false), limitMs) })
  return Promise.race([promise.then(() => true), late]).finally(() => clearTimeout(timer))
}

interface Case {
  name: string
  /** Bytes that are sent first; `unit` is sent again and again after them. */
  prefix: (id: string) => string
  unit: string
}

const plainCases: Case[] = [
  { name: 'bytes without a line end in place of a head', prefix: () => '', unit: 'x' },
  { name: 'a status line', prefix: () => 'HTTP/1.1 200 ', unit: 'x' },
  { name: 'header lines', prefix: id => `HTTP/1.1 200 OK\r\n${signedHeaders(id)}`, unit: 'X-A: b\r\n' },
  { name: 'interim responses', prefix: () => '', unit: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { name: 'a chunk size', prefix: chunked, unit: '0' },
  { name: 'a chunk extension', prefix: id => `${chunked(id)}1;`, unit: 'x' },
  { name: 'chunks of one byte with long extensions', prefix: chunked, unit: `1;${'x'.repeat(1000)}\r\nx\r\n` },
  { name: 'a trailer', prefix: id => `${chunked(id)}0\r\nX-A: `, unit: 'x' },
  { name: 'short trailers', prefix: id => `${chunked(id)}0\r\n`, unit: 'X-A: b\r\n' },
  { name: 'complete responses to other requests', prefix: () => '', unit: 'HTTP/1.1 204\r\nX-Attempt-Id:o\r\n\r\n' },
  { name: 'a chunked response to another request', prefix: () => chunked('other'), unit: chunk('x'.repeat(1000)) },
  { name: 'a response without length to another request', prefix: () => `HTTP/1.1 200 OK\r\n${signedHeaders('other')}\r\n`, unit: 'x' },
  { name: 'a body without length', prefix: id => `HTTP/1.1 200 OK\r\n${signedHeaders(id)}\r\n`, unit: 'x' },
  { name: 'a body with a length', prefix: id => `HTTP/1.1 200 OK\r\n${signedHeaders(id)}Content-Length: 999999999999\r\n\r\n`, unit: 'x' },
  { name: 'a chunked body', prefix: chunked, unit: chunk('x'.repeat(1000)) },
  { name: 'a body in chunks of one byte', prefix: chunked, unit: '1\r\nx\r\n' },
  { name: 'the body of an error response', prefix: id => chunked(id, '500 Internal Server Error'), unit: chunk('x'.repeat(1000)) }
]

const streamCases: Case[] = [
  { name: 'an event', prefix: () => '', unit: chunk(`data: ${'x'.repeat(1000)}\n`) },
  { name: 'an event in chunks of one byte', prefix: () => '', unit: chunk('x') },
  { name: 'comment lines', prefix: () => '', unit: chunk(':\n\n'.repeat(20_000)) },
  { name: 'events without ID', prefix: () => '', unit: chunk('data: x\n\n'.repeat(1000)) },
  { name: 'events that were already forwarded', prefix: () => '', unit: chunk(event(2).repeat(1000)) },
  { name: 'chunk extensions', prefix: () => '', unit: `1;${'x'.repeat(1000)}\r\n:\r\n` },
  { name: 'trailers', prefix: () => '0\r\n', unit: 'X-A: b\r\n' }
]

describe('endless responses', () => {
  let fixture: RequestProxyFixture
  let floods: Flood[]
  let flooding: string[]
  let monitor: EventLoopMonitor

  beforeEach(() => {
    fixture = new RequestProxyFixture()
    floods = []
    flooding = []
    monitor = new EventLoopMonitor()
  })
  afterEach(() => {
    monitor.stop()
    return fixture.stop()
  })

  /** Adds two servers. The one that receives request `bad` first sends endless data. */
  const addServers = async (flood: (socket: Socket, id: string) => Flood | undefined, other: Script = (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) }) => {
    for (const server of ['a', 'b']) {
      await fixture.addServer(server, (socket, head, count) => {
        if (requestIdOf(head) !== 'bad' || flooding.length > 0) return other(socket, head, count)
        flooding.push(server)
        const started = flood(socket, 'bad')
        if (started) floods.push(started)
      })
    }
  }

  /** Sends request `bad`, and at the same time others that must be served. */
  const sendWithSideRequests = async (method: string) => {
    const startMs = performance.now()
    const bad = fixture.send('bad', { method }).then(response => ({ ...response, afterMs: performance.now() - startMs }))
    const others = await Promise.all(Array.from({ length: sideRequests }, async (_, index) => {
      await new Promise(resolve => setTimeout(resolve, 10 * index))
      return fixture.send(`side${index}`, { method: 'GET' })
    }))
    return { bad: await bad, served: others.filter(({ body, status }) => status === 200 && body === 'ok').length }
  }

  const expectBounded = async () => {
    const [flood] = floods
    expect(await within(closeWithinMs, flood!.closed), 'the connection is closed').to.equal(true)
    expect(flood!.acceptedBytes, 'bytes accepted').to.be.below(boundedBytes)
    expect(monitor.stop(), 'longest event-loop iteration, in ms of CPU time').to.be.below(maxBlockMs)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare, 'failure share of the server').to.be.above(0)
  }

  for (const { name, prefix, unit } of plainCases) {
    it(`end at a limit and the request is retried on another server: ${name}`, async () => {
      // Guards against a server that exhausts the node's memory, or keeps its event loop busy, until the deadline.
      await fixture.start([route({ kind: 'idempotent', timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, prefix(id), unit))
      const { bad, served } = await sendWithSideRequests('GET')
      expect(bad).to.include({ status: 200, body: 'ok', isComplete: true })
      expect(bad.afterMs).to.be.below(respondWithinMs)
      expect(served).to.equal(sideRequests)
      await expectBounded()
    })

    it(`end at a limit and an unsafe request fails: ${name}`, async () => {
      await fixture.start([route({ timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, prefix(id), unit))
      const { bad, served } = await sendWithSideRequests('POST')
      expect(bad.status).to.equal(502)
      expect(bad.afterMs).to.be.below(respondWithinMs)
      expect(fixture.received.filter(({ head }) => requestIdOf(head) === 'bad')).to.have.length(1)
      expect(served).to.equal(sideRequests)
      await expectBounded()
    })
  }

  it('end at a limit and a request that did not run is retried on another server', async () => {
    // Guards against treating a rejection as an unknown outcome because its body is endless.
    await fixture.start([route({ timeoutMs: 8000 })])
    await addServers(socket => new Flood(socket, 'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n', chunk('x'.repeat(1000))))
    const { bad } = await sendWithSideRequests('POST')
    expect(bad).to.include({ status: 200, body: 'ok' })
    expect(bad.afterMs).to.be.below(respondWithinMs)
    await expectBounded()
  })

  it('close the connection when bytes follow a complete response', async () => {
    await fixture.start([route()])
    await addServers((socket, id) => new Flood(socket, responseTo(id, 'ok'), 'x'))
    const { bad, served } = await sendWithSideRequests('POST')
    expect(bad).to.include({ status: 200, body: 'ok', isComplete: true })
    expect(served).to.equal(sideRequests)
    expect(await within(closeWithinMs, floods[0]!.closed)).to.equal(true)
    expect(floods[0]!.acceptedBytes).to.be.below(boundedBytes)
  })

  it('of many requests share one buffer limit', async () => {
    // All responses of the servers are endless. A limit per request alone, times the number of requests, would exhaust the memory.
    await fixture.start([route({ timeoutMs: 8000, objectiveMs: 6000 })])
    for (const server of ['a', 'b', 'c']) {
      await fixture.addServer(server, (socket, head) => { floods.push(new Flood(socket, chunked(requestIdOf(head)), chunk('x'.repeat(1000)))) }, { slots: 40 })
    }
    let maxBufferedBytes = 0
    const timer = setInterval(() => { maxBufferedBytes = Math.max(maxBufferedBytes, fixture.fleet.buffered.bytes) }, 1)
    const responses = await Promise.all(Array.from({ length: 30 }, (_, index) => fixture.send(`id${index}`)))
    clearInterval(timer)
    expect(new Set(responses.map(({ status }) => status))).to.deep.equal(new Set([502]))
    expect(maxBufferedBytes).to.be.within(1, 24 * 1024 * 1024)
    expect(new Set(fixture.received.map(({ server }) => server)).size).to.equal(3)
    expect(fixture.fleet.buffered.bytes).to.equal(0)
  })

  // Guards against a limit for each answer whose sum over many exhausts the memory.
  for (const [name, prefix, kind] of [
    ['events without an end', (id: string) => `${streamHead(id)}${chunk(event(1) + 'x'.repeat(600 * 1024))}`, 'stream'],
    ['header lines', (id: string) => `HTTP/1.1 200 OK\r\n${signedHeaders(id)}${'X-A: b\r\n'.repeat(7500)}`, 'unsafe']
  ] as const) {
    it(`of many requests share one limit: ${name}`, async () => {
      await fixture.start([route({ kind, maxAttempts: 1, timeoutMs: 3000, objectiveMs: 2500 })])
      for (const server of ['a', 'b', 'c']) await fixture.addServer(server, (socket, head) => { socket.write(prefix(requestIdOf(head))) }, { slots: 400 })
      let maxHeldBytes = 0
      const timer = setInterval(() => { maxHeldBytes = Math.max(maxHeldBytes, fixture.fleet.buffered.bytes) }, 1)
      await Promise.all(Array.from({ length: 120 }, (_, index) => fixture.send(`id${index}`).catch(() => {})))
      clearInterval(timer)
      expect(maxHeldBytes).to.be.within(1024 * 1024, 32 * 1024 * 1024)
      expect(fixture.fleet.buffered.bytes).to.equal(0)
    })
  }

  // Guards against complete answers that are no longer counted while their clients do not read them.
  it('that are complete count until their clients have read them', async () => {
    const body = 'x'.repeat(7 * 1024 * 1024)
    await fixture.start([route({ maxAttempts: 1, timeoutMs: 4000 })])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), body)) }, { slots: 40 })
    const clients = Array.from({ length: 12 }, (_, index) => {
      const { socket } = fixture.connect()
      socket.pause()
      socket.write(`POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id${index}\r\nContent-Length: 1\r\n\r\nx`)
      return socket
    })
    while (fixture.records.length < clients.length) await new Promise(resolve => setTimeout(resolve, 20))
    expect(fixture.records.filter(({ status }) => status === 200)).to.have.length.within(1, 2)
    expect(fixture.fleet.buffered.bytes).to.be.within(1, 16 * 1024 * 1024)
    for (const socket of clients) socket.destroy()
    while (fixture.fleet.buffered.bytes > 0) await new Promise(resolve => setTimeout(resolve, 20))
  })

  it('are distinguished from large complete responses', async () => {
    const body = 'abcdefgh'.repeat(512 * 1024)
    await fixture.start([route({ timeoutMs: 10_000 })])
    await fixture.addServer('a', (socket, head, count) => {
      socket.write(count === 1 ? responseTo(requestIdOf(head), body) : `${chunked(requestIdOf(head))}${chunk(body)}0\r\n\r\n`)
    })
    for (const id of ['counted', 'chunked']) {
      const response = await fixture.send(id)
      expect(response).to.include({ status: 200, isComplete: true })
      expect(response.body === body, id).to.equal(true)
    }
  })

  for (const { name, prefix, unit } of streamCases) {
    const beginning = (id: string) => streamHead(id) + events(1, 3).map(chunk).join('') + prefix(id)

    it(`end at a limit and the stream resumes on another server: ${name}`, async () => {
      await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, beginning(id), unit), (socket, head) => {
        const isOther = requestIdOf(head) !== 'bad'
        socket.write(isOther ? `${streamHead(requestIdOf(head))}0\r\n\r\n` : `${streamHead(requestIdOf(head))}${events(4, 6).map(chunk).join('')}0\r\n\r\n`)
      })
      const startMs = performance.now()
      const response = await fixture.send('bad')
      expect(performance.now() - startMs).to.be.below(respondWithinMs)
      expect(response).to.include({ status: 200, isComplete: true })
      expect(response.body.match(/id: \d+\ndata: t\d+\n\n/g)).to.deep.equal(events(1, 6))
      await expectBounded()
    })

    it(`end at a limit and a stream that cannot resume does not look complete: ${name}`, async () => {
      await fixture.start([route({ kind: 'stream', timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, beginning(id), unit))
      const startMs = performance.now()
      const response = await fixture.send('bad')
      expect(performance.now() - startMs).to.be.below(respondWithinMs)
      expect(response).to.include({ status: 200, isComplete: false })
      expect(response.body.match(/id: \d+\ndata: t\d+\n\n/g)).to.deep.equal(events(1, 3))
      await expectBounded()
    })
  }

  it('wait for a slow client with one listener', async () => {
    // Guards against adding a drain listener for each event while the client is slow.
    await fixture.start([route({ kind: 'stream', timeoutMs: 20_000 })])
    const texts = Array.from({ length: 100_000 }, (_, index) => chunk(event(index + 1))).join('')
    await fixture.addServer('a', (socket, head) => { socket.write(`${streamHead(requestIdOf(head))}${texts}0\r\n\r\n`) })
    let warnings = 0
    const onWarning = ({ name }: Error) => { if (name === 'MaxListenersExceededWarning') warnings++ }
    process.on('warning', onWarning)
    const response = await fixture.send('id1', {
      onResponse: incoming => {
        incoming.pause()
        setTimeout(() => incoming.resume(), 200)
      }
    })
    await new Promise(resolve => setImmediate(resolve))
    process.off('warning', onWarning)
    expect(response.isComplete).to.equal(true)
    expect(response.body.match(/id: \d+/g)).to.have.length(100_000)
    expect(warnings).to.equal(0)
  })

  for (const [name, text] of [['comment lines', ': x\n\n'], ['events without ID', 'data: x\n\n'], ['events that were already forwarded', event(2)], ['an event', 'data: x']] as const) {
    it(`in small chunks do not count as progress of a stream: ${name}`, async () => {
      // Guards against a stream that stays on a server which sends no new events.
      await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 6000 })])
      const pieces = chunk(text)
      await addServers(socket => {
        socket.write(streamHead('bad') + events(1, 3).map(chunk).join(''))
        const timer = setInterval(() => socket.write(pieces), 50)
        socket.on('close', () => clearInterval(timer))
        return undefined
      }, (socket, head) => { socket.write(`${streamHead(requestIdOf(head))}${events(4, 6).map(chunk).join('')}0\r\n\r\n`) })
      const startMs = performance.now()
      const response = await fixture.send('bad')
      expect(performance.now() - startMs).to.be.below(2000)
      expect(response.isComplete).to.equal(true)
      expect(response.body.match(/id: \d+\ndata: t\d+\n\n/g)).to.deep.equal(events(1, 6))
    })
  }

  it('in small chunks count as a failure of the server: a stream that cannot resume', async () => {
    await fixture.start([route({ kind: 'stream', timeoutMs: 1500 })])
    await addServers(socket => {
      socket.write(streamHead('bad') + chunk(event(1)))
      const timer = setInterval(() => socket.write(chunk(': x\n\n')), 50)
      socket.on('close', () => clearInterval(timer))
      return undefined
    })
    expect((await fixture.send('bad')).isComplete).to.equal(false)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare).to.be.above(0)
  })

  it('in small chunks count as a failure of the server: a body', async () => {
    // Guards against sending further requests to a server that starts responses and never completes them.
    await fixture.start([route({ timeoutMs: 500 })])
    await addServers(socket => {
      sendSlowly(socket, `HTTP/1.1 200 OK\r\n${signedHeaders('bad')}\r\n`, 'x')
      return undefined
    })
    expect((await fixture.send('bad')).status).to.equal(504)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare).to.be.above(0)
  })

  it('in small chunks are no failure of a server whose stream makes progress', async () => {
    await fixture.start([route({ kind: 'stream', timeoutMs: 1500 })])
    await addServers(socket => {
      let id = 0
      socket.write(streamHead('bad'))
      const timer = setInterval(() => socket.write(chunk(event(++id))), 50)
      socket.on('close', () => clearInterval(timer))
      return undefined
    })
    expect((await fixture.send('bad')).isComplete).to.equal(false)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare).to.equal(0)
  })

  for (const [name, prefix, text] of [['a head', '', `HTTP/1.1 200 OK\r\n${'X-A: b\r\n'.repeat(10)}`], ['interim responses', '', 'HTTP/1.1 103 A\r\n\r\n'], ['skipped responses', '', 'HTTP/1.1 204\r\nX-Attempt-Id:o\r\n\r\n']] as const) {
    it(`byte by byte do not count as progress of a plain request: ${name}`, async () => {
      await fixture.start([route({ kind: 'idempotent', objectiveMs: 100 })])
      await addServers(socket => {
        sendSlowly(socket, prefix, text)
        return undefined
      })
      const startMs = performance.now()
      expect(await fixture.send('bad', { method: 'GET' })).to.include({ status: 200, body: 'ok' })
      expect(performance.now() - startMs).to.be.below(1000)
    })

    it(`byte by byte end at the deadline of an unsafe request: ${name}`, async () => {
      await fixture.start([route({ timeoutMs: 500 })])
      await addServers(socket => {
        sendSlowly(socket, prefix, text)
        return undefined
      })
      const startMs = performance.now()
      expect((await fixture.send('bad')).status).to.equal(504)
      expect(performance.now() - startMs).to.be.below(1000)
    })
  }

  it('are split into events in linear time', () => {
    // Guards against searching the whole buffer for each chunk or each event.
    const splitter = new EventSplitter()
    const startMs = performance.now()
    for (let sent = 0; sent < 256 * 1024; sent++) splitter.push(Buffer.from('x'))
    splitter.push(Buffer.from('\n\n'))
    expect(splitter.push(Buffer.from(':\n\n'.repeat(100_000)))).to.have.length(100_000)
    expect(performance.now() - startMs).to.be.below(2000)
  })

  for (const { name, prefix, unit } of plainCases) {
    it(`do not block queries and commands to an engine: ${name}`, async () => {
      await fixture.addServer('a', socket => { floods.push(new Flood(socket, prefix('x'), unit)) })
      const server = fixture.fleet.servers.get('a')!
      const calls = new EngineClient(new SystemClock(), codecs)
      const startMs = performance.now()
      expect(await calls.queryState(server)).to.equal(undefined)
      expect(await calls.sendCommand(server, { action: 'load', model: 'm', expectedCommandCount: 0, holder: 'h', fence: 1 })).to.equal('unknown')
      expect(performance.now() - startMs).to.be.below(respondWithinMs)
      for (const flood of floods) {
        expect(await within(closeWithinMs, flood.closed)).to.equal(true)
        expect(flood.acceptedBytes, 'bytes accepted').to.be.below(boundedBytes)
      }
      expect(monitor.stop()).to.be.below(maxBlockMs)
    })
  }
})

describe('endless bytes', () => {
  let server: Server
  let floods: Flood[]
  let monitor: EventLoopMonitor
  let prefix: string
  let unit: string

  beforeEach(async () => {
    floods = []
    monitor = new EventLoopMonitor()
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => floods.push(new Flood(socket, prefix, unit)))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => {
    monitor.stop()
    return server.close()
  })
  const port = () => (server.address() as AddressInfo).port

  const expectBounded = async (flood: Flood) => {
    expect(await within(closeWithinMs, flood.closed), 'the connection is closed').to.equal(true)
    expect(flood.acceptedBytes, 'bytes accepted').to.be.below(boundedBytes)
    expect(monitor.stop(), 'longest event-loop iteration, in ms of CPU time').to.be.below(maxBlockMs)
  }

  const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
  const responses = [
    ['a head', 'HTTP/1.1 200 OK\r\n', 'X-A: b\r\n'],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    ['a chunked body', chunkedHead, chunk('x'.repeat(1000))],
    ['a body in chunks of one byte', chunkedHead, chunk('x')],
    ['a chunk size', chunkedHead, '0'],
    ['a chunk extension', `${chunkedHead}1;`, 'x'],
    ['chunks of one byte with long extensions', chunkedHead, `1;${'x'.repeat(1000)}\r\nx\r\n`],
    ['a body without length', 'HTTP/1.1 200 OK\r\n\r\n', 'x'],
    ['trailers', `${chunkedHead}0\r\n`, 'X-A: b\r\n']
  ] as const
  for (const [name, first, rest] of responses) {
    it(`from the store end at a limit: ${name}`, async () => {
      [prefix, unit] = [first, rest]
      const client = new StoreClient(`127.0.0.1:${port()}`, new SystemClock())
      const startMs = performance.now()
      const error = await client.grantLease(1000).then(() => undefined, (failure: unknown) => failure)
      expect(error).to.be.instanceOf(UnknownOutcomeError)
      expect(performance.now() - startMs).to.be.below(2500)
      await expectBounded(floods[0]!)
      await client.close()
    })
  }

  for (const [name, first, rest] of responses) {
    it(`of a call end at a limit that does not depend on time: ${name}`, async () => {
      // Guards against a limit on the body alone: endless framing would be read until the call times out.
      [prefix, unit] = [first, rest]
      const caller = new HttpCaller('server', `127.0.0.1:${port()}`, new SystemClock())
      const error = await caller.answer('/', { timeoutMs: callTimeoutMs }).then(() => undefined, (failure: unknown) => failure)
      expect(error).to.be.instanceOf(UnknownOutcomeError)
      expect((error as Error).message).not.to.contain('did not finish')
      await expectBounded(floods[0]!)
      await caller.close()
    })
  }

  it('are limited per response, not per connection', async () => {
    const body = 'x'.repeat(6 * 1024 * 1024)
    const sockets = new Set<Socket>()
    const healthy = createServer(socket => {
      sockets.add(socket)
      socket.on('data', () => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`))
    })
    await new Promise<void>(resolve => healthy.listen(0, '127.0.0.1', resolve))
    const caller = new HttpCaller('server', `127.0.0.1:${(healthy.address() as AddressInfo).port}`, new SystemClock())
    for (let count = 0; count < 10; count++) expect((await caller.answer('/', { timeoutMs: callTimeoutMs })).text).to.have.length(body.length)
    expect(sockets.size).to.be.below(4)
    await caller.close()
    healthy.close()
  })

  for (const [name, first, rest] of [
    ['an event', chunkedHead, chunk('x'.repeat(1000))],
    ['an event in chunks of one byte', chunkedHead, chunk('x')],
    ['empty lines', chunkedHead, chunk('\n'.repeat(1000))],
    ['a chunk extension', `${chunkedHead}1;`, 'x'],
    ['the text of an error response', chunkedHead.replace('200 OK', '500 Failed'), chunk('x'.repeat(1000))]
  ] as const) {
    it(`of an engine stream end at a limit: ${name}`, async () => {
      // Guards against a stream that exhausts the node's memory, or is read forever.
      [prefix, unit] = [first, rest]
      const engine = new HttpEngine({ engine: 'e', address: `127.0.0.1:${port()}`, clock: new SystemClock() })
      const error = await engine.resume('r', 0, { attemptId: 'a' })[Symbol.asyncIterator]().next().then(() => undefined, (failure: unknown) => failure)
      expect(error).to.be.instanceOf(CallError)
      expect(await within(closeWithinMs, floods[0]!.closed), 'the connection is closed').to.equal(true)
      expect(floods[0]!.acceptedBytes, 'bytes accepted').to.be.below(streamBoundedBytes)
      expect(monitor.stop(), 'longest event-loop iteration, in ms of CPU time').to.be.below(maxBlockMs)
      await engine.close()
    })
  }

  for (const [name, bytes] of [['no frame', 'x'], ['a frame', '\x00\x1f\xff\xff']] as const) {
    it(`from a peer end at a limit: ${name}`, async () => {
      let joined = 0
      const peers = new PeerServer({ clock: new SystemClock(), log: silentLog, onMessage: () => {}, onJoined: () => { joined++ } })
      await peers.listen('127.0.0.1', 0)
      const { port: peerPort } = (peers as unknown as { server: Server }).server.address() as AddressInfo
      const toServer = new Flood(connect(peerPort, '127.0.0.1'), bytes, 'x')
      await within(closeWithinMs, toServer.closed)
      expect(joined).to.equal(1)
      await expectBounded(toServer)
      peers.stop()

      const flooder = createServer(socket => { floods.push(new Flood(socket, bytes, 'x')) })
      await new Promise<void>(resolve => flooder.listen(0, '127.0.0.1', resolve))
      const link = new LeaderLink({ clock: new SystemClock(), log: silentLog, onMessage: () => {}, onConnected: () => {}, onLost: () => {} })
      link.setLeader({ host: '127.0.0.1', port: (flooder.address() as AddressInfo).port })
      await new Promise(resolve => setTimeout(resolve, 100))
      await expectBounded(floods[0]!)
      link.stop()
      flooder.close()
    })
  }
})
