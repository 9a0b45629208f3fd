import { expect } from 'chai'
import { Script } from 'node:vm'
import { VirtualClock } from '../src/base/clock.js'
import { burnAnswerSchema, burnReport, causeAdvice, renderBurnHtml, renderBurnText } from '../src/cli/burnReport.js'
import { BurnRecorder, burnCauses, mergeBurnSeries } from '../src/gateway/burn.js'
import type { BurnCause } from '../src/gateway/burn.js'

describe('burn report', () => {
  const counts = (requests: number, causes: Partial<Record<BurnCause, number>> = {}) =>
    ({ requests, attained: requests - Object.values(causes).reduce((sum, count) => sum + count, 0), causes })
  const group = (rank: string, customer: string, model: string, ...windows: ReturnType<typeof counts>[]) => ({ rank, customer, model, windows })
  const answer = (changes: object = {}) => burnAnswerSchema.parse({
    objectives: { urgent: 0.99, live: 0.95, browsing: 0.9 },
    groups: [
      group('urgent', 'shop', 'orders', counts(0), counts(100), counts(100), counts(1000, { network: 5 })),
      group('live', 'shop', 'advisor', counts(10, { queueing: 1 }), counts(100, { queueing: 10 }), counts(100, { queueing: 10 }), counts(100, { queueing: 6, loading: 3, engine: 1 })),
      group('live', 'museum', 'advisor', counts(0), counts(0), counts(0), counts(100))
    ],
    series: [{ startMs: 0, lengthMs: 60_000, ranks: { live: counts(60, { queueing: 6 }) } }],
    nodes: ['entry-1'],
    missing: [],
    ...changes
  })

  it('computes budgets and burn rates by rank, customer and model', () => {
    const { byRank, byCustomer, byModel, advice } = burnReport(answer())
    expect(byRank.map(({ name }) => name)).to.deep.equal(['live', 'urgent'])
    const [live, urgent] = byRank
    expect(live!.attainment).to.equal(0.95)
    expect(live!.budgetLeft).to.be.closeTo(0, 1e-9)
    expect(live!.burnRates.map(rate => Number(rate!.toFixed(6)))).to.deep.equal([2, 2, 2, 1])
    expect(live!.causes).to.deep.equal([{ cause: 'queueing', requests: 6 }, { cause: 'loading', requests: 3 }])
    expect(urgent!.burnRates[0]).to.equal(undefined)
    expect(urgent!.budgetLeft).to.be.closeTo(0.5, 1e-9)
    expect(byCustomer.map(({ name, rank }) => `${name} ${rank}`)).to.deep.equal(['shop live', 'shop urgent', 'museum live'])
    expect(byModel.find(({ name }) => name === 'advisor')!.requests).to.equal(200)
    expect(advice.map(({ cause }) => cause)).to.deep.equal(['queueing', 'network', 'loading', 'engine'])
  })

  it('names nodes that did not answer, and never rounds a miss away', () => {
    const report = burnReport(answer({ missing: ['entry-2'], groups: [group('live', 'shop', 'advisor', ...Array(4).fill(counts(100_000, { shed: 1 })))] }))
    for (const text of [renderBurnText(report), renderBurnHtml(report, { createdAtMs: 0 })]) {
      expect(text).to.include('entry-2').and.include('99.9%').and.not.include('100.0%')
      expect(text).to.include('minimumShare')
    }
  })

  it('shows an objective without budget and no requests', () => {
    const strict = burnReport(answer({ objectives: { live: 1 }, groups: [group('live', 'shop', 'advisor', ...Array(4).fill(counts(10, { engine: 1 })))] }))
    expect(renderBurnText(strict)).to.include('no budget')
    expect(renderBurnText(burnReport(answer({ groups: [], series: [] })))).to.include('There were no requests')
  })

  it('advises on every cause with existing configuration keys', () => {
    const known = ['minimumReplicas', 'weight', 'ceilingRequestsPerSecond', 'pin', 'reserveBytes', 'patienceMs', 'ban', 'firstTokenMs', 'tokenGapMs', 'minimumShare', 'requestValue', 'idempotent = true', 'teaselrill status']
    for (const cause of burnCauses) {
      const named = [...causeAdvice[cause].matchAll(/`([^`]*)`/g)].map(([, name]) => name)
      expect(named, cause).to.have.length.above(0)
      expect(known, cause).to.include.members(named)
    }
  })

  it('writes a page without outside parts, whose names cannot become markup', () => {
    const evil = '</script><img src=x onerror=alert(1)>'
    const html = renderBurnHtml(burnReport(answer({ nodes: [evil], groups: [group('live', evil, evil, ...Array(4).fill(counts(2)))] })), { createdAtMs: 0 })
    expect(html.replace(/<script>[^]*?<\/script>/g, '')).to.not.match(/<[^>]*\s(src|href)=|<img|<link|@import|url\(/)
    expect(html).to.include('prefers-color-scheme: dark')
    const scripts = [...html.matchAll(/<script>([^]*?)<\/script>/g)].map(([, script]) => script!)
    expect(scripts).to.have.length(2)
    for (const script of scripts) expect(() => new Script(script)).to.not.throw()
    expect(scripts[1]).to.include('"attained":[90]').and.include('"requests":[1]')
  })

  it('keeps a bounded series and adds those of several nodes', async () => {
    const clock = new VirtualClock(1_800_000_000_000)
    const burn = new BurnRecorder(clock)
    for (let minute = 0; minute < 3 * 1440; minute++) {
      burn.record({ rank: 'live', customer: 'shop', model: 'advisor' }, minute % 10 === 0 ? 'engine' : undefined)
      await clock.advance(60_000)
    }
    const series = burn.series()
    expect(series.length).to.be.lessThan(60 + 48 + 5)
    const sum = series.reduce((total, { ranks }) => total + ranks.live!.requests, 0)
    expect(sum).to.be.within(1430, 1470)
    const merged = mergeBurnSeries([series, series])
    expect(merged.length).to.equal(series.length)
    expect(merged[0]!.ranks.live!.requests).to.equal(2 * series[0]!.ranks.live!.requests)
    expect(merged.map(({ startMs }) => startMs)).to.deep.equal(series.map(({ startMs }) => startMs))
  })
})
