import { expect } from 'chai'
import fc from 'fast-check'
import { ByteBuffer } from '../src/base/byteBuffer.js'
import { StreamTail } from '../src/policy/streamTail.js'
import { EventSplitter } from '../src/serving/eventStream.js'
import { readEvents } from './fixtures/eventReader.js'

const blocks = (text: string) => new EventSplitter().push(Buffer.from(text))

/** What is sent of `parts`, one write after the other. */
function sentOf (parts: readonly string[]): { writes: string[], end: string } {
  const tail = new StreamTail()
  const splitter = new EventSplitter()
  const writes = parts.map(part => String(tail.push(splitter.push(Buffer.from(part)))))
  const { lineEndRest } = splitter
  if (lineEndRest) writes.push(String(tail.push([{ bytes: lineEndRest, isComment: true }])))
  return { writes, end: String(tail.end()) }
}

const eventWith = (...lineEnds: string[]) => fc.record({ id: fc.option(fc.nat(999)), data: fc.stringMatching(/^[a-z :]{0,6}$/), name: fc.boolean(), lineEnd: fc.constantFrom(...lineEnds) })
  .map(({ id, data, name, lineEnd }) => [...(name ? ['event: x'] : []), ...(id === null ? [] : [`id: ${id}`]), `data: ${data}`, '', ''].join(lineEnd))
const event = eventWith('\n', '\r\n', '\r')
const comment = fc.constantFrom(': c\n\n', ':\n\n', '\n', ': c\r\n\r\n')

describe('tail of a stream that ends with its connection', () => {
  // Guards against a cut between two events, which looks like the end of the stream to readers that drop comments.
  it('leaves the stream inside an event until its end', () => {
    fc.assert(fc.property(fc.array(fc.oneof(event, comment)), parts => {
      let sent = ''
      for (const write of sentOf(parts).writes) {
        sent += write
        if (sent !== '') expect(readEvents(sent).rest, JSON.stringify(sent)).to.not.equal('')
      }
    }))
  })

  // Guards against bytes of the node's own, in streams that pause before any event or their end.
  it('sends the stream byte for byte', () => {
    fc.assert(fc.property(fc.array(fc.oneof(event, comment)), parts => {
      const { writes, end } = sentOf(parts)
      expect(writes.join('') + end).to.equal(parts.join(''))
    }))
  })

  it('sends all of an event but the line end that completes it', () => {
    expect(sentOf(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n']).writes).to.deep.equal(['id: 1\ndata: a\n\nid: 2\ndata: b\n'])
    expect(sentOf(['id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n']).writes).to.deep.equal(['id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n'])
  })

  // Guards against a line end that is sent because the engine pauses: a cut after it looks like the end.
  it('holds the line end of the last event back, the first one too, until the next event', () => {
    expect(sentOf(['id: 1\ndata: a\n\n', 'event: x\ndata: b\n\n'])).to.deep.equal({ writes: ['id: 1\ndata: a\n', '\nevent: x\ndata: b\n'], end: '\n' })
  })

  // Guards against streams that keep their last event in memory, which no limit counts.
  it('keeps nothing of an event that has been sent', () => {
    const tail = new StreamTail()
    tail.push(blocks(`id: 1\ndata: ${'x'.repeat(100_000)}\n\n`))
    const [held] = Object.values(tail).filter(value => value instanceof ByteBuffer) as ByteBuffer[]
    expect(held!.bytes).to.have.length(1)
    expect(held!.bytes.buffer.byteLength).to.be.below(100_000)
  })

  // Guards against comments after which readers that drop them see a whole stream, and against memory that no limit counts.
  it('holds comments back, and counts them, until the event that follows them', () => {
    expect(sentOf([': c\n\n', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n']).writes).to.deep.equal(['', ': c\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n'])
    const tail = new StreamTail()
    tail.push(blocks('id: 1\ndata: a\n\n: c\n\n: c\n\n'))
    expect(tail.heldBytes).to.equal('\n: c\n\n: c\n\n'.length)
  })

  it('adds nothing to a stream without events', () => {
    expect(sentOf([]).end).to.equal('')
    expect(new StreamTail().push(blocks(''))).to.have.length(0)
  })
})
