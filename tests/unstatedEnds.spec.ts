import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { Stream } from 'openai/streaming'
import { readEvents } from './fixtures/eventReader.js'
import { isFramed } from './fixtures/framing.js'
import { bodyOf } from './fixtures/rawClient.js'
import { aliveAnswer, chunk, events, requestIdOf, RequestProxyFixture, route, signedHeaders, streamHead } from './fixtures/requestProxyFixture.js'
import type { ClientResponse, Script } from './fixtures/requestProxyFixture.js'

const chunkedHead = (head: string) => streamHead(head, 'Transfer-Encoding: chunked\r\n')

/** A pause of an engine between two events. */
const pauseMs = 150

/** Whether the response has a length or chunks, and all of it has arrived. */
const isStatedComplete = ({ isComplete, headers }: ClientResponse) => isComplete && isFramed(headers)

describe('answers whose end no server stated', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  // Guards against a last chunk on a stream whose engine lives and closed the connection in order before its end.
  it('get no last chunk when a stream stops between two events', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(streamHead(head) + events(1, 2)) })
    const response = await fixture.send('id1')
    expect(isStatedComplete(response), 'the stream is framed as complete').to.equal(false)
    expect(response).to.include({ status: 200, isComplete: true, events: events(1, 2) })
  })

  // The same before the first event: nothing has been sent yet, so the client can still get a failure.
  it('become a failure when a stream stops after its head', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(streamHead(head)) })
    const response = await fixture.send('id1')
    expect(isStatedComplete(response) && response.status === 200, 'the stream is framed as complete').to.equal(false)
    expect(response.status).to.equal(502)
  })

  // Guards against a length that the node gives to an answer which its living server did not complete.
  it('get no length when a plain answer stops', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\n${'x'.repeat(40_000)}`) })
    const response = await fixture.send('id1')
    expect(isStatedComplete(response), 'the answer is framed as complete').to.equal(false)
    expect(response.body).to.have.length(40_000)
  })

  // Guards against runs joined into one stream whose last part stated no end.
  it('get no last chunk when the run that continues a stream stops', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    await fixture.addServer('a', (socket, head, count) => {
      if (count === 1) socket.write(chunkedHead(head) + chunk(events(1, 2)), () => socket.destroy())
      else socket.end(streamHead(head) + (count === 2 ? events(3, 3) : ''))
    })
    await fixture.addServer('b', (socket, head) => { socket.end(streamHead(head) + events(3, 3)) })
    const response = await fixture.send('id1')
    expect(isStatedComplete(response), 'the joined stream is framed as complete').to.equal(false)
    expect(response.body).to.equal(events(1, 3))
  })

  // The same where an engine can say that nothing follows, or what does.
  for (const left of ['', events(4, 5)]) {
    it(`are asked for the rest when the run that continues a stream stops: ${left === '' ? 'nothing' : 'two events'} left`, async () => {
      await fixture.start([route({ kind: 'stream', resumable: true })])
      const script: Script = (socket, head) => {
        const last = /last-event-id: (\d+)/i.exec(head)?.[1]
        if (last === undefined) socket.write(chunkedHead(head) + chunk(events(1, 2)), () => socket.destroy())
        else if (last === '2') socket.end(streamHead(head) + events(2, 3))
        else socket.write(`${chunkedHead(head)}${left === '' ? '' : chunk(left)}0\r\n\r\n`)
      }
      for (const id of ['a', 'b']) await fixture.addServer(id, script)
      const response = await fixture.send('id1')
      expect(isStatedComplete(response)).to.equal(true)
      expect(response.body).to.equal(events(1, 3) + left)
    })
  }

  it('are not taken for the end when the run that continues a stream brings nothing', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true })])
    const script: Script = (socket, head) => {
      if (/last-event-id/i.test(head)) socket.end(streamHead(head))
      else socket.write(streamHead(head) + events(1, 2), () => setTimeout(() => socket.resetAndDestroy(), 20))
    }
    for (const id of ['a', 'b']) await fixture.addServer(id, script)
    const response = await fixture.send('id1')
    expect(response).to.include({ isComplete: false, isInOrder: false })
    expect(response.body).to.equal(events(1, 2).slice(0, -1))
  })

  // Guards against a whole stream that is broken off because its engine, asked for the rest, has nothing to bring.
  it('are the end when an engine ends in order, cannot be shown to live, and then brings nothing', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 5000 })])
    let isAnswering = false
    fixture.answerQuestion = socket => { if (isAnswering) socket.write(aliveAnswer) }
    await fixture.addServer('a', (socket, head) => {
      isAnswering = /last-event-id/i.test(head)
      socket.end(streamHead(head) + (isAnswering ? '' : events(1, 2)))
    })
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: true, events: events(1, 2) })
    expect(fixture.received).to.have.length(2)
  })

  // The same where the first engine's end does not arrive.
  it('are the end when an engine falls silent after the last event and another one brings nothing', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 8000 })])
    const script: Script = (socket, head) => {
      if (/last-event-id/i.test(head)) socket.end(streamHead(head))
      else socket.write(streamHead(head) + events(1, 2))
    }
    for (const id of ['a', 'b']) await fixture.addServer(id, script)
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: true, events: events(1, 2) })
    expect(fixture.received).to.have.length(2)
  })

  // Guards against a whole stream that is broken off because an attempt between its end and the empty run was refused.
  it('are the end when an engine cannot be shown to live, another one refuses, and the first then brings nothing', async () => {
    await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 8000 })])
    let isAnswering = false
    fixture.answerQuestion = socket => {
      if (isAnswering) socket.write(aliveAnswer)
      else socket.destroy()
    }
    const refuse: Script = (socket, head) => {
      isAnswering = true
      socket.write(`HTTP/1.1 503 Service Unavailable\r\n${signedHeaders(requestIdOf(head), 'X-Not-Executed: 1\r\n')}Content-Length: 0\r\n\r\n`)
    }
    await fixture.addServer('a', async (socket, head, count) => {
      if (count === 1) await fixture.addServer('b', refuse)
      socket.end(streamHead(head) + (count === 1 ? events(1, 2) : ''))
    })
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: true, events: events(1, 2) })
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a', 'b', 'a'])
  })

  // Guards against a stream that looks complete because the node is killed while it passes it on: its kernel closes the connection in order.
  it('leave their client inside an event while they last', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    let continued = (_text: string) => {}
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head) + events(1, 1))
      continued = text => { socket.end(text) }
    })
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n')
    while (!bodyOf(text()).endsWith('data: t\n')) await once(socket, 'data')
    await sleep(pauseMs)
    expect(readEvents(bodyOf(text()))).to.deep.equal({ events: '', rest: 'id: 1\ndata: t\n' })
    continued(events(2, 2))
    await once(socket, 'end')
    expect(bodyOf(text())).to.equal(events(1, 2))
  })

  // Guards against bytes of the node's own, and against a line end after which a cut would look like the end, while the engine pauses.
  it('get all but the last line end while the engine pauses', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.write(streamHead(head) + events(1, 2)) })
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n')
    while (!text().includes('id: 2')) await once(socket, 'data')
    await sleep(pauseMs)
    expect(bodyOf(text())).to.equal(events(1, 2).slice(0, -1))
  })

  // Guards against a stream that looks whole because its client's connection is closed in order for another reason.
  for (const [reason, act] of [
    ['the client sends no more', (socket: Socket) => socket.end()],
    ['the client sends what is no request', (socket: Socket) => socket.write('\0\r\n\r\n')],
    ['the client sends too many requests', (socket: Socket) => socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'.repeat(40))]
  ] as const) {
    it(`leave their client inside an event when ${reason}`, async () => {
      await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
      await fixture.addServer('a', (socket, head) => { socket.write(streamHead(head) + events(1, 2)) })
      const { socket, text } = fixture.connect()
      socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n')
      while (!text().includes('id: 2')) await once(socket, 'data')
      act(socket)
      await Promise.race([once(socket, 'end'), once(socket, 'close')])
      expect(readEvents(bodyOf(text())).rest).to.not.equal('')
    })
  }

  // Guards against what a node adds to a stream that usual clients take for events.
  it('are read as they were sent by an OpenAI client', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    const parts = ['{"n":1}', '{"n":2}', '[DONE]']
    await fixture.addServer('a', async (socket, head) => {
      socket.write(streamHead(head))
      // The second event does not begin as the first one.
      for (const [index, part] of parts.entries()) {
        socket.write(`${index === 1 ? 'event: x' : `id: ${index + 1}`}\ndata: ${part}\n\n`)
        await sleep(pauseMs)
      }
      socket.end()
    })
    const { body } = await fixture.send('id1')
    const read: unknown[] = []
    for await (const part of Stream.fromSSEResponse(new Response(body), new AbortController())) read.push(part)
    expect(body).to.equal(parts.map((part, index) => `${index === 1 ? 'event: x' : `id: ${index + 1}`}\ndata: ${part}\n\n`).join(''))
    expect(read).to.deep.equal([{ n: 1 }, { n: 2 }])
  })

  // Guards against a client of HTTP/1.0, which reads no chunks, and a node that is killed.
  it('leave a client without chunks inside an event although the engine states the end', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.write(chunkedHead(head) + chunk(events(1, 1))) })
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n')
    while (!bodyOf(text()).endsWith('data: t\n')) await once(socket, 'data')
    await sleep(pauseMs)
    expect(readEvents(bodyOf(text()))).to.deep.equal({ events: '', rest: 'id: 1\ndata: t\n' })
  })

  // Guards against a body without events whose reader can't tell where it was cut.
  it('give a client without chunks a length if the stream has no events', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.write(`HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head), 'Transfer-Encoding: chunked\r\n')}\r\n${chunk('a\n\n')}${chunk('b\n\n')}0\r\n\r\n`) })
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n')
    await once(socket, 'end')
    expect(text()).to.match(/^content-length: 6\r$/im)
    expect(bodyOf(text())).to.equal('a\n\nb\n\n')
  })

  // Guards against a length of 0 that the node gives to answers that have no body of their own.
  for (const [method, status, headers, expected] of [
    ['HEAD', '200 OK', 'Content-Length: 80000\r\n', '80000'], ['HEAD', '200 OK', '', undefined], ['POST', '204 No Content', '', undefined], ['POST', '304 Not Modified', 'Content-Length: 80000\r\n', '80000']
  ] as const) {
    it(`keep the length that their server stated: ${method}, ${status}, ${expected ?? 'none'}`, async () => {
      await fixture.start([route({ maxAttempts: 1 })])
      await fixture.addServer('a', (socket, head) => { socket.write(`HTTP/1.1 ${status}\r\n${signedHeaders(requestIdOf(head))}${headers}\r\n`) })
      const response = await fixture.send('id1', { method, body: '' })
      expect(response.isComplete).to.equal(true)
      expect(response.headers['content-length']).to.equal(expected)
    })
  }
})
