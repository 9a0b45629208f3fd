import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { DispatchDesk } from '../src/policy/dispatchDesk.js'
import type { DispatchAsk } from '../src/policy/dispatchDesk.js'
import { ReadingSpeed } from '../src/policy/readingSpeed.js'

const firstEventMs = 35

describe('reading speed', () => {
  it('learns that a model is read several times as fast as usual', () => {
    const speed = new ReadingSpeed(new VirtualClock(0))
    const usual = speed.msPerToken('s/fast')
    for (let count = 0; count < 20; count++) speed.onFirstEvent('s/fast', 1500, firstEventMs + 15)
    expect(speed.msPerToken('s/fast')).to.be.below(usual / 3)
    expect(speed.msPerToken('s/other')).to.equal(usual)
  })

  it('learns that a model is read slower than usual, within bounds', () => {
    const speed = new ReadingSpeed(new VirtualClock(0))
    for (let count = 0; count < 20; count++) speed.onFirstEvent('s/slow', 1000, firstEventMs + 90)
    expect(speed.msPerToken('s/slow')).to.be.closeTo(0.09, 0.01)
    for (let count = 0; count < 20; count++) speed.onFirstEvent('s/slow', 1000, 60_000)
    expect(speed.msPerToken('s/slow')).to.equal(1 / 8)
  })

  it('takes nothing from prompts that are too short, and forgets', async () => {
    const clock = new VirtualClock(0)
    const speed = new ReadingSpeed(clock)
    const usual = speed.msPerToken('s/m')
    speed.onFirstEvent('s/m', 100, 500)
    expect(speed.msPerToken('s/m')).to.equal(usual)
    for (let count = 0; count < 20; count++) speed.onFirstEvent('s/m', 1500, firstEventMs)
    await clock.advance(300_000)
    expect(speed.msPerToken('s/m')).to.be.closeTo(usual, usual / 20)
  })

  it('hands out more prompts in a turn for a model that is read fast', async () => {
    // Pattern: most of the demand is for a model whose prompts engines read several times as fast as those for the others.
    const clock = new VirtualClock(1000)
    const desk = new DispatchDesk(clock)
    const ask = (model: string): DispatchAsk => ({
      service: 's', model, adapter: undefined, promptTokens: 1400, sharedParts: [], rank: 0, region: 'r', availabilityZone: 'z', gapObjectiveMs: 300, excluded: [], isFirst: true, isLate: false
    })
    const inOneTurn = (model: string) => {
      let count = 0
      while (desk.choose(ask(model), [{ id: model, region: 'r', availabilityZone: 'z', slots: 64, running: 0 }])?.kind === 'engine') count++
      return count
    }
    const usual = inOneTurn('usual')
    for (let count = 0; count < 20; count++) desk.onFirstEvent('s', 'fast', 1500, firstEventMs + 15)
    expect(inOneTurn('fast')).to.be.at.least(3 * usual)
    // Only a request that finds no unread prompts tells how fast the engine reads.
    await clock.advance(10_000)
    const alone = [1, 2].map(() => desk.choose(ask('usual'), [{ id: 'usual', region: 'r', availabilityZone: 'z', slots: 64, running: 0 }]))
    expect(alone.map(choice => choice?.kind === 'engine' && choice.aloneTokens)).to.deep.equal([1400, undefined])
  })
})
