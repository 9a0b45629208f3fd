import { expect } from 'chai'
import { silentLog } from '../src/base/log.js'
import type { ProposalResult } from '../src/config/proposal.js'
import { createOperatorsApp } from '../src/node/operatorsServer.js'
import type { OperatorsApi } from '../src/node/operatorsServer.js'

const key = 'an-example-deployment-key'
const authorization = { authorization: `Bearer ${key}` }
const change = { baseVersion: 1, text: '[fleet]', author: 'a', reason: 'r', proposalId: 'p' }

function setUp (overrides: Partial<OperatorsApi> = {}) {
  const calls: string[] = []
  const record = <T>(name: string, value: T) => () => {
    calls.push(name)
    return value
  }
  const api: OperatorsApi = {
    live: () => true,
    ready: () => ({ ready: false, reasons: ['no configuration'] }),
    metrics: record('metrics', Promise.resolve('up 1\n')),
    configGet: record('configGet', Promise.resolve(undefined)),
    configPropose: record('configPropose', Promise.resolve<ProposalResult>({ kind: 'accepted', version: 2 })),
    configHistory: record('configHistory', Promise.resolve([])),
    inForce: record('inForce', { version: 1, nodes: [] }),
    status: record('status', Promise.resolve({})),
    explain: record('explain', Promise.resolve(undefined)),
    burn: record('burn', Promise.resolve({})),
    ...overrides
  }
  const app = createOperatorsApp({ deploymentKey: key, log: silentLog, api })
  const propose = (body: unknown) => app.request('/v1/config', { method: 'POST', body: typeof body === 'string' ? body : JSON.stringify(body), headers: authorization })
  return { app, calls, propose }
}

describe('operators port', () => {
  // Guards against a route that answers without the deployment key, or that runs before the key is checked.
  it('refuses without the key', async () => {
    const { app, calls } = setUp()
    const paths = ['/metrics', '/v1/config', '/v1/config/history', '/v1/config/in-force', '/v1/status', '/v1/explain/r', '/v1/burn', '/none']
    for (const given of [undefined, '', 'Bearer', `Bearer ${key}x`, `Bearer ${key.slice(1)}`, `Basic ${key}`, key]) {
      for (const path of paths) {
        const response = await app.request(path, given === undefined ? {} : { headers: { authorization: given } })
        expect(response.status, path).to.equal(401)
        expect(response.headers.get('content-type')).to.equal('application/problem+json')
        expect(await response.text()).not.to.contain(key)
      }
      expect((await app.request('/v1/config', { method: 'POST', body: JSON.stringify(change), headers: { authorization: given ?? '' } })).status).to.equal(401)
    }
    expect(calls).to.deep.equal([])
  })

  // Guards against probes that need the key, and against a node that gets callers before it is ready.
  it('answers probes without the key', async () => {
    const { app } = setUp()
    expect((await app.request('/live')).status).to.equal(200)
    const ready = await app.request('/ready')
    expect([ready.status, await ready.json()]).to.deep.equal([503, { ready: false, reasons: ['no configuration'] }])
  })

  // Guards against results of a proposal that look like success.
  it('maps results of a proposal to statuses', async () => {
    const results: [ProposalResult, number][] = [
      [{ kind: 'accepted', version: 2 }, 200],
      [{ kind: 'conflict', currentVersion: 5, currentAuthor: 'b', currentText: 't' }, 409],
      [{ kind: 'invalid', findings: [] }, 422],
      [{ kind: 'unknown', proposalId: 'p', reason: 'down' }, 504]
    ]
    for (const [result, status] of results) {
      const response = await setUp({ configPropose: () => Promise.resolve(result) }).propose(change)
      expect(response.status).to.equal(status)
      expect(await response.json()).to.deep.include(result)
    }
  })

  // Guards against bodies that are too large or malformed and reach the configuration.
  it('refuses bad bodies', async () => {
    const { app, calls, propose } = setUp()
    expect((await propose('{')).status).to.equal(400)
    expect((await propose({ ...change, baseVersion: -1 })).status).to.equal(400)
    expect((await propose({ ...change, text: 'x'.repeat(2 ** 20) })).status).to.equal(413)
    // Without a content length, the limit shows only while the body is read.
    const body = new Blob([JSON.stringify({ ...change, text: 'x'.repeat(2 ** 20) })]).stream()
    const chunked = new Request('http://localhost/v1/config', { method: 'POST', body, headers: authorization, duplex: 'half' } as RequestInit)
    expect((await app.request(chunked)).status).to.equal(413)
    expect(calls).to.deep.equal([])
  })

  // Guards against errors whose text reaches the client, and against missing data that looks like an empty answer.
  it('answers failures with problem details', async () => {
    const { app } = setUp({ burn: () => Promise.reject(new Error('secret detail')) })
    const failed = await app.request('/v1/burn', { headers: authorization })
    expect(failed.status).to.equal(500)
    expect(await failed.text()).not.to.contain('secret detail')
    for (const path of ['/v1/explain/r', '/v1/config', '/none']) {
      expect((await app.request(path, { headers: authorization })).status, path).to.equal(404)
    }
    const metrics = await app.request('/metrics', { headers: authorization })
    expect(await metrics.text()).to.equal('up 1\n')
  })
})
