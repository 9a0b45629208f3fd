/** The configuration of the fleet: defaults and a short list of exceptions. */

import { z } from 'zod'

export const ranks = ['urgent', 'live', 'browsing'] as const
export const rankSchema = z.enum(ranks)
export type Rank = z.infer<typeof rankSchema>

/** Defaults of a rank. */
export const rankConfigSchema = z.object({
  /** Relative value of one attained request. */
  requestValue: z.number().positive(),
  /** Share of the rank's demand that is served whatever the other ranks ask for, 0 to 1. */
  minimumShare: z.number().min(0).max(1),
  /** Time from arrival to the end of the answer, or to the first token when streamed. */
  patienceMs: z.number().positive(),
  /** Target for the first token; 0 means that only patience counts. */
  firstTokenMs: z.number().min(0),
  /** Target for 95 in 100 gaps between tokens; 0 means that only patience counts. */
  tokenGapMs: z.number().min(0),
  /** Part of the requests that should attain the target, for the report on service-level burn. */
  objective: z.number().min(0).max(1)
})
export type RankConfig = z.infer<typeof rankConfigSchema>

export const customerConfigSchema = z.object({
  /** SHA-256 of the API key, in hex. The key itself is not stored. */
  apiKeySha256: z.string().regex(/^[0-9a-f]{64}$/),
  rank: rankSchema,
  /** Share relative to the other customers of the rank. */
  weight: z.number().positive(),
  patienceMs: z.number().positive().optional(),
  ceilingRequestsPerSecond: z.number().positive().optional()
})
export type CustomerConfig = z.infer<typeof customerConfigSchema>

export const modelConfigSchema = z.object({
  pool: z.string(),
  /** Served version; the engine's name of the model is `NAME@VERSION`. */
  version: z.string(),
  memoryBytes: z.number().positive(),
  minimumReplicas: z.number().int().min(0),
  maximumReplicas: z.number().int().positive().optional(),
  weight: z.number().positive(),
  rank: rankSchema.optional(),
  patienceMs: z.number().positive().optional(),
  /** False if a request to the model must not run twice. */
  idempotent: z.boolean()
})
export type ModelConfig = z.infer<typeof modelConfigSchema>

export const adapterConfigSchema = z.object({
  baseModel: z.string(),
  memoryBytes: z.number().positive()
})
export type AdapterConfig = z.infer<typeof adapterConfigSchema>

export const serviceConfigSchema = z.object({
  /** Path prefix of the callers' port that belongs to the service, such as `/orders`. */
  path: z.string().startsWith('/'),
  /** Methods whose calls must not run twice. */
  nonIdempotentMethods: z.array(z.string()),
  rank: rankSchema.optional(),
  patienceMs: z.number().positive().optional()
})
export type ServiceConfig = z.infer<typeof serviceConfigSchema>

export const poolConfigSchema = z.object({
  /** Whether the pool's engines refuse commands with an old fencing number. */
  honoursFence: z.boolean(),
  /** Part of the memory kept free for rarely used models, in bytes for each engine. */
  reserveBytes: z.number().min(0),
  /** Memory for adapters, in bytes for each engine. */
  adapterBytes: z.number().min(0)
})
export type PoolConfig = z.infer<typeof poolConfigSchema>

/** A deviation from the defaults. `target` is `model.NAME`, `customer.NAME`, `service.NAME`, `engine.NAME` or `rank.NAME`. */
export const exceptionSchema = z.object({
  name: z.string(),
  reason: z.string().min(1),
  target: z.string(),
  /** Local hours of the day [from, to) in which it holds; the whole day if absent. */
  hours: z.object({ from: z.number().min(0).max(24), to: z.number().min(0).max(24) }).optional(),
  /** Engine on which the model must be resident. */
  pin: z.string().optional(),
  /** Engine on which the model must not be resident. */
  ban: z.string().optional(),
  minimumReplicas: z.number().int().min(0).optional(),
  weight: z.number().positive().optional(),
  ceilingRequestsPerSecond: z.number().positive().optional(),
  patienceMs: z.number().positive().optional(),
  /** For an engine: overrides its pool. */
  honoursFence: z.boolean().optional()
})
export type ConfigException = z.infer<typeof exceptionSchema>

export const fleetDefaultsSchema = z.object({
  /** Loads that the weight store starts each second. */
  storeLoadsPerSecond: z.number().positive(),
  /** Loads that the weight store carries at once at full speed. */
  storeLoadsInFlight: z.number().int().positive(),
  /** Adapter loads that the weight store carries at once at full speed. */
  storeAdapterLoadsInFlight: z.number().int().positive(),
  /** Retries as a part of the requests of the last 10 s. */
  retryBudget: z.number().min(0).max(1),
  idempotencyRetentionMs: z.number().positive(),
  /** Offset of the operators' local hour from UTC, for `hours`. */
  utcOffsetMinutes: z.number(),
  /** Price of a byte between regions, relative to one millisecond of delay for each kilobyte. */
  crossRegionPrice: z.number().min(0)
})

export const fleetConfigSchema = z.object({
  /** Version of the accepted configuration; 1 or more. */
  version: z.number().int(),
  fleet: fleetDefaultsSchema,
  ranks: z.record(rankSchema, rankConfigSchema),
  customers: z.record(z.string(), customerConfigSchema),
  models: z.record(z.string(), modelConfigSchema),
  adapters: z.record(z.string(), adapterConfigSchema),
  services: z.record(z.string(), serviceConfigSchema),
  pools: z.record(z.string(), poolConfigSchema),
  exceptions: z.array(exceptionSchema)
})
export type FleetConfig = z.infer<typeof fleetConfigSchema>

/** The name under which engines know a model. */
export function versionedModel (model: string, version: string): string {
  return `${model}@${version}`
}

/** Splits `NAME@VERSION`. */
export function splitVersionedModel (name: string): { model: string, version: string } {
  const at = name.lastIndexOf('@')
  return at < 0 ? { model: name, version: '' } : { model: name.slice(0, at), version: name.slice(at + 1) }
}
