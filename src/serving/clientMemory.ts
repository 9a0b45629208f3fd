/** What a node holds for its clients, and what happens when a limit is reached. */

import type { CancelTimer, Clock } from '../base/clock.js'
import type { Log } from '../base/log.js'
import { abandonedUploads, clientMemoryLimits, LingerAllowance, uploadsForRoom } from '../policy/clientMemory.js'
import type { ClientMemoryLimits, Upload } from '../policy/clientMemory.js'
import { ByteBudget } from './byteBudget.js'

/** A limit that has acted, as the metric and the log name it. */
export type ClientLimit = 'head-size' | 'body-size' | 'memory' | 'body-stall' | 'response-memory' | 'response-stall' | 'connections' | 'pipelined' | 'overhead' | 'linger'

const stallCheckMs = 500
/** One log line for each limit in this time, with the number of times that it has acted since. */
const logIntervalMs = 1000

export interface ActiveUpload extends Upload {
  /** Gives the body up and releases its bytes. */
  giveUp: () => void
}

export interface ClientMemoryOptions {
  clock: Clock
  log: Log
  limits?: ClientMemoryLimits
  budget?: ByteBudget
  onLimit?: (limit: ClientLimit) => void
}

export class ClientMemory {
  readonly limits: ClientMemoryLimits
  readonly budget: ByteBudget
  readonly clock: Clock
  private readonly uploads = new Set<ActiveUpload>()
  private readonly unlogged = new Map<ClientLimit, number>()
  private cancelCheck: CancelTimer | undefined
  private readonly linger: LingerAllowance

  constructor (private readonly options: ClientMemoryOptions) {
    const { clock, limits = clientMemoryLimits({ memoryMb: 350, maxFileDescriptors: 4100 }), budget = new ByteBudget(limits) } = options
    this.clock = clock
    this.limits = limits
    this.linger = new LingerAllowance(limits)
    this.budget = budget
    budget.releaseStalled = neededBytes => {
      for (const { giveUp } of uploadsForRoom(this.uploads, neededBytes, clock.nowMs(), limits.bodyStallWithoutRoomMs)) giveUp()
    }
  }

  /** Watches the progress of a body until the returned function is called. */
  watch (upload: ActiveUpload): () => void {
    this.uploads.add(upload)
    this.checkLater()
    return () => { this.uploads.delete(upload) }
  }

  /** Counts bytes that were read on after a refusal. Returns whether more may be read. */
  mayReadOn (bytes: number): boolean {
    const isAllowed = this.linger.take(bytes, this.clock.nowMs())
    if (!isAllowed) this.onLimit('linger')
    return isAllowed
  }

  /** Counts and logs that a limit has acted. The first line of a series names the request. */
  onLimit (limit: ClientLimit, request?: string): void {
    this.options.onLimit?.(limit)
    const count = this.unlogged.get(limit)
    if (count !== undefined) {
      this.unlogged.set(limit, count + 1)
      return
    }
    this.unlogged.set(limit, 0)
    this.log(limit, 1, request)
    const logLater = () => {
      this.clock.setTimer(logIntervalMs, () => {
        const more = this.unlogged.get(limit)!
        if (more === 0) {
          this.unlogged.delete(limit)
          return
        }
        this.unlogged.set(limit, 0)
        this.log(limit, more)
        logLater()
      })
    }
    logLater()
  }

  private log (limit: ClientLimit, count: number, request?: string): void {
    this.options.log('warn', 'client limit reached', { reason: limit, ...(request === undefined ? {} : { request }), count, heldBytes: Math.round(this.budget.bytes), uploads: this.uploads.size })
  }

  private checkLater (): void {
    this.cancelCheck ??= this.clock.setTimer(stallCheckMs, () => {
      this.cancelCheck = undefined
      for (const { giveUp } of abandonedUploads(this.uploads, this.clock.nowMs(), this.limits.bodyStallMs)) giveUp()
      if (this.uploads.size > 0) this.checkLater()
    })
  }
}
