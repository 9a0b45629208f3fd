/** Prometheus metrics of a serving node. Names end in their unit, and the number of label sets is bounded. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { QuotaEvent } from './quotaClient.js'
import type { RequestRecord } from './requestRecord.js'

// From the shortest objectives to the longest deadlines.
const secondsBuckets = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.5, 3, 6, 12, 30]
const eventLoopResolutionMs = 20
const nanosecondsPerSecond = 1e9
const bytesPerKib = 1024

export class ServingMetrics {
  private readonly registry = new Registry()
  private readonly requests = this.counter('teaselrill_requests_total', 'Requests by kind, outcome and status', ['kind', 'outcome', 'status'])
  private readonly retries = this.counter('teaselrill_repeats_total', 'Attempts of requests after the first one', ['kind'])
  private readonly unframed = this.counter('teaselrill_unframed_answers_total', 'Attempts whose answer had neither a length nor chunks, by the outcome of the request and the framing of its response', ['kind', 'outcome', 'framing'])
  private readonly storeCalls = this.counter('teaselrill_store_calls_total', 'Calls to the platform store by name and status', ['call', 'status'])
  private readonly commands = this.counter('teaselrill_engine_orders_total', 'Commands to engines by action and outcome', ['action', 'outcome'])
  private readonly quota = this.counter('teaselrill_quota_units_total', 'Tokens or requests of account quotas by account and event: granted by the leader or by the deputy, spent alone without both, refused', ['account', 'event'])
  private readonly clientLimits = this.counter('teaselrill_client_limits_total', 'Times that a limit on what the node holds for clients has acted', ['limit'])
  private readonly connections = this.counter('teaselrill_backend_connections_total', 'Connections opened to backend servers', [])
  private readonly keyRefusals = this.counter('teaselrill_key_refusals_total', 'Requests refused for their key: unknown-key with 401, stale with 503 since the configuration may be too old', ['reason'])
  private readonly streamsBegun = this.counter('teaselrill_streams_begun_total', 'Resumable streams whose answer began at this node, also those that clients took up, by service and software version', ['service', 'version'])
  private readonly streamLookups = this.counter('teaselrill_stream_lookups_total', 'Streams that clients took up, by how their software version was known, or why it was not', ['result'])
  private readonly takeUpRefusals = this.counter('teaselrill_take_up_refusals_total', 'Streams that clients took up and that were refused with 503, by reason', ['reason'])
  private readonly firstByte = this.histogram('teaselrill_first_byte_seconds', 'Time from arrival to the first byte of the response')
  private readonly duration = this.histogram('teaselrill_request_duration_seconds', 'Time from arrival to the end of the response')
  private readonly longestGap = this.histogram('teaselrill_longest_event_gap_seconds', 'Longest pause between events of a stream')
  private readonly waiting = this.histogram('teaselrill_wait_seconds', 'Time that a request waited for a backend server')
  private readonly slotQueue = new Histogram({ name: 'teaselrill_slot_queue_seconds', help: 'Time from the request for a slot to the assignment, at the placement leader', buckets: secondsBuckets, registers: [this.registry] })
  private readonly slotRefusals = this.counter('teaselrill_slot_refusals_total', 'Requests that the placement leader refused a slot, by reason', ['reason'])
  private readonly slotReturns = this.counter('teaselrill_slot_returns_total', 'Assignments that nodes returned unused to the placement leader', [])
  private readonly eventLoop = monitorEventLoopDelay({ resolution: eventLoopResolutionMs })
  private server: Server | undefined

  constructor (node: string) {
    this.registry.setDefaultLabels({ node })
    this.eventLoop.enable()
    this.gauge('teaselrill_event_loop_delay_seconds', '99th percentile of the event-loop delay since the last scrape', () => {
      const seconds = this.eventLoop.percentile(99) / nanosecondsPerSecond
      this.eventLoop.reset()
      return seconds
    })
    this.gauge('teaselrill_resident_memory_bytes', 'Resident memory of the process', () => process.memoryUsage.rss())
    // A scrape misses a peak of some milliseconds.
    this.gauge('teaselrill_resident_memory_peak_bytes', 'Most resident memory of the process since its start', () => process.resourceUsage().maxRSS * bytesPerKib)
    this.gauge('teaselrill_heap_memory_bytes', 'Memory of the heap of JavaScript objects', () => process.memoryUsage().heapTotal)
    this.gauge('teaselrill_buffer_memory_bytes', 'Memory of buffers, also of those that are not collected yet', () => process.memoryUsage().arrayBuffers)
  }

  onFinished ({ kind, outcome, status, durationMs, firstByteMs, longestGapMs, waitedMs, attempts, unframed, framing }: RequestRecord): void {
    this.requests.inc({ kind, outcome, status })
    if (attempts > 1) this.retries.inc({ kind }, attempts - 1)
    if (unframed > 0) this.unframed.inc({ kind, outcome, framing: framing ?? 'none' }, unframed)
    this.duration.observe({ kind }, durationMs / 1000)
    this.waiting.observe({ kind }, waitedMs / 1000)
    if (kind === 'stream') this.longestGap.observe({ kind }, longestGapMs / 1000)
    if (firstByteMs !== undefined) this.firstByte.observe({ kind }, firstByteMs / 1000)
  }

  onStoreCall (call: string, status: number | undefined): void {
    this.storeCalls.inc({ call, status: status ?? 'none' })
  }

  onCommand (action: string, outcome: string): void {
    this.commands.inc({ action, outcome })
  }

  onSlotAssigned (queuedMs: number): void {
    this.slotQueue.observe(queuedMs / 1000)
  }

  onSlotRefused (reason: string): void {
    this.slotRefusals.inc({ reason })
  }

  onSlotReturned (): void {
    this.slotReturns.inc()
  }

  /** `units` are tokens, or requests for quotas in requests. The configuration bounds the number of accounts. */
  onQuota (event: QuotaEvent, account: string, units: number): void {
    this.quota.inc({ account, event }, units)
  }

  onClientLimit (limit: string): void {
    this.clientLimits.inc({ limit })
  }

  onConnectionOpened (): void {
    this.connections.inc()
  }

  /** The servers' entries bound the number of versions. */
  onStreamBegun (service: string, version: string): void {
    this.streamsBegun.inc({ service, version })
  }

  onStreamLookup (result: string): void {
    this.streamLookups.inc({ result })
  }

  onTakeUpRefused (reason: string): void {
    this.takeUpRefusals.inc({ reason })
  }

  onKeyRefused (reason: string): void {
    this.keyRefusals.inc({ reason })
  }

  /** Registers a gauge whose value is read at each scrape. */
  gauge (name: string, help: string, read: () => number): void {
    this.registry.registerMetric(new Gauge({ name, help, registers: [], collect () { this.set(read()) } }))
  }

  text (): Promise<string> {
    return this.registry.metrics()
  }

  listen (host: string, port: number, log: Log): void {
    this.server = createServer((request, response) => {
      request.resume()
      this.text().then(
        text => response.writeHead(200, { 'Content-Type': this.registry.contentType }).end(text),
        error => {
          log('error', 'metrics scrape failed', { error: messageOf(error) })
          response.writeHead(500).end()
        })
    })
    // The node keeps serving requests without metrics.
    this.server.on('error', error => log('warn', 'metrics server failed', { port, error: messageOf(error) }))
    this.server.listen(port, host)
  }

  stop (): void {
    this.eventLoop.disable()
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private counter (name: string, help: string, labelNames: string[]): Counter<string> {
    return new Counter({ name, help, labelNames, registers: [this.registry] })
  }

  private histogram (name: string, help: string): Histogram<'kind'> {
    return new Histogram({ name, help, labelNames: ['kind'], buckets: secondsBuckets, registers: [this.registry] })
  }
}
