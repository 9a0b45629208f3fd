/** Calls one backend server of a plain service over HTTP. */

import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { callAgentOptions, checkAnswers, checkNotAborted, checkNotRun, HttpCaller, mapNetworkError, readWhole, requestIdHeader } from './httpCall.js'
import type { ServiceApi, ServiceRequest, ServiceResponse } from './service.js'

// These headers describe one connection and must not be passed on (RFC 9110, section 7.6.1).
const hopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host', 'content-length', 'expect', 'proxy-connection'])

function endToEnd (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers)
    .filter(([name, value]) => value !== undefined && !hopHeaders.has(name.toLowerCase()))
    .map(([name, value]) => [name.toLowerCase(), Array.isArray(value) ? value.join(', ') : value!]))
}

export class HttpService implements ServiceApi {
  readonly server: string
  private readonly caller: HttpCaller
  /** Connections that carry nothing but calls. */
  private callAgent = new Agent(callAgentOptions)
  /** Whether the server's answers name their requests. Otherwise each call has a connection of its own, on which no other answer can arrive. */
  private namesRequests = false

  constructor ({ server, address, clock }: { server: string, address: string, clock: Clock }) {
    this.server = server
    this.caller = new HttpCaller(server, address, clock)
  }

  async call ({ requestId, method, path, headers, body }: ServiceRequest, { signal }: { signal?: AbortSignal }): Promise<ServiceResponse> {
    checkNotAborted(this.server, signal)
    const { namesRequests } = this
    try {
      const answer = await request(`http://${this.caller.address}${path}`, {
        method: method as Dispatcher.HttpMethod,
        dispatcher: this.callAgent,
        reset: !namesRequests,
        signal,
        headers: { ...endToEnd(headers), [requestIdHeader]: requestId },
        body: body.length > 0 ? body : null
      })
      const bytes = await readWhole(answer, { method })
      this.checkRequest(answer.headers, requestId, namesRequests)
      checkNotRun(this.server, answer.statusCode, answer.headers)
      return { status: answer.statusCode, headers: endToEnd(answer.headers), body: bytes }
    } catch (error) {
      throw mapNetworkError(this.server, error)
    }
  }

  private checkRequest (headers: Record<string, string | string[] | undefined>, requestId: string, isNameExpected: boolean): void {
    this.namesRequests = headers[requestIdHeader] !== undefined
    try {
      checkAnswers(this.server, headers, requestId, { isNameExpected })
    } catch (error) {
      // The answers on this connection may be one behind from now on. Calls in progress on others go on.
      this.callAgent.close().catch(() => {})
      this.callAgent = new Agent(callAgentOptions)
      throw error
    }
  }

  async health ({ timeoutMs }: { timeoutMs: number }): Promise<{ draining: boolean }> {
    return this.caller.parsed(z.object({ draining: z.boolean() }), '/health', { timeoutMs })
  }

  async close (): Promise<void> {
    await Promise.all([this.caller.close(), this.callAgent.destroy()])
  }
}
