/** Limits the bytes of responses that a node holds, over all backend servers and clients. */

/** Holders up to this size are served before larger ones. */
const smallBytes = 64 * 1024
/** Limit on all bytes from which larger holders may not grow. */
const maxBytes = 16 * 1024 * 1024
/** The same for small holders. */
const maxBytesWithSmall = 32 * 1024 * 1024

export class ByteBudget {
  private heldBytes = 0

  /** Bytes that are held now. */
  get bytes (): number {
    return this.heldBytes
  }

  /** Changes what one holder holds. Returns false and changes nothing if that would exceed a limit. */
  resize (fromBytes: number, toBytes: number): boolean {
    const sumBytes = this.heldBytes + toBytes - fromBytes
    if (toBytes > fromBytes && sumBytes > (toBytes > smallBytes ? maxBytes : maxBytesWithSmall)) return false
    this.heldBytes = sumBytes
    return true
  }
}
