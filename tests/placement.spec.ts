import { expect } from 'chai'
import fc from 'fast-check'
import { isExceptionActive, resolveRequestPolicy } from '../src/policy/requestPolicy.js'
import { planMoves } from '../src/policy/placement.js'
import type { PlacementInput } from '../src/policy/placementInput.js'
import { createEngine, testConfig } from './fixtures/policy.js'

function input (changes: Partial<PlacementInput>): PlacementInput {
  return {
    nowMs: 1_000_000,
    config: { ...testConfig, fleet: { ...testConfig.fleet, storeLoadsPerSecond: 10, storeLoadsInFlight: 10 } },
    engines: [],
    forecasts: new Map(),
    waiting: new Map(),
    loadsInFlight: [],
    recentMoves: [],
    keyValueAvailable: true,
    ...changes
  }
}

const forecast = (tokensPerSecond: number) => ({ tokensPerSecond, requestsPerSecond: tokensPerSecond / 100, valuePerSecond: tokensPerSecond / 10, burstRatio: 1 })
const waitingFor = (model: string) => new Map([[model, { count: 1, earliestDeadlineMs: 1_005_000 }]])
const withException = (exception: object) => ({
  ...input({}).config, exceptions: [{ name: 'x', reason: 'test', target: 'model.a', ...exception }]
})

