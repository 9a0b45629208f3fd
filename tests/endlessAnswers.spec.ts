import { expect } from 'chai'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { SystemClock } from '../src/base/clock.js'
import { CallError, UnknownOutcomeError } from '../src/base/errors.js'
import { silentLog } from '../src/base/log.js'
import { HttpCaller } from '../src/external/httpCall.js'
import { HttpEngine } from '../src/external/httpEngine.js'
import { codecs } from '../src/platform/httpNames.js'
import { StoreClient } from '../src/platform/storeClient.js'
import { EngineClient } from '../src/serving/engineClient.js'
import { EventSplitter } from '../src/serving/eventStream.js'
import { LeaderLink, PeerServer } from '../src/serving/peerLink.js'
import { boundedBytes, dribble, Flood, LoopWatch, streamBoundedBytes } from './fixtures/flood.js'
import { answerOf, chunkOf, idOf, RelayFixture, route, stamped } from './fixtures/serving.js'
import type { Script } from './fixtures/serving.js'

/** Time in which a request at a server that sends without end is answered, or served elsewhere. */
const answerWithinMs = 3000
const closeWithinMs = 1500
/** Time that the event loop may be kept busy at once, by what one read brings. */
const longestBlockMs = 400
const sideRequests = 20
/** Time limit of calls that must end at a limit on bytes. */
const callTimeoutMs = 15_000

const chunked = (id: string, status = '200 OK') => `HTTP/1.1 ${status}\r\n${stamped(id)}Transfer-Encoding: chunked\r\n\r\n`
const streamHead = (id: string) => `HTTP/1.1 200 OK\r\n${stamped(id)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`
const events = (from: number, last: number) => Array.from({ length: last - from + 1 }, (_, index) => event(from + index))
const within = async (limitMs: number, promise: Promise<unknown>) => {
  let timer: NodeJS.Timeout
  const late = new Promise<boolean>(resolve => { timer = setTimeout(() => resolve(false), limitMs) })
  return Promise.race([promise.then(() => true), late]).finally(() => clearTimeout(timer))
}

interface Case {
  name: string
  /** What comes first, and what comes again and again after it. */
  prefix: (id: string) => string
  unit: string
}

