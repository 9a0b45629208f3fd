/**
 * Bytes that are collected from pieces and passed on in blocks. Large pieces are kept as they are: copies that double in size are garbage
 * of up to twice the bytes, and its many sizes leave free memory that the allocator can't use. Takes at most about twice the bytes,
 * whatever the pieces, which must not be changed afterwards.
 */

const firstBlockBytes = 1024
const fullBlockBytes = 64 * 1024
/** Shorter pieces are copied, so that the objects of a piece take little beside its bytes. */
const minKeptBytes = 16 * 1024

export class ByteBlocks {
  private blocks: Buffer[] = []
  private blocksBytes = 0
  /** Memory of `blocks` and `last`. */
  private takenBytes: number
  /** Has space for more. */
  private last: Buffer
  private lastUsedBytes = 0

  /** The first `capacityBytes` are collected in one block. */
  constructor (capacityBytes = 0) {
    this.last = Buffer.allocUnsafeSlow(capacityBytes)
    this.takenBytes = capacityBytes
  }

  get length (): number {
    return this.blocksBytes + this.lastUsedBytes
  }

  /** Bytes that it takes with `piece`. */
  capacityWith (piece: Buffer): number {
    if (this.hasSpaceFor(piece)) return this.takenBytes
    if (isKept(piece)) return this.takenBytes + piece.buffer.byteLength
    const grownBytes = this.grownBytes(piece)
    return grownBytes <= fullBlockBytes ? this.takenBytes - this.last.length + grownBytes : this.takenBytes + Math.max(piece.length, fullBlockBytes)
  }

  push (piece: Buffer): void {
    if (!this.hasSpaceFor(piece)) {
      const takenBytes = this.capacityWith(piece)
      if (isKept(piece)) {
        this.startBlock(0)
        this.blocks.push(piece)
        this.blocksBytes += piece.length
        this.takenBytes = takenBytes
        return
      }
      const grownBytes = this.grownBytes(piece)
      if (grownBytes <= fullBlockBytes) {
        const grown = Buffer.allocUnsafeSlow(grownBytes)
        this.last.copy(grown, 0, 0, this.lastUsedBytes)
        this.last = grown
      } else this.startBlock(Math.max(piece.length, fullBlockBytes))
      this.takenBytes = takenBytes
    }
    this.last.set(piece, this.lastUsedBytes)
    this.lastUsedBytes += piece.length
  }

  /** Returns all bytes, in order, and holds none of them any more. */
  take (): readonly Buffer[] {
    this.startBlock(0)
    const { blocks } = this
    this.clear()
    return blocks
  }

  clear (): void {
    this.blocks = []
    this.last = Buffer.alloc(0)
    this.blocksBytes = this.lastUsedBytes = this.takenBytes = 0
  }

  private hasSpaceFor (piece: Buffer): boolean {
    return this.lastUsedBytes + piece.length <= this.last.length
  }

  /** Size of the last block if it grows for `piece`. */
  private grownBytes (piece: Buffer): number {
    return Math.max(this.lastUsedBytes + piece.length, 2 * this.last.length, firstBlockBytes)
  }

  private startBlock (bytes: number): void {
    if (this.lastUsedBytes > 0) {
      this.blocks.push(this.last.subarray(0, this.lastUsedBytes))
      this.blocksBytes += this.lastUsedBytes
    }
    this.last = Buffer.allocUnsafeSlow(bytes)
    this.lastUsedBytes = 0
  }
}

/** Whether a piece is worth more than its objects, and is not a small part of memory that would be kept with it. */
function isKept ({ length, buffer }: Buffer): boolean {
  return length >= minKeptBytes && buffer.byteLength <= 2 * length
}
