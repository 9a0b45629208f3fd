/** Compact binary encodings of hashes, entry changes, demand and load figures of engines. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import { messageOf } from '../base/errors.js'
import { decodeBody, encodeBody, FrameError, maxFrameBytes } from '../protocol/framing.js'
import type { DemandEntry, EngineEntry, EntryChanges, EntryPatch } from '../protocol/messages.js'
import { entryPatchSchema, protocolVersion, versionedEntrySchema } from '../protocol/messages.js'

/** Load figures of an engine, which are sent apart from the other fields of its entry. */
export type EngineLoad = Pick<EngineEntry, 'running' | 'queued' | 'freeKvTokens' | 'stepMs' | 'reportedAtMs'>
export const loadFields = ['running', 'queued', 'freeKvTokens', 'stepMs', 'reportedAtMs'] as const

/**
 * Deflate dictionary of strings that occur in almost every change, the most frequent ones last. Sender and receiver must
 * use the same text, so a change to it requires a new `protocolVersion`.
 */
const dictionary = Buffer.from(`${protocolVersion} reachable controlFence controller availabilityZone region address pool stepMs reportedAtMs
freeKvTokens maxBatch queued running kvCacheBytes accelerators draining role mixed incarnation engine value epoch sequence epochs sequences sets
unloading loading fence baseModel adapter- model- entries patches key engine/ version bases set lists adapters models remove
set keys name baseModel state ready memoryBytes`.replaceAll('\n', ' '))

/**
 * Patches by column, which deflates to two thirds of the size of a list of objects. A base with the epoch of the new
 * version is encoded as the difference of the sequences.
 */
const columnsSchema = z.object({
  entries: z.array(versionedEntrySchema),
  keys: z.array(z.string()),
  epochs: z.array(z.number()),
  sequences: z.array(z.number()),
  bases: z.array(z.array(z.union([z.number(), z.tuple([z.number(), z.number()])]))),
  sets: z.array(entryPatchSchema.shape.set),
  lists: z.array(entryPatchSchema.shape.lists)
}).refine(({ keys, ...columns }) => [columns.epochs, columns.sequences, columns.bases, columns.sets, columns.lists]
  .every(column => column.length === keys.length), 'columns differ in length')

/** Encodes changes as deflated CBOR, or as zero bytes if there are none. */
export function packChanges ({ entries, patches }: EntryChanges): Uint8Array {
  if (entries.length === 0 && patches.length === 0) return new Uint8Array(0)
  const sorted = [...patches].sort((left, right) => left.key < right.key ? -1 : 1)
  const columns: z.infer<typeof columnsSchema> = {
    entries,
    keys: sorted.map(patch => patch.key),
    epochs: sorted.map(patch => patch.version[0]),
    sequences: sorted.map(patch => patch.version[1]),
    bases: sorted.map(({ version, bases }) => bases.map(base => base[0] === version[0] ? version[1] - base[1] : base)),
    sets: sorted.map(patch => patch.set),
    lists: sorted.map(patch => patch.lists)
  }
  return deflateRawSync(encodeBody(columns), { dictionary, level: 9 })
}

/** The inverse of `packChanges`. Returns a `FrameError` if the bytes are invalid. */
export function unpackChanges (bytes: Uint8Array): EntryChanges | FrameError {
  if (bytes.length === 0) return { entries: [], patches: [] }
  try {
    const columns = decodeBody(inflateRawSync(bytes, { dictionary, maxOutputLength: maxFrameBytes }), columnsSchema)
    if (columns instanceof FrameError) return columns
    const patches = columns.keys.map((key, index): EntryPatch => {
      const version: [number, number] = [columns.epochs[index]!, columns.sequences[index]!]
      const bases = columns.bases[index]!.map((base): [number, number] => typeof base === 'number' ? [version[0], version[1] - base] : base)
      return { key, version, bases, set: columns.sets[index]!, lists: columns.lists[index]! }
    })
    return { entries: columns.entries, patches }
  } catch (error) {
    return new FrameError('cbor', messageOf(error))
  }
}

const demandColumnsSchema = z.tuple([z.array(z.string()), z.array(z.number()), z.array(z.number()), z.array(z.number()), z.array(z.number())])
  .refine(([models, ...columns]) => columns.every(column => column.length === models.length), 'columns differ in length')

