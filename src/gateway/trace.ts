/** What happened to recent requests, for `teaselrill explain`. */

import type { Clock } from '../base/clock.js'

/** One step of a request, with the time since its arrival. */
export interface TraceStep {
  afterMs: number
  step: string
  detail: string
}

/** The steps of one request. */
export class RequestTrace {
  readonly steps: TraceStep[] = []
  /** Status and outcome told to the caller; empty while in progress. */
  told = ''

  constructor (private readonly clock: Clock, readonly requestId: string, readonly arrivedAtMs: number) {}

  add (step: string, detail: string): void {
    this.steps.push({ afterMs: this.clock.nowMs() - this.arrivedAtMs, step, detail })
  }
}

// At about 2 KB for a trace this is 4 MB of the node's 64 MB for control.
const maxTraces = 2000

/** A bounded ring of traces; the oldest goes first. */
export class TraceStore {
  private readonly traces = new Map<string, RequestTrace>()

  constructor (private readonly clock: Clock) {}

  start (requestId: string): RequestTrace {
    const trace = new RequestTrace(this.clock, requestId, this.clock.nowMs())
    this.traces.set(requestId, trace)
    if (this.traces.size > maxTraces) {
      const [oldest] = this.traces.keys()
      this.traces.delete(oldest!)
    }
    return trace
  }

  /** The trace as plain data, or `undefined` if this node does not know the request. */
  explain (requestId: string): { requestId: string, arrivedAtMs: number, told: string, steps: TraceStep[] } | undefined {
    const trace = this.traces.get(requestId)
    if (!trace) return undefined
    const { arrivedAtMs, told, steps } = trace
    return { requestId, arrivedAtMs, told, steps }
  }
}
