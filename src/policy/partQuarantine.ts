/**
 * Quarantine of prompt parts that end engines. Each node has one; the leader's also grants trials. A part under suspicion is tried
 * by one request at a time; requests with a part in quarantine are refused until the quarantine ends, and then one request tries
 * again. docs/design.md, 3.7, explains the rules.
 */

import { z } from 'zod'
import type { CancelTimer, Clock } from '../base/clock.js'
import { rendezvousOwner } from '../base/hash.js'
import type { PromptPart } from './dispatcher.js'
import { isIdentity, PartEvidence, partKeys, partsOf, settleMs } from './partEvidence.js'
import type { EngineEnd, Suspicion } from './partEvidence.js'

/** Duration of the first quarantine; each further one of the same parts lasts twice as long. */
const quarantineMs = 600_000
/** The same for parts with which answers went on shortly before: a mistake would cost most there. */
const quarantineWithHistoryMs = 30_000
const maxQuarantineMs = 24 * 3600 * 1000
const maxVerdicts = 64
/** Parts of the newest ends that are sent to a node that connects: the connection is closed if too much waits to be sent. */
const maxPartsSent = 2048
/** Time without a result after which a trial no longer excludes others. */
const maxTrialMs = 5000
/** Time between the second end of an engine and the next trial, in which unrelated ends show themselves. */
const trialPauseMs = 500
/** Ends from which the next trial runs on the engine with the fewest requests. */
const endsBeforeIsolation = 2
/** Time between looks of a request that waits for a trial to end. */
export const trialPollMs = 100
/** An answer went on if it is complete, or has at least these events over at least this time. */
const survivalEvents = 10
const survivalMs = 500

/** Whether an engine that answers for so long will not end because of that request any more. */
export function hasGoneOn ({ events, writingMs }: { events: number, writingMs: number | undefined }): boolean {
  return events >= survivalEvents && (writingMs ?? 0) >= survivalMs
}

/** Why parts are in quarantine, and for how long. */
export interface Verdict {
  /** Keys of the parts; a request is refused if it has all of them. */
  parts: string[]
  /** Engines that ended before the verdict. */
  ends: number
  firstEndAtMs: number
  lastEndAtMs: number
  untilMs: number
  /** Number of earlier quarantines of the same parts. */
  renewals: number
  hasHistory: boolean
  software: string[]
}

/** Requests with these parts need trials. */
export interface SuspectCheck {
  kind: 'suspect'
  parts: string[]
  /** Most engines that ended under one of them. */
  ends: number
  /** Whether a quarantine of one of them has run out. */
  isVerdictOver: boolean
}

export type PartCheck =
  | { kind: 'clear' }
  | SuspectCheck
  | { kind: 'refused', verdict: Verdict }

/** A verdict in a form that can be sent or stored: times are ages, because clocks differ. */
export const verdictFactSchema = z.object({
  parts: z.array(z.string()).min(1),
  ends: z.number(),
  firstEndAgeMs: z.number(),
  lastEndAgeMs: z.number(),
  /** Remaining time; 0 or less if it is over. */
  leftMs: z.number(),
  renewals: z.number(),
  hasHistory: z.boolean(),
  software: z.array(z.string())
})
export type VerdictFact = z.infer<typeof verdictFactSchema>

/** Facts in a form that can be sent. */
export const partFactsSchema = z.object({
  /** Engine, software, age of its end, requests with their parts and age. */
  ends: z.array(z.tuple([z.string(), z.string(), z.number(), z.array(z.tuple([z.array(z.string()), z.number()]))])),
  /** Part, age of the last request whose answer went on. */
  survivals: z.array(z.tuple([z.string(), z.number()])),
  verdicts: z.array(verdictFactSchema),
  /** IDs of trials of the receiver that have ended. */
  endedTrials: z.array(z.string())
})
export type PartFacts = z.infer<typeof partFactsSchema>

/** Permission to send one request with parts under suspicion. */
export interface Trial {
  id: string
  /** Whether to use the engine with the fewest requests: the parts have ended several. */
  isIsolated: boolean
}

/**
 * Whether a node may try parts without a leader that grants trials: each node once after the first end, later only the one of
 * `nodes` to which the parts fall, and nobody after a verdict.
 */
