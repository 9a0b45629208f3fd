import { expect } from 'chai'
import fc from 'fast-check'
import type { NodeCore } from '../src/gateway/nodeCore.js'
import { check, expectedTexts } from '../src/prove/checker.js'
import { NaiveNode } from '../src/prove/naive.js'
import type { CallerRecord, CaseRecord } from '../src/prove/records.js'
import { caseId, parseCaseId, runCase } from '../src/prove/runCase.js'
import { apiKeys, World } from '../src/prove/world.js'

const caller: CallerRecord = {
  wish: 'w', node: 'n1/1', kind: 'inference', model: 'm0', prompt: 'p', maxTokens: 3, stream: true, key: undefined, sentAtMs: 900, answeredAtMs: 5_000, requestId: 'id-1'
}
const violation = { atMs: 1, incarnation: 'i', commandId: 'c', memoryBytes: 1, kvCacheBytes: 0, models: [], adapters: [], engine: 'e1' }

/** A record without violations: version 1 is in force on one node since the start. */
function cleanRecord (changes: Partial<CaseRecord> = {}): CaseRecord {
  return {
    faultsEndMs: 1_000,
    endMs: 30_000,
    overcommitments: [],
    callers: [],
    runs: [],
    arrivals: [],
    drains: [],
    applied: [{ process: 'n1/1', node: 'n1', version: 1, text: 'one', atMs: 10 }],
    accepted: [{ version: 1, proposalId: 'first', text: 'one', atMs: 0 }],
    proposals: [],
    processes: [{ process: 'n1/1', node: 'n1', region: 'north', availabilityZone: 'north-1', startedAtMs: 0, drained: false }],
    probes: [],
    disturbances: [],
    versions: { m0: ['m0@1'] },
    baseModels: {},
    ...changes
  }
}

const second = { version: 2, proposalId: 'second', text: 'two', atMs: 2_000 }
const applied = cleanRecord().applied[0]!
const drain = { name: 'e1', kind: 'server' as const, atMs: 1_000, shownAtMs: 1_000 }
const order = { server: 's1', requestId: 'id-1', path: '/w', atMs: 1 }

/** Records that violate exactly one point. */
const violating: [number, string, Partial<CaseRecord>][] = [
  [1, 'an engine that recorded overcommitment', { overcommitments: [violation] }],
  [2, 'a model that was not served after the faults', { probes: [{ target: 'm0', startedAtMs: 1 }] }],
  [3, 'a complete answer that is cut', { callers: [{ ...caller, result: 'complete', text: 'short' }] }],
  [3, 'a stream that ends without an end marker and without an abort', { callers: [{ ...caller, result: 'ended', text: '' }] }],
  [4, 'a request that was told not-run and ran', { callers: [{ ...caller, result: 'not-run' }], runs: [{ ...order, path: '', server: 'e1' }] }],
  [5, 'an order that ran under two request IDs', { runs: [order, { ...order, server: 's2', requestId: 'id-2' }] }],
  [6, 'new work after the drain was shown', { drains: [drain], arrivals: [{ server: 'e1', atMs: 6_100, sentAtMs: 6_100, node: 'n1/1' }] }],
  [7, 'a node that ended with a request in progress', { drains: [{ ...drain, name: 'n1/1', kind: 'node', endedAtMs: 2_000, openAtEnd: 1 }] }],
  [7, 'a request that the drain of its engine cancelled', {
    drains: [drain], callers: [{ ...caller, result: 'cut' }], runs: [{ ...order, path: '', server: 'e1', atMs: 900, endMs: 1_500, result: 'cancelled' }]
  }],
  [8, 'a version that is not in force in time', { accepted: [...cleanRecord().accepted, second] }],
  [8, 'a node that went back', { applied: [applied, { ...applied, version: 2, text: 'two' }, applied], accepted: [...cleanRecord().accepted, { ...second, atMs: 1 }] }],
  [8, 'an accepted text that was replaced', { accepted: [{ version: 1, proposalId: 'first', text: 'zero', atMs: 0 }, { version: 1, proposalId: 'second', text: 'one', atMs: 1 }] }],
  [8, 'an operator who was told conflict although the change is in force', { proposals: [{ proposalId: 'first', node: 'n1/1', atMs: 0, result: 'conflict' }] }]
]

