/** The node's daemon. Only the signature; the implementation replaces this file. */

import type { Log } from '../base/log.js'
import type { Settings } from '../config/settings.js'

export interface RunningNode {
  /** Graceful shutdown; resolves when no request is in progress. */
  stop (): Promise<void>
  callersAddress: string
  operatorsAddress: string
  peersAddress: string
}

export async function startNode (settings: Settings, _options: { log: Log }): Promise<RunningNode> {
  throw new Error(`starting node "${settings.node.name}" is not implemented in this build`)
}
