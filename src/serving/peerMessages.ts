/** Messages between the nodes and the placement leader. */

import { z } from 'zod'

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
  missing: z.array(z.tuple([z.string(), z.string()]))
})
export type NodeReport = z.infer<typeof nodeReportSchema>

const adapterRowSchema = z.tuple([z.string(), z.number()])
export const hostedPhaseSchema = z.enum(['held', 'coming', 'leaving'])
/** Name, time until it is ready, phase, adapters. */
const modelRowSchema = z.tuple([z.string(), z.number(), hostedPhaseSchema, z.array(adapterRowSchema)])

/** What the leader tells the nodes. */
export const leaderReportSchema = z.object({
  fence: z.number(),
  /** Engine, models: engines that changed since the last report. */
  hosting: z.array(z.tuple([z.string(), z.array(modelRowSchema)])),
  /** Engine, requests in progress from all nodes. */
  running: z.array(z.tuple([z.string(), z.number()]))
})
export type LeaderReport = z.infer<typeof leaderReportSchema>
