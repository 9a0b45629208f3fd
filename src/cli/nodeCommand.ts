/** `teaselrill node`: runs a node until a signal. */

import { messageOf } from '../base/errors.js'
import { createLog } from '../base/log.js'
import { parseSettings } from '../config/settings.js'
import type { startNode } from '../node/nodeDaemon.js'
import { exitFailure, exitOk } from './commandErrors.js'
import { readInput, requiredText, requireNoErrors } from './options.js'
import type { CommandOptions } from './options.js'

/** What the command takes from its process; tests pass their own. */
interface NodeProcess {
  start: typeof startNode
  on (signal: NodeJS.Signals, listener: () => void): unknown
  exit (code: number): void
}

const ownProcess: NodeProcess = {
  // Loaded when needed, so that the other commands start without the daemon's modules.
  start: async (settings, options) => (await import('../node/nodeDaemon.js')).startNode(settings, options),
  on: (signal, listener) => process.on(signal, listener),
  exit: code => process.exit(code)
}

/** Resolves with the exit code when the node has stopped. A second signal ends the process at once. */
export async function runNode (options: CommandOptions, { start, on, exit }: NodeProcess = ownProcess): Promise<number> {
  const file = requiredText(options, 'settings')
  const { settings, findings } = parseSettings(readInput(file), { file })
  requireNoErrors(findings)
  const log = createLog({ node: settings!.node.name }, { level: settings!.node.logLevel })
  // Signals are taken from the start, so that one during startup is not lost.
  const signalled = firstSignal(on, () => {
    log('warn', 'second signal, exiting at once')
    exit(exitFailure)
  })
  try {
    const node = await start(settings!, { log })
    const { callersAddress, operatorsAddress, peersAddress } = node
    log('info', 'node started', { callersAddress, operatorsAddress, peersAddress })
    log('info', 'graceful shutdown', { signal: await signalled })
    await node.stop()
    log('info', 'node stopped')
    return exitOk
  } catch (error) {
    log('error', 'node failed', { error: messageOf(error) })
    return exitFailure
  }
}

function firstSignal (on: NodeProcess['on'], onSecond: () => void): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    let received = false
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      on(signal, () => {
        if (received) return onSecond()
        received = true
        resolve(signal)
      })
    }
  })
}
