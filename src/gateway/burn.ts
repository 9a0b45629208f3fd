/** Service-level objectives: what attained its target, what did not and why, by rank, customer and model. */

import type { Clock } from '../base/clock.js'
import type { RequestPolicy } from '../policy/requestPolicy.js'

/** Why a request missed its target. */
export const burnCauses = ['queueing', 'loading', 'engine', 'shed', 'network'] as const
export type BurnCause = typeof burnCauses[number]

/** Part of the gaps between tokens that must be within the target. */
const attainedGapShare = 0.95

/** Times of one request, taken as it runs. */
export class RequestMeasure {
  private dispatchedAtMs: number | undefined
  private firstTokenAtMs: number | undefined
  private lastTokenAtMs = 0
  private gaps = 0
  private lateGaps = 0
  /** Target for gaps, known once the request is classified. */
  tokenGapMs = 0
  /** True if the request waited for a model that was not loaded. */
  waitedForModel = false

  constructor (private readonly clock: Clock, readonly arrivedAtMs: number) {}

  onDispatched (): void {
    this.dispatchedAtMs ??= this.clock.nowMs()
  }

  onToken (): void {
    const nowMs = this.clock.nowMs()
    if (this.firstTokenAtMs === undefined) {
      this.firstTokenAtMs = nowMs
    } else {
      this.gaps++
      if (this.tokenGapMs > 0 && nowMs - this.lastTokenAtMs > this.tokenGapMs) this.lateGaps++
    }
    this.lastTokenAtMs = nowMs
  }

  /** Why the target was missed, or `undefined` if it was attained. `result` is how the request ended. */
  missedBy (terms: RequestPolicy, result: 'complete' | 'not-run' | 'failed' | 'unknown', streamed: boolean): BurnCause | undefined {
    const nowMs = this.clock.nowMs()
    if (result === 'not-run') return this.waitedForModel ? 'loading' : 'shed'
    if (result === 'failed') return 'engine'
    if (result === 'unknown') return 'network'
    const firstTokenAfterMs = (this.firstTokenAtMs ?? nowMs) - this.arrivedAtMs
    const firstTokenLate = terms.firstTokenMs > 0 && this.firstTokenAtMs !== undefined && firstTokenAfterMs > terms.firstTokenMs
    const patienceLate = (streamed ? firstTokenAfterMs : nowMs - this.arrivedAtMs) > terms.patienceMs
    if (firstTokenLate || patienceLate) return this.lateCause(firstTokenAfterMs)
    return this.lateGaps > (1 - attainedGapShare) * this.gaps ? 'engine' : undefined
  }

  private lateCause (firstTokenAfterMs: number): BurnCause {
    const waitedMs = (this.dispatchedAtMs ?? this.clock.nowMs()) - this.arrivedAtMs
    if (waitedMs < firstTokenAfterMs / 2) return 'engine'
    return this.waitedForModel ? 'loading' : 'queueing'
  }
}

/** Counts of one group in one period. */
export interface BurnCounts {
  requests: number
  attained: number
  causes: Partial<Record<BurnCause, number>>
}

/** Counts of one group over all windows. `windows` has the same order as `burnWindowsMs`. */
export interface BurnGroup {
  rank: string
  customer: string
  model: string
  windows: BurnCounts[]
}

/** Counts by rank in one period. */
export interface BurnPeriod {
  startMs: number
  lengthMs: number
  ranks: Record<string, BurnCounts>
}

const minuteMs = 60_000
/** Windows of the report: 5 minutes, 1 hour, 6 hours, 1 day. */
export const burnWindowsMs = [5 * minuteMs, 60 * minuteMs, 360 * minuteMs, 1440 * minuteMs] as const
const fineBucketMs = minuteMs
const coarseBucketMs = 30 * minuteMs

interface Bucket {
  startMs: number
  lengthMs: number
  groups: Map<string, BurnCounts>
}

/** Keeps a day of counts: the last hour by the minute, older ones by the half hour, to bound memory. */
export class BurnRecorder {
  private buckets: Bucket[] = []

  constructor (private readonly clock: Clock) {}

  record (group: { rank: string, customer: string, model: string }, cause: BurnCause | undefined): void {
    const counts = countsOf(this.currentBucket(), groupKey(group))
    counts.requests++
    if (cause === undefined) counts.attained++
    else counts.causes[cause] = (counts.causes[cause] ?? 0) + 1
  }

