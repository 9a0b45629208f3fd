/** A process that keeps streams open against a node or an engine, and measures when their tokens arrive. */

import { Agent, request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, initWebAssemblySync } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** What one process is told to do. */
export interface LoadJob {
  /** URLs that take turns. */
  urls: string[]
  headers: Record<string, string>
  /** `node`: streamed completions; `engine`: the engine's own interface. */
  target: 'node' | 'engine'
  model: string
  streams: number
  tokensForEach: number
  warmUpMs: number
  windowMs: number
  /** Makes request IDs of several processes different. */
  name: string
}

/** What one process measured within its window. Histograms are in microseconds, compressed. */
export interface LoadResult {
  requests: number
  tokens: number
  failures: string[]
  /** Time of the first token without the engine's own part of it. */
  firstToken: string
  /** From the generation of a token to its arrival; not for first tokens. */
  transit: string
  /** Between two tokens of a stream. */
  gaps: string
}

initWebAssemblySync()

/** Microseconds, up to a minute. */
export function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3, useWebAssembly: false })
}

export function mergeHistograms (encoded: readonly string[]): Histogram {
  const sum = newHistogram()
  for (const text of encoded) sum.add(decodeFromCompressedBase64(text))
  return sum
}

const preciseNowMs = () => performance.timeOrigin + performance.now()

class Load {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: Infinity })
  private readonly firstToken = newHistogram()
  private readonly transit = newHistogram()
  private readonly gaps = newHistogram()
  private readonly failures: string[] = []
  private requests = 0
  private tokens = 0
  private next = 0
  private measuring = false
  private ended = false

  constructor (private readonly job: LoadJob) {}

  async run (): Promise<LoadResult> {
    const { job } = this
    for (let index = 0; index < job.streams; index++) {
      // Streams start over one second, since a real load does not start at once either.
      setTimeout(() => { void this.keepStreaming() }, index * 1000 / job.streams)
    }
    await new Promise(resolve => setTimeout(resolve, job.warmUpMs))
    this.measuring = true
    await new Promise(resolve => setTimeout(resolve, job.windowMs))
    this.measuring = false
    this.ended = true
    this.agent.destroy()
    return {
      requests: this.requests,
      tokens: this.tokens,
      failures: this.failures,
      firstToken: encodeIntoCompressedBase64(this.firstToken),
      transit: encodeIntoCompressedBase64(this.transit),
      gaps: encodeIntoCompressedBase64(this.gaps)
    }
  }

  private async keepStreaming (): Promise<void> {
    while (!this.ended) {
      const failure = await this.streamOnce().catch((error: unknown) => String(error))
      if (this.ended) return
      if (failure) {
        if (this.failures.length < 20) this.failures.push(failure)
        await new Promise(resolve => setTimeout(resolve, 50))
      } else if (this.measuring) this.requests++
    }
  }

  /** Returns what was wrong with the stream, if anything. */
  private streamOnce (): Promise<string | undefined> {
    const { job } = this
    const index = this.next++
    const requestId = `${job.name}-${index}`
    const prompt = `question ${requestId}`
    const body = job.target === 'node'
      ? { model: job.model, prompt, max_tokens: job.tokensForEach, stream: true }
      : { requestId, attemptId: 'a', model: job.model, prompt, maxTokens: job.tokensForEach, priority: 2 }
    const path = job.target === 'node' ? '/v1/completions' : '/infer'
    return new Promise((resolve, reject) => {
      const sentAtMs = preciseNowMs()
      const outgoing = request(job.urls[index % job.urls.length]! + path, {
        method: 'POST', agent: this.agent, headers: { 'content-type': 'application/json', ...job.headers }
      }, answer => resolve(this.read(answer, sentAtMs)))
      outgoing.on('error', reject)
      outgoing.end(JSON.stringify(body))
    })
  }

  private read (answer: IncomingMessage, sentAtMs: number): Promise<string | undefined> {
    let rest = ''
    let count = 0
    let complete = false
    let lastAtMs = 0
    let lastGeneratedMs = 0
    let failure: string | undefined
    answer.setEncoding('latin1')
    answer.on('data', (part: string) => {
      const nowMs = preciseNowMs()
      const lines = (rest + part).split('\n')
      rest = lines.pop()!
      for (const line of lines) {
        const text = tokenOf(line)
        if (text === undefined) {
          complete ||= line === 'data: [DONE]' || line.startsWith('{"kind":"end"')
          continue
        }
        const separator = text.indexOf(':')
        const generatedMs = Number(text.slice(separator + 1))
        if (!(generatedMs >= lastGeneratedMs)) failure = `token ${count} is out of order`
        lastGeneratedMs = generatedMs
        if (this.measuring) {
          this.tokens++
          const transitMs = nowMs - generatedMs
          if (count === 0) record(this.firstToken, Number(text.slice(0, separator)) - sentAtMs + transitMs)
          else {
            record(this.transit, transitMs)
            record(this.gaps, nowMs - lastAtMs)
          }
        }
        lastAtMs = nowMs
        count++
      }
    })
    return new Promise(resolve => {
      answer.on('error', error => resolve(String(error)))
      answer.on('end', () => {
        if (answer.statusCode !== 200) resolve(`status ${answer.statusCode}: ${rest}`)
        else if (!complete || count !== this.job.tokensForEach) resolve(`the stream ended after ${count} tokens`)
        else resolve(failure)
      })
    })
  }
}

/** The stamp in a line of a stream of a node or of an engine, or `undefined` if the line has no token. */
function tokenOf (line: string): string | undefined {
  const start = line.indexOf('"text":"')
  if (start < 0) return undefined
  const end = line.indexOf(' "', start)
  return end < 0 ? undefined : line.slice(start + 8, end)
}

function record (histogram: Histogram, valueMs: number): void {
  histogram.recordValue(Math.min(60_000_000, Math.max(1, Math.round(valueMs * 1000))))
}

if (process.send) {
  process.once('message', job => {
    new Load(job as LoadJob).run().then(result => process.send!(result, () => process.exit(0)), (error: unknown) => {
      process.stderr.write(`${String(error)}\n`)
      process.exit(1)
    })
  })
}
