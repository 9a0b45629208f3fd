import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import type { LogFields } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { StoreClient } from '../src/platform/storeClient.js'
import type { ServingSettings } from '../src/serving/settings.js'
import { ServingMetrics } from '../src/serving/servingMetrics.js'
import { ServingNode } from '../src/serving/servingNode.js'
import { liftWrite } from '../src/serving/storedQuarantine.js'
import { freePort } from './fixtures/freePort.js'
import { requestIdOf, responseTo } from './fixtures/requestProxyFixture.js'
import { until } from './fixtures/until.js'
import { StoreStandIn } from './soak/storeStandIn.js'
import type { StoreCopy } from './soak/storeStandIn.js'

const configOf = (version: number, prefixes: string[]) => ({
  version,
  routes: prefixes.map(prefix => ({ name: prefix, host: 'h', path_prefix: `/${prefix}/`, kind: 'safe', timeout_ms: 5000, goal_ms: 300, priority: 0, service: 's', max_attempts: 1 })),
  services: [{ name: 's', max_conns: 50 }],
  limits: { max_header_bytes: 16384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
})

class Node {
  readonly lines: { event: string, fields: LogFields }[] = []
  readonly store: StoreClient
  private readonly metrics: ServingMetrics
  private node: ServingNode | undefined
  private clientsPort = 0

  constructor (readonly name: string, private readonly ip: string, storePort: number) {
    this.metrics = new ServingMetrics(name)
    this.store = new StoreClient(`127.0.0.1:${storePort}`, new SystemClock())
  }

  async start (): Promise<void> {
    this.clientsPort = await freePort()
    const settings: ServingSettings = {
      node: this.name, ip: this.ip, availabilityZone: 'z', region: 'r', regionOfZone: { z: 'r' }, clientsAddress: `${this.ip}:${this.clientsPort}`, readinessAddress: `${this.ip}:${await freePort()}`, peersPort: await freePort(), maxFileDescriptors: 4000, cores: 1, store: { address: '', minimumLeaseMs: 1000 }, shutdownTimeoutMs: 1000, retryBudget: { share: 0.2, windowMs: 10_000, allowance: 10 }, enginesCheckFences: true, holderGapMs: 3000, loadWindowMs: 5000, sharesServers: false, memoryMb: 350
    }
    this.node = new ServingNode({ settings, metrics: this.metrics, codecs, store: this.store, clock: new SystemClock(), random: new SeededRandom(1), log: (_level, event, fields = {}) => { this.lines.push({ event, fields }) } })
    await this.node.start()
  }

  async stop (): Promise<void> {
    await this.node?.stop()
    await this.store.close()
  }

  /** Fencing tokens of this node's terms. */
  get fences (): number[] {
    return this.lines.filter(({ event }) => event === 'placement leader is this node').map(({ fields }) => Number(fields.fence))
  }

  async metric (name: string): Promise<number> {
    return Number(new RegExp(`^${name}\\{.*\\} (\\S+)`, 'm').exec(await this.metrics.text())?.[1])
  }

  get (path: string, headers: Record<string, string> = {}): Promise<number> {
    return new Promise((resolve, reject) => {
      httpRequest({ host: this.ip, port: this.clientsPort, path, headers: { host: 'h', 'x-attempt-id': 'id', ...headers }, agent: false }, response => {
        response.resume()
        response.on('end', () => resolve(response.statusCode!))
      }).on('error', reject).end()
    })
  }
}

describe('store that comes back from a copy', () => {
  let store: StoreStandIn
  let backend: Server
  const nodes: Node[] = []

  beforeEach(async () => {
    store = new StoreStandIn(() => 0.5)
    await store.listen()
    backend = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => socket.write(responseTo(requestIdOf(data.toString()), 'ok')))
    })
    await new Promise<void>(resolve => backend.listen(0, '127.0.0.1', resolve))
    store.put('op/config', configOf(4, ['a']))
    beat('i1', 1)
  })

  afterEach(async () => {
    await Promise.all(nodes.splice(0).map(node => node.stop()))
    store.close()
    backend.close()
  })

  function beat (id: string, seq: number, state = 'ready'): void {
    store.put(`servers/${id}`, { service: 's', address: `127.0.0.1:${(backend.address() as AddressInfo).port}`, zone: 'z', slots: 4, state, seq, born: 1 })
  }

  async function startNode (index = 0): Promise<Node> {
    const node = new Node(`n${index}`, `127.0.0.${1 + index}`, store.port)
    nodes.push(node)
    await node.start()
    return node
  }

  /** Takes the store away, brings it back from `copy` and changes it before nodes are let in again. */
  async function restore (copy: StoreCopy, change: () => void): Promise<void> {
    store.mode = 'refuses'
    await sleep(200)
    store.restore(copy)
    change()
    await sleep(100)
    store.mode = 'up'
  }

  // Guards against a route that is never served because its revision had stood for another state (CONFIG).
  it('does not hide a change whose revision the node knew from before', async () => {
    const node = await startNode()
    await until(async () => await node.get('/a/1') === 200, 'the first route is served')
    const copy = store.copy()
    for (let seq = 2; seq < 30; seq++) beat('i1', seq)
    await sleep(600)
    await restore(copy, () => {
      store.put('op/config', configOf(5, ['a', 'b']))
      for (let seq = 30; seq < 80; seq++) beat('i1', seq)
    })
    await sleep(2500)
    expect(await node.get('/b/1'), 'the route is not served').to.equal(200)
  })

  // Guards against nodes that stay in an earlier era while nothing shows it.
  it('shows the era that each node has reached', async () => {
    await Promise.all([startNode(), startNode(1)])
    const areIn = async (era: number) => (await Promise.all(nodes.map(node => node.metric('teaselrill_store_era')))).every(value => value === era)
    const era = store.era!
    await until(() => areIn(era), 'the items are listed')
    await restore(store.copy(), () => {})
    await until(() => areIn(era + 1), 'the nodes are in the new era')
  })

  // Guards against requests to a server that had said since the copy that it drains, or had left, and looks ready again (DRAIN).
  for (const leaves of ['drains', 'has left'] as const) {
    it(`does not believe an older entry of a server that ${leaves}`, async () => {
      const node = await startNode()
      await until(async () => await node.get('/a/1') === 200, 'the server is used')
      const copy = store.copy()
      if (leaves === 'drains') beat('i1', 2, 'draining')
      else store.remove('servers/i1')
      await until(async () => await node.get('/a/1') === 503, 'the server is not used')
      await restore(copy, () => store.put('op/config', configOf(5, ['a', 'b'])))
      await until(async () => await node.get('/b/1') !== 404, 'the store is read again')
      expect(await node.get('/b/1'), 'the server looks ready').to.equal(503)
      beat('i1', 3)
      await until(async () => await node.get('/b/1') === 200, 'a newer entry is believed')
    })
  }

  // The leader ends verdicts on software that no server runs.
  const verdict = { parts: ['5c'], ends: 3, firstEndAgeMs: 9000, lastEndAgeMs: 1000, leftMs: 600_000, renewals: 0, hasHistory: false, software: ['s/'] }
  const withPart = { 'x-prompt-prefix': 'aa:10,5c:10,e1:10' }
  const storedVerdicts = () => Buffer.from(store.items.get('teaselrill/quarantine')?.value ?? '', 'base64').toString()

  // Guards against verdicts and counts that nobody writes again, so that a fresh node does not know them.
  it('writes again what this system had written since the copy', async () => {
    const copy = store.copy()
    const node = await startNode()
    await until(async () => await node.get('/a/1') === 200 && store.items.has('teaselrill/size'), 'a leader')
    store.put('teaselrill/quarantine', [verdict])
    // A request that is in progress when the verdict arrives, and is answered, would end it.
    await until(async () => await node.metric('teaselrill_parts_quarantined') === 1, 'the verdict is known')
    expect(await node.get('/a/1', withPart), 'the part is refused').to.equal(503)
    await restore(copy, () => beat('i1', 2))
    expect(store.items.has('teaselrill/quarantine')).to.equal(false)
    await until(() => storedVerdicts().includes('5c'), 'the verdict is written again')
    await until(() => store.items.has('teaselrill/size'), 'the size is written again')
    expect(await node.get('/a/1', withPart)).to.equal(503)
  })

  // Guards against a lifted quarantine that comes back with the store.
  it('does not bring a verdict back that was lifted since the copy', async () => {
    const node = await startNode()
    await until(async () => await node.get('/a/1') === 200, 'a leader')
    store.put('teaselrill/quarantine', [verdict])
    // A request that is in progress when the verdict arrives, and is answered, would end it.
    await until(async () => await node.metric('teaselrill_parts_quarantined') === 1, 'the verdict is known')
    expect(await node.get('/a/1', withPart), 'the part is refused').to.equal(503)
    const copy = store.copy()
    const { key, value } = liftWrite('teaselrill/', { part: '5c', reason: 'test', author: 'kaja' })
    store.put(key, JSON.parse(value))
    await until(() => storedVerdicts() === '[]', 'the lift is carried out')
    await sleep(2000)
    await restore(copy, () => store.put('op/config', configOf(5, ['a', 'b'])))
    await until(async () => await node.get('/b/1') === 200, 'the store is read again')
    expect(await node.get('/b/1', withPart), 'the verdict is back').to.equal(200)
    await until(() => storedVerdicts() === '[]', 'the older verdict is replaced')
  })

  // Guards against fencing tokens that fall or are given out twice (ONE, and engines that refuse every order).
  it('does not make fencing tokens fall', async () => {
    const copy = store.copy()
    for (let seq = 2; seq < 30; seq++) beat('i1', seq)
    const node = await startNode()
    await until(() => node.fences.length > 0, 'a leader')
    await restore(copy, () => beat('i1', 30))
    await until(() => node.fences.length > 1, 'a leader after the return')
    const [before, after] = node.fences
    expect(after! > before!, `the fence ${after} follows ${before}`).to.equal(true)
    expect(Number.isSafeInteger(after)).to.equal(true)
    const fresh = await startNode(1)
    await until(() => fresh.lines.some(({ event, fields }) => event === 'placement leader known' && fields.fence === after), 'a fresh node knows the same fence')
  })
})
