/** Evidence on prompt parts that end engines: which engines ended under requests with a part, and which answers went on. */

import { createHash } from 'node:crypto'
import type { PromptPart } from './dispatcher.js'

/** Time for which the end of an engine counts: a part may be asked for rarely. */
const evidenceMs = 24 * 3600 * 1000
/** Limits that bound memory and messages, whatever clients send. */
const maxEnds = 64
/** Of an end, over all its requests. */
const maxPartsPerEnd = 256
const maxSurvivals = 4096
const maxPartsPerRequest = 64
const maxIdChars = 40
const digestChars = 32
const identityPrefix = 'request:'
/** Stands for the parts of a request beyond the limit, so that they cannot hide. */
const furtherPartsKey = 'further parts'

/** Ends under requests with a part, one after the other, that show that the part causes them. */
const endsNeeded = 3
/** The same for one request that is sent again: nothing else has its identity. */
const endsNeededOfRequest = 2
/** The same for a part with which answers went on shortly before. */
const endsNeededWithHistory = 4
/** Further ends needed while no answer has gone on with any other part of the same prompts. */
const endsInsteadOfControl = 2
/** Time within which an answer that went on counts as history of its parts. */
const historyMs = 60_000
/** A burst of unrelated ends is shorter than this, so ends of a part with history count only if they are as far apart. */
const historySpacingMs = 1000
/** Time within which all nodes have told their requests to an engine that ended. */
export const settleMs = 100
/** Times of the same request that were converted between clocks differ by less. */
const conversionMs = 1000
/** Time before a part's first end in which other ends show that engines also end for other reasons. */
const burstMs = 1000

/** A request that an engine had not begun to answer when it ended, or only just. */
export interface CutRequest {
  parts: string[]
  sentAtMs: number
}

/** The end of an engine, with such requests of all nodes. */
export interface EngineEnd {
  /** Incarnation of the engine. */
  engine: string
  /** Service and version of its software. */
  software: string
  atMs: number
  requests: CutRequest[]
}

interface KnownEnd extends EngineEnd {
  /** Time at which the last request with each part was sent to the engine. */
  lastSentAtMs: Map<string, number>
}

export interface Suspicion {
  /** Ends under requests with the part, each sent after the end before. */
  ends: number
  /** Of them, as many as show that the part causes them. */
  needed: number
  hasHistory: boolean
  firstAtMs: number
  lastAtMs: number
  /** Software of the engines that ended. */
  software: string[]
  /** Parts that were in the same prompts at each of the last ends that were needed, the part itself among them. */
  companions: string[]
  /** Whether the ends show that these parts cause them, and no others do. */
  isProved: boolean
}

/**
 * Identity of a request, by which it is known again when it is sent again: a digest of all that a server gets of it apart from its ID and
 * times. It stands beside the parts of its prompt, none of which has a colon in its ID.
 */
export function requestIdentity (content: string, body: readonly Uint8Array[]): string {
  const hash = createHash('sha256').update(content).update('\n')
  for (const block of body) hash.update(block)
  return identityPrefix + hash.digest('hex').slice(0, digestChars)
}

export function isIdentity (key: string): boolean {
  return key.startsWith(identityPrefix)
}

/** Keys of the shared parts of a request: their IDs, or digests of long ones. At most 65. */
export function partKeys (parts: readonly Pick<PromptPart, 'id'>[]): string[] {
  const keys = new Set(parts.slice(0, maxPartsPerRequest).map(({ id }) => partKey(id)))
  if (parts.length > maxPartsPerRequest) keys.add(furtherPartsKey)
  keys.delete('')
  return [...keys]
}

/** Key of a part: its ID, or the digest of a long one. */
export function partKey (id: string): string {
  return id.length <= maxIdChars ? id : `sha256:${createHash('sha256').update(id).digest('hex').slice(0, digestChars)}`
}

/**
 * Facts about parts, from this node and others. Merging is commutative and idempotent, so all nodes that have the same facts draw the
 * same conclusions.
 */
