import { expect } from 'chai'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import { createCallersServer, listeningAddress, listenOn } from '../src/node/callersServer.js'
import type { CallerRequest, CallerResponse } from '../src/gateway/exchange.js'

/** Guards against answers that look whole to a caller although they were cut. */
describe('callers\' server', () => {
  const servers: Server[] = []
  afterEach(() => { for (const server of servers.splice(0)) server.close().closeAllConnections() })

  const start = async (handle: (request: CallerRequest) => Promise<CallerResponse>) => {
    const server = await listenOn(createCallersServer(handle, { bodyLimitBytes: 1000, newId: () => 'id' }), '127.0.0.1:0', { maxConnections: 10 })
    servers.push(server)
    return listeningAddress(server)
  }
  const streaming = (body: () => AsyncGenerator<string>) => start(async () => ({ status: 200, headers: { 'content-type': 'text/event-stream' }, body: body() }))
  /** The bytes of the whole connection, until the server ends it or `isEnough`. */
  const talk = (address: string, request: string, isEnough: (text: string) => boolean = () => false) => new Promise<string>((resolve, reject) => {
    let text = ''
    const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) }, () => socket.write(request))
    socket.on('data', bytes => {
      text += bytes.toString()
      if (isEnough(text)) socket.destroy()
    })
    // A reset is one way to abort.
    socket.on('error', error => (error as NodeJS.ErrnoException).code === 'ECONNRESET' ? resolve(text) : reject(error))
    socket.on('close', () => resolve(text))
  })
  const get = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
  const lastChunk = '0\r\n\r\n'

  it('ends a whole stream with the last chunk', async () => {
    const address = await streaming(async function * () { yield 'a'; yield 'b' })
    const text = await talk(address, get, received => received.endsWith(lastChunk))
    expect(text).to.match(/^HTTP\/1.1 200 /)
    expect(text.endsWith(lastChunk)).to.equal(true)
  })

  it('ends the connection of a cut stream without the last chunk', async () => {
    const address = await streaming(async function * () {
      yield 'a'
      yield 'event: error\n\n'
      throw new Error('cut')
    })
    const text = await talk(address, get)
    expect(text).to.include('event: error')
    expect(text).to.not.include(lastChunk)
  })

  it('passes on a chunked body and limits it', async () => {
    const address = await start(async ({ body, path, headers }) => ({ status: 200, headers: {}, body: Buffer.from(`${path} ${headers['x-two']} ${Buffer.from(body).toString()}`) }))
    const post = (parts: string[]) => `POST /a?b HTTP/1.1\r\nhost: x\r\nx-two: 1\r\nX-Two: 2\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('')}${lastChunk}`
    expect(await talk(address, post(['hello ', 'world']))).to.match(/^HTTP\/1.1 200 [^]*\/a\?b 1, 2 hello world$/)
    expect(await talk(address, post(['x'.repeat(600), 'x'.repeat(600)]))).to.match(/^HTTP\/1.1 413 [^]*"not-run"/)
  })

  it('stops an answer whose caller has gone', async () => {
    let onEnded = () => {}
    const ended = new Promise<void>(resolve => { onEnded = resolve })
    const address = await start(async ({ signal }) => ({
      status: 200,
      headers: {},
      body: (async function * () {
        try {
          yield 'a'
          await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()))
        } finally {
          onEnded()
        }
      })()
    }))
    await talk(address, get, text => text.includes('a\r\n'))
    await ended
  })

  it('stops an answer that its caller does not read', async () => {
    let produced = 0
    const part = 'x'.repeat(2 ** 16)
    let onEnded = () => {}
    const ended = new Promise<void>(resolve => { onEnded = resolve })
    const address = await streaming(async function * () {
      try {
        for (; produced < 10_000; produced++) yield part
      } finally {
        onEnded()
      }
    })
    const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) }, () => socket.write(get))
    await new Promise(resolve => socket.once('readable', resolve))
    // The unread stream fills the buffers, after which production must stop.
    let before = -1
    while (before !== produced) {
      before = produced
      await new Promise(resolve => setTimeout(resolve, 100))
    }
    expect(produced).to.be.lessThan(10_000)
    socket.destroy()
    await ended
  })
})
