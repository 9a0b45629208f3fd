/** Connections on which a single answer cannot be longer than a limit, whatever its bytes are. */

import type { Socket } from 'node:net'
import type { buildConnector as Connect } from 'undici'
import { buildConnector } from './undici.js'

/**
 * Connects for undici, at most `timeoutMs` long. Destroys a connection that brings more than `maxBytes` after the last
 * write to it. This counts framing too, which undici drops without a limit: chunk sizes, their extensions.
 */
export function limitedConnect ({ timeoutMs, maxBytes }: { timeoutMs: number, maxBytes: number }): Connect.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    if (result[1]) limitAnswers(result[1], maxBytes)
    callback(...result)
  })
}

function limitAnswers (socket: Socket, maxBytes: number): void {
  let bytesWritten = socket.bytesWritten
  let bytesRead = socket.bytesRead
  let bytesReadBefore = bytesRead
  socket.on('readable', () => {
    // The request is written before its answer is read, so bytes of the answer count from the end of the one before.
    if (socket.bytesWritten !== bytesWritten) {
      bytesWritten = socket.bytesWritten
      bytesReadBefore = bytesRead
    }
    bytesRead = socket.bytesRead
    if (bytesRead - bytesReadBefore > maxBytes) socket.destroy(new Error(`an answer takes more than ${maxBytes} bytes`))
  })
}
