import { expect } from 'chai'
import { blockFor } from './fixtures/heldUp.js'
import { answerOf, chunkOf, idOf, RelayFixture, route, stamped } from './fixtures/serving.js'
import type { Script } from './fixtures/serving.js'

let fixture: RelayFixture

const ok: Script = (socket, head) => { socket.write(answerOf(idOf(head), 'ok')) }
const reset: Script = socket => { socket.resetAndDestroy() }
const shed: Script = socket => { socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n') }
const silent: Script = () => {}

const streamHead = (head: string) => `HTTP/1.1 200 OK\r\n${stamped(idOf(head))}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`

/** A stream of events up to `last` that goes on after `Last-Event-Id`, and ends after `until` of them. */
function stream (last: number, { until = Infinity, finish = (socket: { end (text: string): void }) => { socket.end('0\r\n\r\n') } } = {}): Script {
  return (socket, head) => {
    let text = streamHead(head)
    const from = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0) + 1
    for (let id = from; id <= Math.min(last, until); id++) text += chunkOf(event(id))
    socket.write(text, () => setTimeout(() => finish(socket), 20))
  }
}

/** An engine type whose only model takes nine seconds to load. */
const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 9000, warmLoadMs: 9000, diskLoadMs: 9000, adapterMb: 1 }] }

/** A stream that makes `before` events, is silent for `pauseMs` and goes on to its end. */
function pausing (last: number, { before, pauseMs }: { before: number, pauseMs: number }): Script {
  return (socket, head) => {
    const from = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0)
    const chunks = (first: number, to: number) => Array.from({ length: to - first }, (_, index) => chunkOf(event(first + index + 1))).join('')
    socket.write(streamHead(head) + chunks(from, from + before))
    setTimeout(() => { if (!socket.destroyed) socket.write(`${chunks(from + before, last)}0\r\n\r\n`) }, pauseMs)
  }
}

/** A stream whose callers leave after 2 s without an event, so that an engine is looked for after 0.8 s. */
const impatient = () => route({ kind: 'stream', resumable: true, objectiveMs: 50, timeoutMs: 20_000 })
const holdsModel = { models: [{ name: 'm', adapters: [] }] }
const forModel = { headers: { 'x-model': 'm' } }
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs))

const events = (last: number) => Array.from({ length: last }, (_, index) => event(index + 1)).join('')

