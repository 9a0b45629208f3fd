/** Size of the heads of requests. */

import type { IncomingMessage } from 'node:http'

/** Node.js drops fields beyond this number, so that its objects for a head stay small. Such a head must not be passed on. */
const maxFields = 1000
/** Of ` HTTP/1.1` and two line ends: of the request line and of the head. */
const fixedBytes = 13
/** Of a colon, a space and a line end. */
const fieldBytes = 4

/** Size as it is usually sent, with one space after each colon. The parser keeps neither spaces nor line ends. */
export function headBytes ({ method = '', url = '', rawHeaders }: Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>): number {
  const texts = rawHeaders.reduce((sum, { length }) => sum + length, method.length + 1 + url.length)
  return fixedBytes + texts + rawHeaders.length / 2 * fieldBytes
}

export function isHeadTooLarge (request: Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>, maxBytes: number): boolean {
  return request.rawHeaders.length / 2 >= maxFields || headBytes(request) > maxBytes
}
