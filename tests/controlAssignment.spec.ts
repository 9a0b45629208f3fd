import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { rendezvousOwner } from '../src/base/hash.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { ControlAssignment } from '../src/fleet/controlAssignment.js'
import type { EngineControl } from '../src/fleet/engineControl.js'
import type { MemberEntry } from '../src/protocol/messages.js'

function setUp (nodeCount: number, engineCount: number) {
  const clock = new VirtualClock()
  const members = Array.from({ length: nodeCount }, (_, index): MemberEntry => ({
    name: `n${index}`, address: `n${index}`, region: 'r', availabilityZone: 'a', incarnation: 1, state: 'alive', configVersion: 1, ready: true, sequence: 1
  }))
  const vms = Array.from({ length: engineCount }, (_, index) => ({
    name: `e${index}`, kind: 'engine' as const, group: 'p', address: `e${index}`, region: 'r', availabilityZone: 'a', state: 'live' as const
  }))
  const controllers = new Map<string, string>()
  const starts: { node: string, engine: string, atMs: number }[] = []
  const stops: string[] = []
  const nodes = new Map<string, ControlAssignment>()
  members.forEach(({ name }, index) => nodes.set(name, new ControlAssignment({
    clock,
    random: new SeededRandom(index),
    log: silentLog,
    self: name,
    selfAddress: name,
    members: () => members,
    vms: () => vms,
    publishedController: engine => controllers.get(engine),
    createControl: vm => ({
      start: () => {
        starts.push({ node: name, engine: vm.name, atMs: clock.nowMs() })
        controllers.set(vm.name, name)
      },
      stop: async () => { stops.push(vm.name) },
      hasControl: () => true,
      hasLostControl: () => false,
      updateVm: () => {},
      setReclaimCondition: () => {},
      handOver: () => ({ fence: 1, record: '', recordRevision: 0 })
    }) as unknown as EngineControl,
    network: { request: async (address, message) => (await nodes.get(address)!.handle(message))! }
  })))
  for (const node of nodes.values()) node.start()
  return { clock, members, nodes, starts, stops, vms }
}

describe('control assignment', () => {
  // Guards against engines without a controller and a burst of calls to the key-value service after a restart of all nodes.
  it('limits the takeover rate when all nodes restart', async () => {
    const { clock, members, starts, vms } = setUp(10, 200)
    await clock.advance(20_000)
    expect(starts.map(({ engine, node }) => `${engine} ${node}`).sort())
      .to.deep.equal(vms.map(vm => `${vm.name} ${rendezvousOwner(vm.name, members.map(member => member.name))}`).sort())
    for (const { atMs } of starts) expect(starts.filter(start => start.atMs >= atMs && start.atMs < atMs + 1_000).length).to.be.at.most(21)
  })

  // Guards against control that moves at a brief suspicion, and against control that stays with a dead node.
  it('takes over engines of dead nodes only', async () => {
    const { clock, members, starts, stops, nodes } = setUp(4, 12)
    await clock.advance(5_000)
    const owned = starts.filter(({ node }) => node === 'n1').map(({ engine }) => engine)
    starts.length = 0
    members[1]!.state = 'suspect'
    await clock.advance(4_000)
    expect([starts.length, stops.length]).to.deep.equal([0, 0])
    nodes.delete('n1')
    members[1]!.state = 'dead'
    await clock.advance(4_000)
    expect(starts.filter(({ node }) => node !== 'n1').map(({ engine }) => engine).sort()).to.deep.equal(owned.sort())
  })

  // Guards against a gap in control, and against control that moves again, at a graceful shutdown.
  it('hands over immediately at shutdown', async () => {
    const { clock, members, nodes, starts, stops } = setUp(4, 12)
    await clock.advance(5_000)
    const owned = starts.filter(({ node }) => node === 'n1').map(({ engine }) => engine)
    const stoppedAtMs = clock.nowMs()
    starts.length = 0
    nodes.get('n1')!.stop()
    await clock.advance(3_000)
    members[1]!.state = 'left'
    await clock.advance(30_000)
    expect(starts.map(({ engine }) => engine).sort()).to.deep.equal(owned.sort())
    expect([starts.every(({ atMs }) => atMs === stoppedAtMs), stops.length]).to.deep.equal([true, owned.length])
  })

  // Guards against an engine that has no controller for 30 s: a node resumes after a pause, receives the engine back while it
  // still assumes its old control, and detects only later that it lost it.
  it('acquires control anew on a handover with a higher fencing token', async () => {
    const { clock, nodes, starts, stops } = setUp(1, 1)
    await clock.advance(20_000)
    const handOver = (fence: number) => nodes.get('n0')!.handle({ kind: 'handOver', engine: 'e0', fence, record: '', recordRevision: 0 })
    await handOver(1)
    expect({ starts: starts.length, stops: stops.length }).to.deep.equal({ starts: 1, stops: 0 })
    await handOver(2)
    expect({ starts: starts.length, stops: stops.length }).to.deep.equal({ starts: 2, stops: 1 })
  })
})
