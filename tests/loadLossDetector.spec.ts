import { expect } from 'chai'
import { sleep, VirtualClock } from '../src/base/clock.js'
import { UnknownOutcomeError } from '../src/base/errors.js'
import { LoadLossDetector } from '../src/fleet/loadLossDetector.js'
import type { EngineStatus } from '../src/external/engine.js'

const statusWith = (...models: string[]) => ({ models: models.map(name => ({ name, state: 'loading', memoryBytes: 1 })) }) as unknown as EngineStatus

/** Watches a load of `m@1` that is answered after `answerMs`, with a status each 500 ms that shows `models`. */
async function watch (answerMs: number, models: (nowMs: number) => string[]) {
  const clock = new VirtualClock()
  const detector = new LoadLossDetector(clock, 'e1')
  const load = detector.run('m@1', () => sleep(clock, answerMs)).then(() => 'answered', error => error as Error)
  let settledAtMs = Infinity
  void load.then(() => { settledAtMs = clock.nowMs() })
  for (let nowMs = 500; nowMs <= 60_000; nowMs += 500) {
    await clock.runUntil(nowMs)
    detector.observe(statusWith(...models(nowMs)), nowMs)
  }
  return { result: await load, settledAtMs }
}

describe('watch on loads', () => {
  // Guards against an engine that is blocked for the time limit of a load that it never got.
  it('gives up on a load that the engine does not show', async () => {
    const { result, settledAtMs } = await watch(120_000, () => ['other@1'])
    expect(result).to.be.instanceOf(UnknownOutcomeError)
    expect(settledAtMs).to.be.at.most(4_000)
  })

  // Guards against a slow load that is given up although it goes on.
  it('waits for a load that is shown', async () => {
    expect((await watch(50_000, () => ['m@1'])).result).to.equal('answered')
  })

  it('allows for a status that lags behind', async () => {
    expect((await watch(50_000, nowMs => nowMs < 3_500 ? [] : ['m@1'])).result).to.equal('answered')
  })
})
