/** Estimates the shortest time that a request takes on an engine, from the requests of its model that have ended lately. */

import type { Clock } from '../base/clock.js'

const maxSamples = 64
/** With fewer samples, nothing is assumed. */
const minimumSamples = 16
/** Older samples may be of engines at another speed. */
const maxSampleAgeMs = 10_000
/** Quantile of the time per expected output token. Attempts that were rejected or broken off, and short outputs, lie below it. */
const lowQuantile = 0.1
/** Samples with less than this part of the request's expected tokens do not count: the fixed cost of a request is most of the time of a short one. */
const minimumTokenShare = 0.25
/** Part of that which counts: engines become faster when they run fewer requests. */
const certainShare = 0.7

/** Time for which a list of the samples by speed is used. */
const refreshMs = 100

interface Sample {
  atMs: number
  outputTokens: number
  msPerToken: number
}

interface ModelSamples {
  /** Time per expected output token of requests that have ended, oldest first. */
  samples: Sample[]
  /** The recent ones, fastest first. */
  bySpeed: Sample[]
  sortedAtMs: number
}

export class LeastRunTime {
  private readonly models = new Map<string, ModelSamples>()

  constructor (private readonly clock: Clock) {}

  /** A request has ended `durationMs` after its assignment. */
  record (model: string, outputTokens: number, durationMs: number): void {
    if (outputTokens <= 0) return
    const known = this.models.get(model) ?? { samples: [], bySpeed: [], sortedAtMs: -Infinity }
    known.samples.push({ atMs: this.clock.nowMs(), outputTokens, msPerToken: durationMs / outputTokens })
    if (known.samples.length > maxSamples) known.samples.shift()
    this.models.set(model, known)
  }

  /** Time that a request with so many expected output tokens takes at least; 0 if it is not known. */
  of (model: string, outputTokens: number): number {
    const known = this.models.get(model)
    if (!known) return 0
    const nowMs = this.clock.nowMs()
    if (nowMs - known.sortedAtMs >= refreshMs) {
      known.sortedAtMs = nowMs
      known.bySpeed = known.samples.filter(({ atMs }) => nowMs - atMs <= maxSampleAgeMs).sort((left, right) => left.msPerToken - right.msPerToken)
    }
    const comparable = known.bySpeed.filter(sample => sample.outputTokens >= outputTokens * minimumTokenShare)
    return comparable.length < minimumSamples ? 0 : comparable[Math.floor(comparable.length * lowQuantile)]!.msPerToken * certainShare * outputTokens
  }

  /** Drops the models without recent samples. */
  expire (): void {
    const sinceMs = this.clock.nowMs() - maxSampleAgeMs
    for (const [model, { samples }] of this.models) if (samples.at(-1)!.atMs < sinceMs) this.models.delete(model)
  }
}
