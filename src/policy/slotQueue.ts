/** Queue of the requests of all nodes that wait for an engine. The placement leader keeps it, and assigns engines as slots become free. */

import type { CancelTimer, Clock } from '../base/clock.js'
import { AssignmentRates } from './assignmentRates.js'
import type { DispatchDecision, DispatchRequest } from './dispatcher.js'
import { LeastRunTime } from './leastRunTime.js'
import { RequestQueue } from './queue.js'
import type { DispatchCheck, QueueItem } from './queue.js'

/** Interval of the search for free slots while requests wait. */
const passIntervalMs = 20
/** Shortest time between the starts of two passes that freed slots cause; under load hundreds are freed each second. */
const minimumPassGapMs = 10
/** A pass starts no earlier than this many times the duration of the last one after its end, so that a leader with little processor time gets to its other work. */
const passRestFactor = 10
/** Longest time between two passes for that reason. */
const maxPassRestMs = 100
/** Duration after which a pass stops. The next one goes on with the models that it did not reach. */
const maxPassMs = 5
/** Requests under suspicion that one pass tries. */
const maxHeldPerPass = 8
/** Requests of up to this many tokens are in the first token class; each further class is for twice as many. */
const firstClassTokens = 1024
const lastTokenClass = 6
const tokenClasses = Array.from({ length: lastTokenClass + 1 }, (_, index) => index)
/** Time for which a request may lack only token memory until an engine is reserved for it; smaller ones would take its tokens for ever. */
const maxTokenWaitMs = 300
/** Duration of a reservation. Afterwards an engine is chosen anew, since the reserved one may be gone or hold long requests. */
const maxReservationMs = 2000
/** An assignment whose end was never announced is forgotten after this time, longer than any request. */
const maxAssignmentMs = 600_000
/** Ranks from this number on share one place in the order. The platform's ranks are small numbers. */
const leastUrgentRank = 9
/** Rank of answers that have begun. */
const begunRank = -1
const slotRanks = Array.from({ length: leastUrgentRank + 2 }, (_, index) => index + begunRank)
/** Share of the demand of each rank that is served even if more urgent ranks need all slots; accounts may not fall below a quarter of the mean. */
const guaranteedShare = 0.3
/** Time for which requests for a model must have waited, and assignments that must have been made meanwhile, until its rate is known. */
const minimumRateMs = 1000
const minimumRateCount = 8
/** Time without assignments of a model after which its rate says nothing: engines may be about to return. */
const maxRateGapMs = 1000
/** A request is refused only if its expected wait exceeds the time left by this factor, since the rate varies. */
const clearRefusalFactor = 1.5
/** Interval at which a waiting request is checked for whether it can still be served in time. */
const judgeIntervalMs = 100
/** Waiting requests that one pass checks. */
const maxJudgedPerPass = 64
/** Time for these checks even if the search has used up the time of the pass: they make the queue shorter. */
const minimumJudgeMs = 1
/** Time for which no engine may have had a model until requests are refused for it: entries return, and a new leader learns what engines hold. */
const minimumGoneMs = 500
/** Time for which the last check of a model counts: with thousands of waiting requests, some are checked only every second. */
const presenceLifetimeMs = 2000
/** Loads may end this much earlier than expected. */
const loadMarginMs = 250
const minimumRetryAfterMs = 250
const maxRetryAfterMs = 5000
/** `retryAfterMs` for a request whose patience has ended. */
const expiredRetryAfterMs = 1200

/** What the order of waiting requests depends on. */
export interface QueuePlace {
  /** Account of the request; requests without one share a place. */
  account: string | undefined
  costTokens: number
  /** Time for which the request still waits. */
  leftMs: number
  /** Time until the request can no longer meet its objective. */
  inTimeMs: number
  /** Whether the client has received part of the answer. */
  hasBegun: boolean
  /** Time until the answer must be complete; absent if only `leftMs` counts. */
  answerLeftMs?: number | undefined
}

/** `no-engine`: no engine has the model, and none can have it in time. */
export type RefusalReason = 'hopeless' | 'expired' | 'no-engine'

