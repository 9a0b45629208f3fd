/** One node that serves the requests of the platform's clients: connects the parts to sockets and to the store. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { Server as Listener } from 'node:net'
import type { Socket } from 'node:net'
import { repeat, sleep } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { readUntilQuiet } from '../base/ioTurn.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import type { Codecs } from './codecs.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'
import type { BackendEntry, Deployment } from './deployment.js'
import { DispatchClient } from './dispatchClient.js'
import { EngineCalls } from './engineCalls.js'
import { FleetSize } from './fleetSize.js'
import { FleetView } from './fleetView.js'
import { LeaderOffice } from './leaderOffice.js'
import { Leadership } from './leadership.js'
import type { Leader } from './leadership.js'
import { ModelDemand } from './modelDemand.js'
import { LoopDelay } from './loopDelay.js'
import { LeaderLink, PeerServer } from './peerLink.js'
import { adviceOf, askOf, choiceOf, unpackChanges } from './peerMessages.js'
import type { LeaderMessage, LeaderReport, NodeReport } from './peerMessages.js'
import { RequestProxy } from './requestProxy.js'
import type { ServingMetrics } from './servingMetrics.js'
import type { ServingSettings } from './settings.js'
import { StoreView } from './storeView.js'

/** The load balancer notices after two of its checks, one a second, and new connections may be on their way. */
const unreadyMs = 2300
/** Time before the platform kills the process at which what is left is given up. */
const shutdownMarginMs = 400
const shutdownPollMs = 50
/** Bounds of reading what has arrived before connections are closed. */
const lastReads = { maxRounds: 64, maxMs: 200 }
/** Larger than the platform's limits on request heads, which are checked by size. */
const maxHeaderBytes = 64 * 1024
/** Descriptors that are not for clients: backend servers, peers, the store and files. */
const reservedDescriptors = 1200
const requestCheckMs = 500
const reportMs = 250
/** Nodes beyond which reports are sent half as often, since the leader reads all of them. */
const manyNodes = 32
/** A wish for a model or adapter is told at once, together with others that come at the same moment. */
const wishDelayMs = 2
/** A leader that died may have given an order up to one renewal before its lease began to run out. */
const successionDelayMs = 1000

export interface ServingNodeOptions {
  settings: ServingSettings
  codecs: Codecs
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
  metrics?: ServingMetrics
}

export class ServingNode {
  private readonly options: ServingNodeOptions
  private readonly fleet: FleetView
  private readonly relay: RequestProxy
  private readonly storeView: StoreView
  private readonly demand: ModelDemand
  private readonly clients: Server
  private readonly sockets = new Set<Socket>()
  private connectionsTaken = 0
  /** Of connections that have been closed since. */
  private closedBytes = 0
  private readonly readiness: Server
  private readonly leadership: Leadership
  private readonly calls: EngineCalls
  private readonly peers: PeerServer
  private readonly link: LeaderLink
  private readonly size: FleetSize
  private readonly dispatch: DispatchClient
  private readonly loopDelay: LoopDelay
  /** Set while this node leads. */
  private office: LeaderOffice | undefined
  /** Number of nodes that the store keeps. */
  private storedSize = 0
  private reportTurns = 0
  private cancelReports: CancelTimer = () => {}
  private cancelWish: CancelTimer | undefined
  private deployment: Deployment | undefined
  private hasBackends = false
  private isStopping = false

