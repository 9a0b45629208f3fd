/** What a node does for all nodes while it leads: orders to engines, choices of engines, and the store's changes. */

import type { CancelTimer } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { Dispatcher } from '../policy/dispatcher.js'
import type { DispatchRequest, DispatchDecision } from '../policy/dispatcher.js'
import { PrefillDemand } from '../policy/prefillDemand.js'
import { ChangeRelay } from './changeRelay.js'
import type { CoordinationStore, StoreChange } from './coordination.js'
import type { FleetSize } from './fleetSize.js'
import { packChanges } from './peerMessages.js'
import type { LeaderReport, NodeReport, RelayedChanges } from './peerMessages.js'
import { PlacementLeader } from './placementLeader.js'
import type { PlacementLeaderOptions } from './placementLeader.js'
import type { StoreView } from './storeView.js'

/** Changes that come at once are told to the other nodes in one message. */
const newsDelayMs = 20
/** The size of the fleet is written at most this often. */
const sizeWriteMs = 5000

export interface LeaderOfficeOptions extends Omit<PlacementLeaderOptions, 'expectedReadingEngines' | 'ownReport'> {
  store: CoordinationStore
  storeView: StoreView
  size: FleetSize
  /** Key of the store that keeps the size of the fleet. */
  sizeKey: string
  /** Report of this node itself. */
  ownReport: () => NodeReport
}

export class LeaderOffice {
  private readonly options: LeaderOfficeOptions
  private readonly placement: PlacementLeader
  private readonly desk: Dispatcher
  /** By `SERVICE/MODEL`. */
  private readonly reading: PrefillDemand
  private changes: ChangeRelay
  private cancelNews: CancelTimer | undefined
  private sizeWrittenAtMs = -Infinity
  private isStopped = false

  constructor (options: LeaderOfficeOptions) {
    this.options = options
    const { clock, storeView, ownReport } = options
    this.desk = new Dispatcher(clock)
    this.reading = new PrefillDemand(clock)
    this.changes = new ChangeRelay(clock, storeView.revision ?? 0)
    this.placement = new PlacementLeader({
      ...options,
      ownReport: () => {
        const report = ownReport()
        this.noteOutcomes(report)
        return report
      },
      expectedReadingEngines: (service, model, horizonMs) => this.reading.estimate(`${service}/${model}`, horizonMs).expectedEngines
    })
  }

  stop (): void {
    this.isStopped = true
    this.cancelNews?.()
    this.placement.stop()
  }

  /** What a node that has just connected has to know. */
  fullReport (): LeaderReport {
    return { ...this.placement.fullReport(), news: this.newsOf(this.changes.recent()) }
  }

  onReport (report: NodeReport): void {
    this.noteOutcomes(report)
    this.placement.onReport(report)
  }

  /** The engine for a request of any node; `undefined` if this node reaches none that others may reach. */
  choose (ask: DispatchRequest): DispatchDecision | undefined {
    const servers = this.options.fleet.ofService(ask.service).filter(server => server.isUsable && server.serves(ask.model, ask.adapter))
    const candidates = servers.map(server => ({
      id: server.entry.id,
      region: server.region,
      availabilityZone: server.entry.availabilityZone,
      slots: server.entry.slots,
      running: server.running + server.runningElsewhere
    }))
    if (ask.isFirst) this.reading.add(`${ask.service}/${ask.model}`, this.desk.minimumPrefillMs(ask, candidates))
    return this.desk.choose(ask, candidates)
  }

  /** A change that other nodes have to know. */
  onChange (change: StoreChange): void {
    this.changes.note(change)
  }

  /** All changes up to `revision` have been seen one by one. */
  onRevision (revision: number): void {
    this.changes.advance(revision)
    if (!this.changes.hasNews || this.cancelNews) return
    this.cancelNews = this.options.clock.setTimer(newsDelayMs, () => {
      this.cancelNews = undefined
      this.tellNews([])
    })
  }

  /** The store was read again, so what changed before was not seen change by change. */
  onReadAgain (): void {
    this.changes = new ChangeRelay(this.options.clock, this.options.storeView.revision ?? 0)
  }

  /** Tells the nodes what changed and how many requests run. Returns the running requests by engine. */
  tellNodes (linkCount: number, storedSize: number): LeaderReport['running'] {
    const { fleet, size } = this.options
    this.desk.keepOnly(id => fleet.servers.has(id))
    size.count(linkCount + 1)
    this.storeSize(storedSize)
    const running = this.placement.runningRows()
    this.tellNews(running)
    return running
  }

  private noteOutcomes ({ outcomes }: NodeReport): void {
    for (const [backend, answered, failed] of outcomes) this.desk.onOutcomes(backend, answered, failed)
  }

  private tellNews (running: LeaderReport['running']): void {
    if (this.isStopped) return
    this.options.broadcast({ fence: this.options.fence, news: this.newsOf(this.changes.next()), hosting: [], running })
  }

  private newsOf ({ fromRevision, revision, changes }: RelayedChanges): LeaderReport['news'] {
    const { storeView, size, clock } = this.options
    return {
      fromRevision,
      revision,
      changes: packChanges(changes),
      ageMs: storeView.ageMs,
      nodeCount: size.value,
      returnedMsAgo: storeView.returnedAtMs === undefined ? null : clock.nowMs() - storeView.returnedAtMs
    }
  }

  /** Keeps the number of nodes for nodes that start while no leader counts them. */
  private storeSize (storedSize: number): void {
    const { clock, store, log, size, sizeKey } = this.options
    if (size.value === storedSize || clock.nowMs() - this.sizeWrittenAtMs < sizeWriteMs) return
    this.sizeWrittenAtMs = clock.nowMs()
    store.commit({ expected: [], writes: [{ key: sizeKey, value: String(size.value) }] })
      .catch(error => log('warn', 'fleet size not written', { size: size.value, error: messageOf(error) }))
  }
}
