/** A kept connection to a backend server that carries one request at a time. */

import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { CancelTimer, Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import { ResponseReader } from './responseReader.js'
import type { ResponseHead } from './responseReader.js'

/** A healthy backend server accepts within one round trip; the rest covers one lost opening packet on a short link. */
const connectTimeoutMs = 1000

/** How an exchange ended without a complete response. */
export interface ExchangeFailure {
  /** Whether any byte of the request may have reached the server. */
  wasSent: boolean
  /** Whether the connection was refused or could not be opened. */
  isUnreachable: boolean
  reason: string
}

export interface ResponseHandler {
  /** Whether the response belongs to the request. Other responses are skipped. */
  accepts (head: ResponseHead): boolean
  onHead (head: ResponseHead): void
  onData (data: Buffer): void
  onEnd (): void
  onFailure (broken: ExchangeFailure): void
}

interface ActiveExchange {
  sink: ResponseHandler
  bytes: Buffer
  isWritten: boolean
}

export interface ConnectionOptions {
  address: string
  clock: Clock
  /** Called when the connection is ready for the next request. */
  onIdle (connection: BackendConnection): void
  onClosed (connection: BackendConnection): void
  onBytes (): void
  /** Whether the server accepts connections right now. */
  confirmAlive (): Promise<boolean>
  /** Called when the server has accepted the connection. */
  onConnected? (): void
}

/** Reads the `timeout` of a `Keep-Alive` header, in milliseconds. */
function keepAliveMs (head: ResponseHead): number | undefined {
  const match = /timeout\s*=\s*(\d+)/i.exec(head.headers.get('keep-alive') ?? '')
  return match ? Number(match[1]) * 1000 : undefined
}

export class BackendConnection {
  /** Time until which the server keeps the connection when idle, if it said so. */
  keepAliveMs: number | undefined
  idleSinceMs = 0
  private readonly socket: Socket
  private readonly reader: ResponseReader
  private readonly options: ConnectionOptions
  private active: ActiveExchange | undefined
  private keepsAlive = true
  private isConnected = false
  private isClosed = false
  private isConfirming = false
  private cancelConnectTimer: CancelTimer

  constructor (options: ConnectionOptions) {
    this.options = options
    const [host, port] = options.address.split(':')
    this.socket = connect({ host: host!, port: Number(port), noDelay: true })
    this.reader = new ResponseReader({
      accepts: head => this.active!.sink.accepts(head),
      onHead: head => this.onHead(head),
      onData: data => this.active?.sink.onData(data),
      onEnd: leftover => this.onEnd(leftover),
      onInvalid: reason => this.fail(reason)
    })
    this.cancelConnectTimer = options.clock.setTimer(connectTimeoutMs, () => { void this.onConnectTimeout() })
    this.socket.on('connect', () => this.onConnect())
    this.socket.on('data', data => this.onData(data))
    this.socket.on('end', () => this.onServerClosed())
    this.socket.on('error', error => this.fail(error.message))
    this.socket.on('close', () => { if (!this.isConfirming) this.fail('the connection was closed') })
  }

  get isOpen (): boolean {
    return !this.isClosed
  }

  /** Sends a request. Must not be called while another is in progress. */
  send (method: string, bytes: Buffer, sink: ResponseHandler): void {
    this.active = { sink, bytes, isWritten: false }
    this.reader.expect(method)
    if (this.isClosed) this.breakActive('the connection was closed', true)
    else if (this.isConnected) this.write()
  }

  pause (): void {
    this.socket.pause()
  }

  resume (): void {
    this.socket.resume()
  }

  /** Closes the connection; an exchange in progress ends without a callback. */
  destroy (): void {
    this.active = undefined
    this.fail('closed by this node')
  }

  private onConnect (): void {
    this.cancelConnectTimer()
    this.isConnected = true
    this.options.onBytes()
    this.options.onConnected?.()
    if (this.active) this.write()
  }

  private async onConnectTimeout (): Promise<void> {
    // The server may have accepted while this process did not run.
    await ioTurn()
    if (!this.isConnected) this.fail('the connection was not accepted in time')
  }

  private write (): void {
    this.active!.isWritten = true
    this.socket.write(this.active!.bytes)
  }

  private onData (data: Buffer): void {
    this.options.onBytes()
    // Bytes that nobody asked for must not be taken for the next response.
    if (!this.active) return this.fail('bytes arrived without a request')
    this.reader.push(data)
  }

  private onHead (head: ResponseHead): void {
    this.keepsAlive = head.keepsAlive
    this.keepAliveMs = keepAliveMs(head)
    this.active!.sink.onHead(head)
  }

  private onEnd (leftover: Buffer): void {
    const active = this.active
    if (!active) return
    this.active = undefined
    const isFlushed = this.socket.writableLength === 0
    if (!this.keepsAlive || !isFlushed || leftover.length > 0) this.fail('the connection cannot be used again')
    active.sink.onEnd()
    if (this.isClosed) return
    // A client that leaves never makes room, and bytes that nobody asked for have to be seen.
    this.socket.resume()
    this.idleSinceMs = this.options.clock.nowMs()
    this.options.onIdle(this)
  }

  private onServerClosed (): void {
    if (this.active && this.reader.endsWithConnection) void this.confirmEnd(this.active)
    else this.fail('the server closed the connection')
  }

  /** The end of a server closes its connections just as the end of an answer without length does. */
  private async confirmEnd (active: ActiveExchange): Promise<void> {
    this.isConfirming = true
    const isAlive = await this.options.confirmAlive()
    this.isConfirming = false
    if (this.active !== active) return this.fail('the connection was closed')
    if (!isAlive || !this.reader.close()) this.fail('the server ended during an answer without length')
  }

  private fail (reason: string): void {
    if (this.isClosed) return
    this.isClosed = true
    this.cancelConnectTimer()
    this.socket.destroy()
    this.options.onClosed(this)
    this.breakActive(reason, !this.isConnected)
  }

  private breakActive (reason: string, isUnreachable: boolean): void {
    const active = this.active
    if (!active) return
    this.active = undefined
    active.sink.onFailure({ wasSent: active.isWritten, isUnreachable, reason })
  }
}
