import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import type { Clock } from '../src/base/clock.js'
import { Dispatcher } from '../src/policy/dispatcher.js'
import type { DispatchDecision, DispatchRequest } from '../src/policy/dispatcher.js'
import { SlotQueue } from '../src/policy/slotQueue.js'
import type { QueuePlace, SlotAnswer } from '../src/policy/slotQueue.js'
import { TokenLedger } from '../src/policy/tokenLedger.js'

type Changes = Partial<Pick<DispatchRequest, 'model' | 'rank' | 'excluded' | 'outputTokens'> & QueuePlace>

/** A queue in front of one engine per model, whose free slots the test sets. */
class World {
  free: Record<string, number> = {}
  readonly served: string[] = []
  readonly answers = new Map<string, SlotAnswer>()
  decisions = 0
  soonestMs = 0
  decide = (request: DispatchRequest, _reservedEngine?: string): DispatchDecision | undefined => {
    this.decisions++
    const free = this.free[request.model] ?? 0
    if (free === 0) return { kind: 'wait', forMs: 40 }
    this.free[request.model] = free - 1
    return { kind: 'engine', id: `e-${request.model}` }
  }

  readonly queue: SlotQueue

  constructor (readonly clock: Clock = new VirtualClock(1000)) {
    this.queue = new SlotQueue({ clock, decide: (request, reservedEngine) => this.decide(request, reservedEngine), soonestMs: () => this.soonestMs, onReturned: ({ model }) => { this.free[model] = (this.free[model] ?? 0) + 1 } })
  }

  submit (id: string, { model = 'm', rank = 0, excluded = [], account = 'a', costTokens = 100, leftMs = 60_000, inTimeMs = 50_000, hasBegun = false, outputTokens = 0, answerLeftMs }: Changes = {}): boolean {
    const dispatch: DispatchRequest = { service: 's', model, adapter: undefined, promptTokens: 10, outputTokens, sharedParts: [], rank, region: 'r', availabilityZone: 'z', excluded, gapObjectiveMs: 300, isFirst: true, isLate: false }
    return this.queue.submit({
      id,
      dispatch,
      place: { account, costTokens, leftMs, inTimeMs, hasBegun, answerLeftMs },
      onAnswer: answer => {
        this.answers.set(id, answer)
        if (answer.kind === 'engine') this.served.push(id)
      }
    })
  }

  pass (free: number, model = 'm'): void {
    this.free[model] = free
    this.queue.pass()
  }
}

