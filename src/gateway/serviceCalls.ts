/** Passes calls through to plain services. */

import { match } from 'ts-pattern'
import { sleep } from '../base/clock.js'
import { CallError, messageOf } from '../base/errors.js'
import { shuffled } from '../base/random.js'
import type { Clock } from '../base/clock.js'
import type { Random } from '../base/random.js'
import type { ServiceApi, ServiceResponse } from '../external/service.js'
import { retryDelayMs } from '../policy/retry.js'
import type { RetryBudget } from '../policy/retry.js'
import type { ServiceEntry } from '../protocol/messages.js'
import type { Exchange, Filter } from './exchange.js'
import { ProblemError } from './problem.js'

export interface ServiceCallOptions {
  clock: Clock
  random: Random
  retryBudget: RetryBudget
  location: { region: string, availabilityZone: string }
  /** Servers that take new work. */
  servers: (service: string) => ServiceEntry[]
  serviceApi: (entry: ServiceEntry) => ServiceApi
}

const maxAttempts = 4
const noServerRetryAfterMs = 2_000
// A refused connection says nothing about the next second, so the server is skipped for a while.
const ejectMs = 2_000

/** Headers that belong to one connection, or to this system, and are not passed on. */
const droppedHeaders = new Set([
  'authorization', 'connection', 'content-length', 'host', 'keep-alive', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'x-teaselrill-rank', 'x-teaselrill-patience-ms', 'expect'
])

/** `headers` without those of one connection. */
export function passedHeaders (headers: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !droppedHeaders.has(name.toLowerCase())))
}

/** The last filter for plain services. */
export function serviceFilter (options: ServiceCallOptions): Filter {
  const inFlight = new Map<string, number>()
  const ejectedUntilMs = new Map<string, number>()

  const choose = (service: string, excluded: ReadonlySet<string>): ServiceEntry | undefined => {
    const nowMs = options.clock.nowMs()
    const all = options.servers(service).filter(({ server }) => !excluded.has(server))
    const healthy = all.filter(({ server }) => (ejectedUntilMs.get(server) ?? 0) <= nowMs)
    const cost = (entry: ServiceEntry) => (inFlight.get(entry.server) ?? 0) + distance(entry, options.location)
    // The shuffle decides among servers of equal cost, so that nodes do not all choose the same one.
    return shuffled(options.random, healthy.length > 0 ? healthy : all).sort((left, right) => cost(left) - cost(right))[0]
  }

  const callOnce = async (exchange: Exchange, entry: ServiceEntry): Promise<ServiceResponse> => {
    const { clock, serviceApi } = options
    const controller = new AbortController()
    const onCallerGone = () => controller.abort()
    exchange.request.signal.addEventListener('abort', onCallerGone, { once: true })
    const cancel = clock.setTimer(exchange.deadlineMs! - clock.nowMs(), () => controller.abort())
    inFlight.set(entry.server, (inFlight.get(entry.server) ?? 0) + 1)
    exchange.measure.onDispatched()
    exchange.trace.add('dispatch', `server ${entry.server}`)
    try {
      const { method, headers, body } = exchange.request
      const work = exchange.work as { path: string }
      return await serviceApi(entry).call(
        { requestId: exchange.requestId, method, path: work.path, headers: { ...passedHeaders(headers), 'x-request-id': exchange.requestId }, body },
        { signal: controller.signal }
      )
    } finally {
      cancel()
      exchange.request.signal.removeEventListener('abort', onCallerGone)
      inFlight.set(entry.server, inFlight.get(entry.server)! - 1)
    }
  }

  const callWithRetries = async (exchange: Exchange, service: string): Promise<ServiceResponse> => {
    const excluded = new Set<string>()
    let lastError: unknown
    let mayHaveRun = false
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      const entry = choose(service, excluded) ?? choose(service, new Set())
      if (!entry) break
      try {
        return await callOnce(exchange, entry)
      } catch (error) {
        lastError = error
        exchange.trace.add('attempt-failed', messageOf(error))
        const outcome = error instanceof CallError ? error.outcome : 'unknown'
        mayHaveRun ||= outcome !== 'not-run'
        excluded.add(entry.server)
        if (outcome === 'not-run') ejectedUntilMs.set(entry.server, options.clock.nowMs() + ejectMs)
        const isPermitted = outcome === 'not-run' ? (!mayHaveRun || exchange.terms!.idempotent) : exchange.terms!.idempotent
        const delayMs = retryDelayMs(options.random, attempt)
        const isInTime = options.clock.nowMs() + delayMs < exchange.deadlineMs! && !exchange.request.signal.aborted
        if (!isPermitted || !isInTime || attempt === maxAttempts || !options.retryBudget.tryRetry()) break
        await sleep(options.clock, delayMs)
      }
    }
    throw toProblem(lastError, mayHaveRun, service)
  }

  return async (exchange, next) => {
    const { work } = exchange
    if (work?.kind !== 'service') return next()
    options.retryBudget.onRequest()
    const { status, headers, body } = await callWithRetries(exchange, work.service)
    exchange.response = { status, headers: { ...passedHeaders(headers), 'x-request-id': exchange.requestId }, body }
  }
}

// One step of distance weighs as much as so many requests in flight.
const otherZoneCost = 2
const otherRegionCost = 20

function distance (entry: ServiceEntry, location: { region: string, availabilityZone: string }): number {
  if (entry.region !== location.region) return otherRegionCost
  return entry.availabilityZone === location.availabilityZone ? 0 : otherZoneCost
}

function toProblem (error: unknown, mayHaveRun: boolean, service: string): ProblemError {
  if (error === undefined) {
    return new ProblemError(503, 'overloaded', 'not-run', `no server of service ${service} takes requests`, { retryAfterMs: noServerRetryAfterMs })
  }
  const outcome = mayHaveRun ? (error instanceof CallError && error.outcome === 'failed' ? 'failed' : 'unknown') : 'not-run'
  return match(outcome)
    .with('not-run', () => new ProblemError(503, 'backend-unknown', 'not-run', messageOf(error), { retryAfterMs: noServerRetryAfterMs }))
    .with('unknown', () => new ProblemError(504, 'backend-unknown', 'unknown', messageOf(error)))
    .with('failed', () => new ProblemError(502, 'backend-failed', 'failed', messageOf(error)))
    .exhaustive()
}
