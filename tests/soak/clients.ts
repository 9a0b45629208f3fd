/** Clients that keep their connections to a node for as long as it keeps them. */

import { Agent, request as httpRequest } from 'node:http'
import { readEvents } from '../fixtures/eventReader.js'
import { isFramed, isUnframedStream } from '../fixtures/framing.js'
import { costOf } from './accounts.js'
import type { Access } from './accounts.js'
import { streamEvents } from './backendStandIn.js'
import type { Kind, Ledger, Outcome, TakeUp } from './ledger.js'
import type { NodeProcess } from './nodeProcess.js'

export const host = 'soak.example'
export const timeoutMs: Record<Kind, number> = { safe: 2500, unsafe: 2500, stream: 5000 }
const heldPollMs = 250
const streamTokens = { prompt: 20, output: 20 }
/** Whether the path belongs to the route that needs no key. */
const isPublic = (path: string) => path.startsWith('/stock/')

export interface Call {
  kind: Kind
  path: string
  model?: string
  /** Shared prompt parts, in order; the last part of a prompt is always the request's own. */
  parts?: readonly string[]
  access?: Access | undefined
  /** The part of a stream that the client already has. */
  takeUp?: TakeUp | undefined
  /** Time that the client has left; that of the route if absent. */
  deadlineMs?: number
}

export class Clients {
  private readonly agents = new Map<string, Agent>()
  private nextId = 0
  pending = 0

  constructor (private readonly ledger: Ledger, private readonly connectionsEach: number) {}

  close (): void {
    for (const agent of this.agents.values()) agent.destroy()
  }

  /** Resolves with the answer, or with `undefined` if none came. */
  send (node: NodeProcess, { kind, path, model, parts = [], access, takeUp, deadlineMs = timeoutMs[kind] }: Call): Promise<Outcome | undefined> {
    const id = `${node.name}.${++this.nextId}`
    const method = kind === 'safe' ? 'GET' : 'POST'
    const body = kind === 'safe' ? '' : `body of ${id}`
    this.ledger.onSent(id, kind, node.name, `${method} ${path} ${body}`, { key: access?.key, tokens: costOf(access?.tokens ?? (model === undefined ? undefined : streamTokens)), isPublic: isPublic(path) }, takeUp)
    this.pending++
    return new Promise<Outcome | undefined>(resolve => {
      const headers: Record<string, string> = { Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(Math.round(deadlineMs)) }
      if (takeUp) Object.assign(headers, { Resumes: takeUp.stream, 'Last-Event-Id': String(takeUp.lastEventId) })
      if (model !== undefined) Object.assign(headers, { 'X-Model': model, 'X-Token-Count': `${streamTokens.prompt},${streamTokens.output}`, 'X-Prompt-Prefix': [...parts, `e${this.nextId.toString(16)}`].map(part => `${part}:10`).join() })
      if (access) Object.assign(headers, { 'X-Api-Key': access.key })
      if (access?.tokens) Object.assign(headers, { 'X-Token-Count': `${access.tokens.prompt},${access.tokens.output}` })
      if (access?.isForged) Object.assign(headers, { 'X-Tenant': 'forged' })
      const request = httpRequest({ ...node.clientsAddress, method, path, headers, agent: this.agentOf(node.name) })
      let isOver = false
      let hasAnswer = false
      let hasFailed = false
      const finish = (outcome: Outcome | undefined) => {
        if (isOver) return
        isOver = true
        clearInterval(heldTimer)
        if (outcome) this.ledger.onAnswer(id, outcome, { events: streamEvents, timeoutMs: deadlineMs })
        resolve(outcome)
      }
      const heldTimer = setInterval(() => {
        if (!this.ledger.onHeld(id, deadlineMs)) return
        finish(undefined)
        request.destroy()
      }, heldPollMs)
      request.on('response', response => {
        hasAnswer = true
        let text = ''
        let lastPartAtMs = performance.now()
        const hasFraming = isFramed(response.headers)
        response.setEncoding('utf8')
        response.on('data', (data: string) => {
          text += data
          lastPartAtMs = performance.now()
        })
        response.on('error', () => {})
        response.on('close', () => {
          const { events, rest } = isUnframedStream(response.headers) ? readEvents(text) : { events: text, rest: '' }
          // Without a length or chunks, Node.js counts a response as complete, whatever ends its connection.
          finish({ id, status: response.statusCode!, isComplete: response.complete && !hasFailed && rest === '', isFramed: hasFraming, headers: response.headers, body: events + rest, silentMs: performance.now() - lastPartAtMs })
        })
      })
      // A socket whose connection is refused is not connecting any more either.
      let isConnected = false
      request.on('socket', socket => {
        isConnected = !socket.connecting
        if (!isConnected) socket.once('connect', () => { isConnected = true })
      })
      request.on('error', error => {
        hasFailed = true
        if (isOver || hasAnswer) return
        this.ledger.onLost(id, { isPlannedStop: node.isStopping && isConnected, reason: error.message })
        finish(undefined)
      })
      request.end(body)
    }).finally(() => { this.pending-- })
  }

  private agentOf (node: string): Agent {
    let agent = this.agents.get(node)
    if (!agent) this.agents.set(node, agent = new Agent({ keepAlive: true, maxSockets: this.connectionsEach }))
    return agent
  }
}