  constructor (options: ServingNodeOptions) {
    this.options = options
    const { settings, codecs, store, clock, random, log } = options
    this.fleet = new FleetView({ clock, log, regionOfZone: settings.regionOfZone, onConnectionOpened: () => options.metrics?.onConnectionOpened() })
    this.demand = new ModelDemand(clock)
    this.size = new FleetSize(clock)
    this.dispatch = new DispatchClient({ clock, send: message => this.link.send(message) })
    this.loopDelay = new LoopDelay(clock)
    this.relay = new RequestProxy({
      clock,
      log,
      codecs,
      fleet: this.fleet,
      demand: this.demand,
      settings: {
        region: settings.region,
        availabilityZone: settings.availabilityZone,
        retryBudget: settings.retryBudget
      },
      nodeCount: () => this.size.value,
      loopDelayMs: () => this.loopDelay.recentMs,
      requestDispatch: ask => this.chooseForAll(ask),
      onFinished: record => options.metrics?.onFinished(record)
    })
    this.calls = new EngineCalls(clock, codecs)
    this.demand.expectedReadyMs = (service, model, adapter) => this.expectedReadyMs(service, model, adapter)
    this.demand.onNewDemand = () => this.tellWishSoon()
    this.fleet.onChange(() => this.demand.wake())
    this.leadership = new Leadership({
      store,
      clock,
      random,
      log,
      prefix: codecs.keys.own,
      node: settings.node,
      ip: settings.ip,
      cores: settings.cores,
      minimumLeaseMs: settings.store.minimumLeaseMs,
      onOwnOffice: fence => this.onOwnOffice(fence),
      onLeader: leader => this.onLeader(leader)
    })
    this.peers = new PeerServer({
      clock,
      onMessage: (message, reply) => {
        if (!('ask' in message)) return this.office?.onReport(message)
        if (this.office) reply({ ask: message.ask, ...adviceOf(this.office.choose(askOf(message))) })
      },
      onJoined: send => { if (this.office) send(this.office.fullReport()) }
    })
    this.link = new LeaderLink({
      clock,
      log,
      onMessage: message => this.onLeaderMessage(message),
      onConnected: () => { this.link.send(this.report()) },
      onLost: () => this.dispatch.onLost()
    })
    this.storeView = new StoreView({
      store,
      clock,
      random,
      log,
      isLeader: () => this.leadership.isLeader,
      sink: {
        onItems: items => this.onItems(items),
        onChange: change => this.onChange(change),
        onRevision: revision => this.office?.onRevision(revision),
        onReturned: () => this.fleet.onOutageEnded(clock.nowMs())
      }
    })
    this.clients = this.createClientsServer()
    if (options.metrics) this.watchMetrics(options.metrics)
    this.readiness = createServer((request, response) => {
      request.resume()
      response.writeHead(this.isReady ? 200 : 503, ['Content-Length', '0'])
      response.end()
    })
  }

  /** Adds the values that are read at each scrape. */
  private watchMetrics (metrics: ServingMetrics): void {
    metrics.gauge('teaselrill_ready', '1 if the node takes clients', () => this.isReady ? 1 : 0)
    metrics.gauge('teaselrill_config_version', 'Version of the configuration in force', () => this.deployment?.version ?? 0)
    metrics.gauge('teaselrill_store_age_seconds', 'Age of what is known of the store, directly or through the leader', () => this.storeView.ageMs / 1000)
    metrics.gauge('teaselrill_requests_in_progress', 'Requests that are being answered', () => this.relay.active)
    metrics.gauge('teaselrill_requests_waiting', 'Requests that wait for a model', () => this.demand.waitingModels().reduce((sum, { waiting }) => sum + waiting, 0))
    metrics.gauge('teaselrill_backends_usable', 'Backend servers that take requests', () => [...this.fleet.servers.values()].filter(server => server.isUsable).length)
    metrics.gauge('teaselrill_nodes', 'Nodes that share the budgets', () => this.size.value)
    metrics.gauge('teaselrill_dispatch_timeouts', 'Questions to the placement leader without an answer in time, since the start', () => this.dispatch.timeouts)
    metrics.gauge('teaselrill_follows_leader', '1 if the node knows the store through the placement leader', () => this.storeView.isFollowing ? 1 : 0)
    metrics.gauge('teaselrill_placement_leader', '1 if this node gives the orders to engines', () => this.office ? 1 : 0)
  }

  get isReady (): boolean {
    return !this.isStopping && this.deployment !== undefined && this.hasBackends
  }

  async start (): Promise<void> {
    const { clientsAddress, readinessAddress, ip, peersPort } = this.options.settings
    await this.peers.listen(ip, peersPort)
    void this.storeView.run()
    void this.leadership.run()
    this.cancelReports = repeat(this.options.clock, reportMs, () => this.exchangeReports())
    await listen(this.clients, clientsAddress)
    await listen(this.readiness, readinessAddress)
  }

