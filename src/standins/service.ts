/** Stand-in for one backend server of a plain service. */

import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { sleep, withTimeout } from '../base/clock.js'
import { messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { checkNotAborted } from '../external/httpCall.js'
import type { ServiceApi, ServiceRequest, ServiceResponse } from '../external/service.js'
import { FaultSwitches, never } from './faultSwitches.js'
import { addControl, createApp } from './httpServer.js'
import type { StandInApp } from './httpServer.js'

const faultBase = { calls: z.number().int().positive().default(1) }

export const serviceControlSchema = z.discriminatedUnion('fault', [
  /** Refuses before execution, with proof. */
  z.object({ ...faultBase, fault: z.literal('refuse') }),
  z.object({ ...faultBase, fault: z.literal('hangAfterExecution') }),
  /** Cuts the connection; `After`: the call ran. */
  z.object({ ...faultBase, fault: z.literal('crashBeforeExecution') }),
  z.object({ ...faultBase, fault: z.literal('crashAfterExecution') }),
  z.object({ ...faultBase, fault: z.literal('silentHealth') }),
  z.object({ ...faultBase, fault: z.literal('drain') }),
  z.object({ ...faultBase, fault: z.literal('clear') })
])
export type ServiceControl = z.input<typeof serviceControlSchema>
type ServiceFault = z.infer<typeof serviceControlSchema>

/** One execution. `endMs` is absent while it runs. */
export interface Execution {
  requestId: string
  method: string
  path: string
  startMs: number
  endMs?: number
  /** The call is not repeatable, and an earlier one with the same request ID ran. */
  forbiddenRepeat: boolean
}

export interface ServiceStandInOptions {
  clock: Clock
  server: string
  executionMs?: number
  isRepeatable?: (method: string, path: string) => boolean
}

export class ServiceStandIn implements ServiceApi {
  readonly server: string
  readonly log: Execution[] = []
  private readonly clock: Clock
  private readonly executionMs: number
  private readonly isRepeatable: (method: string, path: string) => boolean
  private readonly faults = new FaultSwitches<ServiceFault>()
  private draining = false
  private readonly executedIds = new Set<string>()

  constructor ({ clock, server, executionMs = 5, isRepeatable = method => method !== 'POST' }: ServiceStandInOptions) {
    this.clock = clock
    this.server = server
    this.executionMs = executionMs
    this.isRepeatable = isRepeatable
  }

  control (control: ServiceControl): void {
    const fault = serviceControlSchema.parse(control)
    if (fault.fault === 'clear') {
      this.faults.clear()
      this.draining = false
    } else if (fault.fault === 'drain') this.draining = true
    else this.faults.add(fault)
  }

  async call (request: ServiceRequest, { signal }: { signal?: AbortSignal }): Promise<ServiceResponse> {
    if (!signal) return this.execute(request)
    checkNotAborted(this.server, signal)
    // An abort ends the wait and not the execution, as over a network.
    const aborted = new Promise<never>((_resolve, reject) => {
      const onAbort = () => reject(new UnknownOutcomeError(this.server, `request ${request.requestId} was aborted`))
      signal.addEventListener('abort', onAbort, { once: true })
    })
    return Promise.race([this.execute(request), aborted])
  }

  health ({ timeoutMs }: { timeoutMs: number }): Promise<{ draining: boolean }> {
    return withTimeout(this.clock, timeoutMs, () => this.readHealth(), { action: `health check of ${this.server}` })
      .catch(error => { throw new UnknownOutcomeError(this.server, messageOf(error), { cause: error }) })
  }

  /** Health without a time limit, for the HTTP server. */
  async readHealth (): Promise<{ draining: boolean }> {
    if (this.faults.take('silentHealth')) return never()
    return { draining: this.draining }
  }

  private async execute ({ requestId, method, path, body }: ServiceRequest): Promise<ServiceResponse> {
    if (this.draining) throw new NotRunError(this.server, 'the server is draining')
    if (this.faults.take('refuse')) throw new NotRunError(this.server, 'refused before execution')
    if (this.faults.take('crashBeforeExecution')) throw new UnknownOutcomeError(this.server, 'the connection was cut')
    const forbiddenRepeat = !this.isRepeatable(method, path) && this.executedIds.has(requestId)
    const execution: Execution = { requestId, method, path, startMs: this.clock.nowMs(), forbiddenRepeat }
    this.log.push(execution)
    this.executedIds.add(requestId)
    await sleep(this.clock, this.executionMs)
    execution.endMs = this.clock.nowMs()
    if (this.faults.take('crashAfterExecution')) throw new UnknownOutcomeError(this.server, 'the connection was cut')
    if (this.faults.take('hangAfterExecution')) return never()
    const answer = { server: this.server, requestId, method, path, body: new TextDecoder().decode(body) }
    return { status: 200, headers: { 'content-type': 'application/json' }, body: new TextEncoder().encode(JSON.stringify(answer)) }
  }
}

/** `/health`, `/control` and `/log` are the stand-in's; every other path is a call. */
export function serviceApp (service: ServiceStandIn): StandInApp {
  const app = createApp()
  app.get('/health', async context => context.json(await service.readHealth()))
  addControl(app, service, serviceControlSchema)
  app.all('*', async context => {
    const url = new URL(context.req.url)
    const answer = await service.call({
      requestId: context.req.header('x-request-id') ?? '',
      method: context.req.method,
      path: url.pathname + url.search,
      headers: context.req.header(),
      body: new Uint8Array(await context.req.arrayBuffer())
    }, {})
    return new Response(Buffer.from(answer.body), { status: answer.status, headers: answer.headers })
  })
  return app
}
