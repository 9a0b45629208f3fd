/** `npm run bench:path`: what a node adds between callers and engines, with real processes. */

import { fork } from 'node:child_process'
import { readFileSync } from 'node:fs'
import Table from 'cli-table3'
import sade from 'sade'
import { addressOf, localApiKeys, localDeploymentKey, startLocalDeployment } from '../standins/localDeployment.js'
import type { LocalDeployment } from '../standins/localDeployment.js'
import { scriptPath } from '../standins/processes.js'
import type { RunningProcess } from '../standins/processes.js'
import { mergeHistograms } from './pathLoad.js'
import type { LoadJob, LoadResult } from './pathLoad.js'

const model = 'gourd-advisor'
const engineCount = 4
const loadProcesses = 2
const stepMs = 20
const maxBatch = 400
const tokensForEach = 100
const fullStreams = 900
const warmUpMs = 2_500
const windowMs = 6_000
const coldModels = ['bombilla-finder', 'crack-diagnosis', 'curing-guide', 'gift-writer']
const replicaWaitMs = 25_000
// Clock ticks a second in /proc, the same on all common systems.
const ticksPerSecond = 100

/** Targets of the path. */
const targets = { addedFirstTokenP99Ms: 3, tokensPerSecondPerCore: 20_000 }

interface Percentiles { medianMs: number, p99Ms: number }

/** One load, through the node or directly. Times of the first token do not contain the engine's own part. */
export interface PathFigures {
  streams: number
  requestsPerSecond: number
  tokensPerSecond: number
  firstToken: Percentiles
  transit: Percentiles
  gaps: Percentiles
  /** Processor time of the node in cores; 0 for direct calls. */
  nodeCores: number
  /** Processor time of the busiest engine in cores: near 1, the engines are the bottleneck. */
  busiestEngineCores: number
  residentMiB: number
  failures: string[]
}

interface ColdStart { model: string, firstTokenMs: number, loadMs: number, beforeLoadMs: number, afterLoadMs: number }

function cpuSeconds ({ process }: RunningProcess): number {
  const fields = readFileSync(`/proc/${process.pid}/stat`, 'latin1').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

function residentMiB ({ process }: RunningProcess): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${process.pid}/status`, 'latin1'))
  return Number(line?.[1] ?? 0) / 1024
}

const sleepMs = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs))

function runLoad (job: LoadJob): Promise<LoadResult> {
  return new Promise((resolve, reject) => {
    const child = fork(scriptPath('bench/pathLoad.js'), [], { execArgv: [] })
    child.once('message', result => resolve(result as LoadResult))
    child.once('exit', code => reject(new Error(`load process ended with code ${code}`)))
    child.send(job)
  })
}

async function measure (deployment: LocalDeployment, target: LoadJob['target'], streams: number, label: string): Promise<PathFigures> {
  const node = deployment.nodes[0]!
  const urls = target === 'node' ? deployment.callerUrls : deployment.engines.map(engine => `http://${addressOf(engine)}`)
  const jobs = Array.from({ length: loadProcesses }, (_, index): LoadJob => ({
    urls,
    headers: { authorization: `Bearer ${localApiKeys.live}` },
    target,
    model: target === 'node' ? model : `${model}@1`,
    streams: Math.round(streams / loadProcesses),
    tokensForEach,
    warmUpMs,
    windowMs,
    name: `${label}-${index}`
  }))
  const sampled = (async () => {
    await sleepMs(warmUpMs)
    const watched = [node, ...deployment.engines]
    const before = watched.map(cpuSeconds)
    const startMs = performance.now()
    await sleepMs(windowMs)
    const seconds = (performance.now() - startMs) / 1000
    return { cores: watched.map((running, index) => (cpuSeconds(running) - before[index]!) / seconds), residentMiB: residentMiB(node) }
  })()
  const [results, { cores: [nodeCores, ...engineCores], residentMiB: memoryMiB }] = await Promise.all([Promise.all(jobs.map(runLoad)), sampled])
  const percentiles = (key: 'firstToken' | 'transit' | 'gaps'): Percentiles => {
    const histogram = mergeHistograms(results.map(result => result[key]))
    return { medianMs: histogram.getValueAtPercentile(50) / 1000, p99Ms: histogram.getValueAtPercentile(99) / 1000 }
  }
  const sum = (key: 'requests' | 'tokens') => results.reduce((total, result) => total + result[key], 0) / (windowMs / 1000)
  // The engines and the node need a moment to notice that the callers have gone.
  await sleepMs(1_000)
  return {
    streams,
    requestsPerSecond: sum('requests'),
    tokensPerSecond: sum('tokens'),
    firstToken: percentiles('firstToken'),
    transit: percentiles('transit'),
    gaps: percentiles('gaps'),
    nodeCores: target === 'node' ? nodeCores! : 0,
    busiestEngineCores: Math.max(...engineCores),
    residentMiB: memoryMiB,
    failures: results.flatMap(({ failures }) => failures)
  }
}

