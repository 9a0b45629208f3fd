/** Faults that the soak injects from outside the processes, in series and overlapping. */

import { removalMs } from './accounts.js'
import type { BackendStandIn } from './backendStandIn.js'
import type { ProxyMode } from './faultProxy.js'
import type { NodeProcess } from './nodeProcess.js'
import { sleep } from './storeStandIn.js'
import type { StoreMode } from './storeStandIn.js'
import { leaderKey } from './world.js'
import type { World } from './world.js'

/** Carries a fault out and heals it after `durationMs`. */
export type Fault = (world: World, durationMs: number) => Promise<void>

async function disturbNode (world: World, name: string, action: (node: NodeProcess) => Promise<void>): Promise<void> {
  const node = world.pick(world.nodes)
  node.condition.begin(name)
  await action(node)
  node.condition.end(name)
}

async function disturbBackend (world: World, name: string, action: (backend: BackendStandIn) => Promise<void>): Promise<void> {
  const backend = world.pickBackend()
  const condition = world.ledger.backends.get(backend.options.id)!
  condition.begin(name)
  await action(backend)
  condition.end(name)
}

let storeFaults = 0

async function disturbStore (world: World, name: string, action: () => Promise<void>): Promise<void> {
  // The end of one fault must not end another of its name that still lasts.
  const fault = `${name} ${++storeFaults}`
  world.ledger.store.begin(fault)
  await action()
  world.ledger.store.end(fault)
}

const storeIn = (mode: StoreMode): Fault => (world, durationMs) => disturbStore(world, mode, async () => {
  world.store.mode = mode
  world.store.lapses = world.random() < 0.5
  await sleep(durationMs)
  world.store.mode = 'up'
})

const storeCutFrom = (mode: ProxyMode): Fault => (world, durationMs) => disturbNode(world, `store ${mode}`, async node => {
  node.storeProxy.mode = mode
  if (mode === 'reset') node.storeProxy.resetAll()
  await sleep(durationMs)
  node.storeProxy.mode = 'pass'
})

const backendLink = (mode: ProxyMode): Fault => (world, durationMs) => disturbBackend(world, `link ${mode}`, async ({ proxy }) => {
  proxy.mode = mode
  if (mode === 'reset') proxy.resetAll()
  await sleep(durationMs)
  proxy.mode = 'pass'
})

const shortestPauseMs = 1000
const longestPauseMs = 2000
/** Places that engines have beyond what they run when they become nearly full. */
const mostPlacesLeft = 1

/** Longer than the time within which nodes must have stopped using a leaving server. */
const leavingServesMs = 6000
const turnAwayPauseMs = 2500
const longestLeaseMs = 5000
const leaderPollMs = 10
const electionDelayMs = 2000
/** Time from the end of the delay until a leader has been elected and has given orders. */
const firstOrdersMs = 3500
/** Longest time for which nodes are turned away while the store, back from a copy, serves the others. */
const longestAwayMs = 4000
/** Longest time between a cut, the end of the server behind it, its successor and the end of the cut. */
const rebornStepMs = 500
/** Prompts with a part that ends engines come for longer than other faults last. */
const shortestDeadlyMs = 10_000
const deadlyPartFactor = 3

async function turnNodesAway (world: World, durationMs: number): Promise<void> {
  for (const { storeProxy } of world.nodes) {
    storeProxy.mode = 'reset'
    storeProxy.resetAll()
  }
  await sleep(durationMs)
  for (const { storeProxy } of world.nodes) storeProxy.mode = 'pass'
}

/** Takes a copy of the store and lets it come back from it after `meanwhile`; it serves all but the nodes for `awayMs`. */
async function returnFromCopy (world: World, { meanwhile, awayMs }: { meanwhile: () => Promise<void>, awayMs: number }): Promise<void> {
  const copy = world.store.copy()
  await meanwhile()
  world.restoreStore(copy)
  if (world.random() < 0.5) world.changeConfig()
  await turnNodesAway(world, awayMs)
}

/** Takes what an engine holds of adapters, so that the leader has orders to give. */
async function replaceEngine (world: World): Promise<void> {
  const engine = world.engines[0]
  if (!engine) return
  engine.crash()
  await world.replaceBackend(engine)
}

