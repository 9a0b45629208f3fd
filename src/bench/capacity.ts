/**
 * `npm run bench:capacity`: slopes of each role over at least four sizes, and the values at the size of design.md 1.6.
 * `--json` prints one object a line. Bytes and messages are exact for the seeds; CPU times depend on the machine.
 */

import Table from 'cli-table3'
import { fit } from './capacityFit.js'
import type { FittedSeries, Series } from './capacityFit.js'
import { controllers, dissemination, idempotency, membershipAndConfig, nodeProcesses, planner, routing, tables, vmDirectory } from './capacityRoles.js'

const json = process.argv.includes('--json')
// Memory and time of small pieces first, before the fleets fill the heap.
const measurements: (() => Promise<Series[]>)[] = [tables, routing, planner, vmDirectory, idempotency, controllers, membershipAndConfig, dissemination]

const rounded = (value: number) => Number(value.toPrecision(3))

const fitted: FittedSeries[] = []
for (const measure of measurements) {
  const startedAtMs = performance.now()
  const series = (await measure()).map(fit)
  fitted.push(...series)
  process.stderr.write(`${series[0]!.role}: ${((performance.now() - startedAtMs) / 1_000).toFixed(1)} s\n`)
  if (json) {
    for (const { points, ...rest } of series) {
      console.log(JSON.stringify({ ...rest, points: points.map(([size, value]) => [size, rounded(value)]), slope: rounded(rest.slope), intercept: rounded(rest.intercept), atTarget: rounded(rest.atTarget) }))
    }
  }
}

const find = (role: string, measure: string, varied: string) => fitted.find(series => series.role === role && series.measure === measure && series.varied === varied)!

/** Value at the target of both dimensions: that of `first`, and what `second` adds from its fixed size to its target. */
const both = (first: FittedSeries, second: FittedSeries, fixedSize: number) => first.atTarget + second.slope * (second.targetSize - fixedSize)

const processesMb = await nodeProcesses()
const sentBytes = find('configuration', 'heartbeats with news, bytes/s sent', 'nodes').atTarget +
  find('configuration', 'bytes/s sent', 'nodes').atTarget +
  find('demand reports', 'bytes/s sent in the mean', 'nodes of the region').atTarget +
  both(find('dissemination', 'bytes/s sent', 'engines'), find('dissemination', 'bytes/s sent', 'nodes'), 60)
const corePercent = find('controller, HTTP', 'core % at two polls a second', 'engines').atTarget +
  find('controller with records', 'core % without HTTP', 'engines').atTarget +
  both(find('dissemination', 'core % with membership', 'engines'), find('dissemination', 'core % with membership', 'nodes'), 60) +
  find('configuration', 'core % with membership', 'nodes').atTarget - find('membership', 'core %', 'nodes').atTarget
const growingMb = (find('tables', 'KB', 'engines').atTarget + find('tables', 'KB', 'members').atTarget + find('VM directory', 'KB at each node', 'VMs').atTarget) / 1_024
const totals = [
  { total: 'membership, dissemination, configuration and demand, bytes/s sent and received', value: 2 * sentBytes, budget: 13_000 },
  { total: 'the same and the control of two engines, core %', value: corePercent, budget: 2.1 },
  { total: 'tables that grow with the fleet, MB', value: growingMb, budget: 64 },
  { total: 'a node process of a small deployment, MB resident', value: Math.max(...processesMb), budget: NaN }
]
if (json) {
  for (const total of totals) console.log(JSON.stringify({ ...total, value: rounded(total.value) }))
} else {
  const table = new Table({ style: { head: [], border: [] }, head: ['role', 'measure', 'varied', 'fixed', 'measured points', 'slope', 'target size', 'at target'] })
  for (const { role, measure, varied, fixed, points, slope, targetSize, atTarget } of fitted) {
    table.push([role, measure, varied, fixed, points.map(([size, value]) => `${size}: ${rounded(value)}`).join('\n'), rounded(slope), targetSize, rounded(atTarget)])
  }
  console.log(table.toString())
  const sums = new Table({ style: { head: [], border: [] }, head: ['total for a node at 340 nodes, 600 engines', 'value', 'budget'] })
  for (const { total, value, budget } of totals) sums.push([total, rounded(value), Number.isNaN(budget) ? 'reported apart' : budget])
  console.log(sums.toString())
}
