import { expect } from 'chai'
import { sleep, VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { Leadership } from '../src/serving/leadership.js'
import { StoreView } from '../src/serving/storeView.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'

const prefix = 'own/'

class Candidate {
  readonly store: MemoryStore
  readonly leadership: Leadership
  readonly view: StoreView
  readonly terms: (number | undefined)[] = []
  fence: number | undefined
  outages = 0
  isOwnSuccessor = false

  constructor (readonly name: string, state: StoreState, clock: VirtualClock, seed: number, cores: number) {
    this.store = new MemoryStore(state)
    const random = new SeededRandom(seed)
    this.leadership = new Leadership({
      store: this.store,
      clock,
      random,
      log: silentLog,
      prefix,
      node: name,
      ip: `10.0.0.${seed}`,
      cores,
      minimumLeaseMs: 1000,
      onOwnLeadership: (fence, { isOwnSuccessor }) => {
        this.fence = fence
        this.isOwnSuccessor = isOwnSuccessor
        this.terms.push(fence)
      },
      onLeader: () => {}
    })
    this.view = new StoreView({
      store: this.store,
      clock,
      random,
      wallMs: () => clock.nowMs(),
      log: silentLog,
      listener: {
        onItems: items => this.leadership.onItems(items),
        onChange: change => this.leadership.onChange(change),
        onOutageEnded: () => { this.outages++ }
      }
    })
    void this.view.run()
    void this.leadership.run()
  }
}

function candidates (count: number, { coresOf = (_index: number): number => 1 } = {}) {
  const clock = new VirtualClock(10_000)
  const state = new StoreState(clock)
  const all = Array.from({ length: count }, (_, index) => new Candidate(`n${index}`, state, clock, index + 1, coresOf(index)))
  const leaders = () => all.filter(({ fence }) => fence !== undefined)
  return { clock, state, all, leaders }
}

describe('leadership', () => {
  it('elects one leader that all know', async () => {
    const { clock, all, leaders } = candidates(5)
    await clock.advance(3000)
    expect(leaders()).to.have.length(1)
    for (const { leadership } of all) expect(leadership.leader?.node).to.equal(leaders()[0]!.name)
  })

  it('elects one of the larger nodes', async () => {
    // Guards against a leader without the processor time to work for all nodes.
    const { clock, leaders } = candidates(12, { coresOf: index => index < 2 ? 1.35 : 0.324 })
    await clock.advance(3000)
    expect(leaders().map(({ name }) => ['n0', 'n1'].includes(name))).to.deep.equal([true])
  })

  it('ends the term as soon as the store reports that the lease has ended', async () => {
    const { clock, state, leaders } = candidates(1)
    await clock.advance(3000)
    const [leader] = leaders()
    const { fence } = leader!
    state.leases.clear()
    await clock.advance(1000)
    expect(leader!.fence).to.equal(undefined)
    state.write('own/leader', undefined)
    await clock.advance(3000)
    expect(leader!.fence).to.be.above(fence!)
  })

  it('keeps a term that it won while the renewal response of its earlier lease was delayed', async () => {
    // Guards against a node that holds the lease and does not lead, while the others take it for the leader.
    const { clock, state, leaders } = candidates(1)
    await clock.advance(3000)
    const [leader] = leaders()
    const { store, terms } = leader!
    const keep = store.keepLease.bind(store)
    const renewed: number[] = []
    store.keepLease = async lease => {
      const isRenewed = await keep(lease)
      renewed.push(lease.id)
      if (renewed.length === 1) await sleep(clock, 700)
      return isRenewed
    }
    state.leases.clear()
    while (renewed.length === 0) await clock.advance(5)
    state.write('own/leader', undefined)
    await clock.advance(5000)
    expect(terms).to.deep.equal([terms[0], undefined, terms[2]])
    expect(leader!.fence).to.be.above(terms[0]!)
  })

  it('does not start a term after the leader key was seen with another owner', async () => {
    // Guards against a node without a leader because the late response to its election hides a later leader.
    const { clock, state, all: [candidate] } = candidates(1)
    const { store, leadership } = candidate!
    const commit = store.commit.bind(store)
    store.commit = async change => {
      const result = await commit(change)
      await sleep(clock, 1400)
      return result
    }
    while (!state.items.has('own/leader')) await clock.advance(5)
    await clock.advance(100)
    state.write('own/leader', undefined)
    state.write('own/leader', 'n1 10.0.0.9 other')
    await clock.advance(10_000)
    expect(leadership.leader?.node).to.equal('n1')
    expect(leadership.isLeader).to.equal(false)
  })

  it('replaces a leader that is disconnected from the store, with a higher fencing token', async () => {
    const { clock, all, leaders } = candidates(4)
    await clock.advance(3000)
    const [old] = leaders()
    old!.store.fault = 'silent'
    await clock.advance(6000)
    const successor = leaders().find(one => one !== old)!
    expect(successor.fence).to.be.above(old!.fence!)
    expect(old!.leadership.isLeaseDoubtful).to.equal(true)
    old!.store.fault = 'none'
    await clock.advance(6000)
    // The old leader learns of its successor and stays an ordinary node.
    expect(leaders()).to.deep.equal([successor])
    expect(all.every(({ leadership }) => leadership.leader?.node === successor.name)).to.equal(true)
  })

  it('keeps its leader through an outage of the store in which leases pause', async () => {
    const { clock, state, all, leaders } = candidates(3)
    await clock.advance(3000)
    const [leader] = leaders()
    for (const { store } of all) store.fault = 'refuses'
    for (const lease of state.leases.values()) lease.endsAtMs += 5000
    await clock.advance(5000)
    for (const { store } of all) store.fault = 'none'
    await clock.advance(3000)
    expect(leaders()).to.deep.equal([leader])
    expect(all.every(({ outages }) => outages === 1)).to.equal(true)
  })

  it('learns from the store whether an election with a lost response succeeded', async () => {
    const { clock, all, leaders } = candidates(3)
    for (const { store } of all) store.fault = 'answers-lost'
    await clock.advance(4000)
    expect(leaders()).to.have.length(1)
  })

  it('ends the term when its node stops, and a successor is elected after the lease', async () => {
    const { clock, all, leaders } = candidates(3)
    await clock.advance(3000)
    const [old] = leaders()
    old!.leadership.stop()
    expect(old!.fence).to.equal(undefined)
    const stoppedAtMs = clock.nowMs()
    while (leaders().length === 0 && clock.nowMs() < stoppedAtMs + 10_000) await clock.advance(100)
    // The commands of two leaders must be separated in time.
    expect(clock.nowMs() - stoppedAtMs).to.be.within(2000, 4500)
    expect(all.filter(one => one !== old).some(({ fence }) => fence !== undefined)).to.equal(true)
  })

  it('resigns when an engine has seen a higher fencing token', async () => {
    const { clock, leaders } = candidates(1)
    await clock.advance(3000)
    const [leader] = leaders()
    leader!.leadership.resign()
    expect(leader!.fence).to.equal(undefined)
  })

  describe('with a store that comes back from a copy', () => {
    it('goes on with a higher fencing token if the key and the lease are in the copy', async () => {
      const { clock, state, all, leaders } = candidates(3)
      await clock.advance(3000)
      const [leader] = leaders()
      const { fence } = leader!
      const copy = state.copy()
      await clock.advance(2000)
      state.restore(copy)
      await clock.advance(6000)
      expect(leaders()).to.deep.equal([leader])
      expect(leader!.fence).to.be.above(fence!)
      expect(leader!.isOwnSuccessor).to.equal(true)
      expect(all.map(({ leadership }) => leadership.leader?.fence)).to.deep.equal(all.map(() => leader!.fence))
    })

    it('elects a leader with a higher fencing token if the copy has none', async () => {
      const { clock, state, all, leaders } = candidates(3)
      const copy = state.copy()
      await clock.advance(5000)
      const { fence } = leaders()[0]!
      state.restore(copy)
      await clock.advance(3000)
      expect(leaders()).to.have.length(1)
      expect(leaders()[0]!.fence).to.be.above(fence!)
      expect(all.every(({ outages }) => outages === 1)).to.equal(true)
    })

    // Guards against two leaders whose orders alternate, since no lease separates their terms.
    it('tells an earlier leader whose key comes back that another one led since', async () => {
      const { clock, state, all, leaders } = candidates(2)
      await clock.advance(3000)
      const [earlier] = leaders()
      const copy = state.copy()
      earlier!.store.fault = 'silent'
      await clock.advance(8000)
      earlier!.store.fault = 'none'
      await clock.advance(6000)
      const [later] = leaders()
      expect(later).to.not.equal(earlier)
      state.restore(copy)
      await clock.advance(3000)
      expect(leaders()).to.deep.equal([earlier])
      expect(earlier!.isOwnSuccessor).to.equal(false)
      expect(earlier!.fence).to.be.above(later!.terms.at(-2) ?? 0)
      // Its lease came back with the key, and is renewed.
      await clock.advance(10_000)
      expect(leaders()).to.deep.equal([earlier])
      expect(all.every(({ leadership }) => leadership.leader?.node === earlier!.name)).to.equal(true)
    })
  })

  it('lists the store again when its history was lost', async () => {
    const { clock, state, all, leaders } = candidates(3)
    await clock.advance(3000)
    const [old] = leaders()
    state.write('own/leader', 'other 10.0.0.9 x')
    state.compact()
    await clock.advance(5000)
    expect(old!.fence).to.equal(undefined)
    expect(all.map(({ leadership }) => leadership.leader?.node)).to.deep.equal(['other', 'other', 'other'])
  })
})
