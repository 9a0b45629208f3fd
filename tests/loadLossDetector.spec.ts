import { expect } from 'chai'
import { sleep, VirtualClock } from '../src/base/clock.js'
import { UnknownOutcomeError } from '../src/base/errors.js'
import { LoadLossDetector } from '../src/fleet/loadLossDetector.js'
import type { EngineStatus } from '../src/external/engine.js'

const statusWith = (...models: string[]) => ({ models: models.map(name => ({ name, state: 'loading', memoryBytes: 1 })) }) as unknown as EngineStatus

/** Runs a load of `m@1` that receives its reply after `replyMs`, with a status every 500 ms that lists `models`. */
async function runLoad (replyMs: number, models: (nowMs: number) => string[]) {
  const clock = new VirtualClock()
  const detector = new LoadLossDetector(clock, 'e1')
  const load = detector.run('m@1', () => sleep(clock, replyMs)).then(() => 'replied', error => error as Error)
  let settledAtMs = Infinity
  void load.then(() => { settledAtMs = clock.nowMs() })
  for (let nowMs = 500; nowMs <= 60_000; nowMs += 500) {
    await clock.runUntil(nowMs)
    detector.observe(statusWith(...models(nowMs)), nowMs)
  }
  return { result: await load, settledAtMs }
}

describe('load loss detector', () => {
  // Guards against an engine that is blocked until the timeout of a load command that it never received.
  it('rejects a load that the engine does not list', async () => {
    const { result, settledAtMs } = await runLoad(120_000, () => ['other@1'])
    expect(result).to.be.instanceOf(UnknownOutcomeError)
    expect(settledAtMs).to.be.at.most(4_000)
  })

  // Guards against a slow load that is rejected although it is in progress.
  it('waits for a load that the engine lists', async () => {
    expect((await runLoad(50_000, () => ['m@1'])).result).to.equal('replied')
  })

  it('tolerates outdated statuses', async () => {
    expect((await runLoad(50_000, nowMs => nowMs < 3_500 ? [] : ['m@1'])).result).to.equal('replied')
  })
})
