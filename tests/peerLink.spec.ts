import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { LeaderLink, PeerServer } from '../src/serving/peerLink.js'
import type { LeaderReport } from '../src/serving/peerMessages.js'
import { freePort } from './fixtures/freePort.js'
import { blockEventLoop } from './fixtures/blockEventLoop.js'

const report: LeaderReport = { fence: 1, hosting: [], running: [] }

describe('leader link', () => {
  it('stays connected when this process was paused and the leader was responsive', async () => {
    // Guards against nodes that disconnect from the leader because they have not read its data yet.
    const clock = new SystemClock()
    const port = await freePort()
    const events: string[] = []
    let onReport = () => {}
    const reported = new Promise<void>(resolve => { onReport = resolve })
    const server = new PeerServer({
      clock,
      onMessage: () => {
        server.broadcast(report)
        blockEventLoop(1800)
      },
      onJoined: () => {}
    })
    await server.listen('127.0.0.1', port)
    const link = new LeaderLink({
      clock,
      log: (_level, event) => events.push(event),
      onMessage: () => onReport(),
      onConnected: () => { link.send({ ask: 1, row: ['s', 'm', null, 1, 0, 'r', 'z', null], parts: [], excluded: [], isFirst: true, isLate: false }) },
      onLost: () => {}
    })
    link.setLeader({ host: '127.0.0.1', port })
    await reported
    await new Promise(resolve => setTimeout(resolve, 300))
    link.stop()
    server.stop()
    expect(events).not.to.include('placement leader silent')
  })
})
