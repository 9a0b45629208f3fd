import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { clientMemoryLimits } from '../src/policy/clientMemory.js'
import { clientMessageClass } from '../src/serving/clientMessage.js'
import { ClientWork } from '../src/serving/clientWork.js'

/** More than one connection may bring at once beside a crowd; with what follows, less than one read. */
const chunks = 5000
const requestsBehind = 20

describe('client work', () => {
  it('parses no request behind a body for which its connection has been closed', async () => {
    // Guards against objects of requests whose connection has been closed in the same read.
    const limits = clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, { costlyConnections: 0 })
    const work = new ClientWork({ clock: new SystemClock(), limits, onExcess: () => {} })
    const paths: (string | undefined)[] = []
    const server = createServer({ IncomingMessage: clientMessageClass(work) }, request => { paths.push(request.url) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
    socket.write(`POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(chunks)}0\r\n\r\n${'GET /behind HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(requestsBehind)}`)
    await once(socket, 'close')
    server.close()
    expect(paths).to.deep.equal(['/first'])
  })
})
