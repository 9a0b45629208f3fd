import { randomBytes } from 'node:crypto'
import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { maxFrameBytes } from '../src/protocol/framing.js'
import { ChangeFeed } from '../src/serving/changeFeed.js'
import type { StoreChange } from '../src/serving/coordination.js'
import { FleetSize } from '../src/serving/fleetSize.js'
import { packChanges, unpackChanges } from '../src/serving/peerMessages.js'
import { positionOf } from '../src/serving/storePosition.js'
import { StoreView } from '../src/serving/storeView.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'

class CountingStore extends MemoryStore {
  calls = 0

  override list (prefix: string) {
    this.calls++
    return super.list(prefix)
  }

  override watch (...args: Parameters<MemoryStore['watch']>) {
    this.calls++
    return super.watch(...args)
  }
}

/** A leader and a follower, which receives the leader's feed every 250 ms while `link.isUp`. */
function pair () {
  const clock = new VirtualClock(10_000)
  const state = new StoreState(clock)
  const seen = new Map<string, string | undefined>()
  const order: number[] = []
  let returns = 0
  const viewOf = (store: MemoryStore, isLeader: boolean, onChange: (change: StoreChange) => void, onRevision: (revision: number) => void) => new StoreView({
    store,
    clock,
    random: new SeededRandom(1),
    wallMs: () => clock.nowMs(),
    log: silentLog,
    isLeader: () => isLeader,
    listener: {
      onItems: items => { for (const item of items) onChange(item) },
      onChange,
      onRevision,
      onOutageEnded: () => { if (!isLeader) returns++ }
    }
  })
  const leaderStore = new CountingStore(state)
  const followerStore = new CountingStore(state)
  let changes: ChangeFeed | undefined
  const leader = viewOf(leaderStore, true, change => { if (change.key.startsWith('told/')) changes?.record(change) }, revision => changes?.advance(revision))
  const follower = viewOf(followerStore, false, change => {
    seen.set(change.key, change.value)
    order.push(change.revision)
  }, () => {})
  const link = { isUp: false }
  const tick = () => {
    if (link.isUp && changes) follower.onFeed(changes.nextRanges()[0]!, leader.ageMs)
    clock.setTimer(250, tick)
  }
  const join = async () => {
    void leader.run()
    void follower.run()
    await clock.advance(100)
    changes = new ChangeFeed(clock, leader.revision!)
    follower.onFeed(changes.catchUpRanges()[0]!, leader.ageMs)
    link.isUp = true
    tick()
    await clock.advance(3000)
  }
  return { clock, state, seen, order, leader, follower, leaderStore, followerStore, link, join, returns: () => returns }
}

/** Text that does not compress much below half of its size, like keys in a configuration. */
const randomText = (length: number) => randomBytes(length / 2).toString('hex')

