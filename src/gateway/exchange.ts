/** One caller's request on its way through the pipeline. */

import type { RequestPolicy } from '../policy/requestPolicy.js'
import type { RequestMeasure } from './burn.js'
import type { RequestTrace } from './trace.js'

/** A request as the callers' port received it. Header names are in lower case. */
export interface CallerRequest {
  method: string
  /** Path with query. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** Aborts when the caller goes away. */
  signal: AbortSignal
}

/**
 * The answer to a caller. A `body` that is an iterable is sent as it comes; if it throws, the connection is aborted,
 * so that the caller can tell a cut answer from a complete one.
 */
export interface CallerResponse {
  status: number
  headers: Record<string, string>
  body: Uint8Array | AsyncIterable<string>
}

/** What the request asks for, set by the classify filter. */
export type Work =
  | { kind: 'list-models' }
  | { kind: 'service', service: string, path: string }
  | {
    kind: 'inference'
    /** Model or adapter as the caller named it. */
    requestedModel: string
    model: string
    adapter: string | undefined
    prompt: string
    maxTokens: number
    stream: boolean
    includeUsage: boolean
    format: 'chat' | 'completion'
  }

/** State that the filters share. Fields are set by the filter named in their comment. */
export interface Exchange {
  readonly requestId: string
  readonly request: CallerRequest
  readonly arrivedAtMs: number
  readonly trace: RequestTrace
  readonly measure: RequestMeasure
  /** identify */
  customer?: string
  /** classify */
  work?: Work
  /** classify */
  terms?: RequestPolicy
  /** classify: arrival plus patience. */
  deadlineMs?: number
  /** The last filter that answers. */
  response?: CallerResponse
}

/** One step of the pipeline. It answers, or calls `next` and may look at the answer afterwards. */
export type Filter = (exchange: Exchange, next: () => Promise<void>) => Promise<void>

/** A function that runs `filters` in order. */
export function composeFilters (filters: readonly Filter[]): (exchange: Exchange) => Promise<void> {
  return exchange => {
    const run = (index: number): Promise<void> => {
      const filter = filters[index]
      return filter ? filter(exchange, () => run(index + 1)) : Promise.resolve()
    }
    return run(0)
  }
}
