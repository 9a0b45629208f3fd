/** Writes log lines without ever blocking on their reader. */

import { write as writeFile, writeSync } from 'node:fs'
import type { CancelTimer, Clock } from '../base/clock.js'

/** Lines are collected for this time and written together. */
const flushMs = 100
/** Lines beyond this are dropped and counted. It holds some seconds of a node's usual output. */
const maxQueuedBytes = 256 * 1024

type Write = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void

/** Writes to a descriptor asynchronously: a synchronous write to a pipe without a reader would block the event loop. */
export function descriptorWrite (descriptor: number): Write {
  return (bytes, done) => writeFile(descriptor, bytes, 0, bytes.length, null, (error, written) => done(error, written ?? 0))
}

export class LineWriter {
  dropped = 0
  private readonly clock: Clock
  private readonly write: Write
  private lines: string[] = []
  private queuedBytes = 0
  private isWriting = false
  private cancelTimer: CancelTimer | undefined

  constructor ({ clock, write }: { clock: Clock, write: Write }) {
    this.clock = clock
    this.write = write
  }

  get bufferedBytes (): number {
    return this.queuedBytes
  }

  push (line: string): void {
    if (this.queuedBytes + line.length > maxQueuedBytes) {
      this.dropped++
      return
    }
    this.lines.push(line)
    this.queuedBytes += line.length
    this.cancelTimer ??= this.clock.setTimer(flushMs, () => this.flush())
  }

  /** Writes the queued lines synchronously at the end of the process; counts them as dropped if that fails. */
  finish (descriptor: number): void {
    if (this.isWriting || this.lines.length === 0) return
    try {
      writeSync(descriptor, this.lines.join(''))
    } catch {
      // The reader has closed the pipe or does not read, and the process ends.
      this.dropped += this.lines.length
    }
    this.lines = []
  }

  private flush (): void {
    this.cancelTimer = undefined
    if (this.isWriting || this.lines.length === 0) return
    const count = this.lines.length
    const bytes = Buffer.from(this.lines.join(''))
    const lineBytes = this.lines.reduce((sum, line) => sum + line.length, 0)
    this.lines = []
    this.isWriting = true
    this.writeAll(bytes, isWritten => {
      this.isWriting = false
      this.queuedBytes -= lineBytes
      if (!isWritten) this.dropped += count
      if (this.lines.length > 0) this.cancelTimer ??= this.clock.setTimer(flushMs, () => this.flush())
    })
  }

  private writeAll (bytes: Buffer, done: (isWritten: boolean) => void): void {
    this.write(bytes, (error, written) => {
      if (error && (error as NodeJS.ErrnoException).code === 'EAGAIN') {
        this.clock.setTimer(flushMs, () => this.writeAll(bytes, done))
        return
      }
      if (error) return done(false)
      if (written < bytes.length) return this.writeAll(bytes.subarray(written), done)
      done(true)
    })
  }
}
