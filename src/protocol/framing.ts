/** Length-prefixed CBOR frames over a byte stream. */

import { Encoder, setSizeLimits } from 'cbor-x'
import type { z } from 'zod'
import { messageOf } from '../base/errors.js'

/** Largest payload of a frame, in bytes. */
export const maxFrameBytes = 2 * 1024 * 1024
const headerBytes = 4

// Otherwise a malicious header could declare an array of 2^26 items and make the decoder allocate memory for them.
setSizeLimits({ maxArraySize: 262_144, maxMapSize: 262_144, maxObjectSize: 262_144 })
const codec = new Encoder({ useRecords: false, tagUint8Array: false, variableMapSize: true })

export type FrameFault = 'length' | 'cbor' | 'schema'

/** An error in received or sent bytes. After one in a received frame, the rest of the stream cannot be decoded. */
export class FrameError extends Error {
  constructor (readonly fault: FrameFault, readonly detail: string) {
    super(`invalid frame (${fault}): ${detail}`)
    this.name = 'FrameError'
  }
}

/** Encodes a value as CBOR. */
export function encodeBody (value: unknown): Uint8Array {
  return codec.encode(value)
}

/** Decodes CBOR and validates it against `schema`. Returns a `FrameError` instead of throwing. */
export function decodeBody<T> (bytes: Uint8Array, schema: z.ZodType<T>): T | FrameError {
  let value: unknown
  try {
    value = codec.decode(bytes)
  } catch (error) {
    return new FrameError('cbor', messageOf(error))
  }
  try {
    const result = schema.safeParse(value)
    return result.success ? result.data : new FrameError('schema', result.error.issues[0]?.message ?? 'value does not match the schema')
  } catch (error) {
    return new FrameError('schema', messageOf(error))
  }
}

/** Encodes a value as a frame: 4-byte big-endian length, then CBOR. Throws `FrameError` if the CBOR exceeds `maxFrameBytes`. */
export function encodeFrame (value: unknown): Uint8Array {
  const body = codec.encode(value)
  if (body.length > maxFrameBytes) throw new FrameError('length', `${body.length} bytes, at most ${maxFrameBytes} allowed`)
  const frame = new Uint8Array(headerBytes + body.length)
  new DataView(frame.buffer).setUint32(0, body.length)
  frame.set(body, headerBytes)
  return frame
}

/**
 * Decodes a byte stream into messages. `push` never throws. After the first error it discards all input and returns
 * the same error. At most one incomplete frame is buffered.
 */
export class FrameDecoder<T> {
  private readonly header = new Uint8Array(headerBytes)
  private headerFilled = 0
  private chunks: Uint8Array[] = []
  private missingBytes = 0
  private failure: FrameError | undefined
  private readonly maxBytes: number

  constructor (private readonly schema: z.ZodType<T>, { maxBytes = maxFrameBytes }: { maxBytes?: number } = {}) {
    this.maxBytes = maxBytes
  }

  /** Number of buffered bytes of the incomplete frame. */
  get bufferedBytes (): number {
    return this.headerFilled + this.chunks.reduce((sum, chunk) => sum + chunk.length, 0)
  }

  push (input: Uint8Array): { messages: T[], error?: FrameError } {
    const messages: T[] = []
    let offset = 0
    while (!this.failure && offset < input.length) {
      if (this.headerFilled < headerBytes) {
        this.header[this.headerFilled++] = input[offset++]!
        if (this.headerFilled === headerBytes) this.readLength()
        continue
      }
      const part = input.subarray(offset, offset + this.missingBytes)
      offset += part.length
      this.missingBytes -= part.length
      // Copies the bytes, so that the larger buffer of the socket is not retained.
      this.chunks.push(this.missingBytes > 0 ? part.slice() : part)
      if (this.missingBytes === 0) this.finishFrame(messages)
    }
    return this.failure ? { messages, error: this.failure } : { messages }
  }

  private readLength (): void {
    this.missingBytes = new DataView(this.header.buffer).getUint32(0)
    if (this.missingBytes === 0 || this.missingBytes > this.maxBytes) {
      this.fail(new FrameError('length', `${this.missingBytes} bytes, 1 to ${this.maxBytes} allowed`))
    }
  }

  private finishFrame (messages: T[]): void {
    const decoded = decodeBody(Buffer.concat(this.chunks), this.schema)
    this.headerFilled = 0
    this.chunks = []
    if (decoded instanceof FrameError) this.fail(decoded)
    else messages.push(decoded)
  }

  private fail (error: FrameError): void {
    this.failure = error
    this.chunks = []
    this.headerFilled = 0
  }
}
