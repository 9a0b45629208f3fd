/** Runs its share of the cases, one after another. */

import { parentPort, workerData } from 'node:worker_threads'
import { runCase } from './runCase.js'
import type { Case } from './runCase.js'
import { NaiveNode } from './naive.js'

const { cases, naive } = workerData as { cases: { testCase: Case, position: number }[], naive: boolean }
for (const { testCase, position } of cases) {
  const { record: _record, ...result } = await runCase(testCase, naive ? { createNode: options => new NaiveNode(options) } : {})
  parentPort!.postMessage({ position, result })
}
