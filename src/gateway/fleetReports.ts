/** Reports over all nodes: the trace of a request, and burn. */

import type { MemberEntry, PeerMessageOf, PeerNetwork } from '../protocol/messages.js'
import { mergeBurnGroups, mergeBurnSeries } from './burn.js'
import type { BurnGroup, BurnPeriod, BurnRecorder } from './burn.js'
import type { TraceStore } from './trace.js'

/** Time that a node has to answer; one that does not is named as missing. */
const queryTimeoutMs = 2_000

/** Burn over all nodes. `missing` are the nodes that did not answer. */
export interface BurnReport {
  /** Part of the requests that should attain the target, by rank. */
  objectives: Record<string, number>
  groups: BurnGroup[]
  series: BurnPeriod[]
  nodes: string[]
  missing: string[]
}

export interface FleetReportsOptions {
  node: string
  network: PeerNetwork
  members: () => MemberEntry[]
  traces: TraceStore
  burn: BurnRecorder
  objectives: () => Record<string, number>
  status: () => unknown
}

interface Answers {
  answers: unknown[]
  names: string[]
  missing: string[]
}

type NodeBurn = Pick<BurnReport, 'groups' | 'series'>

/** Asks the other nodes and answers their queries. */
export class FleetReports {
  private readonly options: FleetReportsOptions

  constructor (options: FleetReportsOptions) {
    this.options = options
  }

  /** What happened to a request; `undefined` if no node that answers knows it. */
  async explain (requestId: string): Promise<unknown> {
    const own = this.ownTrace(requestId)
    if (own) return own
    const { answers } = await this.queryAll('trace', requestId)
    return answers.find(answer => answer !== null)
  }

  async burnReport (): Promise<BurnReport> {
    const { answers, missing, names } = await this.queryAll('burn', '')
    const all = [this.ownBurn(), ...answers as NodeBurn[]]
    return {
      objectives: this.options.objectives(),
      groups: mergeBurnGroups(all.map(({ groups }) => groups)),
      series: mergeBurnSeries(all.map(({ series }) => series)),
      nodes: [this.options.node, ...names],
      missing
    }
  }

  /** Answers the query of another node. */
  answer ({ query, argument }: PeerMessageOf<'query'>): PeerMessageOf<'queryReply'> {
    const answers = { burn: () => this.ownBurn(), trace: () => this.ownTrace(argument), status: () => this.options.status() }
    return { kind: 'queryReply', json: JSON.stringify(answers[query]() ?? null) }
  }

  private ownTrace (requestId: string): object | undefined {
    const trace = this.options.traces.explain(requestId)
    return trace && { node: this.options.node, ...trace }
  }

  private ownBurn (): NodeBurn {
    return { groups: this.options.burn.groups(), series: this.options.burn.series() }
  }

  private async queryAll (query: 'burn' | 'trace', argument: string): Promise<Answers> {
    const others = this.options.members().filter(({ name, state }) => name !== this.options.node && state !== 'left')
    const result: Answers = { answers: [], names: [], missing: [] }
    await Promise.all(others.map(async ({ name, address }) => {
      try {
        const reply = await this.options.network.request(address, { kind: 'query', query, argument }, { timeoutMs: queryTimeoutMs })
        if (reply.kind !== 'queryReply') throw new Error(`unexpected ${reply.kind}`)
        result.answers.push(JSON.parse(reply.json))
        result.names.push(name)
      } catch {
        result.missing.push(name)
      }
    }))
    result.names.sort()
    result.missing.sort()
    return result
  }
}
