/** Accepts client requests, forwards each to a backend server and returns the response. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { match } from 'ts-pattern'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { ioTurn } from '../base/ioTurn.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import { requestIdentity } from '../policy/partEvidence.js'
import { hasGoneOn } from '../policy/partQuarantine.js'
import type { PartQuarantine, SuspectCheck, Verdict } from '../policy/partQuarantine.js'
import type { QueuePlace } from '../policy/slotQueue.js'
import { fitsTokens } from '../policy/tokenLedger.js'
import { RetryBudget } from '../policy/retry.js'
import { decideWait } from '../policy/waitForEngine.js'
import type { WaitConditions } from '../policy/waitForEngine.js'
import { softwareOf, versionOf } from './backendServer.js'
import type { AccountCheck } from './accountCheck.js'
import type { BackendServer } from './backendServer.js'
import { ClientBody } from './clientBody.js'
import { ResponseWriter } from './clientExchange.js'
import { ClientMemory } from './clientMemory.js'
import { ClientRequests } from './clientRequests.js'
import type { OpenRequest } from './clientRequests.js'
import type { Codecs, RequestMetadata } from './codecs.js'
import type { Account, Deployment, Route, Service } from './deployment.js'
import { EngineClient } from './engineClient.js'
import { isRepeatable, RequestForwarder } from './requestForwarder.js'
import type { AttemptResult, FailoverSearch } from './requestForwarder.js'
import type { LearnedCapacity } from './learnedCapacity.js'
import { incarnationKey, incarnationOf } from './fleetView.js'
import type { FleetView } from './fleetView.js'
import { isHeadTooLarge } from './requestHead.js'
import { RouteTable, serviceOf } from './routeTable.js'
import type { ModelDemand } from './modelDemand.js'
import type { QuotaResult } from './quotaClient.js'
import { loggedParts } from './requestRecord.js'
import type { AttemptTrace, RequestRecord } from './requestRecord.js'
import { Reservation } from './reservation.js'
import type { QueuedSlot } from './queuedSlot.js'
import { foundAt, foundBy, once, reasonOf, refuseEarly, shuttingDown, waitOf } from './serverSearch.js'
import type { Search } from './serverSearch.js'
import { identified, isResumable, maxServers, minimumAttemptMs, ServerSelection, slotCheckMs, waitPollMs } from './serverSelection.js'
import type { Progress, Selection } from './serverSelection.js'
import { refusalText } from './streamVersions.js'
import type { StreamVersions, TakeUp } from './streamVersions.js'

/** Delay before a request that servers rejected is retried: an immediate retry would reach the same full servers. */
const busyRetryAfterMs = 250
/** The same where the placement leader queues requests: it knows when the server has a free slot. */
const queuedRetryAfterMs = 100
/** `Retry-After` if the configuration may be missing: a node usually receives it within this time after its start. */
const startingRetryAfterMs = 500
/** Upper limit of `Retry-After`, as a share of the client's remaining time; clients ignore larger values. */
const maxRetryAfterShare = 0.33
/** One log line is written per this many successful requests that needed no retry, did not wait and met their objectives. */
const plainRequestsPerLogLine = 100
/** Event-loop delay from which requests count as read late: their clients may have left before. */
const lateReadMs = 100
/** Limit on bodies that arrive before the configuration, whose requests are refused. */
const unconfiguredBodyBytes = 64 * 1024
/** The same for requests that can no longer meet their objective, so that the others are dispatched first. */
const latePollMs = 100
/** Interval at which a failover target is searched for again while a server is unresponsive. */
const failoverRetryMs = 120
/** Share of the fleet's retry budget that the nodes use: each node counts in its own window, so the sum can exceed the budget. */
const retryBudgetShare = 0.7
/** A request is not sent again after so many engines have ended when they began to answer it. */
const maxEndsPerRequest = 2
const maxLoggedIdChars = 100
/** A cut request does not wait longer for the check whether its server has ended; a refused connection takes one round trip. */
const maxExitCheckMs = 250

export interface RequestProxySettings {
  region: string
  availabilityZone: string
  /** Retries that all nodes together may send to a service within the window: a share of its requests, plus a fixed allowance. */
  retryBudget: { share: number, windowMs: number, allowance: number }
}

