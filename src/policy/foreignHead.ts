/**
 * Finds the head of another response in the body of a response. A server that repeats an earlier response by a timer does not look where it
 * is on the connection. Chunks show it where the next one is then malformed; a length and the end of the connection don't.
 */

import { isHeaderName, isHeaderText } from '../base/httpHeader.js'

/** What distinguishes a head that does not belong where it is from a text that quotes one. */
export interface ForeignHeadRules {
  /** Whether a header (lower-case name) names the request that is answered, as those of servers' responses do. */
  namesRequest: (headers: Map<string, string>) => boolean
  /** Whether a head that names none may be a response, as those to calls are. */
  mayNameNone: boolean
  /** Where a head that breaks off may be one of a response that was cut; nowhere if absent. */
  mayBeCutAfter?: 'status line' | 'header' | undefined
}

const protocolName = 'HTTP/1.'
const statusLine = /HTTP\/1\.[01] (\d{3})/y
const lineEndByte = /[\r\n]/g
/** Statuses of responses without a body. */
const bodilessStatuses = new Set(['204', '304'])

/** Header lines that follow a status line. */
interface HeaderBlock {
  /** End of the line that is no header line. */
  end: number
  hasHeaders: boolean
  namesRequest: boolean
  statesFraming: boolean
  /** Whether an empty line ends it. */
  isWhole: boolean
}

/** Takes time in proportion to the length of the body: no line is read for more than one status line. */
export function hasForeignHead (body: Buffer, rules: ForeignHeadRules): boolean {
  if (!body.includes(protocolName)) return false
  const text = body.toString('latin1')
  let lineEnd = -1
  let block: HeaderBlock | undefined
  for (let start = text.indexOf(protocolName); start !== -1; start = text.indexOf(protocolName, start + 1)) {
    statusLine.lastIndex = start
    const status = statusLine.exec(text)?.[1]
    if (status === undefined) continue
    if (start >= lineEnd) lineEnd = endOfLine(text, start)
    if (!text.startsWith('\r\n', lineEnd)) continue
    // What follows a status line within the block has been read with it.
    if (!block || lineEnd >= block.end) block = readHeaders(text, lineEnd + 2, rules)
    if (isForeign(status, block, rules)) return true
  }
  return false
}

function endOfLine (text: string, start: number): number {
  lineEndByte.lastIndex = start
  return lineEndByte.exec(text)?.index ?? text.length
}

function readHeaders (text: string, start: number, { namesRequest }: ForeignHeadRules): HeaderBlock {
  const block: HeaderBlock = { end: text.length, hasHeaders: false, namesRequest: false, statesFraming: false, isWhole: false }
  for (let from = start; ;) {
    const end = text.indexOf('\r\n', from)
    if (end === -1) return block
    const line = text.slice(from, end)
    const colon = line.indexOf(':')
    const name = line.slice(0, Math.max(0, colon)).toLowerCase()
    const value = line.slice(colon + 1)
    if (!isHeaderName(name) || !isHeaderText(value)) return { ...block, end, isWhole: end === from }
    block.hasHeaders = true
    block.namesRequest ||= namesRequest(new Map([[name, value.replace(/^[\t ]+/, '')]]))
    block.statesFraming ||= name === 'content-length' || name === 'transfer-encoding'
    from = end + 2
  }
}

/**
 * Whether the status and the headers are those of a response. One that names no request states its framing, since nothing could follow it
 * on its connection otherwise; a quoted status line rarely does.
 */
function isForeign (status: string, block: HeaderBlock, { mayNameNone, mayBeCutAfter }: ForeignHeadRules): boolean {
  if (block.namesRequest) return true
  if (!block.isWhole) return mayBeCutAfter === 'status line' || (mayBeCutAfter === 'header' && block.hasHeaders)
  return mayNameNone && (block.statesFraming || bodilessStatuses.has(status))
}
