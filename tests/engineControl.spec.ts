import { expect } from 'chai'
import fc from 'fast-check'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { EngineControl } from '../src/fleet/engineControl.js'
import type { CommandAuthority } from '../src/fleet/commandAuthority.js'
import type { EngineEntry, Move } from '../src/protocol/messages.js'
import { adapterBytes, FakeEngine, FakeStore, faults, FaultyLink, memoryBytes, pauseMs } from './fixtures/controlFakes.js'
import type { Fault } from './fixtures/controlFakes.js'

const kinds = [{ honoursFence: true }, { honoursFence: false }]
const modelBytes = 40 // Two models fit beside the KV cache and the adapter space.

interface Scenario {
  honoursFence: boolean
  fault?: Fault
  faultAt?: number
  secondFault?: Fault
  secondFaultAt?: number
  /** Times of an engine restart and of the start of a 20 s outage of the key-value service. */
  restartAtMs?: number
  outageAtMs?: number
  naive?: boolean
}

function setUp ({ honoursFence, fault, faultAt, secondFault, secondFaultAt, naive = false }: Scenario) {
  const clock = new VirtualClock()
  const engine = new FakeEngine(clock, honoursFence && !naive)
  const store = new FakeStore()
  const published: EngineEntry[] = []
  let highestFence = 0
  const create = (node: string, link: FaultyLink, seed: number) => new EngineControl({
    clock,
    random: new SeededRandom(seed),
    log: silentLog,
    node,
    nodeAddress: `10.0.0.${seed}:7000`,
    vm: { name: 'e1', kind: 'engine', group: 'pool', address: '10.1.0.1:8000', region: 'r', availabilityZone: 'a', state: 'live' },
    engine: link.engine,
    honoursFence,
    adapterBytes: () => adapterBytes,
    keyValueStore: link.keyValueStore,
    publish: entry => {
      published.push(entry)
      highestFence = Math.max(highestFence, entry.controlFence)
    },
    publishedFence: () => highestFence,
    createAuthority: naive ? () => naiveAuthority(link) : undefined
  })
  const firstLink = new FaultyLink(clock, engine, store, fault, faultAt)
  const secondLink = new FaultyLink(clock, engine, store, secondFault, secondFaultAt)
  return { clock, engine, store, published, firstLink, first: create('n1', firstLink, 1), second: create('n2', secondLink, 2) }
}

/** Sends commands without a claim or an intent log, as long as the engine's status shows free memory. */
function naiveAuthority (link: FaultyLink): CommandAuthority {
  const send = async (command: object) => {
    const session = await link.engine.openSession({ timeoutMs: 1_000 })
    const reply = await session.command({ commandId: '', fence: 0, ...command } as never, { timeoutMs: 1_000 })
    return { accepted: reply.accepted, reason: '' }
  }
  const done = async () => ({ accepted: true, reason: '' })
  return {
    fence: () => 0,
    incarnation: () => undefined,
    acquire: () => link.engine.status({ timeoutMs: 1_000 }),
    memoryShortage: () => undefined,
    load: async (model, memoryBytes) => {
      const status = await link.engine.status({ timeoutMs: 1_000 })
      const fits = status.models.reduce((sum, loaded) => sum + loaded.memoryBytes, memoryBytes) <= 80
      return fits ? await send({ kind: 'load', model, memoryBytes }) : { accepted: false, reason: 'full' }
    },
    unload: model => send({ kind: 'unload', model }),
    prepareAdapters: done,
    adaptersGranted: () => true,
    loadAdapter: done,
    setRole: done,
    maintain: async () => {},
    isSupersededBy: () => false,
    memoryAccount: () => ({ freeModelBytes: 0, stickyModels: [] }),
    handOver: () => ({ fence: 0, record: '', recordRevision: 0 })
  }
}

function load (model: string, unload: string[] = [], options: Partial<Move> = {}): Move {
  return { moveId: model, engine: 'e1', load: model, loadBytes: modelBytes, unload, loadAdapters: [], reason: '', ...options }
}

/** Retries a move until its model is ready, as the planner does, and unloads a model if the published free memory is too low. */
async function retryUntilReady (clock: VirtualClock, engine: FakeEngine, control: () => EngineControl, model: string, untilMs: number) {
  while (clock.nowMs() < untilMs && !engine.isReady(model)) {
    const { freeModelBytes = 0, stickyModels = [], models = [] } = control().entry() ?? {}
    const victim = models.find(loaded => loaded.name !== model && !stickyModels.includes(loaded.name))
    control().execute(load(model, freeModelBytes < modelBytes && victim ? [victim.name] : []))
    await clock.advance(5_000)
  }
}

/**
 * Loads a and b, then replaces them by c and d, with the given faults. A second controller then takes over and loads x.
 * Finally, the controller that has control loads y.
 */
