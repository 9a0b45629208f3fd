/** The interface of a model engine. */

import { z } from 'zod'

export const engineRoles = ['mixed', 'prefill', 'decode'] as const

/** One copy of a model on an engine. `name` includes the version: `NAME@VERSION`. */
export const loadedModelSchema = z.object({
  name: z.string(),
  state: z.enum(['loading', 'ready', 'unloading']),
  memoryBytes: z.number()
})
export type LoadedModel = z.infer<typeof loadedModelSchema>

/** One adapter on an engine, batched with its base model. */
export const loadedAdapterSchema = z.object({
  name: z.string(),
  baseModel: z.string(),
  state: z.enum(['loading', 'ready']),
  memoryBytes: z.number()
})
export type LoadedAdapter = z.infer<typeof loadedAdapterSchema>

/**
 * What an engine reports of itself. The load figures (`running`, `queued`, `freeKvTokens`) lag behind by up to a
 * second; `fence`, `models` and `adapters` in the reply to a command are exact.
 */
export const engineStatusSchema = z.object({
  engine: z.string(),
  /** New for each start of the engine's process. A new incarnation holds no models. */
  incarnation: z.string(),
  /** Highest fencing number seen by this incarnation; 0 if none, or if the engine ignores fencing numbers. */
  fence: z.number(),
  role: z.enum(engineRoles),
  /** In graceful shutdown: finishes what it runs and refuses new work. */
  draining: z.boolean(),
  accelerators: z.number(),
  /** Memory of all accelerators for weights, adapters and KV cache. */
  memoryBytes: z.number(),
  /** Memory that the engine keeps for KV cache; weights and adapters must fit in the rest. */
  kvCacheBytes: z.number(),
  models: z.array(loadedModelSchema),
  adapters: z.array(loadedAdapterSchema),
  running: z.number(),
  queued: z.number(),
  maxBatch: z.number(),
  freeKvTokens: z.number(),
  /** Mean time between tokens of a running request at the current batch size. */
  stepMs: z.number(),
  reportedAtMs: z.number()
})
export type EngineStatus = z.infer<typeof engineStatusSchema>

const commandBase = { commandId: z.string(), fence: z.number() }

/** Commands to an engine. `claim` changes nothing but the highest fencing number seen. */
export const engineCommandSchema = z.discriminatedUnion('kind', [
  z.object({ ...commandBase, kind: z.literal('claim') }),
  z.object({ ...commandBase, kind: z.literal('load'), model: z.string(), memoryBytes: z.number() }),
  z.object({ ...commandBase, kind: z.literal('unload'), model: z.string() }),
  z.object({ ...commandBase, kind: z.literal('loadAdapter'), adapter: z.string(), baseModel: z.string(), memoryBytes: z.number() }),
  z.object({ ...commandBase, kind: z.literal('unloadAdapter'), adapter: z.string() }),
  z.object({ ...commandBase, kind: z.literal('setRole'), role: z.enum(engineRoles) })
])
export type EngineCommand = z.infer<typeof engineCommandSchema>

export const commandRefusals = ['stale-fence', 'no-memory', 'unknown-model', 'draining', 'store-failed'] as const

/** The reply to a command, sent when the command has taken effect (a load: when the model is ready) or was refused. */
export const commandReplySchema = z.object({
  accepted: z.boolean(),
  refusal: z.enum(commandRefusals).optional(),
  status: engineStatusSchema
})
export type CommandReply = z.infer<typeof commandReplySchema>

/** A request for tokens. `model` includes the version. */
export const inferenceRequestSchema = z.object({
  requestId: z.string(),
  /** New for each attempt of the same request; events carry it, so that late ones of an earlier attempt are dropped. */
  attemptId: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  prompt: z.string(),
  maxTokens: z.number(),
  /** Larger runs first. */
  priority: z.number(),
  /** Tokens that the caller already has; generation continues after them. */
  generatedTokens: z.array(z.string()).optional()
})
export type InferenceRequest = z.infer<typeof inferenceRequestSchema>

/** Events of a running request. A stream without `end` is incomplete. `index` counts from 0 over all attempts. */
export const inferenceEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('token'), requestId: z.string(), attemptId: z.string(), index: z.number(), text: z.string() }),
  z.object({
    kind: z.literal('end'),
    requestId: z.string(),
    attemptId: z.string(),
    finishReason: z.enum(['stop', 'length']),
    promptTokens: z.number(),
    completionTokens: z.number()
  })
])
export type InferenceEvent = z.infer<typeof inferenceEventSchema>

/** Changes of an engine's prompt-prefix cache. Published late and with gaps: `sequence` shows them. */
export const cacheEventSchema = z.object({
  sequence: z.number(),
  kind: z.enum(['stored', 'evicted']),
  model: z.string(),
  prefixHash: z.number(),
  tokens: z.number()
})
export type CacheEvent = z.infer<typeof cacheEventSchema>

/** Exported KV cache of a running or ended request. */
export const kvExportSchema = z.object({ requestId: z.string(), model: z.string(), tokens: z.number(), memoryBytes: z.number(), data: z.string() })
export type KvExport = z.infer<typeof kvExportSchema>

/**
 * One engine over one session. The session is bound to the incarnation that it read first: when the engine's process
 * changes, calls reject with `NotRunError` and a new session is needed, so an command for an old process cannot reach a
 * new one. Calls reject with the error classes of `base/errors`.
 */
export interface EngineSession {
  readonly engine: string
  readonly incarnation: string
  command (command: EngineCommand, options: { timeoutMs: number }): Promise<CommandReply>
}

/** Access to one engine. Calls reject with the error classes of `base/errors`. */
export interface EngineApi {
  readonly engine: string
  /** Reads the engine's status. */
  status (options: { timeoutMs: number }): Promise<EngineStatus>
  /** Opens a session for commands to the engine's present incarnation. */
  openSession (options: { timeoutMs: number }): Promise<EngineSession>
  /**
   * Runs a request. The iterator rejects with `NotRunError` (also if the model is not ready, or the engine drains)
   * only before the first event. Aborting `signal` cancels the request on the engine.
   */
  infer (request: InferenceRequest, options: { signal?: AbortSignal }): AsyncIterable<InferenceEvent>
  /** Continues to read a request that still runs on the engine, from token `fromIndex` on. */
  resume (requestId: string, fromIndex: number, options: { attemptId: string, signal?: AbortSignal }): AsyncIterable<InferenceEvent>
  cancel (requestId: string): Promise<void>
  /** Cache events after `afterSequence`, oldest first; some may be missing. */
  cacheEvents (afterSequence: number): Promise<CacheEvent[]>
  exportKv (requestId: string): Promise<KvExport>
  importKv (kv: KvExport): Promise<void>
  /** Ends idle connections. The engine is not used afterwards. */
  close? (): void
}
