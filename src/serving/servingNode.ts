/** One node that serves the requests of clients: connects the components to sockets and to the store. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { Server as Listener } from 'node:net'
import type { Socket } from 'node:net'
import { repeat, sleep } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { readUntilQuiet } from '../base/ioTurn.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import { clientMemoryLimits } from '../policy/clientMemory.js'
import { connectionToClose } from '../policy/connectionRoom.js'
import type { ConnectionUse } from '../policy/connectionRoom.js'
import { mayTryAlone, PartQuarantine } from '../policy/partQuarantine.js'
import type { Verdict } from '../policy/partQuarantine.js'
import { AccountCheck } from './accountCheck.js'
import { AccountIndex } from './accountIndex.js'
import type { QueuePlace } from '../policy/slotQueue.js'
import type { Codecs } from './codecs.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'
import type { BackendEntry, Deployment } from './deployment.js'
import { ClientMemory } from './clientMemory.js'
import { clientMessageClass } from './clientMessage.js'
import { ClientWork } from './clientWork.js'
import { DispatchClient } from './dispatchClient.js'
import { EngineClient, livenessQuestion } from './engineClient.js'
import { FleetSize } from './fleetSize.js'
import { FleetView } from './fleetView.js'
import { LeaderTerm } from './leaderTerm.js'
import { EarlySpending } from './earlySpending.js'
import { LearnedCapacity } from './learnedCapacity.js'
import { Leadership } from './leadership.js'
import type { Leader } from './leadership.js'
import { ModelDemand } from './modelDemand.js'
import { LoopDelay } from './loopDelay.js'
import { LeaderLink, PeerServer, sendOnce } from './peerLink.js'
import { decodeDispatchRequest, decodeDispatchDecision, decodePlace, decodeSlotReply, unpackChanges } from './peerMessages.js'
import type { LeaderMessage, LeaderReport, NodeReport } from './peerMessages.js'
import { QueuedSlot } from './queuedSlot.js'
import type { Send } from './peerLink.js'
import { QuotaClient } from './quotaClient.js'
import { chooseDeputies, DeputySearch, QuotaDeputy } from './quotaDeputy.js'
import { OverQuotaLog } from './overQuotaLog.js'
import { RequestProxy } from './requestProxy.js'
import { isHeadTooLarge } from './requestHead.js'
import type { ServingMetrics } from './servingMetrics.js'
import type { ServingSettings } from './settings.js'
import { quarantineKey, StoredQuarantine } from './storedQuarantine.js'
import { StoreView } from './storeView.js'
import { StreamVersions } from './streamVersions.js'

/** The load balancer removes a node after two failed checks, one a second; new connections may still be on their way then. */
const readinessDelayMs = 2300
/** Time before the platform kills the process at which the remaining requests are abandoned. */
const shutdownMarginMs = 400
const shutdownPollMs = 50
/** Time for the last answers to leave this process; part of the margin. */
const finalAnswersMs = 100
/** Limits of reading data that has arrived before connections are closed. */
const finalReadLimits = { maxRounds: 64, maxMs: 200 }
/** Heads up to this size are parsed in any case. The configured limit is checked when a head is complete, since it may change meanwhile. */
const parsedHeadBytes = 64 * 1024
/** Connections that are accepted while those that make room for them are being closed. */
const spareConnections = 50
const requestCheckMs = 500
const reportMs = 250
/** Number of nodes beyond which reports are sent half as often, since the leader reads all of them. */
const manyNodes = 32
/** Shortest time between two requests for a confirmation of the store's view, beside the regular ones. */
const minConfirmationIntervalMs = 100
/** Demand for a model or adapter is reported after this time, together with other new demand. */
const demandReportDelayMs = 2
/** Where servers are shared by many nodes, choosing alone overloads them, so a single late reply does not stop dispatch requests. */
const sharedTimeoutsBeforePause = 3
/** Time without a leader after which the deputy is asked, since a new leader may be known at once. */
const deputyDelayMs = 20
/** Interval of attempts to connect to the deputy. */
const deputyReconnectMs = 1000
/** A leader that crashed may have sent a command up to one renewal interval before its lease began to expire. */
const successionDelayMs = 1000

export interface ServingNodeOptions {
  settings: ServingSettings
  codecs: Codecs
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
  metrics?: ServingMetrics
  /** Time of day in milliseconds, for the age of the configuration on machines that were suspended. */
  wallMs?: () => number
}

