import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { QuotaLedger } from '../src/policy/quotaLedger.js'
import { SlidingSum } from '../src/policy/slidingSum.js'
import { EarlySpending } from '../src/serving/earlySpending.js'
import type { AccountQuota } from '../src/serving/deployment.js'
import { QuotaClient } from '../src/serving/quotaClient.js'
import type { QuotaAskMessage } from '../src/serving/peerMessages.js'

const quota: AccountQuota = { unit: 'tokens', perSecond: 1000, burst: 1000, plainTokens: 0 }

describe('quota client', () => {
  let clock: VirtualClock
  let sent: QuotaAskMessage[]
  let isConnected: boolean
  let ledger: QuotaLedger | undefined
  let client: QuotaClient

  beforeEach(() => {
    clock = new VirtualClock(1_000_000)
    sent = []
    isConnected = true
    ledger = undefined
    client = new QuotaClient({
      clock,
      random: new SeededRandom(1),
      log: silentLog,
      node: 'n',
      nodeCount: () => 1,
      readArrived: async () => {},
      localLedger: () => ledger,
      send: message => {
        if (isConnected) sent.push(message)
        return isConnected
      }
    })
  })

  async function take (tokens: number, { granted }: { granted?: number } = {}) {
    const taken = client.take({ name: 'a', quota }, { statedTokens: tokens })
    await clock.advance(10)
    if (granted !== undefined) client.onReply({ quotaAsk: sent.at(-1)!.quotaAsk, rows: [['a', granted, null]] })
    const result = await taken
    if (result.kind === 'refused') expect.fail(result.reason)
    return result
  }

  // Guards against tokens that stay spent at the leader because the connection was lost when they were given back.
  it('returns tokens to the same leader after a reconnect', async () => {
    client.onConnected(1)
    const first = await take(300, { granted: 300 })
    const second = await take(200, { granted: 200 })
    first.giveBack()
    isConnected = false
    client.onLost()
    second.giveBack()
    client.sweep()
    isConnected = true
    client.onConnected(1)
    client.sweep()
    expect(sent.at(-1)!.returned).to.deep.equal([['a', 500]])
  })

  // Guards against tokens that a new leader gets back without having counted them as spent.
  it('returns no tokens of a former leader to the next one', async () => {
    client.onConnected(1)
    const first = await take(300, { granted: 300 })
    isConnected = false
    client.onLost()
    first.giveBack()
    isConnected = true
    client.onConnected(2)
    client.sweep()
    expect(sent.flatMap(({ returned }) => returned ?? [])).to.deep.equal([])
  })

  // Guards against a leader that does not count what its own node spends while the ledger settles.
  it('reports to its own ledger what it spent alone', async () => {
    ledger = new QuotaLedger({ clock, limitOf: () => quota })
    client.onOwnTerm(ledger)
    await take(800)
    client.sweep()
    await clock.advance(1000)
    ledger.grant('n', 'a', 100, 0)
    expect(ledger.loads()).to.deep.equal([['a', 900 / 8000]])
  })
})

describe('quota ledger of a new leader', () => {
  // Guards against tokens that are lost when they are given back before the first grant.
  it('takes tokens back before its first grant', async () => {
    const clock = new VirtualClock(1_000_000)
    const ledger = new QuotaLedger({ clock, limitOf: () => quota })
    ledger.addSpent('n', 'a', [[10, 3000]])
    ledger.giveBack('n', 'a', 3000)
    await clock.advance(1000)
    ledger.grant('n', 'a', 100, 0)
    expect(ledger.loads()).to.deep.equal([['a', 100 / 8000]])
  })
})

describe('quota ledger with a node that is cut off', () => {
  // Guards against a leader that grants a node's share to others while the node, whose connection does not close, spends it alone.
  it('takes a node that stops reporting for lost until it reports again', async () => {
    const clock = new VirtualClock(1_000_000)
    const ledger = new QuotaLedger({ clock, limitOf: () => quota })
    const events: string[] = []
    const { onNodeLost } = ledger
    ledger.onNodeLost = node => {
      events.push(`${node} lost`)
      onNodeLost.call(ledger, node)
    }
    ledger.onNodeJoined = node => events.push(`${node} joined`)
    for (let ms = 0; ms < 6000; ms += 200) {
      ledger.onReport('m')
      if (ms < 1000 || ms === 5000) ledger.onReport('n')
      ledger.checkSilence()
      await clock.advance(200)
    }
    expect(events).to.deep.equal(['m joined', 'n joined', 'n lost', 'n joined'])
  })

  // Guards against nodes that are taken for lost because the leader itself was frozen.
  it('counts no silence while the leader is frozen', async () => {
    const clock = new VirtualClock(1_000_000)
    const ledger = new QuotaLedger({ clock, limitOf: () => quota })
    let lost = 0
    ledger.onNodeLost = () => { lost++ }
    ledger.onReport('n')
    await clock.advance(5000)
    ledger.checkSilence()
    ledger.onReport('n')
    await clock.advance(1000)
    ledger.checkSilence()
    expect(lost).to.equal(0)
  })
})

describe('spending reported before a term', () => {
  // Guards against memory that grows while nodes report to one that never leads, and against reports that a node repeats after the next election.
  it('counts recent reports over connections that saw no earlier term', async () => {
    const clock = new VirtualClock(1_000_000)
    const early = new EarlySpending(clock)
    const [former, current] = [{}, {}]
    early.add(current, 'n', [['a', [[0, 4000]]]])
    early.onTermEnded([former])
    await clock.advance(8000)
    early.add(former, 'm', [['a', [[0, 2000]]]])
    early.add(current, 'n', [['a', [[0, 1000]]]])
    const added: unknown[] = []
    const ledger = new QuotaLedger({ clock, limitOf: () => quota })
    ledger.addSpent = (...report) => added.push(report)
    await clock.advance(100)
    early.moveTo(ledger)
    early.moveTo(ledger)
    expect(added).to.deep.equal([['n', 'a', [[100, 1000]]]])
  })
})

describe('sliding sum', () => {
  // Guards against memory that grows for each account and node, since some sums are added to for days and rarely read.
  it('drops what is older than its window while amounts are only added', () => {
    const sum = new SlidingSum(8000, 500)
    for (let atMs = 0; atMs < 3_600_000; atMs += 500) sum.add(1, atMs)
    // Read as of the beginning, which drops nothing.
    expect(sum.rows(0)).to.have.lengthOf.at.most(17)
    expect(sum.sum(3_600_000 - 500)).to.equal(17)
  })
})
