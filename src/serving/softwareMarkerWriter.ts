/** Writes the markers of the software versions that servers run, before streams begin there. */

import type { Clock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import type { Log } from '../base/log.js'
import type { Random } from '../base/random.js'
import { markerLeaseMs, unknownMarkerMs } from '../policy/softwareMarkers.js'
import type { SoftwareMarker, SoftwareMarkers } from '../policy/softwareMarkers.js'
import type { CoordinationStore } from './coordination.js'
import type { StreamKeys } from './streamKeys.js'
import { eraOf } from './storePosition.js'

/** The leader writes a marker at once; each other node waits up to this time for each node of the deployment, so that few write. */
const delayPerNodeMs = 2
const retryMs = 500

export interface SoftwareMarkerWriterOptions {
  store: CoordinationStore
  clock: Clock
  random: Random
  log: Log
  keys: StreamKeys
  markers: SoftwareMarkers
  nodeCount: () => number
  isLeader: () => boolean
  recordLifetimeMs: () => number
}

export class SoftwareMarkerWriter {
  private readonly options: SoftwareMarkerWriterOptions
  /** Times from which due markers are written, by key. */
  private readonly writeAtMs = new Map<string, number>()
  private readonly inProgress = new Set<string>()
  /** Keys whose last write failed. */
  private readonly failed = new Set<string>()

  constructor (options: SoftwareMarkerWriterOptions) {
    this.options = options
  }

  /** Writes the marker of a version that servers run if it is due. */
  check (service: string, version: string): void {
    const { clock, random, keys, markers, nodeCount, isLeader } = this.options
    const key = keys.markerKey({ service, version })
    const due = markers.dueWrite(service, version, { isLeader: isLeader() })
    if (!due || this.inProgress.has(key)) {
      if (!due) this.writeAtMs.delete(key)
      return
    }
    const atMs = this.writeAtMs.get(key) ?? clock.nowMs() + (isLeader() ? 0 : random.next() * delayPerNodeMs * nodeCount())
    this.writeAtMs.set(key, atMs)
    if (clock.nowMs() < atMs) return
    this.inProgress.add(key)
    void this.write(service, version, due).finally(() => this.inProgress.delete(key))
  }

  private async write (service: string, version: string, { withUnknown }: { withUnknown: boolean }): Promise<void> {
    const { store, clock, random, log, keys, markers, recordLifetimeMs } = this.options
    const key = keys.markerKey({ service, version })
    const isNew = !markers.mayBegin(service, version)
    const { currentEra } = markers
    try {
      const lease = await store.grantLease(markerLeaseMs)
      // Whether other markers may be lost was decided by what was listed in an earlier era.
      if (lease.era !== currentEra) throw new Error('the store came back from a copy and has not been listed since')
      const unknownLease = withUnknown ? await store.grantLease(unknownMarkerMs(recordLifetimeMs())) : undefined
      const written: SoftwareMarker[] = [{ service, version, era: lease.era }, ...(unknownLease ? [{ service, version: undefined, era: unknownLease.era }] : [])]
      const writes = written.map(marker => ({ key: keys.markerKey(marker), value: String(marker.era), lease: marker.version === undefined ? unknownLease! : lease }))
      const result = await store.commit({ writes })
      if (result.kind !== 'committed' || eraOf(result.revision) !== lease.era) throw new Error('the lease ended, or the store came back from a copy')
      for (const marker of written) markers.onWritten(marker)
      this.writeAtMs.delete(key)
      this.failed.delete(key)
      if (isNew) log('info', 'software marker written', { service, version, withUnknown })
    } catch (error) {
      if (!this.failed.has(key)) log('warn', 'software marker not written', { service, version, error: messageOf(error) })
      this.failed.add(key)
      this.writeAtMs.set(key, clock.nowMs() + retryMs * (0.5 + random.next()))
    }
  }
}
