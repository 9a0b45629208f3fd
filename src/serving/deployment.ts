/** Decoded configuration and engine messages: routes, services, engines and their models. */

import { z } from 'zod'

/** Which requests may be retried: `idempotent` always, `unsafe` never, `stream` only if its route is resumable. */
export const requestKindSchema = z.enum(['idempotent', 'unsafe', 'stream'])
export type RequestKind = z.infer<typeof requestKindSchema>

export const routeTargetSchema = z.object({ service: z.string(), weight: z.number().positive() })

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: requestKindSchema,
  /** Longest time that a client waits for a response. */
  timeoutMs: z.number().positive(),
  /** Latency objective. */
  objectiveMs: z.number().positive(),
  /** 0 is the most urgent. */
  rank: z.number().int().min(0),
  /** Several while traffic is split between services. */
  targets: z.array(routeTargetSchema).min(1),
  /** Largest number of attempts per request. */
  maxAttempts: z.number().int().min(1),
  resumable: z.boolean(),
  /** Longest pause between stream events within the objective. */
  gapObjectiveMs: z.number().positive().optional(),
  /** Whether requests need no key although the deployment has accounts. */
  isPublic: z.boolean().default(false)
})
export type Route = z.infer<typeof routeSchema>

export const modelSchema = z.object({
  name: z.string(),
  weightsMb: z.number().positive(),
  /** Load time from the weight store. */
  loadMs: z.number().positive(),
  /** Load time from the engine's memory. */
  warmLoadMs: z.number().positive(),
  /** Load time from the engine's disk. */
  diskLoadMs: z.number().positive(),
  adapterMb: z.number().min(0)
})
export type Model = z.infer<typeof modelSchema>

export const engineTypeSchema = z.object({
  slots: z.number().positive(),
  cacheTokens: z.number().positive(),
  weightsMb: z.number().positive(),
  adapterSlots: z.number().min(0),
  /** Loads per second that the weight store serves to all engines together. */
  storeLoadsPerSecond: z.number().positive(),
  /** Longest reservation of a slot that an engine grants; absent if it grants none. */
  maxReservationMs: z.number().positive().optional(),
  models: z.array(modelSchema)
})
export type EngineType = z.infer<typeof engineTypeSchema>

export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one backend server accepts from all nodes together. */
  maxConnections: z.number().positive(),
  /** Path of the health check, which servers answer whatever their state. */
  healthPath: z.string().optional(),
  /** Absent for plain services. */
  engine: engineTypeSchema.optional()
})
export type Service = z.infer<typeof serviceSchema>

export const clientLimitsSchema = z.object({
  maxHeaderBytes: z.number().positive(),
  maxBodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})
export type ClientLimits = z.infer<typeof clientLimitsSchema>

/** Limit on what all nodes together run for an account, as a token bucket. */
export const accountQuotaSchema = z.object({
  /** What `perSecond`, `burst` and the cost of a request are counted in. */
  unit: z.enum(['tokens', 'requests']),
  perSecond: z.number().positive(),
  burst: z.number().positive(),
  /** Cost of a request that states no token counts, if the unit is tokens. */
  plainTokens: z.number().min(0)
})
export type AccountQuota = z.infer<typeof accountQuotaSchema>

/** A client account. */
export const accountSchema = z.object({
  name: z.string(),
  /** SHA-256 of the account's keys, in hex. */
  keyHashes: z.array(z.string()),
  /** Rank of the account's requests; absent if the routes decide. */
  rank: z.number().int().min(0).optional(),
  quota: accountQuotaSchema.optional()
})
export type Account = z.infer<typeof accountSchema>

export const deploymentSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: clientLimitsSchema,
  /** Absent if requests need no keys. */
  accounts: z.array(accountSchema).optional()
})
export type Deployment = z.infer<typeof deploymentSchema>

export const loadedModelSchema = z.object({
  name: z.string(),
  adapters: z.array(z.string())
})
export type LoadedModel = z.infer<typeof loadedModelSchema>

/** A backend server's entry in the platform's store. */
export const backendEntrySchema = z.object({
  id: z.string(),
  service: z.string(),
  /** IP:PORT. */
  address: z.string(),
  availabilityZone: z.string(),
  slots: z.number(),
  isDraining: z.boolean(),
  /** Version of the software that it runs. */
  softwareVersion: z.string().optional(),
  /** Start of this incarnation, Unix milliseconds. */
  bornAtMs: z.number().optional(),
  /** Number of times that this incarnation has written its entry. */
  writes: z.number().optional(),
  /** Engines only: loaded models with their adapters. */
  models: z.array(loadedModelSchema),
  /** Engines only: models whose weights load faster, from memory or disk. */
  modelsInMemory: z.array(z.string()),
  modelsOnDisk: z.array(z.string())
})
export type BackendEntry = z.infer<typeof backendEntrySchema>

/** Response of an engine to a state query. */
export const engineReportSchema = z.object({
  models: z.array(loadedModelSchema),
  /** A command on a model is in progress. */
  isBusy: z.boolean(),
  /** Commands accepted so far. */
  orderCount: z.number(),
  /** `MODEL/ADAPTER` of adapters that are being loaded. */
  adaptersLoading: z.array(z.string()),
  modelsInMemory: z.array(z.string()),
  modelsOnDisk: z.array(z.string())
})
export type EngineReport = z.infer<typeof engineReportSchema>

export interface EngineCommand {
  action: 'load' | 'unload'
  model: string
  adapter?: string
  /** The engine rejects the command unless it has accepted exactly this many commands before. */
  expectedCommandCount: number
  holder: string
  fence: number
}

/**
 * Outcome of a command. One with the outcome `unknown` may still take effect later, but not after a newer command with
 * the same `expectedCommandCount`.
 */
export type CommandOutcome = 'started' | 'already-done' | 'conflict' | 'stale-fence' | 'invalid' | 'gone' | 'unknown'
