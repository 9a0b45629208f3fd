import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { SeededRandom } from '../src/base/random.js'
import { RetryBudget, retryDelayMs } from '../src/policy/retry.js'
import { Router } from '../src/policy/routing.js'
import { createEngine } from './fixtures/policy.js'

const clock = new VirtualClock(1_000)
const location = { region: 'r', availabilityZone: 'r-a' }

function createRouter (seed: number, nodeCount = 1) {
  return new Router({ clock, random: new SeededRandom(seed), location, crossRegionPrice: () => 1, nodeCount: () => nodeCount })
}

function request (requestId: string, prompt: string) {
  return { requestId, model: 'a@1', prompt, rank: 'live' as const, promptBytes: 4096, excludeEngines: new Set<string>() }
}

const engines = (count: number, changes = {}) => Array.from({ length: count }, (_, index) =>
  createEngine(`e${index}`, ['a@1'], { reportedAtMs: 1_000, ...changes }))

describe('routing and retries', () => {
  it('spreads the choices of many routers with the same load report', () => {
    // Guards against all nodes choosing the engine that is reported as least loaded.
    const counts = new Map<string, number>()
    for (let node = 0; node < 200; node++) {
      const decision = createRouter(node + 1).choose(request('x', `prompt ${node}`), engines(5, { running: 10 }))
      if (decision.kind === 'engine') counts.set(decision.engine, (counts.get(decision.engine) ?? 0) + 1)
    }
    expect(counts.size).to.equal(5)
    expect(Math.max(...counts.values())).to.be.below(80)
  })

  it('keeps a prefix on one engine only while its load is near the mean', () => {
    // Guards against a popular prefix overloading the engine that caches it.
    const router = createRouter(1)
    const even = engines(4, { running: 40 })
    const choice = router.choose(request('x', 'shared'), even)
    expect(router.choose(request('y', 'shared'), even)).to.deep.equal(choice)
    const uneven = even.map(engine => choice.kind === 'engine' && engine.engine === choice.engine ? { ...engine, running: 80 } : engine)
    const other = router.choose(request('z', 'shared'), uneven)
    expect(other.kind === 'engine' && choice.kind === 'engine' && other.engine !== choice.engine).to.be.true
  })

  it('corrects a load report by its dispatches times the number of nodes', () => {
    // Guards against nodes that together overfill an engine several times before its next report.
    const router = createRouter(1, 9)
    const [engine] = engines(1, { running: 60, reportedAtMs: 900 })
    for (let index = 0; index < 4; index++) router.onDispatched('e0', `r${index}`, 100)
    expect(router.estimatedLoad(engine!)).to.equal(96)
    expect(router.choose({ ...request('x', 'p'), rank: 'browsing' }, [engine!]).kind).to.equal('wait')
  })

  it('counts dispatches in the same millisecond as a load report', () => {
    // Guards against a node that dispatches on a response with a load report and sends its entire queue to that engine.
    const router = createRouter(1, 9)
    const [engine] = engines(1, { running: 70 })
    router.onDispatched('e0', 'y', 100)
    expect(router.estimatedLoad(engine!)).to.equal(79)
    router.onDispatched('e0', 'z', 100)
    expect(router.estimatedLoad(engine!)).to.equal(88)
    router.onEnded('e0', 'y', 'ok')
    expect(router.estimatedLoad({ ...engine!, reportedAtMs: 1_001 }), 'a later report shows all').to.equal(70)
  })

  it('ejects failing engines, but at most half of them', () => {
    // Guards against a fault common to all engines ejecting every one of them.
    const router = createRouter(1)
    const four = engines(4)
    for (const { engine } of four) for (let failure = 0; failure < 3; failure++) router.onEnded(engine, `r${failure}`, 'failed')
    const chosen = new Set<string>()
    for (let index = 0; index < 50; index++) {
      const decision = router.choose(request('x', `prompt ${index}`), four)
      if (decision.kind === 'engine') chosen.add(decision.engine)
    }
    expect(chosen.size).to.equal(2)
  })

  it('prefers its region until it is clearly more loaded', () => {
    // Guards against cross-region traffic caused by small differences in load.
    const near = createEngine('near', ['a@1'], { running: 40, reportedAtMs: 1_000 })
    const far = createEngine('far', ['a@1'], { running: 10, reportedAtMs: 1_000, region: 's', availabilityZone: 's-a' })
    for (let index = 0; index < 20; index++) {
      expect(createRouter(index + 1).choose(request('x', `prompt ${index}`), [near, far])).to.include({ engine: 'near' })
    }
  })

  it('never chooses an excluded, draining or unreachable engine', () => {
    // Guards against retries on the engine that failed, and against new requests on a draining one.
    const list = [createEngine('e0', ['a@1']), createEngine('e1', ['a@1'], { draining: true }), createEngine('e2', ['a@1'], { reachable: false })]
    expect(createRouter(1).choose({ ...request('x', 'p'), excludeEngines: new Set(['e0']) }, list).kind).to.equal('wait')
  })

  it('limits retries to the budget and spreads them', async () => {
    // Guards against retries that multiply the load on a failing fleet.
    const budget = new RetryBudget({ clock, share: () => 0.1 })
    for (let index = 0; index < 100; index++) budget.onRequest()
    expect(Array.from({ length: 30 }, () => budget.tryRetry()).filter(Boolean).length).to.equal(10)
    await clock.advance(10_001)
    expect(budget.tryRetry()).to.be.true
    const random = new SeededRandom(1)
    const delays = Array.from({ length: 200 }, () => retryDelayMs(random, 3))
    expect(Math.min(...delays)).to.be.below(20)
    expect(Math.max(...delays)).to.be.within(180, 200)
  })
})
