import { expect } from 'chai'
import fc from 'fast-check'
import { z } from 'zod'
import { encodeFrame, FrameDecoder, FrameError } from '../src/protocol/framing.js'
import { peerMessageSchema } from '../src/protocol/messages.js'

const seed = 20_260
const bytes = fc.uint8Array({ maxLength: 400 })
const message = fc.record({ kind: fc.constant('queryReply' as const), json: fc.string({ maxLength: 300 }) })

/** Splits `input` at the offsets `cuts`, modulo its length plus one. */
function split (input: Uint8Array, cuts: number[]): Uint8Array[] {
  const cutOffsets = [...new Set(cuts.map(cut => cut % (input.length + 1)))].sort((left, right) => left - right)
  return [...cutOffsets, input.length].map((offset, index) => input.slice(cutOffsets[index - 1] ?? 0, offset))
}

describe('framing', () => {
  // Guards against decoded messages that depend on how TCP splits the stream.
  it('decodes any split', () => {
    fc.assert(fc.property(fc.array(message, { maxLength: 8 }), fc.array(fc.nat(), { maxLength: 12 }), (sent, cuts) => {
      const decoder = new FrameDecoder(peerMessageSchema)
      const received = split(Buffer.concat(sent.map(encodeFrame)), cuts).flatMap(part => decoder.push(part).messages)
      expect(received).to.deep.equal(sent)
      expect(decoder.bufferedBytes).to.equal(0)
    }), { seed, numRuns: 300 })
  })

  // Guards against input that makes the decoder throw, buffer without bound, or depend on the split.
  it('decodes arbitrary bytes safely', () => {
    const framed = bytes.map(body => Buffer.concat([Uint8Array.of(0, 0, body.length >> 8, body.length & 255), body]))
    fc.assert(fc.property(fc.oneof(bytes, framed), fc.array(fc.nat(), { maxLength: 6 }), (input, cuts) => {
      const results = [[input], split(input, cuts)].map(parts => {
        const decoder = new FrameDecoder(peerMessageSchema, { maxBytes: 350 })
        const steps = parts.map(part => decoder.push(part))
        expect(decoder.bufferedBytes).to.be.at.most(354)
        const error = steps.at(-1)!.error
        if (error) expect(error).to.be.instanceOf(FrameError)
        return { messages: steps.flatMap(step => step.messages), fault: error?.fault }
      })
      expect(results[0]).to.deep.equal(results[1])
    }), { seed, numRuns: 2_000 })
  })

  // Guards against an invalid frame that is accepted, or reported with the wrong fault.
  it('reports the fault', () => {
    const faultOf = (input: Uint8Array) => new FrameDecoder(peerMessageSchema).push(input).error?.fault
    expect(faultOf(Uint8Array.of(0, 0, 0, 0))).to.equal('length')
    expect(faultOf(Uint8Array.of(0, 0x20, 0, 1))).to.equal('length')
    expect(faultOf(Uint8Array.of(0, 0, 0, 1, 0x81))).to.equal('cbor')
    expect(faultOf(encodeFrame({ kind: 'ok2' }))).to.equal('schema')
    expect(faultOf(encodeFrame({ kind: 'ok' }))).to.equal(undefined)
  })

  // Guards against a short header that makes the decoder allocate memory for an array of 2^26 items.
  it('rejects huge arrays', () => {
    const { error } = new FrameDecoder(z.unknown()).push(Uint8Array.of(0, 0, 0, 5, 0x9a, 4, 0, 0, 0))
    expect(error?.fault).to.equal('cbor')
  })
})
