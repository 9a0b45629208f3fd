import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { encodeFrame, FrameDecoder, maxFrameBytes } from '../src/protocol/framing.js'
import { LeaderLink, PeerServer, sendOnce } from '../src/serving/peerLink.js'
import { leaderMessageSchema } from '../src/serving/peerMessages.js'
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
      log: silentLog,
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
    const server = new PeerServer({ clock, log: silentLog, onMessage: message => received.push(message), onJoined: () => {} })
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
    const servers = ports.slice(0, 2).map(() => new PeerServer({ clock, log: silentLog, onMessage: message => received.push(message), onJoined: send => send(report) }))
    await Promise.all(servers.map((server, index) => server.listen('127.0.0.1', ports[index]!)))
    const parts = { ends: [], survivals: [['5c', 7]], verdicts: [], endedTrials: [] } satisfies NodeReport['parts']
    sendOnce(ports.map(port => ({ host: '127.0.0.1', port })), { node: 'n', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [], parts }, { clock, log: silentLog })
    for (let tries = 0; received.length < 2 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    expect(received.map(message => 'parts' in message && message.parts)).to.deep.equal([parts, parts])
    for (const server of servers) server.stop()
  })
})

const changesOf = (bytes: number) => ({ fromRevision: 1, revision: 2, changes: new Uint8Array(bytes), ageMs: 0, nodeCount: 2, returnedMsAgo: null })

describe('message that cannot be sent', () => {
  it('is logged and does not end the process', async () => {
    // Guards against a leader that ends when a node connects, or at a broadcast, because a message has outgrown the limit.
    const port = await freePort()
    const events: string[] = []
    const log = (_level: string, event: string) => { events.push(event) }
    const server = new PeerServer({ clock: new SystemClock(), log, onMessage: () => {}, onJoined: send => send({ ...report, news: changesOf(maxFrameBytes) }) })
    await server.listen('127.0.0.1', port)
    const received: unknown[] = []
    const link = new LeaderLink({
      clock: new SystemClock(),
      log,
      onMessage: message => received.push(message),
      onConnected: () => { link.send({ cancel: 1, text: 'x'.repeat(maxFrameBytes) } as NodeMessage) },
      onLost: () => {}
    })
    link.setLeader({ host: '127.0.0.1', port })
    for (let tries = 0; events.length < 2 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    server.broadcast({ ...report, news: changesOf(maxFrameBytes) })
    server.broadcast(report)
    for (let tries = 0; received.length < 1 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    link.stop()
    server.stop()
    expect(received).to.deep.equal([report])
    expect(events).to.deep.equal(Array(3).fill('message to a peer not sent'))
  })
})

describe('message that cannot be handled', () => {
  it('closes its connection and no other', async () => {
    // Guards against a leader that ends because of what one node sends.
    const port = await freePort()
    const events: string[] = []
    const server = new PeerServer({
      clock: new SystemClock(),
      log: (_level, event) => { events.push(event) },
      onMessage: (message, reply) => {
        if ('cancel' in message && message.cancel === 1) throw new Error('a fault')
        reply(report)
      },
      onJoined: () => {}
    })
    await server.listen('127.0.0.1', port)
    const sockets = [1, 2].map(cancel => connect(port, '127.0.0.1', () => { sockets[cancel - 1]!.write(encodeFrame({ cancel })) }))
    const [isClosed, hasAnswer] = await Promise.all([
      new Promise<boolean>(resolve => sockets[0]!.on('data', () => resolve(false)).on('close', () => resolve(true))),
      new Promise<boolean>(resolve => sockets[1]!.on('data', () => resolve(true)).on('close', () => resolve(false)))
    ])
    for (const socket of sockets) socket.destroy()
    server.stop()
    expect({ isClosed, hasAnswer, events }).to.deep.equal({ isClosed: true, hasAnswer: true, events: ['message of a peer not handled'] })
  })
})

describe('node that reads slowly', () => {
  it('keeps its connection and gets the complete state when it has caught up', async () => {
    // Guards against nodes that lose the leader in a storm of changes: their backlog closed the connection, and the full report of the next one was larger.
    const port = await freePort()
    const caughtUp: (number | undefined)[] = []
    let left = 0
    const server = new PeerServer({
      clock: new SystemClock(),
      log: silentLog,
      onMessage: () => {},
      onJoined: () => {},
      onCaughtUp: (send, sinceRevision) => {
        caughtUp.push(sinceRevision)
        send({ ...report, fence: 99 })
      },
      onLeft: () => { left++ }
    })
    await server.listen('127.0.0.1', port)
    const socket = connect(port, '127.0.0.1').pause()
    for (let tries = 0; server.linkCount < 1 && tries < 100; tries++) await new Promise(resolve => setTimeout(resolve, 10))
    const broadcasts = 40
    for (let fence = 1; fence <= broadcasts; fence++) server.broadcast({ ...report, fence, news: { ...changesOf(1024 * 1024), fromRevision: fence - 1, revision: fence } })
    const fences: number[] = []
    const decoder = new FrameDecoder(leaderMessageSchema)
    await new Promise<void>(resolve => socket.on('data', data => {
      for (const message of decoder.push(data).messages) if ('fence' in message) fences.push(message.fence)
      if (fences.includes(99)) resolve()
    }).resume())
    const sent = fences.length - 1
    socket.destroy()
    server.stop()
    expect(sent).to.be.within(1, broadcasts - 1)
    expect({ fences, caughtUp, left }).to.deep.equal({ fences: [...Array.from({ length: sent }, (_, index) => index + 1), 99], caughtUp: [sent], left: 0 })
  })
})
