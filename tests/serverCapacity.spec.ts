import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { CapacitySamples } from '../src/policy/capacitySamples.js'
import type { SampleRow } from '../src/policy/capacitySamples.js'
import { Dispatcher } from '../src/policy/dispatcher.js'
import { ServerCapacity } from '../src/policy/serverCapacity.js'
import { fitsTokens, TokenLedger } from '../src/policy/tokenLedger.js'
import { FleetView } from '../src/serving/fleetView.js'
import { LearnedCapacity } from '../src/serving/learnedCapacity.js'
import { simulatePlainFleet } from './fixtures/plainFleetSimulation.js'
import type { DelayOf } from './fixtures/plainFleetSimulation.js'

const baseMs = 43
const slots = 12
/** Share of requests that callers need to be in time. */
const neededShare = 0.95

function six (delayOf: (index: number, nowMs: number, running: number) => number): DelayOf[] {
  return [0, 1, 2, 3, 4, 5].map(index => (nowMs, running) => delayOf(index, nowMs, running))
}

/** Shares in time with the fixed constants and with learned capacity. */
async function compare (servers: DelayOf[]): Promise<{ fixed: number, learned: number }> {
  const [fixed, learned] = [await simulatePlainFleet({ servers, isLearning: false, ratePerSecond: 300 }), await simulatePlainFleet({ servers, isLearning: true, ratePerSecond: 300 })]
  return { fixed: fixed.inTime, learned: learned.inTime }
}

function createCapacity (clock: VirtualClock): ServerCapacity {
  return new ServerCapacity({ clock, serverOf: () => ({ service: 's', slots }) })
}

/** Runs prompts of two models, one of which is four times as slow, on engines of different speeds. Returns the share of first events within the objective. */
async function simulateEngines (isLearning: boolean): Promise<number> {
  const clock = new VirtualClock(0)
  const random = new SeededRandom(3)
  const capacity = createCapacity(clock)
  const samples = new CapacitySamples()
  const dispatcher = new Dispatcher(clock, isLearning ? { capacity } : {})
  const engines = [0.5, 0.5, 1, 1, 2, 4].map((pace, index) => ({ id: `e${index}`, pace, freeAtMs: 0, running: 0 }))
  const objectiveMs = 600
  const [tickMs, reportMs, warmUpMs, durationMs] = [5, 500, 10_000, 60_000]
  let queue: { model: string, promptTokens: number, arrivedAtMs: number }[] = []
  let reported = new Map<string, number>()
  let inTime = 0
  let judged = 0
  for (let nowMs = 0; nowMs < durationMs; nowMs += tickMs) {
    await clock.runUntil(nowMs)
    if (nowMs % reportMs === 0) {
      capacity.onSamples(samples.take())
      reported = new Map(engines.map(({ id, running }) => [id, running]))
    }
    if (random.next() < 0.1) queue.push({ model: random.next() < 0.5 ? 'light' : 'heavy', promptTokens: 400 + Math.round(random.next() * 1200), arrivedAtMs: nowMs })
    queue = queue.filter(({ model, promptTokens, arrivedAtMs }) => {
      const decision = dispatcher.choose({
        service: 's', model, adapter: undefined, promptTokens, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], isFirst: true, isLate: false, gapObjectiveMs: 300
      }, engines.map(({ id }) => ({ id, region: 'r', availabilityZone: 'z', slots, running: reported.get(id)! })))
      if (decision?.kind !== 'engine') return true
      const engine = engines.find(({ id }) => id === decision.id)!
      const inProgress = ++engine.running
      engine.freeAtMs = Math.max(nowMs, engine.freeAtMs) + promptTokens / 20 * engine.pace * (model === 'heavy' ? 4 : 1)
      const firstEventMs = engine.freeAtMs + 25 - nowMs
      clock.setTimer(firstEventMs + 400, () => {
        engine.running--
        samples.onStream({ server: engine.id, model, priorMs: decision.priorMs, firstEventMs, objectiveMs, longestGapMs: 50, gapObjectiveMs: 300, inProgress, inProgressAtGap: inProgress })
      })
      if (arrivedAtMs < warmUpMs) return false
      judged++
      if (nowMs - arrivedAtMs + firstEventMs <= objectiveMs) inTime++
      return false
    })
  }
  return inTime / judged
}

