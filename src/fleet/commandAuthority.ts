/** What decides which controller's commands to an engine may take effect, and how memory is accounted. */

import { messageOf, outcomeOf } from '../base/errors.js'
import { withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import type { CommandReply, EngineApi, EngineCommand, EngineSession, EngineStatus } from '../external/engine.js'
import type { Move } from '../protocol/messages.js'
import type { LoadLossDetector } from './loadLossDetector.js'

export type AdapterLoad = Move['loadAdapters'][number]
export interface CommandResult { accepted: boolean, reason: string }

/** Another controller has taken the engine. */
export class ControlLostError extends Error {
  constructor (engine: string, reason: string) {
    super(`control of ${engine} is lost: ${reason}`)
    this.name = 'ControlLostError'
  }
}

/** The outcome of a command or of a write is unknown: control must be acquired again before the next command. */
export class ReacquireError extends Error {
  /** `result` is set when the command itself was answered and only a later step failed. */
  constructor (action: string, cause: unknown, readonly result?: CommandResult) {
    super(`${action}: ${messageOf(cause)}`, { cause })
    this.name = 'ReacquireError'
  }
}

/** The memory of an engine as its controller accounts it. */
export interface MemoryAccount { freeModelBytes: number, freeAdapterBytes?: number, stickyModels: string[] }

/**
 * All calls but `acquire` may reject with `ControlLostError` or `ReacquireError`. `acquire`, `unload`, `setRole`
 * and `prepareAdapters` with `mayUnload` run while no other command is outstanding; the others may run at the same time,
 * but one `load` at a time.
 */
export interface CommandAuthority {
  /** Token under which the node controls the engine; 0 before the first `acquire`. */
  fence (): number
  /** Incarnation for which control was acquired. */
  incarnation (): string | undefined
  /** Gets control and returns an exact status. Rejects with `ControlLostError` or with the error of the failed call. */
  acquire (): Promise<EngineStatus>
  /** The reason why `move` does not fit even after its unloads, or `undefined`. */
  memoryShortage (move: Move): string | undefined
  load (model: string, memoryBytes: number): Promise<CommandResult>
  unload (model: string): Promise<CommandResult>
  /** Accounts memory for adapters, all or none. With `mayUnload`, other adapters may be unloaded for it. */
  prepareAdapters (adapters: readonly AdapterLoad[], options: { mayUnload: boolean }): Promise<CommandResult>
  /** Whether the adapters may be loaded even while control cannot be acquired. */
  adaptersGranted (adapters: readonly AdapterLoad[]): boolean
  loadAdapter (adapter: AdapterLoad): Promise<CommandResult>
  setRole (role: EngineStatus['role']): Promise<CommandResult>
  /** Called about twice a second. */
  maintain (): Promise<void>
  /** Whether a polled status proves that another node has control. */
  isSupersededBy (status: EngineStatus): boolean
  /** Memory as it is accounted, which may be more than the engine's status shows. */
  memoryAccount (): MemoryAccount
  /** The state for a successor. */
  handOver (): { fence: number, record: string, recordRevision: number }
}

/** What both arbiters need. */
export interface AuthorityOptions {
  clock: Clock
  engine: EngineApi
  node: string
  /** Distinguishes this controller from all others, also from earlier processes at the same address. */
  writer: number
  adapterBytes: () => number
  /** Highest token under which the engine's entry was published, also under an earlier incarnation; 0 if none. */
  publishedFence: () => number
  /** Called with the exact status in each reply. */
  onReply: (status: EngineStatus) => void
  /** Notices loads that the engine did not get. */
  lossDetector?: LoadLossDetector
}

export const commandTimeoutMs = {
  claim: 5_000,
  load: 120_000, // A load waits for the rate-limited weight store.
  unload: 30_000, // An engine may finish running requests of the model first.
  loadAdapter: 10_000,
  unloadAdapter: 10_000,
  setRole: 10_000
} as const

/** Sends a command within its time limit, also if the session itself never settles. */
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

/** Whether the failed call may still take effect later. */
export function mayTakeEffect (error: unknown): boolean {
  return outcomeOf(error) === 'unknown'
}
