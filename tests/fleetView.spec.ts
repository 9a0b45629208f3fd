import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import type { BackendEntry } from '../src/serving/deployment.js'
import { FleetView } from '../src/serving/fleetView.js'

function entry (id: string, changes: Partial<BackendEntry> = {}): BackendEntry {
  return { id, service: 's', address: '127.0.0.1:1', availabilityZone: 'z', slots: 4, isDraining: false, bornAtMs: 1, models: [], modelsInMemory: [], modelsOnDisk: [], ...changes }
}

function createFleet () {
  const clock = new VirtualClock(10_000)
  const fleet = new FleetView({ clock, log: silentLog, regionOfZone: { z: 'r' } })
  const usable = () => fleet.ofService('s').filter(server => server.isUsable).map(server => server.entry.id)
  return { clock, fleet, usable }
}

describe('fleet view', () => {
  it('does not use a server that is draining or whose entry was removed', () => {
    const { fleet, usable } = createFleet()
    fleet.replaceAll([entry('a'), entry('b'), entry('c')])
    fleet.put(entry('a', { isDraining: true }))
    fleet.remove('b')
    expect(usable()).to.deep.equal(['c'])
  })

  it('keeps servers whose entries expired during a store outage until they should have registered again', async () => {
    const { clock, fleet, usable } = createFleet()
    fleet.replaceAll([entry('a'), entry('b')])
    fleet.onOutageEnded(clock.nowMs())
    fleet.remove('a')
    fleet.remove('b')
    expect(usable()).to.deep.equal(['a', 'b'])
    await clock.advance(1500)
    fleet.put(entry('a'))
    await clock.advance(1500)
    expect(usable()).to.deep.equal(['a'])
  })

  it('discards the replicas of an engine that restarts under the same ID', () => {
    const { fleet } = createFleet()
    fleet.put(entry('a', { models: [{ name: 'm', adapters: ['x'] }] }))
    expect(fleet.servers.get('a')!.serves('m', 'x')).to.equal(true)
    fleet.put(entry('a', { bornAtMs: 2 }))
    expect(fleet.servers.get('a')!.serves('m', undefined)).to.equal(false)
  })

  it('prefers the leader\'s update to older entries, and ends a load when an entry shows it', () => {
    const { fleet } = createFleet()
    fleet.put(entry('a', { models: [{ name: 'm', adapters: [] }] }))
    const server = fleet.servers.get('a')!
    server.updateReplicas([{ name: 'n', readyInMs: 2000, isLoading: true, isUnloading: false, adapters: [] }])
    fleet.put(entry('a', { models: [{ name: 'm', adapters: [] }] }))
    expect([server.serves('m', undefined), server.serves('n', undefined)]).to.deep.equal([false, false])
    fleet.put(entry('a', { models: [{ name: 'n', adapters: [] }] }))
    expect(server.serves('n', undefined)).to.equal(true)
  })

  it('ejects a server for longer after each failed connection', async () => {
    const { clock, fleet, usable } = createFleet()
    fleet.put(entry('a'))
    const server = fleet.servers.get('a')!
    server.onUnreachable()
    await clock.advance(350)
    expect(usable()).to.deep.equal(['a'])
    server.onUnreachable()
    await clock.advance(350)
    expect(usable()).to.deep.equal([])
    await clock.advance(300)
    server.onResponse(10)
    server.onUnreachable()
    await clock.advance(350)
    expect(usable()).to.deep.equal(['a'])
  })
})
