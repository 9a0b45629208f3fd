/** Every message between nodes, in one place. Fields carry their unit; times are milliseconds since the Unix epoch. */

import { z } from 'zod'
import { engineRoles, engineStatusSchema } from '../external/engine.js'

/** Raised when a message changes in a way that an older node would misread. */
export const protocolVersion = 2

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'bytes expected')

export const memberStates = ['alive', 'suspect', 'dead', 'left'] as const

/** What a node publishes of itself. Only the node itself raises `incarnation` or `sequence`. */
export const memberEntrySchema = z.object({
  name: z.string(),
  /** `IP:PORT` of the peers' port. */
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Start time of the process; grows with each restart and each refuted suspicion. */
  incarnation: z.number(),
  state: z.enum(memberStates),
  /** Version of the fleet configuration in force on this node; 0 if none. */
  configVersion: z.number(),
  /** Accepts callers. False while starting and in graceful shutdown. */
  ready: z.boolean(),
  sequence: z.number()
})
export type MemberEntry = z.infer<typeof memberEntrySchema>

/** What the controller of an engine publishes of it. */
export const engineEntrySchema = engineStatusSchema.extend({
  pool: z.string(),
  /** `IP:PORT` of the engine. */
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Name of the node that controls the engine. */
  controller: z.string(),
  /** Fencing number under which the controller writes; the higher one wins when two nodes publish. */
  controlFence: z.number(),
  /** False while the controller gets no answers from the engine. */
  reachable: z.boolean(),
  /** Bytes for models by the controller's account, which also counts loads that may still take effect. */
  freeModelBytes: z.number().optional(),
  /** Bytes for further adapters by the controller's account, which also counts adapters that are granted and not loaded. */
  freeAdapterBytes: z.number().optional(),
  /** Models that cannot be unloaded until the engine restarts or an outstanding load is answered. */
  stickyModels: z.array(z.string()).optional()
})
export type EngineEntry = z.infer<typeof engineEntrySchema>

/** A backend server of a plain service, published by the node that checks it. */
export const serviceEntrySchema = z.object({
  server: z.string(),
  service: z.string(),
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  draining: z.boolean(),
  reachable: z.boolean()
})
export type ServiceEntry = z.infer<typeof serviceEntrySchema>

/** Demand that one node saw, for the planner. Model names carry no version. */
export const demandEntrySchema = z.object({
  node: z.string(),
  models: z.array(z.object({
    model: z.string(),
    /** Arrivals since the last report, by rank in the order urgent, live, browsing. */
    arrivals: z.tuple([z.number(), z.number(), z.number()]),
    /** Requests that wait for the model now. */
    waiting: z.number(),
    /** Work of the arrivals, in generated tokens. */
    tokens: z.number(),
    /** Earliest deadline among the waiting ones; 0 if none waits. */
    earliestDeadlineMs: z.number()
  })),
  periodMs: z.number()
})
export type DemandEntry = z.infer<typeof demandEntrySchema>

/** A replicated entry. The higher `(epoch, sequence)` wins; one writer at a time owns a key. */
export const versionedEntrySchema = z.object({
  key: z.string(),
  epoch: z.number(),
  sequence: z.number(),
  value: z.unknown()
})
export type VersionedEntry = z.infer<typeof versionedEntrySchema>

/** A change of an entry; only fields that differ from one of `bases` are carried. */
export const entryPatchSchema = z.object({
  key: z.string(),
  /** Epoch and sequence of the new version. */
  version: z.tuple([z.number(), z.number()]),
  /** Versions to which the change can be applied. */
  bases: z.array(z.tuple([z.number(), z.number()])),
  set: z.record(z.string(), z.unknown()),
  /** For lists of named items: items that changed or are new, and names of removed items. */
  lists: z.record(z.string(), z.object({ set: z.array(z.unknown()), remove: z.array(z.string()) }))
})
export type EntryPatch = z.infer<typeof entryPatchSchema>

/** Whole entries and patches that travel together. */
export const entryChangesSchema = z.object({ entries: z.array(versionedEntrySchema), patches: z.array(entryPatchSchema) })
export type EntryChanges = z.infer<typeof entryChangesSchema>

const entryVersionSchema = z.tuple([z.string(), z.number(), z.number()])

/** Replaces everything but the first `start` and the last `end` UTF-16 units of a text. */
export const textDeltaSchema = z.object({
  start: z.number().int(),
  end: z.number().int(),
  insert: z.string(),
  /** SHA-256 of the changed text, base64. */
  hash: z.string()
})
export type TextDelta = z.infer<typeof textDeltaSchema>

const heartbeat = {
  from: memberEntrySchema,
  /** News of other members. */
  members: z.array(memberEntrySchema),
  /** Hash of the sender's list of live members. */
  digest: z.number(),
  /**
   * Configuration versions that the sender learned lately, each with its members: as name hashes of 4 bytes each, or, if
   * `namesDigest` is set, as a bit for each live member in the order of the name hashes.
   */
  configs: z.array(z.tuple([z.number(), bytesSchema])),
  /** Hash of the names of the live members. A receiver with another list cannot read the bits. */
  namesDigest: z.number().optional(),
  entries: z.array(versionedEntrySchema)
}

