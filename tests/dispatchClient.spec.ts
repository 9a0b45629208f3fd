import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import type { DispatchDecision, DispatchRequest } from '../src/policy/dispatcher.js'
import { DispatchClient } from '../src/serving/dispatchClient.js'
import { blockEventLoop } from './fixtures/blockEventLoop.js'

const request: DispatchRequest = {
  service: 's', model: 'm', adapter: undefined, promptTokens: 10, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', excluded: [], gapObjectiveMs: 300, isFirst: true, isLate: false
}

describe('dispatch client', () => {
  it('accepts a reply that arrived while the event loop was blocked', async () => {
    // Guards against pausing dispatch requests because the reply of a responsive leader was not read in time.
    const client = new DispatchClient({ clock: new SystemClock(), send: () => true })
    const decision = client.requestDispatch(request)
    setImmediate(() => {
      // The timer is due after this callback, before the sockets are polled.
      blockEventLoop(120)
      setImmediate(() => client.onReply(1, { kind: 'engine', id: 'a' }))
    })
    const { giveBack, ...chosen } = await decision as Extract<DispatchDecision, { kind: 'engine' }>
    expect(chosen).to.deep.equal({ kind: 'engine', id: 'a' })
    expect(giveBack).to.be.a('function')
    expect(client.timeouts).to.equal(0)
  })

  it('pauses dispatch requests when the leader does not reply', async () => {
    let sent = 0
    const client = new DispatchClient({ clock: new SystemClock(), send: () => ++sent > 0 })
    expect(await client.requestDispatch(request)).to.equal(undefined)
    expect(await client.requestDispatch(request)).to.equal(undefined)
    expect({ sent, timeouts: client.timeouts }).to.deep.equal({ sent: 1, timeouts: 1 })
  })
})
