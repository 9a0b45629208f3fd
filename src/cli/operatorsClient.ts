/** Client of a node's operators' port. */

import { request } from 'undici'
import { z } from 'zod'
import { TimeoutError, withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { FailedError, messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { configRecordSchema } from '../config/proposal.js'
import type { ConfigChange, ProposalResult } from '../config/proposal.js'
import type { NodeAccess } from './options.js'

const configSchema = configRecordSchema.partial().required({ version: true, text: true })
const historySchema = z.array(configRecordSchema.omit({ text: true }))
const inForceSchema = z.object({
  version: z.number(),
  nodes: z.array(z.object({ name: z.string(), version: z.number(), reachable: z.boolean() }))
})
export type InForce = z.infer<typeof inForceSchema>

const findingSchema = z.object({
  file: z.string(), line: z.number(), key: z.string(), severity: z.enum(['error', 'warning']), found: z.string(), allowed: z.string()
})
const proposalResultSchema: z.ZodType<ProposalResult> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), version: z.number() }),
  z.object({ kind: z.literal('conflict'), currentVersion: z.number(), currentAuthor: z.string(), currentText: z.string() }),
  z.object({ kind: z.literal('invalid'), findings: z.array(findingSchema) }),
  z.object({ kind: z.literal('unknown'), proposalId: z.string(), reason: z.string() })
])
const problemSchema = z.object({ detail: z.string() })

// Reads of a node are answered from its memory, or from other nodes within seconds.
const readTimeoutMs = 10_000

interface Answer { status: number, body: unknown }

/** Calls reject with the error classes of `base/errors`. */
export class OperatorsClient {
  constructor (private readonly access: NodeAccess, private readonly clock: Clock) {}

  /** The configuration in force on the node, or `undefined` if there is none. */
  async config () {
    const answer = await this.call('GET', '/v1/config', { timeoutMs: readTimeoutMs })
    return answer.status === 404 ? undefined : this.parse(configSchema, answer)
  }

  async history () {
    return this.parse(historySchema, await this.call('GET', '/v1/config/history', { timeoutMs: readTimeoutMs }))
  }

  async inForce ({ timeoutMs = readTimeoutMs }: { timeoutMs?: number } = {}): Promise<InForce> {
    return this.parse(inForceSchema, await this.call('GET', '/v1/config/in-force', { timeoutMs }))
  }

  /** Reads a report as it is; `undefined` if the node answers 404. */
  async report (path: '/v1/status' | '/v1/burn' | `/v1/explain/${string}`): Promise<unknown> {
    const answer = await this.call('GET', path, { timeoutMs: readTimeoutMs })
    return answer.status === 404 ? undefined : this.parse(z.unknown(), answer)
  }

  async propose (change: ConfigChange, { timeoutMs }: { timeoutMs: number }): Promise<ProposalResult> {
    const answer = await this.call('POST', '/v1/config', { timeoutMs, body: JSON.stringify(change) })
    const result = proposalResultSchema.safeParse(answer.body)
    return result.success ? result.data : this.parse(proposalResultSchema, answer)
  }

  private parse<T> (schema: z.ZodType<T>, { status, body }: Answer): T {
    if (status !== 200) {
      const problem = problemSchema.safeParse(body)
      throw new FailedError(this.target(), `answered ${status}: ${problem.data?.detail ?? 'no problem details'}`)
    }
    const parsed = schema.safeParse(body)
    if (!parsed.success) throw new FailedError(this.target(), `answer is not understood: ${z.prettifyError(parsed.error)}`)
    return parsed.data
  }

  private target (): string {
    return `operators' port ${this.access.address}`
  }

  private async call (method: 'GET' | 'POST', path: string, { timeoutMs, body }: { timeoutMs: number, body?: string }): Promise<Answer> {
    const headers = { authorization: `Bearer ${this.access.key}`, ...body !== undefined && { 'content-type': 'application/json' } }
    try {
      return await withTimeout(this.clock, timeoutMs, async signal => {
        const response = await request(`http://${this.access.address}${path}`, { method, headers, body, signal })
        const text = await response.body.text()
        return { status: response.statusCode, body: parseJson(text) }
      }, { action: `${method} ${path}` })
    } catch (error) {
      if (!(error instanceof TimeoutError) && (error as { code?: unknown }).code === 'ECONNREFUSED') {
        throw new NotRunError(this.target(), 'connection refused', { cause: error })
      }
      throw new UnknownOutcomeError(this.target(), messageOf(error), { cause: error })
    }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
