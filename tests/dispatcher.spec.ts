import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { SeededRandom } from '../src/base/random.js'
import { Dispatcher } from '../src/policy/dispatcher.js'
import type { DispatchRequest, DispatchCandidate, DispatchDecision } from '../src/policy/dispatcher.js'

function ask (changes: Partial<DispatchRequest> = {}): DispatchRequest {
  return { service: 's', model: 'm', adapter: undefined, promptTokens: 1400, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], isFirst: true, isLate: false, gapObjectiveMs: 300, ...changes }
}

function candidate (id: string, changes: Partial<DispatchCandidate> = {}): DispatchCandidate {
  return { id, region: 'r', availabilityZone: 'z', slots: 32, running: 0, ...changes }
}

function idOf (choice: DispatchDecision | undefined): string | undefined {
  return choice?.kind === 'engine' ? choice.id : undefined
}

/** An engine that reads prompts in pieces between the tokens of its streams. */
class BatchingEngine {
  nowMs = 0
  /** Tokens that one event holds. */
  tokensPerEvent = 3
  late = 0
  ended = 0
  private readonly prompts: { tokens: number, events: number }[] = []
  private streams: { steps: number, left: number, lastMs: number, isLate: boolean }[] = []

  get running (): number {
    return this.streams.length + this.prompts.length
  }

  add (tokens: number, events: number): void {
    this.prompts.push({ tokens, events })
  }

  advance (untilMs: number): void {
    while (this.nowMs < untilMs) {
      if (this.running === 0) this.nowMs = untilMs
      else this.step()
    }
  }

  private step (): void {
    let room = 2048
    const begun: number[] = []
    while (this.prompts.length > 0 && room > 0) {
      const read = Math.min(room, this.prompts[0]!.tokens)
      this.prompts[0]!.tokens -= read
      room -= read
      if (this.prompts[0]!.tokens === 0) begun.push(this.prompts.shift()!.events)
    }
    this.nowMs += 10.1 + 0.03 * this.streams.length + (2048 - room) / 20.4
    for (const stream of this.streams) {
      if (++stream.steps % this.tokensPerEvent !== 0) continue
      if (this.nowMs - stream.lastMs > 300) stream.isLate = true
      stream.lastMs = this.nowMs
      stream.left--
    }
    for (const { left, isLate } of this.streams) {
      if (left > 0) continue
      this.ended++
      if (isLate) this.late++
    }
    this.streams = this.streams.filter(({ left }) => left > 0)
    for (const events of begun) this.streams.push({ steps: 0, left: events, lastMs: this.nowMs, isLate: false })
  }
}

interface Shares {
  /** Of those that ended. */
  late: number
  /** Of all that came. */
  inTime: number
}

/** Streams with a pause over 300 ms, at `ratePerSecond` prompts for each of six engines. Prompts that may not be sent are refused. */
async function play (
  ratePerSecond: number, choose: (desk: Dispatcher, promptTokens: number, candidates: DispatchCandidate[], random: SeededRandom) => string | undefined, { tokensPerEvent = 3 } = {}
): Promise<Shares> {
  const clock = new VirtualClock(0)
  const random = new SeededRandom(5)
  const desk = new Dispatcher(clock)
  const engines = new Map(Array.from({ length: 6 }, (_, index) => [`e${index}`, new BatchingEngine()]))
  const tickMs = 5
  const reportMs = 250
  for (const engine of engines.values()) engine.tokensPerEvent = tokensPerEvent
  let running = new Map<string, number>()
  let came = 0
  for (let nowMs = 0; nowMs < 60_000; nowMs += tickMs) {
    await clock.advance(tickMs)
    for (const engine of engines.values()) engine.advance(nowMs)
    if (nowMs % reportMs === 0) running = new Map([...engines].map(([id, engine]) => [id, engine.running]))
    if (random.next() >= ratePerSecond * 6 * tickMs / 1000) continue
    const tokens = Math.round(300 + random.next() * 1200)
    const id = choose(desk, tokens, [...engines.keys()].map(id => candidate(id, { slots: 64, running: running.get(id)! })), random)
    came++
    if (id !== undefined) engines.get(id)!.add(tokens, 10 + Math.floor(random.next() * 90))
  }
  const sum = (of: (engine: BatchingEngine) => number) => [...engines.values()].reduce((total, engine) => total + of(engine), 0)
  return { late: sum(({ late }) => late) / sum(({ ended }) => ended), inTime: sum(({ late, ended }) => ended - late) / came }
}

