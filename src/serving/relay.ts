/** Takes requests from clients, sends each to a backend server and returns the answer. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { match } from 'ts-pattern'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import { batchShare, chooseBackend } from '../policy/engineChoice.js'
import type { DispatchAsk, DispatchChoice } from '../policy/dispatchDesk.js'
import { RetryBudget } from '../policy/retry.js'
import { decideWait } from '../policy/waitForEngine.js'
import type { WaitTerms } from '../policy/waitForEngine.js'
import type { BackendServer } from './backendServer.js'
import type { Codecs, RequestFacts } from './codecs.js'
import type { Deployment, Route, Service } from './deployment.js'
import { EngineClient } from './engineClient.js'
import { Exchange, returnAnswer } from './exchange.js'
import type { AttemptResult, EngineAnswer, MoveSearch } from './exchange.js'
import type { FleetView } from './fleetView.js'
import { RouteTable, serviceOf } from './routeTable.js'
import type { ModelDemand } from './modelDemand.js'
import { Reservation } from './reservation.js'

/** Time in which a backend server usually begins to answer; a request with less left is not sent. */
const minimumSendMs = 20
/** A repeat right after the first attempt would meet the same full servers. */
const busyRetryAfterMs = 250
/** Time until a node that has just started knows its configuration. */
const startingRetryAfterMs = 500
/** Part of a client's remaining time for which it waits before it returns; clients honour no more. */
const longestRetryShare = 0.33
/** One in this many requests without incident leaves a log line. */
const plainSample = 100
/** Time after which missing models are looked for again while requests wait. */
const waitPollMs = 25
/** The same for requests that are late already, so that those in time are asked for first. */
const latePollMs = 100
/** Time after which another place is looked for again for a request whose server is silent. */
const moveRetryMs = 120
/** Part of the fleet's repeats that the nodes use, since they do not see each other's windows. */
const budgetShare = 0.7
/** Part of a backend server's connections that the nodes use; the rest is for restarted nodes whose old connections linger. */
const connectionShare = 0.9
const minimumConnections = 4
/** Recent share of failures from which this node does not want a server, whatever the others see. */
const failingShare = 0.35

export interface RelaySettings {
  region: string
  availabilityZone: string
  /** Repeats that all nodes together may send to a service within the window: a share of its requests, and an allowance. */
  retryBudget: { share: number, windowMs: number, allowance: number }
}

/** One attempt of a request, for its log line. */
export interface AttemptTrace {
  /** Since the request's arrival. */
  afterMs: number
  backend: string
  /** Whether the placement leader chose the server, or this node by itself. */
  chosenBy: 'leader' | 'node'
  /** Requests in progress there, as far as known, and those of other nodes alone. */
  running: number
  runningElsewhere: number
  /** Servers that could have taken the request too. */
  alternatives: number
  result: string
}

export interface RequestRecord {
  route: string
  service: string
  kind: Route['kind']
  outcome: string
  status: number
  durationMs: number
  firstByteMs: number | undefined
  /** Longest pause between events of a stream. */
  longestGapMs: number
  /** Time without a server to send to. */
  waitedMs: number
  attempts: number
}

export interface RelayOptions {
  clock: Clock
  log: Log
  codecs: Codecs
  fleet: FleetView
  demand: ModelDemand
  settings: RelaySettings
  /** Nodes that share the fleet's budgets. */
  nodeCount: () => number
  /** How late this process ran its timers lately, in milliseconds. */
  loopDelayMs?: () => number
  /** The choice that is best in view of all nodes' requests, if it can be told in time. */
  chooseForAll?: (ask: DispatchAsk) => Promise<DispatchChoice | undefined>
  onFinished?: (record: RequestRecord) => void
}

/** One request of a client. */
export interface RelayRequest {
  facts: RequestFacts
  route: Route
  service: Service
  method: string
  path: string
  rawHeaders: readonly string[]
  body: Buffer
  arrivedAtMs: number
  /** When the last byte of the body had been read. */
  readAtMs: number
  deadlineAtMs: number
}

/** A request that has been read and whose answer is not complete. */
interface Open {
  requestId: string | undefined
  arrivedAtMs: number
  response: ServerResponse
  /** Whether the client lets its connection stay. */
  mayStay: boolean
  /** Resolves when the answer is complete or the connection is closed. */
  isOver: Promise<void>
  end: () => void
}

