/** Runs one case: a flow, with faults at some of its steps. */

import { check } from './checker.js'
import type { Violation } from './checker.js'
import { faults } from './faults.js'
import type { Fault } from './faults.js'
import { flows } from './flows.js'
import type { CaseRecord } from './records.js'
import type { CallFault } from './seams.js'
import { modelNames, World } from './world.js'
import type { WorldOptions } from './world.js'

/** A fault at the `occurrence`-th call of the kind `step` that the flow makes. */
export interface Injection { step: string, occurrence: number, fault: string }

export interface Case { flow: string, injections: Injection[], seed: number }

export interface CaseResult { id: string, violations: Violation[], injected: number, steps: string[] }

/** Occurrences of a kind of step at which faults happen; later ones repeat the earlier ones. */
const maxOccurrences = 2
const flowMs = 5_000
const settleMs = 2_000
/** As long as a caller who asks again waits in all. Each of its requests has a shorter patience, so that loads start early. */
const probePatienceMs = 25_000
const probeRequestMs = 6_000
const configMs = 7_500
const stepEndMs = 500

export function caseId ({ flow, injections, seed }: Case): string {
  return [flow, ...injections.map(({ step, occurrence, fault }) => `${step}#${occurrence}=${fault}`), `seed=${seed}`].join('/')
}

/** Reads an ID as `caseId` prints it. */
export function parseCaseId (id: string): Case {
  const [flow, ...parts] = id.split('/')
  const seed = Number(parts.pop()!.slice('seed='.length))
  const injections = parts.map(part => {
    const [, step, occurrence, fault] = /^(.+)#(\d+)=(.+)$/.exec(part)!
    return { step: step!, occurrence: Number(occurrence), fault: fault! }
  })
  return { flow: flow!, injections, seed }
}

export async function runCase (testCase: Case, options: Omit<WorldOptions, 'seed'> = {}): Promise<CaseResult & { record: CaseRecord }> {
  const flow = flows.find(({ name }) => name === testCase.flow)
  if (!flow) throw new Error(`there is no flow ${testCase.flow}`)
  const world = new World({ ...options, seed: testCase.seed })
  await world.start()
  const steps: string[] = []
  const counts = new Map<string, number>()
  const pending = testCase.injections.map(injection => ({ ...injection, fault: findFault(injection.fault) }))
  let injected = 0
  const flowEndMs = world.nowMs() + (flow.durationMs ?? flowMs)
  let faultsEndMs = flowEndMs
  world.onStep = step => {
    if (!flow.owns(step)) return undefined
    const occurrence = (counts.get(step.kind) ?? 0) + 1
    counts.set(step.kind, occurrence)
    if (occurrence <= maxOccurrences && world.nowMs() <= flowEndMs) steps.push(`${step.kind}#${occurrence}`)
    let callFault: CallFault | undefined
    for (const injection of pending) {
      if (injection.step !== step.kind || injection.occurrence !== occurrence) continue
      injected++
      faultsEndMs = Math.max(faultsEndMs, world.nowMs() + injection.fault.durationMs)
      callFault = { ...callFault, ...injection.fault.start(world, step) }
    }
    return callFault
  }
  flow.start(world)
  while (world.nowMs() < faultsEndMs + settleMs) await world.clock.advance(stepEndMs)
  world.record.faultsEndMs = faultsEndMs
  world.callers.endBackground()
  await probeAll(world)
  while (world.nowMs() < faultsEndMs + configMs) await world.clock.advance(stepEndMs)
  const record = world.finish()
  for (const node of world.nodes) node.process.kill()
  return { id: caseId(testCase), violations: check(record), injected, steps, record }
}

function findFault (name: string): Fault {
  const fault = faults.find(candidate => candidate.name === name)
  if (!fault) throw new Error(`there is no fault ${name}`)
  return fault
}

/** Asks for each model and adapter until it was served, or for as long as a caller waits. */
async function probeAll (world: World): Promise<void> {
  const startedAtMs = world.nowMs()
  const targets = [...modelNames, ...Object.keys(world.record.baseModels)]
  const probes: CaseRecord['probes'] = []
  for (const target of targets) {
    const probe: CaseRecord['probes'][number] = { target, startedAtMs }
    world.record.probes.push(probe)
    probes.push(probe)
    void (async () => {
      while (world.nowMs() < startedAtMs + probePatienceMs) {
        const answer = await world.callers.infer({ wish: `probe-${target}-${world.nowMs()}`, model: target, rank: 'browsing', stream: false, maxTokens: 2, patienceMs: probeRequestMs })
        probe.lastResult = `${answer?.result} ${answer?.detail ?? ''}`
        if (answer?.result === 'complete') {
          probe.servedAtMs = world.nowMs()
          break
        }
        await new Promise<void>(resolve => { world.clock.setTimer(500, resolve) })
      }
    })()
  }
  while (probes.some(({ servedAtMs }) => servedAtMs === undefined) && world.nowMs() < startedAtMs + probePatienceMs) await world.clock.advance(stepEndMs)
}
