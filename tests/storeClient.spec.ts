import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { NotRunError, UnknownOutcomeError } from '../src/base/errors.js'
import { StoreClient } from '../src/platform/storeClient.js'

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void

const base64 = (text: string) => Buffer.from(text).toString('base64')

describe('store client', () => {
  let server: Server
  let client: StoreClient
  let handle: Handler

  beforeEach(async () => {
    server = createServer((request, response) => {
      let body = ''
      request.on('data', data => { body += data })
      request.on('end', () => handle(request, response, body))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    client = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, new SystemClock())
  })

  afterEach(async () => {
    await client.close()
    server.closeAllConnections()
    server.close()
  })

  const json = (response: ServerResponse, status: number, value: unknown) => response.writeHead(status).end(JSON.stringify(value))

  it('lists all pages and returns the revision of the first one', async () => {
    // Guards against a watch that misses a change made between two pages.
    handle = (request, response) => request.url!.includes('after=')
      ? json(response, 200, { items: [{ key: 'b', value: base64('2'), revision: 9 }], has_more: false, as_of: 12 })
      : json(response, 200, { items: [{ key: 'a', value: base64('1'), revision: 3 }], has_more: true, as_of: 8 })
    expect(await client.list('')).to.deep.equal({ items: [{ key: 'a', value: '1', revision: 3 }, { key: 'b', value: '2', revision: 9 }], revision: 8 })
  })

  it('distinguishes changes, removals and lost history', async () => {
    handle = (_request, response) => json(response, 200, { events: [{ key: 'a', value: base64('x'), revision: 4 }, { key: 'b', revision: 5, tombstone: true }], as_of: 5 })
    expect(await client.watch('', 3, { waitMs: 10 })).to.deep.equal({ kind: 'changes', changes: [{ key: 'a', revision: 4, value: 'x' }, { key: 'b', revision: 5 }], revision: 5 })
    handle = (_request, response) => json(response, 410, {})
    expect(await client.watch('', 3, { waitMs: 10 })).to.deep.equal({ kind: 'history-lost' })
  })

  it('takes more changes than one answer holds for lost history', async () => {
    // Guards against a node that asks for them again and again, and serves by an old configuration meanwhile.
    handle = (_request, response) => json(response, 200, { events: Array.from({ length: 20 }, (_, index) => ({ key: 'op/config', value: base64('x'.repeat(700_000)), revision: index + 4 })), as_of: 30 })
    expect(await client.watch('', 3, { waitMs: 10 })).to.deep.equal({ kind: 'history-lost' })
  })

  it('distinguishes a commit, a conflict and an ended lease', async () => {
    let sent: unknown
    handle = (_request, response, body) => {
      sent = JSON.parse(body)
      json(response, 200, { revision: 7 })
    }
    expect(await client.commit({ absent: ['k'], writes: [{ key: 'k', value: 'v', lease: { era: 0, id: 5 } }] })).to.deep.equal({ kind: 'committed', revision: 7 })
    expect(sent).to.deep.equal({ expected: [{ key: 'k', revision: 0 }], writes: [{ key: 'k', value: base64('v'), lease: 5 }], remove: [] })
    handle = (_request, response) => json(response, 412, { items: [{ key: 'k', value: base64('w'), revision: 6 }] })
    expect(await client.commit({})).to.deep.equal({ kind: 'conflict', items: [{ key: 'k', value: 'w', revision: 6 }] })
    handle = (_request, response) => json(response, 404, {})
    expect(await client.commit({})).to.deep.equal({ kind: 'lease-ended' })
  })

  it('distinguishes calls that did not run from calls with an unknown outcome', async () => {
    const errorOf = (call: Promise<unknown>) => call.then(() => undefined, error => error)
    for (const status of [429, 503]) {
      handle = (_request, response) => json(response, status, {})
      expect(await errorOf(client.commit({}))).to.be.instanceOf(NotRunError)
    }
    handle = request => { request.socket.resetAndDestroy() }
    expect(await errorOf(client.commit({}))).to.be.instanceOf(UnknownOutcomeError)
    handle = (_request, response) => response.writeHead(200).end('not json')
    expect(await errorOf(client.commit({}))).to.be.instanceOf(UnknownOutcomeError)
    handle = () => {}
    expect(await errorOf(client.watch('', 1, { waitMs: 10 }))).to.be.instanceOf(UnknownOutcomeError)
  })

  it('distinguishes a renewed lease from an ended one', async () => {
    handle = (request, response) => json(response, request.url === '/kv-keep/5' ? 200 : 404, { ttl_ms: 3000 })
    expect([await client.keepLease({ era: 0, id: 5 }), await client.keepLease({ era: 0, id: 6 })]).to.deep.equal([true, false])
  })

  describe('with a store that comes back from a copy', () => {
    const inEra = (response: ServerResponse, era: number, value: unknown) => response.writeHead(200, { 'Store-Era': String(era) }).end(JSON.stringify(value))
    const outcomeOf = (call: Promise<unknown>) => call.catch((error: Error) => error.constructor.name)
    const page = (revision: number, hasMore = false) => ({ items: [{ key: 'a', value: base64('1'), revision, lease: 5 }], has_more: hasMore, as_of: revision })

    // Guards against fencing tokens and views that compare revisions of two eras.
    it('orders what it reads by era, then by revision', async () => {
      handle = (_request, response) => inEra(response, 3, page(900))
      const before = await client.list('')
      handle = (_request, response) => inEra(response, 4, page(12))
      const after = await client.list('')
      expect(after.revision).to.be.above(before.revision)
      expect(after.items[0]!.revision).to.be.above(before.items[0]!.revision)
      expect(after.items[0]!.lease).to.deep.equal({ era: 4, id: 5 })
    })

    it('does not continue a watch, or a list, of an earlier era', async () => {
      handle = (_request, response) => inEra(response, 3, page(900))
      const { revision } = await client.list('')
      let after: string | null = null
      handle = (request, response) => {
        after = new URL(request.url!, 'http://s').searchParams.get('after')
        inEra(response, 4, { events: [{ key: 'b', value: base64('x'), revision: 950 }], as_of: 950 })
      }
      expect(await client.watch('', revision, { waitMs: 10 })).to.deep.equal({ kind: 'history-lost' })
      expect(after).to.equal('900')
      handle = (request, response) => inEra(response, request.url!.includes('after=') ? 5 : 4, page(20, true))
      expect(await outcomeOf(client.list(''))).to.equal('UnknownOutcomeError')
    })

    it('takes nothing from an answer of an earlier era that arrives late', async () => {
      handle = (_request, response) => inEra(response, 4, page(12))
      await client.list('')
      handle = (_request, response) => inEra(response, 3, { revision: 900 })
      expect(await outcomeOf(client.commit({}))).to.equal('UnknownOutcomeError')
      handle = (_request, response) => inEra(response, 3, page(900))
      expect(await outcomeOf(client.list(''))).to.equal('UnknownOutcomeError')
    })

    // Guards against a lease whose ID another node holds by now.
    it('neither uses nor renews a lease of an earlier era', async () => {
      handle = (_request, response) => inEra(response, 3, { lease: 5 })
      const lease = await client.grantLease(3000)
      handle = (_request, response) => inEra(response, 4, { revision: 12 })
      expect(await outcomeOf(client.commit({ writes: [{ key: 'k', value: 'v', lease }] }))).to.equal('UnknownOutcomeError')
      let calls = 0
      handle = (_request, response) => {
        calls++
        inEra(response, 4, { revision: 13 })
      }
      expect(await client.commit({ writes: [{ key: 'k', value: 'v', lease }] })).to.deep.equal({ kind: 'lease-ended' })
      expect(await client.keepLease(lease)).to.equal(false)
      expect(calls).to.equal(0)
    })

    it('notices a store that has gone back and names no era', async () => {
      handle = (_request, response) => json(response, 200, { events: [], as_of: 12 })
      expect(await client.watch('', 900, { waitMs: 10 })).to.deep.equal({ kind: 'history-lost' })
    })
  })
})
