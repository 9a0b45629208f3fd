import { expect } from 'chai'
import { NotRunError } from '../src/base/errors.js'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { ServiceMonitor } from '../src/fleet/serviceMonitor.js'
import { VmDirectory } from '../src/fleet/vmDirectory.js'
import type { EntryStore } from '../src/fleet/entryTable.js'
import type { Vm } from '../src/external/vmList.js'
import type { MemberEntry } from '../src/protocol/messages.js'

/** Entries shared by all nodes without delay. The higher epoch wins, as in `Dissemination`. */
class SharedEntries implements EntryStore {
  private readonly entries = new Map<string, { epoch: number, value: unknown }>()

  publish (key: string, epoch: number, value: unknown): void {
    if (epoch >= (this.entries.get(key)?.epoch ?? 0)) this.entries.set(key, { epoch, value })
  }

  list (prefix: string): { key: string, value: unknown }[] {
    return [...this.entries].filter(([key, { value }]) => key.startsWith(prefix) && value !== undefined).map(([key, { value }]) => ({ key, value }))
  }
}

function vm (name: string, group: string, fields: Partial<Vm> = {}): Vm {
  return { name, kind: 'service', group, address: '127.0.0.1:1', region: 'north', availabilityZone: 'north-a', state: 'live', ...fields }
}

const member = (name: string): MemberEntry => ({
  name, address: name, region: 'north', availabilityZone: 'north-a', incarnation: 1, state: 'alive', configVersion: 1, ready: true, sequence: 1
})

function setUp (vms: Vm[]) {
  const clock = new VirtualClock(1_000)
  const entries = new SharedEntries()
  const list = { vms, fails: false, reads: 0 }
  const health: Record<string, { draining: boolean } | Error> = {}
  const alive = ['n1', 'n2', 'n3'].map(member)
  const nodes = alive.map(({ name, region }) => {
    const self = { name, region }
    const directory = new VmDirectory({
      clock,
      log: silentLog,
      entries,
      self,
      alive: () => alive,
      vmList: {
        list: async () => {
          list.reads++
          if (list.fails) throw new NotRunError('VM list', 'refused')
          return list.vms
        }
      }
    })
    const monitor = new ServiceMonitor({
      clock,
      entries,
      self,
      alive: () => alive,
      vms: () => directory.vms(),
      serviceApi: ({ name: server }) => ({
        server,
        call: () => Promise.reject(new Error('not part of this test')),
        health: async () => {
          const state = health[server] ?? { draining: false }
          if (state instanceof Error) throw state
          return state
        }
      })
    })
    directory.start()
    monitor.start()
    return { directory, monitor }
  })
  const servers = () => nodes.map(({ monitor }) => monitor.servers('orders').map(({ server }) => server).sort())
  return { clock, list, health, alive, nodes, servers }
}

describe('discovery of backend servers', () => {
  // Guards against a request rate to the VM list that grows with the fleet.
  it('reads the list on two nodes of a region', async () => {
    const { clock, list, servers } = setUp([vm('orders-1', 'orders'), vm('other-1', 'other')])
    await clock.advance(10_000)
    // Two of the three nodes read once at the start and then every 2 s.
    expect(list.reads).to.be.at.most(12)
    expect(servers()).to.deep.equal([['orders-1'], ['orders-1'], ['orders-1']])
  })

  // Guards against new requests to a server in graceful shutdown, whether the server or the VM list reports it first.
  it('leaves out draining servers and servers that leave the list', async () => {
    const { clock, list, health, servers } = setUp(['orders-1', 'orders-2', 'orders-3'].map(name => vm(name, 'orders')))
    await clock.advance(3_000)
    health['orders-1'] = { draining: true }
    list.vms = [vm('orders-1', 'orders'), vm('orders-2', 'orders', { state: 'leaving' }), vm('orders-3', 'orders')]
    await clock.advance(3_000)
    expect(servers()[0]).to.deep.equal(['orders-3'])
  })

  // Guards against servers that are removed because the list cannot be read.
  it('keeps the known servers while the list is unavailable', async () => {
    const { clock, list, servers } = setUp([vm('orders-1', 'orders')])
    await clock.advance(3_000)
    list.fails = true
    await clock.advance(60_000)
    expect(servers()[0]).to.deep.equal(['orders-1'])
  })

  it('removes VMs that are no longer listed', async () => {
    const { clock, list, nodes } = setUp([vm('orders-1', 'orders'), vm('orders-2', 'orders')])
    await clock.advance(3_000)
    list.vms = [vm('orders-2', 'orders')]
    await clock.advance(3_000)
    expect(nodes[0]!.directory.vms().map(({ name }) => name)).to.deep.equal(['orders-2'])
  })

  // Guards against a server that stays in use after it died, or is not used again after it recovered.
  it('removes a server that dies and adds it when it recovers', async () => {
    const { clock, health, servers } = setUp([vm('orders-1', 'orders'), vm('orders-2', 'orders')])
    await clock.advance(3_000)
    health['orders-1'] = new NotRunError('orders-1', 'connection refused')
    await clock.advance(2_000)
    expect(servers()[0]).to.deep.equal(['orders-2'])
    delete health['orders-1']
    await clock.advance(2_000)
    expect(servers()[0]).to.deep.equal(['orders-1', 'orders-2'])
  })

  // Guards against a dead reader whose entries take precedence over those of its successor.
  it('lets another node read the list when a reader dies', async () => {
    const { clock, alive, list, nodes } = setUp([vm('orders-1', 'orders')])
    await clock.advance(3_000)
    alive.splice(0, 2)
    list.vms = [vm('orders-1', 'orders'), vm('orders-9', 'orders')]
    await clock.advance(3_000)
    expect(nodes[2]!.directory.vms()).to.have.length(2)
  })
})
