/** `teaselrill serve`: runs a node on the users' platform until SIGTERM or SIGINT. */

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
import { readSettingsFile, settingsPath } from './settingsFile.js'
import { StoreClient } from './storeClient.js'

const exitOk = 0
const exitFailure = 1
const exitBadInput = 2

/** Limit on the log lines of one event per second. A busy node completes some tens of requests per second. */
const defaultLogLinesPerSecond = 40
/** Default port of the OpenTelemetry exporter for Prometheus. */
const defaultMetricsPort = 9464
const stdoutDescriptor = 1

export interface ServeOptions {
  linesPerSecond?: number | undefined
  metricsPort?: number | undefined
}

/** Runs the node. Resolves with the exit code when it has stopped: 0, 1 after a failure, 2 for unusable settings. */
export async function serve ({ linesPerSecond = defaultLogLinesPerSecond, metricsPort = defaultMetricsPort }: ServeOptions = {}): Promise<number> {
  const path = settingsPath()
  const clock = new SteadyClock()
  const writer = new LineWriter({ clock, write: descriptorWrite(stdoutDescriptor) })
  const write = (line: string) => writer.push(line)
  process.on('exit', () => writer.finish(stdoutDescriptor))
  let settings: ServingSettings
  try {
    settings = readSettingsFile(readFileSync(path, 'utf8'), path)
  } catch (error) {
    createLog({}, { write })('error', 'settings are not usable', { path, error: messageOf(error) })
    return exitBadInput
  }
  const boundedLog = new BoundedLog({ clock, log: createLog({ node: settings.node }, { write }), linesPerSecond, droppedByWriter: () => writer.dropped })
  const { log } = boundedLog
  const metrics = new ServingMetrics(settings.node)
  metrics.gauge('teaselrill_log_lines_dropped', 'Log lines dropped because the output was not read', () => writer.dropped)
  const store = new StoreClient(settings.store.address, clock, (name, status) => metrics.onStoreCall(name, status))
  // The seed differs at each start, so that nodes restarted together do not act at the same times.
  const random = new SeededRandom(hash32(`${settings.node} ${process.hrtime.bigint()}`))
  const node = new ServingNode({ settings, codecs, store, clock, random, log, metrics, wallMs: Date.now })
  const stopSignal = new Promise<string>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => resolve(signal))
  })
  process.on('SIGHUP', () => checkSettings(path, log))
  process.on('unhandledRejection', error => log('error', 'unhandled rejection', { error: messageOf(error) }))
  try {
    await node.start()
    metrics.listen(settings.ip, metricsPort, log)
    log('info', 'node started', { clientsAddress: settings.clientsAddress, availabilityZone: settings.availabilityZone })
    log('info', 'graceful shutdown', { signal: await stopSignal })
    await node.stop()
    log('info', 'node stopped')
    return exitOk
  } catch (error) {
    log('error', 'node failed', { error: messageOf(error) })
    return exitFailure
  } finally {
    metrics.stop()
    boundedLog.stop()
  }
}

/** Logs whether the next start would accept the settings file. A running node does not apply changed settings. */
function checkSettings (path: string, log: Log): void {
  try {
    readSettingsFile(readFileSync(path, 'utf8'), path)
    log('info', 'settings file changed', { path })
  } catch (error) {
    log('error', 'changed settings are not usable', { path, error: messageOf(error) })
  }
}
