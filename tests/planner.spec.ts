import { expect } from 'chai'
import { sleep, VirtualClock } from '../src/base/clock.js'
import { rendezvousOwner } from '../src/base/hash.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import type { FleetConfig } from '../src/config/fleetConfig.js'
import { AdapterLoadLimiter } from '../src/fleet/adapterLoadLimiter.js'
import { Planner } from '../src/fleet/planner.js'
import type { PlanMoves } from '../src/policy/placementInput.js'
import { decodeBody, encodeBody } from '../src/protocol/framing.js'
import type { DemandEntry, EngineEntry, MemberEntry, PeerMessage } from '../src/protocol/messages.js'
import { peerMessageSchema } from '../src/protocol/messages.js'

const config = {
  fleet: { storeLoadsPerSecond: 1, storeLoadsInFlight: 2 }, models: { far: { pool: 'p2' } }
} as unknown as FleetConfig

/** Nodes n0 to n2 are in region r0, n3 to n5 in r1. Each region has one engine: e0 of pool p1, e1 of pool p2. */
function setUp (plan: PlanMoves, loadMs = 500) {
  const clock = new VirtualClock()
  const members = [0, 1, 2, 3, 4, 5].map(index => ({ name: `n${index}`, address: `n${index}`, region: index < 3 ? 'r0' : 'r1', state: 'alive' })) as MemberEntry[]
  const engines = [0, 1].map(index => ({ engine: `e${index}`, pool: `p${index + 1}`, region: `r${index}`, controller: index === 0 ? 'n0' : 'n3', reachable: true, draining: false, models: [] })) as unknown as EngineEntry[]
  const executed: { load: string | undefined, atMs: number }[] = []
  const inputs: { node: string, waiting: string[], atMs: number }[] = []
  const planners = new Map(members.map(member => [member.name, new Planner({
    clock,
    random: new SeededRandom(1),
    log: silentLog,
    self: member.name,
    region: member.region,
    members: () => members,
    network: {
      request: async (address, message) => {
        await sleep(clock, 1)
        return (await planners.get(address)!.handle(message))!
      }
    },
    config: () => config,
    engines: () => engines,
    executeLocal: move => engines.some(engine => engine.engine === move.engine && engine.controller === member.name)
      ? (executed.push({ load: move.load, atMs: clock.nowMs() }), sleep(clock, loadMs).then(() => ({ accepted: true, reason: '' })))
      : undefined,
    keyValueAvailable: () => true,
    plan: input => {
      inputs.push({ node: member.name, waiting: [...input.waiting].map(([model, { count }]) => `${model}:${count}`), atMs: clock.nowMs() })
      return plan(input)
    },
    forecast: { add: () => {}, forecasts: () => new Map() }
  })])) as Map<string, Planner>
  for (const planner of planners.values()) planner.start()
  const want = (node: string, ...models: string[]) => planners.get(node)!.reportDemand({
    node, periodMs: 1_000, models: models.map((model): DemandEntry['models'][number] => ({ model, arrivals: [1, 0, 0], waiting: 1, tokens: 1, earliestDeadlineMs: 1 }))
  })
  return { clock, executed, inputs, members, want }
}

const loadWaiting: PlanMoves = input => ({
  moves: [...input.waiting.keys()].filter(model => !input.recentMoves.some(move => move.model === `${model}@1`))
    .map(model => ({ moveId: model, engine: input.engines[0]!.engine, load: `${model}@1`, loadBytes: 1, unload: [], loadAdapters: [], reason: '' })),
  unreachable: []
})