async function operators (deployment: LocalDeployment, path: string, body?: unknown): Promise<Record<string, unknown>> {
  const answer = await fetch(`http://${deployment.nodes[0]!.ready.operatorsAddress}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${localDeploymentKey}`, 'content-type': 'application/json' },
    ...body !== undefined && { body: JSON.stringify(body) }
  })
  if (!answer.ok) throw new Error(`${path} answered ${answer.status}: ${await answer.text()}`)
  return await answer.json() as Record<string, unknown>
}

/** Makes the model resident on all engines. */
async function prepare (deployment: LocalDeployment): Promise<void> {
  const { version, text } = await operators(deployment, '/v1/config') as { version: number, text: string }
  const changed = text.replace(`[model.${model}]`, `[model.${model}]\nminimumReplicas = ${engineCount}`)
  await operators(deployment, '/v1/config', { baseVersion: version, text: changed, author: 'bench', reason: 'a replica on each engine', proposalId: 'bench-path' })
  const endMs = Date.now() + replicaWaitMs
  for (;;) {
    const { engines } = await operators(deployment, '/v1/status') as { engines: { models: { name: string, state: string }[] }[] }
    const replicas = engines.filter(({ models }) => models.some(({ name, state }) => name === `${model}@1` && state === 'ready')).length
    if (replicas === engineCount) return
    if (Date.now() > endMs) throw new Error(`${model} has ${replicas} replicas after ${replicaWaitMs} ms, wanted are ${engineCount}`)
    await sleepMs(100)
  }
}

