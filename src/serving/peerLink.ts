/** Framed messages over TCP between the nodes and the placement leader. */

import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { z } from 'zod'
import type { CancelTimer, Clock } from '../base/clock.js'
import { repeat } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { Log } from '../base/log.js'
import { encodeFrame, FrameDecoder } from '../protocol/framing.js'
import { leaderMessageSchema, nodeMessageSchema } from './peerMessages.js'
import type { LeaderMessage, NodeMessage } from './peerMessages.js'

/** Reports arrive several times a second, so a connection without data for this long is dead. */
const peerTimeoutMs = 1600
/**
 * The same before the first data. Node.js accepts one connection in each turn of its event loop, and all nodes connect to a new leader
 * at once. Nodes that gave up after `peerTimeoutMs` went to the end of that queue again, and some were without a leader for 8 s.
 */
const firstDataTimeoutMs = 5000
const defaultReconnectMs = 250
/** Time for a single message to a node. */
const sendOnceTimeoutMs = 1000
/** The connection to a peer that does not read is closed before it fills this process's memory. */
const maxBufferedBytes = 512 * 1024

/** One end of a connection. */
class Link<T> {
  readonly socket: Socket
  lastReceivedMs: number
  hasReceived = false

  constructor (socket: Socket, schema: z.ZodType<T>, clock: Clock, onMessage: (message: T) => void, onClosed: (reason: string) => void) {
    this.socket = socket
    this.lastReceivedMs = clock.nowMs()
    const decoder = new FrameDecoder(schema)
    socket.setNoDelay(true)
    socket.on('data', data => {
      this.lastReceivedMs = clock.nowMs()
      this.hasReceived = true
      const { messages, error } = decoder.push(data)
      for (const message of messages) onMessage(message)
      if (error) socket.destroy(error)
    })
    let reason = 'closed'
    socket.on('error', error => { reason = error.message })
    socket.on('close', () => onClosed(reason))
  }

  send (message: unknown): void {
    this.sendFrame(encodeFrame(message))
  }

  sendFrame (frame: Uint8Array): void {
    if (this.socket.writableLength > maxBufferedBytes) this.socket.destroy()
    else if (this.socket.writable) this.socket.write(frame)
  }
}

export interface LeaderLinkOptions {
  clock: Clock
  log: Log
  /** What the other node is, for the log. */
  peer?: string
  reconnectMs?: number
  onMessage: (message: LeaderMessage) => void
  onConnected: () => void
  onLost: () => void
}

/** A node's connection to the leader, or to another node that answers in its place. */
export class LeaderLink {
  private readonly clock: Clock
  private readonly log: Log
  private readonly onMessage: (message: LeaderMessage) => void
  private readonly onConnected: () => void
  private readonly onLost: () => void
  private link: Link<LeaderMessage> | undefined
  private address: { host: string, port: number } | undefined
  private readonly peer: string
  private cancelCheck: CancelTimer

  constructor ({ clock, log, peer = 'placement leader', reconnectMs = defaultReconnectMs, onMessage, onConnected, onLost }: LeaderLinkOptions) {
    this.clock = clock
    this.log = log
    this.peer = peer
    this.onMessage = onMessage
    this.onConnected = onConnected
    this.onLost = onLost
    this.cancelCheck = repeat(clock, reconnectMs, () => this.check())
  }

  /** Connects to `address` instead of the current leader; `undefined` only disconnects. */
  setLeader (address: { host: string, port: number } | undefined): void {
    this.address = address
    this.disconnect()
    this.connect()
  }

  /** Sends a message if there is a connection. Returns whether there is one. */
  send (message: NodeMessage): boolean {
    this.link?.send(message)
    return this.link !== undefined
  }

  /** Like `send`, but not ahead of the report that names this node to the leader, which is the first message of a connection. */
  sendIfConnected (message: NodeMessage): boolean {
    return this.isConnected && this.send(message)
  }

  /** Whether messages can be sent. */
  get isConnected (): boolean {
    return this.link !== undefined && !this.link.socket.connecting
  }

  /** Whether the other node has sent anything over this connection: a paused process, or a leader that has stopped, only accepts it. */
  get hasAnswered (): boolean {
    return this.isConnected && this.link?.hasReceived === true
  }

  stop (): void {
    this.cancelCheck()
    this.address = undefined
    this.link?.socket.destroy()
  }

  private async check (): Promise<void> {
    // Data that arrived while this process was paused has to be read first.
    if (this.isUnresponsive) await ioTurn()
    if (this.isUnresponsive) {
      this.log('warn', `${this.peer} silent`, { address: this.address?.host })
      this.disconnect()
    }
    this.connect()
  }

  private get isUnresponsive (): boolean {
    if (!this.link) return false
    const { socket, hasReceived, lastReceivedMs } = this.link
    return this.clock.nowMs() - lastReceivedMs > (hasReceived || socket.connecting ? peerTimeoutMs : firstDataTimeoutMs)
  }

  private connect (): void {
    if (this.link || !this.address) return
    const socket = connect(this.address)
    const link = new Link(socket, leaderMessageSchema, this.clock, this.onMessage, reason => {
      if (this.link !== link) return
      this.log('warn', `connection to the ${this.peer} lost`, { reason })
      this.disconnect()
    })
    this.link = link
    socket.once('connect', this.onConnected)
  }

  private disconnect (): void {
    const { link } = this
    this.link = undefined
    link?.socket.destroy()
    this.onLost()
  }
}

/** Sends a message to other nodes over connections that are closed after it. A node that cannot be reached goes without it. */
export function sendOnce (addresses: readonly { host: string, port: number }[], message: NodeMessage, { clock, log }: { clock: Clock, log: Log }): void {
  const frame = encodeFrame(message)
  for (const address of addresses) {
    const socket = connect(address)
    const cancel = clock.setTimer(sendOnceTimeoutMs, () => socket.destroy())
    socket.on('error', error => log('info', 'node not reached without a leader', { address: address.host, error: error.message }))
    socket.on('close', cancel)
    // The other side may be a leader, which answers.
    socket.resume()
    socket.once('connect', () => socket.end(frame))
  }
}

/** Sends to one node; the same function for each message of a connection. */
export type Send = (message: LeaderMessage) => void

/** The leader's connections to the nodes. */
export class PeerServer {
  private readonly server: Server
  private readonly links = new Set<Link<NodeMessage>>()

  constructor ({ clock, onMessage, onJoined, onLeft = () => {} }: { clock: Clock, onMessage: (message: NodeMessage, reply: Send) => void, onJoined: (send: Send) => void, onLeft?: (send: Send) => void }) {
    this.server = createServer(socket => {
      const send: Send = message => link.send(message)
      const link: Link<NodeMessage> = new Link(socket, nodeMessageSchema, clock, message => onMessage(message, send), () => {
        this.links.delete(link)
        onLeft(send)
      })
      this.links.add(link)
      onJoined(send)
    })
  }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  get linkCount (): number {
    return this.links.size
  }

  /** IP addresses of the connected nodes. */
  get addresses (): string[] {
    return [...new Set([...this.links].map(({ socket }) => socket.remoteAddress).filter(address => address !== undefined))]
  }

  broadcast (report: LeaderMessage): void {
    if (this.links.size === 0) return
    const frame = encodeFrame(report)
    for (const link of this.links) link.sendFrame(frame)
  }

  stop (): void {
    this.server.close()
    for (const link of this.links) link.socket.destroy()
  }
}
