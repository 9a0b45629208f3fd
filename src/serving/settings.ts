/** Settings of one serving node. */

export interface ServingSettings {
  node: string
  ip: string
  availabilityZone: string
  region: string
  regionOfZone: Record<string, string>
  /** IP:PORT for clients. */
  clientsAddress: string
  /** IP:PORT for the load balancer's health checks. */
  readinessAddress: string
  /** Port for the other nodes, the same on all of them. */
  peersPort: number
  maxFileDescriptors: number
  /** Processor time that the node has, in cores. */
  cores: number
  store: { address: string, minimumLeaseMs: number }
  /** Time from SIGTERM to SIGKILL. */
  shutdownTimeoutMs: number
  /** Repeats that all nodes together may send to a service within the window. */
  retryBudget: { share: number, windowMs: number, allowance: number }
  enginesCheckFences: boolean
  /** Time that must pass between the orders of two holders to one engine. */
  holderGapMs: number
  /** Window over which the weight store's rate holds. */
  loadWindowMs: number
}
