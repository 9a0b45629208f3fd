/** Decides whether a request may run for the account that holds its key. */

/** Share of the time limit for removed keys after which a configuration is too old. The rest covers differences between clocks. */
const removalLimitShare = 0.9
/** An unknown key is refused for good only if the configuration was current within this time: the key may be new. */
export const maxUnknownKeyAgeMs = 1000
/** `Retry-After` of requests that a node with an older configuration refuses; clients then reach another node. */
const staleRetryAfterMs = 500

export interface KeyHolder {
  /** SHA-256 of the account's keys, in hex. */
  keyHashes: readonly string[]
}

export interface AccessRequest {
  /** SHA-256 of the request's key, in hex; absent if the client sent none. */
  keyHash: string | undefined
  route: { isPublic: boolean }
  /** Time since which the configuration is not known to have been current, in milliseconds. */
  confirmedAgeMs: number
}

export type AccessDecision<A> =
  /** Without `account`, the request runs for no account: the route is public. */
  | { kind: 'allowed', account?: A | undefined }
  | { kind: 'unknown-key' }
  /** The configuration may lack a removal of the key or, without `account`, the key. */
  | { kind: 'stale', retryAfterMs: number, account?: A | undefined }

export class AccountAccess<A extends KeyHolder> {
  private readonly byKeyHash = new Map<string, A>()
  /** Age beyond which the configuration lets no key pass; infinite without a limit. */
  readonly maxAgeMs: number

  /** `keyRemovalMs` is the longest time for which a removed key may be accepted; without it any age will do. A key of two accounts belongs to the first. */
  constructor (accounts: readonly A[], { keyRemovalMs = Infinity }: { keyRemovalMs?: number | undefined } = {}) {
    this.maxAgeMs = keyRemovalMs * removalLimitShare
    for (const account of accounts) {
      for (const hash of account.keyHashes) if (!this.byKeyHash.has(hash)) this.byKeyHash.set(hash, account)
    }
  }

  decide ({ keyHash, route, confirmedAgeMs }: AccessRequest): AccessDecision<A> {
    const account = keyHash === undefined ? undefined : this.byKeyHash.get(keyHash)
    const isTooOld = confirmedAgeMs > this.maxAgeMs
    // A key that may have been removed must not count for its account, but the route needs none.
    if (route.isPublic) return { kind: 'allowed', account: isTooOld ? undefined : account }
    if (account && !isTooOld) return { kind: 'allowed', account }
    if (account || confirmedAgeMs > maxUnknownKeyAgeMs) return { kind: 'stale', retryAfterMs: staleRetryAfterMs, account }
    return { kind: 'unknown-key' }
  }
}
