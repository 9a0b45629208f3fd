/** Metrics of a serving node for Prometheus. Names end in their unit; label sets are bounded. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { RequestRecord } from './requestProxy.js'

// From the tightest objectives up to the longest deadlines.
const secondsBuckets = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.5, 3, 6, 12, 30]
const eventLoopResolutionMs = 20
const nanosecondsPerSecond = 1e9

export class ServingMetrics {
  private readonly registry = new Registry()
  private readonly requests = this.counter('teaselrill_requests_total', 'Requests by kind, outcome and status', ['kind', 'outcome', 'status'])
  private readonly repeats = this.counter('teaselrill_repeats_total', 'Sends beyond the first of a request', ['kind'])
  private readonly storeCalls = this.counter('teaselrill_store_calls_total', 'Calls to the platform store by name and status', ['call', 'status'])
  private readonly orders = this.counter('teaselrill_engine_orders_total', 'Orders to engines by action and outcome', ['action', 'outcome'])
  private readonly connections = this.counter('teaselrill_backend_connections_total', 'Connections opened to backend servers', [])
  private readonly firstByte = this.histogram('teaselrill_first_byte_seconds', 'Time from arrival to the first byte of the answer')
  private readonly duration = this.histogram('teaselrill_request_duration_seconds', 'Time from arrival to the end of the answer')
  private readonly longestGap = this.histogram('teaselrill_longest_event_gap_seconds', 'Longest pause between events of a stream')
  private readonly waited = this.histogram('teaselrill_wait_seconds', 'Time that a request waited without a backend server to send it to')
  private readonly eventLoop = monitorEventLoopDelay({ resolution: eventLoopResolutionMs })
  private server: Server | undefined

  constructor (node: string) {
    this.registry.setDefaultLabels({ node })
    this.eventLoop.enable()
    this.gauge('teaselrill_event_loop_delay_seconds', 'Delay of the event loop at the 99th percentile since the last scrape', () => {
      const seconds = this.eventLoop.percentile(99) / nanosecondsPerSecond
      this.eventLoop.reset()
      return seconds
    })
    this.gauge('teaselrill_resident_memory_bytes', 'Resident memory of the process', () => process.memoryUsage.rss())
  }

  onFinished ({ kind, outcome, status, durationMs, firstByteMs, longestGapMs, waitedMs, attempts }: RequestRecord): void {
    this.requests.inc({ kind, outcome, status })
    if (attempts > 1) this.repeats.inc({ kind }, attempts - 1)
    this.duration.observe({ kind }, durationMs / 1000)
    this.waited.observe({ kind }, waitedMs / 1000)
    if (kind === 'stream') this.longestGap.observe({ kind }, longestGapMs / 1000)
    if (firstByteMs !== undefined) this.firstByte.observe({ kind }, firstByteMs / 1000)
  }

  onStoreCall (call: string, status: number | undefined): void {
    this.storeCalls.inc({ call, status: status ?? 'none' })
  }

  onCommand (action: string, outcome: string): void {
    this.orders.inc({ action, outcome })
  }

  onConnectionOpened (): void {
    this.connections.inc()
  }

  /** A value that is read at each scrape. */
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
          log('error', 'metrics failed', { error: messageOf(error) })
          response.writeHead(500).end()
        })
    })
    // Serving does not depend on metrics.
    this.server.on('error', error => log('warn', 'metrics are not served', { port, error: messageOf(error) }))
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
