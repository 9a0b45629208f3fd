import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { SeededRandom } from '../src/base/random.js'
import { Dispatcher } from '../src/policy/dispatcher.js'
import type { DispatchRequest, DispatchCandidate, DispatchDecision } from '../src/policy/dispatcher.js'

function createRequest (changes: Partial<DispatchRequest> = {}): DispatchRequest {
  return { service: 's', model: 'm', adapter: undefined, promptTokens: 1400, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], isFirst: true, isLate: false, gapObjectiveMs: 300, ...changes }
}

function candidate (id: string, changes: Partial<DispatchCandidate> = {}): DispatchCandidate {
  return { id, region: 'r', availabilityZone: 'z', slots: 32, running: 0, ...changes }
}

function idOf (decision: DispatchDecision | undefined): string | undefined {
  return decision?.kind === 'engine' ? decision.id : undefined
}

/** An engine that interleaves chunked prefill with decoding. */
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
    let freeTokens = 2048
    const started: number[] = []
    while (this.prompts.length > 0 && freeTokens > 0) {
      const prefilled = Math.min(freeTokens, this.prompts[0]!.tokens)
      this.prompts[0]!.tokens -= prefilled
      freeTokens -= prefilled
      if (this.prompts[0]!.tokens === 0) started.push(this.prompts.shift()!.events)
    }
    this.nowMs += 10.1 + 0.03 * this.streams.length + (2048 - freeTokens) / 20.4
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
    for (const events of started) this.streams.push({ steps: 0, left: events, lastMs: this.nowMs, isLate: false })
  }
}

interface Shares {
  /** Share of the completed streams that were late. */
  late: number
  /** Share of all arrived requests that completed in time. */
  inTime: number
}

/** Runs `ratePerSecond` prompts per engine on six engines. A stream with a gap over 300 ms is late. Requests without an engine are refused. */
async function simulate (
  ratePerSecond: number, choose: (dispatcher: Dispatcher, promptTokens: number, candidates: DispatchCandidate[], random: SeededRandom) => string | undefined, { tokensPerEvent = 3 } = {}
): Promise<Shares> {
  const clock = new VirtualClock(0)
  const random = new SeededRandom(5)
  const dispatcher = new Dispatcher(clock)
  const engines = new Map(Array.from({ length: 6 }, (_, index) => [`e${index}`, new BatchingEngine()]))
  const tickMs = 5
  const reportMs = 250
  for (const engine of engines.values()) engine.tokensPerEvent = tokensPerEvent
  let running = new Map<string, number>()
  let arrived = 0
  for (let nowMs = 0; nowMs < 60_000; nowMs += tickMs) {
    await clock.advance(tickMs)
    for (const engine of engines.values()) engine.advance(nowMs)
    if (nowMs % reportMs === 0) running = new Map([...engines].map(([id, engine]) => [id, engine.running]))
    if (random.next() >= ratePerSecond * 6 * tickMs / 1000) continue
    const tokens = Math.round(300 + random.next() * 1200)
    const id = choose(dispatcher, tokens, [...engines.keys()].map(id => candidate(id, { slots: 64, running: running.get(id)! })), random)
    arrived++
    if (id !== undefined) engines.get(id)!.add(tokens, 10 + Math.floor(random.next() * 90))
  }
  const sum = (of: (engine: BatchingEngine) => number) => [...engines.values()].reduce((total, engine) => total + of(engine), 0)
  return { late: sum(({ late }) => late) / sum(({ ended }) => ended), inTime: sum(({ late, ended }) => ended - late) / arrived }
}

const lateShare = async (...args: Parameters<typeof simulate>) => (await simulate(...args)).late
const inTimeShare = async (...args: Parameters<typeof simulate>) => (await simulate(...args)).inTime

