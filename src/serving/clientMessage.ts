/** The class of clients' requests. It counts what the parser of Node.js makes of each read, and leaves the rest alone beyond a limit. */

import { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ClientWork } from './clientWork.js'

export function clientMessageClass (work: ClientWork): typeof IncomingMessage {
  return class extends IncomingMessage {
    private readonly isStopped: boolean
    private isUpgrade: boolean | null = null
    private onPiece: ((bytes: number) => boolean) | undefined

    constructor (socket: Socket) {
      super(socket)
      this.isStopped = !work.onHead(socket)
    }

    /** An upgrade is the only answer to a head at which the parser leaves the rest of a read alone; no handler is called for it. */
    get upgrade (): boolean | null {
      return this.isStopped || this.isUpgrade
    }

    set upgrade (value: boolean | null) {
      this.isUpgrade = value
    }

    /** Called by the parser for each chunk of a body that a read brings, and with `null` at its end. */
    override push (piece: Buffer | null): boolean {
      if (piece === null) return super.push(piece)
      this.onPiece ??= work.counterOf(this)
      return this.onPiece(piece.length) ? super.push(piece) : true
    }
  }
}