const plainCases: Case[] = [
  { name: 'bytes without a line end in place of a head', prefix: () => '', unit: 'x' },
  { name: 'a status line', prefix: () => 'HTTP/1.1 200 ', unit: 'x' },
  { name: 'header lines', prefix: id => `HTTP/1.1 200 OK\r\n${stamped(id)}`, unit: 'X-A: b\r\n' },
  { name: 'interim responses', prefix: () => '', unit: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { name: 'a chunk size', prefix: chunked, unit: '0' },
  { name: 'a chunk extension', prefix: id => `${chunked(id)}1;`, unit: 'x' },
  { name: 'chunks of one byte with long extensions', prefix: chunked, unit: `1;${'x'.repeat(1000)}\r\nx\r\n` },
  { name: 'a trailer', prefix: id => `${chunked(id)}0\r\nX-A: `, unit: 'x' },
  { name: 'short trailers', prefix: id => `${chunked(id)}0\r\n`, unit: 'X-A: b\r\n' },
  { name: 'whole responses of other requests', prefix: () => '', unit: 'HTTP/1.1 204\r\nX-Attempt-Id:o\r\n\r\n' },
  { name: 'a chunked response of another request', prefix: () => chunked('other'), unit: chunkOf('x'.repeat(1000)) },
  { name: 'a response without length of another request', prefix: () => `HTTP/1.1 200 OK\r\n${stamped('other')}\r\n`, unit: 'x' },
  { name: 'a body without length', prefix: id => `HTTP/1.1 200 OK\r\n${stamped(id)}\r\n`, unit: 'x' },
  { name: 'a counted body', prefix: id => `HTTP/1.1 200 OK\r\n${stamped(id)}Content-Length: 999999999999\r\n\r\n`, unit: 'x' },
  { name: 'a chunked body', prefix: chunked, unit: chunkOf('x'.repeat(1000)) },
  { name: 'a body in chunks of one byte', prefix: chunked, unit: '1\r\nx\r\n' },
  { name: 'the body of a failure', prefix: id => chunked(id, '500 Internal Server Error'), unit: chunkOf('x'.repeat(1000)) }
]

const streamCases: Case[] = [
  { name: 'an event', prefix: () => '', unit: chunkOf(`data: ${'x'.repeat(1000)}\n`) },
  { name: 'an event in chunks of one byte', prefix: () => '', unit: chunkOf('x') },
  { name: 'comment lines', prefix: () => '', unit: chunkOf(':\n\n'.repeat(20_000)) },
  { name: 'events without ID', prefix: () => '', unit: chunkOf('data: x\n\n'.repeat(1000)) },
  { name: 'events that were passed on', prefix: () => '', unit: chunkOf(event(2).repeat(1000)) },
  { name: 'chunk extensions', prefix: () => '', unit: `1;${'x'.repeat(1000)}\r\n:\r\n` },
  { name: 'trailers', prefix: () => '0\r\n', unit: 'X-A: b\r\n' }
]

describe('answers without end', () => {
  let fixture: RelayFixture
  let floods: Flood[]
  let flooding: string[]
  let watch: LoopWatch

  beforeEach(() => {
    fixture = new RelayFixture()
    floods = []
    flooding = []
    watch = new LoopWatch()
  })
  afterEach(() => {
    watch.stop()
    return fixture.stop()
  })

  /** Two servers, of which the one that gets request `bad` first sends without end. */
  const addServers = async (flood: (socket: Socket, id: string) => Flood | undefined, other: Script = (socket, head) => { socket.write(answerOf(idOf(head), 'ok')) }) => {
    for (const server of ['a', 'b']) {
      await fixture.addServer(server, (socket, head, count) => {
        if (idOf(head) !== 'bad' || flooding.length > 0) return other(socket, head, count)
        flooding.push(server)
        const started = flood(socket, 'bad')
        if (started) floods.push(started)
      })
    }
  }

  /** Sends request `bad`, and others beside it that must be served. */
  const sendBeside = async (method: string) => {
    const startMs = performance.now()
    const bad = fixture.send('bad', { method }).then(answer => ({ ...answer, afterMs: performance.now() - startMs }))
    const others = await Promise.all(Array.from({ length: sideRequests }, async (_, index) => {
      await new Promise(resolve => setTimeout(resolve, 10 * index))
      return fixture.send(`side${index}`, { method: 'GET' })
    }))
    return { bad: await bad, served: others.filter(({ body, status }) => status === 200 && body === 'ok').length }
  }

  const expectBounded = async () => {
    const [flood] = floods
    expect(await within(closeWithinMs, flood!.closed), 'the connection is closed').to.equal(true)
    expect(flood!.takenBytes, 'bytes taken').to.be.below(boundedBytes)
    expect(watch.stop(), 'longest turn of the event loop, in ms of processor time').to.be.below(longestBlockMs)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare, 'failure share of the server').to.be.above(0)
  }

  for (const { name, prefix, unit } of plainCases) {
    it(`end at a limit and the request is served elsewhere: ${name}`, async () => {
      // Guards against a server that fills the node's memory, or keeps it busy, until the deadline.
      await fixture.start([route({ kind: 'idempotent', timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, prefix(id), unit))
      const { bad, served } = await sendBeside('GET')
      expect(bad).to.include({ status: 200, body: 'ok', isComplete: true })
      expect(bad.afterMs).to.be.below(answerWithinMs)
      expect(served).to.equal(sideRequests)
      await expectBounded()
    })

    it(`end at a limit and an unsafe request fails: ${name}`, async () => {
      await fixture.start([route({ timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, prefix(id), unit))
      const { bad, served } = await sendBeside('POST')
      expect(bad.status).to.equal(502)
      expect(bad.afterMs).to.be.below(answerWithinMs)
      expect(fixture.received.filter(({ head }) => idOf(head) === 'bad')).to.have.length(1)
      expect(served).to.equal(sideRequests)
      await expectBounded()
    })
  }

  it('end at a limit and a request that did not run is served elsewhere', async () => {
    // Guards against taking a refusal for an unknown outcome because its body has no end.
    await fixture.start([route({ timeoutMs: 8000 })])
    await addServers(socket => new Flood(socket, 'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n', chunkOf('x'.repeat(1000))))
    const { bad } = await sendBeside('POST')
    expect(bad).to.include({ status: 200, body: 'ok' })
    expect(bad.afterMs).to.be.below(answerWithinMs)
    await expectBounded()
  })

  it('after a complete answer end with the connection', async () => {
    await fixture.start([route()])
    await addServers((socket, id) => new Flood(socket, answerOf(id, 'ok'), 'x'))
    const { bad, served } = await sendBeside('POST')
    expect(bad).to.include({ status: 200, body: 'ok', isComplete: true })
    expect(served).to.equal(sideRequests)
    expect(await within(closeWithinMs, floods[0]!.closed)).to.equal(true)
    expect(floods[0]!.takenBytes).to.be.below(boundedBytes)
  })

  it('of many requests at once are held within one bound', async () => {
    // Pattern: servers whose every answer has no end. What is held for one request, times their number, would be too much.
    await fixture.start([route({ timeoutMs: 8000, objectiveMs: 6000 })])
    for (const server of ['a', 'b', 'c']) {
      await fixture.addServer(server, (socket, head) => { floods.push(new Flood(socket, chunked(idOf(head)), chunkOf('x'.repeat(1000)))) }, { slots: 40 })
    }
    let mostHeldBytes = 0
    const timer = setInterval(() => { mostHeldBytes = Math.max(mostHeldBytes, fixture.fleet.buffered.bytes) }, 1)
    const answers = await Promise.all(Array.from({ length: 30 }, (_, index) => fixture.send(`id${index}`)))
    clearInterval(timer)
    expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([502]))
    expect(mostHeldBytes).to.be.within(1, 24 * 1024 * 1024)
    expect(new Set(fixture.received.map(({ server }) => server)).size).to.equal(3)
    expect(fixture.fleet.buffered.bytes).to.equal(0)
  })

  it('do not keep large whole answers from being returned', async () => {
    const body = 'abcdefgh'.repeat(512 * 1024)
    await fixture.start([route({ timeoutMs: 10_000 })])
    await fixture.addServer('a', (socket, head, count) => {
      socket.write(count === 1 ? answerOf(idOf(head), body) : `${chunked(idOf(head))}${chunkOf(body)}0\r\n\r\n`)
    })
    for (const id of ['counted', 'chunked']) {
      const answer = await fixture.send(id)
      expect(answer).to.include({ status: 200, isComplete: true })
      expect(answer.body === body, id).to.equal(true)
    }
  })

  for (const { name, prefix, unit } of streamCases) {
    const beginning = (id: string) => streamHead(id) + events(1, 3).map(chunkOf).join('') + prefix(id)

    it(`end at a limit and the stream goes on elsewhere: ${name}`, async () => {
      await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, beginning(id), unit), (socket, head) => {
        const isOther = idOf(head) !== 'bad'
        socket.write(isOther ? `${streamHead(idOf(head))}0\r\n\r\n` : `${streamHead(idOf(head))}${events(4, 6).map(chunkOf).join('')}0\r\n\r\n`)
      })
      const startMs = performance.now()
      const answer = await fixture.send('bad')
      expect(performance.now() - startMs).to.be.below(answerWithinMs)
      expect(answer).to.include({ status: 200, isComplete: true })
      expect(answer.body.match(/id: \d+\ndata: t\d+\n\n/g)).to.deep.equal(events(1, 6))
      await expectBounded()
    })

    it(`end at a limit and a stream that cannot go on does not look complete: ${name}`, async () => {
      await fixture.start([route({ kind: 'stream', timeoutMs: 8000, objectiveMs: 6000 })])
      await addServers((socket, id) => new Flood(socket, beginning(id), unit))
      const startMs = performance.now()
      const answer = await fixture.send('bad')
      expect(performance.now() - startMs).to.be.below(answerWithinMs)
      expect(answer).to.include({ status: 200, isComplete: false })
      expect(answer.body.match(/id: \d+\ndata: t\d+\n\n/g)).to.deep.equal(events(1, 3))
      await expectBounded()
    })
  }

  it('that the client does not read wait with one listener', async () => {
    // Guards against a listener for each event of a read while the client is slow.
    await fixture.start([route({ kind: 'stream', timeoutMs: 20_000 })])
    const texts = Array.from({ length: 100_000 }, (_, index) => chunkOf(event(index + 1))).join('')
    await fixture.addServer('a', (socket, head) => { socket.write(`${streamHead(idOf(head))}${texts}0\r\n\r\n`) })
    let warnings = 0
    const onWarning = ({ name }: Error) => { if (name === 'MaxListenersExceededWarning') warnings++ }
    process.on('warning', onWarning)
    const answer = await fixture.send('id1', {
      onResponse: response => {
        response.pause()
        setTimeout(() => response.resume(), 200)
      }
    })
    await new Promise(resolve => setImmediate(resolve))
    process.off('warning', onWarning)
    expect(answer.isComplete).to.equal(true)
    expect(answer.body.match(/id: \d+/g)).to.have.length(100_000)
    expect(warnings).to.equal(0)
  })

  for (const [name, text] of [['comment lines', ': x\n\n'], ['events without ID', 'data: x\n\n'], ['events that were passed on', event(2)], ['an event', 'data: x']] as const) {
    it(`in small pieces are no progress of a stream: ${name}`, async () => {
      // Guards against a stream that stays with a server from which nothing new comes.
      await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 6000 })])
      const pieces = chunkOf(text)
      await addServers(socket => {
        socket.write(streamHead('bad') + events(1, 3).map(chunkOf).join(''))
        const timer = setInterval(() => socket.write(pieces), 50)
        socket.on('close', () => clearInterval(timer))
        return undefined
      }, (socket, head) => { socket.write(`${streamHead(idOf(head))}${events(4, 6).map(chunkOf).join('')}0\r\n\r\n`) })
      const startMs = performance.now()
      const answer = await fixture.send('bad')
      expect(performance.now() - startMs).to.be.below(2000)
      expect(answer.isComplete).to.equal(true)
      expect(answer.body.match(/id: \d+\ndata: t\d+\n\n/g)).to.deep.equal(events(1, 6))
    })
  }

  it('in small pieces count against their server: a stream that cannot go on', async () => {
    await fixture.start([route({ kind: 'stream', timeoutMs: 1500 })])
    await addServers(socket => {
      socket.write(streamHead('bad') + chunkOf(event(1)))
      const timer = setInterval(() => socket.write(chunkOf(': x\n\n')), 50)
      socket.on('close', () => clearInterval(timer))
      return undefined
    })
    expect((await fixture.send('bad')).isComplete).to.equal(false)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare).to.be.above(0)
  })

  it('in small pieces count against their server: a body', async () => {
    // Guards against sending further requests to a server that begins answers and does not end them.
    await fixture.start([route({ timeoutMs: 500 })])
    await addServers(socket => {
      dribble(socket, `HTTP/1.1 200 OK\r\n${stamped('bad')}\r\n`, 'x')
      return undefined
    })
    expect((await fixture.send('bad')).status).to.equal(504)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare).to.be.above(0)
  })

  it('in small pieces do not count against a server whose stream makes progress', async () => {
    await fixture.start([route({ kind: 'stream', timeoutMs: 1500 })])
    await addServers(socket => {
      let id = 0
      socket.write(streamHead('bad'))
      const timer = setInterval(() => socket.write(chunkOf(event(++id))), 50)
      socket.on('close', () => clearInterval(timer))
      return undefined
    })
    expect((await fixture.send('bad')).isComplete).to.equal(false)
    expect(fixture.fleet.servers.get(flooding[0]!)!.failureShare).to.equal(0)
  })

  for (const [name, prefix, text] of [['a head', '', `HTTP/1.1 200 OK\r\n${'X-A: b\r\n'.repeat(10)}`], ['interim responses', '', 'HTTP/1.1 103 A\r\n\r\n'], ['skipped responses', '', 'HTTP/1.1 204\r\nX-Attempt-Id:o\r\n\r\n']] as const) {
    it(`byte by byte are no progress of a plain request: ${name}`, async () => {
      await fixture.start([route({ kind: 'idempotent', objectiveMs: 100 })])
      await addServers(socket => {
        dribble(socket, prefix, text)
        return undefined
      })
      const startMs = performance.now()
      expect(await fixture.send('bad', { method: 'GET' })).to.include({ status: 200, body: 'ok' })
      expect(performance.now() - startMs).to.be.below(1000)
    })

    it(`byte by byte end at the deadline of an unsafe request: ${name}`, async () => {
      await fixture.start([route({ timeoutMs: 500 })])
      await addServers(socket => {
        dribble(socket, prefix, text)
        return undefined
      })
      const startMs = performance.now()
      expect((await fixture.send('bad')).status).to.equal(504)
      expect(performance.now() - startMs).to.be.below(1000)
    })
  }

  it('are split into events in linear time', () => {
    // Guards against a search through all that was kept, for each piece or each event.
    const splitter = new EventSplitter()
    const startMs = performance.now()
    for (let sent = 0; sent < 256 * 1024; sent++) splitter.push(Buffer.from('x'))
    splitter.push(Buffer.from('\n\n'))
    expect(splitter.push(Buffer.from(':\n\n'.repeat(100_000)))).to.have.length(100_000)
    expect(performance.now() - startMs).to.be.below(2000)
  })

  for (const { name, prefix, unit } of plainCases) {
    it(`do not hold up questions and orders to an engine: ${name}`, async () => {
      await fixture.addServer('a', socket => { floods.push(new Flood(socket, prefix('x'), unit)) })
      const server = fixture.fleet.servers.get('a')!
      const calls = new EngineClient(new SystemClock(), codecs)
      const startMs = performance.now()
      expect(await calls.queryState(server)).to.equal(undefined)
      expect(await calls.sendCommand(server, { action: 'load', model: 'm', expectedCommandCount: 0, holder: 'h', fence: 1 })).to.equal('unknown')
      expect(performance.now() - startMs).to.be.below(answerWithinMs)
      for (const flood of floods) {
        expect(await within(closeWithinMs, flood.closed)).to.equal(true)
        expect(flood.takenBytes, 'bytes taken').to.be.below(boundedBytes)
      }
      expect(watch.stop()).to.be.below(longestBlockMs)
    })
  }
})

