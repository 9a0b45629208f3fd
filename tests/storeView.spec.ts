import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { ChangeFeed } from '../src/serving/changeFeed.js'
import type { Confirmation } from '../src/serving/peerMessages.js'
import { StoreView } from '../src/serving/storeView.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'

const rttMs = 24
const reportMs = 500

/** A leader and a follower, whose wall clock differs from its steady clock by `wall.aheadMs`. */
function pair () {
  const clock = new VirtualClock(10_000)
  const state = new StoreState(clock)
  const wall = { aheadMs: 1e12 }
  const link = { isUp: true, repliesAreRead: true }
  const seen = new Map<string, string | undefined>()
  let feed: ChangeFeed | undefined
  const viewOf = (store: MemoryStore, isLeader: boolean) => new StoreView({
    store,
    clock,
    random: new SeededRandom(1),
    wallMs: () => clock.nowMs() + wall.aheadMs,
    log: silentLog,
    isLeader: () => isLeader,
    needsConfirmation: () => true,
    listener: {
      onItems: () => {},
      onChange: change => { if (!isLeader) seen.set(change.key, change.value); else if (change.key.startsWith('told/')) feed?.record(change) },
      onRevision: revision => { if (isLeader) feed?.advance(revision) },
      onOutageEnded: () => {}
    }
  })
  const stores = { leader: new MemoryStore(state), follower: new MemoryStore(state) }
  const leader = viewOf(stores.leader, true)
  const follower = viewOf(stores.follower, false)
  const unread: Confirmation[] = []
  const readReplies = () => { for (const reply of unread.splice(0)) follower.onConfirmation(reply) }
  const report = () => {
    if (!link.isUp || !feed) return
    const stamp = follower.stamp()
    clock.setTimer(rttMs / 2, () => {
      const reply = { stamp, revision: feed!.neededRevision, ageMs: Math.ceil(leader.confirmedAgeMs) }
      clock.setTimer(rttMs / 2, () => {
        unread.push(reply)
        if (link.repliesAreRead) readReplies()
      })
    })
  }
  const tick = () => {
    if (link.isUp && feed) follower.onFeed(feed.nextRanges()[0]!, leader.ageMs)
    report()
    clock.setTimer(reportMs, tick)
  }
  const join = async () => {
    void leader.run()
    void follower.run()
    await clock.advance(100)
    feed = new ChangeFeed(clock, leader.revision!)
    tick()
    await clock.advance(3000)
  }
  /** Largest confirmed age of the follower within `forMs`. */
  const oldest = async (forMs: number) => {
    let ageMs = 0
    for (let passedMs = 0; passedMs < forMs; passedMs += 10) {
      await clock.advance(10)
      ageMs = Math.max(ageMs, follower.confirmedAgeMs)
    }
    return ageMs
  }
  return { clock, state, wall, link, seen, leader, follower, stores, unread, readReplies, report, join, oldest }
}

