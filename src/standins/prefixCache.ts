/** Prompt-prefix cache of an engine stand-in: limited, least recently used first out. */

import type { Clock } from '../base/clock.js'
import type { CacheEvent } from '../external/engine.js'
import { charsPerToken, prefixBlockChars } from '../external/promptPrefix.js'

export const blockTokens = prefixBlockChars / charsPerToken
const maxEvents = 10_000

export interface PrefixCacheOptions {
  clock: Clock
  maxTokens: number
  /** Time after which an event is published. */
  eventLagMs: number
  /** Each n-th event is never published; 0: all are. */
  dropEvery: number
  /** Whether a fault drops the next event. */
  isDropped: () => boolean
}

export class PrefixCache {
  private readonly blocks = new Map<number, string>()
  private events: (CacheEvent & { atMs: number })[] = []
  private sequence = 0

  constructor (private readonly options: PrefixCacheOptions) {}

  /** Tokens of the longest cached prefix. */
  cachedTokens (hashes: readonly number[]): number {
    const missing = hashes.findIndex(hash => !this.blocks.has(hash))
    return (missing < 0 ? hashes.length : missing) * blockTokens
  }

  store (model: string, hashes: readonly number[]): void {
    hashes.forEach((hash, index) => {
      const isNew = !this.blocks.delete(hash)
      this.blocks.set(hash, model)
      if (isNew) this.publish({ kind: 'stored', model, prefixHash: hash, tokens: (index + 1) * blockTokens })
    })
    for (const hash of this.blocks.keys()) {
      if (this.blocks.size * blockTokens <= this.options.maxTokens) break
      this.evict(hash)
    }
  }

  /** Removes all prefixes of a model that is unloaded. */
  evictModel (model: string): void {
    for (const [hash, owner] of [...this.blocks]) if (owner === model) this.evict(hash)
  }

  published (afterSequence: number): CacheEvent[] {
    const visibleMs = this.options.clock.nowMs() - this.options.eventLagMs
    return this.events.filter(event => event.sequence > afterSequence && event.atMs <= visibleMs)
      .map(({ atMs, ...event }) => event)
  }

  private evict (hash: number): void {
    const model = this.blocks.get(hash)!
    this.blocks.delete(hash)
    this.publish({ kind: 'evicted', model, prefixHash: hash, tokens: blockTokens })
  }

  private publish (event: Omit<CacheEvent, 'sequence'>): void {
    const sequence = ++this.sequence
    const { clock, dropEvery, isDropped } = this.options
    if (isDropped() || (dropEvery > 0 && sequence % dropEvery === 0)) return
    this.events.push({ ...event, sequence, atMs: clock.nowMs() })
    if (this.events.length > maxEvents) this.events.shift()
  }
}
