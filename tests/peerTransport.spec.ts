import { expect } from 'chai'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { SystemClock } from '../src/base/clock.js'
import { FailedError, NotRunError, UnknownOutcomeError } from '../src/base/errors.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { PeerTransport } from '../src/node/peerTransport.js'
import { encodeFrame } from '../src/protocol/framing.js'
import type { PeerHandler, PeerMessage } from '../src/protocol/messages.js'

describe('peer transport', () => {
  const cleanups: (() => unknown)[] = []
  afterEach(async () => { for (const cleanup of cleanups.splice(0)) await cleanup() })

  const echo: PeerHandler = async message => message.kind === 'query' ? { kind: 'queryReply', json: message.argument } : { kind: 'ok' }
  const start = async (handler: PeerHandler = echo, key = 'k1') => {
    const transport = new PeerTransport({ clock: new SystemClock(), random: new SeededRandom(1), log: silentLog, key, host: '127.0.0.1', port: 0, handler })
    await transport.start()
    cleanups.push(() => transport.stop())
    return transport
  }
  const query = (argument: string): PeerMessage => ({ kind: 'query', query: 'status', argument })
  const failure = (call: Promise<unknown>) => call.then(() => undefined, (error: unknown) => error)
  const options = { timeoutMs: 10_000 }

  /** Forwards to `target`; `change` may alter the bytes of the client, given the sockets. */
  const proxy = async (target: string, change: (bytes: Buffer, count: number, sockets: [Socket, Socket]) => Buffer) => {
    const server = createServer(socket => {
      const upstream = connect({ host: '127.0.0.1', port: Number(target.split(':')[1]) })
      let count = 0
      for (const end of [socket, upstream]) end.on('error', () => {}).on('close', () => { socket.destroy(); upstream.destroy() })
      socket.on('data', (bytes: Buffer) => upstream.write(change(bytes, count++, [socket, upstream])))
      upstream.on('data', bytes => socket.write(bytes))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    cleanups.push(() => server.close())
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  // Guards against replies that reach the wrong request, and a second connection for the way back.
  it('answers many requests', async () => {
    const [left, right] = [await start(), await start()]
    const replies = await Promise.all(Array.from({ length: 200 }, (_, index) => left.request(right.address, query(`${index}`), options)))
    expect(replies.map(reply => reply.kind === 'queryReply' && reply.json)).to.deep.equal(replies.map((_, index) => `${index}`))
    expect(await right.request(left.address, query('back'), options)).to.deep.equal({ kind: 'queryReply', json: 'back' })
  })

  // Guards against a node of another deployment that is let in, in either direction.
  it('refuses a wrong key', async () => {
    const handled: string[] = []
    const server = await start(async message => { handled.push(message.kind); return { kind: 'ok' } })
    const stranger = await start(echo, 'k2')
    expect(await failure(stranger.request(server.address, query('x'), options))).to.be.instanceOf(NotRunError)
    expect(await failure(server.request(stranger.address, query('x'), options))).to.be.instanceOf(NotRunError)
    expect(handled).to.deep.equal([])
  })

  // Guards against bytes before the handshake that stop the server or reach its handler.
  it('survives garbage', async () => {
    const handled: string[] = []
    const server = await start(async message => { handled.push(message.kind); return { kind: 'ok' } })
    const random = new SeededRandom(3)
    const noise = Array.from({ length: 30 }, () => Buffer.from(Array.from({ length: 300 }, () => random.next() * 256)))
    const hello = encodeFrame({ kind: 'hello', version: 1, nonce: new Uint8Array(32), address: 'x:1' })
    const inputs = [...noise, Buffer.from('GET / HTTP/1.1\r\n\r\n'), encodeFrame({ kind: 'ok' }), encodeFrame([0, new Uint8Array(16), new Uint8Array(3)]),
      encodeFrame({ kind: 'proof', proof: new Uint8Array(32) }), Buffer.concat([hello, encodeFrame({ kind: 'proof', proof: new Uint8Array(32) })])]
    for (const input of inputs) {
      const socket = connect({ host: '127.0.0.1', port: Number(server.address.split(':')[1]) })
      socket.on('error', () => {}).resume()
      const closed = new Promise(resolve => socket.on('close', resolve))
      socket.write(Buffer.concat([input, Uint8Array.of(0xff, 0xff, 0xff, 0xff)]))
      await closed
    }
    expect(handled).to.deep.equal([])
    const client = await start()
    expect(await client.request(server.address, query('x'), options)).to.deep.equal({ kind: 'ok' })
  })

  // Guards against altered or repeated bytes after the handshake that are taken for messages of the peer.
  it('ends altered connections', async () => {
    const handled: string[] = []
    const server = await start(async message => { handled.push(message.kind === 'query' ? message.argument : ''); return { kind: 'ok' } })
    const alterations: ((bytes: Buffer) => Buffer)[] = [
      bytes => { bytes[bytes.length - 1]! ^= 1; return bytes },
      bytes => Buffer.concat([bytes, Uint8Array.of(0)]),
      bytes => Buffer.concat([bytes, bytes])
    ]
    for (const alter of alterations) {
      const client = await start()
      const seen = { connections: 0 }
      const address = await proxy(server.address, (bytes, count) => {
        if (count === 0) seen.connections++
        return seen.connections === 1 && count === 3 ? alter(bytes) : bytes
      })
      expect(await client.request(address, query('first'), options)).to.deep.equal({ kind: 'ok' })
      await failure(client.request(address, query('second'), options))
      // A cut-in byte shows when the next message arrives.
      do await failure(client.request(address, query('third'), options))
      while (seen.connections === 1)
      expect(await client.request(address, query('last'), options)).to.deep.equal({ kind: 'ok' })
    }
    expect(handled.filter(argument => argument === 'second')).to.have.length(2)
  })

  // Guards against a cut after the send that is reported as proof that nothing ran, and against no reconnection.
  it('reports cut connections', async () => {
    const [client, server] = [await start(), await start()]
    let cut = true
    const address = await proxy(server.address, (bytes, count, [socket]) => {
      if (cut && count === 2) socket.destroy()
      return bytes
    })
    expect(await failure(client.request(address, query('x'), options))).to.be.instanceOf(UnknownOutcomeError)
    cut = false
    expect(await client.request(address, query('y'), options)).to.deep.equal({ kind: 'queryReply', json: 'y' })
  })

  // Guards against a refused connection or an unusable address that is not reported as proof that nothing ran.
  it('reports what did not run', async () => {
    const [client, gone] = [await start(), await start()]
    await gone.stop()
    for (const address of [gone.address, gone.address, 'nowhere', '127.0.0.1:99999']) {
      expect(await failure(client.request(address, query('x'), options)), address).to.be.instanceOf(NotRunError)
    }
    cleanups.splice(1, 1)
  })

  // Guards against a handler that throws, or an unknown message, that ends the connection.
  it('reports failures of the handler', async () => {
    const client = await start()
    const server = await start(async message => { if (message.kind === 'query') throw new Error('broken'); return { kind: 'ok' } })
    expect(await failure(client.request(server.address, query('x'), options))).to.be.instanceOf(FailedError)
    expect(await failure(client.request(server.address, { kind: 'later' } as unknown as PeerMessage, options))).to.be.instanceOf(NotRunError)
    expect(server.unknownMessages).to.equal(1)
    expect(await client.request(server.address, { kind: 'ok' }, options)).to.deep.equal({ kind: 'ok' })
  })
})
