/** Messages between the nodes and the placement leader. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import { sampleRowSchema } from '../policy/capacitySamples.js'
import { capacityRowsSchema } from '../policy/capacityTable.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import { partFactsSchema } from '../policy/partQuarantine.js'
import type { QueuePlace, SlotAnswer } from '../policy/slotQueue.js'
import { decodeBody, encodeBody } from '../protocol/framing.js'

/** ID and start time of a backend server's incarnation. */
const incarnationSchema = z.tuple([z.string(), z.number().nullable()])

/** A point in time by a node's steady clock and its wall clock, in milliseconds. */
const stampSchema = z.tuple([z.number(), z.number()])

/** State that a node sends to the leader several times a second. Rows instead of objects save bytes between regions. */
export const nodeReportSchema = z.object({
  node: z.string(),
  /** IP address on which the node is reached by others; in the first report of a connection. */
  ip: z.string().optional(),
  /** Service, model, waiting requests, most urgent rank. */
  waiting: z.array(z.tuple([z.string(), z.string(), z.number(), z.number()])),
  /** Service, model, adapter, waiting requests. */
  adapters: z.array(z.tuple([z.string(), z.string(), z.string(), z.number()])),
  /** Engine, model, requests in progress, most urgent rank. */
  running: z.array(z.tuple([z.string(), z.string(), z.number(), z.number()])),
  /** Engine, requests in progress or about to be sent that the leader assigned; absent without any. */
  assigned: z.array(z.tuple([z.string(), z.number()])).optional(),
  /** Engine, model, adapter of requests in progress or ended since the last report. */
  used: z.array(z.tuple([z.string(), z.string(), z.string()])),
  /** Service and model of requests that an engine rejected because the model was not loaded. */
  missing: z.array(z.tuple([z.string(), z.string()])),
  /** Engines whose actual state differs from the expected one. */
  misknown: z.array(z.string()),
  /** Backend server, requests with a response and failed requests since the last report. */
  outcomes: z.array(z.tuple([z.string(), z.number(), z.number()])),
  /** Backend servers that are leaving according to their responses; absent if there are none. */
  leaving: z.array(incarnationSchema).optional(),
  /** What this node has found out about prompt parts; absent without news. */
  parts: partFactsSchema.optional(),
  /** Time of the report by the node's clocks, if it wants its view of the store confirmed. */
  stamp: stampSchema.optional(),
  /** Samples of backend servers since the last report; absent without samples. */
  samples: z.array(sampleRowSchema).optional(),
  /** Number of the last assignment received from this leader, and tokens of the requests in progress by engine; only where tokens are accounted for. */
  tokens: z.object({ lastAssignment: z.number(), rows: z.array(z.tuple([z.string(), z.number()])) }).optional(),
  /** Learned rows that the leader lacks; only to a new leader. */
  capacity: capacityRowsSchema.optional()
})
export type NodeReport = z.infer<typeof nodeReportSchema>

/** A dispatch request: asks the leader for the engine of a request. */
export const dispatchRequestSchema = z.object({
  /** Number of the dispatch request, which the reply repeats. */
  ask: z.number(),
  /** Service, model, adapter, prompt tokens, rank, region, availability zone, longest pause between events. */
  row: z.tuple([z.string(), z.string(), z.string().nullable(), z.number(), z.number(), z.string(), z.string(), z.number().nullable()]),
  /** ID and tokens of the prompt parts that are shared with other requests. */
  parts: z.array(z.tuple([z.string(), z.number()])),
  /** Identity of the request, if engines have ended under any. */
  identity: z.string().optional(),
  /** Expected output tokens, if any are. */
  outputTokens: z.number().optional(),
  excluded: z.array(z.string()),
  /** The engines that may be chosen; absent if all may. */
  only: z.array(z.string()).optional(),
  /** Account, cost in tokens, time left, time left to meet the objective, whether the answer has begun. Present if the request waits in the leader's queue. */
  place: z.tuple([z.string().nullable(), z.number(), z.number(), z.number(), z.boolean()]).optional(),
  /** Time until the answer must be complete; with `place`. */
  answerLeftMs: z.number().optional(),
  isFirst: z.boolean(),
  isLate: z.boolean()
})
export type DispatchRequestMessage = z.infer<typeof dispatchRequestSchema>

