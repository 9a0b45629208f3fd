/** Stand-in for the key-value service. */

import { z } from 'zod'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { NotRunError, UnknownOutcomeError } from '../base/errors.js'
import type { KeyValueEntry, KeyValueStore, SwapResult, WatchResult } from '../external/keyValueStore.js'
import { FaultSwitches } from './faultSwitches.js'
import { addControl, createApp, disconnectSignal } from './httpServer.js'
import type { StandInApp } from './httpServer.js'

export const maxValueBytes = 1_000_000
/** Changes kept for watches; a watch from before them is answered with `complete: false`. */
const maxChanges = 10_000

const methods = ['get', 'list', 'compareAndSwap', 'compareAndDelete', 'watch', 'grantLease', 'renewLease'] as const
type Method = typeof methods[number]
const writeMethods: ReadonlySet<Method> = new Set(['compareAndSwap', 'compareAndDelete', 'grantLease', 'renewLease'])

const faultBase = { calls: z.number().int().positive().default(1), method: z.enum(methods).optional() }

/** `method` limits a fault to one kind of call. */
export const keyValueControlSchema = z.discriminatedUnion('fault', [
  /** Refuses calls before execution. */
  z.object({ ...faultBase, fault: z.literal('down') }),
  z.object({ ...faultBase, fault: z.literal('slow'), delayMs: z.number() }),
  /** The call takes effect and its connection is cut. */
  z.object({ ...faultBase, fault: z.literal('replyLost') }),
  /** A watch skips the changes so far and says so only if `complete` is false. */
  z.object({ ...faultBase, fault: z.literal('watchGap'), complete: z.boolean().default(false) }),
  /** Ends `leaseId`, or all leases, at once. */
  z.object({ fault: z.literal('leaseLapsed'), calls: z.number().default(1), leaseId: z.string().optional() }),
  z.object({ fault: z.literal('clear'), calls: z.number().default(1) })
])
export type KeyValueControl = z.input<typeof keyValueControlSchema>
type KeyValueFault = z.infer<typeof keyValueControlSchema>

export interface KeyValueStandInOptions {
  clock: Clock
  readsPerSecond?: number
  writesPerSecond?: number
}

/** Calls above `perSecond`, with a burst of one second, are refused. */
class RateLimit {
  private tokens: number
  private atMs: number

  constructor (private readonly clock: Clock, private readonly perSecond: number) {
    this.tokens = perSecond
    this.atMs = clock.nowMs()
  }

  take (): boolean {
    if (this.perSecond === Infinity) return true
    const nowMs = this.clock.nowMs()
    this.tokens = Math.min(this.perSecond, this.tokens + (nowMs - this.atMs) * this.perSecond / 1000)
    this.atMs = nowMs
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}

export class KeyValueStandIn implements KeyValueStore {
  /** Calls by method, also refused ones. A waiting watch counts as one. */
  readonly counts = Object.fromEntries(methods.map(method => [method, 0])) as Record<Method, number>
  private readonly clock: Clock
  private readonly reads: RateLimit
  private readonly writes: RateLimit
  private readonly faults = new FaultSwitches<KeyValueFault>()
  private readonly entries = new Map<string, KeyValueEntry & { leaseId?: string }>()
  private readonly leases = new Map<string, { ttlMs: number, cancel: () => void }>()
  private changes: KeyValueEntry[] = []
  private firstRevision = 0
  private readonly waiting = new Set<() => void>()
  private revision = 0
  private leaseCount = 0

  constructor ({ clock, readsPerSecond = Infinity, writesPerSecond = Infinity }: KeyValueStandInOptions) {
    this.clock = clock
    this.reads = new RateLimit(clock, readsPerSecond)
    this.writes = new RateLimit(clock, writesPerSecond)
  }

  get log (): { counts: Record<Method, number>, revision: number } {
    return { counts: this.counts, revision: this.revision }
  }

  control (control: KeyValueControl): void {
    const fault = keyValueControlSchema.parse(control)
    if (fault.fault === 'clear') this.faults.clear()
    else if (fault.fault === 'leaseLapsed') this.lapse(fault.leaseId)
    else this.faults.add(fault)
  }

  get (key: string): Promise<KeyValueEntry | undefined> {
    return this.run('get', () => publicEntry(this.entries.get(key)))
  }

  list (prefix: string): Promise<KeyValueEntry[]> {
    return this.run('list', () => [...this.entries.values()].filter(entry => entry.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1).map(entry => publicEntry(entry)!))
  }

  compareAndSwap (key: string, expectedRevision: number, value: string, { leaseId }: { leaseId?: string } = {}): Promise<SwapResult> {
    return this.run('compareAndSwap', () => {
      if (Buffer.byteLength(value) > maxValueBytes) throw this.refusal(`the value of ${key} is larger than ${maxValueBytes} bytes`)
      if (leaseId !== undefined && !this.leases.has(leaseId)) throw this.refusal(`lease ${leaseId} does not exist`)
      const current = this.entries.get(key)
      if ((current?.revision ?? 0) !== expectedRevision) return { swapped: false, current: publicEntry(current) }
      const revision = ++this.revision
      this.entries.set(key, { key, value, revision, leaseId })
      this.publish({ key, value, revision })
      return { swapped: true, revision }
    })
  }

