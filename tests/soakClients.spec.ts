import { expect } from 'chai'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { blockEventLoop } from './fixtures/blockEventLoop.js'
import { Clients } from './soak/clients.js'
import { Ledger, lossSlackMs } from './soak/ledger.js'
import type { NodeProcess } from './soak/nodeProcess.js'

describe('clients of the soak', () => {
  let server: Server
  let ledger: Ledger
  let clients: Clients
  let stopping: NodeProcess

  beforeEach(async () => {
    server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    ledger = new Ledger()
    clients = new Clients(ledger, 1)
    stopping = { name: 'node-0', isStopping: true, clientsAddress: { host: '127.0.0.1', port: (server.address() as AddressInfo).port } } as NodeProcess
  })
  afterEach(() => {
    clients.close()
    server.close()
  })

  it('do not take a refused connection for a lost request', async () => {
    // A busy machine told a client 338 ms late that its connection was refused, which counted as LOST.
    await new Promise(resolve => server.close(resolve))
    const answer = clients.send(stopping, { kind: 'safe', path: '/' })
    setImmediate(() => blockEventLoop(2 * lossSlackMs))
    blockEventLoop(2 * lossSlackMs)
    expect(await answer).to.equal(undefined)
    expect(ledger.violations).to.deep.equal([])
  })

  it('report requests whose connection a stopping node closes', async () => {
    server.on('connection', socket => socket.once('data', () => setTimeout(() => socket.destroy(), 2 * lossSlackMs)))
    expect(await clients.send(stopping, { kind: 'safe', path: '/' })).to.equal(undefined)
    expect(ledger.violations).to.have.length(1)
    expect(ledger.violations[0]).to.contain('LOST').and.to.contain('socket hang up')
  })

  it('report requests on a connection that is open already', async () => {
    let requests = 0
    server.on('connection', socket => socket.on('data', () => {
      if (++requests === 1) socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n')
      else setTimeout(() => socket.resetAndDestroy(), 2 * lossSlackMs)
    }))
    expect(await clients.send(stopping, { kind: 'safe', path: '/' })).to.include({ status: 404 })
    expect(await clients.send(stopping, { kind: 'safe', path: '/' })).to.equal(undefined)
    expect(ledger.violations).to.have.length(1)
    expect(ledger.violations[0]).to.contain('LOST').and.to.contain('ECONNRESET')
  })
})
