/** Elects the placement leader, and renews its lease at the store while this node leads. */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { CoordinationStore, StoreChange, StoreItem, StoreLease } from './coordination.js'

/** A leader that crashed is replaced after this time. */
const leaseTtlMs = 3000
const renewalMs = 900
const retryMs = 300
/** Upper bound of the random election delay, so that few nodes write at once. */
const electionJitterMs = 150
/** Delay of a candidate with one core, divided by its cores: larger nodes go first, since the leader works for all nodes. */
const singleCoreDelayMs = 150

export interface Leader {
  node: string
  ip: string
  /** Position of the leader's key in the store's history: grows with each leader. */
  fence: number
}

export interface LeadershipOptions {
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
  /** Prefix of this system's own store keys. */
  prefix: string
  node: string
  ip: string
  /** Processor time that the node has, in cores. */
  cores: number
  minimumLeaseMs: number
  /** Called with the fencing token when this node becomes leader, with `undefined` when it stops being it. With `isOwnSuccessor`, it led last, as far as it knows. */
  onOwnLeadership (fence: number | undefined, context: { isOwnSuccessor: boolean }): void
  /** Called when the known leader changes to another node or to none. */
  onLeader (leader: Leader | undefined): void
}

export class Leadership {
  private readonly options: LeadershipOptions
  private readonly leaderKey: string
  /** Distinguishes this process's writes from those of an earlier process of the node. */
  private readonly incarnation: string
  private lease: StoreLease | undefined
  /** Time at which the last successful renewal was sent. */
  private renewedAtMs = -Infinity
  private isStopped = false
  private ownFence: number | undefined
  private isElecting = false
  /** Whether the store was last seen without a leader key. */
  private isLeaderKeyAbsent = false
  /** Newest position of the leader's key that the watch has reported. */
  private seenRevision = 0
  /** The last node that was known to lead. */
  private lastLeader: string | undefined
  leader: Leader | undefined

  constructor (options: LeadershipOptions) {
    this.options = options
    this.leaderKey = `${options.prefix}leader`
    this.incarnation = options.random.next().toString(36).slice(2, 10)
  }

  get isLeader (): boolean {
    return this.ownFence !== undefined
  }

  /** Whether the lease runs out unless it is renewed at once. */
  get isLeaseDoubtful (): boolean {
    return this.options.clock.nowMs() - this.renewedAtMs > leaseTtlMs
  }

  async run (): Promise<void> {
    const { clock, log } = this.options
    while (!this.isStopped) {
      let delayMs = renewalMs
      try {
        if (this.ownFence !== undefined) await this.renew()
        else if (this.leader === undefined && this.isLeaderKeyAbsent) await this.elect()
      } catch (error) {
        log('warn', 'lease not renewed', { error: messageOf(error), leaseId: this.lease?.id })
        delayMs = retryMs
      }
      await sleep(clock, delayMs)
    }
  }

  /** Ends the term. The lease is left to expire, which separates the successor's commands in time from this node's. */
  stop (): void {
    this.isStopped = true
    this.endTerm('this node stops')
  }

  /** Ends the term because another leader has used a higher fencing token. */
  resign (): void {
    this.endTerm('an engine has seen a higher fencing token')
    this.leader = undefined
    this.options.onLeader(undefined)
  }

  onItems (items: readonly StoreItem[]): void {
    this.onChange(items.find(({ key }) => key === this.leaderKey) ?? { key: this.leaderKey, revision: 0 })
  }

  onChange ({ key, value, revision, lease }: StoreChange): void {
    if (key !== this.leaderKey) return
    this.seenRevision = Math.max(this.seenRevision, revision)
    if (value === undefined) return this.onLeaderKeyRemoved()
    this.isLeaderKeyAbsent = false
    const [node, ip, incarnation] = value.split(' ')
    if (node === this.options.node && incarnation === this.incarnation) {
      this.adopt(lease)
      return this.startTerm(revision)
    }
    this.endTerm(`${node} is the leader`)
    if (this.leader?.fence === revision) return
    this.leader = { node: node!, ip: ip!, fence: revision }
    this.lastLeader = node
    this.options.log('info', 'placement leader known', { leader: node, fence: revision })
    this.options.onLeader(this.leader)
  }

  /** This node's key has come back with the store from a copy, and its lease with it. */
  private adopt (lease: StoreLease | undefined): void {
    if (!lease || lease.era <= (this.lease?.era ?? -1)) return
    this.lease = lease
    this.renewedAtMs = this.options.clock.nowMs()
  }

  private async renew (): Promise<void> {
    const { store, clock, log } = this.options
    const sentAtMs = clock.nowMs()
    const { lease } = this
    const isRenewed = lease !== undefined && await store.keepLease(lease)
    // Meanwhile this node may have lost the leadership and won it again with another lease.
    if (this.lease !== lease) return
    if (isRenewed) {
      this.renewedAtMs = sentAtMs
      return
    }
    log('warn', 'lease ended', { leaseId: lease?.id, era: lease?.era })
    this.lease = undefined
    // The watch reports the removal of the leader's key, or the new leader.
    this.endTerm('the lease has ended')
  }

  private onLeaderKeyRemoved (): void {
    this.isLeaderKeyAbsent = true
    this.endTerm('the leader key was removed')
    if (this.leader) {
      this.leader = undefined
      this.options.onLeader(undefined)
    }
    void this.elect()
  }

  private async elect (): Promise<void> {
    const { store, clock, random, log, node, ip, cores, minimumLeaseMs } = this.options
    if (this.isElecting || this.isStopped) return
    this.isElecting = true
    try {
      await sleep(clock, random.next() * electionJitterMs + singleCoreDelayMs / cores)
      if (!this.isLeaderKeyAbsent || this.isStopped) return
      const sentAtMs = clock.nowMs()
      const lease = this.lease = await store.grantLease(Math.max(leaseTtlMs, minimumLeaseMs))
      const result = await store.commit({
        absent: [this.leaderKey],
        writes: [{ key: this.leaderKey, value: `${node} ${ip} ${this.incarnation}`, lease }]
      })
      // The watch may have reported a later leader before this response arrived.
      if (result.kind !== 'committed' || result.revision < this.seenRevision) return
      this.renewedAtMs = sentAtMs
      this.startTerm(result.revision)
    } catch (error) {
      // If the write took effect, the watch reports it.
      log('warn', 'election outcome unknown', { error: messageOf(error) })
    } finally {
      this.isElecting = false
    }
  }

  private startTerm (fence: number): void {
    if (this.ownFence === fence || this.isStopped) return
    this.ownFence = fence
    this.isLeaderKeyAbsent = false
    this.leader = { node: this.options.node, ip: this.options.ip, fence }
    this.options.log('info', 'placement leader is this node', { fence })
    const isOwnSuccessor = this.lastLeader === this.options.node
    this.lastLeader = this.options.node
    this.options.onOwnLeadership(fence, { isOwnSuccessor })
  }

  private endTerm (reason: string): void {
    if (this.ownFence === undefined) return
    this.options.log('info', 'no longer placement leader', { fence: this.ownFence, reason })
    this.ownFence = undefined
    this.leader = undefined
    this.options.onOwnLeadership(undefined, { isOwnSuccessor: false })
  }
}
