/** Messages between nodes over TCP. */

import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { Clock } from '../base/clock.js'
import { withTimeout } from '../base/clock.js'
import { messageOf, NotRunError } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import type { PeerHandler, PeerMessage, PeerNetwork } from '../protocol/messages.js'
import { PeerConnection } from './peerConnection.js'

const firstBackoffMs = 100
const maxBackoffMs = 5_000
/** Incoming connections, of which few may be in their handshake. */
const defaultMaxConnections = 1_024
const maxHandshakes = 128

export interface PeerTransportOptions {
  clock: Clock
  random: Random
  log: Log
  /** The deployment's key. */
  key: string
  host: string
  /** 0 chooses a free port. */
  port: number
  /** `IP:PORT` under which other nodes reach this one; the listening address unless set. */
  advertisedAddress?: string
  handler: PeerHandler
  maxConnections?: number
}

interface Backoff { failures: number, untilMs: number }

/** Server and client for the peers' port. Keeps one connection for each peer and uses it in both directions. */
export class PeerTransport implements PeerNetwork {
  private readonly server: Server
  private readonly accepted = new Set<PeerConnection>()
  private readonly byAddress = new Map<string, PeerConnection>()
  private readonly connecting = new Map<string, Promise<PeerConnection>>()
  private readonly backoffs = new Map<string, Backoff>()
  private listeningAddress = ''
  private stopped = false
  /** Messages that matched no definition. */
  unknownMessages = 0

  constructor (private readonly options: PeerTransportOptions) {
    this.server = createServer(socket => this.accept(socket))
    this.server.on('error', error => options.log('error', 'peer server failed', { message: error.message }))
  }

  /** `IP:PORT` of this node, once listening. */
  get address (): string {
    return this.options.advertisedAddress ?? this.listeningAddress
  }

  /** Starts listening. Rejects if the port is taken. */
  async start (): Promise<void> {
    const { host, port } = this.options
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => {
        this.server.removeListener('error', reject)
        resolve()
      })
    })
    const { address, port: actualPort } = this.server.address() as AddressInfo
    this.listeningAddress = `${address}:${actualPort}`
  }

  /** Closes all connections. */
  async stop (): Promise<void> {
    this.stopped = true
    const closed = new Promise(resolve => this.server.close(resolve))
    for (const connection of [...this.accepted, ...this.byAddress.values()]) connection.close('stopped')
    await closed
  }

  async request (address: string, message: PeerMessage, { timeoutMs }: { timeoutMs: number }): Promise<PeerMessage> {
    const { clock } = this.options
    const startedAtMs = clock.nowMs()
    const connection = this.byAddress.get(address) ?? await this.connectWithin(address, timeoutMs)
    return await connection.request(message, { timeoutMs: Math.max(1, timeoutMs - (clock.nowMs() - startedAtMs)) })
  }

  /** Nothing was sent before the connection is ready, so that every failure is a `NotRunError`. */
  private async connectWithin (address: string, timeoutMs: number): Promise<PeerConnection> {
    try {
      return await withTimeout(this.options.clock, timeoutMs, () => this.connect(address), { action: 'connect' })
    } catch (error) {
      throw error instanceof NotRunError ? error : new NotRunError(address, messageOf(error), { cause: error })
    }
  }

  private connect (address: string): Promise<PeerConnection> {
    const present = this.connecting.get(address)
    if (present) return present
    const backoff = this.backoffs.get(address)
    const waitMs = backoff ? backoff.untilMs - this.options.clock.nowMs() : 0
    if (waitMs > 0) return Promise.reject(new NotRunError(address, `not connected, next attempt in ${Math.ceil(waitMs)} ms`))
    if (this.stopped) return Promise.reject(new NotRunError(address, 'the transport is stopped'))
    const attempt = this.open(address)
      .then(connection => {
        this.backoffs.delete(address)
        return connection
      }, error => {
        this.backOff(address)
        throw error
      })
      .finally(() => this.connecting.delete(address))
    this.connecting.set(address, attempt)
    return attempt
  }

  private open (address: string): Promise<PeerConnection> {
    return new Promise((resolve, reject) => {
      const separator = address.lastIndexOf(':')
      const port = Number(address.slice(separator + 1))
      if (separator < 1 || !Number.isInteger(port) || port < 1 || port > 65_535) {
        return reject(new NotRunError(address, 'not an address of the form IP:PORT'))
      }
      const socket = connect({ host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port })
      const connection: PeerConnection = this.createConnection(socket, 'client', {
        onReady: () => {
          this.byAddress.set(address, connection)
          resolve(connection)
        },
        onClosed: reason => {
          if (this.byAddress.get(address) === connection) this.byAddress.delete(address)
          reject(new NotRunError(address, reason))
        }
      })
      connection.peerAddress = address
    })
  }

  private accept (socket: Socket): void {
    const { maxConnections = defaultMaxConnections, log } = this.options
    const handshakes = [...this.accepted].filter(connection => !connection.ready).length
    if (this.accepted.size >= maxConnections || handshakes >= maxHandshakes) {
      socket.on('error', () => {})
      socket.destroy()
      return
    }
    const remote = socket.remoteAddress
    const connection: PeerConnection = this.createConnection(socket, 'server', {
      onReady: () => {
        if (!this.byAddress.has(connection.peerAddress)) this.byAddress.set(connection.peerAddress, connection)
        this.backoffs.delete(connection.peerAddress)
      },
      onClosed: reason => {
        this.accepted.delete(connection)
        if (!connection.ready) log('warn', 'peer-refused', { remote, reason })
        if (this.byAddress.get(connection.peerAddress) === connection) this.byAddress.delete(connection.peerAddress)
      }
    })
    this.accepted.add(connection)
  }

  private createConnection (socket: Socket, side: 'client' | 'server', events: { onReady: () => void, onClosed: (reason: string) => void }): PeerConnection {
    const { clock, key, handler } = this.options
    return new PeerConnection({
      clock,
      socket,
      side,
      key,
      selfAddress: this.address,
      handler,
      onReady: events.onReady,
      onClosed: (_connection, reason) => events.onClosed(reason),
      onUnknown: () => { this.unknownMessages++ }
    })
  }

  private backOff (address: string): void {
    const { clock, random } = this.options
    // Addresses of replaced nodes would otherwise stay for the life of the process.
    if (this.backoffs.size > 4 * defaultMaxConnections) this.backoffs.clear()
    const failures = (this.backoffs.get(address)?.failures ?? 0) + 1
    const limitMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(failures, 10))
    this.backoffs.set(address, { failures, untilMs: clock.nowMs() + limitMs * (0.5 + random.next() / 2) })
  }
}
