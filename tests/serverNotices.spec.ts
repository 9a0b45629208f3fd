/** What backend servers say about themselves in responses: that they are leaving, and that they want a pause. */

import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import type { Log } from '../src/base/log.js'
import { codecs } from '../src/platform/httpCodecs.js'
import type { BackendEntry } from '../src/serving/deployment.js'
import { FleetView } from '../src/serving/fleetView.js'
import { EngineClient } from '../src/serving/engineClient.js'
import { SystemClock } from '../src/base/clock.js'
import { requestIdOf, RequestProxyFixture, responseTo, route, signedHeaders } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

const dayMs = 24 * 3600 * 1000

function respond (status: string, extra: string, body = 'ok'): Script {
  return (socket, head) => { socket.write(`HTTP/1.1 ${status}\r\n${signedHeaders(requestIdOf(head), extra)}Content-Length: ${body.length}\r\n\r\n${body}`) }
}

const ok: Script = (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) }
const leaving = respond('200 OK', 'Server-Leaving: 1\r\n')
const turnAway = (retryAfter: string) => respond('503 Busy', `X-Not-Executed: 1\r\nRetry-After: ${retryAfter}\r\n`, '')

function entry (id: string, changes: Partial<BackendEntry> = {}): BackendEntry {
  return { id, service: 's', address: '127.0.0.1:1', availabilityZone: 'z', slots: 4, isDraining: false, bornAtMs: 1, models: [], modelsInMemory: [], modelsOnDisk: [], ...changes }
}

function createFleet () {
  const clock = new VirtualClock(10_000)
  const logged: [string, Record<string, unknown>][] = []
  const log: Log = (_level, event, fields = {}) => { logged.push([event, fields]) }
  const fleet = new FleetView({ clock, log, regionOfZone: { z: 'r' } })
  const usable = () => fleet.ofService('s').filter(server => server.isUsable).map(server => server.entry.id)
  return { clock, fleet, usable, logged }
}

/** What the response head with these headers says, as the node reads it. */
function noticeOf (status: number, headers: Record<string, string>) {
  return codecs.readResponse({ status, statusText: '', rawHeaders: [], headers: new Map(Object.entries(headers)), keepsAlive: true, endsWithConnection: false, isChunked: false, isBodiless: false })
}

