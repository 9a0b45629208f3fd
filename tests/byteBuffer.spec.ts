import { expect } from 'chai'
import { ByteBuffer } from '../src/base/byteBuffer.js'

describe('byte buffer', () => {
  it('keeps pieces in order, whatever their size', () => {
    const buffer = new ByteBuffer()
    for (const piece of ['', 'a', 'bc', 'd'.repeat(5000), 'e']) buffer.push(Buffer.from(piece))
    expect(buffer.bytes.toString()).to.equal(`abc${'d'.repeat(5000)}e`)
    buffer.clear()
    expect(buffer.length).to.equal(0)
    buffer.push(Buffer.from('f'))
    expect(buffer.bytes.toString()).to.equal('f')
  })

  it('takes about twice the size of its pieces', () => {
    // Guards against an object for each piece, or a copy of all for each piece.
    const buffer = new ByteBuffer()
    const startMs = performance.now()
    for (let count = 0; count < 2 * 1024 * 1024; count++) buffer.push(Buffer.from('x'))
    expect(performance.now() - startMs).to.be.below(5000)
    expect(buffer.length).to.equal(2 * 1024 * 1024)
    expect(buffer.bytes.buffer.byteLength).to.be.at.most(2 * buffer.length)
  })
})
