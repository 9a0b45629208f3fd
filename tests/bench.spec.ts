import { expect } from 'chai'
import { CurrentPolicy } from '../src/bench/currentPolicy.js'
import { createDeployment, noVariation } from '../src/bench/deployments.js'
import { World } from '../src/bench/world.js'
import { createWorkload } from '../src/bench/workloads.js'
import type { Workload } from '../src/bench/workloads.js'
import { SeededRandom } from '../src/base/random.js'
import { VirtualClock } from '../src/base/clock.js'
import { Router } from '../src/policy/routing.js'
import { createEngine } from './fixtures/policy.js'

/** The first 8 s of a workload, all of them measured. */
function runSmall (seed: number, deployment = createDeployment('spindle-horn', noVariation)) {
  const full = createWorkload('steady', deployment, { seed, scale: 0.01 })
  const requests = full.requests.filter(request => request.arrivalMs < 8_000)
  const workload: Workload = { ...full, requests, warmUpMs: 0, endMs: 8_000 }
  const world = new World(deployment, workload, seed + 1)
  world.run(new CurrentPolicy(world))
  return { requests, outcomes: world.outcomes, moves: world.modelMoves, bytes: world.crossRegionBytes, answers: world.answers, adapters: world.engines.map(engine => engine.entry.adapters) }
}

describe('bench', () => {
  it('gives the same figures for the same seed', function () {
    this.timeout(60_000)
    // Guards against figures that depend on the wall clock or on an unseeded generator.
    const first = runSmall(3)
    expect(first.outcomes.filter(outcome => outcome === 'attained').length).to.be.above(20)
    expect(runSmall(3)).to.deep.equal(first)
    expect(runSmall(4).outcomes).to.not.deep.equal(first.outcomes)
  })

  it('displaces adapters where not all of a base model fit', function () {
    // Guards against adapters that never load, and a run that ends with overcommitted memory.
    this.timeout(60_000)
    const deployment = createDeployment('spindle-horn', noVariation)
    for (const pool of Object.values(deployment.config.pools)) pool.adapterBytes = 0.2e9
    const { requests, outcomes, adapters } = runSmall(3, deployment)
    for (const loaded of adapters) expect(loaded.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0)).to.be.at.most(0.2e9)
    const answered = new Set(requests.filter(request => request.adapter !== undefined && ['attained', 'late'].includes(outcomes[request.index]!))
      .map(request => request.adapter))
    expect(answered.size).to.be.above(deployment.engines.length)
  })

  it('ejects a slow engine and takes it back', async () => {
    // Guards against an engine that answers late, without failing, keeping its share of the requests.
    const clock = new VirtualClock(1_000)
    const router = new Router({ clock, random: new SeededRandom(1), location: { region: 'r', availabilityZone: 'r-a' }, crossRegionPrice: () => 0 })
    const engines = ['slow', 'e1', 'e2'].map(name => createEngine(name, ['a@1'], { reportedAtMs: 1_000 }))
    for (let index = 0; index < 10; index++) {
      for (const { engine } of engines) {
        router.onDispatched(engine, `${engine}/${index}`, 100)
        router.onFirstToken(engine, `${engine}/${index}`, engine === 'slow' ? 3_000 : 100)
        router.onEnded(engine, `${engine}/${index}`, 'ok')
      }
    }
    const choose = (prompt: string) => router.choose({
      requestId: prompt, model: 'a@1', prompt, rank: 'live', promptBytes: 100, excludeEngines: new Set()
    }, engines)
    const chosen = () => new Set(Array.from({ length: 60 }, (_, index) => {
      const decision = choose(`prompt ${index}`)
      return decision.kind === 'engine' ? decision.engine : decision.reason
    }))
    expect(router.isEjected('slow')).to.equal(true)
    expect([...chosen()].sort()).to.deep.equal(['e1', 'e2'])
    await clock.advance(600_000)
    expect(chosen().has('slow')).to.equal(true)
  })
})
