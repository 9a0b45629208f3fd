import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { PartQuarantine } from '../src/policy/partQuarantine.js'
import { QuarantineWorld } from './fixtures/quarantineWorld.js'
import type { QuarantineWorldOptions } from './fixtures/quarantineWorld.js'

const contactMs = 4000
const mostEnds = 5
const mostLateArrivals = 3

/** Runs one world for each seed. */
async function play (seeds: number, options: Omit<QuarantineWorldOptions, 'seed'>): Promise<QuarantineWorld[]> {
  const worlds: QuarantineWorld[] = []
  for (let seed = 1; seed <= seeds; seed++) worlds.push(await new QuarantineWorld({ seed, ...options }).run())
  return worlds
}

/** Requests with a part that reached engines later than the contact time after the fifth end. */
function lateArrivals ({ arrivalsAtMs, endsAtMs }: QuarantineWorld): number {
  return Math.max(0, ...[...arrivalsAtMs].map(([part, times]) => {
    const fifthAtMs = endsAtMs.get(part)?.[mostEnds - 1] ?? Infinity
    return times.filter(atMs => atMs > fifthAtMs + contactMs).length
  }))
}

const endsOf = ({ endsAtMs }: QuarantineWorld) => Math.max(0, ...[...endsAtMs.values()].map(({ length }) => length))
const sum = (numbers: number[]) => numbers.reduce((total, one) => total + one, 0)

function summary (worlds: QuarantineWorld[]) {
  const sent = sum(worlds.map(({ sound }) => sound.sent))
  return {
    meanEnds: sum(worlds.map(endsOf)) / worlds.length,
    mostLate: Math.max(...worlds.map(lateArrivals)),
    wrong: worlds.flatMap(({ wrongVerdicts }) => wrongVerdicts.map(({ parts }) => parts)),
    refused: sum(worlds.map(({ sound }) => sound.refused)),
    servedShare: sum(worlds.map(({ sound }) => sound.served)) / sent,
    atOnceShare: sum(worlds.map(({ sound }) => sound.atOnce)) / sent
  }
}

/** Bursts of ends that no request causes: staggered, at once, and slow. */
const bursts = [{ atMs: 5000, ends: 4, gapMs: 300 }, { atMs: 12_000, ends: 5, gapMs: 60 }, { atMs: 20_000, ends: 3, gapMs: 1000 }]
const seeds = 30
/** Loss of sound requests, beside the few that cross an end, that the quarantine may add. */
const mostAddedLoss = 0.01

