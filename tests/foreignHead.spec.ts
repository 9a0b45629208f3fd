import { expect } from 'chai'
import fc from 'fast-check'
import { hasForeignHead } from '../src/policy/foreignHead.js'
import type { ForeignHeadRules } from '../src/policy/foreignHead.js'

const rules: ForeignHeadRules = { namesRequest: headers => headers.has('x-attempt-id'), mayNameNone: false }
const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: id0\r\nContent-Length: 5\r\n\r\n'
const holds = (text: string, changes: Partial<ForeignHeadRules> = {}) => hasForeignHead(Buffer.from(text, 'latin1'), { ...rules, ...changes })

describe('head of another response in a body', () => {
  // Guards against a copy of an earlier response that is passed on as a part of this one.
  it('is found wherever it stands, whatever follows it', () => {
    fc.assert(fc.property(fc.string(), fc.string(), fc.nat(3), (before, after, cutBytes) => {
      expect(holds(`${before}\n${head}${after}`)).to.equal(true)
      expect(holds(`${before}\n${head.slice(0, head.length - cutBytes)}${after}`, { mayBeCutAfter: 'status line' })).to.equal(true)
    }))
  })

  // Guards against a copy that breaks off before it names its request.
  it('is found if it breaks off, where that may be', () => {
    const cut = `${head.slice(0, 30)}id: 3\ndata: t\n\n`
    expect(holds(cut, { mayBeCutAfter: 'status line' })).to.equal(true)
    expect(holds(cut)).to.equal(false)
    expect(holds(cut, { mayBeCutAfter: 'header' })).to.equal(false)
    expect(holds('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Att{"a":1}\r\n', { mayBeCutAfter: 'header' })).to.equal(true)
  })

  // Guards against a copy of the response to a call.
  it('is found if it names no request, where that may be', () => {
    const call = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{"a":'
    expect(holds(call, { mayNameNone: true })).to.equal(true)
    expect(holds(call)).to.equal(false)
  })

  // Guards against sound answers that are broken off since they tell of HTTP.
  it('is not found in texts about HTTP', () => {
    const texts = [
      'data: HTTP/1.1 200 OK\n\n', 'data: HTTP/1.1 200 OK\r\n\r\n', 'data: HTTP/1.1 404 Not Found\r\nid: 7\r\n\r\n',
      'GET / HTTP/1.1\r\nHost: h\r\n\r\n', '{"text":"HTTP/1.1 200 OK\\r\\nX-Attempt-Id: id0\\r\\n"}'
    ]
    for (const text of texts) expect(holds(text), text).to.equal(false)
    // Where a call was answered before, a head that names no request must state its framing: the connection could not go on otherwise.
    const quoted = ['data: HTTP/1.1 200 OK\r\n\r\n', 'data: HTTP/1.1 200 OK\r\ndata: <html>\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}']
    for (const text of quoted) expect(holds(text, { mayNameNone: true }), text).to.equal(false)
    for (const head of ['204 No Content\r\n', '200 OK\r\nTransfer-Encoding: chunked\r\n']) expect(holds(`HTTP/1.1 ${head}\r\n`, { mayNameNone: true }), head).to.equal(true)
  })

  // Guards against a body that blocks the event loop: these took seconds to a minute when each status line was read up to the next line end.
  it('is looked for in time in proportion to the body', () => {
    const texts = [
      `${'x'.repeat(1000)}HTTP/1.1 200 OK`.repeat(8000), 'HTTP/1.1 200 OK '.repeat(500_000), 'x: HTTP/1.1 200 OK\r\n'.repeat(400_000),
      `HTTP/1.1 200 OK\r\n${Array.from({ length: 400_000 }, (_, index) => `a${index}: b\r\n`).join('')}`
    ]
    for (const text of texts) {
      const start = process.cpuUsage()
      expect(holds(text)).to.equal(false)
      const { user, system } = process.cpuUsage(start)
      expect((user + system) / 1000, text.slice(0, 40)).to.be.below(2000)
    }
  })

  // Guards against a copy that is missed since another head was read just before it.
  it('is found after a head that breaks off, or that names no request', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom('HTTP/1.1 200 OK', '\r\n', '\n', 'a: b', 'HTTP/1.1 '), { maxLength: 12 }), parts => {
      expect(holds(`${parts.join('')}${head}`)).to.equal(true)
    }))
  })
})
