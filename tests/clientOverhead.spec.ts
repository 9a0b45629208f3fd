import { expect } from 'chai'
import { clientMemoryLimits } from '../src/policy/clientMemory.js'
import { OverheadBudgets, pieceCostBytes } from '../src/policy/clientOverhead.js'

const limits = clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 })

const own = {}
const exceeding = { overheadBytes: 2 * limits.overheadBytes, contentBytes: 0 }

/** As many connections as may exceed their limit do so. */
function crowded (): OverheadBudgets<object> {
  const budgets = new OverheadBudgets<object>(limits)
  for (let index = 0; index < limits.costlyConnections; index++) expect(budgets.add({}, 0, exceeding)).to.deep.equal([])
  return budgets
}

/** Chunks that a connection may bring, of at most `most`. */
function accepted (chunkBytes: number, chunksPerS: number, most: number, budgets = crowded()): number {
  for (let chunks = 0; chunks < most; chunks++) {
    if (budgets.add(own, chunks / chunksPerS * 1000, { overheadBytes: pieceCostBytes, contentBytes: chunkBytes }).includes(own)) return chunks
  }
  return most
}

describe('client overhead', () => {
  it('bodies in chunks of ordinary size, and slow ones in small chunks, stay within the limits', () => {
    // Guards against a limit that clients inside the stated ones meet.
    expect(accepted(pieceCostBytes, Infinity, 65_536)).to.equal(65_536)
    expect(accepted(1, 500, 100_000)).to.equal(100_000)
  })

  it('a body in chunks of one byte that come at once does not, beside others', () => {
    // Guards against chunks that cost far more than their bytes.
    expect(accepted(1, Infinity, 65_536)).to.equal(4161)
  })

  it('a body in chunks of one byte is read while few others come so', () => {
    // Guards against refusing a single request that is inside all stated limits.
    expect(accepted(1, Infinity, 4_194_304, new OverheadBudgets(limits))).to.equal(4_194_304)
  })

  it('all that exceed their limit are closed when they become too many, and those that have closed or become quiet do not count', () => {
    // Guards against connections that keep occupying the processor beside a crowd, and a limit that still acts when the crowd has gone.
    const budgets = crowded()
    expect(budgets.add(own, 0, exceeding)).to.have.length(limits.costlyConnections + 1)
    expect(crowded().add({}, 20_000, exceeding)).to.deep.equal([])
    const closing = {}
    const others = new OverheadBudgets<object>({ ...limits, costlyConnections: 1 })
    expect(others.add(closing, 0, exceeding)).to.deep.equal([])
    others.onClosed(closing)
    expect(others.add(own, 0, exceeding)).to.deep.equal([])
  })

  it('each one that exceeds its limit is closed while a crowd comes back', () => {
    // Guards against a crowd of which a few are read on each time, so that callers wait for them.
    const budgets = crowded()
    budgets.add(own, 0, exceeding)
    for (let atMs = 1000; atMs < 60_000; atMs += 1000) {
      const returned = {}
      expect(budgets.add(returned, atMs, exceeding)).to.deep.equal([returned])
    }
    expect(budgets.add({}, 80_000, exceeding)).to.deep.equal([])
  })
})
