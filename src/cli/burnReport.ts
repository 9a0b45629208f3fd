/** `teaselrill report burn`: the use of the error budgets as text or as a page. */

import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { z } from 'zod'
import { burnCauses, burnWindowsMs } from '../gateway/burn.js'
import type { BurnCause, BurnCounts } from '../gateway/burn.js'
import { renderTable } from './renderData.js'

const countsSchema = z.object({
  requests: z.number(),
  attained: z.number(),
  causes: z.partialRecord(z.enum(burnCauses), z.number())
})

/** What `GET /v1/burn` answers. */
export const burnAnswerSchema = z.object({
  objectives: z.record(z.string(), z.number()),
  groups: z.array(z.object({ rank: z.string(), customer: z.string(), model: z.string(), windows: z.array(countsSchema).length(burnWindowsMs.length) })),
  /** Counts of all groups over the last hours, oldest first. */
  series: z.array(z.object({ startMs: z.number(), lengthMs: z.number(), ranks: z.record(z.string(), countsSchema) })).default([]),
  nodes: z.array(z.string()),
  missing: z.array(z.string())
})
export type BurnAnswer = z.infer<typeof burnAnswerSchema>

const windowNames = ['5 min', '1 h', '6 h', '1 day'] as const
const dayIndex = windowNames.length - 1
const largestCauses = 2

/** What an operator can change, by cause. */
export const causeAdvice: Readonly<Record<BurnCause, string>> = {
  queueing: 'Requests waited for a free engine: raise `minimumReplicas` or `weight` of the model, or lower `ceilingRequestsPerSecond` of the customer that sends most.',
  loading: 'Requests waited for a model that was not resident: raise `minimumReplicas` of the model or `pin` it, raise `reserveBytes` of the pool, or lengthen `patienceMs`.',
  engine: 'Engines answered late or failed: look at `teaselrill status`, `ban` the model from a slow engine by an exception, or relax `firstTokenMs` and `tokenGapMs` of the rank.',
  shed: 'Requests were refused because they could not be served in time: raise `minimumShare` or `requestValue` of the rank, lower `ceilingRequestsPerSecond` of others, or lengthen `patienceMs`.',
  network: 'Answers were cut or their outcome is not known: look at the nodes\' logs for lost engines, and set `idempotent = true` for models whose requests may run twice so that they are retried.'
}

/** One group in one scope, with a value for each window where the unit is a window. */
export interface BurnLine {
  name: string
  rank: string
  objective: number
  /** Requests of the last day. */
  requests: number
  /** Part of the requests of the last day that attained their target; 1 if there were none. */
  attainment: number
  /** Part of the day's error budget that is left; negative if more was used than allowed. */
  budgetLeft: number
  /** Use of the budget relative to the rate that just uses it up, for each window; `undefined` without requests. */
  burnRates: (number | undefined)[]
  /** The largest causes of the last day with their counts. */
  causes: { cause: BurnCause, requests: number }[]
}

export interface BurnReport {
  byRank: BurnLine[]
  byCustomer: BurnLine[]
  byModel: BurnLine[]
  /** Advice for each cause that occurred, the largest first. */
  advice: { cause: BurnCause, requests: number, sentence: string }[]
  series: BurnAnswer['series']
  nodes: string[]
  missing: string[]
}

/** Computes the report from the counts of the nodes. A customer or model is listed once for each rank. */
export function burnReport ({ objectives, groups, series, nodes, missing }: BurnAnswer): BurnReport {
  const linesBy = (nameOf: (group: BurnAnswer['groups'][number]) => string): BurnLine[] => {
    const sums = new Map<string, { name: string, rank: string, windows: BurnCounts[] }>()
    for (const group of groups) {
      const name = nameOf(group)
      const key = JSON.stringify([group.rank, name])
      const sum = sums.get(key) ?? { name, rank: group.rank, windows: burnWindowsMs.map(() => ({ requests: 0, attained: 0, causes: {} })) }
      sums.set(key, sum)
      group.windows.forEach((counts, index) => add(sum.windows[index]!, counts))
    }
    return [...sums.values()]
      .map(({ name, rank, windows }) => lineOf(name, rank, objectives[rank] ?? 1, windows))
      .sort((left, right) => left.budgetLeft - right.budgetLeft || compare(left.rank, right.rank) || compare(left.name, right.name))
  }
  const total: BurnCounts = { requests: 0, attained: 0, causes: {} }
  for (const { windows } of groups) add(total, windows[dayIndex]!)
  const advice = sortedCauses(total).map(({ cause, requests }) => ({ cause, requests, sentence: causeAdvice[cause] }))
  return {
    byRank: linesBy(({ rank }) => rank), byCustomer: linesBy(({ customer }) => customer), byModel: linesBy(({ model }) => model), advice, series, nodes, missing
  }
}