const lateShare = async (...args: Parameters<typeof play>) => (await play(...args)).late
const inTimeShare = async (...args: Parameters<typeof play>) => (await play(...args)).inTime

describe('dispatch desk', () => {
  it('keeps 95 of 100 streams free of long pauses where prompts come at random', async () => {
    // Pattern: prompts of many nodes meet at one engine, whose streams all pause while it reads them.
    expect(await lateShare(11, (_desk, _tokens, candidates, random) => candidates[Math.floor(random.next() * candidates.length)]!.id)).to.be.above(0.05)
    expect(await lateShare(11, (desk, promptTokens, candidates) => idOf(desk.choose(ask({ promptTokens }), candidates)))).to.be.below(0.05)
  })

  it('leaves pauses of allowed length at two thirds of what engines can read', async () => {
    // Pattern: high load; prompts follow each other without a break, so that each event of each stream waits for several of them.
    for (const tokensPerEvent of [2, 3, 4]) {
      expect(await lateShare(15, (desk, promptTokens, candidates) => idOf(desk.choose(ask({ promptTokens }), candidates)), { tokensPerEvent })).to.be.below(0.02)
    }
  })

  it('lets a large prompt in although small ones come all the time', async () => {
    // Pattern: small prompts fill each turn before a large one fits.
    const clock = new VirtualClock(1000)
    const desk = new Dispatcher(clock)
    let servedAtMs: number | undefined
    for (let nowMs = 0; nowMs < 3000 && servedAtMs === undefined; nowMs += 10) {
      desk.choose(ask({ promptTokens: 300 }), [candidate('a', { slots: 1000 })])
      if (idOf(desk.choose(ask({ promptTokens: 4000 }), [candidate('a', { slots: 1000 })]))) servedAtMs = nowMs
      await clock.advance(10)
    }
    expect(servedAtMs).to.be.below(1000)
  })

  it('lets those that can be in time go before those that cannot', async () => {
    // Pattern: more comes than engines take for some seconds, and the late are many.
    const clock = new VirtualClock(1000)
    const desk = new Dispatcher(clock)
    desk.choose(ask({ promptTokens: 2500 }), [candidate('a')])
    expect([true, false].map(isLate => idOf(desk.choose(ask({ isLate, promptTokens: 10 }), [candidate('a')])))).to.deep.equal([undefined, 'a'])
  })

  it('does not send a herd to one engine between two reports', () => {
    const desk = new Dispatcher(new VirtualClock(1000))
    const chosen = Array.from({ length: 30 }, () => idOf(desk.choose(ask({ promptTokens: 100 }), ['a', 'b', 'c'].map(id => candidate(id)))))
    expect(['a', 'b', 'c'].map(id => chosen.filter(one => one === id).length)).to.deep.equal([10, 10, 10])
  })

  it('lets prompts wait at the nodes rather than at an engine with unread ones', async () => {
    // Pattern: demand rises for a model with one copy, and its prompts make all streams of the engine late.
    const clock = new VirtualClock(1000)
    const desk = new Dispatcher(clock)
    expect(idOf(desk.choose(ask({ promptTokens: 4000 }), [candidate('a')]))).to.equal('a')
    const wait = desk.choose(ask(), [candidate('a')])
    expect(wait?.kind).to.equal('wait')
    await clock.advance(wait?.kind === 'wait' ? wait.forMs : 0)
    expect(idOf(desk.choose(ask(), [candidate('a')]))).to.equal('a')
  })

  it('lets the urgent in before the others', async () => {
    const clock = new VirtualClock(1000)
    const desk = new Dispatcher(clock)
    desk.choose(ask({ promptTokens: 3500 }), [candidate('a')])
    expect([2, 1, 0].map(rank => idOf(desk.choose(ask({ rank, promptTokens: 1 }), [candidate('a')])))).to.deep.equal([undefined, 'a', 'a'])
  })

  it('serves at least twice as many in time where far more comes than the engines can serve', async () => {
    // Pattern: a burst; without a limit all streams are late, with it the refused come back later.
    const served = await inTimeShare(20, (desk, promptTokens, candidates) => idOf(desk.choose(ask({ promptTokens }), candidates)))
    const unlimited = await inTimeShare(20, (_desk, _tokens, candidates) => candidates.reduce((least, one) => one.running < least.running ? one : least).id)
    expect(served).to.be.above(2 * unlimited)
  })

  it('prefers the engine that keeps the shared part of the prompt, until others are freer', async () => {
    const desk = new Dispatcher(new VirtualClock(1000))
    const shared = ask({ sharedParts: [{ id: 'p', tokens: 1000 }] })
    desk.choose(shared, [candidate('b')])
    expect(idOf(desk.choose(ask({ ...shared, promptTokens: 4000 }), [candidate('a'), candidate('b')]))).to.equal('a')
    const later = new VirtualClock(1000)
    const fresh = new Dispatcher(later)
    fresh.choose(shared, [candidate('b')])
    await later.advance(1000)
    expect(idOf(fresh.choose(shared, [candidate('a'), candidate('b')]))).to.equal('b')
    // A part counts only after all parts before it.
    expect(idOf(fresh.choose(ask({ sharedParts: [{ id: 'x', tokens: 10 }, ...shared.sharedParts] }), [candidate('a'), candidate('b', { running: 1 })]))).to.equal('a')
  })

  it('stays in the region until the engines there are busy', () => {
    const desk = new Dispatcher(new VirtualClock(1000))
    const candidates = [candidate('far', { region: 'other' }), candidate('near')]
    expect(idOf(desk.choose(ask({ promptTokens: 400 }), candidates))).to.equal('near')
    const next = Array.from({ length: 5 }, () => idOf(desk.choose(ask({ promptTokens: 400 }), candidates)))
    expect(next[0]).to.equal('near')
    expect(next).to.include('far')
  })

  it('avoids servers that fail for many nodes, and returns to them', async () => {
    // Pattern: an engine that fails part of its requests while its health check is good; each node alone sees few of them.
    const clock = new VirtualClock(1000)
    const desk = new Dispatcher(clock)
    for (let node = 0; node < 10; node++) desk.onOutcomes('a', 1, 1)
    for (let count = 0; count < 5; count++) expect(idOf(desk.choose(ask({ promptTokens: 100 }), [candidate('a'), candidate('b')]))).to.equal('b')
    await clock.advance(30_000)
    expect(idOf(desk.choose(ask(), [candidate('a'), candidate('b', { running: 4 })]))).to.equal('a')
  })

  it('says nothing of requests for which it reaches no engine', () => {
    // Pattern: the leader is cut off from an engine that the other nodes reach; they must not wait for it.
    const desk = new Dispatcher(new VirtualClock(1000))
    expect(desk.choose(ask(), [])).to.equal(undefined)
    expect(desk.choose(ask({ excluded: ['a'] }), [candidate('a')])).to.equal(undefined)
  })

  it('names no engine where all are full', () => {
    const desk = new Dispatcher(new VirtualClock(1000))
    expect(idOf(desk.choose(ask(), [candidate('a', { running: 32 })]))).to.equal(undefined)
    expect(desk.choose(ask(), [candidate('a', { running: 32 })])?.kind).to.equal('wait')
  })
})