interface ClientConnection {
  /** In the order of their arrival. */
  open: Set<Open>
  /** Bytes that had been read when the last answer was complete. */
  bytesReadAtEnd: number | undefined
}

interface Progress {
  /** Sends after which a server may have the request. */
  sends: number
  waitedMs: number
  tried: Set<string>
  /** Tried servers that only refused the request or were silent, by the time from which they may be asked again. */
  askableFromMs: Map<string, number>
  /** Whether the last server answered that it is another one than expected or does not hold the model. */
  wasMisdirected: boolean
  attempts: AttemptTrace[]
}

type Search =
  | { kind: 'found', server: BackendServer, place?: Reservation, chosenBy: AttemptTrace['chosenBy'] }
  | { kind: 'refused', reason: string, retryAfterMs: number }
  | { kind: 'left' }

interface Selection {
  server: BackendServer | undefined
  chosenBy: AttemptTrace['chosenBy']
  /** Time after which to look again. */
  waitMs: number
}

export class Relay {
  private readonly options: RelayOptions
  private readonly clock: Clock
  private readonly calls: EngineClient
  private deployment: Deployment | undefined
  private routes = new RouteTable([])
  private services = new Map<string, Service>()
  private readonly budgets = new Map<string, RetryBudget>()
  private isClosing = false
  private isRefusing = false
  private plainRequests = 0
  private readonly open = new Set<Open>()
  private readonly connections = new WeakMap<Socket, ClientConnection>()
  /** Requests read since the start. */
  arrivals = 0

  constructor (options: RelayOptions) {
    this.options = options
    this.clock = options.clock
    this.calls = new EngineClient(options.clock, options.codecs)
  }

  setDeployment (deployment: Deployment): void {
    this.deployment = deployment
    this.routes = new RouteTable(deployment.routes)
    this.services = new Map(deployment.services.map(service => [service.name, service]))
  }

  /** Requests that have been read and whose answer is not complete. */
  get active (): number {
    return this.open.size
  }