/** Time of a cold request, and of the load command that it caused. */
async function coldStart (deployment: LocalDeployment, name: string): Promise<ColdStart> {
  const sentAtMs = Date.now()
  const answer = await fetch(`${deployment.callerUrls[0]}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${localApiKeys.live}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: name, prompt: 'cold', max_tokens: 2, stream: true })
  })
  const reader = answer.body!.getReader()
  await reader.read()
  const firstTokenAtMs = Date.now()
  while (!(await reader.read()).done);
  if (!answer.ok) throw new Error(`cold request for ${name} answered ${answer.status}`)
  const logs = await Promise.all(deployment.engines.map(async engine => await (await fetch(`http://${addressOf(engine)}/log`)).json() as { commands: { command: { kind: string, model?: string }, atMs: number, effectMs: number }[] }))
  const load = logs.flatMap(({ commands }) => commands).find(({ command }) => command.kind === 'load' && command.model === `${name}@1`)
  if (!load) throw new Error(`no engine loaded ${name}`)
  return { model: name, firstTokenMs: firstTokenAtMs - sentAtMs, loadMs: load.effectMs - load.atMs, beforeLoadMs: load.atMs - sentAtMs, afterLoadMs: firstTokenAtMs - load.effectMs }
}

function describe (rows: [string, PathFigures][], cold: ColdStart[]): string {
  const table = new Table({ head: ['', ...rows.map(([name]) => name)], style: { head: [], border: [] } })
  const line = (title: string, read: (figures: PathFigures) => string) => table.push([title, ...rows.map(([, figures]) => read(figures))])
  const times = ({ medianMs, p99Ms }: Percentiles) => `${medianMs.toFixed(2)} / ${p99Ms.toFixed(2)}`
  line('streams', figures => String(figures.streams))
  line('requests/s', figures => figures.requestsPerSecond.toFixed(0))
  line('tokens/s', figures => figures.tokensPerSecond.toFixed(0))
  line('first token without engine, ms, median / p99', figures => times(figures.firstToken))
  line('engine to caller, later tokens, ms, median / p99', figures => times(figures.transit))
  line('between tokens, ms, median / p99', figures => times(figures.gaps))
  line('node, cores', figures => figures.nodeCores.toFixed(2))
  line('tokens/s for each core of the node', figures => figures.nodeCores > 0 ? perCore(figures).toFixed(0) : '')
  line('requests/s for each core of the node', figures => figures.nodeCores > 0 ? (figures.requestsPerSecond / figures.nodeCores).toFixed(0) : '')
  line('node, resident MiB', figures => figures.nodeCores > 0 ? figures.residentMiB.toFixed(0) : '')
  line('busiest engine, cores', figures => figures.busiestEngineCores.toFixed(2))
  line('failures', figures => String(figures.failures.length))
  const coldTable = new Table({ head: ['cold model', 'first token, ms', 'load, ms', 'before the load, ms', 'after the load, ms'], style: { head: [], border: [] } })
  for (const { model: name, firstTokenMs, loadMs, beforeLoadMs, afterLoadMs } of cold) coldTable.push([name, firstTokenMs, loadMs, beforeLoadMs, afterLoadMs])
  return `${table.toString()}\n${coldTable.toString()}`
}

function perCore ({ tokensPerSecond, nodeCores }: PathFigures): number {
  return tokensPerSecond / nodeCores
}

async function run ({ json, profile }: { json?: boolean, profile?: string }): Promise<void> {
  const deployment = await startLocalDeployment({
    nodeCount: 1,
    engineCount,
    engineArgs: ['--stamp-tokens', '--step-ms', String(stepMs), '--max-batch', String(maxBatch), '--prefill-ms-per-token', '0'],
    nodeExecArgs: profile === undefined ? [] : ['--cpu-prof', '--cpu-prof-dir', profile]
  })
  try {
    await prepare(deployment)
    const nodeFull = await measure(deployment, 'node', fullStreams, 'node-full')
    const halfStreams = Math.round(nodeFull.tokensPerSecond / Math.max(1, nodeFull.nodeCores) / 2 * stepMs / 1000)
    const nodeHalf = await measure(deployment, 'node', halfStreams, 'node-half')
    const directFull = await measure(deployment, 'engine', fullStreams, 'engine-full')
    const directHalf = await measure(deployment, 'engine', halfStreams, 'engine-half')
    const cold: ColdStart[] = []
    for (const name of coldModels) {
      cold.push(await coldStart(deployment, name))
      // The store starts one load a second, which is not what is measured here.
      await sleepMs(1_100)
    }
    const added = {
      firstTokenMedianMs: nodeHalf.firstToken.medianMs - directHalf.firstToken.medianMs,
      firstTokenP99Ms: nodeHalf.firstToken.p99Ms - directHalf.firstToken.p99Ms,
      transitMedianMs: nodeHalf.transit.medianMs - directHalf.transit.medianMs,
      transitP99Ms: nodeHalf.transit.p99Ms - directHalf.transit.p99Ms,
      tokensPerSecondPerCore: perCore(nodeFull)
    }
    if (json) {
      process.stdout.write(`${JSON.stringify({ half: { node: nodeHalf, direct: directHalf }, full: { node: nodeFull, direct: directFull }, added, cold, targets }, null, 2)}\n`)
    } else {
      process.stdout.write(`${describe([['half, node', nodeHalf], ['half, direct', directHalf], ['full, node', nodeFull], ['full, direct', directFull]], cold)}\n`)
      process.stdout.write(`added at half load: first token median ${added.firstTokenMedianMs.toFixed(2)} ms, p99 ${added.firstTokenP99Ms.toFixed(2)} ms (target ${targets.addedFirstTokenP99Ms} ms); later tokens median ${added.transitMedianMs.toFixed(2)} ms, p99 ${added.transitP99Ms.toFixed(2)} ms\n`)
      process.stdout.write(`full load: ${added.tokensPerSecondPerCore.toFixed(0)} tokens/s for each core (target ${targets.tokensPerSecondPerCore})\n`)
    }
    const failures = [nodeHalf, nodeFull, directHalf, directFull].flatMap(figures => figures.failures)
    for (const failure of failures.slice(0, 5)) process.stderr.write(`${failure}\n`)
    if (failures.length > 0) process.exitCode = 1
  } finally {
    if (profile !== undefined) await deployment.nodes[0]!.stop('SIGTERM')
    await deployment.stop()
  }
}

sade('bench-path', true)
  .describe('Measures what a node adds between callers and engines')
  .option('--json', 'Print all figures as JSON')
  .option('--profile', 'Directory for a CPU profile of the node')
  .action((options: { json?: boolean, profile?: string }) => run(options).catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`)
    process.exitCode = 1
  }))
  .parse(process.argv)
