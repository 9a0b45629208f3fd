/** Judges a case by its record alone, one rule for each invariant of design.md 1.2. */

import { tokenSource } from '../standins/batcher.js'
import type { CallerRecord, CaseRecord, DrainRecord } from './records.js'

/** `point` is the number of the invariant. */
export interface Violation { point: number, text: string }

/** Time from the report of a drain until no new work arrives. */
const drainGraceMs = 5_000
const configWithinMs = 7_000

export type Rule = (record: CaseRecord) => string[]

/** 1: no engine recorded overcommitment. */
const memory: Rule = ({ overcommitments }) => overcommitments.map(({ engine, models, commandId }) =>
  `${engine} was overcommitted by command ${commandId} with ${models.map(({ name, state }) => `${name} ${state}`).join(', ')}`)

/** 2: after the faults every model and adapter answers a caller. */
const reachable: Rule = ({ probes }) => probes.filter(({ servedAtMs }) => servedAtMs === undefined)
  .map(({ target, lastResult }) => `${target} was not served after the faults: ${lastResult}`)

/** The texts that may answer a request: one for each version that was ever accepted. */
export function expectedTexts (record: CaseRecord, { model, prompt, maxTokens }: CallerRecord): string[] {
  const baseModel = record.baseModels[model]
  return record.versions[baseModel ?? model]!.map(name => {
    const tokenAt = tokenSource({ model: name, adapter: baseModel === undefined ? undefined : model, prompt })
    return Array.from({ length: maxTokens }, (_, index) => tokenAt(index)).join('')
  })
}

/** 3: complete answers are right, and others are not taken for complete ones. */
const answers: Rule = record => record.callers.flatMap(caller => {
  if (caller.result === 'ended') return [`the stream of ${caller.wish} for ${caller.model} ended without [DONE] and was not aborted`]
  if (caller.result !== 'complete') return []
  if (caller.kind === 'order') {
    return caller.text!.includes(JSON.stringify(JSON.stringify({ wish: caller.wish }))) ? [] : [`order ${caller.wish} got the answer ${caller.text}`]
  }
  return expectedTexts(record, caller).includes(caller.text!) ? [] : [`${caller.wish} for ${caller.model} got a wrong or incomplete answer of ${caller.text!.length} characters`]
})

/** 4: what was told to be not run is in no log. */
const notRun: Rule = ({ callers, runs }) => {
  const ran = new Map(runs.map(run => [run.requestId, run]))
  return callers.filter(({ result, requestId }) => (result === 'not-run' || result === 'rejected') && ran.has(requestId!))
    .map(({ wish, requestId, detail }) => `${wish} (${requestId}) was told not-run and ran on ${ran.get(requestId!)!.server}: ${detail?.slice(0, 200)}`)
}

/** 5: each order ran at most once. The path names the wish, whatever IDs the repeats had. */
const atMostOnce: Rule = ({ runs }) => {
  const byPath = new Map<string, string[]>()
  for (const { path, server } of runs) if (path !== '') byPath.set(path, [...byPath.get(path) ?? [], server])
  return [...byPath].filter(([, servers]) => servers.length > 1).map(([path, servers]) => `order ${path} ran ${servers.length} times, on ${servers.join(', ')}`)
}

/**
 * 6: a draining server gets no new work 5 s after the drain is shown. A node that was paused itself, or cut off with its
 * place, could not hear of it, so that its time counts from the end of that.
 */
const noNewWork: Rule = ({ drains, arrivals, endMs, processes, disturbances }) => drains.filter(({ kind }) => kind === 'server').flatMap(drain => {
  const couldKnowAtMs = (node: string) => {
    const { region, availabilityZone } = processes.find(({ process }) => process === node)!
    const shownAtMs = drain.shownAtMs ?? Infinity
    return Math.max(shownAtMs, ...disturbances.filter(({ name, atMs, untilMs }) => [node, region, availabilityZone].includes(name) &&
      atMs <= shownAtMs + drainGraceMs && untilMs > drain.atMs).map(({ untilMs }) => untilMs))
  }
  const late = arrivals.filter(({ server, sentAtMs, node }) => server === drain.name && sentAtMs > drain.atMs + drainGraceMs &&
    sentAtMs > couldKnowAtMs(node) + drainGraceMs && sentAtMs < (drain.endedAtMs ?? endMs))
  return late.length === 0 ? [] : [`${drain.name} got ${late.length} new requests, the first ${late[0]!.sentAtMs - drain.shownAtMs!} ms after its drain was shown, from ${late[0]!.node}`]
})

