import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SteadyClock } from '../src/base/steadyClock.js'
import { ioTurn, readUntilQuiet } from '../src/base/ioTurn.js'

const blockedMs = 60

/** Keeps the event loop from running, as a busy machine does. */
function block (): void {
  const untilMs = performance.now() + blockedMs
  while (performance.now() < untilMs);
}

const sleep = (delayMs: number) => new Promise<void>(resolve => setTimeout(resolve, delayMs))

describe('turn of the event loop', () => {
  let server: Server
  let text = ''
  let connections = 0
  const sockets: Socket[] = []
  const open = async () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sockets.push(socket)
    await new Promise<void>(resolve => socket.once('connect', resolve))
    return socket
  }

  beforeEach(async () => {
    text = ''
    connections = 0
    server = createServer(socket => {
      connections++
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', data => { text += data })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    server.close()
  })

  it('shows a late timer what reached the sockets before it', async () => {
    // Guards against a conclusion from silence by a process that was not run for a while.
    const socket = await open()
    await sleep(20)
    socket.write('x')
    block()
    expect(text).to.equal('')
    await ioTurn()
    expect(text).to.equal('x')
  })

  it('polls once more when it is called by a socket\'s callback', async () => {
    const [first, second] = [await open(), await open()]
    await sleep(20)
    const isSeen = new Promise<string>(resolve => {
      sockets.find(socket => socket.localPort === first.remotePort && socket.remotePort === first.localPort)!.once('data', () => {
        second.write('y')
        ioTurn().then(() => resolve(text))
      })
    })
    first.write('x')
    expect(await isSeen).to.equal('xy')
  })

  it('accepts connections that wait', async () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sockets.push(socket)
    block()
    await ioTurn()
    expect(connections).to.equal(1)
  })

  it('reads until nothing new comes', async () => {
    // The connection is accepted in one round and read in the next.
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sockets.push(socket)
    socket.write('x')
    block()
    const result = await readUntilQuiet(new SteadyClock(), () => connections + text.length, { maxRounds: 50, maxMs: 1000 })
    expect(text).to.equal('x')
    expect(result.isQuiet).to.equal(true)
  })

  it('ends within its bounds when something new comes in each round', async () => {
    let count = 0
    const clock = new SteadyClock()
    expect(await readUntilQuiet(clock, () => count++, { maxRounds: 5, maxMs: 1000 })).to.include({ rounds: 5, isQuiet: false })
    const { durationMs } = await readUntilQuiet(clock, () => count++, { maxRounds: Infinity, maxMs: 30 })
    expect(durationMs).to.be.within(30, 1000)
  })

  it('does not trust a round during which the process was held up', async () => {
    const clock = new SteadyClock()
    let isFirst = true
    const result = readUntilQuiet(clock, () => 0, { maxRounds: 50, maxMs: 1000 })
    setImmediate(() => { if (isFirst) block(); isFirst = false })
    expect(await result).to.include({ rounds: 2, isQuiet: true })
  })
})
