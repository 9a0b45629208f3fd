/** `teaselrill serve`: runs a node on the users' platform until SIGTERM. */

import { readFileSync } from 'node:fs'
import { messageOf } from '../base/errors.js'
import { createLog } from '../base/log.js'
import type { Log } from '../base/log.js'
import { SeededRandom } from '../base/random.js'
import { hash32 } from '../base/hash.js'
import { SteadyClock } from '../base/steadyClock.js'
import { BoundedLog } from '../serving/boundedLog.js'
import { descriptorWrite, LineWriter } from '../serving/lineWriter.js'
import { ServingMetrics } from '../serving/servingMetrics.js'
import { ServingNode } from '../serving/servingNode.js'
import type { ServingSettings } from '../serving/settings.js'
import { codecs } from './httpCodecs.js'
import { readSettingsFile, settingsPathVariable } from './settingsFile.js'
import { StoreClient } from './storeClient.js'

const exitOk = 0
const exitFailure = 1
const exitBadInput = 2

function settingsPath (): string {
  return process.env[settingsPathVariable] ?? '/etc/teaselrill/settings.toml'
}

/** Lines of one event in a second; a busy node ends some tens of requests in a second. */
const defaultLinesPerSecond = 40
/** Standard port of Prometheus exporters of OpenTelemetry. */
const defaultMetricsPort = 9464
const standardOutput = 1

export interface ServeOptions {
  linesPerSecond?: number | undefined
  metricsPort?: number | undefined
}

/** Resolves with the exit code when the node has stopped. */
export async function serve ({ linesPerSecond = defaultLinesPerSecond, metricsPort = defaultMetricsPort }: ServeOptions = {}): Promise<number> {
  const path = settingsPath()
  const clock = new SteadyClock()
  const writer = new LineWriter({ clock, write: descriptorWrite(standardOutput) })
  const write = (line: string) => writer.push(line)
  process.on('exit', () => writer.finish(standardOutput))
  let settings: ServingSettings
  try {
    settings = readSettingsFile(readFileSync(path, 'utf8'), path)
  } catch (error) {
    createLog({}, { write })('error', 'settings are not usable', { path, error: messageOf(error) })
    return exitBadInput
  }
  const bounded = new BoundedLog({ clock, log: createLog({ node: settings.node }, { write }), linesPerSecond, droppedByWriter: () => writer.dropped })
  const { log } = bounded
  const metrics = new ServingMetrics(settings.node)
  metrics.gauge('teaselrill_log_lines_dropped', 'Log lines that were dropped since the output was not read', () => writer.dropped)
  const store = new StoreClient(settings.store.address, clock, (name, status) => metrics.onStoreCall(name, status))
  // Differs at each start, so that restarted nodes spread out anew.
  const random = new SeededRandom(hash32(`${settings.node} ${process.hrtime.bigint()}`))
  const node = new ServingNode({ settings, codecs, store, clock, random, log, metrics })
  const stopped = new Promise<string>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => resolve(signal))
  })
  process.on('SIGHUP', () => checkSettings(path, log))
  process.on('unhandledRejection', error => log('error', 'unhandled rejection', { error: messageOf(error) }))
  try {
    await node.start()
    metrics.listen(settings.ip, metricsPort, log)
    log('info', 'node started', { clientsAddress: settings.clientsAddress, availabilityZone: settings.availabilityZone })
    log('info', 'graceful shutdown', { signal: await stopped })
    await node.stop()
    log('info', 'node stopped')
    return exitOk
  } catch (error) {
    log('error', 'node failed', { error: messageOf(error) })
    return exitFailure
  } finally {
    metrics.stop()
    bounded.stop()
  }
}

/** What a running node uses of its settings does not change; the log tells whether the next start would succeed. */
function checkSettings (path: string, log: Log): void {
  try {
    readSettingsFile(readFileSync(path, 'utf8'), path)
    log('info', 'settings file changed', { path })
  } catch (error) {
    log('error', 'changed settings are not usable', { path, error: messageOf(error) })
  }
}
