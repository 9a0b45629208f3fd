/** A TCP proxy on loopback that delays, drops, silences or resets what passes. */

import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { sleep } from './storeStandIn.js'

export type ProxyMode = 'pass' | 'delay' | 'drop-requests' | 'drop-answers' | 'silent' | 'reset'

export class FaultProxy {
  mode: ProxyMode = 'pass'
  delayMs = 0
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  /** Sockets to which nothing is passed any more, since bytes for them were lost. */
  private readonly cut = new Set<Socket>()
  /** What is still delayed, by the socket that it goes to. */
  private readonly queues = new Map<Socket, Promise<void>>()

  constructor (private readonly target: () => { host: string, port: number }) {
    this.server = createServer(client => this.accept(client))
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  resetAll (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  close (): void {
    this.server.close()
    this.resetAll()
  }

  private accept (client: Socket): void {
    if (this.mode === 'reset') {
      client.resetAndDestroy()
      return
    }
    const server = connect(this.target())
    for (const [socket, other] of [[client, server], [server, client]] as const) {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => other.resetAndDestroy())
      socket.on('close', () => {
        this.sockets.delete(socket)
        other.destroy()
      })
    }
    client.on('data', data => this.pass(server, data, this.mode === 'drop-requests'))
    server.on('data', data => this.pass(client, data, this.mode === 'drop-answers'))
    server.on('close', () => this.cut.delete(server))
    client.on('close', () => this.cut.delete(client))
    client.on('end', () => this.later(server, () => server.end()))
    server.on('end', () => this.later(client, () => client.end()))
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
    if (!earlier && this.delayMs === 0) return action()
    // Bytes that come right after a delay was lifted must not overtake those that are still delayed.
    const queue = (earlier ?? Promise.resolve()).then(async () => {
      await sleep(Math.max(0, dueAtMs - performance.now()))
      action()
      if (this.queues.get(to) === queue) this.queues.delete(to)
    })
    this.queues.set(to, queue)
  }
}
