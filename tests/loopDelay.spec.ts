import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { LoopDelay } from '../src/serving/loopDelay.js'

/** A clock whose time may pass without timers running, as for a process that is not scheduled. */
class StoppableClock extends VirtualClock {
  skippedMs = 0
  override nowMs (): number {
    return super.nowMs() + this.skippedMs
  }
}

describe('loop delay', () => {
  it('shows a pause of the process, also before its timers have run, until it is too old', async () => {
    // Guards against taking a peer for unresponsive while this process was paused.
    const clock = new StoppableClock()
    const delay = new LoopDelay(clock)
    await clock.advance(1000)
    expect(delay.recentMs).to.equal(0)
    clock.skippedMs = 700
    expect(delay.recentMs).to.be.within(600, 700)
    await clock.advance(1000)
    expect(delay.recentMs).to.be.within(600, 700)
    await clock.advance(3000)
    expect(delay.recentMs).to.equal(0)
    delay.stop()
  })

  it('shows the delay of the current event-loop iteration, whether or not its timer has run', async () => {
    const clock = new StoppableClock()
    const delay = new LoopDelay(clock)
    await clock.advance(1000)
    expect(delay.currentMs).to.equal(0)
    clock.skippedMs = 700
    expect(delay.currentMs).to.be.within(600, 700)
    await clock.advance(100)
    expect(delay.currentMs).to.be.within(600, 700)
    await clock.advance(200)
    expect(delay.currentMs).to.equal(0)
    delay.stop()
  })
})
