/** Decodes what the platform's operator and engines write, into the product's types. */

import { z } from 'zod'
import type { BackendEntry, Deployment, EngineReport, RequestKind } from '../serving/deployment.js'

const kinds: Record<string, RequestKind> = { safe: 'idempotent', unsafe: 'unsafe', streaming: 'stream' }

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  path_prefix: z.string(),
  kind: z.enum(['safe', 'unsafe', 'streaming']),
  timeout_ms: z.number().positive(),
  // A latency objective, which requests may miss.
  goal_ms: z.number().positive().optional(),
  priority: z.number().int().min(0).optional(),
  service: z.string().optional(),
  split: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).optional(),
  max_attempts: z.number().int().min(1).optional(),
  resumable: z.boolean().optional(),
  gap_target_ms: z.number().positive().nullish()
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
  gapObjectiveMs: route.gap_target_ms ?? undefined
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

/** Names a reserved place. */
export const reservationSchema = z.object({ hold: z.union([z.string(), z.number()]).transform(String) })

const engineSchema = z.object({
  slots: z.number().positive(),
  // Tokens, although other fields of that name prefix count bytes.
  kv_capacity: z.number().positive(),
  weights_mb: z.number().positive(),
  adapter_slots: z.number().min(0).optional(),
  loads_per_s: z.number().positive().optional(),
  // Longest time for which a place can be reserved.
  hold_ms: z.number().positive().optional(),
  models: z.array(modelSchema)
}).transform(engine => ({
  slots: engine.slots,
  cacheTokens: engine.kv_capacity,
  weightsMb: engine.weights_mb,
  adapterSlots: engine.adapter_slots ?? 0,
  storeLoadsPerSecond: engine.loads_per_s ?? 1,
  longestHoldMs: engine.hold_ms,
  models: engine.models
}))

const serviceSchema = z.object({
  name: z.string(),
  max_conns: z.number().positive(),
  engine: engineSchema.nullish()
}).transform(service => ({ name: service.name, maxConnections: service.max_conns, engine: service.engine ?? undefined }))

const configSchema = z.object({
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
  }))
})

const hostedModelsSchema = z.array(z.object({ name: z.string(), adapters: z.array(z.string()).default([]) }))
const atHandSchema = z.object({ in_memory: z.array(z.string()).default([]), on_disk: z.array(z.string()).default([]) }).default({ in_memory: [], on_disk: [] })

const beatSchema = z.object({
  service: z.string(),
  address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/),
  zone: z.string(),
  slots: z.number().positive(),
  state: z.enum(['ready', 'draining']),
  models: hostedModelsSchema.default([]),
  // `seq` counts the writes of the entry here, and accepted orders in the engine's report.
  born: z.number().int().optional(),
  at_hand: atHandSchema
})

const reportSchema = z.object({
  models: hostedModelsSchema.default([]),
  busy: z.boolean().default(false),
  // Accepted orders; the entry in the store has a field of the same name that counts its writes.
  seq: z.number(),
  coming: z.array(z.string()).default([]),
  at_hand: atHandSchema
})

/** `NAME@VERSION` without the version. */
function withoutVersion (name: string): string {
  return name.split('@')[0]!
}

function hostedOf (models: z.infer<typeof hostedModelsSchema>) {
  return models.map(({ name, adapters }) => ({ name, adapters: adapters.map(withoutVersion) }))
}

function parse<S extends z.ZodType, T> (schema: S, text: string, map: (value: z.infer<S>) => T): T | Error {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return error as Error
  }
  const result = schema.safeParse(value)
  return result.success ? map(result.data) : new Error(z.prettifyError(result.error))
}

export function readDeployment (text: string): Deployment | Error {
  return parse(configSchema, text, config => config)
}

export function readBackend (id: string, text: string): BackendEntry | Error {
  return parse(beatSchema, text, beat => ({
    id,
    service: beat.service,
    address: beat.address,
    availabilityZone: beat.zone,
    slots: beat.slots,
    isDraining: beat.state === 'draining',
    bornAtMs: beat.born,
    models: hostedOf(beat.models),
    modelsInMemory: beat.at_hand.in_memory.map(withoutVersion),
    modelsOnDisk: beat.at_hand.on_disk.map(withoutVersion)
  }))
}

export function readReport (text: string): EngineReport | Error {
  return parse(reportSchema, text, report => ({
    models: hostedOf(report.models),
    isBusy: report.busy,
    orderCount: report.seq,
    adaptersLoading: report.coming.map(withoutVersion),
    modelsInMemory: report.at_hand.in_memory.map(withoutVersion),
    modelsOnDisk: report.at_hand.on_disk.map(withoutVersion)
  }))
}
