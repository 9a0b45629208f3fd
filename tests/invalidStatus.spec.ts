import { expect } from 'chai'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { SystemClock } from '../src/base/clock.js'
import { UnknownOutcomeError } from '../src/base/errors.js'
import { HttpCaller } from '../src/external/httpCall.js'
import { HttpEngine } from '../src/external/httpEngine.js'
import { HttpService } from '../src/external/httpService.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { StoreClient } from '../src/platform/storeClient.js'
import { BackendServer } from '../src/serving/backendServer.js'
import { EngineClient, livenessQuestion } from '../src/serving/engineClient.js'
import { chunk, events, requestIdOf, RequestProxyFixture, route, signedHeaders, streamHead } from './fixtures/requestProxyFixture.js'

const statusLines = [
  'HTTP/1.1 000 OK', 'HTTP/1.1 099 OK', 'HTTP/1.1 101 Switching Protocols', 'HTTP/1.1 600 OK', 'HTTP/1.1 999 OK',
  'HTTP/1.1 20 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 OK', '200 OK', 'HTTP/ 200 OK'
]
const clock = new SystemClock()
const timeoutMs = 1500
const answer = (line: string, body = '{}', headers = '') => `${line}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`
const entry = (address: string) => ({ id: 'a', service: 's', address, availabilityZone: 'z', slots: 4, isDraining: false, models: [], modelsInMemory: [], modelsOnDisk: [] })

// Guards against an answer of an engine in trouble that is passed on, or that counts as a statement about the request.
describe('invalid statuses', () => {
  let fixture: RequestProxyFixture
  let server: Server | undefined

  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => {
    fixture.stop()
    server?.close()
  })

  async function listen (line: string): Promise<string> {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => socket.write(answer(line)))
    })
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  for (const line of statusLines) {
    for (const kind of ['unsafe', 'stream'] as const) {
      it(`${line}: not passed on as the answer of a request (${kind})`, async () => {
        await fixture.start([route({ kind, maxAttempts: 1, timeoutMs })])
        await fixture.addServer('a', (socket, head) => { socket.write(answer(line, '{}', signedHeaders(requestIdOf(head)))) })
        expect(await fixture.send('id1')).to.include({ status: 502, isComplete: true })
      })
    }

    it(`${line}: does not continue a stream`, async () => {
      await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs })])
      await fixture.addServer('a', socket => { socket.write(answer(line, events(3, 4))) })
      await fixture.addServer('b', (socket, head) => { socket.write(streamHead(head, 'Transfer-Encoding: chunked\r\n') + chunk(events(1, 2)), () => setTimeout(() => socket.resetAndDestroy(), 50)) })
      expect(await fixture.send('id1')).to.satisfy(({ status, isComplete }: { status: number, isComplete: boolean }) => status === 502 || !isComplete)
    })

    it(`${line}: answers no command, state query or question`, async () => {
      const address = await listen(line)
      const client = new EngineClient(clock, codecs)
      const engine = new BackendServer(entry(address), 'r', clock)
      expect(await client.sendCommand(engine, { action: 'load', model: 'm', expectedCommandCount: 0, holder: 'n', fence: 1 })).to.equal('unknown')
      expect(await client.queryState(engine)).to.equal(undefined)
      const question = livenessQuestion(codecs, address, { name: 's', maxConnections: 1, healthPath: '/health' })!
      expect(await engine.pool.acquire().ask(question, { timeoutMs: 300 })).to.equal(false)
    })

    it(`${line}: leaves the outcome of calls unknown`, async () => {
      const address = await listen(line)
      const caller = new HttpCaller('t', address, clock)
      const service = new HttpService({ server: 's', address, clock })
      const engine = new HttpEngine({ engine: 'e', address, clock })
      const store = new StoreClient(address, clock)
      const request = { requestId: 'r', attemptId: 'a', model: 'm', prompt: 'p', maxTokens: 1 }
      const calls = {
        call: caller.json('/', { timeoutMs }),
        health: service.health({ timeoutMs }),
        service: service.call({ requestId: 'r', method: 'POST', path: '/', headers: {}, body: Buffer.from('x') }, {}),
        status: engine.status({ timeoutMs }),
        stream: engine.infer(request as never, {})[Symbol.asyncIterator]().next(),
        store: store.grantLease(1000)
      }
      for (const [name, call] of Object.entries(calls)) {
        expect(await call.then(() => 'complete', (error: Error) => error), name).to.be.instanceOf(UnknownOutcomeError)
      }
      await Promise.all([caller.close(), service.close(), store.close()])
    })
  }
})
