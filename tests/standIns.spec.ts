import { expect } from 'chai'
import { sleep } from '../src/base/clock.js'
import type { EngineApi, EngineCommand, EngineSession } from '../src/external/engine.js'
import type { ServiceRequest } from '../src/external/service.js'
import type { Vm } from '../src/external/vmList.js'
import { tokenSource } from '../src/standins/batcher.js'
import { EngineStandIn } from '../src/standins/engine.js'
import type { EngineStandInOptions } from '../src/standins/engine.js'
import { KeyValueStandIn, maxValueBytes } from '../src/standins/keyValue.js'
import { ServiceStandIn } from '../src/standins/service.js'
import { VmListStandIn } from '../src/standins/vmList.js'
import { WeightStoreStandIn } from '../src/standins/weightStore.js'
import { collect, outcome, standInModes } from './fixtures/standInModes.js'
import type { StandInMode } from './fixtures/standInModes.js'

const timeoutMs = 5000
const model = 'mate-advisor@1'
const request = { requestId: 'r1', attemptId: 'a1', model, prompt: 'Which gourd is best? '.repeat(40), maxTokens: 12, priority: 1 }
const answer = Array.from({ length: 12 }, (_value, index) => tokenSource(request)(index))
const order: ServiceRequest = { requestId: 'r1', method: 'POST', path: '/orders?size=2', headers: {}, body: new TextEncoder().encode('gourd') }
const vm: Vm = { name: 'e1', kind: 'engine', group: 'g', address: '127.0.0.1:1', region: 'r', availabilityZone: 'z', state: 'live' }