describe('quarantine of prompt parts, many seeds', () => {
  // Guards against a test that would pass without the quarantine.
  it('shows engine after engine ending without it', async () => {
    const { mostLate, servedShare } = summary(await play(3, { isGuarded: false }))
    expect(mostLate).to.be.above(mostLateArrivals)
    expect(servedShare).to.be.below(0.5)
  })

  // Guards against requests that go on ending engines, and against sound ones that are refused for it (BUDGET, LOST).
  it('ends it after few ends, with the part at any place but the last', async () => {
    const { meanEnds, mostLate, wrong, refused, servedShare } = summary(await play(seeds, {}))
    expect(meanEnds).to.be.at.most(mostEnds)
    expect(mostLate).to.equal(0)
    expect(wrong).to.deep.equal([])
    expect(refused).to.equal(0)
    expect(servedShare).to.be.at.least(0.99)
  })

  it('ends it when the requests are rare', async () => {
    const { meanEnds, mostLate, wrong, refused } = summary(await play(seeds, { deadlyShare: 0.01, durationMs: 60_000 }))
    expect(meanEnds).to.be.at.most(mostEnds)
    expect([mostLate, refused]).to.deep.equal([0, 0])
    expect(wrong).to.deep.equal([])
  })

  it('ends it when three in ten requests have the part', async () => {
    const { mostLate, wrong } = summary(await play(seeds, { deadlyShare: 0.3 }))
    expect(mostLate).to.be.at.most(mostLateArrivals)
    expect(wrong).to.deep.equal([])
  })

  it('finds several parts', async () => {
    const { mostLate, wrong } = summary(await play(seeds, { deadly: ['deadly-1', 'deadly-2', 'deadly-3'] }))
    expect(mostLate).to.be.at.most(mostLateArrivals)
    expect(wrong).to.deep.equal([])
  })

  // Guards against a part of one client that is refused because another one always sends it with a deadly part.
  it('does not refuse a part that always comes with it', async () => {
    const { mostLate, wrong } = summary(await play(seeds, { companion: 'companion' }))
    expect(mostLate).to.be.at.most(mostLateArrivals)
    expect(wrong).to.deep.equal([])
  })

  it('finds a part that was sound before', async () => {
    const { mostLate, wrong, refused } = summary(await play(seeds, { deadly: ['subject-2'], deadlyShare: 0.05, deadlyFromMs: 10_000 }))
    expect(mostLate).to.be.at.most(mostLateArrivals)
    expect(wrong).to.deep.equal([])
    expect(refused).to.equal(0)
  })

  it('makes no wrong verdict beside bursts of unrelated ends', async () => {
    const { mostLate, wrong, refused } = summary(await play(seeds, { bursts }))
    expect(mostLate).to.be.at.most(mostLateArrivals)
    expect(wrong).to.deep.equal([])
    expect(refused).to.equal(0)
  })

  // Guards against a verdict or trials that cost sound requests when engines end for other reasons.
  it('costs nothing in bursts of unrelated ends alone', async () => {
    const guarded = summary(await play(seeds, { deadly: [], bursts }))
    const unguarded = summary(await play(seeds, { deadly: [], bursts, isGuarded: false }))
    expect(guarded.wrong).to.deep.equal([])
    expect(guarded.servedShare).to.be.at.least(unguarded.servedShare - mostAddedLoss)
    expect(guarded.atOnceShare).to.be.at.least(unguarded.atOnceShare - mostAddedLoss)
  })

  it('keeps the bound when the leader is lost and another follows', async () => {
    const { mostLate, wrong } = summary(await play(seeds, { leaderless: [{ fromMs: 400, untilMs: 5000 }, { fromMs: 12_000, untilMs: 14_000 }] }))
    expect(mostLate).to.be.at.most(mostLateArrivals)
    expect(wrong).to.deep.equal([])
  })

  it('makes no wrong verdict without a leader, and ends it when there is one again', async () => {
    const worlds = await play(seeds, { leaderless: [{ fromMs: 300, untilMs: 15_000 }] })
    const { wrong, servedShare } = summary(worlds)
    expect(wrong).to.deep.equal([])
    // Guards against a first part of all prompts that is held since a verdict names it beside another one.
    expect(servedShare).to.be.at.least(0.95)
    for (const { arrivalsAtMs, startMs } of worlds) {
      expect([...arrivalsAtMs.values()].flat().filter(atMs => atMs > startMs + 15_000 + contactMs).length).to.be.at.most(mostLateArrivals)
    }
  })

  it('tells nodes that start late', async () => {
    const { mostLate, wrong, refused } = summary(await play(seeds, { lateNodes: [{ index: 1, atMs: 3000 }, { index: 0, atMs: 6000 }, { index: 2, atMs: 9000 }, { index: 3, atMs: 9100 }] }))
    expect(mostLate).to.equal(0)
    expect(wrong).to.deep.equal([])
    expect(refused).to.equal(0)
  })
})

const quarantineMs = 600_000
const shared = [{ id: 'first' }, { id: 'deadly' }]