export function encodeDispatchRequest ({ service, model, adapter, promptTokens, outputTokens, sharedParts, identity, rank, region, availabilityZone, gapObjectiveMs, excluded, only, isFirst, isLate }: DispatchRequest): Omit<DispatchRequestMessage, 'ask'> {
  return {
    row: [service, model, adapter ?? null, promptTokens, rank, region, availabilityZone, gapObjectiveMs ?? null],
    parts: sharedParts.map(({ id, tokens }) => [id, tokens]),
    ...(identity === undefined ? {} : { identity }),
    ...(outputTokens ? { outputTokens } : {}),
    excluded: [...excluded],
    ...(only === undefined ? {} : { only: [...only] }),
    isFirst,
    isLate
  }
}

export function decodeDispatchRequest ({ row, parts, identity, outputTokens, excluded, only, isFirst, isLate }: DispatchRequestMessage): DispatchRequest {
  const [service, model, adapter, promptTokens, rank, region, availabilityZone, gapObjectiveMs] = row
  const sharedParts = parts.map(([id, tokens]) => ({ id, tokens }))
  return {
    service, model, adapter: adapter ?? undefined, promptTokens, outputTokens, sharedParts, identity, rank, region, availabilityZone, gapObjectiveMs: gapObjectiveMs ?? undefined, excluded, ...(only === undefined ? {} : { only }), isFirst, isLate
  }
}

export function encodePlace ({ account, costTokens, leftMs, inTimeMs, hasBegun, answerLeftMs }: QueuePlace): Pick<DispatchRequestMessage, 'place' | 'answerLeftMs'> {
  return { place: [account ?? null, costTokens, Math.round(leftMs), Math.round(inTimeMs), hasBegun], ...(answerLeftMs === undefined ? {} : { answerLeftMs: Math.round(answerLeftMs) }) }
}

export function decodePlace ([account, costTokens, leftMs, inTimeMs, hasBegun]: NonNullable<DispatchRequestMessage['place']>, answerLeftMs?: number): QueuePlace {
  return { account: account ?? undefined, costTokens, leftMs, inTimeMs, hasBegun, answerLeftMs }
}

/** The node no longer needs the engine of a dispatch request: it leaves the queue, or its assignment is taken back. With `hasRun`, the slot was used and is free again. */
export const slotCancelSchema = z.object({ cancel: z.number(), hasRun: z.literal(true).optional() })
export type SlotCancel = z.infer<typeof slotCancelSchema>

/** Account, tokens. */
const tokenRowsSchema = z.array(z.tuple([z.string(), z.number()]))

/** Asks the leader, or the deputy while there is no leader, for tokens of account quotas. */
export const quotaAskSchema = z.object({
  /** Name of the node, in the first message of a connection to a deputy. With it, `spent` is all that the node spent in the last window. */
  node: z.string().optional(),
  /** Number of the query, which the reply repeats; 0 without rows, which needs no reply. */
  quotaAsk: z.number(),
  /** Account, cost of a request, tokens wanted beyond it. */
  rows: z.array(z.tuple([z.string(), z.number(), z.number()])),
  /** Tokens of requests that did not run, and prefetched ones that were not used. */
  returned: tokenRowsSchema.optional(),
  /** By account, ages in milliseconds and tokens spent in the last window that this leader did not grant. */
  spent: z.array(z.tuple([z.string(), z.array(z.tuple([z.number(), z.number()]))])).optional()
})
export type QuotaAskMessage = z.infer<typeof quotaAskSchema>

/**
 * The reply, with a row for each row of the query: account, granted tokens, time until a retry. Without both, the node decides.
 * With number 0, a deputy asks for all that the node spent in the last window.
 */
