/** The terms on which a request is served: rank, patience at this hour, targets, weight and value. */

import { ranks } from '../config/fleetConfig.js'
import type { ConfigException, FleetConfig, Rank } from '../config/fleetConfig.js'

export interface RequestPolicy {
  rank: Rank
  /** Time from arrival to the end of the answer, or to the first token when streamed. */
  patienceMs: number
  /** Target for the first token; 0 means that only patience counts. */
  firstTokenMs: number
  /** Target for 95 in 100 gaps between tokens; 0 means that only patience counts. */
  tokenGapMs: number
  idempotent: boolean
  customerWeight: number
  /** Rate limit of the customer over the whole fleet. */
  ceilingRequestsPerSecond?: number
  requestValue: number
}

/** A request as far as its terms depend on it. Headers can only narrow what the configuration grants. */
export interface RequestAttributes {
  customer: string
  model?: string
  service?: string
  method?: string
  nowMs: number
  rankHeader?: string
  patienceMsHeader?: number
}

/** Hour of the local day in [0, 24), with its fraction. */
export function localHour (nowMs: number, utcOffsetMinutes: number): number {
  const hour = ((nowMs + utcOffsetMinutes * 60_000) / 3_600_000) % 24
  return hour < 0 ? hour + 24 : hour
}

/** Whether `exception` holds at `nowMs`. Hours `from` later than `to` span midnight; equal ones span the whole day. */
export function isExceptionActive (exception: ConfigException, nowMs: number, utcOffsetMinutes: number): boolean {
  if (!exception.hours) return true
  const { from, to } = exception.hours
  const hour = localHour(nowMs, utcOffsetMinutes)
  return from < to ? hour >= from && hour < to : hour >= from || hour < to
}

/** The exceptions for `target` that hold now, merged; a later one wins over an earlier one. */
export function activeExceptionsFor (config: FleetConfig, target: string, nowMs: number): Partial<ConfigException> {
  let merged: Partial<ConfigException> = {}
  for (const exception of config.exceptions) {
    if (exception.target === target && isExceptionActive(exception, nowMs, config.fleet.utcOffsetMinutes)) {
      merged = { ...merged, ...exception }
    }
  }
  return merged
}

/** The smallest of the values that are given. */
function smallest (...values: (number | undefined)[]): number | undefined {
  const given = values.filter(value => value !== undefined)
  return given.length > 0 ? Math.min(...given) : undefined
}

/**
 * Resolves the terms of a request. The rank of the model or service wins over the customer's. If both the customer and
 * the model (or service) state a patience, the shorter one holds; otherwise the default of the rank does. An unknown
 * customer has the least urgent rank, and an unknown target is not idempotent.
 */
export function resolveRequestPolicy (config: FleetConfig, request: RequestAttributes): RequestPolicy {
  const { nowMs } = request
  const customer = config.customers[request.customer]
  const adapterBase = request.model === undefined ? undefined : config.adapters[request.model]?.baseModel
  const modelName = adapterBase ?? request.model
  const model = modelName === undefined ? undefined : config.models[modelName]
  const service = request.service === undefined ? undefined : config.services[request.service]
  const customerException = activeExceptionsFor(config, `customer.${request.customer}`, nowMs)
  const targetException = modelName !== undefined
    ? activeExceptionsFor(config, `model.${modelName}`, nowMs)
    : activeExceptionsFor(config, `service.${request.service}`, nowMs)

  const grantedRank = model?.rank ?? service?.rank ?? customer?.rank ?? ranks[ranks.length - 1]!
  const rankIndex = Math.max(ranks.indexOf(grantedRank), ranks.indexOf(request.rankHeader as Rank))
  const rank = ranks[rankIndex]!
  const rankConfig = config.ranks[rank]
  const rankException = activeExceptionsFor(config, `rank.${rank}`, nowMs)

  const granted = smallest(
    customerException.patienceMs ?? customer?.patienceMs,
    targetException.patienceMs ?? model?.patienceMs ?? service?.patienceMs
  ) ?? rankException.patienceMs ?? rankConfig.patienceMs
  const header = request.patienceMsHeader
  const patienceMs = header !== undefined && header > 0 ? Math.min(granted, header) : granted

  const ceiling = customerException.ceilingRequestsPerSecond ?? customer?.ceilingRequestsPerSecond
  const modelWeight = targetException.weight ?? model?.weight ?? 1
  return {
    rank,
    patienceMs,
    firstTokenMs: rankConfig.firstTokenMs,
    tokenGapMs: rankConfig.tokenGapMs,
    idempotent: model
      ? model.idempotent
      : service !== undefined && !service.nonIdempotentMethods.includes(request.method ?? ''),
    customerWeight: customerException.weight ?? customer?.weight ?? 1,
    ...(ceiling === undefined ? {} : { ceilingRequestsPerSecond: ceiling }),
    requestValue: rankConfig.requestValue * modelWeight * (rankException.weight ?? 1)
  }
}
