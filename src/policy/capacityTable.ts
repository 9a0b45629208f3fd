/** What the placement leader has learned of the backend servers, as every node knows it from the leader's updates. */

import { z } from 'zod'
import type { Clock } from '../base/clock.js'

/** Time without a word from a leader after which the rows count as unconfirmed and decay. */
const confirmedForMs = 5000
/** Estimates without samples decay to the prior with this half-life, so that a server that has become better gets requests again. */
export const capacityHalfLifeMs = 10_000

/** Server, delay factor, limit of requests in progress, recent share of failed requests. */
export const capacityRowSchema = z.tuple([z.string(), z.number().positive(), z.number().positive(), z.number().min(0).max(1)])
/** Model, or service for plain services, with its delay factor. */
export const paceRowSchema = z.tuple([z.string(), z.number().positive()])
export const capacityRowsSchema = z.object({
  servers: z.array(capacityRowSchema),
  paces: z.array(paceRowSchema)
})
export type CapacityRows = z.infer<typeof capacityRowsSchema>

export interface ServerCapacityRow {
  /** Delay as a multiple of the prior's, apart from the factor of the model or service. */
  factor: number
  /** Requests in progress that the server takes well. */
  limit: number
  /** Share of failed requests, from 0 to 1. */
  failureShare: number
}

/** Key of a model's pace; that of a plain service has an empty model. */
export function paceKey (service: string, model: string): string {
  return `${service}/${model}`
}

export class CapacityTable {
  private readonly servers = new Map<string, ServerCapacityRow>()
  private readonly paces = new Map<string, number>()
  private confirmedAtMs: number

  constructor (private readonly clock: Clock) {
    this.confirmedAtMs = clock.nowMs()
  }

  /** The leader's rows are current, also those that it did not repeat. */
  onLeaderHeard (): void {
    this.confirmedAtMs = this.clock.nowMs()
  }

  apply ({ servers, paces }: CapacityRows): void {
    for (const [server, factor, limit, failureShare] of servers) this.servers.set(server, { factor, limit, failureShare })
    for (const [key, factor] of paces) this.paces.set(key, factor)
  }

  /** Rows of servers and paces that are missing in `rows`. */
  missingFrom (rows: CapacityRows): CapacityRows {
    const servers = new Set(rows.servers.map(([server]) => server))
    const paces = new Set(rows.paces.map(([key]) => key))
    const all = this.rows
    return { servers: all.servers.filter(([server]) => !servers.has(server)), paces: all.paces.filter(([key]) => !paces.has(key)) }
  }

  /** All rows as they were received. */
  get rows (): CapacityRows {
    return { servers: [...this.servers].map(([server, { factor, limit, failureShare }]) => [server, factor, limit, failureShare]), paces: [...this.paces] }
  }

  /** Drops the rows of removed servers. */
  keepOnly (isPresent: (server: string) => boolean): void {
    for (const server of this.servers.keys()) if (!isPresent(server)) this.servers.delete(server)
  }

  /** What is known of the server; the prior if there is no row. */
  of (server: string, slots: number): ServerCapacityRow {
    const row = this.servers.get(server)
    if (!row) return { factor: 1, limit: slots, failureShare: 0 }
    const weight = this.weight
    return { factor: row.factor ** weight, limit: slots - (slots - Math.min(slots, row.limit)) * weight, failureShare: row.failureShare * weight }
  }

  /** Delay factor of a model on all its engines, or of a plain service on all its servers. It does not decay: it is no property of a server. */
  paceOf (service: string, model: string): number {
    return this.paces.get(paceKey(service, model)) ?? 1
  }

  /** Lowest, highest and mean value of a column; 0 without rows. */
  summary (column: keyof ServerCapacityRow): { lowest: number, highest: number, mean: number } {
    const values = [...this.servers.values()].map(row => row[column])
    if (values.length === 0) return { lowest: 0, highest: 0, mean: 0 }
    return { lowest: Math.min(...values), highest: Math.max(...values), mean: values.reduce((sum, value) => sum + value, 0) / values.length }
  }

  private get weight (): number {
    return 0.5 ** (Math.max(0, this.clock.nowMs() - this.confirmedAtMs - confirmedForMs) / capacityHalfLifeMs)
  }
}
