import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { IdempotencyStore, maxStoredBodyBytes } from '../src/fleet/idempotencyStore.js'
import { FaultyKeyValueStore } from './fixtures/faultyKeyValueStore.js'

class LeasingStore extends FaultyKeyValueStore {
  override async grantLease (): Promise<string> { return 'lease-1' }
}

function setUp () {
  const clock = new VirtualClock(1_000_000)
  const keyValueStore = new LeasingStore(clock)
  let ids = 0
  const nodeStore = (node: string) => new IdempotencyStore({
    clock, log: silentLog, keyValueStore, node, retentionMs: () => 86_400_000, newId: () => `id-${++ids}`
  })
  const first = nodeStore('n1')
  const second = nodeStore('n2')
  const settle = async <T>(promise: Promise<T>): Promise<T> => {
    await clock.advance(10_000)
    return promise
  }
  const begin = (store: IdempotencyStore, hash = 'h1') => settle(store.begin('shop', 'key 1', hash, { deadlineMs: clock.nowMs() + 3_000 }))
  return { clock, keyValueStore, first, second, settle, begin }
}

const response = { status: 201, headers: { 'content-type': 'text/plain' }, body: Buffer.from('order 7') }

describe('idempotency records', () => {
  // Guards against a second run of a request when its caller sends a duplicate to another node.
  it('replays the response at another node', async () => {
    const { first, second, begin, clock } = setUp()
    const started = await begin(first)
    if (started.kind !== 'new') throw new Error(started.kind)
    expect(await begin(second)).to.deep.equal({ kind: 'started', node: 'n1' })
    first.complete(started.claim, response)
    await clock.advance(1_000)
    expect(await begin(second)).to.deep.equal({ kind: 'replay', response })
    expect((await begin(second, 'h2')).kind).to.equal('mismatch')
  })

  // Guards against a request that is refused although its own record was written.
  it('recognizes its own record after a lost reply', async () => {
    const { keyValueStore, first, second, begin } = setUp()
    keyValueStore.loseReplies = { prefix: 'idempotency/', count: 1 }
    expect((await begin(first)).kind).to.equal('new')
    expect((await begin(second)).kind).to.equal('started')
  })

  // Guards against a dispatch without a record, and a key that stays blocked after its caller received "not run".
  it('refuses during an outage and releases the key afterwards', async () => {
    const { keyValueStore, first, second, begin, clock } = setUp()
    keyValueStore.loseReplies = { prefix: 'idempotency/', count: 1 }
    keyValueStore.onReplyLost = () => { keyValueStore.down = true }
    expect((await begin(first)).kind).to.equal('unavailable')
    keyValueStore.down = false
    await clock.advance(10_000)
    expect((await begin(second)).kind).to.equal('new')
  })

  // Guards against two nodes that both dispatch under one key.
  it('lets one of two concurrent requests run', async () => {
    const { first, second, clock, settle } = setUp()
    const options = { deadlineMs: clock.nowMs() + 3_000 }
    const kinds = await settle(Promise.all([first, second].map(store => store.begin('shop', 'key 1', 'h1', options))))
    expect(kinds.map(({ kind }) => kind).sort()).to.deep.equal(['new', 'started'])
  })

  // Guards against a key that stays blocked although its request provably did not run.
  it('releases the key of a request that did not run', async () => {
    const { first, second, begin, clock } = setUp()
    const started = await begin(first)
    if (started.kind !== 'new') throw new Error(started.kind)
    first.abandon(started.claim)
    await clock.advance(1_000)
    expect((await begin(second)).kind).to.equal('new')
  })

  // Guards against a duplicate request that runs because the response was too large to store.
  it('stores a record without the body of a large response', async () => {
    const { first, second, begin, clock } = setUp()
    const started = await begin(first)
    if (started.kind !== 'new') throw new Error(started.kind)
    first.complete(started.claim, { ...response, body: Buffer.alloc(maxStoredBodyBytes + 1) })
    await clock.advance(1_000)
    const duplicate = await begin(second)
    expect(duplicate.kind === 'replay' && duplicate.response.body).to.equal(undefined)
    expect(duplicate.kind).to.equal('replay')
  })

  // Guards against a response that is lost because the key-value service was down when the request completed.
  it('records the response after an outage', async () => {
    const { keyValueStore, first, second, begin, clock } = setUp()
    const started = await begin(first)
    if (started.kind !== 'new') throw new Error(started.kind)
    keyValueStore.down = true
    first.complete(started.claim, response)
    await clock.advance(3_600_000)
    keyValueStore.down = false
    await clock.advance(10_000)
    expect((await begin(second)).kind).to.equal('replay')
  })
})
