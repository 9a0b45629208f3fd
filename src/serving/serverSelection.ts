/** Selects the backend server for each attempt of a request: by the placement leader's dispatch decision, or by this node. */

import { sleep } from '../base/clock.js'
import { batchShare, chooseBackend } from '../policy/engineChoice.js'
import type { DispatchRequest, PromptPart } from '../policy/dispatcher.js'
import type { QueuePlace } from '../policy/slotQueue.js'
import { fitsTokens } from '../policy/tokenLedger.js'
import { lateAtMs, maxStatedWaitMs, waitUntilMs } from '../policy/waitForEngine.js'
import { trialPollMs } from '../policy/partQuarantine.js'
import type { PartCheck, SuspectCheck } from '../policy/partQuarantine.js'
import { versionOf } from './backendServer.js'
import type { BackendServer } from './backendServer.js'
import type { QueuedSlot } from './queuedSlot.js'
import type { ProxiedRequest, RequestProxyOptions } from './requestProxy.js'
import type { AttemptTrace } from './requestRecord.js'
import type { TakeUp } from './streamVersions.js'

/** Interval at which a waiting request looks for an engine again. */
export const waitPollMs = 25
/** Share of a backend server's connections that the nodes use; the rest is for the old connections of restarted nodes, which stay open for a while. */
const connectionShare = 0.9
const minimumConnections = 4
/** Usual time until a backend server starts its response; a request with less time left is not sent. */
export const minimumAttemptMs = 20
/** Share of the objective within which the leader's first reply must arrive, and its limits: a few round trips between regions. */
const firstReplyShare = 0.25
const minimumFirstReplyMs = 70
const maxFirstReplyMs = 150
/** Time within which a request whose leader was lost finds the next one; then its node chooses. */
const nextLeaderMs = 150
/** Interval at which a queued request looks whether its client and its patience are still there. */
export const slotCheckMs = 50
/** Shortest time between two requests for a slot, when servers that were excluded may be chosen again. */
const minimumAskIntervalMs = 100
/** A server with a larger recent share of failures on this node is excluded from dispatch, whatever the other nodes observe. */
const failingShare = 0.35

/** What is known of a request's attempts so far. */
export interface Progress {
  /** Attempts in which a server may have received the request. */
  sends: number
  waitedMs: number
  tried: Set<string>
  /** Tried servers that rejected the request without running it or were unresponsive, with the time from which they may be tried again. */
  retryableFromMs: Map<string, number>
  /** Whether the last server reported that it is not the expected server or does not hold the model. */
  wasMisdirected: boolean
  /** Engines that ended before or when they began to answer. */
  ends: number
  attempts: AttemptTrace[]
  /** Requests for a slot in the placement leader's queue. */
  slots: QueuedSlot[]
  /** The only software version whose servers may still answer; `undefined` while any may. */
  version: string | undefined
  /** Whether the answer to the client has begun. */
  hasBegun: boolean
  /** What was found out about the stream that the request takes up. */
  takeUp?: TakeUp | undefined
}

/** A search that waits in the placement leader's queue. */
export interface QueueWait {
  lastProgressAtMs: number
  hasBegun: boolean
  /** The place that it has. */
  slot?: QueuedSlot | undefined
}

/** What the leader has reserved at a server. One of the functions must be called once. */
export interface Assignment {
  /** The server does not run the request. */
  cancel (): void
  /** The attempt has ended. */
  end (): void
}

/** A server for the next attempt, or the time until the next search. */
export interface Selection {
  server: BackendServer | undefined
  chosenBy: AttemptTrace['chosenBy']
  /** Time until the next search if there is no server. */
  waitMs: number
  /** ID of the trial as which the request may be sent. */
  trial?: string | undefined
  /** The place in the leader's queue. */
  slot?: QueuedSlot
  /** What the leader has reserved for the attempt; absent if this node chose the server. */
  assignment?: Assignment | undefined
  /** Time until an engine has free capacity, as the leader states it. */
  statedWaitMs?: number
  /** The leader refuses the request: time after which the client may return. */
  refusedMs?: number
  /** Prefill time that the leader expected with a delay factor of 1. */
  priorMs?: number | undefined
  /** What keeps a request with these prompt parts from being sent now. */
  heldBy?: Exclude<PartCheck, { kind: 'clear' }>
}

export type ServerSelectionOptions = Pick<RequestProxyOptions, 'clock' | 'fleet' | 'quarantine' | 'mayTryAlone' | 'settings' | 'nodeCount' | 'requestDispatch' | 'requestSlot' | 'learned' | 'random' | 'streams'>

