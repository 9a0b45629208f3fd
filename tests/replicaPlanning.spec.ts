import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { replicasNeeded, planReplicas } from '../src/policy/replicaPlanning.js'
import type { ReplicaEngine, Replica, ReplicaDemand } from '../src/policy/replicaPlanning.js'
import { LoadRate } from '../src/policy/loadRate.js'
import { PrefillDemand } from '../src/policy/prefillDemand.js'

const weightsMb = 70
const slots = 64

function copy (model: string, changes: Partial<Replica> = {}): Replica {
  return { model, weightsMb, isReady: true, isUnloading: false, running: 0, ageMs: 60_000, ...changes }
}

function engine (id: string, copies: Replica[], changes: Partial<ReplicaEngine> = {}): ReplicaEngine {
  const running = copies.reduce((sum, { running }) => sum + running, 0)
  return { id, adapters: 0, isAvailable: true, weightsMb: 230, adaptersMb: 0, slots, running, replicas: copies, loadCostOf: () => ({ loadMs: 2400, isFromStore: true }), ...changes }
}

function need (model: string, changes: Partial<ReplicaDemand> = {}): ReplicaDemand {
  return { model, weightsMb, running: 0, waiting: 0, rank: 2, idleMs: Infinity, prefillUtilization: 0, ...changes }
}

const plan = (engines: ReplicaEngine[], needs: ReplicaDemand[], storeLoads = 6) => planReplicas({ engines, demands: needs, availableStoreLoads: storeLoads })

