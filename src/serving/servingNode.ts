/** One node that serves the requests of the platform's clients: connects the parts to sockets and to the store. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { Codecs } from './codecs.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'
import { FleetView } from './fleetView.js'
import { ModelDemand } from './modelDemand.js'
import { Relay } from './relay.js'
import type { ServingSettings } from './settings.js'
import { StoreView } from './storeView.js'

/** The load balancer notices after two of its checks, one a second, and new connections may be on their way. */
const unreadyMs = 2300
/** Time before the platform kills the process at which what is left is given up. */
const shutdownMarginMs = 400
const shutdownPollMs = 50
/** Larger than the platform's limits on request heads, which are checked by size. */
const maxHeaderBytes = 64 * 1024
/** Descriptors that are not for clients: backend servers, peers, the store and files. */
const reservedDescriptors = 1200
const requestCheckMs = 500

export interface ServingNodeOptions {
  settings: ServingSettings
  codecs: Codecs
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
}

export class ServingNode {
  private readonly options: ServingNodeOptions
  private readonly fleet: FleetView
  private readonly relay: Relay
  private readonly storeView: StoreView
  private readonly demand: ModelDemand
  private readonly clients: Server
  private readonly readiness: Server
  private deploymentVersion: number | undefined
  private hasBackends = false
  private isStopping = false

  constructor (options: ServingNodeOptions) {
    this.options = options
    const { settings, codecs, store, clock, random, log } = options
    this.fleet = new FleetView({ clock, log, regionOfZone: settings.regionOfZone })
    this.demand = new ModelDemand(clock)
    this.relay = new Relay({
      clock,
      log,
      codecs,
      fleet: this.fleet,
      demand: this.demand,
      settings: {
        region: settings.region,
        availabilityZone: settings.availabilityZone,
        retryShare: settings.retryBudget.share,
        retryAllowance: settings.retryBudget.allowance
      },
      nodeCount: () => 9
    })
    this.storeView = new StoreView({
      store,
      clock,
      random,
      log,
      sink: {
        onItems: items => this.onItems(items),
        onChange: change => this.onChange(change),
        onReturned: () => this.fleet.onOutageEnded()
      }
    })
    this.clients = this.createClientsServer()
    this.readiness = createServer((request, response) => {
      request.resume()
      response.writeHead(this.isReady ? 200 : 503, ['Content-Length', '0'])
      response.end()
    })
  }

  get isReady (): boolean {
    return !this.isStopping && this.deploymentVersion !== undefined && this.hasBackends
  }

  async start (): Promise<void> {
    void this.storeView.run()
    const { clientsAddress, readinessAddress } = this.options.settings
    await listen(this.clients, clientsAddress)
    await listen(this.readiness, readinessAddress)
  }

  /** Takes no new clients, finishes what is in progress and resolves. */
  async stop (): Promise<void> {
    const { clock, settings, log } = this.options
    const startedAtMs = clock.nowMs()
    this.isStopping = true
    this.relay.closeConnections()
    const elapsedMs = () => clock.nowMs() - startedAtMs
    while (elapsedMs() < unreadyMs) await sleep(clock, shutdownPollMs)
    this.clients.close()
    this.clients.closeIdleConnections()
    while (this.relay.active > 0 && elapsedMs() < settings.shutdownMs - shutdownMarginMs) await sleep(clock, shutdownPollMs)
    log('info', 'requests in progress at the end', { count: this.relay.active })
    this.storeView.stop()
    this.readiness.close()
    this.clients.closeAllConnections()
  }

  private createClientsServer (): Server {
    const { log, settings } = this.options
    const server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true, connectionsCheckingInterval: requestCheckMs }, (request, response) => {
      this.relay.handle(request, response).catch(error => {
        log('error', 'request failed in this node', { error: messageOf(error), stack: (error as Error).stack })
        response.destroy()
      })
    })
    server.maxConnections = Math.max(100, settings.maxDescriptors - reservedDescriptors)
    server.requestTimeout = 0
    server.on('dropRequest', () => log('warn', 'connection refused: too many clients'))
    return server
  }

  private onItems (items: readonly StoreItem[]): void {
    const { keys } = this.options.codecs
    const backends = items.filter(({ key }) => key.startsWith(keys.backends)).map(item => this.readBackend(item.key, item.value))
    this.fleet.replaceAll(backends.filter(entry => entry !== undefined))
    this.hasBackends = true
    for (const item of items) if (!item.key.startsWith(keys.backends)) this.onChange(item)
  }

  private onChange (change: StoreChange): void {
    const { keys } = this.options.codecs
    if (change.key === keys.deployment && change.value !== undefined) this.onDeployment(change.value)
    else if (change.key.startsWith(keys.backends)) this.onBackend(change)
  }

  private onBackend ({ key, value }: StoreChange): void {
    const id = key.slice(this.options.codecs.keys.backends.length)
    if (value === undefined) return this.fleet.remove(id)
    const entry = this.readBackend(key, value)
    if (entry) this.fleet.put(entry)
    this.fleet.dropGone()
  }

  private readBackend (key: string, value: string) {
    const { codecs, log } = this.options
    const entry = codecs.readBackend(key.slice(codecs.keys.backends.length), value)
    if (!(entry instanceof Error)) return entry
    log('warn', 'backend entry ignored', { key, error: entry.message })
    return undefined
  }

  private onDeployment (text: string): void {
    const { codecs, log } = this.options
    const deployment = codecs.readDeployment(text)
    if (deployment instanceof Error) return log('error', 'configuration ignored', { error: deployment.message })
    // Items may be read again after a gap; an older version must not come back.
    if (this.deploymentVersion !== undefined && deployment.version < this.deploymentVersion) {
      return log('warn', 'older configuration ignored', { version: deployment.version, inForce: this.deploymentVersion })
    }
    if (deployment.version !== this.deploymentVersion) log('info', 'configuration in force', { version: deployment.version, routes: deployment.routes.length })
    this.deploymentVersion = deployment.version
    this.relay.setDeployment(deployment)
    this.clients.keepAliveTimeout = deployment.limits.idleTimeoutMs
    this.clients.headersTimeout = deployment.limits.headerTimeoutMs
  }
}

function listen (server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}