export class ServerSelection {
  private readonly options: ServerSelectionOptions

  constructor (options: ServerSelectionOptions) {
    this.options = options
  }

  /** Servers that may be tried next. */
  candidates (request: ProxiedRequest, progress: Progress): BackendServer[] {
    const { sends, tried, retryableFromMs } = progress
    const availableServers = this.availableServers(request, progress)
    const untried = sends < maxServers(request, progress) ? availableServers.filter(({ entry }) => !tried.has(entry.id)) : []
    if (untried.length > 0) return untried
    // A server that rejected the request may have free capacity again, and an unresponsive one may have recovered. A server that failed is not tried twice.
    const nowMs = this.options.clock.nowMs()
    return availableServers.filter(({ entry }) => nowMs >= (retryableFromMs.get(entry.id) ?? Infinity))
  }

  /** Servers to which the leader's queue may assign the request. The leader knows their free slots better than this node. */
  private queueCandidates (request: ProxiedRequest, progress: Progress): BackendServer[] {
    const { sends, tried, retryableFromMs } = progress
    const nowMs = this.options.clock.nowMs()
    const mayTryOthers = sends < maxServers(request, progress)
    return this.reachableServers(request, progress).filter(({ entry: { id } }) => tried.has(id) ? nowMs >= (retryableFromMs.get(id) ?? Infinity) : mayTryOthers)
  }

  /** Selects a server by the leader's dispatch decision, or locally if there is none. With `wait`, the request waits in the leader's queue if there is one. */
  async select (
    request: ProxiedRequest, progress: Progress, { isFirst, isLate, wait }: { isFirst: boolean, isLate: boolean, wait?: QueueWait }
  ): Promise<Selection> {
    const early = this.checkParts(request)
    if (early.refusal) return early.refusal
    if (wait && this.waitsInQueue(request)) return this.selectFromQueue(request, progress, { isFirst, isLate, wait })
    // The leader measures the demand for a model by these requests, also while no engine holds it.
    const candidates = needsEngine(request) ? this.candidates(request, progress) : []
    const dispatchRequest = isFirst || candidates.length > 0 ? this.dispatchRequestOf(request, progress, candidates, { isFirst, isLate }) : undefined
    const decision = dispatchRequest && await this.options.requestDispatch?.(dispatchRequest)
    const { trial, priorMs, giveBack } = decision?.kind === 'engine' ? decision : {}
    // Meanwhile a verdict may have been made.
    const { check, heldBy, refusal } = this.checkParts(request)
    if (refusal) {
      giveBack?.()
      this.endTrial(trial)
      return refusal
    }
    if (decision?.kind === 'wait') return { server: undefined, chosenBy: 'leader', waitMs: Math.min(decision.forMs, maxStatedWaitMs), statedWaitMs: decision.forMs, ...heldBy }
    // Meanwhile the server may have been removed, or its last free connection may be in use.
    const chosen = decision && this.candidates(request, progress).find(({ entry }) => entry.id === decision.id)
    const isOwnTrial = check.kind === 'suspect' && trial === undefined
    if (chosen && !isOwnTrial) return { server: chosen, chosenBy: 'leader', waitMs: waitPollMs, trial, priorMs, assignment: giveBack && { cancel: giveBack, end: () => {} } }
    giveBack?.()
    if (isOwnTrial) return this.selectForOwnTrial(request, progress, check)
    const server = this.chooseLocally(request, progress)
    if (!server) this.endTrial(trial)
    return { server, chosenBy: 'node', waitMs: waitPollMs, ...(server ? { trial } : heldBy) }
  }

  /** What keeps the request from being sent now, and the selection for one with quarantined parts. */
  private checkParts (request: ProxiedRequest): { check: PartCheck, heldBy: Pick<Selection, 'heldBy'>, refusal?: Selection } {
    const check = this.options.quarantine.check(this.evidenceParts(request))
    const heldBy = check.kind === 'clear' ? {} : { heldBy: check }
    return { check, heldBy, ...(check.kind === 'refused' ? { refusal: { server: undefined, chosenBy: 'node', waitMs: 0, ...heldBy } } : {}) }
  }

  private endTrial (trial: string | undefined): void {
    if (trial !== undefined) this.options.quarantine.endTrial(trial)
  }

  /** Whether the leader keeps a queue in which the request waits for an engine. */
  waitsInQueue (request: ProxiedRequest): boolean {
    return this.options.requestSlot !== undefined && needsEngine(request)
  }

