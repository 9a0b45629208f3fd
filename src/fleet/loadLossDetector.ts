/** Detects load commands that never reached the engine. */

import { UnknownOutcomeError } from '../base/errors.js'
import type { Clock } from '../base/clock.js'
import type { EngineStatus } from '../external/engine.js'

/** A status may lag behind by a second, and the command needs time to arrive. */
const graceMs = 3_000
const missesBeforeLost = 2

interface PendingLoad {
  model: string
  sentAtMs: number
  misses: number
  reject: (error: Error) => void
}

/**
 * Loads may take minutes, so their timeout is long. If statuses requested after the command was sent do not list the
 * model, the engine did not receive the command, or the load failed without a reply.
 */
export class LoadLossDetector {
  private pending: PendingLoad | undefined

  constructor (private readonly clock: Clock, private readonly engine: string) {}

  /** Settles as `call` does, or rejects with `UnknownOutcomeError` once statuses show that the model is not loading. */
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

  /** Processes a status that was requested at `requestedAtMs`. */
  observe (status: EngineStatus, requestedAtMs: number): void {
    const { pending } = this
    if (!pending || requestedAtMs - pending.sentAtMs < graceMs) return
    if (status.models.some(({ name }) => name === pending.model)) {
      pending.misses = 0
    } else if (++pending.misses >= missesBeforeLost) {
      pending.reject(new UnknownOutcomeError(this.engine, `engine does not list ${pending.model} ${requestedAtMs - pending.sentAtMs} ms after the command`))
    }
  }
}