export function mayTryAlone ({ parts, ends, isVerdictOver }: SuspectCheck, node: string, nodes: readonly string[]): boolean {
  if (isVerdictOver) return false
  return ends < endsBeforeIsolation || rendezvousOwner([...parts].sort().join(), nodes) === node
}

export interface PartQuarantineOptions {
  clock: Clock
  /** Makes the IDs of trials of this node unique. */
  name: string
  /** Called when a verdict is made, received or renewed. */
  onVerdict?: (verdict: Verdict) => void
  /** Called when a verdict has ended because answers went on, or by an operator. */
  onReleased?: (verdict: Verdict) => void
  /** Called when there are facts to send. */
  onFacts?: () => void
}

export class PartQuarantine {
  private readonly options: PartQuarantineOptions
  private readonly clock: Clock
  private readonly evidence = new PartEvidence()
  /** Answers of this node that went on; becomes evidence when a part is suspected. */
  private readonly own = new PartEvidence()
  /** The same for identities of requests, which are too many to be kept beside the parts. */
  private readonly ownRequests = new PartEvidence()
  private readonly verdicts = new Map<string, Verdict>()
  private readonly trials = new Map<string, { parts: string[], startedAtMs: number, engine: string | undefined }>()
  private nextTrial = 1
  private readonly unsentEnds = new Set<string>()
  private readonly unsentSurvivals = new Set<string>()
  private readonly unsentVerdicts = new Set<string>()
  private readonly unsentTrialEnds = new Set<string>()
  /** Parts on which evidence has come in since the last decision. */
  private readonly undecided = new Set<string>()
  private cancelDecision: CancelTimer | undefined

  constructor (options: PartQuarantineOptions) {
    this.options = options
    this.clock = options.clock
  }

  /** Whether anything is known that may concern a request. */
  get hasEvidence (): boolean {
    return this.verdicts.size > 0 || this.evidence.hasEnds
  }

  /** Whether a request with these shared parts, and its identity among them, may be sent. */
  check (parts: readonly Pick<PromptPart, 'id'>[]): PartCheck {
    if (parts.length === 0 || !this.hasEvidence) return { kind: 'clear' }
    const nowMs = this.clock.nowMs()
    const keys = partKeys(parts)
    const suspects = new Map<string, number>()
    let isVerdictOver = false
    for (const verdict of this.verdicts.values()) {
      const inForce = this.partsInForce(verdict)
      const present = inForce.filter(part => keys.includes(part))
      if (present.length === 0) continue
      if (present.length === inForce.length && nowMs < verdict.untilMs) return { kind: 'refused', verdict }
      // With only some of the parts, a request may be sound and is tried at once.
      isVerdictOver ||= nowMs >= verdict.untilMs
      for (const part of present) suspects.set(part, verdict.ends)
    }
    for (const part of keys) {
      const suspicion = this.evidence.suspicionOf(part, nowMs)
      if (suspicion && isSuspect(suspicion)) suspects.set(part, Math.max(suspicion.ends, suspects.get(part) ?? 0))
    }
    if (suspects.size === 0) return { kind: 'clear' }
    return { kind: 'suspect', parts: [...suspects.keys()], ends: Math.max(...suspects.values()), isVerdictOver }
  }

  /**
   * Grants a trial for a request with `parts` under suspicion, or `undefined` while another one is in progress or has just failed.
   * Must be ended with `endTrial` unless the trial's engine ends or its answer goes on.
   */
  beginTrial ({ parts, ends }: { parts: readonly string[], ends: number }): Trial | undefined {
    const nowMs = this.clock.nowMs()
    for (const [id, { startedAtMs }] of this.trials) if (nowMs - startedAtMs > maxTrialMs) this.trials.delete(id)
    if ([...this.trials.values()].some(trial => trial.parts.some(part => parts.includes(part)))) return undefined
    const isIsolated = ends >= endsBeforeIsolation
    const lastEndAtMs = Math.max(-Infinity, ...parts.map(part => this.evidence.suspicionOf(part, nowMs)?.lastAtMs ?? -Infinity))
    if (isIsolated && nowMs < lastEndAtMs + trialPauseMs) return undefined
    const id = `${this.options.name}.${this.nextTrial++}`
    this.trials.set(id, { parts: [...parts], startedAtMs: nowMs, engine: undefined })
    return { id, isIsolated }
  }

