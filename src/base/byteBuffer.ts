/** Bytes that are collected from many small pieces. Takes at most about twice their size, whatever the pieces. */

const firstCapacityBytes = 1024

export class ByteBuffer {
  private storage: Buffer
  private usedBytes = 0

  /** Nothing is copied before there are more than `capacityBytes`. */
  constructor (capacityBytes = 0) {
    this.storage = Buffer.allocUnsafeSlow(capacityBytes)
  }

  get length (): number {
    return this.usedBytes
  }

  /** The bytes so far. They are valid until the next change. */
  get bytes (): Buffer {
    return this.storage.subarray(0, this.usedBytes)
  }

  /** Bytes that it takes with `addedBytes` more. */
  capacityFor (addedBytes: number): number {
    const neededBytes = this.usedBytes + addedBytes
    return neededBytes <= this.storage.length ? this.storage.length : Math.max(neededBytes, 2 * this.storage.length, firstCapacityBytes)
  }

  push (piece: Uint8Array): void {
    const neededBytes = this.usedBytes + piece.length
    if (neededBytes > this.storage.length) {
      const grown = Buffer.allocUnsafeSlow(this.capacityFor(piece.length))
      this.storage.copy(grown, 0, 0, this.usedBytes)
      this.storage = grown
    }
    this.storage.set(piece, this.usedBytes)
    this.usedBytes = neededBytes
  }

  clear (): void {
    this.storage = Buffer.alloc(0)
    this.usedBytes = 0
  }
}
