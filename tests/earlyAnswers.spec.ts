import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { BackendConnection } from '../src/serving/backendConnection.js'
import { ByteBudget } from '../src/serving/byteBudget.js'
import type { ProcessEvidence } from '../src/serving/processEvidence.js'
import { blockEventLoop } from './fixtures/blockEventLoop.js'

/** Evidence that the server's process is alive, which arrives after `delayMs`. */
const aliveAfter = (delayMs: number) => ({
  nextOrder: () => 1,
  prepare: () => undefined,
  onHead: () => {},
  isProcessAlive: () => new Promise(resolve => setTimeout(() => resolve(true), delayMs))
}) as unknown as ProcessEvidence

const answer = 'HTTP/1.1 200 OK\r\n\r\npart'
/** More than the kernels of both ends take. */
const longBytes = 20_000_000

describe('answers without a length before the request is written', () => {
  let server: Server

  afterEach(() => server.close())

  /** Sends a request to a server that answers its first bytes and reads no more. Resolves with how the exchange ended. */
  const exchange = async (bytes: number, onAnswered: (socket: Socket) => void, { blockMs = 0, aliveAfterMs = 0 } = {}): Promise<string> => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.pause().write(answer, () => onAnswered(socket)))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    let received = ''
    const ended = new Promise<string>(resolve => {
      const connection = new BackendConnection({
        address: `127.0.0.1:${port}`, clock: new SystemClock(), onIdle: () => {}, onClosed: () => {}, onBytes: () => {}, evidence: aliveAfter(aliveAfterMs), buffered: new ByteBudget()
      })
      connection.send('POST', Buffer.alloc(bytes), {
        accepts: () => true,
        onHead: () => {},
        onData: data => { received += data.toString() },
        onEnd: () => resolve(`whole: ${received}`),
        onFailure: () => resolve(`broken: ${received}`)
      }, { requestId: 'id1' })
    })
    if (blockMs > 0) setTimeout(() => blockEventLoop(blockMs), 0)
    return await ended
  }

  // Guards against a part of an answer that counts as the whole: when the reset arrives together with the last bytes, while the request
  // is still being written, the system reports an orderly close.
  for (const bytes of [10, 100_000, 3_000_000, longBytes]) {
    for (const blockMs of [0, 60]) {
      for (const resetAfterMs of [0, 5]) {
        it(`are broken off by a reset: ${bytes} bytes, reset after ${resetAfterMs} ms, held up for ${blockMs} ms`, async () => {
          const reset = (socket: Socket) => resetAfterMs === 0 ? socket.resetAndDestroy() : setTimeout(() => socket.resetAndDestroy(), resetAfterMs)
          expect(await exchange(bytes, reset, { blockMs })).to.match(/^broken: (part)?$/)
        })
      }
    }
  }

  it('are whole when the server closes its side and resets the rest of the request', async () => {
    // Guards against a whole answer that counts as broken off because nobody reads the rest of its request.
    const close = (socket: Socket) => {
      socket.end()
      setTimeout(() => socket.resetAndDestroy(), 30)
    }
    expect(await exchange(longBytes, close, { aliveAfterMs: 100 })).to.equal('whole: part')
  })
})
