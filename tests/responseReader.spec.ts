import { expect } from 'chai'
import { EventSplitter } from '../src/serving/eventStream.js'
import { ResponseReader } from '../src/serving/responseReader.js'

function read (chunks: string[], { method = 'GET', isClosed = false, skipped = undefined as number | undefined } = {}) {
  const seen = { status: 0, body: '', isComplete: false, leftover: '', invalid: '' }
  const reader = new ResponseReader({
    accepts: head => head.status !== skipped,
    onHead: head => { seen.status = head.status },
    onData: data => { seen.body += data.toString() },
    onEnd: leftover => {
      seen.isComplete = true
      seen.leftover = leftover.toString()
    },
    onInvalid: reason => { seen.invalid = reason }
  })
  reader.expect(method)
  for (const chunk of chunks) reader.push(Buffer.from(chunk))
  if (isClosed) reader.close()
  return seen
}

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=1\r\nde\r\n0\r\n\r\n'

describe('response reader', () => {
  it('parses a chunked response split at any byte', () => {
    for (let cut = 1; cut < chunked.length; cut++) {
      const seen = read([chunked.slice(0, cut), chunked.slice(cut)])
      expect(seen).to.include({ status: 200, body: 'abcde', isComplete: true, leftover: '' })
    }
  })

  it('returns the bytes after a response as leftover', () => {
    // Guards against passing a second response to the next request.
    const seen = read(['HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n'])
    expect(seen).to.include({ body: 'ok', isComplete: true, leftover: 'HTTP/1.1 200 OK\r\n' })
  })

  it('completes a response without length only when the connection closes without an error', () => {
    // Guards against mistaking a reset for the end of the body.
    const head = 'HTTP/1.1 200 OK\r\n\r\nbody'
    expect(read([head])).to.include({ body: 'body', isComplete: false })
    expect(read([head], { isClosed: true })).to.include({ body: 'body', isComplete: true })
  })

  it('does not complete a response with a length or chunks by a close', () => {
    expect(read(['HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody'], { isClosed: true }).isComplete).to.equal(false)
    expect(read([chunked.slice(0, -5)], { isClosed: true }).isComplete).to.equal(false)
  })

  it('rejects bytes that are not a valid response', () => {
    for (const bytes of ['garbage garbage', 'HTTP/1.1 2x0 OK\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n',
      'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 'HTTP/1.1 200 OK\r\nbad header\r\n\r\n']) {
      expect(read([bytes]).invalid, bytes).not.to.equal('')
    }
  })

  it('skips interim responses and handles responses without a body', () => {
    expect(read(['HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n'])).to.include({ status: 204, isComplete: true })
    expect(read(['HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'], { method: 'HEAD' })).to.include({ isComplete: true })
  })

  it('skips responses that are not accepted, with any framing and split at any byte', () => {
    const other = 'HTTP/1.1 500 No\r\n'
    const text = `${other}Content-Length: 3\r\n\r\nabc${other}Content-Length: 0\r\n\r\n${other}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: t\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`
    for (let cut = 1; cut < text.length; cut++) {
      expect(read([text.slice(0, cut), text.slice(cut)], { skipped: 500 })).to.include({ status: 200, body: 'ok', isComplete: true, leftover: '', invalid: '' })
    }
  })

  it('skips many responses in one chunk', () => {
    // Guards against a stack overflow from one recursion per response.
    expect(read([`${'HTTP/1.1 204 No\r\n\r\n'.repeat(20_000)}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`], { skipped: 204 })).to.include({ status: 200, body: 'ok' })
  })

  it('rejects a response with too many bytes besides its head and body', () => {
    for (const [first, unit] of [['', 'HTTP/1.1 103 A\r\n\r\n'], ['', 'HTTP/1.1 204 No\r\n\r\n'], [chunked.slice(0, -2), 'X-A: b\r\n'], [chunked.slice(0, -5), `1;${'x'.repeat(999)}\r\nx\r\n`], [chunked.slice(0, -5), '1\r\nx\r\n']] as const) {
      const half = unit.repeat(Math.floor(512 * 1024 / unit.length))
      expect(read([first, half], { skipped: 204 }).invalid, unit).to.equal('')
      expect(read([first, half, half, half, unit.repeat(100)], { skipped: 204 }).invalid, unit).not.to.equal('')
    }
  })

  it('does not count the framing of small chunks as extra bytes', () => {
    const body = '8\r\n12345678\r\n'.repeat(400_000)
    expect(read([chunked.slice(0, -5), body, '0\r\n\r\n'])).to.include({ isComplete: true, invalid: '' })
  })

  it('splits events that arrive split at any byte', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
    for (let cut = 1; cut < text.length; cut++) {
      const splitter = new EventSplitter()
      const events = [...splitter.push(Buffer.from(text.slice(0, cut))), ...splitter.push(Buffer.from(text.slice(cut)))]
      expect(events.map(({ id }) => id)).to.deep.equal([1n, 2n])
      expect(splitter.remainder.toString()).to.equal('id: 3\nda')
    }
  })

  // Guards against events that are held back or joined because their engine ends lines in another way than LF.
  const lineEndCases: [string, string[]][] = [
    ['LF and CRLF', ['id: 1\r\ndata: a\r\n\r\n', '\r\n', 'data: b\n\n', '\n', '\r\n', '\r\n', ':\n\n', '\n', '\n', 'data: c\r\n\n', '\r\n', '\r\n']],
    ['CR', ['id: 1\rdata: a\r\r', 'data: b\r\r', '\r', ':\r\r', 'id: 2\rdata: c\r\r']],
    ['a byte order mark', ['\ufeffid: 1\ndata: a\n\n', 'data: \ufeff\n\n']]
  ]
  for (const [name, expectedEvents] of lineEndCases) {
    it(`splits events that arrive split at any two bytes: ${name}`, () => {
      const bytes = Buffer.from(`${expectedEvents.join('')}data: d\r\n`)
      for (let cut = 1; cut < bytes.length; cut++) {
        for (let second = cut; second < Math.min(cut + 6, bytes.length); second++) {
          const splitter = new EventSplitter()
          const events = [bytes.subarray(0, cut), bytes.subarray(cut, second), bytes.subarray(second)].flatMap(part => splitter.push(part))
          expect(events.map(event => event.bytes.toString())).to.deep.equal(expectedEvents)
          expect(events[0]!.id).to.equal(1n)
          expect(splitter.remainder.toString()).to.equal('data: d\r\n')
        }
      }
    })
  }

  it('completes an event whose last line ends with CR at once', () => {
    // Guards against events that come late because an LF might follow.
    const splitter = new EventSplitter()
    expect(splitter.push(Buffer.from('id: 1\rdata: a\r\r')).map(({ id }) => id)).to.deep.equal([1n])
    expect(splitter.push(Buffer.from('\n'))).to.deep.equal([])
    expect(splitter.remainder.length).to.equal(0)
    expect(splitter.push(Buffer.from('id: 2\r\r')).map(({ bytes }) => bytes.toString())).to.deep.equal(['\nid: 2\r\r'])
  })

  it('finds the ID of an event wherever it stands', () => {
    // Guards against sound streams that are broken off since an event with much data before its ID counted as one without.
    const idsOf = (text: string) => new EventSplitter().push(Buffer.from(text)).map(({ id }) => id)
    for (const bytes of [200, 255, 256, 270, 100_000]) expect(idsOf(`data: ${'x'.repeat(bytes)}\nid: 7\n\n`)).to.deep.equal([7n])
    expect(idsOf('id:1\n\nid: 2\r\n\r\nevent: e\nid: 3\ndata: x\nretry: 5\n\nid: 4\nid: 5\n\n')).to.deep.equal([1n, 2n, 3n, 5n])
    expect(idsOf('id: 18446744073709551617\n\nid: 0\n\n')).to.deep.equal([18446744073709551617n, 0n])
    expect(idsOf('data: id: 1\n\n id: 2\n\nidx: 3\n\nid: x4\n\nid: 5x\n\nid\n\n: id: 6\n\n')).to.deep.equal(Array(7).fill(undefined))
  })
})
