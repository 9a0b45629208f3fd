/** Answers whose every byte must be their engine's, in its order. */

import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { bodyOf } from './fixtures/rawClient.js'
import { chunk, requestIdOf, RequestProxyFixture, responseTo, route, signedHeaders, streamHead } from './fixtures/requestProxyFixture.js'

const eventMs = 30
const pieces = 12

type Framing = 'neither length nor chunks' | 'a length' | 'chunks'
const framings: Framing[] = ['neither length nor chunks', 'a length', 'chunks']

const pieceOf = (id: string, index: number) => `id: ${index}\ndata: ${id} ${index}\n\n`
const textOf = (id: string) => Array.from({ length: pieces }, (_, index) => pieceOf(id, index + 1)).join('')

function headFor (requestHead: string, framing: Framing): string {
  if (framing === 'chunks') return streamHead(requestHead, 'Transfer-Encoding: chunked\r\n')
  return streamHead(requestHead, framing === 'a length' ? `Content-Length: ${textOf(requestIdOf(requestHead)).length}\r\n` : '')
}

/** Sends a stream of events, one each `eventMs`. */
async function sendStream (socket: Socket, requestHead: string, framing: Framing): Promise<void> {
  const id = requestIdOf(requestHead)
  socket.write(headFor(requestHead, framing))
  for (let index = 1; index <= pieces && !socket.destroyed; index++) {
    const piece = pieceOf(id, index)
    socket.write(framing === 'chunks' ? chunk(piece) : piece)
    await sleep(eventMs)
  }
  if (framing === 'chunks') socket.write('0\r\n\r\n')
  if (framing === 'neither length nor chunks') socket.end()
}

