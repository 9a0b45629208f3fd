import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { Admission } from '../src/policy/admission.js'
import { ranks } from '../src/config/fleetConfig.js'
import type { Rank } from '../src/config/fleetConfig.js'
import { RequestQueue } from '../src/policy/queue.js'
import type { QueueItem } from '../src/policy/queue.js'
import { testConfig, createEngine, createItem } from './fixtures/policy.js'

function setUp () {
  const clock = new VirtualClock()
  const queue = new RequestQueue<QueueItem<Rank>>({ clock, ranks, shareOf: rank => testConfig.ranks[rank], yieldingRank: 'browsing' })
  return { clock, queue, admission: new Admission({ clock, config: () => testConfig }) }
}

describe('admission and queue', () => {
  it('serves the guaranteed share of each rank under urgent overload', async () => {
    // Guards against starvation of the least valuable rank while more urgent requests keep arriving.
    const { queue } = setUp()
    for (let index = 0; index < 400; index++) {
      for (const rank of ['urgent', 'live', 'browsing'] as const) {
        queue.recordDemand(rank)
        queue.add(createItem({ requestId: `${rank}${index}`, rank }))
      }
    }
    const served = { urgent: 0, live: 0, browsing: 0 }
    for (let index = 0; index < 100; index++) served[queue.next(() => true)!.rank]++
    expect(served.live).to.be.at.least(10)
    expect(served.browsing).to.be.at.least(3)
    expect(served.urgent).to.be.at.least(70)
  })

  it('does not let the guaranteed share of an overloading rank displace the urgent rank', async () => {
    // Guards against 10% of an overload of twenty times occupying the entire fleet.
    const { queue } = setUp()
    for (let index = 0; index < 1000; index++) queue.recordDemand('browsing')
    for (let index = 0; index < 100; index++) {
      queue.add(createItem({ requestId: `b${index}`, rank: 'browsing' }))
      queue.add(createItem({ requestId: `u${index}`, rank: 'urgent' }))
    }
    const served = Array.from({ length: 60 }, () => queue.next(() => true)!.rank)
    expect(served.filter(rank => rank === 'urgent').length).to.be.at.least(40)
  })

  it('gives a rank no guaranteed share against its own overload', () => {
    // Guards against 10% of a browsing overload going to full engines ahead of urgent requests.
    const { queue } = setUp()
    for (let index = 0; index < 10; index++) queue.recordDemand('urgent')
    for (let index = 0; index < 200; index++) queue.recordDemand('browsing')
    expect(queue.credit('browsing')).to.be.below(5)
  })

  it('shares a rank between customers by weight', async () => {
    // Guards against a customer with many requests delaying the others of its rank.
    const { queue } = setUp()
    for (let index = 0; index < 90; index++) queue.add(createItem({ requestId: `a${index}`, customer: 'flooding' }))
    for (let index = 0; index < 30; index++) queue.add(createItem({ requestId: `b${index}`, customer: 'quiet', customerWeight: 2 }))
    const first = Array.from({ length: 30 }, () => queue.next(() => true)!.customer)
    expect(first.filter(customer => customer === 'quiet').length).to.equal(20)
  })

  it('checks a blocked model once and still serves the others', () => {
    // Guards against a scan of all waiting requests of a model that no engine can serve.
    const { queue } = setUp()
    for (let index = 0; index < 50; index++) queue.add(createItem({ requestId: `a${index}`, customer: `c${index}`, model: 'blocked' }))
    queue.add(createItem({ requestId: 'open', customer: 'c50', model: 'open' }))
    let checks = 0
    const item = queue.next(({ model }) => {
      if (model === 'open') return true
      checks++
      return 'model-blocked'
    })
    expect(item?.requestId).to.equal('open')
    expect(checks).to.equal(1)
  })

  it('tries the next customer of a model after a rejected request', () => {
    // Guards against one request that failed on all engines blocking the other requests of its model.
    const { queue } = setUp()
    queue.add(createItem({ requestId: 'refused', customer: 'a' }))
    queue.add(createItem({ requestId: 'other', customer: 'b' }))
    expect(queue.next(({ requestId }) => requestId !== 'refused')?.requestId).to.equal('other')
  })

  it('orders a customer by deadline and returns expired items once', async () => {
    // Guards against requests that miss their deadline behind later ones, and against double removal.
    const { queue } = setUp()
    queue.add(createItem({ requestId: 'late', deadlineMs: 9000 }))
    queue.add(createItem({ requestId: 'soon', deadlineMs: 1000 }))
    queue.add(createItem({ requestId: 'next', deadlineMs: 2000 }))
    expect(queue.removeExpired(1000).map(item => item.requestId)).to.deep.equal(['soon'])
    expect(queue.remove('soon')).to.equal(undefined)
    expect(queue.next(() => true)!.requestId).to.equal('next')
    expect(queue.size()).to.equal(1)
  })

  it('serves requests past their target after those that can meet it', async () => {
    // Guards against every request being served just too late under overload.
    const { clock, queue } = setUp()
    queue.add(createItem({ requestId: 'past', targetAtMs: clock.nowMs() + 100, deadlineMs: clock.nowMs() + 5_000 }))
    await clock.runUntil(clock.nowMs() + 200)
    queue.add(createItem({ requestId: 'fresh', targetAtMs: clock.nowMs() + 100, deadlineMs: clock.nowMs() + 9_000 }))
    expect(queue.next(() => true)!.requestId).to.equal('fresh')
    expect(queue.next(() => true)!.late).to.equal(true)
  })

  it('serves late urgent and live requests before browsing', async () => {
    // Guards against late requests within their patience being served after all requests of a browsing overload.
    const { clock, queue } = setUp()
    queue.add(createItem({ requestId: 'browsing', rank: 'browsing' }))
    queue.add(createItem({ requestId: 'late live', rank: 'live', targetAtMs: 100 }))
    queue.add(createItem({ requestId: 'late urgent', rank: 'urgent', targetAtMs: 100 }))
    queue.add(createItem({ requestId: 'live', rank: 'live', targetAtMs: 1_000 }))
    await clock.advance(500)
    const served = Array.from({ length: 4 }, () => queue.next(() => true)!.requestId)
    expect(served).to.deep.equal(['live', 'late urgent', 'late live', 'browsing'])
  })

  it('refuses early with a realistic retry delay when the queue is too long', async () => {
    // Guards against admitting requests that only fail at their deadline.
    const { clock, queue, admission } = setUp()
    for (let index = 0; index < 10; index++) admission.onCompleted({ rank: 'live', model: 'a', serviceMs: 100, tokens: 10 })
    for (let index = 0; index < 200; index++) queue.add(createItem({ requestId: `w${index}`, deadlineMs: clock.nowMs() + 20_000 }))
    const decision = admission.decide(createItem({ requestId: 'x', deadlineMs: clock.nowMs() + 20_000 }), {
      queue, engines: [createEngine('e1', ['a@1'])], loadTimeMs: 3000
    })
    expect(decision.admitted).to.be.false
    if (!decision.admitted) expect(decision.retryAfterMs).to.be.within(1_000, 60_000)
  })

  it('refuses a cold model only if the load takes longer than the patience', async () => {
    // Guards against refusing patient callers of rarely used models.
    const { clock, queue, admission } = setUp()
    const state = { queue, engines: [createEngine('e1', [])], loadTimeMs: 3000 }
    expect(admission.decide(createItem({ requestId: 'x', deadlineMs: clock.nowMs() + 2000 }), state)).to.include({ admitted: false, retryAfterMs: 3000 })
    expect(admission.decide(createItem({ requestId: 'y', deadlineMs: clock.nowMs() + 5000 }), state).admitted).to.be.true
  })

  it('enforces rate limits and returns the delay after which a retry succeeds', async () => {
    // Guards against a retry delay that a caller obeys and is refused again.
    const { clock, queue, admission } = setUp()
    const state = { queue, engines: [createEngine('e1', ['a@1'])], loadTimeMs: 3000 }
    const request = (requestId: string) => ({ ...createItem({ requestId, deadlineMs: clock.nowMs() + 60_000 }), ceilingRequestsPerSecond: 1 })
    expect(admission.decide(request('x'), state).admitted).to.be.true
    const refused = admission.decide(request('y'), state)
    expect(refused.admitted).to.be.false
    if (!refused.admitted) await clock.runUntil(clock.nowMs() + refused.retryAfterMs)
    expect(admission.decide(request('z'), state).admitted).to.be.true
  })
})
