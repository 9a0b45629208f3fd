/** Calls the key-value service over HTTP: `POST /call/METHOD` with the arguments as a JSON array. */

import type { Clock } from '../base/clock.js'
import { HttpCaller } from './httpCall.js'
import type { KeyValueEntry, KeyValueStore, SwapResult, WatchResult } from './keyValueStore.js'

export class HttpKeyValueStore implements KeyValueStore {
  private readonly caller: HttpCaller
  private readonly timeoutMs: number

  constructor ({ address, clock, timeoutMs }: { address: string, clock: Clock, timeoutMs: number }) {
    this.caller = new HttpCaller('key-value service', address, clock)
    this.timeoutMs = timeoutMs
  }

  get (key: string): Promise<KeyValueEntry | undefined> {
    return this.call('get', [key])
  }

  list (prefix: string): Promise<KeyValueEntry[]> {
    return this.call('list', [prefix])
  }

  compareAndSwap (key: string, expectedRevision: number, value: string, { leaseId }: { leaseId?: string } = {}): Promise<SwapResult> {
    return this.call('compareAndSwap', [key, expectedRevision, value, { leaseId }])
  }

  compareAndDelete (key: string, expectedRevision: number): Promise<SwapResult> {
    return this.call('compareAndDelete', [key, expectedRevision])
  }

  watch (prefix: string, afterRevision: number, { timeoutMs, signal }: { timeoutMs: number, signal?: AbortSignal }): Promise<WatchResult> {
    return this.call('watch', [prefix, afterRevision, { timeoutMs }], { timeoutMs: timeoutMs + this.timeoutMs, signal })
  }

  grantLease (ttlMs: number): Promise<string> {
    return this.call('grantLease', [ttlMs])
  }

  renewLease (leaseId: string): Promise<void> {
    return this.call('renewLease', [leaseId])
  }

  close (): Promise<void> {
    return this.caller.close()
  }

  private async call<T> (method: string, args: unknown[], { timeoutMs = this.timeoutMs, signal }: { timeoutMs?: number, signal?: AbortSignal } = {}): Promise<T> {
    const answer = await this.caller.json(`/call/${method}`, { method: 'POST', body: args, timeoutMs, signal })
    return (answer as { result: T }).result
  }
}
