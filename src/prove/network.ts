/** Links between places, and messages between nodes over them. */

import { sleep, withTimeout } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { CallError, messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import type { PeerHandler, PeerMessage, PeerNetwork } from '../protocol/messages.js'
import type { SimulatedProcess } from './simulatedProcess.js'

export interface Place { region: string, availabilityZone: string }

const zoneLatencyMs = 0.5
const regionLatencyMs = 6
// A connection to a place that is cut off is given up after this time, before anything was sent.
const connectTimeoutMs = 1_000

/** What happens to the connection of one call. */
export type Cut = 'before' | 'during' | 'after'

/** Knows which places reach each other. */
export class Topology {
  private readonly isolated = new Set<string>()
  private waiting: { from: Place, to: Place, wake: () => void }[] = []

  constructor (private readonly clock: Clock) {}

  /** Cuts a region or an availability zone off from all others. */
  isolate (name: string): void {
    this.isolated.add(name)
  }

  heal (): void {
    this.isolated.clear()
    const waiting = this.waiting
    this.waiting = []
    for (const { wake } of waiting) wake()
  }

  isOpen (from: Place, to: Place): boolean {
    return ![...this.isolated].some(name => isIn(from, name) !== isIn(to, name))
  }

  /** Calls `callback` after `delayMs` whatever becomes of the processes. */
  delay (delayMs: number, callback: () => void): void {
    this.clock.setTimer(delayMs, callback)
  }

  latencyMs (from: Place, to: Place): number {
    return from.region === to.region ? zoneLatencyMs : regionLatencyMs
  }

  /** Resolves when bytes that are on their way can arrive: retransmissions wait for the end of a partition. */
  async whenOpen (from: Place, to: Place): Promise<void> {
    while (!this.isOpen(from, to)) await new Promise<void>(resolve => this.waiting.push({ from, to, wake: resolve }))
  }

  /**
   * One call from a process to a server. The caller's process may be paused or killed before the send and before the
   * reply. Rejects with `NotRunError` if nothing was sent.
   */
  async call<T> (
    { process, from, to, target, cut }: { process: SimulatedProcess, from: Place, to: Place, target: string, cut: Cut | undefined },
    run: () => Promise<T>
  ): Promise<T> {
    await process.turn()
    return process.receive(this.transfer(from, to, target, cut, run))
  }

  private async transfer<T> (from: Place, to: Place, target: string, cut: Cut | undefined, run: () => Promise<T>): Promise<T> {
    if (cut === 'before') throw new NotRunError(target, 'connection refused')
    if (!this.isOpen(from, to)) {
      await sleep(this.clock, connectTimeoutMs)
      throw new NotRunError(target, 'no connection')
    }
    await sleep(this.clock, this.latencyMs(from, to))
    await this.whenOpen(from, to)
    if (cut === 'during') throw new UnknownOutcomeError(target, 'the connection was cut during the send')
    let result: T
    try {
      result = await run()
    } finally {
      await this.whenOpen(to, from)
      if (cut !== 'after') await sleep(this.clock, this.latencyMs(from, to))
    }
    if (cut === 'after') throw new UnknownOutcomeError(target, 'the connection was cut before the reply')
    return result
  }
}

function isIn (place: Place, name: string): boolean {
  return place.region === name || place.availabilityZone === name
}

/** Rejects with `UnknownOutcomeError` after `timeoutMs`, as the HTTP clients do. */
export function limited<T> (clock: Clock, timeoutMs: number, target: string, call: () => Promise<T>): Promise<T> {
  return withTimeout(clock, timeoutMs, call, { action: `call of ${target}` }).catch(error => {
    throw error instanceof CallError ? error : new UnknownOutcomeError(target, messageOf(error), { cause: error })
  })
}

/** Messages between nodes in one process. They are not encoded, which `tests/framing.spec.ts` covers. */
export class SimulatedNetwork {
  private readonly receivers = new Map<string, { process: SimulatedProcess, place: Place, handler: PeerHandler }>()

  constructor (private readonly topology: Topology, private readonly onSend: (process: SimulatedProcess, to: string, message: PeerMessage) => Cut | undefined) {}

  listen (address: string, receiver: { process: SimulatedProcess, place: Place, handler: PeerHandler }): void {
    this.receivers.set(address, receiver)
  }

  /** The network as seen by the process at `from`. */
  of (process: SimulatedProcess, from: Place): PeerNetwork {
    return {
      request: async (to, message, { timeoutMs }) => {
        await process.turn()
        const receiver = this.receivers.get(to)
        const cut = this.onSend(process, to, message)
        return limited(process.clock, timeoutMs, to, () => this.topology.call({ process, from, to: receiver?.place ?? from, target: to, cut }, async () => {
          const current = this.receivers.get(to)
          if (!current || current.process.ended) throw new NotRunError(to, 'connection refused')
          return answered(current.process, to, async () => current.handler(message))
        }))
      }
    }
  }
}

/** What a process answers. Its connections are cut when it ends. */
export function answered<T> (process: SimulatedProcess, target: string, handle: () => Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const stopListening = process.onEnd(() => reject(new UnknownOutcomeError(target, 'the connection was cut')))
    process.enter(() => {
      handle().then(value => process.enter(() => resolve(value)), error => process.enter(() => reject(error))).finally(stopListening)
    })
  })
}
