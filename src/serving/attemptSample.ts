/** Measures one attempt of a request as a sample of its server's capacity. */

import type { Clock } from '../base/clock.js'
import type { BackendServer } from './backendServer.js'
import type { LearnedCapacity } from './learnedCapacity.js'
import type { ProxiedRequest } from './requestProxy.js'

/** Allowed pause between events for routes that do not set one; the value of the known deployments. */
const defaultGapObjectiveMs = 300

export interface AttemptSampleOptions {
  clock: Clock
  learned: LearnedCapacity
  server: BackendServer
  request: ProxiedRequest
  /** Prefill time that the leader expected with a delay factor of 1; absent if it did not choose the server. */
  priorMs: number | undefined
  /** Whether another attempt has started the stream, so that the time to the first event says nothing about the prompt. */
  isContinuation: boolean
}

export class AttemptSample {
  private readonly sentAtMs: number
  /** Requests in progress at the server, including this one. */
  private readonly inProgress: number
  private firstEventMs: number | undefined
  private lastEventAtMs = 0
  private longestGapMs = 0
  private inProgressAtGap = 0
  private wasPaused = false

  constructor (private readonly options: AttemptSampleOptions) {
    this.sentAtMs = options.clock.nowMs()
    this.inProgress = this.currentInProgress + 1
  }

  /** The client does not read: what follows is not the server's pace. */
  onPaused (): void {
    this.wasPaused = true
  }

  onEvent (): void {
    const nowMs = this.options.clock.nowMs()
    if (this.firstEventMs === undefined) this.firstEventMs = nowMs - this.sentAtMs
    else if (nowMs - this.lastEventAtMs > this.longestGapMs) {
      this.longestGapMs = nowMs - this.lastEventAtMs
      this.inProgressAtGap = this.currentInProgress
    }
    this.lastEventAtMs = nowMs
  }

  /** Adds the sample. To be called only for a complete, successful response. */
  onSuccess (): void {
    const { learned, server, request, priorMs, isContinuation, clock } = this.options
    const { route, service, metadata } = request
    if (this.wasPaused) return
    if (!service.engine) return learned.samples.onPlain({ server: server.entry.id, delayMs: clock.nowMs() - this.sentAtMs })
    if (this.firstEventMs === undefined || metadata.model === undefined) return
    learned.samples.onStream({
      server: server.entry.id,
      model: metadata.model,
      priorMs: isContinuation ? undefined : priorMs,
      firstEventMs: this.firstEventMs,
      objectiveMs: isContinuation ? Infinity : route.objectiveMs,
      longestGapMs: this.longestGapMs,
      gapObjectiveMs: route.gapObjectiveMs ?? defaultGapObjectiveMs,
      inProgress: this.inProgress,
      inProgressAtGap: this.inProgressAtGap
    })
  }

  private get currentInProgress (): number {
    return this.options.server.running + this.options.server.runningElsewhere
  }
}
