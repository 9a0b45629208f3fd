/** Parts of the request proxy's work: what a search for a server comes to, and early refusals. */

import { ioTurn } from '../base/ioTurn.js'
import type { Verdict } from '../policy/partQuarantine.js'
import type { BackendServer } from './backendServer.js'
import type { ResponseWriter } from './clientExchange.js'
import type { AttemptResult, FailoverTarget, RequestForwarder } from './requestForwarder.js'
import type { ProxiedRequest } from './requestProxy.js'
import type { AttemptTrace } from './requestRecord.js'
import type { Reservation } from './reservation.js'
import type { Assignment, QueueWait, Selection } from './serverSelection.js'

/** What the search for the server of an attempt has come to. */
export type Search =
  | { kind: 'found', server: BackendServer, reservation?: Reservation, chosenBy: AttemptTrace['chosenBy'], trial?: string | undefined, priorMs?: number | undefined, assignment?: Assignment | undefined }
  /** With `verdict`, the request has prompt parts in quarantine. */
  | { kind: 'refused', reason: string, retryAfterMs: number, verdict?: Verdict }
  | { kind: 'left' }

/** Requests whose answer has not started are not sent on a node that is about to end. */
export const shuttingDown: Search = { kind: 'refused', reason: 'this node is shutting down', retryAfterMs: 0 }

/**
 * Refuses a request whose body has not been awaited. The parser first reads on in what has arrived, since only the connection of a
 * complete request is kept.
 */
export async function refuseEarly (writer: ResponseWriter, status: number, reason: string, retryAfterMs?: number): Promise<void> {
  await ioTurn()
  writer.sendError(status, reason, retryAfterMs)
}

/** Calls `compute` at the first call and returns its result at each. */
export function once<T> (compute: () => T): () => T {
  let result: { value: T } | undefined
  return () => (result ??= { value: compute() }).value
}

export function waitOf (request: ProxiedRequest, { lastEventAtMs, hasResponseStarted }: RequestForwarder): QueueWait {
  return { lastProgressAtMs: lastEventAtMs ?? request.arrivedAtMs, hasBegun: hasResponseStarted }
}

export function foundAt ({ reservation, chosenBy, priorMs, assignment }: FailoverTarget): Search {
  return { kind: 'found', server: reservation.server, reservation, chosenBy, priorMs, assignment }
}

export function foundBy (server: BackendServer, { chosenBy, trial, priorMs, assignment }: Selection): Extract<Search, { kind: 'found' }> {
  return { kind: 'found', server, chosenBy, trial, priorMs, assignment }
}

export function reasonOf (result: AttemptResult | undefined): string | undefined {
  return result && 'reason' in result ? result.reason : undefined
}
