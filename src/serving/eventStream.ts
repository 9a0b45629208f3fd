/** Splits an event stream into whole events, so that another engine can go on after the last one. */

/** Events longer than this end the stream. */
const maxEventBytes = 1024 * 1024
const separator = Buffer.from('\n\n')
const crlfSeparator = Buffer.from('\r\n\r\n')

export interface StreamEvent {
  /** Value of the `id` field, if it is a number. */
  id: number | undefined
  /** The event with its separator. */
  bytes: Buffer
}

export class EventSplitter {
  private pending = Buffer.alloc(0)

  /** Whole events in `data` and what was kept before. */
  push (data: Buffer): StreamEvent[] {
    let rest = this.pending.length > 0 ? Buffer.concat([this.pending, data]) : data
    const events: StreamEvent[] = []
    for (let end = endOfEvent(rest); end !== -1; end = endOfEvent(rest)) {
      const bytes = rest.subarray(0, end)
      events.push({ id: idOf(bytes), bytes })
      rest = rest.subarray(end)
    }
    this.pending = Buffer.from(rest)
    return events
  }

  get isOversized (): boolean {
    return this.pending.length > maxEventBytes
  }

  /** Bytes after the last whole event. */
  get remainder (): Buffer {
    return this.pending
  }
}

function endOfEvent (bytes: Buffer): number {
  const plain = bytes.indexOf(separator)
  const crlf = bytes.indexOf(crlfSeparator)
  if (plain === -1) return crlf === -1 ? -1 : crlf + crlfSeparator.length
  return crlf !== -1 && crlf < plain ? crlf + crlfSeparator.length : plain + separator.length
}

function idOf (event: Buffer): number | undefined {
  const match = /(?:^|\n)id: ?(\d+)/.exec(event.toString('latin1', 0, Math.min(event.length, 256)))
  return match ? Number(match[1]) : undefined
}