/** Encodes arrivals and tokens by column as deflated CBOR. `waiting` and `earliestDeadlineMs` are not encoded. */
export function packDemand (models: DemandEntry['models']): Uint8Array {
  const sorted = [...models].sort((left, right) => left.model < right.model ? -1 : 1)
  const column = (read: (model: DemandEntry['models'][number]) => number) => sorted.map(read)
  const columns: z.infer<typeof demandColumnsSchema> = [
    sorted.map(({ model }) => model), column(model => model.arrivals[0]), column(model => model.arrivals[1]), column(model => model.arrivals[2]), column(model => model.tokens)
  ]
  return deflateRawSync(encodeBody(columns), { level: 9 })
}

/** The inverse of `packDemand`, with 0 for the fields left out. Returns a `FrameError` if the bytes are invalid. */
export function unpackDemand (bytes: Uint8Array): DemandEntry['models'] | FrameError {
  try {
    const columns = decodeBody(inflateRawSync(bytes, { maxOutputLength: maxFrameBytes }), demandColumnsSchema)
    if (columns instanceof FrameError) return columns
    const [models, urgent, live, browsing, tokens] = columns
    return models.map((model, index) => ({ model, arrivals: [urgent[index]!, live[index]!, browsing[index]!], waiting: 0, tokens: tokens[index]!, earliestDeadlineMs: 0 }))
  } catch (error) {
    return new FrameError('cbor', messageOf(error))
  }
}

/** Encodes unsigned 32-bit numbers, big-endian. */
export function packHashes (hashes: readonly number[]): Uint8Array {
  const bytes = new Uint8Array(4 * hashes.length)
  const view = new DataView(bytes.buffer)
  hashes.forEach((hash, index) => view.setUint32(4 * index, hash))
  return bytes
}

/** The inverse of `packHashes`. Drops an incomplete number at the end. */
export function unpackHashes (bytes: Uint8Array): number[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  return Array.from({ length: bytes.length >> 2 }, (_, index) => view.getUint32(4 * index))
}

/** Encodes each flag as one bit, starting with the lowest bit of the first byte. */
export function packBits (flags: readonly boolean[]): Uint8Array {
  const bytes = new Uint8Array(Math.ceil(flags.length / 8))
  flags.forEach((flag, index) => { if (flag) bytes[index >> 3]! |= 1 << (index & 7) })
  return bytes
}

/** Returns the indices of the set bits. */
export function unpackBits (bytes: Uint8Array): number[] {
  const indices: number[] = []
  for (let index = 0; index < 8 * bytes.length; index++) if (bytes[index >> 3]! & (1 << (index & 7))) indices.push(index)
  return indices
}

/** Encodes each engine as its 4-byte key hash and five variable-length integers. Ages are relative to `baseMs`. */
export function packLoads (baseMs: number, loads: Iterable<readonly [number, EngineLoad]>): Uint8Array {
  const bytes: number[] = []
  for (const [keyHash, load] of loads) {
    bytes.push(keyHash >>> 24, (keyHash >>> 16) & 255, (keyHash >>> 8) & 255, keyHash & 255)
    for (const value of [load.running, load.queued, load.freeKvTokens, load.stepMs * 100]) pushVarint(bytes, value)
    pushVarint(bytes, baseMs - load.reportedAtMs)
  }
  return Uint8Array.from(bytes)
}

/** The inverse of `packLoads`. Stops at the first incomplete engine. `stepMs` has a resolution of 0.01 ms. */
export function unpackLoads (baseMs: number, bytes: Uint8Array): [number, EngineLoad][] {
  const loads: [number, EngineLoad][] = []
  let offset = 0
  const readVarint = () => {
    let value = 0
    for (let scale = 1; offset < bytes.length; scale *= 128) {
      const byte = bytes[offset++]!
      value += (byte & 127) * scale
      if (byte < 128) return value
    }
    return NaN
  }
  while (offset + 4 <= bytes.length) {
    const keyHash = ((bytes[offset]! << 24) | (bytes[offset + 1]! << 16) | (bytes[offset + 2]! << 8) | bytes[offset + 3]!) >>> 0
    offset += 4
    const [running, queued, freeKvTokens, step, age] = [readVarint(), readVarint(), readVarint(), readVarint(), readVarint()] as const
    if (Number.isNaN(age)) break
    loads.push([keyHash, { running, queued, freeKvTokens, stepMs: step / 100, reportedAtMs: baseMs - age }])
  }
  return loads
}

function pushVarint (bytes: number[], value: number): void {
  let rest = Math.max(0, Math.min(Number.MAX_SAFE_INTEGER, Math.round(value) || 0))
  while (rest >= 128) {
    bytes.push((rest % 128) | 128)
    rest = Math.floor(rest / 128)
  }
  bytes.push(rest)
}