export type SlotAnswer =
  | Extract<DispatchDecision, { kind: 'engine' }>
  | { kind: 'refused', retryAfterMs: number }
  /** This queue does not exist any more. */
  | { kind: 'lost' }

export interface SlotRequest {
  /** Identifies the request among all nodes. */
  id: string
  dispatch: DispatchRequest
  place: QueuePlace
  /** Called once, possibly before `submit` returns. */
  onAnswer: (answer: SlotAnswer) => void
}

interface Entry extends QueueItem<number> {
  request: SlotRequest
  /** `SERVICE/MODEL`, over which the rate is measured. */
  rateKey: string
  /** The same for its rank and account. */
  accountKey: string
  /** What decides which engines may take it, apart from its tokens. `model` is this with the token class. */
  engineKey: string
  tokenClass: number
  /** Since when it has lacked only token memory. */
  lacksTokensSinceMs?: number
  /** Time until which its answer must be complete. */
  answerByMs: number
  decision?: Extract<DispatchDecision, { kind: 'engine' }>
}

/** Whether engines have a model. */
interface ModelPresence {
  checkedAtMs: number
  /** Shortest time until an engine has the model, at the last check. */
  soonestMs: number
  /** Since when no engine has had it. */
  goneSinceMs: number | undefined
}

interface Assignment {
  dispatch: DispatchRequest
  decision: Extract<DispatchDecision, { kind: 'engine' }>
  atMs: number
}

export interface SlotQueueOptions {
  clock: Clock
  /** Assigns the request to an engine other than the reserved one, or says why it must wait. */
  decide: (request: DispatchRequest, reservedEngine: string | undefined) => DispatchDecision | undefined
  /** Shortest time until an engine can have the model: 0 if one has it or if that is not known. Absent: engines always have it. */
  soonestMs?: ((request: DispatchRequest) => number) | undefined
  /** Takes back an assignment whose request the engine did not run. */
  onReturned: (request: DispatchRequest, decision: Extract<DispatchDecision, { kind: 'engine' }>) => void
  /** An assignment is gone with its node. */
  onDropped?: ((request: DispatchRequest, engine: string) => void) | undefined
  /** Called once for each assignment that is over or no longer counts, whether or not it was used. */
  onReleased?: ((decision: Extract<DispatchDecision, { kind: 'engine' }>) => void) | undefined
  onAssigned?: ((queuedMs: number) => void) | undefined
  onRefused?: ((reason: RefusalReason, request: SlotRequest) => void) | undefined
}

export class SlotQueue {
  private readonly options: SlotQueueOptions
  private readonly clock: Clock
  private readonly queue: RequestQueue<Entry>
  private readonly entries = new Map<string, Entry>()
  /** Entries whose prompt parts are under suspicion; they are tried in turn. */
  private readonly held = new Map<string, Entry>()
  private readonly rates: AssignmentRates
  private readonly presences = new Map<string, ModelPresence>()
  /** Assignments whose requests have not ended, oldest first. */
  private readonly assignments = new Map<string, Assignment>()
  /** Number of them by engine. */
  private readonly assignedCounts = new Map<string, number>()
  /** The smallest token class, by rank and model, without a place in the current pass, and in the one before if that was cut short. */
  private readonly blocked = new Map<string, number>()
  /** The engine that is kept free of other requests until this one fits. */
  private reservation: { entry: Entry, engine: string, endsAtMs: number } | undefined
  private wasCut = false
  private readonly leastRunTime: LeastRunTime
  /** Entries that the current round of checks has yet to reach. */
  private toJudge: Entry[] = []
  private judgedAtMs = -Infinity
  /** Earliest start of the next pass; infinite during a pass. */
  private nextPassFromMs = -Infinity
  /** Time of the next pass, if its timer runs. */
  private passAtMs = Infinity
  private cancelTimer: CancelTimer | undefined

  constructor (options: SlotQueueOptions) {
    this.options = options
    this.clock = options.clock
    this.rates = new AssignmentRates(options.clock)
    this.leastRunTime = new LeastRunTime(options.clock)
    this.queue = new RequestQueue<Entry>({
      clock: options.clock,
      ranks: slotRanks,
      shareOf: rank => ({ requestValue: -rank, minimumShare: rank === begunRank ? 1 : guaranteedShare })
    })
  }