export interface RequestProxyOptions {
  clock: Clock
  log: Log
  codecs: Codecs
  fleet: FleetView
  demand: ModelDemand
  quarantine: PartQuarantine
  accounts: AccountCheck
  /** Whether this node may try prompt parts while no leader grants trials. */
  mayTryAlone: (check: SuspectCheck) => boolean
  /** What the node holds for clients. */
  memory?: ClientMemory
  settings: RequestProxySettings
  /** Number of nodes that share the retry budgets and the connections of backend servers. */
  nodeCount: () => number
  /** Recent event-loop delay of this process, in milliseconds. */
  loopDelayMs?: () => number
  /** Requests a dispatch decision that considers the requests of all nodes. Resolves with `undefined` if none arrives in time. */
  requestDispatch?: (dispatchRequest: DispatchRequest) => Promise<DispatchDecision | undefined>
  /** Where the placement leader queues waiting requests: asks for an engine or a place in the queue. Resolves with `undefined` without a reply in time. */
  requestSlot?: (dispatchRequest: DispatchRequest, place: QueuePlace, timeoutMs: number) => Promise<QueuedSlot | undefined>
  /** Takes what the request costs from its account's quota; `undefined` if it has none. */
  takeQuota?: (request: ProxiedRequest) => Promise<QuotaResult> | undefined
  /** Absent where capacity is not learned. */
  learned?: LearnedCapacity | undefined
  random?: Random
  /** Which software versions may begin and continue resumable streams; absent where all fit together. */
  streams?: Pick<StreamVersions, 'mayBegin' | 'mayHaveRestarted' | 'takeUpOf' | 'onBegun' | 'onNotServed'>
  onFinished?: (record: RequestRecord) => void
}

/** A client request that is forwarded. */
export interface ProxiedRequest {
  metadata: RequestMetadata
  route: Route
  /** Account that holds the request's key; absent without a known key. */
  account?: Account | undefined
  /** 0 is the most urgent: the account's rank, or else the route's. */
  rank: number
  service: Service
  method: string
  path: string
  rawHeaders: readonly string[]
  body: readonly Buffer[]
  /** By which the request is known when it is sent again. Computed at the first call. */
  identity: () => string
  arrivedAtMs: number
  /** Time at which the last byte of the body was received. */
  readAtMs: number
  deadlineAtMs: number
}

export class RequestProxy {
  private readonly options: RequestProxyOptions
  private readonly clock: Clock
  private readonly calls: EngineClient
  private readonly selection: ServerSelection
  private readonly memory: ClientMemory
  private deployment: Deployment | undefined
  private routes = new RouteTable([])
  private services = new Map<string, Service>()
  private readonly budgets = new Map<string, RetryBudget>()
  private isClosing = false
  private isRefusing = false
  private isEnding = false
  private readonly forwarders = new Set<RequestForwarder>()
  private plainRequests = 0
  /** Requests of clients whose responses are not complete. */
  readonly clients: ClientRequests

  constructor (options: RequestProxyOptions) {
    this.options = options
    this.clock = options.clock
    this.calls = new EngineClient(options.clock, options.codecs)
    this.clients = new ClientRequests(options.clock, options.log)
    this.selection = new ServerSelection(options)
    this.memory = options.memory ?? new ClientMemory({ clock: options.clock, log: options.log, budget: options.fleet.buffered })
  }

  setDeployment (deployment: Deployment): void {
    this.deployment = deployment
    this.options.accounts.setDeployment(deployment)
    this.routes = new RouteTable(deployment.routes)
    this.services = new Map(deployment.services.map(service => [service.name, service]))
  }

  /** Adds `Connection: close` to every response that has not started yet. */
  closeConnections (): void {
    this.isClosing = true
    this.clients.announceCloseToAll()
  }

