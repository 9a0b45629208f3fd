/** `teaselrill serve`: runs a node on the users' platform until SIGTERM. */

import { readFileSync } from 'node:fs'
import { messageOf } from '../base/errors.js'
import { createLog } from '../base/log.js'
import { SeededRandom } from '../base/random.js'
import { hash32 } from '../base/hash.js'
import { SteadyClock } from '../base/steadyClock.js'
import { ServingNode } from '../serving/servingNode.js'
import { codecs } from './httpNames.js'
import { readSettingsFile, settingsPathVariable } from './settingsFile.js'
import { StoreClient } from './storeClient.js'

const exitOk = 0
const exitFailure = 1
const exitBadInput = 2

function settingsPath (): string {
  return process.env[settingsPathVariable] ?? '/etc/teaselrill/settings.toml'
}

/** Resolves with the exit code when the node has stopped. */
export async function serve (): Promise<number> {
  const path = settingsPath()
  const startLog = createLog({}, { write: line => { process.stdout.write(line) } })
  let settings
  try {
    settings = readSettingsFile(readFileSync(path, 'utf8'), path)
  } catch (error) {
    startLog('error', 'settings are not usable', { path, error: messageOf(error) })
    return exitBadInput
  }
  const log = createLog({ node: settings.node }, { write: line => { process.stdout.write(line) } })
  const clock = new SteadyClock()
  const store = new StoreClient(settings.store.address, clock)
  // Differs at each start, so that restarted nodes spread out anew.
  const random = new SeededRandom(hash32(`${settings.node} ${process.hrtime.bigint()}`))
  const node = new ServingNode({ settings, codecs, store, clock, random, log })
  const stopped = new Promise<string>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => resolve(signal))
  })
  process.on('SIGHUP', () => log('info', 'settings file changed', { path }))
  process.on('unhandledRejection', error => log('error', 'unhandled rejection', { error: messageOf(error) }))
  try {
    await node.start()
    log('info', 'node started', { clientsAddress: settings.clientsAddress })
    log('info', 'graceful shutdown', { signal: await stopped })
    await node.stop()
    log('info', 'node stopped')
    return exitOk
  } catch (error) {
    log('error', 'node failed', { error: messageOf(error) })
    return exitFailure
  }
}