describe('server notices', () => {
  let fixture: RequestProxyFixture
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  // Guards against requests to a server that has said in a response that it is leaving.
  it('sends nothing to a server after its first response that announces its leaving', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', leaving)
    expect(await fixture.send('id0')).to.include({ status: 200, body: 'ok' })
    await fixture.addServer('b', ok)
    for (let count = 1; count <= 5; count++) expect((await fixture.send(`id${count}`)).status).to.equal(200)
    expect(fixture.received.map(({ server }) => server)).to.deep.equal(['a', 'b', 'b', 'b', 'b', 'b'])
  })

  // Guards against counting a planned exit as a failure of the server.
  it('does not count the announcement of leaving as a failure', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', respond('503 Leaving', 'X-Not-Executed: 1\r\nServer-Leaving: 1\r\n', ''))
    expect((await fixture.send('id0')).status).to.equal(503)
    expect(fixture.fleet.servers.get('a')!.collectOutcomes().failed).to.equal(0)
  })

  // Guards against a client that waits although its only server has left.
  it('rejects at once when the only server is leaving', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', leaving)
    await fixture.send('id0')
    const startMs = performance.now()
    expect((await fixture.send('id1')).status).to.equal(503)
    expect(performance.now() - startMs).to.be.below(200)
  })

  // Guards against missing an announcement in the response to a command, which is the first that a node may see.
  it('reads the announcement in responses to commands and state queries', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', respond('200 OK', 'Server-Leaving: 1\r\n', '{"seq":1}'))
    await new EngineClient(new SystemClock(), codecs).queryState(fixture.fleet.servers.get('a')!)
    expect(fixture.fleet.leaving.map(([id]) => id)).to.deep.equal(['a'])
  })

  // Guards against using a leaving server again because its entry is written or listed once more.
  it('does not use a leaving incarnation again when its entry comes back', () => {
    const { fleet, usable } = createFleet()
    fleet.put(entry('a'))
    fleet.servers.get('a')!.onNotice(noticeOf(200, { 'server-leaving': '1' }))
    fleet.put(entry('a'))
    expect(usable()).to.deep.equal([])
    fleet.remove('a')
    fleet.deleteRemoved()
    fleet.replaceAll([entry('a')])
    expect(usable()).to.deep.equal([])
    fleet.put(entry('a', { bornAtMs: 2 }))
    expect(usable()).to.deep.equal(['a'])
  })

  // Guards against a node that goes on using a server because another node heard of its leaving.
  it('applies the announcement that another node received, only to that incarnation', () => {
    const { fleet, usable } = createFleet()
    fleet.onLeaving(['b', 1])
    fleet.replaceAll([entry('a'), entry('b'), entry('c', { bornAtMs: 2 })])
    fleet.onLeaving(['a', 1])
    fleet.onLeaving(['c', 1])
    expect(usable()).to.deep.equal(['c'])
    expect(fleet.leaving).to.deep.equal([['a', 1], ['b', 1]])
  })

  // Guards against taking the announcement of whichever server uses the address now for one of the expected server.
  it('ignores the announcement in the response to a misdirected request', () => {
    const { fleet, usable } = createFleet()
    fleet.put(entry('a'))
    fleet.servers.get('a')!.onNotice(noticeOf(421, { 'server-leaving': '1' }))
    expect(usable()).to.deep.equal(['a'])
  })

  // Guards against requests to a server that has asked for a pause.
  it('sends nothing to a server within the pause that it requested', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head, count) => (count === 1 ? turnAway('0.4') : ok)(socket, head, count))
    expect((await fixture.send('id0')).status).to.equal(503)
    for (let count = 1; count <= 4; count++) {
      const response = await fixture.send(`early${count}`)
      expect(response.status).to.equal(503)
      expect(Number(response.headers['retry-after'])).to.be.within(0.1, 0.41)
    }
    expect(fixture.received).to.have.length(1)
    await new Promise(resolve => setTimeout(resolve, 450))
    expect((await fixture.send('late')).status).to.equal(200)
  })

  // Guards against refusing a request that another server can run.
  it('sends the request to another server when one requests a pause', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', turnAway('30'))
    await fixture.addServer('b', ok)
    for (let count = 0; count < 6; count++) expect((await fixture.send(`id${count}`)).status).to.equal(200)
    expect(fixture.received.filter(({ server }) => server === 'a').length).to.be.at.most(1)
  })

  // Guards against a `Retry-After` that is shorter than every server's pause, or the sum of all pauses.
  it('tells the client the shortest pause of several servers, also when that is longer than its patience', async () => {
    await fixture.start([route()])
    await fixture.addServer('a', turnAway('40'))
    await fixture.addServer('b', turnAway('20'))
    await fixture.send('id0')
    const response = await fixture.send('id1')
    expect(response.status).to.equal(503)
    expect(Number(response.headers['retry-after'])).to.be.within(19, 20.01)
  })

  // Guards against a request that waits for an engine whose pause is longer than its caller's patience.
  it('rejects at once when every engine with the model requested a long pause, and waits out a short one', async () => {
    const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 9000, warmLoadMs: 9000, diskLoadMs: 9000, adapterMb: 1 }] }
    await fixture.start([route()], { engine })
    await fixture.addServer('a', (socket, head, count) => (count === 1 ? turnAway('0.2') : count === 2 ? ok : turnAway('60'))(socket, head, count), { models: [{ name: 'm', adapters: [] }] })
    fixture.demand.expectedReadyMs = () => fixture.fleet.servers.get('a')!.pauseLeftMs
    const headers = { 'x-model': 'm' }
    expect((await fixture.send('id0', { headers })).status).to.equal(200)
    await fixture.send('id1', { headers })
    const startMs = performance.now()
    const response = await fixture.send('id2', { headers })
    expect(response.status).to.equal(503)
    expect(Number(response.headers['retry-after'])).to.be.within(55, 61)
    expect(performance.now() - startMs).to.be.below(200)
  })

  // Guards against absurd values: none may overflow, end a pause early or exclude a server for good.
  it('bounds the pause and ignores what is not a number of seconds', () => {
    const pauseOf = (value: string, status = 503) => {
      const { fleet, logged } = createFleet()
      fleet.put(entry('a'))
      fleet.servers.get('a')!.onNotice(noticeOf(status, { 'retry-after': value }))
      return { ms: fleet.servers.get('a')!.pauseLeftMs, events: logged.map(([event]) => event).filter(event => event.includes('pause')) }
    }
    expect(pauseOf('0.25')).to.deep.equal({ ms: 250, events: ['backend server requests a pause'] })
    expect(pauseOf('3')).to.deep.include({ ms: 3000 })
    expect(pauseOf('100000')).to.deep.include({ ms: dayMs })
    expect(pauseOf('9'.repeat(300))).to.deep.include({ ms: dayMs })
    for (const value of ['-1', '1e9', 'soon', '', '1, 2', '0x10', 'NaN', 'Infinity', 'Fri, 04 Dec 2026 21:00:00 GMT', '9'.repeat(400)]) {
      expect(pauseOf(value), value).to.deep.equal({ ms: 0, events: ['requested pause ignored: not a number of seconds'] })
    }
    expect(pauseOf('5', 429)).to.deep.equal({ ms: 0, events: [] })
  })

  // Guards against shortening a pause by a later response that names a shorter one.
  it('keeps the longest of the requested pauses', async () => {
    const { clock, fleet, usable } = createFleet()
    fleet.put(entry('a'))
    const server = fleet.servers.get('a')!
    server.onNotice(noticeOf(503, { 'retry-after': '5' }))
    server.onNotice(noticeOf(503, { 'retry-after': '1' }))
    await clock.advance(4900)
    expect(usable()).to.deep.equal([])
    await clock.advance(200)
    expect(usable()).to.deep.equal(['a'])
  })
})
