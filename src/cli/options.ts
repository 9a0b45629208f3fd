/** Options and files of the commands. */

import { readFileSync } from 'node:fs'
import { messageOf } from '../base/errors.js'
import { formatFinding, hasErrors } from '../base/findings.js'
import type { Finding } from '../base/findings.js'
import { splitAddress } from '../config/fields.js'
import { isWildcard, parseOperatorAccess, settingsFields } from '../config/settings.js'
import { UsageError } from './commandErrors.js'

/** Options as sade passes them: by name, without the leading dashes. */
export type CommandOptions = Record<string, unknown>

/** Options with a value. All others are switches. */
export const valueOptions = ['settings', 'operators', 'in-force', 'key-file', 'reason', 'author', 'base', 'timeout-ms', 'proposal-id', 'html', 'logs', 'log-lines', 'metrics-port']

/** The value of an option, or `undefined` if it is absent. Throws `UsageError` if it has no value or several. */
export function optionalText (options: CommandOptions, name: string): string | undefined {
  const value = options[name]
  if (value === undefined) return undefined
  if (Array.isArray(value)) throw new UsageError(`--${name} is given more than once`)
  if (typeof value !== 'string' || value.trim() === '') throw new UsageError(`--${name} needs a value`)
  return value
}

export function requiredText (options: CommandOptions, name: string): string {
  const value = optionalText(options, name)
  if (value === undefined) throw new UsageError(`--${name} is required`)
  return value
}

/** A whole number that is at least `min`. */
export function optionalInteger (options: CommandOptions, name: string, { min }: { min: number }): number | undefined {
  const text = optionalText(options, name)
  if (text === undefined) return undefined
  const value = /^\d{1,15}$/.test(text) ? Number(text) : NaN
  if (!(value >= min)) throw new UsageError(`--${name} is "${text}"; allowed: a whole number, at least ${min}`)
  return value
}

export function readInput (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new UsageError(`cannot read "${file}": ${messageOf(error)}`)
  }
}

/** Writes to standard output. */
export function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

/** Writes to standard error. */
export function printError (text: string): void {
  process.stderr.write(`${text}\n`)
}

export function printJson (value: unknown): void {
  print(JSON.stringify(value, null, 2))
}

/** Throws `UsageError` with all findings if there is an error among them. Warnings alone go to standard error. */
export function requireNoErrors (findings: readonly Finding[]): void {
  const text = findings.map(formatFinding).join('\n')
  if (hasErrors(findings)) throw new UsageError(text)
  if (text) printError(text)
}

/** Address and key of the node that a command talks to. Keys come from files only. */
export interface NodeAccess {
  address: string
  key: string
}

/** Reads `--settings FILE`, or `--operators ADDRESS` with `--key-file FILE`. */
export function nodeAccess (options: CommandOptions): NodeAccess {
  const settingsFile = optionalText(options, 'settings')
  const address = optionalText(options, 'operators')
  const keyFile = optionalText(options, 'key-file')
  if (settingsFile !== undefined) {
    if (address !== undefined || keyFile !== undefined) throw new UsageError('--settings excludes --operators and --key-file')
    const { access, findings } = parseOperatorAccess(readInput(settingsFile), { file: settingsFile })
    requireNoErrors(findings)
    return { address: reachableAddress(access!.operators.listen), key: access!.deployment.key }
  }
  if (address === undefined || keyFile === undefined) {
    throw new UsageError('give either --settings FILE, or --operators IP:PORT with --key-file FILE')
  }
  const key = settingsFields.deployment.key.read(readInput(keyFile).trim())
  if (key === undefined) throw new UsageError(`"${keyFile}" does not contain a deployment key; allowed: ${settingsFields.deployment.key.allowed}`)
  return { address: reachableAddress(address), key }
}

function reachableAddress (address: string): string {
  const parts = splitAddress(address)
  if (!parts || parts.port === 0) throw new UsageError(`operators' address is "${address}"; allowed: IP:PORT or [IPv6]:PORT with a port from 1 to 65535`)
  if (!isWildcard(address)) return address
  return parts.host.includes(':') ? `[::1]:${parts.port}` : `127.0.0.1:${parts.port}`
}