describe('dispatcher', () => {
  it('keeps 95 of 100 streams free of long gaps when prompts arrive at random', async () => {
    // Failure: many nodes send prompts to one engine, and their prefill stalls all of its streams.
    expect(await lateShare(11, (_dispatcher, _tokens, candidates, random) => candidates[Math.floor(random.next() * candidates.length)]!.id)).to.be.above(0.05)
    expect(await lateShare(11, (dispatcher, promptTokens, candidates) => idOf(dispatcher.choose(createRequest({ promptTokens }), candidates)))).to.be.below(0.05)
  })

  it('keeps gaps within the limit at two thirds of the prefill capacity', async () => {
    // Failure: under high load, prompts arrive back to back, and every stream event waits for the prefill of several.
    for (const tokensPerEvent of [2, 3, 4]) {
      expect(await lateShare(15, (dispatcher, promptTokens, candidates) => idOf(dispatcher.choose(createRequest({ promptTokens }), candidates)), { tokensPerEvent })).to.be.below(0.02)
    }
  })

  it('does not starve a large prompt under constant small ones', async () => {
    // Failure: small prompts use part of every prefill batch, so a large one never fits.
    const clock = new VirtualClock(1000)
    const dispatcher = new Dispatcher(clock)
    let servedAtMs: number | undefined
    for (let nowMs = 0; nowMs < 3000 && servedAtMs === undefined; nowMs += 10) {
      dispatcher.choose(createRequest({ promptTokens: 300 }), [candidate('a', { slots: 1000 })])
      if (idOf(dispatcher.choose(createRequest({ promptTokens: 4000 }), [candidate('a', { slots: 1000 })]))) servedAtMs = nowMs
      await clock.advance(10)
    }
    expect(servedAtMs).to.be.below(1000)
  })

  it('prefers requests that can still be in time to late ones', async () => {
    // Failure: after some seconds of overload, the many late requests delay those that could still be in time.
    const clock = new VirtualClock(1000)
    const dispatcher = new Dispatcher(clock)
    dispatcher.choose(createRequest({ promptTokens: 2500 }), [candidate('a')])
    expect([true, false].map(isLate => idOf(dispatcher.choose(createRequest({ isLate, promptTokens: 10 }), [candidate('a')])))).to.deep.equal([undefined, 'a'])
  })

  it('spreads requests between two load reports', () => {
    const dispatcher = new Dispatcher(new VirtualClock(1000))
    const chosen = Array.from({ length: 30 }, () => idOf(dispatcher.choose(createRequest({ promptTokens: 100 }), ['a', 'b', 'c'].map(id => candidate(id)))))
    expect(['a', 'b', 'c'].map(id => chosen.filter(one => one === id).length)).to.deep.equal([10, 10, 10])
  })

  it('makes prompts wait at the nodes instead of at an engine with a prefill backlog', async () => {
    // Failure: demand rises for a model with one replica, and prefill of its prompts makes all streams of the engine late.
    const clock = new VirtualClock(1000)
    const dispatcher = new Dispatcher(clock)
    expect(idOf(dispatcher.choose(createRequest({ promptTokens: 4000 }), [candidate('a')]))).to.equal('a')
    const wait = dispatcher.choose(createRequest(), [candidate('a')])
    expect(wait?.kind).to.equal('wait')
    await clock.advance(wait?.kind === 'wait' ? wait.forMs : 0)
    expect(idOf(dispatcher.choose(createRequest(), [candidate('a')]))).to.equal('a')
  })

  it('counts no backlog that is given back, or at an engine without requests', async () => {
    // Guards against requests that wait for prompts which were rejected, were never sent, or were lost with the node that sent them.
    const clock = new VirtualClock(1000)
    const dispatcher = new Dispatcher(clock)
    const large = createRequest({ promptTokens: 80_000, sharedParts: [{ id: 'p', tokens: 1000 }] })
    const small = createRequest({ sharedParts: [{ id: 'p', tokens: 1000 }] })
    const waitMs = () => {
      const decision = dispatcher.choose(small, [candidate('a', { running: 1 })])
      return decision?.kind === 'wait' ? Math.round(decision.forMs) : undefined
    }
    expect(dispatcher.choose(large, [candidate('a')])).to.deep.equal({ kind: 'engine', id: 'a' })
    await clock.advance(1500)
    expect(waitMs()).to.equal(2560)
    dispatcher.returnAssignment(large, 'a')
    expect(dispatcher.minimumPrefillMs(small, [candidate('a')])).to.equal(70)
    expect(waitMs()).to.equal(undefined)

    await clock.advance(1000)
    dispatcher.choose({ ...large }, [candidate('a')])
    await clock.advance(1500)
    expect(waitMs()).to.equal(2510)
    expect(dispatcher.choose(small, [candidate('a')])).to.deep.equal({ kind: 'engine', id: 'a' })
  })

  it('prefers urgent ranks', async () => {
    const clock = new VirtualClock(1000)
    const dispatcher = new Dispatcher(clock)
    dispatcher.choose(createRequest({ promptTokens: 3500 }), [candidate('a')])
    expect([2, 1, 0].map(rank => idOf(dispatcher.choose(createRequest({ rank, promptTokens: 1 }), [candidate('a')])))).to.deep.equal([undefined, 'a', 'a'])
  })

  it('serves at least twice as many requests in time under heavy overload', async () => {
    // Failure: in a burst without a limit, all streams are late. With the limit, the refused requests retry later.
    const served = await inTimeShare(20, (dispatcher, promptTokens, candidates) => idOf(dispatcher.choose(createRequest({ promptTokens }), candidates)))
    const unlimited = await inTimeShare(20, (_dispatcher, _tokens, candidates) => candidates.reduce((least, one) => one.running < least.running ? one : least).id)
    expect(served).to.be.above(2 * unlimited)
  })

  it('prefers the engine that caches the shared prompt part unless others are less loaded', async () => {
    const dispatcher = new Dispatcher(new VirtualClock(1000))
    const shared = createRequest({ sharedParts: [{ id: 'p', tokens: 1000 }] })
    dispatcher.choose(shared, [candidate('b')])
    expect(idOf(dispatcher.choose(createRequest({ ...shared, promptTokens: 4000 }), [candidate('a'), candidate('b')]))).to.equal('a')
    const later = new VirtualClock(1000)
    const fresh = new Dispatcher(later)
    fresh.choose(shared, [candidate('b')])
    await later.advance(1000)
    expect(idOf(fresh.choose(shared, [candidate('a'), candidate('b')]))).to.equal('b')
    // A cached part counts only if all preceding parts are cached.
    expect(idOf(fresh.choose(createRequest({ sharedParts: [{ id: 'x', tokens: 10 }, ...shared.sharedParts] }), [candidate('a'), candidate('b', { running: 1 })]))).to.equal('a')
  })

  it('prefers its region until the engines there are busy', () => {
    const dispatcher = new Dispatcher(new VirtualClock(1000))
    const candidates = [candidate('far', { region: 'other' }), candidate('near')]
    expect(idOf(dispatcher.choose(createRequest({ promptTokens: 400 }), candidates))).to.equal('near')
    const next = Array.from({ length: 5 }, () => idOf(dispatcher.choose(createRequest({ promptTokens: 400 }), candidates)))
    expect(next[0]).to.equal('near')
    expect(next).to.include('far')
  })

  it('avoids servers that fail for many nodes, until they recover', async () => {
    // Failure: an engine fails some of its requests but passes health checks, and each node sees only a few of the failures.
    const clock = new VirtualClock(1000)
    const dispatcher = new Dispatcher(clock)
    for (let node = 0; node < 10; node++) dispatcher.onOutcomes('a', 1, 1)
    for (let count = 0; count < 5; count++) expect(idOf(dispatcher.choose(createRequest({ promptTokens: 100 }), [candidate('a'), candidate('b')]))).to.equal('b')
    await clock.advance(30_000)
    expect(idOf(dispatcher.choose(createRequest(), [candidate('a'), candidate('b', { running: 4 })]))).to.equal('a')
  })

  it('makes no decision without an allowed candidate', () => {
    // Failure: the leader cannot reach an engine that other nodes reach, and these wait for the leader instead of using it.
    const dispatcher = new Dispatcher(new VirtualClock(1000))
    expect(dispatcher.choose(createRequest(), [])).to.equal(undefined)
    expect(dispatcher.choose(createRequest({ excluded: ['a'] }), [candidate('a')])).to.equal(undefined)
  })

  it('returns a wait when all engines are full', () => {
    const dispatcher = new Dispatcher(new VirtualClock(1000))
    expect(idOf(dispatcher.choose(createRequest(), [candidate('a', { running: 32 })]))).to.equal(undefined)
    expect(dispatcher.choose(createRequest(), [candidate('a', { running: 32 })])?.kind).to.equal('wait')
  })
})
