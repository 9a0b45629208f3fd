import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import type { LogFields } from '../src/base/log.js'
import { BoundedLog } from '../src/serving/boundedLog.js'
import { LineWriter } from '../src/serving/lineWriter.js'

type Done = (error: Error | null, written: number) => void

describe('bounded log', () => {
  it('drops and counts lines instead of growing while nobody reads', async () => {
    // Guards against a full pipe that blocks the node or fills its memory.
    const clock = new VirtualClock()
    const writes: { bytes: Buffer, done: Done }[] = []
    const writer = new LineWriter({ clock, write: (bytes, done) => { writes.push({ bytes, done }) } })
    const line = `${'x'.repeat(999)}\n`
    let pushed = 0
    for (let round = 0; round < 200; round++) {
      for (let count = 0; count < 50; count++, pushed++) writer.push(line)
      await clock.advance(100)
      expect(writer.bufferedBytes).to.be.at.most(256 * 1024)
    }
    expect(writes).to.have.length(1)
    let written = 0
    while (writes.length > 0) {
      const { bytes, done } = writes.shift()!
      written += bytes.length
      done(null, bytes.length)
      await clock.advance(100)
    }
    expect(written / line.length + writer.dropped).to.equal(pushed)
  })

  it('completes a partial write, and retries when the reader is slow', async () => {
    const clock = new VirtualClock()
    let text = ''
    let calls = 0
    const writer = new LineWriter({
      clock,
      write: (bytes, done) => {
        if (++calls === 2) return done(Object.assign(new Error('busy'), { code: 'EAGAIN' }), 0)
        const part = bytes.subarray(0, 3)
        text += part.toString()
        done(null, part.length)
      }
    })
    writer.push('abcdefgh\n')
    await clock.advance(1000)
    expect(text).to.equal('abcdefgh\n')
    expect(writer.dropped).to.equal(0)
  })

  it('limits each event and reports what it left out', async () => {
    const clock = new VirtualClock(1000)
    const lines: { event: string, fields: LogFields | undefined }[] = []
    const bounded = new BoundedLog({ clock, log: (_level, event, fields) => { lines.push({ event, fields }) }, linesPerSecond: 5 })
    for (let count = 0; count < 100; count++) bounded.log('info', 'often')
    for (let count = 0; count < 30; count++) bounded.log('warn', 'trouble')
    bounded.log('info', 'rare')
    await clock.advance(5000)
    const counts = (event: string) => lines.filter(line => line.event === event).length
    expect([counts('often'), counts('trouble'), counts('rare')]).to.deep.equal([5, 30, 1])
    expect(lines.at(-1)).to.deep.equal({ event: 'log lines left out', fields: { byEvent: { often: 95 }, droppedByWriter: 0 } })
    bounded.stop()
  })
})
