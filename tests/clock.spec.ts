import { expect } from 'chai'
import { sleep, SystemClock, VirtualClock, withTimeout } from '../src/base/clock.js'
import { SteadyClock } from '../src/base/steadyClock.js'

describe('virtual clock', () => {
  // Guards against timers that run in insertion order instead of time order.
  it('runs timers in time order', async () => {
    const clock = new VirtualClock()
    const seen: number[] = []
    for (const delayMs of [30, 10, 20, 10]) clock.setTimer(delayMs, () => seen.push(clock.nowMs()))
    await clock.advance(25)
    expect(seen).to.deep.equal([10, 10, 20])
  })

  // Guards against a cancelled timer that still fires.
  it('drops cancelled timers', async () => {
    const clock = new VirtualClock()
    let fired = false
    clock.setTimer(5, () => { fired = true })()
    await clock.advance(10)
    expect(fired).to.equal(false)
  })

  // Guards against a call that outlives its time limit.
  it('rejects late calls', async () => {
    const clock = new VirtualClock()
    const call = withTimeout(clock, 50, () => sleep(clock, 100), { action: 'read of the status' }).then(() => '', error => error.message)
    await clock.advance(60)
    expect(await call).to.equal('read of the status did not finish within 50 ms')
  })
})

describe('clocks of the system', () => {
  // Guards against a configured time of weeks that ends at once: Node.js runs timers beyond 2^31 ms without a delay.
  for (const clock of [new SystemClock(), new SteadyClock()]) {
    it(`do not run a timer of weeks at once: ${clock.constructor.name}`, async () => {
      let hasRun = false
      const cancel = clock.setTimer(1e12, () => { hasRun = true })
      await new Promise(resolve => setTimeout(resolve, 20))
      cancel()
      expect(hasRun).to.equal(false)
    })
  }
})
