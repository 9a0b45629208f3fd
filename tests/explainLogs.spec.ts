import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { explainFromLogs } from '../src/cli/explainLogs.js'

// Lines of real processes on a played day, from several nodes.
const lines = readFileSync(new URL('../../tests/fixtures/playedDay.jsonl', import.meta.url), 'utf8').split('\n')

function indexOf (sentences: string[], pattern: RegExp): number {
  const index = sentences.findIndex(sentence => pattern.test(sentence))
  expect(index, String(pattern)).not.to.equal(-1)
  return index
}

describe('explanation from logs', () => {
  it('explains a request that was refused though engines had room', () => {
    const sentences = explainFromLogs(lines, '9535e5f086729ac2')
    expect(sentences.at(-1)).to.match(/ended as refused with status 503 .* no engine is ready with xara69068b\/a3/)
    expect(sentences.some(sentence => sentence.includes('sent it to'))).to.equal(false)
  })

  it('explains a request that lost its engine midway', () => {
    const sentences = explainFromLogs(lines, 'a571c9b973ae2cf9')
    indexOf(sentences, /sent it to i-f035ddf33b.*0 other servers could have taken it.*unknown: the server closed the connection/)
    expect(sentences.at(-1)).to.match(/broken-off/)
  })

  it('says how long a broken-off answer had been silent, and why the search for another engine ended', () => {
    // Guards against an answer whose end cannot be told from a crash of its engine.
    const line = JSON.parse(lines.find(text => text.includes('a571c9b973ae2cf9') && text.includes('broken-off'))!.replace(/^[^{]*/, '')) as object
    const sentences = explainFromLogs([JSON.stringify({ ...line, lastEventId: 4, silentMs: 1449, searchEnd: 'all engines are full', loopDelayMs: 12, isStopping: false })], 'a571c9b973ae2cf9')
    indexOf(sentences, /last event was 4, 1449 ms before; the search for another server ended with: all engines are full. The node was not stopping.*up to 12 ms/)
  })

  it('explains a request that was late behind a model load', () => {
    const sentences = explainFromLogs(lines, 'a8b8a341f00b1462')
    const load = indexOf(sentences, /model move .*load miba2346ca/)
    const sent = indexOf(sentences, /sent it to i-983852e28e/)
    expect(load).to.be.below(sent)
    indexOf(sentences, /waited 8745 ms/)
  })

  it('names the queue of the placement leader', () => {
    // Guards against a wait whose place cannot be told from a search of the node itself.
    const line = JSON.parse(lines.find(text => text.includes('a8b8a341f00b1462') && text.includes('"sends"'))!.replace(/^[^{]*/, '')) as { sends: object[] }
    const sends = line.sends.map(send => ({ ...send, chosenBy: 'queue' }))
    const sentences = explainFromLogs([JSON.stringify({ ...line, sends, queuedMs: 321 })], 'a8b8a341f00b1462')
    indexOf(sentences, /sent it to i-\w+, assigned from the placement leader's queue/)
    indexOf(sentences, /321 ms of them in the placement leader's queue/)
  })

  it('puts the lines of several nodes in the order of time', () => {
    const sentences = explainFromLogs([...lines].reverse(), 'a8b8a341f00b1462')
    const times = sentences.map(sentence => sentence.slice(0, 12))
    expect(times).to.deep.equal([...times].sort())
  })

  it('passes over foreign lines and unknown requests', () => {
    expect(explainFromLogs(['garbage', '{"half":', '12:00 host {"time":"2026-01-01T00:00:00Z","event":"x"}'], 'r')).to.deep.equal([])
  })

  it('shows a line about one moment of a request as it is', () => {
    const line = { time: '2026-01-01T00:00:00Z', event: 'connection closed before the end of an answer', node: 'n', request: 'r', ageMs: 12 }
    expect(explainFromLogs([JSON.stringify(line)], 'r')).to.deep.equal(['00:00:00.000  n: connection closed before the end of an answer (request r, ageMs 12).'])
  })

  // Guards against refusals for keys of which an operator cannot tell the account or the reason.
  it('names the account and the reason of a refusal for a key', () => {
    const line = { time: '2026-01-01T00:00:00.000Z', node: 'n1', event: 'request refused for its key', request: 'id', route: 'r', account: 'a', status: 503, reason: 'not current', configVersion: 4, configAgeMs: 4800 }
    expect(explainFromLogs([JSON.stringify(line)], 'id')).to.deep.equal([
      '00:00:00.000  n1 refused request id of account a on route r with status 503: not current. Its configuration 4 was last known to be current 4800 ms before.'
    ])
    const ended = { ...line, event: 'request ended', kind: 'stream', rank: 1, deadlineMs: 100, outcome: 'done', durationMs: 10 }
    indexOf(explainFromLogs([JSON.stringify(ended)], 'id'), /n1 took request id of account a on route r/)
  })

  it('says how the software version of a stream was known, or why it was not continued', () => {
    // Guards against a client that is refused a stream, or gets none of its events, and nobody can tell why.
    const line = { time: '2026-12-07T10:00:00.000Z', level: 'info', event: 'request ended', node: 'n1', request: 'b', route: 'r', kind: 'stream', rank: 0, outcome: 'done', status: 200, durationMs: 100, deadlineMs: 5000, configVersion: 1, sends: [], resumes: 'a', streamVersion: 'v1.1', takeUp: 'record' }
    const written = { time: '2026-12-07T09:59:59.000Z', level: 'info', event: 'software marker written', node: 'n1', service: 's', version: 'v2', withUnknown: true }
    const sentences = explainFromLogs([written, line].map(fields => JSON.stringify(fields)), 'b')
    indexOf(sentences, /takes up the stream that attempt a began\. Only engines of software version "v1\.1" may go on with it, as a record in the store says/)
    indexOf(sentences, /software marker written \(service s, version v2/)
    const refused = { ...line, outcome: 'not-continued', status: 503, streamVersion: undefined, takeUp: 'unknown-stream', reason: 'the software version that began the stream is not known' }
    const why = explainFromLogs([JSON.stringify(refused)], 'b')
    indexOf(why, /No engine was asked: unknown-stream/)
    expect(why.at(-1)).to.match(/not-continued with status 503 .*software version that began the stream is not known/)
  })
})
