/** Translations that the platform's adapter passes to the serving node. They decide nothing. */

import type { PromptPart } from '../policy/dispatchDesk.js'
import type { BackendEntry, Deployment, EngineCommand, EngineReport, CommandOutcome } from './deployment.js'
import type { ResponseHead } from './responseReader.js'

export type { PromptPart }

/** What a request says of itself. */
export interface RequestFacts {
  /** Absent if the client sent none or an unusable one. */
  requestId: string | undefined
  /** Time that the client waits, from its sending. */
  deadlineMs: number | undefined
  model: string | undefined
  adapter: string | undefined
  promptTokens: number
  /** Expected output tokens. */
  outputTokens: number
  /** Prompt parts that other requests share, in order. */
  sharedParts: PromptPart[]
  lastEventId: number | undefined
}

/** What the node adds to a request that it forwards. */
export interface ForwardOptions {
  backendId: string
  deadlineMs: number
  /** Engines only: 0 runs first. */
  rank: number | undefined
  /** The stream goes on after this event. */
  lastEventId: number | undefined
  /** Place at the engine that is reserved for the request. */
  holdId?: string | undefined
}

export interface ResponseFacts {
  requestId: string | undefined
  /** The backend server signed the response. */
  isSigned: boolean
  /** The backend server states that it did not run the request. */
  isNotRun: boolean
  /** Another backend server has the address, or the model is not loaded. */
  isMisdirected: boolean
  /** The body is encoded, which no backend server does. */
  isEncoded: boolean
}

export interface ControlCall {
  method: string
  path: string
  headers: string[]
  body: string
}

export interface Codecs {
  readRequest (headers: Record<string, string | string[] | undefined>): RequestFacts
  /** Headers for the backend server: the client's own except those of one connection or of the system, and the node's. */
  forwardHeaders (rawHeaders: readonly string[], options: ForwardOptions): string[]
  readResponse (head: ResponseHead): ResponseFacts
  /** Headers for the client: all of the backend server's except those of one connection. */
  returnHeaders (head: ResponseHead): string[]
  /** Keys of the store. */
  keys: { deployment: string, backends: string, own: string }
  /** Returns the mistake if the text is not a deployment. */
  readDeployment (text: string): Deployment | Error
  readBackend (id: string, text: string): BackendEntry | Error
  orderCall (backendId: string, order: EngineCommand): ControlCall
  readOrderOutcome (status: number): CommandOutcome
  /** Asks an engine to reserve a place and memory for `tokens`. */
  holdCall (backendId: string, tokens: number, ttlMs: number): ControlCall
  /** The ID of the reserved place. */
  readHold (text: string): string | Error
  dropHoldCall (backendId: string, holdId: string): ControlCall
  reportCall: ControlCall
  readReport (text: string): EngineReport | Error
}
