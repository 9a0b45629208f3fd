/** Finds out what a request asks for and on which terms. */

import type { FleetConfig } from '../config/fleetConfig.js'
import { serviceForPath } from '../config/parseFleetConfig.js'
import { resolveRequestPolicy } from '../policy/requestPolicy.js'
import type { Exchange, Filter, Work } from './exchange.js'
import { parseChatRequest, parseCompletionRequest } from './openai.js'
import { ProblemError } from './problem.js'

function requireMethod (exchange: Exchange, method: string): void {
  if (exchange.request.method !== method) {
    throw new ProblemError(405, 'bad-request', 'not-run', `use ${method} for ${exchange.request.path}`)
  }
}

function resolveModel (config: FleetConfig, requestedModel: string): { model: string, adapter: string | undefined } {
  if (Object.hasOwn(config.models, requestedModel)) return { model: requestedModel, adapter: undefined }
  if (Object.hasOwn(config.adapters, requestedModel)) {
    return { model: config.adapters[requestedModel]!.baseModel, adapter: requestedModel }
  }
  throw new ProblemError(404, 'not-found', 'not-run', `model ${JSON.stringify(requestedModel)} is not configured`)
}

function classify (config: FleetConfig, exchange: Exchange): Work {
  const { path, body } = exchange.request
  const [pathname = ''] = path.split('?', 1)
  switch (pathname) {
    case '/v1/models':
      requireMethod(exchange, 'GET')
      return { kind: 'list-models' }
    case '/v1/chat/completions': {
      requireMethod(exchange, 'POST')
      const parsed = parseChatRequest(body)
      return { ...parsed, ...resolveModel(config, parsed.requestedModel) }
    }
    case '/v1/completions': {
      requireMethod(exchange, 'POST')
      const parsed = parseCompletionRequest(body)
      return { ...parsed, ...resolveModel(config, parsed.requestedModel) }
    }
  }
  const found = serviceForPath(config, pathname)
  if (found) return { kind: 'service', service: found.name, path: found.rest + path.slice(pathname.length) }
  throw new ProblemError(404, 'not-found', 'not-run', `no model interface and no service at ${path}`)
}

function patienceHeaderMs (exchange: Exchange): number | undefined {
  const value = exchange.request.headers['x-teaselrill-patience-ms']
  if (value === undefined) return undefined
  const patienceMs = Number(value)
  if (!(patienceMs > 0)) {
    throw new ProblemError(400, 'bad-request', 'not-run', `X-Teaselrill-Patience-Ms is ${JSON.stringify(value)}, allowed is a number above 0`)
  }
  return patienceMs
}

/** Sets work, terms and deadline. Rejects what is not valid with 4xx. */
export function classifyFilter (config: () => FleetConfig): Filter {
  return async (exchange, next) => {
    const work = classify(config(), exchange)
    exchange.work = work
    exchange.terms = resolveRequestPolicy(config(), {
      customer: exchange.customer!,
      model: work.kind === 'inference' ? work.model : undefined,
      service: work.kind === 'service' ? work.service : undefined,
      method: exchange.request.method,
      nowMs: exchange.arrivedAtMs,
      rankHeader: exchange.request.headers['x-teaselrill-rank'],
      patienceMsHeader: patienceHeaderMs(exchange)
    })
    exchange.deadlineMs = exchange.arrivedAtMs + exchange.terms.patienceMs
    const { rank, patienceMs, idempotent } = exchange.terms
    exchange.trace.add('classify', `${describeWork(work)}, rank ${rank}, patience ${patienceMs} ms, ${idempotent ? '' : 'not '}idempotent`)
    await next()
  }
}

function describeWork (work: Work): string {
  switch (work.kind) {
    case 'list-models': return 'list of models'
    case 'service': return `service ${work.service}`
    case 'inference': return `model ${work.model}${work.adapter ? ` with adapter ${work.adapter}` : ''}`
  }
}
