/** Splits an event stream into complete events, so that another engine can resume after the last one. */

import { ByteBuffer } from '../base/byteBuffer.js'

const lineFeed = 10
const carriageReturn = 13
/** Bytes of an event separator that may end the previous chunk, so the search starts again this far before its end. */
const partialEndBytes = 3

export interface StreamEvent {
  /** Value of the `id` field, if it is a number. */
  id: number | undefined
  /** The event with its separator. */
  bytes: Buffer
}

/** Whether the event consists of comments and `retry` fields, which carry no data. */
export function isComment (event: Buffer): boolean {
  return /^(?:(?:(?::|retry:)[^\r\n]*)?\r?\n)*$/.test(event.toString('latin1'))
}

export class EventSplitter {
  private pending = new ByteBuffer()

  /** Returns the events that `data` completes. */
  push (data: Buffer): StreamEvent[] {
    const searchFrom = Math.max(0, this.pending.length - partialEndBytes)
    this.pending.push(data)
    const { bytes } = this.pending
    const events: StreamEvent[] = []
    let start = 0
    for (let end = endOfEvent(bytes, start, searchFrom); end !== -1; end = endOfEvent(bytes, start, start)) {
      const event = bytes.subarray(start, end)
      events.push({ id: idOf(event), bytes: event })
      start = end
    }
    if (start > 0) {
      // The events are views of the old buffer, so it must not be written to any more.
      this.pending = new ByteBuffer()
      this.pending.push(bytes.subarray(start))
    }
    return events
  }

  get pendingBytes (): number {
    return this.pending.length
  }

  /** Bytes after the last complete event. */
  get remainder (): Buffer {
    return this.pending.bytes
  }
}

/** Returns the end of the event that starts at `start`, or -1 if it is incomplete. Its separator does not start before `from`. */
function endOfEvent (bytes: Buffer, start: number, from: number): number {
  for (let at = bytes.indexOf(lineFeed, from); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
    if (bytes[at + 1] === lineFeed) return at + 2
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed && at > start && bytes[at - 1] === carriageReturn) return at + 3
  }
  return -1
}

function idOf (event: Buffer): number | undefined {
  const match = /(?:^|\n)id: ?(\d+)/.exec(event.toString('latin1', 0, Math.min(event.length, 256)))
  return match ? Number(match[1]) : undefined
}
