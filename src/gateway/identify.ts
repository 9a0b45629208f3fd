/** Finds the customer of a request from its API key. */

import { timingSafeEqual } from 'node:crypto'
import type { FleetConfig } from '../config/fleetConfig.js'
import { hashKey } from '../policy/accountKeys.js'
import type { Filter } from './exchange.js'
import { ProblemError } from './problem.js'

/** The customer whose key has the hash `apiKeySha256`. The time taken does not depend on how much of a hash matches. */
export function findCustomer (config: FleetConfig, apiKeySha256: string): string | undefined {
  const wanted = Buffer.from(apiKeySha256, 'hex')
  let found: string | undefined
  for (const [name, customer] of Object.entries(config.customers)) {
    if (timingSafeEqual(wanted, Buffer.from(customer.apiKeySha256, 'hex'))) found = name
  }
  return found
}

/** Rejects requests without a known API key with 401. */
export function identifyFilter (config: () => FleetConfig): Filter {
  return async (exchange, next) => {
    const [scheme, apiKey] = (exchange.request.headers.authorization ?? '').split(' ')
    if (scheme?.toLowerCase() !== 'bearer' || !apiKey) {
      throw new ProblemError(401, 'unauthorized', 'not-run', 'send the API key as "Authorization: Bearer KEY"')
    }
    exchange.customer = findCustomer(config(), hashKey(apiKey))
    if (!exchange.customer) throw new ProblemError(401, 'unauthorized', 'not-run', 'the API key is not known')
    exchange.trace.add('identify', `customer ${exchange.customer}`)
    await next()
  }
}
