/** What can fail at a step (design.md 1.4). */

import type { CallFault, Step } from './seams.js'
import { fleetText, recordEngine } from './world.js'
import type { World, WorldNode } from './world.js'

export interface Fault {
  name: string
  /** Steps at which it makes a difference. */
  appliesTo: (step: Pick<Step, 'kind'>) => boolean
  /** Starts the fault. Everything that it changes is back to normal `durationMs` later. */
  durationMs: number
  start: (world: World, step: Step) => CallFault | undefined
}

/** Longer than every timeout of a node but that of a model load, and than the time after which a member counts as dead. */
const pauseMs = 15_000
const outageMs = 10_000

const always = () => true
const isCommand = ({ kind }: { kind: string }) => kind.startsWith('engine.command.')
const isLoad = ({ kind }: { kind: string }) => /engine\.command\.load|store\.|peer\.(move|wanted)/.test(kind)
const isEngineCall = ({ kind }: { kind: string }) => kind.startsWith('engine.') || kind.startsWith('store.')
const isKeyValueCall = ({ kind }: { kind: string }) => kind.startsWith('keyValue.')
const isCall = ({ kind }: { kind: string }) => !kind.startsWith('store.') && !kind.endsWith('.event')
const isStreamOrCall = ({ kind }: { kind: string }) => !kind.startsWith('store.')

function nodeAt (world: World, { process }: Step): WorldNode {
  return world.nodeOf(process) ?? world.live()[0]!
}

function engineAt (world: World, { target }: Step): string {
  return world.engines[target] ? target : recordEngine
}

function command (step: Step) {
  return step.kind.slice('engine.command.'.length) as 'load'
}

function later (world: World, delayMs: number, callback: () => void): void {
  world.clock.setTimer(delayMs, callback)
}

function isolate (world: World, name: string): void {
  world.topology.isolate(name)
  world.disturb(name, outageMs)
  later(world, outageMs, () => world.topology.heal())
}