  /** Number of waiting requests. */
  get size (): number {
    return this.entries.size
  }

  /** Answers the request at once if an engine takes it or if it clearly cannot be served in time. Returns whether it waits otherwise. */
  submit (request: SlotRequest): boolean {
    const entry = this.entryOf(request)
    this.queue.recordDemand(entry.rank)
    this.queue.add(entry)
    this.entries.set(request.id, entry)
    this.countWaiting(entry, 1)
    // Only this model: a search for all of them at each arrival would cost more than the wait until the next pass.
    this.assign(new Map(), this.clock.nowMs() + maxPassMs, new Set(modelsOf(entry)))
    if (!this.entries.has(request.id)) return false
    if (this.refuseIfHopeless(entry)) return false
    this.schedulePass(this.clock.nowMs() + passIntervalMs)
    return true
  }

  /** The request no longer needs an engine: it leaves the queue, or its assignment is taken back. Returns whether it was an assignment. */
  cancel (id: string): boolean {
    const entry = this.entries.get(id)
    if (entry) {
      this.detach(entry)
      return false
    }
    const assignment = this.assignments.get(id)
    if (!assignment) return false
    this.release(id, assignment)
    this.options.onReturned(assignment.dispatch, assignment.decision)
    this.onCapacity()
    return true
  }

  /** The attempt for which an engine was assigned has ended, so its slot is free. */
  end (id: string): void {
    const assignment = this.assignments.get(id)
    if (!assignment) return
    const { dispatch, atMs } = assignment
    this.leastRunTime.record(rateKeyOf(dispatch), dispatch.outputTokens ?? 0, this.clock.nowMs() - atMs)
    this.release(id, assignment)
    this.onCapacity()
  }

  /** Number of assignments to the engine whose requests have not ended. */
  assignedTo (engine: string): number {
    return this.assignedCounts.get(engine) ?? 0
  }

  private release (id: string, { decision }: Assignment): void {
    this.assignments.delete(id)
    const count = this.assignedTo(decision.id) - 1
    if (count > 0) this.assignedCounts.set(decision.id, count)
    else this.assignedCounts.delete(decision.id)
    this.options.onReleased?.(decision)
  }

  /** Removes the requests of a node whose connection has closed. The node's next reports show which of them are running. */
  drop (isDropped: (id: string) => boolean): void {
    for (const [id, assignment] of [...this.assignments]) {
      if (!isDropped(id)) continue
      this.release(id, assignment)
      this.options.onDropped?.(assignment.dispatch, assignment.decision.id)
    }
    for (const entry of [...this.entries.values()]) if (isDropped(entry.requestId)) this.detach(entry)
  }

  /** Slots may have become free: an engine has less load or a new replica. */
  onCapacity (): void {
    if (this.entries.size === 0) return
    const nowMs = this.clock.nowMs()
    if (nowMs >= this.nextPassFromMs) this.pass()
    else this.schedulePass(nowMs)
  }

  /** Ends the queue; its requests are answered with `lost`. */
  stop (): void {
    this.cancelPass()
    for (const entry of [...this.entries.values()]) {
      this.detach(entry)
      entry.request.onAnswer({ kind: 'lost' })
    }
  }

  /** Assigns free slots in order, for a bounded time. */
  pass (): void {
    const startMs = this.clock.nowMs()
    // An answer may free slots at once, which must not start a pass within this one.
    this.nextPassFromMs = Infinity
    this.cancelPass()
    try {
      this.runPass(startMs)
    } finally {
      const endMs = this.clock.nowMs()
      this.nextPassFromMs = Math.max(startMs + minimumPassGapMs, endMs + Math.min(maxPassRestMs, passRestFactor * (endMs - startMs)))
      if (this.entries.size > 0) this.schedulePass(endMs + passIntervalMs)
    }
  }

