import { expect } from 'chai'
import { FailedError, NotRunError, UnknownOutcomeError } from '../src/base/errors.js'
import { VirtualClock } from '../src/base/clock.js'
import { SeededRandom } from '../src/base/random.js'
import { RequestMeasure } from '../src/gateway/burn.js'
import type { Exchange } from '../src/gateway/exchange.js'
import type { ProblemError } from '../src/gateway/problem.js'
import { passedHeaders, serviceFilter } from '../src/gateway/serviceCalls.js'
import { RequestTrace } from '../src/gateway/trace.js'
import { RetryBudget } from '../src/policy/retry.js'
import type { RequestPolicy } from '../src/policy/requestPolicy.js'
import type { ServiceEntry } from '../src/protocol/messages.js'

const terms: RequestPolicy = {
  rank: 'urgent', patienceMs: 5_000, firstTokenMs: 0, tokenGapMs: 0, idempotent: false, customerWeight: 1, requestValue: 1
}

/** Calls the service `orders`, whose servers answer with `outcomes` in turn; `ok` is an answer with status 200. */
async function call (outcomes: ('ok' | 'hang' | Error)[], { idempotent = false, servers = ['s1', 's2'] } = {}) {
  const clock = new VirtualClock()
  const called: string[] = []
  const entries = servers.map((server): ServiceEntry => ({
    server, service: 'orders', address: '127.0.0.1:1', region: 'r', availabilityZone: 'z', draining: false, reachable: true
  }))
  const filter = serviceFilter({
    clock,
    random: new SeededRandom(1),
    retryBudget: new RetryBudget({ clock, share: () => 1 }),
    location: { region: 'r', availabilityZone: 'z' },
    servers: () => entries,
    serviceApi: ({ server }) => ({
      server,
      health: async () => ({ draining: false }),
      call: async (_request, { signal }) => {
        called.push(server)
        const outcome = outcomes.shift()!
        if (outcome === 'hang') await new Promise((_resolve, reject) => signal!.addEventListener('abort', () => reject(new UnknownOutcomeError(server, 'no answer'))))
        if (outcome instanceof Error) throw outcome
        return { status: 200, headers: {}, body: Buffer.from('done') }
      }
    })
  })
  const exchange: Exchange = {
    requestId: 'r1',
    request: { method: 'POST', path: '/orders/new', headers: {}, body: Buffer.alloc(0), signal: new AbortController().signal },
    arrivedAtMs: 0,
    trace: new RequestTrace(clock, 'r1', 0),
    measure: new RequestMeasure(clock, 0),
    work: { kind: 'service', service: 'orders', path: '/new' },
    terms: { ...terms, idempotent },
    deadlineMs: terms.patienceMs
  }
  const finished = filter(exchange, async () => {}).then(() => undefined, error => error as ProblemError)
  await clock.advance(20_000)
  return { problem: await finished, exchange, called }
}

const refused = () => new NotRunError('s', 'connection refused')
const cut = () => new UnknownOutcomeError('s', 'connection reset')

describe('service calls', () => {
  // Guards against an order that is lost because one server is down.
  it('tries another server after a refused connection', async () => {
    const { exchange, called } = await call([refused(), 'ok'])
    expect(exchange.response?.status).to.equal(200)
    expect(new Set(called).size).to.equal(2)
  })

  // Guards against an order that runs twice.
  it('does not repeat an order of unknown outcome', async () => {
    const { problem, called } = await call([cut(), 'ok'])
    expect(called).to.have.length(1)
    expect(problem).to.include({ status: 504, outcome: 'unknown' })
  })

  // Guards against a call that is told as "not run" because the last of several attempts was refused.
  it('keeps unknown over a later refusal', async () => {
    const { problem } = await call([cut(), refused(), refused(), refused()], { idempotent: true })
    expect(problem).to.include({ outcome: 'unknown' })
  })

  it('repeats an idempotent call', async () => {
    const { exchange } = await call([cut(), 'ok'], { idempotent: true })
    expect(exchange.response?.status).to.equal(200)
  })

  // Guards against a caller that waits longer than its patience.
  it('ends at the deadline', async () => {
    const { problem } = await call(['hang'])
    expect(problem).to.include({ status: 504, outcome: 'unknown' })
  })

  it('tells not-run, failed and no server apart', async () => {
    expect((await call([refused(), refused(), refused(), refused()])).problem).to.include({ status: 503, outcome: 'not-run' })
    expect((await call([new FailedError('s', 'broken')])).problem).to.include({ status: 502, outcome: 'failed' })
    expect((await call([], { servers: [] })).problem).to.include({ status: 503, outcome: 'not-run' })
  })

  // Guards against API keys that reach backend servers.
  it('passes no credentials on', () => {
    expect(passedHeaders({ Authorization: 'Bearer secret', 'content-type': 'a/b', Connection: 'close' })).to.deep.equal({ 'content-type': 'a/b' })
  })
})
