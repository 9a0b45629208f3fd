/** Answers whose every byte must be their engine's, in its order. */

import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { bodyOf } from './fixtures/rawClient.js'
import { RequestProxyFixture, route, streamHead } from './fixtures/requestProxyFixture.js'

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
})