  compareAndDelete (key: string, expectedRevision: number): Promise<SwapResult> {
    return this.run('compareAndDelete', () => {
      const current = this.entries.get(key)
      if ((current?.revision ?? 0) !== expectedRevision) return { swapped: false, current: publicEntry(current) }
      if (current) this.remove(key)
      return { swapped: true, revision: this.revision }
    })
  }

  /** A removed key appears with an empty value and the revision of its removal. */
  async watch (prefix: string, afterRevision: number, { timeoutMs, signal }: { timeoutMs: number, signal?: AbortSignal }): Promise<WatchResult> {
    const endMs = this.clock.nowMs() + timeoutMs
    return this.run('watch', async () => {
      const gap = this.faults.take('watchGap')
      if (gap) return { entries: [], revision: this.revision, complete: gap.complete }
      for (;;) {
        if (afterRevision < this.firstRevision) return { entries: [], revision: this.revision, complete: false }
        const entries = this.changes.filter(entry => entry.revision > afterRevision && entry.key.startsWith(prefix))
        if (entries.length > 0 || this.clock.nowMs() >= endMs) return { entries, revision: this.revision, complete: true }
        if (signal?.aborted) throw new UnknownOutcomeError('key-value service', 'the watch was aborted')
        await this.nextChange(endMs - this.clock.nowMs(), signal)
      }
    })
  }

  grantLease (ttlMs: number): Promise<string> {
    return this.run('grantLease', () => {
      const leaseId = `lease-${++this.leaseCount}`
      this.startLease(leaseId, ttlMs)
      return leaseId
    })
  }

  renewLease (leaseId: string): Promise<void> {
    return this.run('renewLease', () => {
      const lease = this.leases.get(leaseId)
      if (!lease) throw this.refusal(`lease ${leaseId} does not exist`)
      lease.cancel()
      this.startLease(leaseId, lease.ttlMs)
    })
  }

  private async run<T> (method: Method, effect: () => T | Promise<T>): Promise<T> {
    this.counts[method]++
    const matches = (fault: { method?: Method }) => fault.method === undefined || fault.method === method
    if (this.faults.take('down', matches)) throw this.refusal('the service is down')
    if (!(writeMethods.has(method) ? this.writes : this.reads).take()) throw this.refusal(`the rate limit refuses ${method}`)
    const slow = this.faults.take('slow', matches)
    if (slow) await sleep(this.clock, slow.delayMs)
    const replyLost = this.faults.take('replyLost', matches)
    const result = await effect()
    if (replyLost) throw new UnknownOutcomeError('key-value service', `the reply to ${method} was lost`)
    return result
  }

  private refusal (reason: string): NotRunError {
    return new NotRunError('key-value service', reason)
  }

  private remove (key: string): void {
    this.entries.delete(key)
    this.publish({ key, value: '', revision: ++this.revision })
  }

  private publish (entry: KeyValueEntry): void {
    this.changes.push(entry)
    if (this.changes.length > maxChanges) this.firstRevision = this.changes.shift()!.revision
    for (const wake of [...this.waiting]) wake()
  }

  private nextChange (waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        this.waiting.delete(wake)
        cancel()
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const cancel = this.clock.setTimer(waitMs, wake)
      this.waiting.add(wake)
      signal?.addEventListener('abort', wake, { once: true })
    })
  }

  private startLease (leaseId: string, ttlMs: number): void {
    this.leases.set(leaseId, { ttlMs, cancel: this.clock.setTimer(ttlMs, () => this.lapse(leaseId)) })
  }

  private lapse (leaseId?: string): void {
    for (const [id, lease] of [...this.leases]) {
      if (leaseId !== undefined && id !== leaseId) continue
      lease.cancel()
      this.leases.delete(id)
      for (const entry of [...this.entries.values()]) if (entry.leaseId === id) this.remove(entry.key)
    }
  }
}

function publicEntry (entry: KeyValueEntry | undefined): KeyValueEntry | undefined {
  return entry && { key: entry.key, value: entry.value, revision: entry.revision }
}

export function keyValueApp (store: KeyValueStandIn): StandInApp {
  const app = createApp()
  app.post('/call/:method', async context => {
    const method = z.enum(methods).parse(context.req.param('method'))
    const args = z.array(z.unknown()).parse(await context.req.json())
    if (method === 'watch') {
      args[2] = { ...(args[2] as { timeoutMs: number }), signal: disconnectSignal(context.env) }
    }
    const call = store[method] as (...args: unknown[]) => Promise<unknown>
    return context.json({ result: await call.apply(store, args) })
  })
  addControl(app, store, keyValueControlSchema)
  return app
}
