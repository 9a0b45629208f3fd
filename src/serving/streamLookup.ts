/** Reads from the store by which software version a stream was begun, for all take-ups of a node that wait at a time. */

import { z } from 'zod'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import { continueByMarkers, continueByRecord } from '../policy/streamContinuation.js'
import type { Continuation } from '../policy/streamContinuation.js'
import type { CoordinationStore, StoreItem } from './coordination.js'
import { unpackRows } from './streamKeys.js'
import type { StreamKeys } from './streamKeys.js'
import { eraOf } from './storePosition.js'

/** A take-up does not wait longer for the store. */
const lookupTimeoutMs = 300
/** Shortest time from one read to the next, and the same for each node of the deployment, since all of them may look at once. */
const minReadIntervalMs = 25
const readIntervalPerNodeMs = 0.5
/** Limit on the take-ups that wait for a read. */
const maxWaiting = 1000
/** Records that are remembered of what was read, the oldest ones first to go: what the largest deployments write within a record's lifetime. */
const maxKnown = 120_000

const recordSchema = z.array(z.tuple([z.string(), z.string(), z.string()]))

type RecordItem = Pick<StoreItem, 'key' | 'value'>

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
  /** Versions by digest, of the records that were read. What a record says stays true. */
  private readonly known = new Map<string, string | undefined>()
  /** Keys of the last list whose records are known; a key is written once. */
  private parsedKeys = new Set<string>()
  /** Records of the last list of all keys, which are parsed when the first stream is looked up. */
  private unparsed: readonly RecordItem[] = []

  constructor (options: StreamLookupOptions) {
    this.options = options
  }

  /** The store was listed, as when this node started: the records of streams of killed nodes are among them. */
  onItems (items: readonly StoreItem[]): void {
    this.unparsed = items.filter(({ key }) => key.startsWith(this.options.keys.records))
  }

  /** Decides by what was read before, or else by a read that begins after this call. */
  lookUp (service: string, digest: string | undefined): Promise<Continuation> {
    this.parse(this.unparsed)
    this.unparsed = []
    if (digest !== undefined && this.known.has(digest)) return Promise.resolve(continueByRecord(this.known.get(digest)))
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
      if (undecided.some(({ digest }) => digest !== undefined)) this.parse((await store.list(keys.records)).items)
      for (const { digest, answer } of undecided) answer(digest !== undefined && this.known.has(digest) ? continueByRecord(this.known.get(digest)) : { kind: 'refused', reason: 'unknown-stream' })
    } catch (error) {
      if (clock.nowMs() - this.lastFailedAtMs > 1000) log('warn', 'streams could not be looked up', { takeUps: waiting.length, error: messageOf(error) })
      this.lastFailedAtMs = clock.nowMs()
      for (const one of waiting) one.answer({ kind: 'refused', reason: 'store-silent' })
    }
  }

  private parse (records: readonly RecordItem[]): void {
    if (records.length === 0) return
    const { known, parsedKeys } = this
    this.parsedKeys = new Set(records.map(({ key }) => key))
    for (const { key, value } of records) {
      if (parsedKeys.has(key)) continue
      const rows = parseRecord(value)
      if (!rows) this.options.log('warn', 'stream record ignored', { key })
      // A digest includes the service.
      for (const { version, digest } of unpackRows(rows ?? [])) known.set(digest, known.has(digest) && known.get(digest) !== version ? undefined : version)
    }
    for (const digest of known.keys()) {
      if (known.size <= maxKnown) return
      known.delete(digest)
    }
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
