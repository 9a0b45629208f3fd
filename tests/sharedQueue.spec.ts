import { request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import type { LogFields } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { ServingNode } from '../src/serving/servingNode.js'
import type { ServingSettings } from '../src/serving/settings.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'
import { freePort } from './fixtures/freePort.js'
import { requestIdOf, responseTo } from './fixtures/requestProxyFixture.js'
import { until } from './fixtures/until.js'

const slots = 2
const config = {
  version: 1,
  routes: [{ name: 'r', host: 'h', path_prefix: '/', kind: 'safe', timeout_ms: 12_000, goal_ms: 800, priority: 0, service: 's', max_attempts: 1 }],
  services: [{ name: 's', max_conns: 50, engine: { slots, kv_capacity: 50_000, weights_mb: 100, models: [{ name: 'm', weights_mb: 50, load_s: 9 }] } }],
  limits: { max_header_bytes: 16384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
}

/** The status of the engine that does no work: it holds the model and loads nothing. */
const report = JSON.stringify({ models: [{ name: 'm' }], seq: 1 })

describe('queue shared by nodes', () => {
  let engine: Server
  let running = 0
  let serviceTimeMs: number
  let mostRunning = 0
  let nodes: { ip: string, port: number, node: ServingNode, lines: { event: string, fields: LogFields }[] }[] = []

  beforeEach(async () => {
    running = mostRunning = 0
    serviceTimeMs = 100
    engine = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => {
        const head = data.toString()
        if (!/x-model/i.test(head)) return socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`)
        mostRunning = Math.max(mostRunning, ++running)
        setTimeout(() => {
          running--
          socket.write(responseTo(requestIdOf(head), 'ok'))
        }, serviceTimeMs)
      })
    })
    await new Promise<void>(resolve => engine.listen(0, '127.0.0.1', resolve))
    const clock = new SystemClock()
    const state = new StoreState(clock)
    state.write('op/config', JSON.stringify(config))
    state.write('servers/e1', JSON.stringify({ service: 's', address: `127.0.0.1:${(engine.address() as AddressInfo).port}`, zone: 'z', slots, state: 'ready', seq: 1, born: 1, models: [{ name: 'm' }] }))
    const peersPort = await freePort()
    nodes = []
    for (const ip of ['127.0.0.1', '127.0.0.2', '127.0.0.3']) {
      const port = await freePort()
      const settings: ServingSettings = {
        node: ip, ip, availabilityZone: 'z', region: 'r', regionOfZone: { z: 'r' }, clientsAddress: `${ip}:${port}`, readinessAddress: `${ip}:${await freePort()}`, peersPort, maxFileDescriptors: 4000, cores: 1, store: { address: '', minimumLeaseMs: 1000 }, shutdownTimeoutMs: 1000, retryBudget: { share: 0.2, windowMs: 10_000, allowance: 10 }, enginesCheckFences: true, holderGapMs: 3000, loadWindowMs: 5000, sharesServers: true, memoryMb: 350
      }
      const lines: { event: string, fields: LogFields }[] = []
      const node = new ServingNode({ settings, codecs, store: new MemoryStore(state), clock, random: new SeededRandom(1), log: (_level, event, fields = {}) => { lines.push({ event, fields }) } })
      nodes.push({ ip, port, node, lines })
      await node.start()
    }
  })

  afterEach(async () => {
    await Promise.all(nodes.map(({ node }) => node.stop()))
    engine.close()
  })

  function get ({ ip, port }: { ip: string, port: number }, id: string): Promise<number> {
    return new Promise((resolve, reject) => {
      httpRequest({ host: ip, port, path: '/', headers: { host: 'h', 'x-attempt-id': id, 'x-model': 'm', 'x-token-count': '50,20' }, agent: false }, response => {
        response.resume()
        response.on('end', () => resolve(response.statusCode!))
      }).on('error', reject).end()
    })
  }

  const isLeading = ({ lines }: typeof nodes[number]) => lines.some(({ event }) => event === 'placement leader is this node')

  async function startUp (): Promise<void> {
    await until(async () => (await Promise.all(nodes.map(node => get(node, 'first')))).every(status => status === 200), 'all nodes serve')
    await until(() => nodes.some(isLeading), 'a node leads')
    await sleep(1500)
    mostRunning = 0
  }

  // Guards against nodes that send more to an engine than its slots, and against requests that are refused although they can wait.
  it('serves a burst at all nodes through the slots of one engine', async () => {
    await startUp()
    const statuses = await Promise.all(Array.from({ length: 18 }, (_, index) => get(nodes[index % nodes.length]!, `id${index}`)))
    expect(statuses).to.deep.equal(statuses.map(() => 200))
    expect(mostRunning).to.be.at.most(slots)
    const sends = nodes.flatMap(({ lines }) => lines.flatMap(({ fields }) => (fields.sends ?? []) as { chosenBy: string }[]))
    expect(sends.filter(({ chosenBy }) => chosenBy === 'queue').length).to.be.at.least(10)
  })

  // Guards against requests that are lost with the queue of a leader that ends.
  it('serves the requests that waited when the leader ends', async () => {
    await startUp()
    const others = nodes.filter(node => !isLeading(node))
    serviceTimeMs = 800
    const statuses = Promise.all(Array.from({ length: 12 }, (_, index) => get(others[index % others.length]!, `id${index}`)))
    await sleep(300)
    await nodes.find(isLeading)!.node.stop()
    expect(await statuses).to.deep.equal(Array.from({ length: 12 }, () => 200))
  })
})