describe('change feed', () => {
  it('requires no store calls of a follower while engines write all the time', async () => {
    // Guards against 88 nodes whose watches each return with every heartbeat of 48 servers.
    const { clock, state, followerStore, seen, join } = pair()
    await join()
    const { calls } = followerStore
    for (let beat = 0; beat < 100; beat++) {
      state.write('servers/e1', `load ${beat}`)
      await clock.advance(50)
    }
    state.write('told/config', 'v2')
    await clock.advance(700)
    expect(followerStore.calls).to.equal(calls)
    expect(seen.get('told/config')).to.equal('v2')
  })

  it('watches the store itself when the leader is unresponsive', async () => {
    const { clock, state, seen, link, join } = pair()
    await join()
    link.isUp = false
    await clock.advance(500)
    state.write('told/config', 'v3')
    await clock.advance(1200)
    expect(seen.get('told/config')).to.equal('v3')
  })

  it('watches the store itself when the leader gets no response from the store', async () => {
    // Guards against a stale configuration on nodes that could read the newer one.
    const { clock, state, seen, leaderStore, join } = pair()
    await join()
    leaderStore.fault = 'silent'
    await clock.advance(300)
    state.write('told/config', 'v4')
    await clock.advance(1800)
    expect(seen.get('told/config')).to.equal('v4')
  })

  it('returns to the feed without missing or duplicating a change', async () => {
    const { clock, state, order, followerStore, link, join } = pair()
    await join()
    for (let round = 0; round < 6; round++) {
      link.isUp = round % 2 === 1
      for (let write = 0; write < 5; write++) {
        state.write('told/config', `${round}.${write}`)
        await clock.advance(400)
      }
    }
    await clock.advance(2000)
    const told = state.history.filter(({ key }) => key === 'told/config').map(({ revision }) => revision)
    expect(order).to.deep.equal(told)
    const { calls } = followerStore
    await clock.advance(3000)
    expect(followerStore.calls).to.equal(calls)
  })

  it('ignores a leader that is behind', async () => {
    const { clock, state, follower, seen, link, join } = pair()
    await join()
    link.isUp = false
    state.write('told/config', 'new')
    await clock.advance(2000)
    follower.onFeed({ fromRevision: 1, revision: 1, changes: [['told/config', 1, 'old']] }, 0)
    expect(seen.get('told/config')).to.equal('new')
    expect(follower.isFedByLeader).to.equal(false)
  })

  // Guards against a node that misses what changed while the store came back from a copy, because the leader has seen it first.
  it('reads the store again when the leader has read it in a later era', async () => {
    const { clock, state, follower, followerStore, seen, join } = pair()
    await join()
    const { calls } = followerStore
    state.revision = positionOf(1, 3)
    state.items.set('told/config', { key: 'told/config', value: 'new', revision: positionOf(1, 2), leaseId: undefined })
    follower.onFeed({ fromRevision: state.revision, revision: state.revision, changes: [] }, 0)
    await clock.advance(1500)
    expect(followerStore.calls).to.be.above(calls)
    expect(seen.get('told/config')).to.equal('new')
  })

  it('reports the end of an outage once', async () => {
    const { clock, leaderStore, followerStore, returns, join } = pair()
    await join()
    leaderStore.fault = followerStore.fault = 'refuses'
    await clock.advance(4000)
    leaderStore.fault = followerStore.fault = 'none'
    await clock.advance(4000)
    expect(returns()).to.equal(1)
  })

  // Guards against a node that counts as current while the leader has not passed on the removal of a key.
  it('asks of a current node every recorded change, and no others', () => {
    const feed = new ChangeFeed(new VirtualClock(0), 3)
    feed.advance(4)
    expect(feed.neededRevision).to.equal(3)
    feed.record({ key: 'told/config', revision: 5, value: 'v2' })
    feed.advance(6)
    expect(feed.neededRevision).to.equal(6)
    feed.nextRanges()
    feed.advance(7)
    expect(feed.neededRevision).to.equal(6)
  })

  it('sends the newest of many changes of a key', () => {
    // Guards against a message that grows with the number of changes: 25 configurations of 286 KB in 2 s were too large for one.
    const clock = new VirtualClock(0)
    const feed = new ChangeFeed(clock, 0)
    for (let revision = 1; revision <= 25; revision++) feed.record({ key: 'told/config', revision, value: randomText(286_000) })
    feed.record({ key: 'told/other', revision: 26 })
    feed.advance(26)
    expect(feed.nextRanges().map(({ changes }) => changes.map(([key, revision]) => [key, revision]))).to.deep.equal([[['told/config', 25], ['told/other', 26]]])
    const [range, ...others] = feed.catchUpRanges()
    expect(others).to.deep.equal([])
    expect([range!.fromRevision, range!.revision, range!.changes.length]).to.deep.equal([0, 26, 2])
  })

  it('splits changes that do not fit into one message', () => {
    // Guards against a message that grows with the number of keys, and against a part of a commit that a node takes for the whole.
    const feed = new ChangeFeed(new VirtualClock(0), 0)
    const revisions = [1, 2, 3, 3, 3, 4, 5, 6]
    revisions.forEach((revision, index) => feed.record({ key: `told/${index}`, revision, value: randomText(400_000) }))
    feed.advance(7)
    const ranges = feed.nextRanges()
    expect(ranges.map(({ changes }) => changes.map(([, revision]) => revision))).to.deep.equal([[1, 2], [3, 3, 3], [4, 5], [6]])
    expect(ranges.map(({ fromRevision, revision }) => [fromRevision, revision])).to.deep.equal([[0, 2], [2, 3], [3, 5], [5, 7]])
    for (const { changes } of ranges) expect(packChanges(changes).length).to.be.below(maxFrameBytes)
    expect(feed.catchUpRanges(3).map(({ fromRevision, revision }) => [fromRevision, revision])).to.deep.equal([[3, 5], [5, 7]])
  })

  it('packs and unpacks changes', () => {
    expect(unpackChanges(packChanges([['a', 1, 'x'], ['b', 2, null]]))).to.deep.equal([['a', 1, 'x'], ['b', 2, null]])
    expect(unpackChanges(packChanges([]))).to.deep.equal([])
    expect(unpackChanges(Buffer.from('nonsense'))).to.be.instanceOf(Error)
  })
})

describe('fleet size', () => {
  it('does not shrink while nodes restart', async () => {
    // Guards against shares of budgets and connections that add up to more than the total.
    const clock = new VirtualClock(10_000)
    const size = new FleetSize(clock)
    size.adopt(88)
    size.count(3)
    expect(size.value).to.equal(88)
    await clock.advance(10_000)
    size.count(90)
    size.count(5)
    expect(size.value).to.equal(90)
    await clock.advance(31_000)
    size.count(60)
    expect(size.value).to.equal(60)
  })
})
