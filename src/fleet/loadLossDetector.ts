/** Notices loads that never reached the engine. */

import { UnknownOutcomeError } from '../base/errors.js'
import type { Clock } from '../base/clock.js'
import type { EngineStatus } from '../external/engine.js'

/** A status may lag behind by a second, and the command itself takes some time to arrive. */
const graceMs = 3_000
const missesBeforeLost = 2

interface PendingLoad {
  model: string
  sentAtMs: number
  misses: number
  reject: (error: Error) => void
}

/**
 * A load may rightly take minutes, so its time limit is long. An engine that is asked after the send and shows no trace
 * of the model has not got the command, or has failed it without an answer.
 */
export class LoadLossDetector {
  private pending: PendingLoad | undefined

  constructor (private readonly clock: Clock, private readonly engine: string) {}

  /** Settles as `call` does, or rejects with `UnknownOutcomeError` as soon as statuses show that the model is not loading. */
  async run<T> (model: string, call: () => Promise<T>): Promise<T> {
    const lost = new Promise<never>((_resolve, reject) => {
      this.pending = { model, sentAtMs: this.clock.nowMs(), misses: 0, reject }
    })
    const { pending } = this
    try {
      return await Promise.race([call(), lost])
    } finally {
      if (this.pending === pending) this.pending = undefined
    }
  }

  /** Takes a status that was asked for at `askedAtMs`. */
  observe (status: EngineStatus, requestedAtMs: number): void {
    const { pending } = this
    if (!pending || requestedAtMs - pending.sentAtMs < graceMs) return
    if (status.models.some(({ name }) => name === pending.model)) {
      pending.misses = 0
    } else if (++pending.misses >= missesBeforeLost) {
      pending.reject(new UnknownOutcomeError(this.engine, `it does not load ${pending.model} ${requestedAtMs - pending.sentAtMs} ms after the command`))
    }
  }
}
