/**
 * How fast engines read the prompts for each model, learnt from the first events of requests that found an engine without unread
 * prompts. Answers a mix of models of which some are read several times as fast as others: prompts for the slow ones must not
 * follow each other too soon, and those for the fast ones must not wait for engines that have read theirs long ago.
 */

import type { Clock } from '../base/clock.js'

/** Assumed until there are samples, for models of usual size. */
const usualMsPerToken = 1 / 17
/** Prompt tokens for which the assumption counts beside the samples. */
const usualWeightTokens = 3000
/** Part of the time to the first event that is not reading: the first token, one step of the batch and the network. */
const firstEventMs = 35
/** Shorter prompts say more about the rest than about reading. */
const smallestSampleTokens = 500
/** Time in which old samples lose half of their weight. */
const halfLifeMs = 15_000
/** Bounds against samples of engines or nodes that were held up. */
const fastestMsPerToken = 1 / 200
const slowestMsPerToken = 1 / 8

interface Samples {
  tokens: number
  readingMs: number
  updatedAtMs: number
}

export class ReadingSpeed {
  private readonly samples = new Map<string, Samples>()

  constructor (private readonly clock: Clock) {}

  /** Requests for the model with `tokens` unread prompt tokens got their first event `elapsedMs` after they were sent. */
  onFirstEvent (key: string, tokens: number, elapsedMs: number): void {
    if (tokens < smallestSampleTokens) return
    const samples = this.samplesOf(key)
    samples.tokens += tokens
    samples.readingMs += Math.max(0, elapsedMs - firstEventMs)
  }

  msPerToken (key: string): number {
    if (!this.samples.has(key)) return usualMsPerToken
    const { tokens, readingMs } = this.samplesOf(key)
    const mean = (readingMs + usualWeightTokens * usualMsPerToken) / (tokens + usualWeightTokens)
    return Math.min(slowestMsPerToken, Math.max(fastestMsPerToken, mean))
  }

  private samplesOf (key: string): Samples {
    const nowMs = this.clock.nowMs()
    let samples = this.samples.get(key)
    if (!samples) this.samples.set(key, samples = { tokens: 0, readingMs: 0, updatedAtMs: nowMs })
    const weight = 0.5 ** ((nowMs - samples.updatedAtMs) / halfLifeMs)
    samples.tokens *= weight
    samples.readingMs *= weight
    samples.updatedAtMs = nowMs
    return samples
  }
}
