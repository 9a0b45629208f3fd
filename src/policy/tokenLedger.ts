/**
 * The placement leader's account of the tokens that engines hold: those of the requests that nodes report as running, and those of
 * assignments that no report covers yet. Assignments are numbered; a node's report names the last one that it had received, so it
 * covers that one and all earlier ones of the node.
 */

import type { Clock } from '../base/clock.js'

/** Older node reports no longer describe what is running. */
const maxReportAgeMs = 2000
/** An assignment that no report has covered by then got lost with its node's connection. */
const maxAssignmentAgeMs = 5000
/** Share of an engine's token memory that is used. The rest is for requests whose output is longer than expected. */
export const usableCacheShare = 0.9

interface Assignment {
  node: string
  engine: string
  tokens: number
  atMs: number
}

export interface TokenReport {
  node: string
  /** Number of the last assignment that the node had received from this leader; 0 if none. */
  lastAssignment: number
  /** Engine, tokens of the node's requests in progress there. */
  rows: readonly (readonly [engine: string, tokens: number])[]
}

export class TokenLedger {
  /** By number, in ascending order. */
  private readonly assignments = new Map<number, Assignment>()
  private readonly reports = new Map<string, { rows: TokenReport['rows'], atMs: number }>()
  private readonly held = new Map<string, number>()
  private lastNumber = 0

  constructor (private readonly clock: Clock) {}

  /** Records that `node` was told to send a request to `engine`. Returns the number of the assignment. */
  assign (node: string, engine: string, tokens: number): number {
    this.add(engine, tokens)
    this.assignments.set(++this.lastNumber, { node, engine, tokens, atMs: this.clock.nowMs() })
    return this.lastNumber
  }

  /** The assignment has ended or was returned. Without effect if a report of its node has covered it. */
  release (number: number): void {
    const assignment = this.assignments.get(number)
    if (!assignment) return
    this.assignments.delete(number)
    this.add(assignment.engine, -assignment.tokens)
  }

  /** Returns whether an engine holds less than before the report. */
  onReport ({ node, lastAssignment, rows }: TokenReport): boolean {
    const before = new Map<string, number>()
    const noteHeld = (engine: string) => { if (!before.has(engine)) before.set(engine, this.of(engine)) }
    for (const [engine] of this.reports.get(node)?.rows ?? []) noteHeld(engine)
    // Hundreds of reports a second search all assignments, so these are not copied.
    const covered: number[] = []
    for (const [number, assignment] of this.assignments) {
      if (assignment.node !== node || number > lastAssignment) continue
      covered.push(number)
      noteHeld(assignment.engine)
    }
    this.removeReport(node)
    this.reports.set(node, { rows, atMs: this.clock.nowMs() })
    for (const [engine, tokens] of rows) this.add(engine, tokens)
    for (const number of covered) this.release(number)
    return [...before].some(([engine, tokens]) => this.of(engine) < tokens)
  }

  /** Drops what is too old to count. */
  expire (): void {
    const nowMs = this.clock.nowMs()
    for (const [node, { atMs }] of this.reports) if (nowMs - atMs > maxReportAgeMs) this.removeReport(node)
    for (const [number, { atMs }] of this.assignments) if (nowMs - atMs > maxAssignmentAgeMs) this.release(number)
  }

  /** Tokens that the engine holds or is about to hold. */
  of (engine: string): number {
    return this.held.get(engine) ?? 0
  }

  private removeReport (node: string): void {
    for (const [engine, tokens] of this.reports.get(node)?.rows ?? []) this.add(engine, -tokens)
    this.reports.delete(node)
  }

  private add (engine: string, tokens: number): void {
    const total = (this.held.get(engine) ?? 0) + tokens
    if (total > 0) this.held.set(engine, total)
    else this.held.delete(engine)
  }
}

/**
 * Whether the request fits into the engine's token memory beside what it holds. An engine without any request takes every request whose
 * prompt fits, since its output may stay shorter than expected.
 */
export function fitsTokens ({ promptTokens, outputTokens }: { promptTokens: number, outputTokens: number }, heldTokens: number, cacheTokens: number): boolean {
  if (heldTokens === 0) return promptTokens <= cacheTokens
  return heldTokens + promptTokens + outputTokens <= cacheTokens * usableCacheShare
}
