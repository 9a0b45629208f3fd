/**
 * Keeps the text of two software versions apart: which versions may begin resumable streams at this node, and which one may continue a
 * stream that a client takes up.
 */

import { repeat, sleep } from '../base/clock.js'
import type { CancelTimer, Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { SoftwareMarkers } from '../policy/softwareMarkers.js'
import { continueByRecord } from '../policy/streamContinuation.js'
import type { Continuation, ContinuationRefusal } from '../policy/streamContinuation.js'
import { StreamOrigins } from '../policy/streamOrigins.js'
import type { UnwrittenRow } from '../policy/streamOrigins.js'
import type { BackendServer } from './backendServer.js'
import type { CoordinationStore, StoreChange, StoreItem } from './coordination.js'
import type { Deployment } from './deployment.js'
import type { FleetView } from './fleetView.js'
import type { StreamBatch } from './peerMessages.js'
import type { ProxiedRequest } from './requestProxy.js'
import type { ServingMetrics } from './servingMetrics.js'
import { SoftwareMarkerWriter } from './softwareMarkerWriter.js'
import { packRows, streamDigest, StreamKeys, unpackRows } from './streamKeys.js'
import { StreamLookup } from './streamLookup.js'
import { StreamRecordWriter } from './streamRecordWriter.js'

/** Interval at which due markers are looked for and new records are sent. */
const markerCheckMs = 50
const sendMs = 100
/** The same for each node of the deployment if that is longer, since the leader reads the batches of all of them. */
const sendPerNodeMs = 1
const sweepMs = 1000
/** A record is kept for this time, or for the longest timeout of resumable routes if that is longer. */
const minRecordLifetimeMs = 30_000
/** A batch of records that the leader has not acknowledged in this time is sent again. */
const ackTimeoutMs = 1500
/** Time without a leader after which a node writes its records itself. */
const maxLeaderlessMs = 1000
const maxRowsPerBatch = 4000
/** A process that follows another one at its address has written its entry, or the earlier entry has ended, this long after a connection was refused. */
const restartMs = 4000
/** `Retry-After` where another attempt soon may find the store, or a server of the version. */
const retryAfterMs = 250

export type TakeUp =
  | Extract<Continuation, { kind: 'version' }>
  | { kind: 'refused', reason: ContinuationRefusal, retryAfterMs: number | undefined }

const refusalTexts: Record<ContinuationRefusal, string> = {
  'unknown-stream': 'the software version that began the stream is not known',
  'ambiguous-stream': 'streams of several software versions were begun under this ID',
  'version-not-served': 'no server of the software version that began the stream serves it',
  'store-silent': 'the store did not say in time which software version began the stream',
  'too-many-lookups': 'too many streams are being looked up'
}

export function refusalText ({ reason }: { reason: ContinuationRefusal }): string {
  return refusalTexts[reason]
}

export interface StreamVersionsOptions {
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
  fleet: Pick<FleetView, 'versionsOf'>
  /** Prefix of this system's own store keys. */
  prefix: string
  node: string
  isFirstStart: boolean
  nodeCount: () => number
  viewAgeMs: () => number
  isLeader: () => boolean
  /** Whether another node leads and answers. */
  hasLeader: () => boolean
  /** Sends a batch of records to the leader. */
  send: (message: StreamBatch) => boolean
  onLookup?: ((result: string) => void) | undefined
  onRefused?: ((reason: ContinuationRefusal) => void) | undefined
  onBegun?: ((service: string, version: string) => void) | undefined
}

export class StreamVersions {
  private readonly options: StreamVersionsOptions
  private readonly keys: StreamKeys
  readonly origins = new StreamOrigins()
  private readonly markers: SoftwareMarkers
  private readonly markerWriter: SoftwareMarkerWriter
  private readonly recordWriter: StreamRecordWriter
  private readonly lookup: StreamLookup
  private recordLifetimeMs = minRecordLifetimeMs
  /** Services with resumable stream routes. */
  private services = new Set<string>()
  /** Versions of the servers of each of them at the last look. */
  private readonly versions = new Map<string, ReadonlySet<string>>()
  private nextBatch = 1
  /** Batches that the leader has not acknowledged. */
  private readonly batches = new Map<number, { rows: UnwrittenRow[], sentAtMs: number }>()
  private readonly inFlight = new Set<string>()
  private leaderSeenAtMs: number
  private sentAtMs = -Infinity
  private isStopping = false
  private timers: CancelTimer[] = []

  constructor (options: StreamVersionsOptions) {
    this.options = options
    const { store, clock, random, log, prefix, node, nodeCount } = options
    this.leaderSeenAtMs = clock.nowMs()
    const keys = this.keys = new StreamKeys(prefix)
    this.markers = new SoftwareMarkers({
      clock,
      isFirstStart: options.isFirstStart,
      viewAgeMs: options.viewAgeMs,
      versionsOf: service => this.versions.get(service) ?? new Set()
    })
    this.markerWriter = new SoftwareMarkerWriter({ store, clock, random, log, keys, markers: this.markers, nodeCount, isLeader: options.isLeader, recordLifetimeMs: () => this.recordLifetimeMs })
    // The name of a process, since a node may start again while the keys of its last process are still there.
    const process = `${Math.floor(clock.nowMs()).toString(36)}${Math.floor(random.next() * 2 ** 32).toString(36)}`
    this.recordWriter = new StreamRecordWriter({ store, clock, log, prefix: `${keys.records}${encodeURIComponent(node)}/${process}-`, lifetimeMs: () => this.recordLifetimeMs })
    this.lookup = new StreamLookup({ store, clock, log, keys, nodeCount })
  }

  start (): void {
    const { clock, log } = this.options
    const onError = (error: unknown) => log('error', 'records of streams not handled', { error: messageOf(error) })
    this.timers = [
      repeat(clock, markerCheckMs, () => this.checkMarkers(), { onError }),
      repeat(clock, sendMs, () => this.sendRecords(), { onError }),
      repeat(clock, sweepMs, () => this.origins.sweep(clock.nowMs()), { onError })
    ]
  }

  /** Writes what is not in the store, for `withinMs` at most. */
  async stop (withinMs: number): Promise<void> {
    const { clock } = this.options
    this.isStopping = true
    this.recordWriter.stopWaiting()
    const endAtMs = clock.nowMs() + withinMs
    this.releaseBatches()
    for (this.sendRecords(); this.inFlight.size > 0 && clock.nowMs() < endAtMs;) await sleep(clock, 10)
    for (const cancel of this.timers) cancel()
  }

  addGauges (metrics: Pick<ServingMetrics, 'gauge'>): void {
    metrics.gauge('teaselrill_stream_records', 'Resumable streams whose software version the node remembers', () => this.origins.size)
    metrics.gauge('teaselrill_stream_records_unwritten', 'Those in services with several software versions that are not in the store', () => this.unwrittenCount)
    metrics.gauge('teaselrill_services_with_versions', 'Services in which streams of several software versions may be alive', () => [...this.services].filter(service => this.markers.isShared(service)).length)
  }

  private get unwrittenCount (): number {
    return this.origins.unwrittenRows(service => this.markers.isShared(service), () => true, Infinity).length
  }

  setDeployment ({ routes }: Pick<Deployment, 'routes'>): void {
    const resumable = routes.filter(({ kind, resumable }) => kind === 'stream' && resumable)
    this.recordLifetimeMs = Math.max(minRecordLifetimeMs, ...resumable.map(({ timeoutMs }) => timeoutMs))
    this.services = new Set(resumable.flatMap(({ targets }) => targets.map(({ service }) => service)))
  }

  /** Whether a key of the store holds records of streams, which other nodes read only when they need them. */
  isRecord (key: string): boolean {
    return key.startsWith(this.keys.records)
  }

  /** The store was listed. */
  onItems (items: readonly StoreItem[], era: number): void {
    this.lookup.onItems(items)
    const markers = items.map(({ key, value }) => this.keys.readMarker(key, value)).filter(marker => marker !== undefined)
    if (!this.markers.onList(markers, era)) return
    // What was written since the copy is lost, also what the leader acknowledges from now on.
    this.releaseBatches()
    this.origins.onStoreLoss()
  }

  onChange ({ key, value }: StoreChange): void {
    const marker = this.keys.readMarker(key, value ?? '')
    if (!marker) return
    if (value === undefined) this.markers.onRemoved(marker)
    else this.markers.onWritten(marker)
  }

  mayBegin (service: string, version: string): boolean {
    return this.markers.mayBegin(service, version)
  }

  /** Whether a process of another version may answer at the server's address, of whose entry this node does not know yet. */
  mayHaveRestarted ({ pool }: BackendServer): boolean {
    return this.options.clock.nowMs() - this.options.viewAgeMs() < pool.lastRefusedAtMs + restartMs
  }

  /** The version that may continue a stream, which a client takes up with `request`. */
  async takeUpOf ({ service: { name: service }, account, metadata: { resumes } }: ProxiedRequest): Promise<TakeUp> {
    const digest = resumes === undefined ? undefined : streamDigest(service, account?.name, resumes)
    const own = digest === undefined ? undefined : this.origins.find(service, digest)
    const continuation = own ? continueByRecord(own.version, 'own-record') : await this.lookup.lookUp(service, digest)
    this.options.onLookup?.(continuation.kind === 'version' ? continuation.by : continuation.reason)
    if (continuation.kind === 'version') return continuation
    const { reason } = continuation
    this.options.onRefused?.(reason)
    return { kind: 'refused', reason, retryAfterMs: reason === 'store-silent' || reason === 'too-many-lookups' ? retryAfterMs : undefined }
  }

  /** A take-up is refused, since no server of its version serves it. Returns the time after which the client may return. */
  onNotServed (): number {
    this.options.onRefused?.('version-not-served')
    return retryAfterMs
  }

  /** The first bytes of a resumable stream are about to be sent to the client. A stream that is taken up is recorded under both attempts. */
  onBegun ({ service: { name: service }, account, metadata: { requestId, resumes } }: ProxiedRequest, version: string): void {
    const endsAtMs = this.options.clock.nowMs() + this.recordLifetimeMs
    for (const attempt of new Set([requestId, resumes])) {
      if (attempt !== undefined) this.origins.record({ service, version, digest: streamDigest(service, account?.name, attempt) }, endsAtMs)
    }
    this.options.onBegun?.(service, version)
  }

  /** The leader has received records of another node; `onWritten` is called when they are in the store. */
  onBatch ({ rows }: StreamBatch, onWritten: () => void): void {
    this.recordWriter.add(unpackRows(rows), isWritten => { if (isWritten) onWritten() })
  }

  /** The leader has written a batch. */
  onBatchWritten (id: number): void {
    const batch = this.batches.get(id)
    if (!batch) return
    this.batches.delete(id)
    this.onRowsWritten(batch.rows)
  }

  /** The connection to the leader is lost. */
  onLeaderLost (): void {
    this.releaseBatches()
  }

  private checkMarkers (): void {
    for (const service of this.services) {
      const versions = this.options.fleet.versionsOf(service)
      this.versions.set(service, versions)
      for (const version of versions) this.markerWriter.check(service, version)
    }
  }

  private sendRecords (): void {
    const { clock, isLeader, hasLeader, nodeCount, send } = this.options
    const nowMs = clock.nowMs()
    if (isLeader() || hasLeader()) this.leaderSeenAtMs = nowMs
    if (!this.isStopping && nowMs - this.sentAtMs < nodeCount() * sendPerNodeMs) return
    for (const [id, { rows, sentAtMs }] of this.batches) if (nowMs - sentAtMs > ackTimeoutMs) this.release(id, rows)
    const rows = this.origins.unwrittenRows(service => this.markers.isShared(service), digest => !this.inFlight.has(digest), maxRowsPerBatch)
    if (rows.length === 0) return
    this.sentAtMs = nowMs
    if (!isLeader() && hasLeader() && !this.isStopping) {
      const id = this.nextBatch++
      if (!send({ streamBatch: id, rows: packRows(rows) })) return
      this.batches.set(id, { rows, sentAtMs: nowMs })
    } else if (isLeader() || this.isStopping || nowMs - this.leaderSeenAtMs >= maxLeaderlessMs) {
      this.recordWriter.add(rows, isWritten => isWritten ? this.onRowsWritten(rows) : this.free(rows))
    } else return
    for (const { digest } of rows) this.inFlight.add(digest)
  }

  private onRowsWritten (rows: readonly UnwrittenRow[]): void {
    this.origins.onWritten(rows)
    this.free(rows)
  }

  private releaseBatches (): void {
    for (const [id, { rows }] of this.batches) this.release(id, rows)
  }

  private release (id: number, rows: readonly UnwrittenRow[]): void {
    this.batches.delete(id)
    this.free(rows)
  }

  private free (rows: readonly UnwrittenRow[]): void {
    for (const { digest } of rows) this.inFlight.delete(digest)
  }
}
