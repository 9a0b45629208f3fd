/** What a case leaves behind for the checker: what callers and operators were told, and what the outside saw. */

import type { ProposalResult } from '../config/proposal.js'
import type { MemoryViolation } from '../standins/engine.js'

/** One request of a caller, with the answer. */
export interface CallerRecord {
  /** Unique for the wish of a caller; repeats under the same key share it. */
  wish: string
  node: string
  kind: 'inference' | 'order'
  model: string
  prompt: string
  maxTokens: number
  stream: boolean
  key: string | undefined
  sentAtMs: number
  answeredAtMs?: number
  requestId?: string
  status?: number
  /** `complete`: a whole answer, or a stream with `[DONE]`; `cut`: aborted; `ended`: a stream that ended without `[DONE]` and was not aborted. */
  result?: 'complete' | 'cut' | 'ended' | 'not-run' | 'unknown' | 'failed' | 'refused' | 'given-up' | 'rejected'
  text?: string
  detail?: string
}

/** One execution of an order, or one request that reached an engine. */
export interface RunRecord {
  server: string
  requestId: string
  /** Path of an order; empty for inference. */
  path: string
  atMs: number
  endMs?: number
  result?: string
}

/** New work that arrived at a backend server, also if the server refused it. */
export interface ArrivalRecord { server: string, atMs: number, sentAtMs: number, node: string }

/** A graceful shutdown. `shownAtMs`: when its status, or the VM list, first showed it. */
export interface DrainRecord { name: string, kind: 'server' | 'node', atMs: number, shownAtMs?: number, endedAtMs?: number, openAtEnd?: number }

export interface AppliedRecord { process: string, node: string, version: number, text: string, atMs: number }
export interface AcceptedRecord { version: number, proposalId: string, text: string, atMs: number }
export interface ProposalRecord { proposalId: string, node: string, atMs: number, result?: ProposalResult['kind'], version?: number }
export interface ProcessRecord { process: string, node: string, region: string, availabilityZone: string, startedAtMs: number, readyAtMs?: number, endedAtMs?: number, drained: boolean }
export interface ProbeRecord { target: string, startedAtMs: number, servedAtMs?: number, lastResult?: string }
/** A fault that may cut requests by itself, from a time on. `name` is a process, a server or a place. */
export interface DisturbanceRecord { name: string, atMs: number, untilMs: number }

export interface CaseRecord {
  faultsEndMs: number
  endMs: number
  overcommitments: (MemoryViolation & { engine: string })[]
  callers: CallerRecord[]
  runs: RunRecord[]
  arrivals: ArrivalRecord[]
  drains: DrainRecord[]
  applied: AppliedRecord[]
  accepted: AcceptedRecord[]
  proposals: ProposalRecord[]
  processes: ProcessRecord[]
  probes: ProbeRecord[]
  disturbances: DisturbanceRecord[]
  /** Versions (`NAME@VERSION`) that any accepted configuration named, by model. */
  versions: Record<string, string[]>
  /** Base models of adapters. */
  baseModels: Record<string, string>
}
