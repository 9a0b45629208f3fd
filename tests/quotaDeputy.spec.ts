import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import type { LeaderMessage, QuotaAskMessage } from '../src/serving/peerMessages.js'
import { chooseDeputies, DeputySearch, QuotaDeputy } from '../src/serving/quotaDeputy.js'

const quota = { unit: 'tokens' as const, perSecond: 1000, burst: 1000 }

describe('quota deputy', () => {
  let clock: VirtualClock
  let hasLeader: boolean
  let deputy: QuotaDeputy

  beforeEach(() => {
    clock = new VirtualClock(1_000_000)
    hasLeader = false
    deputy = new QuotaDeputy({ clock, limitOf: () => quota, nodeCount: () => 10, hasLeader: () => hasLeader, onBegun: () => {} })
  })

  /** A connection of a node, and what the deputy has sent over it. */
  function connect (node: string) {
    const replies: LeaderMessage[] = []
    const reply = (message: LeaderMessage) => { replies.push(message) }
    const send = (message: Partial<QuotaAskMessage>) => {
      replies.length = 0
      deputy.onQuotaAsk({ quotaAsk: 0, rows: [], ...message }, reply)
      return replies
    }
    return { reply, send, name: () => [...send({ node })] }
  }

  const ask = { quotaAsk: 7, rows: [['a', 500, 0]] as [string, number, number][] }
  const undecided = [{ quotaAsk: 7, rows: [['a', 0, null]] }]
  const granted = [{ quotaAsk: 7, rows: [['a', 500, null]] }]

  // Guards against two deputies that decide for the same account, and against one that decides beside a leader.
  it('decides only if half of the nodes reach it and it has no leader', async () => {
    const nodes = ['1', '2', '3', '4'].map(connect)
    for (const node of nodes.slice(0, 3)) node.name()
    await clock.advance(1000)
    expect(nodes[0]!.send(ask)).to.deep.equal(undecided)
    expect(deputy.ledger).to.equal(undefined)
    nodes[3]!.name()
    expect(nodes[0]!.send(ask)).to.deep.equal(granted)
    expect(deputy.ledger).not.to.equal(undefined)
    deputy.onLeft(nodes[3]!.reply)
    expect(nodes[0]!.send(ask)).to.deep.equal(undecided)
    nodes[3]!.name()
    hasLeader = true
    expect(nodes[0]!.send(ask)).to.deep.equal(undecided)
    expect(deputy.ledger).to.equal(undefined)
  })

  // Guards against tokens that count twice because a connection was renewed, or not at all because the deputy still had a leader when it was told of them.
  it('asks each node once in a term for all that it spent', async () => {
    const full: QuotaAskMessage = { node: '1', quotaAsk: 0, rows: [], spent: [['a', [[0, 2000]]]] }
    hasLeader = true
    const nodes = ['1', '2', '3', '4'].map(connect)
    for (const node of nodes) expect(node.name()).to.deep.equal([])
    nodes[0]!.send(full)
    hasLeader = false
    expect(nodes[0]!.send({ quotaAsk: 0, spent: full.spent })).to.deep.equal([{ quotaAsk: 0, rows: [] }])
    expect(nodes[0]!.send(full)).to.deep.equal([])
    await clock.advance(1000)
    deputy.onLeft(nodes[0]!.reply)
    const renewed = connect('1')
    expect(renewed.name()).to.deep.equal([])
    expect(connect('5').name()).to.deep.equal([{ quotaAsk: 0, rows: [] }])
    nodes[1]!.send(ask)
    // Six of ten nodes reach it, so a window has 4,800 tokens.
    expect(deputy.ledger!.loads()).to.deep.equal([['a', 2500 / 4800]])
  })

  // Guards against shares of deputies that exceed the rate together with what a leader grants on the other side of a network cut.
  it('has a share of the rate by the nodes that reach it, and less after a window', async () => {
    const nodes = ['1', '2', '3', '4'].map(connect)
    for (const node of nodes) node.name()
    await clock.advance(1000)
    nodes[0]!.send(ask)
    expect(deputy.ledger!.loads()).to.deep.equal([['a', 500 / 4000]])
    await clock.advance(7500)
    nodes[0]!.send(ask)
    expect(deputy.ledger!.loads()[0]![1]).to.be.closeTo(1000 / 4000 / 0.65, 1e-9)
  })

  // Guards against deputies that cannot be reached, and against other ones after each freeze of the leader.
  it('is one of the nodes that have been connected longest', () => {
    const node = (ip: string | undefined, reportedAtMs = 5000) => ({ ip, reportedAtMs })
    const nodes = [node(undefined), node('1', 3000), ...['2', '3', '4', '5'].map(ip => node(ip))]
    expect(chooseDeputies(nodes, [], 5000)).to.deep.equal(['2', '3', '4'])
    expect(chooseDeputies(nodes, ['5', '1', '3'], 5000)).to.deep.equal(['5', '3', '2'])
    expect(chooseDeputies(nodes, ['5', '1'], 9000)).to.deep.equal(['5', '1'])
  })

  // Guards against nodes that wait for a deputy that is gone, and against nodes that leave one that answers.
  it('is the first that answers', async () => {
    const search = new DeputySearch(clock)
    const chosen: (string | undefined)[] = []
    for (const isAnswered of [false, false, false, false, true, true, false, false]) {
      chosen.push(search.choose(['1', '2', '3'], { isAnswered }))
      await clock.advance(250)
    }
    expect(chosen.join()).to.equal('1,1,2,2,2,2,3,3')
    search.reset()
    expect(search.choose(['1', '2', '3'], { isAnswered: false })).to.equal('1')
    expect(search.choose([], { isAnswered: false })).to.equal(undefined)
  })
})
