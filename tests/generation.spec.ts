import { expect } from 'chai'
import { FailedError, NotRunError, UnknownOutcomeError } from '../src/base/errors.js'
import { VirtualClock } from '../src/base/clock.js'
import { Generation, stallTimeoutMs } from '../src/gateway/generation.js'
import type { EngineAssignment } from '../src/gateway/generation.js'
import { RequestTrace } from '../src/gateway/trace.js'
import type { EngineApi, InferenceEvent, InferenceRequest } from '../src/external/engine.js'

type Script = (attemptId: string, fromIndex: number) => AsyncIterable<InferenceEvent>

const answer = ['a', 'b', 'c', 'd']

function token (attemptId: string, index: number, requestId = 'r1'): InferenceEvent {
  return { kind: 'token', requestId, attemptId, index, text: answer[index]! }
}

function end (attemptId: string): InferenceEvent {
  return { kind: 'end', requestId: 'r1', attemptId, finishReason: 'stop', promptTokens: 1, completionTokens: answer.length }
}

/** Yields the tokens from `fromIndex` on, then what `last` says. */
async function * play (attemptId: string, fromIndex: number, { until = answer.length, error }: { until?: number, error?: Error } = {}): AsyncIterable<InferenceEvent> {
  for (let index = fromIndex; index < until; index++) yield token(attemptId, index)
  if (error) throw error
  if (until === answer.length) yield end(attemptId)
}

/** Runs one request against engines that follow scripts: the first call of an engine takes its first script, and so on. */
function setUp (scripts: Record<string, Script[]>, { idempotent = true, mayRetry = true } = {}) {
  const clock = new VirtualClock()
  const calls: string[] = []
  const results: string[] = []
  const cancelled: string[] = []
  const names = Object.keys(scripts)
  const apiOf = (engine: string) => ({
    engine,
    infer: (request: InferenceRequest) => {
      calls.push(`${engine} infer ${request.generatedTokens?.length ?? 0}`)
      return scripts[engine]!.shift()!(request.attemptId, request.generatedTokens?.length ?? 0)
    },
    resume: (_requestId: string, fromIndex: number, { attemptId }: { attemptId: string }) => {
      calls.push(`${engine} resume ${fromIndex}`)
      return scripts[engine]!.shift()!(attemptId, fromIndex)
    },
    cancel: async () => { cancelled.push(engine) }
  }) as unknown as EngineApi
  let attempts = 0
  const controller = new AbortController()
  const generation = new Generation({
    clock,
    trace: new RequestTrace(clock, 'r1', 0),
    request: { requestId: 'r1', prompt: 'p', maxTokens: 4 },
    idempotent,
    signal: controller.signal,
    newAttemptId: () => `attempt-${++attempts}`,
    mayRetry: () => mayRetry,
    retryDelayMs: () => 10,
    assign: async excluded => {
      const engine = names.find(name => !excluded.has(name))
      if (!engine) throw new NotRunError('scheduler', 'no engine')
      const assignment: EngineAssignment = { engine, model: 'm@1', priority: 1, api: apiOf(engine), onFirstToken: () => {}, onEnded: result => results.push(`${engine} ${result}`) }
      return assignment
    }
  })
  const run = async () => {
    const outcome = (async () => {
      for await (const event of generation.events()) if (event.kind === 'end') return 'complete'
      return 'no end'
    })().catch(error => error as Error)
    await clock.advance(5 * stallTimeoutMs)
    return outcome
  }
  return { generation, run, calls, results, cancelled, controller, clock }
}

const unknown = () => new UnknownOutcomeError('engine', 'connection cut')