describe('placement and request policy', () => {
  it('never exceeds the memory of an engine', () => {
    // Guards against overcommitted engine memory, for arbitrary loaded models, demand and waiting requests.
    const models = fc.subarray(['a@1', 'b@1', 'c@1']).filter(names =>
      names.reduce((sum, name) => sum + testConfig.models[name[0]!]!.memoryBytes, 0) <= 100)
    fc.assert(fc.property(fc.array(models, { minLength: 1, maxLength: 4 }), fc.array(fc.integer({ min: 0, max: 9000 }), { minLength: 3, maxLength: 3 }),
      fc.boolean(), (residents, tokens, wait) => {
        const engines = residents.map((names, index) => createEngine(`e${index}`, names))
        const plan = planMoves(input({
          engines,
          forecasts: new Map(['a', 'b', 'c'].map((name, index) => [name, forecast(tokens[index]!)])),
          waiting: wait ? waitingFor('c') : new Map()
        }))
        for (const engine of engines) {
          let used = engine.models.reduce((sum, model) => sum + model.memoryBytes, 0)
          for (const move of plan.moves.filter(candidate => candidate.engine === engine.engine)) {
            used -= engine.models.filter(model => move.unload.includes(model.name)).reduce((sum, model) => sum + model.memoryBytes, 0)
            used += move.loadBytes ?? 0
            expect(move.reason).to.not.equal('')
          }
          expect(used).to.be.at.most(100)
        }
      }), { seed: 1, numRuns: 300 })
  })

  it('loads a cold model for a waiting request even if all other models have more demand', () => {
    // Guards against a rarely used model that is never loaded under overload.
    const plan = planMoves(input({
      engines: [createEngine('e0', ['a@1', 'b@1'])],
      forecasts: new Map([['a', forecast(5000)], ['b', forecast(5000)], ['c', forecast(1)]]),
      waiting: waitingFor('c')
    }))
    expect(plan.moves.map(move => move.load)).to.deep.equal(['c@1'])
  })

  it('prefers the first replica of an urgent model to an additional one for browsing overload', () => {
    // Guards against counting the value of requests that admission sheds, which would keep urgent models unloaded.
    const byRank = (urgent: number, browsing: number) => ({
      tokensPerSecond: (urgent + browsing) * 100,
      requestsPerSecond: urgent + browsing,
      valuePerSecond: urgent * 10 + browsing,
      burstRatio: 1,
      byRank: [{ rank: 'urgent' as const, requestsPerSecond: urgent, valuePerSecond: urgent * 10 }, { rank: 'browsing' as const, requestsPerSecond: browsing, valuePerSecond: browsing }]
    })
    const plan = planMoves(input({
      engines: [createEngine('e0', ['a@1']), createEngine('e1', ['a@1'])],
      forecasts: new Map([['a', byRank(1, 200)], ['c', byRank(5, 0)]])
    }))
    expect(plan.moves.map(move => move.load)).to.deep.equal(['c@1'])
  })

  it('uses the headroom of a pool only for cold models', () => {
    // Guards against rarely used models displacing busy ones on all engines in turn.
    const config = { ...input({}).config, pools: { pool: { honoursFence: true, reserveBytes: 40, adapterBytes: 0 } } }
    const engines = [createEngine('e0', ['b@1']), createEngine('e1', ['a@1', 'b@1'])]
    const cold = planMoves(input({ config, engines, forecasts: new Map([['a', forecast(3000)], ['b', forecast(2000)]]), waiting: waitingFor('c') }))
    expect(cold.moves.map(({ engine, load }) => `${engine} ${load}`)).to.deep.equal(['e0 c@1'])
    const hot = planMoves(input({ config, engines, forecasts: new Map([['a', forecast(9000)]]) }))
    expect(hot.moves.filter(move => move.load === 'a@1' && move.unload.length === 0 && move.engine === 'e0')).to.deep.equal([])
  })

  it('obeys pins, bans and minimum replicas', () => {
    // Guards against operators' exceptions without effect.
    const engines = [createEngine('e0', ['c@1']), createEngine('e1', [])]
    expect(planMoves(input({ engines, config: withException({ pin: 'e0' }) })).moves[0]).to.include({ engine: 'e0', load: 'a@1' })
    expect(planMoves(input({ engines, config: withException({ minimumReplicas: 2 }) })).moves.length).to.equal(2)
    const banned = planMoves(input({ engines, config: withException({ ban: 'e1' }), waiting: waitingFor('a') }))
    expect(banned.moves.map(move => move.engine)).to.deep.equal(['e0'])
  })

  it('replaces a version without downtime', () => {
    // Guards against unloading the old version before the new one is ready.
    const old = createEngine('e0', ['a@0'])
    const first = planMoves(input({ engines: [old, createEngine('e1', [])], forecasts: new Map([['a', forecast(10)]]) }))
    expect(first.moves.map(({ load, unload }) => ({ load, unload }))).to.deep.equal([{ load: 'a@1', unload: [] }])
    const second = planMoves(input({ engines: [old, createEngine('e1', ['a@1'])] }))
    expect(second.moves.map(({ engine, unload }) => ({ engine, unload }))).to.deep.equal([{ engine: 'e0', unload: ['a@0'] }])
  })

  it('plans no move on engines without fencing while the key-value service is down', () => {
    // Guards against loads that the intent log cannot record.
    const config = { ...input({}).config, pools: { pool: { honoursFence: false, reserveBytes: 0, adapterBytes: 0 } } }
    const engines = [createEngine('e0', [])]
    expect(planMoves(input({ config, engines, waiting: waitingFor('a'), keyValueAvailable: false })).moves).to.deep.equal([])
    expect(planMoves(input({ config, engines, waiting: waitingFor('a') })).moves.length).to.equal(1)
  })

  it('starts no more loads than the weight store allows', () => {
    // Guards against loads that slow each other down.
    const config = { ...input({}).config, fleet: testConfig.fleet }
    const engines = Array.from({ length: 6 }, (_, index) => createEngine(`e${index}`, []))
    expect(planMoves(input({ config: { ...withException({ minimumReplicas: 6 }), fleet: testConfig.fleet }, engines })).moves.length).to.equal(1)
    const loadsInFlight = ['e0', 'e1', 'e2'].map(engine => ({ engine, model: 'b@1' }))
    expect(planMoves(input({ config, engines, waiting: waitingFor('a'), loadsInFlight })).moves).to.deep.equal([])
  })

  it('applies hours at the configured UTC offset and across midnight', () => {
    // Guards against exceptions that end at midnight UTC.
    const exception = { name: 'x', reason: 'night', target: 'rank.browsing', hours: { from: 22, to: 6 }, patienceMs: 600_000 }
    const at = (hourUtc: number) => isExceptionActive(exception, hourUtc * 3_600_000, 420)
    expect([14, 15, 17, 22, 23].map(at)).to.deep.equal([false, true, true, true, false])
    const config = { ...testConfig, fleet: { ...testConfig.fleet, utcOffsetMinutes: 420 }, exceptions: [exception] }
    const policyAt = (hourUtc: number) => resolveRequestPolicy(config, { customer: 'customer-3', model: 'a', nowMs: hourUtc * 3_600_000 })
    expect([policyAt(16).patienceMs, policyAt(2).patienceMs]).to.deep.equal([600_000, 60_000])
  })

  it('lets headers only lower rank and patience', () => {
    // Guards against callers raising their own rank or patience.
    const policyOf = (rankHeader: string, patienceMsHeader: number) =>
      resolveRequestPolicy(testConfig, { customer: 'customer-2', model: 'a', nowMs: 0, rankHeader, patienceMsHeader })
    expect(policyOf('urgent', 90_000)).to.include({ rank: 'live', patienceMs: 20_000 })
    expect(policyOf('browsing', 500)).to.include({ rank: 'browsing', patienceMs: 500 })
    expect(policyOf('nonsense', -1)).to.include({ rank: 'live', patienceMs: 20_000 })
  })
})