describe('learned capacity of plain servers', () => {
  it('uses servers of a quarter to four times the speed', async () => {
    // Failure: nodes send requests to slow servers as often as to fast ones.
    expect((await compare(six(index => baseMs * [0.25, 0.5, 1, 1, 2, 4][index]!))).learned).to.be.above(neededShare)
  })

  it('follows a step to five times slower and back', async () => {
    // Failure: requests still go to servers that have become slow, or no longer to servers that have become fast again.
    const servers = six((index, nowMs) => index < 3 && nowMs > 10_000 && nowMs < 20_000 ? baseMs * 5 : baseMs)
    const { fixed, learned } = await compare(servers)
    expect(learned).to.be.above(Math.max(neededShare, fixed - 0.01))
    const { choices } = await simulatePlainFleet({ servers, isLearning: true, ratePerSecond: 300, durationMs: 45_000 })
    for (const index of [0, 1, 2]) expect(choices.slice(35, 44).reduce((sum, second) => sum + second[index]!, 0)).to.be.above(300 * 9 / 6 * 0.4)
  })

  it('follows a slow drift', async () => {
    // Failure: changes that are small in every interval are taken for noise.
    expect((await compare(six((index, nowMs) => baseMs * (index < 2 ? 1 + nowMs / 7500 : 1)))).learned).to.be.above(neededShare)
  })

  it('loads servers less that slow down from half of their slots on', async () => {
    // Failure: only the speed of an idle server counts, and it gets more than it takes well.
    const { fixed, learned } = await compare(six((index, _nowMs, running) => baseMs * (index < 3 && running >= 3 ? 1 + 1.5 * (running - 2) : 1)))
    expect(learned).to.be.above(Math.max(neededShare, fixed))
  })

  it('avoids servers that fail quickly', async () => {
    // Failure: each node must find out for itself that a server fails, and a quick failure counts as a short delay.
    const { fixed, learned } = await compare(six(index => index < 2 ? -20 : baseMs))
    expect(learned).to.be.above(0.99)
    expect(fixed).to.be.below(0.99)
  })

  it('does not let all nodes choose the same server', async () => {
    // Failure: 89 nodes learn at the same time which server is best and overload it for a second, then the next one.
    const { choices, rowBytesPerSecond, inTime } = await simulatePlainFleet({ servers: six((index, nowMs) => index > 0 && nowMs < 10_000 ? baseMs * 1.5 : baseMs), isLearning: true, ratePerSecond: 400 })
    expect(inTime).to.be.above(neededShare)
    for (const second of choices.slice(20, 29)) expect(Math.max(...second) / second.reduce((sum, count) => sum + count, 0)).to.be.below(0.5)
    expect(rowBytesPerSecond).to.be.below(200)
  })

  it('keeps what was learned when another node becomes leader', async () => {
    // Failure: a new leader starts from the prior, and slow servers get as many requests as others again.
    const { choices } = await simulatePlainFleet({ servers: six(index => index < 2 ? baseMs * 5 : baseMs), isLearning: true, ratePerSecond: 300, successionAtMs: 15_000 })
    for (const second of choices.slice(15, 20)) expect(second[0]! + second[1]!).to.be.below(0.1 * 300)
  })
})

describe('learned capacity of engines', () => {
  it('serves more prompts in time than with fixed constants', async () => {
    // Failure: prompts queue on slow engines and behind prompts of slow models, because all are assumed to be equally fast.
    const [fixed, learned] = [await simulateEngines(false), await simulateEngines(true)]
    expect(learned).to.be.above(neededShare)
    expect(learned).to.be.above(fixed)
  })

  it('fills engines beyond their limits when all that have the model are at theirs', () => {
    // Failure: in a burst for a model on two engines, requests are refused while slots there are free.
    const capacity = { of: (server: string) => ({ factor: 1, limit: server === 'low' ? 5 : 9, failureShare: 0 }), paceOf: () => 1 }
    const running = { low: 5, high: 5 }
    const choose = () => {
      const dispatcher = new Dispatcher(new VirtualClock(1000), { capacity })
      const request = { service: 's', model: 'm', adapter: undefined, promptTokens: 100, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], isFirst: true, isLate: false, gapObjectiveMs: 300 }
      const decision = dispatcher.choose(request, (['low', 'high'] as const).map(id => ({ id, region: 'r', availabilityZone: 'z', slots, running: running[id], isExact: true })))
      return decision?.kind === 'engine' ? decision.id : decision?.kind
    }
    expect(choose()).to.equal('high')
    running.high = 9
    expect(choose()).to.equal('low')
    Object.assign(running, { low: slots, high: slots })
    expect(choose()).to.equal('wait')
  })

  it('finds the limit from which pauses are too long, and raises it when it is gone', async () => {
    // Failure: an engine that stalls from half of its slots on is filled, or a limit stays after its cause has ended.
    const clock = new VirtualClock(0)
    const capacity = createCapacity(clock)
    const limits: number[] = []
    for (let nowMs = 0; nowMs < 60_000; nowMs += 500) {
      await clock.runUntil(nowMs)
      const inProgress = Math.floor(capacity.of('e', slots).limit)
      const overruns = nowMs < 30_000 && inProgress > 6 ? 3 : 0
      capacity.onSamples([['e', 'm', 10, 0, 0, overruns, overruns * inProgress, inProgress]])
      limits.push(inProgress)
    }
    expect(Math.min(...limits)).to.be.at.least(4)
    expect(limits.slice(20, 60).filter(limit => limit > 6).length).to.be.below(8)
    expect(limits.at(-1)).to.equal(slots)
  })

  it('is not moved by single outliers and returns to the prior without samples', async () => {
    // Failure: one prompt that met a stalled engine makes the engine count as slow, or a server that counts as slow never gets requests again.
    const clock = new VirtualClock(0)
    const capacity = createCapacity(clock)
    const report = async (row: Partial<Record<3 | 4, number>>) => {
      await clock.advance(600)
      capacity.onSamples([Object.assign(['e', 'm', 1, 1, 0, 0, 0, 1] as SampleRow, row)])
    }
    await report({ 4: Math.log(16) })
    expect(capacity.of('e', slots).factor).to.be.within(0.88, 1.12)
    for (let index = 0; index < 30; index++) await report({ 3: 20, 4: 20 * Math.log(4) })
    const slow = capacity.of('e', slots).factor
    await clock.advance(12_000)
    expect([slow, capacity.of('e', slots).factor / Math.sqrt(slow)]).to.satisfy(([before, ratio]: number[]) => before! > 2 && Math.abs(ratio! - 1) < 0.05)
  })
})

