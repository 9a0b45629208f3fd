/** Schemas of the JSON that the platform's operator and backend servers write, decoded into this project's types. */

import { z } from 'zod'
import { hashKey } from '../policy/accountKeys.js'
import type { Account, AccountQuota, BackendEntry, Deployment, EngineReport, RequestKind } from '../serving/deployment.js'

/** Largest port number. */
const maxPort = 65_535
const maxOctet = 255
/** IDs of backend servers are header values of requests to them. */
const backendIdPattern = /^[\x21-\x7e]{1,200}$/

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/

/** IP:PORT to which a connection can be opened. */
export const addressSchema = z.string().refine(text => {
  const [ip, port] = text.split(':')
  return addressPattern.test(text) && ip!.split('.').every(octet => Number(octet) <= maxOctet) && Number(port) >= 1 && Number(port) <= maxPort
}, 'IP:PORT')

const kinds: Record<string, RequestKind> = { safe: 'idempotent', unsafe: 'unsafe', streaming: 'stream' }

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  path_prefix: z.string(),
  kind: z.enum(['safe', 'unsafe', 'streaming']),
  timeout_ms: z.number().positive(),
  // Latency objective; missing it is not an error.
  goal_ms: z.number().positive().optional(),
  priority: z.number().int().min(0).optional(),
  service: z.string().optional(),
  split: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).optional(),
  max_attempts: z.number().int().min(1).optional(),
  resumable: z.boolean().optional(),
  gap_target_ms: z.number().positive().nullish(),
  public: z.boolean().optional()
}).transform(route => ({
  name: route.name,
  host: route.host,
  pathPrefix: route.path_prefix,
  kind: kinds[route.kind]!,
  timeoutMs: route.timeout_ms,
  objectiveMs: route.goal_ms ?? route.timeout_ms,
  rank: route.priority ?? 5,
  targets: route.split?.length ? route.split.filter(target => target.weight > 0) : [{ service: route.service ?? '', weight: 1 }],
  maxAttempts: route.max_attempts ?? 1,
  resumable: route.resumable ?? false,
  gapObjectiveMs: route.gap_target_ms ?? undefined,
  isPublic: route.public ?? false
}))

const modelSchema = z.object({
  name: z.string(),
  weights_mb: z.number().positive(),
  load_s: z.number().positive(),
  warm_s: z.number().positive().optional(),
  disk_s: z.number().positive().optional(),
  adapter_mb: z.number().min(0).optional()
}).transform(model => ({
  name: model.name,
  weightsMb: model.weights_mb,
  loadMs: model.load_s * 1000,
  warmLoadMs: (model.warm_s ?? model.load_s) * 1000,
  diskLoadMs: (model.disk_s ?? model.load_s) * 1000,
  adapterMb: model.adapter_mb ?? 0
}))

/** An engine's response to a reservation request, with the ID of the reservation, which is written into a header. */
export const reservationSchema = z.object({ hold: z.union([z.string().regex(/^[\x21-\x7e]{1,200}$/), z.number()]).transform(String) })

const engineSchema = z.object({
  slots: z.number().positive(),
  // In tokens, although other fields with this name prefix are in bytes.
  kv_capacity: z.number().positive(),
  weights_mb: z.number().positive(),
  adapter_slots: z.number().min(0).optional(),
  loads_per_s: z.number().positive().optional(),
  // Longest time for which a slot can be reserved, in milliseconds.
  hold_ms: z.number().positive().optional(),
  models: z.array(modelSchema)
}).transform(engine => ({
  slots: engine.slots,
  cacheTokens: engine.kv_capacity,
  weightsMb: engine.weights_mb,
  adapterSlots: engine.adapter_slots ?? 0,
  storeLoadsPerSecond: engine.loads_per_s ?? 1,
  maxReservationMs: engine.hold_ms,
  models: engine.models
}))

const serviceSchema = z.object({
  name: z.string(),
  max_conns: z.number().positive(),
  // Written into request lines.
  health_path: z.string().regex(/^\/[\x21-\x7e]*$/).optional().catch(undefined),
  engine: engineSchema.nullish()
}).transform(service => ({ name: service.name, maxConnections: service.max_conns, healthPath: service.health_path, engine: service.engine ?? undefined }))

const tenantSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()).default([]),
  priority: z.number().int().min(0).nullish(),
  unit: z.string().nullish(),
  plain_tokens: z.number().min(0).nullish(),
  // 0 or absent: no limit.
  rate_per_s: z.number().min(0).nullish(),
  burst: z.number().min(0).nullish()
}).transform((tenant): Account => {
  const perSecond = tenant.rate_per_s ?? 0
  const quota: AccountQuota | undefined = perSecond > 0
    ? { unit: tenant.unit === 'token_count' ? 'tokens' : 'requests', perSecond, burst: tenant.burst || perSecond, plainTokens: tenant.plain_tokens ?? 0 }
    : undefined
  return { name: tenant.name, keyHashes: tenant.keys.map(hashKey), rank: tenant.priority ?? undefined, quota }
})

export const configSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: z.object({
    max_header_bytes: z.number().positive(),
    max_body_bytes: z.number().positive(),
    header_timeout_ms: z.number().positive(),
    idle_timeout_ms: z.number().positive()
  }).transform(limits => ({
    maxHeaderBytes: limits.max_header_bytes,
    maxBodyBytes: limits.max_body_bytes,
    headerTimeoutMs: limits.header_timeout_ms,
    idleTimeoutMs: limits.idle_timeout_ms
  })),
  tenants: z.array(tenantSchema).nullish()
}).transform(({ tenants, ...config }) => ({ ...config, accounts: tenants ?? undefined }))

/** The configuration as the platform's operator writes it. */
export type WireConfig = z.input<typeof configSchema>

const replicasSchema = z.array(z.object({ name: z.string(), adapters: z.array(z.string()).default([]) }))
const nearbyWeightsSchema = z.object({ in_memory: z.array(z.string()).default([]), on_disk: z.array(z.string()).default([]) }).default({ in_memory: [], on_disk: [] })

const backendSchema = z.object({
  service: z.string(),
  address: addressSchema,
  zone: z.string(),
  slots: z.number().positive(),
  state: z.enum(['ready', 'draining']),
  // Needed for no request, so an entry without a readable version is good.
  version: z.union([z.string(), z.number()]).transform(String).optional().catch(undefined),
  models: replicasSchema.default([]),
  // Counts the writes of the entry, unlike the field of this name in an engine's report.
  seq: z.number().optional().catch(undefined),
  born: z.number().int().optional(),
  at_hand: nearbyWeightsSchema
})

const reportSchema = z.object({
  models: replicasSchema.default([]),
  busy: z.boolean().default(false),
  // Number of accepted commands, unlike the field of this name in a store entry, which counts the entry's writes.
  seq: z.number(),
  coming: z.array(z.string()).default([]),
  at_hand: nearbyWeightsSchema
})

/** Returns NAME of `NAME@VERSION`. */
function withoutVersion (name: string): string {
  return name.split('@')[0]!
}

function replicasOf (models: z.infer<typeof replicasSchema>) {
  return models.map(({ name, adapters }) => ({ name, adapters: adapters.map(withoutVersion) }))
}

/** Position of an error of `JSON.parse` in the text, if it is known. The message itself quotes the text, which may contain keys of accounts. */
export function jsonErrorPosition (error: unknown): number | undefined {
  const position = /at position (\d+)/.exec((error as Error).message)?.[1]
  return position === undefined ? undefined : Number(position)
}

function parse<S extends z.ZodType, T> (schema: S, text: string, map: (value: z.infer<S>) => T): T | Error {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    const position = jsonErrorPosition(error)
    return new Error(`not valid JSON${position === undefined ? '' : ` at position ${position}`}`)
  }
  const result = schema.safeParse(value)
  return result.success ? map(result.data) : new Error(z.prettifyError(result.error))
}

export function readDeployment (text: string): Deployment | Error {
  return parse(configSchema, text, config => config)
}

export function readBackend (id: string, text: string): BackendEntry | Error {
  if (!backendIdPattern.test(id)) return new Error('the ID has characters other than visible ASCII')
  return parse(backendSchema, text, backend => ({
    id,
    service: backend.service,
    address: backend.address,
    availabilityZone: backend.zone,
    slots: backend.slots,
    isDraining: backend.state === 'draining',
    softwareVersion: backend.version,
    bornAtMs: backend.born,
    writes: backend.seq,
    models: replicasOf(backend.models),
    modelsInMemory: backend.at_hand.in_memory.map(withoutVersion),
    modelsOnDisk: backend.at_hand.on_disk.map(withoutVersion)
  }))
}

export function readReport (text: string): EngineReport | Error {
  return parse(reportSchema, text, report => ({
    models: replicasOf(report.models),
    isBusy: report.busy,
    orderCount: report.seq,
    adaptersLoading: report.coming.map(withoutVersion),
    modelsInMemory: report.at_hand.in_memory.map(withoutVersion),
    modelsOnDisk: report.at_hand.on_disk.map(withoutVersion)
  }))
}
