/** Passes samples of backend servers to the placement leader, and what the leader learned from them to the nodes. */

import type { Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import { CapacitySamples } from '../policy/capacitySamples.js'
import { CapacityTable } from '../policy/capacityTable.js'
import type { CapacityRows } from '../policy/capacityTable.js'
import { ServerCapacity } from '../policy/serverCapacity.js'
import { TokenLedger } from '../policy/tokenLedger.js'
import type { BackendServer } from './backendServer.js'
import type { FleetView } from './fleetView.js'
import type { LeaderReport, NodeReport } from './peerMessages.js'
import type { ServingMetrics } from './servingMetrics.js'

/** A node's samples, and the rows that it knows. */
export class LearnedCapacity {
  readonly samples = new CapacitySamples()
  readonly table: CapacityTable
  /** Rows that a new leader lacks. */
  private missing: CapacityRows | undefined

  constructor (private readonly clock: Clock, private readonly fleet: FleetView) {
    this.table = new CapacityTable(clock)
  }

  /** What the next report to the leader carries. `lastAssignment` is the number of the last assignment received from this leader. */
  reportFields (lastAssignment: number): Pick<NodeReport, 'samples' | 'tokens' | 'capacity'> {
    const samples = this.samples.take()
    const { missing } = this
    this.missing = undefined
    const rows: [string, number][] = []
    for (const [id, { heldTokens }] of this.fleet.servers) if (heldTokens > 0) rows.push([id, heldTokens])
    return { ...(samples.length > 0 ? { samples } : {}), ...(missing ? { capacity: missing } : {}), tokens: { lastAssignment, rows } }
  }

  onLeaderReport ({ capacity }: Pick<LeaderReport, 'capacity'>): void {
    this.table.onLeaderHeard()
    this.table.keepOnly(id => this.fleet.servers.has(id))
    if (!capacity) return
    if (capacity.isFull) {
      const missing = this.table.missingFrom(capacity)
      if (missing.servers.length + missing.paces.length > 0) this.missing = missing
    }
    this.table.apply(capacity)
  }

  /** What a log line states about the choice of `server`. */
  traceOf ({ entry: { id, service, slots } }: BackendServer, model: string | undefined): { delayFactor: number, limit: number } {
    const { factor, limit } = this.table.of(id, slots)
    return { delayFactor: Math.round(factor * this.table.paceOf(service, model ?? '') * 100) / 100, limit: Math.round(limit * 10) / 10 }
  }

  /** The leader's work for a term, which starts from what this node knows. */
  startTerm (log: Log): CapacityTerm {
    return new CapacityTerm({ clock: this.clock, fleet: this.fleet, table: this.table, log })
  }

  /** Adds gauges of the lowest, highest and mean value over all servers with a row. */
  addGauges (metrics: ServingMetrics): void {
    const columns = [
      ['limit', 'teaselrill_server_limit', 'limit of requests in progress that a backend server takes well'],
      ['factor', 'teaselrill_server_delay_factor', 'delay of a backend server as a multiple of the expected one']
    ] as const
    for (const [column, name, text] of columns) {
      for (const kind of ['lowest', 'highest', 'mean'] as const) {
        metrics.gauge(`${name}_${kind}`, `${kind[0]!.toUpperCase()}${kind.slice(1)} learned ${text}; 0 if nothing is learned`, () => this.table.summary(column)[kind])
      }
    }
  }
}

/** The leader's part, for one term. */
export class CapacityTerm {
  readonly capacity: ServerCapacity
  readonly tokens: TokenLedger
  private readonly table: CapacityTable

  constructor ({ clock, fleet, table, log }: { clock: Clock, fleet: FleetView, table: CapacityTable, log: Log }) {
    this.table = table
    this.tokens = new TokenLedger(clock)
    this.capacity = new ServerCapacity({
      clock,
      serverOf: id => {
        const entry = fleet.servers.get(id)?.entry
        return entry && { service: entry.service, slots: entry.slots }
      },
      onChanged: ({ server, factor, limit }) => log('info', 'server capacity changed', { backend: server, delayFactor: factor, limit })
    })
    this.capacity.adopt(table.rows)
  }

  /** Returns whether an engine holds fewer tokens than before. */
  onReport ({ node, outcomes, samples, capacity, tokens }: NodeReport): boolean {
    if (capacity) this.capacity.adopt(capacity)
    for (const [server, answered, failed] of outcomes) this.capacity.onOutcomes(server, answered, failed)
    if (samples) this.capacity.onSamples(samples)
    return tokens !== undefined && this.tokens.onReport({ node, ...tokens })
  }

  /** All rows, for a node that has just connected. */
  fullRows (): Pick<LeaderReport, 'capacity'> {
    return { capacity: { ...this.capacity.rows, isFull: true } }
  }

  /** Rows for the next update to all nodes, including this one. */
  changedRows (): Pick<LeaderReport, 'capacity'> {
    this.capacity.dropRemoved()
    this.tokens.expire()
    this.table.onLeaderHeard()
    const rows = this.capacity.takeChangedRows()
    if (!rows) return {}
    this.table.apply(rows)
    return { capacity: rows }
  }
}
