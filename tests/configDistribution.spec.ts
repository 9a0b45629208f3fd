import { expect } from 'chai'
import fc from 'fast-check'
import { NotRunError } from '../src/base/errors.js'
import { FindingsError } from '../src/base/findings.js'
import type { Log } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import type { FleetConfig } from '../src/config/fleetConfig.js'
import { ConfigDistribution } from '../src/fleet/configDistribution.js'
import { applyTextDelta, textDelta } from '../src/fleet/textDelta.js'
import type { KeyValueEntry, KeyValueStore, WatchResult } from '../src/external/keyValueStore.js'
import type { MemberEntry } from '../src/protocol/messages.js'
import { FakeNetwork } from './fixtures/network.js'
import { VirtualClock } from '../src/base/clock.js'
import { zones } from './fixtures/nodes.js'

/** A store with the configuration keys. Its watch can miss changes without reporting the gap. */
class FakeStore {
  readonly entries = new Map<string, KeyValueEntry>()
  isDown = false
  missesWatchedChanges = false
  calls = 0
  /** Number of reads of the text, whose size counts toward the limits of the service. */
  textReads = 0
  private revision = 0

  constructor (private readonly clock: VirtualClock) {}

  /** Writes the text and then its version, as a proposer does. Without the version, as a proposer that dies in between. */
  write (version: number, text = `text ${version}`, { withVersion = true }: { withVersion?: boolean } = {}): void {
    const revision = this.put('config/current', { version, text })
    if (withVersion) this.put('config/version', { version, revision })
  }

  async get (key: string): Promise<KeyValueEntry | undefined> {
    this.calls++
    if (this.isDown) throw new NotRunError('store', 'down')
    return this.countTextRead(this.entries.get(key))
  }

  async watch (prefix: string, afterRevision: number, { timeoutMs }: { timeoutMs: number }): Promise<WatchResult> {
    this.calls++
    if (this.isDown) throw new NotRunError('store', 'down')
    const endMs = this.clock.nowMs() + timeoutMs
    const changed = () => this.missesWatchedChanges ? [] : [...this.entries.values()].filter(entry => entry.key.startsWith(prefix) && entry.revision > afterRevision)
    while (changed().length === 0 && this.clock.nowMs() < endMs) {
      await new Promise<void>(resolve => { this.clock.setTimer(50, resolve) })
    }
    return { entries: changed().map(entry => this.countTextRead(entry)!), revision: this.revision, complete: true }
  }

  private put (key: string, value: object): number {
    this.entries.set(key, { key, value: JSON.stringify(value), revision: ++this.revision })
    return this.revision
  }

  private countTextRead (entry: KeyValueEntry | undefined): KeyValueEntry | undefined {
    if (entry?.key === 'config/current') this.textReads++
    return entry
  }
}

/** Nodes with a fixed list of members. */
class ConfigFleet {
  readonly clock = new VirtualClock(1_000_000)
  readonly network: FakeNetwork
  readonly store = new FakeStore(this.clock)
  readonly members: MemberEntry[] = []
  readonly nodes: ConfigDistribution[] = []
  readonly events: string[] = []

  constructor (seed: number, count: number) {
    this.network = new FakeNetwork(this.clock, new SeededRandom(seed), false)
    for (let index = 0; index < count; index++) {
      const [region, availabilityZone] = zones[index % zones.length]!.split('/') as [string, string]
      this.members.push({ name: `n${index}`, address: `n${index}:1`, region, availabilityZone, incarnation: 1, state: 'alive', configVersion: 0, ready: true, sequence: 1 })
    }
  }

