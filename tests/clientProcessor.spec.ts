import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import type { ShapeName } from './fixtures/crowd.js'
import { Flood } from './fixtures/flood.js'
import { LimitedNode, maxBodyBytes } from './fixtures/limitedNode.js'

const crowd = 120
/** Nearly as many as the node accepts. */
const largeCrowd = 600
/** More than that. */
const tooLargeCrowd = 700
const pipelinedRequests = 32
const manyFields = 900
/** So many heads of so many fields are less than one read. */
const largeHeads = 14
const floods = 12
/** Connections with such bodies that are read on at the same time. */
const costlyConnections = 4
const chunksAtOnce = 65_536
/** Includes the buffers of both sockets. The body limit alone is reached at six times its size. */
const mostBytes = 3 * maxBodyBytes
/** What the crowd occupies is occupied by then. */
const settleMs = 1000

describe('client processor', function () {
  this.timeout(60_000)
  let node: LimitedNode

  beforeEach(async () => {
    node = new LimitedNode()
    await node.start()
  })
  afterEach(() => node.stop())

  async function expectServed (shape: ShapeName, clients = crowd): Promise<void> {
    await node.crowd(shape, clients)
    await sleep(settleMs)
    expect(await node.violations(), 'limits of the machine').to.deep.equal([])
  }

  it('serves as many requests of one read as a connection may have in progress', async () => {
    // Guards against stopping the parser for clients inside the limit, or for a request for an upgrade, which is served as any other.
    const upgrade = 'Connection: upgrade\r\nUpgrade: x\r\n'
    for (const [count, headers] of [[pipelinedRequests, ''], [pipelinedRequests, 'x:y\r\n'.repeat(60)], [1, 'x:y\r\n'.repeat(manyFields)], [1, upgrade]] as const) {
      let text = ''
      const socket = node.open(`POST /order/1 HTTP/1.1\r\nHost: h\r\n${headers}Content-Length: 0\r\n\r\n`.repeat(count)).on('data', data => { text += String(data) })
      while (text.split(' 200 OK').length <= count && !socket.destroyed) await sleep(20)
      expect(text.split(' 200 OK').length - 1).to.equal(count)
    }
  })

  it('serves beside a crowd that pipelines tiny requests', async () => {
    // Guards against request objects for all that one read brings, at many connections in one turn of the event loop.
    await expectServed('pipelined')
  })

  it('serves beside a crowd that pipelines requests with unknown expectations', async () => {
    // Guards against the same for requests that Node.js refuses by itself.
    await expectServed('expectations')
  })

  it('serves beside a large crowd that pipelines as many requests as it may', async () => {
    // Guards against requests that found no room and wait, uncounted, for earlier responses.
    await expectServed('pipelinedOnce', largeCrowd)
  })

  it('serves beside more bodies that stop short of their end than connections are accepted', async () => {
    // Guards against connections that keep all others out as long as they stay open.
    await expectServed('openBodies', tooLargeCrowd)
  })

  it('serves beside more second heads that stop short of their end than connections are accepted', async () => {
    // Guards against the same after a request that has been answered.
    await expectServed('openSecondHeads', tooLargeCrowd)
  })

  it('closes a connection that pipelines heads of many fields', async () => {
    // Guards against fields that cost the processor far more than their bytes.
    let text = ''
    const request = `GET /none HTTP/1.1\r\nHost: h\r\n${'a:b\r\n'.repeat(manyFields)}\r\n`
    const socket = node.open(request.repeat(largeHeads)).on('data', data => { text += String(data) })
    while (!socket.destroyed && text.split(' 404 ').length <= largeHeads) await sleep(20)
    expect(socket.destroyed).to.equal(true)
  })

  it('serves beside a crowd that pipelines heads of many fields', async () => {
    // Guards against the objects of a head's fields, which take ten times its bytes, at many connections in one turn of the event loop.
    await expectServed('headsOfManyFields')
  })

  it('serves beside a crowd that pipelines bodies with trailers of many fields', async () => {
    // Guards against the objects of trailers, which nothing reads, in requests that are complete.
    await expectServed('trailersOfManyFields')
  })

  it('closes connections whose bodies come in chunks of one byte, but for a few', async () => {
    // Guards against chunks that cost the processor far more than the bytes that they bring.
    const sent = await Promise.all(Array.from({ length: floods }, async () => {
      const flood = new Flood(node.open(''), 'POST /order/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n')
      await flood.closed
      return flood.acceptedBytes
    }))
    expect(sent.filter(bytes => bytes >= mostBytes), 'bytes sent until the close').to.have.length.at.most(costlyConnections)
  })

  it('serves the largest body in chunks of one byte', async () => {
    // Guards against a limit on chunks that refuses a single request inside the stated limits.
    const pieces = Array.from({ length: maxBodyBytes / chunksAtOnce }, () => Buffer.from('1\r\nx\r\n'.repeat(chunksAtOnce)))
    expect(await node.upload({ pieces: [...pieces, Buffer.from('0\r\n\r\n')], awaitsAnswer: true })).to.equal(200)
  })

  it('serves the largest body in chunks of 64 bytes', async () => {
    // Guards against a limit on chunks that refuses what the stated limits allow.
    const chunk = `40\r\n${'x'.repeat(64)}\r\n`
    expect(await node.upload({ pieces: [Buffer.from(`${chunk.repeat(maxBodyBytes / 64)}0\r\n\r\n`)], awaitsAnswer: true })).to.equal(200)
  })

  it('serves beside a crowd that sends bodies in chunks of one byte', async () => {
    // Guards against bodies whose chunks occupy the processor, so that new connections are not accepted.
    await expectServed('oneByteChunks')
  })
})
