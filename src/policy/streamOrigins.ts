/** Remembers by which software version streams were begun, for as long as their clients may take them up. */

/** Beyond this number, the oldest records that are in the store are forgotten. */
const maxWrittenOrigins = 20_000

interface Origin {
  service: string
  /** `undefined` if the same ID was used for streams of several versions. */
  version: string | undefined
  endsAtMs: number
}

export interface OriginRow {
  service: string
  version: string
  digest: string
}

/** A row that is to be written; the record may be renewed meanwhile. */
export interface UnwrittenRow extends OriginRow {
  endsAtMs: number
}

/**
 * The streams that a node has begun or continued. Records that are not in the store are never dropped before their time: their number is
 * limited by what engines serve within it.
 */
export class StreamOrigins {
  /** By digest, oldest first. Those in the store may be forgotten early. */
  private readonly written = new Map<string, Origin>()
  /** By service, and by digest. */
  private readonly unwritten = new Map<string, Map<string, Origin>>()

  get size (): number {
    return this.written.size + this.unwrittenCount
  }

  get unwrittenCount (): number {
    return [...this.unwritten.values()].reduce((sum, { size }) => sum + size, 0)
  }

  /** A stream was begun or taken up. It counts as unwritten, also if it was known. */
  record ({ service, version, digest }: OriginRow, endsAtMs: number): void {
    const known = this.find(service, digest)
    const origin = { service, version: known && known.version !== version ? undefined : version, endsAtMs: Math.max(endsAtMs, known?.endsAtMs ?? 0) }
    this.written.delete(digest)
    const ofService = this.unwritten.get(service) ?? new Map<string, Origin>()
    this.unwritten.set(service, ofService)
    ofService.delete(digest)
    ofService.set(digest, origin)
  }

  /** The record of a stream; without `version` it is ambiguous. */
  find (service: string, digest: string): { version: string | undefined, endsAtMs: number } | undefined {
    const written = this.written.get(digest)
    return (written?.service === service ? written : undefined) ?? this.unwritten.get(service)?.get(digest)
  }

  /** Records of the services that are to be in the store and are not, up to `maxRows` for which `isFree` holds. */
  unwrittenRows (isNeeded: (service: string) => boolean, isFree: (digest: string) => boolean, maxRows: number): UnwrittenRow[] {
    const rows: UnwrittenRow[] = []
    for (const [service, ofService] of this.unwritten) {
      if (!isNeeded(service)) continue
      for (const [digest, { version, endsAtMs }] of ofService) {
        if (rows.length >= maxRows) return rows
        if (version !== undefined && isFree(digest)) rows.push({ service, version, digest, endsAtMs })
      }
    }
    return rows
  }

  /** The rows are in the store. Records that were renewed since are to be written again. */
  onWritten (rows: readonly UnwrittenRow[]): void {
    for (const { service, digest, endsAtMs } of rows) {
      const origin = this.unwritten.get(service)?.get(digest)
      if (origin?.endsAtMs !== endsAtMs) continue
      this.unwritten.get(service)!.delete(digest)
      this.written.set(digest, origin)
    }
    for (const digest of this.written.keys()) {
      if (this.written.size <= maxWrittenOrigins) return
      this.written.delete(digest)
    }
  }

  /** The store may have lost what was written. */
  onStoreLoss (): void {
    for (const [digest, { service, version, endsAtMs }] of [...this.written]) if (version !== undefined) this.record({ service, version, digest }, endsAtMs)
  }

  /** Forgets what can no longer be taken up. */
  sweep (nowMs: number): void {
    for (const records of [this.written, ...this.unwritten.values()]) {
      for (const [digest, { endsAtMs }] of records) if (endsAtMs <= nowMs) records.delete(digest)
    }
  }
}
