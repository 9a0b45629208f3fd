/** Framed messages over TCP between the nodes and the placement leader. */

import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { z } from 'zod'
import type { CancelTimer, Clock } from '../base/clock.js'
import { repeat } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { ioTurn } from '../base/ioTurn.js'
import type { Log } from '../base/log.js'
import { encodeFrame, FrameDecoder, maxFrameBytes } from '../protocol/framing.js'
import { leaderMessageSchema, nodeMessageSchema } from './peerMessages.js'
import type { LeaderMessage, LeaderReport, NodeMessage } from './peerMessages.js'

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
/** The connection to a peer that does not read is closed before it fills this process's memory. Some of the largest messages may wait. */
const maxBufferedBytes = 4 * maxFrameBytes
/** A node with more unread bytes gets no further broadcasts; it gets the complete state once it has read them. */
const maxBacklogBytes = 512 * 1024

/** The frame of a message, or `undefined` for one that cannot be sent: it must not end the process, which serves clients. */
function frameOf (message: NodeMessage | LeaderMessage, log: Log): Uint8Array | undefined {
  try {
    return encodeFrame(message)
  } catch (error) {
    log('error', 'message to a peer not sent', { fields: Object.keys(message), error: messageOf(error) })
    return undefined
  }
}

interface LinkOptions<T> {
  clock: Clock
  log: Log
  schema: z.ZodType<T>
  onMessage: (message: T) => void
  onClosed: (reason: string) => void
}

/** One end of a connection. */
class Link<T> {
  readonly socket: Socket
  lastReceivedMs: number
  hasReceived = false
  private readonly log: Log

  constructor (socket: Socket, { clock, log, schema, onMessage, onClosed }: LinkOptions<T>) {
    this.socket = socket
    this.log = log
    this.lastReceivedMs = clock.nowMs()
    const decoder = new FrameDecoder(schema)
    socket.setNoDelay(true)
    socket.on('data', data => {
      this.lastReceivedMs = clock.nowMs()
      this.hasReceived = true
      const { messages, error } = decoder.push(data)
      try {
        for (const message of messages) onMessage(message)
      } catch (failure) {
        // Whatever a peer sends, this process goes on.
        log('error', 'message of a peer not handled', { error: messageOf(failure), stack: (failure as Error).stack })
        socket.destroy()
      }
      if (error) socket.destroy(error)
    })
    let reason = 'closed'
    socket.on('error', error => { reason = error.message })
    socket.on('close', () => onClosed(reason))
  }

  get isBehind (): boolean {
    return this.socket.writableLength > maxBacklogBytes
  }

  send (message: NodeMessage | LeaderMessage): void {
    const frame = frameOf(message, this.log)
    if (frame) this.sendFrame(frame)
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
    const onClosed = (reason: string) => {
      if (this.link !== link) return
      this.log('warn', `connection to the ${this.peer} lost`, { reason })
      this.disconnect()
    }
    const link = new Link(socket, { clock: this.clock, log: this.log, schema: leaderMessageSchema, onMessage: this.onMessage, onClosed })
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
  const frame = frameOf(message, log)
  if (!frame) return
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

export interface PeerServerOptions {
  clock: Clock
  log: Log
  onMessage: (message: NodeMessage, reply: Send) => void
  onJoined: (send: Send) => void
  /**
   * A node that missed broadcasts because it had not read the ones before has read them now. After `sinceRevision` it received no store
   * changes; absent if it received all.
   */
  onCaughtUp?: (send: Send, sinceRevision: number | undefined) => void
  onLeft?: (send: Send) => void
}

/** The leader's connections to the nodes. */
export class PeerServer {
  private readonly log: Log
  private readonly server: Server
  private readonly links = new Set<Link<NodeMessage>>()
  /** Nodes that missed broadcasts, with the revision up to which they received store changes. */
  private readonly missed = new Map<Link<NodeMessage>, number | undefined>()

  constructor ({ clock, log, onMessage, onJoined, onCaughtUp = () => {}, onLeft = () => {} }: PeerServerOptions) {
    this.log = log
    this.server = createServer(socket => {
      const send: Send = message => link.send(message)
      const onClosed = () => {
        this.links.delete(link)
        this.missed.delete(link)
        onLeft(send)
      }
      const link: Link<NodeMessage> = new Link(socket, { clock, log, schema: nodeMessageSchema, onMessage: message => onMessage(message, send), onClosed })
      socket.on('drain', () => {
        const sinceRevision = this.missed.get(link)
        if (this.missed.delete(link)) onCaughtUp(send, sinceRevision)
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

  broadcast (report: LeaderReport): void {
    if (this.links.size === 0) return
    const frame = frameOf(report, this.log)
    if (!frame) return
    for (const link of this.links) {
      if (!link.isBehind && !this.missed.has(link)) link.sendFrame(frame)
      else this.missed.set(link, this.missed.get(link) ?? report.news?.fromRevision)
    }
  }

  stop (): void {
    this.server.close()
    for (const link of this.links) link.socket.destroy()
  }
}
