import { expect } from 'chai'
import { hashKey } from '../src/policy/accountKeys.js'
import { requestIdOf, RequestProxyFixture, responseTo, route } from './fixtures/requestProxyFixture.js'
import type { Script } from './fixtures/requestProxyFixture.js'

let fixture: RequestProxyFixture

const ok: Script = (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) }
const accounts = [{ name: 'acme', keyHashes: [hashKey('k1')], rank: 3 }, { name: 'other', keyHashes: [hashKey('k2')] }]
const engine = { slots: 4, cacheTokens: 1000, weightsMb: 100, adapterSlots: 2, storeLoadsPerSecond: 1, models: [{ name: 'm', weightsMb: 10, loadMs: 900, warmLoadMs: 900, diskLoadMs: 900, adapterMb: 1 }] }
const withKey = (key: string, headers = {}) => ({ headers: { 'x-api-key': key, ...headers } })

async function start ({ hasAccounts = true, isPublic = false, hasEngine = false } = {}): Promise<void> {
  await fixture.start([route({ isPublic, rank: 1 })], { accounts: hasAccounts ? accounts : undefined, engine: hasEngine ? engine : undefined })
  await fixture.addServer('a', ok, { models: [{ name: 'm', adapters: [] }] })
}

const lastHead = () => fixture.received.at(-1)!.head

describe('keys of client accounts', () => {
  beforeEach(() => { fixture = new RequestProxyFixture() })
  afterEach(() => fixture.stop())

  // Guards against requests that run without a key, and against logs that hold one.
  it('refuses unknown and missing keys with 401', async () => {
    await start()
    expect((await fixture.send('id1', withKey('wrong-key'))).status).to.equal(401)
    expect((await fixture.send('id2')).status).to.equal(401)
    expect((await fixture.send('id3', { body: 'x'.repeat(900), ...withKey('k1, k2') })).status).to.equal(401)
    expect(fixture.received).to.have.length(0)
    expect(fixture.lines.map(({ fields }) => fields.reason)).to.deep.equal(['the key is unknown', 'the request has no key', 'the key is unknown'])
    expect(JSON.stringify(fixture.lines)).not.to.match(/wrong-key|k1|k2/)
  })

  // Guards against keys that reach a server, and against clients that claim another account.
  it('passes on the name of the account and neither the key nor a name from the client', async () => {
    await start()
    expect((await fixture.send('id1', withKey('k1', { 'x-tenant': 'forged' }))).status).to.equal(200)
    expect(lastHead()).to.match(/^X-Tenant: acme\r$/im).and.not.to.match(/k1|x-api-key|forged/i)
  })

  it('passes headers on as before without accounts', async () => {
    // Guards against changes for deployments without accounts.
    await start({ hasAccounts: false })
    fixture.configAgeMs = Infinity
    expect((await fixture.send('id1', withKey('k1', { 'x-tenant': 'own' }))).status).to.equal(200)
    expect(lastHead()).to.match(/^x-api-key: k1\r$/im).and.to.match(/^x-tenant: own\r$/im)
  })

  // Guards against public routes that ask for keys or let them through.
  it('needs no key on a public route and drops the same headers', async () => {
    await start({ isPublic: true })
    expect((await fixture.send('id1', withKey('wrong-key', { 'x-tenant': 'forged' }))).status).to.equal(200)
    expect(lastHead()).not.to.match(/x-tenant|x-api-key|wrong-key/i)
    expect((await fixture.send('id2', withKey('k2'))).status).to.equal(200)
    expect(lastHead()).to.match(/^X-Tenant: other\r$/im).and.not.to.match(/x-api-key/i)
  })

  // Guards against an account whose priority is lost on the way to the engine or the dispatcher.
  it('ranks requests by their account, or else by their route', async () => {
    await start({ hasEngine: true })
    await fixture.send('id1', withKey('k1', { 'x-model': 'm' }))
    expect(lastHead()).to.match(/^X-Request-Urgency: 3\r$/im)
    await fixture.send('id2', withKey('k2', { 'x-model': 'm' }))
    expect(lastHead()).to.match(/^X-Request-Urgency: 1\r$/im)
    expect(fixture.dispatchRequests.map(({ rank }) => rank)).to.deep.equal([3, 1])
  })

  // Guards against removed keys that run, and new ones that get 401, at a node whose configuration is old.
  it('refuses keys with 503 while the configuration is too old', async () => {
    await start()
    fixture.configAgeMs = 4501
    const response = await fixture.send('id1', withKey('k1'))
    expect([response.status, response.headers['retry-after']]).to.deep.equal([503, '0.50'])
    fixture.configAgeMs = 1001
    expect((await fixture.send('id2', withKey('new'))).status).to.equal(503)
    expect((await fixture.send('id3', withKey('k1'))).status).to.equal(200)
    expect(fixture.received).to.have.length(1)
    expect(fixture.lines.map(({ fields }) => [fields.request, fields.account, fields.status])).to.deep.equal([['id1', 'acme', 503], ['id2', undefined, 503]])
  })

  // Guards against a key that is removed while a client sends its body.
  it('checks the key again when the body is complete', async () => {
    await start()
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nX-Api-Key: k1\r\nContent-Length: 2\r\n\r\nx')
    await new Promise(resolve => setTimeout(resolve, 100))
    expect(text()).to.equal('')
    fixture.configAgeMs = 4501
    socket.write('y')
    await new Promise(resolve => setTimeout(resolve, 200))
    expect(text()).to.match(/^HTTP\/1.1 503/)
    expect(fixture.received).to.have.length(0)
  })
})
