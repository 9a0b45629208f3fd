import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import type { DispatchRequest } from '../src/policy/dispatcher.js'
import type { SlotAnswer } from '../src/policy/slotQueue.js'
import { QueuedSlot } from '../src/serving/queuedSlot.js'
import type { RequestProxyOptions } from '../src/serving/requestProxy.js'
import type { TakeUp } from '../src/serving/streamVersions.js'
import { chunk, RequestProxyFixture, requestIdOf, responseTo, route, streamHead } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 9000, warmLoadMs: 9000, diskLoadMs: 9000, adapterMb: 1 }] }
const withModel = { models: [{ name: 'm', adapters: [] }] }
const forModel = { headers: { 'x-model': 'm' } }
const resumableRoute = () => route({ kind: 'stream', resumable: true, maxAttempts: 3, objectiveMs: 50, timeoutMs: 20_000 })

const eventsOf = (version: string, from: number, last: number) => Array.from({ length: last - from + 1 }, (_, index) => `id: ${from + index}\ndata: ${version}\n\n`).join('')
const chunkedHead = (head: string) => streamHead(head, 'Transfer-Encoding: chunked\r\n')
const lastOf = (head: string) => Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0)

/** Streams six events of a version after the last one that the request names. */
const whole = (version: string): Script => (socket, head) => { socket.write(`${chunkedHead(head)}${chunk(eventsOf(version, lastOf(head) + 1, 6))}0\r\n\r\n`) }
/** The same, cut after the third event. */
const cut = (version: string): Script => (socket, head) => { socket.write(chunkedHead(head) + chunk(eventsOf(version, 1, 3)), () => setTimeout(() => socket.resetAndDestroy(), 20)) }
/** The same, silent after the third event. */
const stalled = (version: string): Script => (socket, head) => { socket.write(chunkedHead(head) + chunk(eventsOf(version, 1, 3))) }

