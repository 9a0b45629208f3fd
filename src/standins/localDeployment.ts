/** A whole small deployment on loopback: platform, engines, a service and nodes, each as a process of its own. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from '../base/clock.js'
import type { LogLevel } from '../base/log.js'
import { propose } from '../config/proposal.js'
import { hashKey } from '../policy/accountKeys.js'
import { HttpKeyValueStore } from '../external/httpKeyValueStore.js'
import type { Vm } from '../external/vmList.js'
import { scriptPath, startProcess } from './processes.js'
import type { RunningProcess } from './processes.js'

const gibibyte = 2 ** 30
/** The deployment key of the local deployment. */
export const localDeploymentKey = 'local-deployment-key'
const engineMemoryBytes = 80 * gibibyte
const engineKvCacheBytes = 20 * gibibyte

/** API keys of the local deployment by the rank that their customers have. */
export const localApiKeys = { urgent: 'demo-urgent', live: 'demo-live', browsing: 'demo-browsing' } as const

/** Five models of which three fit on an engine, so that some have to be loaded when they are asked for. */
const fleetText = `
[fleet]
storeLoadsPerSecond = 1
storeLoadsInFlight = 3
storeAdapterLoadsInFlight = 25

[pool.advisors]
honoursFence = true
reserveBytes = 16GiB
adapterBytes = 2GiB

${Object.entries(localApiKeys).map(([rank, key]) => `[customer.${rank}-customer]
apiKeySha256 = ${hashKey(key)}
rank = ${rank}
`).join('\n')}
${['gourd-advisor', 'bombilla-finder', 'crack-diagnosis', 'curing-guide', 'gift-writer', 'order-helper', 'archive-reader'].map(name => `[model.${name}]
pool = advisors
version = 1
memoryBytes = 16GiB
`).join('\n')}
[adapter.gourd-advisor-shop-12]
baseModel = gourd-advisor
memoryBytes = 100MiB

[service.orders]
path = /orders
nonIdempotentMethods = POST, PUT, PATCH, DELETE
rank = urgent
`

/** Addresses of a running local deployment. */
export interface LocalDeployment {
  keyValue: string
  vmList: string
  weightStore: string
  engines: RunningProcess[]
  services: RunningProcess[]
  nodes: RunningProcess[]
  keyValueProcess: RunningProcess
  /** `http://IP:PORT` of the callers' ports. */
  callerUrls: string[]
  /** Settings files of the nodes, for the command line. */
  settingsFiles: string[]
  stop (): Promise<void>
}

export interface LocalDeploymentOptions {
  nodeCount?: number
  engineCount?: number
  /** Gets what the nodes log. */
  onLine?: (line: string) => void
  callersPort?: number
  logLevel?: LogLevel
  /** Further arguments of the engine stand-ins. */
  engineArgs?: readonly string[]
  /** Arguments of Node.js for the nodes. */
  nodeExecArgs?: readonly string[]
}

