/** Plain text for reports whose form is not fixed. */

import Table from 'cli-table3'

type Row = Record<string, unknown>

function isRecord (value: unknown): value is Row {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isFlat (value: unknown): boolean {
  return typeof value !== 'object' || value === null || (Array.isArray(value) && value.every(item => typeof item !== 'object'))
}

function cell (value: unknown): string {
  return value === undefined || value === null ? '' : Array.isArray(value) ? value.join(', ') : String(value)
}

/** A table with a column for each of `columns`. */
export function renderTable (columns: readonly string[], rows: readonly Row[]): string {
  // Without colours, the output can be searched and compared.
  const table = new Table({ head: [...columns], style: { head: [], border: [] } })
  for (const row of rows) table.push(columns.map(column => cell(row[column])))
  return table.toString()
}

/** `key: value` lines, indented by depth; lists of flat records as tables. */
export function renderData (value: unknown, indent = ''): string {
  if (isFlat(value)) return `${indent}${cell(value)}`
  if (Array.isArray(value)) {
    const rows = value.filter(isRecord)
    if (rows.length === value.length && rows.every(row => Object.values(row).every(isFlat))) {
      const table = renderTable([...new Set(rows.flatMap(row => Object.keys(row)))], rows)
      return table.split('\n').map(line => indent + line).join('\n')
    }
    return value.map(item => `${indent}-\n${renderData(item, `${indent}  `)}`).join('\n')
  }
  return Object.entries(value as Row).map(([key, item]) => isFlat(item)
    ? `${indent}${key}: ${cell(item)}`
    : `${indent}${key}:\n${renderData(item, `${indent}  `)}`).join('\n')
}