describe('software versions within one answer', () => {
  let fixture: RequestProxyFixture
  /** What the leader's queue answers, and what it was asked. */
  let slotAnswers: SlotAnswer[]
  let asked: DispatchRequest[]
  afterEach(() => fixture.stop())

  async function start (scripts: Record<string, [version: string, Script]>, options: Pick<RequestProxyOptions, 'requestSlot' | 'streams'> = {}): Promise<void> {
    fixture = new RequestProxyFixture(options)
    await fixture.start([resumableRoute()], { engine })
    for (const [id, [softwareVersion, script]] of Object.entries(scripts)) await fixture.addServer(id, script, { ...withModel, softwareVersion })
  }

  const servers = () => fixture.received.map(({ server }) => server)
  const requestSlot: RequestProxyOptions['requestSlot'] = async dispatch => {
    asked.push(dispatch)
    const slot = new QueuedSlot({ clock: new SystemClock(), excluded: dispatch.excluded, onCancel: () => {} })
    slot.deliver(slotAnswers.shift() ?? { kind: 'engine', id: 'c' })
    return slot
  }

  // Guards against the rest of a cut stream from another version, which the leader or the node itself names.
  for (const decision of [{ kind: 'engine', id: 'b' } as const, undefined]) {
    it(`stay the same when a stream is cut and ${decision ? 'the leader names another one' : 'the node chooses'}`, async () => {
      await start({ a: ['v1', cut('v1')], b: ['v2', whole('v2')], c: ['v1', whole('v1')] })
      fixture.leaderDecision = { kind: 'engine', id: 'a' }
      const response = fixture.send('id1', forModel)
      while (fixture.received.length === 0) await sleep(1)
      fixture.leaderDecision = decision
      expect(await response).to.include({ body: eventsOf('v1', 1, 6), isComplete: true })
      expect(servers()).to.deep.equal(['a', 'c'])
      expect(fixture.dispatchRequests.at(-1)!.excluded).to.include('b')
    })
  }

  // Guards against a slot that is reserved at another version for a stream whose engine is silent.
  it('stay the same when a silent engine is given up', async () => {
    await start({ a: ['v1', stalled('v1')], b: ['v2', whole('v2')] })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await sleep(1200)
    expect([servers(), fixture.reservationCalls]).to.deep.equal([['a'], []])
    fixture.leaderDecision = { kind: 'engine', id: 'c' }
    await fixture.addServer('c', whole('v1'), { ...withModel, softwareVersion: 'v1' })
    expect(await response).to.include({ body: eventsOf('v1', 1, 6), isComplete: true })
  })

  // The same where the leader keeps a queue, and assigns an engine that it was not asked to leave out.
  it('stay the same when the leader\'s queue assigns another one', async () => {
    asked = []
    slotAnswers = [{ kind: 'engine', id: 'a' }, { kind: 'engine', id: 'b' }]
    await start({ a: ['v1', cut('v1')], b: ['v2', whole('v2')], c: ['v1', whole('v1')] }, { requestSlot })
    expect(await fixture.send('id1', forModel)).to.include({ body: eventsOf('v1', 1, 6), isComplete: true })
    expect(servers()).to.deep.equal(['a', 'c'])
    expect(asked.slice(1).map(({ excluded }) => excluded.includes('b'))).to.deep.equal([true, true])
  })

  // Guards against the question for the rest that goes to another version after an end that nothing states.
  it('stay the same when nothing states the end of a continued stream', async () => {
    const unproved: Script = (socket, head) => { socket.end(streamHead(head) + eventsOf('v1', lastOf(head) + 1, 4)) }
    await start({ a: ['v1', cut('v1')], b: ['v2', whole('v2')], c: ['v1', (socket, head, count) => (count === 1 ? unproved : whole('v1'))(socket, head, count)] })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    while (fixture.received.length === 0) await sleep(1)
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    const { body } = await response
    expect(body).to.match(/data: v1/).and.not.match(/data: v2/)
    expect(servers()).to.not.include('b')
  })

  // Guards against an engine that came back with another version at the same address while its last process was about to answer.
  it('are those of the process that answers, not of the one that follows it', async () => {
    await start({ a: ['v1', (socket, head, count) => { setTimeout(() => cut('v1')(socket, head, count), 200) }] })
    const response = fixture.send('id1', forModel)
    await sleep(100)
    fixture.fleet.put({ ...fixture.fleet.servers.get('a')!.entry, softwareVersion: 'v2' })
    await fixture.addServer('b', whole('v2'), { ...withModel, softwareVersion: 'v2' })
    expect(await response).to.include({ body: eventsOf('v1', 1, 3), isComplete: false })
    expect(servers()).to.deep.equal(['a'])
  })

  // Guards against requests that are lost because their first engine fixes the version before its answer has begun.
  it('do not bind a request whose answer has not begun', async () => {
    await start({ a: ['v1', socket => { socket.resetAndDestroy() }], b: ['v2', whole('v2')] })
    fixture.leaderDecision = { kind: 'engine', id: 'a' }
    const response = fixture.send('id1', forModel)
    await sleep(5)
    fixture.leaderDecision = undefined
    expect(await response).to.include({ body: eventsOf('v2', 1, 6), isComplete: true })
  })

  const streamsWith = (takeUp: TakeUp, mayBegin = (_service: string, _version: string) => true): NonNullable<RequestProxyOptions['streams']> =>
    ({ mayBegin, mayHaveRestarted: ({ pool }) => pool.lastRefusedAtMs > 0, takeUpOf: async () => takeUp, onBegun: (request, version) => begun.push([request.metadata.requestId!, version]), onNotServed: () => 250 })
  let begun: [string, string][] = []
  const takeUp = { headers: { ...forModel.headers, resumes: 'id0', 'last-event-id': '3' } }

  // Guards against a stream that a client takes up and that another version continues.
  it('are kept when a client takes up a stream', async () => {
    begun = []
    await start({ b: ['v2', whole('v2')], c: ['v1', whole('v1')] }, { streams: streamsWith({ kind: 'version', version: 'v1', by: 'record' }) })
    fixture.leaderDecision = { kind: 'engine', id: 'b' }
    expect(await fixture.send('id1', takeUp)).to.include({ body: eventsOf('v1', 4, 6), isComplete: true })
    expect(begun).to.deep.equal([['id1', 'v1']])
    expect(fixture.proxyLines.at(-1)!.fields).to.include({ resumes: 'id0', streamVersion: 'v1', takeUp: 'record' })
  })

  // Guards against an engine that is down and comes back with another version, before its new entry is known.
  it('are not expected of an engine that has refused a connection', async () => {
    await start({ c: ['v1', whole('v1')] }, { streams: streamsWith({ kind: 'version', version: 'v1', by: 'record' }) })
    const [port] = fixture.endServers()
    expect((await fixture.send('id1', takeUp)).status).to.equal(503)
    await sleep(1000)
    await fixture.restartAt(port!, whole('v2'))
    for (const request of [takeUp, forModel]) expect((await fixture.send('id2', request)).status).to.equal(503)
    expect(fixture.received).to.have.length(0)
  })

  // Guards against clients that wait for a deadline where nothing can go on.
  for (const [name, decided] of [
    ['its version is not known', { kind: 'refused', reason: 'unknown-stream', retryAfterMs: undefined }],
    ['nobody serves its version', { kind: 'version', version: 'v1', by: 'record' }]
  ] as const) {
    it(`refuse a stream at once if ${name}`, async () => {
      await start({ b: ['v2', whole('v2')] }, { streams: streamsWith(decided) })
      const startedAtMs = Date.now()
      expect(await fixture.send('id1', takeUp)).to.include({ status: 503 })
      expect(Date.now() - startedAtMs).to.be.below(1000)
      expect(fixture.received).to.have.length(0)
    })
  }

  // Guards against streams of a version whose marker is not in the store: nothing would tell that they are alive.
  it('get no new stream without a marker, but other requests', async () => {
    fixture = new RequestProxyFixture({ streams: streamsWith({ kind: 'version', version: 'v1', by: 'record' }, (_service, version) => version === 'v1') })
    await fixture.start([{ ...resumableRoute(), pathPrefix: '/s' }, route({ kind: 'idempotent' })])
    await fixture.addServer('b', (socket, head, count) => (head.startsWith('POST /s') ? whole('v2')(socket, head, count) : socket.write(responseTo(requestIdOf(head), 'ok'))), { softwareVersion: 'v2' })
    expect((await fixture.send('id1', { path: '/s' })).status).to.equal(503)
    expect((await fixture.send('id2', { path: '/' })).status).to.equal(200)
    await fixture.addServer('c', whole('v1'), { softwareVersion: 'v1' })
    expect((await fixture.send('id3', { path: '/s' })).body).to.equal(eventsOf('v1', 1, 6))
  })
})
