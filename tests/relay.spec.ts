import { expect } from 'chai'
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
