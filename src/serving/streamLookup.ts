/** Reads from the store by which software version a stream was begun, for all take-ups of a node that wait at a time. */

import { z } from 'zod'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import { continueByMarkers, continueByRecords } from '../policy/streamContinuation.js'
import type { Continuation } from '../policy/streamContinuation.js'
import type { CoordinationStore } from './coordination.js'
import type { StreamKeys } from './streamKeys.js'
import { digestChars } from './streamKeys.js'
import { eraOf } from './storePosition.js'

/** A take-up does not wait longer for the store. */
const lookupTimeoutMs = 300
/** Shortest time from one read to the next, and the same for each node of the deployment, since all of them may look at once. */
const minReadIntervalMs = 25
const readIntervalPerNodeMs = 0.5
/** Limit on the take-ups that wait for a read. */
const maxWaiting = 1000

const recordSchema = z.array(z.tuple([z.string(), z.string(), z.string()]))

interface Waiting {
  service: string
  /** Absent if the client does not name the stream. */
  digest: string | undefined
  answer: (continuation: Continuation) => void
}

export interface StreamLookupOptions {
  store: CoordinationStore
  clock: Clock
  log: Log
  keys: StreamKeys
  nodeCount: () => number
}

export class StreamLookup {
  private readonly options: StreamLookupOptions
  private readonly waiting = new Set<Waiting>()
  private isReading = false
  private lastFailedAtMs = -Infinity

  constructor (options: StreamLookupOptions) {
    this.options = options
  }

  /** Reads that began before this call are not used. */
  lookUp (service: string, digest: string | undefined): Promise<Continuation> {
    if (this.waiting.size >= maxWaiting) return Promise.resolve({ kind: 'refused', reason: 'too-many-lookups' })
    return new Promise(resolve => {
      const waiting: Waiting = {
        service,
        digest,
        answer: continuation => {
          cancel()
          this.waiting.delete(waiting)
          resolve(continuation)
        }
      }
      const cancel = this.options.clock.setTimer(lookupTimeoutMs, () => waiting.answer({ kind: 'refused', reason: 'store-silent' }))
      this.waiting.add(waiting)
      if (!this.isReading) void this.run()
    })
  }

  private async run (): Promise<void> {
    const { clock, nodeCount } = this.options
    this.isReading = true
    while (this.waiting.size > 0) {
      const startedAtMs = clock.nowMs()
      await this.read([...this.waiting])
      await sleep(clock, Math.max(0, startedAtMs + minReadIntervalMs + nodeCount() * readIntervalPerNodeMs - clock.nowMs()))
    }
    this.isReading = false
  }

  private async read (waiting: readonly Waiting[]): Promise<void> {
    const { store, keys, clock, log } = this.options
    try {
      const { items, revision } = await store.list(keys.markers)
      const markers = items.map(({ key, value }) => keys.readMarker(key, value)).filter(marker => marker !== undefined)
      const undecided: Waiting[] = []
      for (const one of waiting) {
        const decided = continueByMarkers(markers.filter(({ service }) => service === one.service), eraOf(revision))
        if (decided) one.answer(decided)
        else undecided.push(one)
      }
      const versions = undecided.some(({ digest }) => digest !== undefined) ? await this.versionsOf(undecided) : new Map<string, Set<string>>()
      for (const one of undecided) one.answer(continueByRecords(versions.get(one.digest ?? '') ?? new Set()))
    } catch (error) {
      if (clock.nowMs() - this.lastFailedAtMs > 1000) log('warn', 'streams could not be looked up', { takeUps: waiting.length, error: messageOf(error) })
      this.lastFailedAtMs = clock.nowMs()
      for (const one of waiting) one.answer({ kind: 'refused', reason: 'store-silent' })
    }
  }

  /** Versions by digest, of the streams that are looked for. A digest includes the service. */
  private async versionsOf (wanted: readonly Waiting[]): Promise<Map<string, Set<string>>> {
    const { store, keys, log } = this.options
    const found = new Map(wanted.flatMap(({ digest }) => digest === undefined ? [] : [[digest, new Set<string>()]]))
    const { items } = await store.list(keys.records)
    for (const { key, value } of items) {
      const rows = parseRecord(value)
      if (!rows) log('warn', 'stream record ignored', { key })
      for (const [, version, digests] of rows ?? []) {
        for (let at = 0; at + digestChars <= digests.length; at += digestChars) found.get(digests.slice(at, at + digestChars))?.add(version)
      }
    }
    return found
  }
}

function parseRecord (text: string): z.infer<typeof recordSchema> | undefined {
  try {
    return recordSchema.parse(JSON.parse(text))
  } catch {
    // The caller logs the key.
    return undefined
  }
}
