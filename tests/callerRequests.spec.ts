import fc from 'fast-check'
import { expect } from 'chai'
import { parseFleetConfig, serviceForPath } from '../src/config/parseFleetConfig.js'
import { findCustomer } from '../src/gateway/identify.js'
import { hashKey } from '../src/policy/accountKeys.js'
import { AnswerFormat, parseChatRequest, parseCompletionRequest } from '../src/gateway/openai.js'
import { ProblemError, problemResponse } from '../src/gateway/problem.js'

const bytes = (value: unknown) => Buffer.from(JSON.stringify(value))
const chat = { model: 'm', messages: [{ role: 'user', content: 'hi' }] }

function refusalOf (parse: () => unknown): ProblemError | undefined {
  try {
    parse()
    return undefined
  } catch (error) {
    return error as ProblemError
  }
}

describe('requests of callers', () => {
  it('reads what client libraries send', () => {
    expect(parseChatRequest(bytes({ ...chat, stream: true, stream_options: { include_usage: true }, max_completion_tokens: 5, temperature: 0.2 })))
      .to.include({ prompt: 'user: hi', maxTokens: 5, stream: true, includeUsage: true })
    expect(parseChatRequest(bytes({ ...chat, messages: [{ role: 'user', content: [{ type: 'text', text: 'a' }, { type: 'text', text: 'b' }] }] })).prompt).to.equal('user: ab')
    expect(parseCompletionRequest(bytes({ model: 'm', prompt: ['p'], max_tokens: 3 }))).to.include({ prompt: 'p', maxTokens: 3, stream: false })
  })

  // Guards against a field that is dropped without a word although it changes the answer.
  it('refuses what it cannot honour', () => {
    for (const field of ['stop', 'tools', 'response_format', 'logprobs']) {
      expect(refusalOf(() => parseChatRequest(bytes({ ...chat, [field]: ['x'] })))?.detail).to.contain(field)
    }
    expect(refusalOf(() => parseChatRequest(bytes({ ...chat, n: 2 })))?.status).to.equal(400)
  })

  it('names each mistake', () => {
    const problem = refusalOf(() => parseChatRequest(bytes({ model: '', messages: [], max_tokens: -1 })))
    expect(problem).to.include({ status: 400, outcome: 'not-run' })
    for (const field of ['model', 'messages', 'max_tokens']) expect(problem?.detail).to.contain(field)
  })

  // Guards against input that ends in an internal error.
  it('answers any bytes with 400 or reads them', () => {
    const parsers = [parseChatRequest, parseCompletionRequest]
    fc.assert(fc.property(fc.oneof(fc.uint8Array(), fc.json().map(text => Buffer.from(text))), body => {
      for (const parse of parsers) {
        const problem = refusalOf(() => parse(body))
        if (problem) expect(problem).to.be.instanceOf(ProblemError).and.include({ status: 400, outcome: 'not-run' })
      }
    }), { seed: 7, numRuns: 500 })
  })

  // Guards against a path that reaches the wrong service.
  it('finds the service of a path', () => {
    const { config } = parseFleetConfig('[service.a]\npath = /a\n[service.b]\npath = /ab\n', { file: 'f', version: 1 })
    expect(serviceForPath(config!, '/a/x')).to.include({ name: 'a', rest: '/x' })
    expect(serviceForPath(config!, '/ab')).to.include({ name: 'b', rest: '/' })
    expect(serviceForPath(config!, '/abc')).to.equal(undefined)
  })

  it('knows customers by the hash of their key', () => {
    const { config } = parseFleetConfig(`[customer.shop]\napiKeySha256 = ${hashKey('secret')}\n`, { file: 'f', version: 1 })
    expect(findCustomer(config!, hashKey('secret'))).to.equal('shop')
    expect(findCustomer(config!, hashKey('other'))).to.equal(undefined)
  })

  // Guards against a stream without end marker or usage, which client libraries wait for.
  it('ends streams with usage and [DONE]', () => {
    const work = { model: 'm', adapter: undefined, ...parseChatRequest(bytes({ ...chat, stream: true, stream_options: { include_usage: true } })) }
    const text = new AnswerFormat(work, 'r1', 0).end({ finishReason: 'stop', promptTokens: 2, completionTokens: 3 })
    const events = text.trim().split('\n\n')
    expect(events.at(-1)).to.equal('data: [DONE]')
    expect(JSON.parse(events[1]!.slice('data: '.length)).usage.total_tokens).to.equal(5)
  })

  it('rounds Retry-After up to whole seconds', () => {
    const { headers } = problemResponse(new ProblemError(503, 'overloaded', 'not-run', 'full', { retryAfterMs: 1_200 }), 'r1')
    expect(headers['retry-after']).to.equal('2')
  })
})
