import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { readEvents } from './fixtures/eventReader.js'
import { bodyOf } from './fixtures/rawClient.js'
import type { RawEnd } from './fixtures/rawClient.js'
import { events } from './fixtures/requestProxyFixture.js'
import { StreamingNode } from './fixtures/streamingNode.js'
import type { StreamOptions } from './fixtures/streamingNode.js'

const streams = 12
/** Lasts longer than the grace time after SIGTERM. */
const longStream = 2000
const eventsBeforeEnd = 10

/** Streams that end with their connection at the client. */
const forms: Record<string, Pick<StreamOptions, 'hasChunks' | 'version'>> = {
  'an engine without chunks': { hasChunks: false, version: '1.1' },
  'an engine without chunks, a client of HTTP/1.0': { hasChunks: false, version: '1.0' },
  'an engine with chunks, a client of HTTP/1.0': { hasChunks: true, version: '1.0' }
}

/** Whether a reader takes the stream for whole: its connection ended in order, and not inside an event. */
const looksWhole = ({ text, isOrderly }: RawEnd) => isOrderly && readEvents(bodyOf(text)).rest === ''

describe('streams that end with their connection at the client', function () {
  this.timeout(60_000)
  let node: StreamingNode

  beforeEach(async () => {
    node = new StreamingNode()
    await node.start()
  })
  afterEach(() => node.stop())

  /** Reads streams until `signal` has ended the node in their middle. */
  async function readUntil (signal: NodeJS.Signals, form: Pick<StreamOptions, 'hasChunks' | 'version'>): Promise<RawEnd[]> {
    let begun = 0
    let onAllBegun = () => {}
    const allBegun = new Promise<void>(resolve => { onAllBegun = resolve })
    const ends = Array.from({ length: streams }, () => {
      let hasBegun = false
      return node.read({ ...form, events: longStream }, text => {
        if (hasBegun || !text.includes(`id: ${eventsBeforeEnd}\n`)) return
        hasBegun = true
        if (++begun === streams) onAllBegun()
      })
    })
    await allBegun
    await node.end(signal)
    return Promise.all(ends)
  }

  for (const [name, form] of Object.entries(forms)) {
    // Guards against a node that is killed: its kernel closes the connections of its streams in order.
    it(`are seen to be broken off when the node is killed: ${name}`, async () => {
      expect((await readUntil('SIGKILL', form)).filter(looksWhole)).to.deep.equal([])
    })

    // Guards against a node that closes them in order at the end of its grace time.
    it(`are reset when the node stops before their end: ${name}`, async () => {
      expect((await readUntil('SIGTERM', form)).filter(({ isOrderly }) => isOrderly)).to.deep.equal([])
    })

    // Guards against sound streams that are changed or broken off because others must be seen to be.
    it(`are whole: ${name}`, async () => {
      const ends = await Promise.all(Array.from({ length: streams }, () => node.read({ ...form, events: 20 })))
      for (const { text, isOrderly } of ends) expect({ ...readEvents(bodyOf(text)), isOrderly }).to.deep.equal({ events: events(1, 20), rest: '', isOrderly: true })
    })
  }

  // Guards against a reset that takes an earlier, complete answer from a client that has not read it yet.
  it('do not take the answer before them on their connection from a slow reader when the node stops', async () => {
    const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r${Math.random()}\r\n\r\n`
    const socket = connect({ ...node.address, noDelay: true }).pause()
    let text = ''
    socket.on('data', data => { text += data.toString('latin1') })
    socket.on('error', () => {})
    socket.write(request('/stream/large/6') + request(`/stream/none/${longStream}`))
    await sleep(500)
    await node.end('SIGTERM')
    socket.resume()
    await once(socket, 'close')
    expect(text.length, 'bytes').to.be.above(3_000_000)
    expect(text).to.contain('\r\n0\r\n\r\n')
    expect(readEvents(text.slice(text.lastIndexOf('id: 1\n'))).rest).to.not.equal('')
  })
})
