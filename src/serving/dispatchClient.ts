/** Sends dispatch requests to the placement leader, which considers the requests of all nodes. */

import type { Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import type { QueuePlace, SlotAnswer } from '../policy/slotQueue.js'
import { encodeDispatchRequest, encodePlace } from './peerMessages.js'
import type { NodeMessage } from './peerMessages.js'
import { QueuedSlot } from './queuedSlot.js'

/** Three times the round trip between regions. Without a reply in time, this node chooses the server itself. */
const replyTimeoutMs = 70
/** Time without dispatch requests after the leader did not reply in time. */
const unresponsivePauseMs = 400

export interface DispatchClientOptions {
  clock: Clock
  /** Timeouts in a row after which no dispatch requests are sent for a while. */
  timeoutsBeforePause?: number
  /** Sends the message, or returns false if there is no connection. */
  send (message: NodeMessage): boolean
}

interface OpenSlot {
  slot: QueuedSlot
  onFirstReply: () => void
}

export class DispatchClient {
  private readonly clock: Clock
  private readonly timeoutsBeforePause: number
  private readonly send: (message: NodeMessage) => boolean
  private readonly pending = new Map<number, (decision: DispatchDecision | undefined) => void>()
  /** Requests in the leader's queue, or on their way to it. */
  private readonly slots = new Map<number, OpenSlot>()
  private nextNumber = 1
  private timeoutsInARow = 0
  private pausedUntilMs = 0
  /** Dispatch requests without a reply in time. */
  timeouts = 0
  /** Number of the last assignment received from the current leader; 0 if none. */
  lastAssignment = 0

  constructor ({ clock, timeoutsBeforePause = 1, send }: DispatchClientOptions) {
    this.clock = clock
    this.timeoutsBeforePause = timeoutsBeforePause
    this.send = send
  }

  /** Resolves with the leader's decision, or with `undefined` if there is no connection or no reply in time. */
  requestDispatch (request: DispatchRequest): Promise<DispatchDecision | undefined> {
    if (this.clock.nowMs() < this.pausedUntilMs) return Promise.resolve(undefined)
    const number = this.nextNumber++
    if (!this.send({ ask: number, ...encodeDispatchRequest(request) })) return Promise.resolve(undefined)
    return new Promise(resolve => {
      const cancel = this.clock.setTimer(replyTimeoutMs, () => { void this.onTimeout(number) })
      this.pending.set(number, decision => {
        cancel()
        resolve(decision?.kind === 'engine' ? { ...decision, giveBack: () => this.giveBack(number) } : decision)
      })
    })
  }

  /**
   * Asks for an engine, and for a place in the leader's queue if there is none now. Resolves at the first reply, or with `undefined`
   * if there is no connection or no reply within `timeoutMs`.
   */
  requestSlot (request: DispatchRequest, place: QueuePlace, timeoutMs: number): Promise<QueuedSlot | undefined> {
    if (this.clock.nowMs() < this.pausedUntilMs) return Promise.resolve(undefined)
    const number = this.nextNumber++
    if (!this.send({ ask: number, ...encodeDispatchRequest(request), ...encodePlace(place) })) return Promise.resolve(undefined)
    const slot = new QueuedSlot({
      clock: this.clock,
      excluded: request.excluded,
      onCancel: hasRun => {
        this.slots.delete(number)
        this.send({ cancel: number, ...(hasRun ? { hasRun } : {}) })
      }
    })
    return new Promise(resolve => {
      const cancel = this.clock.setTimer(timeoutMs, () => { void this.onSlotTimeout(number, () => resolve(undefined)) })
      const onFirstReply = () => {
        cancel()
        resolve(slot)
      }
      this.slots.set(number, { slot, onFirstReply })
    })
  }

  onReply (number: number, decision: DispatchDecision | undefined): void {
    this.onDecision(decision)
    const resolve = this.pending.get(number)
    this.pending.delete(number)
    if (decision) this.timeoutsInARow = 0
    if (resolve) resolve(decision)
    else if (decision?.kind === 'engine') this.giveBack(number)
  }

  /** Tells the leader that the engine does not run the request for which it was chosen. */
  private giveBack (number: number): void {
    this.send({ cancel: number })
  }

  /** Returns whether the reply belongs to a request for a slot. An engine for a request that does not exist any more is returned. */
  onSlotReply (number: number, reply: SlotAnswer | { kind: 'queued' }): boolean {
    const open = this.slots.get(number)
    if (!open && this.pending.has(number)) return false
    this.onDecision(reply)
    if (!open) {
      if (reply.kind === 'engine') this.giveBack(number)
      return true
    }
    this.timeoutsInARow = 0
    if (reply.kind === 'queued') open.slot.wasQueued = true
    else {
      this.slots.delete(number)
      open.slot.deliver(reply)
    }
    open.onFirstReply()
    return true
  }

  /** Notes the number of the assignment: the next report to the leader covers it. */
  onDecision (decision: DispatchDecision | SlotAnswer | { kind: 'queued' } | undefined): void {
    if (decision?.kind === 'engine') this.lastAssignment = Math.max(this.lastAssignment, decision.assignment ?? 0)
  }

  private async onTimeout (number: number): Promise<void> {
    // The reply may have arrived while the event loop was blocked.
    await ioTurn()
    if (!this.pending.has(number)) return
    this.countTimeout()
    this.onReply(number, undefined)
  }

  private async onSlotTimeout (number: number, giveUp: () => void): Promise<void> {
    await ioTurn()
    const open = this.slots.get(number)
    if (!open || open.slot.wasQueued) return
    this.countTimeout()
    open.slot.cancel()
    giveUp()
  }

  private countTimeout (): void {
    this.timeouts++
    if (++this.timeoutsInARow < this.timeoutsBeforePause) return
    this.timeoutsInARow = 0
    this.pausedUntilMs = this.clock.nowMs() + unresponsivePauseMs
  }

  /** Completes all pending requests without a decision, since the connection to the leader was lost. */
  onLost (): void {
    this.lastAssignment = 0
    for (const number of [...this.pending.keys()]) this.onReply(number, undefined)
    for (const [number, { slot, onFirstReply }] of [...this.slots]) {
      this.slots.delete(number)
      slot.deliver({ kind: 'lost' })
      onFirstReply()
    }
  }
}
