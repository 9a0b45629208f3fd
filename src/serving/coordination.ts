/** Interface to the platform's store: positions, conditional commits, leases and watches. Positions are those of `storePosition`. */

/** A lease. Its ID may be given out again in another era of the store. */
export interface StoreLease {
  era: number
  id: number
}

export interface StoreItem {
  key: string
  value: string
  /** Position of the last change. */
  revision: number
  /** Lease with which the key ends. */
  lease?: StoreLease
}

/** A change of one key; without `value` the key was removed. */
export interface StoreChange {
  key: string
  revision: number
  value?: string
  lease?: StoreLease
}

export interface StoreWrite {
  key: string
  value: string
  lease?: StoreLease
}

export type CommitResult =
  | { kind: 'committed', revision: number }
  | { kind: 'conflict', items: StoreItem[] }
  | { kind: 'lease-ended' }

export type WatchResult =
  | { kind: 'changes', changes: StoreChange[], revision: number }
  | { kind: 'history-lost' }

/**
 * Calls reject with `NotRunError` if the store did not execute them, and with `UnknownOutcomeError` if it may have. A write
 * of unknown outcome may still take effect later while its conditions hold.
 */
export interface CoordinationStore {
  /** All items whose key starts with `prefix`, in one era. A watch from `revision` returns every later change. */
  list (prefix: string): Promise<{ items: StoreItem[], revision: number }>
  /** Waits up to `waitMs` for changes after `afterRevision`. The history is lost, too, if the store has come back from a copy since. */
  watch (prefix: string, afterRevision: number, options: { waitMs: number }): Promise<WatchResult>
  /** All or nothing; none of the keys `absent` may exist. A condition on a revision could hold by accident in another era. */
  commit (change: { absent?: string[], writes?: StoreWrite[], remove?: string[] }): Promise<CommitResult>
  /** The lease's time runs from the arrival of the call at the store. */
  grantLease (ttlMs: number): Promise<StoreLease>
  /** Renews the lease. Returns false if it has ended, or if the store has come back from a copy since it was granted. */
  keepLease (lease: StoreLease): Promise<boolean>
  endLease (lease: StoreLease): Promise<void>
  close (): Promise<void>
}
