/**
 * Decides which bytes of an event stream may be sent when, so that a stream without a length or chunks that is cut after any write ends
 * inside an event, for readers that drop comments too. The line end that completes an event is held back until what follows it is known, or
 * until it must be sent to be on time; the first byte of the next event then goes with it.
 */

/** An event with its separator, or a block that carries no data. */
export interface StreamBlock {
  bytes: Buffer
  isComment: boolean
}

/** Longest time for which a line end is held back. Streams are late if an event takes some 250 ms or more to pass a node. */
export const lineEndHoldMs = 100
/** The same until the second event: the objective of a stream is measured by its first one. */
export const firstLineEndHoldMs = 20

const empty: Buffer = Buffer.alloc(0)
const lineFeed = Buffer.from('\n')
const carriageReturn = 13
/** What an event is taken to begin with if the one before it does not begin with the name of a field. */
const usualFirstByte: Buffer = Buffer.from('d')
const fieldStart = /^[A-Za-z]/

export class StreamTail {
  /** What has arrived and is not sent. */
  private held: Buffer = empty
  /** First byte of the last event. */
  private firstByte: Buffer = usualFirstByte
  /** First byte of an event that has not arrived, if it has been sent. */
  private sentAhead: Buffer | undefined
  private events = 0

  /** Whether bytes are held back. */
  get isHolding (): boolean {
    return this.held.length > 0
  }

  /** Time after which what is held back must be released. */
  get holdMs (): number {
    return this.events > 1 ? lineEndHoldMs : firstLineEndHoldMs
  }

  /** Returns what to send of what is held back and `blocks`. */
  push (blocks: readonly StreamBlock[]): Buffer {
    const lastEvent = blocks.findLastIndex(({ isComment }) => !isComment)
    const pending = Buffer.concat([this.held, ...blocks.map(({ bytes }) => bytes)])
    if (lastEvent === -1) {
      this.held = pending
      return empty
    }
    this.events += blocks.filter(({ isComment }) => !isComment).length
    const { bytes } = blocks[lastEvent]!
    const commentBytes = blocks.slice(lastEvent + 1).reduce((sum, block) => sum + block.bytes.length, 0)
    const sentBytes = pending.length - commentBytes - lineEndBytes(bytes)
    const sent = this.afterSentAhead(pending.subarray(0, sentBytes))
    this.sentAhead = undefined
    this.held = pending.subarray(sentBytes)
    // A copy, since a view would keep the whole event in memory until the next one.
    this.firstByte = fieldStart.test(bytes.toString('latin1', 0, 1)) ? Buffer.of(bytes[0]!) : usualFirstByte
    return sent
  }

  /** Returns all that is held back, and the first byte of the next event. */
  release (): Buffer {
    if (!this.isHolding) return empty
    const released = Buffer.concat([this.afterSentAhead(this.held), this.firstByte])
    this.held = empty
    this.sentAhead = this.firstByte
    return released
  }

  /** Returns what completes the stream. */
  end (): Buffer {
    const rest = this.isHolding || !this.sentAhead ? this.afterSentAhead(this.held) : Buffer.concat([lineFeed, lineFeed])
    this.held = empty
    this.sentAhead = undefined
    return rest
  }

  /** `bytes` without the byte that has been sent ahead, or after a line end, which turns that byte into a field that readers ignore. */
  private afterSentAhead (bytes: Buffer): Buffer {
    if (!this.sentAhead) return bytes
    return bytes[0] === this.sentAhead[0] ? bytes.subarray(1) : Buffer.concat([lineFeed, bytes])
  }
}

/** Length of the line end that completes an event. */
function lineEndBytes (event: Buffer): number {
  return event.at(-2) === carriageReturn && event.at(-1) === lineFeed[0] ? 2 : 1
}
