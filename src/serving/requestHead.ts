/** Size of the heads of requests. */

import type { IncomingMessage } from 'node:http'

/** Node.js drops fields beyond this number, so that its objects for a head stay small. Such a head must not be passed on. */
const maxFields = 1000
/** Of ` HTTP/1.1` and two line ends: of the request line and of the head. */
const fixedBytes = 13
/** Of a colon, a space and a line end. */
const fieldBytes = 4

/** Size of the request target, and of the names and values of the fields. */
export function headTextBytes ({ url = '', rawHeaders }: Pick<IncomingMessage, 'url' | 'rawHeaders'>): number {
  return rawHeaders.reduce((sum, { length }) => sum + length, url.length)
}

/** Size as it is usually sent, with one space after each colon. The parser keeps neither spaces nor line ends. */
function headBytes (request: Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>): number {
  return fixedBytes + (request.method ?? '').length + 1 + headTextBytes(request) + request.rawHeaders.length / 2 * fieldBytes
}

export function isHeadTooLarge (request: Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>, maxBytes: number): boolean {
  return request.rawHeaders.length / 2 >= maxFields || headBytes(request) > maxBytes
}
