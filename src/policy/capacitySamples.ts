/** A node's samples of how fast backend servers answer, summed by server and model until the next report to the leader. */

import { z } from 'zod'

/** Delay of a plain backend server without other requests, until samples show another one. */
export const plainDelayMs = 40
/** Time from the send to the first event that is not prefill: the round trip, and the step that generates the event. */
const streamOverheadMs = 25
/** Shorter expected prefill times are not compared: the overhead would decide the ratio. */
const minExpectedPrefillMs = 15
/** One sample changes the sums by at most this factor; of plain requests nothing is known beforehand. */
const maxPrefillRatio = 16
const maxPlainRatio = 200
/** Rows beyond this number are dropped until the next report; there are fewer pairs of server and model with requests in progress. */
const maxRows = 2000

/**
 * Server, model (empty for plain services), completed requests, samples of the delay factor, sum of their logarithms, overruns of what
 * the routes allow, sum of the requests in progress at overruns, largest number of requests in progress.
 */
export const sampleRowSchema = z.tuple([
  z.string(), z.string(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number()
])
export type SampleRow = z.infer<typeof sampleRowSchema>

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
}

export class CapacitySamples {
  private rows = new Map<string, SampleRow>()

  onStream ({ server, model, priorMs, firstEventMs, objectiveMs, longestGapMs, gapObjectiveMs, inProgress, inProgressAtGap }: StreamSample): void {
    const row = this.rowOf(server, model)
    if (!row) return
    if (priorMs !== undefined && priorMs >= minExpectedPrefillMs) addRatio(row, Math.max(1, firstEventMs - streamOverheadMs) / priorMs, maxPrefillRatio)
    const isLongGap = longestGapMs > gapObjectiveMs
    addCompletion(row, isLongGap || firstEventMs > objectiveMs, isLongGap ? inProgressAtGap : inProgress, inProgress)
  }

  onPlain ({ server, delayMs }: PlainSample): void {
    const row = this.rowOf(server, '')
    if (!row) return
    addRatio(row, Math.max(1, delayMs) / plainDelayMs, maxPlainRatio)
    row[2]++
  }

  /** Returns the rows since the last call, with their sums rounded to save bytes. */
  take (): SampleRow[] {
    const rows = [...this.rows.values()]
    this.rows = new Map()
    for (const row of rows) for (const index of [4, 6, 7] as const) row[index] = Math.round(row[index] * 100) / 100
    return rows
  }

  private rowOf (server: string, model: string): SampleRow | undefined {
    const key = `${server}\u0000${model}`
    let row = this.rows.get(key)
    if (!row && this.rows.size < maxRows) this.rows.set(key, row = [server, model, 0, 0, 0, 0, 0, 0])
    return row
  }
}

function addRatio (row: SampleRow, ratio: number, maxRatio: number): void {
  row[3]++
  row[4] += Math.log(Math.min(maxRatio, Math.max(1 / maxRatio, ratio)))
}

function addCompletion (row: SampleRow, isOverrun: boolean, inProgressAtOverrun: number, inProgress: number): void {
  row[2]++
  if (isOverrun) {
    row[5]++
    row[6] += inProgressAtOverrun
  }
  row[7] = Math.max(row[7], inProgress)
}