  /** Answers a client's request. An error in this program is logged and answered with 502, which promises nothing. */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.answer(request, response)
    } catch (error) {
      const { requestId } = this.options.codecs.readRequest(request.headers)
      this.options.log('error', 'request handling failed', { request: requestId, error: messageOf(error), stack: (error as Error).stack })
      const writer = new ResponseWriter(request, response, this.memory)
      if (response.headersSent) writer.abort()
      else writer.sendError(502, 'the request could not be handled')
    }
  }

  private async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this.clock.nowMs()
    const { socket } = request
    // The parser goes on with what it has read from a connection that has been closed.
    if (socket.destroyed) return
    const metadata = this.options.codecs.readRequest(request.headers)
    const isFirst = this.clients.isUnused(socket)
    const earlier = this.clients.latestOn(socket)
    const open = this.clients.register(request, response, metadata.requestId)
    if (this.clients.countOn(socket) > this.memory.limits.pipelinedRequests) {
      this.memory.onLimit('pipelined', metadata.requestId)
      socket.destroy()
      return
    }
    // By the configuration of the arrival, also if another one comes before the request's turn.
    const hasLargeHead = isHeadTooLarge(request, this.deployment?.limits.maxHeaderBytes ?? Infinity)
    // Read at once: what waits in the request's own queue takes an object for each chunk.
    const route = this.routes.find(request.headers.host ?? '', request.url ?? '/')
    const incoming = open.body = new ClientBody(request, this.memory, {
      maxBytes: this.deployment?.limits.maxBodyBytes ?? unconfiguredBodyBytes,
      deadlineAtMs: arrivedAtMs + Math.min(metadata.deadlineMs ?? Infinity, route?.timeoutMs ?? 0),
      open
    })
    try {
      await this.answerInTurn(request, response, { metadata, arrivedAtMs, earlier, isFirst, open, incoming, hasLargeHead })
    } finally {
      incoming.release()
    }
  }

  /** Answers a request when the responses to earlier ones on its connection are complete. */
  private async answerInTurn (
    request: IncomingMessage, response: ServerResponse,
    { metadata, arrivedAtMs, earlier, isFirst, open, incoming, hasLargeHead }: {
      metadata: RequestMetadata, arrivedAtMs: number, earlier: OpenRequest | undefined, isFirst: boolean, open: OpenRequest, incoming: ClientBody, hasLargeHead: boolean
    }
  ): Promise<void> {
    const { socket } = request
    if (earlier) {
      // The earlier response must not close the connection any more, unless its head has been sent.
      if (!earlier.response.headersSent) earlier.response.shouldKeepAlive = earlier.isKeepAlive
      await earlier.finished
    }
    if (this.clients.discardIfClosed(socket, open)) return
    if (this.isClosing) this.clients.announceClose(open)
    const writer = open.writer = new ResponseWriter(request, response, this.memory)
    const { deployment } = this
    if (this.isRefusing) return writer.sendError(503, 'this node is shutting down', 0)
    if (!deployment) return refuseEarly(writer, 503, 'this node has not received its configuration yet', startingRetryAfterMs)
    if (hasLargeHead) {
      this.memory.onLimit('head-size', metadata.requestId)
      return refuseEarly(writer, 431, 'the request head is too large')
    }
    const path = request.url ?? '/'
    const route = this.routes.find(request.headers.host ?? '', path)
    if (!route) return refuseEarly(writer, 404, 'no route matches the host and path')
    const checkAccess = this.options.accounts.checkOf(metadata, route)
    const early = checkAccess()
    if ('status' in early) return refuseEarly(writer, early.status, early.reason, early.retryAfterMs)
    const body = await incoming.result
    // A long body may be complete only when what is sent on could not be finished any more.
    if (this.isRefusing && body !== 'left') return writer.sendError(503, 'this node is shutting down', 0)
    if (body === 'too-large') return writer.sendError(413, 'the request body is too large')
    if (body === 'no-room') return writer.sendError(503, 'this node holds too much for other clients', Math.min(busyRetryAfterMs, (metadata.deadlineMs ?? route.timeoutMs) * maxRetryAfterShare))
    if (body === 'stalled') return writer.sendError(408, 'the request body did not arrive in time')
    if (body === 'left') return
    if (isFirst || (this.options.loopDelayMs?.() ?? Infinity) > lateReadMs) {
      // The request may have been sent long ago: Node.js accepts one connection in each turn of its event loop, however many wait.
      // Whether the client has closed the connection since is read after the request.
      await ioTurn()
      if (this.clients.discardIfClosed(socket, open)) return
    }
    // A stream that is taken up goes on at the service that began it.
    const serviceName = serviceOf(route, metadata.resumes ?? metadata.requestId ?? '')
    const service = serviceName === undefined ? undefined : this.services.get(serviceName)
    if (!service) {
      const reason = serviceName === undefined ? 'no target of the split has a weight' : `unknown service ${JSON.stringify(serviceName)}`
      this.options.log('info', 'request refused: its route has no service', { request: metadata.requestId, route: route.name, status: 503, reason, configVersion: deployment.version })
      return writer.sendError(503, 'the service of the route is not configured', startingRetryAfterMs)
    }
    // The body may have taken long, and the key may have been removed meanwhile.
    const access = checkAccess()
    if ('status' in access) return writer.sendError(access.status, access.reason, access.retryAfterMs)
    const { account } = access
    const rawHeaders = this.options.accounts.isActive ? this.options.codecs.withoutAccount(request.rawHeaders) : request.rawHeaders
    const deadlineAtMs = arrivedAtMs + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
    const { method = 'GET', headers } = request
    const identity = once(() => requestIdentity(this.options.codecs.contentOf({ method, path, headers }), body))
    await this.serve({ metadata, route, account, rank: account?.rank ?? route.rank, service, method, path, rawHeaders, body, identity, arrivedAtMs, readAtMs: this.clock.nowMs(), deadlineAtMs }, writer)
  }

  /** Rejects all further requests, and waiting ones whose response has not started: they could not be finished before the shutdown. */
  refuseRequests (): void {
    this.isRefusing = true
  }

  /** Answers requests in progress whose answer has not started with 502, since the process is about to end. They may have run. */
  abandonRequests (): void {
    this.isEnding = true
    for (const forwarder of this.forwarders) forwarder.abandon('this node is shutting down')
  }

  private async serve (request: ProxiedRequest, writer: ResponseWriter): Promise<void> {
    const { clock, codecs } = this.options
    const progress: Progress = { sends: 0, waitedMs: 0, tried: new Set(), retryableFromMs: new Map(), wasMisdirected: false, ends: 0, attempts: [], slots: [], version: undefined, hasBegun: false }
    const forwarder: RequestForwarder = new RequestForwarder({
      request,
      writer,
      codecs,
      clock,
      learned: this.options.learned,
      memory: this.memory,
      reserveMove: isNeeded => this.reserveFailover(request, forwarder, progress, isNeeded),
      onGoneOn: sentAtMs => this.options.quarantine.recordSurvival(identified(request), sentAtMs),
      onBegun: ({ entry }) => {
        progress.version = versionOf(entry)
        progress.hasBegun = true
        if (isResumable(request)) this.options.streams?.onBegun(request, progress.version)
      }
    })
    this.forwarders.add(forwarder)
    let quota: QuotaResult | undefined
    try {
      quota = await this.options.takeQuota?.(request)
      if (quota?.kind === 'refused') return this.refuseOverQuota(request, writer, forwarder, progress, quota)
      progress.takeUp = request.metadata.isTakeUp && isResumable(request) ? await this.options.streams?.takeUpOf(request) : undefined
      if (forwarder.hasClientLeft) return this.finish(request, forwarder, progress, { outcome: 'client-left', status: 0 })
      if (progress.takeUp?.kind === 'refused') return this.refuseTakeUp(request, writer, forwarder, progress, progress.takeUp)
      progress.version = progress.takeUp?.version
      this.budgetOf(request.service.name).onRequest()
      await this.attemptUntilDone(request, writer, forwarder, progress)
    } finally {
      this.forwarders.delete(forwarder)
      // After an error in this program, a slot may still be held.
      for (const slot of progress.slots) slot.cancel()
      if (quota?.kind === 'taken' && !forwarder.mayHaveRun) quota.giveBack()
    }
  }

  /** The time is stated as it is: earlier, there are no tokens. */
  private refuseOverQuota (request: ProxiedRequest, writer: ResponseWriter, forwarder: RequestForwarder, progress: Progress, { reason, retryAfterMs }: { reason: string, retryAfterMs: number }): void {
    writer.sendError(429, reason, retryAfterMs)
    this.finish(request, forwarder, progress, { outcome: 'over-quota', status: 429, reason })
  }

  /** Nothing has run. */
  private refuseTakeUp (request: ProxiedRequest, writer: ResponseWriter, forwarder: RequestForwarder, progress: Progress, takeUp: Extract<TakeUp, { kind: 'refused' }>): void {
    const reason = refusalText(takeUp)
    writer.sendError(503, reason, takeUp.retryAfterMs)
    this.finish(request, forwarder, progress, { outcome: 'not-continued', status: 503, reason })
  }

  private async attemptUntilDone (request: ProxiedRequest, writer: ResponseWriter, forwarder: RequestForwarder, progress: Progress): Promise<void> {
    let result: AttemptResult | undefined
    let hasReservedRetry = false
    for (;;) {
      const search: Search = result?.kind === 'moved'
        ? foundAt(result.target)
        : await this.findServer(request, forwarder, progress, { isRetry: result !== undefined })
      if (search.kind !== 'found' && hasReservedRetry) this.budgetOf(request.service.name).returnRetry()
      if (search.kind === 'left') return this.finish(request, forwarder, progress, { outcome: 'client-left', status: 0 })
      if (search.kind === 'refused') return this.respondWithFailure(request, writer, forwarder, progress, { result, search })
      result = await this.attempt(request, forwarder, progress, search)
      if (result.kind === 'done' || result.kind === 'client-left') {
        return this.finish(request, forwarder, progress, { outcome: result.kind, status: writer.response.statusCode, reason: reasonOf(result) })
      }
      if (result.kind !== 'unsent') hasReservedRetry = false
      if (result.kind !== 'moved' && !this.mayRetry(request, forwarder, result, progress)) {
        if (hasReservedRetry) this.budgetOf(request.service.name).returnRetry()
        return this.respondWithFailure(request, writer, forwarder, progress, { result })
      }
      if (result.kind !== 'unsent') hasReservedRetry = true
    }
  }

  /** Reserves a slot on another server, and a retry from the budget, for a request whose server is unresponsive, while `isNeeded` holds. */
  private async reserveFailover (request: ProxiedRequest, forwarder: RequestForwarder, progress: Progress, isNeeded: () => boolean): Promise<FailoverSearch> {
    const budget = this.budgetOf(request.service.name)
    const isInTime = () => this.clock.nowMs() <= request.deadlineAtMs - minimumAttemptMs
    const isUnsuspected = () => this.options.quarantine.check(this.selection.evidenceParts(request)).kind === 'clear'
    const isAllowed = progress.sends + 1 < request.route.maxAttempts && isInTime() && isUnsuspected() && this.selection.mayMove(request, progress)
    if (!isAllowed || !budget.hasRetry()) return { kind: 'none', retryAfterMs: failoverRetryMs }
    const { server, chosenBy, waitMs, trial, priorMs, assignment } = await this.selection.selectMove(request, progress, waitOf(request, forwarder), isNeeded)
    if (trial !== undefined) this.options.quarantine.endTrial(trial)
    // Several dispatch replies that arrive together may name the same free slot, so capacity is checked again.
    const isFree = server && ((assignment && this.selection.waitsInQueue(request)) || this.selection.availableServers(request, progress).includes(server))
    // Taken only now: while requests wait for another engine, retries that can be made at once need the budget.
    const hasRetry = isFree && budget.tryRetry()
    const reservation = isFree && hasRetry && await this.reserve(request, server)
    if (!reservation) {
      assignment?.cancel()
      if (hasRetry) budget.returnRetry()
      return { kind: 'none', retryAfterMs: Math.max(failoverRetryMs, waitMs) }
    }
    const release = () => {
      reservation.release()
      assignment?.cancel()
      budget.returnRetry()
    }
    return { kind: 'reserved', target: { reservation, chosenBy, priorMs, assignment, isUsable: () => reservation.isUsable && isInTime() && isUnsuspected() && this.selection.mayAnswer(request, progress, server), release } }
  }

  private reserve ({ metadata, rank, service }: ProxiedRequest, server: BackendServer): Promise<Reservation | undefined> {
    const { model, adapter, promptTokens, outputTokens } = metadata
    const options = { model, adapter, rank, tokens: promptTokens + outputTokens, maxReservationMs: service.engine?.maxReservationMs }
    return Reservation.reserveAt(server, options, { clock: this.clock, calls: this.calls })
  }

  private async attempt (request: ProxiedRequest, forwarder: RequestForwarder, progress: Progress, { server, reservation, chosenBy, trial, priorMs, assignment }: Extract<Search, { kind: 'found' }>): Promise<AttemptResult> {
    const { model, adapter } = request.metadata
    const trace: AttemptTrace = {
      afterMs: Math.round(this.clock.nowMs() - request.arrivedAtMs),
      backend: server.entry.id,
      chosenBy,
      running: server.running,
      runningElsewhere: server.runningElsewhere,
      alternatives: this.selection.availableServers(request, progress).length - 1,
      ...this.options.learned?.traceOf(server, model),
      result: 'in progress'
    }
    progress.attempts.push(trace)
    progress.tried.add(server.entry.id)
    progress.retryableFromMs.delete(server.entry.id)
    if (model !== undefined && adapter !== undefined) this.options.demand.onUsed(server.entry.id, `${model}/${adapter}`)
    const result = await forwarder.attempt(server, reservation, priorMs)
    if (result.kind !== 'unsent') progress.sends++
    progress.wasMisdirected = result.kind === 'not-run' && result.isMisdirected
    // The server may well be sound and complete the rest.
    const isEndUnproved = result.kind === 'unknown' && result.isEndUnproved
    if (result.kind === 'moved' || isEndUnproved) progress.retryableFromMs.set(server.entry.id, this.clock.nowMs())
    else if (result.kind === 'not-run' && !result.isMisdirected) progress.retryableFromMs.set(server.entry.id, this.clock.nowMs() + (this.selection.waitsInQueue(request) ? queuedRetryAfterMs : busyRetryAfterMs))
    const { events, writingMs, isUnframed, hasBegun } = forwarder.lastAnswer
    if (isUnframed) trace.isUnframed = true
    if (request.route.kind === 'stream') Object.assign(trace, { events, writingMs: writingMs === undefined ? undefined : Math.round(writingMs) })
    if (result.kind === 'unknown' && result.isConnectionLost) await this.onConnectionLost(request, forwarder, server, progress)
    if (result.kind !== 'unsent' && hasBegun) assignment?.end()
    else assignment?.cancel()
    if (trial !== undefined) this.options.quarantine.endTrial(trial)
    trace.result = 'reason' in result ? `${result.kind}: ${result.reason}` : result.kind
    return result
  }

  /**
   * A connection with a request in progress has closed. If its engine has ended and had not begun to answer, or only just, that is
   * evidence against the prompt's parts, and the request must not be sent again before it is known.
   */
  private async onConnectionLost (request: ProxiedRequest, forwarder: RequestForwarder, server: BackendServer, progress: Progress): Promise<void> {
    const { lastAnswer } = forwarder
    const { entry } = server
    const confirmed = server.confirmExit()
    if (hasGoneOn(lastAnswer)) return
    const parts = identified(request)
    const recorded = confirmed.then(hasExited => {
      if (!hasExited) return
      progress.ends++
      this.options.quarantine.recordEnd({ engine: incarnationKey(incarnationOf(entry)), software: softwareOf(entry), sentAtMs: lastAnswer.sentAtMs, parts })
    })
    await Promise.race([recorded, sleep(this.clock, maxExitCheckMs)])
  }

  /** Whether the request may be retried after `result`. Takes the retry from the budget unless nothing was sent. */
  private mayRetry (request: ProxiedRequest, forwarder: RequestForwarder, result: AttemptResult, progress: Progress): boolean {
    if (forwarder.hasClientLeft || this.clock.nowMs() > request.deadlineAtMs - minimumAttemptMs) return false
    // No server received the request, so this is not a retry.
    if (result.kind === 'unsent') return true
    if (progress.ends >= maxEndsPerRequest || this.isEnding) return false
    const mayHaveRun = result.kind !== 'not-run'
    if (mayHaveRun && !(isRepeatable(request) && forwarder.position.mayContinue)) return false
    // Another server's response would find no room either.
    if (result.kind === 'unknown' && result.isNoRoom) return false
    if (result.kind === 'answer' && result.response.head.status < 500) return false
    // The limit is on the number of servers: trying a server again does not count.
    const hasServer = progress.sends < maxServers(request, progress) || (forwarder.hasResponseStarted && progress.retryableFromMs.size > 0)
    // Where the leader queues requests, a rejected one waits again.
    const waitsAgain = result.kind === 'not-run' && !result.isMisdirected && this.selection.waitsInQueue(request)
    return (hasServer || waitsAgain) && this.budgetOf(request.service.name).tryRetry()
  }

  /** Responds with an error, or aborts a started response, when no further attempt is made. */
  private respondWithFailure (
    request: ProxiedRequest, writer: ResponseWriter, forwarder: RequestForwarder, progress: Progress,
    { result, search }: { result: AttemptResult | undefined, search?: Extract<Search, { kind: 'refused' }> }
  ): void {
    if (forwarder.hasResponseStarted) {
      writer.abort()
      return this.finish(request, forwarder, progress, { outcome: 'broken-off', status: 0, reason: reasonOf(result), searchEnd: search?.reason })
    }
    if (search?.verdict) {
      if (forwarder.mayHaveRun) writer.sendError(502, search.reason)
      else writer.sendError(503, search.reason, search.retryAfterMs)
      return this.finish(request, forwarder, progress, { outcome: 'quarantined', status: writer.response.statusCode, reason: search.reason })
    }
    const retryAfterMs = search?.retryAfterMs ?? busyRetryAfterMs
    match(result)
      .with({ kind: 'answer' }, ({ response }) => writer.sendResponse(response, this.options.codecs.returnHeaders(response.head)))
      .with({ kind: 'timeout' }, () => writer.sendError(504, 'no response before the deadline'))
      .with({ kind: 'unknown' }, ({ reason }) => writer.sendError(502, reason))
      .with({ kind: 'not-run' }, { kind: 'unsent' }, ({ reason }) => forwarder.mayHaveRun
        ? writer.sendError(502, reason)
        : writer.sendError(503, reason, this.retryAfterMs(request, retryAfterMs)))
      .otherwise(() => writer.sendError(503, search?.reason ?? 'no backend server', this.retryAfterMs(request, retryAfterMs)))
    this.finish(request, forwarder, progress, { outcome: result?.kind ?? 'refused', status: writer.response.statusCode, reason: search?.reason ?? reasonOf(result) })
  }

  /** Limits `wantedMs` so that the client has enough time left for its retry. A pause that all servers requested is stated as it is. */
  private retryAfterMs (request: ProxiedRequest, wantedMs: number): number {
    const leftMs = Math.max(0, (request.metadata.deadlineMs ?? request.route.timeoutMs) - (this.clock.nowMs() - request.arrivedAtMs))
    return Math.max(this.selection.pauseLeftMs(request), Math.min(wantedMs, leftMs * maxRetryAfterShare))
  }

  /** Finds the best server for the request; waits while its model is being loaded or all engines are full. */
  private async findServer (
    request: ProxiedRequest, forwarder: RequestForwarder, progress: Progress, { isRetry }: { isRetry: boolean }
  ): Promise<Search> {
    const startedAtMs = this.clock.nowMs()
    try {
      return await this.searchServer(request, forwarder, progress, { isRetry, startedAtMs })
    } finally {
      progress.waitedMs += this.clock.nowMs() - startedAtMs
      for (const slot of progress.slots) if (!slot.answer) slot.cancel()
    }
  }

  private async searchServer (
    request: ProxiedRequest, forwarder: RequestForwarder, progress: Progress, { isRetry, startedAtMs }: { isRetry: boolean, startedAtMs: number }
  ): Promise<Search> {
    if (this.isRefusing && !forwarder.hasResponseStarted) return shuttingDown
    // Asked before, the leader would reserve the time of a prefill that does not take place.
    const { service: { engine }, metadata, route } = request
    if (engine && !fitsTokens(metadata, 0, engine.cacheTokens)) return { kind: 'refused', reason: 'the prompt is larger than the memory of an engine', retryAfterMs: route.timeoutMs }
    const isLost = () => !forwarder.hasResponseStarted && !this.selection.isVersionServed(request, progress)
    const notServed = (): Search => ({ kind: 'refused', reason: refusalText({ reason: 'version-not-served' }), retryAfterMs: this.options.streams?.onNotServed() ?? busyRetryAfterMs })
    if (isLost()) return notServed()
    const wait = waitOf(request, forwarder)
    let selection = await this.selection.select(request, progress, { isFirst: !isRetry, isLate: false, wait })
    if (forwarder.hasClientLeft) return this.leaveWith(selection)
    if (selection.server) return foundBy(selection.server, selection)
    if (selection.heldBy?.kind === 'refused') return this.refusalOf(selection.heldBy.verdict)
    const { model, adapter } = metadata
    if (model === undefined || !engine) return { kind: 'refused', reason: 'no backend server accepts requests', retryAfterMs: busyRetryAfterMs }
    const modelEntry = engine.models.find(({ name }) => name === model)
    if (!modelEntry) return { kind: 'refused', reason: `the service has no model ${model}`, retryAfterMs: startingRetryAfterMs }
    const conditions: WaitConditions = {
      isStream: route.kind === 'stream',
      objectiveMs: route.objectiveMs,
      gapObjectiveMs: route.gapObjectiveMs,
      lastProgressAtMs: wait.lastProgressAtMs,
      lastAttemptAtMs: request.deadlineAtMs - minimumAttemptMs,
      startedAtMs,
      shortestLoadMs: Math.min(modelEntry.warmLoadMs, modelEntry.diskLoadMs, modelEntry.loadMs)
    }
    const waiting = this.options.demand.wait(request.service.name, model, adapter, request.rank)
    try {
      for (;;) {
        const expectedMs = this.options.demand.expectedReadyMs(request.service.name, model, adapter)
        const decision = decideWait(conditions, this.clock.nowMs(), expectedMs, selection.statedWaitMs)
        if (selection.refusedMs !== undefined) {
          if (expectedMs === undefined) this.options.demand.onMissing(request.service.name, model)
          return { kind: 'refused', reason: `the wait for an engine with ${model} would be too long`, retryAfterMs: selection.refusedMs }
        }
        if (decision.kind === 'refuse') {
          if (expectedMs === undefined) this.options.demand.onMissing(request.service.name, model)
          const name = adapter === undefined ? model : `${model}/${adapter}`
          if (selection.heldBy?.kind === 'suspect') {
            return { kind: 'refused', reason: `${selection.heldBy.ends} engines ended under requests with the same prompt part, and no trial was possible in time`, retryAfterMs: decision.retryAfterMs }
          }
          const reason = decision.reason === 'full' ? `all engines with ${name} are full` : `no engine is ready with ${name}`
          return { kind: 'refused', reason, retryAfterMs: decision.retryAfterMs }
        }
        if (isLost()) return notServed()
        // Once the response has started, the request cannot be rejected.
        if (this.isRefusing && !forwarder.hasResponseStarted) return shuttingDown
        // A request whose response has started has priority over requests that can still be rejected.
        const isLate = decision.isLate && !forwarder.hasResponseStarted
        const pauseMs = Math.max(selection.waitMs, isLate ? latePollMs : 0)
        await (selection.slot ? selection.slot.wait(slotCheckMs) : pauseMs > waitPollMs ? forwarder.untilLeft(pauseMs) : this.options.demand.waitForChange(waitPollMs))
        if (forwarder.hasClientLeft) return { kind: 'left' }
        selection = await this.selection.select(request, progress, { isFirst: false, isLate, wait: { ...wait, slot: selection.slot } })
        if (forwarder.hasClientLeft) return this.leaveWith(selection)
        if (selection.server) return foundBy(selection.server, selection)
        if (selection.heldBy?.kind === 'refused') return this.refusalOf(selection.heldBy.verdict)
      }
    } finally {
      waiting.end()
    }
  }

  /** The client has left while a server was selected. */
  private leaveWith ({ trial, slot, assignment }: Selection): Search {
    slot?.cancel()
    assignment?.cancel()
    if (trial !== undefined) this.options.quarantine.endTrial(trial)
    return { kind: 'left' }
  }

  private refusalOf (verdict: Verdict): Extract<Search, { kind: 'refused' }> {
    const { parts, ends, untilMs } = verdict
    const reason = `${ends} engines ended under requests with the prompt part ${loggedParts(parts.map(id => ({ id }))).join(' and ')}; requests with it are refused`
    return { kind: 'refused', reason, retryAfterMs: Math.max(0, untilMs - this.clock.nowMs()), verdict }
  }

  private budgetOf (service: string): RetryBudget {
    let budget = this.budgets.get(service)
    if (!budget) {
      const { share, windowMs, allowance } = this.options.settings.retryBudget
      budget = new RetryBudget({
        clock: this.clock,
        windowMs,
        share: () => share * retryBudgetShare,
        allowance: () => allowance * retryBudgetShare / Math.max(1, this.options.nodeCount())
      })
      this.budgets.set(service, budget)
    }
    return budget
  }

  private finish (
    request: ProxiedRequest, forwarder: RequestForwarder, progress: Progress,
    { outcome, status, reason, searchEnd }: { outcome: string, status: number, reason?: string | undefined, searchEnd?: string | undefined }
  ): void {
    const record: RequestRecord = {
      route: request.route.name,
      service: request.service.name,
      kind: request.route.kind,
      outcome,
      status,
      durationMs: Math.round(this.clock.nowMs() - request.arrivedAtMs),
      firstByteMs: forwarder.firstByteMs === undefined ? undefined : Math.round(forwarder.firstByteMs),
      longestGapMs: Math.round(forwarder.longestGapMs),
      waitedMs: Math.round(progress.waitedMs),
      ...(progress.slots.length > 0 ? { queuedMs: Math.round(progress.slots.reduce((sum, slot) => sum + slot.queuedMs, 0)) } : {}),
      attempts: progress.sends,
      unframed: progress.attempts.filter(({ isUnframed }) => isUnframed).length,
      framing: forwarder.writer.framing
    }
    this.options.onFinished?.(record)
    const { takeUp } = progress
    const isPlain = outcome === 'done' && !takeUp && progress.sends === 1 && record.unframed === 0 && record.waitedMs < waitPollMs &&
      (record.firstByteMs ?? 0) <= request.route.objectiveMs && record.longestGapMs <= (request.route.gapObjectiveMs ?? Infinity)
    if (isPlain && this.plainRequests++ % plainRequestsPerLogLine !== 0) return
    this.options.log('info', isPlain ? 'request served (sample)' : 'request ended', {
      request: request.metadata.requestId,
      ...record,
      rank: request.rank,
      account: request.account?.name,
      deadlineMs: Math.round(request.deadlineAtMs - request.arrivedAtMs),
      model: request.metadata.model,
      adapter: request.metadata.adapter,
      promptTokens: request.metadata.promptTokens,
      parts: loggedParts(request.metadata.sharedParts),
      identity: this.options.quarantine.hasEvidence ? request.identity() : undefined,
      configVersion: this.deployment?.version,
      sends: progress.attempts,
      readAfterMs: Math.round(request.readAtMs - request.arrivedAtMs),
      lastEventId: forwarder.lastEventId?.toString(),
      silentMs: forwarder.sinceLastEventMs === undefined ? undefined : Math.round(forwarder.sinceLastEventMs),
      loopDelayMs: Math.round(this.options.loopDelayMs?.() ?? 0),
      isStopping: this.isClosing,
      resumes: request.metadata.resumes?.slice(0, maxLoggedIdChars),
      streamVersion: progress.version,
      ...(takeUp ? { takeUp: takeUp.kind === 'version' ? takeUp.by : takeUp.reason } : {}),
      reason,
      searchEnd
    })
  }
}
