/** Says in sentences what happened to a request, from the log lines of several nodes. */

import { z } from 'zod'

/** Time around a request in which events of its engines and of the fleet are shown. */
const contextMs = 5000

const sendSchema = z.object({
  afterMs: z.number(),
  backend: z.string(),
  chosenBy: z.string().optional(),
  running: z.number(),
  runningElsewhere: z.number(),
  alternatives: z.number(),
  delayFactor: z.number().optional(),
  limit: z.number().optional(),
  result: z.string(),
  events: z.number().optional(),
  writingMs: z.number().optional(),
  isUnframed: z.boolean().optional()
})

const lineSchema = z.looseObject({
  time: z.string(),
  event: z.string(),
  node: z.string().default('?'),
  request: z.string().optional(),
  durationMs: z.number().optional(),
  sends: z.array(sendSchema).optional(),
  /** Backend server or engine of an event that concerns no single request. */
  backend: z.string().optional(),
  engine: z.string().optional()
})
type Line = z.infer<typeof lineSchema> & { atMs: number }

/** Events that change what a node believes about the fleet. */
const fleetEvents = new Set([
  'store lost', 'store regained', 'store history lost', 'configuration in force', 'placement leader is this node',
  'no longer placement leader', 'placement leader silent', 'connection to the placement leader lost', 'prompt parts quarantined', 'prompt parts released', 'account over its quota', 'account below its quota again', 'graceful shutdown', 'log lines left out', 'client limit reached',
  'configuration too old for keys', 'configuration recent enough for keys', 'store came back from a copy',
  'software marker written', 'software marker not written', 'stream records not written yet', 'stream records given up', 'streams could not be looked up'
])

/** How the software version of a stream was known that a client takes up. */
const knownBy: Record<string, string> = {
  'own-record': 'a record of this node',
  record: 'a record in the store',
  'only-marker': 'the only software marker of the service'
}

function parse (text: string): Line | undefined {
  // Collectors put a time or the name of the machine before the line.
  const start = text.indexOf('{')
  if (start === -1) return undefined
  try {
    const line = lineSchema.parse(JSON.parse(text.slice(start)))
    return { ...line, atMs: Date.parse(line.time) }
  } catch {
    // Other programs write to the same files.
    return undefined
  }
}

/** Sentences in the order of time, empty if no line names the request. */
export function explainFromLogs (texts: readonly string[], requestId: string): string[] {
  const lines = texts.map(parse).filter(line => line !== undefined)
  const own = lines.filter(({ request }) => request === requestId)
  if (own.length === 0) return []
  const fromMs = Math.min(...own.map(line => line.atMs - (line.durationMs ?? 0))) - contextMs
  const untilMs = Math.max(...own.map(({ atMs }) => atMs))
  const backends = new Set(own.flatMap(({ sends }) => sends?.map(({ backend }) => backend) ?? []))
  const accounts = new Set(own.map(line => line.account).filter(account => typeof account === 'string'))
  const models = new Set(own.map(line => line.model).filter(model => typeof model === 'string'))
  const nodes = new Set(own.map(({ node }) => node))
  const context = lines.filter(line => line.request === undefined && line.atMs >= fromMs && line.atMs <= untilMs &&
    (accounts.has(String(line.account)) || concerns(line, backends, models) || (nodes.has(line.node) && fleetEvents.has(line.event))))
  return [...own.flatMap(line => requestSentences(line)), ...context.map(line => ({ atMs: line.atMs, text: contextSentence(line) }))]
    .sort((left, right) => left.atMs - right.atMs)
    .map(({ atMs, text }) => `${new Date(atMs).toISOString().slice(11, 23)}  ${text}`)
}

function concerns (line: Line, backends: ReadonlySet<string>, models: ReadonlySet<unknown>): boolean {
  return backends.has(line.engine ?? '') || backends.has(line.backend ?? '') || (models.has(line.load) || models.has(line.model))
}