export const quotaReplySchema = z.object({
  quotaAsk: z.number(),
  rows: z.array(z.tuple([z.string(), z.number(), z.number().nullable()]))
})
export type QuotaReply = z.infer<typeof quotaReplySchema>

/** Limits on the records of one message. */
const maxRecordRows = 1000
const maxDigestsLength = 1024 * 1024

/** Records of streams that the leader writes to the store for a node. */
export const streamBatchSchema = z.object({
  /** Number of the batch, which the reply repeats. */
  streamBatch: z.number(),
  /** Service, version, digests one after the other. */
  rows: z.array(z.tuple([z.string(), z.string(), z.string().max(maxDigestsLength)])).max(maxRecordRows)
})
export type StreamBatch = z.infer<typeof streamBatchSchema>

/** The leader has written a batch of records. */
export const streamBatchWrittenSchema = z.object({ writtenBatch: z.number() })
export type StreamBatchWritten = z.infer<typeof streamBatchWrittenSchema>

export const nodeMessageSchema = z.union([quotaAskSchema, dispatchRequestSchema, slotCancelSchema, streamBatchSchema, nodeReportSchema])
export type NodeMessage = z.infer<typeof nodeMessageSchema>

/** The leader's reply to a dispatch request. */
export const dispatchReplySchema = z.object({
  ask: z.number(),
  /** The engine for the request. Without it and `waitMs`, the leader knows no suitable engine. */
  engine: z.string().optional(),
  /** ID of the trial as which the request may be sent: its prompt parts are under suspicion. */
  trial: z.string().optional(),
  /** Expected prefill time with a delay factor of 1, in milliseconds; only where capacity is learned. */
  priorMs: z.number().optional(),
  /** Number of the assignment; only where tokens are accounted for. */
  assignment: z.number().optional(),
  /** Delay before the next dispatch request: no engine has free capacity now. */
  waitMs: z.number().optional(),
  /** The request waits in the leader's queue; another reply with the same number follows. */
  queued: z.literal(true).optional(),
  /** The request cannot be served in time; the client may return after this time. */
  refusedMs: z.number().optional()
})
export type DispatchReply = z.infer<typeof dispatchReplySchema>

export function encodeDispatchDecision (choice: DispatchDecision | undefined): Omit<DispatchReply, 'ask'> {
  if (!choice) return {}
  if (choice.kind === 'engine') {
    const { id, trial, priorMs, assignment } = choice
    return { engine: id, ...(trial === undefined ? {} : { trial }), ...(priorMs === undefined ? {} : { priorMs: Math.round(priorMs) }), ...(assignment === undefined ? {} : { assignment }) }
  }
  return { waitMs: Math.ceil(choice.forMs) }
}

export function decodeDispatchDecision ({ engine, trial, priorMs, assignment, waitMs }: DispatchReply): DispatchDecision | undefined {
  if (engine !== undefined) {
    return { kind: 'engine', id: engine, ...(trial === undefined ? {} : { trial }), ...(priorMs === undefined ? {} : { priorMs }), ...(assignment === undefined ? {} : { assignment }) }
  }
  return waitMs === undefined ? undefined : { kind: 'wait', forMs: waitMs }
}

/** A reply that ends the wait in the leader's queue. */
export function encodeSlotAnswer (answer: SlotAnswer): Omit<DispatchReply, 'ask'> {
  if (answer.kind === 'engine') return encodeDispatchDecision(answer)
  return answer.kind === 'refused' ? { refusedMs: Math.ceil(answer.retryAfterMs) } : {}
}

/** The leader's reply to a request for a place in its queue. */
export function decodeSlotReply (reply: DispatchReply): SlotAnswer | { kind: 'queued' } {
  if (reply.queued) return { kind: 'queued' }
  if (reply.refusedMs !== undefined) return { kind: 'refused', retryAfterMs: reply.refusedMs }
  const decision = decodeDispatchDecision(reply)
  return decision?.kind === 'engine' ? decision : { kind: 'lost' }
}

