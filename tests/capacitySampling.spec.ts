import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { DispatchClient } from '../src/serving/dispatchClient.js'
import { decodeDispatchDecision, decodeDispatchRequest, encodeDispatchDecision, encodeDispatchRequest } from '../src/serving/peerMessages.js'
import { chunk, events, RequestProxyFixture, requestIdOf, responseTo, route, streamHead } from './fixtures/requestProxyFixture.js'

const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 9000, warmLoadMs: 9000, diskLoadMs: 9000, adapterMb: 1 }] }
const headers = { 'x-model': 'm', 'x-token-count': '300,100' }
let fixture: RequestProxyFixture

describe('samples of server capacity', () => {
  beforeEach(() => { fixture = new RequestProxyFixture({ isLearning: true }) })
  afterEach(() => fixture.stop())

  it('compare a stream with what the leader expected, and count its tokens while it runs', async () => {
    // Failure: the leader learns nothing of an engine, or its tokens stay counted after the end.
    await fixture.start([route({ kind: 'stream', resumable: true })], { engine })
    let during: unknown
    await fixture.addServer('a', (socket, head) => {
      during = fixture.learned!.reportFields(7).tokens
      setTimeout(() => socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(events(1, 1))}`), 125)
      setTimeout(() => socket.write(`${chunk(events(2, 2))}0\r\n\r\n`), 525)
    }, { models: [{ name: 'm', adapters: [] }] })
    fixture.leaderDecision = { kind: 'engine', id: 'a', priorMs: 50 }
    expect(await fixture.send('id1', { headers })).to.include({ status: 200, isComplete: true })
    expect(during).to.deep.equal({ lastAssignment: 7, rows: [['a', 400]] })
    const { samples, tokens } = fixture.learned!.reportFields(8)
    expect(tokens).to.deep.equal({ lastAssignment: 8, rows: [] })
    const [server, model, completed, ratios, sumLog, overruns] = samples![0]!
    // The pause of 400 ms exceeds the default of 300 ms. The ratio is about 2, and more on a busy machine.
    expect({ server, model, completed, ratios, overruns }).to.deep.equal({ server: 'a', model: 'm', completed: 1, ratios: 1, overruns: 1 })
    expect(sumLog).to.be.within(Math.log(1.6), Math.log(16))
  })

  it('leave out failed requests', async () => {
    // Failure: a server that fails quickly counts as fast.
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head, count) => { socket.write(responseTo(requestIdOf(head), 'x', count === 1 ? '200 OK' : '500 Internal Server Error')) })
    for (const id of ['id1', 'id2']) await fixture.send(id)
    expect(fixture.learned!.reportFields(0).samples!.map(([, , completed, ratios]) => [completed, ratios])).to.deep.equal([[1, 1]])
  })

  it('does not choose an engine by itself whose token memory its own requests fill', async () => {
    // Failure: without a leader's reply, a node fills an engine's token memory, and the engine preempts streams.
    await fixture.start([route({ kind: 'stream' })], { engine })
    const held: number[] = []
    await fixture.addServer('a', (socket, head) => {
      held.push(fixture.fleet.servers.get('a')!.heldTokens)
      setTimeout(() => socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(events(1, 1))}0\r\n\r\n`), 100)
    }, { models: [{ name: 'm', adapters: [] }] })
    const statuses = await Promise.all(['id1', 'id2', 'id3'].map(async id => (await fixture.send(id, { headers })).status))
    expect(statuses).to.deep.equal([200, 200, 200])
    expect(Math.max(...held)).to.equal(800)
  })
})

describe('messages of learned capacity', () => {
  it('carry tokens, expectation and number of the assignment', async () => {
    // Failure: a field is lost between node and leader, and nothing is learned or tokens are released too late.
    const request = {
      service: 's', model: 'm', adapter: undefined, promptTokens: 10, outputTokens: 5, sharedParts: [], identity: undefined, rank: 0, region: 'r', availabilityZone: 'z', gapObjectiveMs: 300, excluded: [], isFirst: true, isLate: false
    }
    expect(decodeDispatchRequest({ ask: 1, ...encodeDispatchRequest(request) })).to.deep.equal(request)
    const decision = { kind: 'engine' as const, id: 'a', priorMs: 40, assignment: 9 }
    const decoded = decodeDispatchDecision({ ask: 1, ...encodeDispatchDecision(decision) })
    expect(decoded).to.deep.equal(decision)
    const client = new DispatchClient({ clock: new SystemClock(), send: () => true })
    // Also a reply that comes too late says what the leader has counted.
    client.onReply(1, decoded)
    expect(client.lastAssignment).to.equal(9)
    client.onLost()
    expect(client.lastAssignment).to.equal(0)
  })
})