describe('hosting of models', () => {
  it('loads a model for which requests wait into free space', () => {
    const moves = plan([engine('e1', [copy('a'), copy('b')]), engine('e2', [copy('a'), copy('b'), copy('c')])], [need('d', { waiting: 1, idleMs: 0 })])
    expect(moves).to.have.length(1)
    expect(moves[0]).to.include({ engine: 'e1', load: 'd' })
    expect(moves[0]!.unload).to.deep.equal([])
  })

  it('adds copies where demand shifts to a model with one copy', () => {
    // Pattern: a model shift; the rising model's requests fill its only engine.
    const engines = [
      engine('e1', [copy('rising', { running: 45 }), copy('x'), copy('y')]),
      engine('e2', [copy('falling'), copy('u'), copy('v')]),
      engine('e3', [copy('falling', { running: 20 }), copy('w'), copy('z')])
    ]
    const needs = [
      need('rising', { running: 45, rank: 0, idleMs: 0, prefillUtilization: 0.9 }), need('falling', { running: 20, rank: 0, idleMs: 0 }),
      ...['x', 'y', 'u', 'v', 'w', 'z'].map(model => need(model, { idleMs: 20_000 }))
    ]
    const moves = plan(engines, needs)
    expect(moves[0]).to.include({ load: 'rising' })
    expect(moves.map(({ unload }) => unload).flat()).not.to.include('rising')
  })

  it('counts copies by what comes and not by what piles up', () => {
    // Pattern: the only copy of a model is crowded; its requests must not claim engines that the demand does not need.
    expect(replicasNeeded(need('crowded', { running: 50, waiting: 25, prefillUtilization: 0.6, idleMs: 0 }), 64)).to.equal(2)
    expect(replicasNeeded(need('long answers', { running: 90, prefillUtilization: 0.1, idleMs: 0 }), 64)).to.equal(3)
    expect(replicasNeeded(need('rare', { waiting: 1, idleMs: 0 }), 64)).to.equal(1)
  })

  it('expects demand that rises to go on rising until a load has ended', async () => {
    // Pattern: over eight seconds the demand for one model doubles, and a load takes nine.
    const clock = new VirtualClock(1000)
    const demand = new PrefillDemand(clock)
    const play = async (seconds: number, enginesAt: (second: number) => number) => {
      for (let step = 0; step < seconds * 20; step++) {
        demand.add('m', enginesAt(step / 20) * 50)
        await clock.advance(50)
      }
    }
    await play(20, () => 1)
    expect(demand.estimate('m', 9000).expectedEngines).to.be.closeTo(1, 0.1)
    await play(4, second => 1 + second / 8)
    const { engines, expectedEngines } = demand.estimate('m', 9000)
    expect(engines).to.be.within(1, 1.5)
    // At least half of the growth of the next six seconds, and not more than all of it.
    expect(expectedEngines - engines).to.be.within(0.5 * 6 / 8, 6 / 8 + 0.2)
    await play(10, () => 0.01)
    expect(demand.estimate('m', 9000).expectedEngines).to.be.below(0.1)
  })

  it('keeps loads away from engines that load adapters', () => {
    // Pattern: half of the short requests name adapters; an engine that loads a model for 9 s loads no adapter meanwhile.
    const engines = [
      engine('adapters', [copy('a', { running: 2 })], { adapters: 8 }),
      engine('others', [copy('b', { running: 9 })])
    ]
    const needs = [need('a', { running: 2, rank: 0, idleMs: 0 }), need('b', { running: 9, idleMs: 0 }), need('c', { waiting: 3, idleMs: 0 })]
    expect(plan(engines, needs)[0]).to.include({ engine: 'others', load: 'c' })
  })

  it('displaces what was asked for long ago before what nobody has asked for', () => {
    // Pattern: rarely used models rotate while demand moves to models that were silent before.
    const moves = plan([engine('e1', [copy('silent'), copy('old'), copy('recent')])],
      [need('new', { waiting: 1, idleMs: 0 }), need('silent'), need('old', { idleMs: 30_000 }), need('recent', { idleMs: 100 })])
    expect(moves[0]!.unload).to.deep.equal(['old'])
  })

  it('does not wait for running requests on behalf of few patient ones', () => {
    // Pattern: a burst of the least urgent kind; its moves would keep all engines from the urgent models.
    const engines = [engine('e1', [copy('a', { running: 3 }), copy('b', { running: 2 }), copy('c', { running: 9 })])]
    const needs = ['a', 'b', 'c'].map(model => need(model, { running: 3, rank: 0, idleMs: 0 }))
    expect(plan(engines, [...needs, need('d', { waiting: 1, idleMs: 0 })])).to.deep.equal([])
  })

  it('leaves two thirds of the engines to urgent moves', () => {
    // Pattern: a burst of the least urgent kind over many rarely used models.
    const engines = Array.from({ length: 6 }, (_, index) => engine(`e${index}`, [copy(`a${index}`), copy(`b${index}`)]))
    const needs = Array.from({ length: 6 }, (_, index) => need(`rare${index}`, { waiting: 1, idleMs: 0 }))
    expect(plan(engines, needs).length).to.be.within(1, 3)
    expect(plan(engines, needs.map(one => ({ ...one, waiting: 10, rank: 0 }))).length).to.equal(6)
  })

  it('never plans more weights than an engine holds', () => {
    const moves = plan([engine('e1', [copy('a', { isReady: false }), copy('b'), copy('c', { isUnloading: true })])],
      [need('d', { waiting: 50, rank: 0, idleMs: 0 }), need('b', { running: 2, idleMs: 0 })])
    // Neither the coming nor the leaving copy makes room, and `b` alone does.
    for (const move of moves) expect(move.unload).to.deep.equal(['b'])
  })

  it('loads from engines\' own copies when the weight store is used up', () => {
    const engines = [
      engine('store', []),
      engine('disk', [], { loadCostOf: () => ({ loadMs: 1600, isFromStore: false }) })
    ]
    expect(plan(engines, [need('d', { waiting: 3, idleMs: 0 })], 0).map(({ engine }) => engine)).to.deep.equal(['disk'])
  })

  it('does not let two models with like demand displace each other', () => {
    const needs = [need('a', { running: 5, idleMs: 0 }), need('b', { waiting: 5, idleMs: 0 })]
    expect(plan([engine('e1', [copy('a', { running: 5 })], { weightsMb: 100 })], needs)).to.deep.equal([])
  })

  it('leaves engines alone that carry out an order', () => {
    expect(plan([engine('e1', [], { isAvailable: false })], [need('d', { waiting: 9, idleMs: 0 })])).to.deep.equal([])
  })

  it('keeps below the rate of the weight store in every window', async () => {
    const clock = new VirtualClock()
    const rate = new LoadRate({ clock, windowMs: 5000, loadsPerSecond: 1.2 })
    const loads: number[] = []
    for (let step = 0; step < 600; step++) {
      while (rate.available() > 0) {
        rate.take()
        loads.push(clock.nowMs())
      }
      await clock.advance(50)
    }
    for (const from of loads) expect(loads.filter(atMs => atMs >= from && atMs < from + 5000).length).to.be.at.most(6)
    expect(loads.length).to.be.at.least(30)
  })
})
