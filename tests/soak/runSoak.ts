/** One seeded run: real nodes, overlapping faults, then a calm end in which everything must be served again. */

import { createRandom } from '../fixtures/seeds.js'
import { accountFaults, faults, releaseFaults } from './faults.js'
import { sleep } from './storeStandIn.js'
import { World } from './world.js'

/** Time after which nodes that were all started at once serve. */
const startMs = 4000
/** Time after the last fault until everything is served again: recovery, and the end of what faults left behind. */
const healMs = 12_000
const calmMs = 3000
/** Served share at the end; the rest covers requests that cross a model move. */
const healedShare = 0.95
const longestFaultMs = 4000
/** Share of the faults that replace keys, where there are accounts. */
const keyRemovalShare = 0.3
/** Share of the faults that are releases, where versions change. */
const releaseShare = 0.3

export interface SoakOptions {
  seed: number
  directory: string
  durationMs: number
  /** Whether everything must be served again after the faults; not where a mechanism is switched off. */
  mustHeal?: boolean
  nodeCount: number
  /** Rule at whose first violation the faults end early. */
  until?: string | undefined
  /** Service whose servers the faults of backend servers hit; any if absent. */
  service?: string | undefined
  /** Names of faults to draw from; all if absent. */
  only?: readonly string[] | undefined
  sabotage?: string | undefined
  /** Clients ask for streams alone, of models that every engine holds. */
  onlyStreams?: boolean | undefined
  /** The deployment has client accounts, and keys are replaced. */
  hasAccounts?: boolean | undefined
  /** Versions of engines change, and clients ask for streams alone and take broken ones up. */
  hasReleases?: boolean | undefined
}

export interface SoakResult {
  seed: number
  violations: string[]
  counts: Record<string, number>
  /** Faults with their start, in seconds. */
  played: string[]
  servedAtEnd: number
}

export async function runSoak ({ seed, directory, durationMs, mustHeal = true, nodeCount, until, service, only, sabotage, onlyStreams, hasAccounts, hasReleases }: SoakOptions): Promise<SoakResult> {
  const random = createRandom(seed)
  const world = new World({ random: createRandom(seed + 1_000_000), nodeCount, directory, service, sabotage, onlyStreams, hasAccounts, hasReleases })
  const played: string[] = []
  const names = only ?? Object.keys(faults)
  await world.start()
  try {
    await sleep(startMs)
    const startedAtMs = performance.now()
    const untilMs = startedAtMs + durationMs
    const isFound = () => until !== undefined && world.ledger.violations.some(text => text.startsWith(`${until} `))
    const traffic = world.traffic(untilMs + 500, isFound)
    const running: Promise<void>[] = []
    while (performance.now() < untilMs && !isFound()) {
      // A run that looks for the violation of a rule plays only the faults that lead to it.
      const name = hasAccounts && !until && random() < keyRemovalShare
        ? 'keyRemoval'
        : hasReleases && !until && random() < releaseShare ? 'release' : names[Math.floor(random() * names.length)]!
      played.push(`${((performance.now() - startedAtMs) / 1000).toFixed(1)} ${name}`)
      running.push((faults[name] ?? accountFaults[name] ?? releaseFaults[name]!)(world, 300 + random() * longestFaultMs))
      await sleep(200 + random() * 1800)
    }
    await Promise.all([traffic, ...running])
    world.ledger.checkNeighbours()
    world.ledger.checkTakeUps()
    if (!mustHeal) return { seed, violations: world.ledger.violations, counts: world.ledger.counts, played, servedAtEnd: NaN }
    if (world.accounts) world.accounts.isFlooding = false
    await sleep(healMs)
    const { servedShare, unserved } = await world.traffic(performance.now() + calmMs)
    if (servedShare < healedShare) world.ledger.violation('RECOVER', `${(servedShare * 100).toFixed(1)}% are served ${healMs} ms after the last fault; not served: ${unserved.join(', ')}`)
    return { seed, violations: world.ledger.violations, counts: world.ledger.counts, played, servedAtEnd: servedShare }
  } finally {
    await world.stop()
  }
}
