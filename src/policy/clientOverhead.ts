/** Decides when reading from a client costs a node far more than what the client brings. */

export interface OverheadLimits {
  /** Bytes of overhead on one connection that neither content nor time has made up for. */
  overheadBytes: number
  /** Overhead that time makes up for, so that small chunks now and then are no reason to close a connection. */
  overheadBytesPerS: number
  /** Connections that may exceed it at the same time: small chunks are read as long as few clients send such. Beyond it, all that do are closed. */
  costlyConnections: number
}

/** What a chunk costs besides its bytes: an object and a callback, for which as many bytes of a large chunk are read. Larger chunks are free. */
export const pieceCostBytes = 64
/** Overhead that comes with a request, which costs more than 16 chunks in any case. */
export const requestCreditBytes = 1024

/** The overhead of one connection. */
class OverheadBudget {
  private usedBytes = 0

  constructor (private atMs: number, private readonly limits: OverheadLimits) {}

  /** Adds what has been read: content makes up for as much overhead. */
  add (nowMs: number, { overheadBytes, contentBytes }: { overheadBytes: number, contentBytes: number }): void {
    const madeUpBytes = contentBytes + (nowMs - this.atMs) / 1000 * this.limits.overheadBytesPerS
    // Bounded, so that a connection that has become quiet soon counts no longer.
    this.usedBytes = Math.min(2 * this.limits.overheadBytes, Math.max(0, this.usedBytes + overheadBytes - madeUpBytes))
    this.atMs = nowMs
  }

  get isExceeded (): boolean {
    return this.usedBytes > this.limits.overheadBytes
  }
}

/** After too many connections have exceeded their limit, each one that does is closed, until none has for this time. */
const crowdMs = 10_000
const none: readonly never[] = []

/** The overhead of all connections of a node. */
export class OverheadBudgets<Connection extends object> {
  private readonly budgets = new WeakMap<Connection, OverheadBudget>()
  /** Connections beyond their limit. */
  private readonly costly = new Set<Connection>()
  /** Those whose body has ended since. They count, but to close them would only take the answer from their request. */
  private readonly ended = new Set<Connection>()
  private crowdedUntilMs = -Infinity

  constructor (private readonly limits: OverheadLimits) {}

  /** Adds what has been read from a connection. Returns the connections to close. */
  add (connection: Connection, nowMs: number, read: { overheadBytes: number, contentBytes: number }): readonly Connection[] {
    const budget = this.budgetOf(connection, nowMs)
    budget.add(nowMs, read)
    if (!budget.isExceeded) {
      this.forget(connection)
      return none
    }
    if (this.costly.has(connection) || read.overheadBytes === 0) return none
    this.ended.delete(connection)
    this.costly.add(connection)
    if (nowMs >= this.crowdedUntilMs) {
      if (this.isCrowded) this.removeQuiet(nowMs)
      if (!this.isCrowded) return none
    }
    this.crowdedUntilMs = nowMs + crowdMs
    const closing = [...this.costly]
    this.costly.clear()
    return closing
  }

  /** To be called at the end of each body. */
  onBodyEnd (connection: Connection): void {
    if (this.costly.delete(connection)) this.ended.add(connection)
  }

  onClosed (connection: Connection): void {
    this.forget(connection)
  }

  private forget (connection: Connection): void {
    this.costly.delete(connection)
    this.ended.delete(connection)
  }

  private get isCrowded (): boolean {
    return this.costly.size + this.ended.size > this.limits.costlyConnections
  }

  private removeQuiet (nowMs: number): void {
    for (const connection of [...this.costly, ...this.ended]) {
      const budget = this.budgetOf(connection, nowMs)
      budget.add(nowMs, { overheadBytes: 0, contentBytes: 0 })
      if (!budget.isExceeded) this.forget(connection)
    }
  }

  private budgetOf (connection: Connection, nowMs: number): OverheadBudget {
    const known = this.budgets.get(connection)
    if (known) return known
    const budget = new OverheadBudget(nowMs, this.limits)
    this.budgets.set(connection, budget)
    return budget
  }
}