  /** Whether there may be another server for a request in progress. */
  mayMove (request: ProxiedRequest, progress: Progress): boolean {
    return this.waitsInQueue(request) ? this.queueCandidates(request, progress).length > 0 : this.chooseLocally(request, progress) !== undefined
  }

  /**
   * Selects another server for a request in progress. Where the leader keeps a queue, the request waits there until `isNeeded` no longer
   * holds, and an assignment comes with its slot.
   */
  async selectMove (request: ProxiedRequest, progress: Progress, wait: QueueWait, isNeeded: () => boolean): Promise<Selection> {
    const options = { isFirst: false, isLate: false }
    if (!this.waitsInQueue(request)) return await this.select(request, progress, options)
    let selection = await this.select(request, progress, { ...options, wait })
    while (!selection.server && selection.slot && isNeeded()) {
      await selection.slot.wait(slotCheckMs)
      if (isNeeded()) selection = await this.select(request, progress, { ...options, wait: { ...wait, slot: selection.slot } })
    }
    const { server, trial } = selection
    // A request in progress elsewhere cannot be a trial, which is a request's only attempt.
    if (server && trial === undefined && isNeeded()) return selection
    selection.slot?.cancel()
    selection.assignment?.cancel()
    this.endTrial(trial)
    // The time of a refusal is for clients: while the request is in progress, an engine may become free at any time.
    return { server: undefined, chosenBy: 'queue', waitMs: selection.waitMs }
  }

  private async selectFromQueue (
    request: ProxiedRequest, progress: Progress, { isFirst, isLate, wait }: { isFirst: boolean, isLate: boolean, wait: QueueWait }
  ): Promise<Selection> {
    const slot = await this.slotFor(request, progress, { isFirst, isLate, wait })
    const { answer } = slot ?? {}
    const trial = answer?.kind === 'engine' ? answer.trial : undefined
    const giveBack = () => {
      slot?.cancel()
      this.endTrial(trial)
    }
    // Meanwhile a verdict may have been made.
    const { check, heldBy, refusal } = this.checkParts(request)
    if (refusal) {
      giveBack()
      return refusal
    }
    if (!slot || answer?.kind === 'lost') {
      if (check.kind === 'suspect') return this.selectForOwnTrial(request, progress, check)
      return { server: this.chooseLocally(request, progress), chosenBy: 'node', waitMs: waitPollMs, ...heldBy }
    }
    if (!answer) return { server: undefined, chosenBy: 'queue', waitMs: slotCheckMs, slot, ...heldBy }
    if (answer.kind === 'refused') return { server: undefined, chosenBy: 'queue', waitMs: 0, refusedMs: answer.retryAfterMs, ...heldBy }
    const server = this.queueCandidates(request, progress).find(({ entry }) => entry.id === answer.id)
    if (!server || (check.kind === 'suspect' && trial === undefined)) {
      // The server was removed or has no connection left, or the leader does not know the suspicion yet. The request asks again.
      giveBack()
      return { server: undefined, chosenBy: 'queue', waitMs: trialPollMs, ...heldBy }
    }
    return { server, chosenBy: slot.wasQueued ? 'queue' : 'leader', waitMs: waitPollMs, trial, priorMs: answer.priorMs, assignment: slot }
  }

  /** The request's place in the leader's queue, or an assignment; `undefined` if there is no leader or no reply in time. */
  private async slotFor (
    request: ProxiedRequest, progress: Progress, { isFirst, isLate, wait }: { isFirst: boolean, isLate: boolean, wait: QueueWait }
  ): Promise<QueuedSlot | undefined> {
    const { clock, requestSlot } = this.options
    const { slot: known } = wait
    if (known?.answer && known.answer.kind !== 'lost') return known
    const candidates = this.queueCandidates(request, progress)
    const dispatchRequest = isFirst || candidates.length > 0 ? this.dispatchRequestOf(request, progress, candidates, { isFirst, isLate, isQueued: true }) : undefined
    if (known && !known.answer) {
      const mayAskAgain = clock.nowMs() - known.askedAtMs >= minimumAskIntervalMs
      if (!dispatchRequest || !mayAskAgain || known.excluded.every(id => dispatchRequest.excluded.includes(id))) return known
    }
    if (!dispatchRequest || !requestSlot) return undefined
    const { route: { objectiveMs } } = request
    const timeoutMs = Math.min(maxFirstReplyMs, Math.max(minimumFirstReplyMs, objectiveMs * firstReplyShare))
    const untilMs = clock.nowMs() + (known?.answer?.kind === 'lost' ? nextLeaderMs : 0)
    for (;;) {
      const slot = await requestSlot(dispatchRequest, this.placeOf(request, wait), timeoutMs)
      if (slot) progress.slots.push(slot)
      // Without a reply, the request keeps the place that it has.
      if (!slot && known && known.answer?.kind !== 'lost') return known
      known?.cancel()
      if ((slot && slot.answer?.kind !== 'lost') || clock.nowMs() >= untilMs) return slot
      await sleep(clock, waitPollMs)
    }
  }

