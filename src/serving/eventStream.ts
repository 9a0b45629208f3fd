/** Splits an event stream into complete events, so that another engine can resume after the last one. */

import { ByteBuffer } from '../base/byteBuffer.js'
import type { PositionedEvent } from '../policy/streamPosition.js'

const lineFeed = 10
const carriageReturn = 13
/** A stream may begin with one, which belongs to no line. */
const byteOrderMark = Buffer.from('\ufeff')
/** Longer numbers are no event IDs. */
const idField = /^id:\s*(\d{1,64})\s*$/
const comment = /^(?:(?:(?::|retry:)[^\r\n]*)?(?:\r\n|\n|\r))*$/

export interface StreamEvent extends PositionedEvent {
  /** The event with its separator. */
  bytes: Buffer
}

/** Splits at empty lines. Lines end with LF, CRLF or CR. */
export class EventSplitter {
  private pending = new ByteBuffer()
  /** Up to here, `pending` has been searched for ends of lines. */
  private searched = 0
  /** Start of the line that is not complete. */
  private lineStart = 0
  /** ID of the event that is not complete. */
  private id: bigint | undefined
  private isAtStart = true
  /** Whether the stream continues another one, within which a byte order mark would belong to the name of a field. */
  dropsByteOrderMark = false
  /** Whether a line has ended with CR alone, so that a CR need not be the first half of CRLF. */
  private endsLinesWithReturn = false
  /** Whether an LF that comes next belongs to the last line end. */
  private mayGetLineFeed = false

  /** Returns the events that `data` completes. */
  push (data: Buffer): StreamEvent[] {
    this.pending.push(data)
    if (this.isAtStart && !this.skipByteOrderMark(this.pending.bytes)) return []
    const { bytes } = this.pending
    const events: StreamEvent[] = []
    let start = 0
    for (let end = this.nextLineEnd(bytes); end !== undefined; end = this.nextLineEnd(bytes)) {
      const isEmpty = end.from === this.lineStart
      if (!isEmpty) this.readLine(bytes, end.from)
      this.searched = this.lineStart = end.to
      if (!isEmpty) continue
      const event = bytes.subarray(start, end.to)
      events.push({ id: this.id, isComment: this.id === undefined && isComment(event), bytes: event })
      this.id = undefined
      start = end.to
    }
    if (start > 0) {
      // The events are views of the old buffer, so it must not be written to any more.
      this.pending = new ByteBuffer()
      this.pending.push(bytes.subarray(start))
      this.searched -= start
      this.lineStart -= start
    }
    return events
  }

  get pendingBytes (): number {
    return this.pending.length
  }

  /** Bytes after the last complete event. */
  get remainder (): Buffer {
    return this.lineEndRest ? this.pending.bytes.subarray(1) : this.pending.bytes
  }

  /** The second half of the CRLF that ended the last event, if it came apart from the first and nothing follows it. */
  get lineEndRest (): Buffer | undefined {
    const { bytes } = this.pending
    // Any other LF would have completed an empty event.
    return bytes.length === 1 && bytes[0] === lineFeed ? bytes : undefined
  }

  /** Returns false if more bytes are needed to tell whether there is one. */
  private skipByteOrderMark (bytes: Buffer): boolean {
    const prefix = bytes.subarray(0, byteOrderMark.length)
    if (prefix.equals(byteOrderMark)) {
      if (this.dropsByteOrderMark) {
        this.pending = new ByteBuffer()
        this.pending.push(bytes.subarray(prefix.length))
      } else this.searched = this.lineStart = prefix.length
    } else if (byteOrderMark.subarray(0, prefix.length).equals(prefix)) return false
    this.isAtStart = false
    return true
  }

  /** The next end of a line that is known to be complete: from where it starts to the next line. */
  private nextLineEnd (bytes: Buffer): { from: number, to: number } | undefined {
    for (; this.searched < bytes.length; this.searched++) {
      const from = this.searched
      const byte = bytes[from]
      if (this.mayGetLineFeed) {
        this.mayGetLineFeed = false
        if (byte === lineFeed) {
          this.lineStart = from + 1
          continue
        }
      }
      if (byte === lineFeed) return { from, to: from + 1 }
      if (byte !== carriageReturn) continue
      if (from + 1 < bytes.length) {
        if (bytes[from + 1] === lineFeed) return { from, to: from + 2 }
        this.endsLinesWithReturn = true
        return { from, to: from + 1 }
      }
      // The second half of a CRLF may follow.
      if (!this.endsLinesWithReturn) return undefined
      this.mayGetLineFeed = true
      return { from, to: from + 1 }
    }
    return undefined
  }

  private readLine (bytes: Buffer, end: number): void {
    const { lineStart } = this
    // Most lines hold data, which is not decoded.
    if (bytes[lineStart] !== 0x69 || bytes[lineStart + 1] !== 0x64 || bytes[lineStart + 2] !== 0x3a) return
    const value = idField.exec(bytes.toString('latin1', lineStart, end))?.[1]
    this.id = value === undefined ? undefined : BigInt(value)
  }
}

/** Whether the event consists of comments and `retry` fields, which carry no data. */
function isComment (event: Buffer): boolean {
  return comment.test(event.toString('latin1'))
}