const adapterRowSchema = z.tuple([z.string(), z.number()])
export const replicaPhaseSchema = z.enum(['held', 'coming', 'leaving'])
/** Name, time until it is ready, phase, adapters. */
const modelRowSchema = z.tuple([z.string(), z.number(), replicaPhaseSchema, z.array(adapterRowSchema)])

/** Key, revision, value (`null`: the key was removed). */
const changeRowsSchema = z.array(z.tuple([z.string(), z.number(), z.string().nullable()]))
export type ChangeRows = z.infer<typeof changeRowsSchema>

/** Store changes after `fromRevision` up to `revision`, without those that only the leader needs. */
export interface ChangeRange {
  fromRevision: number
  revision: number
  changes: ChangeRows
}

/** Store changes and the state of the store as the leader sees it. */
export const storeUpdateSchema = z.object({
  fromRevision: z.number(),
  revision: z.number(),
  /** Compressed rows, since a configuration is sent to all nodes at once; empty without changes. */
  changes: z.custom<Uint8Array>(value => value instanceof Uint8Array),
  /** Time since the store's last response to the leader. */
  ageMs: z.number(),
  nodeCount: z.number(),
  /** Time since the end of the last store outage that the leader saw; `null` if there was none. */
  returnedMsAgo: z.number().nullable()
})
export type StoreUpdate = z.infer<typeof storeUpdateSchema>

export function packChanges (rows: ChangeRows): Uint8Array {
  return rows.length === 0 ? new Uint8Array() : deflateRawSync(encodeBody(rows))
}

/** Limit on decompressed changes: bytes that expand without end must not end this process. */
const maxUnpackedBytes = 64 * 1024 * 1024

export function unpackChanges (bytes: Uint8Array): ChangeRows | Error {
  if (bytes.length === 0) return []
  try {
    return decodeBody(inflateRawSync(bytes, { maxOutputLength: maxUnpackedBytes }), changeRowsSchema)
  } catch (error) {
    return error as Error
  }
}

/** An update of the leader to the nodes. */
export const leaderReportSchema = z.object({
  fence: z.number(),
  /** Absent if the update is only about engines. */
  news: storeUpdateSchema.optional(),
  /** Engine, models: engines that changed since the last update. */
  hosting: z.array(z.tuple([z.string(), z.array(modelRowSchema)])),
  /** Engine, requests in progress from all nodes. */
  running: z.array(z.tuple([z.string(), z.number()])),
  /** Backend servers that are leaving according to their responses to any node; absent if there are none. */
  leaving: z.array(incarnationSchema).optional(),
  /** What all nodes have found out about prompt parts; absent without news. */
  parts: partFactsSchema.optional(),
  /** Rows of learned capacity that changed, or all of them; absent without changes. */
  capacity: capacityRowsSchema.extend({ isFull: z.boolean().optional() }).optional(),
  /** IP addresses of all nodes, now and then: what a node finds out while there is no leader goes to them. */
  nodes: z.array(z.string()).optional(),
  /** IP addresses of the nodes that decide on quotas while there is no leader, the first that is reached; only with account quotas and after a change. */
  deputies: z.array(z.string()).optional(),
  /** Demand of accounts as a share of their quota; only what changed. */
  quotaLoads: tokenRowsSchema.optional()
})
export type LeaderReport = z.infer<typeof leaderReportSchema>

/** The leader's reply to a report with a stamp: a view with all changes up to `revision` was current `ageMs` before the stamp. */
export const confirmationSchema = z.object({
  stamp: stampSchema,
  revision: z.number(),
  ageMs: z.number()
})
export type Confirmation = z.infer<typeof confirmationSchema>

export const leaderMessageSchema = z.union([quotaReplySchema, dispatchReplySchema, leaderReportSchema, confirmationSchema, streamBatchWrittenSchema])
export type LeaderMessage = z.infer<typeof leaderMessageSchema>