export class PartEvidence {
  private readonly ends = new Map<string, KnownEnd>()
  /** The ends by time, oldest first; `undefined` after a change. */
  private ordered: KnownEnd[] | undefined
  /** Number of the ends at which each part was present. */
  private readonly endCounts = new Map<string, number>()
  /** Time at which the last request was sent whose answer went on, by part; least recently changed first. */
  private readonly survivedAtMs = new Map<string, number>()

  /** Adds the end of an engine, or further requests of a known one. Returns whether anything is new. */
  addEnd ({ engine, software, atMs, requests }: EngineEnd): boolean {
    const known = this.ends.get(engine)
    this.ordered = undefined
    if (!known) {
      const end: KnownEnd = { engine, software, atMs, requests: [], lastSentAtMs: new Map() }
      this.addRequests(end, requests)
      this.ends.set(engine, end)
      const byTime = this.byTime()
      if (byTime.length > maxEnds) this.deleteOldest(byTime)
      return this.ends.has(engine)
    }
    known.atMs = Math.min(known.atMs, atMs)
    const isKnown = (request: CutRequest) => known.requests.some(({ parts, sentAtMs }) =>
      Math.abs(sentAtMs - request.sentAtMs) < conversionMs && parts.length === request.parts.length && parts.every((part, index) => part === request.parts[index]))
    return this.addRequests(known, requests.filter(request => !isKnown(request))) > 0
  }

  /** Adds requests up to the limit. Returns their number. */
  private addRequests (end: KnownEnd, requests: readonly CutRequest[]): number {
    let roomParts = maxPartsPerEnd - end.requests.reduce((sum, { parts }) => sum + parts.length, 0)
    const added: CutRequest[] = []
    for (const { parts, sentAtMs } of requests) {
      if (parts.length > roomParts) break
      roomParts -= parts.length
      added.push({ parts, sentAtMs })
      for (const part of parts) {
        const lastMs = end.lastSentAtMs.get(part)
        if (lastMs === undefined) this.endCounts.set(part, (this.endCounts.get(part) ?? 0) + 1)
        end.lastSentAtMs.set(part, Math.max(sentAtMs, lastMs ?? -Infinity))
      }
    }
    end.requests.push(...added)
    return added.length
  }

  /** An answer to a request with `part` that was sent at `sentAtMs` has gone on. Returns whether it is later than those known. */
  addSurvival (part: string, sentAtMs: number): boolean {
    if (sentAtMs <= this.survivalOf(part)) return false
    this.survivedAtMs.delete(part)
    this.survivedAtMs.set(part, sentAtMs)
    for (const oldest of this.survivedAtMs.keys()) {
      if (this.survivedAtMs.size <= maxSurvivals) break
      this.survivedAtMs.delete(oldest)
    }
    return true
  }

  /** Time at which the last request with `part` was sent whose answer went on; `-Infinity` if none is known. */
  survivalOf (part: string): number {
    return this.survivedAtMs.get(part) ?? -Infinity
  }

  get hasEnds (): boolean {
    return this.ends.size > 0
  }

  /** The ends that still count, oldest first. */
  recentEnds (nowMs: number): readonly KnownEnd[] {
    let byTime = this.byTime()
    while (byTime.length > 0 && nowMs - byTime[0]!.atMs > evidenceMs) byTime = this.deleteOldest(byTime)
    return byTime
  }

  private byTime (): KnownEnd[] {
    this.ordered ??= [...this.ends.values()].sort((left, right) => left.atMs - right.atMs)
    return this.ordered
  }

  private deleteOldest ([oldest]: readonly KnownEnd[]): KnownEnd[] {
    this.ends.delete(oldest!.engine)
    this.ordered = undefined
    for (const part of oldest!.lastSentAtMs.keys()) {
      const left = this.endCounts.get(part)! - 1
      if (left > 0) this.endCounts.set(part, left)
      else this.endCounts.delete(part)
    }
    return this.byTime()
  }

