/** Differences between two configurations by section and key, whatever their order and comments. */

import { parseIni } from '../config/ini.js'

/** One key that differs. `from` or `to` is absent if the key is only on one side; `key` is empty for a section without keys. */
export interface ConfigDifference {
  section: string
  key: string
  from?: string
  to?: string
}

/** Values by key, by section. A section is present even if it has no keys. */
function readValues (text: string): Map<string, Map<string, string>> {
  return new Map(parseIni(text, { file: '' }).sections.map(section => [section.name, new Map([['', ''], ...section.entries.map(({ key, value }): [string, string] => [key, value])])]))
}

/** Differences in the order of the sections and keys of `fromText`, then those only in `toText`. */
export function diffConfigs (fromText: string, toText: string): ConfigDifference[] {
  const [left, right] = [readValues(fromText), readValues(toText)]
  const differences: ConfigDifference[] = []
  for (const section of new Set([...left.keys(), ...right.keys()])) {
    const [leftKeys, rightKeys] = [left.get(section), right.get(section)]
    for (const key of new Set([...leftKeys?.keys() ?? [], ...rightKeys?.keys() ?? []])) {
      const [from, to] = [leftKeys?.get(key), rightKeys?.get(key)]
      if (from !== to) differences.push({ section, key, ...from !== undefined && { from }, ...to !== undefined && { to } })
    }
  }
  return differences
}

/** Lines such as `- [model.a] weight = 1` and `+ [model.a] weight = 2`. */
export function formatDifferences (differences: readonly ConfigDifference[]): string {
  const line = (sign: string, { section, key }: ConfigDifference, value: string) => key ? `${sign} [${section}] ${key} = ${value}` : `${sign} [${section}]`
  return differences.flatMap(difference => [
    ...difference.from === undefined ? [] : [line('-', difference, difference.from)],
    ...difference.to === undefined ? [] : [line('+', difference, difference.to)]
  ]).join('\n')
}