  /** Counts by rank, customer and model for each window. */
  groups (): BurnGroup[] {
    const nowMs = this.clock.nowMs()
    const byKey = new Map<string, BurnGroup>()
    for (const { startMs, lengthMs, groups } of this.buckets) {
      for (const [key, counts] of groups) {
        const group = byKey.get(key) ?? emptyGroup(key)
        byKey.set(key, group)
        burnWindowsMs.forEach((windowMs, index) => {
          if (startMs + lengthMs > nowMs - windowMs) addCounts(group.windows[index]!, counts)
        })
      }
    }
    return [...byKey.values()]
  }

  /** Counts by rank for each period of the last day, oldest first: minutes of the last hour, else half hours. */
  series (): BurnPeriod[] {
    const startMs = this.clock.nowMs() - burnWindowsMs.at(-1)!
    return this.buckets.filter(bucket => bucket.startMs + bucket.lengthMs > startMs).map(bucket => {
      const ranks: Record<string, BurnCounts> = {}
      for (const [key, counts] of bucket.groups) addCounts(ranks[emptyGroup(key).rank] ??= emptyCounts(), counts)
      return { startMs: bucket.startMs, lengthMs: bucket.lengthMs, ranks }
    })
  }

  private currentBucket (): Bucket {
    const startMs = Math.floor(this.clock.nowMs() / fineBucketMs) * fineBucketMs
    const last = this.buckets.at(-1)
    if (last?.startMs === startMs) return last
    const bucket = { startMs, lengthMs: fineBucketMs, groups: new Map<string, BurnCounts>() }
    this.buckets.push(bucket)
    this.compact(startMs)
    return bucket
  }

  private compact (nowMs: number): void {
    const kept: Bucket[] = []
    for (const bucket of this.buckets) {
      if (bucket.startMs + bucket.lengthMs <= nowMs - burnWindowsMs.at(-1)!) continue
      const isOld = bucket.startMs < nowMs - burnWindowsMs[1]
      const last = kept.at(-1)
      const startMs = Math.floor(bucket.startMs / coarseBucketMs) * coarseBucketMs
      if (isOld && last?.startMs === startMs && last.lengthMs === coarseBucketMs) {
        for (const [key, counts] of bucket.groups) addCounts(countsOf(last, key), counts)
      } else {
        kept.push(isOld ? { startMs, lengthMs: coarseBucketMs, groups: bucket.groups } : bucket)
      }
    }
    this.buckets = kept
  }
}

/** Adds the groups of several nodes. */
export function mergeBurnGroups (lists: readonly BurnGroup[][]): BurnGroup[] {
  const byKey = new Map<string, BurnGroup>()
  for (const group of lists.flat()) {
    const merged = byKey.get(groupKey(group)) ?? emptyGroup(groupKey(group))
    byKey.set(groupKey(group), merged)
    group.windows.forEach((counts, index) => addCounts(merged.windows[index]!, counts))
  }
  return [...byKey.values()]
}

/** Adds the series of several nodes. Nodes compact at different times, so a period may occur in both lengths. */
export function mergeBurnSeries (lists: readonly BurnPeriod[][]): BurnPeriod[] {
  const byKey = new Map<string, BurnPeriod>()
  for (const { startMs, lengthMs, ranks } of lists.flat()) {
    const key = `${startMs}/${lengthMs}`
    const merged = byKey.get(key) ?? { startMs, lengthMs, ranks: {} }
    byKey.set(key, merged)
    for (const [rank, counts] of Object.entries(ranks)) addCounts(merged.ranks[rank] ??= emptyCounts(), counts)
  }
  return [...byKey.values()].sort((left, right) => left.startMs - right.startMs || left.lengthMs - right.lengthMs)
}

function groupKey ({ rank, customer, model }: { rank: string, customer: string, model: string }): string {
  return JSON.stringify([rank, customer, model])
}

function emptyGroup (key: string): BurnGroup {
  const [rank, customer, model] = JSON.parse(key) as [string, string, string]
  return { rank, customer, model, windows: burnWindowsMs.map(() => emptyCounts()) }
}

function emptyCounts (): BurnCounts {
  return { requests: 0, attained: 0, causes: {} }
}

function countsOf (bucket: Bucket, key: string): BurnCounts {
  const counts = bucket.groups.get(key) ?? emptyCounts()
  bucket.groups.set(key, counts)
  return counts
}

function addCounts (sum: BurnCounts, counts: BurnCounts): void {
  sum.requests += counts.requests
  sum.attained += counts.attained
  for (const cause of burnCauses) {
    const count = counts.causes[cause]
    if (count !== undefined) sum.causes[cause] = (sum.causes[cause] ?? 0) + count
  }
}
