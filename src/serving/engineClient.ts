/** Sends commands and state queries to engines, over the connections that requests use. */

import { ByteBuffer } from '../base/byteBuffer.js'
import type { Clock } from '../base/clock.js'
import { ioTurn } from '../base/ioTurn.js'
import type { BackendConnection } from './backendConnection.js'
import type { BackendServer } from './backendServer.js'
import type { Codecs, ControlRequest } from './codecs.js'
import type { EngineCommand, EngineReport, CommandOutcome, Service } from './deployment.js'
import type { LivenessQuestion } from './processEvidence.js'

/** An engine responds within a round trip; callers retry a command that timed out. */
const callTimeoutMs = 400
/** A call whose response is longer is aborted. A report names a few hundred models and adapters at most. */
const maxResponseBytes = 1024 * 1024

interface ControlResponse {
  status: number
  text: string
}

export class EngineClient {
  constructor (private readonly clock: Clock, private readonly codecs: Codecs) {}

  /** Sends a command. Without a response the outcome is `unknown`: the command may still take effect. */
  async sendCommand (server: BackendServer, command: EngineCommand): Promise<CommandOutcome> {
    const response = await this.call(server, this.codecs.commandRequest(server.entry.id, command))
    return response ? this.codecs.readCommandOutcome(response.status) : 'unknown'
  }

  /** The engine's state, or `undefined` without a valid response. */
  async queryState (server: BackendServer): Promise<EngineReport | undefined> {
    const response = await this.call(server, this.codecs.reportRequest)
    if (!response || response.status !== 200) return undefined
    const state = this.codecs.readReport(response.text)
    return state instanceof Error ? undefined : state
  }

  /** Reserves a slot over `connection`, which is idle again afterwards. Returns the reservation's ID, or `undefined` if there is none. */
  async reserve (server: BackendServer, connection: BackendConnection, tokens: number, ttlMs: number): Promise<string | undefined> {
    const response = await this.call(server, this.codecs.reservationRequest(server.entry.id, tokens, ttlMs), connection)
    if (!response || response.status !== 200) return undefined
    const reservation = this.codecs.readReservation(response.text)
    return reservation instanceof Error ? undefined : reservation
  }

  /** Releases a reservation; if the call gets no response, the reservation expires by itself. */
  async releaseReservation (server: BackendServer, connection: BackendConnection, reservationId: string): Promise<void> {
    await this.call(server, this.codecs.releaseRequest(server.entry.id, reservationId), connection)
  }

  private call (
    server: BackendServer, { method, path, headers, body }: ControlRequest, connection = server.pool.acquire()
  ): Promise<ControlResponse | undefined> {
    return new Promise(resolve => {
      const text = new ByteBuffer()
      let status = 0
      let isEnded = false
      const end = (response: ControlResponse | undefined) => {
        isEnded = true
        server.buffered.resize(text.length, 0)
        cancel()
        resolve(response)
      }
      const abort = () => {
        connection.destroy()
        end(undefined)
      }
      const cancel = this.clock.setTimer(callTimeoutMs, async () => {
        // The response may have arrived while the event loop was blocked.
        await ioTurn()
        if (!isEnded) abort()
      })
      connection.send(method, encodeCall(server.entry.address, { method, path, headers, body }), {
        // A server may repeat its response to an earlier request on the connection; those to calls have no request ID.
        accepts: response => this.codecs.readResponse(response).requestId === undefined,
        onHead: response => {
          status = response.status
          server.onNotice(this.codecs.readResponse(response))
        },
        onData: data => {
          const bytes = text.length + data.length
          if (bytes > maxResponseBytes || !server.buffered.resize(text.length, bytes)) abort()
          else text.push(data)
        },
        onEnd: () => end({ status, text: text.bytes.toString('utf8') }),
        onFailure: () => end(undefined)
      })
    })
  }
}

/** The bytes of a call to the server at `address`. */
export function encodeCall (address: string, { method, path, headers, body }: ControlRequest): Buffer {
  let head = `${method} ${path} HTTP/1.1\r\nHost: ${address}\r\n`
  for (let index = 0; index < headers.length; index += 2) head += `${headers[index]}: ${headers[index + 1]}\r\n`
  if (body) head += `Content-Length: ${Buffer.byteLength(body)}\r\n`
  return Buffer.from(`${head}\r\n${body}`)
}

/** The question whether a server of `service` is alive, if there is one. Its answer has no request ID. */
export function livenessQuestion (codecs: Codecs, address: string, service: Service | undefined): LivenessQuestion | undefined {
  const call = service && codecs.livenessRequest(service)
  return call && { method: call.method, bytes: encodeCall(address, call), accepts: head => codecs.readResponse(head).requestId === undefined }
}
