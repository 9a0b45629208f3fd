import { setTimeout as wait } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock, VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import type { DispatchRequest } from '../src/policy/dispatcher.js'
import type { QueuePlace } from '../src/policy/slotQueue.js'
import { PartQuarantine } from '../src/policy/partQuarantine.js'
import type { BackendEntry, Route } from '../src/serving/deployment.js'
import { DispatchClient } from '../src/serving/dispatchClient.js'
import { FleetView } from '../src/serving/fleetView.js'
import { LearnedCapacity } from '../src/serving/learnedCapacity.js'
import { LeaderTerm } from '../src/serving/leaderTerm.js'
import type { LeaderTermOptions } from '../src/serving/leaderTerm.js'
import { LeaderLink, PeerServer } from '../src/serving/peerLink.js'
import type { Send } from '../src/serving/peerLink.js'
import { decodeDispatchRequest, decodePlace, decodeSlotReply, dispatchReplySchema } from '../src/serving/peerMessages.js'
import type { LeaderMessage, NodeMessage, NodeReport } from '../src/serving/peerMessages.js'
import { freePort } from './fixtures/freePort.js'
import { chunk, events, RequestProxyFixture, requestIdOf, responseTo, route, streamHead } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const request: DispatchRequest = { service: 's', model: 'm', adapter: undefined, promptTokens: 10, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], gapObjectiveMs: 300, isFirst: true, isLate: false }
const place: QueuePlace = { account: undefined, costTokens: 10, leftMs: 1000, inTimeMs: 100, hasBegun: false }
const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 9000, warmLoadMs: 9000, diskLoadMs: 9000, adapterMb: 1 }] }
const withModel = { models: [{ name: 'm', adapters: [] }] }
const forModel = { headers: { 'x-model': 'm' } }
const serve: Script = (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) }
const reject: Script = socket => { socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n') }

describe('requests in the queue of the placement leader', () => {
  /** What this node sent to the leader. */
  let sent: NodeMessage[]
  let isLinked: boolean
  /** The leader's side: called with each request. */
  let onAsk: (ask: number, message: Extract<NodeMessage, { ask: number }>) => void
  let client: DispatchClient
  let fixture: RequestProxyFixture

  beforeEach(() => {
    sent = []
    isLinked = true
    onAsk = () => {}
    client = new DispatchClient({
      clock: new SystemClock(),
      timeoutsBeforePause: 3,
      send: message => {
        if (!isLinked) return false
        sent.push(message)
        if ('ask' in message) setImmediate(() => onAsk(message.ask, message))
        return true
      }
    })
    fixture = new RequestProxyFixture({ requestSlot: (dispatch, where, timeoutMs) => client.requestSlot(dispatch, where, timeoutMs) })
  })

  afterEach(() => fixture.stop())

  async function start (servers: Record<string, Script> = { a: serve }, changes: Partial<Route> = {}): Promise<void> {
    await fixture.start([route({ kind: 'idempotent', maxAttempts: 1, ...changes })], { engine })
    for (const [id, script] of Object.entries(servers)) await fixture.addServer(id, script, withModel)
  }

  const queue = (ask: number) => client.onSlotReply(ask, { kind: 'queued' })
  const assign = (ask: number, id: string) => client.onSlotReply(ask, { kind: 'engine', id })
  const cancelled = () => sent.filter(message => 'cancel' in message)

  // Guards against a node that stops asking a responsive leader after a single late reply, or never stops asking a paused one.
  it('pauses after three timeouts in a row', async () => {
    for (let index = 0; index < 2; index++) expect(await client.requestSlot(request, place, 10)).to.equal(undefined)
    onAsk = queue
    expect((await client.requestSlot(request, place, 100))?.wasQueued).to.equal(true)
    onAsk = () => {}
    for (let index = 0; index < 4; index++) expect(await client.requestSlot(request, place, 10)).to.equal(undefined)
    expect(sent.filter(message => 'ask' in message)).to.have.length(6)
    expect(client.timeouts).to.equal(5)
  })

  // Guards against slots that stay empty because the request to which they were assigned does not exist any more.
  it('returns an engine for a request that is gone', async () => {
    expect(await client.requestSlot(request, place, 10)).to.equal(undefined)
    assign(1, 'a')
    expect(cancelled()).to.deep.equal([{ cancel: 1 }, { cancel: 1 }])
  })

  // Guards against nodes that overload engines by their own choice while the leader lets a request wait.
  it('does not send a queued request before the leader assigns an engine', async () => {
    onAsk = queue
    await start()
    const response = fixture.send('id1', forModel)
    await wait(400)
    expect(fixture.received).to.have.length(0)
    assign(1, 'a')
    expect((await response).status).to.equal(200)
    expect(sent.filter(message => 'ask' in message)).to.have.length(1)
    expect(cancelled()).to.deep.equal([{ cancel: 1, hasRun: true }])
    // The leader refuses what cannot be complete by the deadline.
    expect((sent[0] as Extract<NodeMessage, { ask: number }>).answerLeftMs).to.be.within(1500, 2000)
    expect(fixture.records[0]!.queuedMs).to.be.within(300, 1000)
  })

  // Guards against requests that wait for a leader whose connection is lost, and against a second choice while the next leader is there.
  it('asks the next leader when the link closes, and chooses alone without one', async () => {
    onAsk = queue
    await start()
    const response = fixture.send('id1', forModel)
    await wait(100)
    client.onLost()
    await wait(300)
    expect(fixture.received).to.have.length(0)
    expect(sent.filter(message => 'ask' in message)).to.have.length(2)
    isLinked = false
    client.onLost()
    expect((await response).status).to.equal(200)
  })

  // Guards against requests that wait for a paused leader until their patience ends.
  it('gives up the place at a leader that falls silent', async () => {
    const clock = new SystemClock()
    const port = await freePort()
    const peers = new PeerServer({ clock, log: silentLog, onMessage: (message, reply) => { if ('ask' in message) reply({ ask: message.ask, queued: true }) }, onJoined: () => {} })
    await peers.listen('127.0.0.1', port)
    const onMessage = (message: LeaderMessage) => { if ('ask' in message) client.onSlotReply(message.ask, decodeSlotReply(message)) }
    const link: LeaderLink = new LeaderLink({ clock, log: silentLog, onMessage, onConnected: () => {}, onLost: () => client.onLost() })
    client = new DispatchClient({ clock, send: message => link.send(message) })
    link.setLeader({ host: '127.0.0.1', port })
    const slot = await client.requestSlot(request, place, 1000)
    await slot!.wait(1000)
    expect(slot).to.include({ wasQueued: true, answer: undefined })
    await slot!.wait(2000)
    expect(slot!.answer).to.deep.equal({ kind: 'lost' })
    link.stop()
    peers.stop()
  })

  // Guards against entries and assignments that outlive their client.
  it('leaves the queue when the client leaves', async () => {
    onAsk = queue
    await start()
    const { socket } = fixture.connect()
    socket.write('GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nX-Model: m\r\n\r\n')
    await wait(100)
    socket.destroy()
    await wait(150)
    expect(cancelled()).to.deep.equal([{ cancel: 1 }])
  })

  // Guards against clients that wait for their deadline although the leader knows that no engine becomes free in time.
  it('refuses at once what the leader refuses', async () => {
    onAsk = ask => client.onSlotReply(ask, { kind: 'refused', retryAfterMs: 300 })
    await start()
    const response = await fixture.send('id1', forModel)
    expect(response.status).to.equal(503)
    expect(Number(response.headers['retry-after'])).to.be.closeTo(0.3, 0.05)
  })

  // Guards against a rejection that goes back to the client although the engine has room a moment later.
  it('lets a rejected request wait again for the only engine that its route allows', async () => {
    const restrictions: unknown[] = []
    onAsk = (ask, { only }) => {
      restrictions.push(only)
      assign(ask, 'a')
    }
    await start({ a: (socket, head, count) => (count < 3 ? reject : serve)(socket, head, count), b: serve })
    expect((await fixture.send('id1', forModel)).status).to.equal(200)
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a', 'a', 'a'])
    expect(restrictions).to.deep.equal([undefined, ['a'], ['a']])
  })

  // Guards against requests that reach more engines than their route allows, and against repeats beyond the deadline and the budget.
  it('sends a rejected request to no more engines than its route allows', async () => {
    let asks = 0
    onAsk = ask => assign(ask, ['a', 'b', 'c'][asks++ % 3]!)
    await start({ a: reject, b: reject, c: reject }, { maxAttempts: 2, timeoutMs: 1500 })
    expect((await fixture.send('id1', forModel)).status).to.equal(503)
    expect(new Set(fixture.received.map(({ server }) => server)).size).to.equal(2)
    expect(fixture.received.length).to.be.at.most(8)
  })

  /** Answers the first request with two events and goes on when the test says so. */
  let goOn: () => void
  const stall: Script = (socket, head) => {
    socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(events(1, 2))}`)
    goOn = () => { socket.write(`${chunk(events(3, 4))}0\r\n\r\n`) }
  }
  const breakOff: Script = socket => {
    stall(socket, 'x-attempt-id: id1', 1)
    setTimeout(() => socket.destroy(), 50)
  }
  const finish: Script = (socket, head) => { socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(events(3, 4))}0\r\n\r\n`) }
  const resumable = { kind: 'stream', maxAttempts: 2, resumable: true } as const

  // Guards against streams that move past all waiting requests to an engine that is full or reserved, or behind requests that have not begun.
  for (const [what, first] of [['falls silent', stall], ['breaks off', breakOff]] as const) {
    it(`moves a begun stream whose engine ${what} through the queue`, async () => {
      const places: unknown[] = []
      onAsk = (ask, { place, excluded }) => {
        places.push([place![4], excluded])
        if (ask === 1) assign(ask, 'a')
        else queue(ask)
      }
      await start({ a: first, b: finish }, resumable)
      const response = fixture.send('id1', forModel)
      await wait(1100)
      expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a'])
      assign(2, 'b')
      expect(await response).to.include({ events: events(1, 4), isComplete: true })
      await wait(20)
      expect(places).to.deep.equal([[false, []], [true, ['a']]])
      expect(cancelled()).to.deep.equal([{ cancel: 1, hasRun: true }, { cancel: 2, hasRun: true }])
      expect(fixture.dispatchRequests).to.have.length(0)
    })
  }

  // Guards against streams that stay at a silent engine for seconds because the leader once had none for them.
  it('asks for another engine again soon after a refusal', async () => {
    onAsk = ask => {
      if (ask === 2) client.onSlotReply(ask, { kind: 'refused', retryAfterMs: 5000 })
      else assign(ask, ask === 1 ? 'a' : 'b')
    }
    await start({ a: stall, b: finish }, resumable)
    const startMs = Date.now()
    expect(await fixture.send('id1', forModel)).to.include({ events: events(1, 4), isComplete: true })
    expect(Date.now() - startMs).to.be.below(1800)
  })

  // Guards against rejected requests that go back to their clients because the whole retry budget is held by streams that wait for another engine.
  it('leaves the retry budget to others while streams wait for another engine', async () => {
    onAsk = (ask, { place }) => {
      if (place![4]) queue(ask)
      else assign(ask, ask <= 10 ? 'a' : 'b')
    }
    await start({
      a: stall,
      b: (socket, head, count) => {
        if (count === 1) reject(socket, head, count)
        else socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(events(1, 4))}0\r\n\r\n`)
      }
    }, resumable)
    const streams = Array.from({ length: 10 }, (_, index) => fixture.send(`id${index + 1}`, forModel))
    await wait(1100)
    // Ten streams and their moves, of which the budget of 8 retries allows at least as many.
    expect(sent.filter(message => 'ask' in message).length).to.be.at.least(18)
    expect(await fixture.send('id11', forModel)).to.include({ status: 200, events: events(1, 4) })
    await Promise.all(streams)
  })

  // Guards against slots that stay empty, and entries that stay in the queue, for a stream whose engine has gone on.
  it('leaves the queue when the engine of a stream goes on', async () => {
    onAsk = ask => ask === 1 ? assign(ask, 'a') : queue(ask)
    await start({ a: stall, b: finish }, resumable)
    const response = fixture.send('id1', forModel)
    await wait(1100)
    goOn()
    expect(await response).to.include({ events: events(1, 4), isComplete: true })
    await wait(100)
    expect(cancelled()).to.have.deep.members([{ cancel: 1, hasRun: true }, { cancel: 2 }])
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a'])
  })
})

describe('assignments from the queue with learned capacity', () => {
  // Guards against leaders that learn nothing from queued requests, and against tokens that stay counted after an assignment was returned or has ended.
  it('carry the expected prefill time and release their tokens', async () => {
    const clock = new SystemClock()
    const client: DispatchClient = new DispatchClient({
      clock,
      send: message => {
        if ('cancel' in message) term.onSlotCancel(message, reply)
        if ('ask' in message) setImmediate(() => term.onSlotRequest(message.ask, { ...decodeDispatchRequest(message), node: 'n' }, decodePlace(message.place!, message.answerLeftMs), reply))
        return true
      }
    })
    const reply: Send = message => { if ('ask' in message) client.onSlotReply(message.ask, decodeSlotReply(dispatchReplySchema.parse(message))) }
    const fixture = new RequestProxyFixture({ isLearning: true, requestSlot: (dispatch, where, timeoutMs) => client.requestSlot(dispatch, where, timeoutMs) })
    await fixture.start([route({ kind: 'stream' })], { engine })
    await fixture.addServer('a', (socket, head) => { socket.write(`${streamHead(head, 'Transfer-Encoding: chunked\r\n')}${chunk(events(1, 1))}0\r\n\r\n`) }, withModel)
    const capacityTerm = fixture.learned!.startTerm(silentLog)
    const { tokens } = capacityTerm
    const term: LeaderTerm = new LeaderTerm({
      clock,
      log: silentLog,
      capacityTerm,
      fleet: fixture.fleet,
      quarantine: fixture.quarantine,
      storeView: { revision: 1 },
      deployment: () => ({ services: [{ name: 's', engine }] }),
      fence: 1,
      startDelayMs: 60_000,
      sharesServers: true,
      ownReport: () => ({ node: 'leader', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [] }),
      broadcast: () => {},
      mustPauseCommands: () => true
    } as unknown as LeaderTermOptions)
    const others = tokens.assign('other', 'a', 800)
    const slot = await client.requestSlot({ ...request, promptTokens: 900, outputTokens: 50 }, place, 500)
    expect(slot).to.include({ wasQueued: true, answer: undefined })
    tokens.release(others)
    await slot!.wait(500)
    expect(slot!.answer).to.deep.equal({ kind: 'engine', id: 'a', priorMs: 45, assignment: others + 1 })
    expect([client.lastAssignment, tokens.of('a')]).to.deep.equal([others + 1, 950])
    slot!.cancel()
    expect(tokens.of('a')).to.equal(0)
    expect(await fixture.send('id1', { headers: { 'x-model': 'm', 'x-token-count': '900,50' } })).to.include({ status: 200, isComplete: true })
    await wait(20)
    const [, , completed, ratios] = fixture.learned!.reportFields(0).samples![0]!
    expect({ completed, ratios, held: tokens.of('a') }).to.deep.equal({ completed: 1, ratios: 1, held: 0 })
    term.stop()
    await fixture.stop()
  })
})

describe('queue of the placement leader', () => {
  const report = { node: 'n', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [] } as NodeReport
  const entry: BackendEntry = { id: 'a', service: 's', address: '127.0.0.1:1', availabilityZone: 'z', slots: 2, isDraining: false, models: [{ name: 'm', adapters: [] }], modelsInMemory: [], modelsOnDisk: [] }
  // Each frees a slot: a report of requests that the leader did not assign, one of tokens, and an engine's entry.
  const changes: Record<string, { before: NodeReport, models: BackendEntry['models'], free: (term: LeaderTerm, fleet: FleetView) => void }> = {
    'a report shows free slots': { before: { ...report, running: [['a', 'm', 3, 0]], assigned: [['a', 1]] }, models: entry.models, free: term => term.onReport({ ...report, running: [['a', 'm', 1, 0]] }) },
    'a report shows free token memory': { before: { ...report, tokens: { lastAssignment: 0, rows: [['a', 800]] } }, models: entry.models, free: term => term.onReport({ ...report, tokens: { lastAssignment: 0, rows: [['a', 500]] } }) },
    'a replica becomes ready': { before: report, models: [], free: (_term, fleet) => { fleet.put(entry) } }
  }
  for (const [what, { before, models, free }] of Object.entries(changes)) {
    // Guards against slots that stay empty until the next regular pass.
    it(`assigns an engine as soon as ${what}`, async () => {
      const clock = new VirtualClock(1000)
      const fleet = new FleetView({ clock, log: silentLog, regionOfZone: {} })
      fleet.put({ ...entry, models })
      const term = new LeaderTerm({
        clock,
        log: silentLog,
        capacityTerm: new LearnedCapacity(clock, fleet).startTerm(silentLog),
        fleet,
        quarantine: new PartQuarantine({ clock, name: 'n' }),
        storeView: { revision: 1 },
        deployment: () => ({ services: [{ name: 's', engine: { ...engine, slots: 2 } }] }),
        fence: 1,
        startDelayMs: 60_000,
        sharesServers: true,
        ownReport: () => ({ ...report, node: 'leader' }),
        broadcast: () => {},
        mustPauseCommands: () => true,
        engineClient: { queryState: async () => undefined }
      } as unknown as LeaderTermOptions)
      term.onReport(before)
      const answers: unknown[] = []
      const isWaiting = term.queueForSlot({ id: '1/1', dispatch: { ...request, promptTokens: 200, outputTokens: 100 }, place: { ...place, leftMs: 20_000 }, onAnswer: ({ kind }) => { answers.push(kind) } })
      expect(isWaiting).to.equal(true)
      // Regular passes start 20, 40 and 60 ms after the arrival.
      await clock.advance(52)
      expect(answers).to.deep.equal([])
      free(term, fleet)
      expect(answers).to.deep.equal(['engine'])
      term.stop()
    })
  }
})
