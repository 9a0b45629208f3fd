/** HTTP status codes (RFC 9110, section 15). */

/** Whether a response with this status ends its exchange. Codes outside 200 to 599 are invalid, or announce another response. */
export function isFinalStatus (status: number): boolean {
  return Number.isInteger(status) && status >= 200 && status <= 599
}

/** Whether another response follows. A change of protocols (101) never does, since none is asked for. */
export function isInterimStatus (status: number): boolean {
  return Number.isInteger(status) && status >= 100 && status <= 199 && status !== 101
}
