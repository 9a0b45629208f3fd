import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import type { ShapeName } from './fixtures/crowd.js'
import { LimitedNode } from './fixtures/limitedNode.js'

const crowd = 120
const pipelinedRequests = 32
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

  async function expectServed (shape: ShapeName): Promise<void> {
    await node.crowd(shape, crowd)
    await sleep(settleMs)
    expect(await node.violations(), 'limits of the machine').to.deep.equal([])
  }

  it('serves as many requests of one read as a connection may have in progress', async () => {
    // Guards against stopping the parser for clients inside the limit, or for a request for an upgrade, which is served as any other.
    const upgrade = 'Connection: upgrade\r\nUpgrade: x\r\n'
    for (const [count, headers] of [[pipelinedRequests, ''], [1, upgrade]] as const) {
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
})