async function runScenario (options: Scenario) {
  const { clock, engine, store, firstLink, first, second } = setUp(options)
  const { restartAtMs, outageAtMs } = options
  if (restartAtMs !== undefined) clock.setTimer(restartAtMs, () => engine.restart())
  if (outageAtMs !== undefined) {
    clock.setTimer(outageAtMs, () => { store.down = true })
    clock.setTimer(outageAtMs + 20_000, () => { store.down = false })
  }
  first.start()
  await clock.advance(100)
  const moves = [load('a@1'), load('b@1'), load('c@1', ['a@1']), load('d@1', ['b@1'])]
  for (const move of moves) {
    first.execute(move).catch(() => {})
    await clock.advance(4_000)
  }
  await clock.advance(10_000)
  const calls = firstLink.calls
  second.start()
  await clock.advance(1_000)
  await retryUntilReady(clock, engine, () => second, 'x@1', clock.nowMs() + 120_000)
  await clock.advance(pauseMs)
  // The faults have ended, so the controller that has control must be able to load the model.
  await retryUntilReady(clock, engine, () => second.hasControl() ? second : first, 'y@1', clock.nowMs() + 200_000)
  await clock.advance(100_000)
  return { calls, engine, peakBytes: engine.peakBytes, first, second }
}

describe('engine control', () => {
  for (const kind of kinds) {
    const name = kind.honoursFence ? 'fencing tokens' : 'intent log'

    // Guards against overcommitted memory, and against a model that cannot be loaded after a fault at any call.
    for (const fault of faults) {
      it(`${name}: ${fault} at each call`, async () => {
        const { calls } = await runScenario(kind)
        expect(calls).to.be.greaterThan(4)
        for (let faultAt = 1; faultAt <= calls; faultAt++) {
          const { engine, peakBytes } = await runScenario({ ...kind, fault, faultAt })
          expect(peakBytes, `peak with ${fault} at call ${faultAt}`).to.be.at.most(memoryBytes)
          expect(engine.isReady('y@1'), `y@1 ready with ${fault} at call ${faultAt}`).to.equal(true)
        }
      })
    }

    // Guards against overcommitted memory if two faults, an engine restart and an outage of the key-value service combine.
    it(`${name}: combined faults`, async () => {
      await fc.assert(fc.asyncProperty(fc.record({
        fault: fc.constantFrom(...faults),
        faultAt: fc.integer({ min: 1, max: 20 }),
        secondFault: fc.constantFrom(...faults),
        secondFaultAt: fc.integer({ min: 1, max: 20 }),
        restartAtMs: fc.option(fc.integer({ min: 0, max: 60_000 }), { nil: undefined }),
        outageAtMs: fc.option(fc.integer({ min: 0, max: 60_000 }), { nil: undefined })
      }), async scenario => {
        const { peakBytes } = await runScenario({ ...kind, ...scenario })
        expect(peakBytes).to.be.at.most(memoryBytes)
      }), { seed: 7, numRuns: 80 })
    })

    // Guards against two controllers that both consider themselves in control of an engine.
    it(`${name}: two controllers at once`, async () => {
      const { clock, engine, first, second } = setUp(kind)
      second.setReclaimCondition(() => false)
      first.start()
      second.start()
      for (let round = 0; round < 30; round++) {
        first.execute(load(`f${round % 3}@1`, [`f${(round + 1) % 3}@1`]))
        second.execute(load(`s${round % 3}@1`, [`s${(round + 1) % 3}@1`]))
        await clock.advance(2_500)
      }
      expect(engine.peakBytes).to.be.at.most(memoryBytes)
      expect([first, second].filter(control => control.hasControl()).length).to.be.at.most(1)
      await retryUntilReady(clock, engine, () => first.hasControl() ? first : second, 'y@1', clock.nowMs() + 200_000)
      expect(engine.isReady('y@1')).to.equal(true)
    })

    // Guards against a refused load whose duplicate succeeds after its memory was allocated to another model.
    it(`${name}: duplicate of a refused load`, async () => {
      const { clock, engine, first } = setUp({ ...kind, fault: 'repeated', faultAt: kind.honoursFence ? 2 : 5 })
      engine.failingLoads = 1
      first.start()
      await clock.advance(100)
      for (const model of ['a@1', 'b@1', 'c@1']) {
        first.execute(load(model))
        await clock.advance(2_000)
      }
      // With fencing tokens, a claim frees the refused load's memory.
      expect(engine.isReady('c@1')).to.equal(kind.honoursFence)
      await clock.advance(60_000)
      expect(engine.commands.filter(command => command.kind === 'load' && command.model === 'a@1').length).to.equal(2)
      await retryUntilReady(clock, engine, () => first, 'c@1', clock.nowMs() + 100_000)
      expect([engine.isReady('c@1'), engine.peakBytes <= memoryBytes]).to.deep.equal([true, true])
    })

    // Guards against entries of a new controller that are ignored: an engine restart resets the engine's token, but entries
    // with higher tokens are still published.
    it(`${name}: published token increases across an engine restart`, async () => {
      const { clock, engine, first, second, published } = setUp(kind)
      first.start()
      await clock.advance(3_000)
      await first.stop()
      const before = published.at(-1)!.controlFence
      engine.restart()
      second.start()
      await clock.advance(3_000)
      expect([second.hasControl(), published.at(-1)!.controller, published.at(-1)!.controlFence > before]).to.deep.equal([true, 'n2', true])
    })

    // Guards against memory that stays allocated, and commands bound to the old process, after an engine restart.
    it(`${name}: engine restarts without models`, async () => {
      const { clock, engine, first } = setUp(kind)
      first.start()
      await clock.advance(100)
      for (const model of ['a@1', 'b@1']) {
        first.execute(load(model))
        await clock.advance(1_500)
      }
      first.execute(load('c@1', ['a@1']))
      await clock.advance(500)
      engine.restart()
      await clock.advance(3_000)
      for (const model of ['d@1', 'e@1']) {
        first.execute(load(model))
        await clock.advance(1_500)
      }
      expect([engine.isReady('d@1'), engine.isReady('e@1'), engine.peakBytes <= memoryBytes]).to.deep.equal([true, true, true])
    })

    // Guards against loads on an engine that is full, draining or unresponsive, or whose controller has stopped.
    it(`${name}: refuses moves with a reason`, async () => {
      const { clock, engine, first, published } = setUp(kind)
      const reasons: string[] = []
      const execute = async (move: Move) => {
        first.execute(move).then(result => reasons.push(result.reason))
        await clock.advance(2_000)
      }
      first.start()
      await clock.advance(100)
      await execute(load('a@1', [], { loadBytes: 90 }))
      engine.draining = true
      await clock.advance(1_000)
      await execute(load('a@1'))
      engine.draining = false
      await clock.advance(1_000)
      engine.down = true
      await clock.advance(4_000)
      await execute(load('a@1'))
      expect(published.at(-1)?.reachable).to.equal(false)
      engine.down = false
      first.stop()
      await execute(load('a@1'))
      expect(reasons.map(reason => ['needs 90', 'draining', 'not responded', 'stopping'].find(part => reason.includes(part))))
        .to.deep.equal(['needs 90', 'draining', 'not responded', 'stopping'])
      expect(engine.commands.some(command => command.kind === 'load')).to.equal(false)
    })

    // Guards against adapters that exceed the adapter space, and against lost role changes and adapter loads.
    it(`${name}: loads adapters and sets the role`, async () => {
      const { clock, engine, first } = setUp(kind)
      first.start()
      await clock.advance(100)
      const adapters = ['p', 'q', 'r'].map(adapter => ({ adapter, baseModel: 'a@1', memoryBytes: 5 }))
      let last
      first.execute(load('a@1', [], { setRole: 'decode', loadAdapters: adapters.slice(0, 2) }))
      await clock.advance(3_000)
      first.execute({ moveId: 'r', engine: 'e1', unload: [], loadAdapters: adapters.slice(2), reason: '' }).then(result => { last = result.accepted })
      await clock.advance(3_000)
      expect(engine.commands.some(command => command.kind === 'setRole')).to.equal(true)
      // With fencing tokens, an older adapter is unloaded; the intent log's granted set never shrinks.
      expect([engine.hasAdapter('p'), engine.hasAdapter('q'), engine.hasAdapter('r'), last])
        .to.deep.equal(kind.honoursFence ? [false, true, true, true] : [true, true, false, false])
    })

    // Guards against lost service and wrong memory accounting in an outage of the key-value service.
    it(`${name}: key-value service outage`, async () => {
      const { clock, engine, store, first, published } = setUp(kind)
      first.start()
      await clock.advance(100)
      first.execute(load('a@1', [], { loadAdapters: [{ adapter: 'p', baseModel: 'a@1', memoryBytes: 5 }] }))
      await clock.advance(3_000)
      store.down = true
      let during, adapterDuring
      first.execute(load('b@1')).then(result => { during = result.accepted })
      await clock.advance(10_000)
      first.execute({ moveId: 'p', engine: 'e1', unload: [], loadAdapters: [{ adapter: 'p', baseModel: 'a@1', memoryBytes: 5 }], reason: '' })
        .then(result => { adapterDuring = result.accepted })
      await clock.advance(1_000)
      expect([during, adapterDuring]).to.deep.equal([kind.honoursFence, true])
      expect(published.at(-1)?.models.some(model => model.name === 'a@1')).to.equal(true)
      store.down = false
      await clock.advance(5_000)
      first.execute(load('b@1'))
      await clock.advance(3_000)
      expect([engine.isReady('b@1'), engine.peakBytes <= memoryBytes]).to.deep.equal([true, true])
    })
  }

  // Guards against checks that cannot fail: they must detect overcommitment by a controller without claim and intent log.
  it('detects overcommitment by a naive controller', async () => {
    const { calls } = await runScenario({ honoursFence: true, naive: true })
    let detected = 0
    for (const fault of faults) {
      for (let faultAt = 1; faultAt <= calls; faultAt++) {
        const { peakBytes } = await runScenario({ honoursFence: true, naive: true, fault, faultAt })
        if (peakBytes > memoryBytes) detected++
      }
    }
    expect(detected).to.be.greaterThan(0)
  })
})
