import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { BackendServer } from '../src/serving/backendServer.js'

describe('evidence that a backend server ended', () => {
  const sockets = new Set<Socket>()
  let listener: Server
  let server: BackendServer
  let exits: number[]

  beforeEach(async () => {
    listener = createServer(socket => {
      sockets.add(socket)
      socket.on('error', () => {})
    })
    await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', () => resolve()))
    exits = []
    server = new BackendServer({
      id: 'i', service: 's', address: `127.0.0.1:${(listener.address() as AddressInfo).port}`, availabilityZone: 'z', slots: 4, isDraining: false, models: [], modelsInMemory: [], modelsOnDisk: []
    }, 'r', new SystemClock(), { onExited: running => exits.push(running) })
  })

  afterEach(() => {
    server.pool.closeIdle()
    for (const socket of sockets) socket.destroy()
    listener.close()
  })

  it('is a refused connection, told once', async () => {
    listener.close()
    server.onStarted(undefined, undefined, 0, 0)
    expect(await Promise.all([server.confirmExit(), server.confirmExit()])).to.deep.equal([true, true])
    expect(exits).to.deep.equal([1])
  })

  // Guards against requests that are blamed for a reset of their connections.
  it('is not a reset while the server accepts connections', async () => {
    const first = await server.pool.connect()
    for (const socket of sockets) socket.resetAndDestroy()
    while (first!.isOpen) await new Promise(resolve => setTimeout(resolve, 5))
    expect(await server.confirmExit()).to.equal(false)
    expect(exits).to.deep.equal([])
  })

  it('is not the end of a server that is leaving', async () => {
    server.markLeaving()
    listener.close()
    expect(await server.confirmExit()).to.equal(false)
  })
})
