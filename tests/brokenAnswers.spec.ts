import type { Socket } from 'node:net'
import { expect } from 'chai'
import { chunk, requestIdOf, RequestProxyFixture, responseTo, route, signedHeaders, streamHead } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`
const events = (from: number, last: number) => Array.from({ length: last - from + 1 }, (_, index) => event(from + index)).join('')
const firstEventOf = (head: string) => Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0) + 1
const resumable = () => route({ kind: 'stream', resumable: true })
const lastEvent = 6

/** Sends the first `bytes` of an answer and closes in order. */
function cutAfter (bytes: number, text: (head: string) => string): Script {
  return (socket, head) => { socket.end(text(head).slice(0, bytes)) }
}

/** A whole stream without a length or chunks, which ends with its connection. */
const unframed: Script = (socket, head) => { socket.end(streamHead(head, '') + events(firstEventOf(head), lastEvent)) }

const chunkedFraming = 'Transfer-Encoding: chunked\r\n'
const chunked: Script = (socket, head) => { socket.end(`${streamHead(head, chunkedFraming)}${chunk(events(firstEventOf(head), lastEvent))}0\r\n\r\n`) }

describe('answers that their server breaks off', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  const answers: Record<string, (head: string) => string> = {
    'with a length': head => responseTo(requestIdOf(head), 'whole'),
    'in chunks': head => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}Transfer-Encoding: chunked\r\n\r\n${chunk('whole')}0\r\n\r\n`
  }
  const lengthOf = (text: (head: string) => string, id: string) => text(`x-attempt-id: ${id}`).length

  // Guards against an answer that ends within its head, or before its first chunk, and reaches the client as a whole one.
  for (const [name, text] of Object.entries(answers)) {
    for (const isKept of [false, true]) {
      it(`are no successes wherever they end: ${name}${isKept ? ', on a kept connection' : ''}`, async () => {
        await fixture.start([route({ maxAttempts: 1 })])
        let cutBytes = 0
        await fixture.addServer('a', (socket: Socket, head, count) => {
          if (isKept && count % 2 === 1) socket.write(responseTo(requestIdOf(head), 'before'))
          else cutAfter(cutBytes, text)(socket, head, count)
        })
        for (cutBytes = 0; cutBytes < lengthOf(text, 'i100'); cutBytes += 3) {
          if (isKept) expect((await fixture.send(`k${100 + cutBytes}`)).body).to.equal('before')
          const response = await fixture.send(`i${100 + cutBytes}`)
          expect(response.status === 200 && response.isComplete, `cut after ${cutBytes} bytes`).to.equal(false)
        }
      })
    }
  }

  for (const [name, framing, content, whole] of [['without framing', '', events(1, 3), unframed], ['in chunks', chunkedFraming, chunk(events(1, 3)), chunked]] as const) {
    it(`are resumed wherever a stream ends within its head or an event: ${name}`, async () => {
      await fixture.start([resumable()])
      let cutBytes = 0
      // The cut stream must not be chosen for the rest.
      let isCut = false
      const script: Script = (socket, head, count) => {
        if (!isCut) {
          isCut = true
          return cutAfter(cutBytes, text => streamHead(text, framing) + content)(socket, head, count)
        }
        whole(socket, head, count)
      }
      for (const id of ['a', 'b']) await fixture.addServer(id, script)
      const headBytes = streamHead('x-attempt-id: i1000', framing).length
      // Within the head, or in the middle of the second event.
      for (cutBytes of [1, 10, Math.floor(headBytes / 2), headBytes - 1, headBytes + content.indexOf('data: t2') + 3]) {
        isCut = false
        const response = await fixture.send(`i${1000 + cutBytes}`)
        expect(response, `cut after ${cutBytes} bytes`).to.include({ status: 200, isComplete: true, events: events(1, lastEvent) })
      }
    })
  }

  it('are no complete streams if they cannot be resumed', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(`${streamHead(head, '')}${events(1, 2)}id: 3\ndata: t3\n`) })
    const response = await fixture.send('id1')
    expect(response).to.include({ isComplete: false, isInOrder: false })
    // Nothing of the third event, which is not whole.
    expect(response.body).to.be.oneOf([events(1, 2).slice(0, -1), `${events(1, 2)}i`])
  })
})

describe('streams without a length or chunks', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  it('are complete when they end with their connection', async () => {
    await fixture.start([resumable()])
    await fixture.addServer('a', unframed)
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: true, events: events(1, lastEvent) })
    expect(fixture.received).to.have.length(1)
  })

  it('are broken off by a reset', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.write(streamHead(head, '') + events(1, 2), () => setTimeout(() => socket.resetAndDestroy(), 20)) })
    expect(await fixture.send('id1')).to.include({ isComplete: false, isInOrder: false })
  })

  it('are broken off by the end of their server', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head, '') + events(1, 2), () => { fixture.endServers() })
    })
    expect(await fixture.send('id1')).to.include({ isComplete: false, isInOrder: false })
  })

  it('go on at another engine in whole events', async () => {
    await fixture.start([resumable()])
    let count = 0
    const script: Script = (socket, head, sent) => {
      if (count++ === 0) socket.end(`${streamHead(head, '')}${events(1, 2)}id: 3\nda`)
      else unframed(socket, head, sent)
    }
    for (const id of ['a', 'b']) await fixture.addServer(id, script)
    expect(await fixture.send('id1')).to.include({ status: 200, isComplete: true, events: events(1, lastEvent) })
    expect(fixture.received[1]!.head).to.match(/last-event-id: 2/i)
  })
})

describe('requests late in a planned stop', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  // Guards against a request that is passed on at the end of the grace time and cut off without an answer.
  it('are refused if their bodies are complete only then', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) })
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 4\r\n\r\nab')
    await new Promise(resolve => setTimeout(resolve, 50))
    fixture.proxy.closeConnections()
    fixture.proxy.refuseRequests()
    socket.write('cd')
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(text()).to.match(/^HTTP\/1.1 503 /)
    expect(fixture.received).to.deep.equal([])
  })

  it('are not sent to another server then', async () => {
    await fixture.start([route()])
    const rejecting: Script = socket => {
      fixture.proxy.refuseRequests()
      socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    }
    for (const id of ['a', 'b']) await fixture.addServer(id, rejecting)
    expect((await fixture.send('id1')).status).to.equal(503)
    expect(fixture.received).to.have.length(1)
  })

  it('get an answer before the process ends', async () => {
    await fixture.start([route({ maxAttempts: 3 })])
    await fixture.addServer('a', () => {})
    const response = fixture.send('id1')
    while (fixture.received.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
    fixture.proxy.refuseRequests()
    fixture.proxy.abandonRequests()
    // It may have run, so nothing is promised.
    expect(await response).to.include({ status: 502, isComplete: true })
    expect(fixture.received).to.have.length(1)
  })
})
