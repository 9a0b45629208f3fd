/** Interface that decides which controller's commands to an engine take effect and accounts the engine's memory. */

import { messageOf, outcomeOf } from '../base/errors.js'
import { withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import type { CommandReply, EngineApi, EngineCommand, EngineSession, EngineStatus } from '../external/engine.js'
import type { Move } from '../protocol/messages.js'
import type { LoadLossDetector } from './loadLossDetector.js'

export type AdapterLoad = Move['loadAdapters'][number]
export interface CommandResult { accepted: boolean, reason: string }

/** Another controller has taken control of the engine. */
export class ControlLostError extends Error {
  constructor (engine: string, reason: string) {
    super(`control of ${engine} is lost: ${reason}`)
    this.name = 'ControlLostError'
  }
}

/** A command or write left the engine's state uncertain: control must be acquired again before the next command. */
export class ReacquireError extends Error {
  /** `result` is set if the command received a reply and only a later step failed. */
  constructor (action: string, cause: unknown, readonly result?: CommandResult) {
    super(`${action}: ${messageOf(cause)}`, { cause })
    this.name = 'ReacquireError'
  }
}

/** Free memory of an engine by its controller's accounting. `stickyModels` have in-doubt loads and cannot be unloaded. */
export interface MemoryAccount { freeModelBytes: number, freeAdapterBytes?: number, stickyModels: string[] }

/**
 * All asynchronous calls except `acquire` may reject with `ControlLostError` or `ReacquireError`. The caller must run
 * `acquire`, `unload`, `setRole` and `prepareAdapters` with `mayUnload` exclusively. The other calls may run
 * concurrently, except that only one `load` may run at a time.
 */
export interface CommandAuthority {
  /** Fencing token under which the node controls the engine; 0 before the first `acquire`. */
  fence (): number
  /** Incarnation for which control was acquired. */
  incarnation (): string | undefined
  /** Acquires control and returns an exact status. Rejects with `ControlLostError` or the error of the failed call. */
  acquire (): Promise<EngineStatus>
  /** Reason why the load of `move` does not fit into memory even after its unloads, or `undefined` if it fits. */
  memoryShortage (move: Move): string | undefined
  load (model: string, memoryBytes: number): Promise<CommandResult>
  unload (model: string): Promise<CommandResult>
  /** Allocates memory for all of the adapters or none. With `mayUnload`, other adapters may be unloaded to free memory. */
  prepareAdapters (adapters: readonly AdapterLoad[], options: { mayUnload: boolean }): Promise<CommandResult>
  /** Whether memory is already granted, so that the adapters may be loaded while control cannot be acquired. */
  adaptersGranted (adapters: readonly AdapterLoad[]): boolean
  loadAdapter (adapter: AdapterLoad): Promise<CommandResult>
  setRole (role: EngineStatus['role']): Promise<CommandResult>
  /** Periodic cleanup, called about twice a second. */
  maintain (): Promise<void>
  /** Whether a polled status proves that another node has control. */
  isSupersededBy (status: EngineStatus): boolean
  /** Accounting includes commands that may still take effect, so usage may exceed what the engine's status shows. */
  memoryAccount (): MemoryAccount
  /** State for the next controller. */
  handOver (): { fence: number, record: string, recordRevision: number }
}

/** Options of both command authorities. */
export interface AuthorityOptions {
  clock: Clock
  engine: EngineApi
  node: string
  /** Writer ID of this controller, unique also among earlier processes at the same address. */
  writer: number
  adapterBytes: () => number
  /** Highest fencing token of any published entry of the engine, including earlier incarnations; 0 if none. */
  publishedFence: () => number
  /** Called with the exact status in each reply. */
  onReply: (status: EngineStatus) => void
  /** Detects load commands that the engine did not receive. */
  lossDetector?: LoadLossDetector
}

export const commandTimeoutMs = {
  claim: 5_000,
  load: 120_000, // Loads wait for the rate-limited weight store.
  unload: 30_000, // The engine may finish running requests of the model first.
  loadAdapter: 10_000,
  unloadAdapter: 10_000,
  setRole: 10_000
} as const

/** Sends a command and enforces its timeout even if the session's promise never settles. */
export async function sendCommand (options: AuthorityOptions, session: EngineSession, command: EngineCommand): Promise<CommandReply> {
  const timeoutMs = commandTimeoutMs[command.kind]
  const send = () => withTimeout(options.clock, timeoutMs, () => session.command(command, { timeoutMs }), { action: `${command.kind} on ${session.engine}` })
  const { lossDetector } = options
  const reply = await (command.kind === 'load' && lossDetector ? lossDetector.run(command.model, send) : send())
  options.onReply(reply.status)
  return reply
}

export function openSession ({ clock, engine }: AuthorityOptions): Promise<EngineSession> {
  const timeoutMs = commandTimeoutMs.claim
  return withTimeout(clock, timeoutMs, () => engine.openSession({ timeoutMs }), { action: `session with ${engine.engine}` })
}

export function resultOf (reply: CommandReply): CommandResult {
  return { accepted: reply.accepted, reason: reply.refusal ?? '' }
}

/** Whether the failed call may have taken effect or may still do so. */
export function mayTakeEffect (error: unknown): boolean {
  return outcomeOf(error) === 'unknown'
}