export class ServingNode {
  private readonly options: ServingNodeOptions
  private readonly memory: ClientMemory
  private readonly work: ClientWork
  private readonly fleet: FleetView
  private readonly requestProxy: RequestProxy
  private readonly storeView: StoreView
  private readonly accounts: AccountCheck
  private confirmationRequestedAtMs = -Infinity
  private readonly demand: ModelDemand
  private readonly clients: Server
  private readonly sockets = new Set<Socket>()
  private readonly acceptedAtMs = new WeakMap<Socket, number>()
  /** Idle connections that are being closed to make room, each for another one. */
  private readonly makingRoom = new WeakSet<Socket>()
  private connectionsAccepted = 0
  /** Bytes read on connections that have been closed since. */
  private closedBytes = 0
  private readonly readiness: Server
  private readonly leadership: Leadership
  private readonly engineClient: EngineClient
  private readonly peers: PeerServer
  private readonly link: LeaderLink
  private readonly size: FleetSize
  /** Present where servers are shared. */
  private readonly learned: LearnedCapacity | undefined
  private readonly dispatch: DispatchClient
  private readonly quotas: QuotaClient
  /** Decides on quotas for nodes without a leader while this node has none either. */
  private readonly quotaDeputy: QuotaDeputy
  private readonly overQuota: OverQuotaLog
  /** Connection to the deputy while there is no leader. */
  private readonly deputyLink: LeaderLink
  private readonly deputySearch: DeputySearch
  /** IP addresses of the deputies, from the last leader. */
  private deputies: readonly string[] = []
  /** The deputy that this node has chosen, which may be itself. */
  private deputyHost: string | undefined
  /** The node at the other end of each connection to this leader, by its reports. */
  private readonly peerNodes = new Map<Send, { name: string, ip: string | undefined, reportedAtMs: number }>()
  private leaderFence: number | undefined
  private readonly earlySpending: EarlySpending
  private readonly loopDelay: LoopDelay
  private readonly quarantine: PartQuarantine
  private readonly storedQuarantine: StoredQuarantine
  private readonly streams: StreamVersions
  /** Set while this node leads. */
  private leaderTerm: LeaderTerm | undefined
  /** Number of nodes in the store. */
  private storedSize = 0
  private reportTicks = 0
  /** Number of this node's requests for slots while it led. */
  private ownSlots = 0
  /** Requests of this node in the leader's queue or at engines that it assigned. */
  private readonly slots = new Set<QueuedSlot>()
  private cancelReports: CancelTimer = () => {}
  private cancelDemandReport: CancelTimer | undefined
  private cancelParts: CancelTimer | undefined
  /** IP addresses of the other nodes, from the last leader. */
  private otherNodes: string[] = []
  private deployment: Deployment | undefined
  private hasBackends = false
  private isStopping = false

