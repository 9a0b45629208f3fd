import { expect } from 'chai'
import fc from 'fast-check'
import { VirtualClock } from '../src/base/clock.js'
import { configKey, configVersionKey, propose, readConfigVersion, readConfigRecord, readHistory } from '../src/config/proposal.js'
import type { ConfigChange, ProposalResult } from '../src/config/proposal.js'
import { FaultyKeyValueStore } from './fixtures/faultyKeyValueStore.js'

const text = '[fleet]\n'

function setUp () {
  const clock = new VirtualClock(1_000)
  const store = new FaultyKeyValueStore(clock)
  const start = (baseVersion: number, proposalId: string, change: Partial<ConfigChange> = {}, timeoutMs = 10_000) =>
    propose(store, { baseVersion, text, author: proposalId, reason: 'test', proposalId, ...change }, { clock, deadlineMs: clock.nowMs() + timeoutMs, file: 'fleet.ini' })
  /** Moves time until the proposal has ended. */
  const finish = async (pending: Promise<ProposalResult>) => {
    const ended: ProposalResult[] = []
    pending.then(result => ended.push(result))
    for (let step = 0; step < 2_000 && ended.length === 0; step++) await clock.advance(50)
    return ended[0]!
  }
  const run = (...args: Parameters<typeof start>) => finish(start(...args))
  const current = () => readConfigRecord(store.entries.get(configKey)!)!
  return { clock, store, start, finish, run, current }
}

