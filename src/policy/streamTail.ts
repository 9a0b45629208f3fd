/**
 * Decides which bytes of an event stream may be sent when, so that a stream without a length or chunks that is cut after any write ends
 * inside an event, for readers that drop comments too. The line end that completes an event is held back until the next event, or until
 * the end of the stream: nothing but the bytes of the stream can tell a reader whether it was cut.
 */

import { ByteBuffer } from '../base/byteBuffer.js'

/** An event with its separator, or a block that carries no data. */
export interface StreamBlock {
  bytes: Buffer
  isComment: boolean
}

const empty: Buffer = Buffer.alloc(0)
const lineFeed = 10
const carriageReturn = 13

export class StreamTail {
  /** What has arrived and is not sent: the line end of the last event, and the comments after it. */
  private held = new ByteBuffer()

  get heldBytes (): number {
    return this.held.length
  }

  /** Returns what to send of what is held back and `blocks`. */
  push (blocks: readonly StreamBlock[]): Buffer {
    const lastEvent = blocks.findLastIndex(({ isComment }) => !isComment)
    if (lastEvent === -1) {
      for (const { bytes } of blocks) this.held.push(bytes)
      return empty
    }
    const pending = Buffer.concat([this.held.bytes, ...blocks.map(({ bytes }) => bytes)])
    const { bytes } = blocks[lastEvent]!
    const commentBytes = blocks.slice(lastEvent + 1).reduce((sum, block) => sum + block.bytes.length, 0)
    const sentBytes = pending.length - commentBytes - lineEndBytes(bytes)
    // A copy, since a view would keep the whole event in memory until the next one.
    this.held = new ByteBuffer()
    this.held.push(pending.subarray(sentBytes))
    return pending.subarray(0, sentBytes)
  }

  /** Returns what completes the stream. */
  end (): Buffer {
    const { bytes } = this.held
    this.held = new ByteBuffer()
    return bytes
  }
}

/** Length of the line end that completes an event. */
function lineEndBytes (event: Buffer): number {
  return event.at(-2) === carriageReturn && event.at(-1) === lineFeed ? 2 : 1
}