describe('proof', () => {
  it('finds nothing in a clean record', () => {
    // Guards against rules that judge correct behaviour.
    const text = expectedTexts(cleanRecord(), caller)[0]!
    expect(check(cleanRecord({ callers: [{ ...caller, result: 'complete', text }], runs: [order] }))).to.deep.equal([])
  })

  for (const [point, title, changes] of violating) {
    it(`point ${point}: finds ${title}`, () => {
      // Guards against a rule that cannot fail.
      expect(check(cleanRecord(changes)).map(finding => finding.point)).to.include(point)
    })
  }

  it('allows late work of a node that was cut off when the drain was shown', () => {
    // Guards against violations that no node could avoid.
    const record = cleanRecord({ drains: [drain], arrivals: [{ server: 'e1', atMs: 6_100, sentAtMs: 6_100, node: 'n1/1' }], disturbances: [{ name: 'north', atMs: 900, untilMs: 4_000 }] })
    expect(check(record)).to.deep.equal([])
  })

  it('reads the ID of a case as it is printed', () => {
    // Guards against commands that run another case than the one that failed.
    const testCase = { flow: 'swap', injections: [{ step: 'engine.command.load', occurrence: 2, fault: 'cut-after' }], seed: 7 }
    expect(parseCaseId(caseId(testCase))).to.deep.equal(testCase)
  })

  for (const id of [
    'order/service.call#1=cut-after/seed=1',
    'swap/engine.command.unload#1=command-repeated/seed=1',
    'configuration/keyValue.compareAndSwap.config#2=cut-after/seed=1',
    'drain-node/engine.command.claim#1=command-late/seed=1'
  ]) {
    it(`keeps the invariants in ${id}`, async () => {
      // Guards against faults that the whole matrix would find only in `npm run prove`.
      const { injected, violations } = await runCase(parseCaseId(id))
      expect({ injected, violations }).to.deep.equal({ injected: 1, violations: [] })
    })
  }

  it('gives the same record twice', async () => {
    // Guards against verdicts that vary.
    const testCase = parseCaseId('stream/engine.infer.event#2=cut-during/seed=3')
    expect((await runCase(testCase)).record).to.deep.equal((await runCase(testCase)).record)
  })

  it('finds violations of each point in a naive node', async () => {
    // Guards against a matrix that would pass whatever the node does.
    const points = new Set<number>()
    for (const id of [
      'drain-server/vmList.list#2=region-cut/seed=1',
      'node-start/keyValue.get.config#2=two-operators/seed=1',
      'drain-node/engine.command.unload#1=region-cut/seed=1',
      'order/service.call#1=service-cut/seed=1',
      'stream/engine.infer.event#1=engine-crashed/seed=1',
      'swap/engine.command.unload#1=command-repeated/seed=1'
    ]) {
      const { violations } = await runCase(parseCaseId(id), { createNode: options => new NaiveNode(options) })
      for (const { point } of violations) points.add(point)
    }
    expect([...points].sort()).to.deep.equal([1, 2, 3, 4, 5, 6, 7, 8])
  })
})

describe("bytes on the callers' port", () => {
  let core: NodeCore
  const send = async (path: string, body: Uint8Array) => core.handle({
    method: 'POST', path, body, headers: { authorization: `Bearer ${apiKeys.live}` }, signal: new AbortController().signal
  })

  before(async () => {
    const world = new World({ seed: 1 })
    await world.start()
    core = world.nodes[0]!.core
  })

  const bodies = fc.oneof(
    fc.uint8Array({ maxLength: 300 }),
    fc.json().map(text => Buffer.from(text)),
    fc.record({
      model: fc.oneof(fc.string(), fc.constant('__proto__'), fc.anything()),
      prompt: fc.anything(),
      messages: fc.oneof(fc.anything(), fc.array(fc.record({ role: fc.string(), content: fc.anything() }))),
      max_tokens: fc.anything(),
      stream: fc.anything()
    }, { requiredKeys: [] }).map(value => Buffer.from(JSON.stringify(value, (_key, item) => typeof item === 'bigint' ? String(item) : item)))
  )

  for (const path of ['/v1/completions', '/v1/chat/completions']) {
    it(`answers any body at ${path} with 4xx and goes on serving`, async () => {
      // Guards against input that a parser takes for an internal error or that stops the node.
      await fc.assert(fc.asyncProperty(bodies, async body => {
        const { status } = await send(path, body)
        expect(status).to.be.within(400, 499)
        expect(core.readiness().ready).to.equal(true)
      }), { seed: 20, numRuns: 400 })
    })
  }
})
