import { request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { UnknownOutcomeError } from '../src/base/errors.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { codecs } from '../src/platform/httpCodecs.js'
import type { LeaderReport } from '../src/serving/peerMessages.js'
import { LeaderLink } from '../src/serving/peerLink.js'
import { ServingMetrics } from '../src/serving/servingMetrics.js'
import { ServingNode } from '../src/serving/servingNode.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'
import { freePort } from './fixtures/freePort.js'
import { responseTo, requestIdOf } from './fixtures/requestProxyFixture.js'
import { until } from './fixtures/until.js'

const clock = new SystemClock()
const config = (version: number, keys: string[], quota = {}) => JSON.stringify({
  version,
  routes: [{ name: 'r', host: 'h', path_prefix: '/', kind: 'unsafe', timeout_ms: 5000, goal_ms: 300, priority: 0, service: 's', max_attempts: 1 }],
  services: [{ name: 's', max_conns: 50 }],
  limits: { max_header_bytes: 16384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 5000 },
  tenants: [{ name: 'acme', keys, ...quota }]
})

function get (port: number, headers: Record<string, string> = {}): Promise<number> {
  return new Promise((resolve, reject) => {
    httpRequest({ host: '127.0.0.1', port, path: '/', headers: { host: 'h', 'x-attempt-id': 'id', ...headers }, agent: false }, response => {
      response.resume()
      resolve(response.statusCode!)
    }).on('error', reject).end()
  })
}

describe('nodes with client accounts', () => {
  let state: StoreState
  let peersPort: number
  let nodes: ServingNode[]
  let backend: ReturnType<typeof createServer>

  beforeEach(async () => {
    state = new StoreState(clock)
    peersPort = await freePort()
    nodes = []
    backend = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => socket.write(responseTo(requestIdOf(data.toString()), 'ok')))
    })
    await new Promise<void>(resolve => backend.listen(0, '127.0.0.1', resolve))
    state.write('op/config', config(1, ['k1']))
    state.write('servers/i1', JSON.stringify({ service: 's', address: `127.0.0.1:${(backend.address() as AddressInfo).port}`, zone: 'z', slots: 4, state: 'ready', seq: 1, born: 1 }))
  })

  afterEach(async () => {
    await Promise.all(nodes.map(node => node.stop()))
    backend.close()
  })

  /** A node whose readiness and statuses can be asked for. */
  async function startNode (ip: string, store = new MemoryStore(state), { keyRemovalMs = 5000, random = new SeededRandom(1), metrics = new ServingMetrics('n') } = {}) {
    const ports = { clients: await freePort(), ready: await freePort() }
    const node = new ServingNode({
      settings: {
        node: ip, ip, availabilityZone: 'z', region: 'r', regionOfZone: { z: 'r' }, clientsAddress: `127.0.0.1:${ports.clients}`, readinessAddress: `127.0.0.1:${ports.ready}`, peersPort, maxFileDescriptors: 4000, cores: 1, store: { address: '', minimumLeaseMs: 1000 }, shutdownTimeoutMs: 4000, retryBudget: { share: 0.2, windowMs: 10_000, allowance: 10 }, enginesCheckFences: true, holderGapMs: 3000, loadWindowMs: 5000, sharesServers: false, keyRemovalMs, memoryMb: 350
      },
      codecs,
      store,
      clock,
      random,
      log: silentLog,
      metrics
    })
    nodes.push(node)
    await node.start()
    return { store, isReady: async () => await get(ports.ready) === 200, status: (key: string) => get(ports.clients, { 'x-api-key': key }) }
  }

  // Guards against a node that goes on with removed keys, or stays among the ready ones, while it has no way to the store.
  it('refuses keys and is not ready while nothing confirms its configuration', async () => {
    const { store, isReady, status } = await startNode('127.0.0.1', new MemoryStore(state), { keyRemovalMs: 3000 })
    await until(async () => await isReady() && await status('k1') === 200, 'service')
    await until(async () => await status('k2') === 401, 'an unknown key')
    store.fault = 'refuses'
    await until(async () => !await isReady(), 'the end of readiness')
    expect(await status('k1')).to.equal(503)
    expect(await status('k2')).to.equal(503)
    state.write('op/config', config(2, ['k2']))
    store.fault = 'none'
    await until(isReady, 'readiness')
    expect(await status('k1')).to.equal(401)
    expect(await status('k2')).to.equal(200)
  })

  // Guards against followers that are refused although the leader is in contact with the store.
  it('stays current through the leader when the store does not answer it', async () => {
    const leader = await startNode('127.0.0.1')
    await until(() => state.items.has('teaselrill/leader'), 'a leader')
    const { store, isReady, status } = await startNode('127.0.0.2')
    await until(async () => await leader.isReady() && await isReady(), 'readiness')
    await new Promise(resolve => setTimeout(resolve, 1500))
    store.fault = 'silent'
    await new Promise(resolve => setTimeout(resolve, 5500))
    expect(await isReady()).to.equal(true)
    await until(async () => await status('k2') === 401, 'an unknown key')
    state.write('op/config', config(2, ['k2']))
    await until(async () => await status('k1') === 401 && await status('k2') === 200, 'the new key')
  })

  // Guards against nodes that skip a configuration because their leader's term began within the batch of changes that contains it.
  it('claims no change for the feed that came before the leader\'s key', async () => {
    let fence = 0
    class LateAnswerStore extends MemoryStore {
      override async commit (change: Parameters<MemoryStore['commit']>[0]) {
        const leaderWrite = change.writes?.find(({ key }) => key === 'teaselrill/leader')
        if (!leaderWrite || fence > 0) return await super.commit(change)
        state.write('op/config', config(2, []))
        state.write(leaderWrite.key, leaderWrite.value, leaderWrite.lease?.id)
        fence = state.revision
        throw new UnknownOutcomeError('store', 'the response was lost')
      }
    }
    const { status } = await startNode('127.0.0.1', new LateAnswerStore(state))
    await until(async () => fence > 0 && await status('k1') === 401, 'the configuration')
    const reports: LeaderReport[] = []
    const link = new LeaderLink({ clock, log: silentLog, onMessage: message => { if ('fence' in message) reports.push(message) }, onConnected: () => {}, onLost: () => {} })
    link.setLeader({ host: '127.0.0.1', port: peersPort })
    await until(() => reports.length > 0, 'a report')
    link.stop()
    expect(reports[0]!.news!.fromRevision).to.be.at.least(fence)
  })

  // Guards against nodes that do not find the deputy, and that ask it although there is a leader.
  it('asks the deputy about quotas only while no leader can be reached', async () => {
    state.write('op/config', config(2, ['k1'], { rate_per_s: 100, burst: 100 }))
    const events: string[][] = []
    const start = async (ip: string) => {
      const seen: string[] = []
      const metrics = new ServingMetrics('n')
      metrics.onQuota = event => { seen.push(event) }
      events.push(seen)
      return await startNode(ip, new MemoryStore(state), { metrics })
    }
    const leader = await start('127.0.0.1')
    await until(() => state.items.has('teaselrill/leader'), 'a leader')
    const others = [await start('127.0.0.2'), await start('127.0.0.3')]
    await until(async () => await leader.isReady() && await others[0]!.isReady() && await others[1]!.isReady(), 'readiness')
    const sendUntil = (event: string) => until(async () => {
      for (const other of others) await other.status('k1')
      return events[1]!.includes(event) && events[2]!.includes(event)
    }, event)
    await sendUntil('granted')
    await new Promise(resolve => setTimeout(resolve, 1000))
    expect(events.flat()).not.to.include('deputy')
    const { peers } = nodes[0] as unknown as { peers: { stop (): void, listen (host: string, port: number): Promise<void> } }
    peers.stop()
    await sendUntil('deputy')
    for (const seen of events) seen.length = 0
    await peers.listen('127.0.0.1', peersPort)
    await sendUntil('granted')
    for (const seen of events) seen.length = 0
    await sendUntil('granted')
    expect(events.flat()).not.to.include('deputy')
  })
})
