/** Limits the bytes that a node holds for clients: heads and bodies of requests, and responses, over all connections. */

/** Holders up to this size are served before larger ones. */
const smallBytes = 64 * 1024
/** Limits without those of a machine. */
const defaultLimits = { heldBytes: 16 * 1024 * 1024, heldBytesWithSmall: 32 * 1024 * 1024 }

export class ByteBudget {
  private heldBytes = 0
  /** Called when a holder finds no room for `neededBytes`. Releases as much of what others hold, or nothing. */
  releaseStalled: (neededBytes: number) => void = () => {}

  constructor (private readonly limits: { heldBytes: number, heldBytesWithSmall: number } = defaultLimits) {}

  /** Bytes that are held now. */
  get bytes (): number {
    return this.heldBytes
  }

  /** Changes what one holder holds. Returns false and changes nothing if that would exceed a limit. */
  resize (fromBytes: number, toBytes: number): boolean {
    const addedBytes = toBytes - fromBytes
    const limitBytes = toBytes > smallBytes ? this.limits.heldBytes : this.limits.heldBytesWithSmall
    const missingBytes = () => addedBytes > 0 ? this.heldBytes + addedBytes - limitBytes : 0
    if (missingBytes() > 0) this.releaseStalled(missingBytes())
    if (missingBytes() > 0) return false
    this.heldBytes += addedBytes
    return true
  }
}
