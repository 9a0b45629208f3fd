/** A node's work as leader: commands to engines, dispatch decisions for all nodes, and the feed of store changes. */

import type { CancelTimer } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { Dispatcher } from '../policy/dispatcher.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import { PrefillDemand } from '../policy/prefillDemand.js'
import { ChangeFeed } from './changeFeed.js'
import type { CoordinationStore, StoreChange } from './coordination.js'
import type { FleetSize } from './fleetSize.js'
import { packChanges } from './peerMessages.js'
import type { LeaderReport, NodeReport, ChangeRange } from './peerMessages.js'
import { PlacementLeader } from './placementLeader.js'
import type { PlacementLeaderOptions } from './placementLeader.js'
import type { StoreView } from './storeView.js'

/** Changes that arrive within this time are sent to the other nodes in one message. */
const updateDelayMs = 20
/** Shortest time between two writes of the fleet size. */
const sizeWriteIntervalMs = 5000

export interface LeaderTermOptions extends Omit<PlacementLeaderOptions, 'expectedPrefillEngines' | 'ownReport'> {
  store: CoordinationStore
  storeView: StoreView
  size: FleetSize
  /** Store key of the fleet size. */
  sizeKey: string
  /** Report of this node itself. */
  ownReport: () => NodeReport
}

export class LeaderTerm {
  private readonly options: LeaderTermOptions
  private readonly placement: PlacementLeader
  private readonly dispatcher: Dispatcher
  /** By `SERVICE/MODEL`. */
  private readonly prefillDemand: PrefillDemand
  private changeFeed: ChangeFeed
  private cancelUpdate: CancelTimer | undefined
  private sizeWrittenAtMs = -Infinity
  private isStopped = false

  constructor (options: LeaderTermOptions) {
    this.options = options
    const { clock, storeView, ownReport } = options
    this.dispatcher = new Dispatcher(clock)
    this.prefillDemand = new PrefillDemand(clock)
    this.changeFeed = new ChangeFeed(clock, storeView.revision ?? 0)
    this.placement = new PlacementLeader({
      ...options,
      ownReport: () => {
        const report = ownReport()
        this.recordOutcomes(report)
        return report
      },
      expectedPrefillEngines: (service, model, horizonMs) => this.prefillDemand.estimate(`${service}/${model}`, horizonMs).expectedEngines
    })
  }

  stop (): void {
    this.isStopped = true
    this.cancelUpdate?.()
    this.placement.stop()
  }

  /** The complete state, for a node that has just connected. */
  fullReport (): LeaderReport {
    return { ...this.placement.fullReport(), ...this.leavingRows(), news: this.storeUpdate(this.changeFeed.catchUpRange()) }
  }

  onReport (report: NodeReport): void {
    this.recordOutcomes(report)
    for (const incarnation of report.leaving ?? []) this.options.fleet.onLeaving(incarnation)
    this.placement.onReport(report)
  }

  /** The dispatch decision for a request of any node, which excludes the servers that want none from it; `undefined` if this node knows no engine that can serve it. */
  dispatch (request: DispatchRequest): DispatchDecision | undefined {
    const servers = this.options.fleet.ofService(request.service).filter(server => server.isPresent && server.serves(request.model, request.adapter))
    const candidates = servers.map(server => ({
      id: server.entry.id,
      region: server.region,
      availabilityZone: server.entry.availabilityZone,
      slots: server.entry.slots,
      running: server.running + server.runningElsewhere
    }))
    if (request.isFirst) this.prefillDemand.add(`${request.service}/${request.model}`, this.dispatcher.minimumPrefillMs(request, candidates))
    return this.dispatcher.choose(request, candidates)
  }

  /** A store change that other nodes need. */
  onChange (change: StoreChange): void {
    this.changeFeed.record(change)
  }

  /** Every single change up to `revision` has been seen. */
  onRevision (revision: number): void {
    this.changeFeed.advance(revision)
    if (!this.changeFeed.hasUnsent || this.cancelUpdate) return
    this.cancelUpdate = this.options.clock.setTimer(updateDelayMs, () => {
      this.cancelUpdate = undefined
      this.broadcastUpdate([])
    })
  }

  /** The store was listed again, so earlier changes were not all seen: the feed starts anew. */
  onResync (): void {
    this.changeFeed = new ChangeFeed(this.options.clock, this.options.storeView.revision ?? 0)
  }

  /** Broadcasts store changes and the number of requests in progress. Returns the requests in progress by engine. */
  broadcastStatus (linkCount: number, storedSize: number): LeaderReport['running'] {
    const { fleet, size } = this.options
    this.dispatcher.keepOnly(id => fleet.servers.has(id))
    size.count(linkCount + 1)
    this.writeSize(storedSize)
    const running = this.placement.runningRows()
    this.broadcastUpdate(running)
    return running
  }

  private recordOutcomes ({ outcomes }: NodeReport): void {
    for (const [backend, answered, failed] of outcomes) this.dispatcher.onOutcomes(backend, answered, failed)
  }

  private broadcastUpdate (running: LeaderReport['running']): void {
    if (this.isStopped) return
    this.options.broadcast({ fence: this.options.fence, ...this.leavingRows(), news: this.storeUpdate(this.changeFeed.nextRange()), hosting: [], running })
  }

  private leavingRows (): Pick<LeaderReport, 'leaving'> {
    const { leaving } = this.options.fleet
    return leaving.length > 0 ? { leaving } : {}
  }

  private storeUpdate ({ fromRevision, revision, changes }: ChangeRange): LeaderReport['news'] {
    const { storeView, size, clock } = this.options
    return {
      fromRevision,
      revision,
      changes: packChanges(changes),
      ageMs: storeView.ageMs,
      nodeCount: size.value,
      returnedMsAgo: storeView.outageEndedAtMs === undefined ? null : clock.nowMs() - storeView.outageEndedAtMs
    }
  }

  /** Stores the number of nodes for nodes that start while no leader counts them. */
  private writeSize (storedSize: number): void {
    const { clock, store, log, size, sizeKey } = this.options
    if (size.value === storedSize || clock.nowMs() - this.sizeWrittenAtMs < sizeWriteIntervalMs) return
    this.sizeWrittenAtMs = clock.nowMs()
    store.commit({ expected: [], writes: [{ key: sizeKey, value: String(size.value) }] })
      .catch(error => log('warn', 'fleet size not written', { size: size.value, error: messageOf(error) }))
  }
}
