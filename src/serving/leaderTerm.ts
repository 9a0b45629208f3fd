/** What a node does for all nodes while it leads: orders to engines, choices of engines, and the store's changes. */

import type { CancelTimer } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { DispatchDesk } from '../policy/dispatchDesk.js'
import type { DispatchAsk, DispatchChoice } from '../policy/dispatchDesk.js'
import { ReadingDemand } from '../policy/readingDemand.js'
import { ChangeFeed } from './changeFeed.js'
import type { CoordinationStore, StoreChange } from './coordination.js'
import type { FleetSize } from './fleetSize.js'
import { packChanges } from './peerMessages.js'
import type { LeaderReport, NodeReport, ChangeRange } from './peerMessages.js'
import { PlacementLeader } from './placementLeader.js'
import type { PlacementLeaderOptions } from './placementLeader.js'
import type { StoreView } from './storeView.js'

/** Changes that come at once are told to the other nodes in one message. */
const updateDelayMs = 20
/** The size of the fleet is written at most this often. */
const sizeWriteIntervalMs = 5000

export interface LeaderTermOptions extends Omit<PlacementLeaderOptions, 'expectedPrefillEngines' | 'ownReport'> {
  store: CoordinationStore
  storeView: StoreView
  size: FleetSize
  /** Key of the store that keeps the size of the fleet. */
  sizeKey: string
  /** Report of this node itself. */
  ownReport: () => NodeReport
}

export class LeaderTerm {
  private readonly options: LeaderTermOptions
  private readonly placement: PlacementLeader
  private readonly dispatcher: DispatchDesk
  /** By `SERVICE/MODEL`. */
  private readonly prefillDemand: ReadingDemand
  private changeFeed: ChangeFeed
  private cancelUpdate: CancelTimer | undefined
  private sizeWrittenAtMs = -Infinity
  private isStopped = false

  constructor (options: LeaderTermOptions) {
    this.options = options
    const { clock, storeView, ownReport } = options
    this.dispatcher = new DispatchDesk(clock)
    this.prefillDemand = new ReadingDemand(clock)
    this.changeFeed = new ChangeFeed(clock, storeView.revision ?? 0)
    this.placement = new PlacementLeader({
      ...options,
      ownReport: () => {
        const report = ownReport()
        this.recordOutcomes(report)
        return report
      },
      expectedPrefillEngines: (service, model, horizonMs) => this.prefillDemand.of(`${service}/${model}`, horizonMs).expectedEngines
    })
  }

  stop (): void {
    this.isStopped = true
    this.cancelUpdate?.()
    this.placement.stop()
  }

  /** What a node that has just connected has to know. */
  fullReport (): LeaderReport {
    return { ...this.placement.fullReport(), news: this.storeUpdate(this.changeFeed.catchUpRange()) }
  }

  onReport (report: NodeReport): void {
    this.recordOutcomes(report)
    this.placement.onReport(report)
  }

  /** The engine for a request of any node; `undefined` if this node reaches none that others may reach. */
  dispatch (ask: DispatchAsk): DispatchChoice | undefined {
    const servers = this.options.fleet.ofService(ask.service).filter(server => server.isUsable && server.serves(ask.model, ask.adapter))
    const candidates = servers.map(server => ({
      id: server.entry.id,
      region: server.region,
      availabilityZone: server.entry.availabilityZone,
      slots: server.entry.slots,
      running: server.running + server.runningElsewhere
    }))
    if (ask.isFirst) this.prefillDemand.add(`${ask.service}/${ask.model}`, this.dispatcher.leastReadingMs(ask, candidates))
    return this.dispatcher.choose(ask, candidates)
  }

  /** A change that other nodes have to know. */
  onChange (change: StoreChange): void {
    this.changeFeed.record(change)
  }

  /** All changes up to `revision` have been seen one by one. */
  onRevision (revision: number): void {
    this.changeFeed.advance(revision)
    if (!this.changeFeed.hasUnsent || this.cancelUpdate) return
    this.cancelUpdate = this.options.clock.setTimer(updateDelayMs, () => {
      this.cancelUpdate = undefined
      this.broadcastUpdate([])
    })
  }

  /** The store was read again, so what changed before was not seen change by change. */
  onResync (): void {
    this.changeFeed = new ChangeFeed(this.options.clock, this.options.storeView.revision ?? 0)
  }

  /** Tells the nodes what changed and how many requests run. Returns the running requests by engine. */
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
    this.options.broadcast({ fence: this.options.fence, news: this.storeUpdate(this.changeFeed.nextRange()), hosting: [], running })
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

  /** Keeps the number of nodes for nodes that start while no leader counts them. */
  private writeSize (storedSize: number): void {
    const { clock, store, log, size, sizeKey } = this.options
    if (size.value === storedSize || clock.nowMs() - this.sizeWrittenAtMs < sizeWriteIntervalMs) return
    this.sizeWrittenAtMs = clock.nowMs()
    store.commit({ expected: [], writes: [{ key: sizeKey, value: String(size.value) }] })
      .catch(error => log('warn', 'fleet size not written', { size: size.value, error: messageOf(error) }))
  }
}