for (const [modeName, createMode] of Object.entries(standInModes)) {
  describe(`stand-ins ${modeName}`, () => {
    let mode: StandInMode
    let commandCount = 0
    beforeEach(() => { mode = createMode() })
    afterEach(() => mode.close())

    const weightStore = () => new WeightStoreStandIn({ clock: mode.clock, loadsPerSecond: 1000, bytesPerSecond: 1e13 })
    const command = (part: Record<string, unknown>) => ({ commandId: `c${++commandCount}`, fence: 1, ...part }) as EngineCommand
    const load = (fence = 1, memoryBytes = 1e9, name = model) => command({ kind: 'load', model: name, memoryBytes, fence })
    const unload = (fence = 1) => command({ kind: 'unload', model, fence })
    const until = async (condition: () => boolean) => {
      while (!condition()) await mode.run(sleep(mode.clock, 1))
    }

    async function startEngine (options: Partial<EngineStandInOptions> = {}): Promise<{ standIn: EngineStandIn, api: EngineApi, session: EngineSession }> {
      const standIn = new EngineStandIn({ clock: mode.clock, engine: 'e1', weightStore: weightStore(), stepMs: () => 1, prefillMsPerToken: 0, ...options })
      const api = await mode.engine(standIn)
      const session = await mode.run(api.openSession({ timeoutMs }))
      expect((await mode.run(session.command(load(), { timeoutMs }))).accepted).to.equal(true)
      return { standIn, api, session }
    }

    // Guards against answers that depend on the engine or on where an earlier attempt stopped.
    it('continues an answer alike on another engine', async () => {
      const first = await startEngine()
      const second = await startEngine({ engine: 'e2' })
      const whole = await mode.run(collect(first.api.infer(request, {})))
      expect(whole).to.deep.equal({ tokens: answer, ended: true })
      const rest = await mode.run(collect(second.api.infer({ ...request, generatedTokens: answer.slice(0, 5) }, {})))
      expect(rest.tokens.slice(5)).to.deep.equal(answer.slice(5))
      expect(second.standIn.log.requests[0]!.generated).to.equal(7)
    })

    // Guards against work that is reported as not run and runs.
    it('refuses requests with proof', async () => {
      const { standIn, api } = await startEngine()
      expect((await mode.run(collect(api.infer({ ...request, model: 'other@1' }, {})))).outcome).to.equal('not-run')
      expect((await mode.run(collect(api.infer({ ...request, adapter: 'none' }, {})))).outcome).to.equal('not-run')
      expect((await mode.run(collect(api.resume('r9', 0, { attemptId: 'a' })))).outcome).to.equal('not-run')
      standIn.control({ fault: 'drain' })
      expect((await mode.run(collect(api.infer(request, {})))).outcome).to.equal('not-run')
      expect(standIn.log.requests).to.deep.equal([])
    })

    // Guards against commands of a deposed controller.
    it('refuses old fencing numbers only if told so', async () => {
      for (const honoursFence of [true, false]) {
        const { session } = await startEngine({ honoursFence })
        const claim = await mode.run(session.command(command({ kind: 'claim', fence: 7 }), { timeoutMs }))
        expect(claim.status.fence).to.equal(honoursFence ? 7 : 0)
        const reply = await mode.run(session.command(unload(6), { timeoutMs }))
        expect(reply.refusal).to.equal(honoursFence ? 'stale-fence' : undefined)
        expect(reply.status.models.length).to.equal(honoursFence ? 1 : 0)
      }
    })

    // Guards against commands for an old process that reach the new one.
    it('binds a session to one incarnation', async () => {
      const { standIn, api, session } = await startEngine()
      const idle = await mode.run(api.openSession({ timeoutMs }))
      standIn.control({ fault: 'commandLate', delayMs: 600_000 })
      const late = outcome(session.command(load(1, 1e9, 'late@1'), { timeoutMs }))
      await until(() => standIn.activeFaults === 0)
      standIn.control({ fault: 'restart' })
      standIn.control({ fault: 'deliverHeld' })
      expect(await mode.run(outcome(session.command(load(), { timeoutMs })))).to.equal('not-run')
      expect(await mode.run(outcome(idle.command(load(), { timeoutMs })))).to.equal('not-run')
      expect(await mode.run(late)).to.equal('unknown')
      const status = await mode.run(api.status({ timeoutMs }))
      expect(status.models).to.deep.equal([])
      expect(status.incarnation).not.to.equal(session.incarnation)
      expect(standIn.log.commands.length).to.equal(1)
    })

    // Guards against a session in which short commands wait for a long load.
    it('answers a claim during a load', async () => {
      const slowStore = new WeightStoreStandIn({ clock: mode.clock })
      const { standIn, session } = await startEngine({ weightStore: slowStore })
      slowStore.control({ fault: 'slow', factor: 1e6 })
      const slow = outcome(session.command(load(1, 1e9, 'slow@1'), { timeoutMs: 600_000 }))
      const claim = await mode.run(session.command(command({ kind: 'claim', fence: 2 }), { timeoutMs }))
      expect(claim.accepted).to.equal(true)
      standIn.control({ fault: 'crash' })
      expect(await mode.run(slow)).to.equal('unknown')
    })

    // Guards against a cut stream that ends its request, or that looks complete.
    it('resumes a cut stream', async () => {
      const { standIn, api } = await startEngine()
      standIn.control({ fault: 'cutStream', afterTokens: 4 })
      expect(await mode.run(collect(api.infer(request, {})))).to.deep.equal({ tokens: answer.slice(0, 4), ended: false, outcome: 'unknown' })
      const rest = await mode.run(collect(api.resume('r1', 4, { attemptId: 'a2' })))
      expect([rest.ended, rest.tokens.slice(4)]).to.deep.equal([true, answer.slice(4)])
      expect(standIn.log.requests.map(({ result, generated }) => [result, generated])).to.deep.equal([['completed', 12]])
    })

    // Guards against requests that run on for callers that are gone.
    it('cancels on abort, and after the grace time without a reader', async () => {
      const { standIn, api } = await startEngine({ graceMs: 30 })
      const aborted = new AbortController()
      const stream = collect(api.infer({ ...request, maxTokens: 100_000 }, { signal: aborted.signal }))
      await until(() => (standIn.log.requests[0]?.generated ?? 0) > 3)
      aborted.abort()
      expect((await mode.run(stream)).outcome).to.equal('unknown')
      await until(() => standIn.log.requests[0]!.result === 'cancelled')
      expect((await mode.run(collect(api.infer(request, { signal: aborted.signal })))).outcome).to.equal('not-run')
      const left = await mode.run(collect(api.infer({ ...request, requestId: 'r2', maxTokens: 100_000 }, {}), { stopAfter: 3 }))
      expect(left.tokens).to.have.lengthOf(3)
      await until(() => standIn.log.requests[1]!.result === 'cancelled')
    })

    // Guards against commands whose unknown outcome is taken for a known one.
    it('loses, repeats and delays commands', async () => {
      const { standIn, api, session } = await startEngine({ honoursFence: false })
      const loadedModels = async () => (await mode.run(api.status({ timeoutMs }))).models.map(({ name }) => name)
      standIn.control({ fault: 'commandReplyLost', command: 'unload', cut: true })
      expect(await mode.run(outcome(session.command(unload(), { timeoutMs })))).to.equal('unknown')
      expect(await loadedModels()).to.deep.equal([])
      const second = await mode.run(api.openSession({ timeoutMs }))
      standIn.control({ fault: 'commandLost', cut: true })
      expect(await mode.run(outcome(second.command(load(), { timeoutMs })))).to.equal('unknown')
      expect(await loadedModels()).to.deep.equal([])
      const third = await mode.run(api.openSession({ timeoutMs }))
      standIn.control({ fault: 'commandRepeated', delayMs: 600_000 })
      await mode.run(third.command(load(), { timeoutMs }))
      await mode.run(third.command(unload(), { timeoutMs }))
      standIn.control({ fault: 'deliverHeld' })
      await until(() => standIn.log.commands.at(-1)!.delivery === 'repeated' && standIn.log.commands.at(-1)!.effectMs !== undefined)
      expect(await loadedModels()).to.deep.equal([model])
      standIn.control({ fault: 'commandLate', command: 'setRole', delayMs: 600_000 })
      const late = third.command(command({ kind: 'setRole', role: 'decode' }), { timeoutMs: 600_000 })
      await until(() => standIn.activeFaults === 0)
      const successor = await mode.run(api.openSession({ timeoutMs }))
      await mode.run(successor.command(command({ kind: 'setRole', role: 'prefill', fence: 2 }), { timeoutMs }))
      standIn.control({ fault: 'deliverHeld' })
      expect((await mode.run(late)).status.role).to.equal('decode')
      expect(standIn.log.commands.slice(-2).map(({ delivery }) => delivery)).to.deep.equal(['prompt', 'late'])
    })

    // Guards against a checker that misses overcommitted memory.
    it('records overcommitted memory, or refuses when it checks', async () => {
      const size = { memoryBytes: 10e9, kvCacheBytes: 4e9 }
      const unchecked = await startEngine(size)
      expect((await mode.run(unchecked.session.command(load(1, 5e9, 'fits@1'), { timeoutMs }))).accepted).to.equal(true)
      expect(unchecked.standIn.log.violations).to.deep.equal([])
      expect((await mode.run(unchecked.session.command(load(1, 1, 'over@1'), { timeoutMs }))).accepted).to.equal(true)
      expect(unchecked.standIn.log.violations[0]!.models.map(({ name }) => name)).to.deep.equal([model, 'fits@1', 'over@1'])
      const checked = await startEngine({ ...size, checksMemory: true })
      expect((await mode.run(checked.session.command(load(1, 6e9, 'over@1'), { timeoutMs }))).refusal).to.equal('no-memory')
    })

    // Guards against lost adapters, role changes and failed loads that look like success.
    it('loads adapters and reports a failed load', async () => {
      const store = weightStore()
      const { api, session } = await startEngine({ weightStore: await mode.weightStore(store) })
      const loadAdapter = command({ kind: 'loadAdapter', adapter: 'seller', baseModel: model, memoryBytes: 1e8 })
      const reply = await mode.run(session.command(loadAdapter, { timeoutMs }))
      expect(reply.status.adapters).to.deep.equal([{ name: 'seller', baseModel: model, state: 'ready', memoryBytes: 1e8 }])
      const adapted = await mode.run(collect(api.infer({ ...request, adapter: 'seller' }, {})))
      expect(adapted.tokens).to.have.lengthOf(12).and.not.deep.equal(answer)
      store.control({ fault: 'failing' })
      const failed = await mode.run(session.command(load(1, 1e9, 'other@1'), { timeoutMs }))
      expect([failed.refusal, failed.status.models.length]).to.deep.equal(['store-failed', 1])
    })

    // Guards against prefix and KV transfers that save no work, and against cache events without gaps.
    it('caches prefixes and moves KV cache', async () => {
      const { standIn, api } = await startEngine({ cacheEventLagMs: 0 })
      const other = await startEngine({ engine: 'e2' })
      standIn.control({ fault: 'missingCacheEvent' })
      await mode.run(collect(api.infer(request, {})))
      expect((await mode.run(api.cacheEvents(0))).map(({ sequence }) => sequence)).to.deep.equal([2, 3])
      await mode.run(other.api.importKv(await mode.run(api.exportKv('r1'))))
      await mode.run(collect(other.api.infer(request, {})))
      expect(other.standIn.log.requests[0]!.cachedTokens).to.equal(222)
      await mode.run(collect(api.infer({ ...request, requestId: 'r2' }, {})))
      expect(standIn.log.requests.map(({ cachedTokens }) => cachedTokens)).to.deep.equal([0, 192])
    })

    // Guards against a crash that looks like a completed or refused request.
    it('cuts streams in a crash and then refuses', async () => {
      const { standIn, api } = await startEngine()
      const stream = collect(api.infer({ ...request, maxTokens: 100_000 }, {}))
      await until(() => (standIn.log.requests[0]?.generated ?? 0) > 3)
      standIn.control({ fault: 'crash' })
      const cut = await mode.run(stream)
      expect([cut.ended, cut.outcome, standIn.log.requests[0]!.result]).to.deep.equal([false, 'unknown', 'crashed'])
      expect(await mode.run(outcome(api.status({ timeoutMs })))).to.equal('not-run')
      standIn.control({ fault: 'restart' })
      standIn.control({ fault: 'silentStatus' })
      expect(await mode.run(outcome(api.status({ timeoutMs: 50 })))).to.equal('unknown')
      standIn.control({ fault: 'pause' })
      expect(await mode.run(outcome(api.status({ timeoutMs: 50 })))).to.equal('unknown')
      standIn.control({ fault: 'resume' })
      standIn.control({ fault: 'clear' })
      expect(await mode.run(outcome(api.status({ timeoutMs })))).to.equal('ok')
    })

    // Guards against lost updates in the key-value service.
    it('swaps, lists and deletes keys by revision', async () => {
      const standIn = new KeyValueStandIn({ clock: mode.clock })
      const store = await mode.keyValueStore(standIn)
      expect(await mode.run(store.get('a/1'))).to.equal(undefined)
      expect(await mode.run(store.compareAndSwap('a/2', 0, 'x'))).to.deep.equal({ swapped: true, revision: 1 })
      expect(await mode.run(store.compareAndSwap('a/2', 0, 'y'))).to.deep.equal({ swapped: false, current: { key: 'a/2', value: 'x', revision: 1 } })
      await mode.run(store.compareAndSwap('a/1', 0, 'z'))
      expect((await mode.run(store.list('a/'))).map(({ key }) => key)).to.deep.equal(['a/1', 'a/2'])
      expect((await mode.run(store.compareAndDelete('a/1', 2))).swapped).to.equal(true)
      expect(await mode.run(store.get('a/1'))).to.equal(undefined)
      expect(await mode.run(outcome(store.compareAndSwap('big', 0, 'x'.repeat(maxValueBytes + 1))))).to.equal('not-run')
      expect(standIn.counts).to.include({ get: 2, compareAndSwap: 4, list: 1, compareAndDelete: 1 })
    })

    // Guards against watches that miss a change without saying so, unless the fault asks for it.
    it('watches changes and ends leases', async () => {
      const standIn = new KeyValueStandIn({ clock: mode.clock })
      const store = await mode.keyValueStore(standIn)
      const watch = store.watch('a/', 0, { timeoutMs })
      const leaseId = await mode.run(store.grantLease(60_000))
      await mode.run(store.compareAndSwap('a/1', 0, 'x', { leaseId }))
      expect(await mode.run(watch)).to.deep.equal({ entries: [{ key: 'a/1', value: 'x', revision: 1 }], revision: 1, complete: true })
      expect((await mode.run(store.watch('b/', 1, { timeoutMs: 5 }))).entries).to.deep.equal([])
      standIn.control({ fault: 'watchGap', complete: false })
      expect(await mode.run(store.watch('a/', 0, { timeoutMs }))).to.deep.equal({ entries: [], revision: 1, complete: false })
      standIn.control({ fault: 'leaseLapsed', leaseId })
      expect(await mode.run(store.get('a/1'))).to.equal(undefined)
      expect(await mode.run(outcome(store.renewLease(leaseId)))).to.equal('not-run')
    })

    // Guards against a lost reply that is taken for a write that did not happen.
    it('loses replies after the write, and is down', async () => {
      const standIn = new KeyValueStandIn({ clock: mode.clock })
      const store = await mode.keyValueStore(standIn)
      standIn.control({ fault: 'replyLost', method: 'compareAndSwap' })
      expect(await mode.run(outcome(store.compareAndSwap('a', 0, 'x')))).to.equal('unknown')
      standIn.control({ fault: 'down', calls: 2 })
      expect(await mode.run(outcome(store.get('a')))).to.equal('not-run')
      expect(await mode.run(outcome(store.compareAndSwap('a', 1, 'y')))).to.equal('not-run')
      expect(await mode.run(store.get('a'))).to.include({ value: 'x', revision: 1 })
    })

    // Guards against service calls whose outcome is misreported.
    it('reports what a service call proves', async () => {
      const standIn = new ServiceStandIn({ clock: mode.clock, server: 's1' })
      const service = await mode.service(standIn)
      const reply = await mode.run(service.call(order, {}))
      expect(JSON.parse(new TextDecoder().decode(reply.body))).to.include({ requestId: 'r1', method: 'POST', path: '/orders?size=2', body: 'gourd' })
      standIn.control({ fault: 'refuse' })
      expect(await mode.run(outcome(service.call({ ...order, requestId: 'r2' }, {})))).to.equal('not-run')
      standIn.control({ fault: 'crashBeforeExecution' })
      expect(await mode.run(outcome(service.call({ ...order, requestId: 'r3' }, {})))).to.equal('unknown')
      standIn.control({ fault: 'crashAfterExecution' })
      expect(await mode.run(outcome(service.call({ ...order, requestId: 'r4' }, {})))).to.equal('unknown')
      standIn.control({ fault: 'hangAfterExecution' })
      const aborted = new AbortController()
      const hanging = outcome(service.call({ ...order, requestId: 'r5' }, { signal: aborted.signal }))
      await until(() => standIn.log.at(-1)!.requestId === 'r5' && standIn.log.at(-1)!.endMs !== undefined)
      aborted.abort()
      expect(await mode.run(hanging)).to.equal('unknown')
      await mode.run(service.call(order, {}))
      expect(standIn.log.map(({ requestId, forbiddenRepeat }) => [requestId, forbiddenRepeat])).to.deep.equal([['r1', false], ['r4', false], ['r5', false], ['r1', true]])
      standIn.control({ fault: 'drain' })
      expect(await mode.run(service.health({ timeoutMs }))).to.deep.equal({ draining: true })
      expect(await mode.run(outcome(service.call(order, {})))).to.equal('not-run')
    })

    // Guards against a VM list that is fresher than the platform's.
    it('shows a stale VM list', async () => {
      const standIn = new VmListStandIn({ clock: mode.clock, vms: [vm] })
      const list = await mode.vmList(standIn)
      standIn.set([{ ...vm, state: 'leaving' }])
      standIn.control({ fault: 'stale' })
      expect((await mode.run(list.list()))[0]!.state).to.equal('live')
      expect((await mode.run(list.list()))[0]!.state).to.equal('leaving')
    })
  })
}
