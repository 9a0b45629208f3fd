/**
 * The placement leader's estimates of how fast each backend server is and how many requests in progress it takes well, from the samples
 * of all nodes. The delay factor of a server and that of a model (or plain service) multiply.
 */

import type { Clock } from '../base/clock.js'
import { plainDelayMs } from './capacitySamples.js'
import type { SampleRow } from './capacitySamples.js'
import { capacityHalfLifeMs, paceKey } from './capacityTable.js'
import type { CapacityRows, ServerCapacityRow } from './capacityTable.js'
import { delayExponent, failureCostMs } from './engineChoice.js'

/** The factors stay within a quarter of the prior and four times the prior. */
const maxLogFactor = Math.log(4)
/** Delay factors of plain services have wider bounds: the prior says nothing about what their requests do. */
const maxLogPlainPace = Math.log(200)
/** Weight of one sample, whose deviation counts for at most `maxLogDeviation`, so that an outlier moves an estimate by about 10% at most. */
const sampleWeight = 0.06
const maxLogDeviation = 2
/**
 * Samples are collected for this long before the estimates change: many nodes report twice a second. Samples change an estimate by at most
 * `maxWeight` of the deviation, since the requests that the estimate moves show only in later samples; larger weights made the nodes'
 * choices swing between servers.
 */
const windowMs = 500
const maxWeight = 0.5
/** Part of a deviation that is attributed to the server; the rest is to its model, whose samples come from all its engines. */
const serverShare = 0.85
/** The pace of a model is a property of its weights and is kept for long, since rare models have few samples. */
const paceHalfLifeMs = 600_000
/** Weight of a window in the rate of completed requests. */
const rateWeight = 0.4
/** Share of a plain server's capacity that the choices may use on average; the rest is for random arrivals. */
const maxPlainUtilization = 0.9
const maxSpread = 10
const minLimit = 2
/** Time over which overruns are counted before a limit changes: an engine completes a few requests per second. */
const limitWindowMs = 1500
/** Estimates decay from this time after the last samples on; a decay between samples would raise every limit until requests overrun. */
const sampledForMs = 2000
/** The limit is lowered if more than this share of the requests overran what their routes allow. */
const maxOverrunShare = 0.1
const minOverruns = 2
const limitDecrease = 0.8
/** Overruns with fewer requests in progress than this share of the limit are not caused by their number. */
const minLoadShare = 0.5
/** Time until a limit that led to overruns is tried again. */
const retryLimitMs = 8000
/** Rows are sent at most this often, and only if a value differs by more than `minChange` from what was sent. */
const rowsIntervalMs = 1000
const minChange = 0.1
/** The share of failed requests is computed over about this time, with assumed successes so that one failure does not exclude a server. */
const outcomeHalfLifeMs = 2000
const assumedSuccesses = 3
/** Ratio of change from which a log line is written. */
const loggedChange = 1.5

interface Estimate {
  logFactor: number
  sampledAtMs: number
}

interface ServerState extends Estimate {
  slots: number
  limit: number
  windowStartedAtMs: number
  /** Samples of the window, by the key of their model or service. */
  window: Map<string, { samples: number, sumLog: number, isPlain: boolean }>
  limitCheckedAtMs: number
  completedInWindow: number
  completed: number
  overruns: number
  inProgressAtOverruns: number
  maxInProgress: number
  /** The lowest limit that led to overruns, and the time when it did. */
  failedLimit: number
  failedAtMs: number
  /** Service of a plain server; absent for engines. */
  plainService: string | undefined
  /** Completed requests per second at a plain server. */
  ratePerSecond: number
  answered: number
  failed: number
  outcomesAtMs: number
}

export interface CapacityChange extends ServerCapacityRow {
  server: string
}

export interface ServerCapacityOptions {
  clock: Clock
  /** What is known of a server; `undefined` if it has been removed. */
  serverOf: (server: string) => { service: string, slots: number } | undefined
  /** Called when a server's factor or limit has changed by more than half since the last call for it. */
  onChanged?: (change: CapacityChange) => void
}

export class ServerCapacity {
  private readonly options: ServerCapacityOptions
  private readonly servers = new Map<string, ServerState>()
  private readonly paces = new Map<string, Estimate>()
  private readonly sentServers = new Map<string, ServerCapacityRow>()
  private readonly sentPaces = new Map<string, number>()
  private readonly logged = new Map<string, ServerCapacityRow>()
  private sentAtMs = -Infinity

