/** Decides by which software version a stream that a client takes up may be continued. */

import type { SoftwareMarker } from './softwareMarkers.js'

/** Why a stream cannot be continued; each is answered with 503, as nothing has run. */
export type ContinuationRefusal =
  /** No record names the stream, and streams of several versions may be alive. */
  | 'unknown-stream'
  /** Streams of several versions were begun under the ID. */
  | 'ambiguous-stream'
  /** No server of its version serves its model. */
  | 'version-not-served'
  | 'store-silent'
  | 'too-many-lookups'

export type Continuation =
  /** `by` says how the version is known: a record of this node, a record in the store, or the only marker of the service. */
  | { kind: 'version', version: string, by: 'own-record' | 'record' | 'only-marker' }
  | { kind: 'refused', reason: ContinuationRefusal }

/** Decides by the service's markers as read in `era`; `undefined` if the records must be read, too. */
export function continueByMarkers (markers: readonly SoftwareMarker[], era: number): Continuation | undefined {
  const [marker] = markers
  if (markers.length !== 1 || marker?.version === undefined || marker.era !== era) return undefined
  return { kind: 'version', version: marker.version, by: 'only-marker' }
}

/** Decides by the record of the stream, which without a version stands for streams of several ones. */
export function continueByRecord (version: string | undefined, by: 'own-record' | 'record' = 'record'): Continuation {
  return version === undefined ? { kind: 'refused', reason: 'ambiguous-stream' } : { kind: 'version', version, by }
}