  /** Takes no new clients, finishes what is in progress and resolves. */
  async stop (): Promise<void> {
    const { clock, settings, log } = this.options
    const startedAtMs = clock.nowMs()
    // The platform counts from its signal, which a late process has not noticed at once.
    const endAtMs = startedAtMs - this.loopDelay.presentMs + settings.shutdownTimeoutMs - shutdownMarginMs
    log('info', 'shutdown begins', {
      connections: this.sockets.size, inProgress: this.relay.active, loopDelayMs: Math.round(this.loopDelay.recentMs), endsAfterMs: Math.round(endAtMs - startedAtMs)
    })
    this.isStopping = true
    this.leadership.stop()
    this.relay.closeConnections()
    const elapsedMs = () => clock.nowMs() - startedAtMs
    while (elapsedMs() < unreadyMs) await sleep(clock, shutdownPollMs)
    let lastRead = await this.readWhatArrived()
    // The HTTP server's own end also closes connections whose answer has ended and is not written yet.
    Listener.prototype.close.call(this.clients)
    const closed = this.closeIdle()
    this.relay.refuseRequests()
    log('info', 'clients no longer taken', { ...lastRead, afterMs: Math.round(elapsedMs()), closed })
    while (this.relay.active > 0 && clock.nowMs() < endAtMs) {
      await sleep(clock, shutdownPollMs)
      lastRead = await this.readWhatArrived(Math.max(shutdownPollMs, Math.min(lastReads.maxMs, endAtMs - clock.nowMs())))
      this.closeIdle()
    }
    log('info', 'requests in progress at the end', { count: this.relay.active, ...lastRead, afterMs: Math.round(elapsedMs()), closed: this.openConnections })
    this.relay.logUnfinishedRequests()
    this.storeView.stop()
    this.cancelReports()
    this.link.stop()
    this.peers.stop()
    this.readiness.close()
    this.loopDelay.stop()
    this.clients.close()
    this.clients.closeAllConnections()
  }

  private get openConnections (): number {
    return [...this.sockets].filter(({ destroyed }) => !destroyed).length
  }

  /** Ends a connection whose idle time is over, unless a request has arrived on it. */
  private async closeUnlessRead (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    await readUntilQuiet(this.options.clock, () => socket.bytesRead, lastReads)
    if (socket.bytesRead === bytesRead && this.relay.isIdle(socket)) socket.destroy()
  }

  /** Returns how many connections it closed. */
  private closeIdle (): number {
    const idle = [...this.sockets].filter(socket => !socket.destroyed && this.relay.isIdle(socket))
    for (const socket of idle) socket.destroy()
    return idle.length
  }

  /** Reads what has reached the clients' sockets; a late timer runs before they are read. Connections are to be closed in the same turn. */
  private async readWhatArrived (maxMs = lastReads.maxMs): Promise<Record<string, number | boolean>> {
    const { clock } = this.options
    const [taken, read] = [this.connectionsTaken, this.relay.arrivals]
    const progress = () => [...this.sockets].reduce((sum, { bytesRead }) => sum + bytesRead, this.connectionsTaken + this.closedBytes)
    const { rounds, durationMs, isQuiet } = await readUntilQuiet(clock, progress, { ...lastReads, maxMs })
    return {
      rounds,
      durationMs: Math.round(durationMs),
      isQuiet,
      connectionsTaken: this.connectionsTaken - taken,
      requestsRead: this.relay.arrivals - read,
      inProgress: this.relay.active,
      loopDelayMs: Math.round(this.loopDelay.recentMs)
    }
  }

