/** Callers of all ranks, and what they were told. */

import { repeat } from '../base/clock.js'
import type { CallerResponse } from '../gateway/exchange.js'
import type { CallerRecord } from './records.js'
import { apiKeys, modelNames } from './world.js'
import type { World, WorldNode } from './world.js'

const rankPatienceMs = { urgent: 10_000, live: 15_000, browsing: 20_000 }
const backgroundPeriodMs = 500
const orderRepeats = 3

export interface InferenceWish {
  wish: string
  model: string
  rank: keyof typeof apiKeys
  stream: boolean
  maxTokens: number
  node?: WorldNode
  /** Shorter than the rank's. */
  patienceMs?: number
}

export class Callers {
  private readonly open = new Map<CallerRecord, WorldNode>()
  private wishCount = 0
  private stopBackground: () => void = () => {}

  constructor (private readonly world: World) {}

  /** A light load: three ranks in turn, mostly the models that are resident, each fourth an order. */
  startBackground (): void {
    this.stopBackground = repeat(this.world.clock, backgroundPeriodMs, () => this.sendBackground())
  }

  endBackground (): void {
    this.stopBackground()
  }

  /** Requests that a node is answering now. */
  openAt (node: WorldNode): number {
    return [...this.open.values()].filter(other => other === node).length
  }

  private sendBackground (): void {
    const { world } = this
    const count = ++this.wishCount
    const wish = `background-${count}`
    if (count % 4 === 0) {
      void this.order({ wish, keyed: count % 8 === 0 })
      return
    }
    const rank = (['urgent', 'live', 'browsing'] as const)[count % 3]!
    const popular = world.randomInt(10) < 8 ? 5 : modelNames.length
    const model = world.randomInt(8) === 0 ? `a${world.randomInt(6)}` : `m${world.randomInt(popular)}`
    void this.infer({ wish, model, rank, stream: count % 2 === 0, maxTokens: 8 + world.randomInt(12) })
  }

  /** One request, not repeated. */
  async infer ({ wish, model, rank, stream, maxTokens, node = this.world.chooseNode(), patienceMs = rankPatienceMs[rank] }: InferenceWish): Promise<CallerRecord | undefined> {
    if (!node) return undefined
    const prompt = `${wish} asks ${model}`
    const record = this.newRecord({ wish, node: node.process.name, kind: 'inference', model, prompt, maxTokens, stream, key: undefined })
    const body = JSON.stringify({ model, prompt, max_tokens: maxTokens, stream })
    await this.send(node, record, {
      path: '/v1/completions',
      headers: { authorization: `Bearer ${apiKeys[rank]}`, 'x-teaselrill-patience-ms': String(patienceMs) },
      body,
      giveUpMs: patienceMs + 5_000 + (stream ? 60 * maxTokens : 0)
    })
    return record
  }

  /** An order. A keyed one is repeated at other nodes until its caller knows that it ran. */
  async order ({ wish, keyed, node = this.world.chooseNode() }: { wish: string, keyed: boolean, node?: WorldNode }): Promise<void> {
    const tried: string[] = []
    for (let attempt = 0; attempt <= (keyed ? orderRepeats : 0); attempt++) {
      const chosen = attempt === 0 ? node : this.world.chooseNode(tried)
      if (!chosen) return
      tried.push(chosen.vm.name)
      const key = keyed ? `key-${wish}` : undefined
      const record = this.newRecord({ wish, node: chosen.process.name, kind: 'order', model: '', prompt: '', maxTokens: 0, stream: false, key })
      await this.send(chosen, record, {
        path: `/orders/${wish}`,
        headers: { authorization: `Bearer ${apiKeys.urgent}`, ...(key ? { 'idempotency-key': key } : {}) },
        body: JSON.stringify({ wish }),
        giveUpMs: rankPatienceMs.urgent + 2_000
      })
      if (record.result === 'complete' || record.result === 'rejected') return
      await new Promise<void>(resolve => { this.world.clock.setTimer(700, resolve) })
    }
  }

  private newRecord (fields: Omit<CallerRecord, 'sentAtMs'>): CallerRecord {
    const record = { ...fields, sentAtMs: this.world.nowMs() }
    this.world.record.callers.push(record)
    return record
  }

  private async send (node: WorldNode, record: CallerRecord, { path, headers, body, giveUpMs }: { path: string, headers: Record<string, string>, body: string, giveUpMs: number }): Promise<void> {
    const { process } = node
    const { clock } = this.world
    const end = (result: CallerRecord['result']) => {
      if (record.answeredAtMs !== undefined) return
      record.result = result
      record.answeredAtMs = clock.nowMs()
      this.open.delete(record)
    }
    if (process.ended) return end('refused')
    this.open.set(record, node)
    const gone = new AbortController()
    await new Promise<void>(resolve => {
      const stop = process.onEnd(() => {
        end('cut')
        resolve()
      })
      const cancel = clock.setTimer(giveUpMs, () => {
        end('given-up')
        resolve()
        process.enter(() => gone.abort())
      })
      process.enter(() => {
        this.read(node, record, { method: 'POST', path, headers, body: Buffer.from(body), signal: gone.signal }).then(end, () => end('cut')).finally(() => {
          stop()
          cancel()
          resolve()
        })
      })
    })
  }

  private async read (node: WorldNode, record: CallerRecord, request: Parameters<WorldNode['core']['handle']>[0]): Promise<CallerRecord['result']> {
    const { process, core } = node
    const response = await process.receive(core.handle(request))
    record.requestId = response.headers['x-request-id']
    record.status = response.status
    if (!(response.body instanceof Uint8Array)) return this.readStream(node, record, response.body)
    const text = Buffer.from(response.body).toString()
    return wholeResult(record, response, text)
  }

  /** Reads SSE. A body that throws is an aborted connection. */
  private async readStream ({ process }: WorldNode, record: CallerRecord, body: AsyncIterable<string>): Promise<CallerRecord['result']> {
    const iterator = body[Symbol.asyncIterator]()
    let text = ''
    let done = false
    try {
      for (;;) {
        const part = await process.receive(iterator.next())
        if (part.done) break
        for (const event of part.value.split('\n\n')) {
          if (event === 'data: [DONE]') done = true
          else if (event.startsWith('data: ')) text += (JSON.parse(event.slice(6)) as { choices: { text: string }[] }).choices[0]?.text ?? ''
          else if (event.startsWith('event: error')) record.detail = event
        }
      }
    } catch {
      record.text = text
      return done ? 'complete' : 'cut'
    }
    record.text = text
    return done ? 'complete' : 'ended'
  }
}

function wholeResult (record: CallerRecord, response: CallerResponse, text: string): CallerRecord['result'] {
  if (response.status === 200) {
    record.text = record.kind === 'inference' ? (JSON.parse(text) as { choices: { text: string }[] }).choices[0]!.text : text
    return 'complete'
  }
  record.detail = text
  const { outcome } = JSON.parse(text) as { outcome: 'not-run' | 'unknown' | 'failed' }
  if (outcome === 'not-run' && response.status < 500 && response.status !== 429) return 'rejected'
  return outcome
}
