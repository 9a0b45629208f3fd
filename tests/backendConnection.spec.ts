import { expect } from 'chai'
import type { Socket } from 'node:net'
import { chunk, requestIdOf, responseTo, RequestProxyFixture, route, streamHead } from './fixtures/requestProxyFixture.js'

/** More than the kernels of both ends take. */
const streamEvents = 12_000
const streamText = Array.from({ length: streamEvents }, (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(1000)}\n\n`).join('')

describe('backend connection', () => {
  it('is read on while the client reads nothing, and carries the next request', async () => {
    // Guards against an engine that cuts off what remains unread, and against a pooled connection on which reading stays paused.
    const fixture = new RequestProxyFixture()
    await fixture.start([route({ kind: 'stream' }), route({ name: 'plain', kind: 'idempotent', pathPrefix: '/plain/' })])
    const sockets = new Set<Socket>()
    let isRead = false
    await fixture.addServer('a', (socket, head, count) => {
      sockets.add(socket)
      if (count > 1) return socket.write(responseTo(requestIdOf(head), 'ok', '404 Not Found'))
      socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(streamText)}0\r\n\r\n`, () => { isRead = true })
    })
    const { socket } = fixture.connect()
    socket.pause()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nContent-Length: 1\r\n\r\nx')
    while (fixture.records.length === 0) await new Promise(resolve => setTimeout(resolve, 10))
    expect(isRead).to.equal(true)
    expect(fixture.records[0]).to.include({ outcome: 'done', status: 200 })
    expect(fixture.fleet.buffered.bytes).to.be.above(0)
    expect(await fixture.send('next', { path: '/plain/' })).to.include({ status: 404, body: 'ok' })
    expect(sockets.size).to.equal(1)
    fixture.stop()
  })
})
