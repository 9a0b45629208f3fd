import { createServer } from 'node:net'
import { expect } from 'chai'
import { ephemeralPorts, freePort } from './fixtures/freePort.js'

describe('ports of tests', () => {
  it('are not those of outgoing connections', async function () {
    // Guards against a connection of another process that takes the port before the test listens on it (EADDRINUSE).
    const range = ephemeralPorts()
    if (!range) return this.skip()
    const ports: number[] = []
    for (let count = 0; count < 50; count++) ports.push(await freePort())
    expect(ports.filter(port => port >= range.from && port <= range.to)).to.deep.equal([])
    expect(new Set(ports).size).to.equal(ports.length)
  })

  it('are not those on which something listens', async () => {
    // Guards against the same with a process that listens already.
    const next = await freePort() + 1
    const taken = createServer()
    await new Promise(resolve => taken.once('error', resolve).listen(next, '127.0.0.1', () => resolve(undefined)))
    expect(await freePort()).not.to.equal(next)
    taken.close()
  })

  it('are left to the kernel where it does not state its range', async () => {
    // Guards against tests that fail on other systems.
    expect(ephemeralPorts('/none')).to.equal(undefined)
    expect(await freePort('/none')).to.be.above(1023)
  })
})
