import { expect } from 'chai'
import fc from 'fast-check'
import { hasForeignHead } from '../src/policy/foreignHead.js'
import type { ForeignHeadRules } from '../src/policy/foreignHead.js'

const rules: ForeignHeadRules = { namesRequest: headers => headers.has('x-attempt-id'), mayNameNone: false, mayBeCut: false }
const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: id0\r\nContent-Length: 5\r\n\r\n'
const holds = (text: string, changes: Partial<ForeignHeadRules> = {}) => hasForeignHead(Buffer.from(text, 'latin1'), { ...rules, ...changes })

describe('head of another response in a body', () => {
  // Guards against a copy of an earlier response that is passed on as a part of this one.
  it('is found wherever it stands, whatever follows it', () => {
    fc.assert(fc.property(fc.string(), fc.string(), fc.nat(3), (before, after, cutBytes) => {
      expect(holds(`${before}\n${head}${after}`)).to.equal(true)
      expect(holds(`${before}\n${head.slice(0, head.length - cutBytes)}${after}`, { mayBeCut: true })).to.equal(true)
    }))
  })

  // Guards against a copy that breaks off before it names its request.
  it('is found if it breaks off, where that may be', () => {
    const cut = `${head.slice(0, 30)}id: 3\ndata: t\n\n`
    expect(holds(cut, { mayBeCut: true })).to.equal(true)
    expect(holds(cut)).to.equal(false)
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
  })
})
