import { expect } from 'chai'
import { ByteBlocks } from '../src/base/byteBlocks.js'

const bytesPerMb = 1024 * 1024

function collect (pieces: Iterable<Buffer>, blocks = new ByteBlocks()): { blocks: ByteBlocks, takenBytes: number } {
  let takenBytes = 0
  for (const piece of pieces) {
    takenBytes = blocks.capacityWith(piece)
    blocks.push(piece)
  }
  return { blocks, takenBytes }
}

function * piecesOf (sizes: readonly number[], totalBytes: number): Iterable<Buffer> {
  for (let [index, bytes] = [0, 0]; bytes < totalBytes; bytes += sizes[index % sizes.length]!, index++) yield Buffer.allocUnsafeSlow(sizes[index % sizes.length]!).fill(index)
}

describe('byte blocks', () => {
  for (const sizes of [[1], [0, 1000], [1400], [16_000], [1, 16_384], [1000, 20_000], [40_000, 1], [65_473, 62_520, 5127], [200_000, 70]]) {
    it(`keep the order and count what they take of pieces of ${sizes.join(', ')} bytes`, () => {
      // Guards against bytes that are lost between blocks, and pieces that take many times their size.
      const pieces = [...piecesOf(sizes, bytesPerMb / 2)]
      const { blocks, takenBytes } = collect(pieces)
      const expected = Buffer.concat(pieces)
      expect(blocks.length).to.equal(expected.length)
      expect(takenBytes).to.be.within(expected.length, 2 * expected.length + 2048)
      expect(Buffer.concat(blocks.take()).equals(expected)).to.equal(true)
      expect(blocks.length).to.equal(0)
      expect(blocks.capacityWith(Buffer.alloc(1))).to.equal(1024)
    })
  }

  it('take no more memory for large pieces than they count', () => {
    // Guards against garbage of each growth, and a last growth beyond what is counted.
    const beforeBytes = process.memoryUsage().arrayBuffers
    const { blocks, takenBytes } = collect(piecesOf([65_473], 32 * bytesPerMb))
    expect(process.memoryUsage().arrayBuffers - beforeBytes).to.be.below(1.1 * takenBytes)
    expect(takenBytes).to.be.below(1.1 * blocks.length)
  })

  it('copy a piece that would keep far more memory than its own', () => {
    // Guards against slices that keep the whole of what was read at once.
    const read = Buffer.allocUnsafeSlow(bytesPerMb)
    const { blocks, takenBytes } = collect([read.subarray(0, 20_000), read.subarray(50_000, 90_000)])
    expect(takenBytes).to.be.below(128 * 1024)
    expect(blocks.length).to.equal(60_000)
  })

  it('collect a known size in one block, without a copy at the end', () => {
    // Guards against twice the memory for bodies that declare their length.
    const { blocks, takenBytes } = collect(piecesOf([65_473], 60 * 65_473), new ByteBlocks(60 * 65_473))
    expect(takenBytes).to.equal(60 * 65_473)
    expect(blocks.take().map(({ buffer }) => buffer.byteLength)).to.deep.equal([60 * 65_473])
  })
})