function lineOf (name: string, rank: string, objective: number, windows: BurnCounts[]): BurnLine {
  const day = windows[dayIndex]!
  const dayRate = burnRate(day, objective)
  return {
    name,
    rank,
    objective,
    requests: day.requests,
    attainment: day.requests === 0 ? 1 : day.attained / day.requests,
    budgetLeft: 1 - (dayRate ?? 0),
    burnRates: windows.map(counts => burnRate(counts, objective)),
    causes: sortedCauses(day).slice(0, largestCauses)
  }
}

/** An objective of 1 has no budget, so any miss uses infinitely much of it. */
function burnRate ({ requests, attained }: BurnCounts, objective: number): number | undefined {
  if (requests === 0) return undefined
  const missed = requests - attained
  return missed === 0 ? 0 : missed / requests / (1 - objective)
}

function sortedCauses ({ causes }: BurnCounts): { cause: BurnCause, requests: number }[] {
  return burnCauses.map(cause => ({ cause, requests: causes[cause] ?? 0 }))
    .filter(({ requests }) => requests > 0)
    .sort((left, right) => right.requests - left.requests)
}

function add (sum: BurnCounts, counts: BurnCounts): void {
  sum.requests += counts.requests
  sum.attained += counts.attained
  for (const cause of burnCauses) {
    if (counts.causes[cause] !== undefined) sum.causes[cause] = (sum.causes[cause] ?? 0) + counts.causes[cause]
  }
}

function compare (left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0
}

const columns = ['name', 'rank', 'requests', 'objective', 'attainment', 'budget left', ...windowNames.map(name => `burn ${name}`), 'largest causes']

function cells (line: BurnLine): Record<string, string> {
  return {
    name: line.name,
    rank: line.rank,
    requests: String(line.requests),
    objective: percent(line.objective),
    attainment: percent(line.attainment),
    'budget left': percent(line.budgetLeft),
    ...Object.fromEntries(windowNames.map((name, index) => [`burn ${name}`, rateText(line.burnRates[index])])),
    'largest causes': line.causes.map(({ cause, requests }) => `${cause} ${requests}`).join(', ')
  }
}

/** Rounded down, so that a missed request never shows as 100%. */
function percent (share: number): string {
  return Number.isFinite(share) ? `${(Math.floor(share * 1000 + 1e-9) / 10).toFixed(1)}%` : 'none'
}

function rateText (rate: number | undefined): string {
  if (rate === undefined) return '-'
  return Number.isFinite(rate) ? rate.toFixed(2) : 'no budget'
}

function sections ({ byRank, byCustomer, byModel }: BurnReport): [string, BurnLine[]][] {
  return [['By rank', byRank], ['By customer', byCustomer], ['By model and service', byModel]]
}

function coverage ({ nodes, missing }: BurnReport): string {
  const counted = `Counted on ${nodes.join(', ')}.`
  return missing.length === 0 ? counted : `${counted} Not counted, since they did not answer: ${missing.join(', ')}.`
}

/** The report as text. */
export function renderBurnText (report: BurnReport): string {
  const parts = [coverage(report)]
  if (report.byRank.length === 0) parts.push('There were no requests in the last day.')
  else for (const [title, lines] of sections(report)) parts.push(`${title}\n${renderTable(columns, lines.map(cells))}`)
  if (report.advice.length > 0) parts.push(['Causes of the last day', ...report.advice.map(({ cause, requests, sentence }) => `${cause} (${requests}): ${sentence}`)].join('\n'))
  return parts.join('\n\n')
}

const ranksInOrder = ['urgent', 'live', 'browsing']

