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

/** A request as a client writes it on a connection that it keeps. */
const requestText = (id: string) => `POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`

async function until (condition: () => boolean, what: string): Promise<void> {
  for (let tries = 0; !condition(); tries++) {
    if (tries === 200) expect.fail(`not seen within a second: ${what}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

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

  it('believes a refusal whose body breaks off', async () => {
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

  it('fails a request whose answer has a head that cannot be returned', async () => {
    // Guards against an error in writing the head to the client, which nothing caught and which ended the process.
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
    const heads = ['200 OK\r\nX-A: a\x01b', '200 OK\r\nX-A: a\nX-B: b', '200 OK\r\nX(A: b', '200 OK\r\n: b', '200 OK\r\nX-A', '099 OK', '200 O\x01K', '200 OK\r\nX-A: \x7f']
    const script: Script = (socket, head) => {
      const bad = heads[Number(idOf(head))]!
      if (fixture.received.length === 1) socket.write(`HTTP/1.1 ${bad}\r\n${stamped(idOf(head))}Content-Length: 2\r\n\r\nno`, 'latin1')
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

  it('returns heads with all characters that are allowed', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => {
      socket.write(`HTTP/1.1 200 \xe4 b\r\n${stamped(idOf(head))}x!#$%&'*+.^_\`|~-9: \xe4\t"(),;\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok`, 'latin1')
    })
    const answer = await fixture.send('id1')
    expect(answer).to.include({ status: 200, body: 'ok' })
    expect(answer.headers).to.include({ "x!#$%&'*+.^_`|~-9": '\xe4\t"(),;', 'x-empty': '' })
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

  it('keeps a silent engine while another resets its new connections', async () => {
    // Guards against taking an accepted connection for a kept one: a server with too many connections resets it right after.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', stream(6), { ...holdsModel, address: `127.0.0.1:${await fixture.addResettingServer(10)}` })
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = { kind: 'engine', id: 'b' }
    expect(await answer).to.include({ body: events(6), isComplete: true })
  })

  it('gives a free place to one of several streams that the leader sends there at once', async () => {
    // Guards against a place that is looked at before, and counted after, the others have seen it.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', pausing(6, { before: 3, pauseMs: 1500 }), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answers = ['id1', 'id2', 'id3'].map(id => fixture.send(id, forModel))
    await wait(200)
    fixture.leaderChoice = { kind: 'engine', id: 'b' }
    fixture.answersTogether = true
    fixture.fleet.servers.get('b')!.runningElsewhere = engine.slots - 1
    for (const answer of await Promise.all(answers)) expect(answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.filter(({ server }) => server === 'b')).to.have.length(1)
  })

  it('keeps a silent engine when the other one is told to unload the model meanwhile', async () => {
    // Guards against a move to an engine that answers that it does not hold the model.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', stream(6), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = { kind: 'engine', id: 'b' }
    const other = fixture.fleet.servers.get('b')!
    const connect = other.pool.connect.bind(other.pool)
    other.pool.connect = () => {
      other.replicas.get('m')!.isUnloading = true
      return connect()
    }
    expect(await answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received).to.have.length(1)
    expect(other.running).to.equal(0)
  })

  it('reads what an engine sent before it counts as silent', async () => {
    // Guards against a stall that is the node's own: the event lies unread while the process is held up.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head) + chunkOf(event(1)))
      setTimeout(() => {
        socket.write(`${chunkOf(event(2))}0\r\n\r\n`)
        setImmediate(() => blockFor(600))
      }, 400)
    }, holdsModel)
    await fixture.addServer('b', stream(2), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    expect(await fixture.send('id1', forModel)).to.include({ body: events(2), isComplete: true })
    expect(fixture.received).to.have.length(1)
  })

  it('does not take an engine for silent whose client reads slowly', async () => {
    // Guards against giving up an engine, and counting it as failing, because this node does not read from it.
    await fixture.start([impatient()], { engine })
    let arrivals = 0
    const flowing: Script = (socket, head) => {
      arrivals++
      socket.write(streamHead(head))
      const padding = 'x'.repeat(20_000)
      for (let id = 1; id <= 1000; id++) socket.write(chunkOf(`id: ${id}\ndata: ${padding}\n\n`))
    }
    await fixture.addServer('a', flowing, holdsModel)
    await fixture.addServer('b', flowing, holdsModel)
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

  it('does not move a stream to the engine that it is on', async () => {
    // Guards against an engine that was gone back to and counts as another one when it pauses again.
    await fixture.start([{ ...impatient(), maxAttempts: 8 }], { engine })
    let runs = 0
    const twice: Script = (socket, head, count) => {
      if (runs++ === 0) socket.write(streamHead(head) + chunkOf(event(1)))
      else setTimeout(() => stream(3)(socket, head, count), 1200)
    }
    await fixture.addServer('a', twice, holdsModel)
    await fixture.addServer('b', (socket, head, count) => {
      fixture.fleet.servers.get('b')!.runningElsewhere = engine.slots
      shed(socket, head, count)
    }, holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = undefined
    expect(await answer).to.include({ body: events(3), isComplete: true })
    expect(runs).to.equal(2)
  })

  it('keeps a silent engine while another reserves no place', async () => {
    // Guards against a move to an engine that is fuller than nodes know and refuses the stream.
    await fixture.start([impatient()], { engine: { ...engine, maxReservationMs: 2000 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1300 }), holdsModel)
    await fixture.addServer('b', shed, holdsModel, { holdAnswer: () => 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n' })
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = { kind: 'engine', id: 'b' }
    expect(await answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received).to.have.length(1)
    expect(fixture.holds).not.to.have.length(0)
    expect(fixture.fleet.servers.get('b')!.running).to.equal(0)
  })

  it('moves to the place that an engine has reserved', async () => {
    await fixture.start([impatient()], { engine: { ...engine, maxReservationMs: 2000 } })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 1900 }), holdsModel)
    await fixture.addServer('b', stream(6), holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', { headers: { ...forModel.headers, 'x-token-count': '100,20', 'x-hold': 'not-mine' } })
    await wait(200)
    fixture.leaderChoice = { kind: 'engine', id: 'b' }
    expect(await answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a', 'b'])
    expect(fixture.received[1]!.head).to.match(/^x-hold: h1$/im)
    expect(fixture.received[1]!.head).not.to.include('not-mine')
    expect(fixture.holds).to.have.length(1)
  })

  it('gives a reserved place back when the engine goes on meanwhile', async () => {
    // Guards against places of engines that are held for nobody.
    await fixture.start([impatient()], { engine: { ...engine, maxReservationMs: 2000 } })
    let goOn = () => {}
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head) + chunkOf(event(1)))
      goOn = () => { socket.write(`${chunkOf(event(2))}0\r\n\r\n`) }
    }, holdsModel)
    await fixture.addServer('b', stream(2), holdsModel, {
      holdAnswer: head => {
        if (head.startsWith('POST')) goOn()
        return head.startsWith('POST') ? 'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"hold": "h1"}' : 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
      }
    })
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = { kind: 'engine', id: 'b' }
    expect(await answer).to.include({ body: events(2), isComplete: true })
    await wait(100)
    expect(fixture.received).to.have.length(1)
    expect(fixture.holds.at(-1)!.head).to.match(/^DELETE \/hold-drop\/h1 /)
    expect(fixture.fleet.servers.get('b')!.running).to.equal(0)
  })

  it('goes back to a silent engine when the other one refuses the stream', async () => {
    // Guards against a move that ends the answer because its target was fuller than known.
    await fixture.start([impatient()], { engine })
    await fixture.addServer('a', pausing(6, { before: 3, pauseMs: 900 }), holdsModel)
    await fixture.addServer('b', shed, holdsModel)
    fixture.leaderChoice = { kind: 'engine', id: 'a' }
    const answer = fixture.send('id1', forModel)
    await wait(200)
    fixture.leaderChoice = undefined
    expect(await answer).to.include({ body: events(6), isComplete: true })
    expect(fixture.received[1]!.server).to.equal('b')
    expect(fixture.received.at(-1)!.server).to.equal('a')
    expect(fixture.received.at(-1)!.head).to.match(/last-event-id: 3/i)
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

  it('answers a request that crosses the end of an answer that began before the shutdown', async () => {
    // Guards against a request that is passed on although its connection can take no answer.
    await fixture.start([route({ kind: 'stream' })])
    await fixture.addServer('a', stream(2, { finish: socket => { setTimeout(() => socket.end('0\r\n\r\n'), 60) } }))
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1'))
    await until(() => text().includes('data: t2'), 'the first answer')
    fixture.relay.closeConnections()
    // The end of the first answer and the second request pass each other.
    await until(() => text().endsWith('0\r\n\r\n'), 'the end of the first answer')
    socket.write(requestText('id2'))
    await until(() => text().split('0\r\n\r\n').length === 3, 'the second answer')
    expect(text().split('HTTP/1.1 200 OK')).to.have.length(3)
    expect(text().slice(text().indexOf('0\r\n\r\n')).toLowerCase()).to.include('connection: close')
    await until(() => socket.readableEnded, 'the end of the connection')
  })

  it('answers a request that came behind another one before the shutdown', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(answerOf(idOf(head), `for ${idOf(head)}`)), 60) })
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1') + requestText('id2'))
    await until(() => fixture.received.length > 0, 'the first request')
    fixture.relay.closeConnections()
    await until(() => text().includes('for id1') && text().includes('for id2'), 'both answers')
    await until(() => socket.readableEnded, 'the end of the connection')
    expect(text().toLowerCase().split('connection: close')).to.have.length(2)
  })

  it('answers a request that came behind one of the shutdown', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.write(answerOf(idOf(head), `for ${idOf(head)}`)), 60) })
    fixture.relay.closeConnections()
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1'))
    await until(() => fixture.received.length > 0, 'the first request')
    socket.write(requestText('id2'))
    await until(() => text().includes('for id1') && text().includes('for id2'), 'both answers')
    await until(() => fixture.relay.active === 0, 'the end of both requests')
  })

  it('does not pass on what follows an answer that announced the end of its connection', async () => {
    await fixture.start([route({ kind: 'stream' })])
    await fixture.addServer('a', stream(2, { finish: socket => { setTimeout(() => socket.end('0\r\n\r\n'), 60) } }))
    fixture.relay.closeConnections()
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1'))
    await until(() => text().includes('data: t2'), 'the first answer')
    socket.write(requestText('id2'))
    await until(() => text().endsWith('0\r\n\r\n') && socket.readableEnded, 'the end of the connection')
    await until(() => fixture.relay.active === 0, 'the end of both requests')
    expect(fixture.received).to.have.length(1)
  })

  it('does not pass on what follows an answer that ends with its connection', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { setTimeout(() => socket.end(`HTTP/1.1 200 OK\r\n${stamped(idOf(head))}\r\npart`), 60) })
    const { socket, text } = fixture.connect()
    socket.write(requestText('id1') + requestText('id2'))
    await until(() => text().endsWith('part') && socket.readableEnded, 'the end of the connection')
    await until(() => fixture.relay.active === 0, 'the end of both requests')
    expect(fixture.received).to.have.length(1)
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
