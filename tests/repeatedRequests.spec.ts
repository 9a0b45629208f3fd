import type { Server, Socket } from 'node:net'
import { expect } from 'chai'
import { requestIdOf, RequestProxyFixture, responseTo, route } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const servers = 8
const repeats = 6
const mostEnds = 3

describe('a request that ends servers, repeated under other IDs', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  /** Ends the server of the connection: its machine refuses further ones. */
  const endServer = (socket: Socket & { server?: Server }) => {
    socket.server!.close()
    socket.resetAndDestroy()
  }
  const script: Script = (socket, head) => {
    if (head.includes('X-Case: deadly') || head.includes('x-case: deadly')) endServer(socket)
    else socket.write(responseTo(requestIdOf(head), 'ok'))
  }

  const cases = {
    'a plain request': { changes: { kind: 'unsafe' as const }, headers: {}, soundBody: 'sound' },
    'a safe request': { changes: { kind: 'idempotent' as const }, headers: {}, soundBody: 'sound' },
    'a request with a prompt': { changes: { kind: 'unsafe' as const }, headers: { 'x-prompt-prefix': 'aa:1,dd:1,e1:1' }, soundBody: 'sound' }
  }
  // Guards against evidence that other requests with the same prompt parts clear, and requests without parts.
  for (const [name, { changes, headers, soundBody }] of Object.entries(cases)) {
    it(`is known again: ${name}`, async () => {
      await fixture.start([route({ ...changes, maxAttempts: 1 })])
      for (let index = 0; index < servers; index++) await fixture.addServer(`s${index}`, script)
      const sound = async (id: string) => (await fixture.send(id, { headers, body: soundBody })).status
      expect(await sound('first')).to.equal(200)
      for (let repeat = 0; repeat < repeats; repeat++) {
        await fixture.send(`deadly${repeat}`, { headers: { ...headers, 'x-case': 'deadly' }, body: 'deadly' })
        expect(await sound(`sound${repeat}`), 'sound').to.equal(200)
        await new Promise(resolve => setTimeout(resolve, 600))
      }
      const arrivals = fixture.received.filter(({ head }) => /x-case: deadly/i.test(head)).length
      expect(arrivals, 'servers ended').to.be.within(1, mostEnds)
    })
  }
})