export const faults: Fault[] = [
  {
    name: 'demand-shift',
    appliesTo: always,
    durationMs: 5_000,
    start: world => {
      for (let index = 0; index < 40; index++) {
        void world.callers.infer({ wish: `burst-${index}`, model: index % 4 === 0 ? 'm9' : 'm1', rank: 'browsing', stream: false, maxTokens: 20 })
      }
      return undefined
    }
  },
  {
    name: 'command-lost',
    appliesTo: isCommand,
    durationMs: 5_000,
    start: (world, step) => {
      world.engines[step.target]!.control({ fault: 'commandLost', command: command(step), cut: true })
      return undefined
    }
  },
  {
    name: 'command-unanswered',
    appliesTo: isCommand,
    durationMs: 5_000,
    start: (world, step) => {
      world.engines[step.target]!.control({ fault: 'commandLost', command: command(step) })
      return undefined
    }
  },
  {
    name: 'command-late',
    appliesTo: isCommand,
    durationMs: 8_000,
    start: (world, step) => {
      world.engines[step.target]!.control({ fault: 'commandLate', command: command(step), delayMs: 7_000 })
      return undefined
    }
  },
  {
    name: 'command-repeated',
    appliesTo: isCommand,
    durationMs: 5_000,
    start: (world, step) => {
      world.engines[step.target]!.control({ fault: 'commandRepeated', command: command(step), delayMs: 4_000 })
      return undefined
    }
  },
  {
    name: 'command-reply-lost',
    appliesTo: isCommand,
    durationMs: 5_000,
    start: (world, step) => {
      world.engines[step.target]!.control({ fault: 'commandReplyLost', command: command(step), cut: true })
      return undefined
    }
  },
  {
    name: 'command-after-successor',
    appliesTo: isCommand,
    durationMs: 16_000,
    // The sender dies, and its command arrives when a successor has taken over.
    start: (world, step) => {
      world.engines[step.target]!.control({ fault: 'commandLate', command: command(step), delayMs: 14_000 })
      const node = nodeAt(world, step)
      later(world, 5, () => world.killNode(node, { restartAfterMs: 15_000, replace: true }))
      return undefined
    }
  },
  {
    name: 'node-killed',
    appliesTo: always,
    durationMs: 10_000,
    start: (world, step) => {
      world.killNode(nodeAt(world, step), { restartAfterMs: 10_000, replace: true })
      return undefined
    }
  },
  {
    name: 'node-restarted',
    appliesTo: always,
    durationMs: 1_000,
    start: (world, step) => {
      world.killNode(nodeAt(world, step), { restartAfterMs: 1_000 })
      return undefined
    }
  },
  {
    name: 'node-paused',
    appliesTo: always,
    durationMs: pauseMs,
    start: (world, step) => {
      const node = nodeAt(world, step)
      node.process.pause()
      world.disturb(node.process.name, pauseMs)
      later(world, pauseMs, () => node.process.resume())
      return undefined
    }
  },
  { name: 'cut-before', appliesTo: isCall, durationMs: 0, start: () => ({ cut: 'before' }) },
  {
    name: 'cut-during',
    appliesTo: isStreamOrCall,
    durationMs: 0,
    start: () => ({ cut: 'during' })
  },
  { name: 'cut-after', appliesTo: isCall, durationMs: 0, start: () => ({ cut: 'after' }) },
  {
    name: 'key-value-down',
    appliesTo: always,
    durationMs: outageMs,
    start: world => {
      world.keyValueCondition.down = true
      later(world, outageMs, () => { world.keyValueCondition.down = false })
      return undefined
    }
  },
  {
    name: 'key-value-slow',
    appliesTo: isKeyValueCall,
    durationMs: outageMs,
    // Slower than the timeout of 2 s, so that writes take effect after they were given up.
    start: world => {
      world.keyValueCondition.slowMs = 3_000
      later(world, outageMs - 3_000, () => { world.keyValueCondition.slowMs = 0 })
      return undefined
    }
  },
  { name: 'key-value-late-write', appliesTo: isKeyValueCall, durationMs: 8_000, start: () => ({ delayMs: 7_000 }) },
  { name: 'watch-gap', appliesTo: ({ kind }) => kind.startsWith('keyValue.watch'), durationMs: 0, start: () => ({ watchGap: true }) },
  {
    name: 'lease-lapsed',
    appliesTo: isKeyValueCall,
    durationMs: 0,
    start: world => {
      world.keyValue.control({ fault: 'leaseLapsed' })
      return undefined
    }
  },
  {
    name: 'two-operators',
    appliesTo: ({ kind }) => /config|peer\.move|command\.load$/.test(kind),
    durationMs: 1_000,
    start: world => {
      for (const node of world.live().slice(0, 2)) {
        const proposalId = `fault-${world.record.proposals.length}`
        void world.propose(node, { text: fleetText({}, proposalId), proposalId })
      }
      return undefined
    }
  },
  {
    name: 'vm-list-stale',
    appliesTo: always,
    durationMs: outageMs,
    // The list shows an engine that leaves only 10 s later; the engine's own status shows it at once.
    start: world => {
      world.vmList.control({ fault: 'stale', calls: 10_000 })
      world.drainServer('e3', 'status')
      later(world, outageMs, () => {
        world.vmList.control({ fault: 'clear' })
        restartDrained(world, 'e3')
      })
      return undefined
    }
  },
  {
    name: 'vm-leaving',
    appliesTo: always,
    durationMs: outageMs,
    start: world => {
      world.drainServer('e1', 'list')
      later(world, outageMs, () => {
        world.setVms(world.listedVms().map(vm => vm.name === 'e1' ? { ...vm, state: 'live' } : vm))
        endDrain(world, 'e1')
      })
      return undefined
    }
  },
  {
    name: 'engine-crashed',
    appliesTo: isEngineCall,
    durationMs: 2_000,
    start: (world, step) => {
      const engine = engineAt(world, step)
      world.disturb(engine, 2_000)
      world.engines[engine]!.control({ fault: 'crash', restartAfterMs: 2_000 })
      return undefined
    }
  },
  {
    name: 'engine-draining',
    appliesTo: isEngineCall,
    durationMs: outageMs,
    start: (world, step) => {
      const engine = engineAt(world, step)
      world.drainServer(engine, 'status')
      later(world, outageMs, () => restartDrained(world, engine))
      return undefined
    }
  },
  {
    name: 'engine-silent',
    appliesTo: isEngineCall,
    durationMs: 6_000,
    start: (world, step) => {
      const engine = engineAt(world, step)
      world.disturb(engine, 6_000)
      world.engines[engine]!.control({ fault: 'pause' })
      later(world, 6_000, () => world.engines[engine]!.control({ fault: 'resume' }))
      return undefined
    }
  },
  {
    name: 'load-report-missing',
    appliesTo: isEngineCall,
    durationMs: 5_000,
    start: world => {
      for (const engine of Object.values(world.engines)) engine.control({ fault: 'missingLoadReport', calls: 20 })
      return undefined
    }
  },
  {
    name: 'cache-event-missing',
    appliesTo: ({ kind }) => kind.startsWith('engine.infer'),
    durationMs: 5_000,
    start: world => {
      for (const engine of Object.values(world.engines)) engine.control({ fault: 'missingCacheEvent', calls: 20 })
      return undefined
    }
  },
  {
    name: 'weight-store-slow',
    appliesTo: isLoad,
    durationMs: outageMs,
    start: world => {
      world.store.control({ fault: 'slow', factor: 20, calls: 4 })
      return undefined
    }
  },
  {
    name: 'weight-store-failing',
    appliesTo: isLoad,
    durationMs: 5_000,
    start: world => {
      world.store.control({ fault: 'failing', calls: 3 })
      return undefined
    }
  },
  {
    name: 'service-cut',
    appliesTo: ({ kind }) => kind === 'service.call',
    durationMs: 1_000,
    start: (world, step) => {
      world.servers[step.target]!.control({ fault: 'crashAfterExecution' })
      return undefined
    }
  },
  {
    name: 'service-hangs',
    appliesTo: ({ kind }) => kind === 'service.call',
    durationMs: 10_000,
    start: (world, step) => {
      world.servers[step.target]!.control({ fault: 'hangAfterExecution' })
      return undefined
    }
  },
  {
    name: 'region-cut',
    appliesTo: always,
    durationMs: outageMs,
    start: world => {
      isolate(world, 'south')
      return undefined
    }
  },
  {
    name: 'zone-cut',
    appliesTo: always,
    durationMs: outageMs,
    start: world => {
      isolate(world, 'north-2')
      return undefined
    }
  }
]

function endDrain (world: World, name: string): void {
  for (const drain of world.record.drains) if (drain.name === name) drain.endedAtMs ??= world.nowMs()
}

/** A server that drained is restarted, as in an upgrade. */
function restartDrained (world: World, engine: string): void {
  endDrain(world, engine)
  world.disturb(engine, 0)
  world.engines[engine]!.control({ fault: 'restart' })
}
