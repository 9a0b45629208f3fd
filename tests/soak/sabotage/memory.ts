/** Loads models without regard to what the engine holds. */
import { PlacementLeader } from '../../../src/serving/placementLeader.js'

const prototype = PlacementLeader.prototype as unknown as { replicaEngine (...args: unknown[]): { copies: unknown[] } }
const { replicaEngine: hostEngine } = prototype
prototype.replicaEngine = function (this: unknown, ...args: unknown[]) {
  const engine = hostEngine.apply(this, args)
  return { ...engine, copies: engine.copies.slice(0, 1) }
}
