/** The platform's key-value service: compare-and-swap, leases and watches. */

/** A key with its value. `revision` is 1 or more and grows with each write to any key. */
export interface KeyValueEntry {
  key: string
  value: string
  revision: number
}

/** Result of a compare-and-swap. On a conflict, `current` is the present entry, or `undefined` if there is none. */
export type SwapResult =
  | { swapped: true, revision: number }
  | { swapped: false, current: KeyValueEntry | undefined }

/** Changes of keys since a revision. `complete` is false if events may have been lost and the keys must be read again. */
export interface WatchResult {
  entries: KeyValueEntry[]
  revision: number
  complete: boolean
}

/**
 * Calls reject with `NotRunError` if the service did not take the call, or with `UnknownOutcomeError` if it may
 * have: a write that rejects with `UnknownOutcomeError` may have taken effect, so the writer must read back.
 */
export interface KeyValueStore {
  get (key: string): Promise<KeyValueEntry | undefined>
  /** Entries whose key starts with `prefix`, ordered by key. */
  list (prefix: string): Promise<KeyValueEntry[]>
  /** Writes `value` (at most 1 MB) if the key's revision is `expectedRevision`; 0 means that the key must not exist. */
  compareAndSwap (key: string, expectedRevision: number, value: string, options?: { leaseId?: string }): Promise<SwapResult>
  /** Removes the key if its revision is `expectedRevision`. */
  compareAndDelete (key: string, expectedRevision: number): Promise<SwapResult>
  /** Waits up to `timeoutMs` for changes below `prefix` after `afterRevision`. */
  watch (prefix: string, afterRevision: number, options: { timeoutMs: number, signal?: AbortSignal }): Promise<WatchResult>
  /** Returns the ID of a lease that ends `ttlMs` after its last renewal; keys written with it end with it. */
  grantLease (ttlMs: number): Promise<string>
  renewLease (leaseId: string): Promise<void>
}