describe('planner', () => {
  // Guards against requests for a model not loaded that wait for the next plan period or each start a load.
  it('loads a cold model once and without delay', async () => {
    const { clock, executed, inputs, want } = setUp(loadWaiting)
    await clock.advance(100)
    for (const node of ['n0', 'n1', 'n2']) want(node, 'cold')
    await clock.advance(3_000)
    expect(executed.map(({ load }) => load)).to.deep.equal(['cold@1'])
    expect(executed[0]!.atMs).to.be.at.most(150)
    expect(inputs.filter(({ atMs }) => atMs < 150)[0]!.waiting).to.deep.equal(['cold:3'])
  })

  // Guards against more loads than the weight store permits, and against slots that never expire if a load has no reply.
  it('respects the store limits and expires slots', async () => {
    const { clock, executed, want } = setUp(loadWaiting, 1_000_000)
    for (let second = 0; second < 14; second++) {
      want('n1', 'a', 'b', 'c', 'd')
      await clock.advance(1_000)
      if (second === 5) expect(executed.map(({ load }) => load)).to.deep.equal(['a@1', 'b@1'])
    }
    expect(executed.length).to.equal(4)
    for (const [index, { atMs }] of executed.entries()) if (index > 0) expect(atMs - executed[index - 1]!.atMs).to.be.at.least(990)
  })

  // Guards against a model that is never loaded although another region has engines for it, and against two active planners
  // in a region.
  it('forwards unreachable models to another region', async () => {
    const { clock, executed, inputs, members, want } = setUp(input => input.engines[0]!.pool === 'p2'
      ? loadWaiting(input)
      : { moves: [], unreachable: [{ model: 'far', reason: 'no engine of its pool' }] })
    want('n1', 'far')
    await clock.advance(1_000)
    expect(executed.map(({ load }) => load)).to.deep.equal(['far@1'])
    const planner = rendezvousOwner('planner/r0', ['n0', 'n1', 'n2'])!
    members.find(member => member.name === planner)!.state = 'dead'
    const deadAtMs = clock.nowMs()
    await clock.advance(5_000)
    const names = new Set(inputs.filter(({ atMs }) => atMs > deadAtMs).map(({ node }) => node).filter(node => node < 'n3'))
    expect([...names]).to.deep.equal([rendezvousOwner('planner/r0', ['n0', 'n1', 'n2'].filter(name => name !== planner))])
  })

  // Guards against adapter loads that overload the store, and against a limit that stays low after the store recovers.
  it('adapts the limit of concurrent adapter loads', async () => {
    const clock = new VirtualClock()
    const limiter = new AdapterLoadLimiter(clock, { initialLimit: 2 })
    let running = 0
    const run = async (count: number, capacity: number) => {
      for (let index = 0; index < count; index++) {
        limiter.run(async () => {
          running++
          await sleep(clock, (10 + 10 * (index % 3)) * Math.max(1, running / capacity))
          running--
          return { accepted: true }
        })
      }
      await clock.advance(60_000)
      return limiter.currentLimit()
    }
    expect(await run(800, 6)).to.be.within(3, 16)
    expect(await run(800, 1)).to.be.below(5)
    expect(await run(800, 100)).to.be.above(16)
  })

  // Guards against a planner that receives a report from each node of a large region, against arrivals that are lost or
  // counted twice in sums, and against waiting requests that are reported late or remain reported.
  it('aggregates the demand of a large region', async () => {
    const clock = new VirtualClock()
    const members = Array.from({ length: 60 }, (_, index) => ({ name: `n${index}`, address: `n${index}`, region: 'r', availabilityZone: `z${index % 3}`, state: 'alive' })) as MemberEntry[]
    const planner = rendezvousOwner('planner/r', members.map(member => member.name))!
    const total = { arrivals: 0, tokens: 0 }
    let waiting: string[] = []
    let received = 0
    const planners = new Map(members.map(member => [member.name, new Planner({
      clock,
      random: new SeededRandom(1),
      log: silentLog,
      self: member.name,
      region: 'r',
      members: () => members,
      network: {
        request: async (address, message) => {
          await sleep(clock, 1)
          if (address === planner) received++
          if (address === 'n7') throw new Error('unreachable')
          return (await planners.get(address)!.handle(decodeBody(encodeBody(message), peerMessageSchema) as PeerMessage))!
        }
      },
      config: () => config,
      engines: () => [],
      executeLocal: () => undefined,
      keyValueAvailable: () => true,
      plan: input => {
        waiting = [...input.waiting].map(([model, { count }]) => `${model}:${count}`)
        return { moves: [], unreachable: [] }
      },
      forecast: {
        add: demand => {
          for (const { arrivals, tokens } of demand.models) {
            total.arrivals += arrivals[0] + arrivals[1] + arrivals[2]
            total.tokens += tokens
          }
        },
        forecasts: () => new Map()
      }
    })])) as Map<string, Planner>
    for (const each of planners.values()) each.start()
    const models = (waits: boolean) => Array.from({ length: 20 }, (_, index): DemandEntry['models'][number] =>
      ({ model: `m${index}`, arrivals: [1, 0, 2], tokens: 100, waiting: waits && index === 0 ? 1 : 0, earliestDeadlineMs: 0 }))
    for (let round = 0; round < 10; round++) {
      for (const [name, each] of planners) each.reportDemand({ node: name, models: models(round === 0 && name === 'n5'), periodMs: 2_000 })
      await clock.advance(40)
      if (round === 0) expect(waiting).to.deep.equal(['m0:1'])
      await clock.advance(1_960)
    }
    await clock.advance(3_000)
    expect(waiting).to.deep.equal([])
    expect(total).to.deep.equal({ arrivals: 10 * 60 * 20 * 3, tokens: 10 * 60 * 20 * 100 })
    expect(received).to.be.below(10 * 60 / 2)
  })
})
