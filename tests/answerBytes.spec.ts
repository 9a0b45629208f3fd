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
})
