import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { PartQuarantine } from '../src/policy/partQuarantine.js'
import type { DispatchRequest } from '../src/policy/dispatcher.js'
import { DispatchClient } from '../src/serving/dispatchClient.js'
import { LeaderTerm } from '../src/serving/leaderTerm.js'
import type { LeaderTermOptions } from '../src/serving/leaderTerm.js'
import type { DispatchReply, LeaderMessage, NodeMessage } from '../src/serving/peerMessages.js'
import { events, RequestProxyFixture, requestIdOf, route, signedHeaders, streamHead } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const engine = { slots: 4, cacheTokens: 100_000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 900, warmLoadMs: 900, diskLoadMs: 900, adapterMb: 1 }] }
const models = [{ name: 'm', adapters: [] }]
/** Its callers wait for 2 s. */
const stream = route({ kind: 'stream', resumable: true, timeoutMs: 20_000, objectiveMs: 200 })
const headers = { 'x-model': 'm', 'x-token-count': '1000,10' }
const request: DispatchRequest = {
  service: 's', model: 'm', adapter: undefined, promptTokens: 80_000, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], gapObjectiveMs: 300, isFirst: true, isLate: false
}

describe('waits that the leader orders', () => {
  let fixture: RequestProxyFixture

  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  const start = async (script: Script) => {
    await fixture.start([stream], { engine })
    await fixture.addServer('a', script, { models })
  }

  // Guards against requests that sleep for as long as the leader says, past their callers' patience and their route's timeout.
  it('refuses at once what would wait past the patience of its caller', async () => {
    await start(() => {})
    fixture.leaderDecision = { kind: 'wait', forMs: 40_000 }
    const startedAtMs = performance.now()
    const { status } = await fixture.send('id1', { headers })
    expect(status).to.equal(503)
    expect(performance.now() - startedAtMs).to.be.below(1200)
  })

  it('asks again when the wait may be over', async () => {
    await start((socket, head) => socket.end(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}0\r\n\r\n`))
    fixture.leaderDecision = { kind: 'wait', forMs: 40_000 }
    const response = fixture.send('id1', { headers })
    await wait(100)
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    expect((await response).status).to.equal(200)
  })

  it('does not outlive the client', async () => {
    // Guards against demand that placement plans for although nobody waits.
    await start(() => {})
    fixture.leaderDecision = { kind: 'wait', forMs: 1000 }
    const { socket } = fixture.connect()
    socket.write('GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nX-Model: m\r\n\r\n')
    await wait(60)
    expect(fixture.demand.waitingModels()).to.have.length(1)
    socket.destroy()
    await wait(60)
    expect(fixture.demand.waitingModels()).to.deep.equal([])
  })

  it('refuses a prompt that no engine can hold without asking the leader', async () => {
    // Guards against the prefill time of such a prompt in the leader's backlog, behind which all others for the engine waited.
    await start(() => {})
    const { status } = await fixture.send('id1', { headers: { ...headers, 'x-token-count': '100001,10' } })
    expect({ status, asked: fixture.dispatchRequests, received: fixture.received }).to.deep.equal({ status: 503, asked: [], received: [] })
  })
})

describe('models that the configuration does not have', () => {
  it('are not named to the leader', async () => {
    // Guards against a leader whose state grows with each name that clients invent.
    const fixture = new RequestProxyFixture()
    await fixture.start([stream], { engine })
    await fixture.addServer('a', () => {}, { models })
    const { status } = await fixture.send('id1', { headers: { ...headers, 'x-model': 'invented' } })
    expect({ status, asked: fixture.dispatchRequests }).to.deep.equal({ status: 503, asked: [] })
    fixture.stop()
  })
})

describe('prefill that an engine does not run', () => {
  let fixture: RequestProxyFixture
  let givenBack = 0

  beforeEach(() => {
    givenBack = 0
    fixture = new RequestProxyFixture()
    fixture.leaderDecision = { kind: 'engine', id: 'a', giveBack: () => { givenBack++ } }
  })

  afterEach(() => fixture.stop())

  const start = async (script: Script) => {
    await fixture.start([{ ...stream, maxAttempts: 1, resumable: false }], { engine })
    await fixture.addServer('a', script, { models })
  }

  // Guards against requests that wait for the prefill of prompts which the engine has rejected, or whose connection has ended.
  const endings: [string, Script][] = [
    ['rejected', (socket, head) => socket.write(`HTTP/1.1 503 Full\r\n${signedHeaders(requestIdOf(head), 'X-Not-Executed: 1\r\n')}Content-Length: 0\r\n\r\n`)],
    ['reset', socket => socket.resetAndDestroy()],
    ['reset after the head', (socket, head) => socket.write(streamHead(head, 'Transfer-Encoding: chunked\r\n'), () => socket.resetAndDestroy())]
  ]
  for (const [name, script] of endings) {
    it(`is given back: ${name}`, async () => {
      await start(script)
      await fixture.send('id1', { headers: { ...headers, 'x-deadline-ms': '400' } }).catch(() => {})
      expect(givenBack).to.equal(fixture.received.length).and.to.be.above(0)
    })
  }

  it('is given back when the client leaves before the first event', async () => {
    await start(() => {})
    const { socket } = fixture.connect()
    socket.write('GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nX-Model: m\r\n\r\n')
    await wait(100)
    expect({ received: fixture.received.length, givenBack }).to.deep.equal({ received: 1, givenBack: 0 })
    socket.destroy()
    await wait(100)
    expect(givenBack).to.equal(1)
  })

  it('is not given back once the answer has begun', async () => {
    await start((socket, head) => socket.write(`${streamHead(head)}${events(1, 2)}`, () => socket.resetAndDestroy()))
    await fixture.send('id1', { headers }).catch(() => {})
    expect({ received: fixture.received.length, givenBack }).to.deep.equal({ received: 1, givenBack: 0 })
  })

  it('is given back for a reply that comes too late', async () => {
    const sent: NodeMessage[] = []
    const clock = new VirtualClock(1000)
    const client = new DispatchClient({ clock, send: message => sent.push(message) > 0 })
    const decision = client.requestDispatch(request)
    const late = decision.then(result => {
      expect(result).to.equal(undefined)
      client.onReply(1, { kind: 'engine', id: 'a' })
    })
    await clock.advance(200)
    await late
    expect(sent.slice(1)).to.deep.equal([{ cancel: 1 }])
  })

  it('is free for other nodes when its node gives it back', async () => {
    await start(() => {})
    const clock = new VirtualClock(1000)
    const term = new LeaderTerm({
      clock,
      log: silentLog,
      fleet: fixture.fleet,
      quarantine: new PartQuarantine({ clock, name: 'leader' }),
      storeView: { revision: 1 },
      deployment: () => ({ services: [], accounts: [] }),
      mustPauseCommands: () => true,
      ownReport: () => ({ node: 'leader', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [] })
    } as unknown as LeaderTermOptions)
    const replies: DispatchReply[] = []
    const reply = (message: LeaderMessage) => { replies.push(message as DispatchReply) }
    term.onDispatchRequest(1, { ...request }, reply)
    term.onDispatchRequest(2, { ...request, promptTokens: 1000 }, reply)
    term.onSlotCancel({ cancel: 1 }, reply)
    term.onDispatchRequest(3, { ...request, promptTokens: 1000 }, reply)
    // The same for a node whose connection has closed.
    const gone = () => {}
    fixture.fleet.servers.get('a')!.running = 1
    await clock.advance(2000)
    term.onDispatchRequest(1, { ...request }, gone)
    term.onDispatchRequest(4, { ...request, promptTokens: 1000 }, reply)
    term.onNodeLeft(gone)
    term.onDispatchRequest(5, { ...request, promptTokens: 1000 }, reply)
    term.stop()
    expect(replies[0]).to.deep.equal({ ask: 1, engine: 'a' })
    expect(replies[1]!.waitMs).to.be.above(3000)
    expect(replies[2]).to.deep.equal({ ask: 3, engine: 'a' })
    expect(replies[3]!.waitMs).to.be.above(3000)
    expect(replies[4]).to.deep.equal({ ask: 5, engine: 'a' })
  })
})