  startNode (index: number): ConfigDistribution {
    const self = this.members[index]!
    const log: Log = (_level, event, fields) => { this.events.push(`${self.name} ${event} ${JSON.stringify(fields?.findings ?? '')}`) }
    const node = new ConfigDistribution({
      clock: this.clock,
      random: new SeededRandom(index + 1),
      log,
      network: this.network.of(self.address),
      keyValueStore: this.store as unknown as KeyValueStore,
      members: () => this.members,
      self: self.name,
      selfAddress: self.address,
      parse: (text, version) => {
        if (text.includes('broken')) throw new FindingsError([{ file: 'f', line: 3, key: 'k', severity: 'error', found: text, allowed: 'text' }])
        return { version } as FleetConfig
      },
      seeds: async () => []
    })
    node.onApplied(config => { self.configVersion = config.version })
    this.network.listen(self.address, async message => await node.handle(message) ?? { kind: 'error', message: 'unknown' })
    this.nodes[index] = node
    node.start().catch(() => {})
    return node
  }

  async startAll (): Promise<void> {
    this.members.forEach((_, index) => this.startNode(index))
    await this.clock.advance(10_000)
    this.expectVersion(this.store.entries.size > 0 ? 1 : 0)
  }

  expectVersion (version: number): void {
    expect(this.nodes.map(node => node.version()).filter(found => found !== version)).to.deep.equal([])
  }
}