  constructor (options: ServerCapacityOptions) {
    this.options = options
  }

  onSamples (rows: readonly SampleRow[]): void {
    for (const row of rows) {
      const known = this.options.serverOf(row[0])
      if (known) this.addRow(row, known)
    }
  }

  /** Records how many requests succeeded and failed on a server, as reported by one node. */
  onOutcomes (server: string, answered: number, failed: number): void {
    const known = this.options.serverOf(server)
    if (!known) return
    const state = this.stateOf(server, known.slots)
    const weight = this.outcomeWeight(state)
    state.answered = state.answered * weight + answered
    state.failed = state.failed * weight + failed
    state.outcomesAtMs = this.options.clock.nowMs()
  }

  /** Takes over rows that an earlier leader sent, for what this one knows nothing about. */
  adopt ({ servers, paces }: CapacityRows): void {
    const nowMs = this.options.clock.nowMs()
    for (const [server, factor, limit, failureShare] of servers) {
      const known = this.options.serverOf(server)
      if (!known || this.servers.has(server)) continue
      const state = this.stateOf(server, known.slots)
      state.logFactor = clamp(Math.log(factor), maxLogFactor)
      state.limit = Math.max(Math.min(minLimit, known.slots), Math.min(known.slots, limit))
      this.sentServers.set(server, { factor, limit, failureShare })
    }
    for (const [key, factor] of paces) {
      if (this.paces.has(key)) continue
      this.paces.set(key, { logFactor: clamp(Math.log(factor), maxLogPlainPace), sampledAtMs: nowMs })
      this.sentPaces.set(key, factor)
    }
  }

  of (server: string, slots: number): ServerCapacityRow {
    const state = this.servers.get(server)
    return state ? { factor: Math.exp(this.current(state, capacityHalfLifeMs)), limit: this.limitOf(state), failureShare: this.failureShareOf(state) } : { factor: 1, limit: slots, failureShare: 0 }
  }

  paceOf (service: string, model: string): number {
    const pace = this.paces.get(paceKey(service, model))
    return pace ? Math.exp(this.current(pace, paceHalfLifeMs)) : 1
  }

  /** All rows that differ from the prior, for a node that has just connected. */
  get rows (): CapacityRows {
    return {
      servers: this.serverRows(),
      paces: [...this.paces.keys()].map(key => [key, rounded(Math.exp(this.current(this.paces.get(key)!, paceHalfLifeMs)))])
    }
  }

  private serverRows (): CapacityRows['servers'] {
    const servicesOfPlain = new Set([...this.servers.values()].map(({ plainService }) => plainService).filter(service => service !== undefined))
    const spread = new Map([...servicesOfPlain].flatMap(service => [...this.spreadFactors(service)]))
    return [...this.servers].map(([server, state]) => {
      const row = this.of(server, state.slots)
      return [server, rounded(row.factor * (spread.get(server) ?? 1)), rounded(row.limit), Math.round(row.failureShare * 100) / 100]
    })
  }

  /**
   * Factors by which plain servers must seem slower so that the nodes' choices, whose weights are powers of the delays, overload none:
   * with the weights alone, a slow server would be left idle while the others get more than they can serve.
   */
  private spreadFactors (service: string): Map<string, number> {
    const pace = this.paceOf(service, '') * plainDelayMs
    let free = [...this.servers].filter(([, state]) => state.plainService === service).map(([server, state]) => {
      const { factor, limit, failureShare } = this.of(server, state.slots)
      const weight = (factor * pace + failureShare * failureCostMs) ** delayExponent
      return { server, weight, capacity: limit / (factor * pace) * 1000 * maxPlainUtilization * (1 - failureShare), rate: state.ratePerSecond }
    })
    let demand = free.reduce((sum, { rate }) => sum + rate, 0)
    // Before the end of the first window no rate is known.
    if (demand === 0) return new Map()
    const capacity = free.reduce((sum, { capacity }) => sum + capacity, 0)
    // Beyond what all servers can do, all are loaded alike.
    const scale = Math.max(1, demand / Math.max(1, capacity))
    const shares: { server: string, perWeight: number }[] = []
    for (;;) {
      const weights = free.reduce((sum, { weight }) => sum + weight, 0)
      const full = free.filter(({ weight, capacity }) => demand * weight / weights >= capacity * scale)
      if (full.length === 0 || full.length === free.length) {
        for (const { server } of free) shares.push({ server, perWeight: demand / weights })
        break
      }
      for (const { server, weight, capacity } of full) {
        shares.push({ server, perWeight: capacity * scale / weight })
        demand -= capacity * scale
      }
      free = free.filter(candidate => !full.includes(candidate))
    }
    const most = Math.max(...shares.map(({ perWeight }) => perWeight))
    return new Map(shares.map(({ server, perWeight }) => [server, Math.min(maxSpread, (perWeight / most) ** (1 / delayExponent))]))
  }