  /** Whether `part` was present at as many ends as a proof takes at least. */
  mayBeProved (part: string): boolean {
    return (this.endCounts.get(part) ?? 0) >= (isIdentity(part) ? endsNeededOfRequest : endsNeeded)
  }

  /** What the ends say about `part`; `undefined` if nothing. */
  suspicionOf (part: string, nowMs: number): Suspicion | undefined {
    if (!this.endCounts.has(part)) return undefined
    const survivedAtMs = this.survivalOf(part)
    const all = this.recentEnds(nowMs)
    // An answer that was begun after an end and went on shows that the part did not cause that end.
    const withPart = all.filter(({ atMs, lastSentAtMs }) => atMs > survivedAtMs && lastSentAtMs.has(part))
    const first = withPart[0]
    if (!first) return undefined
    const hasHistory = survivedAtMs > first.atMs - historyMs
    const spacingMs = hasHistory ? historySpacingMs : 0
    const counted: KnownEnd[] = []
    // Engines that end at the same time say no more than one: each request must have been sent after the end before.
    for (const end of withPart) if (counted.length === 0 || end.lastSentAtMs.get(part)! >= counted.at(-1)!.atMs + spacingMs) counted.push(end)
    const last = counted.at(-1)!
    const isUnrelated = ({ atMs, lastSentAtMs }: KnownEnd) => atMs >= first.atMs - burstMs && atMs <= last.atMs && !lastSentAtMs.has(part)
    const usual = (hasHistory ? endsNeededWithHistory : isIdentity(part) ? endsNeededOfRequest : endsNeeded) + (all.some(isUnrelated) ? 1 : 0)
    // Other requests do not have its identity, so they need not show that it is not what all have in common.
    const needed = usual + (isIdentity(part) || this.hasControl(counted.slice(-usual), part) ? 0 : endsInsteadOfControl)
    const decisive = counted.slice(-needed)
    const companions = this.sharedBy(decisive, part)
    return {
      ends: counted.length,
      needed,
      hasHistory,
      firstAtMs: first.atMs,
      lastAtMs: last.atMs,
      software: [...new Set(counted.map(({ software }) => software))],
      companions,
      isProved: counted.length >= needed && nowMs >= last.atMs + settleMs && !this.hasOtherCause(decisive, companions)
    }
  }

  /**
   * Whether answers have gone on with another part of the same prompts. Without, as in a fleet that has just started, the ends do not
   * tell a part of some prompts from one of all prompts.
   */
  private hasControl (ends: readonly KnownEnd[], part: string): boolean {
    const sinceMs = ends[0]!.atMs - historyMs
    return ends.some(({ requests }) => requests.some(({ parts }) => parts.includes(part) && parts.some(other => other !== part && this.survivalOf(other) > sinceMs)))
  }

  /** Parts that were in the same prompt as `part` at each of the ends, without those with which an answer has gone on since the first. */
  private sharedBy (ends: readonly EngineEnd[], part: string): string[] {
    const besides = ends.map(({ requests }) => new Set(requests.filter(({ parts }) => parts.includes(part)).flatMap(({ parts }) => parts)))
    return [...besides[0]!].filter(other => this.survivalOf(other) <= ends[0]!.atMs && besides.every(parts => parts.has(other)))
  }

  /** Whether a part of other prompts was present at each of the ends, so that it may as well have caused them. */
  private hasOtherCause (ends: readonly KnownEnd[], companions: readonly string[]): boolean {
    return [...ends[0]!.lastSentAtMs.keys()].some(other => !companions.includes(other) && this.survivalOf(other) <= ends[0]!.atMs && ends.every(({ lastSentAtMs }) => lastSentAtMs.has(other)))
  }
}

/** All parts of the requests under which the engine ended. */
export function partsOf ({ requests }: EngineEnd): string[] {
  return [...new Set(requests.flatMap(({ parts }) => parts))]
}
