import { expect } from 'chai'
import fc from 'fast-check'
import { EntryTable } from '../src/fleet/entryTable.js'
import { packChanges, packLoads, unpackChanges, unpackLoads } from '../src/fleet/packing.js'
import { FrameError } from '../src/protocol/framing.js'
import type { EngineEntry } from '../src/protocol/messages.js'
import { engineEntrySchema } from '../src/protocol/messages.js'
import { engineEntry, FakeFleet } from './fixtures/nodes.js'

describe('dissemination', () => {
  const startedFleet = async (seed: number, count: number) => {
    const fleet = new FakeFleet(seed)
    fleet.start(count)
    await fleet.clock.advance(20_000)
    return fleet
  }
  const values = (fleet: FakeFleet, key: string) => fleet.nodes.map(node => node.dissemination.get(key))

  // Guards against an urgent change that is replicated only by the periodic reconciliation.
  it('broadcasts urgent changes at once', async () => {
    const fleet = await startedFleet(1, 120)
    fleet.nodes[17]!.dissemination.publish('engine/e', 5, engineEntry(1))
    await fleet.clock.advance(1_000)
    fleet.nodes[17]!.dissemination.publish('engine/e', 5, engineEntry(1, { draining: true }))
    await fleet.clock.advance(1_000)
    for (const value of values(fleet, 'engine/e')) expect(value).to.deep.equal(engineEntry(1, { draining: true }))
  })

  // Guards against model lists that differ between nodes after changes of single items.
  it('replicates changes of models', async () => {
    const fleet = await startedFleet(2, 20)
    const { dissemination } = fleet.nodes[3]!
    const first = engineEntry(2)
    const added = { name: 'added@v1', state: 'loading' as const, memoryBytes: 1e9 }
    const versions = [first, { ...first, models: [...first.models.slice(1), added] }, { ...first, models: [...first.models.slice(2), { ...added, state: 'ready' as const }] }]
    for (const version of versions) {
      dissemination.publish('engine/e', 5, version)
      await fleet.clock.advance(1_000)
      for (const value of values(fleet, 'engine/e')) expect(value).to.deep.equal(version)
    }
  })

  // Guards against entries that differ permanently when messages are lost, duplicated or delayed.
  it('converges under message loss', async () => {
    const fleet = await startedFleet(3, 40)
    Object.assign(fleet.network, { lossRate: 0.2, duplicateRate: 0.2, delayMs: [1, 400] })
    for (let round = 0; round < 10; round++) {
      fleet.nodes.forEach((node, index) => node.dissemination.publish(`engine/e${index}`, 5, engineEntry(index, { fence: round, reportedAtMs: round })))
      await fleet.clock.advance(700)
    }
    await fleet.clock.advance(60_000)
    for (const node of fleet.nodes) {
      const fences = fleet.nodes.map((_, index) => (node.dissemination.get(`engine/e${index}`) as EngineEntry | undefined)?.fence)
      expect(fences, node.name).to.deep.equal(fleet.nodes.map(() => 9))
    }
  })

  // Guards against load figures that reach the engine's zone late, or never reach other regions.
  it('sends load figures less often to distant nodes', async () => {
    const fleet = await startedFleet(4, 42)
    const owner = fleet.nodes[0]!
    const sentMs = fleet.clock.nowMs()
    owner.dissemination.publish('engine/e', 5, engineEntry(0))
    const seenAfter = (region: string, zone: string) => fleet.nodes
      .filter(node => node !== owner && node.membership.alive()[0]!.region === region && node.membership.alive()[0]!.availabilityZone === zone)
      .map(node => (node.dissemination.get('engine/e') as EngineEntry).reportedAtMs)
    for (let second = 0; second < 40; second++) {
      await fleet.clock.advance(1_000)
      owner.dissemination.publish('engine/e', 5, engineEntry(0, { running: second, reportedAtMs: fleet.clock.nowMs() }))
    }
    const ageMs = (region: string, zone: string) => fleet.clock.nowMs() - Math.min(...seenAfter(region, zone))
    expect(ageMs('a', 'a1')).to.be.at.most(3_000)
    expect(ageMs('a', 'a2')).to.be.at.most(9_000)
    expect(ageMs('b', 'b1')).to.be.at.most(34_000)
    expect(fleet.clock.nowMs() - sentMs).to.equal(40_000)
  })

  // Guards against a superseded controller that overwrites the entry of its successor.
  it('keeps the higher epoch', async () => {
    const fleet = await startedFleet(5, 9)
    fleet.nodes[1]!.dissemination.publish('engine/e', 5, engineEntry(1, { controller: 'n1' }))
    await fleet.clock.advance(1_000)
    fleet.nodes[2]!.dissemination.publish('engine/e', 6, engineEntry(1, { controller: 'n2' }))
    await fleet.clock.advance(1_000)
    fleet.nodes[1]!.dissemination.publish('engine/e', 5, engineEntry(1, { controller: 'n1', draining: true }))
    await fleet.clock.advance(10_000)
    for (const value of values(fleet, 'engine/e')) expect(value).to.include({ controller: 'n2', draining: false })
  })

  // Guards against deleted entries that are restored by a region that was partitioned during the deletion.
  it('deletes entries permanently', async () => {
    const fleet = await startedFleet(6, 14)
    fleet.nodes[0]!.dissemination.publish('engine/e', 5, engineEntry(0))
    await fleet.clock.advance(2_000)
    const regionOf = new Map(fleet.nodes.map(node => [node.address, node.region]))
    fleet.network.canPass = (from, to) => (regionOf.get(from) === 'c') === (regionOf.get(to) === 'c')
    fleet.nodes[0]!.dissemination.publish('engine/e', 5, undefined)
    await fleet.clock.advance(1_800_000)
    expect(values(fleet, 'engine/e').filter(Boolean)).to.have.length(4)
    fleet.network.canPass = undefined
    await fleet.clock.advance(90_000)
    expect(values(fleet, 'engine/e').filter(Boolean)).to.have.length(0)
    for (const node of fleet.nodes) expect(node.dissemination.list('engine/')).to.have.length(0)
  })

  // Guards against a dead relay that prevents the broadcast of urgent changes.
  it('broadcasts without its relay', async () => {
    const fleet = await startedFleet(7, 21)
    const stopped = fleet.nodes.filter((_node, index) => index % 7 === 0)
    for (const node of stopped) node.stop()
    const rest = fleet.nodes.filter(node => !stopped.includes(node))
    for (const [index, node] of rest.entries()) node.dissemination.publish(`engine/e${index}`, 5, engineEntry(index))
    await fleet.clock.advance(3_000)
    for (const node of rest) expect(node.dissemination.list('engine/')).to.have.length(rest.length)
  })

  // Guards against load figures that change in encoding and decoding, and against invalid bytes that crash the node.
  it('packs loads', () => {
    const load = { running: 64, queued: 300, freeKvTokens: 1_048_576, stepMs: 23.75, reportedAtMs: 990 }
    expect(unpackLoads(1_000, packLoads(1_000, [[0xfedcba98, load]]))).to.deep.equal([[0xfedcba98, load]])
    expect(unpackLoads(1_000, Uint8Array.of(255, 255, 255, 255, 255, 255))).to.deep.equal([])
  })

  // Guards against changes that are altered by encoding and decoding, and against invalid bytes that crash the node.
  it('packs changes', () => {
    const names = fc.array(fc.string(), { maxLength: 3 })
    const version = fc.tuple(fc.nat(), fc.nat())
    const patch = fc.record({
      key: fc.string(),
      version,
      bases: fc.array(version, { maxLength: 3 }),
      set: fc.constantFrom({}, { fence: 7 }),
      lists: names.map(remove => ({ models: { set: [{ name: 'added' }], remove } }))
    })
    fc.assert(fc.property(fc.uniqueArray(patch, { selector: item => item.key }), fc.boolean(), (patches, withEntry) => {
      const changes = { entries: withEntry ? [{ key: 'k', epoch: 1, sequence: 2, value: null }] : [], patches }
      const unpacked = unpackChanges(packChanges(changes))
      if (unpacked instanceof Error) throw unpacked
      expect(unpacked.entries).to.deep.equal(changes.entries)
      expect(unpacked.patches).to.have.deep.members(patches)
    }), { seed: 1 })
    expect(unpackChanges(Uint8Array.of(1, 2, 3))).to.be.instanceOf(FrameError)
  })

  // Guards against an urgent change that is deferred for seconds because a change of the adapters follows it.
  it('keeps urgent changes urgent', async () => {
    const fleet = await startedFleet(8, 40)
    const { dissemination } = fleet.nodes[5]!
    dissemination.publish('engine/e', 5, engineEntry(1))
    await fleet.clock.advance(1_000)
    const adapter = { name: 'a', baseModel: 'model-5@v0', state: 'ready' as const, memoryBytes: 1e8 }
    dissemination.publish('engine/e', 5, engineEntry(1, { draining: true }))
    dissemination.publish('engine/e', 5, engineEntry(1, { draining: true, adapters: [adapter] }))
    await fleet.clock.advance(1_000)
    for (const value of values(fleet, 'engine/e')) expect(value).to.include({ draining: true })
  })

  // Guards against bundles with one patch per step of a model swap, and against a merged patch that some member cannot apply.
  it('merges the steps of a model swap into one patch', async () => {
    const fleet = await startedFleet(9, 40)
    const { dissemination } = fleet.nodes[5]!
    const first = engineEntry(2)
    dissemination.publish('engine/e', 5, first)
    await fleet.clock.advance(1_000)
    const patches: string[] = []
    let pulls = 0
    fleet.network.onSent = (_from, _to, message) => {
      if (message.kind === 'entries') pulls++
      const changes = message.kind === 'spread' && unpackChanges(message.changes)
      if (changes && !(changes instanceof Error)) patches.push(changes.patches.map(patch => patch.version[1]).join())
    }
    const loading = { ...first, models: [...first.models.slice(1), { name: 'added@v1', state: 'loading' as const, memoryBytes: 1e9 }] }
    dissemination.publish('engine/e', 5, { ...first, models: first.models.slice(1) })
    await fleet.clock.advance(50)
    dissemination.publish('engine/e', 5, loading)
    await fleet.clock.advance(1_000)
    for (const value of values(fleet, 'engine/e')) expect(value).to.deep.equal(loading)
    expect(new Set(patches.filter(Boolean))).to.deep.equal(new Set(['3']))
    expect(pulls).to.equal(0)
  })

  // Guards against an entry table that lists replaced or invalid values, or validates all values for each request.
  it('validates values once', async () => {
    const fleet = await startedFleet(10, 1)
    const { dissemination } = fleet.nodes[0]!
    let checks = 0
    const table = new EntryTable(dissemination, 'engine/', engineEntrySchema.refine(() => ++checks > 0))
    dissemination.publish('engine/e1', 5, engineEntry(1))
    dissemination.publish('engine/e2', 5, engineEntry(2))
    dissemination.publish('engine/broken', 5, { engine: 'broken' })
    for (let round = 0; round < 3; round++) expect(table.list()).to.deep.equal([engineEntry(1), engineEntry(2)])
    expect(checks).to.equal(2)
    dissemination.publish('engine/e1', 5, engineEntry(1, { running: 4, reportedAtMs: 7 }))
    dissemination.publish('engine/e2', 5, undefined)
    expect(table.list()).to.deep.equal([engineEntry(1, { running: 4, reportedAtMs: 7 })])
    expect(checks).to.equal(3)
  })
})
