/** Checks the keys of client requests, and logs and counts those that are refused. */

import type { Log } from '../base/log.js'
import { AccountAccess } from '../policy/accountAccess.js'
import type { AccessDecision } from '../policy/accountAccess.js'
import { hashKey } from '../policy/accountKeys.js'
import type { RequestMetadata } from './codecs.js'
import type { Account, Deployment, Route } from './deployment.js'

export type AccountRefusal = 'unknown-key' | 'stale'

export interface AccountCheckOptions {
  log: Log
  /** Time since which the configuration is not known to have been current, in milliseconds. */
  confirmedAgeMs: () => number
  /** Longest time for which a removed key may be accepted; absent without a limit. */
  keyRemovalMs?: number | undefined
  onRefused?: (reason: AccountRefusal) => void
  /** A request was refused because of the configuration's age: a confirmation of it is worth a message. */
  onStale?: () => void
}

/** Response to a request that may not run. */
export interface AccessRefusal {
  status: number
  reason: string
  retryAfterMs?: number
}

type AccessResult = { account: Account | undefined } | AccessRefusal

export class AccountCheck {
  private readonly options: AccountCheckOptions
  private access: AccountAccess<Account> | undefined
  private version: number | undefined
  private wasStale = false

  constructor (options: AccountCheckOptions) {
    this.options = options
  }

  /** Whether the deployment has accounts. */
  get isActive (): boolean {
    return this.access !== undefined
  }

  /** Whether no key is accepted, since the configuration is too old. */
  get isStale (): boolean {
    return this.access !== undefined && this.options.confirmedAgeMs() > this.access.maxAgeMs
  }

  setDeployment ({ accounts, version }: Deployment): void {
    this.version = version
    this.access = accounts && new AccountAccess(accounts, { keyRemovalMs: this.options.keyRemovalMs })
  }

  /** Returns a function that decides on the request at the moment of each call. The key is hashed at the first call only. */
  checkOf (metadata: RequestMetadata, route: Route): () => AccessResult {
    let keyHash: string | undefined
    return () => {
      if (!this.access) return { account: undefined }
      if (metadata.key) keyHash ??= hashKey(metadata.key)
      return this.decide(this.access, { metadata, keyHash, route })
    }
  }

  /** Logs and counts the refusal of a request that may not run. */
  private decide (access: AccountAccess<Account>, { metadata, keyHash, route }: { metadata: RequestMetadata, keyHash: string | undefined, route: Route }): AccessResult {
    const confirmedAgeMs = this.options.confirmedAgeMs()
    const decision = access.decide({ keyHash, route, confirmedAgeMs })
    if (decision.kind === 'allowed') return { account: decision.account }
    const refusal = refusalOf(decision, metadata.key !== undefined)
    this.options.onRefused?.(decision.kind)
    if (decision.kind === 'stale') this.options.onStale?.()
    this.options.log('info', 'request refused for its key', {
      request: metadata.requestId,
      route: route.name,
      account: decision.kind === 'stale' ? decision.account?.name : undefined,
      status: refusal.status,
      reason: refusal.reason,
      configVersion: this.version,
      configAgeMs: Number.isFinite(confirmedAgeMs) ? Math.round(confirmedAgeMs) : undefined
    })
    return refusal
  }

  /** Logs when the configuration becomes too old for keys and when it no longer is. Call it regularly; decisions do not depend on it. */
  logStaleness (): void {
    const { isStale } = this
    if (isStale === this.wasStale) return
    this.wasStale = isStale
    const fields = { configVersion: this.version, limitMs: this.access?.maxAgeMs }
    if (isStale) this.options.log('warn', 'configuration too old for keys', { ...fields, configAgeMs: Math.round(this.options.confirmedAgeMs()) })
    else this.options.log('info', 'configuration recent enough for keys', fields)
  }
}

function refusalOf (decision: Exclude<AccessDecision<Account>, { kind: 'allowed' }>, hasKey: boolean): AccessRefusal {
  if (decision.kind === 'unknown-key') return { status: 401, reason: hasKey ? 'the key is unknown' : 'the request has no key' }
  const missing = decision.account ? 'the key may have been removed since' : 'the key may have been added since'
  return { status: 503, reason: `this node does not know whether its configuration is current; ${missing}`, retryAfterMs: decision.retryAfterMs }
}
