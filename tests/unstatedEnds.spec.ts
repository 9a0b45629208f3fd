import { expect } from 'chai'
import { chunk, requestIdOf, RequestProxyFixture, route, signedHeaders } from './fixtures/requestProxyFixture.js'
import type { ClientResponse } from './fixtures/requestProxyFixture.js'

const events = (from: number, last: number) => Array.from({ length: last - from + 1 }, (_, index) => `id: ${from + index}\ndata: t\n\n`).join('')
const headOf = (head: string, extra = '') => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}Content-Type: text/event-stream\r\n${extra}\r\n`
const chunkedHead = (head: string) => headOf(head, 'Transfer-Encoding: chunked\r\n')

/** The stream as an event source reads it: without comments. */
const eventsOf = ({ body }: ClientResponse) => body.replaceAll(/^:\n\n/gm, '')
/** Whether the response has a length or chunks, and all of it has arrived. */
const isStatedComplete = ({ isComplete, headers }: ClientResponse) => isComplete && (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined)

describe('answers whose end no server stated', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  // Guards against a last chunk on a stream whose engine lives and closed the connection in order before its end.
  it('get no last chunk when a stream stops between two events', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(headOf(head) + events(1, 2)) })
    const response = await fixture.send('id1')
    expect(isStatedComplete(response), 'the stream is framed as complete').to.equal(false)
    expect(response).to.include({ status: 200, isComplete: true })
    expect(eventsOf(response)).to.equal(events(1, 2))
  })

  // The same before the first event: nothing has been sent yet, so the client can still get a failure.
  it('become a failure when a stream stops after its head', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', (socket, head) => { socket.end(headOf(head)) })
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
      else socket.end(headOf(head) + (count === 2 ? events(3, 3) : ''))
    })
    await fixture.addServer('b', (socket, head) => { socket.end(headOf(head) + events(3, 3)) })
    const response = await fixture.send('id1')
    expect(isStatedComplete(response), 'the joined stream is framed as complete').to.equal(false)
  })
})
