/** The daemon: connects a `NodeCore` to sockets and to the platform. */

import { randomInt, randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import { sleep, SystemClock } from '../base/clock.js'
import { SeededRandom } from '../base/random.js'
import type { Log } from '../base/log.js'
import { readHistory } from '../config/proposal.js'
import type { Settings } from '../config/settings.js'
import { drainNoticeMs, NodeCore } from '../gateway/nodeCore.js'
import { HttpEngine } from '../external/httpEngine.js'
import { HttpKeyValueStore } from '../external/httpKeyValueStore.js'
import { HttpService } from '../external/httpService.js'
import { HttpVmList } from '../external/httpVmList.js'
import { createCallersServer, listen, listeningAddress, listenOn, requireAddress } from './callersServer.js'
import { NodeMetrics } from './metrics.js'
import { createOperatorsApp } from './operatorsServer.js'
import type { OperatorsApi } from './operatorsServer.js'
import { PeerTransport } from './peerTransport.js'

export interface RunningNode {
  /** Graceful shutdown; resolves when no request is in progress. */
  stop (): Promise<void>
  callersAddress: string
  operatorsAddress: string
  peersAddress: string
}

const platformTimeoutMs = 2_000
const proposalDeadlineMs = 15_000
const maxOperatorConnections = 256

/** Starts a node. Resolves when all ports listen; the node may not be ready yet. */
export async function startNode (settings: Settings, { log }: { log: Log }): Promise<RunningNode> {
  const clock = new SystemClock()
  const random = new SeededRandom(randomInt(2 ** 31))
  const { node, callers, operators, peers, platform, deployment } = settings
  const { host, port } = requireAddress(peers.listen)
  const advertised = requireAddress(peers.advertise)
  // Peers may connect before the core exists, which needs the address that the transport listens on.
  const started: { core?: NodeCore } = {}
  const transport = new PeerTransport({
    clock,
    random,
    log,
    key: deployment.key,
    host,
    port,
    advertisedAddress: advertised.port === 0 ? undefined : peers.advertise,
    handler: async message => started.core?.handlePeer(message) ?? { kind: 'error', message: 'the node is starting' }
  })
  await transport.start()
  const metrics = new NodeMetrics(node.name)
  const keyValueStore = new HttpKeyValueStore({ address: platform.keyValueStore, clock, timeoutMs: platformTimeoutMs })
  const core = new NodeCore({
    clock,
    random,
    log,
    identity: { name: node.name, region: node.region, availabilityZone: node.availabilityZone, peersAddress: transport.address },
    seeds: peers.seeds,
    network: transport,
    keyValueStore,
    vmList: new HttpVmList({ address: platform.vmList, clock, timeoutMs: platformTimeoutMs }),
    engineApi: (engine, address) => new HttpEngine({ engine, address, clock }),
    serviceApi: (server, address) => new HttpService({ server, address, clock }),
    newId: randomUUID,
    onFinished: metrics.onFinished(() => clock.nowMs())
  })
  started.core = core
  metrics.watch(core)
  const callersServer = await listenOn(
    createCallersServer(request => core.handle(request), { bodyLimitBytes: callers.bodyLimitBytes, newId: randomUUID }),
    callers.listen,
    { maxConnections: callers.maxConnections }
  )
  const operatorsServer = await listen(
    createOperatorsApp({ deploymentKey: deployment.key, log, api: operatorsApi(core, { metrics, readHistory: () => readHistory(keyValueStore), nowMs: () => clock.nowMs() }) }),
    operators.listen,
    { maxConnections: maxOperatorConnections }
  )
  const addresses = {
    callersAddress: listeningAddress(callersServer),
    operatorsAddress: listeningAddress(operatorsServer),
    peersAddress: transport.address
  }
  log('info', 'node listening', { node: node.name, ...addresses })
  void core.start()
  return {
    ...addresses,
    stop: async () => {
      await Promise.all([
        core.stop(),
        sleep(clock, drainNoticeMs).then(() => closeServer(callersServer))
      ])
      await closeServer(operatorsServer)
      await transport.stop()
    }
  }
}

function operatorsApi (core: NodeCore, { metrics, readHistory, nowMs }: {
  metrics: NodeMetrics
  readHistory: () => ReturnType<OperatorsApi['configHistory']>
  nowMs: () => number
}): OperatorsApi {
  return {
    live: () => true,
    ready: () => core.readiness(),
    metrics: () => metrics.text(),
    configGet: () => {
      const text = core.configDistribution.currentText()
      return text === undefined ? undefined : { version: core.configDistribution.version(), text }
    },
    configPropose: change => core.proposeConfig(change, { deadlineMs: nowMs() + proposalDeadlineMs }),
    configHistory: readHistory,
    inForce: () => core.inForce(),
    status: async () => core.status(),
    explain: requestId => core.reports.explain(requestId),
    burn: () => core.reports.burnReport()
  }
}

/** Stops accepting connections, and closes the idle ones. */
function closeServer (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
}
