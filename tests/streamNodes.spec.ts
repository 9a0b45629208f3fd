import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { SeededRandom } from '../src/base/random.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { ServingMetrics } from '../src/serving/servingMetrics.js'
import { ServingNode } from '../src/serving/servingNode.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'
import { freePort } from './fixtures/freePort.js'
import { chunk, streamHead } from './fixtures/requestProxyFixture.js'
import { until } from './fixtures/until.js'

const config = JSON.stringify({
  version: 1,
  routes: [{ name: 'r', host: 'h', path_prefix: '/', kind: 'streaming', resumable: true, timeout_ms: 5000, goal_ms: 300, priority: 0, service: 's', max_attempts: 2 }],
  services: [{ name: 's', max_conns: 50 }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
})

class Node {
  readonly store: MemoryStore
  readonly lines: { event: string, fields: Record<string, unknown> }[] = []
  readonly metrics: ServingMetrics
  private node: ServingNode | undefined
  private port = 0

  constructor (readonly name: string, private readonly ip: string, private readonly peersPort: number, state: StoreState) {
    this.store = new MemoryStore(state)
    this.metrics = new ServingMetrics(name)
  }

  async start (): Promise<void> {
    this.port = await freePort()
    this.node = new ServingNode({
      settings: {
        node: this.name, ip: this.ip, availabilityZone: 'z', region: 'r', regionOfZone: { z: 'r' }, clientsAddress: `${this.ip}:${this.port}`, readinessAddress: `${this.ip}:${await freePort()}`, peersPort: this.peersPort, maxFileDescriptors: 4000, cores: 1, store: { address: '', minimumLeaseMs: 1000 }, shutdownTimeoutMs: 1000, retryBudget: { share: 0.2, windowMs: 10_000, allowance: 10 }, enginesCheckFences: true, holderGapMs: 3000, loadWindowMs: 5000, sharesServers: false, memoryMb: 350
      },
      codecs,
      store: this.store,
      clock: new SystemClock(),
      random: new SeededRandom(1),
      metrics: this.metrics,
      log: (_level, event, fields = {}) => { this.lines.push({ event, fields }) }
    })
    await this.node.start()
  }

  /** What a killed process does not write is not written. */
  async kill (): Promise<void> {
    this.store.fault = 'refuses'
    await this.stop()
  }

  async stop (): Promise<void> {
    await this.node?.stop()
    this.node = undefined
    this.metrics.stop()
  }

  get isLeader (): boolean {
    return this.lines.some(({ event }) => event === 'placement leader is this node')
  }

  /** Status and body of a request; an answer that was cut has the body that came. */
  get (id: string, headers: Record<string, string> = {}): Promise<{ status: number, body: string }> {
    return new Promise((resolve, reject) => {
      httpRequest({ host: this.ip, port: this.port, path: '/', headers: { host: 'h', 'x-attempt-id': id, ...headers }, agent: false }, response => {
        let body = ''
        response.on('data', data => { body += data })
        response.on('error', () => {})
        response.on('close', () => resolve({ status: response.statusCode!, body }))
      }).on('error', reject).end()
    })
  }
}

describe('software versions at several nodes', () => {
  let state: StoreState
  let peersPort: number
  const nodes: Node[] = []
  const engines: Server[] = []

  beforeEach(async () => {
    state = new StoreState(new SystemClock())
    state.write('op/config', config)
    peersPort = await freePort()
  })

  afterEach(async () => {
    await Promise.all(nodes.splice(0).map(node => node.stop()))
    for (const engine of engines.splice(0)) engine.close()
  })

  /** An engine that names its version in events 1 to 4, and cuts each stream that is not a continuation after event 2. */
  async function startEngine (id: string, version: string): Promise<void> {
    const engine = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => {
        const head = data.toString()
        const last = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0)
        const events = [1, 2, 3, 4].slice(last, last === 0 ? 2 : 4).map(event => chunk(`id: ${event}\ndata: ${version}\n\n`)).join('')
        const text = streamHead(head, 'Transfer-Encoding: chunked\r\n') + events
        if (last === 0) socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 20))
        else socket.write(`${text}0\r\n\r\n`)
      })
    })
    engines.push(engine)
    await new Promise<void>(resolve => engine.listen(0, '127.0.0.1', resolve))
    state.write(`servers/${id}`, JSON.stringify({ service: 's', address: `127.0.0.1:${(engine.address() as AddressInfo).port}`, zone: 'z', slots: 4, state: 'ready', version, seq: 1, born: 1 }))
  }

  async function startNode (index: number): Promise<Node> {
    const node = new Node(`n${index}`, `127.0.0.${1 + index}`, peersPort, state)
    nodes.push(node)
    await node.start()
    return node
  }

  const keysOf = (prefix: string) => [...state.items.keys()].filter(key => key.startsWith(prefix))
  const takeUp = (resumes: string) => ({ resumes, 'last-event-id': '2' })
  const versionsIn = (body: string) => [...new Set([...body.matchAll(/data: (\S+)/g)].map(([, version]) => version))]

  /** Begins streams at a node until both versions have begun one. Returns an attempt of each. */
  async function beginBoth (node: Node): Promise<Map<string, string>> {
    const attempts = new Map<string, string>()
    for (let index = 0; attempts.size < 2 && index < 100; index++) {
      const { status, body } = await node.get(`${node.name}-${index}`)
      const versions = versionsIn(body)
      expect(versions.length, body).to.be.at.most(1)
      if (status === 200 && versions.length === 1) attempts.set(versions[0]!, `${node.name}-${index}`)
    }
    expect([...attempts.keys()].sort()).to.deep.equal(['v1', 'v2'])
    return attempts
  }

  async function expectContinued (node: Node, attempts: ReadonlyMap<string, string>): Promise<void> {
    for (const [version, attempt] of attempts) {
      const { status, body } = await node.get(`again-${attempt}`, takeUp(attempt))
      expect([status, versionsIn(body)], body).to.deep.equal([200, [version]])
    }
  }

  // Guards against streams that are lost or mixed when all nodes are killed at once: what began them is only in the store.
  it('keep streams apart after all nodes were killed', async () => {
    await startEngine('i1', 'v1')
    await startEngine('i2', 'v2')
    const first = await startNode(0)
    const second = await startNode(1)
    await until(() => keysOf('teaselrill/software/s/').length === 3, 'markers, also of unknown versions')
    await until(async () => (await second.get('warm')).status === 200, 'streams')
    const attempts = await beginBoth(second)
    await until(() => keysOf('teaselrill/streams/').length > 0, 'records')
    await sleep(500)
    await Promise.all([first.kill(), second.kill()])
    nodes.splice(0)
    const third = await startNode(2)
    await until(async () => (await third.get('warm2')).status === 200, 'streams after the restart')
    await expectContinued(third, attempts)
    expect((await third.get('x', takeUp('never'))).status).to.equal(503)
    expect(third.lines.some(({ event, fields }) => event === 'request ended' && fields.takeUp === 'unknown-stream')).to.equal(true)
    expect(await third.metrics.text()).to.match(/teaselrill_stream_lookups_total\{result="record",node="n2"\} 2/)
  })

  // Guards against records that get lost with the leader, and against stream keys in the feed of all nodes.
  it('are known to the next leader', async () => {
    await startEngine('i1', 'v1')
    await startEngine('i2', 'v2')
    const first = await startNode(0)
    await until(() => first.isLeader, 'leader')
    const second = await startNode(1)
    await until(async () => (await second.get('warm')).status === 200, 'streams')
    await first.kill()
    nodes.splice(nodes.indexOf(first), 1)
    const attempts = await beginBoth(second)
    await until(() => second.isLeader, 'next leader')
    await sleep(500)
    const third = await startNode(2)
    await until(async () => (await third.get('warm2')).status === 200, 'streams')
    await expectContinued(third, attempts)
  })

  // Guards against streams that go on by a marker that the store has lost, and against live streams that are lost with it.
  it('are written again after the store came back from a copy', async () => {
    await startEngine('i1', 'v1')
    const copy = state.copy()
    const node = await startNode(0)
    await until(async () => (await node.get('warm')).status === 200, 'streams')
    await startEngine('i2', 'v2')
    await until(() => keysOf('teaselrill/software/s/v2').length > 0, 'marker')
    const attempts = await beginBoth(node)
    const { items } = state.copy()
    state.restore(copy)
    for (const [key, { value }] of items) if (key.startsWith('servers/')) state.write(key, value)
    await until(() => keysOf('teaselrill/software/s/').length === 3, 'markers of the next era')
    await until(() => keysOf('teaselrill/streams/').length > 0, 'records of the next era')
    const other = await startNode(1)
    await until(async () => (await other.get('warm2')).status === 200, 'streams')
    await expectContinued(other, attempts)
  })

  // Guards against nodes that follow the leader and take an engine for one of the version that its entry named before.
  it('reach nodes that follow the leader when the entry of an engine names another one', async () => {
    await startEngine('i1', 'v1')
    const first = await startNode(0)
    await until(() => first.isLeader, 'leader')
    const second = await startNode(1)
    await until(async () => /teaselrill_follows_leader\{[^}]*\} 1/.test(await second.metrics.text()), 'feed of the leader')
    // A watch of its own that has begun before still brings changes.
    await sleep(2500)
    const entry = JSON.parse(state.items.get('servers/i1')!.value)
    state.write('servers/i1', JSON.stringify({ ...entry, version: 'v2', seq: 2 }))
    await until(() => second.lines.filter(({ event }) => event === 'backend server taken in').length === 2, 'the other version')
  })

  // Guards against a service of one version that writes a record of each stream.
  it('write nothing but one marker while there is one', async () => {
    await startEngine('i1', 'v1')
    const node = await startNode(0)
    await until(async () => (await node.get('warm')).status === 200, 'streams')
    await until(() => keysOf('teaselrill/software/s/v1').length === 1, 'marker')
    state.write('teaselrill/software/s/?', undefined)
    await sleep(1000)
    await node.get('a')
    await sleep(600)
    expect(keysOf('teaselrill/streams/').length).to.be.at.most(1)
    const other = await startNode(1)
    await until(async () => (await other.get('b', takeUp('a'))).status === 200, 'continued')
    expect(versionsIn((await other.get('c', takeUp('a'))).body)).to.deep.equal(['v1'])
  })
})