describe('queue for slots', () => {
  // Guards against bursts in which requests are lost, assigned twice, or overtaken by later ones.
  it('serves a burst of one rank in order', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    const ids = Array.from({ length: 300 }, (_, index) => `r${index}`)
    for (const id of ids) expect(world.submit(id)).to.equal(true)
    for (let round = 0; round < 100; round++) {
      world.free.m = 3
      await clock.advance(20)
    }
    expect(world.served).to.deep.equal(ids)
    expect(world.queue.size).to.equal(0)
  })

  // Guards against accounts that get less than a quarter of the mean share while an account of a more urgent rank floods all slots.
  it('serves small accounts of a less urgent rank during a flood', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    const submitted = { flood: 0, small: 0 }
    const accountOf = (id: string) => id.startsWith('flood') ? 'flood' : 'small'
    for (let round = 0; round < 1000; round++) {
      for (let index = 0; index < 10; index++) world.submit(`flood${submitted.flood++}`, { account: 'flood', inTimeMs: 300, leftMs: 2000 })
      if (round % 2 === 0) world.submit(`small${submitted.small++}`, { account: `small${round % 6}`, rank: 2, inTimeMs: 300, leftMs: 2000 })
      world.free.m = 2
      await clock.advance(20)
    }
    const served = { flood: 0, small: 0 }
    for (const id of world.served) served[accountOf(id)]++
    const shareOfAll = world.served.length / (submitted.flood + submitted.small)
    expect(served.small / submitted.small).to.be.above(shareOfAll / 4)
    expect(served.flood).to.be.above(served.small)
  })

  // Guards against a flooding account that delays the other accounts of its rank.
  it('shares the slots of a rank between its accounts', () => {
    const world = new World()
    for (let index = 0; index < 100; index++) world.submit(`flood${index}`, { account: 'flood' })
    for (let index = 0; index < 10; index++) world.submit(`small${index}`, { account: 'small' })
    world.pass(20)
    expect(world.served.filter(id => id.startsWith('small'))).to.have.length(10)
  })

  // Guards against requests that miss their objective because a late one, whose objective is missed anyway, goes first.
  it('serves late requests behind those still in time, and begun answers first', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    world.submit('late', { inTimeMs: 100, leftMs: 2000 })
    await clock.advance(200)
    world.submit('in time', { rank: 3 })
    world.submit('begun', { rank: 3, inTimeMs: -500, hasBegun: true })
    world.pass(3)
    expect(world.served).to.deep.equal(['begun', 'in time', 'late'])
  })

  // Guards against slots that stay empty because they were assigned to requests that no longer exist.
  it('drops cancelled requests and gives returned assignments to the next', () => {
    const world = new World()
    for (const id of ['a', 'b', 'c']) world.submit(id)
    expect(world.queue.cancel('a')).to.equal(false)
    world.pass(1)
    expect(world.queue.cancel('b')).to.equal(true)
    expect(world.queue.cancel('b')).to.equal(false)
    world.queue.pass()
    expect(world.served).to.deep.equal(['b', 'c'])
  })

  // Guards against engines that look full, or free, because an assignment is counted twice or not at all.
  it('counts assignments until their attempts end', () => {
    const world = new World()
    for (const id of ['1/1', '1/2', '2/1', '2/2']) world.submit(id)
    world.pass(4)
    expect(world.queue.assignedTo('e-m')).to.equal(4)
    world.queue.end('1/1')
    world.queue.end('1/1')
    world.queue.cancel('1/2')
    expect(world.queue.assignedTo('e-m')).to.equal(2)
    world.queue.drop(id => id.startsWith('2/'))
    expect(world.queue.assignedTo('e-m')).to.equal(0)
  })

  // Guards against a node whose connection closed and whose requests still take slots.
  it('drops the requests of a closed connection', () => {
    const world = new World()
    for (const id of ['1/1', '1/2', '12/1']) world.submit(id)
    world.queue.drop(id => id.startsWith('1/'))
    world.pass(3)
    expect(world.served).to.deep.equal(['12/1'])
  })

  // Guards against one full model, or one request that may not go to a free engine, that holds up the others.
  it('passes over models and requests without a place', () => {
    const world = new World()
    const { decide } = world
    world.decide = request => request.excluded.length > 0 ? { kind: 'wait', forMs: 40 } : decide(request)
    world.submit('bound', { excluded: ['e-m'] })
    for (let index = 0; index < 400; index++) world.submit(`full${index}`, { model: 'full', account: `a${index % 40}`, rank: index % 3 })
    world.submit('other')
    world.decisions = 0
    world.pass(1)
    expect(world.served).to.deep.equal(['other'])
    expect(world.decisions).to.be.at.most(4)
  })

  // Guards against a request that does not fit into the engines' token memory and holds up smaller ones, or never gets a place beside them.
  it('lets smaller requests pass a large one, and reserves an engine for it after a while', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    const tokens = new TokenLedger(clock)
    const dispatcher = new Dispatcher(clock, { tokens })
    world.decide = (request, reservedEngine) => dispatcher.choose(request, ['a', 'b'].filter(id => id !== reservedEngine).map(id => (
      { id, region: 'r', availabilityZone: 'z', slots: 40, running: 0, isExact: true, cacheTokens: 10_000 }
    )))
    const held: { endsAtMs: number, assignment: number }[] = []
    let servedAtMs = 0
    const smallWaits: number[] = []
    for (let round = 0; round < 100; round++) {
      const number = `small${round}`
      world.submit(number, { outputTokens: 1000, leftMs: 2000 })
      if (round === 40) world.submit('large', { outputTokens: 8000, leftMs: 1500 })
      await clock.advance(20)
      for (const [id, answer] of world.answers) {
        if (answer.kind !== 'engine') continue
        world.answers.delete(id)
        if (id === 'large') servedAtMs = clock.nowMs()
        else smallWaits.push(round - Number(id.slice(5)))
        held.push({ endsAtMs: clock.nowMs() + 300, assignment: answer.assignment! })
      }
      for (const ended of held.filter(({ endsAtMs }) => endsAtMs <= clock.nowMs())) tokens.release(ended.assignment)
    }
    expect(servedAtMs).to.be.within(1800 + 300, 1800 + 1000)
    expect(smallWaits.filter(rounds => rounds > 0).length).to.be.below(50)
    expect(smallWaits.slice(40, 54)).to.deep.equal(Array.from({ length: 14 }, () => 0))
  })

  // Guards against accounts that get more than their share, since large requests with an engine reserved for them cost nothing.
  it('charges an account for a request that is served out of order', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    const { decide } = world
    let hasTokens = false
    world.decide = request => request.outputTokens === 0 || hasTokens ? decide(request) : { kind: 'wait', forMs: 40, lacksTokensAt: 'e-m' }
    world.submit('large', { outputTokens: 8000, costTokens: 8000 })
    await clock.advance(400)
    hasTokens = true
    world.pass(1)
    world.submit('same account')
    world.submit('other account', { account: 'b' })
    world.pass(2)
    expect(world.served).to.deep.equal(['large', 'other account', 'same account'])
  })

  // Guards against a leader that does not answer because it searches a long queue, and against models that it never reaches.
  it('bounds a pass and goes on where it stopped', () => {
    let nowMs = 1000
    const world = new World({ nowMs: () => nowMs, setTimer: () => () => {} })
    for (let index = 0; index < 50; index++) world.submit(`r${index}`, { model: `m${index}` })
    const { decide } = world
    world.decide = request => {
      nowMs++
      return decide(request)
    }
    world.free.m49 = 1
    for (let pass = 0; pass < 10 && world.served.length === 0; pass++) {
      const startedAtMs = nowMs
      world.queue.pass()
      expect(nowMs - startedAtMs).to.be.at.most(6)
    }
    expect(world.served).to.deep.equal(['r49'])
  })

  // Guards against requests under suspicion that block their model, or are not tried again.
  it('lets requests that wait for a trial wait apart', () => {
    const world = new World()
    const { decide } = world
    let isTrialFree = false
    world.decide = request => request.rank === 1 && !isTrialFree ? { kind: 'wait', forMs: 50, isForTrial: true } : decide(request)
    world.submit('suspect', { rank: 1 })
    world.submit('behind', { rank: 2 })
    world.pass(2)
    expect(world.served).to.deep.equal(['behind'])
    isTrialFree = true
    world.queue.pass()
    expect(world.served).to.deep.equal(['behind', 'suspect'])
  })

  // Guards against callers who wait until their patience ends for a slot that cannot become free in time, and against refusals below that.
  it('refuses at once only what clearly cannot be served in time', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    for (let index = 0; index < 600; index++) world.submit(`r${index}`, { leftMs: 10_000 })
    expect(world.submit('unknown rate', { leftMs: 10_000 })).to.equal(true)
    for (let round = 0; round < 100; round++) {
      world.free.m = round % 2
      await clock.advance(20)
    }
    // 25 requests a second, and about 550 are ahead of the deadline in 9 s.
    expect(world.submit('hopeless', { leftMs: 9000 })).to.equal(false)
    expect(world.answers.get('hopeless')).to.include({ kind: 'refused' })
    expect(world.submit('patient', { leftMs: 60_000 })).to.equal(true)
    expect(world.submit('first by deadline', { leftMs: 3000 })).to.equal(true)
    expect(world.submit('other account', { account: 'b', leftMs: 9000 })).to.equal(true)
  })

  // Guards against requests that wait until their patience ends for a turn that comes too late, and against slots that stay empty since requests that would have got them were refused.
  for (const costs of [[100], [50, 100, 2000]]) {
    it(`refuses waiting requests once they clearly cannot be served in time, with ${costs.length} accounts`, async () => {
      const clock = new VirtualClock(1000)
      const world = new World(clock)
      const costOf = (index: number) => costs[index % costs.length]!
      for (let index = 0; index < 400; index++) expect(world.submit(`r${index}`, { account: `a${costOf(index)}`, costTokens: costOf(index), leftMs: 4000 + index, inTimeMs: 2000 + index })).to.equal(true)
      const refusedAtMs: number[] = []
      let slots = 0
      for (let round = 0; round < 200; round++) {
        // The rate rises by 40% after a while.
        world.free.m = round < 60 ? round % 2 : [0, 1, 1, 0, 1, 1, 1, 0, 1, 1][round % 10]!
        slots += world.free.m
        await clock.advance(20)
        for (const [id, { kind }] of world.answers) {
          if (kind === 'refused') refusedAtMs.push(clock.nowMs() - 1000)
          world.answers.delete(id)
        }
      }
      expect(world.served).to.have.length(slots)
      expect(refusedAtMs.filter(atMs => atMs <= 1500).length).to.be.above(200)
    })
  }

  // Guards against requests that wait for a model that no engine can have in time, and against refusals while engines are absent only for a moment.
  it('refuses requests whose model cannot be loaded in time', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    world.submit('short', { leftMs: 2000 })
    world.submit('long', { leftMs: 8000 })
    world.soonestMs = 4000
    await clock.advance(400)
    world.soonestMs = 0
    await clock.advance(400)
    expect(world.answers.size).to.equal(0)
    world.soonestMs = 4000
    await clock.advance(800)
    expect([...world.answers]).to.deep.equal([['short', { kind: 'refused', retryAfterMs: 4000 }]])
  })

  // Guards against begun answers that break off while an engine may still come back, and against a wrong reason for a request that comes too late.
  it('refuses neither begun answers nor late requests for want of an engine', async () => {
    const clock = new VirtualClock(1000)
    const reasons: [string, string][] = []
    let soonestMs = 4000
    const queue = new SlotQueue({ clock, decide: () => ({ kind: 'wait', forMs: 40 }), soonestMs: () => soonestMs, onReturned: () => {}, onRefused: (reason, { id }) => { reasons.push([id, reason]) } })
    const dispatch: DispatchRequest = { service: 's', model: 'm', adapter: undefined, promptTokens: 10, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], gapObjectiveMs: 300, isFirst: true, isLate: false }
    const submit = (id: string, hasBegun: boolean, leftMs: number) => queue.submit({ id, dispatch: { ...dispatch }, place: { account: 'a', costTokens: 1, leftMs, inTimeMs: 100, hasBegun }, onAnswer: () => {} })
    submit('begun', true, 3000)
    submit('other', false, 3000)
    await clock.advance(1000)
    soonestMs = 0
    await clock.advance(200)
    submit('late', false, -400)
    await clock.advance(3000)
    expect(reasons).to.deep.equal([['other', 'no-engine'], ['late', 'hopeless'], ['begun', 'expired']])
  })

  // Guards against slots for requests whose answers cannot be complete by their deadline, and against refusals on the word of attempts that ended early.
  it('refuses requests that take longer than the time left', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    for (const durationMs of [100, 1000]) {
      for (let round = 0; round < 10; round++) {
        const ids = [0, 1, 2, 3].map(index => `${durationMs} ${round} ${index}`)
        world.free.m = ids.length
        for (const id of ids) expect(world.submit(id, { outputTokens: 100 })).to.equal(false)
        await clock.advance(durationMs)
        for (const id of ids) world.queue.end(id)
      }
      const waiting = { long: { outputTokens: 400 }, short: { outputTokens: 100 }, begun: { outputTokens: 400, hasBegun: true } }
      for (const [name, changes] of Object.entries(waiting)) world.submit(`${name} ${durationMs}`, { ...changes, answerLeftMs: 3000 })
      await clock.advance(500)
      for (const name of Object.keys(waiting)) world.queue.cancel(`${name} ${durationMs}`)
    }
    const refused = [...world.answers].filter(([, { kind }]) => kind === 'refused').map(([id]) => id)
    expect(refused).to.deep.equal(['long 1000'])
  })

  // Guards against long requests that are refused because short ones, whose time is mostly a fixed cost, take longer per token.
  it('does not judge long requests by short ones', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    const ids = Array.from({ length: 40 }, (_, index) => `short${index}`)
    world.free.m = ids.length
    for (const id of ids) world.submit(id, { outputTokens: 8 })
    await clock.advance(400)
    for (const id of ids) world.queue.end(id)
    world.submit('long', { outputTokens: 400, answerLeftMs: 8000 })
    world.submit('short', { outputTokens: 8, answerLeftMs: 200 })
    await clock.advance(500)
    expect([...world.answers].filter(([, { kind }]) => kind === 'refused').map(([id]) => id)).to.deep.equal(['short'])
    world.queue.stop()
  })

  // Guards against a leader with little processor time that only searches its queue, while reports and answers wait.
  it('rests after long passes', async () => {
    const clock = new VirtualClock(1000)
    let spentMs = 0
    const world = new World({ nowMs: () => clock.nowMs() + spentMs, setTimer: (delayMs, callback) => clock.setTimer(delayMs, callback) })
    for (let index = 0; index < 50; index++) world.submit(`r${index}`, { model: `m${index}` })
    world.decide = () => {
      spentMs += 0.5
      return { kind: 'wait', forMs: 40 }
    }
    const startMs = clock.nowMs()
    for (let ms = 0; ms < 1000; ms++) {
      await clock.advance(1)
      world.queue.onCapacity()
    }
    expect(spentMs / (clock.nowMs() + spentMs - startMs)).to.be.within(0.04, 0.1)
    world.queue.stop()
  })

  // Guards against requests that wait in vain until their patience ends because the search takes up the time of each pass.
  it('checks waiting requests in time when passes are long', async () => {
    const clock = new VirtualClock(1000)
    let spentMs = 0
    const world = new World({ nowMs: () => clock.nowMs() + spentMs, setTimer: (delayMs, callback) => clock.setTimer(delayMs, callback) })
    world.soonestMs = 20_000
    for (let index = 0; index < 300; index++) world.submit(`r${index}`, { model: `m${index % 50}`, leftMs: 10_000 })
    world.decide = () => {
      spentMs += 0.5
      return { kind: 'wait', forMs: 40 }
    }
    await clock.advance(2000)
    expect([...world.answers.values()].filter(({ kind }) => kind === 'refused')).to.have.length(300)
  })

  // Guards against freed slots that stay empty until the next regular pass, and against a leader that does nothing but search its queue.
  it('passes soon after slots are freed, however many are', async () => {
    const clock = new VirtualClock(1000)
    const world = new World(clock)
    world.submit('a')
    await clock.advance(1000)
    world.decisions = 0
    for (let ms = 0; ms < 200; ms++) {
      await clock.advance(1)
      world.queue.onCapacity()
      world.queue.onCapacity()
    }
    expect(world.decisions).to.be.within(15, 21)
    await clock.advance(6)
    world.free.m = 1
    world.queue.onCapacity()
    await clock.advance(10)
    expect(world.served).to.deep.equal(['a'])
  })

  // Guards against requests that wait for a leader that no longer leads.
  it('answers waiting requests when the leader stops', () => {
    const world = new World()
    world.submit('a')
    world.queue.stop()
    expect(world.answers.get('a')).to.deep.equal({ kind: 'lost' })
  })
})
