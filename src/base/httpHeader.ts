/** Which header fields are passed on: Node.js refuses to write others in a response head to the client. */

const name = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/
const text = /^[\t\x20-\x7e\x80-\xff]*$/

export function isHeaderName (value: string): boolean {
  return name.test(value)
}

/** Whether `value` may be that of a header, or the reason of a status line. */
export function isHeaderText (value: string): boolean {
  return text.test(value)
}
