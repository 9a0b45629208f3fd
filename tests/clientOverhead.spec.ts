import { expect } from 'chai'
import { clientMemoryLimits } from '../src/policy/clientMemory.js'
import { OverheadBudget, pieceCostBytes } from '../src/policy/clientOverhead.js'

const limits = clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 })

/** Chunks that a connection may bring, of at most `most`. */
function accepted (chunkBytes: number, chunksPerS: number, most: number): number {
  const budget = new OverheadBudget(0, limits)
  for (let chunks = 0; chunks < most; chunks++) {
    if (!budget.add(chunks / chunksPerS * 1000, { overheadBytes: pieceCostBytes, contentBytes: chunkBytes })) return chunks
  }
  return most
}

describe('client overhead', () => {
  it('bodies in chunks of ordinary size, and slow ones in small chunks, stay within the limits', () => {
    // Guards against a limit that clients inside the stated ones meet.
    expect(accepted(pieceCostBytes, Infinity, 65_536)).to.equal(65_536)
    expect(accepted(1, 500, 100_000)).to.equal(100_000)
  })

  it('a body in chunks of one byte that come at once does not', () => {
    // Guards against chunks that cost far more than their bytes.
    expect(accepted(1, Infinity, 65_536)).to.equal(4161)
  })
})
