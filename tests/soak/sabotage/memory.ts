/** Loads models without regard to what the engine holds. */
import { PlacementLeader } from '../../../src/serving/placementLeader.js'

const prototype = PlacementLeader.prototype as unknown as { replicaEngine (...args: unknown[]): { replicas: unknown[] } }
const { replicaEngine } = prototype
prototype.replicaEngine = function (this: unknown, ...args: unknown[]) {
  const engine = replicaEngine.apply(this, args)
  return { ...engine, replicas: engine.replicas.slice(0, 1) }
}
