/** Repeats every request that failed, also those that may have run. */
import { RequestProxy } from '../../../src/serving/requestProxy.js'

Object.assign(RequestProxy.prototype, {
  mayRetry: (_request: unknown, exchange: { hasClientLeft: boolean }, _result: unknown, { sends }: { sends: number }) => !exchange.hasClientLeft && sends < 3
})