/** 7: a drain cuts no request in progress. */
const noCut: Rule = record => record.drains.flatMap(drain => {
  if (drain.kind === 'node') {
    return drain.openAtEnd ? [`${drain.name} ended its shutdown with ${drain.openAtEnd} requests in progress`] : []
  }
  return cutBy(record, drain)
})

/** Requests that ran on a draining engine and were cancelled there, although nothing else can have cut them. */
function cutBy ({ runs, callers, disturbances }: CaseRecord, { name, atMs }: DrainRecord): string[] {
  const byId = new Map(callers.map(caller => [caller.requestId, caller]))
  return runs.filter(run => run.server === name && run.atMs <= atMs && (run.endMs ?? Infinity) > atMs && run.result !== 'completed').flatMap(run => {
    const caller = byId.get(run.requestId)
    if (!caller || caller.result === 'complete' || caller.result === 'given-up') return []
    const excused = disturbances.some(disturbance => disturbance.atMs <= (caller.answeredAtMs ?? Infinity) && disturbance.untilMs >= caller.sentAtMs - 1)
    return excused ? [] : [`${caller.wish} ran on ${name} when its drain began and was cut: ${caller.result}`]
  })
}

/** 8: accepted configurations are in force everywhere in time and never revert. */
const configuration: Rule = record => {
  const { accepted, applied, processes, proposals, faultsEndMs, endMs } = record
  const findings: string[] = []
  const byVersion = new Map<number, string>()
  for (const { version, text, proposalId } of accepted) {
    const highest = Math.max(0, ...byVersion.keys())
    if (version <= highest && byVersion.get(version) !== text) findings.push(`version ${version} of ${proposalId} was written after version ${highest}`)
    byVersion.set(version, text)
  }
  const inForce = new Map<string, number>()
  for (const { process, version, text, atMs } of applied) {
    const before = inForce.get(process) ?? 0
    if (version <= before) findings.push(`${process} went from version ${before} to ${version}`)
    inForce.set(process, version)
    if (byVersion.get(version) !== text) findings.push(`${process} applied a text as version ${version} at ${atMs} that was never accepted under it`)
  }
  const newest = Math.max(...byVersion.keys())
  const acceptedAtMs = accepted.find(({ version }) => version === newest)!.atMs
  for (const { process, startedAtMs, endedAtMs } of processes) {
    const dueMs = Math.max(acceptedAtMs, faultsEndMs, startedAtMs) + configWithinMs
    if (dueMs > (endedAtMs ?? endMs)) continue
    const appliedInTime = Math.max(0, ...applied.filter(item => item.process === process && item.atMs <= dueMs).map(({ version }) => version))
    if (appliedInTime < newest) findings.push(`${process} has version ${appliedInTime} and not ${newest} ${configWithinMs} ms after acceptance and faults`)
  }
  for (const { proposalId, result, version } of proposals) {
    const own = accepted.filter(item => item.proposalId === proposalId)
    if (own.length > 1) findings.push(`proposal ${proposalId} was accepted ${own.length} times`)
    if (result === 'accepted' && own[0]?.version !== version) findings.push(`the operator of ${proposalId} was told accepted as ${version}, which it was not`)
    if (result === 'conflict' && own.length > 0) findings.push(`the operator of ${proposalId} was told conflict, and version ${own[0]!.version} is its change`)
    if (result === 'accepted' && byVersion.get(version!) !== own[0]?.text) findings.push(`the accepted text of ${proposalId} was lost`)
  }
  return findings
}

export const rules: readonly Rule[] = [memory, reachable, answers, notRun, atMostOnce, noNewWork, noCut, configuration]

export function check (record: CaseRecord): Violation[] {
  return rules.flatMap((rule, index) => rule(record).map(text => ({ point: index + 1, text })))
}
