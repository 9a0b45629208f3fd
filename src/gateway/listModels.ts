/** Answers `GET /v1/models` with the configured models and adapters. */

import type { FleetConfig } from '../config/fleetConfig.js'
import type { Filter } from './exchange.js'

/** Adapters are listed as models, since callers name them as models. */
export function listModelsFilter (config: () => FleetConfig): Filter {
  return async (exchange, next) => {
    if (exchange.work!.kind !== 'list-models') return next()
    const names = [...Object.keys(config().models), ...Object.keys(config().adapters)].sort()
    const data = names.map(id => ({ id, object: 'model', created: 0, owned_by: 'teaselrill' }))
    exchange.response = {
      status: 200,
      headers: { 'content-type': 'application/json', 'x-request-id': exchange.requestId },
      body: Buffer.from(JSON.stringify({ object: 'list', data }))
    }
  }
}
