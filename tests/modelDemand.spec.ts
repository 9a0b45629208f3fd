import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { encodeFrame } from '../src/protocol/framing.js'
import { ModelDemand } from '../src/serving/modelDemand.js'

describe('reported demand', () => {
  it('fits into one message whatever adapters clients name', () => {
    // Guards against clients that end a node: its next report to the leader was too large to be sent.
    const demand = new ModelDemand(new VirtualClock(0))
    for (let client = 0; client < 300; client++) demand.wait('s', 'm', `${client}-${'x'.repeat(10_000)}`, 0)
    for (let client = 0; client < 30_000; client++) demand.wait('s', 'm', `${client}-${'x'.repeat(80)}`, 0)
    const rows = demand.waitingAdapters()
    expect(rows.length).to.be.within(100, 1000)
    expect(encodeFrame(rows).length).to.be.below(256 * 1024)
  })
})