describe('confirmed age of the store view', () => {
  // Guards against nodes in touch that answer unknown keys with 503, since their configuration looks old.
  it('stays under a second through the leader alone, while the store changes and while it does not', async () => {
    const { clock, state, stores, join, oldest } = pair()
    await join()
    stores.follower.fault = 'silent'
    expect(await oldest(3000)).to.be.below(900)
    const write = () => {
      state.write('servers/e1', 'load')
      clock.setTimer(90, write)
    }
    write()
    expect(await oldest(3000)).to.be.below(900)
  })

  // Guards against the same while there is no leader.
  it('stays under a second with a watch of its own', async () => {
    const { clock, link, join, oldest } = pair()
    await join()
    link.isUp = false
    await clock.advance(2500)
    expect(await oldest(3000)).to.be.below(900)
  })

  // Guards against a node that counts as current because feed messages and replies lay unread through its freeze.
  it('counts replies from their stamps and the feed not at all', async () => {
    const { clock, link, follower, stores, readReplies, join } = pair()
    await join()
    stores.follower.fault = 'silent'
    link.repliesAreRead = false
    await clock.advance(6000)
    link.isUp = false
    await clock.advance(6000)
    expect(follower.confirmedAgeMs).to.be.above(11_000)
    readReplies()
    expect(follower.confirmedAgeMs).to.be.above(6000)
    follower.onFeed({ fromRevision: follower.revision!, revision: follower.revision!, changes: [] }, 0)
    expect(follower.confirmedAgeMs).to.be.above(6000)
  })

  // Guards against an answer of the store that lay unread through a freeze: it says what was current when it was sent.
  it('counts a watch from when it was sent', async () => {
    const clock = new VirtualClock(10_000)
    const state = new StoreState(clock)
    let release: (() => void) | undefined
    class HeldStore extends MemoryStore {
      override async watch (...args: Parameters<MemoryStore['watch']>) {
        const result = await super.watch(...args)
        await new Promise<void>(resolve => { release = resolve })
        return result
      }
    }
    const view = new StoreView({
      store: new HeldStore(state), clock, random: new SeededRandom(1), wallMs: () => clock.nowMs(), log: silentLog, needsConfirmation: () => true, listener: { onItems: () => {}, onChange: () => {}, onOutageEnded: () => {} }
    })
    expect(view.confirmedAgeMs).to.equal(Infinity)
    void view.run()
    await clock.advance(7000)
    release!()
    await clock.advance(0)
    expect(view.confirmedAgeMs).to.be.above(6900)
  })

  // Guards against a suspended machine, whose steady clock stood still.
  it('grows by the wall clock while the steady clock stands still, for one round trip', async () => {
    const { clock, wall, follower, stores, report, join } = pair()
    await join()
    stores.follower.fault = 'silent'
    wall.aheadMs += 30_000
    expect(follower.confirmedAgeMs).to.be.above(30_000)
    report()
    // The leader has the same clock here, so its own view must be confirmed first.
    await clock.advance(300)
    report()
    await clock.advance(rttMs)
    expect(follower.confirmedAgeMs).to.be.below(900)
  })

  // Guards against a wall clock that is set back and hides the time that passed.
  it('grows by the steady clock when the wall clock is set back', async () => {
    const { clock, wall, link, follower, stores, join } = pair()
    await join()
    stores.follower.fault = 'silent'
    link.isUp = false
    wall.aheadMs -= 60_000
    await clock.advance(5000)
    expect(follower.confirmedAgeMs).to.be.above(5000)
  })

  // Guards against a leader without the store that keeps the nodes which follow it in the belief of being current.
  it('is no less than that of the leader, and the node then watches for itself', async () => {
    const { clock, state, follower, seen, stores, join, oldest } = pair()
    await join()
    stores.leader.fault = 'silent'
    await clock.advance(3500)
    state.write('told/config', 'v2')
    expect(await oldest(3000)).to.be.below(900)
    expect(seen.get('told/config')).to.equal('v2')
    stores.follower.fault = 'silent'
    await clock.advance(6000)
    expect(follower.confirmedAgeMs).to.be.above(5000)
  })

  // Guards against a confirmation that is applied before the changes that it covers.
  it('is confirmed only when all changes up to the named revision are applied', async () => {
    const { clock, link, follower, stores, join } = pair()
    await join()
    stores.follower.fault = 'silent'
    link.isUp = false
    await clock.advance(3000)
    const revision = follower.revision! + 1
    follower.onConfirmation({ stamp: follower.stamp(), revision, ageMs: 0 })
    expect(follower.confirmedAgeMs).to.be.above(3000)
    follower.onFeed({ fromRevision: revision - 1, revision, changes: [['told/config', revision, 'v2']] }, 0)
    expect(follower.confirmedAgeMs).to.be.below(10)
  })

  // Guards against a node that refuses all keys because its leader is of an earlier version, which does not reply to stamps.
  it('makes the node watch for itself when the feed comes without confirmations', async () => {
    const { clock, link, join, oldest } = pair()
    await join()
    link.repliesAreRead = false
    await clock.advance(3000)
    expect(await oldest(5000)).to.be.below(3000)
  })
})
