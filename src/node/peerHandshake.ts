/** Proofs of the deployment's key and authentication of frames between two nodes. */

import { createHmac, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'

export const nonceBytes = 32
const macBytes = 16

const bytes = (length: number) => z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length === length, `${length} bytes expected`)

/** hello (client) → challenge (server) → proof (client) → welcome (server). The server proves itself last. */
export const handshakeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('hello'), version: z.number(), nonce: bytes(nonceBytes), address: z.string().max(100) }),
  z.object({ kind: z.literal('challenge'), nonce: bytes(nonceBytes) }),
  z.object({ kind: z.literal('proof'), proof: bytes(32) }),
  z.object({ kind: z.literal('welcome'), proof: bytes(32) })
])
export type HandshakeMessage = z.infer<typeof handshakeSchema>

/** Sequence number, authentication code, body. */
export const sealedSchema = z.tuple([z.number(), bytes(macBytes), z.custom<Uint8Array>(value => value instanceof Uint8Array)])
export type SealedFrame = z.infer<typeof sealedSchema>

export type Side = 'client' | 'server'

/** What both sides have agreed on before the proofs. `address` is that of the client's own server. */
export interface Transcript { clientNonce: Uint8Array, serverNonce: Uint8Array, address: string }

/** The proof that `side` knows the key. The label of the side keeps a proof from being reflected. */
export function proofOf (key: string, side: Side, transcript: Transcript): Uint8Array {
  return derive(key, `proof ${side}`, transcript)
}

/** Compares in constant time. */
export function sameBytes (left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right)
}

/** Authenticates the frames of one direction: each has the next sequence number and a code over it and the body. */
export class FrameSeal {
  private sequence = 0
  private readonly sessionKey: Uint8Array

  constructor (key: string, sender: Side, transcript: Transcript) {
    this.sessionKey = derive(key, `frames ${sender}`, transcript)
  }

  seal (body: Uint8Array): SealedFrame {
    const sequence = this.sequence++
    return [sequence, this.code(sequence, body), body]
  }

  /** Whether `frame` is the next one of the sender. */
  accepts ([sequence, code, body]: SealedFrame): boolean {
    if (sequence !== this.sequence || !sameBytes(code, this.code(sequence, body))) return false
    this.sequence++
    return true
  }

  private code (sequence: number, body: Uint8Array): Uint8Array {
    const prefix = Buffer.alloc(8)
    prefix.writeDoubleBE(sequence)
    return createHmac('sha256', this.sessionKey).update(prefix).update(body).digest().subarray(0, macBytes)
  }
}

function derive (key: string, label: string, { clientNonce, serverNonce, address }: Transcript): Uint8Array {
  return createHmac('sha256', key).update(`teaselrill ${label} ${address}\0`).update(clientNonce).update(serverNonce).digest()
}