describe('bytes without end', () => {
  let server: Server
  let floods: Flood[]
  let watch: LoopWatch
  let prefix: string
  let unit: string

  beforeEach(async () => {
    floods = []
    watch = new LoopWatch()
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => floods.push(new Flood(socket, prefix, unit)))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => {
    watch.stop()
    return server.close()
  })
  const port = () => (server.address() as AddressInfo).port

  const expectBounded = async (flood: Flood) => {
    expect(await within(closeWithinMs, flood.closed), 'the connection is closed').to.equal(true)
    expect(flood.takenBytes, 'bytes taken').to.be.below(boundedBytes)
    expect(watch.stop(), 'longest turn of the event loop, in ms of processor time').to.be.below(longestBlockMs)
  }

  const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
  const answers = [
    ['a head', 'HTTP/1.1 200 OK\r\n', 'X-A: b\r\n'],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    ['a chunked body', chunkedHead, chunkOf('x'.repeat(1000))],
    ['a body in chunks of one byte', chunkedHead, chunkOf('x')],
    ['a chunk size', chunkedHead, '0'],
    ['a chunk extension', `${chunkedHead}1;`, 'x'],
    ['chunks of one byte with long extensions', chunkedHead, `1;${'x'.repeat(1000)}\r\nx\r\n`],
    ['a body without length', 'HTTP/1.1 200 OK\r\n\r\n', 'x'],
    ['trailers', `${chunkedHead}0\r\n`, 'X-A: b\r\n']
  ] as const
  for (const [name, first, rest] of answers) {
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

  for (const [name, first, rest] of answers) {
    it(`of a call end at a limit that does not depend on time: ${name}`, async () => {
      // Guards against a limit on the body alone: framing is read without end until the call times out.
      [prefix, unit] = [first, rest]
      const caller = new HttpCaller('server', `127.0.0.1:${port()}`, new SystemClock())
      const error = await caller.answer('/', { timeoutMs: callTimeoutMs }).then(() => undefined, (failure: unknown) => failure)
      expect(error).to.be.instanceOf(UnknownOutcomeError)
      expect((error as Error).message).not.to.contain('did not finish')
      await expectBounded(floods[0]!)
      await caller.close()
    })
  }

  it('are counted for each answer, not for each connection', async () => {
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
    ['an event', chunkedHead, chunkOf('x'.repeat(1000))],
    ['an event in chunks of one byte', chunkedHead, chunkOf('x')],
    ['empty lines', chunkedHead, chunkOf('\n'.repeat(1000))],
    ['a chunk extension', `${chunkedHead}1;`, 'x'],
    ['the text of a failure', chunkedHead.replace('200 OK', '500 Failed'), chunkOf('x'.repeat(1000))]
  ] as const) {
    it(`of an engine's own stream end at a limit: ${name}`, async () => {
      // Guards against a stream that fills the node's memory, or is read for ever.
      [prefix, unit] = [first, rest]
      const engine = new HttpEngine({ engine: 'e', address: `127.0.0.1:${port()}`, clock: new SystemClock() })
      const error = await engine.resume('r', 0, { attemptId: 'a' })[Symbol.asyncIterator]().next().then(() => undefined, (failure: unknown) => failure)
      expect(error).to.be.instanceOf(CallError)
      expect(await within(closeWithinMs, floods[0]!.closed), 'the connection is closed').to.equal(true)
      expect(floods[0]!.takenBytes, 'bytes taken').to.be.below(streamBoundedBytes)
      expect(watch.stop(), 'longest turn of the event loop, in ms of processor time').to.be.below(longestBlockMs)
      await engine.close()
    })
  }

  for (const [name, bytes] of [['no frame', 'x'], ['a frame', '\x00\x1f\xff\xff']] as const) {
    it(`from a peer end at a limit: ${name}`, async () => {
      let joined = 0
      const peers = new PeerServer({ clock: new SystemClock(), onMessage: () => {}, onJoined: () => { joined++ } })
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
