import { expect } from 'chai'
import type { MemberEntry } from '../src/protocol/messages.js'
import type { FakeNode } from './fixtures/nodes.js'
import { FakeFleet } from './fixtures/nodes.js'

describe('membership', () => {
  const entry = (node: FakeNode, name: string) => node.membership.members().find(member => member.name === name)
  const statesOf = (fleet: FakeFleet, name: string) => [...new Set(fleet.nodes.filter(node => node.name !== name).map(node => entry(node, name)?.state))]
  const startedFleet = async (seed: number, count: number) => {
    const fleet = new FakeFleet(seed)
    fleet.start(count)
    await fleet.clock.advance(20_000)
    for (const node of fleet.nodes) expect(node.membership.alive(), node.name).to.have.length(count)
    return fleet
  }
  const receive = (node: FakeNode, member: MemberEntry) => node.membership.handle({ kind: 'members', members: [member], wanted: new Uint8Array(0) })

  // Guards against nodes that joined through one seed and stay unknown to others, also at the fleet size expected in two years.
  it('lists every node on every node', async () => {
    await startedFleet(1, 9)
    await startedFleet(2, 60)
  })

  // Guards against detection that usually takes longer than 3 s to suspicion and 8 s to death.
  it('detects killed nodes in time', async () => {
    let suspected = 0
    let dead = 0
    for (let seed = 10; seed < 20; seed++) {
      const fleet = await startedFleet(seed, 9)
      fleet.nodes[4]!.stop()
      await fleet.clock.advance(3_000)
      if (statesOf(fleet, 'n4').includes('suspect')) suspected++
      await fleet.clock.advance(5_000)
      if (statesOf(fleet, 'n4').includes('dead')) dead++
      await fleet.clock.advance(4_000)
      expect(statesOf(fleet, 'n4')).to.deep.equal(['dead'])
    }
    expect(suspected).to.be.at.least(8)
    expect(dead).to.be.at.least(8)
  })

  // Guards against a node that joins while a killed one is suspect and then lists it as live forever, so that the
  // engines of the killed node get no controller.
  it('declares a member dead that it first received as suspect', async () => {
    const fleet = await startedFleet(5, 3)
    const suspect: MemberEntry = { ...entry(fleet.nodes[0]!, 'n1')!, name: 'gone', address: '10.9.9.9:7000', state: 'suspect' }
    await receive(fleet.nodes[0]!, suspect)
    await fleet.clock.advance(6_000)
    expect(entry(fleet.nodes[0]!, 'gone')?.state).to.equal('dead')
  })

  // Guards against a further update of a suspect that cancels its suspicion timer.
  it('declares a suspect dead after further updates of it', async () => {
    const fleet = await startedFleet(6, 3)
    const gone: MemberEntry = { ...entry(fleet.nodes[0]!, 'n1')!, name: 'gone', address: '10.9.9.9:7000' }
    await receive(fleet.nodes[0]!, gone)
    await receive(fleet.nodes[0]!, { ...gone, state: 'suspect' })
    await receive(fleet.nodes[0]!, { ...gone, state: 'suspect', ready: !gone.ready, sequence: gone.sequence + 1 })
    await fleet.clock.advance(6_000)
    expect(entry(fleet.nodes[0]!, 'gone')?.state).to.equal('dead')
  })

  // Guards against live nodes that are declared dead because of lost, delayed or duplicate messages.
  it('keeps live nodes under message loss', async () => {
    const fleet = await startedFleet(3, 40)
    fleet.network.lossRate = 0.1
    fleet.network.duplicateRate = 0.1
    for (let second = 0; second < 120; second++) {
      await fleet.clock.advance(1_000)
      for (const node of fleet.nodes) expect(node.membership.alive(), node.name).to.have.length(40)
    }
  })

  // Guards against a member that stays dead after a pause in which it was declared dead.
  it('lists a paused node as alive again', async () => {
    const fleet = await startedFleet(4, 9)
    const paused = fleet.nodes[3]!
    const incarnation = entry(paused, 'n3')!.incarnation
    fleet.network.paused.add(paused.address)
    await fleet.clock.advance(15_000)
    expect(statesOf(fleet, 'n3')).to.deep.equal(['dead'])
    fleet.network.paused.delete(paused.address)
    await fleet.clock.advance(60_000)
    for (const node of fleet.nodes) {
      expect(entry(node, 'n3')).to.include({ state: 'alive' })
      expect(entry(node, 'n3')!.incarnation).to.be.greaterThan(incarnation)
      expect(node.membership.alive()).to.have.length(9)
    }
  })

  // Guards against the entry of a node's previous process that hides its restarted process.
  it('replaces a restarted node', async () => {
    const fleet = await startedFleet(5, 9)
    const [old] = fleet.nodes.splice(5, 1)
    old!.membership.setReady(true)
    await fleet.clock.advance(3_000)
    old!.stop()
    const startedAtMs = fleet.clock.nowMs()
    fleet.startNode('n5')
    await fleet.clock.advance(5_000)
    for (const node of fleet.nodes) expect(entry(node, 'n5')).to.include({ state: 'alive', incarnation: startedAtMs, ready: false })
  })

  // Guards against a node that left and becomes suspect, or is added again by an outdated list.
  it('does not add back nodes that left', async () => {
    const fleet = await startedFleet(6, 9)
    const leaving = fleet.nodes[7]!
    const before = entry(fleet.nodes[0]!, 'n7')!
    const left = leaving.membership.leave()
    await fleet.clock.advance(1_000)
    await left
    leaving.stop()
    await fleet.clock.advance(3_000)
    expect(statesOf(fleet, 'n7')).to.deep.equal(['left'])
    await fleet.clock.advance(900_000)
    await receive(fleet.nodes[1]!, before)
    await fleet.clock.advance(1_000)
    for (const node of fleet.nodes) if (node !== leaving) expect(node.membership.alive()).to.have.length(8)
  })

  // Guards against an outdated list that makes a dead node alive again.
  it('keeps dead nodes dead', async () => {
    const fleet = await startedFleet(7, 9)
    const before = entry(fleet.nodes[0]!, 'n2')!
    fleet.nodes[2]!.stop()
    await fleet.clock.advance(15 * 60_000)
    for (const node of fleet.nodes) if (node.name !== 'n2') expect(entry(node, 'n2')).to.equal(undefined)
    await receive(fleet.nodes[1]!, before)
    expect(fleet.nodes[1]!.membership.alive()).to.have.length(8)
    await receive(fleet.nodes[1]!, { ...before, incarnation: before.incarnation + 1 })
    expect(fleet.nodes[1]!.membership.alive()).to.have.length(9)
  })

  // Guards against regions that never merge again after a network partition of an hour.
  it('rejoins after a partition of an hour', async () => {
    const fleet = await startedFleet(8, 14)
    const regionOf = new Map(fleet.nodes.map(node => [node.address, node.region]))
    fleet.network.canPass = (from, to) => (regionOf.get(from) === 'a') === (regionOf.get(to) === 'a')
    await fleet.clock.advance(60_000)
    for (const node of fleet.nodes) expect(node.membership.alive()).to.have.length(node.region === 'a' ? 6 : 8)
    await fleet.clock.advance(3_600_000)
    fleet.network.canPass = undefined
    await fleet.clock.advance(60_000)
    for (const node of fleet.nodes) expect(node.membership.alive(), node.name).to.have.length(14)
  })

  // Guards against a node that confirms a configuration change without knowing the versions of all members.
  it('lists the configuration versions of all members', async () => {
    const fleet = await startedFleet(9, 60)
    for (const node of fleet.nodes) node.membership.setConfigVersion(12)
    await fleet.clock.advance(15_000)
    for (const node of fleet.nodes) expect(node.membership.alive().filter(member => member.configVersion === 12)).to.have.length(60)
  })

  // Guards against heartbeats that grow by 4 bytes per member after each configuration change, and against versions that
  // are attributed to the wrong members when two lists differ.
  it('packs configuration versions', async () => {
    const fleet = await startedFleet(11, 60)
    let longest = 0
    fleet.network.onSent = (_from, _to, message) => {
      if (message.kind === 'ping' || message.kind === 'ack') longest = Math.max(longest, message.configs.reduce((sum, [, packed]) => sum + packed.length, 0))
    }
    fleet.nodes.forEach((node, index) => node.membership.setConfigVersion(100 + index % 2))
    fleet.nodes[7]!.stop()
    fleet.startNode('n60')
    await fleet.clock.advance(30_000)
    expect(longest).to.be.at.most(2 * 60 / 8 + 18 + 2)
    for (const node of fleet.nodes.filter(node => node.name !== 'n7')) {
      for (const { name, configVersion } of node.membership.alive()) {
        expect(configVersion, `${name} at ${node.name}`).to.equal(name === 'n60' ? 0 : 100 + Number(name.slice(1)) % 2)
      }
    }
  })
})
