/** Tracks the availability of the key-value service by the calls made to it. */

import type { Clock } from '../base/clock.js'
import type { KeyValueEntry, KeyValueStore, SwapResult, WatchResult } from '../external/keyValueStore.js'

/** Forwards all calls and records whether the last completed one succeeded. */
export class ObservedKeyValueStore implements KeyValueStore {
  private lastCallFailed = false
  private lastCallAtMs = 0

  constructor (private readonly clock: Clock, private readonly store: KeyValueStore) {}

  /** False if the last completed call failed. */
  available (): boolean {
    return !this.lastCallFailed
  }

  /** Makes a cheap call if none completed for `idleMs`, or if the last one failed. */
  async probe (idleMs: number): Promise<void> {
    if (!this.lastCallFailed && this.clock.nowMs() - this.lastCallAtMs < idleMs) return
    await this.get('probe').catch(() => {})
  }

  get (key: string): Promise<KeyValueEntry | undefined> {
    return this.observe(this.store.get(key))
  }

  list (prefix: string): Promise<KeyValueEntry[]> {
    return this.observe(this.store.list(prefix))
  }

  compareAndSwap (key: string, expectedRevision: number, value: string, options?: { leaseId?: string }): Promise<SwapResult> {
    return this.observe(this.store.compareAndSwap(key, expectedRevision, value, options))
  }

  compareAndDelete (key: string, expectedRevision: number): Promise<SwapResult> {
    return this.observe(this.store.compareAndDelete(key, expectedRevision))
  }

  watch (prefix: string, afterRevision: number, options: { timeoutMs: number, signal?: AbortSignal }): Promise<WatchResult> {
    return this.observe(this.store.watch(prefix, afterRevision, options))
  }

  grantLease (ttlMs: number): Promise<string> {
    return this.observe(this.store.grantLease(ttlMs))
  }

  renewLease (leaseId: string): Promise<void> {
    return this.observe(this.store.renewLease(leaseId))
  }

  private async observe<T> (call: Promise<T>): Promise<T> {
    try {
      const result = await call
      this.lastCallFailed = false
      return result
    } catch (error) {
      this.lastCallFailed = true
      throw error
    } finally {
      this.lastCallAtMs = this.clock.nowMs()
    }
  }
}