  /** From now on each answer that has not begun announces the end of its connection. */
  closeConnections (): void {
    this.isClosing = true
    for (const open of this.open) this.announceEnd(open)
  }

  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this.clock.nowMs()
    const { socket } = request
    const facts = this.options.codecs.readRequest(request.headers)
    const earlier = this.newestOf(socket)
    const open = this.begin(request, response, facts.requestId)
    if (earlier) {
      // One that has announced the end of the connection takes that back while it can.
      if (!earlier.response.headersSent) earlier.response.shouldKeepAlive = earlier.mayStay
      await earlier.isOver
    }
    // An answer could not be written any more, so no server may get the request.
    if (socket.writableEnded || socket.destroyed) {
      this.options.log('info', 'request not taken: its connection has ended', { request: facts.requestId })
      return open.end()
    }
    if (this.isClosing) this.announceEnd(open)
    const reply = new Reply(request, response)
    const { deployment } = this
    if (this.isRefusing) return reply.refuse(503, 'this node is shutting down', 0)
    if (!deployment) return reply.refuse(503, 'no configuration yet', startingRetryAfterMs)
    const path = request.url ?? '/'
    const route = this.routes.find(request.headers.host ?? '', path)
    if (!route) {
      request.resume()
      return reply.refuse(404, 'no route')
    }
    const body = await readBody(request, deployment.limits.maxBodyBytes)
    if (body === 'too-large') return reply.refuse(413, 'the body is too large')
    if (body === 'left') return
    const service = this.services.get(serviceOf(route, facts.requestId ?? ''))
    if (!service) return reply.refuse(503, 'the route names no known service', startingRetryAfterMs)
    const deadlineAtMs = arrivedAtMs + Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs)
    await this.serve({ facts, route, service, method: request.method ?? 'GET', path, rawHeaders: request.rawHeaders, body, arrivedAtMs, readAtMs: this.clock.nowMs(), deadlineAtMs }, reply)
  }

  /** From now on no request is taken, since it could not be finished. */
  refuseRequests (): void {
    this.isRefusing = true
  }

  /** Logs the requests whose connections are about to be closed without a complete answer. */
  reportUnanswered (): void {
    for (const { requestId, arrivedAtMs, response } of this.open) {
      this.options.log('warn', 'connection closed before the end of an answer', {
        request: requestId, ageMs: Math.round(this.clock.nowMs() - arrivedAtMs), hasBegun: response.headersSent
      })
    }
  }

  private begin ({ socket }: IncomingMessage, response: ServerResponse, requestId: string | undefined): Open {
    this.arrivals++
    const connection = this.connectionOf(socket)
    let onOver = () => {}
    const isOver = new Promise<void>(resolve => { onOver = resolve })
    const end = () => {
      this.open.delete(open)
      connection.open.delete(open)
      connection.bytesReadAtEnd = socket.bytesRead
      onOver()
    }
    const open = { requestId, arrivedAtMs: this.clock.nowMs(), response, mayStay: response.shouldKeepAlive, isOver, end }
    this.open.add(open)
    connection.open.add(open)
    response.once('close', end)
    return open
  }

  /** Whether the connection has served requests, all of them are answered to the last byte, and nothing has come since. */
  isIdle (socket: Socket): boolean {
    const connection = this.connections.get(socket)
    return connection !== undefined && connection.open.size === 0 && connection.bytesReadAtEnd === socket.bytesRead
  }

  private connectionOf (socket: Socket): ClientConnection {
    const known = this.connections.get(socket)
    if (known) return known
    const connection: ClientConnection = { open: new Set(), bytesReadAtEnd: undefined }
    this.connections.set(socket, connection)
    // The answer to a request behind another one hears nothing of its connection's end.
    socket.once('close', () => { for (const { end } of [...connection.open]) end() })
    return connection
  }

  private newestOf (socket: Socket): Open | undefined {
    return [...this.connectionOf(socket).open].at(-1)
  }

  /** Lets the answer announce that its connection ends, unless it has begun or the next request is here. */
  private announceEnd (open: Open): void {
    const { response } = open
    if (!response.headersSent && this.newestOf(response.req.socket) === open) response.shouldKeepAlive = false
  }

  private async serve (request: RelayRequest, reply: Reply): Promise<void> {
    const { clock, codecs } = this.options
    this.budgetOf(request.service.name).onRequest()
    const progress: Progress = { sends: 0, waitedMs: 0, tried: new Set(), askableFromMs: new Map(), wasMisdirected: false, attempts: [] }
    const exchange: Exchange = new Exchange({ request, response: reply.response, codecs, clock, reserveMove: () => this.reserveMove(request, progress) })
    let result: AttemptResult | undefined
    let holdsRepeat = false
    for (;;) {
      const search: Search = result?.kind === 'moved'
        ? { kind: 'found', server: result.move.place.server, place: result.move.place, chosenBy: result.move.chosenBy }
        : await this.findServer(request, exchange, progress, { isRepeat: result !== undefined })
      if (search.kind !== 'found' && holdsRepeat) this.budgetOf(request.service.name).giveBack()
      if (search.kind === 'left') return this.finish(request, exchange, progress, { outcome: 'client-left', status: 0 })
      if (search.kind === 'refused') return this.answerWithout(request, reply, exchange, progress, { result, search })
      result = await this.attempt(request, exchange, progress, search)
      if (result.kind === 'done' || result.kind === 'client-left') {
        return this.finish(request, exchange, progress, { outcome: result.kind, status: reply.response.statusCode })
      }
      if (result.kind !== 'unsent') holdsRepeat = false
      if (result.kind !== 'moved' && !this.mayRepeat(request, exchange, result, progress)) {
        if (holdsRepeat) this.budgetOf(request.service.name).giveBack()
        return this.answerWithout(request, reply, exchange, progress, { result })
      }
      if (result.kind !== 'unsent') holdsRepeat = true
    }
  }

  /** Reserves a place at another server, and a repeat, for a request whose own server is silent. */
  private async reserveMove (request: RelayRequest, progress: Progress): Promise<MoveSearch> {
    const budget = this.budgetOf(request.service.name)
    const isInTime = () => this.clock.nowMs() <= request.deadlineAtMs - minimumSendMs
    const isAllowed = progress.sends + 1 < request.route.maxAttempts && isInTime() && this.choose(request, progress) !== undefined
    if (!isAllowed || !budget.tryRetry()) return { kind: 'none', retryAfterMs: moveRetryMs }
    const { server, chosenBy, waitMs } = await this.chooseWithLeader(request, progress, { isFirst: false, isLate: false })
    // Answers of the leader that come together are for one free place each.
    const place = server && this.able(request).includes(server) && await this.reserve(request, server)
    if (!place) {
      budget.giveBack()
      return { kind: 'none', retryAfterMs: Math.max(moveRetryMs, waitMs) }
    }
    const release = () => {
      place.release()
      budget.giveBack()
    }
    return { kind: 'reserved', move: { place, chosenBy, canBeMade: () => place.isUsable && isInTime(), release } }
  }

  private reserve ({ facts, route, service }: RelayRequest, server: BackendServer): Promise<Reservation | undefined> {
    const { model, adapter, promptTokens, outputTokens } = facts
    const terms = { model, adapter, rank: route.rank, tokens: promptTokens + outputTokens, longestHoldMs: service.engine?.maxReservationMs }
    return Reservation.at(server, terms, { clock: this.clock, calls: this.calls })
  }

  private async attempt (request: RelayRequest, exchange: Exchange, progress: Progress, { server, place, chosenBy }: Extract<Search, { kind: 'found' }>): Promise<AttemptResult> {
    const { model, adapter } = request.facts
    const trace: AttemptTrace = {
      afterMs: Math.round(this.clock.nowMs() - request.arrivedAtMs),
      backend: server.entry.id,
      chosenBy,
      running: server.running,
      runningElsewhere: server.runningElsewhere,
      alternatives: this.able(request).length - 1,
      result: 'in progress'
    }
    progress.attempts.push(trace)
    progress.tried.add(server.entry.id)
    progress.askableFromMs.delete(server.entry.id)
    if (model !== undefined && adapter !== undefined) this.options.demand.onUsed(server.entry.id, `${model}/${adapter}`)
    const result = await exchange.attempt(server, place)
    if (result.kind !== 'unsent') progress.sends++
    progress.wasMisdirected = result.kind === 'not-run' && result.isMisdirected
    if (result.kind === 'moved') progress.askableFromMs.set(server.entry.id, this.clock.nowMs())
    else if (result.kind === 'not-run' && !result.isMisdirected) progress.askableFromMs.set(server.entry.id, this.clock.nowMs() + busyRetryAfterMs)
    trace.result = 'reason' in result ? `${result.kind}: ${result.reason}` : result.kind
    return result
  }

  /** Whether the request may be sent once more after `result`. Takes the repeat out of the budget. */
  private mayRepeat (request: RelayRequest, exchange: Exchange, result: AttemptResult, progress: Progress): boolean {
    const { route } = request
    if (exchange.hasClientLeft || this.clock.nowMs() > request.deadlineAtMs - minimumSendMs) return false
    // Nothing reached a server, so nothing is repeated.
    if (result.kind === 'unsent') return true
    const isRepeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
    const mayHaveRun = result.kind !== 'not-run'
    if (mayHaveRun && !isRepeatable) return false
    if (result.kind === 'answer' && result.answer.head.status < 500) return false
    // The limit is on servers: one that has the request already does not count again.
    const hasServer = progress.sends < serverLimit(request, progress) || (exchange.hasBegun && progress.askableFromMs.size > 0)
    return hasServer && this.budgetOf(request.service.name).tryRetry()
  }

  /** Ends a request for which no further attempt is made. */
  private answerWithout (
    request: RelayRequest, reply: Reply, exchange: Exchange, progress: Progress,
    { result, search }: { result: AttemptResult | undefined, search?: Extract<Search, { kind: 'refused' }> }
  ): void {
    if (exchange.hasBegun) {
      exchange.breakOff()
      return this.finish(request, exchange, progress, { outcome: 'broken-off', status: 0, reason: reasonOf(result), searchEnd: search?.reason })
    }
    const retryAfterMs = search?.retryAfterMs ?? busyRetryAfterMs
    match(result)
      .with({ kind: 'answer' }, ({ answer }) => reply.answer(answer, this.options.codecs.returnHeaders(answer.head)))
      .with({ kind: 'timeout' }, () => reply.refuse(504, 'no answer before the deadline'))
      .with({ kind: 'unknown' }, ({ reason }) => reply.refuse(502, reason))
      .with({ kind: 'not-run' }, { kind: 'unsent' }, ({ reason }) => exchange.mayHaveRun
        ? reply.refuse(502, reason)
        : reply.refuse(503, reason, this.retryAfterMs(request, retryAfterMs)))
      .otherwise(() => reply.refuse(503, search?.reason ?? 'no backend server', this.retryAfterMs(request, retryAfterMs)))
    this.finish(request, exchange, progress, { outcome: result?.kind ?? 'refused', status: reply.response.statusCode, reason: search?.reason ?? reasonOf(result) })
  }

  /** A time to return that leaves the client enough of its own. */
  private retryAfterMs (request: RelayRequest, wantedMs: number): number {
    const leftMs = Math.max(0, (request.facts.deadlineMs ?? request.route.timeoutMs) - (this.clock.nowMs() - request.arrivedAtMs))
    return Math.min(wantedMs, leftMs * longestRetryShare)
  }

  /** The best server for the request; waits while its model is being loaded. */
  private async findServer (
    request: RelayRequest, exchange: Exchange, progress: Progress, { isRepeat }: { isRepeat: boolean }
  ): Promise<Search> {
    const startedAtMs = this.clock.nowMs()
    try {
      return await this.searchServer(request, exchange, progress, { isRepeat, startedAtMs })
    } finally {
      progress.waitedMs += this.clock.nowMs() - startedAtMs
    }
  }

  private async searchServer (
    request: RelayRequest, exchange: Exchange, progress: Progress, { isRepeat, startedAtMs }: { isRepeat: boolean, startedAtMs: number }
  ): Promise<Search> {
    let selection = await this.chooseWithLeader(request, progress, { isFirst: !isRepeat, isLate: false })
    if (exchange.hasClientLeft) return { kind: 'left' }
    if (selection.server) return { kind: 'found', server: selection.server, chosenBy: selection.chosenBy }
    const { model, adapter } = request.facts
    if (model === undefined || !request.service.engine) return { kind: 'refused', reason: 'no backend server takes requests', retryAfterMs: busyRetryAfterMs }
    const known = request.service.engine.models.find(({ name }) => name === model)
    if (!known) {
      return { kind: 'refused', reason: `the service has no model ${model}`, retryAfterMs: startingRetryAfterMs }
    }
    const terms: WaitTerms = {
      isStream: request.route.kind === 'stream',
      objectiveMs: request.route.objectiveMs,
      gapObjectiveMs: request.route.gapObjectiveMs,
      silentSinceMs: exchange.lastEventAtMs ?? request.arrivedAtMs,
      lastSendAtMs: request.deadlineAtMs - minimumSendMs,
      startedAtMs,
      shortestLoadMs: Math.min(known.warmLoadMs, known.diskLoadMs, known.loadMs)
    }
    const waiting = this.options.demand.wait(request.service.name, model, adapter, request.route.rank)
    try {
      for (;;) {
        const expectedMs = this.options.demand.expectedReadyMs(request.service.name, model, adapter)
        const decision = decideWait(terms, this.clock.nowMs(), expectedMs)
        if (decision.kind === 'refuse') {
          if (expectedMs === undefined) this.options.demand.onMissing(request.service.name, model)
          const name = adapter === undefined ? model : `${model}/${adapter}`
          const reason = decision.reason === 'full' ? `all engines with ${name} are full` : `no engine is ready with ${name}`
          return { kind: 'refused', reason, retryAfterMs: decision.retryAfterMs }
        }
        // An answer that has begun can't be refused any more.
        if (this.isRefusing && !exchange.hasBegun) return { kind: 'refused', reason: 'this node is shutting down', retryAfterMs: 0 }
        // A begun answer goes before requests that can still be refused.
        const isLate = decision.isLate && !exchange.hasBegun
        const pauseMs = Math.max(selection.waitMs, isLate ? latePollMs : 0)
        await (pauseMs > waitPollMs ? sleep(this.clock, pauseMs) : this.options.demand.changeOrDelay(waitPollMs))
        if (exchange.hasClientLeft) return { kind: 'left' }
        selection = await this.chooseWithLeader(request, progress, { isFirst: false, isLate })
        if (exchange.hasClientLeft) return { kind: 'left' }
        if (selection.server) return { kind: 'found', server: selection.server, chosenBy: selection.chosenBy }
      }
    } finally {
      waiting.end()
    }
  }

  /** Servers of which one may get the request now. */
  private candidates (request: RelayRequest, progress: Progress): BackendServer[] {
    const { sends, tried, askableFromMs } = progress
    const able = this.able(request)
    const untried = sends < serverLimit(request, progress) ? able.filter(({ entry }) => !tried.has(entry.id)) : []
    if (untried.length > 0) return untried
    // One that refused may have room again, and one that was silent may go on; one that failed is not asked twice.
    const nowMs = this.clock.nowMs()
    return able.filter(({ entry }) => nowMs >= (askableFromMs.get(entry.id) ?? Infinity))
  }

  /** The leader's choice among the engines that can take the request, or this node's own. */
  private async chooseWithLeader (
    request: RelayRequest, progress: Progress, { isFirst, isLate }: { isFirst: boolean, isLate: boolean }
  ): Promise<Selection> {
    // The leader counts what comes for a model, also while no engine has it.
    const ask = isFirst || this.candidates(request, progress).length > 0 ? this.askOf(request, progress, { isFirst, isLate }) : undefined
    const choice = ask && await this.options.chooseForAll?.(ask)
    if (choice?.kind === 'wait') return { server: undefined, chosenBy: 'leader', waitMs: choice.forMs }
    // Meanwhile a server may have left or its last connection may be in use.
    const named = choice && this.candidates(request, progress).find(({ entry }) => entry.id === choice.id)
    return named ? { server: named, chosenBy: 'leader', waitMs: waitPollMs } : { server: this.choose(request, progress), chosenBy: 'node', waitMs: waitPollMs }
  }

  private askOf (
    request: RelayRequest, progress: Progress, { isFirst, isLate }: { isFirst: boolean, isLate: boolean }
  ): DispatchAsk | undefined {
    const { facts, route, service } = request
    const { model, adapter, promptTokens, sharedParts } = facts
    if (model === undefined || !service.engine) return undefined
    const { region, availabilityZone } = this.options.settings
    const failing = this.options.fleet.ofService(service.name).filter(server => server.failureShare > failingShare || !server.isUsable)
    const candidates = new Set(this.candidates(request, progress).map(({ entry }) => entry.id))
    const tried = [...progress.tried].filter(id => !candidates.has(id))
    const excluded = [...new Set([...tried, ...failing.map(({ entry }) => entry.id)])]
    return { service: service.name, model, adapter, promptTokens, sharedParts, rank: route.rank, region, availabilityZone, gapObjectiveMs: route.gapObjectiveMs, excluded, isFirst, isLate }
  }

  private choose (request: RelayRequest, progress: Progress): BackendServer | undefined {
    const { settings } = this.options
    const candidates = this.candidates(request, progress)
    if (candidates.length === 0) return undefined
    const baselineMs = Math.min(...candidates.map(server => server.smoothedDelayMs))
    const scored = candidates.map(server => ({
      id: server.entry.id,
      region: server.region,
      availabilityZone: server.entry.availabilityZone,
      slots: server.entry.slots,
      running: server.running + server.runningElsewhere,
      pendingTokens: server.pendingTokens,
      failureShare: server.failureShare,
      excessDelayMs: server.smoothedDelayMs - baselineMs,
      server
    }))
    return chooseBackend(scored, {
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      affinityKey: request.facts.sharedParts.at(-1)?.id,
      isEngine: request.service.engine !== undefined
    })?.server
  }

  /** Servers that can take the request now. */
  private able (request: RelayRequest): BackendServer[] {
    const { model, adapter } = request.facts
    return this.options.fleet.ofService(request.service.name).filter(server => server.isUsable && server.serves(model, adapter) &&
      this.hasConnection(request, server) && hasRoom(request, server))
  }

  /** Whether a connection is kept or may be opened: all nodes share the server's connections. */
  private hasConnection (request: RelayRequest, server: BackendServer): boolean {
    const share = Math.max(minimumConnections, Math.floor(request.service.maxConnections * connectionShare / Math.max(1, this.options.nodeCount())))
    return server.pool.openCount < share || server.pool.hasIdle
  }

  private budgetOf (service: string): RetryBudget {
    let budget = this.budgets.get(service)
    if (!budget) {
      const { share, windowMs, allowance } = this.options.settings.retryBudget
      budget = new RetryBudget({
        clock: this.clock,
        windowMs,
        share: () => share * budgetShare,
        allowance: () => allowance * budgetShare / Math.max(1, this.options.nodeCount())
      })
      this.budgets.set(service, budget)
    }
    return budget
  }

  private finish (
    request: RelayRequest, exchange: Exchange, progress: Progress,
    { outcome, status, reason, searchEnd }: { outcome: string, status: number, reason?: string | undefined, searchEnd?: string | undefined }
  ): void {
    const record: RequestRecord = {
      route: request.route.name,
      service: request.service.name,
      kind: request.route.kind,
      outcome,
      status,
      durationMs: Math.round(this.clock.nowMs() - request.arrivedAtMs),
      firstByteMs: exchange.firstByteMs === undefined ? undefined : Math.round(exchange.firstByteMs),
      longestGapMs: Math.round(exchange.longestGapMs),
      waitedMs: Math.round(progress.waitedMs),
      attempts: progress.sends
    }
    this.options.onFinished?.(record)
    const isPlain = outcome === 'done' && progress.sends === 1 && record.waitedMs < waitPollMs &&
      (record.firstByteMs ?? 0) <= request.route.objectiveMs && record.longestGapMs <= (request.route.gapObjectiveMs ?? Infinity)
    if (isPlain && this.plainRequests++ % plainSample !== 0) return
    this.options.log('info', isPlain ? 'request served (sample)' : 'request ended', {
      request: request.facts.requestId,
      ...record,
      rank: request.route.rank,
      deadlineMs: Math.round(request.deadlineAtMs - request.arrivedAtMs),
      model: request.facts.model,
      adapter: request.facts.adapter,
      promptTokens: request.facts.promptTokens,
      configVersion: this.deployment?.version,
      sends: progress.attempts,
      readAfterMs: Math.round(request.readAtMs - request.arrivedAtMs),
      lastEventId: exchange.lastEventId,
      silentMs: exchange.silentMs === undefined ? undefined : Math.round(exchange.silentMs),
      loopDelayMs: Math.round(this.options.loopDelayMs?.() ?? 0),
      isStopping: this.isClosing,
      reason,
      searchEnd
    })
  }
}

