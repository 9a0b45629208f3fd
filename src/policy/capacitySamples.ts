/** A node's samples of how fast backend servers answer, summed by server and model until the next report to the leader. */

import { z } from 'zod'

/** Delay of a plain backend server without other requests, until samples show another one. */
export const plainDelayMs = 40
/** Share by which the delay at a plain server grows until its requests in progress reach the limit. */
const growthToLimit = 0.3
/** Beyond the limit requests wait for a slot or slow each other down, so the delay grows faster than their number. */
const growthBeyondLimit = 1.5
/** Time from the send to the first event that is not prefill: the round trip, and the step that generates the event. */
const streamOverheadMs = 25
/** Shorter expected prefill times are not compared: the overhead would decide the ratio. */
const minExpectedPrefillMs = 15
/** One sample changes the sums by at most this factor. */
const maxSampleRatio = 16
/** A plain request overruns if it takes more than this share of its objective; the rest is for the way to the client and a retry. */
const plainOverrunShare = 0.5
/** Rows beyond this number are dropped until the next report; there are fewer pairs of server and model with requests in progress. */
const maxRows = 2000

/**
 * Server, model (empty for plain services), completed requests, samples of the delay factor, sum of their logarithms, overruns of what
 * the routes allow, sum of the requests in progress at overruns, largest number of requests in progress, sum of the request durations in
 * milliseconds (plain services only).
 */
export const sampleRowSchema = z.tuple([
  z.string(), z.string(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number()
])
export type SampleRow = z.infer<typeof sampleRowSchema>

/** Delay at a plain server with `inProgress` requests, including the new one, as a multiple of that of an idle one. */
export function plainLoadFactor (inProgress: number, limit: number): number {
  const load = inProgress / limit
  return (1 + growthToLimit * Math.min(1, load)) * Math.max(1, load) ** growthBeyondLimit
}

export interface StreamSample {
  server: string
  model: string
  /** Prefill time, including that of earlier prompts, that the leader expected with a delay factor of 1; absent if it did not choose the server. */
  priorMs: number | undefined
  firstEventMs: number
  objectiveMs: number
  /** Longest pause between events that was not caused by the client. */
  longestGapMs: number
  gapObjectiveMs: number
  /** Requests in progress at the send. */
  inProgress: number
  /** Requests in progress at the end of the longest pause. */
  inProgressAtGap: number
}

export interface PlainSample {
  server: string
  delayMs: number
  objectiveMs: number
  inProgress: number
  /** Known limit of requests in progress that the server takes well. */
  limit: number
}

export class CapacitySamples {
  private rows = new Map<string, SampleRow>()

  onStream ({ server, model, priorMs, firstEventMs, objectiveMs, longestGapMs, gapObjectiveMs, inProgress, inProgressAtGap }: StreamSample): void {
    const row = this.rowOf(server, model)
    if (!row) return
    if (priorMs !== undefined && priorMs >= minExpectedPrefillMs) addRatio(row, Math.max(1, firstEventMs - streamOverheadMs) / priorMs)
    const isLongGap = longestGapMs > gapObjectiveMs
    addCompletion(row, isLongGap || firstEventMs > objectiveMs, isLongGap ? inProgressAtGap : inProgress, inProgress)
  }

  onPlain ({ server, delayMs, objectiveMs, inProgress, limit }: PlainSample): void {
    const row = this.rowOf(server, '')
    if (!row) return
    addRatio(row, Math.max(1, delayMs) / (plainDelayMs * plainLoadFactor(inProgress, limit)))
    addCompletion(row, delayMs > objectiveMs * plainOverrunShare, inProgress, inProgress)
    row[8] += delayMs
  }

  /** Returns the rows since the last call, with their sums rounded to save bytes. */
  take (): SampleRow[] {
    const rows = [...this.rows.values()]
    this.rows = new Map()
    for (const row of rows) for (const index of [4, 6, 7, 8] as const) row[index] = Math.round(row[index] * 100) / 100
    return rows
  }

  private rowOf (server: string, model: string): SampleRow | undefined {
    const key = `${server}\u0000${model}`
    let row = this.rows.get(key)
    if (!row && this.rows.size < maxRows) this.rows.set(key, row = [server, model, 0, 0, 0, 0, 0, 0, 0])
    return row
  }
}

function addRatio (row: SampleRow, ratio: number): void {
  row[3]++
  row[4] += Math.log(Math.min(maxSampleRatio, Math.max(1 / maxSampleRatio, ratio)))
}

function addCompletion (row: SampleRow, isOverrun: boolean, inProgressAtOverrun: number, inProgress: number): void {
  row[2]++
  if (isOverrun) {
    row[5]++
    row[6] += inProgressAtOverrun
  }
  row[7] = Math.max(row[7], inProgress)
}
