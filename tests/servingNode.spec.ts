import { request as httpRequest } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { ServingNode } from '../src/serving/servingNode.js'
import { liftWrite } from '../src/serving/storedQuarantine.js'
import type { ServingSettings } from '../src/serving/settings.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'
import { freePort } from './fixtures/freePort.js'
import { responseTo, requestIdOf } from './fixtures/requestProxyFixture.js'

function config (version: number, prefix = '/a/', maxHeaderBytes = 16_384): string {
  return JSON.stringify({
    version,
    routes: [{ name: 'r', host: 'h', path_prefix: prefix, kind: 'unsafe', timeout_ms: 5000, goal_ms: 300, priority: 0, service: 's', max_attempts: 1 }],
    services: [{ name: 's', max_conns: 50 }],
    limits: { max_header_bytes: maxHeaderBytes, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
  })
}

const beat = (address: string, state = 'ready') => JSON.stringify({ service: 's', address, zone: 'z', slots: 4, state, seq: 1, born: 1 })

function get (port: number, path: string, extraHeaders: Record<string, string> = {}): Promise<{ status: number, body: string, connection: string | undefined, retryAfter: number }> {
  return new Promise((resolve, reject) => {
    httpRequest({ host: '127.0.0.1', port, path, headers: { host: 'h', 'x-attempt-id': 'id', connection: 'keep-alive', ...extraHeaders }, agent: false }, response => {
      let body = ''
      response.on('data', data => { body += data })
      response.on('end', () => resolve({ status: response.statusCode!, body, connection: response.headers.connection, retryAfter: Number(response.headers['retry-after']) }))
    }).on('error', reject).end()
  })
}

async function until (condition: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 200; tries++) {
    if (await condition()) return
    await new Promise(resolve => setTimeout(resolve, 25))
  }
  expect.fail('the condition was not met in time')
}

/** Size of a response that exceeds the sockets' buffers while the client does not read. */
const unreadBytes = 8_000_000