/** One placement instruction of a planner to the controller of an engine. */
export const moveSchema = z.object({
  moveId: z.string(),
  engine: z.string(),
  load: z.string().optional(),
  loadBytes: z.number().optional(),
  /** Models to unload first to make room. */
  unload: z.array(z.string()),
  loadAdapters: z.array(z.object({ adapter: z.string(), baseModel: z.string(), memoryBytes: z.number() })),
  /** New role of the engine, set after the unloads and before the load. */
  setRole: z.enum(engineRoles).optional(),
  reason: z.string()
})
export type Move = z.infer<typeof moveSchema>

export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ping'), ...heartbeat }),
  z.object({ kind: z.literal('ack'), ...heartbeat }),
  z.object({ kind: z.literal('pingRequest'), targetAddress: z.string(), targetName: z.string() }),
  z.object({ kind: z.literal('pingReply'), reached: z.boolean() }),
  /** News of members; also answers `memberDigest`. `wanted` holds name hashes of members whose entry the sender lacks. */
  z.object({ kind: z.literal('members'), members: z.array(memberEntrySchema), wanted: bytesSchema }),
  /** Pairs of the hash of a name and the hash of its entry, for all live members, 4 bytes each. */
  z.object({ kind: z.literal('memberDigest'), hashes: bytesSchema }),
  /** Entries of an exchange between two nodes. The reply has the entries of the keys in `wanted`. */
  z.object({ kind: z.literal('entries'), entries: z.array(versionedEntrySchema), wanted: z.array(z.string()) }),
  /** Hashes of the versions in each bucket of keys, 4 bytes each. */
  z.object({ kind: z.literal('digest'), hashes: bytesSchema }),
  /** Versions of all keys in the buckets that differ, as seen by the sender. */
  z.object({
    kind: z.literal('digestReply'),
    buckets: z.array(z.number()),
    versions: z.array(entryVersionSchema),
    /** Keys that changed lately and whose change is still on its way; hashes of 4 bytes. */
    recent: bytesSchema
  }),
  /** Changes for the relay of the fleet, which bundles them and passes them on to the whole fleet. */
  z.object({ kind: z.literal('relay'), urgent: z.boolean(), ...entryChangesSchema.shape }),
  /** Changes for all members whose position under `seed` is in [from, to); the receiver passes them on unchanged. */
  z.object({
    kind: z.literal('spread'),
    seed: z.number(),
    from: z.number(),
    to: z.number(),
    /** Entries and patches as `packing.ts` packs them; empty if there are none. */
    changes: bytesSchema,
    baseMs: z.number(),
    loads: bytesSchema
  }),
  /** Load figures for the relay of an availability zone. */
  z.object({ kind: z.literal('loads'), baseMs: z.number(), loads: bytesSchema }),
  z.object({ kind: z.literal('configVersion'), version: z.number(), fromAddress: z.string() }),
  /** `whole` asks for the whole text after a delta did not fit. */
  z.object({ kind: z.literal('configPull'), haveVersion: z.number(), whole: z.boolean().optional() }),
  /** Both texts are absent if the receiver has the version or a higher one. */
  z.object({ kind: z.literal('configBody'), version: z.number(), compressedText: bytesSchema, delta: textDeltaSchema.optional() }),
  z.object({ kind: z.literal('move'), move: moveSchema }),
  z.object({ kind: z.literal('moveReply'), accepted: z.boolean(), reason: z.string() }),
  // A planner that cannot place a model sends it to another region's planner, which does not send it on.
  z.object({ kind: z.literal('wanted'), node: z.string(), demand: demandEntrySchema, forwardedFrom: z.string().optional() }),
  /** Demand for which nothing waits: of one node for the relay of its zone, or the relay's sum for the planner. */
  z.object({ kind: z.literal('demand'), node: z.string(), isSum: z.boolean(), periodMs: z.number(), packed: bytesSchema }),
  z.object({ kind: z.literal('handOver'), engine: z.string(), fence: z.number(), record: z.string(), recordRevision: z.number() }),
  z.object({ kind: z.literal('query'), query: z.enum(['burn', 'trace', 'status']), argument: z.string() }),
  z.object({ kind: z.literal('queryReply'), json: z.string() }),
  z.object({ kind: z.literal('ok') }),
  z.object({ kind: z.literal('error'), message: z.string() })
])
export type PeerMessage = z.infer<typeof peerMessageSchema>
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, { kind: Kind }>

/** Sends messages to other nodes. The daemon does so over TCP, tests in the same process. */
export interface PeerNetwork {
  /** Sends a message and waits for the reply. Rejects with the error classes of `base/errors`. */
  request (address: string, message: PeerMessage, options: { timeoutMs: number }): Promise<PeerMessage>
}

/** Answers a message of another node. */
export type PeerHandler = (message: PeerMessage) => Promise<PeerMessage>
