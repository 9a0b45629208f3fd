/**
 * The placement leader's estimates of how fast each backend server is and how many requests in progress it takes well, from the samples
 * of all nodes. The delay factor of a server and that of a model (or plain service) multiply.
 */

import type { Clock } from '../base/clock.js'
import type { SampleRow } from './capacitySamples.js'
import { capacityHalfLifeMs, paceKey } from './capacityTable.js'
import type { CapacityRows, ServerCapacityRow } from './capacityTable.js'

/** The factors stay within a quarter of the prior and four times the prior. */
const maxLogFactor = Math.log(4)
/** Delay factors of plain services have wider bounds: the prior says nothing about what their requests do. */
const maxLogPlainPace = Math.log(200)
/** Weight of one sample. Outliers count for at most `maxLogStep`, so that one of them moves an estimate by 10% at most. */
const sampleWeight = 0.1
const maxLogStep = 1
/** Part of a deviation that is attributed to the server; the rest is to its model, whose samples come from all its engines. */
const serverShare = 0.7
/** The pace of a model is a property of its weights and is kept for long, since rare models have few samples. */
const paceHalfLifeMs = 600_000
const minLimit = 2
/** Samples are collected for this long before the limit changes: the nodes report twice a second. */
const limitWindowMs = 1000
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
/** Ratio of change from which a log line is written. */
const loggedChange = 1.5
/** Time constant of the mean number of requests in progress at plain servers. */
const inProgressTimeConstantMs = 1000

interface Estimate {
  logFactor: number
  sampledAtMs: number
}

interface ServerState extends Estimate {
  slots: number
  limit: number
  windowStartedAtMs: number
  completed: number
  overruns: number
  inProgressAtOverruns: number
  maxInProgress: number
  /** The lowest limit that led to overruns, and the time when it did. */
  failedLimit: number
  failedAtMs: number
  inProgress: number
  inProgressAtMs: number
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

  /** Takes over rows that an earlier leader sent, for what this one knows nothing about. */
  adopt ({ servers, paces }: CapacityRows): void {
    const nowMs = this.options.clock.nowMs()
    for (const [server, factor, limit] of servers) {
      const known = this.options.serverOf(server)
      if (!known || this.servers.has(server)) continue
      const state = this.stateOf(server, known.slots)
      state.logFactor = clamp(Math.log(factor), maxLogFactor)
      state.limit = Math.max(Math.min(minLimit, known.slots), Math.min(known.slots, limit))
      this.sentServers.set(server, { factor, limit })
    }
    for (const [key, factor] of paces) {
      if (this.paces.has(key)) continue
      this.paces.set(key, { logFactor: clamp(Math.log(factor), maxLogPlainPace), sampledAtMs: nowMs })
      this.sentPaces.set(key, factor)
    }
  }

  of (server: string, slots: number): ServerCapacityRow {
    const state = this.servers.get(server)
    return state ? { factor: Math.exp(this.current(state, capacityHalfLifeMs)), limit: this.limitOf(state) } : { factor: 1, limit: slots }
  }

  paceOf (service: string, model: string): number {
    const pace = this.paces.get(paceKey(service, model))
    return pace ? Math.exp(this.current(pace, paceHalfLifeMs)) : 1
  }

  /** Mean requests in progress at each plain server, from the durations of those that ended. */
  inProgressRows (): [server: string, inProgress: number][] {
    const rows: [string, number][] = []
    for (const [server, state] of this.servers) {
      if (state.inProgress === 0) continue
      const inProgress = this.decayedInProgress(state)
      if (inProgress < 0.05) state.inProgress = 0
      rows.push([server, Math.round(inProgress * 10) / 10])
    }
    return rows
  }

  /** All rows that differ from the prior, for a node that has just connected. */
  get rows (): CapacityRows {
    return {
      servers: [...this.servers].map(([server, state]) => rowOf(server, this.of(server, state.slots))),
      paces: [...this.paces.keys()].map(key => [key, rounded(Math.exp(this.current(this.paces.get(key)!, paceHalfLifeMs)))])
    }
  }

