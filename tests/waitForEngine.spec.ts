import { expect } from 'chai'
import { decideWait } from '../src/policy/waitForEngine.js'
import type { WaitConditions } from '../src/policy/waitForEngine.js'

/** A stream with an objective of 500 ms, whose callers wait 2.4 s for the next event. */
function createConditions (changes: Partial<WaitConditions> = {}): WaitConditions {
  return { isStream: true, objectiveMs: 500, gapObjectiveMs: 300, lastProgressAtMs: 1000, lastAttemptAtMs: 16_000, startedAtMs: 1000, shortestLoadMs: 1200, ...changes }
}

const patient = { objectiveMs: 5000, lastAttemptAtMs: 21_000 }

describe('waiting for an engine', () => {
  it('waits for capacity past the objective while callers still wait', () => {
    // Failure: a burst exceeds the capacity for a second, and a refusal delays the caller even more than the wait would.
    expect(decideWait(createConditions(), 1200, 0)).to.deep.equal({ kind: 'wait', isLate: false })
    expect(decideWait(createConditions(), 1400, 0)).to.deep.equal({ kind: 'wait', isLate: true })
    expect(decideWait(createConditions(), 2700, 0)).to.deep.equal({ kind: 'wait', isLate: true })
    expect(decideWait(createConditions(), 2900, 0)).to.include({ kind: 'refuse', reason: 'full' })
  })

  it('keeps patient requests waiting while other models load first', () => {
    // Failure: requests of low urgency for many rarely used models are refused, although engines load these one by one.
    expect(decideWait(createConditions(patient), 5000, undefined)).to.include({ kind: 'wait' })
    expect(decideWait(createConditions(patient), 12_000, undefined)).to.include({ kind: 'wait', isLate: true })
    expect(decideWait(createConditions(patient), 15_500, undefined)).to.include({ kind: 'refuse', reason: 'not-loaded' })
  })

  it('refuses at once when a load cannot complete in time', () => {
    // Failure: callers who leave after 2.4 s wait in vain for a model that takes 9 s to load.
    expect(decideWait(createConditions(), 1001, 9000)).to.deep.equal({ kind: 'refuse', reason: 'not-loaded', retryAfterMs: 9025 })
    expect(decideWait(createConditions(patient), 1001, 9000)).to.include({ kind: 'wait' })
  })

  it('gives the leader time to decide on a load', () => {
    expect(decideWait(createConditions({ shortestLoadMs: 9000 }), 2000, undefined)).to.include({ kind: 'wait' })
    expect(decideWait(createConditions({ shortestLoadMs: 9000 }), 2600, undefined)).to.include({ kind: 'refuse', reason: 'not-loaded' })
  })

  it('refuses before a close deadline passes', () => {
    expect(decideWait(createConditions({ lastAttemptAtMs: 1300 }), 1350, 0)).to.include({ kind: 'refuse' })
  })

  it('believes a stated wait that is told again, if it ends after the callers leave', () => {
    // Failure: requests are held although it is known that no engine is free in time, or refused because of a backlog that has just gone.
    expect(decideWait(createConditions(), 1001, 0, 40_000)).to.include({ kind: 'wait' })
    expect(decideWait(createConditions(), 1260, 0, 40_000)).to.deep.equal({ kind: 'refuse', reason: 'full', retryAfterMs: 40_000 })
    expect(decideWait(createConditions(), 1260, 0, 1000)).to.include({ kind: 'wait' })
    expect(decideWait(createConditions(), 2700, 0, 120)).to.include({ kind: 'wait' })
  })
})
