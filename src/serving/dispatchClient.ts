/** Sends dispatch requests to the placement leader, which considers the requests of all nodes. */

import type { Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import { encodeDispatchRequest } from './peerMessages.js'
import type { DispatchRequestMessage } from './peerMessages.js'

/** Three times the round trip between regions. Without a reply in time, this node chooses the server itself. */
const replyTimeoutMs = 70
/** Time without dispatch requests after the leader did not reply in time. */
const unresponsivePauseMs = 400

export interface DispatchClientOptions {
  clock: Clock
  /** Sends the message, or returns false if there is no connection. */
  send (message: DispatchRequestMessage): boolean
}

export class DispatchClient {
  private readonly clock: Clock
  private readonly send: (message: DispatchRequestMessage) => boolean
  private readonly pending = new Map<number, (decision: DispatchDecision | undefined) => void>()
  private nextNumber = 1
  private pausedUntilMs = 0
  /** Dispatch requests without a reply in time. */
  timeouts = 0
  /** Number of the last assignment received from the current leader; 0 if none. */
  lastAssignment = 0

  constructor ({ clock, send }: DispatchClientOptions) {
    this.clock = clock
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
        resolve(decision)
      })
    })
  }

  onReply (number: number, decision: DispatchDecision | undefined): void {
    this.onDecision(decision)
    const resolve = this.pending.get(number)
    this.pending.delete(number)
    resolve?.(decision)
  }

  /** Notes the number of the assignment: the next report to the leader covers it. */
  onDecision (decision: DispatchDecision | undefined): void {
    if (decision?.kind === 'engine') this.lastAssignment = Math.max(this.lastAssignment, decision.assignment ?? 0)
  }

  private async onTimeout (number: number): Promise<void> {
    // The reply may have arrived while the event loop was blocked.
    await ioTurn()
    if (!this.pending.has(number)) return
    this.timeouts++
    this.pausedUntilMs = this.clock.nowMs() + unresponsivePauseMs
    this.onReply(number, undefined)
  }

  /** Completes all pending requests without a decision, since the connection to the leader was lost. */
  onLost (): void {
    this.lastAssignment = 0
    for (const number of [...this.pending.keys()]) this.onReply(number, undefined)
  }
}