  /** Engines on which trials are in progress: a further one there would be blamed for the end of the first. */
  get enginesInTrial (): string[] {
    return [...this.trials.values()].map(({ engine }) => engine).filter(engine => engine !== undefined)
  }

  /** The trial's request is sent to `engine`. */
  setTrialEngine (id: string, engine: string): void {
    const trial = this.trials.get(id)
    if (trial) trial.engine = engine
  }

  /** The trial has a result, or shows nothing: its request was not sent, or ended for another reason. */
  endTrial (id: string): void {
    if (this.trials.delete(id) || id.startsWith(`${this.options.name}.`)) return
    this.unsentTrialEnds.add(id)
    this.options.onFacts?.()
  }

  /** An engine ended under a request of this node that it had not begun to answer, or only just. */
  recordEnd ({ engine, software, sentAtMs, parts }: { engine: string, software: string, sentAtMs: number, parts: readonly Pick<PromptPart, 'id'>[] }): void {
    this.addEnd({ engine, software, atMs: this.clock.nowMs(), requests: [{ parts: partKeys(parts), sentAtMs }] }, { isNews: true })
  }

  /** The answer to a request of this node that was sent at `sentAtMs` has gone on. */
  recordSurvival (sharedParts: readonly Pick<PromptPart, 'id'>[], sentAtMs: number): void {
    const keys = partKeys(sharedParts)
    for (const part of keys) this.ownOf(part).addSurvival(part, sentAtMs)
    this.tellSurvivals(keys)
  }

  /** Adds facts of other nodes. With `isNews`, they are sent on. */
  merge ({ ends, survivals, verdicts, endedTrials }: PartFacts, { isNews }: { isNews: boolean }): void {
    const nowMs = this.clock.nowMs()
    for (const id of endedTrials) this.trials.delete(id)
    for (const [part, ageMs] of survivals) this.addSurvival(part, nowMs - ageMs, { isNews })
    for (const [engine, software, ageMs, requests] of ends) {
      this.addEnd({ engine, software, atMs: nowMs - ageMs, requests: requests.map(([parts, sentAgeMs]) => ({ parts, sentAtMs: nowMs - sentAgeMs })) }, { isNews })
    }
    for (const fact of verdicts) this.addVerdict(verdictOf(fact, nowMs), { isNews })
  }

  /** Ends the quarantine of `parts`, by an operator's word: counts as an answer that went on. */
  lift (parts: readonly string[]): void {
    for (const part of parts) this.addSurvival(part, this.clock.nowMs(), { isNews: true })
  }

  /** Ends quarantines that concern only software which no engine runs any more; one request then tries again. */
  onSoftware (running: ReadonlySet<string>): void {
    const nowMs = this.clock.nowMs()
    const services = new Set([...running].map(serviceOfSoftware))
    for (const [key, verdict] of this.verdicts) {
      if (nowMs >= verdict.untilMs || verdict.software.some(software => running.has(software) || !services.has(serviceOfSoftware(software)))) continue
      verdict.untilMs = nowMs
      this.unsentVerdicts.add(key)
      this.options.onFacts?.()
    }
  }

  /** The verdicts that are in force or whose parts have not been tried since they ended. */
  get list (): Verdict[] {
    return [...this.verdicts.values()]
  }

  /** The verdicts as facts. */
  get verdictFacts (): VerdictFact[] {
    const nowMs = this.clock.nowMs()
    return this.list.map(verdict => factOf(verdict, nowMs))
  }

  /** Number of parts whose requests need trials. */
  get suspectCount (): number {
    const nowMs = this.clock.nowMs()
    const parts = new Set(this.evidence.recentEnds(nowMs).flatMap(partsOf))
    return [...parts].filter(part => {
      const suspicion = this.evidence.suspicionOf(part, nowMs)
      return suspicion !== undefined && isSuspect(suspicion)
    }).length
  }

  /** The facts that have not been sent yet, which count as sent from now on; `undefined` if there are none. */
  takeFacts (): PartFacts | undefined {
    const unsent = [this.unsentEnds, this.unsentSurvivals, this.unsentVerdicts, this.unsentTrialEnds]
    if (unsent.every(({ size }) => size === 0)) return undefined
    const facts = { ...this.factsOf(this.unsentEnds, this.unsentSurvivals, this.unsentVerdicts), endedTrials: [...this.unsentTrialEnds] }
    for (const sent of unsent) sent.clear()
    return facts
  }

