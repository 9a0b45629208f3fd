/** Messages between the nodes and the placement leader. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import type { DispatchAsk, DispatchChoice } from '../policy/dispatchDesk.js'
import { decodeBody, encodeBody } from '../protocol/framing.js'

/** What a node tells the leader, several times a second. Rows instead of objects, since the bytes cross regions. */
export const nodeReportSchema = z.object({
  node: z.string(),
  /** Service, model, requests that wait, most urgent rank. */
  waiting: z.array(z.tuple([z.string(), z.string(), z.number(), z.number()])),
  /** Service, model, adapter, requests that wait. */
  adapters: z.array(z.tuple([z.string(), z.string(), z.string(), z.number()])),
  /** Engine, model, requests in progress, most urgent rank. */
  running: z.array(z.tuple([z.string(), z.string(), z.number(), z.number()])),
  /** Engine, model, adapter that requests use or used since the last report. */
  used: z.array(z.tuple([z.string(), z.string(), z.string()])),
  /** Engine and model of requests that it refused because the model was not loaded. */
  missing: z.array(z.tuple([z.string(), z.string()])),
  /** Engines that do not hold what they were thought to hold. */
  misknown: z.array(z.string()),
  /** Backend server, requests that it answered and that failed since the last report. */
  outcomes: z.array(z.tuple([z.string(), z.number(), z.number()]))
})
export type NodeReport = z.infer<typeof nodeReportSchema>

/** A request that needs an engine. */
export const dispatchRequestSchema = z.object({
  /** Number of the question. */
  ask: z.number(),
  /** Service, model, adapter, prompt tokens, rank, region, availability zone, longest pause between events. */
  row: z.tuple([z.string(), z.string(), z.string().nullable(), z.number(), z.number(), z.string(), z.string(), z.number().nullable()]),
  /** ID and tokens of the prompt parts that other requests share. */
  parts: z.array(z.tuple([z.string(), z.number()])),
  excluded: z.array(z.string()),
  isFirst: z.boolean(),
  isLate: z.boolean()
})
export type DispatchRequestMessage = z.infer<typeof dispatchRequestSchema>

export function encodeDispatchRequest ({ service, model, adapter, promptTokens, sharedParts, rank, region, availabilityZone, gapObjectiveMs, excluded, isFirst, isLate }: DispatchAsk): Omit<DispatchRequestMessage, 'ask'> {
  return {
    row: [service, model, adapter ?? null, promptTokens, rank, region, availabilityZone, gapObjectiveMs ?? null],
    parts: sharedParts.map(({ id, tokens }) => [id, tokens]),
    excluded: [...excluded],
    isFirst,
    isLate
  }
}

export function decodeDispatchRequest ({ row, parts, excluded, isFirst, isLate }: DispatchRequestMessage): DispatchAsk {
  const [service, model, adapter, promptTokens, rank, region, availabilityZone, gapObjectiveMs] = row
  const sharedParts = parts.map(([id, tokens]) => ({ id, tokens }))
  return {
    service, model, adapter: adapter ?? undefined, promptTokens, sharedParts, rank, region, availabilityZone, gapObjectiveMs: gapObjectiveMs ?? undefined, excluded, isFirst, isLate
  }
}

export const nodeMessageSchema = z.union([dispatchRequestSchema, nodeReportSchema])
export type NodeMessage = z.infer<typeof nodeMessageSchema>

/** The answer to a question. */
export const dispatchReplySchema = z.object({
  ask: z.number(),
  /** Engine to send to. Without it and `waitMs`, the leader knows none. */
  engine: z.string().optional(),
  /** Time after which to ask again: no engine has room now. */
  waitMs: z.number().optional()
})
export type DispatchReply = z.infer<typeof dispatchReplySchema>

export function encodeDispatchDecision (choice: DispatchChoice | undefined): Omit<DispatchReply, 'ask'> {
  if (!choice) return {}
  return choice.kind === 'engine' ? { engine: choice.id } : { waitMs: Math.ceil(choice.forMs) }
}

export function decodeDispatchDecision ({ engine, waitMs }: DispatchReply): DispatchChoice | undefined {
  if (engine !== undefined) return { kind: 'engine', id: engine }
  return waitMs === undefined ? undefined : { kind: 'wait', forMs: waitMs }
}

const adapterRowSchema = z.tuple([z.string(), z.number()])
export const replicaPhaseSchema = z.enum(['held', 'coming', 'leaving'])
/** Name, time until it is ready, phase, adapters. */
const modelRowSchema = z.tuple([z.string(), z.number(), replicaPhaseSchema, z.array(adapterRowSchema)])

/** Key, revision, value (`null`: the key was removed). */
const changeRowsSchema = z.array(z.tuple([z.string(), z.number(), z.string().nullable()]))
export type ChangeRows = z.infer<typeof changeRowsSchema>

/** Changes of the store after one revision and up to another, without those that matter only to the leader. */
export interface ChangeRange {
  fromRevision: number
  revision: number
  changes: ChangeRows
}

/** What the leader knows of the store. */
export const storeUpdateSchema = z.object({
  fromRevision: z.number(),
  revision: z.number(),
  /** Compressed rows, since a configuration goes to all nodes at once; empty if there are none. */
  changes: z.custom<Uint8Array>(value => value instanceof Uint8Array),
  /** Time since the store last answered the leader. */
  ageMs: z.number(),
  nodeCount: z.number(),
  /** Time since the end of the last outage that the leader saw. */
  returnedMsAgo: z.number().nullable()
})
export type StoreUpdate = z.infer<typeof storeUpdateSchema>

export function packChanges (rows: ChangeRows): Uint8Array {
  return rows.length === 0 ? new Uint8Array() : deflateRawSync(encodeBody(rows))
}

export function unpackChanges (bytes: Uint8Array): ChangeRows | Error {
  if (bytes.length === 0) return []
  try {
    return decodeBody(inflateRawSync(bytes), changeRowsSchema)
  } catch (error) {
    return error as Error
  }
}

/** What the leader tells the nodes. */
export const leaderReportSchema = z.object({
  fence: z.number(),
  /** Absent if the message is only about engines. */
  news: storeUpdateSchema.optional(),
  /** Engine, models: engines that changed since the last report. */
  hosting: z.array(z.tuple([z.string(), z.array(modelRowSchema)])),
  /** Engine, requests in progress from all nodes. */
  running: z.array(z.tuple([z.string(), z.number()]))
})
export type LeaderReport = z.infer<typeof leaderReportSchema>

export const leaderMessageSchema = z.union([dispatchReplySchema, leaderReportSchema])
export type LeaderMessage = z.infer<typeof leaderMessageSchema>
