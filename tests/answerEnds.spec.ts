import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { UnknownOutcomeError } from '../src/base/errors.js'
import { HttpCaller } from '../src/external/httpCall.js'
import { HttpService } from '../src/external/httpService.js'
import { maxUnframedBytes } from '../src/serving/clientExchange.js'
import { aliveAnswer, events, requestIdOf, RequestProxyFixture, responseTo, route, signedHeaders, streamHead } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const plainHead = (head: string) => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\n`

describe('answers without a length or chunks', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  /** Sends the beginning of an answer; then the server's process ends and another one listens at its address. */
  const restartsWithin = (textOf: (head: string) => string, beforeEnd?: () => Promise<void>): Script => (socket, head) => {
    socket.write(textOf(head), () => { void fixture.restartServers(beforeEnd) })
  }

  // Guards against the close of a connection that is taken for the end of its answer because a later process accepts connections there.
  it('are broken off when a stream ends with its engine and another process has the address', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', restartsWithin(head => streamHead(head) + events(1, 2)))
    const response = await fixture.send('id1')
    expect(response, 'the stream looks complete').to.include({ isComplete: false, isInOrder: false })
  })

  // The same for an answer that is buffered.
  it('are broken off when a plain answer ends with its server and another process has the address', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', restartsWithin(head => `${plainHead(head)}part`))
    const response = await fixture.send('id1')
    expect(response.status, 'the answer looks complete').to.equal(502)
  })

  // The same where the stream can go on at another engine.
  it('go on at another engine when a stream ends with its engine', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    const addSecond = () => fixture.addServer('b', (socket, head) => { socket.end(streamHead(head) + events(3, 4)) })
    await fixture.addServer('a', restartsWithin(head => streamHead(head) + events(1, 2), addSecond))
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: true, events: events(1, 4) })
    expect(fixture.received[1]!.head).to.match(/last-event-id: 2/i)
  })

  // Guards against a first answer that is lost because nothing could show that its server was alive.
  for (const kind of ['stream', 'unsafe'] as const) {
    it(`are whole from the first one on: ${kind}`, async () => {
      await fixture.start([route({ kind, maxAttempts: 1 })])
      await fixture.addServer('a', (socket, head) => { socket.end(streamHead(head) + events(1, 2)) })
      for (const id of ['id1', 'id2', 'id3']) expect(await fixture.send(id), id).to.include({ status: 200, isComplete: true, events: events(1, 2) })
    })
  }

  it('are whole when many end at the same moment', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    const sockets: Socket[] = []
    await fixture.addServer('a', (socket, head) => {
      socket.write(plainHead(head))
      if (sockets.push(socket) === 12) for (const each of sockets) each.end('whole')
    }, { slots: 12 })
    const responses = await Promise.all(Array.from({ length: 12 }, (_, index) => fixture.send(`id${index}`)))
    expect(responses.map(({ status, body }) => `${status} ${body}`)).to.deep.equal(Array(12).fill('200 whole'))
    expect(fixture.questions.length).to.be.within(1, 3)
  })

  // Guards against an answer that is broken off because of a cut that its server outlived.
  it('are whole when the question about their server is answered late', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
    fixture.answerQuestion = socket => { setTimeout(() => socket.write(aliveAnswer), 1200) }
    await fixture.addServer('a', (socket, head) => { socket.end(streamHead(head) + events(1, 2)) })
    expect(await fixture.send('id1')).to.include({ isComplete: true, events: events(1, 2) })
  })

  // Guards against a client that waits for the end of its answer until it gives up.
  it('are broken off when the question about their server is not answered', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 10_000 })])
    fixture.answerQuestion = () => {}
    await fixture.addServer('a', (socket, head) => { socket.end(streamHead(head) + events(1, 2)) })
    const startMs = performance.now()
    expect(await fixture.send('id1')).to.include({ isComplete: false, isInOrder: false })
    expect(performance.now() - startMs).to.be.below(4000)
  })

  it('are broken off at the deadline when the question is not answered before it', async () => {
    await fixture.start([route({ maxAttempts: 1, timeoutMs: 400 })])
    fixture.answerQuestion = () => {}
    await fixture.addServer('a', (socket, head) => { socket.end(`${plainHead(head)}part`) })
    expect((await fixture.send('id1')).status).to.equal(504)
  })

  // Guards against an earlier answer that is read as the answer to the question.
  it('are broken off when only an answer to another request follows the question', async () => {
    await fixture.start([route({ maxAttempts: 1, timeoutMs: 5000 })])
    fixture.answerQuestion = socket => { socket.end(responseTo('id0', 'repeated')) }
    await fixture.addServer('a', (socket, head) => { socket.end(`${plainHead(head)}part`) })
    expect((await fixture.send('id1')).status).to.equal(502)
  })

  // Guards against answers of servers that usually send lengths.
  it('are whole after answers with a length, and streams go on at the same engine', async () => {
    for (const kind of ['unsafe', 'stream'] as const) {
      await fixture.start([route({ kind, resumable: kind === 'stream' })])
      await fixture.addServer(kind, (socket, head, count) => {
        if (count === 1) socket.write(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}Content-Length: ${events(1, 2).length}\r\n\r\n${events(1, 2)}`)
        else socket.end(streamHead(head) + (head.includes('Last-Event-Id') ? '' : events(1, 2)))
      }, { service: 's' })
      for (const id of ['id1', 'id2', 'id3']) expect(await fixture.send(id), `${kind} ${id}`).to.include({ status: 200, isComplete: true, events: events(1, 2) })
      fixture.fleet.servers.delete(kind)
    }
  })

  // Guards against evidence that the server closes as idle while a long answer lasts.
  it('are whole when they last longer than connections may be idle', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 10_000, objectiveMs: 3000 })])
    fixture.idleTimeoutMs = 2000
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head) + events(1, 1))
      setTimeout(() => socket.end(events(2, 2)), 5000)
    })
    expect(await fixture.send('id1')).to.include({ isComplete: true, events: events(1, 2) })
  })

  // Guards against a node that closes the connection that it needs as evidence: for another one, or because its server seems unreachable.
  for (const close of ['in favour of a new one', 'of a server that seems unreachable'] as const) {
    it(`are whole when idle connections are closed meanwhile: ${close}`, async () => {
      await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
      await fixture.addServer('a', (socket, head) => {
        if (requestIdOf(head) === 'id2') return socket.write(responseTo('id2', 'id: 1\ndata: t\n\n'))
        socket.write(streamHead(head) + events(1, 1))
        setTimeout(() => socket.end(events(2, 2)), 500)
      })
      const server = fixture.fleet.servers.get('a')!
      const response = fixture.send('id1')
      await sleep(200)
      await fixture.send('id2')
      if (close === 'in favour of a new one') await server.pool.connect()
      else server.onUnreachable()
      expect(await response).to.include({ isComplete: true, events: events(1, 2) })
    })
  }

  // Guards against evidence that the server closes as idle before it begins its answer.
  it('are whole when connections may not be idle until their head comes', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 10_000, objectiveMs: 3000 })])
    fixture.idleTimeoutMs = 2000
    await fixture.addServer('a', (socket, head, count) => {
      if (count === 2) socket.write(responseTo('id2', events(1, 2)))
      else setTimeout(() => socket.end(streamHead(head) + events(1, 2)), count === 1 ? 0 : 800)
    })
    for (const id of ['id1', 'id2']) await fixture.send(id)
    await sleep(1800)
    expect(await fixture.send('id3')).to.include({ isComplete: true, events: events(1, 2) })
  })

  // Guards against a server that closes the connection with its answer to the question, so that nothing is left for later ends.
  it('are whole when the server closes connections on which it was asked', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    fixture.answerQuestion = socket => { socket.end('HTTP/1.1 200 OK\r\n\r\n') }
    await fixture.addServer('a', (socket, head, count) => {
      socket.write(streamHead(head) + events(1, 1))
      setTimeout(() => socket.end(events(2, 2)), count * 300)
    })
    const responses = await Promise.all(['id1', 'id2', 'id3'].map(id => fixture.send(id)))
    for (const response of responses) expect(response).to.include({ isComplete: true, events: events(1, 2) })
  })

  // Guards against an answer that is asked for again because its server, or this node's first answers, had lengths.
  for (const framed of [1, 30]) {
    it(`are whole at once after ${framed} with a length, if others of the service came without`, async () => {
      await fixture.start([route({ kind: 'stream', resumable: true })])
      fixture.idleTimeoutMs = 100
      await fixture.addServer('b', (socket, head, count) => {
        if (count <= framed) socket.write(responseTo(requestIdOf(head), events(1, 2)))
        else socket.end(streamHead(head) + (head.includes('Last-Event-Id') ? '' : events(1, 2)))
      })
      await fixture.addServer('a', (socket, head) => { socket.end(streamHead(head) + (head.includes('Last-Event-Id') ? '' : events(1, 2))) })
      const sendTo = (server: string, id: string) => {
        for (const { entry } of fixture.fleet.servers.values()) fixture.fleet.put({ ...entry, isDraining: entry.id !== server })
        return fixture.send(id)
      }
      for (let index = 1; index <= framed; index++) await sendTo('b', `id${index}`)
      if (framed > 1) await sendTo('a', 'id0')
      await sleep(200)
      const earlier = fixture.received.length
      expect(await sendTo('b', 'id99')).to.include({ isComplete: true, events: events(1, 2) })
      expect(fixture.received.slice(earlier)).to.have.length(1)
    })
  }

  it('are whole, and passed on as they came, if they are long', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    const body = 'x'.repeat(100_000)
    await fixture.addServer('a', (socket, head) => { socket.end(plainHead(head) + body) })
    const response = await fixture.send('id1')
    expect(response).to.include({ status: 200, isComplete: true, body })
    expect(response.headers).to.include({ connection: 'close' }).and.not.have.any.keys('content-length', 'transfer-encoding')
  })

  // Guards against an answer that the end of this node cuts short in order.
  it('are a failure if they are longer than the kernels take', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(plainHead(head) + 'x'.repeat(maxUnframedBytes + 1)) })
    const response = await fixture.send('id1')
    expect(response.status).to.equal(502)
    expect(response.body).to.contain('neither a length nor chunks')
  })

  it('need no second connection once the server sends lengths', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) })
    for (const id of ['id1', 'id2', 'id3']) expect((await fixture.send(id)).status).to.equal(200)
    expect(fixture.fleet.servers.get('a')!.pool.openCount).to.be.at.most(2)
    expect(fixture.questions).to.have.length(0)
  })
})

describe('calls to external systems', () => {
  // Guards against the close of a connection that is taken for an empty or a whole answer.
  for (const body of ['', '{}']) {
    it(`do not take the close of a connection for the end of an answer: ${JSON.stringify(body)}`, async () => {
      const server = createServer(socket => { socket.once('data', () => socket.end(`HTTP/1.1 200 OK\r\n\r\n${body}`)) })
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      const caller = new HttpCaller('store', address, new SystemClock())
      const service = new HttpService({ server: 's1', address, clock: new SystemClock() })
      const calls = [caller.json('/', { timeoutMs: 1000 }), service.call({ requestId: 'r1', method: 'POST', path: '/', headers: {}, body: Buffer.from('x') }, {})]
      for (const call of calls) expect(await call.then(() => 'complete', (error: Error) => error), 'looks complete').to.be.instanceOf(UnknownOutcomeError)
      await Promise.all([caller.close(), service.close()])
      server.close()
    })
  }
})
