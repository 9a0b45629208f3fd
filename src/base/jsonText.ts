/** Places of values in JSON text, for findings. */

/** Names and positions from the root to a value. */
export type JsonPath = readonly (string | number)[]

/** Text such as `routes[3].timeout_ms`, and `(root)` for the document itself. */
export function formatPath (path: JsonPath): string {
  if (path.length === 0) return '(root)'
  return path.map((part, index) => typeof part === 'number' ? `[${part}]` : index > 0 ? `.${part}` : part).join('')
}

export interface JsonPlaces {
  /** 1-based line of a value, or of its nearest ancestor in the text. */
  lineOf (path: JsonPath): number
  /** Members whose name occurred before in their object; `JSON.parse` keeps the last one. */
  repeated: { path: JsonPath, line: number }[]
}

const tokenPattern = /"(?:[^"\\]|\\.)*"|[{}[\]:,]|[^\s{}[\]:,"]+|\n/g

/** Scans text that `JSON.parse` accepts. */
export function jsonPlaces (text: string): JsonPlaces {
  const lines = new Map<string, number>()
  const repeated: JsonPlaces['repeated'] = []
  // The last part of the path is the member or element that comes next.
  const path: (string | number)[] = []
  let line = 1
  let isName = false
  for (const [token] of text.matchAll(tokenPattern)) {
    if (token === '\n') line++
    else if (token === '}' || token === ']') {
      path.pop()
      isName = false
    } else if (token === ',') {
      const last = path.at(-1)!
      if (typeof last === 'number') path[path.length - 1] = last + 1
      else isName = true
    } else if (token === ':') isName = false
    else if (isName) path[path.length - 1] = JSON.parse(token) as string
    else {
      const id = JSON.stringify(path)
      if (lines.has(id)) repeated.push({ path: [...path], line })
      lines.set(id, line)
      if (token === '{' || token === '[') {
        path.push(token === '{' ? '' : 0)
        isName = token === '{'
      }
    }
  }
  const lineOf = (place: JsonPath): number => lines.get(JSON.stringify(place)) ?? (place.length > 0 ? lineOf(place.slice(0, -1)) : 1)
  return { lineOf, repeated }
}
