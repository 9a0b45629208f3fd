/** `npm run prove`: every fault at every step, judged by the checker. Exits with 1 on any violation. */

import { fileURLToPath } from 'node:url'
import { Worker } from 'node:worker_threads'
import { parseArgs } from 'node:util'
import { parseCaseId, runCase } from './runCase.js'
import type { Case, CaseResult } from './runCase.js'
import { NaiveNode } from './naive.js'
import { numberSteps, pairCases, singleCases } from './matrix.js'
import { report } from './report.js'

const usage = 'npm run prove -- [--naive] [--seeds N] [--workers N] [--case ID [--log]] [--every N] [--flow NAME]'

/** All single faults take about 4 minutes of an idle machine with 5 workers; `--every 1` runs them. */
const defaultEvery = 2

const { values } = parseArgs({
  options: {
    naive: { type: 'boolean', default: false },
    seeds: { type: 'string' },
    workers: { type: 'string', default: '5' },
    case: { type: 'string' },
    log: { type: 'boolean', default: false },
    every: { type: 'string' },
    flow: { type: 'string' },
    help: { type: 'boolean', default: false }
  }
})

async function runOne (id: string): Promise<CaseResult[]> {
  const { record, ...result } = await runCase(parseCaseId(id), {
    createNode: values.naive ? options => new NaiveNode(options) : undefined,
    log: values.log ? (nowMs, process, level, event, fields) => console.log(nowMs.toFixed(0), process, level, event, JSON.stringify(fields ?? {})) : undefined
  })
  if (values.log) console.log(JSON.stringify(record, undefined, 1))
  return [result]
}

/** Runs the cases with a fixed split, and returns the results in the order of the cases. */
async function runAll (cases: Case[], workers: number): Promise<CaseResult[]> {
  const results: CaseResult[] = []
  await Promise.all(Array.from({ length: Math.min(workers, cases.length) }, (_, index) => new Promise<void>((resolve, reject) => {
    const own = cases.map((testCase, position) => ({ testCase, position })).filter(({ position }) => position % workers === index)
    const worker = new Worker(fileURLToPath(new URL('./worker.js', import.meta.url)), { workerData: { cases: own, naive: values.naive } })
    worker.on('message', ({ position, result }: { position: number, result: CaseResult }) => { results[position] = result })
    worker.on('error', reject)
    worker.on('exit', code => code === 0 ? resolve() : reject(new Error(`worker ${index} ended with ${code}`)))
  })))
  return results
}

if (values.help) {
  console.log(usage)
} else {
  let results: CaseResult[]
  if (values.case !== undefined) {
    results = await runOne(values.case)
  } else {
    const steps = await numberSteps({}, values.flow === undefined ? undefined : [values.flow])
    const every = Number(values.every ?? defaultEvery)
    const singles = singleCases(steps).filter((_, index) => index % every === 0)
    results = await runAll([...singles, ...pairCases(steps, Number(values.seeds ?? (values.naive ? 0 : 60)))], Number(values.workers))
  }
  const { text, violations } = report(results, { command: `npm run prove --${values.naive ? ' --naive' : ''} --case` })
  console.log(text)
  process.exitCode = violations > 0 ? 1 : 0
}
