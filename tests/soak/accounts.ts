/** Client accounts whose keys the operator replaces, and the keys that clients send. */

/** Longest time after the acknowledged removal of a key within which requests with it may be sent and run. */
export const removalMs = 5000
/** Time after its acknowledged addition from which a key is known at nodes that are in touch. */
export const additionMs = 4000
const plainTokens = 50
const keysEach = 2
/** Share of the requests that have a key that was removed, and the time for which such a key is still in use. */
const removedShare = 0.15
const removedInUseMs = 15_000
const forgedShare = 0.25
/** Requests of a flood: about three times the quota where half of 40 requests per second have a key of its account. */
const floodTokens = { prompt: 300, output: 300 }
const floodPeriodMs = 5000

/** The account with a limit, and the tokens of it that may run in a window. */
export const quota = { account: 'oak', perSecond: 2700, burst: 2700, windowMs: 8000 }
export const mostTokensInWindow = (quota.perSecond * quota.windowMs / 1000 + quota.burst) * 1.1 + 11_000

interface Key { account: string, addedAtMs: number, removedAtMs: number }

/** What a request sends of its account. */
export interface Access {
  key: string
  /** Absent if the request states no tokens. */
  tokens?: { prompt: number, output: number } | undefined
  /** Whether it states an account, which only nodes may do. */
  isForged: boolean
}

export class Accounts {
  private readonly keys = new Map<string, Key>()
  private nextKey = 0
  /** Clients ask for more than the quota, half of the time. */
  isFlooding = true

  constructor (private readonly random: () => number) {
    for (const account of [quota.account, 'yew']) for (let index = 0; index < keysEach; index++) this.add(account)
  }

  /** Replaces a key. The store must acknowledge the configuration at once. */
  replaceKey (): void {
    const valid = this.validKeys()
    const key = this.keys.get(valid[Math.floor(this.random() * valid.length)]!)!
    key.removedAtMs = performance.now()
    this.add(key.account)
  }

  /** The list of accounts in a configuration. */
  tenants (): object[] {
    const keysOf = (account: string) => this.validKeys().filter(key => this.keys.get(key)!.account === account)
    return [
      { name: quota.account, keys: keysOf(quota.account), unit: 'token_count', rate_per_s: quota.perSecond, burst: quota.burst, plain_tokens: plainTokens },
      { name: 'yew', keys: keysOf('yew'), priority: 0 }
    ]
  }

  pickAccess (): Access {
    const removed = [...this.keys].filter(([, { removedAtMs }]) => removedAtMs !== Infinity && removedAtMs > performance.now() - removedInUseMs).map(([key]) => key)
    const keys = removed.length > 0 && this.random() < removedShare ? removed : this.validKeys()
    const key = keys[Math.floor(this.random() * keys.length)]!
    const isFlood = this.isFlooding && Math.floor(performance.now() / floodPeriodMs) % 2 === 0
    return { key, tokens: isFlood ? floodTokens : undefined, isForged: this.random() < forgedShare }
  }

  get (key: string): Key {
    return this.keys.get(key)!
  }

  private validKeys (): string[] {
    return [...this.keys.keys()].filter(key => this.keys.get(key)!.removedAtMs === Infinity)
  }

  private add (account: string): void {
    this.keys.set(`secret-${account}-${++this.nextKey}`, { account, addedAtMs: performance.now(), removedAtMs: Infinity })
  }
}

/** Tokens that a request costs. `stated` are those of its header. */
export function costOf (stated: Access['tokens']): number {
  return stated ? stated.prompt + stated.output : plainTokens
}