/** Servers that may get the request. One that does not hold the model leaves room for another. */
function serverLimit ({ route }: RelayRequest, { wasMisdirected }: Progress): number {
  return route.maxAttempts + (wasMisdirected ? 1 : 0)
}

/** Whether the server can begin the request soon: engines queue what exceeds their batch, and callers leave meanwhile. */
function hasRoom ({ service, route }: RelayRequest, server: BackendServer): boolean {
  if (!service.engine) return true
  return server.running + server.runningElsewhere < service.engine.slots * batchShare(route.rank)
}

function reasonOf (result: AttemptResult | undefined): string | undefined {
  return result && 'reason' in result ? result.reason : undefined
}

/** The request's body, once it is complete. */
async function readBody (request: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | 'left'> {
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes > maxBytes) return 'too-large'
      chunks.push(chunk)
    }
  } catch {
    // The client closed the connection, so there is nobody to answer.
    return 'left'
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
}

/** Answers of the node itself, and of backend servers as a whole. */
class Reply {
  constructor (readonly request: IncomingMessage, readonly response: ServerResponse) {}

  refuse (status: number, reason: string, retryAfterMs?: number): void {
    if (this.response.destroyed) return
    const body = JSON.stringify({ error: reason })
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))]
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(2))
    // An unread body would be taken for the next request.
    if (!this.request.complete) headers.push('Connection', 'close')
    this.response.writeHead(status, headers)
    this.response.end(body)
  }

  answer (answer: EngineAnswer, headers: string[]): void {
    if (!this.response.destroyed) returnAnswer(this.response, answer, headers)
  }
}
