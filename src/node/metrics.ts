/** Metrics of a node for Prometheus. Names end in their unit. */

import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { OnFinished } from '../gateway/account.js'
import type { NodeCore } from '../gateway/nodeCore.js'

// From the targets for first tokens up to the patience of the least urgent rank.
const durationBucketsSeconds = [0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10, 30, 60, 120]

/** Registers the metrics of one node. */
export class NodeMetrics {
  private readonly registry = new Registry()
  private readonly requests: Counter<'rank' | 'status' | 'result'>
  private readonly durations: Histogram<'rank'>

  constructor (node: string) {
    this.registry.setDefaultLabels({ node })
    collectDefaultMetrics({ register: this.registry, prefix: 'teaselrill_' })
    this.requests = new Counter({
      name: 'teaselrill_requests_total',
      help: 'Requests by rank, status and what the caller was told',
      labelNames: ['rank', 'status', 'result'],
      registers: [this.registry]
    })
    this.durations = new Histogram({
      name: 'teaselrill_request_duration_seconds',
      help: 'Time from arrival to the last byte of the answer',
      labelNames: ['rank'],
      buckets: durationBucketsSeconds,
      registers: [this.registry]
    })
  }

  /** Counts a finished request; `nowMs` is the time of its last byte. */
  onFinished (nowMs: () => number): OnFinished {
    return (exchange, { status, result }) => {
      const rank = exchange.terms?.rank ?? 'none'
      this.requests.inc({ rank, status, result })
      this.durations.observe({ rank }, (nowMs() - exchange.arrivedAtMs) / 1000)
    }
  }

  /** Adds the gauges that are read from `core` at each scrape. */
  watch (core: NodeCore): void {
    this.gauge('teaselrill_requests_in_progress', 'Requests that are being answered', () => core.requestsInProgress())
    this.gauge('teaselrill_requests_queued', 'Requests that wait for an engine', () => core.queuedRequests())
    this.gauge('teaselrill_config_version', 'Version of the fleet configuration in force', () => core.configDistribution.version())
    this.gauge('teaselrill_members_alive', 'Nodes that this node sees alive', () => core.membership.alive().length)
    this.gauge('teaselrill_engines_reachable', 'Engines that answer their controllers', () => core.engineEntries().filter(({ reachable }) => reachable).length)
    this.gauge('teaselrill_ready', '1 if the node takes callers', () => core.readiness().ready ? 1 : 0)
  }

  /** The text that Prometheus scrapes. */
  text (): Promise<string> {
    return this.registry.metrics()
  }

  private gauge (name: string, help: string, read: () => number): void {
    this.registry.registerMetric(new Gauge({ name, help, registers: [], collect () { this.set(read()) } }))
  }
}