describe('relay', () => {
  beforeEach(() => { fixture = new RelayFixture() })
  afterEach(() => fixture.stop())

  it('returns status, body and signature unchanged', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(answerOf(idOf(head), 'made', '201 Created')) })
    const answer = await fixture.send('id1')
    expect(answer).to.include({ status: 201, body: 'made', isComplete: true })
    expect(answer.headers['x-server-stamp']).to.equal('s1')
    expect(fixture.received[0]!.head).to.include('X-Expect-Instance: a')
  })

  it('does not repeat an unsafe request that was sent', async () => {
    // Guards against a request that runs twice.
    await fixture.start([route()])
    await fixture.addServer('a', reset)
    await fixture.addServer('b', reset)
    expect(await fixture.send('id1')).to.include({ status: 502 })
    expect(fixture.received).to.have.length(1)
  })

  it('repeats an unsafe request that did not run', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head, count) => (fixture.received.length === 1 ? shed : ok)(socket, head, count))
    await fixture.addServer('b', (socket, head, count) => (fixture.received.length === 1 ? shed : ok)(socket, head, count))
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
    expect(fixture.received).to.have.length(2)
  })

  it('promises not to have run only what did not run', async () => {
    // Guards against a 503 after an attempt of unknown outcome.
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
    await fixture.addServer('a', (socket, head, count) => (fixture.received.length === 1 ? reset : shed)(socket, head, count))
    await fixture.addServer('b', (socket, head, count) => (fixture.received.length === 1 ? reset : shed)(socket, head, count))
    expect((await fixture.send('id1')).status).to.equal(502)
    expect(fixture.received).to.have.length(2)
  })

  it('keeps to the number of engines that the route allows', async () => {
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
    for (const id of ['a', 'b', 'c']) await fixture.addServer(id, reset)
    await fixture.send('id1')
    expect(fixture.received).to.have.length(2)
  })

  it('refuses at once with a time to return when no server takes requests', async () => {
    await fixture.start([route()])
    const answer = await fixture.send('id1')
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.within(0, 1)
  })

  it('skips a response that belongs to an earlier request', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(answerOf('other', 'wrong') + answerOf(idOf(head), 'right')) })
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'right' })
  })

  it('does not use a connection again on which bytes came that nobody asked for', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(answerOf(idOf(head), 'ok') + answerOf('ghost', 'ghost')) })
    expect((await fixture.send('id1')).body).to.equal('ok')
    expect((await fixture.send('id2')).body).to.equal('ok')
  })

  it('does not pass on a success without signature, or with an encoded body', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head, count) => {
      const extra = count === 1 ? '' : 'X-Server-Stamp: s\r\nContent-Encoding: gzip\r\n'
      socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${idOf(head)}\r\n${extra}Content-Length: 2\r\n\r\nok`)
    })
    expect((await fixture.send('id1')).status).to.equal(502)
    expect((await fixture.send('id2')).status).to.equal(502)
  })

  it('does not complete a body without length that ended in a reset', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => {
      socket.write(`HTTP/1.1 200 OK\r\n${stamped(idOf(head))}\r\npart`, () => setTimeout(() => socket.resetAndDestroy(), 20))
    })
    expect((await fixture.send('id1')).status).to.equal(502)
  })

  it('completes a body without length only if its server is still there', async () => {
    // Guards against taking the end of a server for the end of its answer.
    await fixture.start([route({ maxAttempts: 1 })])
    const script: Script = (socket, head, count) => {
      socket.write(`HTTP/1.1 200 OK\r\n${stamped(idOf(head))}\r\npart`, () => {
        if (count === 2) fixture.closeListeners()
        socket.end()
      })
    }
    await fixture.addServer('a', script)
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'part' })
    expect((await fixture.send('id2')).status).to.equal(502)
  })

  it('gives an answer without length no length of its own', async () => {
    // Guards against vouching for a body whose end nothing proves: a server may break it off and close in an orderly way.
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(`HTTP/1.1 200 OK\r\n${stamped(idOf(head))}\r\npart`) })
    const answer = await fixture.send('id1', { headers: { connection: 'keep-alive' } })
    expect(answer).to.include({ status: 200, body: 'part' })
    expect(answer.headers).to.include({ connection: 'close' })
    expect(answer.headers).not.to.have.any.keys('content-length', 'transfer-encoding')
  })

  it('answers at the timeout of the route and tells the engine what is left', async () => {
    await fixture.start([route({ timeoutMs: 150 })])
    await fixture.addServer('a', silent)
    const answer = await fixture.send('id1', { headers: { 'x-deadline-ms': '5000' } })
    expect(answer.status).to.equal(504)
    expect(Number(/x-deadline-ms: (\d+)/i.exec(fixture.received[0]!.head)![1])).to.be.within(1, 150)
  })

  it('returns an answer that came in time but could not be read in time', async () => {
    // Guards against a deadline that is checked before what came while the process was held up is read.
    await fixture.start([route({ timeoutMs: 150 })])
    await fixture.addServer('a', (socket, head) => {
      socket.write(answerOf(idOf(head), 'ok'))
      blockFor(200)
    })
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
  })

  it('does not take a server for unreachable because it could not look', async () => {
    // Guards against a connection that is given up as not accepted before its acceptance is read.
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    const { pool } = fixture.fleet.servers.get('a')!
    const acquire = pool.acquire.bind(pool)
    pool.acquire = () => {
      // Right after the connection was opened.
      process.nextTick(() => blockFor(1100))
      return acquire()
    }
    expect(await fixture.send('id1')).to.include({ status: 200, body: 'ok' })
  })

  it('sends an idempotent request elsewhere when its server is silent', async () => {
    await fixture.start([route({ kind: 'idempotent', objectiveMs: 50 })])
    const first: Script = (socket, head, count) => (fixture.received.length === 1 ? silent : ok)(socket, head, count)
    await fixture.addServer('a', first)
    await fixture.addServer('b', first)
    expect(await fixture.send('id1', { method: 'GET' })).to.include({ status: 200 })
    expect(new Set(fixture.received.map(({ server }) => server)).size).to.equal(2)
  })

  it('waits for the only server although it is silent', async () => {
    await fixture.start([route({ kind: 'idempotent', objectiveMs: 20 })])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(answerOf(idOf(head), 'late')), 200) })
    expect(await fixture.send('id1', { method: 'GET' })).to.include({ status: 200, body: 'late' })
  })

  it('goes on with a stream at another engine after the last whole event', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    const cutInEvent = (socket: { end (text: string): void, destroy? (): void }) => { socket.end(chunkOf('id: 4\nda')) }
    const script: Script = (socket, head, count) => (fixture.received.length === 1 ? stream(6, { until: 3, finish: cutInEvent }) : stream(6))(socket, head, count)
    await fixture.addServer('a', script)
    await fixture.addServer('b', script)
    expect(await fixture.send('id1')).to.include({ status: 200, body: events(6), isComplete: true })
    expect(fixture.received[1]!.head).to.match(/last-event-id: 3/i)
  })

  // The next six guard against answers that are broken off although an engine could finish them (LOST).
  it('keeps a silent engine while the leader names no other', async () => {
    // Guards against giving up an engine for another that is only possible, not reserved.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', stream(6), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = { kind: 'wait', forMs: 50 }
    expect(await answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received).to.have.length(1)
  })

  it('gives up silent engines only for as many streams as another engine takes', async () => {
    // Guards against many streams that count on the same free place.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', pausing(6, { before: 3, pauseMs: 1500 }), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answers = ['id1', 'id2', 'id3'].map(id => fixture.send(id, forModel))
    await wait(200)
    fixture.leaderChoice = undefined
    fixture.fleet.servers.get('b')!.runningElsewhere = engine.slots - 1
    for (const answer of await Promise.all(answers)) expect(answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.map(({ server }) => server)).to.have.members(['a', 'a', 'a', 'b'])
  })

  it('keeps a silent engine when no repeat is left', async () => {
    // Guards against a repeat that is checked, used by another request, and missing after the engine was given up.
    const streams = 10
    await fixture.start([impatient()], { engine: { ...engine, slots: 64 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', stream(6), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answers = Array.from({ length: streams }, (_, index) => fixture.send(`id${index}`, forModel))
    await wait(200)
    fixture.leaderChoice = undefined
    for (const answer of await Promise.all(answers)) expect(answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.length).to.be.within(streams + 1, streams + 8)
  })

  it('keeps a silent engine while another accepts no connection', async () => {
    // Guards against a move to an engine that is gone and not yet known to be.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', stream(6), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = undefined
    fixture.closeListeners()
    expect(await answer).to.include({ body: events(6), isComplete: true })
  })

  it('waits for another engine as long as the caller of a stream waits for its next event', async () => {
    // Guards against a wait that counts from the arrival of a request whose answer has begun.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head))
      for (let id = 1; id <= 6; id++) setTimeout(() => socket.write(chunkOf(event(id))), id * 300)
      setTimeout(() => socket.destroy(), 1900)
    }, holdsModel)
    await fixture.addServer('b', stream(9), holdsModel)
    const other = fixture.fleet.servers.get('b')!
    other.runningElsewhere = engine.slots
    setTimeout(() => { other.runningElsewhere = 0 }, 2600)
    expect(await fixture.send('id1', forModel)).to.include({ body: events(9), isComplete: true })
  })

  it('goes on looking for another engine for a begun stream when the node shuts down', async () => {
    // Guards against a planned stop that ends an answer which another engine could finish.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', stream(6, { until: 3, finish: socket => (socket as unknown as { destroy (): void }).destroy() }), holdsModel)
    await fixture.addServer('b', stream(6), holdsModel)
    const other = fixture.fleet.servers.get('b')!
    other.runningElsewhere = engine.slots
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.relay.closeConnections()
    fixture.relay.refuseRequests()
    fixture.leaderChoice = undefined
    setTimeout(() => { other.runningElsewhere = 0 }, 300)
    expect(await answer).to.include({ body: events(6), isComplete: true })
  })

  it('does not let a cut stream look complete', async () => {
    await fixture.start([route({ kind: 'stream', resumable: false })])
    await fixture.addServer('a', stream(6, { until: 3, finish: socket => (socket as unknown as { destroy (): void }).destroy() }))
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: false })
    expect(fixture.received).to.have.length(1)
  })

  it('does not join events that do not follow each other', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true, maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.write(streamHead(head) + chunkOf(event(1)) + chunkOf(event(3)) + '0\r\n\r\n') })
    expect(await fixture.send('id1')).to.include({ body: event(1), isComplete: false })
  })

  it('ends the engine\'s work when the client leaves', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    let closed = () => {}
    const isClosed = new Promise<void>(resolve => { closed = resolve })
    await fixture.addServer('a', (socket, head) => {
      socket.on('close', closed)
      socket.write(streamHead(head) + chunkOf(event(1)))
    })
    await fixture.send('id1', { onResponse: response => response.once('data', () => response.destroy()) })
    await isClosed
    expect(fixture.received).to.have.length(1)
  })

  it('keeps the bodies that it passes on within the limit', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', ok)
    expect((await fixture.send('id1', { body: 'x'.repeat(2000) })).status).to.equal(413)
    expect(fixture.received).to.have.length(0)
  })

  it('refuses a request that waits for a model when the node shuts down', async () => {
    // Guards against a request that ends without any answer.
    await fixture.start([route({ kind: 'stream', timeoutMs: 20_000, objectiveMs: 10_000 })], { engine })
    await fixture.addServer('a', ok)
    const answer = fixture.send('id1', { headers: { 'x-model': 'm' } })
    setTimeout(() => fixture.relay.refuseRequests(), 100)
    expect((await answer).status).to.equal(503)
  })

  it('tells the leader of requests for a model that no engine has', async () => {
    // Pattern: demand shifts to a model without a copy; its copies must be counted by what comes, before the first is ready.
    await fixture.start([route({ kind: 'stream', timeoutMs: 100 })], { engine })
    await fixture.addServer('a', ok)
    await fixture.send('id1', { headers: { 'x-model': 'm', 'x-token-count': '700,20' } })
    expect(fixture.asks.filter(({ isFirst }) => isFirst)).to.have.length(1)
    expect(fixture.asks[0]).to.include({ model: 'm', promptTokens: 700 })
  })

  it('closes connections after answers that began before the shutdown', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(answerOf(idOf(head), 'ok')), 100) })
    let hasEnded = false
    const answer = fixture.send('id1', { headers: { connection: 'keep-alive' }, onResponse: response => response.socket.once('close', () => { hasEnded = true }) })
    setTimeout(() => fixture.relay.closeConnections(), 30)
    expect((await answer).status).to.equal(200)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(hasEnded).to.equal(true)
  })
})
