import { once } from 'node:events'
import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { clientMemoryLimits } from '../src/policy/clientMemory.js'
import { clientMessageClass } from '../src/serving/clientMessage.js'
import { ClientWork } from '../src/serving/clientWork.js'

/** More than one connection may bring at once beside a crowd; with what follows, less than one read. */
const chunks = 5000
const requestsBehind = 20
const head = 'POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'

describe('client work', () => {
  it('parses no request behind a body for which its connection has been closed', async () => {
    // Guards against objects of requests whose connection has been closed in the same read.
    const limits = clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, { costlyConnections: 0 })
    const work = new ClientWork({ clock: new SystemClock(), limits, onExcess: () => {} })
    const paths: (string | undefined)[] = []
    const server = createServer({ IncomingMessage: clientMessageClass(work) }, request => { paths.push(request.url) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})
    socket.write(`${head}${'1\r\nx\r\n'.repeat(chunks)}0\r\n\r\n${'GET /behind HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(requestsBehind)}`)
    await once(socket, 'close')
    server.close()
    expect(paths).to.deep.equal(['/first'])
  })

  it('keeps a connection whose body is complete when others become too many', async () => {
    // Guards against a request that runs and loses its answer, while its client costs nothing any more.
    const limits = clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, { costlyConnections: 1 })
    const work = new ClientWork({ clock: new SystemClock(), limits, onExcess: () => {} })
    const complete: ServerResponse[] = []
    const server = createServer({ IncomingMessage: clientMessageClass(work) }, (request, response) => {
      request.resume().on('error', () => {}).once('end', () => { complete.push(response) })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    const upload = (end: string) => {
      const socket = connect(port, '127.0.0.1').on('error', () => {})
      socket.write(`${head}${'1\r\nx\r\n'.repeat(chunks)}${end}`)
      return socket
    }
    const waiting = upload('0\r\n\r\n')
    while (complete.length === 0) await sleep(5)
    await once(upload(''), 'close')
    let text = ''
    waiting.on('data', data => { text += String(data) })
    complete[0]!.end('done')
    while (!text.includes('done') && !waiting.destroyed) await sleep(5)
    expect(text, 'answer').to.match(/^HTTP\/1.1 200 /)
    // Its next body is that of a crowd.
    waiting.write(`${head}${'1\r\nx\r\n'.repeat(chunks)}`)
    await once(waiting, 'close')
    server.close()
  })
})
