import { expect } from 'chai'
import type { MemberEntry } from '../src/protocol/messages.js'
import type { FakeNode } from './fixtures/nodes.js'
import { FakeFleet } from './fixtures/nodes.js'

describe('membership', () => {
  const entry = (node: FakeNode, name: string) => node.membership.members().find(member => member.name === name)
  const statesOf = (fleet: FakeFleet, name: string) => [...new Set(fleet.nodes.filter(node => node.name !== name).map(node => entry(node, name)?.state))]
  const settled = async (seed: number, count: number) => {
    const fleet = new FakeFleet(seed)
    fleet.start(count)
    await fleet.clock.advance(20_000)
    for (const node of fleet.nodes) expect(node.membership.alive(), node.name).to.have.length(count)
    return fleet
  }
  const hears = (node: FakeNode, member: MemberEntry) => node.membership.handle({ kind: 'members', members: [member], wanted: new Uint8Array(0) })

  // Guards against nodes that joined through one seed and stay unknown to others, also at the size of two years.
  it('makes all nodes known', async () => {
    await settled(1, 9)
    await settled(2, 60)
  })

  // Guards against detection that usually takes longer than 3 s to suspicion and 8 s to death.
  it('finds killed nodes in time', async () => {
    let suspected = 0
    let dead = 0
    for (let seed = 10; seed < 20; seed++) {
      const fleet = await settled(seed, 9)
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

  // Guards against a node that joins while a killed one is suspect and then counts it as live for ever, so that the
  // engines of the killed node get no controller.
  it('decides on a suspect that it first hears of as one', async () => {
    const fleet = await settled(5, 3)
    const suspect: MemberEntry = { ...entry(fleet.nodes[0]!, 'n1')!, name: 'gone', address: '10.9.9.9:7000', state: 'suspect' }
    await hears(fleet.nodes[0]!, suspect)
    await fleet.clock.advance(6_000)
    expect(entry(fleet.nodes[0]!, 'gone')?.state).to.equal('dead')
  })

  // Guards against news of a suspect that end its suspicion without a decision.
  it('decides on a suspect of which it hears more', async () => {
    const fleet = await settled(6, 3)
    const gone: MemberEntry = { ...entry(fleet.nodes[0]!, 'n1')!, name: 'gone', address: '10.9.9.9:7000' }
    await hears(fleet.nodes[0]!, gone)
    await hears(fleet.nodes[0]!, { ...gone, state: 'suspect' })
    await hears(fleet.nodes[0]!, { ...gone, state: 'suspect', ready: !gone.ready, sequence: gone.sequence + 1 })
    await fleet.clock.advance(6_000)
    expect(entry(fleet.nodes[0]!, 'gone')?.state).to.equal('dead')
  })

  // Guards against loss, delay and duplicates that make live nodes look dead.
  it('keeps live nodes under loss', async () => {
    const fleet = await settled(3, 40)
    fleet.network.lossShare = 0.1
    fleet.network.duplicateShare = 0.1
    for (let second = 0; second < 120; second++) {
      await fleet.clock.advance(1_000)
      for (const node of fleet.nodes) expect(node.membership.alive(), node.name).to.have.length(40)
    }
  })

  // Guards against a member that was paused until declared dead and is never taken back.
  it('takes a paused node back', async () => {
    const fleet = await settled(4, 9)
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

  // Guards against the old entry of a restarted node that hides the new process.
  it('replaces a restarted node', async () => {
    const fleet = await settled(5, 9)
    const [old] = fleet.nodes.splice(5, 1)
    old!.membership.setReady(true)
    await fleet.clock.advance(3_000)
    old!.stop()
    const startedAtMs = fleet.clock.nowMs()
    fleet.startNode('n5')
    await fleet.clock.advance(5_000)
    for (const node of fleet.nodes) expect(entry(node, 'n5')).to.include({ state: 'alive', incarnation: startedAtMs, ready: false })
  })

  // Guards against a node that left and is suspected, or revived by a list from before.
  it('remembers who left', async () => {
    const fleet = await settled(6, 9)
    const leaving = fleet.nodes[7]!
    const before = entry(fleet.nodes[0]!, 'n7')!
    const left = leaving.membership.leave()
    await fleet.clock.advance(1_000)
    await left
    leaving.stop()
    await fleet.clock.advance(3_000)
    expect(statesOf(fleet, 'n7')).to.deep.equal(['left'])
    await fleet.clock.advance(900_000)
    await hears(fleet.nodes[1]!, before)
    await fleet.clock.advance(1_000)
    for (const node of fleet.nodes) if (node !== leaving) expect(node.membership.alive()).to.have.length(8)
  })

  // Guards against a stale list that revives a dead node whose process does not answer.
  it('keeps dead nodes dead', async () => {
    const fleet = await settled(7, 9)
    const before = entry(fleet.nodes[0]!, 'n2')!
    fleet.nodes[2]!.stop()
    await fleet.clock.advance(15 * 60_000)
    for (const node of fleet.nodes) if (node.name !== 'n2') expect(entry(node, 'n2')).to.equal(undefined)
    await hears(fleet.nodes[1]!, before)
    expect(fleet.nodes[1]!.membership.alive()).to.have.length(8)
    await hears(fleet.nodes[1]!, { ...before, incarnation: before.incarnation + 1 })
    expect(fleet.nodes[1]!.membership.alive()).to.have.length(9)
  })

  // Guards against regions that were cut off for an hour and never find each other again.
  it('rejoins after an hour', async () => {
    const fleet = await settled(8, 14)
    const regionOf = new Map(fleet.nodes.map(node => [node.address, node.region]))
    fleet.network.passes = (from, to) => (regionOf.get(from) === 'a') === (regionOf.get(to) === 'a')
    await fleet.clock.advance(60_000)
    for (const node of fleet.nodes) expect(node.membership.alive()).to.have.length(node.region === 'a' ? 6 : 8)
    await fleet.clock.advance(3_600_000)
    fleet.network.passes = undefined
    await fleet.clock.advance(60_000)
    for (const node of fleet.nodes) expect(node.membership.alive(), node.name).to.have.length(14)
  })

  // Guards against configuration versions of members that are not known on the node that confirms a change.
  it('shows configuration versions', async () => {
    const fleet = await settled(9, 60)
    for (const node of fleet.nodes) node.membership.setConfigVersion(12)
    await fleet.clock.advance(15_000)
    for (const node of fleet.nodes) expect(node.membership.alive().filter(member => member.configVersion === 12)).to.have.length(60)
  })

  // Guards against heartbeats that grow by 4 bytes for each member after every change of the configuration, and
  // against versions that are attributed to other members when two lists differ.
  it('packs configuration versions', async () => {
    const fleet = await settled(11, 60)
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