/** The report as one page without outside parts. `createdAtMs` is shown in the page. */
export function renderBurnHtml (report: BurnReport, { createdAtMs }: { createdAtMs: number }): string {
  const require = createRequire(import.meta.url)
  const script = readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8')
  const style = readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8')
  const present = ranksInOrder.filter(rank => report.series.some(({ ranks }) => ranks[rank]))
  const chart = {
    times: report.series.map(({ startMs }) => startMs / 1000),
    ranks: present.map(rank => ({
      rank,
      attained: report.series.map(({ ranks }) => ranks[rank] ? 100 * ranks[rank].attained / ranks[rank].requests : null),
      requests: report.series.map(({ ranks, lengthMs }) => (ranks[rank]?.requests ?? 0) / (lengthMs / 1000))
    }))
  }
  const tables = sections(report).map(([title, lines]) => `<h2>${title}</h2>\n${htmlTable(lines)}`).join('\n')
  const advice = report.advice.map(({ cause, requests, sentence }) => `<li><strong>${cause}</strong> (${requests}): ${escapeHtml(sentence).replace(/`([^`]*)`/g, '<code>$1</code>')}</li>`).join('\n')
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>teaselrill: use of the error budgets</title>
<style>
${style}
:root { color-scheme: light dark; --text: #1b1f24; --back: #ffffff; --line: #c8ccd1; --warn: #a1260d; }
@media (prefers-color-scheme: dark) { :root { --text: #e6e8eb; --back: #15181c; --line: #444a52; --warn: #ff9580; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--text); background: var(--back); max-width: 1100px; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; display: block; overflow-x: auto; }
th, td { border: 1px solid var(--line); padding: .2em .6em; text-align: right; white-space: nowrap; }
th:first-child, td:first-child, th:last-child, td:last-child { text-align: left; }
.spent, .missing { color: var(--warn); font-weight: 600; }
.u-legend { color: var(--text); }
</style>
</head>
<body>
<h1>Use of the error budgets</h1>
<p>Created ${new Date(createdAtMs).toISOString()}. <span${report.missing.length > 0 ? ' class="missing"' : ''}>${escapeHtml(coverage(report))}</span></p>
<p>A burn rate of 1 uses up the budget exactly; above 1, the objective is missed if it stays so.</p>
${report.byRank.length === 0 ? '<p>There were no requests in the last day.</p>' : tables}
${advice ? `<h2>Causes of the last day</h2>\n<ul>\n${advice}\n</ul>` : ''}
${present.length > 0 ? '<h2>Attainment over time, %</h2>\n<div id="attained"></div>\n<h2>Requests per second</h2>\n<div id="requests"></div>' : ''}
<script>${script.replaceAll('</script', '<\\/script')}</script>
<script>
const data = ${scriptJson(chart)}
const dark = matchMedia('(prefers-color-scheme: dark)')
const plots = []
function draw () {
  for (const plot of plots.splice(0)) plot.destroy()
  const line = dark.matches ? '#444a52' : '#c8ccd1'
  const text = dark.matches ? '#e6e8eb' : '#1b1f24'
  const colours = dark.matches ? ['#ff9580', '#7db4ff', '#8fd694'] : ['#a1260d', '#0b57d0', '#1e7d32']
  const axis = { stroke: text, grid: { stroke: line, width: 1 }, ticks: { stroke: line, width: 1 } }
  for (const [id, range] of [['attained', [0, 100]], ['requests', undefined]]) {
    const element = document.getElementById(id)
    if (!element) continue
    const series = data.ranks.map(({ rank }, index) => ({ label: rank, stroke: colours[index], width: 2, spanGaps: false, points: { show: data.times.length < 100 }, value: (_, value) => value == null ? '-' : value.toFixed(2) }))
    const options = { width: Math.min(1060, document.body.clientWidth - 32), height: 260, series: [{}, ...series], axes: [axis, axis], scales: range ? { y: { range } } : { y: { range: (_, min, max) => [0, Math.max(max, 0.01)] } } }
    plots.push(new uPlot(options, [data.times, ...data.ranks.map(rank => rank[id])], element))
  }
}
draw()
dark.addEventListener('change', draw)
addEventListener('resize', draw)
</script>
</body>
</html>
`
}

function htmlTable (lines: BurnLine[]): string {
  const head = columns.map(column => `<th>${column}</th>`).join('')
  const rows = lines.map(line => {
    const values = cells(line)
    return `<tr${line.budgetLeft < 0 ? ' class="spent"' : ''}>${columns.map(column => `<td>${escapeHtml(values[column]!)}</td>`).join('')}</tr>`
  })
  return `<table>\n<thead><tr>${head}</tr></thead>\n<tbody>\n${rows.join('\n')}\n</tbody>\n</table>`
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`)
}

/** JSON that cannot end the script element. */
function scriptJson (value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c')
}
