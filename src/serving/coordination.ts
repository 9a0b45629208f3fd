/** Interface to the platform's store: revisions, conditional commits, leases and watches. */

export interface StoreItem {
  key: string
  value: string
  /** Revision of the last change. */
  revision: number
}

/** A change of one key; without `value` the key was removed. */
export interface StoreChange {
  key: string
  revision: number
  value?: string
}

export interface StoreCondition {
  key: string
  /** 0: the key must not exist. */
  revision: number
}

export interface StoreWrite {
  key: string
  value: string
  leaseId?: number
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
  /** All items whose key starts with `prefix`. A watch from `revision` returns every later change. */
  list (prefix: string): Promise<{ items: StoreItem[], revision: number }>
  /** Waits up to `waitMs` for changes after `afterRevision`. */
  watch (prefix: string, afterRevision: number, options: { waitMs: number }): Promise<WatchResult>
  commit (change: { expected: StoreCondition[], writes?: StoreWrite[], remove?: string[] }): Promise<CommitResult>
  /** Returns the lease's ID. Its time runs from the arrival of the call at the store. */
  grantLease (ttlMs: number): Promise<number>
  /** Renews the lease. Returns false if it has ended. */
  keepLease (leaseId: number): Promise<boolean>
  endLease (leaseId: number): Promise<void>
  close (): Promise<void>
}
