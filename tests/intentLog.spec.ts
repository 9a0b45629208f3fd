import { expect } from 'chai'
import fc from 'fast-check'
import { addAttempt, grantAdapters, holdsInvariant, removableIntents, removeIntent, settleAttempts, takeOver } from '../src/fleet/intentLog.js'
import type { Transition } from '../src/fleet/intentLog.js'
import { nextFence } from '../src/fleet/fence.js'

const capacity = { memoryBytes: 100, kvCacheBytes: 10, adapterBytes: 10 }
const step = fc.record({
  kind: fc.constantFrom('load', 'settle', 'remove', 'grant', 'takeOver', 'restart', 'adapterBytes'),
  name: fc.constantFrom('a', 'b', 'c', 'd'),
  memoryBytes: fc.integer({ min: 1, max: 60 })
})

describe('intent log', () => {
  // Guards against transitions that break invariant R: overcommitted memory, or an outstanding load without an intent.
  it('keeps invariant R in any sequence of transitions', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      let intentLog = takeOver(undefined, { controller: 'n1', incarnation: 'i0', minimumFence: 0, resident: [] })
      let outstanding = new Map<string, string>()
      let limits = capacity
      const apply = (transition: Transition) => {
        if (transition.ok) intentLog = transition.intentLog
        return transition.ok
      }
      steps.forEach(({ kind, name, memoryBytes }, index) => {
        const fence = intentLog.fence
        if (kind === 'adapterBytes') limits = { ...capacity, adapterBytes: memoryBytes }
        if (kind === 'load' && apply(addAttempt(intentLog, { model: name, memoryBytes, attemptId: `${index}` }, limits))) outstanding.set(`${index}`, name)
        if (kind === 'remove') apply(removeIntent(intentLog, name))
        if (kind === 'grant') apply(grantAdapters(intentLog, [{ adapter: name, memoryBytes }], limits))
        if (kind === 'settle') {
          const replied = [...outstanding].filter(([, model]) => model === name).map(([attemptId]) => attemptId)
          for (const attemptId of replied) outstanding.delete(attemptId)
          intentLog = settleAttempts(intentLog, new Set(replied))
        }
        if (kind === 'takeOver' || kind === 'restart') {
          if (kind === 'restart') outstanding = new Map()
          const incarnation = kind === 'restart' ? `i${index + 1}` : intentLog.incarnation
          intentLog = takeOver(intentLog, { controller: `n${index}`, incarnation, minimumFence: 0, resident: [] })
          expect(intentLog.fence).to.be.greaterThan(fence)
        }
        expect(holdsInvariant(intentLog, capacity)).to.equal(true)
        for (const [attemptId, model] of outstanding) {
          expect(intentLog.entries.find(entry => entry.model === model)?.outstandingAttempts).to.include(attemptId)
          expect(removableIntents(intentLog, new Set()).map(entry => entry.model)).not.to.include(model)
        }
      })
    }), { seed: 31, numRuns: 500 })
  })

  // Guards against fencing tokens that two writers share or that do not increase.
  it('issues increasing fencing tokens that differ by writer', () => {
    const first = nextFence(0, 7)
    expect([nextFence(0, 8) === first, nextFence(first, 0) > first]).to.deep.equal([false, true])
    expect(() => nextFence(Number.MAX_SAFE_INTEGER, 1)).to.throw(RangeError)
  })
})
