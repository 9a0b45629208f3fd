/** What is logged and counted of each request. */

import type { PromptPart } from '../policy/dispatcher.js'
import type { ClientFraming } from './clientExchange.js'
import type { Route } from './deployment.js'

/** One attempt of a request, as it is logged. */
export interface AttemptTrace {
  /** Time from the request's arrival to the start of the attempt. */
  afterMs: number
  backend: string
  /** Whether the placement leader chose the server at once or from its queue, or this node did. */
  chosenBy: 'leader' | 'queue' | 'node'
  /** Requests of this node in progress on the server. */
  running: number
  /** Requests of the other nodes in progress on the server, as last received. */
  runningElsewhere: number
  /** Number of other servers that could have accepted the request. */
  alternatives: number
  /** Learned delay factor of the server for the model or service, and limit of requests in progress; absent where capacity is not learned. */
  delayFactor?: number
  limit?: number
  result: string
  /** Events of this attempt that were sent to the client. */
  events?: number
  /** Time from the first of them to the end of the attempt. */
  writingMs?: number
  /** The response had neither a length nor chunks. */
  isUnframed?: true
}

export interface RequestRecord {
  route: string
  service: string
  kind: Route['kind']
  outcome: string
  status: number
  durationMs: number
  firstByteMs: number | undefined
  /** Longest pause between events of a stream. */
  longestGapMs: number
  /** Time spent waiting for a server. */
  waitedMs: number
  /** Part of it in the placement leader's queue; absent where there is none. */
  queuedMs?: number | undefined
  attempts: number
  /** Attempts whose response had neither a length nor chunks. */
  unframed: number
  /** How the response to the client ended, or would have; `undefined` if it came from this node. */
  framing: ClientFraming | undefined
}

const maxLoggedParts = 16
const maxLoggedPartChars = 40

/** IDs of the shared prompt parts, shortened for the log. */
export function loggedParts (parts: readonly Pick<PromptPart, 'id'>[]): string[] {
  return parts.slice(0, maxLoggedParts).map(({ id }) => id.slice(0, maxLoggedPartChars))
}
