import type { Socket } from 'node:net'
import { expect } from 'chai'
import { blockEventLoop } from './fixtures/blockEventLoop.js'
import { responseTo, chunk, requestIdOf, RequestProxyFixture, route, signedHeaders } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

let fixture: RequestProxyFixture

const ok: Script = (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) }
const reset: Script = socket => { socket.resetAndDestroy() }
const shed: Script = socket => { socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n') }
const unresponsive: Script = () => {}

const streamHead = (head: string) => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`

/** Streams events up to `last`, resuming after `Last-Event-Id`, and calls `finish` after event `until` or the last one. */
function stream (last: number, { until = Infinity, finish = (socket: { end (text: string): void }) => { socket.end('0\r\n\r\n') } } = {}): Script {
  return (socket, head) => {
    let text = streamHead(head)
    const from = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0) + 1
    for (let id = from; id <= Math.min(last, until); id++) text += chunk(event(id))
    socket.write(text, () => setTimeout(() => finish(socket), 20))
  }
}

/** An engine type whose only model takes nine seconds to load. */
const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 9000, warmLoadMs: 9000, diskLoadMs: 9000, adapterMb: 1 }] }

/** Streams `before` events, stalls for `pauseMs` and continues to the end. */
function pausing (last: number, { before, pauseMs }: { before: number, pauseMs: number }): Script {
  return (socket, head) => {
    const from = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0)
    const chunks = (first: number, to: number) => Array.from({ length: to - first }, (_, index) => chunk(event(first + index + 1))).join('')
    socket.write(streamHead(head) + chunks(from, from + before))
    setTimeout(() => { if (!socket.destroyed) socket.write(`${chunks(from + before, last)}0\r\n\r\n`) }, pauseMs)
  }
}

/** A stream whose clients leave after 2 s without an event, so that a failover target is searched for after 0.8 s. */
const shortPatienceRoute = () => route({ kind: 'stream', resumable: true, objectiveMs: 50, timeoutMs: 20_000 })
const withModel = { models: [{ name: 'm', adapters: [] }] }
const forModel = { headers: { 'x-model': 'm' } }
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs))

/** A request as a client writes it on a persistent connection. */
const requestText = (id: string) => `POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`

async function until (condition: () => boolean, what: string): Promise<void> {
  for (let tries = 0; !condition(); tries++) {
    if (tries === 200) expect.fail(`not observed within a second: ${what}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

const events = (last: number) => Array.from({ length: last }, (_, index) => event(index + 1)).join('')

describe('request proxy of a busy node', () => {
  it('discards requests whose clients left before their connections were accepted', async () => {
    // Failure: connections are accepted one in each turn of the event loop. The last clients in the queue had closed theirs, and engines got their requests.
    fixture = new RequestProxyFixture({ loopDelayMs: () => 0 })
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    for (let index = 0; index < 20; index++) {
      fixture.connect().socket.end(`POST / HTTP/1.1\r\nHost: h\r\n${signedHeaders(`id${index}`)}Content-Length: 1\r\n\r\nx`)
    }
    await new Promise(resolve => setTimeout(resolve, 500))
    fixture.stop()
    // The first ones are read before their clients leave.
    expect(fixture.received.length).to.be.below(8)
  })
})

describe('request proxy', () => {
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  it('passes on status, body and signature unchanged', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'made', '201 Created')) })
    const response = await fixture.send('id1')
    expect(response).to.include({ status: 201, body: 'made', isComplete: true })
    expect(response.headers['x-server-stamp']).to.equal('s1')
    expect(fixture.received[0]!.head).to.include('X-Expect-Instance: a')
  })

  it('does not retry an unsafe request that was sent', async () => {
    // Guards against a request that runs twice.
    await fixture.start([route()])
    await fixture.addServer('a', reset)
    await fixture.addServer('b', reset)
    expect(await fixture.send('id1')).to.include({ status: 502 })
    expect(fixture.received).to.have.length(1)
  })

  // Guards against one odd entry of the list of servers, after which three in four requests got no answer.
  for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '999.0.0.1:80', 'nowhere', '127.0.0.1:NaN']) {
    it(`serves all requests beside an entry with the address ${address}`, async () => {
      await fixture.start([route()])
      for (const id of ['a', 'b']) await fixture.addServer(id, ok)
      fixture.fleet.put({ id: 'odd', service: 's', address, availabilityZone: 'z', slots: 4, isDraining: false, models: [], modelsInMemory: [], modelsOnDisk: [] })
      const responses = await Promise.all(Array.from({ length: 12 }, (_, index) => fixture.send(`id${index}`)))
      expect(responses.map(({ status }) => status)).to.deep.equal(Array(12).fill(200))
    })
  }

  // Guards against a cut stream that ends the next engine too before anybody knows why.
  it('does not send a request on after two engines have ended under it', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true, maxAttempts: 3 })])
    const end: Script = socket => {
      fixture.closeListeners()
      socket.resetAndDestroy()
    }
    for (const id of ['a', 'b', 'c']) await fixture.addServer(id, end)
    // The connections to the others are open before their listeners close.
    for (const server of fixture.fleet.ofService('s')) server.pool.release((await server.pool.connect())!)
    const response = await fixture.send('id1', { headers: { 'x-prompt-prefix': 'aa:1,dd:1,e1:1' } })
    expect(response.status).to.equal(502)
    expect(fixture.received).to.have.length(2)
    expect(fixture.quarantine.check([{ id: 'dd' }])).to.include({ kind: 'suspect', ends: 2 })
  })

  it('answers a request whose handling throws', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    Object.assign(fixture.fleet, { ofService: () => { throw new Error('a fault') } })
    expect(await fixture.send('id1')).to.include({ status: 502, isComplete: true })
  })

  it('answers a request whose route has no target like one without a service', async () => {
    // Guards against an exception for each request of a split whose weights are all 0: its 502 leaves open whether the request has run.
    await fixture.start([route({ targets: [] })])
    await fixture.addServer('a', ok)
    const unknown = new RequestProxyFixture()
    await unknown.start([route({ targets: [{ service: 'none', weight: 1 }] })])
    const { status, body, headers } = await unknown.send('id1')
    const response = await fixture.send('id1')
    expect(response).to.include({ status: 503, body })
    expect([status, headers['retry-after']]).to.deep.equal([503, response.headers['retry-after']])
    expect([fixture, unknown].flatMap(({ proxyLines }) => proxyLines.map(({ fields }) => fields.reason))).to.deep.equal(['no target of the split has a weight', 'unknown service "none"'])
    unknown.stop()
  })

  it('retries an unsafe request that did not run', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head, count) => (fixture.received.length === 1 ? shed : ok)(socket, head, count))
    await fixture.addServer('b', (socket, head, count) => (fixture.received.length === 1 ? shed : ok)(socket, head, count))
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
    expect(fixture.received).to.have.length(2)
  })

  it('retries after a rejection whose body is cut off', async () => {
    // Guards against a 502 for a request that the server said it did not run.
    await fixture.start([route()])
    const cut: Script = socket => {
      socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nbu', () => setTimeout(() => socket.resetAndDestroy(), 20))
    }
    const script: Script = (socket, head, count) => (fixture.received.length === 1 ? cut : ok)(socket, head, count)
    await fixture.addServer('a', script)
    await fixture.addServer('b', script)
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
    expect(fixture.received).to.have.length(2)
  })

  it('responds with 503 only if no attempt may have run', async () => {
    // Guards against a 503 after an attempt of unknown outcome.
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
    await fixture.addServer('a', (socket, head, count) => (fixture.received.length === 1 ? reset : shed)(socket, head, count))
    await fixture.addServer('b', (socket, head, count) => (fixture.received.length === 1 ? reset : shed)(socket, head, count))
    expect((await fixture.send('id1')).status).to.equal(502)
    expect(fixture.received).to.have.length(2)
  })

  it('tries at most as many servers as the route allows', async () => {
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
    for (const id of ['a', 'b', 'c']) await fixture.addServer(id, reset)
    await fixture.send('id1')
    expect(fixture.received).to.have.length(2)
  })

  it('responds at once with Retry-After when there is no server', async () => {
    await fixture.start([route()])
    const response = await fixture.send('id1')
    expect(response.status).to.equal(503)
    expect(Number(response.headers['retry-after'])).to.be.within(0, 1)
  })

  it('skips a response to an earlier request', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo('other', 'wrong') + responseTo(requestIdOf(head), 'right')) })
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'right' })
  })

  it('does not reuse a connection after unsolicited bytes', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok') + responseTo('ghost', 'ghost')) })
    expect((await fixture.send('id1')).body).to.equal('ok')
    expect((await fixture.send('id2')).body).to.equal('ok')
  })

  it('rejects a successful response without a signature or with an encoded body', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head, count) => {
      const extra = count === 1 ? '' : 'X-Server-Stamp: s\r\nContent-Encoding: gzip\r\n'
      socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestIdOf(head)}\r\n${extra}Content-Length: 2\r\n\r\nok`)
    })
    expect((await fixture.send('id1')).status).to.equal(502)
    expect((await fixture.send('id2')).status).to.equal(502)
  })

  it('rejects a response head that cannot be written to the client', async () => {
    // Guards against an uncaught error while the head is written to the client, which ended the process.
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
    const heads = ['200 OK\r\nX-A: a\x01b', '200 OK\r\nX-A: a\nX-B: b', '200 OK\r\nX(A: b', '200 OK\r\n: b', '200 OK\r\nX-A', '099 OK', '200 O\x01K', '200 OK\r\nX-A: \x7f']
    const script: Script = (socket, head) => {
      const bad = heads[Number(requestIdOf(head))]!
      if (fixture.received.length === 1) socket.write(`HTTP/1.1 ${bad}\r\n${signedHeaders(requestIdOf(head))}Content-Length: 2\r\n\r\nno`, 'latin1')
      else ok(socket, head, 0)
    }
    await fixture.addServer('a', script)
    await fixture.addServer('b', script)
    for (const id of heads.keys()) {
      fixture.received.splice(0)
      expect(await fixture.send(String(id), { method: 'GET' }), heads[id]).to.include({ status: 200, body: 'ok' })
      expect(fixture.received, heads[id]).to.have.length(2)
    }
  })

  it('passes on heads with all allowed characters', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => {
      socket.write(`HTTP/1.1 200 \xe4 b\r\n${signedHeaders(requestIdOf(head))}x!#$%&'*+.^_\`|~-9: \xe4\t"(),;\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok`, 'latin1')
    })
    const response = await fixture.send('id1')
    expect(response).to.include({ status: 200, body: 'ok' })
    expect(response.headers).to.include({ "x!#$%&'*+.^_`|~-9": '\xe4\t"(),;', 'x-empty': '' })
  })

  it('treats a reset within a body without length as a failure', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => {
      socket.write(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\npart`, () => setTimeout(() => socket.resetAndDestroy(), 20))
    })
    expect((await fixture.send('id1')).status).to.equal(502)
  })

  it('completes a body without length only if its server has not exited', async () => {
    // Guards against mistaking the exit of a server for the end of its response.
    await fixture.start([route({ maxAttempts: 1 })])
    const script: Script = (socket, head, count) => {
      socket.write(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\npart`, () => {
        if (count === 2) fixture.endServers()
        else socket.end()
      })
    }
    await fixture.addServer('a', script)
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'part' })
    expect((await fixture.send('id2')).status).to.equal(502)
  })

  it('does not add a length to a response without one', async () => {
    // Guards against declaring a body complete that may be truncated: a server may stop within it and close the connection normally.
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\npart`) })
    const response = await fixture.send('id1', { headers: { connection: 'keep-alive' } })
    expect(response).to.include({ status: 200, body: 'part' })
    expect(response.headers).to.include({ connection: 'close' })
    expect(response.headers).not.to.have.any.keys('content-length', 'transfer-encoding')
  })

  it('responds at the timeout of the route and forwards the remaining time', async () => {
    await fixture.start([route({ timeoutMs: 150 })])
    await fixture.addServer('a', unresponsive)
    const response = await fixture.send('id1', { headers: { 'x-deadline-ms': '5000' } })
    expect(response.status).to.equal(504)
    expect(Number(/x-deadline-ms: (\d+)/i.exec(fixture.received[0]!.head)![1])).to.be.within(1, 150)
  })

  it('passes on a response that arrived in time but was read late', async () => {
    // Guards against checking the deadline before reading data that arrived while the event loop was blocked.
    await fixture.start([route({ timeoutMs: 150 })])
    await fixture.addServer('a', (socket, head) => {
      socket.write(responseTo(requestIdOf(head), 'ok'))
      blockEventLoop(200)
    })
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
  })

  it('does not time out a connection that was accepted while the event loop was blocked', async () => {
    // Guards against the connect timeout firing before the connect event is processed.
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    const { pool } = fixture.fleet.servers.get('a')!
    const acquire = pool.acquire.bind(pool)
    pool.acquire = () => {
      // Right after the connection was opened.
      process.nextTick(() => blockEventLoop(1100))
      return acquire()
    }
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
  })

  it('fails over an idempotent request when its server is unresponsive', async () => {
    await fixture.start([route({ kind: 'idempotent', objectiveMs: 50 })])
    const first: Script = (socket, head, count) => (fixture.received.length === 1 ? unresponsive : ok)(socket, head, count)
    await fixture.addServer('a', first)
    await fixture.addServer('b', first)
    expect(await fixture.send('id1', { method: 'GET' })).to.include({ status: 200 })
    expect(new Set(fixture.received.map(({ server }) => server)).size).to.equal(2)
  })

  it('waits for the only server although it is unresponsive', async () => {
    await fixture.start([route({ kind: 'idempotent', objectiveMs: 20 })])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(responseTo(requestIdOf(head), 'late')), 200) })
    expect(await fixture.send('id1', { method: 'GET' })).to.include({ status: 200, body: 'late' })
  })

  it('resumes a stream on another engine after the last complete event', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    const cutInEvent = (socket: { end (text: string): void, destroy? (): void }) => { socket.end(chunk('id: 4\nda')) }
    const script: Script = (socket, head, count) => (fixture.received.length === 1 ? stream(6, { until: 3, finish: cutInEvent }) : stream(6))(socket, head, count)
    await fixture.addServer('a', script)
    await fixture.addServer('b', script)
    expect(await fixture.send('id1')).to.include({ status: 200, body: events(6), isComplete: true })
    expect(fixture.received[1]!.head).to.match(/last-event-id: 3/i)
  })

  // The next six tests guard against aborting a response that an engine could still finish (LOST).
  it('keeps an unresponsive engine while the leader names no other', async () => {
    // Guards against abandoning an engine before a slot on another one is reserved.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', stream(6), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = { kind: 'wait', forMs: 50 }
    expect(await response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received).to.have.length(1)
  })

  it('fails over only as many streams as another engine accepts', async () => {
    // Guards against several streams that rely on the same free slot.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', pausing(6, { before: 3, pauseMs: 1500 }), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const responses = ['id1', 'id2', 'id3'].map(id => fixture.send(id, forModel))
    await wait(200)
    fixture.leaderDecision = undefined
    fixture.fleet.servers.get('b')!.runningElsewhere = engine.slots - 1
    for (const response of await Promise.all(responses)) expect(response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.map(({ server }) => server)).to.have.members(['a', 'a', 'a', 'b'])
  })

  it('keeps an unresponsive engine when the retry budget is used up', async () => {
    // Guards against a retry that is seen in the budget, taken by another request, and missing once the engine is abandoned.
    const streams = 10
    await fixture.start([shortPatienceRoute()], { engine: { ...engine, slots: 64 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', stream(6), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const responses = Array.from({ length: streams }, (_, index) => fixture.send(`id${index}`, forModel))
    await wait(200)
    fixture.leaderDecision = undefined
    for (const response of await Promise.all(responses)) expect(response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.length).to.be.within(streams + 1, streams + 8)
  })

  it('keeps an unresponsive engine while another accepts no connection', async () => {
    // Guards against a failover to an engine that is down but not yet known to be.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', stream(6), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = undefined
    fixture.closeListeners()
    expect(await response).to.include({ body: events(6), isComplete: true })
  })

  it('keeps an unresponsive engine while another resets new connections', async () => {
    // Guards against relying on a connection that was just accepted: a server with too many connections resets it right after.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', stream(6), { ...withModel, address: `127.0.0.1:${await fixture.addResettingServer(10)}` })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    expect(await response).to.include({ body: events(6), isComplete: true })
  })

  it('reserves a free slot for only one of several streams dispatched to it at once', async () => {
    // Guards against a race in which several streams see the slot free before one of them is counted.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', pausing(6, { before: 3, pauseMs: 1500 }), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const responses = ['id1', 'id2', 'id3'].map(id => fixture.send(id, forModel))
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    fixture.batchesReplies = true
    fixture.fleet.servers.get('b')!.runningElsewhere = engine.slots - 1
    for (const response of await Promise.all(responses)) expect(response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.filter(({ server }) => server === 'b')).to.have.length(1)
  })

  it('keeps an unresponsive engine when the other one starts to unload the model', async () => {
    // Guards against a failover to an engine that responds that it does not hold the model.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', stream(6), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    const other = fixture.fleet.servers.get('b')!
    const connect = other.pool.connect.bind(other.pool)
    other.pool.connect = () => {
      other.replicas.get('m')!.isUnloading = true
      return connect()
    }
    expect(await response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received).to.have.length(1)
    expect(other.running).to.equal(0)
  })

  it('reads pending data before an engine counts as unresponsive', async () => {
    // Guards against mistaking a blocked event loop for a stalled stream: the event has arrived but is unread.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head) + chunk(event(1)))
      setTimeout(() => {
        socket.write(`${chunk(event(2))}0\r\n\r\n`)
        setImmediate(() => blockEventLoop(600))
      }, 400)
    }, withModel)
    await fixture.addServer('b', stream(2), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    expect(await fixture.send('id1', forModel)).to.include({ body: events(2), isComplete: true })
    expect(fixture.received).to.have.length(1)
  })

  it('does not treat an engine as unresponsive when its client reads slowly', async () => {
    // Guards against abandoning an engine, and counting a failure, because this node has paused reading from it.
    await fixture.start([shortPatienceRoute()], { engine })
    let arrivals = 0
    const flowing: Script = (socket, head) => {
      arrivals++
      socket.write(streamHead(head))
      const padding = 'x'.repeat(20_000)
      for (let id = 1; id <= 1000; id++) socket.write(chunk(`id: ${id}\ndata: ${padding}\n\n`))
    }
    await fixture.addServer('a', flowing, withModel)
    await fixture.addServer('b', flowing, withModel)
    await new Promise<void>(resolve => {
      void fixture.send('id1', {
        ...forModel,
        onResponse: response => {
          response.pause()
          setTimeout(() => {
            response.destroy()
            resolve()
          }, 1500)
        }
      })
    })
    expect(arrivals).to.equal(1)
  })

  it('does not fail over a stream to the engine that is serving it', async () => {
    // Guards against an engine that is tried again and then counts as a failover target for its own stream when it stalls.
    await fixture.start([{ ...shortPatienceRoute(), maxAttempts: 8 }], { engine })
    let runs = 0
    const twice: Script = (socket, head, count) => {
      if (runs++ === 0) socket.write(streamHead(head) + chunk(event(1)))
      else setTimeout(() => stream(3)(socket, head, count), 1200)
    }
    await fixture.addServer('a', twice, withModel)
    await fixture.addServer('b', (socket, head, count) => {
      fixture.fleet.servers.get('b')!.runningElsewhere = engine.slots
      shed(socket, head, count)
    }, withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = undefined
    expect(await response).to.include({ body: events(3), isComplete: true })
    expect(runs).to.equal(2)
  })

  it('keeps an unresponsive engine while another rejects the reservation', async () => {
    // Guards against a failover to an engine that has less free capacity than the nodes know and rejects the stream.
    await fixture.start([shortPatienceRoute()], { engine: { ...engine, maxReservationMs: 2000 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), withModel)
    await fixture.addServer('b', shed, withModel, { reservationResponse: () => 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n' })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    expect(await response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received).to.have.length(1)
    expect(fixture.reservationCalls).not.to.have.length(0)
    expect(fixture.fleet.servers.get('b')!.running).to.equal(0)
  })

  it('fails over to the slot that an engine has reserved', async () => {
    await fixture.start([shortPatienceRoute()], { engine: { ...engine, maxReservationMs: 2000 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1900 }), withModel)
    await fixture.addServer('b', stream(6), withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', { headers: { ...forModel.headers, 'x-token-count': '100,20', 'x-hold': 'not-mine' } })
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    expect(await response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a', 'b'])
    expect(fixture.received[1]!.head).to.match(/^x-hold: h1$/im)
    expect(fixture.received[1]!.head).not.to.include('not-mine')
    expect(fixture.reservationCalls).to.have.length(1)
  })

  it('uses a reservation whose response arrived while the event loop was blocked', async () => {
    // Guards against a timeout that runs before the response is read: the slot is lost and a second one reserved.
    await fixture.start([shortPatienceRoute()], { engine: { ...engine, maxReservationMs: 2000 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1900 }), withModel)
    await fixture.addServer('b', stream(6), withModel, {
      reservationResponse: () => {
        setImmediate(() => blockEventLoop(450))
        return 'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"hold": "h1"}'
      }
    })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    expect(await response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a', 'b'])
    expect(fixture.reservationCalls).to.have.length(1)
  })

  it('releases a reservation when the stalled engine resumes meanwhile', async () => {
    // Guards against reserved slots that nobody uses.
    await fixture.start([shortPatienceRoute()], { engine: { ...engine, maxReservationMs: 2000 } })
    let goOn = () => {}
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head) + chunk(event(1)))
      goOn = () => { socket.write(`${chunk(event(2))}0\r\n\r\n`) }
    }, withModel)
    await fixture.addServer('b', stream(2), withModel, {
      reservationResponse: head => {
        if (head.startsWith('POST')) goOn()
        return head.startsWith('POST') ? 'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"hold": "h1"}' : 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
      }
    })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    expect(await response).to.include({ body: events(2), isComplete: true })
    await wait(100)
    expect(fixture.received).to.have.length(1)
    expect(fixture.reservationCalls.at(-1)!.head).to.match(/^DELETE \/hold-drop\/h1 /)
    expect(fixture.fleet.servers.get('b')!.running).to.equal(0)
  })

  it('returns to an unresponsive engine when the other one rejects the stream', async () => {
    // Guards against a failover that ends the response because its target had less free capacity than known.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 900 }), withModel)
    await fixture.addServer('b', shed, withModel)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderDecision = undefined
    expect(await response).to.include({ body: events(6), isComplete: true })
    expect(fixture.received[1]!.server).to.equal('b')
    expect(fixture.received.at(-1)!.server).to.equal('a')
    expect(fixture.received.at(-1)!.head).to.match(/last-event-id: 3/i)
  })

  it('waits for another engine as long as the client of a stream waits for the next event', async () => {
    // Guards against counting the wait from the arrival of a request whose response has already started.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head))
      for (let id = 1; id <= 6; id++) setTimeout(() => socket.write(chunk(event(id))), id * 300)
      setTimeout(() => socket.destroy(), 1900)
    }, withModel)
    await fixture.addServer('b', stream(9), withModel)
    const other = fixture.fleet.servers.get('b')!
    other.runningElsewhere = engine.slots
    setTimeout(() => { other.runningElsewhere = 0 }, 2600)
    expect(await fixture.send('id1', forModel)).to.include({ body: events(9), isComplete: true })
  })

  it('keeps searching for another engine for a started stream when the node shuts down', async () => {
    // Guards against a shutdown that ends a response which another engine could finish.
    await fixture.start([shortPatienceRoute()], { engine })
    await fixture.addServer('a', stream(6, { until: 3, finish: socket => (socket as unknown as { destroy (): void }).destroy() }), withModel)
    await fixture.addServer('b', stream(6), withModel)
    const other = fixture.fleet.servers.get('b')!
    other.runningElsewhere = engine.slots
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await wait(200)
    fixture.proxy.closeConnections()
    fixture.proxy.refuseRequests()
    fixture.leaderDecision = undefined
    setTimeout(() => { other.runningElsewhere = 0 }, 300)
    expect(await response).to.include({ body: events(6), isComplete: true })
  })

  it('does not let a truncated stream look complete', async () => {
    await fixture.start([route({ kind: 'stream', resumable: false })])
    await fixture.addServer('a', stream(6, { until: 3, finish: socket => (socket as unknown as { destroy (): void }).destroy() }))
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: false })
    expect(fixture.received).to.have.length(1)
  })

  // Guards against sound streams that are broken off because an event holds several tokens, or has no ID.
  const idCases: [string, string[], number][] = [
    ['by three', [3, 6, 9, 12, 15].map(id => `id: ${id}\ndata: t\n\n`), 3],
    ['by different amounts', [0, 1, 7, 8, 1000, '9007199254740993', '9007199254740994'].map(id => `id: ${id}\ndata: t\n\n`), 4],
    ['by one, far from the start', ['1733551333123456788', '1733551333123456789', '1733551333123456790'].map(id => `id: ${id}\n\n`), 1],
    ['with events without one between them', ['id: 1\n\n', 'data: a\n\n', 'id: 2\n\n', 'data: b\n\n', 'data: c\n\n', 'id: 4\n\n', 'data: [DONE]\n\n'], 4],
    ['with a last event without one that has come', ['id: 2\n\n', 'id: 4\n\n', 'data: [DONE]\n\n'], 3],
    ['with data before a late one', ['data: a\nid: 1\n\n', `data: ${'x'.repeat(300)}\nid: 2\n\n`, 'data: b\nid: 3\n\n'], 1]
  ]
  for (const [name, all, cutAt] of idCases) {
    for (const resumes of [true, false]) {
      it(`serves and continues streams whose IDs increase ${name}, at an engine that ${resumes ? 'resumes' : 'begins anew'}`, async () => {
        await fixture.start([route({ kind: 'stream', resumable: true })])
        const script: Script = (socket, head, count) => {
          const lastId = /last-event-id: (\d+)/i.exec(head)?.[1]
          const from = lastId === undefined || !resumes ? 0 : all.findLastIndex(text => new RegExp(`^id: ${lastId}$`, 'm').test(text)) + 1
          socket.write(streamHead(head))
          if (count === 1) socket.write(chunk(all.slice(0, cutAt).join('')), () => socket.destroy())
          else socket.write(`${all.slice(from).map(text => chunk(text)).join('')}0\r\n\r\n`)
        }
        let attempts = 0
        for (const id of ['a', 'b']) await fixture.addServer(id, (socket, head) => script(socket, head, ++attempts))
        expect(await fixture.send('id1')).to.include({ body: all.join(''), isComplete: true })
        expect(attempts).to.equal(2)
        expect(await fixture.send('id2')).to.include({ body: all.join(''), isComplete: true })
      })
    }
  }

  it('does not join events that may be the same ones', async () => {
    // Guards against a stream that holds pieces twice, or the whole of a second run.
    const text = ['data: a\n\n', 'data: b\n\n', 'data: c\n\n']
    await fixture.start([route({ kind: 'stream', resumable: true })])
    for (const id of ['a', 'b']) {
      await fixture.addServer(id, (socket, head) => {
        const isSecond = /last-event-id/i.test(head) || requestIdOf(head) === 'unnumbered'
        socket.write(streamHead(head))
        if (fixture.received.length % 2 === 1) socket.write(chunk(isSecond ? text[0]! : event(1)), () => socket.destroy())
        else socket.write(`${chunk(text.join(''))}0\r\n\r\n`)
      })
    }
    expect(await fixture.send('numbered')).to.include({ body: event(1), isComplete: false })
    expect(fixture.received).to.have.length(2)
    expect(await fixture.send('unnumbered')).to.include({ body: text[0], isComplete: false })
    expect(fixture.received).to.have.length(3)
  })

  it('closes the connection to the engine when the client leaves', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    let closed = () => {}
    const isClosed = new Promise<void>(resolve => { closed = resolve })
    await fixture.addServer('a', (socket, head) => {
      socket.on('close', closed)
      socket.write(streamHead(head) + chunk(event(1)))
    })
    await fixture.send('id1', { onResponse: response => response.once('data', () => response.destroy()) })
    await isClosed
    expect(fixture.received).to.have.length(1)
  })

  // Guards against requests that reach a server although their clients left before this process could read them.
  for (const [how, leave] of [['closed', (socket: Socket) => socket.destroySoon()], ['reset', (socket: Socket) => socket.resetAndDestroy()]] as const) {
    it(`does not forward requests read late from connections that their clients have ${how}`, async () => {
      await fixture.start([route({ kind: 'idempotent' })])
      await fixture.addServer('a', ok)
      const kept = fixture.connect()
      kept.socket.write(requestText('kept'))
      await until(() => kept.text().includes('ok'), 'the first response')
      const fresh = Array.from({ length: 8 }, () => fixture.connect())
      await Promise.all(fresh.map(({ socket }) => new Promise(resolve => socket.once('connect', resolve))))
      for (const [index, { socket }] of [kept, ...fresh].entries()) socket.write(requestText(`late${index}`), () => leave(socket))
      await new Promise(resolve => setImmediate(resolve))
      blockEventLoop(300)
      await wait(200)
      expect(fixture.received.map(({ head }) => requestIdOf(head))).to.deep.equal(['kept'])
    })
  }

  it('rejects a request body over the limit', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    expect((await fixture.send('id1', { body: 'x'.repeat(2000) })).status).to.equal(413)
    expect(fixture.received).to.have.length(0)
  })

  it('rejects a request head over the limit', async () => {
    // Guards against a limit that is not the configured one, and against a count that is off by some bytes.
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    fixture.proxy.setDeployment({ version: 2, routes: [route()], services: [{ name: 's', maxConnections: 50, engine: undefined }], limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 } })
    const headOf = (bytes: number) => {
      const start = 'POST /a?b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 1\r\nX-Long: '
      return `${start}${'x'.repeat(bytes - start.length - 4)}\r\n\r\n`
    }
    const { socket, text } = fixture.connect()
    socket.write(`${headOf(1001)}x${headOf(1000)}x${headOf(100).replace('\r\n\r\n', `${'\r\na: '.repeat(1000)}\r\n\r\n`)}x`)
    await until(() => text().split('HTTP/1.1 ').length === 4, 'three responses')
    expect(text().match(/HTTP\/1.1 \d+/g)).to.deep.equal(['HTTP/1.1 431', 'HTTP/1.1 200', 'HTTP/1.1 431'])
    expect(fixture.received).to.have.length(1)
  })

  it('serves a request sent while a response from before the shutdown ends', async () => {
    // Guards against forwarding a request whose connection cannot carry a response any more.
    await fixture.start([route({ kind: 'stream' })])
    await fixture.addServer('a', stream(2, { finish: socket => { setTimeout(() => socket.end('0\r\n\r\n'), 60) } }))
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1'))
    await until(() => text().includes('data: t2'), 'the first response')
    fixture.proxy.closeConnections()
    // The second request is sent right at the end of the first response.
    await until(() => text().endsWith('0\r\n\r\n'), 'the end of the first response')
    socket.write(requestText('id2'))
    await until(() => text().split('0\r\n\r\n').length === 3, 'the second response')
    expect(text().split('HTTP/1.1 200 OK')).to.have.length(3)
    expect(text().slice(text().indexOf('0\r\n\r\n')).toLowerCase()).to.include('connection: close')
    await until(() => socket.readableEnded, 'the end of the connection')
  })

  it('serves a request pipelined before the shutdown', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(responseTo(requestIdOf(head), `for ${requestIdOf(head)}`)), 60) })
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1') + requestText('id2'))
    await until(() => fixture.received.length > 0, 'the first request')
    fixture.proxy.closeConnections()
    await until(() => text().includes('for id1') && text().includes('for id2'), 'both responses')
    await until(() => socket.readableEnded, 'the end of the connection')
    expect(text().toLowerCase().split('connection: close')).to.have.length(2)
  })

  it('serves a request pipelined during the shutdown', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(responseTo(requestIdOf(head), `for ${requestIdOf(head)}`)), 60) })
    fixture.proxy.closeConnections()
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1'))
    await until(() => fixture.received.length > 0, 'the first request')
    socket.write(requestText('id2'))
    await until(() => text().includes('for id1') && text().includes('for id2'), 'both responses')
    await until(() => fixture.proxy.clients.active === 0, 'the end of both requests')
  })

  it('does not forward a request sent after a response with Connection: close has started', async () => {
    await fixture.start([route({ kind: 'stream' })])
    await fixture.addServer('a', stream(2, { finish: socket => { setTimeout(() => socket.end('0\r\n\r\n'), 60) } }))
    fixture.proxy.closeConnections()
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1'))
    await until(() => text().includes('data: t2'), 'the first response')
    socket.write(requestText('id2'))
    await until(() => text().endsWith('0\r\n\r\n') && socket.readableEnded, 'the end of the connection')
    await until(() => fixture.proxy.clients.active === 0, 'the end of both requests')
    expect(fixture.received).to.have.length(1)
  })

  it('does not forward a request behind a response that ends with its connection', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.end(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\npart`), 60) })
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1') + requestText('id2'))
    await until(() => text().endsWith('part') && socket.readableEnded, 'the end of the connection')
    await until(() => fixture.proxy.clients.active === 0, 'the end of both requests')
    expect(fixture.received).to.have.length(1)
  })

  it('rejects a request that waits for a model when the node shuts down', async () => {
    // Guards against a request that ends without any response.
    await fixture.start([route({ kind: 'stream', timeoutMs: 20_000, objectiveMs: 10_000 })], { engine })
    await fixture.addServer('a', ok)
    const response = fixture.send('id1', { headers: { 'x-model': 'm' } })
    setTimeout(() => fixture.proxy.refuseRequests(), 100)
    expect((await response).status).to.equal(503)
  })

  it('sends dispatch requests for a model that no engine holds', async () => {
    // Demand shifts to a model without a replica: the leader must know the demand before the first replica is ready.
    await fixture.start([route({ kind: 'stream', timeoutMs: 100 })], { engine })
    await fixture.addServer('a', ok)
    await fixture.send('id1', { headers: { 'x-model': 'm', 'x-token-count': '700,20' } })
    expect(fixture.dispatchRequests.filter(({ isFirst }) => isFirst)).to.have.length(1)
    expect(fixture.dispatchRequests[0]).to.include({ model: 'm', promptTokens: 700 })
  })

  it('closes connections after responses to requests from before the shutdown', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(responseTo(requestIdOf(head), 'ok')), 100) })
    let hasEnded = false
    const completed = fixture.send('id1', { headers: { connection: 'keep-alive' }, onResponse: response => response.socket.once('close', () => { hasEnded = true }) })
    setTimeout(() => fixture.proxy.closeConnections(), 30)
    expect((await completed).status).to.equal(200)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(hasEnded).to.equal(true)
  })
})
