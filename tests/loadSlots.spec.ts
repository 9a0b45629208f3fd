import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { LoadSlots } from '../src/fleet/loadSlots.js'

describe('load slots', () => {
  // Guards against models that stay unreachable after the weight store was slow: with a high load time estimate, admission
  // refuses the requests, so that no load starts that could correct the estimate.
  it('resets the load time estimate when no load completed recently', async () => {
    const clock = new VirtualClock()
    const slots = new LoadSlots(clock)
    const initialMs = slots.loadTimeMs()
    for (let count = 0; count < 20; count++) {
      const slot = { engine: 'e1', model: 'm@1', startedAtMs: clock.nowMs() }
      await clock.advance(90_000)
      slots.release(slot, { completed: true })
    }
    expect(slots.loadTimeMs()).to.be.above(60_000)
    await clock.advance(120_000)
    expect(slots.loadTimeMs()).to.equal(initialMs)
  })
})