describe('generation', () => {
  // Guards against a retry that mixes up or repeats tokens after a cut stream.
  it('resumes a cut stream on the same engine', async () => {
    const { run, generation, calls } = setUp({ e1: [(id, from) => play(id, from, { until: 2, error: unknown() }), (id, from) => play(id, from)] })
    expect(await run()).to.equal('complete')
    expect(generation.tokens).to.deep.equal(answer)
    expect(calls).to.deep.equal(['e1 infer 0', 'e1 resume 2'])
  })

  // Guards against an answer that is lost with its engine.
  it('continues on another engine', async () => {
    const lost: Script = async function * () { throw unknown() }
    const { run, generation, calls, results } = setUp({
      e1: [(id, from) => play(id, from, { until: 3, error: unknown() }), lost, lost, lost],
      e2: [(id, from) => play(id, from)]
    })
    expect(await run()).to.equal('complete')
    expect(generation.tokens).to.deep.equal(answer)
    expect(calls.at(-1)).to.equal('e2 infer 3')
    expect(results).to.deep.equal(['e1 failed', 'e2 ok'])
  })

  // Guards against a second run of a request that must not run twice.
  it('does not repeat a non-idempotent request', async () => {
    const lost: Script = async function * () { throw unknown() }
    const { run, calls } = setUp({ e1: [lost, lost, lost, lost], e2: [(id, from) => play(id, from)] }, { idempotent: false })
    expect(await run()).to.be.instanceOf(UnknownOutcomeError)
    expect(calls.filter(call => call.includes('infer'))).to.deep.equal(['e1 infer 0'])
  })

  // Guards against giving up although nothing ran.
  it('repeats a non-idempotent request that did not run', async () => {
    const refused: Script = async function * () { throw new NotRunError('engine', 'refused') }
    const { run } = setUp({ e1: [refused], e2: [(id, from) => play(id, from)] }, { idempotent: false })
    expect(await run()).to.equal('complete')
  })

  // Guards against a second run after a refusal of the resume, which proves nothing about the first send.
  it('keeps an outcome unknown after a refused resume', async () => {
    const refused: Script = async function * () { throw new NotRunError('engine', 'unknown request') }
    const { run, generation, calls } = setUp({ e1: [async function * () { throw unknown() }, refused], e2: [(id, from) => play(id, from)] }, { idempotent: false })
    expect(await run()).to.be.instanceOf(NotRunError)
    expect(generation.startedAttempts).to.equal(1)
    expect(calls.filter(call => call.startsWith('e2'))).to.deep.equal([])
  })

  // Guards against tokens of an earlier attempt or another request in the answer.
  it('drops events that are not its own', async () => {
    const { run, generation } = setUp({
      e1: [async function * (id) {
        yield token('attempt-0', 0)
        yield token(id, 0, 'r2')
        yield token(id, 0)
        yield token(id, 0)
        yield * play(id, 1)
      }]
    })
    expect(await run()).to.equal('complete')
    expect(generation.tokens).to.deep.equal(answer)
  })

  // Guards against an answer with a hole.
  it('treats a gap as a cut', async () => {
    const { run, generation, calls } = setUp({ e1: [async function * (id) { yield token(id, 0); yield token(id, 2) }, (id, from) => play(id, from)] })
    expect(await run()).to.equal('complete')
    expect(generation.tokens).to.deep.equal(answer)
    expect(calls[1]).to.equal('e1 resume 1')
  })

  // Guards against a stream without an end marker that counts as complete.
  it('does not take a short stream as complete', async () => {
    const short: Script = (id, from) => play(id, from, { until: 2 })
    const { run } = setUp({ e1: [short, short, short, short] })
    expect(await run()).to.be.instanceOf(Error)
  })

  // Guards against a caller that waits forever for a silent engine.
  it('gives up on a silent engine', async () => {
    const silent: Script = () => ({ [Symbol.asyncIterator]: () => ({ next: () => new Promise(() => {}) }) })
    const { run, generation } = setUp({ e1: [silent, silent, silent, silent], e2: [(id, from) => play(id, from)] })
    expect(await run()).to.equal('complete')
    expect(generation.tokens).to.deep.equal(answer)
  })

  // Guards against retries that amplify an overload.
  it('stops when the retry budget is used up', async () => {
    const failed: Script = async function * () { throw new FailedError('engine', 'out of memory') }
    const { run, calls } = setUp({ e1: [failed], e2: [(id, from) => play(id, from)] }, { mayRetry: false })
    expect(await run()).to.be.instanceOf(FailedError)
    expect(calls).to.deep.equal(['e1 infer 0'])
  })

  // Guards against work that goes on after its caller has left.
  it('cancels when the caller leaves', async () => {
    const silent: Script = () => ({ [Symbol.asyncIterator]: () => ({ next: () => new Promise(() => {}) }) })
    const { run, controller, clock, cancelled, results } = setUp({ e1: [silent] })
    clock.setTimer(5, () => controller.abort(new Error('gone')))
    expect(await run()).to.have.property('message', 'gone')
    expect(cancelled).to.deep.equal(['e1'])
    expect(results).to.deep.equal(['e1 cancelled'])
  })
})
