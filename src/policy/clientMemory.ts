/** Limits on what a node holds and reads for clients, those on memory derived from its machine's memory and descriptors. */

import type { OverheadLimits } from './clientOverhead.js'

const bytesPerMb = 1024 * 1024
/** Share of the memory for heads, bodies and responses. The process itself takes about 100 MB, of 250 at the least. */
const heldShare = 0.16
/** Share that is left to requests and responses of up to 64 KiB when larger ones have used up theirs. */
const smallShare = 0.04
/** Share for heads under way, of which Node.js keeps up to 64 KiB for each connection. */
const headsShare = 0.2
const maxHeadBytes = 64 * 1024
/** Share for what is read on after refusals within `lingerMs`. It is discarded, and takes memory until it is collected. */
const lingerShare = 0.02
/** Descriptors not available to clients: backend servers, peers, the store and files. */
const reservedDescriptors = 1200
const fewestConnections = 50

export interface ClientMemoryLimits extends OverheadLimits {
  /** Bytes held for all clients from which a request or response of more than 64 KiB may not grow. */
  heldBytes: number
  /** The same for smaller ones. */
  heldBytesWithSmall: number
  connections: number
  /** Requests on one connection whose responses are not complete. */
  pipelinedRequests: number
  /** A body under way that brings nothing in this time is given up, and after its request's deadline one that brings no 4 KiB. */
  bodyStallMs: number
  /** A body under way that brings no 4 KiB in this time is given up while another client finds no room. */
  bodyStallWithoutRoomMs: number
  /** A client that reads nothing of a complete response for this time is given up. */
  responseStallMs: number
  /** Limits of reading on after a refusal, so that it reaches a client that is still sending. */
  lingerMs: number
  lingerBytes: number
  /** The same over all connections, within `lingerMs`. */
  lingerAllBytes: number
}

/** The limits for a machine. What `settings` names replaces the default. */
export function clientMemoryLimits ({ memoryMb, maxFileDescriptors }: { memoryMb: number, maxFileDescriptors: number }, settings: Partial<ClientMemoryLimits> = {}): ClientMemoryLimits {
  const memoryBytes = memoryMb * bytesPerMb
  const heldBytes = settings.heldBytes ?? memoryBytes * heldShare
  const forHeads = Math.floor(memoryBytes * headsShare / maxHeadBytes)
  return {
    heldBytes,
    heldBytesWithSmall: heldBytes + memoryBytes * smallShare,
    connections: Math.max(fewestConnections, Math.min(forHeads, maxFileDescriptors - reservedDescriptors)),
    pipelinedRequests: 32,
    bodyStallMs: 10_000,
    bodyStallWithoutRoomMs: 1000,
    responseStallMs: 30_000,
    lingerMs: 1000,
    lingerBytes: bytesPerMb,
    overheadBytes: 256 * 1024,
    overheadBytesPerS: 32 * 1024,
    costlyConnections: 4,
    lingerAllBytes: Math.max(bytesPerMb, memoryBytes * lingerShare),
    ...settings
  }
}

/** Decides whether what clients send after their refusals is read on, over all connections. */
export class LingerAllowance {
  private sinceMs = -Infinity
  private readBytes = 0

  constructor (private readonly limits: Pick<ClientMemoryLimits, 'lingerMs' | 'lingerAllBytes'>) {}

  /** Counts bytes that have been read. Returns whether more may be read. */
  take (bytes: number, nowMs: number): boolean {
    if (nowMs - this.sinceMs >= this.limits.lingerMs) {
      this.sinceMs = nowMs
      this.readBytes = 0
    }
    this.readBytes += bytes
    return this.readBytes < this.limits.lingerAllBytes
  }
}

/** Bytes that a body must bring to count as progress, so that single bytes do not keep its share of the memory. */
export const progressBytes = 4096

/** A body under way. */
export interface Upload {
  /** Time of the last progress. */
  progressAtMs: number
  /** Time of the last byte. */
  receivedAtMs: number
  /** Until then, a body may come slowly. */
  deadlineAtMs: number
  /** What giving it up releases. */
  heldBytes: number
}

function stalledUploads<T extends Upload> (uploads: Iterable<T>, nowMs: number, stallMs: number): T[] {
  return [...uploads].filter(({ progressAtMs }) => nowMs - progressAtMs >= stallMs)
}

/**
 * The uploads without progress for `stallMs` that make room for `neededBytes`. The largest go first, so that few clients lose theirs;
 * none does if all of them are not enough.
 */
export function uploadsForRoom<T extends Upload> (uploads: Iterable<T>, neededBytes: number, nowMs: number, stallMs: number): T[] {
  const stalled = stalledUploads(uploads, nowMs, stallMs).sort((left, right) => right.heldBytes - left.heldBytes)
  let releasedBytes = 0
  for (const [index, { heldBytes }] of stalled.entries()) {
    releasedBytes += heldBytes
    if (releasedBytes >= neededBytes) return stalled.slice(0, index + 1)
  }
  return []
}

/** The uploads to give up whether or not there is room: those without a byte for `stallMs`, and slow ones past their deadline. */
export function abandonedUploads<T extends Upload> (uploads: Iterable<T>, nowMs: number, stallMs: number): T[] {
  return stalledUploads(uploads, nowMs, stallMs).filter(({ receivedAtMs, deadlineAtMs }) => nowMs - receivedAtMs >= stallMs || nowMs >= deadlineAtMs)
}
