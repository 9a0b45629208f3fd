/** Schemas of all messages between nodes. Field names end in their unit. Points in time are in ms since the Unix epoch. */

import { z } from 'zod'
import { engineRoles, engineStatusSchema } from '../external/engine.js'

/** Must be increased when a message changes in a way that an older node would misinterpret. */
export const protocolVersion = 2

const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'bytes expected')

export const memberStates = ['alive', 'suspect', 'dead', 'left'] as const

/** State that a node publishes about itself. Only the node itself increases `incarnation` or `sequence`. */
export const memberEntrySchema = z.object({
  name: z.string(),
  /** `IP:PORT` at which the node accepts messages of other nodes. */
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Start time of the process, in ms. Increases with each restart and each refuted suspicion. */
  incarnation: z.number(),
  state: z.enum(memberStates),
  /** Version of the fleet configuration in force on this node, or 0 if there is none. */
  configVersion: z.number(),
  /** Whether the node accepts callers. False while starting and in graceful shutdown. */
  ready: z.boolean(),
  sequence: z.number()
})
export type MemberEntry = z.infer<typeof memberEntrySchema>

/** State of an engine, published by its controller. */
export const engineEntrySchema = engineStatusSchema.extend({
  pool: z.string(),
  /** `IP:PORT` of the engine. */
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Name of the node that controls the engine. */
  controller: z.string(),
  /** Fencing token of the controller. If two nodes publish the engine, the higher token wins. */
  controlFence: z.number(),
  /** False while the engine does not respond to the controller. */
  reachable: z.boolean(),
  /** Free bytes for models, after subtracting loads that may still take effect. */
  freeModelBytes: z.number().optional(),
  /** Free bytes for adapters, after subtracting adapters that are granted but not loaded yet. */
  freeAdapterBytes: z.number().optional(),
  /** Models that cannot be unloaded until the engine restarts or responds to an outstanding load. */
  stickyModels: z.array(z.string()).optional()
})
export type EngineEntry = z.infer<typeof engineEntrySchema>

/** State of a backend server of a plain service, published by a node that checks it. */
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

/** Demand at one node, or the sum of several, for the planner. Model names have no version. */
export const demandEntrySchema = z.object({
  node: z.string(),
  models: z.array(z.object({
    model: z.string(),
    /** Arrivals since the last report, by rank in the order urgent, live, browsing. */
    arrivals: z.tuple([z.number(), z.number(), z.number()]),
    /** Number of requests that wait for the model at the time of the report. */
    waiting: z.number(),
    /** Generated tokens that the arrivals need. */
    tokens: z.number(),
    /** Earliest deadline of the waiting requests, or 0 if there are none. */
    earliestDeadlineMs: z.number()
  })),
  periodMs: z.number()
})
export type DemandEntry = z.infer<typeof demandEntrySchema>

/** A replicated entry. Each key has one writer at a time, and the higher `(epoch, sequence)` wins. */
export const versionedEntrySchema = z.object({
  key: z.string(),
  epoch: z.number(),
  sequence: z.number(),
  value: z.unknown()
})
export type VersionedEntry = z.infer<typeof versionedEntrySchema>

/** A change of an entry, with only the fields that differ from at least one of `bases`. */
export const entryPatchSchema = z.object({
  key: z.string(),
  /** Epoch and sequence of the new version. */
  version: z.tuple([z.number(), z.number()]),
  /** Versions to which the change can be applied. */
  bases: z.array(z.tuple([z.number(), z.number()])),
  set: z.record(z.string(), z.unknown()),
  /** For lists of named items: changed and new items, and the names of removed items. */
  lists: z.record(z.string(), z.object({ set: z.array(z.unknown()), remove: z.array(z.string()) }))
})
export type EntryPatch = z.infer<typeof entryPatchSchema>

/** Complete entries and patches that are sent in one message. */
export const entryChangesSchema = z.object({ entries: z.array(versionedEntrySchema), patches: z.array(entryPatchSchema) })
export type EntryChanges = z.infer<typeof entryChangesSchema>

const entryVersionSchema = z.tuple([z.string(), z.number(), z.number()])

/** Replaces all but the first `start` and the last `end` UTF-16 code units of a text by `insert`. */
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
  /** Updates about members. */
  members: z.array(memberEntrySchema),
  /** Hash of the sender's list of live members. */
  digest: z.number(),
  /**
   * Configuration versions that the sender received recently, each with the members that have it: as 4-byte name hashes,
   * or, if `namesDigest` is set, as one bit for each live member in the order of the name hashes.
   */
  configs: z.array(z.tuple([z.number(), bytesSchema])),
  /** Hash of the sender's names of live members. A receiver with other names must ignore `configs`. */
  namesDigest: z.number().optional(),
  entries: z.array(versionedEntrySchema)
}

