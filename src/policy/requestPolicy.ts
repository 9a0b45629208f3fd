/** Resolves the policy of a request: rank, current patience, targets, weight and value. */

import { ranks } from '../config/fleetConfig.js'
import type { ConfigException, FleetConfig, Rank } from '../config/fleetConfig.js'

export interface RequestPolicy {
  rank: Rank
  /** Time from arrival to the end of the response, or to the first token of a stream. */
  patienceMs: number
  /** Target for the time to first token; 0 means that only patience counts. */
  firstTokenMs: number
  /** Target for the 95th percentile of the gaps between tokens; 0 means that only patience counts. */
  tokenGapMs: number
  idempotent: boolean
  customerWeight: number
  /** Rate limit of the customer across the fleet. */
  ceilingRequestsPerSecond?: number
  requestValue: number
}

/** Attributes of a request that determine its policy. Headers can only lower the rank and the patience that the configuration grants. */
export interface RequestAttributes {
  customer: string
  model?: string
  service?: string
  method?: string
  nowMs: number
  rankHeader?: string
  patienceMsHeader?: number
}

/** Local time of day in hours, from 0 to below 24, with fraction. */
export function localHour (nowMs: number, utcOffsetMinutes: number): number {
  const hour = ((nowMs + utcOffsetMinutes * 60_000) / 3_600_000) % 24
  return hour < 0 ? hour + 24 : hour
}

/** Whether `exception` applies at `nowMs`. If `from` is later than `to`, the hours span midnight; if equal, the entire day. */
export function isExceptionActive (exception: ConfigException, nowMs: number, utcOffsetMinutes: number): boolean {
  if (!exception.hours) return true
  const { from, to } = exception.hours
  const hour = localHour(nowMs, utcOffsetMinutes)
  return from < to ? hour >= from && hour < to : hour >= from || hour < to
}

/** The active exceptions for `target`, merged; later ones override earlier ones. */
export function activeExceptionsFor (config: FleetConfig, target: string, nowMs: number): Partial<ConfigException> {
  let merged: Partial<ConfigException> = {}
  for (const exception of config.exceptions) {
    if (exception.target === target && isExceptionActive(exception, nowMs, config.fleet.utcOffsetMinutes)) {
      merged = { ...merged, ...exception }
    }
  }
  return merged
}

/** Smallest defined value, or `undefined` if there is none. */
function smallest (...values: (number | undefined)[]): number | undefined {
  const defined = values.filter(value => value !== undefined)
  return defined.length > 0 ? Math.min(...defined) : undefined
}

/**
 * Resolves the policy of a request. The rank of the model or service overrides the customer's. The patience is the shortest one set
 * by the customer, model or service, or else the default of the rank. Without a configured rank, the request gets the least urgent
 * one. An unknown model or service is not idempotent.
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
