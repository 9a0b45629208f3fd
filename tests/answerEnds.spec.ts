import { expect } from 'chai'
import { requestIdOf, RequestProxyFixture, route, signedHeaders } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const events = (from: number, last: number) => Array.from({ length: last - from + 1 }, (_, index) => `id: ${from + index}\ndata: t\n\n`).join('')
const streamHead = (head: string) => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}Content-Type: text/event-stream\r\n\r\n`
const plainHead = (head: string) => `HTTP/1.1 200 OK\r\n${signedHeaders(requestIdOf(head))}\r\n`

describe('answers without a length or chunks', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  /** Sends the beginning of an answer; then the server's process ends and another one listens at its address. */
  const restartsWithin = (textOf: (head: string) => string): Script => (socket, head) => {
    socket.write(textOf(head), () => { void fixture.restartServers() })
  }

  // Guards against the close of a connection that is taken for the end of its answer because a later process accepts connections there.
  it('are broken off when a stream ends with its engine and another process has the address', async () => {
    await fixture.start([route({ kind: 'stream', maxAttempts: 1 })])
    await fixture.addServer('a', restartsWithin(head => streamHead(head) + events(1, 2)))
    const response = await fixture.send('id1')
    expect(response.isComplete, 'the stream looks complete').to.equal(false)
  })

  // The same for an answer that is buffered.
  it('are broken off when a plain answer ends with its server and another process has the address', async () => {
    await fixture.start([route({ maxAttempts: 1 })])
    await fixture.addServer('a', restartsWithin(head => `${plainHead(head)}part`))
    const response = await fixture.send('id1')
    expect(response.status, 'the answer looks complete').to.equal(502)
  })
})
