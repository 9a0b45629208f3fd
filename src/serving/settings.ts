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
  metricsPort: number
  maxDescriptors: number
  store: { address: string, minimumLeaseMs: number }
  /** Time after which a leaving backend server gets no more requests. */
  drainMs: number
  /** Time from SIGTERM to SIGKILL. */
  shutdownMs: number
  /** Repeats that all nodes together may send to a service within the window. */
  retryBudget: { share: number, windowMs: number, allowance: number }
  enginesCheckFences: boolean
  /** Time that must pass between the orders of two holders to one engine. */
  holderGapMs: number
  loadCeiling: { windowMs: number, excess: number }
}