  private createClientsServer (): Server {
    const { log, settings } = this.options
    const server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true, connectionsCheckingInterval: requestCheckMs }, (request, response) => {
      this.relay.handle(request, response).catch(error => {
        log('error', 'request failed in this node', { error: messageOf(error), stack: (error as Error).stack })
        response.destroy()
      })
    })
    server.maxConnections = Math.max(100, settings.maxFileDescriptors - reservedDescriptors)
    server.requestTimeout = 0
    server.on('connection', (socket: Socket) => {
      this.connectionsTaken++
      this.sockets.add(socket)
      socket.once('close', () => {
        this.sockets.delete(socket)
        this.closedBytes += socket.bytesRead
      })
    })
    server.on('timeout', (socket: Socket) => { void this.closeUnlessRead(socket) })
    server.on('dropRequest', () => log('warn', 'connection refused: too many clients'))
    return server
  }

  private onItems (items: readonly StoreItem[]): void {
    const { keys } = this.options.codecs
    const backends = items.filter(({ key }) => key.startsWith(keys.backends)).map(item => this.readBackend(item.key, item.value))
    this.fleet.replaceAll(backends.filter(entry => entry !== undefined))
    this.hasBackends = true
    this.leadership.onItems(items.filter(({ key }) => key.startsWith(keys.own)))
    for (const item of items) if (!item.key.startsWith(keys.backends)) this.onChange(item)
    this.office?.onReadAgain()
  }

  private onChange (change: StoreChange): void {
    const { keys } = this.options.codecs
    if (change.key === keys.deployment && change.value !== undefined) this.onDeployment(change.value)
    else if (change.key.startsWith(keys.backends)) {
      if (!this.onBackend(change)) return
    } else if (change.key === this.sizeKey) this.onStoredSize(change.value)
    else if (change.key.startsWith(keys.own)) this.leadership.onChange(change)
    this.office?.onChange(change)
  }

  private get sizeKey (): string {
    return `${this.options.codecs.keys.own}size`
  }

  private onStoredSize (value: string | undefined): void {
    this.storedSize = Number(value ?? 0)
    if (!this.office) this.size.adopt(this.storedSize)
  }

  private onOwnOffice (fence: number | undefined): void {
    this.office?.stop()
    this.office = undefined
    this.size.stopCounting()
    if (fence === undefined) return
    const { clock, log, settings, store } = this.options
    this.link.follow(undefined)
    this.office = new LeaderOffice({
      clock,
      log,
      store,
      storeView: this.storeView,
      size: this.size,
      sizeKey: this.sizeKey,
      fleet: this.fleet,
      calls: this.calls,
      deployment: () => this.deployment,
      node: settings.node,
      fence,
      startDelayMs: settings.enginesCheckFences ? successionDelayMs : settings.holderGapMs,
      loadWindowMs: settings.loadWindowMs,
      ownReport: () => this.report(),
      broadcast: report => this.peers.broadcast(report),
      onOrder: (action, outcome) => this.options.metrics?.onCommand(action, outcome),
      onDeposed: () => this.leadership.resign(),
      // Engines that check fences refuse a holder that was replaced, so an outage of the store needs no pause.
      mustHold: () => !settings.enginesCheckFences && this.leadership.isLeaseDoubtful
    })
  }

  private onLeader (leader: Leader | undefined): void {
    const { settings } = this.options
    this.link.follow(leader && leader.node !== settings.node ? { host: leader.ip, port: settings.peersPort } : undefined)
  }

  /** The leader's choice for a request, if it is known in time. */
  private async chooseForAll (ask: DispatchRequest): Promise<DispatchDecision | undefined> {
    return this.office ? this.office.choose(ask) : await this.dispatch.requestDispatch(ask)
  }

  private onLeaderMessage (message: LeaderMessage): void {
    if ('ask' in message) this.dispatch.onReply(message.ask, choiceOf(message))
    else this.onLeaderReport(message)
  }

  private onLeaderReport ({ news, hosting, running }: LeaderReport): void {
    if (news) {
      const { fromRevision, revision, ageMs, nodeCount, returnedMsAgo } = news
      // Entries that lapsed meanwhile are among the changes.
      if (returnedMsAgo !== null) this.fleet.onOutageEnded(this.options.clock.nowMs() - returnedMsAgo)
      const changes = unpackChanges(news.changes)
      if (changes instanceof Error) this.options.log('warn', 'changes from the leader are not readable', { error: changes.message })
      else this.storeView.onRelayed({ fromRevision, revision, changes }, ageMs)
      this.size.adopt(nodeCount)
    }
    for (const [id, models] of hosting) {
      this.fleet.servers.get(id)?.updateHosting(models.map(([name, readyInMs, phase, adapters]) => ({
        name, readyInMs, isComing: phase === 'coming', isLeaving: phase === 'leaving', adapters: adapters.map(([adapter, inMs]) => ({ name: adapter, readyInMs: inMs }))
      })))
    }
    this.noteRunning(running)
    if (hosting.length > 0) this.fleet.notify()
  }

  private noteRunning (rows: LeaderReport['running']): void {
    const total = new Map(rows)
    if (rows.length === 0) return
    for (const [id, server] of this.fleet.servers) server.runningElsewhere = Math.max(0, (total.get(id) ?? 0) - server.running)
  }

  private report (): NodeReport {
    const running: NodeReport['running'] = []
    const outcomes: NodeReport['outcomes'] = []
    const misknown: string[] = []
    for (const [id, server] of this.fleet.servers) {
      const { answered, failed } = server.takeOutcomes()
      if (server.takeMisknown()) misknown.push(id)
      if (answered + failed > 0) outcomes.push([id, answered, failed])
      for (const key of server.runningByAdapter.keys()) this.demand.onUsed(id, key)
      for (const [model, { count, rank }] of server.runningByModel) if (model !== '') running.push([id, model, count, rank])
    }
    return {
      node: this.options.settings.node,
      waiting: this.demand.waitingModels().map(({ service, model, waiting, rank }) => [service, model, waiting, rank]),
      adapters: this.demand.waitingAdapters().map(({ service, model, adapter, count }) => [service, model, adapter, count]),
      running,
      used: this.demand.takeUsedAdapters(),
      missing: this.demand.takeMissingModels(),
      misknown,
      outcomes
    }
  }

  private exchangeReports (): void {
    this.reportTurns++
    if (this.size.value > manyNodes && this.reportTurns % 2 !== 0) return
    if (this.office) this.noteRunning(this.office.tellNodes(this.peers.linkCount, this.storedSize))
    else this.link.send(this.report())
  }

  private tellWishSoon (): void {
    this.cancelWish ??= this.options.clock.setTimer(wishDelayMs, () => {
      this.cancelWish = undefined
      if (this.office) this.office.onReport(this.report())
      else this.link.send(this.report())
    })
  }

  /** Time until an engine is ready that is being prepared for the model or adapter. */
  private expectedReadyMs (service: string, model: string, adapter: string | undefined): number | undefined {
    const nowMs = this.options.clock.nowMs()
    let bestMs: number | undefined
    for (const server of this.fleet.ofService(service)) {
      const state = server.hosted.get(model)
      if (!state || state.isLeaving || !server.isUsable) continue
      const readyAtMs = Math.max(state.readyAtMs, adapter === undefined ? 0 : state.adapters.get(adapter) ?? Infinity)
      if (readyAtMs !== Infinity) bestMs = Math.min(bestMs ?? Infinity, Math.max(0, readyAtMs - nowMs))
    }
    return bestMs
  }

  /** Returns whether the change matters to nodes that give no orders: engines write their load all the time. */
  private onBackend ({ key, value }: StoreChange): boolean {
    const id = key.slice(this.options.codecs.keys.backends.length)
    if (value === undefined) {
      this.fleet.remove(id)
      return true
    }
    const known = this.fleet.servers.get(id)
    const before = known?.leavingAtMs === Infinity ? routingKey(known.entry) : undefined
    const entry = this.readBackend(key, value)
    if (entry) this.fleet.put(entry)
    this.fleet.dropGone()
    return entry !== undefined && routingKey(entry) !== before
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
    if (this.deployment && deployment.version < this.deployment.version) {
      return log('warn', 'older configuration ignored', { version: deployment.version, inForce: this.deployment.version })
    }
    if (deployment.version !== this.deployment?.version) log('info', 'configuration in force', { version: deployment.version, routes: deployment.routes.length })
    this.deployment = deployment
    this.relay.setDeployment(deployment)
    this.clients.keepAliveTimeout = deployment.limits.idleTimeoutMs
    this.clients.headersTimeout = deployment.limits.headerTimeoutMs
  }
}

/** What of an entry decides whether and where requests are sent. */
function routingKey ({ service, address, availabilityZone, slots, isDraining, bornAtMs }: BackendEntry): string {
  return JSON.stringify([service, address, availabilityZone, slots, isDraining, bornAtMs])
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