  /** All facts that matter, for a node that has just connected or a new leader; `undefined` if there are none. */
  allFacts (): PartFacts | undefined {
    let partCount = 0
    const newestFirst = [...this.evidence.recentEnds(this.clock.nowMs())].reverse()
    const ends = newestFirst.filter(({ requests }) => (partCount += requests.reduce((sum, { parts }) => sum + parts.length, 0)) <= maxPartsSent)
    if (ends.length === 0 && this.verdicts.size === 0) return undefined
    const parts = new Set([...ends.flatMap(partsOf), ...this.list.flatMap(verdict => verdict.parts)])
    return this.factsOf(new Set(ends.map(({ engine }) => engine)), parts, new Set(this.verdicts.keys()))
  }

  private factsOf (engines: ReadonlySet<string>, parts: ReadonlySet<string>, verdictKeys: ReadonlySet<string>): PartFacts {
    const nowMs = this.clock.nowMs()
    return {
      ends: this.evidence.recentEnds(nowMs).filter(({ engine }) => engines.has(engine)).map(({ engine, software, atMs, requests }) =>
        [engine, software, nowMs - atMs, requests.map(({ parts: requestParts, sentAtMs }) => [requestParts, nowMs - sentAtMs])]),
      survivals: [...parts].filter(part => this.evidence.survivalOf(part) !== -Infinity).map(part => [part, nowMs - this.evidence.survivalOf(part)]),
      verdicts: [...this.verdicts].filter(([key]) => verdictKeys.has(key)).map(([, verdict]) => factOf(verdict, nowMs)),
      endedTrials: []
    }
  }

  private addEnd (end: EngineEnd, { isNews }: { isNews: boolean }): void {
    if (!this.evidence.addEnd(end)) return
    if (isNews) {
      this.unsentEnds.add(end.engine)
      this.options.onFacts?.()
    }
    const parts = partsOf(end)
    this.endTrialsOf(parts)
    for (const verdict of this.verdicts.values()) this.renewAfter(verdict, end)
    this.tellSurvivals(parts)
    this.decideLater(parts)
  }

  private addSurvival (part: string, sentAtMs: number, { isNews }: { isNews: boolean }): void {
    if (!this.evidence.addSurvival(part, sentAtMs)) return
    if (isNews) {
      this.unsentSurvivals.add(part)
      this.options.onFacts?.()
    }
    this.endTrialsOf([part])
    // Other parts may be the only cause left.
    this.decideLater(this.evidence.recentEnds(this.clock.nowMs()).flatMap(partsOf))
    for (const [key, verdict] of this.verdicts) {
      if (this.partsInForce(verdict).length > 0) continue
      this.verdicts.delete(key)
      this.unsentVerdicts.delete(key)
      this.options.onReleased?.(verdict)
    }
  }

  private ownOf (part: string): PartEvidence {
    return isIdentity(part) ? this.ownRequests : this.own
  }

  /** Makes own answers that went on evidence, where they change what is known about a suspected part. */
  private tellSurvivals (parts: readonly string[]): void {
    if (this.verdicts.size === 0 && !this.evidence.hasEnds) return
    const nowMs = this.clock.nowMs()
    const inVerdicts = new Set(this.list.flatMap(verdict => this.partsInForce(verdict)))
    for (const part of parts) {
      const ownAtMs = this.ownOf(part).survivalOf(part)
      if (ownAtMs <= this.evidence.survivalOf(part)) continue
      const suspicion = this.evidence.suspicionOf(part, nowMs)
      if (inVerdicts.has(part) || (suspicion && (ownAtMs > suspicion.firstAtMs || !suspicion.hasHistory))) this.addSurvival(part, ownAtMs, { isNews: true })
    }
  }

  private endTrialsOf (parts: readonly string[]): void {
    for (const [id, trial] of this.trials) if (trial.parts.some(part => parts.includes(part))) this.trials.delete(id)
  }

