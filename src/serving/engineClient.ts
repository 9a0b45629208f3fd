/** Orders and questions to one engine, over the connections that requests use. */

import { ByteBuffer } from '../base/byteBuffer.js'
import type { Clock } from '../base/clock.js'
import type { BackendConnection } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'
import type { Codecs, ControlCall } from './codecs.js'
import type { EngineCommand, EngineReport, CommandOutcome } from './deployment.js'

/** An engine answers within a round trip; an order without an answer is repeated. */
const callTimeoutMs = 400
/** Longer answers are given up. A report names a few hundred models and adapters at most. */
const maxResponseBytes = 1024 * 1024

interface ControlResponse {
  status: number
  text: string
}

export class EngineClient {
  constructor (private readonly clock: Clock, private readonly codecs: Codecs) {}

  /** What the engine's answer proves; without one, the order may still be carried out. */
  async sendCommand (server: BackendServer, sendCommand: EngineCommand): Promise<CommandOutcome> {
    const answer = await this.call(server, this.codecs.orderCall(server.entry.id, sendCommand))
    return answer ? this.codecs.readOrderOutcome(answer.status) : 'unknown'
  }

  /** The engine's state, or `undefined` if it does not answer. */
  async queryState (server: BackendServer): Promise<EngineReport | undefined> {
    const answer = await this.call(server, this.codecs.reportCall)
    if (!answer || answer.status !== 200) return undefined
    const queryState = this.codecs.readReport(answer.text)
    return queryState instanceof Error ? undefined : queryState
  }

  /** Reserves a place on `connection`, which is idle again afterwards. Returns its ID, or `undefined` without a place. */
  async reserve (server: BackendServer, connection: BackendConnection, tokens: number, ttlMs: number): Promise<string | undefined> {
    const answer = await this.call(server, this.codecs.holdCall(server.entry.id, tokens, ttlMs), connection)
    if (!answer || answer.status !== 200) return undefined
    const reserve = this.codecs.readHold(answer.text)
    return reserve instanceof Error ? undefined : reserve
  }

  /** Gives a reserved place up; without an answer, it ends by itself. */
  async releaseReservation (server: BackendServer, connection: BackendConnection, holdId: string): Promise<void> {
    await this.call(server, this.codecs.dropHoldCall(server.entry.id, holdId), connection)
  }

  private call (
    server: BackendServer, { method, path, headers, body }: ControlCall, connection = server.pool.acquire()
  ): Promise<ControlResponse | undefined> {
    return new Promise(resolve => {
      const text = new ByteBuffer()
      let status = 0
      const giveUp = () => {
        cancel()
        connection.destroy()
        resolve(undefined)
      }
      const cancel = this.clock.setTimer(callTimeoutMs, giveUp)
      let head = `${method} ${path} HTTP/1.1\r\nHost: ${server.entry.address}\r\n`
      for (let index = 0; index < headers.length; index += 2) head += `${headers[index]}: ${headers[index + 1]}\r\n`
      if (body) head += `Content-Length: ${Buffer.byteLength(body)}\r\n`
      connection.send(method, Buffer.from(`${head}\r\n${body}`), {
        accepts: () => true,
        onHead: response => { status = response.status },
        onData: data => {
          if (text.length + data.length > maxResponseBytes) giveUp()
          else text.push(data)
        },
        onEnd: () => {
          cancel()
          resolve({ status, text: text.bytes.toString('utf8') })
        },
        onBroken: () => {
          cancel()
          resolve(undefined)
        }
      })
    })
  }
}
