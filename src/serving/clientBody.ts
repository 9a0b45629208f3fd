/** Reads the bodies of requests into memory that is counted over all clients. */

import type { IncomingMessage } from 'node:http'
import { ByteBlocks } from '../base/byteBlocks.js'
import { progressBytes } from '../policy/clientMemory.js'
import type { ActiveUpload, ClientMemory } from './clientMemory.js'
import { headTextBytes } from './requestHead.js'

/** Estimate of the memory that the objects of one request take besides its head and body. */
const requestBytes = 6 * 1024
/** The same for each field of its head: 95 to 119 bytes were measured with 930 fields (Node.js 20). */
const fieldBytes = 120

/** `too-large`: over the limit for one body. `no-room`: over the limit for all. `stalled`: no progress. `left`: the client closed the connection. */
export type BodyFailure = 'too-large' | 'no-room' | 'stalled' | 'left'

/** A request's head and body, counted from its arrival until `release`. */
export class ClientBody {
  /** The complete body, in blocks, or why there is none. The rest of a body that failed is not read. */
  readonly result: Promise<readonly Buffer[] | BodyFailure>
  private storage = new ByteBlocks()
  private readonly maxBytes: number
  private readonly requestId: string | undefined
  private readonly headBytes: number
  private receivedBytes = 0
  private resolve: (result: readonly Buffer[] | BodyFailure) => void = () => {}
  private isSettled = false
  private stopWatching = () => {}
  private readonly upload: ActiveUpload
  private bytesAtProgress = 0

  /** Until `deadlineAtMs`, the body may come slowly while there is room. */
  constructor (
    private readonly request: IncomingMessage, private readonly memory: ClientMemory,
    { maxBytes, deadlineAtMs, open }: { maxBytes: number, deadlineAtMs: number, open?: { requestId: string | undefined, isPipelined: boolean } }
  ) {
    const nowMs = memory.clock.nowMs()
    this.maxBytes = maxBytes
    this.requestId = open?.requestId
    this.upload = { progressAtMs: nowMs, receivedAtMs: nowMs, deadlineAtMs, heldBytes: 0, giveUp: () => this.settle('stalled') }
    this.result = new Promise(resolve => { this.resolve = resolve })
    this.headBytes = requestBytes + headTextBytes(request) + request.rawHeaders.length / 2 * fieldBytes
    const isHeadHeld = this.hold(this.headBytes)
    // A refusal would wait for the earlier responses on the connection, and meanwhile nothing counts the request's objects.
    if (!isHeadHeld && open?.isPipelined) request.socket.destroy()
    const declaredBytes = Number(request.headers['content-length'] ?? 0)
    if (declaredBytes > maxBytes) this.settle('too-large')
    // Taken at once, so that bodies that have begun can be completed.
    else if (!isHeadHeld || !this.hold(this.headBytes + declaredBytes)) this.settle('no-room')
    else {
      this.storage = new ByteBlocks(declaredBytes)
      this.read()
    }
  }

  /** Time of the last progress; `undefined` unless the body is under way. */
  get waitsSinceMs (): number | undefined {
    return this.isSettled ? undefined : this.upload.progressAtMs
  }

  /** Gives the memory back. */
  release (): void {
    this.settle('left')
    this.hold(0)
    this.storage.clear()
  }

  private read (): void {
    const { request, memory } = this
    this.stopWatching = memory.watch(this.upload)
    request.on('data', this.onData)
    request.once('end', () => this.settle(this.storage.take()))
    request.once('close', () => this.settle('left'))
    request.on('error', () => this.settle('left'))
  }

  private readonly onData = (data: Buffer): void => {
    const nowMs = this.memory.clock.nowMs()
    this.receivedBytes += data.length
    this.upload.receivedAtMs = nowMs
    if (this.receivedBytes > this.maxBytes) return this.settle('too-large')
    const capacityBytes = this.storage.capacityWith(data)
    if (this.headBytes + capacityBytes > this.upload.heldBytes && !this.grow(this.headBytes + capacityBytes)) return this.settle('no-room')
    this.storage.push(data)
    if (this.receivedBytes - this.bytesAtProgress < progressBytes) return
    this.bytesAtProgress = this.receivedBytes
    this.upload.progressAtMs = nowMs
  }

  /** Holds more for a body under way. It is not watched meanwhile, since it must not be given up to make room for itself. */
  private grow (bytes: number): boolean {
    this.stopWatching()
    const isHeld = this.hold(bytes)
    this.stopWatching = this.memory.watch(this.upload)
    return isHeld
  }

  private hold (bytes: number): boolean {
    const isHeld = this.memory.budget.resize(this.upload.heldBytes, bytes)
    if (isHeld) this.upload.heldBytes = bytes
    return isHeld
  }

  private settle (result: readonly Buffer[] | BodyFailure): void {
    if (this.isSettled) return
    this.isSettled = true
    this.stopWatching()
    this.request.off('data', this.onData)
    if (typeof result === 'string') {
      // Until the refusal has been sent, nothing more is read.
      this.request.pause()
      this.hold(0)
      this.storage.clear()
      if (result !== 'left') this.memory.onLimit(({ 'too-large': 'body-size', 'no-room': 'memory', stalled: 'body-stall' } as const)[result], this.requestId)
    }
    this.resolve(result)
  }
}
