/** One authenticated TCP connection between two nodes; both sides send requests over it. */

import { randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import { z } from 'zod'
import type { CancelTimer, Clock } from '../base/clock.js'
import { FailedError, messageOf, NotRunError, UnknownOutcomeError } from '../base/errors.js'
import { decodeBody, encodeBody, encodeFrame, FrameDecoder, FrameError, maxFrameBytes } from '../protocol/framing.js'
import type { PeerHandler, PeerMessage } from '../protocol/messages.js'
import { peerMessageSchema, protocolVersion } from '../protocol/messages.js'
import type { HandshakeMessage, SealedFrame, Side, Transcript } from './peerHandshake.js'
import { FrameSeal, handshakeSchema, nonceBytes, proofOf, sameBytes, sealedSchema } from './peerHandshake.js'

const handshakeTimeoutMs = 3_000
const maxHandshakeBytes = 256
const maxPendingRequests = 256
const maxInboundRequests = 256
/** Above this a peer does not read what it is sent. */
const maxUnsentBytes = 8 * 1024 * 1024
/** A request without an answer ends the connection only after at least this time without any received byte. */
const silentMs = 1_000

/** Correlation ID, kind of frame, message. `refused` proves that the message was not handled. */
const envelopeSchema = z.tuple([z.number(), z.enum(['request', 'reply', 'refused']), z.unknown()])

interface Pending {
  resolve: (message: PeerMessage) => void
  reject: (error: Error) => void
  cancelTimer: CancelTimer
}

export interface PeerConnectionOptions {
  clock: Clock
  socket: Socket
  side: Side
  key: string
  /** `IP:PORT` of this node's own server. */
  selfAddress: string
  handler: PeerHandler
  onReady: (connection: PeerConnection) => void
  onClosed: (connection: PeerConnection, reason: string) => void
  /** Called for a message that does not match any definition, such as one of a newer version. */
  onUnknown: () => void
}

export class PeerConnection {
  /** Address of the peer's server, once known. */
  peerAddress = ''
  ready = false
  private closed = false
  private readonly pending = new Map<number, Pending>()
  private nextId = 1
  private inbound = 0
  private lastReceivedMs = 0
  private readonly handshakeDecoder = new FrameDecoder(handshakeSchema, { maxBytes: maxHandshakeBytes })
  private readonly decoder = new FrameDecoder(sealedSchema)
  private transcript: Partial<Transcript> = {}
  private step: HandshakeMessage['kind']
  private outgoing: FrameSeal | undefined
  private incoming: FrameSeal | undefined
  private readonly cancelHandshakeTimer: CancelTimer

  constructor (private readonly options: PeerConnectionOptions) {
    const { socket, side, clock, selfAddress } = options
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => this.receive(bytes))
    socket.on('error', error => this.close(error.message))
    socket.on('close', () => this.close('connection closed'))
    this.cancelHandshakeTimer = clock.setTimer(handshakeTimeoutMs, () => { if (!this.ready) this.close('handshake timed out') })
    this.step = side === 'server' ? 'hello' : 'challenge'
    if (side === 'client') {
      const nonce = randomBytes(nonceBytes)
      this.transcript = { clientNonce: nonce, address: selfAddress }
      this.write({ kind: 'hello', version: protocolVersion, nonce, address: selfAddress } satisfies HandshakeMessage)
    }
  }

  request (message: PeerMessage, { timeoutMs }: { timeoutMs: number }): Promise<PeerMessage> {
    const target = this.peerAddress
    if (!this.ready || this.closed) return Promise.reject(new NotRunError(target, 'not connected'))
    if (this.pending.size >= maxPendingRequests) return Promise.reject(new NotRunError(target, `more than ${maxPendingRequests} requests are pending`))
    if (this.options.socket.writableLength > maxUnsentBytes) return Promise.reject(new NotRunError(target, `more than ${maxUnsentBytes} bytes are unsent`))
    const id = this.nextId++
    const body = encodeBody([id, 'request', message])
    if (body.length > maxFrameBytes - 64) return Promise.reject(new NotRunError(target, `${message.kind} message of ${body.length} bytes is too long`))
    return new Promise((resolve, reject) => {
      const sentAtMs = this.options.clock.nowMs()
      const cancelTimer = this.options.clock.setTimer(timeoutMs, () => {
        this.pending.delete(id)
        reject(new UnknownOutcomeError(target, `no reply to ${message.kind} within ${timeoutMs} ms`))
        // TCP alone notices a peer that is cut off only after many minutes.
        if (timeoutMs >= silentMs && this.lastReceivedMs < sentAtMs) this.close('no answer')
      })
      this.pending.set(id, { resolve, reject, cancelTimer })
      this.sendSealed(body)
    })
  }

  close (reason: string): void {
    if (this.closed) return
    this.closed = true
    this.cancelHandshakeTimer()
    this.options.socket.destroy()
    for (const { reject, cancelTimer } of this.pending.values()) {
      cancelTimer()
      reject(new UnknownOutcomeError(this.peerAddress, reason))
    }
    this.pending.clear()
    this.options.onClosed(this, reason)
  }

  private receive (bytes: Buffer): void {
    if (this.closed) return
    this.lastReceivedMs = this.options.clock.nowMs()
    if (!this.ready) return this.receiveHandshake(bytes)
    const { messages, error } = this.decoder.push(bytes)
    for (const frame of messages) if (!this.closed) this.receiveFrame(frame)
    if (error) this.close(error.message)
  }

  private receiveHandshake (bytes: Buffer): void {
    const { messages, error } = this.handshakeDecoder.push(bytes)
    // Each side waits for the other in turn, so that a second message or a rest is a violation.
    if (error || messages.length > 1) return this.close(error?.message ?? 'unexpected handshake message')
    const message = messages[0]
    if (!message) return
    if (this.handshakeDecoder.bufferedBytes > 0 || message.kind !== this.step) return this.close('unexpected handshake message')
    this.answerHandshake(message)
  }

  private answerHandshake (message: HandshakeMessage): void {
    const { key } = this.options
    switch (message.kind) {
      case 'hello': {
        if (message.version !== protocolVersion) return this.close(`protocol version ${message.version} is not supported`)
        const nonce = randomBytes(nonceBytes)
        this.transcript = { clientNonce: message.nonce, address: message.address, serverNonce: nonce }
        this.step = 'proof'
        return this.write({ kind: 'challenge', nonce } satisfies HandshakeMessage)
      }
      case 'challenge':
        this.transcript.serverNonce = message.nonce
        this.step = 'welcome'
        return this.write({ kind: 'proof', proof: proofOf(key, 'client', this.transcript as Transcript) } satisfies HandshakeMessage)
      case 'proof': {
        const transcript = this.transcript as Transcript
        if (!sameBytes(message.proof, proofOf(key, 'client', transcript))) return this.close('the client does not know the key')
        this.write({ kind: 'welcome', proof: proofOf(key, 'server', transcript) } satisfies HandshakeMessage)
        this.peerAddress = transcript.address
        return this.finishHandshake(transcript)
      }
      case 'welcome': {
        const transcript = this.transcript as Transcript
        if (!sameBytes(message.proof, proofOf(key, 'server', transcript))) return this.close('the server does not know the key')
        return this.finishHandshake(transcript)
      }
    }
  }

  private finishHandshake (transcript: Transcript): void {
    const { key, side } = this.options
    this.outgoing = new FrameSeal(key, side, transcript)
    this.incoming = new FrameSeal(key, side === 'client' ? 'server' : 'client', transcript)
    this.ready = true
    this.cancelHandshakeTimer()
    this.options.onReady(this)
  }

  private receiveFrame (frame: SealedFrame): void {
    if (!this.incoming!.accepts(frame)) return this.close('a frame is altered or repeated')
    const envelope = decodeBody(frame[2], envelopeSchema)
    if (envelope instanceof FrameError) return this.close(envelope.message)
    const [id, kind, content] = envelope
    const parsed = peerMessageSchema.safeParse(content)
    if (!parsed.success) this.options.onUnknown()
    if (kind === 'request') {
      if (!parsed.success) this.sendSealed(encodeBody([id, 'refused', { kind: 'error', message: 'unknown message' }]))
      else this.answer(id, parsed.data)
      return
    }
    const pending = this.pending.get(id)
    if (!pending) return
    this.pending.delete(id)
    pending.cancelTimer()
    if (!parsed.success) pending.reject(new UnknownOutcomeError(this.peerAddress, 'the reply is of an unknown kind'))
    else if (kind === 'refused') pending.reject(new NotRunError(this.peerAddress, parsed.data.kind === 'error' ? parsed.data.message : 'refused'))
    else if (parsed.data.kind === 'error') pending.reject(new FailedError(this.peerAddress, parsed.data.message))
    else pending.resolve(parsed.data)
  }

  private async answer (id: number, message: PeerMessage): Promise<void> {
    if (this.inbound >= maxInboundRequests) {
      return this.sendSealed(encodeBody([id, 'refused', { kind: 'error', message: 'too many requests' }]))
    }
    this.inbound++
    let reply: PeerMessage
    try {
      reply = await this.options.handler(message)
    } catch (error) {
      reply = { kind: 'error', message: messageOf(error) }
    } finally {
      this.inbound--
    }
    const body = encodeBody([id, 'reply', reply])
    const fits = body.length <= maxFrameBytes - 64
    this.sendSealed(fits ? body : encodeBody([id, 'reply', { kind: 'error', message: `reply of ${body.length} bytes is too long` }]))
  }

  private sendSealed (body: Uint8Array): void {
    if (!this.closed) this.write(this.outgoing!.seal(body))
  }

  private write (value: unknown): void {
    this.options.socket.write(encodeFrame(value))
  }
}