describe('proposal', () => {
  // Guards against versions that are skipped, and against a history that loses versions or grows without bound.
  it('commits versions and keeps the history', async () => {
    const { store, run } = setUp()
    for (let version = 1; version <= 53; version++) {
      expect(await run(version - 1, `p${version}`)).to.deep.equal({ kind: 'accepted', version })
    }
    const history = (await readHistory(store)).map(record => record.version)
    expect(history).to.deep.equal(Array.from({ length: 50 }, (_, index) => 53 - index))
    expect([...store.entries.keys()].filter(key => key.startsWith('config/history/'))).to.have.length(50)
  })

  // Guards against a write of a text with errors.
  it('writes nothing when there are errors', async () => {
    const { store, run } = setUp()
    expect((await run(0, 'a', { text: '[fleet]\nx = 1' })).kind).to.equal('invalid')
    expect((await run(0, 'a', { reason: ' ' })).kind).to.equal('invalid')
    expect((await run(0, 'a', { text: `${text};${'x'.repeat(1_000_000)}` })).kind).to.equal('invalid')
    expect(store.entries.size).to.equal(0)
  })

  // Guards against a change that is committed twice, or reported as failed, after its reply was lost.
  it('resolves a lost reply from the current version', async () => {
    const { store, run } = setUp()
    store.loseReplies = { prefix: configKey, count: 1 }
    expect(await run(0, 'a')).to.deep.equal({ kind: 'accepted', version: 1 })
    expect(store.writes.filter(key => key === configKey)).to.have.length(1)
  })

  // Guards against a false conflict when others changed the configuration before the read back.
  it('resolves a lost reply from the history', async () => {
    const { store, clock, start, finish, run, current } = setUp()
    store.loseReplies = { prefix: configKey, count: 1 }
    let others: Promise<ProposalResult> | undefined
    store.onReplyLost = () => {
      // The first proposer is still waiting to read back while two other changes are accepted.
      others = start(1, 'b').then(() => start(2, 'c'))
    }
    const first = start(0, 'a')
    await clock.advance(0)
    expect((await finish(others!)).kind).to.equal('accepted')
    expect(await finish(first)).to.deep.equal({ kind: 'accepted', version: 1 })
    expect(current()).to.include({ version: 3, proposalId: 'c' })
    // The same proposal again, for example through another node, is not committed a second time.
    expect(await run(0, 'a')).to.deep.equal({ kind: 'accepted', version: 1 })
  })

  // Guards against a write that was lost on its way and is taken for accepted, or given up.
  it('repeats a lost write', async () => {
    const { store, run } = setUp()
    store.loseWrites = { prefix: configKey, count: 2 }
    expect(await run(0, 'a')).to.deep.equal({ kind: 'accepted', version: 1 })
  })

  // Guards against a version key that shows a version before it is accepted, or falls back behind a late writer.
  it('publishes only accepted versions', async () => {
    const { store, run } = setUp()
    const published = () => store.entries.has(configVersionKey) && readConfigVersion(store.entries.get(configVersionKey)!)
    let atSwap: unknown
    store.beforeSwap = { key: configKey, run: () => { atSwap = published() } }
    store.loseReplies = { prefix: configKey, count: 1 }
    await run(0, 'a')
    expect(atSwap).to.equal(false)
    expect(published()).to.deep.equal({ version: 1, revision: store.entries.get(configKey)!.revision })
    store.loseWrites = { prefix: configVersionKey, count: 1 }
    expect((await run(1, 'b')).kind).to.equal('accepted')
    expect(published()).to.include({ version: 1 })
    const later = { version: 9, revision: 90 }
    store.beforeSwap = { key: configVersionKey, run: () => store.put(configVersionKey, JSON.stringify(later)) }
    expect((await run(2, 'c')).kind).to.equal('accepted')
    expect(published()).to.deep.equal(later)
  })

  // Guards against a lost update: of two operators with the same base, the second must see the first one's text.
  it('reports a conflict to the second operator', async () => {
    const { store, run, start, finish, current } = setUp()
    await run(0, 'base')
    store.delayMs = 20
    const results = await Promise.all([start(1, 'a'), start(1, 'b', { text: `${text}retryBudget = 0.2\n` })].map(finish))
    expect(results.map(result => result.kind)).to.have.members(['accepted', 'conflict'])
    const conflict = results.find(result => result.kind === 'conflict')
    expect(conflict).to.deep.include({ currentVersion: 2, currentAuthor: current().author, currentText: current().text })
  })

  // Guards against a swap that overwrites a change made between the read and the swap.
  it('detects a writer between read and swap', async () => {
    const { store, run } = setUp()
    await run(0, 'base')
    const other = { version: 2, proposalId: 'x', author: 'other', reason: 'r', acceptedAtMs: 0, text: '[fleet]\n; other' }
    store.beforeSwap = { key: configKey, run: () => store.put(configKey, JSON.stringify(other)) }
    expect(await run(1, 'a')).to.deep.equal({ kind: 'conflict', currentVersion: 2, currentAuthor: 'other', currentText: other.text })
  })

  // Guards against an answer that claims more than is known when the service does not come back in time.
  it('says unknown when the outcome cannot be read back', async () => {
    const { store, run, current } = setUp()
    store.loseReplies = { prefix: configKey, count: 1 }
    store.onReplyLost = () => { store.down = true }
    const result = await run(0, 'a')
    expect(result).to.include({ kind: 'unknown', proposalId: 'a' })
    expect(result).to.have.property('reason').that.contains('may have taken effect')
    expect(current().proposalId).to.equal('a')
    expect(await run(0, 'b')).to.have.property('reason').that.contains('nothing was written')
    store.down = false
    expect((await run(0, 'a')).kind).to.equal('accepted')
  })

  // Guards against giving up while the service is slow or down for a while, and against hanging past the deadline.
  it('outlasts an outage and keeps the deadline', async () => {
    const { store, clock, run, start, finish } = setUp()
    store.down = true
    const pending = start(0, 'a')
    await clock.advance(5_000)
    store.down = false
    expect((await finish(pending)).kind).to.equal('accepted')
    store.delayMs = 1_500
    expect((await run(1, 'b')).kind).to.equal('accepted')
    store.delayMs = 60_000
    const startedAtMs = clock.nowMs()
    expect((await run(2, 'c')).kind).to.equal('unknown')
    expect(clock.nowMs() - startedAtMs).to.be.at.most(10_100)
  })

  // Guards against combinations of faults under which a result contradicts the stored versions.
  it('agrees with the store under random faults', async () => {
    const fault = fc.record({ replies: fc.nat(2), writes: fc.nat(2), history: fc.nat(2), delayMs: fc.constantFrom(0, 30, 1_900, 2_500) })
    await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fault, fault), { minLength: 1, maxLength: 4 }), async rounds => {
      const { store, clock, start, finish } = setUp()
      const results: [string, number, ProposalResult][] = []
      for (const [index, [faults, other]] of rounds.entries()) {
        store.loseReplies = { prefix: configKey, count: faults.replies }
        store.loseWrites = { prefix: other.history > 1 ? 'config/history/' : configKey, count: faults.writes }
        store.delayMs = faults.delayMs
        const base = store.entries.has(configKey) ? readConfigRecord(store.entries.get(configKey)!)!.version : 0
        const pending = ['a', 'b'].map(name => start(base, `${name}${index}`))
        for (const [which, result] of (await Promise.all(pending.map(finish))).entries()) results.push([`${'ab'[which]}${index}`, base, result])
      }
      await clock.advance(60_000)
      store.delayMs = 0
      const versions = new Map((await readHistory(store)).map(record => [record.version, record.proposalId]))
      for (const [proposalId, base, result] of results) {
        if (result.kind === 'accepted') expect(versions.get(result.version)).to.equal(proposalId)
        if (result.kind === 'conflict') expect(versions.get(base + 1)).not.to.equal(proposalId)
      }
    }), { seed: 11, numRuns: 60 })
  })
})
