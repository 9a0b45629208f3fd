import { expect } from 'chai'
import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { SystemClock } from '../src/base/clock.js'
import { UnknownOutcomeError } from '../src/base/errors.js'
import { HttpEngine } from '../src/external/httpEngine.js'
import type { InferenceEvent } from '../src/external/engine.js'

describe('stream of an engine', () => {
  const cleanups: (() => unknown)[] = []
  afterEach(async () => { for (const cleanup of cleanups.splice(0)) await cleanup() })

  const token = (index: number) => `${JSON.stringify({ kind: 'token', requestId: 'r', attemptId: 'a', index, text: `t${index} é` })}\n`
  const end = `${JSON.stringify({ kind: 'end', requestId: 'r', attemptId: 'a', finishReason: 'stop', promptTokens: 1, completionTokens: 2 })}\n`
  const start = async (answer: (response: ServerResponse) => void) => {
    const state = { connections: 0 }
    const server = createServer((incoming, response) => incoming.resume().on('end', () => answer(response)))
    server.on('connection', () => { state.connections++ })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const engine = new HttpEngine({ engine: 'e', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: new SystemClock() })
    cleanups.push(() => engine.close(), () => server.close().closeAllConnections())
    return { engine, state }
  }
  const infer = (engine: HttpEngine, signal?: AbortSignal) =>
    engine.infer({ requestId: 'r', attemptId: 'a', model: 'm@1', prompt: '', maxTokens: 2, priority: 0 }, { signal })

  // Guards against a new connection for each request, which costs a round trip before the first token.
  it('keeps the connection after the end marker', async () => {
    const { engine, state } = await start(response => {
      response.write(token(0) + token(1) + end)
      setTimeout(() => response.end(), 10)
    })
    for (let index = 0; index < 3; index++) {
      const events: InferenceEvent[] = []
      for await (const event of infer(engine)) {
        events.push(event)
        // The reader of a generation stops here.
        if (event.kind === 'end') break
      }
      expect(events.map(({ kind }) => kind)).to.deep.equal(['token', 'token', 'end'])
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    expect(state.connections).to.equal(1)
  })

  // Guards against characters and lines that are cut by packets.
  it('joins events that arrive in pieces', async () => {
    const bytes = Buffer.from(token(0) + token(1) + end)
    const { engine } = await start(response => {
      let next = 0
      const write = () => {
        if (next < bytes.length) response.write(bytes.subarray(next, next += 7), () => setImmediate(write))
        else response.end()
      }
      write()
    })
    const events: InferenceEvent[] = []
    for await (const event of infer(engine)) events.push(event)
    expect(events).to.deep.equal([token(0), token(1), end].map(line => JSON.parse(line)))
  })

  // Guards against tokens that are lost because the cut overtook them, and against cut streams that look whole.
  it('gives the tokens before a cut, then fails', async () => {
    const { engine } = await start(response => response.write(token(0), () => response.socket!.destroySoon()))
    const iterator = infer(engine)[Symbol.asyncIterator]()
    expect((await iterator.next()).value).to.include({ index: 0 })
    const failure = await iterator.next().then(() => undefined, (error: unknown) => error)
    expect(failure).to.be.instanceOf(UnknownOutcomeError)
  })

  // Guards against events of another shape that are taken for tokens.
  it('rejects events of an unknown shape', async () => {
    for (const line of ['{"kind":"token","index":"0"}', 'null', '[]', '{', '{"kind":"other"}']) {
      const { engine } = await start(response => response.end(`${line}\n${end}`))
      const failure = await infer(engine)[Symbol.asyncIterator]().next().then(() => undefined, (error: unknown) => error)
      expect(failure, line).to.be.instanceOf(UnknownOutcomeError)
    }
  })

  // Guards against a reader that hangs although its caller has gone.
  it('rejects at once on an abort', async () => {
    const { engine } = await start(response => response.write(token(0)))
    const controller = new AbortController()
    const iterator = infer(engine, controller.signal)[Symbol.asyncIterator]()
    await iterator.next()
    const pending = iterator.next().then(() => undefined, (error: unknown) => error)
    controller.abort()
    expect(await pending).to.be.instanceOf(UnknownOutcomeError)
  })
})
