/** The class of clients' requests. It counts what the parser of Node.js makes of each read, and leaves the rest alone beyond a limit. */

import { IncomingMessage } from 'node:http'
import type { ClientWork } from './clientWork.js'

export function clientMessageClass (work: ClientWork): typeof IncomingMessage {
  return class extends IncomingMessage {
    private isStopped: boolean | undefined
    private isUpgrade: boolean | null = null
    private onPiece: ((bytes: number) => boolean) | undefined

    /**
     * An upgrade is the only answer to a head at which the parser leaves the rest of a read alone; no handler is called for it. Node.js asks
     * for it first when a head is complete, before it makes `headers` of the fields.
     */
    get upgrade (): boolean | null {
      this.isStopped ??= !work.onHead(this.socket, this.rawHeaders.length / 2)
      return this.isStopped || this.isUpgrade
    }

    set upgrade (value: boolean | null) {
      this.isUpgrade = value
    }

    /** Called by the parser for each chunk of a body that a read brings, and with `null` at its end. */
    override push (piece: Buffer | null): boolean {
      if (piece === null) {
        // Nothing reads the trailers, and the objects of their fields would stay as long as the request.
        this.rawTrailers = []
        work.onBodyEnd(this.socket)
        return super.push(piece)
      }
      this.onPiece ??= work.counterOf(this)
      return this.onPiece(piece.length) ? super.push(piece) : true
    }
  }
}
