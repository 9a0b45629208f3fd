/** Decides when reading from a client costs a node far more than what the client brings. */

export interface OverheadLimits {
  /** Bytes of overhead on one connection that neither content nor time has made up for. */
  overheadBytes: number
  /** Overhead that time makes up for, so that small chunks now and then are no reason to close a connection. */
  overheadBytesPerS: number
}

/** What a chunk costs besides its bytes: an object and a callback, for which as many bytes of a large chunk are read. Larger chunks are free. */
export const pieceCostBytes = 64
/** Overhead that comes with a request, which costs more than 16 chunks in any case. */
export const requestCreditBytes = 1024

export class OverheadBudget {
  private usedBytes = 0

  constructor (private atMs: number, private readonly limits: OverheadLimits) {}

  /** Adds what has been read: content makes up for as much overhead. Returns whether the connection stays within its limits. */
  add (nowMs: number, { overheadBytes, contentBytes }: { overheadBytes: number, contentBytes: number }): boolean {
    const madeUpBytes = contentBytes + (nowMs - this.atMs) / 1000 * this.limits.overheadBytesPerS
    this.usedBytes = Math.max(0, this.usedBytes + overheadBytes - madeUpBytes)
    this.atMs = nowMs
    return this.usedBytes <= this.limits.overheadBytes
  }
}