/** A placement instruction from a planner to the controller of an engine. */
export const moveSchema = z.object({
  moveId: z.string(),
  engine: z.string(),
  load: z.string().optional(),
  loadBytes: z.number().optional(),
  /** Models to unload first, to free memory. */
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
  /**
   * Updates about members, also the reply to `memberDigest`. `wanted` holds name hashes of members whose entries the sender
   * requests.
   */
  z.object({ kind: z.literal('members'), members: z.array(memberEntrySchema), wanted: bytesSchema }),
  /** For each live member, the hash of its name and the hash of its entry, 4 bytes each. */
  z.object({ kind: z.literal('memberDigest'), hashes: bytesSchema }),
  /** Entries for the receiver. The reply has the same kind, with the entries of the keys in `wanted`. */
  z.object({ kind: z.literal('entries'), entries: z.array(versionedEntrySchema), wanted: z.array(z.string()) }),
  /** For each bucket of keys, a 4-byte hash of the versions in it. */
  z.object({ kind: z.literal('digest'), hashes: bytesSchema }),
  /** The sender's versions of all keys in the buckets that differ, except those in `recent`. */
  z.object({
    kind: z.literal('digestReply'),
    buckets: z.array(z.number()),
    versions: z.array(entryVersionSchema),
    /** 4-byte hashes of recently changed keys, whose change may still be in transit. */
    recent: bytesSchema
  }),
  /** Changes for the relay of the fleet, which bundles them and broadcasts them to all nodes. */
  z.object({ kind: z.literal('relay'), urgent: z.boolean(), ...entryChangesSchema.shape }),
  /** A broadcast to all members whose position for `seed` is in [from, to). The receiver forwards it unchanged. */
  z.object({
    kind: z.literal('spread'),
    seed: z.number(),
    from: z.number(),
    to: z.number(),
    /** Entries and patches as encoded by `packChanges`; empty if there are none. */
    changes: bytesSchema,
    baseMs: z.number(),
    loads: bytesSchema
  }),
  /** Load figures for the relay of an availability zone. */
  z.object({ kind: z.literal('loads'), baseMs: z.number(), loads: bytesSchema }),
  z.object({ kind: z.literal('configVersion'), version: z.number(), fromAddress: z.string() }),
  /** `whole` requests the complete text, after a delta did not apply. */
  z.object({ kind: z.literal('configPull'), haveVersion: z.number(), whole: z.boolean().optional() }),
  /** `compressedText` is empty if `delta` is set, or if the receiver has the same or a higher version. */
  z.object({ kind: z.literal('configBody'), version: z.number(), compressedText: bytesSchema, delta: textDeltaSchema.optional() }),
  z.object({ kind: z.literal('move'), move: moveSchema }),
  z.object({ kind: z.literal('moveReply'), accepted: z.boolean(), reason: z.string() }),
  // Demand for a planner. If it cannot place a model, it forwards the demand to the planner of another region, which must
  // not forward it again.
  z.object({ kind: z.literal('wanted'), node: z.string(), demand: demandEntrySchema, forwardedFrom: z.string().optional() }),
  /** Demand without waiting requests: of one node for the relay of its zone, or the sum of the relay for the planner. */
  z.object({ kind: z.literal('demand'), node: z.string(), isSum: z.boolean(), periodMs: z.number(), packed: bytesSchema }),
  z.object({ kind: z.literal('handOver'), engine: z.string(), fence: z.number(), record: z.string(), recordRevision: z.number() }),
  z.object({ kind: z.literal('query'), query: z.enum(['burn', 'trace', 'status']), argument: z.string() }),
  z.object({ kind: z.literal('queryReply'), json: z.string() }),
  z.object({ kind: z.literal('ok') }),
  z.object({ kind: z.literal('error'), message: z.string() })
])
export type PeerMessage = z.infer<typeof peerMessageSchema>
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, { kind: Kind }>

/** Sends messages to other nodes: over TCP in the daemon, within one process in tests. */
export interface PeerNetwork {
  /** Sends a message and resolves with the reply. Rejects with the error classes of `base/errors`. */
  request (address: string, message: PeerMessage, options: { timeoutMs: number }): Promise<PeerMessage>
}

/** Handles a message of another node and resolves with the reply. */
export type PeerHandler = (message: PeerMessage) => Promise<PeerMessage>
