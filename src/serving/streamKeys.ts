/** Store keys of software markers and of stream records, and the digests that name streams in records. */

import { createHash } from 'node:crypto'
import type { SoftwareMarker } from '../policy/softwareMarkers.js'
import type { OriginRow } from '../policy/streamOrigins.js'

/** Last part of a marker's key for streams of unknown versions. Escaped versions contain no question mark. */
const unknownPart = '?'
/** The same for the version of servers that name none. Escaped versions contain no single percent sign. */
const emptyPart = '%'
/** Length of a digest in characters of 6 bits. Two of the some 100,000 live streams of the largest deployments are equal once in 10^18 times. */
export const digestChars = 16

/** Names a stream by the client attempt that began it. IDs of clients are never used as keys. */
export function streamDigest (service: string, account: string | undefined, attempt: string): string {
  return createHash('sha256').update(JSON.stringify([service, account ?? null, attempt])).digest('base64url').slice(0, digestChars)
}

export class StreamKeys {
  readonly markers: string
  readonly records: string

  /** `prefix` is that of this system's own store keys. */
  constructor (prefix: string) {
    this.markers = `${prefix}software/`
    this.records = `${prefix}streams/`
  }

  markerKey ({ service, version }: Pick<SoftwareMarker, 'service' | 'version'>): string {
    const part = version === undefined ? unknownPart : escape(version) || emptyPart
    return `${this.markers}${escape(service)}/${part}`
  }

  /** The marker that a key of the store stands for, with the era that is its value; `undefined` if it is none. */
  readMarker (key: string, value: string): SoftwareMarker | undefined {
    const [service, part, ...rest] = key.startsWith(this.markers) ? key.slice(this.markers.length).split('/') : []
    if (!service || !part || rest.length > 0) return undefined
    try {
      const version = part === unknownPart ? undefined : part === emptyPart ? '' : decodeURIComponent(part)
      return { service: decodeURIComponent(service), version, era: /^\d{1,9}$/.test(value) ? Number(value) : -1 }
    } catch {
      // Not a key that this system writes.
      return undefined
    }
  }
}

/** Text that is not well-formed Unicode, which an entry may have, cannot be escaped as it is. */
function escape (text: string): string {
  return encodeURIComponent(Buffer.from(text).toString())
}

/** Service, version, digests one after the other. */
export type RecordRows = [service: string, version: string, digests: string][]

export function packRows (rows: readonly OriginRow[]): RecordRows {
  const packed = new Map<string, [string, string, string[]]>()
  for (const { service, version, digest } of rows) {
    const key = JSON.stringify([service, version])
    const row = packed.get(key) ?? [service, version, []]
    packed.set(key, row)
    row[2].push(digest)
  }
  return [...packed.values()].map(([service, version, digests]) => [service, version, digests.join('')])
}

export function unpackRows (rows: RecordRows): OriginRow[] {
  return rows.flatMap(([service, version, digests]) => Array.from({ length: Math.floor(digests.length / digestChars) }, (_, index) => ({
    service, version, digest: digests.slice(index * digestChars, (index + 1) * digestChars)
  })))
}
