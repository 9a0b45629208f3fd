/**
 * Evidence that the process that began a response is the one that ended it. A process that is killed closes its connections in order,
 * as at the end of a response, and another may listen at its address before the close is read. Only a connection that was open before
 * the request was sent, and on which a question is answered after the close, shows that the process outlived its response.
 */

import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import type { BackendConnection } from './backendConnection.js'
import type { ResponseHead } from './responseReader.js'

/** Time in which a question must be answered, also over a link that has just been cut for a while. */
const answerTimeoutMs = 2500
/** A request does not wait longer for a second connection to be open. */
const maxSpareWaitMs = 50
/** Time without use after which the connection that serves as evidence is used, so that the server does not close it as idle. */
const refreshMs = 1500
/** Share of the server's idle timeout after which it is used, if that is sooner. */
const refreshShare = 0.5
const minRefreshPauseMs = 100
/** Time after the last response without a length or chunks until the servers of its service count as ones that send none. */
const unframedMemoryMs = 600_000
/** Successful responses with a length or chunks until they count as ones that send none, if there was none. */
const minFramedResponses = 20
/** Streams in chunks until the others are expected to come so, too. */
const minChunkedStreams = 8

/** A call that every server answers at once, whatever its state. */
export interface LivenessQuestion {
  method: string
  bytes: Buffer
  /** Whether the response belongs to a call, and not to an earlier request. */
  accepts: (head: ResponseHead) => boolean
}

/** What the evidence needs of a pool of connections to one server. */
export interface WitnessPool {
  /** Idle connections, least recently used first. */
  readonly idle: readonly BackendConnection[]
  readonly open: ReadonlySet<BackendConnection>
  /** Opens a connection that becomes idle. Resolves when it is open or has failed. */
  openSpare (): Promise<void>
  /** Removes a connection from the idle ones. Returns false if it is not idle. */
  claim (connection: BackendConnection): boolean
}

/** Whether the servers of a service send responses without a length or chunks. What one of them does is expected of the others. */
export class FramingRecord {
  private lastUnframedAtMs = -Infinity
  private framedResponses = 0
  private chunkedStreams = 0
  private lastUnchunkedStreamAtMs = -Infinity

  constructor (private readonly clock: Clock) {}

  onFramed (): void {
    this.framedResponses++
  }

  onUnframed (): void {
    this.lastUnframedAtMs = this.clock.nowMs()
  }

  onStream ({ isChunked }: Pick<ResponseHead, 'isChunked'>): void {
    if (isChunked) this.chunkedStreams++
    else this.lastUnchunkedStreamAtMs = this.clock.nowMs()
  }

  /** Whether streams come in chunks, as far as is known. */
  get hasChunkedStreams (): boolean {
    return this.chunkedStreams >= minChunkedStreams && this.clock.nowMs() - this.lastUnchunkedStreamAtMs > unframedMemoryMs
  }

  get hasUnframed (): boolean {
    return this.clock.nowMs() - this.lastUnframedAtMs <= unframedMemoryMs
  }

  get mayBeUnframed (): boolean {
    return this.framedResponses < minFramedResponses || this.hasUnframed
  }
}

interface PendingEnd {
  /** Order of the request. */
  sentAt: number
  resolve: (isProved: boolean) => void
}

export class ProcessEvidence {
  private readonly clock: Clock
  private readonly pool: WitnessPool
  private readonly questionOf: () => LivenessQuestion | undefined
  /** Number of connections opened and requests sent so far, which orders them. */
  private order = 0
  private readonly framing: FramingRecord
  private spare: Promise<void> | undefined
  private readonly pendingEnds = new Set<PendingEnd>()
  private asked: BackendConnection | undefined
  private isRefreshing = false

  constructor (
    { clock, pool, questionOf, framing }: { clock: Clock, pool: WitnessPool, questionOf: () => LivenessQuestion | undefined, framing: FramingRecord }
  ) {
    this.clock = clock
    this.framing = framing
    this.pool = pool
    this.questionOf = questionOf
  }

  /** Order of what happens now: a connection is open, or a request is about to be sent. */
  nextOrder (): number {
    return ++this.order
  }

  /** Whether a response without a length or chunks is to be expected. */
  private get isWanted (): boolean {
    return this.framing.mayBeUnframed && this.questionOf() !== undefined
  }

  /** The idle connection that must not carry requests, since it serves as evidence for those in progress. */
  get reserved (): BackendConnection | undefined {
    return this.isWanted && this.isInUse ? this.firstIdle : undefined
  }

  private get isInUse (): boolean {
    for (const { isBusy } of this.pool.open) if (isBusy) return true
    return false
  }

