/** What goes on in the system when a fault happens. Each flow names the outside calls that belong to it. */

import { rendezvousOwner } from '../base/hash.js'
import type { Step } from './seams.js'
import { fleetText, modelBytes, recordEngine } from './world.js'
import type { World, WorldNode } from './world.js'

export interface Flow {
  name: string
  start: (world: World) => void
  /** Longer than a short flow. */
  durationMs?: number
  /** Only these faults are tried, since the flow is long. */
  faults?: readonly string[]
  /** Whether an outside call after the start belongs to the flow. */
  owns: (step: Step) => boolean
}

const commandKinds = /^(engine\.command\.|engine\.openSession|keyValue\.\w+\.engine|store\.|peer\.(move|wanted|handOver))/
const configKinds = /^(keyValue\.\w+\.config|peer\.config)/
const isFlow = ({ subject }: Step) => subject.includes('flow')

function controller (world: World, engine: string): WorldNode {
  const vm = world.listedVms().find(({ name }) => name === engine)!
  const inRegion = world.live().filter(({ place }) => place.region === vm.region)
  const owner = rendezvousOwner(engine, (inRegion.length > 0 ? inRegion : world.live()).map(node => node.vm.name))
  return world.node(owner ?? 'n1') ?? world.live()[0]!
}

/** Requests that are in progress while the flow goes on, so that a shutdown has something to cut. */
function longStreams (world: World): void {
  for (const node of world.live()) {
    for (const model of ['m0', 'm2', 'm4']) {
      void world.callers.infer({ wish: `long-${node.vm.name}`, model, rank: 'live', stream: true, maxTokens: 150, node })
    }
  }
}

const replacePeriodMs = 16_000
const replaceFaults = ['node-killed', 'cut-during', 'region-cut', 'vm-list-stale']

/** Replaces all nodes one after another while the key-value service is down. */
function replaceAll (world: World, replace: (node: WorldNode) => void): void {
  world.keyValueCondition.down = true
  const nodes = world.live()
  nodes.forEach((node, index) => world.clock.setTimer(index * replacePeriodMs, () => { if (!node.process.ended) replace(node) }))
  world.clock.setTimer(nodes.length * replacePeriodMs, () => { world.keyValueCondition.down = false })
}

export const flows: Flow[] = [
  {
    name: 'request',
    start: world => { void world.callers.infer({ wish: 'flow', model: 'm2', rank: 'urgent', stream: false, maxTokens: 30 }) },
    owns: isFlow
  },
  {
    name: 'stream',
    start: world => { void world.callers.infer({ wish: 'flow', model: 'm0', rank: 'live', stream: true, maxTokens: 60 }) },
    owns: isFlow
  },
  {
    name: 'order',
    start: world => {
      void world.callers.order({ wish: 'flow-keyed', keyed: true })
      void world.callers.order({ wish: 'flow-plain', keyed: false })
    },
    owns: step => isFlow(step) || step.kind === 'keyValue.grantLease'
  },
  {
    name: 'load',
    // One place is free, on the engine that ignores fencing tokens.
    start: world => { void world.callers.infer({ wish: 'flow', model: 'm5', rank: 'live', stream: true, maxTokens: 10 }) },
    owns: step => commandKinds.test(step.kind)
  },
  {
    name: 'swap',
    start: world => {
      for (const model of ['m6', 'm7', 'm8']) void world.callers.infer({ wish: 'flow', model, rank: 'live', stream: false, maxTokens: 10 })
    },
    owns: step => commandKinds.test(step.kind)
  },
  {
    name: 'adapter-load',
    start: world => {
      for (const adapter of ['a0', 'a2', 'a4']) void world.callers.infer({ wish: 'flow', model: adapter, rank: 'live', stream: false, maxTokens: 10 })
    },
    owns: step => /Adapter|keyValue\.\w+\.engine|peer\.(move|wanted)/.test(step.kind)
  },
  {
    name: 'version-change',
    start: world => {
      longStreams(world)
      void world.propose(world.live()[0]!, { text: fleetText({ m0: '2', m4: '2' }), proposalId: 'flow' })
    },
    owns: step => commandKinds.test(step.kind) || configKinds.test(step.kind)
  },
  {
    name: 'role-change',
    start: world => {
      for (const engine of ['e1', recordEngine]) {
        const node = controller(world, engine)
        node.process.enter(() => {
          const move = { moveId: `flow-${engine}`, engine, unload: [], loadAdapters: [], setRole: 'prefill' as const, load: 'm9@1', loadBytes: modelBytes, reason: 'flow' }
          node.core.handlePeer({ kind: 'move', move }).catch(() => {})
        })
      }
    },
    owns: step => /command\.setRole|command\.load|keyValue\.\w+\.engine/.test(step.kind)
  },
  {
    name: 'take-over',
    start: world => {
      longStreams(world)
      world.killNode(controller(world, 'e1'), { restartAfterMs: 9_000, replace: true })
    },
    owns: step => commandKinds.test(step.kind)
  },
  {
    name: 'drain-server',
    start: world => {
      longStreams(world)
      world.drainServer('e2', 'list')
      world.drainServer('s2', 'status')
      world.drainServer('s1', 'list')
      world.clock.setTimer(12_000, () => {
        world.setVms(world.listedVms().map(vm => vm.name === 's1' ? { ...vm, state: 'live' } : vm))
        world.record.drains.find(({ name, endedAtMs }) => name === 's1' && endedAtMs === undefined)!.endedAtMs = world.nowMs()
      })
    },
    owns: step => commandKinds.test(step.kind) || /^vmList|^service\./.test(step.kind)
  },
  {
    name: 'drain-node',
    start: world => {
      longStreams(world)
      world.drainNode(controller(world, recordEngine))
    },
    owns: step => commandKinds.test(step.kind) || /^peer\.members/.test(step.kind)
  },
  {
    name: 'configuration',
    start: world => { void world.propose(world.live()[1] ?? world.live()[0]!, { text: fleetText({}, 'flow'), proposalId: 'flow' }) },
    owns: step => configKinds.test(step.kind)
  },
  {
    name: 'node-start',
    start: world => { world.startNode('n4', { region: 'north', availabilityZone: 'north-2' }) },
    owns: step => /^(keyValue\.\w+\.config|peer\.(config|members|memberDigest|digest|entries|handOver)|vmList|engine\.(openSession|command\.claim))/.test(step.kind)
  },
  {
    name: 'replace-all-drained',
    start: world => replaceAll(world, node => world.drainNode(node)),
    durationMs: 3 * replacePeriodMs,
    faults: replaceFaults,
    owns: step => /^(keyValue\.\w+\.config|peer\.(config|memberDigest|handOver)|vmList|engine\.command\.claim)/.test(step.kind)
  },
  {
    name: 'replace-all-killed',
    start: world => replaceAll(world, node => world.killNode(node, { restartAfterMs: 2_000, replace: true })),
    durationMs: 3 * replacePeriodMs,
    faults: replaceFaults,
    owns: step => /^(keyValue\.\w+\.config|peer\.(config|memberDigest)|vmList|engine\.command\.claim)/.test(step.kind)
  }
]
