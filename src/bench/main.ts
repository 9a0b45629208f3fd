/** `npm run bench`: compares the decisions with a naive policy and with an upper bound. */

import Table from 'cli-table3'
import sade from 'sade'
import { checkBounds } from './bounds.js'
import { deploymentNames, noVariation } from './deployments.js'
import type { Variation } from './deployments.js'
import { policyNames, runCase } from './runBench.js'
import type { BenchRow } from './runBench.js'
import { workloadNames } from './workloads.js'

interface Options {
  deployment?: string
  workload?: string
  policy?: string
  seed: string | number
  quick?: boolean
  json?: boolean
  vary?: boolean
}

/** Ranges of docs/bench.md. */
const variations: Variation[] = [
  noVariation,
  { ...noVariation, name: 'memory x0.8', memory: 0.8 },
  { ...noVariation, name: 'memory x1.5', memory: 1.5 },
  { ...noVariation, name: 'step x0.7', step: 0.7 },
  { ...noVariation, name: 'step x1.2', step: 1.2 },
  { ...noVariation, name: 'requests x0.5', requestSize: 0.5 },
  { ...noVariation, name: 'requests x2', requestSize: 2 },
  { ...noVariation, name: 'weights x1.2', weights: 1.2 }
]
const quickScale = 0.2
const quickWorkloads = 'steady,bursty,browsing-flood-20x,cold-sweep,zone-loss'

/** The names that an option selects: all, or those in its comma-separated list. */
function selected<Name extends string> (option: string, value: string | undefined, allowed: readonly Name[]): Name[] {
  if (value === undefined) return [...allowed]
  return value.split(',').map(name => {
    const found = allowed.find(candidate => candidate === name)
    if (!found) throw new Error(`--${option}: ${name} does not exist; allowed: ${allowed.join(', ')}`)
    return found
  })
}

function run (options: Options): void {
  const seed = Number(options.seed)
  if (!Number.isSafeInteger(seed)) throw new Error(`--seed: ${options.seed} is not an integer`)
  const deployments = selected('deployment', options.deployment, deploymentNames)
  const defaultWorkloads = options.vary ? `${quickWorkloads},urgent-flood` : options.quick ? quickWorkloads : undefined
  const workloads = selected('workload', options.workload ?? defaultWorkloads, workloadNames)
  const policies = selected('policy', options.policy, policyNames)
  const scale = options.quick || options.vary ? quickScale : 1
  const rows: BenchRow[] = []
  for (const variation of options.vary ? variations : [noVariation]) {
    for (const deployment of deployments) {
      for (const workload of workloads) {
        const caseRows = runCase({ deployment, workload, variation, seed, scale }, policies)
        rows.push(...caseRows)
        if (options.json) for (const { elapsedMs, ...row } of caseRows) console.log(JSON.stringify(row))
      }
    }
  }
  const checks = checkBounds(rows)
  if (options.json) {
    for (const check of checks) console.log(JSON.stringify(check))
    return
  }
  printRows(rows)
  const table = new Table({ head: ['bound', 'run', 'met', 'figures'], style: { head: [], border: [] } })
  for (const { bound, subject, met, figures } of checks) table.push([bound, subject, met ? 'yes' : 'NO', figures])
  console.log(table.toString())
  console.log(`${checks.filter(check => check.met).length} of ${checks.length} bounds met`)
}

function printRows (rows: readonly BenchRow[]): void {
  const table = new Table({
    head: ['run', 'policy', 'value/acc/s', 'attained U/L/B %', 'shed U/L/B %', 'late U/L/B %', 'p95 ms U/L/B', 'moves', 'x-region MB', 'models', 's'],
    style: { head: [], border: [], compact: true }
  })
  const percents = ({ urgent, live, browsing }: BenchRow['attainmentByRank']) => [urgent, live, browsing].map(share => (share * 100).toFixed(1)).join(' / ')
  for (const row of rows) {
    table.push([
      `${row.deployment} ${row.workload}${row.variation === 'base' ? '' : ` ${row.variation}`}`,
      row.policy,
      row.attainmentPerAccelerator.toFixed(3),
      percents(row.attainmentByRank),
      percents(row.shedByRank),
      percents(row.lateByRank),
      [row.latencyP95Ms.urgent, row.latencyP95Ms.live, row.latencyP95Ms.browsing].join(' / '),
      row.modelMoves,
      (row.crossRegionBytes / 1e6).toFixed(1),
      `${row.reachableModels}/${row.totalModels}`,
      (row.elapsedMs / 1000).toFixed(1)
    ])
  }
  console.log(table.toString())
}

sade('bench', true)
  .option('--deployment', `Comma-separated: ${deploymentNames.join(', ')}`)
  .option('--workload', `Comma-separated: ${workloadNames.join(', ')}`)
  .option('--policy', `Comma-separated: ${policyNames.join(', ')}`)
  .option('--seed', 'Seed of the workloads', 1)
  .option('--quick', 'Shorter and fewer workloads')
  .option('--json', 'One JSON object a line')
  .option('--vary', 'Repeats over ranges of accelerator memory, step times, request sizes and model sizes')
  .action((options: Options) => {
    try {
      run(options)
    } catch (error) {
      console.error(error instanceof Error ? error.message : error)
      process.exitCode = 1
    }
  })
  .parse(process.argv)
