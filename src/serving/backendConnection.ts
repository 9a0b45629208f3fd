/** A persistent connection to a backend server that carries one request at a time. */

import { connect, Socket } from 'node:net'
import type { CancelTimer, Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { ByteBudget } from './byteBudget.js'
import type { LivenessQuestion, ProcessEvidence } from './processEvidence.js'
import { ResponseReader } from './responseReader.js'
import type { ResponseHead } from './responseReader.js'

/** A healthy backend server accepts within one round trip; the rest covers one lost SYN packet on a link with a short round trip. */
const connectTimeoutMs = 1000
/** Number of requests on a connection to which a server may repeat its response. */
const maxRequestIds = 64

/** How a request/response exchange ended without a complete response. */
export interface ExchangeFailure {
  /** Whether any byte of the request may have reached the server. */
  wasSent: boolean
  /** Whether the connection was refused or could not be opened. */
  isUnreachable: boolean
  reason: string
  /** The response may be complete: it ended with its connection, and nothing shows that its server outlived it. */
  isEndUnproved?: boolean
  /** This node had no room for the response, without a fault of the server. */
  isNoRoom?: boolean
}

type FailureDetails = Pick<ExchangeFailure, 'isEndUnproved' | 'isNoRoom'>

export interface SendOptions {
  /** Absent for calls. */
  requestId?: string | undefined
  /** Whether the request may be sent again if the end of its response cannot be proved. */
  isRepeatable?: boolean
}

export interface ResponseHandler {
  /**
   * Returns whether the response belongs to the request; other responses are skipped. With `isFirst`, the connection has carried no
   * other request, so the response cannot belong to one.
   */
  accepts (head: ResponseHead, context: { isFirst: boolean }): boolean
  onHead (head: ResponseHead): void
  onData (data: Buffer): void
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

interface ActiveExchange {
  handler: ResponseHandler
  bytes: readonly Buffer[]
  isRequest: boolean
  isWritten: boolean
  /** Order in which it was written, among what the evidence orders. */
  sentAt: number
  /** Whether the end of a response without a length needs no evidence, because the head says everything. */
  endsAtHead: boolean
}

export interface ConnectionOptions {
  address: string
  clock: Clock
  /** Called when the connection is ready for the next request. */
  onIdle (connection: BackendConnection): void
  onClosed (connection: BackendConnection): void
  onBytes (): void
  /** Shows whether the server's process outlived a response that ended with its connection. */
  evidence: ProcessEvidence
  /** Counts the bytes of an incomplete head or chunk line. */
  buffered: ByteBudget
  /** Called when the server has accepted the connection. */
  onConnected? (): void
}

/** Reads the `timeout` of a `Keep-Alive` header, in milliseconds. */
function keepAliveMs (head: ResponseHead): number | undefined {
  const match = /timeout\s*=\s*(\d+)/i.exec(head.headers.get('keep-alive') ?? '')
  return match ? Number(match[1]) * 1000 : undefined
}

/** Opens a socket. An address that cannot be used fails it like one that cannot be reached. */
function openSocket (address: string): Socket {
  const [host, port] = address.split(':')
  try {
    return connect({ host: host!, port: Number(port), noDelay: true })
  } catch (error) {
    return new Socket().destroy(error as Error)
  }
}

export class BackendConnection {
  /** Idle timeout of the server, in milliseconds, if its last response named one. */
  keepAliveMs: number | undefined
  idleSinceMs = 0
  /** Whether its server seemed unreachable, and nothing has been received on this connection since. */
  mayBeDead = false
  /** Order from which the process at the other end is known to have been there. */
  processSince = Infinity
  /** IDs of the last requests on this connection, oldest first. */
  private readonly requestIds: string[] = []
  /** Requests and calls sent on this connection. */
  private exchanges = 0
  /** Whether a call was sent on this connection; responses to calls name no request. */
  hasCarriedCalls = false
  private heldBytes = 0
  private readonly socket: Socket
  private readonly reader: ResponseReader
  private readonly options: ConnectionOptions
  private active: ActiveExchange | undefined
  private keepsAlive = true
  private hasConnected = false
  private isClosed = false
  private isConfirming = false
  /** Whether the request must not be written yet. */
  private isPreparing = false
  /** Whether the server's machine refused the connection: no process listens at the address. */
  wasRefused = false
  private cancelConnectTimer: CancelTimer

  constructor (options: ConnectionOptions) {
    this.options = options
    this.socket = openSocket(options.address)
    this.reader = new ResponseReader({
      accepts: head => this.active!.handler.accepts(head, { isFirst: this.exchanges === 1 }),
      onHead: head => this.onHead(head),
      onData: data => this.active?.handler.onData(data),
      onEnd: leftover => this.onEnd(leftover),
      onInvalid: reason => this.fail(reason)
    })
    this.cancelConnectTimer = options.clock.setTimer(connectTimeoutMs, () => { void this.onConnectTimeout() })
    this.socket.on('connect', () => this.onConnect())
    this.socket.on('data', data => this.onData(data))
    this.socket.on('end', () => this.onServerClosed())
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasRefused = error.code === 'ECONNREFUSED'
      // After the server's orderly close, only the rest of the request is lost, which it has not read.
      if (!this.isConfirming) this.fail(error.message)
    })
    this.socket.on('close', () => { if (!this.isConfirming) this.fail('the connection was closed') })
  }

  get isOpen (): boolean {
    return !this.isClosed
  }

  /** Whether the server has accepted the connection, and it is open. */
  get isConnected (): boolean {
    return this.hasConnected && !this.isClosed
  }

  get isBusy (): boolean {
    return this.active !== undefined
  }

  /** Whether nothing was sent on this connection, so that no earlier response can arrive on it. */
  get isUnused (): boolean {
    return this.exchanges === 0
  }

  /** Whether more than the exchange in progress took place on this connection: its server may repeat an earlier response. */
  get isReused (): boolean {
    return this.exchanges > 1
  }

  /**
   * Whether a response to the request may still arrive on this connection: a server that repeats an earlier response could answer
   * another attempt of the same request with it.
   */
  hasCarried (requestId: string): boolean {
    return this.requestIds.includes(requestId)
  }

  /** Sends a request, or a call if it has no ID. Must not be called while another is in progress. */
  send (method: string, bytes: Buffer | readonly Buffer[], handler: ResponseHandler, { requestId, isRepeatable = true }: SendOptions = {}): void {
    if (requestId !== undefined) {
      this.requestIds.push(requestId)
      if (this.requestIds.length > maxRequestIds) this.requestIds.shift()
    }
    const isRequest = requestId !== undefined
    const active = this.begin(method, { handler, bytes: Buffer.isBuffer(bytes) ? [bytes] : bytes, isRequest, endsAtHead: false })
    if (this.isClosed) return this.failActive('the connection was closed', true)
    const prepared = this.options.evidence.prepare(this, { isRequest, isRepeatable })
    this.isPreparing = prepared !== undefined
    void prepared?.then(() => {
      this.isPreparing = false
      if (this.active === active) this.writeWhenReady()
    })
    this.writeWhenReady()
  }

  /** Asks whether the server's process is alive. Resolves with false if it does not answer within `timeoutMs`, and closes the connection. */
  ask ({ method, bytes, accepts }: LivenessQuestion, { timeoutMs }: { timeoutMs: number }): Promise<boolean> {
    return new Promise(resolve => {
      let isAnswered = false
      const finish = () => {
        cancel()
        resolve(isAnswered)
      }
      const cancel = this.options.clock.setTimer(timeoutMs, async () => {
        // The answer may have arrived while the event loop was blocked.
        await ioTurn()
        if (this.active === active) this.fail('no answer to a question in time')
      })
      const handler: ResponseHandler = { accepts, onHead: () => { isAnswered = true }, onData: () => {}, onEnd: finish, onFailure: finish }
      const active = this.begin(method, { handler, bytes: [bytes], isRequest: false, endsAtHead: true })
      if (this.isClosed) this.failActive('the connection was closed', true)
      else this.writeWhenReady()
    })
  }

  private begin (method: string, exchange: Pick<ActiveExchange, 'handler' | 'bytes' | 'isRequest' | 'endsAtHead'>): ActiveExchange {
    this.exchanges++
    if (!exchange.isRequest) this.hasCarriedCalls = true
    this.active = { ...exchange, isWritten: false, sentAt: Infinity }
    this.reader.expect(method)
    return this.active
  }

  /** Closes the connection. An exchange in progress ends without a call of its handler. */
  destroy (): void {
    this.active = undefined
    this.fail('closed by this node')
  }

  private onConnect (): void {
    this.cancelConnectTimer()
    this.hasConnected = true
    this.processSince = this.options.evidence.nextOrder()
    this.options.onBytes()
    this.options.onConnected?.()
    this.writeWhenReady()
  }

  private async onConnectTimeout (): Promise<void> {
    // The server may have accepted while the event loop was blocked.
    await ioTurn()
    if (!this.hasConnected) this.fail('the connection was not accepted before the connect timeout')
  }

  private writeWhenReady (): void {
    const { active } = this
    if (!active || active.isWritten || this.isPreparing || !this.isConnected) return
    active.isWritten = true
    active.sentAt = this.options.evidence.nextOrder()
    this.socket.cork()
    for (const part of active.bytes) this.socket.write(part)
    this.socket.uncork()
  }

  private onData (data: Buffer): void {
    this.mayBeDead = false
    this.options.onBytes()
    // Unsolicited bytes must not be parsed as the next response.
    if (!this.active) return this.fail('bytes arrived without a request')
    this.reader.push(data)
    if (!this.isClosed && !this.hold(this.reader.pendingBytes)) this.fail('this node holds too much for its clients', { isNoRoom: true })
  }

  private hold (bytes: number): boolean {
    const isHeld = this.options.buffered.resize(this.heldBytes, bytes)
    if (isHeld) this.heldBytes = bytes
    return isHeld
  }

  private onHead (head: ResponseHead): void {
    this.keepsAlive = head.keepsAlive
    this.keepAliveMs = keepAliveMs(head)
    this.options.evidence.onHead(this, head, this.active!)
    this.active!.handler.onHead(head)
  }

  private onEnd (leftover: Buffer): void {
    const active = this.active
    if (!active) return
    this.active = undefined
    const isFlushed = this.socket.writableLength === 0
    if (!this.keepsAlive || !isFlushed || leftover.length > 0) this.fail('the connection cannot be reused')
    active.handler.onEnd()
    if (this.isClosed) return
    this.idleSinceMs = this.options.clock.nowMs()
    this.options.onIdle(this)
  }

  private onServerClosed (): void {
    const { active } = this
    // A reset that arrives together with data, while a request is being written, is reported as an orderly close; the socket then has no peer.
    if (this.socket.remoteAddress === undefined) this.fail('the connection was reset')
    else if (active && this.reader.endsWithConnection && !active.endsAtHead) void this.confirmEnd(active)
    else this.fail('the server closed the connection')
  }

  /** The connection of a process that is killed closes just as at the end of a body without length. */
  private async confirmEnd (active: ActiveExchange): Promise<void> {
    this.isConfirming = true
    const isAlive = await this.options.evidence.isProcessAlive(active.sentAt)
    this.isConfirming = false
    if (this.active !== active) return this.fail('the connection was closed')
    if (isAlive && this.reader.close()) return
    this.fail('a response without a length ended, and nothing shows that its server outlived it', { isEndUnproved: true })
  }

  private fail (reason: string, details: FailureDetails = {}): void {
    if (this.isClosed) return
    this.isClosed = true
    this.hold(0)
    this.cancelConnectTimer()
    this.socket.destroy()
    this.options.onClosed(this)
    this.failActive(reason, !this.hasConnected, details)
  }

  private failActive (reason: string, isUnreachable: boolean, details: FailureDetails = {}): void {
    const active = this.active
    if (!active) return
    this.active = undefined
    active.handler.onFailure({ wasSent: active.isWritten, isUnreachable, reason, ...details })
  }
}
