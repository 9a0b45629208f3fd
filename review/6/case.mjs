/**
 * CONFIG: a client asks for a prompt that is larger than an engine's memory, which the engines reject as if they were full. Sound
 * requests for the same model get no answer until their route's timeout and beyond. With TROUBLE=0 that one request has a usual size.
 */

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../standins-2/client.mjs'
import { Engine } from '../standins-2/engine.mjs'
import { freeAddresses, Nodes } from '../standins-2/nodes.mjs'
import { Record } from '../standins-2/record.mjs'
import { sleep, Store } from '../standins-2/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const host = 'ficu95.example'
const largeAtS = 6
const lengthS = 12
const requestGapMs = 100
const timeoutMs = 20_000
/** Time after the route's timeout within which the rule expects an answer. */
const answerSlackMs = 500
const largeTokens = 800_000
const usualTokens = 1460
const bytesPerToken = 2

const model = name => ({ name, weights_mb: 72_700, load_s: 9, adapters: 0, adapter_mb: 66, warm_s: 1.2, disk_s: 2.4 })
const spec = {
  slots: 64, kv_capacity: 145_819, weights_mb: 230_000, adapter_slots: 8, loads_per_s: 1.2, hold_ms: 2000, pin_ms: 4000, models: ['m0', 'm1', 'm2'].map(model)
}
const config = {
  version: 7,
  routes: [{
    name: 'digest',
    host,
    path_prefix: '/digest/',
    kind: 'streaming',
    timeout_ms: timeoutMs,
    goal_ms: 5000,
    priority: 2,
    service: 'advisor',
    max_attempts: 1,
    sticky: true,
    resumable: false,
    gap_target_ms: 300
  }],
  services: [{ name: 'advisor', health_path: '/health', max_conns: 370, engine: spec }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

const record = new Record(dirname(fileURLToPath(import.meta.url)))
const nodes = new Nodes()
let store
let exitCode = 2
try {
  const [platformIp, engineIp, ...nodeIps] = await freeAddresses(5)
  store = new Store()
  await store.listen(platformIp)
  store.put('op/config', config)
  // Each model is on one engine.
  const engines = ['m0', 'm1', 'm2'].map((held, index) => new Engine({
    id: `i-${index + 1}`, ip: engineIp, service: 'advisor', zone: 'z1', store, spec, models: [held], onEvent: (what, details) => record.add(what, details)
  }))
  for (const engine of engines) await engine.start()
  const started = nodeIps.map((ip, index) => nodes.start({ name: `node-${index + 1}`, ip, store: store.address }))
  for (const node of started) await nodes.waitUntilReady(node)
  await sleep(3000)
  record.startMs = performance.now()

  const ask = async (node, wanted, tokens, what) => {
    record.add('sent', { what, wanted, tokens, node: node.name })
    const answer = await send(node.ip, {
      path: '/digest/1',
      host,
      headers: { 'X-Model': wanted, 'X-Token-Count': `${tokens},20`, 'X-Prompt-Prefix': `aa:350,${Math.random().toString(16).slice(2, 10)}:${tokens - 350}` },
      body: 'x'.repeat(tokens * bytesPerToken),
      deadlineMs: timeoutMs + 2000
    })
    const { id, status, isComplete, error, tookMs } = answer
    record.add('answer', { request: id, what, wanted, status, isComplete, error, tookMs, retryAfter: answer.headers?.['retry-after'] })
    return answer
  }
  const answers = []
  let large
  for (let count = 0; record.atS < lengthS; count++) {
    if (!large && record.atS >= largeAtS) large = ask(started[0], 'm0', hasTrouble ? largeTokens : usualTokens, 'large')
    answers.push(ask(started[count % started.length], `m${count % 3}`, usualTokens, 'usual'))
    await sleep(requestGapMs)
  }
  await large
  const outcomes = await Promise.all(answers)
  const served = outcomes.filter(({ status, isComplete }) => status === 200 && isComplete).length
  // A request without any answer has no status.
  const lasting = outcomes.filter(({ tookMs }) => tookMs >= timeoutMs)
  const unanswered = lasting.filter(({ status, tookMs }) => status === undefined && tookMs >= timeoutMs + answerSlackMs)
  const summary = { requests: outcomes.length, served, unansweredAtTimeout: lasting.length, unansweredHalfASecondLater: unanswered.length }
  record.add('end', summary)
  console.log(JSON.stringify(summary))
  const isBroken = unanswered.length >= 8 && unanswered.length > lasting.length / 2
  exitCode = isBroken ? 1 : served > outcomes.length / 4 ? 0 : 2
} catch (error) {
  record.add('not run', { error: error.stack })
  console.log(error)
} finally {
  record.write()
  await nodes.stop()
  store?.close()
}
process.exit(exitCode)