describe('serving node', () => {
  let state: StoreState
  let store: MemoryStore
  let node: ServingNode
  let ports: { clients: number, ready: number, peers: number }
  let backend: ReturnType<typeof createServer>
  let responseDelayMs = 0
  let answer = 'ok'

  beforeEach(async () => {
    const clock = new SystemClock()
    state = new StoreState(clock)
    store = new MemoryStore(state)
    ports = { clients: await freePort(), ready: await freePort(), peers: await freePort() }
    const settings: ServingSettings = {
      node: 'n', ip: '127.0.0.1', availabilityZone: 'z', region: 'r', regionOfZone: { z: 'r' }, clientsAddress: `127.0.0.1:${ports.clients}`, readinessAddress: `127.0.0.1:${ports.ready}`, peersPort: ports.peers, maxFileDescriptors: 4000, cores: 1, store: { address: '', minimumLeaseMs: 1000 }, shutdownTimeoutMs: 8000, retryBudget: { share: 0.2, windowMs: 10_000, allowance: 10 }, enginesCheckFences: true, holderGapMs: 3000, loadWindowMs: 5000, sharesServers: false, memoryMb: 350
    }
    responseDelayMs = 0
    answer = 'ok'
    backend = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => setTimeout(() => socket.write(responseTo(requestIdOf(data.toString()), answer)), responseDelayMs))
    })
    await new Promise<void>(resolve => backend.listen(0, '127.0.0.1', resolve))
    node = new ServingNode({ settings, codecs, store, clock, random: new SeededRandom(1), log: silentLog })
    await node.start()
  })

  afterEach(async () => {
    await node.stop()
    backend.close()
  })

  const isReady = async () => (await get(ports.ready, '/readiness')).status === 200
  const publish = () => {
    state.write('op/config', config(4))
    state.write('servers/i1', beat(`127.0.0.1:${(backend.address() as AddressInfo).port}`))
  }

  it('is not ready and refuses until it knows a configuration', async () => {
    expect(await isReady()).to.equal(false)
    expect((await get(ports.clients, '/a/')).status).to.equal(503)
    publish()
    await until(isReady)
    await until(async () => (await get(ports.clients, '/a/')).status === 200)
  })

  it('applies a newer configuration and never an older one', async () => {
    publish()
    await until(isReady)
    state.write('op/config', config(9, '/b/'))
    await until(async () => (await get(ports.clients, '/a/')).status === 404)
    state.write('op/config', config(6))
    state.compact()
    await new Promise(resolve => setTimeout(resolve, 300))
    expect((await get(ports.clients, '/a/')).status).to.equal(404)
  })

  it('limits request heads by the configuration in force', async () => {
    // Guards against a fixed limit of the parser, below or above the configured one. The path has no route.
    const statusFor = async (bytes: number) => (await get(ports.clients, '/none', { 'x-long': 'x'.repeat(bytes) })).status
    publish()
    await until(isReady)
    expect([await statusFor(16_000), await statusFor(17_000)]).to.deep.equal([404, 431])
    state.write('op/config', config(5, '/a/', 100_000))
    await until(async () => await statusFor(17_000) === 404)
    expect([await statusFor(99_000), await statusFor(101_000)]).to.deep.equal([404, 431])
  })

  it('keeps serving while the store is unavailable', async () => {
    publish()
    await until(async () => (await get(ports.clients, '/a/')).status === 200)
    store.fault = 'refuses'
    await new Promise(resolve => setTimeout(resolve, 600))
    expect((await get(ports.clients, '/a/')).status).to.equal(200)
    expect(await isReady()).to.equal(true)
  })

  it('sends no requests to a draining server', async () => {
    publish()
    await until(async () => (await get(ports.clients, '/a/')).status === 200)
    state.write('servers/i1', beat(`127.0.0.1:${(backend.address() as AddressInfo).port}`, 'draining'))
    await until(async () => (await get(ports.clients, '/a/')).status === 503)
  })

  // Guards against a node that starts late, or a fleet that was restarted, and sends what others know to end engines.
  it('refuses requests with parts that the store says are in quarantine, until an operator lifts it', async () => {
    const verdict = { parts: ['5c'], ends: 3, firstEndAgeMs: 9000, lastEndAgeMs: 1000, leftMs: 600_000, renewals: 0, hasHistory: false, software: ['s/1'] }
    state.write('teaselrill/quarantine', JSON.stringify([verdict]))
    publish()
    await until(async () => (await get(ports.clients, '/a/')).status === 200)
    const withPart = () => get(ports.clients, '/a/', { 'x-prompt-prefix': 'aa:10,5c:10,e1:10' })
    const refused = await withPart()
    expect(refused.status).to.equal(503)
    expect(refused.body).to.contain('5c')
    expect(refused.retryAfter).to.be.within(500, 600)
    // The last part belongs to the request itself.
    expect((await get(ports.clients, '/a/', { 'x-prompt-prefix': 'aa:10,5c:10' })).status).to.equal(200)
    const lift = liftWrite('teaselrill/', { part: '5c', reason: 'test', author: 'kaja' })
    state.write(lift.key, lift.value)
    await until(async () => (await withPart()).status === 200)
    await until(async () => !state.items.has(lift.key) && state.items.get('teaselrill/quarantine')?.value === '[]')
  })

  it('finishes requests in progress at a shutdown, and closes connections', async () => {
    publish()
    await until(async () => (await get(ports.clients, '/a/')).status === 200)
    responseDelayMs = 3000
    const answer = get(ports.clients, '/a/')
    await new Promise(resolve => setTimeout(resolve, 100))
    const stopped = node.stop()
    expect(await isReady()).to.equal(false)
    expect(await answer).to.include({ status: 200, body: 'ok' })
    await stopped
  })

  it('does not truncate a response at a shutdown that its client has not read completely', async () => {
    // Guards against closing a connection as idle when its response is complete here but not yet read.
    publish()
    await until(async () => (await get(ports.clients, '/a/')).status === 200)
    answer = 'x'.repeat(unreadBytes)
    let bytes = 0
    const client = connect({ host: '127.0.0.1', port: ports.clients })
    const isOver = new Promise<string>(resolve => {
      client.on('error', error => resolve(error.message))
      client.on('close', () => resolve('closed'))
    })
    client.write('GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n\r\n')
    await new Promise(resolve => setTimeout(resolve, 300))
    const stopped = node.stop()
    await new Promise(resolve => setTimeout(resolve, 3000))
    client.on('data', data => { bytes += data.length })
    await isOver
    expect(bytes).to.be.above(unreadBytes)
    await stopped
  })
})