  private runPass (nowMs: number): void {
    for (const entry of this.queue.removeExpired(nowMs)) this.refuse(entry, 'expired', expiredRetryAfterMs)
    this.tryReserved()
    if (!this.wasCut) this.blocked.clear()
    this.wasCut = !this.assign(this.blocked, nowMs + maxPassMs)
    this.tryHeld(nowMs)
    this.judge(nowMs)
    for (const [id, assignment] of this.assignments) {
      if (nowMs - assignment.atMs <= maxAssignmentMs) break
      this.release(id, assignment)
    }
    this.rates.expire()
    this.leastRunTime.expire()
    for (const [key, { checkedAtMs }] of this.presences) if (nowMs - checkedAtMs > presenceLifetimeMs) this.presences.delete(key)
  }

  /** Refuses waiting requests that cannot be served in time any more. Each is checked at intervals, a part of them in each pass. */
  private judge (nowMs: number): void {
    if (this.toJudge.length === 0 && nowMs - this.judgedAtMs >= judgeIntervalMs) {
      this.judgedAtMs = nowMs
      this.toJudge = [...this.entries.values()]
    }
    const untilMs = Math.max(nowMs + maxPassMs, this.clock.nowMs() + minimumJudgeMs)
    for (let count = 0; count < maxJudgedPerPass && this.clock.nowMs() < untilMs; count++) {
      const entry = this.toJudge.pop()
      if (!entry) return
      if (this.entries.get(entry.requestId) === entry) this.refuseIfHopeless(entry)
    }
  }

  private schedulePass (wantedAtMs: number): void {
    const atMs = Math.max(wantedAtMs, this.nextPassFromMs)
    if (this.passAtMs <= atMs) return
    this.cancelPass()
    this.passAtMs = atMs
    this.cancelTimer = this.clock.setTimer(Math.max(0, atMs - this.clock.nowMs()), () => this.pass())
  }

  private cancelPass (): void {
    this.cancelTimer?.()
    this.cancelTimer = undefined
    this.passAtMs = Infinity
  }

  /** Returns whether it was completed before `untilMs`. */
  private assign (blocked: Map<string, number>, untilMs: number, models?: ReadonlySet<string>): boolean {
    let isComplete = true
    for (;;) {
      const suspects: Entry[] = []
      const check = (entry: Entry): DispatchCheck => {
        const key = `${entry.rank} ${entry.late} ${entry.engineKey}`
        // The dispatcher's answer depends on the model, the rank and the tokens, so another entry of as many tokens would be refused too.
        if (entry.tokenClass >= (blocked.get(key) ?? Infinity)) return 'model-blocked'
        if (this.clock.nowMs() >= untilMs) {
          isComplete = false
          return 'model-blocked'
        }
        const decision = this.decide(entry)
        if (decision?.kind === 'engine') {
          entry.decision = decision
          return true
        }
        if (decision?.isForTrial) {
          suspects.push(entry)
          return false
        }
        // Without a slot, smaller requests have no place either.
        blocked.set(key, decision?.lacksTokensAt === undefined ? 0 : entry.tokenClass)
        return 'model-blocked'
      }
      const entry = this.queue.next(check, models)
      for (const suspect of suspects) {
        this.queue.remove(suspect.requestId)
        this.held.set(suspect.requestId, suspect)
      }
      if (entry) this.onAssigned(entry, entry.decision!)
      else if (suspects.length === 0) return isComplete
    }
  }

  /** Entries under suspicion wait for a trial of their own, without delaying others of their model. */
  private tryHeld (nowMs: number): void {
    for (const entry of [...this.held.values()].slice(0, maxHeldPerPass)) {
      this.held.delete(entry.requestId)
      if (nowMs > entry.deadlineMs) {
        this.refuse(entry, 'expired', expiredRetryAfterMs)
        continue
      }
      const decision = this.decide(entry)
      if (decision?.kind === 'wait' && decision.isForTrial) {
        this.held.set(entry.requestId, entry)
        continue
      }
      this.queue.add(entry)
      if (decision?.kind === 'engine') this.onAssignedOutOfOrder(entry, decision)
    }
  }

