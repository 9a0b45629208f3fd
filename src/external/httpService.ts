/** Calls one backend server of a plain service over HTTP. */

import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import type { Clock } from '../base/clock.js'
import { checkNotAborted, checkNotRun, HttpCaller, mapNetworkError, readWhole } from './httpCall.js'
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

  constructor ({ server, address, clock }: { server: string, address: string, clock: Clock }) {
    this.server = server
    this.caller = new HttpCaller(server, address, clock)
  }

  async call ({ requestId, method, path, headers, body }: ServiceRequest, { signal }: { signal?: AbortSignal }): Promise<ServiceResponse> {
    checkNotAborted(this.server, signal)
    try {
      const answer = await request(`http://${this.caller.address}${path}`, {
        method: method as Dispatcher.HttpMethod,
        dispatcher: this.caller.agent,
        signal,
        headers: { ...endToEnd(headers), 'x-request-id': requestId },
        body: body.length > 0 ? body : null
      })
      const bytes = await readWhole(answer.body)
      checkNotRun(this.server, answer.statusCode, answer.headers)
      return { status: answer.statusCode, headers: endToEnd(answer.headers), body: bytes }
    } catch (error) {
      throw mapNetworkError(this.server, error)
    }
  }

  async health ({ timeoutMs }: { timeoutMs: number }): Promise<{ draining: boolean }> {
    return this.caller.parsed(z.object({ draining: z.boolean() }), '/health', { timeoutMs })
  }

  close (): Promise<void> {
    return this.caller.close()
  }
}
