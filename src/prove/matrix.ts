/** The cases: every fault at every step of every flow, and seeded samples of pairs. */

import { randomInt, SeededRandom } from '../base/random.js'
import { faults } from './faults.js'
import { flows } from './flows.js'
import { runCase } from './runCase.js'
import type { Case } from './runCase.js'
import type { WorldOptions } from './world.js'

export const caseSeed = 1

/** The steps that each flow makes without a fault, such as `engine.command.load#1`. */
export async function numberSteps (options: Omit<WorldOptions, 'seed'> = {}, names = flows.map(({ name }) => name)): Promise<Map<string, string[]>> {
  const steps = new Map<string, string[]>()
  for (const name of names) steps.set(name, (await runCase({ flow: name, injections: [], seed: caseSeed }, options)).steps)
  return steps
}

/** Faults of the call or of its process, which may do other harm at the second call of a kind than at the first. */
const isLocal = (fault: string) => /^(command|cut|node-killed|key-value-late|service)/.test(fault)

/** Each fault alone at each step to which it applies. For faults of the surroundings the first call of a kind stands for all. */
export function singleCases (steps: Map<string, string[]>): Case[] {
  const cases: Case[] = []
  for (const [flow, flowSteps] of steps) {
    cases.push({ flow, injections: [], seed: caseSeed })
    for (const step of flowSteps) {
      const [kind, occurrence] = split(step)
      for (const fault of faults) {
        if (!fault.appliesTo({ kind }) || (occurrence > 1 && !isLocal(fault.name))) continue
        if (flows.find(({ name }) => name === flow)!.faults?.includes(fault.name) === false) continue
        cases.push({ flow, injections: [{ step: kind, occurrence, fault: fault.name }], seed: caseSeed })
      }
    }
  }
  return cases
}

/** Pairs of faults, each fourth the same fault twice, at two steps of a flow. */
export function pairCases (steps: Map<string, string[]>, seeds: number): Case[] {
  const cases: Case[] = []
  for (let seed = 1; seed <= seeds; seed++) {
    const random = new SeededRandom(seed)
    const flow = [...steps.keys()][randomInt(random, steps.size)]!
    const flowSteps = steps.get(flow)!
    const injections: Case['injections'] = []
    while (injections.length < 2) {
      const [step, occurrence] = split(flowSteps[randomInt(random, flowSteps.length)]!)
      const applicable = faults.filter(({ appliesTo }) => appliesTo({ kind: step }))
      const fault = injections[0] && seed % 4 === 0 ? injections[0].fault : applicable[randomInt(random, applicable.length)]!.name
      if (injections[0] && seed % 4 === 0 && !applicable.some(({ name }) => name === fault)) {
        injections.push({ ...injections[0], occurrence: injections[0].occurrence + 1 })
      } else if (injections[0]?.step === step && injections[0].occurrence === occurrence) {
        injections.push({ step, occurrence: occurrence + 1, fault })
      } else injections.push({ step, occurrence, fault })
    }
    cases.push({ flow, injections, seed })
  }
  return cases
}

function split (step: string): [string, number] {
  const [kind, occurrence] = step.split('#')
  return [kind!, Number(occurrence)]
}