  private placeOf ({ account, metadata, route, deadlineAtMs }: ProxiedRequest, { lastProgressAtMs, hasBegun }: QueueWait): QueuePlace {
    const nowMs = this.options.clock.nowMs()
    const { objectiveMs, gapObjectiveMs } = route
    const untilMs = waitUntilMs({ isStream: route.kind === 'stream', objectiveMs, gapObjectiveMs, lastProgressAtMs, lastAttemptAtMs: deadlineAtMs - minimumAttemptMs })
    const inTimeMs = lateAtMs({ lastProgressAtMs, objectiveMs }) - nowMs
    // Without a token count, an account whose requests cost nothing would go ahead of all others.
    const costTokens = metadata.promptTokens + metadata.outputTokens || account?.quota?.plainTokens || 1
    return { account: account?.name, costTokens, leftMs: untilMs - nowMs, inTimeMs, hasBegun, answerLeftMs: deadlineAtMs - nowMs }
  }

  /** A trial without a leader that grants it. */
  private selectForOwnTrial (request: ProxiedRequest, progress: Progress, check: SuspectCheck): Selection {
    const { quarantine } = this.options
    const held = { server: undefined, chosenBy: 'node', waitMs: trialPollMs, heldBy: check } as const
    const server = this.options.mayTryAlone(check) ? this.chooseLocally(request, progress) : undefined
    const trial = server && quarantine.beginTrial(check)
    return trial ? { server, chosenBy: 'node', waitMs: trialPollMs, trial: trial.id } : held
  }

  private dispatchRequestOf (
    request: ProxiedRequest, progress: Progress, candidates: readonly BackendServer[], { isFirst, isLate, isQueued = false }: { isFirst: boolean, isLate: boolean, isQueued?: boolean }
  ): DispatchRequest | undefined {
    const { metadata, route, rank, service } = request
    const { model, adapter, promptTokens, outputTokens, sharedParts } = metadata
    // Clients name models: for others than those of the configuration, the leader would keep state that nobody needs.
    if (model === undefined || !service.engine?.models.some(({ name }) => name === model)) return undefined
    const { region, availabilityZone } = this.options.settings
    const failing = this.options.fleet.ofService(service.name).filter(server => server.failureShare > failingShare || !server.isUsable || !this.mayAnswer(request, progress, server))
    const candidateIds = new Set(candidates.map(({ entry }) => entry.id))
    const tried = [...progress.tried].filter(id => !candidateIds.has(id))
    const excluded = [...new Set([...tried, ...failing.map(({ entry }) => entry.id)])]
    const identity = this.options.quarantine.hasEvidence ? request.identity() : undefined
    // After its last attempt on another server, the request may only return to one that rejected it.
    const only = isQueued && progress.sends >= maxServers(request, progress) ? [...candidateIds] : undefined
    return { service: service.name, model, adapter, promptTokens, outputTokens, sharedParts, identity, rank, region, availabilityZone, gapObjectiveMs: route.gapObjectiveMs, excluded, only, isFirst, isLate }
  }