  /** An engine that ends under a trial after the quarantine begins the next one. */
  private renewAfter (verdict: Verdict, { atMs, requests, software }: EngineEnd): void {
    const inForce = this.partsInForce(verdict)
    if (!requests.some(({ parts, sentAtMs }) => sentAtMs >= verdict.untilMs && inForce.every(part => parts.includes(part)))) return
    const renewals = verdict.renewals + 1
    this.addVerdict({
      ...verdict, ends: verdict.ends + 1, lastEndAtMs: atMs, renewals, untilMs: atMs + durationMs(verdict.hasHistory, renewals), software: [...new Set([...verdict.software, software])]
    }, { isNews: true })
  }

  /** Draws the conclusions on `parts` when all nodes have told what they know. */
  private decideLater (parts: readonly string[]): void {
    for (const part of parts) if (this.evidence.mayBeProved(part)) this.undecided.add(part)
    if (this.undecided.size > 0) this.cancelDecision ??= this.clock.setTimer(settleMs, () => this.decide())
  }

  private decide (): void {
    const nowMs = this.clock.nowMs()
    const parts = [...this.undecided]
    this.undecided.clear()
    this.cancelDecision = undefined
    for (const part of parts) {
      const suspicion = this.evidence.suspicionOf(part, nowMs)
      if (!suspicion || suspicion.ends < suspicion.needed) continue
      // An end that has been learned of since the timer was set.
      if (nowMs < suspicion.lastAtMs + settleMs) this.decideLater([part])
      if (!suspicion.isProved) continue
      const { ends, firstAtMs, lastAtMs, hasHistory, software, companions } = suspicion
      if (this.verdicts.has(verdictKey(companions))) continue
      this.addVerdict({
        parts: companions, ends, firstEndAtMs: firstAtMs, lastEndAtMs: lastAtMs, untilMs: nowMs + durationMs(hasHistory, 0), renewals: 0, hasHistory, software
      }, { isNews: true })
    }
  }

  private addVerdict (verdict: Verdict, { isNews }: { isNews: boolean }): void {
    const key = verdictKey(verdict.parts)
    const known = this.verdicts.get(key)
    if (this.partsInForce(verdict).length === 0) return
    // Of two verdicts on the same parts the later one holds. One that has been ended early has the same number of renewals.
    if (known && (known.renewals > verdict.renewals || (known.renewals === verdict.renewals && known.untilMs <= verdict.untilMs))) return
    this.verdicts.set(key, verdict)
    if (isNews) {
      this.unsentVerdicts.add(key)
      this.options.onFacts?.()
    }
    if (!known || known.renewals < verdict.renewals) this.options.onVerdict?.(verdict)
    const nowMs = this.clock.nowMs()
    const byEnd = [...this.verdicts].sort(([, left], [, right]) => left.untilMs - right.untilMs)
    for (const [evicted, { untilMs }] of byEnd) {
      if (this.verdicts.size <= maxVerdicts && nowMs - untilMs <= maxQuarantineMs) break
      this.verdicts.delete(evicted)
    }
  }

  /** The parts of a verdict without those with which an answer has gone on since its last end. */
  private partsInForce ({ parts, lastEndAtMs }: Verdict): string[] {
    return parts.filter(part => this.evidence.survivalOf(part) <= lastEndAtMs)
  }
}

function isSuspect ({ ends, hasHistory }: Suspicion): boolean {
  return ends >= (hasHistory ? endsBeforeIsolation : 1)
}

function durationMs (hasHistory: boolean, renewals: number): number {
  return Math.min(maxQuarantineMs, (hasHistory ? quarantineWithHistoryMs : quarantineMs) * 2 ** renewals)
}

function verdictKey (parts: readonly string[]): string {
  return JSON.stringify([...parts].sort())
}

function serviceOfSoftware (software: string): string {
  return software.split('/')[0]!
}

function verdictOf ({ firstEndAgeMs, lastEndAgeMs, leftMs, ...fact }: VerdictFact, nowMs: number): Verdict {
  return { ...fact, firstEndAtMs: nowMs - firstEndAgeMs, lastEndAtMs: nowMs - lastEndAgeMs, untilMs: nowMs + leftMs }
}

function factOf ({ firstEndAtMs, lastEndAtMs, untilMs, ...verdict }: Verdict, nowMs: number): VerdictFact {
  return { ...verdict, firstEndAgeMs: nowMs - firstEndAtMs, lastEndAgeMs: nowMs - lastEndAtMs, leftMs: untilMs - nowMs }
}