  /** Rows that changed noticeably since they were last returned; `undefined` if there are none or the last ones are too recent. */
  takeChangedRows (): CapacityRows | undefined {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.sentAtMs < rowsIntervalMs) return undefined
    const { servers, paces } = this.rows
    const changed: CapacityRows = {
      servers: servers.filter(([server, factor, limit, failureShare]) => {
        const sent = this.sentServers.get(server) ?? { factor: 1, limit: this.servers.get(server)!.slots, failureShare: 0 }
        return differs(factor, sent.factor) || differs(limit, sent.limit) || Math.abs(failureShare - sent.failureShare) > minChange
      }),
      paces: paces.filter(([key, factor]) => differs(factor, this.sentPaces.get(key) ?? 1))
    }
    if (changed.servers.length + changed.paces.length === 0) return undefined
    this.sentAtMs = nowMs
    for (const [server, factor, limit, failureShare] of changed.servers) {
      this.sentServers.set(server, { factor, limit, failureShare })
      this.reportChange({ server, factor, limit, failureShare })
    }
    for (const [key, factor] of changed.paces) this.sentPaces.set(key, factor)
    return changed
  }

  /** Drops what is known of removed servers. */
  dropRemoved (): void {
    for (const server of this.servers.keys()) {
      if (this.options.serverOf(server)) continue
      for (const map of [this.servers, this.sentServers, this.logged]) map.delete(server)
    }
  }

  private addRow ([server, model, completed, samples, sumLog, overruns, inProgressAtOverruns, maxInProgress]: SampleRow, { service, slots }: { service: string, slots: number }): void {
    const state = this.stateOf(server, slots)
    const nowMs = this.options.clock.nowMs()
    const key = paceKey(service, model)
    if (samples > 0) {
      const sums = state.window.get(key) ?? { samples: 0, sumLog: 0, isPlain: model === '' }
      state.window.set(key, { ...sums, samples: sums.samples + samples, sumLog: sums.sumLog + sumLog })
    }
    if (model === '') state.plainService = service
    const limit = this.limitOf(state)
    state.completed += completed
    state.completedInWindow += completed
    state.maxInProgress = Math.max(state.maxInProgress, maxInProgress)
    if (overruns > 0 && inProgressAtOverruns / overruns >= limit * minLoadShare) {
      state.overruns += overruns
      state.inProgressAtOverruns += inProgressAtOverruns
    }
    if (nowMs - state.windowStartedAtMs >= windowMs) this.endWindow(state)
  }

  private endWindow (state: ServerState): void {
    const nowMs = this.options.clock.nowMs()
    state.limit = this.limitOf(state)
    state.logFactor = this.current(state, capacityHalfLifeMs)
    state.sampledAtMs = nowMs
    for (const [key, { samples, sumLog, isPlain }] of state.window) {
      const pace = this.estimateOf(key)
      pace.logFactor = this.current(pace, paceHalfLifeMs)
      pace.sampledAtMs = nowMs
      const weight = Math.min(maxWeight, 1 - (1 - sampleWeight) ** samples)
      const meanLog = sumLog / samples - (isPlain ? logQueueing(state, samples, sumLog, nowMs) : 0)
      const step = clamp(meanLog - state.logFactor - pace.logFactor, maxLogDeviation) * weight
      state.logFactor = clamp(state.logFactor + step * serverShare, maxLogFactor)
      pace.logFactor = clamp(pace.logFactor + step * (1 - serverShare), isPlain ? maxLogPlainPace : maxLogFactor)
    }
    if (state.plainService !== undefined) state.ratePerSecond += (state.completedInWindow / (nowMs - state.windowStartedAtMs) * 1000 - state.ratePerSecond) * rateWeight
    Object.assign(state, { windowStartedAtMs: nowMs, completedInWindow: 0 })
    state.window.clear()
    if (nowMs - state.limitCheckedAtMs < limitWindowMs) return
    this.adjustLimit(state)
    Object.assign(state, { limitCheckedAtMs: nowMs, completed: 0, overruns: 0, inProgressAtOverruns: 0, maxInProgress: 0 })
  }

  private adjustLimit (state: ServerState): void {
    const nowMs = this.options.clock.nowMs()
    const { completed, overruns, limit, slots } = state
    if (overruns >= minOverruns && overruns > completed * maxOverrunShare) {
      const from = Math.min(limit, state.inProgressAtOverruns / overruns)
      state.failedLimit = from
      state.failedAtMs = nowMs
      state.limit = Math.max(Math.min(minLimit, slots), from * limitDecrease)
    } else if (overruns === 0 && limit < slots && state.maxInProgress >= Math.floor(limit)) {
      const isUntried = limit + 1 < state.failedLimit || nowMs - state.failedAtMs > retryLimitMs
      if (isUntried) state.limit = Math.min(slots, limit + 1)
    }
  }

  private current ({ logFactor, sampledAtMs }: Estimate, halfLifeMs: number): number {
    return logFactor * this.decay(sampledAtMs, halfLifeMs)
  }

  private limitOf ({ slots, limit, sampledAtMs }: ServerState): number {
    return slots - (slots - limit) * this.decay(sampledAtMs, capacityHalfLifeMs)
  }

  private decay (sampledAtMs: number, halfLifeMs: number): number {
    return 0.5 ** (Math.max(0, this.options.clock.nowMs() - sampledAtMs - sampledForMs) / halfLifeMs)
  }

  private outcomeWeight ({ outcomesAtMs }: ServerState): number {
    return 0.5 ** ((this.options.clock.nowMs() - outcomesAtMs) / outcomeHalfLifeMs)
  }

  private failureShareOf (state: ServerState): number {
    const weight = this.outcomeWeight(state)
    return state.failed * weight / ((state.answered + state.failed) * weight + assumedSuccesses)
  }

  private reportChange (change: CapacityChange): void {
    const before = this.logged.get(change.server) ?? { factor: 1, limit: this.servers.get(change.server)!.slots }
    const ratios = [change.factor / before.factor, change.limit / before.limit]
    if (ratios.every(ratio => ratio < loggedChange && ratio > 1 / loggedChange)) return
    this.logged.set(change.server, change)
    this.options.onChanged?.(change)
  }

  private stateOf (server: string, slots: number): ServerState {
    let state = this.servers.get(server)
    if (!state) {
      const nowMs = this.options.clock.nowMs()
      state = {
        logFactor: 0,
        sampledAtMs: nowMs,
        slots,
        limit: slots,
        windowStartedAtMs: nowMs,
        window: new Map(),
        limitCheckedAtMs: nowMs,
        completedInWindow: 0,
        completed: 0,
        overruns: 0,
        inProgressAtOverruns: 0,
        maxInProgress: 0,
        failedLimit: Infinity,
        failedAtMs: -Infinity,
        plainService: undefined,
        ratePerSecond: 0,
        answered: 0,
        failed: 0,
        outcomesAtMs: nowMs
      }
      this.servers.set(server, state)
    }
    // The limit of another number of slots says nothing about this one.
    if (state.slots !== slots) Object.assign(state, { slots, limit: slots, failedLimit: Infinity })
    return state
  }

  private estimateOf (key: string): Estimate {
    let estimate = this.paces.get(key)
    if (!estimate) this.paces.set(key, estimate = { logFactor: 0, sampledAtMs: this.options.clock.nowMs() })
    return estimate
  }
}

/**
 * Part of a plain server's delay that is due to requests waiting for its slots, as a logarithm. By Little's law the sum of the delays
 * shows how many requests were in progress on average. Without the correction, nodes would leave a full server for the others together, a
 * second later, and so on.
 */
function logQueueing ({ slots, windowStartedAtMs }: ServerState, samples: number, sumLog: number, nowMs: number): number {
  const inProgress = samples * Math.exp(sumLog / samples) * plainDelayMs / Math.max(1, nowMs - windowStartedAtMs)
  return Math.log(Math.max(1, inProgress / slots))
}

function clamp (value: number, most: number): number {
  return Math.max(-most, Math.min(most, value))
}

function differs (value: number, sent: number): boolean {
  return Math.abs(value / sent - 1) > minChange
}

function rounded (value: number): number {
  return Number(value.toPrecision(3))
}