  private decide (entry: Entry): DispatchDecision | undefined {
    const { dispatch } = entry.request
    dispatch.isLate = entry.rank !== begunRank && this.clock.nowMs() > (entry.targetAtMs ?? Infinity)
    const { reservation } = this
    // Answers that have begun go first.
    const reservedEngine = reservation && reservation.entry !== entry && entry.rank !== begunRank ? reservation.engine : undefined
    const decision = this.options.decide(dispatch, reservedEngine)
    if (decision?.kind === 'wait') this.onWait(entry, decision)
    return decision
  }

  private onWait (entry: Entry, { lacksTokensAt }: Extract<DispatchDecision, { kind: 'wait' }>): void {
    if (lacksTokensAt === undefined) return
    const nowMs = this.clock.nowMs()
    entry.lacksTokensSinceMs ??= nowMs
    if (!this.reservation && nowMs - entry.lacksTokensSinceMs >= maxTokenWaitMs) this.reservation = { entry, engine: lacksTokensAt, endsAtMs: nowMs + maxReservationMs }
  }

  /** Tries the request for which an engine is reserved. */
  private tryReserved (): void {
    if (!this.reservation) return
    const { entry, endsAtMs } = this.reservation
    if (this.clock.nowMs() > endsAtMs) this.reservation = undefined
    const decision = this.decide(entry)
    if (decision?.kind === 'engine') this.onAssignedOutOfOrder(entry, decision)
  }

  private onAssignedOutOfOrder (entry: Entry, decision: Extract<DispatchDecision, { kind: 'engine' }>): void {
    // Requests that wait for a trial are not in the queue.
    if (this.held.delete(entry.requestId)) this.queue.add(entry)
    this.queue.serveOutOfOrder(entry)
    this.onAssigned(entry, decision)
  }

  private onAssigned (entry: Entry, decision: Extract<DispatchDecision, { kind: 'engine' }>): void {
    const { id, dispatch, onAnswer } = entry.request
    const atMs = this.clock.nowMs()
    this.assignments.set(id, { dispatch, decision, atMs })
    this.assignedCounts.set(decision.id, this.assignedTo(decision.id) + 1)
    for (const key of [entry.rateKey, entry.accountKey]) this.rates.recordAssigned(key)
    this.detach(entry)
    this.options.onAssigned?.(atMs - entry.enqueuedAtMs)
    onAnswer(decision)
  }

  private refuse (entry: Entry, reason: RefusalReason, retryAfterMs: number): true {
    this.detach(entry)
    this.options.onRefused?.(reason, entry.request)
    entry.request.onAnswer({ kind: 'refused', retryAfterMs })
    return true
  }

  private detach (entry: Entry): void {
    if (!this.entries.delete(entry.requestId)) return
    this.queue.remove(entry.requestId)
    this.held.delete(entry.requestId)
    if (this.reservation?.entry === entry) this.reservation = undefined
    this.countWaiting(entry, -1)
  }

  /** Refuses the request if no engine can have its model in time, or if its turn will clearly come too late. */
  private refuseIfHopeless (entry: Entry): boolean {
    const nowMs = this.clock.nowMs()
    const { rank, deadlineMs, answerByMs, rateKey, request: { dispatch } } = entry
    // An answer that has begun breaks off if it is refused, may not need all its expected tokens any more, and goes ahead of all others.
    if (rank === begunRank) return false
    const soonestMs = this.soonestMs(entry, nowMs)
    if (soonestMs > 0 && soonestMs - loadMarginMs > deadlineMs - nowMs) return this.refuse(entry, 'no-engine', boundedRetryMs(soonestMs))
    if (this.held.has(entry.requestId)) return false
    const leftMs = Math.min(deadlineMs, answerByMs - this.leastRunTime.of(rateKey, dispatch.outputTokens ?? 0)) - nowMs
    const expectedMs = this.expectedWaitMs(entry)
    if ((expectedMs ?? 0) <= leftMs * clearRefusalFactor) return false
    return this.refuse(entry, 'hopeless', expectedMs === undefined ? expiredRetryAfterMs : boundedRetryMs(expectedMs - Math.max(0, leftMs)))
  }

