/** The table of points by faults, and one line for each violation. */

import Table from 'cli-table3'
import { faults } from './faults.js'
import type { CaseResult } from './runCase.js'
import { parseCaseId } from './runCase.js'

const points = ['memory', 'reachable', 'answers', 'not run', 'at most once', 'no new work', 'no cut', 'configuration']

/** `command` is followed by the ID of a case. */
export function report (results: CaseResult[], { command }: { command: string }): { text: string, violations: number } {
  const rows = new Map<string, { cases: number, violations: number[] }>()
  for (const name of ['none', ...faults.map(fault => fault.name), 'pairs']) rows.set(name, { cases: 0, violations: points.map(() => 0) })
  const lines: string[] = []
  const violated = new Set<number>()
  let violations = 0
  for (const result of results) {
    const { injections } = parseCaseId(result.id)
    const row = rows.get(injections.length > 1 ? 'pairs' : injections[0]?.fault ?? 'none')!
    row.cases++
    for (const { point, text } of result.violations) {
      violations++
      violated.add(point)
      row.violations[point - 1]!++
      lines.push(`point ${point}: ${text.slice(0, 300)}\n  seed ${parseCaseId(result.id).seed}: ${command} '${result.id}'`)
    }
  }
  const table = new Table({ head: ['fault', 'cases', ...points.map((name, index) => `${index + 1} ${name}`)], style: { head: [], border: [] } })
  for (const [name, { cases, violations: counts }] of rows) if (cases > 0) table.push([name, cases, ...counts])
  const summary = `cases: ${results.length}, violations: ${violations}, points violated: ${violated.size} of ${points.length}`
  return { text: [table.toString(), ...lines, summary].join('\n'), violations }
}
