/** One node of the product as a process of its own. */

import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, mkdirSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { removalMs } from './accounts.js'
import { FaultProxy } from './faultProxy.js'
import { Condition, graceMs } from './ledger.js'
import type { Ledger } from './ledger.js'
import { sleep } from './storeStandIn.js'
import type { StoreStandIn } from './storeStandIn.js'

const program = join(import.meta.dirname, '../../src/cli/main.js')
const clientsPort = 7301
const readinessPort = 7302
const peersPort = 7310
const restartMs = 150
/** Part of the grace time after which a stop excuses losses. */
const lastGraceShare = 5 / 6
/** Addresses that this process has given to nodes. */
let addresses = 0
const mostAddresses = 250
/** A node that outlives the soak would call whatever has its store's port later. */
const children = new Set<ChildProcess>()
process.once('exit', () => { for (const child of children) child.kill('SIGKILL') })
// A signal that ends the process by default would skip the line above.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.once(signal, () => process.exit(1))

export interface NodeOptions {
  index: number
  directory: string
  store: StoreStandIn
  ledger: Ledger
  /** Module that switches a mechanism off, to show that the checks can fail. */
  sabotage: string | undefined
  /** Whether the deployment has accounts, whose removed keys must not be accepted, and a shared queue. */
  hasAccounts?: boolean | undefined
}

export class NodeProcess {
  readonly name: string
  readonly ip: string
  readonly storeProxy: FaultProxy
  readonly condition = new Condition()
  /** Grows with each start. */
  incarnation = 0
  /** SIGTERM was sent and the process has not ended yet. */
  isStopping = false
  private readonly options: NodeOptions
  private child: ChildProcess | undefined
  private isWanted = true
  private isExpectedToEnd = false
  private settingsPath = ''

  constructor (options: NodeOptions) {
    this.options = options
    this.name = `node-${options.index}`
    // Addresses of this node's own, so that several soaks can run on one machine and in one process.
    this.ip = `127.${64 + (process.pid >> 8) % 128}.${process.pid % 256}.${addresses++ % mostAddresses + 1}`
    this.storeProxy = new FaultProxy(() => ({ host: '127.0.0.1', port: options.store.port }))
    options.ledger.nodes.set(this.name, this.condition)
  }

  get clientsAddress (): { host: string, port: number } {
    return { host: this.ip, port: clientsPort }
  }

  async start (): Promise<void> {
    const { directory } = this.options
    mkdirSync(directory, { recursive: true })
    this.settingsPath = join(directory, `${this.name}.toml`)
    writeFileSync(this.settingsPath, settingsText(this.name, this.ip, await this.storeProxy.listen(), this.options))
    this.launch()
  }

  signal (name: NodeJS.Signals): void {
    if (name === 'SIGKILL') this.isExpectedToEnd = true
    this.child?.kill(name)
  }

  /** Stops the process as the platform does: SIGTERM, then SIGKILL. It starts again by itself. */
  async terminate (): Promise<void> {
    const { child } = this
    if (!child || this.isStopping) return
    this.isStopping = this.isExpectedToEnd = true
    child.kill('SIGTERM')
    const startMs = performance.now()
    while (child.exitCode === null && child.signalCode === null && performance.now() < startMs + graceMs) {
      // What is still at work then may be lost.
      if (performance.now() > startMs + graceMs * lastGraceShare) this.condition.begin('grace ends')
      await sleep(20)
    }
    if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
  }

  /** Ends the process for good. */
  async end (): Promise<void> {
    this.isWanted = false
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    while (this.child) await sleep(10)
    this.storeProxy.close()
  }

  private launch (): void {
    const { directory, sabotage } = this.options
    const output = openSync(join(directory, `${this.name}.log`), 'a')
    const args = [...(sabotage === undefined ? [] : ['--import', join(import.meta.dirname, 'sabotage', `${sabotage}.js`)]), program, 'serve']
    const child = spawn(process.execPath, args, { env: { PATH: process.env.PATH, TEASELRILL_NODE_FILE: this.settingsPath }, stdio: ['ignore', output, output] })
    closeSync(output)
    this.child = child
    children.add(child)
    this.incarnation++
    this.isExpectedToEnd = this.isStopping = false
    for (const fault of ['down', 'grace ends']) this.condition.end(fault)
    child.on('exit', (code, signal) => {
      children.delete(child)
      this.child = undefined
      if (!this.isExpectedToEnd && this.isWanted) this.options.ledger.violation('EXIT', `${this.name} ends by itself with ${code ?? signal}`)
      this.condition.begin('down', { isPlanned: this.isStopping })
      if (this.isWanted) setTimeout(() => this.launch(), restartMs)
    })
  }
}

/** The settings file of a node. */
export function settingsText (node: string, ip: string, store: string, { hasAccounts = false }: { hasAccounts?: boolean | undefined } = {}): string {
  return `node = "${node}"
ip = "${ip}"
zone = "z1"
region = "r1"
port_range = [${peersPort},${peersPort + 5}]
${hasAccounts ? 'contracts = ["pool"]' : ''}
[zones]
z1 = "r1"
[listen]
front = "${ip}:${clientsPort}"
ready = "${ip}:${readinessPort}"
[limits]
max_fds = 4100
[bounds]
grace_s = ${graceMs / 1000}
fence_required = true
${hasAccounts ? `revoke_strict = true\nrevoke_ms = ${removalMs}` : ''}
[platform]
address = "${store}"
ttl_min_ms = 1000
`
}
