/** Parts of a node that can be replaced. The proof runs a naive variant with them. */

import type { propose } from '../config/proposal.js'
import type { CommandAuthority } from '../fleet/commandAuthority.js'
import type { ConfigDistribution, ConfigDistributionOptions } from '../fleet/configDistribution.js'
import type { IntentLogAuthorityOptions } from '../fleet/intentLogAuthority.js'
import type { Vm } from '../external/vmList.js'
import type { EngineEntry, ServiceEntry } from '../protocol/messages.js'
import type { Filter } from './exchange.js'

/** The filters of the request path, in their order. */
export interface NodeFilters {
  account: Filter
  identify: Filter
  classify: Filter
  rateLimit: Filter
  listModels: Filter
  deduplicate: Filter
  demand: Filter
  service: Filter
  inference: Filter
}

export interface NodeParts {
  orderFilters?: (filters: NodeFilters) => Filter[]
  createArbiter?: (options: IntentLogAuthorityOptions) => CommandAuthority
  createConfigDistribution?: (options: ConfigDistributionOptions) => ConfigDistribution
  propose?: typeof propose
  /** Engines that take new work. */
  routableEngines?: (engines: EngineEntry[]) => EngineEntry[]
  /** Servers of a service that take new work, from those that are listed. */
  routableServers?: (service: string, vms: Vm[]) => ServiceEntry[]
}
