import { expect } from 'chai'
import { decideWait } from '../src/policy/waitForEngine.js'
import type { WaitConditions } from '../src/policy/waitForEngine.js'

/** A stream with an objective of 500 ms, whose callers wait 2.4 s for the next event. */
function terms (changes: Partial<WaitConditions> = {}): WaitConditions {
  return { isStream: true, objectiveMs: 500, gapObjectiveMs: 300, lastProgressAtMs: 1000, lastAttemptAtMs: 16_000, startedAtMs: 1000, shortestLoadMs: 1200, ...changes }
}

const patient = { objectiveMs: 5000, lastSendAtMs: 21_000 }

describe('waiting for an engine', () => {
  it('waits for room after the objective has passed, as long as callers do', () => {
    // Pattern: a burst exceeds what engines take for a second; a refusal then would make the caller later still.
    expect(decideWait(terms(), 1200, 0)).to.deep.equal({ kind: 'wait', isLate: false })
    expect(decideWait(terms(), 1400, 0)).to.deep.equal({ kind: 'wait', isLate: true })
    expect(decideWait(terms(), 2700, 0)).to.deep.equal({ kind: 'wait', isLate: true })
    expect(decideWait(terms(), 2900, 0)).to.include({ kind: 'refuse', reason: 'full' })
  })

  it('keeps patient requests while other models are loaded first', () => {
    // Pattern: a flood of drafts for many rare models, which engines take up one after the other.
    expect(decideWait(terms(patient), 5000, undefined)).to.include({ kind: 'wait' })
    expect(decideWait(terms(patient), 12_000, undefined)).to.include({ kind: 'wait', isLate: true })
    expect(decideWait(terms(patient), 15_500, undefined)).to.include({ kind: 'refuse', reason: 'not-loaded' })
  })

  it('refuses at once what a load cannot reach in time', () => {
    // Pattern: a model that takes nine seconds to load is asked for by callers who leave after 2.4 s.
    expect(decideWait(terms(), 1001, 9000)).to.deep.equal({ kind: 'refuse', reason: 'not-loaded', retryAfterMs: 9025 })
    expect(decideWait(terms(patient), 1001, 9000)).to.include({ kind: 'wait' })
  })

  it('gives the leader time to decide on a load', () => {
    expect(decideWait(terms({ shortestLoadMs: 9000 }), 2000, undefined)).to.include({ kind: 'wait' })
    expect(decideWait(terms({ shortestLoadMs: 9000 }), 2600, undefined)).to.include({ kind: 'refuse', reason: 'not-loaded' })
  })

  it('refuses in time to tell a caller who has little left', () => {
    expect(decideWait(terms({ lastAttemptAtMs: 1300 }), 1350, 0)).to.include({ kind: 'refuse' })
  })
})
