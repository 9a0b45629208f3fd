/**
 * Decides by the markers in the store which software versions may begin resumable streams. A service's marker of a version is in the store
 * before the first stream of that version begins, so a single marker tells the version of all streams.
 */

import type { Clock } from '../base/clock.js'

/** A marker outlasts all streams that were begun under it, and an outage of the store of some minutes. */
export const markerLeaseMs = 600_000
/** Interval at which the placement leader renews the markers of versions that engines run. */
export const markerRenewalMs = 60_000
/** Age of a marker from which another node renews it: no leader does. */
const substituteRenewalMs = 180_000
/** A copy from which the store comes back is at most this old: a younger marker may be lost. */
const youngMarkerMs = 60_000
/** A marker is renewed only while the view is at most this old: it may have ended, and then it counts as absent. */
const maxRenewalViewAgeMs = 2000
/** Age of the view from which a young marker no longer counts in a shared service: the store may have come back without it. */
const maxBlindMs = 15_000

/** Lease of the marker of unknown versions: until the last stream that a node without a view of the store has begun can no longer be taken up. */
export function unknownMarkerMs (recordLifetimeMs: number): number {
  return recordLifetimeMs + maxBlindMs
}

/** A marker, as it lies in the store. */
export interface SoftwareMarker {
  service: string
  /** `undefined`: streams of an unknown version may be alive. */
  version: string | undefined
  /** Era of the store in which it was written. */
  era: number
}

interface KnownMarker {
  era: number
  /** Time since which it is known in this era. */
  knownSinceMs: number
  /** Time at which its last write became known. */
  writtenAtMs: number
}

export interface SoftwareMarkersOptions {
  clock: Clock
  /** Whether no earlier process of the system has begun streams. */
  isFirstStart: boolean
  /** Age of this node's view of the store. */
  viewAgeMs: () => number
  /** Versions that the servers of a service run, as this node knows. */
  versionsOf: (service: string) => ReadonlySet<string>
}

export class SoftwareMarkers {
  private readonly options: SoftwareMarkersOptions
  /** By service and version. */
  private markers = new Map<string, Map<string | undefined, KnownMarker>>()
  private era: number | undefined
  private firstEra: number | undefined
  /** Services of which a marker was known at any time. */
  private readonly marked = new Set<string>()

  constructor (options: SoftwareMarkersOptions) {
    this.options = options
  }

  /** Era of the store in which it was listed last. */
  get currentEra (): number | undefined {
    return this.era
  }

  /** The store was listed in `era`. Returns whether it has come back from a copy since the last time. */
  onList (markers: readonly SoftwareMarker[], era: number): boolean {
    const isReturn = this.era !== undefined && era !== this.era
    this.era = era
    this.firstEra ??= era
    const earlier = this.markers
    this.markers = new Map()
    const nowMs = this.options.clock.nowMs()
    for (const marker of markers) {
      const known = earlier.get(marker.service)?.get(marker.version)
      // A list does not tell when a marker was written, and it may soon end: the leader renews one that is new to it at once.
      this.put(marker, known, known?.era === marker.era ? known.writtenAtMs : nowMs - markerRenewalMs)
    }
    return isReturn
  }

  /** A marker was written, by this node or another one. */
  onWritten (marker: SoftwareMarker): void {
    this.put(marker, this.markers.get(marker.service)?.get(marker.version))
  }

  onRemoved ({ service, version }: Pick<SoftwareMarker, 'service' | 'version'>): void {
    this.markers.get(service)?.delete(version)
  }

  private put ({ service, version, era }: SoftwareMarker, known: KnownMarker | undefined, writtenAtMs = this.options.clock.nowMs()): void {
    const nowMs = this.options.clock.nowMs()
    const ofService = this.markers.get(service) ?? new Map<string | undefined, KnownMarker>()
    this.markers.set(service, ofService)
    this.marked.add(service)
    ofService.set(version, { era, knownSinceMs: known?.era === era ? known.knownSinceMs : nowMs, writtenAtMs })
  }

  /** Number of markers of a service, also those of unknown versions. */
  countOf (service: string): number {
    return this.markers.get(service)?.size ?? 0
  }

  /** Whether streams of several versions may be alive, so that each is to be recorded. */
  isShared (service: string): boolean {
    return this.countOf(service) > 1 || this.options.versionsOf(service).size > 1
  }

  /** Whether a resumable stream may be begun at a server of the version. */
  mayBegin (service: string, version: string): boolean {
    const marker = this.markers.get(service)?.get(version)
    if (!marker || this.era === undefined || marker.era < this.era) return false
    const viewAgeMs = this.options.viewAgeMs()
    // Nobody has renewed it for long, as its version was away: it may end before its first streams do. With a view it is renewed at once.
    if (viewAgeMs <= maxRenewalViewAgeMs && this.options.clock.nowMs() - marker.writtenAtMs > markerLeaseMs / 2) return false
    // Without a view, a marker does not get older: the store may have come back without it right after the view ended.
    const isYoung = this.options.clock.nowMs() - viewAgeMs - marker.knownSinceMs < youngMarkerMs
    return !isYoung || viewAgeMs < maxBlindMs || !this.isShared(service)
  }

  /**
   * What this node has to write for a version that servers run; `undefined` if nothing. Without a marker of this era, the marker of another
   * version may be lost, too, while its streams are alive.
   */
  dueWrite (service: string, version: string, { isLeader }: { isLeader: boolean }): { withUnknown: boolean } | undefined {
    const marker = this.markers.get(service)?.get(version)
    if (this.era === undefined) return undefined
    if (!marker || marker.era < this.era) {
      const isFirst = this.options.isFirstStart && this.era === this.firstEra && !this.marked.has(service)
      return { withUnknown: !isFirst }
    }
    if (this.options.viewAgeMs() > maxRenewalViewAgeMs) return undefined
    const ageMs = this.options.clock.nowMs() - marker.writtenAtMs
    return ageMs >= (isLeader ? markerRenewalMs : substituteRenewalMs) ? { withUnknown: false } : undefined
  }
}