describe('configuration distribution', () => {
  // Guards against a change that takes longer than 7 s to reach all nodes, or needs too many calls of the service.
  it('reaches 340 nodes', async () => {
    for (const lossRate of [0, 0.1]) {
      const fleet = new ConfigFleet(1, 340)
      fleet.store.write(1)
      await fleet.startAll()
      fleet.network.lossRate = lossRate
      const callsBefore = fleet.store.calls
      const readsBefore = fleet.store.textReads
      fleet.store.write(2)
      await fleet.clock.advance(7_000)
      fleet.expectVersion(2)
      expect(fleet.nodes[77]!.currentText()).to.equal('text 2')
      expect(fleet.store.calls - callsBefore).to.be.at.most(14 * 7)
      // One read in each region, and the unconditional one every 64 s.
      if (lossRate === 0) expect(fleet.store.textReads - readsBefore).to.be.at.most(4)
      for (const node of fleet.nodes) node.stop()
    }
  })

  // Guards against regions without access to the service that stay on the old version.
  it('distributes a change across regions', async () => {
    const fleet = new ConfigFleet(2, 42)
    fleet.store.write(1)
    await fleet.startAll()
    fleet.store.isDown = true
    fleet.nodes[0]!.applyAccepted(2, 'text 2')
    await fleet.clock.advance(7_000)
    fleet.expectVersion(2)
  })

  // Guards against a node that starts during an outage and applies the version of the first peer that replies.
  it('starts from its peers', async () => {
    const fleet = new ConfigFleet(3, 9)
    for (let index = 0; index < 8; index++) fleet.startNode(index)
    fleet.store.write(1)
    await fleet.clock.advance(20_000)
    fleet.store.isDown = true
    fleet.network.canPass = () => false
    fleet.nodes[6]!.applyAccepted(5, 'text 5')
    fleet.network.canPass = (from, to) => from === 'n8:1' || to === 'n8:1'
    const node = fleet.startNode(8)
    await fleet.clock.advance(3_000)
    expect(node.version()).to.equal(5)
  })

  // Guards against a node that starts without a configuration, or stops retrying.
  it('waits for a configuration', async () => {
    const fleet = new ConfigFleet(4, 1)
    fleet.store.isDown = true
    const node = fleet.startNode(0)
    await fleet.clock.advance(120_000)
    expect(node.current()).to.equal(undefined)
    fleet.store.isDown = false
    fleet.store.write(3)
    await fleet.clock.advance(7_000)
    expect(node.version()).to.equal(3)
  })

  // Guards against running or starting nodes that revert when the service returns an older version.
  it('never reverts', async () => {
    const fleet = new ConfigFleet(5, 14)
    fleet.store.write(1)
    await fleet.startAll()
    fleet.store.write(4)
    await fleet.clock.advance(7_000)
    fleet.store.write(2)
    fleet.startNode(3)
    await fleet.clock.advance(120_000)
    fleet.expectVersion(4)
    expect(fleet.events.some(event => event.includes('config-version-lower'))).to.equal(true)
  })

  // Guards against a change that is never applied because the watch missed it without reporting a gap.
  it('detects a change that the watch missed', async () => {
    const fleet = new ConfigFleet(6, 40)
    fleet.store.write(1)
    await fleet.startAll()
    fleet.store.missesWatchedChanges = true
    fleet.store.write(2)
    await fleet.clock.advance(7_000)
    fleet.expectVersion(2)
  })

  // Guards against an invalid text that is applied, or that blocks later versions.
  it('rejects an invalid text', async () => {
    const fleet = new ConfigFleet(7, 9)
    fleet.store.write(1)
    await fleet.startAll()
    fleet.store.write(2, 'broken text')
    await fleet.clock.advance(7_000)
    fleet.expectVersion(1)
    expect(fleet.events.find(event => event.includes('config-rejected'))).to.contain('f:3: error: k: broken text')
    fleet.store.write(3)
    await fleet.clock.advance(7_000)
    fleet.expectVersion(3)
  })

  // Guards against deltas that yield a different text, or that are applied to the wrong base.
  it('sends changes as deltas', async () => {
    fc.assert(fc.property(fc.string({ unit: 'binary' }), fc.string({ unit: 'binary' }), (base, text) => {
      const delta = textDelta(base, text)
      expect(applyTextDelta(base, delta)).to.equal(text)
      if (delta.start + delta.end > 0) expect(applyTextDelta(`x${base}y`, delta)).to.equal(undefined)
    }), { seed: 1 })
    const fleet = new ConfigFleet(8, 20)
    const kinds: string[] = []
    fleet.network.onSent = (_from, _to, message) => {
      if (message.kind === 'configBody' && message.version === 2) kinds.push(message.delta ? 'delta' : 'whole')
    }
    fleet.store.write(1)
    await fleet.startAll()
    fleet.nodes[4]!.stop()
    fleet.nodes[4]!.applyAccepted(2, 'text 2')
    await fleet.clock.advance(7_000)
    fleet.expectVersion(2)
    expect(new Set(kinds)).to.deep.equal(new Set(['delta']))
  })

  // Guards against a node that cannot apply a version because its own text differs from the base of the delta.
  it('falls back to the complete text', async () => {
    const fleet = new ConfigFleet(9, 2)
    fleet.nodes[0] = fleet.startNode(0)
    fleet.nodes[1] = fleet.startNode(1)
    fleet.network.canPass = () => false
    fleet.nodes[0].applyAccepted(1, 'one text')
    fleet.nodes[1].applyAccepted(1, 'other text')
    fleet.network.canPass = undefined
    fleet.nodes[0].applyAccepted(2, 'one text 2')
    await fleet.clock.advance(7_000)
    expect(fleet.nodes[1].currentText()).to.equal('one text 2')
  })

  // Guards against an accepted change that is not detected because its proposer died before it wrote the version key.
  it('detects a change without its version key', async () => {
    const fleet = new ConfigFleet(10, 40)
    fleet.store.write(1)
    await fleet.startAll()
    fleet.store.write(2, 'text 2', { withVersion: false })
    await fleet.clock.advance(7_000)
    fleet.expectVersion(2)
  })

  // Guards against a node that stays on the old version for seconds because no announcement reached it.
  it('pulls when a member shows a higher version', async () => {
    const fleet = new ConfigFleet(11, 40)
    fleet.store.write(1)
    await fleet.startAll()
    const missed = fleet.nodes[39]!
    fleet.network.listen('n39:1', async message => message.kind === 'configVersion' ? { kind: 'ok' } : await missed.handle(message) ?? { kind: 'ok' })
    fleet.nodes[0]!.applyAccepted(2, 'text 2')
    await fleet.clock.advance(3_000)
    expect(missed.version()).to.equal(2)
  })

  // Guards against a delay between two watches, during which a change is not detected.
  it('watches without gaps', async () => {
    const fleet = new ConfigFleet(12, 2)
    fleet.store.write(1)
    await fleet.startAll()
    for (let version = 2; version < 12; version++) {
      fleet.store.write(version)
      await fleet.clock.advance(800)
      fleet.expectVersion(version)
      await fleet.clock.advance(2_900)
    }
  })
})