describe('exchange of learned capacity', () => {
  it('sends valid rows of plain servers before any rate is known', () => {
    // Failure: a node that connects then gets rows that are not numbers, and closes the connection.
    const capacity = createCapacity(new VirtualClock(0))
    capacity.onSamples([['p', '', 1, 1, 0, 0, 0, 0]])
    expect(capacity.rows.servers).to.deep.equal([['p', 1, slots, 0]])
  })

  it('restores rows from the nodes when the leader has none, and sends only changes', async () => {
    // Failure: a leader that has just started replaces what all nodes know by the prior; or all rows are sent all the time.
    const clock = new VirtualClock(0)
    const fleet = new FleetView({ clock, log: silentLog, regionOfZone: {} })
    fleet.put({ id: 'a', service: 's', address: '127.0.0.1:1', availabilityZone: 'z', slots, isDraining: false, models: [], modelsInMemory: [], modelsOnDisk: [] })
    const [node, started] = [new LearnedCapacity(clock, fleet), new LearnedCapacity(clock, fleet)]
    node.onLeaderReport({ capacity: { servers: [['a', 3, 5, 0]], paces: [['s/m', 2]] } })
    const term = started.startTerm(silentLog)
    node.onLeaderReport(term.fullRows())
    term.onReport({ node: 'n', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [], ...node.reportFields(0) })
    expect(term.fullRows().capacity).to.deep.include({ servers: [['a', 3, 5, 0]], paces: [['s/m', 2]] })
    expect(term.changedRows()).to.deep.equal({})
    await clock.advance(20_000)
    expect(term.changedRows().capacity?.servers.length).to.equal(1)
    expect(term.changedRows()).to.deep.equal({})
  })
})

describe('token account of engines', () => {
  it('counts assignments until a report covers them, and what the report holds from then on', async () => {
    // Failure: an assignment is counted twice or not at all, and engines preempt requests or stay idle.
    const clock = new VirtualClock(0)
    const ledger = new TokenLedger(clock)
    const first = ledger.assign('n', 'e', 3000)
    ledger.assign('n', 'e', 2000)
    ledger.assign('other', 'e', 100)
    expect(ledger.of('e')).to.equal(5100)
    ledger.onReport({ node: 'n', lastAssignment: first, rows: [['e', 3000]] })
    expect(ledger.of('e')).to.equal(5100)
    ledger.onReport({ node: 'n', lastAssignment: first, rows: [] })
    expect(ledger.of('e')).to.equal(2100)
    ledger.release(first + 1)
    expect(ledger.of('e')).to.equal(100)
    await clock.advance(6000)
    ledger.expire()
    expect(ledger.of('e')).to.equal(0)
  })

  it('makes a request wait that does not fit, unless the engine is empty', () => {
    // Failure: an engine gets more tokens than its memory holds, or a request larger than the usable share never runs.
    const clock = new VirtualClock(0)
    const dispatcher = new Dispatcher(clock, { tokens: new TokenLedger(clock) })
    const ask = (promptTokens: number) => dispatcher.choose({
      service: 's', model: 'm', adapter: undefined, promptTokens, outputTokens: 500, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], isFirst: true, isLate: false, gapObjectiveMs: 300
    }, [{ id: 'e', region: 'r', availabilityZone: 'z', slots, running: 0, cacheTokens: 2000 }])?.kind
    expect([ask(2100), ask(1000), ask(300), ask(200)]).to.deep.equal(['wait', 'engine', 'wait', 'wait'])
    expect(fitsTokens({ promptTokens: 200, outputTokens: 500 }, 1100, 2000)).to.equal(true)
  })
})
