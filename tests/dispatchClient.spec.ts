import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import type { DispatchAsk } from '../src/policy/dispatchDesk.js'
import { DispatchClient } from '../src/serving/dispatchClient.js'
import { blockEventLoop } from './fixtures/blockEventLoop.js'

const ask: DispatchAsk = {
  service: 's', model: 'm', adapter: undefined, promptTokens: 10, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], gapObjectiveMs: 300, isFirst: true, isLate: false
}

describe('dispatch client', () => {
  it('takes an answer that came while this process was held up', async () => {
    // Guards against a leader that counts as silent, and is not asked for a while, because its answer was not read.
    const client = new DispatchClient({ clock: new SystemClock(), send: () => true })
    const choice = client.requestDispatch(ask)
    setImmediate(() => {
      // The timer is due after this callback, before the sockets are polled.
      blockEventLoop(120)
      setImmediate(() => client.onReply(1, { kind: 'engine', id: 'a' }))
    })
    expect(await choice).to.deep.equal({ kind: 'engine', id: 'a' })
    expect(client.timeouts).to.equal(0)
  })

  it('asks no more for a while when the leader does not answer', async () => {
    let sent = 0
    const client = new DispatchClient({ clock: new SystemClock(), send: () => ++sent > 0 })
    expect(await client.requestDispatch(ask)).to.equal(undefined)
    expect(await client.requestDispatch(ask)).to.equal(undefined)
    expect({ sent, timeouts: client.timeouts }).to.deep.equal({ sent: 1, timeouts: 1 })
  })
})
