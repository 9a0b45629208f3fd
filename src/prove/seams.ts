/** The outside as one process reaches it: each call is a step at which a fault can happen. */

import { FailedError, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import type { EngineApi, EngineSession, InferenceEvent } from '../external/engine.js'
import type { KeyValueEntry, KeyValueStore, SwapResult, WatchResult } from '../external/keyValueStore.js'
import type { ServiceApi } from '../external/service.js'
import type { VmList } from '../external/vmList.js'
import type { EngineStandIn } from '../standins/engine.js'
import type { KeyValueStandIn } from '../standins/keyValue.js'
import type { ServiceStandIn } from '../standins/service.js'
import { limited } from './network.js'
import type { Cut, Place, Topology } from './network.js'
import type { SimulatedProcess } from './simulatedProcess.js'

/** One outside call. `subject` tells what it is about: a prompt, a path, a model or a key. */
export interface Step {
  kind: string
  process: SimulatedProcess
  target: string
  subject: string
}

/** What a fault does to the call at which it happens. */
export interface CallFault { cut?: Cut, delayMs?: number, refuse?: boolean, watchGap?: boolean }

export interface SeamContext {
  process: SimulatedProcess
  place: Place
  topology: Topology
  onStep: (step: Step) => CallFault | undefined
  onArrival: (server: string, process: SimulatedProcess, sentAtMs: number) => void
}

const keyValueTimeoutMs = 2_000

/** Timeouts run on the clock of the calling process, so that they wait while it is paused. */
export function engineSeam (context: SeamContext, engine: EngineStandIn, to: Place): EngineApi {
  const { process, place, topology } = context
  const target = engine.engine
  const call = <T>(kind: string, subject: string, run: () => Promise<T>, timeoutMs = Infinity): Promise<T> => {
    const attempt = async () => {
      await process.turn()
      const fault = context.onStep({ kind: `engine.${kind}`, process, target, subject })
      return topology.call({ process, from: place, to, target, cut: fault?.cut }, run)
    }
    return timeoutMs === Infinity ? attempt() : limited(process.clock, timeoutMs, target, attempt)
  }
  async function * events (kind: string, subject: string, open: () => AsyncIterable<InferenceEvent>): AsyncGenerator<InferenceEvent> {
    const iterator = open()[Symbol.asyncIterator]()
    // What the process reads no more, the engine notices as a closed connection.
    const stopListening = process.onEnd(() => { iterator.return?.().catch(() => {}) })
    try {
      const first = await call(kind, subject, () => iterator.next())
      for (let result = first; !result.done;) {
        yield result.value
        const fault = context.onStep({ kind: `engine.${kind}.event`, process, target, subject })
        await process.turn()
        if (fault?.cut !== undefined) throw new UnknownOutcomeError(target, 'the connection was cut')
        result = await process.receive(iterator.next().then(async next => {
          await topology.whenOpen(to, place)
          return next
        }))
      }
    } finally {
      stopListening()
      iterator.return?.().catch(() => {})
    }
  }
  const limitMs = 5_000
  return {
    engine: target,
    status: options => call('status', '', () => engine.status(options), options.timeoutMs),
    openSession: async options => {
      const session = await call('openSession', '', () => engine.openSession(options), options.timeoutMs)
      const seam: EngineSession = {
        engine: target,
        incarnation: session.incarnation,
        command: (command, { timeoutMs }) => {
          const subject = command.kind === 'load' || command.kind === 'unload' ? command.model : ''
          return call(`command.${command.kind}`, subject, () => session.command(command, { timeoutMs }), timeoutMs)
        }
      }
      return seam
    },
    infer: (request, { signal }) => events('infer', request.prompt, () => {
      const sentAtMs = process.clock.nowMs()
      context.onArrival(target, process, sentAtMs)
      return engine.infer(request, { signal })
    }),
    resume: (requestId, fromIndex, options) => events('resume', requestId, () => engine.resume(requestId, fromIndex, options)),
    cancel: requestId => call('cancel', requestId, () => engine.cancel(requestId), limitMs),
    cacheEvents: after => call('cacheEvents', '', () => engine.cacheEvents(after), limitMs),
    exportKv: requestId => call('exportKv', requestId, () => engine.exportKv(requestId), limitMs),
    importKv: kv => call('importKv', kv.requestId, () => engine.importKv(kv), limitMs)
  }
}

export function serviceSeam (context: SeamContext, service: ServiceStandIn, to: Place): ServiceApi {
  const { process, place, topology } = context
  const target = service.server
  return {
    server: target,
    call: async (request, { signal }) => {
      await process.turn()
      const fault = context.onStep({ kind: 'service.call', process, target, subject: request.path })
      const sentAtMs = process.clock.nowMs()
      let sent = false
      const result = topology.call({ process, from: place, to, target, cut: fault?.cut }, async () => {
        if (signal?.aborted) throw new NotRunError(target, 'the request was aborted before it was sent')
        sent = true
        context.onArrival(target, process, sentAtMs)
        return service.call(request, {})
      })
      if (!signal) return result
      result.catch(() => {})
      return Promise.race([result, new Promise<never>((_resolve, reject) => {
        const onAbort = () => reject(sent ? new UnknownOutcomeError(target, 'aborted') : new UnknownOutcomeError(target, 'aborted during the send'))
        if (signal.aborted) onAbort()
        else signal.addEventListener('abort', onAbort, { once: true })
      })])
    },
    health: options => limited(process.clock, options.timeoutMs, target, async () => {
      await process.turn()
      const fault = context.onStep({ kind: 'service.health', process, target, subject: '' })
      return topology.call({ process, from: place, to, target, cut: fault?.cut }, () => service.health(options))
    })
  }
}

/** State of the key-value service that holds for all callers. */
export interface KeyValueCondition { down: boolean, slowMs: number }

export function keyValueSeam (context: SeamContext, store: KeyValueStandIn, to: Place, condition: KeyValueCondition, onWrite: (key: string, value: string) => void): KeyValueStore {
  const { process, place, topology } = context
  const target = 'key-value service'
  const call = async <T>(kind: string, key: string, run: () => Promise<T>, timeoutMs = keyValueTimeoutMs): Promise<T> => {
    await process.turn()
    const family = key.split('/')[0]!
    const fault = context.onStep({ kind: family === '' ? `keyValue.${kind}` : `keyValue.${kind}.${family}`, process, target, subject: key })
    return limited(process.clock, timeoutMs, target, () => topology.call({ process, from: place, to, target, cut: fault?.cut }, async () => {
      if (condition.down || fault?.refuse) throw new NotRunError(target, 'the service is down')
      if (fault?.watchGap && kind === 'watch') store.control({ fault: 'watchGap' })
      const delayMs = Math.max(fault?.delayMs ?? 0, condition.slowMs)
      if (delayMs > 0) await new Promise<void>(resolve => { topology.delay(delayMs, resolve) })
      return run()
    }))
  }
  return {
    get: key => call<KeyValueEntry | undefined>('get', key, () => store.get(key)),
    list: prefix => call<KeyValueEntry[]>('list', prefix, () => store.list(prefix)),
    compareAndSwap: (key, expectedRevision, value, options) => call<SwapResult>('compareAndSwap', key, async () => {
      const result = await store.compareAndSwap(key, expectedRevision, value, options)
      if (result.swapped) onWrite(key, value)
      return result
    }),
    compareAndDelete: (key, expectedRevision) => call<SwapResult>('compareAndDelete', key, () => store.compareAndDelete(key, expectedRevision)),
    watch: (prefix, afterRevision, { timeoutMs, signal }) =>
      call<WatchResult>('watch', prefix, () => store.watch(prefix, afterRevision, { timeoutMs, signal }), timeoutMs + keyValueTimeoutMs),
    grantLease: ttlMs => call('grantLease', '', () => store.grantLease(ttlMs)),
    renewLease: leaseId => call('renewLease', '', () => store.renewLease(leaseId))
  }
}

export function vmListSeam (context: SeamContext, vmList: VmList, to: Place): VmList {
  const { process, place, topology } = context
  return {
    list: () => limited(process.clock, keyValueTimeoutMs, 'VM list', async () => {
      await process.turn()
      const fault = context.onStep({ kind: 'vmList.list', process, target: 'VM list', subject: '' })
      if (fault?.refuse) throw new FailedError('VM list', 'unavailable')
      return topology.call({ process, from: place, to, target: 'VM list', cut: fault?.cut }, () => vmList.list())
    })
  }
}
