/** Calls one engine over HTTP. */

import { Agent, Client } from 'undici'
import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { NotRunError } from '../base/errors.js'
import { cacheEventSchema, commandReplySchema, engineStatusSchema, kvExportSchema } from './engine.js'
import type { CacheEvent, CommandReply, EngineApi, EngineCommand, EngineSession, EngineStatus, InferenceEvent, InferenceRequest, KvExport } from './engine.js'
import { callAgentOptions, HttpCaller, mapNetworkError, streamAgentOptions } from './httpCall.js'
import { HttpEngineStream } from './httpEngineStream.js'

// Calls without a time limit of their own; the largest carries an exported KV cache.
const callTimeoutMs = 10_000

export class HttpEngine implements EngineApi {
  readonly engine: string
  private readonly caller: HttpCaller
  private streamAgent = new Agent(streamAgentOptions)
  private sessions: HttpEngineSession[] = []
  /** Whether refusals name their request. An engine that once did not gets a connection for each request, on which no other answer can arrive. */
  private namesRequests = true

  constructor ({ engine, address, clock }: { engine: string, address: string, clock: Clock }) {
    this.engine = engine
    this.caller = new HttpCaller(engine, address, clock)
  }

  async status ({ timeoutMs }: { timeoutMs: number }): Promise<EngineStatus> {
    return this.caller.parsed(engineStatusSchema, '/status', { timeoutMs })
  }

  async openSession ({ timeoutMs }: { timeoutMs: number }): Promise<HttpEngineSession> {
    const session = await HttpEngineSession.open(this.caller, timeoutMs)
    this.sessions = [...this.sessions.filter(other => other.isOpen()), session]
    return session
  }

  infer (request: InferenceRequest, { signal }: { signal?: AbortSignal }): AsyncIterable<InferenceEvent> {
    return this.stream(request, '/infer', request, signal)
  }

  resume (requestId: string, fromIndex: number, { attemptId, signal }: { attemptId: string, signal?: AbortSignal }): AsyncIterable<InferenceEvent> {
    return this.stream({ requestId, attemptId }, '/resume', { requestId, fromIndex, attemptId }, signal)
  }

  async cancel (requestId: string): Promise<void> {
    await this.caller.json('/cancel', { method: 'POST', body: { requestId }, timeoutMs: callTimeoutMs })
  }

  async cacheEvents (afterSequence: number): Promise<CacheEvent[]> {
    return this.caller.parsed(z.array(cacheEventSchema), `/cache-events?after=${afterSequence}`, { timeoutMs: callTimeoutMs })
  }

  async exportKv (requestId: string): Promise<KvExport> {
    return this.caller.parsed(kvExportSchema, '/kv/export', { method: 'POST', body: { requestId }, timeoutMs: callTimeoutMs })
  }

  async importKv (kv: KvExport): Promise<void> {
    await this.caller.json('/kv/import', { method: 'POST', body: kv, timeoutMs: callTimeoutMs })
  }

  /** Ends all connections, also those of sessions. */
  async close (): Promise<void> {
    for (const session of this.sessions) session.close()
    await Promise.all([this.caller.close(), this.streamAgent.destroy()])
  }

  private onRefusal (namesRequest: boolean): void {
    if (namesRequest === this.namesRequests) return
    this.namesRequests = namesRequest
    // Requests in progress go on.
    this.streamAgent.close().catch(() => {})
    this.streamAgent = new Agent(streamAgentOptions)
  }

  private stream ({ requestId, attemptId }: Pick<InferenceRequest, 'requestId' | 'attemptId'>, path: string, body: unknown, signal?: AbortSignal): HttpEngineStream {
    return new HttpEngineStream({
      engine: this.engine,
      address: this.caller.address,
      dispatcher: this.streamAgent,
      path,
      body: JSON.stringify(body),
      requestId,
      attemptId,
      isNameExpected: this.namesRequests,
      onRefusal: namesRequest => this.onRefusal(namesRequest),
      signal,
      // The engine cannot tell an abort from a cut connection, after which it keeps the request for a resume.
      onAbort: () => { this.cancel(requestId).catch(() => {}) }
    })
  }
}

/** One connection that is never replaced. Its peer is the process whose incarnation was read over it. */
class SessionConnection {
  readonly client: Client
  busy = false
  ended = false

  constructor (address: string) {
    this.client = new Client(`http://${address}`, { ...callAgentOptions, keepAliveTimeout: 600_000, keepAliveMaxTimeout: 600_000 })
    this.client.on('disconnect', () => this.end())
    this.client.on('connectionError', () => this.end())
  }

  end (): void {
    this.ended = true
    this.client.destroy().catch(() => {})
  }
}

/**
 * Commands over connections of their own. HTTP/1.1 answers in order, so a command sent during a model load takes
 * another connection, which first reads the incarnation again. When a connection ends, the session ends.
 */
export class HttpEngineSession implements EngineSession {
  readonly engine: string
  private connections: SessionConnection[] = []
  private ended = false

  private constructor (private readonly caller: HttpCaller, readonly incarnation: string) {
    this.engine = caller.target
  }

  static async open (caller: HttpCaller, timeoutMs: number): Promise<HttpEngineSession> {
    const { connection, incarnation } = await connect(caller, timeoutMs)
    const session = new HttpEngineSession(caller, incarnation)
    session.connections.push(connection)
    return session
  }

  async command (command: EngineCommand, { timeoutMs }: { timeoutMs: number }): Promise<CommandReply> {
    const connection = await this.freeConnection(timeoutMs)
    try {
      return await this.caller.parsed(commandReplySchema, '/commands', { method: 'POST', body: command, requestId: command.commandId, timeoutMs, dispatcher: connection.client })
    } catch (error) {
      const callError = mapNetworkError(this.engine, error)
      // A late answer could be taken for that of the next command.
      if (callError.outcome === 'unknown') connection.end()
      throw callError
    } finally {
      connection.busy = false
      if (!this.isOpen()) this.endIdleConnections()
    }
  }

  /** Ends the session. Commands in progress become unknown. */
  close (): void {
    this.ended = true
    for (const connection of this.connections) connection.end()
  }

  private endIdleConnections (): void {
    for (const connection of this.connections) if (!connection.busy) connection.end()
  }

  private async freeConnection (timeoutMs: number): Promise<SessionConnection> {
    this.checkOpen()
    const free = this.connections.find(connection => !connection.busy)
    if (free) {
      free.busy = true
      return free
    }
    const { connection, incarnation } = await connect(this.caller, timeoutMs).catch(error => {
      // Only the read of the incarnation was sent, so the command did not run.
      throw new NotRunError(this.engine, 'no connection for the command', { cause: error })
    })
    connection.busy = true
    this.connections.push(connection)
    if (incarnation !== this.incarnation) connection.end()
    this.checkOpen()
    return connection
  }

  isOpen (): boolean {
    this.ended ||= this.connections.some(connection => connection.ended)
    return !this.ended
  }

  private checkOpen (): void {
    if (!this.isOpen()) throw new NotRunError(this.engine, `the session to incarnation ${this.incarnation} has ended`)
  }
}

async function connect (caller: HttpCaller, timeoutMs: number): Promise<{ connection: SessionConnection, incarnation: string }> {
  const connection = new SessionConnection(caller.address)
  try {
    const { incarnation } = await caller.parsed(engineStatusSchema, '/status', { timeoutMs, dispatcher: connection.client })
    return { connection, incarnation }
  } catch (error) {
    connection.end()
    throw error
  }
}