  chooseLocally (request: ProxiedRequest, progress: Progress): BackendServer | undefined {
    const { settings, learned, random } = this.options
    const candidates = this.candidates(request, progress).filter(server => this.hasTokenMemory(request, server))
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
      ownDelayMs: server.smoothedDelayMs,
      ...(learned ? { learned: learned.table.of(server.entry.id, server.entry.slots) } : {}),
      server
    }))
    return chooseBackend(scored, {
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      affinityKey: request.metadata.sharedParts.at(-1)?.id,
      isEngine: request.service.engine !== undefined,
      ...(learned && random ? { learned: { pace: learned.table.paceOf(request.service.name, request.metadata.model ?? ''), promptTokens: request.metadata.promptTokens, random } } : {})
    })?.server
  }

  /** Servers that can accept the request now. */
  availableServers (request: ProxiedRequest, progress: Progress): BackendServer[] {
    return this.reachableServers(request, progress).filter(server => hasCapacity(request, server))
  }

  /** Servers that serve the request's model and to which this node has a connection, or may open one. */
  private reachableServers (request: ProxiedRequest, progress: Progress): BackendServer[] {
    const { model, adapter } = request.metadata
    return this.options.fleet.ofService(request.service.name).filter(server => server.isUsable && server.serves(model, adapter) && this.hasConnection(request, server) && this.mayAnswer(request, progress, server))
  }

  /** Whether the server's software version may answer the request: what two versions write does not fit together. */
  mayAnswer (request: ProxiedRequest, { version, hasBegun }: Progress, server: BackendServer): boolean {
    const { entry } = server
    if (version !== undefined && !this.isOfVersion(server, version)) return false
    const { streams } = this.options
    if (hasBegun || !streams || !isResumable(request)) return true
    // A stream that begins there would be recorded with the version of the entry.
    return streams.mayBegin(request.service.name, versionOf(entry)) && !streams.mayHaveRestarted(server)
  }

  /** Whether a server of the only version that may answer holds the request's model or is loading it. */
  isVersionServed (request: ProxiedRequest, { version }: Progress): boolean {
    const { model } = request.metadata
    if (version === undefined) return true
    return this.options.fleet.ofService(request.service.name).some(server => {
      const isLoaded = model === undefined || !request.service.engine || server.replicas.get(model)?.isUnloading === false
      return isLoaded && server.isPresent && this.isOfVersion(server, version)
    })
  }

  private isOfVersion (server: BackendServer, version: string): boolean {
    return versionOf(server.entry) === version && !(this.options.streams?.mayHaveRestarted(server) ?? false)
  }

  /** Whether an engine has token memory for the request, as far as this node knows. The leader's own choices rest on newer values. */
  private hasTokenMemory ({ service: { engine }, metadata }: ProxiedRequest, server: BackendServer): boolean {
    const { learned } = this.options
    if (!engine || !learned) return true
    return fitsTokens(metadata, server.heldTokens, engine.cacheTokens)
  }

  /** Whether there is an idle connection, or one may be opened within this node's share of the server's connections. */
  private hasConnection (request: ProxiedRequest, server: BackendServer): boolean {
    const share = Math.max(minimumConnections, Math.floor(request.service.maxConnections * connectionShare / Math.max(1, this.options.nodeCount())))
    return server.pool.openCount < share || server.pool.hasIdle
  }

  /** What evidence may concern: the identity of the request, while there is any evidence, and the shared parts of its prompt. */
  evidenceParts (request: ProxiedRequest): readonly Pick<PromptPart, 'id'>[] {
    return this.options.quarantine.hasEvidence ? identified(request) : request.metadata.sharedParts
  }

  /** Time until the first server that could run the request wants requests from this node; 0 if one does or none exists. */
  pauseLeftMs (request: ProxiedRequest): number {
    const { model, adapter } = request.metadata
    const servers = this.options.fleet.ofService(request.service.name).filter(server => server.isPresent && server.serves(model, adapter))
    return servers.length === 0 ? 0 : Math.min(...servers.map(server => server.pauseLeftMs))
  }
}

/** Whether only engines that hold a model can serve the request. */
function needsEngine ({ service, metadata }: ProxiedRequest): boolean {
  return service.engine !== undefined && metadata.model !== undefined
}

/** Whether clients may take up the request's answer after it was cut. */
export function isResumable ({ route }: ProxiedRequest): boolean {
  return route.kind === 'stream' && route.resumable
}

/** Maximum number of servers that may be tried. A server that turned out not to hold the model does not count. */
export function maxServers ({ route }: ProxiedRequest, { wasMisdirected }: Progress): number {
  return route.maxAttempts + (wasMisdirected ? 1 : 0)
}

/** Whether the server can start the request soon: engines queue requests beyond their batch, where clients would time out. */
function hasCapacity ({ service, rank }: ProxiedRequest, server: BackendServer): boolean {
  if (!service.engine) return true
  return server.running + server.runningElsewhere < service.engine.slots * batchShare(rank)
}

/** Identity of the request, and the shared parts of its prompt. */
export function identified ({ identity, metadata: { sharedParts } }: ProxiedRequest): Pick<PromptPart, 'id'>[] {
  return [{ id: identity() }, ...sharedParts]
}