  /** Rows that changed noticeably since they were last returned; `undefined` if there are none or the last ones are too recent. */
  takeChangedRows (): CapacityRows | undefined {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.sentAtMs < rowsIntervalMs) return undefined
    const { servers, paces } = this.rows
    const changed: CapacityRows = {
      servers: servers.filter(([server, factor, limit]) => {
        const sent = this.sentServers.get(server) ?? { factor: 1, limit: this.servers.get(server)!.slots }
        return differs(factor, sent.factor) || differs(limit, sent.limit)
      }),
      paces: paces.filter(([key, factor]) => differs(factor, this.sentPaces.get(key) ?? 1))
    }
    if (changed.servers.length + changed.paces.length === 0) return undefined
    this.sentAtMs = nowMs
    for (const [server, factor, limit] of changed.servers) {
      this.sentServers.set(server, { factor, limit })
      this.reportChange({ server, factor, limit })
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

  private addRow ([server, model, completed, samples, sumLog, overruns, inProgressAtOverruns, maxInProgress, sumMs]: SampleRow, { service, slots }: { service: string, slots: number }): void {
    const state = this.stateOf(server, slots)
    const pace = this.estimateOf(paceKey(service, model))
    const nowMs = this.options.clock.nowMs()
    const limit = this.limitOf(state)
    state.logFactor = this.current(state, capacityHalfLifeMs)
    pace.logFactor = this.current(pace, paceHalfLifeMs)
    state.limit = limit
    state.sampledAtMs = nowMs
    if (samples > 0) {
      pace.sampledAtMs = nowMs
      const step = clamp(sumLog / samples - state.logFactor - pace.logFactor, maxLogStep) * (1 - (1 - sampleWeight) ** samples)
      state.logFactor = clamp(state.logFactor + step * serverShare, maxLogFactor)
      pace.logFactor = clamp(pace.logFactor + step * (1 - serverShare), model === '' ? maxLogPlainPace : maxLogFactor)
    }
    if (sumMs > 0) {
      state.inProgress = this.decayedInProgress(state) + sumMs / inProgressTimeConstantMs
      state.inProgressAtMs = nowMs
    }
    state.completed += completed
    state.maxInProgress = Math.max(state.maxInProgress, maxInProgress)
    if (overruns > 0 && inProgressAtOverruns / overruns >= limit * minLoadShare) {
      state.overruns += overruns
      state.inProgressAtOverruns += inProgressAtOverruns
    }
    if (nowMs - state.windowStartedAtMs >= limitWindowMs) this.adjustLimit(state)
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
    Object.assign(state, { windowStartedAtMs: nowMs, completed: 0, overruns: 0, inProgressAtOverruns: 0, maxInProgress: 0 })
  }

  private current ({ logFactor, sampledAtMs }: Estimate, halfLifeMs: number): number {
    return logFactor * 0.5 ** ((this.options.clock.nowMs() - sampledAtMs) / halfLifeMs)
  }

  private limitOf ({ slots, limit, sampledAtMs }: ServerState): number {
    return slots - (slots - limit) * 0.5 ** ((this.options.clock.nowMs() - sampledAtMs) / capacityHalfLifeMs)
  }

  private decayedInProgress ({ inProgress, inProgressAtMs }: ServerState): number {
    return inProgress * Math.exp((inProgressAtMs - this.options.clock.nowMs()) / inProgressTimeConstantMs)
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
        completed: 0,
        overruns: 0,
        inProgressAtOverruns: 0,
        maxInProgress: 0,
        failedLimit: Infinity,
        failedAtMs: -Infinity,
        inProgress: 0,
        inProgressAtMs: nowMs
      }
      this.servers.set(server, state)
    }
    return state
  }

  private estimateOf (key: string): Estimate {
    let estimate = this.paces.get(key)
    if (!estimate) this.paces.set(key, estimate = { logFactor: 0, sampledAtMs: this.options.clock.nowMs() })
    return estimate
  }
}

function clamp (value: number, most: number): number {
  return Math.max(-most, Math.min(most, value))
}

function differs (value: number, sent: number): boolean {
  return Math.abs(value / sent - 1) > minChange
}

function rounded (value: number): number {
  return Math.round(value * 100) / 100
}

function rowOf (server: string, { factor, limit }: ServerCapacityRow): [string, number, number] {
  return [server, rounded(factor), rounded(limit)]
}