/** The leader ends, and a successor that the copy does not know is elected late, so that its fence is far above the copy. */
async function forgetLeader (world: World): Promise<void> {
  const node = world.nodes.find(({ name }) => name === world.ledger.leader)
  if (!node || world.isForgettingLeader) return
  world.isForgettingLeader = true
  node.condition.begin('kill')
  node.signal('SIGKILL')
  node.condition.end('kill')
  const untilMs = performance.now() + longestLeaseMs
  while (world.store.items.has(leaderKey) && performance.now() < untilMs) await sleep(leaderPollMs)
  await returnFromCopy(world, {
    meanwhile: async () => {
      await turnNodesAway(world, electionDelayMs)
      await replaceEngine(world)
      await sleep(firstOrdersMs)
    },
    awayMs: 0
  })
  await replaceEngine(world)
  await sleep(firstOrdersMs)
  world.isForgettingLeader = false
}

/** Time that nodes miss a removal beyond the time within which the key may still be used. */
const missedMs = 500
/** Share of the further removals meanwhile that are made; with all of them no key would be in force for long. */
const furtherShare = 0.3

type Separation = 'pause' | 'kill' | 'cut' | 'cutOneWay' | 'cutAll'

/** Replaces keys while nodes are separated from the store, and for long enough that old keys would run. */
async function removeKeyUnseen (world: World, durationMs: number, separation: Separation): Promise<void> {
  if (world.isMissingRemoval) {
    if (world.random() < furtherShare) world.replaceKey()
    return
  }
  world.isMissingRemoval = true
  const victims = separation === 'cutAll' ? world.nodes : [world.pick(world.nodes)]
  for (const { condition, storeProxy } of victims) {
    condition.begin('key removal')
    if (separation !== 'pause') storeProxy.mode = separation === 'cutOneWay' ? 'drop-answers' : 'silent'
  }
  if (separation === 'pause') victims[0]!.signal('SIGSTOP')
  if (separation === 'kill') victims[0]!.signal('SIGKILL')
  world.replaceKey()
  await sleep(removalMs + missedMs + durationMs)
  if (separation === 'pause') victims[0]!.signal('SIGCONT')
  for (const { condition, storeProxy } of victims) {
    condition.end('key removal')
    storeProxy.mode = 'pass'
  }
  world.isMissingRemoval = false
}

/** Faults of deployments with accounts. */
export const accountFaults: Record<string, Fault> = {
  keyRemoval: (world, durationMs) => removeKeyUnseen(world, durationMs, world.pick(['pause', 'kill', 'cut', 'cutOneWay', 'cutAll'])),
  /** No node can learn of the removal, neither from the store nor from its peers. */
  keyRemovalUnseen: (world, durationMs) => removeKeyUnseen(world, durationMs, 'cutAll')
}

/** Shortest time between two engines of a release, and how long those that drain go on. */
const shortestStepMs = 300
const releaseDrainMs = 3000

/** Replaces engines one after the other by those of another version: all that have another one, or the older half of them. */
async function release (world: World, durationMs: number): Promise<void> {
  if (world.isReleasing) return
  world.isReleasing = true
  const version = world.pickRelease()
  const others = world.engines.filter(engine => engine.version !== version)
  const replaced = world.random() < 0.5 ? others : others.slice(0, Math.ceil(others.length / 2))
  const drains = world.random() < 0.5
  const ends: Promise<void>[] = []
  for (const engine of replaced) {
    // Another fault may have ended it meanwhile.
    if (engine.isGone) continue
    await world.replaceBackend(engine, version)
    await sleep(shortestStepMs + durationMs / replaced.length)
    if (drains) ends.push(engine.drain(releaseDrainMs))
    else if (!engine.isGone) engine.crash()
  }
  await Promise.all(ends)
  world.isReleasing = false
}

/** Faults of deployments whose engines have several versions. */
export const releaseFaults: Record<string, Fault> = {
  release,
  killAll: async world => {
    for (const node of world.nodes) {
      node.condition.begin('herd')
      node.signal('SIGKILL')
      node.condition.end('herd')
    }
  }
}

