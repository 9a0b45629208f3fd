import { createServer } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { encodeFrame } from '../src/protocol/framing.js'
import { LeaderLink, PeerServer, sendOnce } from '../src/serving/peerLink.js'
import type { LeaderReport, NodeMessage, NodeReport } from '../src/serving/peerMessages.js'
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

describe('connection to a busy leader', () => {
  it('is kept until the leader accepts it', async () => {
    // Guards against nodes that connect again and again, and each time wait behind all others, while a new leader accepts one connection at a time.
    const port = await freePort()
    const server = createServer(socket => { setTimeout(() => socket.write(encodeFrame(report)), 2200) })
    await new Promise<void>(resolve => { server.listen(port, '127.0.0.1', resolve) })
    const events: string[] = []
    let link: LeaderLink | undefined
    await new Promise<void>(resolve => {
      link = new LeaderLink({ clock: new SystemClock(), log: (_level, event) => events.push(event), onMessage: () => resolve(), onConnected: () => {}, onLost: () => {} })
      link.setLeader({ host: '127.0.0.1', port })
    })
    link?.stop()
    server.close()
    expect(events).to.deep.equal([])
  })
})

describe('message that needs a named connection', () => {
  it('is not sent before the connection is open', async () => {
    // Guards against spent tokens that a new leader is told twice and for no node: with a query, and again after the connection.
    const clock = new SystemClock()
    const port = await freePort()
    const received: NodeMessage[] = []
    const server = new PeerServer({ clock, onMessage: message => received.push(message), onJoined: () => {} })
    await server.listen('127.0.0.1', port)
    const report: NodeReport = { node: 'n', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [] }
    const query = { quotaAsk: 1, rows: [] }
    const link = new LeaderLink({ clock, log: silentLog, onMessage: () => {}, onConnected: () => { link.send(report) }, onLost: () => {} })
    link.setLeader({ host: '127.0.0.1', port })
    expect(link.sendIfConnected(query)).to.equal(false)
    for (let tries = 0; received.length < 1 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    expect(link.sendIfConnected(query)).to.equal(true)
    for (let tries = 0; received.length < 2 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    expect(received).to.deep.equal([report, query])
    link.stop()
    server.stop()
  })
})

describe('message without a leader', () => {
  it('reaches the nodes that are there', async () => {
    // Guards against nodes that cannot tell each other under which prompt parts engines end while no node leads.
    const clock = new SystemClock()
    const received: NodeMessage[] = []
    const ports = [await freePort(), await freePort(), await freePort()]
    const servers = ports.slice(0, 2).map(() => new PeerServer({ clock, onMessage: message => received.push(message), onJoined: send => send(report) }))
    await Promise.all(servers.map((server, index) => server.listen('127.0.0.1', ports[index]!)))
    const parts = { ends: [], survivals: [['5c', 7]], verdicts: [], endedTrials: [] } satisfies NodeReport['parts']
    sendOnce(ports.map(port => ({ host: '127.0.0.1', port })), { node: 'n', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [], parts }, { clock, log: silentLog })
    for (let tries = 0; received.length < 2 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    expect(received.map(message => 'parts' in message && message.parts)).to.deep.equal([parts, parts])
    for (const server of servers) server.stop()
  })
})