describe('quarantine of prompt parts', () => {
  let clock: VirtualClock
  let quarantine: PartQuarantine
  let engines: number
  let released: number

  beforeEach(() => {
    clock = new VirtualClock(1000)
    engines = released = 0
    quarantine = new PartQuarantine({ clock, name: 'n', onReleased: () => { released++ } })
  })

  /** An engine ends under a request with `parts`, one second after the end before. */
  async function endEngine (parts = shared, software = 's/1'): Promise<void> {
    await clock.advance(1000)
    quarantine.recordEnd({ engine: `e${engines++}`, software, sentAtMs: clock.nowMs() - 100, parts })
    await clock.advance(200)
  }

  async function convict (): Promise<void> {
    // A sound request shows that the first part causes nothing.
    quarantine.recordSurvival([{ id: 'first' }], clock.nowMs())
    for (let end = 0; end < 3; end++) {
      await endEngine()
      quarantine.recordSurvival([{ id: 'first' }], clock.nowMs())
    }
  }

  it('refuses requests with the part alone', async () => {
    await convict()
    expect(quarantine.check(shared).kind).to.equal('refused')
    expect(quarantine.check([{ id: 'first' }, { id: 'other' }]).kind).to.equal('clear')
    expect(quarantine.list.map(({ parts }) => parts)).to.deep.equal([['deadly']])
  })

  // Guards against a part that ends an engine every half hour all day long.
  it('finds a part that is asked for rarely', async () => {
    for (let end = 0; end < 3; end++) {
      await clock.advance(1_800_000)
      quarantine.recordSurvival([{ id: 'first' }], clock.nowMs())
      await endEngine()
      quarantine.recordSurvival([{ id: 'first' }], clock.nowMs())
    }
    await clock.advance(1000)
    expect(quarantine.check(shared).kind).to.equal('refused')
  })

  // Guards against a verdict for ever, and against all nodes that try again at the end.
  it('is followed by one trial, and by a longer one if that ends an engine', async () => {
    await convict()
    await clock.advance(quarantineMs)
    const check = quarantine.check(shared)
    if (check.kind !== 'suspect') throw new Error(`the check is ${check.kind}`)
    expect(quarantine.beginTrial(check)).to.not.equal(undefined)
    expect(quarantine.beginTrial(check)).to.equal(undefined)
    await endEngine()
    expect(quarantine.check(shared).kind).to.equal('refused')
    await clock.advance(quarantineMs * 1.5)
    expect(quarantine.check(shared).kind).to.equal('refused')
  })

  it('ends when a trial after it goes on', async () => {
    await convict()
    await clock.advance(quarantineMs)
    quarantine.recordSurvival(shared, clock.nowMs())
    expect(quarantine.check(shared).kind).to.equal('clear')
    expect(released).to.equal(1)
  })

  it('ends when an operator lifts it', async () => {
    await convict()
    quarantine.lift(['deadly'])
    expect(quarantine.check(shared).kind).to.equal('clear')
    expect(released).to.equal(1)
  })

  it('ends when no engine runs the software any more', async () => {
    await convict()
    quarantine.onSoftware(new Set(['s/1', 's/2']))
    expect(quarantine.check(shared).kind).to.equal('refused')
    // Engines of another service say nothing.
    quarantine.onSoftware(new Set(['t/1']))
    expect(quarantine.check(shared).kind).to.equal('refused')
    quarantine.onSoftware(new Set(['s/2']))
    expect(quarantine.check(shared).kind).to.equal('suspect')
  })

  it('survives its leader: another node learns all from the facts', async () => {
    await convict()
    const other = new PartQuarantine({ clock, name: 'o' })
    other.merge(quarantine.allFacts()!, { isNews: true })
    expect(other.check(shared).kind).to.equal('refused')
    const third = new PartQuarantine({ clock, name: 't' })
    third.merge({ ends: [], survivals: [], verdicts: quarantine.verdictFacts, endedTrials: [] }, { isNews: false })
    expect(third.check(shared).kind).to.equal('refused')
  })

  // Guards against a client that fills the memory or hides a part.
  it('bounds what clients can name', async () => {
    const many = Array.from({ length: 1000 }, (_, index) => ({ id: `p${index}` }))
    const long = [{ id: '\u0000ÿ'.repeat(5000) }]
    // No answer goes on with any of the parts, so two more ends than usual are needed.
    for (let end = 0; end < 5; end++) await endEngine([...long, ...many])
    expect(JSON.stringify(quarantine.allFacts()).length).to.be.below(20_000)
    expect(quarantine.check([...long, ...many]).kind).to.equal('refused')
    for (let end = 0; end < 1000; end++) quarantine.recordEnd({ engine: `x${end}`, software: 's/1', sentAtMs: clock.nowMs(), parts: [{ id: `y${end}` }] })
    expect(quarantine.allFacts()!.ends.length).to.equal(64)
    // Each end with as many parts as clients can name.
    for (let end = 0; end < 64; end++) {
      for (let request = 0; request < 20; request++) {
        const parts = Array.from({ length: 100 }, (_, index) => ({ id: `${end}.${request}.${index}`.padEnd(40, 'x') }))
        quarantine.recordEnd({ engine: `z${end}`, software: 's/1', sentAtMs: clock.nowMs(), parts })
      }
    }
    expect(JSON.stringify(quarantine.allFacts()).length).to.be.below(300_000)
  })

  // Guards against a fleet that has just started and refuses all requests, because the first ones had different parts that end engines.
  it('does not refuse the first part of all prompts before any answer has gone on', async () => {
    for (const deadly of ['x', 'y', 'z']) await endEngine([{ id: 'first' }, { id: deadly }])
    expect(quarantine.check([{ id: 'first' }, { id: 'other' }]).kind).to.equal('suspect')
    quarantine.recordSurvival([{ id: 'first' }, { id: 'other' }], clock.nowMs())
    expect(quarantine.check([{ id: 'first' }, { id: 'other' }]).kind).to.equal('clear')
  })

  it('does not count engines that end at the same time as several', async () => {
    for (const engine of ['a', 'b', 'c', 'd']) quarantine.recordEnd({ engine, software: 's/1', sentAtMs: clock.nowMs() - 50, parts: [{ id: 'rare' }] })
    await clock.advance(1000)
    expect(quarantine.check([{ id: 'rare' }])).to.include({ kind: 'suspect', ends: 1 })
  })
})
