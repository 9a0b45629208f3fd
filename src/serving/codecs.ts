/** Interface of the platform adapter: translations between the wire format and the types of the serving node. Contains no policy. */

import type { PromptPart } from '../policy/dispatcher.js'
import type { BackendEntry, Deployment, EngineCommand, EngineReport, CommandOutcome, Service } from './deployment.js'
import type { ResponseHead } from './responseReader.js'

export type { PromptPart }

/** Metadata of a client request, from its headers. */
export interface RequestMetadata {
  /** Absent if the client sent none or an invalid one. */
  requestId: string | undefined
  /** Time that the client waits, counted from when it sent the request. */
  deadlineMs: number | undefined
  model: string | undefined
  adapter: string | undefined
  promptTokens: number
  /** Expected output tokens. */
  outputTokens: number
  /** Prompt and maximum output tokens as the client states them; `undefined` if it states neither. */
  statedTokens: number | undefined
  /** Prompt parts that are shared with other requests, in order. */
  sharedParts: PromptPart[]
  lastEventId: bigint | undefined
  /** ID of the request whose answer brought the first event of the stream that this one takes up, if the client names it. */
  resumes: string | undefined
  /** Whether the client has events of a stream and wants its rest. */
  isTakeUp: boolean
  /** Key of the client's account, which must not be logged. */
  key: string | undefined
}

/** Values that the node adds to a forwarded request. */
export interface ForwardOptions {
  backendId: string
  deadlineMs: number
  /** Engines only; 0 runs first. */
  rank: number | undefined
  /** ID of the event after which the stream resumes. */
  lastEventId: bigint | undefined
  /** ID of the slot that the engine has reserved for the request. */
  reservationId?: string | undefined
  /** Name of the account for which the request runs. */
  account?: string | undefined
}

export interface ResponseMetadata {
  requestId: string | undefined
  /** The backend server signed the response. */
  isSigned: boolean
  /** The backend server states that it did not run the request. */
  isNotRun: boolean
  /** Another backend server uses the address, or the model is not loaded. */
  isMisdirected: boolean
  /** The body has a content encoding, which backend servers never use. */
  isEncoded: boolean
  /** The backend server is about to exit. */
  isLeaving: boolean
  /** Pause that a backend server requests when it rejects a request. */
  requestedPause: RequestedPause | undefined
}

/** Time for which a backend server wants no more requests from this node, or the header value if it is not a number of seconds. */
export type RequestedPause = { ms: number } | { unreadable: string }

export interface ControlRequest {
  method: string
  path: string
  headers: string[]
  body: string
}

export interface Codecs {
  readRequest (headers: Record<string, string | string[] | undefined>): RequestMetadata
  /** What servers get of a request, apart from its ID and times: the same whenever a client sends the same request again. */
  contentOf (request: { method: string, path: string, headers: Record<string, string | string[] | undefined> }): string
  /** A client's headers without its key and without an account's name, which only the node states. */
  withoutAccount (rawHeaders: readonly string[]): string[]
  /** Headers for the backend server: the client's, without hop-by-hop headers and those reserved for the system, plus the node's own. */
  forwardHeaders (rawHeaders: readonly string[], options: ForwardOptions): string[]
  readResponse (head: ResponseHead): ResponseMetadata
  /** Headers for the client: the backend server's, without hop-by-hop headers. */
  returnHeaders (head: ResponseHead): string[]
  /** Keys and key prefixes in the store. */
  keys: { deployment: string, backends: string, own: string }
  /** Returns an `Error` if the text is not a valid deployment. */
  readDeployment (text: string): Deployment | Error
  readBackend (id: string, text: string): BackendEntry | Error
  commandRequest (backendId: string, command: EngineCommand): ControlRequest
  readCommandOutcome (status: number): CommandOutcome
  /** Request to an engine to reserve a slot, and memory for `tokens`, for `ttlMs`. */
  reservationRequest (backendId: string, tokens: number, ttlMs: number): ControlRequest
  /** Returns the ID of the reservation. */
  readReservation (text: string): string | Error
  releaseRequest (backendId: string, reservationId: string): ControlRequest
  reportRequest: ControlRequest
  /** A call that a server of the service answers while its process is alive; `undefined` if there is none. */
  livenessRequest (service: Service): ControlRequest | undefined
  readReport (text: string): EngineReport | Error
}