  constructor (options: ServingNodeOptions) {
    this.options = options
    const { settings, codecs, store, clock, random, log } = options
    this.memory = new ClientMemory({ clock, log, limits: clientMemoryLimits(settings, settings.clientLimits), onLimit: limit => options.metrics?.onClientLimit(limit) })
    this.work = new ClientWork({ clock, limits: this.memory.limits, onExcess: (limit, request) => this.memory.onLimit(limit, request && codecs.readRequest(request.headers).requestId) })
    this.fleet = new FleetView({
      clock,
      log,
      buffered: this.memory.budget,
      regionOfZone: settings.regionOfZone,
      onConnectionOpened: () => options.metrics?.onConnectionOpened(),
      questionOf: ({ address, service }) => livenessQuestion(codecs, address, this.deployment?.services.find(({ name }) => name === service))
    })
    this.learned = settings.sharesServers ? new LearnedCapacity(clock, this.fleet) : undefined
    this.demand = new ModelDemand(clock)
    this.size = new FleetSize(clock)
    this.dispatch = new DispatchClient({ clock, timeoutsBeforePause: settings.sharesServers ? sharedTimeoutsBeforePause : 1, send: message => this.link.send(message) })
    this.earlySpending = new EarlySpending(clock)
    this.quotas = new QuotaClient({
      clock,
      random,
      log,
      node: settings.node,
      nodeCount: () => this.size.value,
      // Without rows, no answer is waited for.
      send: message => (message.rows.length === 0 || this.link.hasAnswered) && this.link.sendIfConnected(message),
      localLedger: () => this.leaderTerm?.quotas,
      sendToDeputy: message => this.deputyLink.sendIfConnected(message),
      deputyLedger: () => this.quotaDeputy.ledger,
      onEvent: (event, account, tokens) => options.metrics?.onQuota(event, account, tokens)
    })
    this.deputySearch = new DeputySearch(clock)
    this.overQuota = new OverQuotaLog({ clock, log, decidedBy: 'deputy' })
    const accountIndex = new AccountIndex(() => this.deployment)
    this.quotaDeputy = new QuotaDeputy({
      clock,
      limitOf: account => accountIndex.get(account)?.quota,
      nodeCount: () => this.size.value,
      hasLeader: () => this.hasLeader,
      onRefused: account => this.overQuota.onRefused(account),
      onBegun: ledger => {
        log('info', 'quotas decided by this node without a leader', { nodes: this.size.value })
        this.quotas.onOwnDeputyTerm(ledger)
      }
    })
    this.deputyLink = new LeaderLink({
      clock,
      log,
      peer: 'quota deputy',
      reconnectMs: deputyReconnectMs,
      onMessage: message => {
        if ('quotaAsk' in message) this.quotas.onDeputyReply(message)
        else if ('hosting' in message) this.quotas.onLoads(message.quotaLoads ?? [])
      },
      onConnected: () => this.quotas.onDeputyConnected(),
      onLost: () => this.quotas.onDeputyLost()
    })
    this.loopDelay = new LoopDelay(clock)
    this.storedQuarantine = new StoredQuarantine(codecs.keys.own)
    this.quarantine = new PartQuarantine({
      clock,
      name: settings.node,
      onVerdict: verdict => log('warn', 'prompt parts quarantined', this.verdictFields(verdict)),
      onReleased: verdict => log('info', 'prompt parts released', this.verdictFields(verdict)),
      onFacts: () => { this.cancelParts ??= clock.setTimer(demandReportDelayMs, () => this.sendParts()) }
    })
    this.accounts = new AccountCheck({
      log,
      confirmedAgeMs: () => this.storeView.confirmedAgeMs,
      keyRemovalMs: settings.keyRemovalMs,
      onRefused: reason => options.metrics?.onKeyRefused(reason),
      onStale: () => this.requestConfirmation()
    })
    this.streams = new StreamVersions({
      store,
      clock,
      random,
      log,
      fleet: this.fleet,
      prefix: codecs.keys.own,
      node: settings.node,
      isFirstStart: settings.isFirstStart ?? false,
      nodeCount: () => this.size.value,
      viewAgeMs: () => this.storeView.ageMs,
      isLeader: () => this.leaderTerm !== undefined,
      hasLeader: () => this.link.hasAnswered,
      send: message => this.link.sendIfConnected(message),
      onLookup: result => options.metrics?.onStreamLookup(result),
      onRefused: reason => options.metrics?.onTakeUpRefused(reason),
      onBegun: (service, version) => options.metrics?.onStreamBegun(service, version)
    })
    this.requestProxy = new RequestProxy({
      clock,
      log,
      codecs,
      fleet: this.fleet,
      demand: this.demand,
      quarantine: this.quarantine,
      accounts: this.accounts,
      memory: this.memory,
      mayTryAlone: check => mayTryAlone(check, settings.ip, [settings.ip, ...this.otherNodes]),
      settings: {
        region: settings.region,
        availabilityZone: settings.availabilityZone,
        retryBudget: settings.retryBudget
      },
      nodeCount: () => this.size.value,
      learned: this.learned,
      random,
      loopDelayMs: () => this.loopDelay.recentMs,
      requestDispatch: ask => this.dispatchForAll(ask),
      ...(settings.sharesServers ? { requestSlot: (ask: DispatchRequest, place: QueuePlace, timeoutMs: number) => this.requestSlot(ask, place, timeoutMs) } : {}),
      streams: this.streams,
      takeQuota: ({ account, metadata }) => account?.quota && this.quotas.take(account, metadata),
      onFinished: record => options.metrics?.onFinished(record)
    })
    this.engineClient = new EngineClient(clock, codecs)
    this.demand.expectedReadyMs = (service, model, adapter) => this.expectedReadyMs(service, model, adapter)
    this.demand.onNewDemand = () => this.reportDemandSoon()
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
      onOwnLeadership: (fence, context) => this.onOwnLeadership(fence, context),
      onLeader: leader => this.onLeader(leader)
    })
    this.peers = new PeerServer({
      clock,
      log,
      onMessage: (message, reply) => {
        if ('cancel' in message) return this.leaderTerm?.onSlotCancel(message, reply)
        if ('streamBatch' in message) {
          if (this.leaderTerm) this.streams.onBatch(message, () => reply({ writtenBatch: message.streamBatch }))
          return
        }
        if ('quotaAsk' in message) {
          if (this.quotaDeputy.onQuotaAsk(message, reply)) return
          if (!this.leaderTerm && message.spent) this.earlySpending.add(reply, this.nameOf(reply), message.spent)
          const answer = this.leaderTerm?.onQuotaAsk(this.nameOf(reply), message)
          if (answer && answer.rows.length > 0) reply(answer)
          return
        }
        if (!('ask' in message)) {
          this.nameLink(message, reply)
          const confirmation = message.stamp && this.leaderTerm?.confirm(message.stamp)
          if (confirmation) reply(confirmation)
          if (this.leaderTerm) this.leaderTerm.onReport(message)
          // A node that has no leader tells all others.
          else if (message.parts) this.quarantine.merge(message.parts, { isNews: false })
          return this.sendParts()
        }
        const ask = { ...decodeDispatchRequest(message), node: this.nameOf(reply) }
        if (message.place) return this.leaderTerm?.onSlotRequest(message.ask, ask, decodePlace(message.place, message.answerLeftMs), reply)
        this.leaderTerm?.onDispatchRequest(message.ask, ask, reply)
      },
      onJoined: send => this.sendFullReports(send),
      onCaughtUp: (send, sinceRevision) => this.sendFullReports(send, sinceRevision),
      onLeft: send => this.onPeerLeft(send)
    })
    this.link = new LeaderLink({
      clock,
      log,
      onMessage: message => {
        this.onLeaderMessage(message)
        this.followDeputy()
      },
      onConnected: () => {
        // The new leader may know none of it.
        const parts = this.quarantine.allFacts()
        this.link.send({ ...this.stampedReport(), ip: settings.ip, ...(parts ? { parts } : {}) })
        this.quotas.onConnected(this.leaderFence)
      },
      onLost: () => {
        this.dispatch.onLost()
        this.streams.onLeaderLost()
        this.forgetAssignments()
        this.quotas.onLost()
        clock.setTimer(deputyDelayMs, () => this.followDeputy())
      }
    })
    this.storeView = new StoreView({
      store,
      clock,
      random,
      wallMs: options.wallMs ?? Date.now,
      log,
      isLeader: () => this.leadership.isLeader,
      needsConfirmation: () => this.accounts.isActive,
      listener: {
        onItems: (items, context) => this.onItems(items, context),
        onChange: change => this.onChange(change),
        onRevision: revision => this.leaderTerm?.onRevision(revision),
        onOutageEnded: () => this.fleet.onOutageEnded(clock.nowMs())
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

  /** Adds the gauges, which are read at each scrape. */
  private watchMetrics (metrics: ServingMetrics): void {
    metrics.gauge('teaselrill_ready', '1 if the node accepts clients', () => this.isReady ? 1 : 0)
    metrics.gauge('teaselrill_config_version', 'Version of the configuration in force', () => this.deployment?.version ?? 0)
    metrics.gauge('teaselrill_store_age_seconds', 'Age of the view of the store, directly or through the leader', () => this.storeView.ageMs / 1000)
    metrics.gauge('teaselrill_config_confirmed_age_seconds', 'Time since which the configuration is not known to have been current; -1 if it never was', () => Number.isFinite(this.storeView.confirmedAgeMs) ? this.storeView.confirmedAgeMs / 1000 : -1)
    metrics.gauge('teaselrill_store_era', 'Era of the store to which the view belongs, directly or through the leader; -1 without a view', () => this.storeView.currentEra ?? -1)
    metrics.gauge('teaselrill_requests_in_progress', 'Requests in progress', () => this.requestProxy.clients.active)
    metrics.gauge('teaselrill_client_held_bytes', 'Bytes that the node holds for clients: requests, and responses that are not read', () => this.memory.budget.bytes)
    metrics.gauge('teaselrill_client_read_bytes', 'Bytes read from clients since the start', () => [...this.sockets].reduce((sum, { bytesRead }) => sum + bytesRead, this.closedBytes))
    metrics.gauge('teaselrill_client_body_bytes', 'Bytes of bodies read from clients since the start', () => this.work.contentBytes)
    metrics.gauge('teaselrill_client_body_pieces', 'Pieces in which bodies have been read from clients since the start', () => this.work.pieces)
    metrics.gauge('teaselrill_client_requests', 'Requests read from clients since the start', () => this.requestProxy.clients.arrivals)
    metrics.gauge('teaselrill_client_connections', 'Open connections of clients', () => this.sockets.size)
    metrics.gauge('teaselrill_requests_waiting', 'Requests that wait for a model', () => this.demand.waitingModels().reduce((sum, { waiting }) => sum + waiting, 0))
    metrics.gauge('teaselrill_backends_usable', 'Backend servers that accept requests', () => [...this.fleet.servers.values()].filter(server => server.isUsable).length)
    metrics.gauge('teaselrill_backends_leaving', 'Backend servers that announced in a response that they are leaving', () => this.fleet.leaving.length)
    metrics.gauge('teaselrill_backends_ended', 'Backend servers that ended without an announcement while they ran requests of this node, since the start', () => this.fleet.exits)
    metrics.gauge('teaselrill_backends_paused', 'Backend servers that want no requests from this node for a while', () => [...this.fleet.servers.values()].filter(server => server.isPresent && server.pauseLeftMs > 0).length)
    metrics.gauge('teaselrill_parts_quarantined', 'Sets of prompt parts whose requests are refused because they ended engines', () => this.quarantine.list.filter(({ untilMs }) => untilMs > this.options.clock.nowMs()).length)
    metrics.gauge('teaselrill_parts_suspected', 'Prompt parts whose requests are sent one at a time because engines ended under them', () => this.quarantine.suspectCount)
    metrics.gauge('teaselrill_nodes', 'Nodes that share the budgets', () => this.size.value)
    metrics.gauge('teaselrill_dispatch_timeouts', 'Dispatch requests to the placement leader without a reply in time, since the start', () => this.dispatch.timeouts)
    metrics.gauge('teaselrill_slots_queued', 'Requests of all nodes that wait for an engine in the queue of this node as placement leader', () => this.leaderTerm?.slots.size ?? 0)
    this.learned?.addGauges(metrics)
    this.streams.addGauges(metrics)
    metrics.gauge('teaselrill_follows_leader', '1 if the node receives store changes through the placement leader', () => this.storeView.isFedByLeader ? 1 : 0)
    metrics.gauge('teaselrill_placement_leader', '1 if this node sends the commands to engines', () => this.leaderTerm ? 1 : 0)
  }

  get isReady (): boolean {
    return !this.isStopping && this.deployment !== undefined && this.hasBackends && !this.accounts.isStale
  }

  async start (): Promise<void> {
    const { clientsAddress, readinessAddress, ip, peersPort } = this.options.settings
    await this.peers.listen(ip, peersPort)
    void this.storeView.run()
    void this.leadership.run()
    this.streams.start()
    this.cancelReports = repeat(this.options.clock, reportMs, () => this.exchangeReports())
    await listen(this.clients, clientsAddress)
    await listen(this.readiness, readinessAddress)
  }

  /** Accepts no new clients, finishes the requests in progress and resolves. */
  async stop (): Promise<void> {
    const { clock, settings, log } = this.options
    const startedAtMs = clock.nowMs()
    // The platform counts from its signal, which a delayed process notices late.
    const endAtMs = startedAtMs - this.loopDelay.currentMs + settings.shutdownTimeoutMs - shutdownMarginMs
    log('info', 'shutdown begins', {
      connections: this.sockets.size, inProgress: this.requestProxy.clients.active, loopDelayMs: Math.round(this.loopDelay.recentMs), endsAfterMs: Math.round(endAtMs - startedAtMs)
    })
    this.isStopping = true
    this.leadership.stop()
    this.requestProxy.closeConnections()
    const elapsedMs = () => clock.nowMs() - startedAtMs
    while (elapsedMs() < readinessDelayMs) await sleep(clock, shutdownPollMs)
    let lastRead = await this.readWhatArrived()
    // The HTTP server's own `close` also closes connections whose response has ended and is not flushed yet.
    Listener.prototype.close.call(this.clients)
    const closed = this.closeIdle()
    this.requestProxy.refuseRequests()
    log('info', 'clients no longer taken', { ...lastRead, afterMs: Math.round(elapsedMs()), closed })
    while (this.requestProxy.clients.active > 0 && clock.nowMs() < endAtMs) {
      await sleep(clock, shutdownPollMs)
      lastRead = await this.readWhatArrived(Math.max(shutdownPollMs, Math.min(finalReadLimits.maxMs, endAtMs - clock.nowMs())))
      this.closeIdle()
    }
    this.requestProxy.abandonRequests()
    await Promise.all([sleep(clock, finalAnswersMs), this.streams.stop(finalAnswersMs)])
    const { clients } = this.requestProxy
    const count = clients.active
    clients.logUnfinished()
    clients.breakOffBegun()
    // Requests that have arrived meanwhile, as while the process was paused, are refused before their connections are closed.
    lastRead = await this.readWhatArrived()
    log('info', 'requests in progress at the end', { count, ...lastRead, afterMs: Math.round(elapsedMs()), closed: this.openConnections })
    this.storeView.stop()
    this.cancelReports()
    this.cancelParts?.()
    this.link.stop()
    this.deputies = []
    this.deputyLink.stop()
    this.peers.stop()
    this.readiness.close()
    this.loopDelay.stop()
    this.clients.close()
    this.clients.closeAllConnections()
  }

  private get openConnections (): number {
    return [...this.sockets].filter(({ destroyed }) => !destroyed).length
  }

  /** Closes a connection whose idle timeout has expired, unless a request has arrived on it. */
  private async closeUnlessRead (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    await readUntilQuiet(this.options.clock, () => socket.bytesRead, finalReadLimits)
    if (socket.bytesRead === bytesRead && this.requestProxy.clients.isIdle(socket)) socket.destroy()
  }

  /** Closes idle connections. Returns their number. */
  private closeIdle (): number {
    const idle = [...this.sockets].filter(socket => !socket.destroyed && this.requestProxy.clients.isIdle(socket))
    for (const socket of idle) socket.destroy()
    return idle.length
  }

  /** Reads data that has arrived at the clients' sockets, since a late timer runs before they are read. Close connections in the same event-loop iteration. */
  private async readWhatArrived (maxMs = finalReadLimits.maxMs): Promise<Record<string, number | boolean>> {
    const { clock } = this.options
    const [taken, read] = [this.connectionsAccepted, this.requestProxy.clients.arrivals]
    const progress = () => [...this.sockets].reduce((sum, { bytesRead }) => sum + bytesRead, this.connectionsAccepted + this.closedBytes)
    const { rounds, durationMs, isQuiet } = await readUntilQuiet(clock, progress, { ...finalReadLimits, maxMs })
    return {
      rounds,
      durationMs: Math.round(durationMs),
      isQuiet,
      connectionsTaken: this.connectionsAccepted - taken,
      requestsRead: this.requestProxy.clients.arrivals - read,
      inProgress: this.requestProxy.clients.active,
      loopDelayMs: Math.round(this.loopDelay.recentMs)
    }
  }

  private createClientsServer (): Server {
    const { connections } = this.memory.limits
    const server = createServer({ IncomingMessage: clientMessageClass(this.work), maxHeaderSize: parsedHeadBytes, noDelay: true, connectionsCheckingInterval: requestCheckMs }, (request, response) => {
      void this.requestProxy.handle(request, response)
    })
    server.maxConnections = connections + spareConnections
    server.requestTimeout = 0
    server.on('connection', (socket: Socket) => {
      this.connectionsAccepted++
      this.sockets.add(socket)
      this.acceptedAtMs.set(socket, this.options.clock.nowMs())
      if (this.sockets.size > connections) this.makeRoomFor(socket)
      socket.once('close', () => {
        this.sockets.delete(socket)
        this.work.onClosed(socket)
        this.closedBytes += socket.bytesRead
      })
    })
    server.on('timeout', (socket: Socket) => { void this.closeUnlessRead(socket) })
    server.on('drop', () => this.memory.onLimit('connections'))
    // A client that waits for a go-ahead is spared a body that is refused.
    server.on('checkContinue', (request, response) => {
      const { maxBodyBytes = 0, maxHeaderBytes = Infinity } = this.deployment?.limits ?? {}
      const isRefused = Number(request.headers['content-length'] ?? 0) > maxBodyBytes || isHeadTooLarge(request, maxHeaderBytes)
      if (!isRefused) response.writeContinue()
      void this.requestProxy.handle(request, response)
    })
    return server
  }

  /** Closes another connection for `socket`, or `socket` itself if a request is being served on each. */
  private makeRoomFor (socket: Socket): void {
    this.memory.onLimit('connections')
    const others = [...this.sockets].filter(other => other !== socket && !other.destroyed && !this.makingRoom.has(other))
    const chosen = connectionToClose(others.map(other => this.useOf(other)))
    if (chosen?.state !== 'idle') {
      (chosen?.connection ?? socket).destroy()
      return
    }
    this.makingRoom.add(chosen.connection)
    void this.closeUnlessRead(chosen.connection).then(() => this.makingRoom.delete(chosen.connection))
  }

  private useOf (connection: Socket): ConnectionUse<Socket> {
    const { clients } = this.requestProxy
    if (clients.isUnused(connection)) return { connection, state: 'unused', waitsSinceMs: this.acceptedAtMs.get(connection) }
    return { connection, state: clients.isIdle(connection) ? 'idle' : 'active', waitsSinceMs: clients.waitsSinceMs(connection) }
  }

  private onItems (items: readonly StoreItem[], { isReturn }: { isReturn: boolean }): void {
    const { keys } = this.options.codecs
    const backends = items.filter(({ key }) => key.startsWith(keys.backends)).map(item => this.readBackend(item.key, item.value))
    this.fleet.replaceAll(backends.filter(entry => entry !== undefined))
    this.hasBackends = true
    this.leadership.onItems(items.filter(({ key }) => key.startsWith(keys.own)))
    this.streams.onItems(items, this.storeView.currentEra ?? 0)
    for (const item of items) if (!item.key.startsWith(keys.backends)) this.onChange(item, { isReturn })
    // What the leader must write again.
    const present = new Set(items.map(({ key }) => key))
    for (const key of [this.sizeKey, quarantineKey(keys.own)]) if (!present.has(key)) this.onOwnKey({ key, revision: 0 }, { isReturn })
    this.leaderTerm?.onResync()
  }

  private onChange (change: StoreChange, { isReturn = false } = {}): void {
    const { keys } = this.options.codecs
    if (this.streams.isRecord(change.key)) return
    if (change.key === keys.deployment && change.value !== undefined) this.onDeployment(change.value)
    else if (change.key.startsWith(keys.backends)) {
      if (!this.onBackend(change)) return
    } else if (change.key.startsWith(keys.own)) this.onOwnKey(change, { isReturn })
    this.leaderTerm?.onChange(change)
  }

  /** After a return from a copy, verdicts of this node go before those in the store, which may have been lifted since. */
  private onOwnKey (change: StoreChange, { isReturn }: { isReturn: boolean }): void {
    if (change.key === this.sizeKey) return this.onStoredSize(change.value)
    this.leadership.onChange(change)
    this.streams.onChange(change)
    const verdicts = this.storedQuarantine.onChange(change)
    if (verdicts instanceof Error) this.options.log('warn', 'stored quarantine ignored', { key: change.key, error: verdicts.message })
    else if (verdicts && !isReturn) this.quarantine.merge({ ends: [], survivals: [], verdicts, endedTrials: [] }, { isNews: false })
  }

  /** Sends what is new about prompt parts: the leader to all nodes, the others to the leader. */
  private sendParts (): void {
    this.cancelParts?.()
    this.cancelParts = undefined
    if (this.leaderTerm) return this.leaderTerm.broadcastParts()
    const parts = this.quarantine.takeFacts()
    if (!parts) return
    if (this.link.isConnected) this.link.send({ ...this.report(), parts })
    // The next leader gets everything when this node connects to it.
    else sendOnce(this.otherNodes.map(host => ({ host, port: this.options.settings.peersPort })), { ...this.report(), parts }, this.options)
  }

  private verdictFields ({ parts, ends, firstEndAtMs, untilMs, renewals, software }: Verdict): Record<string, unknown> {
    const nowMs = this.options.clock.nowMs()
    return { parts, ends, firstEndMsAgo: Math.round(nowMs - firstEndAtMs), leftMs: Math.round(untilMs - nowMs), renewals, software }
  }

  private get sizeKey (): string {
    return `${this.options.codecs.keys.own}size`
  }

  private onStoredSize (value: string | undefined): void {
    this.storedSize = Number(value ?? 0)
    if (!this.leaderTerm) this.size.adopt(this.storedSize)
  }

  private onOwnLeadership (fence: number | undefined, { isOwnSuccessor }: { isOwnSuccessor: boolean }): void {
    this.leaderTerm?.stop()
    if (this.leaderTerm) {
      this.forgetAssignments()
      this.earlySpending.onTermEnded(this.peerNodes.keys())
    }
    this.leaderTerm = undefined
    this.size.stopCounting()
    if (fence === undefined) return
    const { clock, log, settings, store } = this.options
    const startDelayMs = settings.enginesCheckFences ? successionDelayMs : settings.holderGapMs
    // After a return from a copy no lease separates this term from the one before.
    const sinceReturnMs = isOwnSuccessor ? Infinity : this.storeView.eraAgeMs(fence)
    this.link.setLeader(undefined)
    this.leaderTerm = new LeaderTerm({
      clock,
      log,
      store,
      capacityTerm: this.learned?.startTerm(log),
      storeView: this.storeView,
      size: this.size,
      sizeKey: this.sizeKey,
      quarantine: this.quarantine,
      stored: this.storedQuarantine,
      nodeAddresses: () => [settings.ip, ...this.peers.addresses],
      fleet: this.fleet,
      engineClient: this.engineClient,
      deployment: () => this.deployment,
      node: settings.node,
      fence,
      startDelayMs: Math.max(startDelayMs, settings.holderGapMs - sinceReturnMs),
      loadWindowMs: settings.loadWindowMs,
      sharesServers: settings.sharesServers,
      ownReport: () => this.report(),
      deputyAddresses: current => chooseDeputies(this.peerNodes.values(), current, clock.nowMs()),
      onSlotAssigned: queuedMs => this.options.metrics?.onSlotAssigned(queuedMs),
      onSlotRefused: reason => this.options.metrics?.onSlotRefused(reason),
      onSlotReturned: () => this.options.metrics?.onSlotReturned(),
      broadcast: report => this.peers.broadcast(report),
      onCommand: (action, outcome) => this.options.metrics?.onCommand(action, outcome),
      onSuperseded: () => this.leadership.resign(),
      // Engines that check fencing tokens reject a superseded leader, so a store outage requires no pause.
      mustPauseCommands: () => !settings.enginesCheckFences && this.leadership.isLeaseDoubtful
    })
    this.followDeputy()
    this.quotas.onOwnTerm(this.leaderTerm.quotas)
    this.earlySpending.moveTo(this.leaderTerm.quotas)
  }

  private sendFullReports (send: Send, sinceRevision?: number): void {
    for (const report of this.leaderTerm?.fullReports(sinceRevision) ?? []) send(report)
  }

  private nameLink ({ node, ip }: NodeReport, link: Send): void {
    const known = this.peerNodes.get(link)
    this.peerNodes.set(link, { name: node, ip: ip ?? known?.ip, reportedAtMs: this.options.clock.nowMs() })
    if (known?.name !== node) this.leaderTerm?.quotas.onNodeJoined(node)
  }

  private nameOf (link: Send): string {
    return this.peerNodes.get(link)?.name ?? ''
  }

  private onPeerLeft (link: Send): void {
    this.quotaDeputy.onLeft(link)
    this.leaderTerm?.onNodeLeft(link)
    const left = this.peerNodes.get(link)
    this.peerNodes.delete(link)
    // A node that connects again may do so before its old connection is seen to close.
    if (left && ![...this.peerNodes.values()].some(({ name }) => name === left.name)) this.leaderTerm?.quotas.onNodeLost(left.name)
  }

  private onLeader (leader: Leader | undefined): void {
    const { settings } = this.options
    this.leaderFence = leader?.fence
    this.link.setLeader(leader && leader.node !== settings.node ? { host: leader.ip, port: settings.peersPort } : undefined)
  }

  /** Whether this node leads, or the leader answers it. */
  private get hasLeader (): boolean {
    return this.leaderTerm !== undefined || this.link.hasAnswered
  }

  /** Connects to a deputy while there is no leader. */
  private followDeputy (): void {
    this.quotaDeputy.update()
    const { ip, peersPort } = this.options.settings
    const isAnswered = this.deputyHost === ip ? this.quotaDeputy.linkCount > 0 : this.deputyLink.hasAnswered
    if (this.hasLeader) this.deputySearch.reset()
    const host = this.hasLeader ? undefined : this.deputySearch.choose(this.deputies, { isAnswered })
    if (host === this.deputyHost) return
    this.deputyHost = host
    this.deputyLink.setLeader(host === undefined || host === ip ? undefined : { host, port: peersPort })
  }

  /** The leader's dispatch decision for a request; `undefined` if there is none in time. */
  private async dispatchForAll (ask: DispatchRequest): Promise<DispatchDecision | undefined> {
    const { leaderTerm } = this
    if (leaderTerm) {
      const request = { ...ask, node: this.options.settings.node }
      const decision = leaderTerm.dispatch(request)
      this.dispatch.onDecision(decision)
      return decision?.kind === 'engine' ? { ...decision, giveBack: () => leaderTerm.giveBack(request, decision.id) } : decision
    }
    // The leader's decision must rest on what this node has just seen.
    this.sendParts()
    return await this.dispatch.requestDispatch(ask)
  }

  /** Asks for an engine in the order of all nodes' requests; `undefined` without a reply in time. */
  private async requestSlot (dispatch: DispatchRequest, place: QueuePlace, timeoutMs: number): Promise<QueuedSlot | undefined> {
    const { leaderTerm } = this
    if (!leaderTerm) {
      this.sendParts()
      const asked = await this.dispatch.requestSlot(dispatch, place, timeoutMs)
      if (asked) this.slots.add(asked)
      return asked
    }
    const id = `own/${this.ownSlots++}`
    const slot = new QueuedSlot({ clock: this.options.clock, excluded: dispatch.excluded, onCancel: hasRun => hasRun ? leaderTerm.slots.end(id) : leaderTerm.slots.cancel(id) })
    this.slots.add(slot)
    slot.wasQueued = leaderTerm.queueForSlot({
      id,
      dispatch: { ...dispatch, node: this.options.settings.node },
      place,
      onAnswer: answer => {
        this.dispatch.onDecision(answer)
        slot.deliver(answer)
      }
    })
    return slot
  }

  /** The leader that assigned engines is lost. For the next one, this node's requests there count as chosen by itself. */
  private forgetAssignments (): void {
    for (const slot of this.slots) if (slot.isHeld) this.slots.delete(slot)
  }

  /** Requests by engine that the leader assigned. */
  private assignedRows (): NonNullable<NodeReport['assigned']> {
    const counts = new Map<string, number>()
    for (const slot of this.slots) {
      if (slot.isOver) this.slots.delete(slot)
      else if (slot.answer?.kind === 'engine') counts.set(slot.answer.id, (counts.get(slot.answer.id) ?? 0) + 1)
    }
    return [...counts]
  }

  private onLeaderMessage (message: LeaderMessage): void {
    if ('stamp' in message) return this.storeView.onConfirmation(message)
    if ('quotaAsk' in message) return this.quotas.onReply(message)
    if ('writtenBatch' in message) return this.streams.onBatchWritten(message.writtenBatch)
    if (!('ask' in message)) return this.onLeaderReport(message)
    if (this.options.settings.sharesServers && this.dispatch.onSlotReply(message.ask, decodeSlotReply(message))) return
    this.dispatch.onReply(message.ask, decodeDispatchDecision(message))
  }

  private onLeaderReport ({ news, hosting, running, leaving = [], parts, nodes, quotaLoads = [], capacity, deputies }: LeaderReport): void {
    if (deputies) this.deputies = deputies
    this.quotas.onLoads(quotaLoads)
    this.learned?.onLeaderReport({ capacity })
    if (nodes) this.otherNodes = nodes.filter(ip => ip !== this.options.settings.ip)
    if (parts) this.quarantine.merge(parts, { isNews: false })
    if (news) {
      const { fromRevision, revision, ageMs, nodeCount, returnedMsAgo } = news
      // Before the changes, which include the removal of entries that expired during the outage.
      if (returnedMsAgo !== null) this.fleet.onOutageEnded(this.options.clock.nowMs() - returnedMsAgo)
      const changes = unpackChanges(news.changes)
      if (changes instanceof Error) this.options.log('warn', 'store changes from the leader could not be decoded', { error: changes.message })
      else this.storeView.onFeed({ fromRevision, revision, changes }, ageMs)
      this.size.adopt(nodeCount)
    }
    for (const [id, models] of hosting) {
      this.fleet.servers.get(id)?.updateReplicas(models.map(([name, readyInMs, phase, adapters]) => ({
        name, readyInMs, isLoading: phase === 'coming', isUnloading: phase === 'leaving', adapters: adapters.map(([adapter, inMs]) => ({ name: adapter, readyInMs: inMs }))
      })))
    }
    for (const incarnation of leaving) this.fleet.onLeaving(incarnation)
    this.recordRunning(running)
    if (hosting.length > 0) this.fleet.notify()
  }

  private recordRunning (rows: LeaderReport['running']): void {
    const total = new Map(rows)
    if (rows.length === 0) return
    for (const [id, server] of this.fleet.servers) server.runningElsewhere = Math.max(0, (total.get(id) ?? 0) - server.running)
  }

  private report (): NodeReport {
    const running: NodeReport['running'] = []
    const outcomes: NodeReport['outcomes'] = []
    const misknown: string[] = []
    const { leaving } = this.fleet
    const assigned = this.assignedRows()
    for (const [id, server] of this.fleet.servers) {
      const { answered, failed } = server.collectOutcomes()
      if (server.collectStateMismatch()) misknown.push(id)
      if (answered + failed > 0) outcomes.push([id, answered, failed])
      for (const key of server.runningByAdapter.keys()) this.demand.onUsed(id, key)
      for (const [model, { count, rank }] of server.runningByModel) if (model !== '') running.push([id, model, count, rank])
    }
    return {
      node: this.options.settings.node,
      waiting: this.demand.waitingModels().map(({ service, model, waiting, rank }) => [service, model, waiting, rank]),
      adapters: this.demand.waitingAdapters().map(({ service, model, adapter, count }) => [service, model, adapter, count]),
      running,
      ...(assigned.length > 0 ? { assigned } : {}),
      used: this.demand.takeUsedAdapters(),
      missing: this.demand.takeMissingModels(),
      misknown,
      outcomes,
      ...this.learned?.reportFields(this.dispatch.lastAssignment),
      ...(leaving.length > 0 ? { leaving } : {})
    }
  }

  private stampedReport (): NodeReport {
    return { ...this.report(), ...(this.accounts.isActive ? { stamp: this.storeView.stamp() } : {}) }
  }

  /** Asks the leader at once whether this node's view is current, as after a freeze of this process. */
  private requestConfirmation (): void {
    const nowMs = this.options.clock.nowMs()
    if (this.leaderTerm || nowMs - this.confirmationRequestedAtMs < minConfirmationIntervalMs) return
    this.confirmationRequestedAtMs = nowMs
    this.link.send(this.stampedReport())
  }

  private exchangeReports (): void {
    this.reportTicks++
    this.accounts.logStaleness()
    this.quotas.sweep()
    this.overQuota.sweep()
    this.followDeputy()
    this.quotaDeputy.sendLoads()
    if (this.size.value > manyNodes && this.reportTicks % 2 !== 0) return
    if (this.leaderTerm) {
      this.recordRunning(this.leaderTerm.broadcastStatus(this.peers.linkCount - this.quotaDeputy.linkCount, this.storedSize))
      this.deputies = this.leaderTerm.deputies
      this.quotas.onLoads(this.leaderTerm.accountLoads)
    } else this.link.send(this.stampedReport())
  }

  private reportDemandSoon (): void {
    this.cancelDemandReport ??= this.options.clock.setTimer(demandReportDelayMs, () => {
      this.cancelDemandReport = undefined
      if (this.leaderTerm) this.leaderTerm.onReport(this.report())
      else this.link.send(this.report())
    })
  }

  /** Time until an engine is expected to have the model or adapter loaded; `undefined` if none is expected to. */
  private expectedReadyMs (service: string, model: string, adapter: string | undefined): number | undefined {
    const nowMs = this.options.clock.nowMs()
    let bestMs: number | undefined
    for (const server of this.fleet.ofService(service)) {
      const state = server.replicas.get(model)
      if (!state || state.isUnloading || !server.isPresent) continue
      const readyAtMs = Math.max(state.readyAtMs, nowMs + server.pauseLeftMs, adapter === undefined ? 0 : state.adapters.get(adapter) ?? Infinity)
      if (readyAtMs !== Infinity) bestMs = Math.min(bestMs ?? Infinity, Math.max(0, readyAtMs - nowMs))
    }
    return bestMs
  }

  /** Returns whether nodes other than the leader need the change; engines write their load all the time. */
  private onBackend ({ key, value }: StoreChange): boolean {
    const id = key.slice(this.options.codecs.keys.backends.length)
    if (value === undefined) {
      this.fleet.remove(id)
      return true
    }
    const known = this.fleet.servers.get(id)
    const before = known?.removalAtMs === Infinity ? routingKey(known.entry) : undefined
    const entry = this.readBackend(key, value)
    const isTaken = entry !== undefined && this.fleet.put(entry)
    this.fleet.deleteRemoved()
    return isTaken && routingKey(entry) !== before
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
    // The store may be listed again after a gap; an older version must not return.
    if (this.deployment && deployment.version < this.deployment.version) {
      return log('warn', 'older configuration ignored', { version: deployment.version, inForce: this.deployment.version })
    }
    if (deployment.version !== this.deployment?.version) log('info', 'configuration in force', { version: deployment.version, routes: deployment.routes.length })
    this.deployment = deployment
    this.requestProxy.setDeployment(deployment)
    this.streams.setDeployment(deployment)
    this.quotas.setAccounts(deployment.accounts ?? [])
    this.clients.keepAliveTimeout = deployment.limits.idleTimeoutMs
    this.clients.headersTimeout = deployment.limits.headerTimeoutMs
    // Read for each new connection; not in the types of Node.js.
    Object.assign(this.clients, { maxHeaderSize: Math.max(parsedHeadBytes, deployment.limits.maxHeaderBytes) })
  }
}

/** The part of an entry that decides whether and where requests are sent. */
function routingKey ({ service, address, availabilityZone, slots, isDraining, bornAtMs, softwareVersion }: BackendEntry): string {
  return JSON.stringify([service, address, availabilityZone, slots, isDraining, bornAtMs, softwareVersion])
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
