/** A TCP proxy on loopback that delays, drops, silences or resets what passes. */

import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { sleep } from './storeStandIn.js'

export type ProxyMode = 'pass' | 'delay' | 'drop-requests' | 'drop-answers' | 'silent' | 'reset'

export class FaultProxy {
  mode: ProxyMode = 'pass'
  /** IP:PORT once it listens. */
  address: string | undefined
  delayMs = 0
  private readonly server: Server
  /** While the link is held up: resolves when it goes on. */
  private held: { done: Promise<void>, release: () => void } | undefined
  private readonly sockets = new Set<Socket>()
  /** Sockets to which nothing is passed any more, since bytes for them were lost. */
  private readonly cut = new Set<Socket>()
  /** What is still delayed, by the socket that it goes to. */
  private readonly queues = new Map<Socket, Promise<void>>()

  constructor (public target: () => { host: string, port: number }) {
    this.server = createServer(client => { void this.accept(client) })
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    return this.address
  }

  resetAll (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Holds up what is sent from now on, also new connections and the ends of connections. */
  hold (): void {
    let release = () => {}
    this.held ??= { done: new Promise(resolve => { release = resolve }), release: () => release() }
  }

  /** Delivers what was held up. */
  release (): void {
    this.held?.release()
    this.held = undefined
  }

  close (): void {
    this.server.close()
    this.resetAll()
    this.release()
  }

  private async accept (client: Socket): Promise<void> {
    if (this.mode === 'reset') {
      client.resetAndDestroy()
      return
    }
    if (this.held) {
      client.pause()
      client.on('error', () => {})
      await this.held.done
      if (client.destroyed) return
      client.resume()
    }
    const server = connect(this.target())
    for (const [socket, other] of [[client, server], [server, client]] as const) {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => other.resetAndDestroy())
      socket.on('close', () => {
        this.sockets.delete(socket)
        this.later(other, () => {
          if (this.cut.has(other)) other.resetAndDestroy()
          else other.destroy()
        })
      })
    }
    client.on('data', data => this.pass(server, data, this.mode === 'drop-requests'))
    server.on('data', data => this.pass(client, data, this.mode === 'drop-answers'))
    server.on('close', () => this.cut.delete(server))
    client.on('close', () => this.cut.delete(client))
    // A connection that has lost bytes does not end in order.
    for (const [from, to] of [[client, server], [server, client]] as const) from.on('end', () => this.later(to, () => { if (!this.cut.has(to)) to.end() }))
  }

  private pass (to: Socket, data: Buffer, isDropped: boolean): void {
    // Later bytes must not follow lost ones: a connection never skips any.
    if (isDropped || this.mode === 'silent') this.cut.add(to)
    if (this.cut.has(to)) return
    this.later(to, () => { if (to.writable) to.write(data) })
  }

  private later (to: Socket, action: () => void): void {
    const dueAtMs = performance.now() + this.delayMs
    const earlier = this.queues.get(to)
    const { held } = this
    if (!earlier && this.delayMs === 0 && !held) return action()
    // Bytes that come right after a delay was lifted must not overtake those that are still delayed.
    const queue = (earlier ?? Promise.resolve()).then(async () => {
      await sleep(Math.max(0, dueAtMs - performance.now()))
      await held?.done
      action()
      if (this.queues.get(to) === queue) this.queues.delete(to)
    })
    this.queues.set(to, queue)
  }
}