  /** Provides for evidence on what is about to be sent on `connection`. It must not be sent before the promise resolves. */
  prepare (connection: BackendConnection, { isRequest, isRepeatable }: { isRequest: boolean, isRepeatable: boolean }): Promise<void> | undefined {
    if (!this.isWanted && (isRepeatable || !this.questionOf())) return undefined
    if (this.isWanted) void this.refreshWhileInUse()
    if (this.pool.idle.some(other => other !== connection && other.isConnected)) return undefined
    // Before the first response, only a request that would have the only connection gets a second one.
    const isFirst = isRequest && ![...this.pool.open].some(other => other !== connection && other.isConnected)
    if (!this.framing.hasUnframed && isRepeatable && !isFirst) return undefined
    void this.refreshWhileInUse()
    return this.openSpareInTime()
  }

  private openSpareInTime (): Promise<void> {
    return Promise.race([this.openSpare(), sleep(this.clock, maxSpareWaitMs)])
  }

  private openSpare (): Promise<void> {
    this.spare ??= this.pool.openSpare().finally(() => { this.spare = undefined })
    return this.spare
  }

  /**
   * A response has begun on `connection` to what was sent at `sentAt`, so its process was alive then. Connections that were opened
   * between its own and that request lead to the same process.
   */
  onHead (connection: BackendConnection, head: ResponseHead, { sentAt, isRequest }: { sentAt: number, isRequest: boolean }): void {
    for (const other of this.pool.open) {
      if (other.processSince > connection.processSince && other.processSince < sentAt) other.processSince = connection.processSince
    }
    if (head.endsWithConnection) {
      this.framing.onUnframed()
      void this.refreshWhileInUse()
    } else if (isRequest && head.status >= 200 && head.status < 300) this.framing.onFramed()
  }

  /** Whether the process to which a request was sent at `sentAt` is alive now. Resolves with false if nothing shows it in time. */
  isProcessAlive (sentAt: number): Promise<boolean> {
    return new Promise(resolve => {
      const end: PendingEnd = {
        sentAt,
        resolve: isProved => {
          cancel()
          this.pendingEnds.delete(end)
          resolve(isProved)
        }
      }
      const cancel = this.clock.setTimer(answerTimeoutMs, () => end.resolve(false))
      this.pendingEnds.add(end)
      void this.askForEnds()
    })
  }

  /** Asks one question for all ends that wait for evidence, until none is left or no connection can show anything. */
  private async askForEnds (): Promise<void> {
    while (this.pendingEnds.size > 0 && !this.asked) {
      const ends = [...this.pendingEnds]
      const witness = this.questionOf() && this.witnessFor(Math.min(...ends.map(({ sentAt }) => sentAt)))
      const provable = witness ? ends.filter(({ sentAt }) => witness.processSince < sentAt) : []
      for (const end of ends) if (!provable.includes(end)) end.resolve(false)
      if (witness && provable.length > 0 && await this.ask(witness)) for (const end of provable) end.resolve(true)
    }
  }

  /** The most recently used idle connection to a process that was there before `sentAt`, or else the one that was there first. */
  private witnessFor (sentAt: number): BackendConnection | undefined {
    return this.pool.idle.findLast(({ processSince }) => processSince < sentAt) ?? this.firstIdle
  }

  /** The idle connection whose process is known for the longest time. */
  private get firstIdle (): BackendConnection | undefined {
    return this.pool.idle.reduce<BackendConnection | undefined>((first, other) => first && first.processSince <= other.processSince ? first : other, undefined)
  }

  private async ask (witness: BackendConnection): Promise<boolean> {
    const question = this.questionOf()
    if (!question || this.asked) return false
    // The answer may close this connection, and shows that another one leads to the same process.
    if (this.pool.idle.length === 1 && this.isInUse) await this.openSpareInTime()
    if (this.asked || !this.pool.claim(witness)) return false
    this.asked = witness
    const isAnswered = await witness.ask(question, { timeoutMs: answerTimeoutMs })
    this.asked = undefined
    return isAnswered
  }

  /** Keeps a connection from being closed as idle while a response may end that needs it. */
  private async refreshWhileInUse (): Promise<void> {
    if (this.isRefreshing) return
    this.isRefreshing = true
    while (this.isWanted && this.isInUse) {
      const witness = this.firstIdle
      const periodMs = Math.min(refreshMs, (witness?.keepAliveMs ?? Infinity) * refreshShare)
      const idleMs = witness ? this.clock.nowMs() - witness.idleSinceMs : 0
      if (witness && !this.asked && idleMs >= periodMs) {
        await this.ask(witness)
        void this.askForEnds()
      }
      await sleep(this.clock, Math.max(minRefreshPauseMs, periodMs - idleMs))
    }
    this.isRefreshing = false
  }
}
