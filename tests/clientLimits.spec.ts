import { expect } from 'chai'
import { LimitedNode, maxBodyBytes } from './fixtures/limitedNode.js'
import { sleep } from './soak/storeStandIn.js'

const crowd = 60
/** Crowds one after another. */
const crowds = 5
const connectionCrowd = 2500
/** Head that is still under way. */
const headBytes = 60_000
/** What is buffered between the ends arrives within this time. */
const settleMs = 1000
/** No answer within this time counts as none. */
const answerMs = 10_000
const largeChunkBytes = 256 * 1024
const bytesBeforeEnd = 15 * largeChunkBytes
const oneByteChunks = 50_000
/** As often as the limit. */
const timesOverLimit = 40

const largePiece = Buffer.alloc(largeChunkBytes, 'x')
const largeChunk = Buffer.concat([Buffer.from(`${largeChunkBytes.toString(16)}\r\n`), largePiece, Buffer.from('\r\n')])
const tinyChunks = Buffer.from('1\r\nx\r\n'.repeat(oneByteChunks))

function repeated (piece: Buffer, count: number): Buffer[] {
  return Array.from({ length: count }, () => piece)
}

const overLimit = maxBodyBytes * timesOverLimit / largeChunkBytes
const uploads = {
  declaredOverLimit: { head: `Content-Length: ${maxBodyBytes * timesOverLimit}`, pieces: repeated(largePiece, overLimit) },
  chunkedOverLimit: { pieces: repeated(largeChunk, overLimit) },
  // Without the last chunk, so the request stays open.
  largeChunks: { pieces: repeated(largeChunk, bytesBeforeEnd / largeChunkBytes) },
  oneByteChunks: { pieces: [tinyChunks] }
}

describe('client limits', function () {
  this.timeout(120_000)
  let node: LimitedNode

  beforeEach(async () => {
    node = new LimitedNode()
    await node.start()
  })
  afterEach(() => node.stop())

  async function expectHeld (name: keyof typeof uploads, { readers = 0, times = 1 } = {}): Promise<void> {
    for (let index = 0; index < readers; index++) node.readNothing()
    for (let time = 0; time < times; time++) {
      await Promise.all(repeated(largePiece, crowd).map(() => node.upload(uploads[name])))
      await sleep(settleMs)
    }
    expect(await node.violations(), 'limits of the machine').to.deep.equal([])
  }

  it('one body of the largest size, with the largest head, is served', async () => {
    // Guards against a limit for crowds that refuses what the stated limits allow.
    expect(await node.request(Buffer.alloc(maxBodyBytes, 'x'), `X-Long: ${'x'.repeat(16_000)}\r\n`)).to.equal(200)
    expect(await node.violations()).to.deep.equal([])
  })

  it('a refusal reaches a client that sends a body over the limit', async () => {
    // Guards against a connection that is closed with unread bytes, which takes the answer from its client.
    expect(await node.upload(uploads.declaredOverLimit), 'refusal').to.equal(413)
    expect(await node.upload(uploads.chunkedOverLimit), 'refusal').to.equal(413)
  })

  it('a declared length over the limit is refused before the body', async () => {
    // Guards against reading a body that is refused in any case.
    const status = new Promise<string>(resolve => { node.open(`POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: ${maxBodyBytes + 1}\r\n\r\n`).once('data', data => resolve(String(data).slice(9, 12))) })
    expect(await Promise.race([status, sleep(answerMs)]), 'refusal').to.equal('413')
  })

  it('holds with bodies over the limit that declare their length', async () => {
    // Guards against memory for what is refused in any case.
    await expectHeld('declaredOverLimit')
  })

  it('holds with chunked bodies over the limit', async () => {
    // Guards against a limit for each body without one for all.
    await expectHeld('chunkedOverLimit')
  })

  it('holds with crowds of chunked bodies over the limit', async () => {
    // Guards against memory that bodies take uncounted while they grow, of which each crowd leaves some.
    await expectHeld('chunkedOverLimit', { times: crowds })
  })

  it('holds with open bodies in large chunks', async () => {
    // Guards against bodies that hold memory as long as their clients want.
    await expectHeld('largeChunks')
  })

  it('holds with open bodies in chunks of one byte', async () => {
    // Guards against an object for each chunk.
    await expectHeld('oneByteChunks')
  })

  it('holds with open bodies in large chunks beside slow readers', async () => {
    // Guards against limits for requests and responses that add up to more than the memory.
    await expectHeld('largeChunks', { readers: crowd })
  })

  it('holds with open bodies in chunks of one byte beside slow readers', async () => {
    // Guards against the same with an object for each chunk.
    await expectHeld('oneByteChunks', { readers: crowd })
  })

  it('holds with many connections and heads under way', async () => {
    // Guards against heads that nothing counts, and against a crowd of connections that keeps others out.
    for (let index = 0; index < connectionCrowd; index++) {
      node.open(`GET /order/1 HTTP/1.1\r\nHost: h\r\nX-Long: ${'x'.repeat(headBytes)}`)
      if (index % 100 === 99) await sleep(10)
    }
    await sleep(settleMs)
    expect(await node.violations(), 'limits of the machine').to.deep.equal([])
  })
})
