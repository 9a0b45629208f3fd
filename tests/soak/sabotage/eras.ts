/** Takes the store for one that never comes back from a copy. */
import { StoreClient } from '../../../src/platform/storeClient.js'

Object.assign(StoreClient.prototype, { readEra: () => 0 })
