/** Settings of one serving node. */

import type { ClientMemoryLimits } from '../policy/clientMemory.js'

export interface ServingSettings {
  node: string
  ip: string
  availabilityZone: string
  region: string
  regionOfZone: Record<string, string>
  /** Whether no process of the system has run before, so that no stream of an earlier one is alive. Absent: there may have been. */
  isFirstStart?: boolean
  /** IP:PORT on which client connections are accepted. */
  clientsAddress: string
  /** IP:PORT for the load balancer's health checks. */
  readinessAddress: string
  /** Port for connections between nodes, the same on all nodes. */
  peersPort: number
  maxFileDescriptors: number
  /** CPU time available to the node, in cores. */
  cores: number
  store: { address: string, minimumLeaseMs: number }
  /** Time between SIGTERM and SIGKILL. */
  shutdownTimeoutMs: number
  /** Retries that all nodes together may send to a service within the window: a share of its requests, plus a fixed allowance. */
  retryBudget: { share: number, windowMs: number, allowance: number }
  /** Whether engines reject commands with an outdated fencing token. */
  enginesCheckFences: boolean
  /** Minimum time between the commands of successive placement leaders to one engine. */
  holderGapMs: number
  /** Window over which the load rate of the weight store is limited. */
  loadWindowMs: number
  /** Whether nodes queue waiting requests at the placement leader, which also learns what each server takes. */
  sharesServers: boolean
  /** Longest time after the operator has removed a key for which requests with it may run, at any node; absent if only nodes that hear of it are bound. */
  keyRemovalMs?: number | undefined
  /** Memory of the machine, in megabytes. */
  memoryMb: number
  /** Limits on what the node holds for clients that replace the defaults. */
  clientLimits?: Partial<ClientMemoryLimits>
}
