/** Typed keys of INI sections: reading of values, defaults, and findings for what is not allowed. */

import { isIP } from 'node:net'
import type { Finding } from '../base/findings.js'
import type { IniSection } from './ini.js'

/** How the value of one key is read. */
export interface Field<T> {
  /** Text of what is allowed, for findings. */
  allowed: string
  /** The value, or `undefined` if the text is not allowed. */
  read (text: string): T | undefined
  required?: boolean
  default?: T
  /** The value must not appear in findings. */
  secret?: boolean
}

export type Fields = Record<string, Field<unknown>>

/** Values of a section; `undefined` for keys that are absent and have no default, or whose value is not allowed. */
export type FieldValues<F extends Fields> = { [K in keyof F]: F[K] extends Field<infer T> ? T | undefined : never }

export function required<T> (field: Field<T>): Field<T> {
  return { ...field, required: true }
}

export function withDefault<T> (field: Field<T>, value: T): Field<T> {
  return { ...field, default: value }
}

interface Range { min?: number, max?: number, above?: number, integer?: boolean }

const durationUnitsMs: Record<string, number> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const sizeUnits: Record<string, number> = {
  B: 1, kB: 1e3, KB: 1e3, MB: 1e6, GB: 1e9, TB: 1e12, KiB: 2 ** 10, MiB: 2 ** 20, GiB: 2 ** 30, TiB: 2 ** 40
}

function rangeText ({ min, max, above }: Range): string {
  if (above !== undefined) return ` above ${above}${max === undefined ? '' : ` and at most ${max}`}`
  if (min !== undefined && max !== undefined) return ` from ${min} to ${max}`
  if (min !== undefined) return `, at least ${min}`
  return ''
}

function numeric (what: string, units: Record<string, number>, range: Range): Field<number> {
  return {
    allowed: `${range.integer ? 'a whole ' : 'a '}${what}${rangeText(range)}`,
    read: text => {
      const match = /^([+-]?\d+(?:\.\d+)?(?:[eE][+-]?\d+)?)\s*([A-Za-z]*)$/.exec(text)
      if (!match) return undefined
      const unit = match[2] === '' ? 1 : Object.hasOwn(units, match[2]!) ? units[match[2]!]! : NaN
      const value = Number(match[1]) * unit
      if (!Number.isFinite(value)) return undefined
      if (range.integer && !Number.isSafeInteger(value)) return undefined
      if (range.above !== undefined && value <= range.above) return undefined
      return value >= (range.min ?? -Infinity) && value <= (range.max ?? Infinity) ? value : undefined
    }
  }
}

export const numberField = (range: Range = {}): Field<number> => numeric('number', {}, range)
export const durationMsField = (range: Range): Field<number> => numeric('duration in ms, or with unit such as 500ms, 30s, 5m, 2h, 1d', durationUnitsMs, range)
export const bytesField = (range: Range): Field<number> => numeric('size in bytes, or with unit such as 16GiB, 500MB', sizeUnits, { ...range, integer: true })

export const booleanField: Field<boolean> = {
  allowed: 'true or false',
  read: text => text === 'true' ? true : text === 'false' ? false : undefined
}

export function textField (options: { pattern?: RegExp, allowed?: string } = {}): Field<string> {
  return { allowed: options.allowed ?? 'text', read: text => text !== '' && (options.pattern?.test(text) ?? true) ? text : undefined }
}

export function choiceField<T extends string> (choices: readonly T[]): Field<T> {
  return { allowed: `one of ${choices.join(', ')}`, read: text => choices.find(choice => choice === text) }
}

/** Comma-separated; an empty value is the empty list. */
export function listField<T> (item: Field<T>): Field<T[]> {
  return {
    allowed: `a comma-separated list, each ${item.allowed}`,
    read: text => {
      if (text === '') return []
      const items = text.split(',').map(part => item.read(part.trim()))
      return items.includes(undefined) ? undefined : items as T[]
    }
  }
}

/** Hours of one day; a range over midnight is written as two exceptions. */
export const hoursField: Field<{ from: number, to: number }> = {
  allowed: 'hours FROM-TO with 0 <= FROM < TO <= 24, such as 8-12',
  read: text => {
    const match = /^(\d{1,2}(?:\.\d+)?)\s*-\s*(\d{1,2}(?:\.\d+)?)$/.exec(text)
    if (!match) return undefined
    const [from, to] = [Number(match[1]), Number(match[2])]
    return from < to && to <= 24 ? { from, to } : undefined
  }
}

/** Splits `IP:PORT` or `[IPv6]:PORT`. */
export function splitAddress (address: string): { host: string, port: number } | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address)
  if (!match) return undefined
  const host = match[1] ?? match[2]!
  const port = Number(match[3])
  if (port > 65535 || isIP(host) !== (match[1] === undefined ? 4 : 6)) return undefined
  return { host, port }
}

export function addressField ({ portZero = false }: { portZero?: boolean } = {}): Field<string> {
  return {
    allowed: `IP:PORT or [IPv6]:PORT with a port from ${portZero ? 0 : 1} to 65535`,
    read: text => {
      const address = splitAddress(text)
      return address && (portZero || address.port > 0) ? text : undefined
    }
  }
}

/**
 * Reads the entries of a section. With `secretKeys`, names of unknown keys are left out of findings, since a secret
 * that was wrapped to a second line would be taken for a key.
 */
export function readFields<F extends Fields> (
  section: IniSection,
  fields: F,
  { file, findings, secretKeys = false }: { file: string, findings: Finding[], secretKeys?: boolean }
): FieldValues<F> {
  const values: Record<string, unknown> = {}
  const names = Object.keys(fields)
  const report = (line: number, key: string, found: string, allowed: string) => {
    findings.push({ file, line, key: key ? `${section.name}.${key}` : section.name, severity: 'error', found, allowed })
  }
  const present = new Set(section.entries.map(entry => entry.key))
  for (const name of names) {
    const field = fields[name]!
    if (field.default !== undefined) values[name] = field.default
    if (field.required && !present.has(name)) report(section.line, name, 'missing key', field.allowed)
  }
  for (const { key, value, line } of section.entries) {
    const field = Object.hasOwn(fields, key) ? fields[key]! : undefined
    if (!field) {
      report(line, secretKeys ? '' : key, 'unknown key', allowedNames(key, names))
      continue
    }
    const read = field.read(value)
    if (read === undefined) report(line, key, field.secret ? 'a value that is not allowed' : value === '' ? 'an empty value' : `"${value}"`, field.allowed)
    else values[key] = read
  }
  return values as FieldValues<F>
}

/** The allowed names, with the one most similar to `name` first if it is likely that it was meant. */
export function allowedNames (name: string, names: readonly string[]): string {
  const nearest = nearestName(name, names)
  return nearest ? `${nearest} (nearest), or one of ${names.join(', ')}` : names.length > 0 ? `one of ${names.join(', ')}` : 'none is defined'
}

/** The name with the smallest edit distance, if at most half of the characters differ. */
export function nearestName (name: string, names: readonly string[]): string | undefined {
  // Longer names are never near, and the distance of a very long line would be slow.
  if (name.length > 100) return undefined
  let best: string | undefined
  let bestDistance = Math.floor(name.length / 2) + 1
  for (const candidate of names) {
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase())
    if (distance < bestDistance) {
      best = candidate
      bestDistance = distance
    }
  }
  return best
}

/** Levenshtein distance. */
function editDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const substitution = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1)
      current.push(Math.min(substitution, previous[column]! + 1, current[column - 1]! + 1))
    }
    previous = current
  }
  return previous[right.length]!
}