describe('bytes of answers', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  /** The body that a raw client reads until its connection ends. */
  async function read (id: string, version = '1.1'): Promise<string> {
    const { socket, text } = fixture.connect()
    socket.write(`POST / HTTP/${version}\r\nHost: h\r\nX-Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    await once(socket, 'end')
    return bodyOf(text())
  }

  const unframed: Record<string, (socket: Socket) => Promise<void>> = {
    'events that begin with other fields, after pauses': async socket => {
      for (const field of ['id: 1', 'event: x', 'data: y', 'x-weight-versions: 2', 'retry: 5', ': c']) {
        socket.write(`${field}\ndata: t\n\n`)
        await sleep(150)
      }
    },
    'an end long after its last event': async socket => {
      socket.write('id: 1\ndata: t\n\nid: 2\ndata: t\n\n')
      await sleep(600)
    },
    'comments while its engine pauses': async socket => {
      socket.write('id: 1\ndata: t\n\n')
      for (let count = 0; count < 3; count++) {
        await sleep(150)
        socket.write(': c\n\n')
      }
    },
    'lines that end with CRLF': async socket => {
      for (const field of ['id: 1', 'event: x', 'data: y']) {
        socket.write(`${field}\r\ndata: t\r\n\r\n`)
        await sleep(150)
      }
    },
    'a last line end in two parts': async socket => {
      socket.write('id: 1\rdata: t\r\rid: 2\rdata: t\r\r')
      await sleep(150)
      socket.write('\n')
    }
  }
  for (const version of ['1.1', '1.0']) {
    for (const [name, send] of Object.entries(unframed)) {
      // Guards against bytes that the node adds to show that a stream goes on.
      it(`are those of the engine in a stream with neither length nor chunks: ${name}, HTTP/${version}`, async () => {
        await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
        let sent = ''
        await fixture.addServer('a', async (socket, head) => {
          socket.write(streamHead(head))
          const { write } = socket
          const record = Object.assign(Object.create(socket) as Socket, { write: (text: string) => { sent += text; return write.call(socket, text) } })
          await send(record)
          socket.end()
        })
        expect(await read('id1', version)).to.equal(sent)
      })
    }
  }

  /** Streams in chunks after which a node expects more of them. */
  const streamsBefore = 10

  /**
   * Answers some streams in chunks, then one with a length, which it writes once more 150 ms later, while it sends the next one with
   * `framing`. Returns whether both had the same connection.
   */
  async function stutter (framing: Framing, copyOf: (answer: string) => string, before: number): Promise<() => boolean> {
    const sockets: Socket[] = []
    await fixture.addServer('a', (socket, head, count) => {
      const text = textOf(requestIdOf(head))
      if (count <= before) return socket.write(`${headFor(head, 'chunks')}${chunk(text)}0\r\n\r\n`)
      sockets.push(socket)
      if (count > before + 1) return sendStream(socket, head, framing)
      const answer = `${headFor(head, 'a length')}${text}`
      socket.write(answer)
      setTimeout(() => { if (!socket.destroyed) socket.write(copyOf(answer)) }, 150)
    })
    for (let count = 1; count <= before; count++) await fixture.send(`before${count}`)
    return () => sockets[0] === sockets[1]
  }

  const copies: Record<string, (answer: string) => string> = {
    whole: answer => answer,
    'cut in its head': answer => answer.slice(0, 40),
    'cut in its body': answer => answer.slice(0, answer.indexOf('\r\n\r\n') + 60)
  }
  for (const framing of framings) {
    for (const [name, copyOf] of Object.entries(copies)) {
      // Guards against an earlier answer that the engine sends once more in the middle of another stream.
      it(`are not those of an earlier answer, ${name}, that the engine repeats in a stream with ${framing}`, async () => {
        await fixture.start([route({ kind: 'stream', resumable: true, maxAttempts: 2, timeoutMs: 5000 })])
        await stutter(framing, copyOf, 0)
        expect((await fixture.send('id0')).body).to.equal(textOf('id0'))
        expect(await fixture.send('id1')).to.include({ isComplete: true, body: textOf('id1') })
      })
    }
  }

  // Guards against the same at an engine of which the node has not seen yet that a stream of its may come without chunks.
  it('are not those of an earlier answer in the first stream that comes without chunks', async () => {
    for (const framing of framings) {
      for (const [name, copyOf] of Object.entries(copies)) {
        fixture = new RequestProxyFixture()
        await fixture.start([route({ kind: 'stream', resumable: true, maxAttempts: 2, timeoutMs: 5000 }), route({ name: 'plain', kind: 'idempotent', pathPrefix: '/plain/' })])
        const hasSameConnection = await stutter(framing, copyOf, streamsBefore)
        expect((await fixture.send('id0', { path: '/plain/' })).body).to.equal(textOf('id0'))
        const { body, events, isComplete } = await fixture.send('id1')
        expect(hasSameConnection(), `${framing}, ${name}: on the same connection`).to.equal(true)
        expect(isComplete).to.equal(false)
        expect(textOf('id1').startsWith(events), JSON.stringify(body)).to.equal(true)
        expect(body).to.not.include('HTTP/1.1')
        fixture.stop()
      }
    }
  })

  // Guards against the same in a plain answer whose engine sends its head, or a part of its body, before the rest.
  for (const [name, copyOf] of Object.entries(copies)) {
    it(`are not those of an earlier answer, ${name}, that the engine repeats in a plain answer`, async () => {
      await fixture.start([route({ kind: 'idempotent', maxAttempts: 2 })])
      const served = new Set<Socket>()
      const body = 'y'.repeat(400)
      await fixture.addServer('a', async (socket, head) => {
        const answer = responseTo(requestIdOf(head), body)
        if (served.has(socket)) {
          socket.write(answer.slice(0, answer.length - 200))
          await sleep(100)
          socket.write(answer.slice(answer.length - 200))
          return
        }
        served.add(socket)
        socket.write(answer)
        setTimeout(() => { if (!socket.destroyed) socket.write(copyOf(answer)) }, 60)
      })
      expect((await fixture.send('id0')).body).to.equal(body)
      const response = await fixture.send('id1')
      if (response.status === 200) expect(response.body).to.equal(body)
      else expect(response.status).to.equal(502)
    })
  }

  for (const kind of ['stream', 'idempotent'] as const) {
    // Guards against an answer that its engine sends twice before it closes the connection that ends it.
    it(`are not those of the same answer once more, with neither length nor chunks: ${kind}`, async () => {
      await fixture.start([route({ kind, maxAttempts: 1 })])
      const text = textOf('id1')
      await fixture.addServer('a', (socket, head) => {
        const answer = `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head), kind === 'stream' ? 'Content-Type: text/event-stream\r\n' : '')}\r\n${text}`
        socket.end(answer + answer)
      })
      const { status, body } = await fixture.send('id1')
      if (status === 200) expect(text.startsWith(body), JSON.stringify(body)).to.equal(true)
      else expect(status).to.equal(502)
    })
  }

  /** A response of `head` whose parts are written 40 ms apart. */
  async function sendParts (socket: Socket, parts: string[]): Promise<void> {
    for (const part of parts) {
      if (socket.destroyed) return
      socket.write(part)
      await sleep(40)
    }
  }

  const half = (text: string) => text.indexOf('id: 7')

  for (const framing of ['a length', 'chunks'] as const) {
    // Guards against an engine that writes the answer in progress a second time, from its head, before it is complete.
    it(`are not those of the same answer once more, in its middle, on a new connection, in a stream with ${framing}`, async () => {
      await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
      const text = textOf('id1')
      await fixture.addServer('a', (socket, requestHead) => {
        const head = headFor(requestHead, framing)
        if (framing === 'a length') return sendParts(socket, [head + text.slice(0, half(text)), head + text, text.slice(half(text))])
        const size = `${text.length.toString(16)}\r\n`
        return sendParts(socket, [head + size + text.slice(0, half(text)), `${head}${size}${text}\r\n0\r\n\r\n`, `${text.slice(half(text))}\r\n0\r\n\r\n`])
      })
      const { body, isComplete } = await fixture.send('id1')
      expect(text.startsWith(body), JSON.stringify(body)).to.equal(true)
      if (isComplete) expect(body).to.equal(text)
    })
  }

  // Guards against the same in a plain answer, which a client would get as whole.
  it('are not those of the same answer once more, in its middle, on a new connection, in a plain answer', async () => {
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 1 })])
    const answer = responseTo('id1', 'y'.repeat(400))
    await fixture.addServer('a', socket => { void sendParts(socket, [answer.slice(0, -200), answer, answer.slice(-200)]) })
    const { status, body } = await fixture.send('id1')
    if (status === 200) expect(body).to.equal('y'.repeat(400))
    else expect(status).to.equal(502)
  })

  // Guards against a copy between a chunk's size line and its data, of which a line end stands where the chunk is to end.
  it('are not those of an earlier answer that comes between the size line of a chunk and its data', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
    let earlier = ''
    await fixture.addServer('a', async (socket, requestHead, count) => {
      const head = headFor(requestHead, 'chunks')
      const text = textOf(requestIdOf(requestHead))
      if (count <= streamsBefore) {
        earlier = `${head}${chunk(text.slice(0, half(text)))}${chunk(text.slice(half(text)))}0\r\n\r\n`
        return socket.write(earlier)
      }
      // As long as the copy up to the end of its first chunk.
      const size = earlier.lastIndexOf('\r\n', earlier.lastIndexOf('\r\n', earlier.indexOf('id: 7')) - 1)
      const own = text.padEnd(size - 2, ' ').slice(0, size - 2) + '\n\n'
      await sendParts(socket, [`${head}${size.toString(16)}\r\n`, earlier, `${own}\r\n0\r\n\r\n`])
    })
    for (let count = 1; count <= streamsBefore; count++) await fixture.send(`before${count}`)
    const { status, body, isComplete } = await fixture.send('id1')
    expect(body).to.not.include('HTTP/1.1')
    expect(status === 502 || !isComplete).to.equal(true)
  })

  // Guards against the loss of an event's first field, which readers don't know with a byte order mark before it.
  it('have no byte order mark in the middle of a stream that another run continues', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true, maxAttempts: 2, timeoutMs: 5000 })])
    const text = textOf('id1')
    let runs = 0
    for (const id of ['a', 'b']) {
      await fixture.addServer(id, (socket, head) => {
        if (++runs > 1) return socket.write(`${headFor(head, 'chunks')}${chunk(`\ufeff${text.slice(half(text))}`)}0\r\n\r\n`)
        socket.write(`${headFor(head, 'chunks')}${chunk(`\ufeff${text.slice(0, half(text))}`)}`)
        setTimeout(() => socket.destroy(), 50)
      })
    }
    expect((await fixture.send('id1')).body).to.equal(`\ufeff${text}`)
  })

  const quotations: Record<string, string> = {
    'a batch of responses': '--b\r\nContent-Type: application/http\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}\r\n--b--\r\n',
    'a status line in prose': 'The server answers\r\nHTTP/1.1 404 Not Found\r\nand closes.\r\n'
  }
  for (const [name, body] of Object.entries(quotations)) {
    // Guards against a sound answer that is refused for what it quotes: requests of this kind have no other attempt.
    it(`are passed on where the answer is ${name}`, async () => {
      await fixture.start([route({ kind: 'unsafe', maxAttempts: 1 })])
      await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), body)) })
      for (const id of ['id0', 'id1']) expect(await fixture.send(id)).to.include({ status: 200, body })
    })
  }

  // Guards against events that wait for the end of a chunk that holds several, written as they come.
  it('are passed on as they come in a large chunk of a connection that was used before', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
    const text = textOf('id1')
    await fixture.addServer('a', async (socket, head, count) => {
      if (count <= streamsBefore) return socket.write(`${headFor(head, 'chunks')}${chunk(textOf(requestIdOf(head)))}0\r\n\r\n`)
      socket.write(`${headFor(head, 'chunks')}${text.length.toString(16)}\r\n`)
      for (let index = 1; index <= pieces; index++) {
        socket.write(pieceOf('id1', index))
        await sleep(100)
      }
      socket.write('\r\n0\r\n\r\n')
    })
    for (let count = 1; count <= streamsBefore; count++) await fixture.send(`before${count}`)
    const start = Date.now()
    let firstMs = Infinity
    const { body } = await fixture.send('id1', { onResponse: response => response.once('data', () => { firstMs = Date.now() - start }) })
    expect(body).to.equal(text)
    expect(firstMs).to.be.below(500)
  })

  // Guards against a second run of a plain request whose answer comes, but in one chunk that takes long.
  it('are read as they come in a large chunk of a plain answer on a connection that was used before', async () => {
    await fixture.start([route({ kind: 'idempotent', objectiveMs: 50, timeoutMs: 5000 })])
    const body = 'y'.repeat(2000)
    for (const id of ['a', 'b']) {
      const served = new Set<Socket>()
      await fixture.addServer(id, async (socket, head) => {
        if (!served.has(socket)) {
          served.add(socket)
          return socket.write(responseTo(requestIdOf(head), body))
        }
        socket.write(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head), 'Transfer-Encoding: chunked\r\n')}\r\n${body.length.toString(16)}\r\n`)
        for (let index = 0; index < 20; index++) {
          socket.write(body.slice(0, 100))
          await sleep(50)
        }
        socket.write('\r\n0\r\n\r\n')
      })
    }
    await Promise.all(['id0', 'id1', 'id2', 'id3'].map(id => fixture.send(id)))
    const before = fixture.received.length
    expect(await fixture.send('id4')).to.include({ status: 200, body })
    expect(fixture.received.length - before).to.equal(1)
  })

  for (const framing of ['a length', 'chunks'] as const) {
    // Guards against the same where the copy breaks off before it names its request.
    it(`are not those of the same answer, cut in its first header, in its middle, on a new connection, in a stream with ${framing}`, async () => {
      await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
      const text = textOf('id1')
      await fixture.addServer('a', (socket, requestHead) => {
        const head = `${headFor(requestHead, framing)}${framing === 'chunks' ? `${text.length.toString(16)}\r\n` : ''}`
        const end = framing === 'chunks' ? '\r\n0\r\n\r\n' : ''
        return sendParts(socket, [head + text.slice(0, half(text)), head.slice(0, 22), text.slice(half(text)) + end])
      })
      const { body } = await fixture.send('id1')
      expect(body).to.not.include('HTTP/1.1')
    })
  }

  // Guards against a connection for each stream of a service whose streams come in chunks.
  it('may come on connections that were used before after a response without a body at the route of streams', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
    const sockets = new Set<Socket>()
    await fixture.addServer('a', (socket, head) => {
      sockets.add(socket)
      socket.write(headFor(head, 'chunks'))
      if (!head.startsWith('HEAD')) socket.write(`${chunk(textOf(requestIdOf(head)))}0\r\n\r\n`)
    })
    for (let count = 1; count <= streamsBefore; count++) await fixture.send(`before${count}`)
    expect((await fixture.send('head', { method: 'HEAD', body: '' })).status).to.equal(200)
    sockets.clear()
    for (let count = 1; count <= 3; count++) expect((await fixture.send(`after${count}`)).body).to.equal(textOf(`after${count}`))
    expect(sockets.size).to.equal(1)
  })

  // Guards against a deadline that completes the last event of a stream whose engine pauses.
  it('do not complete an event at the deadline of a stream with neither length nor chunks', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 400 })])
    const text = textOf('id1').slice(0, half(textOf('id1')))
    await fixture.addServer('a', (socket, head) => { socket.write(headFor(head, 'neither length nor chunks') + text) })
    const { body, isComplete } = await fixture.send('id1')
    expect(isComplete).to.equal(false)
    expect(body).to.equal(text.slice(0, -1))
  })

  // Guards against answers that change places or miss bytes where a client sends its requests without waiting.
  it('are those of each stream of a client that sends several requests at once', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 5000 })])
    await fixture.addServer('a', (socket, head) => sendStream(socket, head, 'chunks'))
    const { socket, text } = fixture.connect()
    const ids = ['p1', 'p2', 'p3']
    for (const id of ids) socket.write(`POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    await sleep(1200)
    const bodies = text().split('HTTP/1.1 200 OK').slice(1).map(answer => [...answer.slice(answer.indexOf('\r\n\r\n')).matchAll(/id: \d+\ndata: .*\n\n/g)].join(''))
    expect(bodies).to.deep.equal(ids.map(id => textOf(id)))
  })
})
