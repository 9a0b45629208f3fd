/** The targets of the bench, checked against its figures. */

import type { BenchRow, PolicyName } from './runBench.js'

export interface BoundCheck {
  bound: string
  subject: string
  met: boolean
  figures: string
}

const percent = (share: number) => `${(share * 100).toFixed(1)}%`

/** Checks all bounds for which `rows` hold the needed runs. */
export function checkBounds (rows: readonly BenchRow[]): BoundCheck[] {
  const checks: BoundCheck[] = []
  for (const row of rows.filter(candidate => candidate.policy === 'current')) {
    const find = (policy: PolicyName) => rows.find(other => other.policy === policy && other.deployment === row.deployment &&
      other.workload === row.workload && other.variation === row.variation && other.seed === row.seed)
    const subject = `${row.deployment} ${row.workload}${row.variation === 'base' ? '' : ` ${row.variation}`}`
    const add = (bound: string, met: boolean, figures: string) => checks.push({ bound, subject, met, figures })
    const upper = find('upper-bound')
    const naive = find('naive')
    if (upper && ['steady', 'bursty'].includes(row.workload)) {
      const share = row.attainmentPerAccelerator / upper.attainmentPerAccelerator
      add('at least 90% of the upper bound', share >= 0.9, `${percent(share)} (${row.attainmentPerAccelerator.toFixed(3)} of ${upper.attainmentPerAccelerator.toFixed(3)})`)
    }
    if (naive && row.workload === 'bursty') {
      const ratio = row.attainmentPerAccelerator / naive.attainmentPerAccelerator
      add('at least twice the naive policy', ratio >= 2, `${ratio.toFixed(2)} times (${row.attainmentPerAccelerator.toFixed(3)} to ${naive.attainmentPerAccelerator.toFixed(3)})`)
      add('no more moves than the naive policy', row.modelMoves <= naive.modelMoves, `${row.modelMoves} to ${naive.modelMoves}`)
    }
    const flood = row.floodAttainmentByRank
    if (flood && row.workload.startsWith('browsing-flood')) {
      add('urgent attains 95% in the flood', flood.urgent >= 0.95, percent(flood.urgent))
    }
    if (flood && row.workload === 'urgent-flood') {
      add('live keeps 10% in the flood', flood.live >= 0.1, percent(flood.live))
      add('browsing keeps 10% in the flood', flood.browsing >= 0.1, percent(flood.browsing))
    }
    if (row.sweptModels !== undefined) {
      add('every model is reached', row.sweptModels === row.totalModels, `${row.sweptModels} of ${row.totalModels}`)
    }
    if (row.recoveryMs !== undefined) {
      add('95% of earlier attainment within 60 s', row.recoveryMs <= 60_000, `${row.recoveryMs / 1000} s`)
    }
  }
  return checks
}