export const faults: Record<string, Fault> = {
  kill: world => disturbNode(world, 'kill', async node => node.signal('SIGKILL')),
  killSeries: (world, durationMs) => disturbNode(world, 'kill series', async node => {
    const untilMs = performance.now() + durationMs
    while (performance.now() < untilMs) {
      node.signal('SIGKILL')
      await sleep(400 + world.random() * 800)
    }
  }),
  herdKill: async world => {
    const victims = world.nodes.filter(() => world.random() < 0.6)
    for (const node of victims) {
      node.condition.begin('herd')
      node.signal('SIGKILL')
      node.condition.end('herd')
    }
  },
  pause: (world, durationMs) => disturbNode(world, 'pause', async node => {
    node.signal('SIGSTOP')
    await sleep(durationMs)
    node.signal('SIGCONT')
  }),
  stop: async world => await world.pick(world.nodes).terminate(),
  restartAll: async world => {
    for (const node of world.nodes) {
      await node.terminate()
      await sleep(300)
    }
  },
  storeRefuses: storeIn('refuses'),
  storeBusy: storeIn('busy'),
  storeSilent: storeIn('silent'),
  storeSlow: storeIn('slow'),
  storeLosesAnswers: (world, durationMs) => disturbStore(world, 'lost answers', async () => {
    world.store.lostShare = 0.5
    await sleep(durationMs)
    world.store.lostShare = 0
  }),
  storeForgets: world => disturbStore(world, 'forgets', async () => world.store.compact()),
  storeReturns: (world, durationMs) => disturbStore(world, 'returns', () => returnFromCopy(world, { meanwhile: () => sleep(durationMs), awayMs: world.random() * longestAwayMs })),
  storeForgetsLeader: world => disturbStore(world, 'forgets leader', () => forgetLeader(world)),
  storeCut: storeCutFrom('silent'),
  storeCutOneWay: storeCutFrom('drop-answers'),
  storeResets: storeCutFrom('reset'),
  linkSilent: backendLink('silent'),
  linkDropsRequests: backendLink('drop-requests'),
  linkDropsAnswers: backendLink('drop-answers'),
  linkResets: backendLink('reset'),
  linkDelays: (world, durationMs) => disturbBackend(world, 'link delays', async ({ proxy }) => {
    proxy.delayMs = 150
    await sleep(durationMs)
    proxy.delayMs = 0
  }),
  backendCrash: world => disturbBackend(world, 'crash', async backend => {
    backend.crash()
    await world.replaceBackend(backend)
  }),
  // Its connections close in order, and what it sent arrives when another process has its address.
  backendReborn: world => disturbBackend(world, 'reborn', async backend => {
    backend.proxy.hold()
    await sleep(world.random() * rebornStepMs)
    backend.kill()
    await sleep(world.random() * rebornStepMs)
    await world.takeAddress(backend, { isSame: world.random() < 0.5 })
    await sleep(world.random() * rebornStepMs)
    backend.proxy.release()
  }),
  // A link that holds up what is sent, and a server that outlives it.
  linkHolds: (world, durationMs) => disturbBackend(world, 'link holds', async ({ proxy }) => {
    proxy.hold()
    await sleep(durationMs)
    proxy.release()
  }),
  backendDrains: async world => {
    const backend = world.pickBackend()
    await world.replaceBackend(backend)
    await backend.drain(5000)
  },
  backendLeaves: async world => {
    const backend = world.pickBackend()
    await world.replaceBackend(backend)
    await backend.leave(leavingServesMs)
  },
  // Says so only to those whose requests it turns away; the others run elsewhere.
  backendTurnsAway: async (world, durationMs) => {
    const backend = world.pickBackend()
    backend.requestedPauseMs = turnAwayPauseMs
    await sleep(durationMs)
    backend.requestedPauseMs = 0
  },
  backendFails: (world, durationMs) => disturbBackend(world, 'fails', async backend => {
    backend.isFailing = true
    await sleep(durationMs)
    backend.isFailing = false
  }),
  answersStop: (world, durationMs) => disturbBackend(world, 'answers stop', async backend => {
    backend.stopShare = 0.5
    await sleep(durationMs)
    backend.stopShare = 0
  }),
  answersLost: (world, durationMs) => disturbBackend(world, 'answers lost', async backend => {
    backend.lostShare = 0.4
    await sleep(durationMs)
    backend.lostShare = 0
  }),
  // Sound engines pause while they read long prompts and refuse what exceeds their slots, so neither excuses anything.
  enginePauses: async world => {
    // All may have ended, and their successors not have begun.
    const engine: BackendStandIn | undefined = world.pick(world.engines)
    if (engine) engine.pausedUntilMs = performance.now() + shortestPauseMs + world.random() * (longestPauseMs - shortestPauseMs)
  },
  enginesFull: async (world, durationMs) => {
    const { engines } = world
    for (const engine of engines) engine.slotsNow = Math.max(1, engine.runningCount + Math.round(world.random() * mostPlacesLeft))
    await sleep(durationMs)
    for (const engine of engines) engine.slotsNow = Infinity
  },
  lateOrders: (world, durationMs) => disturbBackend(world, 'late orders', async backend => {
    backend.lateShare = 0.5
    await sleep(durationMs)
    backend.lateShare = 0
  }),
  // Its requests go on while other faults come and go.
  deadlyPart: (world, durationMs) => world.playDeadlyPart(shortestDeadlyMs + deadlyPartFactor * durationMs),
  configChange: async world => world.changeConfig(),
  configStorm: async world => {
    for (let change = 0; change < 4; change++) {
      world.changeConfig()
      await sleep(80)
    }
  }
}
