import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { LoadSlots } from '../src/fleet/loadSlots.js'

describe('load slots', () => {
  // Guards against models that stay unreachable after the weight store was slow: admission refuses what a load of the
  // estimated time cannot serve, so no load would be started that could correct the estimate.
  it('forgets a slow store when nothing was loaded for a while', async () => {
    const clock = new VirtualClock()
    const slots = new LoadSlots(clock)
    const usualMs = slots.loadTimeMs()
    for (let count = 0; count < 20; count++) {
      const slot = { engine: 'e1', model: 'm@1', startedAtMs: clock.nowMs() }
      await clock.advance(90_000)
      slots.release(slot, { completed: true })
    }
    expect(slots.loadTimeMs()).to.be.above(60_000)
    await clock.advance(120_000)
    expect(slots.loadTimeMs()).to.equal(usualMs)
  })
})
