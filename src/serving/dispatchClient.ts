/** Asks the placement leader, which sees the requests of all nodes, for an engine. */

import type { Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { DispatchAsk, DispatchChoice } from '../policy/dispatchDesk.js'
import { encodeDispatchRequest } from './peerMessages.js'
import type { DispatchRequestMessage } from './peerMessages.js'

/** A round trip between regions takes a third of it. A request without an answer goes where this node would send it. */
const answerTimeoutMs = 70
/** Time for which a leader that did not answer is not asked. */
const pauseMs = 400

export interface DispatchClientOptions {
  clock: Clock
  /** Sends the message, or returns false if there is no connection. */
  send (message: DispatchRequestMessage): boolean
}

export class DispatchClient {
  private readonly clock: Clock
  private readonly send: (message: DispatchRequestMessage) => boolean
  private readonly pending = new Map<number, (choice: DispatchChoice | undefined) => void>()
  private nextNumber = 1
  private pausedUntilMs = 0
  /** Questions without an answer in time. */
  timeouts = 0

  constructor ({ clock, send }: DispatchClientOptions) {
    this.clock = clock
    this.send = send
  }

  /** The leader's choice, or `undefined` if it does not answer in time. */
  ask (ask: DispatchAsk): Promise<DispatchChoice | undefined> {
    if (this.clock.nowMs() < this.pausedUntilMs) return Promise.resolve(undefined)
    const number = this.nextNumber++
    if (!this.send({ ask: number, ...encodeDispatchRequest(ask) })) return Promise.resolve(undefined)
    return new Promise(resolve => {
      const cancel = this.clock.setTimer(answerTimeoutMs, () => { void this.onTimeout(number) })
      this.pending.set(number, choice => {
        cancel()
        resolve(choice)
      })
    })
  }

  onAnswer (number: number, choice: DispatchChoice | undefined): void {
    const resolve = this.pending.get(number)
    this.pending.delete(number)
    resolve?.(choice)
  }

  private async onTimeout (number: number): Promise<void> {
    // The answer may have come while this process did not run.
    await ioTurn()
    if (!this.pending.has(number)) return
    this.timeouts++
    this.pausedUntilMs = this.clock.nowMs() + pauseMs
    this.onAnswer(number, undefined)
  }

  /** The connection to the leader is gone. */
  onLost (): void {
    for (const number of [...this.pending.keys()]) this.onAnswer(number, undefined)
  }
}
