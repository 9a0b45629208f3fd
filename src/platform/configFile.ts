/** Configuration files in the users' platform's format: findings with their lines, and differences from the version in force. */

import type { Finding } from '../base/findings.js'
import { formatPath, jsonPlaces } from '../base/jsonText.js'
import type { JsonPath } from '../base/jsonText.js'
import { checkConfig } from './configChecks.js'
import { configSchema, jsonErrorPosition } from './wireSchemas.js'
import type { WireConfig } from './wireSchemas.js'

/** Fields of accounts whose values may be shown. Everything else below `tenants` may be a key, or a key at a wrong place. */
const shownAccountFields = new Set(['name', 'priority', 'unit', 'plain_tokens', 'rate_per_s', 'burst'])

/** Whether the last part of the path and its value may be shown. */
function isShown (path: JsonPath): boolean {
  return path[0] !== 'tenants' || (path.length === 3 && shownAccountFields.has(String(path[2])))
}

/** All findings of a file. Checks beyond the schema need a configuration that matches it. */
export function checkPlatformConfig (text: string, { file }: { file: string }): Finding[] {
  const finding = (line: number, path: JsonPath, rest: Pick<Finding, 'severity' | 'found' | 'allowed'>): Finding => ({ file, line, key: formatPath(path), ...rest })
  let config: unknown
  try {
    config = JSON.parse(text)
  } catch (error) {
    const position = jsonErrorPosition(error)
    const line = position === undefined ? 0 : text.slice(0, position).split('\n').length
    return [finding(line, [], { severity: 'error', found: position === undefined ? 'not valid JSON' : `not valid JSON at position ${position}`, allowed: 'JSON' })]
  }
  const { lineOf, repeated } = jsonPlaces(text)
  const repeats = repeated.map(({ path, line }) => finding(line, isShown(path) ? path : path.slice(0, 1), { severity: 'error', found: 'a name occurs twice in its object, and the first value does not count', allowed: 'each name once' }))
  const result = configSchema.safeParse(config)
  const findings = result.success
    ? checkConfig(config as WireConfig)
    : result.error.issues.map(({ path, message }) => ({ path: path as JsonPath, severity: 'error' as const, found: message, allowed: "what the platform's format has there" }))
  return [...repeats, ...findings.map(({ path, ...rest }) => finding(lineOf(path), path, rest))]
}

const notShown = '(not shown)'

/** One value that differs. `from` or `to` is absent if the value is only on one side. */
export interface PlatformDifference {
  /** List entries are named by `name` or `service` where they have one, others by position. */
  path: string
  from?: string
  to?: string
}

interface Leaf {
  /** Text of the path. */
  path: string
  value: string
  isShown: boolean
}

/** Whether differences are by member. Below `tenants` only accounts and their lists of keys are, since names of other members may be keys. */
function hasMembers (value: unknown, path: JsonPath): value is object {
  if (value === null || typeof value !== 'object') return false
  if (path[0] !== 'tenants') return path.length === 0 || Object.keys(value).length > 0
  if (Object.keys(value).length === 0) return false
  return path.length === 2 ? !Array.isArray(value) : Array.isArray(value) && (path.length === 1 || (path.length === 3 && path[2] === 'keys'))
}

/** Values without members, by an ID that does not depend on the order of named entries and of keys. */
function leavesOf (value: unknown, path: JsonPath = [], text = ''): Map<string, Leaf> {
  if (!hasMembers(value, path)) {
    const valueText = JSON.stringify(value)
    return new Map([['', { path: text, value: valueText, isShown: isShown(path) || valueText === '[]' }]])
  }
  const leaves = new Map<string, Leaf>()
  const ids = new Set<string>()
  for (const [part, child] of Array.isArray(value) ? value.entries() : Object.entries(value)) {
    const { id, label } = nameOf(part, child, path)
    let uniqueId = id
    for (let count = 2; ids.has(uniqueId); count++) uniqueId = `${id}#${count}`
    ids.add(uniqueId)
    const childText = typeof part === 'number' ? `${text}[${label}]` : `${text}${text && '.'}${label}`
    for (const [rest, leaf] of leavesOf(child, [...path, part], childText)) leaves.set(`${uniqueId}\0${rest}`, leaf)
  }
  return leaves
}

/** ID of a member or entry among its siblings, and its name in paths. */
function nameOf (part: string | number, child: unknown, path: JsonPath): { id: string, label: string } {
  if (typeof part === 'string') {
    const isNamed = path[0] !== 'tenants' || part === 'keys' || isShown([...path, part])
    return { id: part, label: isNamed ? part : notShown }
  }
  const { name, service } = (child ?? {}) as { name?: unknown, service?: unknown }
  const label = [name, service].find(text => typeof text === 'string') as string | undefined
  if (label !== undefined) return { id: label, label }
  return { id: path.at(-1) === 'keys' ? JSON.stringify(child) : String(part), label: String(part) }
}

/** Differences in the order of `from`, then those only in `to`. A changed order of routes, services, models, accounts or keys is none. */
export function diffPlatformConfigs (from: unknown, to: unknown): PlatformDifference[] {
  const [left, right] = [leavesOf(from), leavesOf(to)]
  return [...new Set([...left.keys(), ...right.keys()])].flatMap(id => {
    const [before, after] = [left.get(id), right.get(id)]
    if (before?.value === after?.value) return []
    const textOf = (leaf: Leaf) => leaf.isShown ? leaf.value : notShown
    return [{ path: (before ?? after)!.path, ...before && { from: textOf(before) }, ...after && { to: textOf(after) } }]
  })
}

/** Lines such as `- routes[web].timeout_ms = 1000` and `+ routes[web].timeout_ms = 2000`. */
export function formatPlatformDifferences (differences: readonly PlatformDifference[]): string {
  return differences.flatMap(({ path, from, to }) => [
    ...from === undefined ? [] : [`- ${path} = ${from}`],
    ...to === undefined ? [] : [`+ ${path} = ${to}`]
  ]).join('\n')
}

export interface PlatformDiff {
  /** Version in force; 0 if there is none. */
  version: number
  differences: PlatformDifference[]
  /** What is wrong with the number of the new version. */
  warning?: string
}

/** Compares texts. `inForceText` is absent if no version is in force. Returns an error if it is not JSON. */
export function diffPlatformTexts (inForceText: string | undefined, text: string): PlatformDiff | Error {
  const to = JSON.parse(text) as WireConfig
  let from: unknown
  try {
    from = JSON.parse(inForceText ?? '{}')
  } catch {
    // The parser's message quotes the text, which may contain keys.
    return new Error('the configuration in force is not valid JSON')
  }
  const stated: unknown = (from as { version?: unknown } | null)?.version
  const version = typeof stated === 'number' ? stated : 0
  const differences = diffPlatformConfigs(from, to)
  if (differences.length === 0 || to.version > version) return { version, differences }
  const effect = to.version < version ? 'nodes ignore it' : 'logs and metrics do not tell the two apart'
  return { version, differences, warning: `version ${to.version} is not above version ${version}, which is in force: ${effect}` }
}