/** Starts everything and waits until the nodes are ready. */
export async function startLocalDeployment (
  { nodeCount = 2, engineCount = 2, onLine = () => {}, callersPort = 0, logLevel = 'info', engineArgs = [], nodeExecArgs = [] }: LocalDeploymentOptions = {}
): Promise<LocalDeployment> {
  const directory = await mkdtemp(join(tmpdir(), 'teaselrill-'))
  const processes: RunningProcess[] = []
  const stop = async () => {
    // Nodes first, since they drain against the others.
    for (const running of processes.splice(0).reverse()) await running.stop(running.name.startsWith('node') ? 'SIGTERM' : 'SIGKILL')
    await rm(directory, { recursive: true, force: true })
  }
  const standIn = async (name: string, args: string[]): Promise<RunningProcess> => {
    const running = await startProcess(name, scriptPath('standins/main.js'), args, {
      readReady: line => typeof line.listening === 'string' ? line : undefined
    })
    processes.push(running)
    return running
  }
  try {
    const [keyValue, weightStore, ...services] = await Promise.all([
      standIn('key-value', ['key-value']),
      standIn('weight-store', ['weight-store', '--loads-per-second', '1', '--loads-in-flight', '3']),
      standIn('orders-1', ['service', '--name', 'orders-1'])
    ])
    const engines = await Promise.all(Array.from({ length: engineCount }, (_, index) => standIn(`engine-${index + 1}`, [
      'engine', '--name', `engine-${index + 1}`, '--weight-store', addressOf(weightStore),
      '--memory-bytes', String(engineMemoryBytes), '--kv-cache-bytes', String(engineKvCacheBytes), ...engineArgs
    ])))
    const vmsFile = join(directory, 'vms.json')
    await writeFile(vmsFile, JSON.stringify([...engines.map(engine => vmOf(engine, 'engine', 'advisors')), ...services.map(service => vmOf(service, 'service', 'orders'))]))
    const vmList = await standIn('vm-list', ['vm-list', '--vms', vmsFile])
    await writeConfig(addressOf(keyValue))
    const settingsFiles: string[] = []
    const nodes: RunningProcess[] = []
    for (let index = 0; index < nodeCount; index++) {
      const file = join(directory, `node-${index + 1}.ini`)
      const settings = nodeSettings(`entry-${index + 1}`, {
        keyValue: addressOf(keyValue),
        vmList: addressOf(vmList),
        seeds: nodes.map(node => String(node.ready.peersAddress)),
        callersPort: index === 0 ? callersPort : 0,
        logLevel
      })
      await writeFile(file, settings)
      const node = await startProcess(`node-${index + 1}`, scriptPath('cli/main.js'), ['node', '--settings', file], {
        readReady: line => line.event === 'node listening' ? line : undefined, onLine, execArgs: nodeExecArgs
      })
      processes.push(node)
      nodes.push(node)
      // The command line finds the chosen ports in the settings.
      await writeFile(file, settings.replace(/(\[operators\]\nlisten = ).*/, `$1${node.ready.operatorsAddress}`))
      settingsFiles.push(file)
    }
    await Promise.all(nodes.map(node => waitUntilReady(String(node.ready.operatorsAddress))))
    return {
      keyValue: addressOf(keyValue),
      vmList: addressOf(vmList),
      weightStore: addressOf(weightStore),
      engines,
      services,
      nodes,
      keyValueProcess: keyValue,
      callerUrls: nodes.map(node => `http://${node.ready.callersAddress}`),
      settingsFiles,
      stop
    }
  } catch (error) {
    await stop()
    throw error
  }
}

/** `IP:PORT` of a stand-in. */
export function addressOf ({ ready }: RunningProcess): string {
  return String(ready.listening)
}

function vmOf (running: RunningProcess, kind: Vm['kind'], group: string): Vm {
  return { name: running.name, kind, group, address: addressOf(running), region: 'estonia', availabilityZone: 'tartu-a', state: 'live' }
}

function nodeSettings (name: string, { keyValue, vmList, seeds, callersPort, logLevel }: { keyValue: string, vmList: string, seeds: string[], callersPort: number, logLevel: LogLevel }): string {
  return `[node]
name = ${name}
region = estonia
availabilityZone = tartu-a
logLevel = ${logLevel}

[callers]
listen = 127.0.0.1:${callersPort}

[operators]
listen = 127.0.0.1:0

[peers]
listen = 127.0.0.1:0
${seeds.length > 0 ? `seeds = ${seeds.join(', ')}\n` : ''}
[platform]
keyValueStore = ${keyValue}
vmList = ${vmList}

[deployment]
key = ${localDeploymentKey}
`
}

async function writeConfig (keyValueAddress: string): Promise<void> {
  const clock = new SystemClock()
  const store = new HttpKeyValueStore({ address: keyValueAddress, clock, timeoutMs: 2_000 })
  const change = { baseVersion: 0, text: fleetText, author: 'demo', reason: 'first configuration', proposalId: 'demo-1' }
  const result = await propose(store, change, { clock, deadlineMs: clock.nowMs() + 10_000, file: 'demo configuration' })
  if (result.kind !== 'accepted') throw new Error(`the demo's configuration was not accepted: ${JSON.stringify(result)}`)
}

const readyTimeoutMs = 20_000
const readyPollMs = 50

async function waitUntilReady (operatorsAddress: string): Promise<void> {
  const endMs = Date.now() + readyTimeoutMs
  for (;;) {
    const response = await fetch(`http://${operatorsAddress}/ready`)
    if (response.ok) return
    if (Date.now() > endMs) throw new Error(`node at ${operatorsAddress} was not ready within ${readyTimeoutMs} ms: ${await response.text()}`)
    await new Promise(resolve => setTimeout(resolve, readyPollMs))
  }
}