  /** Shortest time until an engine can have the model; 0 unless none has had it for a while. */
  private soonestMs ({ rateKey, request: { dispatch } }: Entry, nowMs: number): number {
    const known = this.presences.get(rateKey)
    if (known && nowMs - known.checkedAtMs < judgeIntervalMs) return isGone(known, nowMs) ? known.soonestMs : 0
    const soonestMs = this.options.soonestMs?.(dispatch) ?? 0
    const presence = { checkedAtMs: nowMs, soonestMs, goneSinceMs: soonestMs > 0 ? known?.goneSinceMs ?? nowMs : undefined }
    this.presences.set(rateKey, presence)
    return isGone(presence, nowMs) ? soonestMs : 0
  }

  /**
   * Expected wait, from the entries of the same rank ahead and the rate at which waiting requests of the model were assigned lately, or
   * from those of its account alone if that gives less, since accounts with small requests go ahead more often; `undefined` while the
   * rate is not known or the guaranteed share serves the entry. Entries of more urgent ranks do not count: they go behind this one when
   * they become late.
   */
  private expectedWaitMs (entry: Entry): number | undefined {
    const ofModel = this.rates.of(entry.rateKey)
    if (ofModel.spanMs < minimumRateMs || ofModel.count < minimumRateCount || ofModel.sinceLastMs > maxRateGapMs || this.queue.credit(entry.rank) >= 1) return undefined
    const { own, others } = this.queue.itemsAhead(entry, modelsOf(entry))
    const ofAccount = this.rates.of(entry.accountKey)
    return Math.min((own + others) * ofModel.spanMs / ofModel.count, ofAccount.count > 0 ? own * ofAccount.spanMs / ofAccount.count : Infinity)
  }

  private countWaiting ({ rateKey, accountKey }: Entry, change: number): void {
    for (const key of [rateKey, accountKey]) this.rates.countWaiting(key, change)
  }

  private entryOf (request: SlotRequest): Entry {
    const { id, dispatch, place } = request
    const { adapter, rank, excluded, only, promptTokens, outputTokens = 0 } = dispatch
    const nowMs = this.clock.nowMs()
    const rateKey = rateKeyOf(dispatch)
    // Requests that may go to other engines do not block each other.
    const engineKey = [rateKey, adapter ?? '', [...excluded].sort().join(), only?.join() ?? ''].join(' ')
    const tokenClass = tokenClassOf(promptTokens + outputTokens)
    return {
      requestId: id,
      rank: place.hasBegun ? begunRank : Math.min(rank, leastUrgentRank),
      customer: place.account ?? '',
      customerWeight: 1,
      model: modelKey(engineKey, tokenClass),
      deadlineMs: nowMs + place.leftMs,
      answerByMs: nowMs + (place.answerLeftMs ?? Infinity),
      enqueuedAtMs: nowMs,
      costTokens: place.costTokens,
      ...(place.hasBegun ? {} : { targetAtMs: nowMs + place.inTimeMs }),
      rateKey,
      accountKey: [rateKey, place.hasBegun ? begunRank : rank, place.account ?? ''].join(' '),
      engineKey,
      tokenClass,
      request
    }
  }
}

function rateKeyOf ({ service, model }: DispatchRequest): string {
  return `${service}/${model}`
}

function isGone ({ goneSinceMs }: ModelPresence, nowMs: number): boolean {
  return goneSinceMs !== undefined && nowMs - goneSinceMs >= minimumGoneMs
}

function boundedRetryMs (retryAfterMs: number): number {
  return Math.min(maxRetryAfterMs, Math.max(minimumRetryAfterMs, retryAfterMs))
}

function tokenClassOf (tokens: number): number {
  return Math.min(lastTokenClass, Math.ceil(Math.log2(Math.max(1, tokens / firstClassTokens))))
}

function modelKey (engineKey: string, tokenClass: number): string {
  return `${engineKey} ${tokenClass}`
}

/** Keys of all token classes that compete with the entry for the same engines. */
function modelsOf ({ engineKey }: Entry): string[] {
  return tokenClasses.map(tokenClass => modelKey(engineKey, tokenClass))
}