function requestSentences (line: Line): { atMs: number, text: string }[] {
  // A line about one moment of the request, such as the end of its connection.
  if (line.route === undefined) return [{ atMs: line.atMs, text: contextSentence(line) }]
  const account = line.account === undefined ? '' : ` of account ${String(line.account)}`
  if (line.event === 'request refused for its key') {
    const age = line.configAgeMs === undefined ? 'was never confirmed as current' : `was last known to be current ${String(line.configAgeMs)} ms before`
    return [{ atMs: line.atMs, text: `${line.node} refused request ${line.request}${account} on route ${String(line.route)} with status ${String(line.status)}: ${String(line.reason)}. Its configuration ${String(line.configVersion)} ${age}.` }]
  }
  if (line.event === 'request refused: its route has no service') {
    return [{ atMs: line.atMs, text: `${line.node} refused request ${line.request} on route ${String(line.route)} with status ${String(line.status)}: ${String(line.reason)} in configuration ${String(line.configVersion)}.` }]
  }
  const startMs = line.atMs - (line.durationMs ?? 0)
  const model = line.model === undefined ? '' : ` for ${String(line.model)}${line.adapter === undefined ? '' : `/${String(line.adapter)}`}`
  const sentences = [{
    atMs: startMs,
    text: `${line.node} took request ${line.request}${account} on route ${String(line.route)} (${String(line.kind)}, rank ${String(line.rank)})${model}, with ${String(line.deadlineMs)} ms to its deadline and configuration ${String(line.configVersion)}.`
  }]
  if (typeof line.takeUp === 'string') sentences.push({ atMs: startMs, text: takeUpSentence(line, line.takeUp) })
  for (const send of line.sends ?? []) {
    sentences.push({
      atMs: startMs + send.afterMs,
      text: `${line.node} sent it to ${send.backend}${chooserOf(send.chosenBy)}, which had ${send.running} requests of this node and, as last reported, ${send.runningElsewhere} of others${send.limit === undefined ? '' : ` (learned limit ${send.limit}, delay factor ${send.delayFactor})`}; ${send.alternatives} other servers could have taken it. Result: ${send.result}${send.writingMs === undefined ? '' : `, ${send.events} events in ${send.writingMs} ms`}${send.isUnframed ? '; the answer had neither a length nor chunks' : ''}.`
    })
  }
  if (typeof line.waitedMs === 'number' && line.waitedMs > 0) sentences.push({ atMs: line.atMs, text: `It waited ${line.waitedMs} ms in all for a server that could take it${typeof line.queuedMs === 'number' && line.queuedMs > 0 ? `, ${line.queuedMs} ms of them in the placement leader's queue` : ''}.` })
  if (typeof line.silentMs === 'number' && line.outcome === 'broken-off') {
    const search = line.searchEnd === undefined ? 'no other server was looked for' : `the search for another server ended with: ${String(line.searchEnd)}`
    sentences.push({ atMs: line.atMs, text: `The answer had begun; its last event was ${String(line.lastEventId)}, ${String(line.silentMs)} ms before; ${search}. The node was ${line.isStopping === true ? 'stopping' : 'not stopping'}, and its timers had been late by up to ${String(line.loopDelayMs)} ms.` })
  }
  const status = line.status === 0 ? 'no status' : `status ${String(line.status)}`
  sentences.push({ atMs: line.atMs, text: `It ended as ${String(line.outcome)} with ${status} after ${line.durationMs} ms${line.reason === undefined ? '' : `: ${String(line.reason)}`}.` })
  return sentences
}

function takeUpSentence ({ resumes, streamVersion }: Line, takeUp: string): string {
  const stream = resumes === undefined ? 'a stream, without naming the attempt that began it' : `the stream that attempt ${String(resumes)} began`
  const by = knownBy[takeUp]
  if (by === undefined) return `It takes up ${stream}. No engine was asked: ${takeUp}.`
  return `It takes up ${stream}. Only engines of software version ${JSON.stringify(streamVersion)} may go on with it, as ${by} says.`
}

function chooserOf (chosenBy: string | undefined): string {
  if (chosenBy === 'queue') return ', assigned from the placement leader\'s queue'
  if (chosenBy === 'leader') return ', chosen by the placement leader'
  return chosenBy === 'node' ? ', chosen by itself' : ''
}

function contextSentence ({ event, node, time: _time, atMs: _atMs, level: _level, ...fields }: Line): string {
  const details = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `${node}: ${event}${details.length > 0 ? ` (${details.join(', ')})` : ''}.`
}
