import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { explainFromLogs } from '../src/cli/explainLogs.js'
import { codecs } from '../src/platform/httpCodecs.js'
import type { Account } from '../src/serving/deployment.js'
import { LeaderTerm } from '../src/serving/leaderTerm.js'
import type { LeaderTermOptions } from '../src/serving/leaderTerm.js'
import { leaderMessageSchema, nodeMessageSchema } from '../src/serving/peerMessages.js'
import { quotaCost } from '../src/serving/quotaClient.js'
import { RequestProxyFixture, requestIdOf, responseTo, route } from './fixtures/requestProxyFixture.js'

describe('quota of a request', () => {
  let fixture: RequestProxyFixture
  let given = 0
  let sent = 0

  beforeEach(() => {
    fixture = new RequestProxyFixture()
    given = 0
    fixture.takeQuota = async () => ({ kind: 'taken', giveBack: () => { given++ } })
  })
  afterEach(() => fixture.stop())

  // Guards against requests over the quota that wait, run, or get a time after which there are no tokens yet.
  it('answers 429 with the time until there are tokens', async () => {
    fixture.takeQuota = async () => ({ kind: 'refused', reason: 'account a is over its quota', retryAfterMs: 1730 })
    await fixture.addServer('s1', () => {})
    await fixture.start([route()])
    const { status, headers, body } = await fixture.send(`r${++sent}`)
    expect([status, headers['retry-after'], JSON.parse(body)]).to.deep.equal([429, '1.73', { error: 'account a is over its quota' }])
    expect(fixture.received).to.deep.equal([])
    expect(fixture.records[0]).to.include({ outcome: 'over-quota', status: 429 })
  })

  // Guards against tokens that stay spent for requests that never ran, and against requests that run for nothing.
  it('gives the tokens back exactly if the request has not run', async () => {
    await fixture.start([route()])
    expect((await fixture.send(`r${++sent}`)).status).to.equal(503)
    expect(given).to.equal(1)
    await fixture.addServer('s1', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) })
    expect((await fixture.send(`r${++sent}`)).status).to.equal(200)
    expect(given).to.equal(1)
    fixture.endServers()
    await fixture.addServer('s2', socket => { socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n') })
    expect((await fixture.send(`r${++sent}`)).status).to.equal(503)
    expect(given).to.equal(2)
  })

  // Guards against a length hint that lowers the cost, and against requests without counts that are free.
  it('costs what the client states, or the plain tokens', () => {
    const quota = { unit: 'tokens' as const, perSecond: 1, burst: 1, plainTokens: 70 }
    const cost = (headers: Record<string, string>) => quotaCost(quota, codecs.readRequest(headers))
    expect(cost({ 'x-token-count': '100,400', 'x-length-hint': '10' })).to.equal(500)
    expect(cost({})).to.equal(70)
    expect(quotaCost({ ...quota, unit: 'requests' }, codecs.readRequest({ 'x-token-count': '100,400' }))).to.equal(1)
  })

  // Guards against a union that reads one message as another and drops its fields.
  it('tells the messages apart', () => {
    const ask = { quotaAsk: 3, rows: [['a', 500, 0]], returned: [['a', 20]], spent: [['a', [[100, 20]]]] }
    const reply = { quotaAsk: 3, rows: [['a', 0, 120], ['a', 500, null]] }
    expect(nodeMessageSchema.parse(ask)).to.deep.equal(ask)
    expect(leaderMessageSchema.parse(reply)).to.deep.equal(reply)
    expect(leaderMessageSchema.parse({ fence: 1, hosting: [], running: [], quotaLoads: [['a', 0.5]] })).to.have.property('quotaLoads')
  })

  // Guards against a leader that grants tokens by a configuration that is no longer in force.
  it('follows the accounts of the configuration', async () => {
    const clock = new VirtualClock(1000)
    const account = (name: string, perSecond: number) => ({ name, keyHashes: [], quota: { unit: 'tokens' as const, perSecond, burst: perSecond, plainTokens: 70 } })
    let accounts: Account[] = [account('a', 1000), { ...account('a', 0), quota: undefined }, account('b', 1000)]
    const term = new LeaderTerm({
      clock,
      log: silentLog,
      fleet: fixture.fleet,
      storeView: { revision: 1 },
      deployment: () => ({ services: [], accounts }),
      mustPauseCommands: () => true,
      ownReport: () => ({ node: 'leader', waiting: [], adapters: [], running: [], used: [], missing: [], misknown: [], outcomes: [] })
    } as unknown as LeaderTermOptions)
    const granted = () => term.onQuotaAsk('n', { quotaAsk: 1, rows: [['a', 100, 0], ['b', 100, 0], ['c', 100, 0]] }).rows.map(([, tokens]) => tokens)
    // A new leader first hears what the nodes have spent.
    await clock.advance(3000)
    expect(granted()).to.deep.equal([100, 100, 0])
    accounts = [account('b', 1000), account('c', 1000)]
    expect(granted()).to.deep.equal([0, 100, 100])
    term.stop()
  })

  // Guards against a 429 whose reason cannot be found.
  it('is named in the explanation of a refused request', () => {
    const time = '2026-01-01T00:00:00Z'
    const lines = [
      { time, event: 'account over its quota', node: 'n2', account: 'a', decidedBy: 'leader' },
      { time, event: 'request ended', node: 'n', request: 'r', route: 'x', kind: 'unsafe', rank: 0, account: 'a', outcome: 'over-quota', status: 429, durationMs: 0, sends: [], reason: 'account a is over its quota of 5 tokens per second' }
    ]
    const sentences = explainFromLogs(lines.map(line => JSON.stringify(line)), 'r').join('\n')
    expect(sentences).to.match(/of account a/).and.to.match(/n2: account over its quota/)
    expect(sentences).to.match(/over-quota with status 429 .*over its quota of 5 tokens per second/)
  })
})
