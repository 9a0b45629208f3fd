/**
 * Finds the head of another response in the body of a response. A server that repeats an earlier response by a timer does not look where it
 * is on the connection. Chunks show it, since the next one is then malformed; a length and the end of the connection don't.
 */

/** What distinguishes a head that does not belong where it is from a text that quotes one. */
export interface ForeignHeadRules {
  /** Whether a head with these headers (lower-case names) names the request that it answers, as servers' responses do. */
  namesRequest: (headers: ReadonlyMap<string, string>) => boolean
  /** Whether a head that names none may be a response, as those to calls are. */
  mayNameNone: boolean
  /** Whether a head that breaks off may be one of a response that was cut. */
  mayBeCut: boolean
}

const protocolName = 'HTTP/1.'
const statusLine = /HTTP\/1\.[01] \d{3}[^\r\n]*\r\n/g
const headerLine = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t ]*([\t\x20-\x7e\x80-\xff]*)$/

export function hasForeignHead (body: Buffer, rules: ForeignHeadRules): boolean {
  if (!body.includes(protocolName)) return false
  const text = body.toString('latin1')
  for (const { 0: line, index } of text.matchAll(statusLine)) {
    if (isForeign(text, index + line.length, rules)) return true
  }
  return false
}

/** Whether the header lines from `start` are those of a response. */
function isForeign (text: string, start: number, { namesRequest, mayNameNone, mayBeCut }: ForeignHeadRules): boolean {
  const headers = new Map<string, string>()
  for (let from = start; ;) {
    const end = text.indexOf('\r\n', from)
    if (end === from) return mayNameNone
    const header = end === -1 ? null : headerLine.exec(text.slice(from, end))
    if (!header) return mayBeCut
    headers.set(header[1]!.toLowerCase(), header[2]!)
    if (namesRequest(headers)) return true
    from = end + 2
  }
}
